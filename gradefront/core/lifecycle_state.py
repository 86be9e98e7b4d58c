"""The relay's lifecycle states and their transitions, shared by listeners, attempts and the admin interface."""

from __future__ import annotations

from enum import Enum


class LifecycleState(Enum):
    """A state of the relay, which determines how it treats clients and requests."""

    STARTING = "starting"  # not ready: no backends, or a fresh endpoint list is awaited
    SERVING = "serving"
    LAME_DUCK = "lame duck"  # being drained by operators; requests are still served, and the relay keeps running
    LEAVING = "leaving"  # shutting down gracefully; requests are still served
    STOPPING = "stopping"  # all requests have been answered; new ones are rejected at once, and no work starts
    STOPPED = "stopped"  # the process exits


class LifecycleEvent(Enum):
    """An event that may change the state."""

    READY = "ready"  # there are backends, and no fresh endpoint list is awaited
    UNREADY = "unready"  # there are no backends, or a fresh endpoint list is awaited
    LAMEDUCK = "lameduck"  # operators begin to drain the relay
    REJOIN = "rejoin"  # operators end the drain
    LEAVE = "leave"  # graceful shutdown begins
    STOP = "stop"  # the time for graceful shutdown is over
    STOPPED = "stopped"


#: An event that has no entry for the current state changes nothing; `Lifecycle.transition` returns False for it.
TRANSITIONS: dict[tuple[LifecycleState, LifecycleEvent], LifecycleState] = {
    (LifecycleState.STARTING, LifecycleEvent.READY): LifecycleState.SERVING,
    (LifecycleState.STARTING, LifecycleEvent.LAMEDUCK): LifecycleState.LAME_DUCK,
    (LifecycleState.SERVING, LifecycleEvent.UNREADY): LifecycleState.STARTING,
    (LifecycleState.SERVING, LifecycleEvent.LAMEDUCK): LifecycleState.LAME_DUCK,
    # If there are backends, READY follows at once.
    (LifecycleState.LAME_DUCK, LifecycleEvent.REJOIN): LifecycleState.STARTING,
    # A repeated request succeeds and changes nothing.
    (LifecycleState.SERVING, LifecycleEvent.REJOIN): LifecycleState.SERVING,
    (LifecycleState.STARTING, LifecycleEvent.REJOIN): LifecycleState.STARTING,
    (LifecycleState.LAME_DUCK, LifecycleEvent.LAMEDUCK): LifecycleState.LAME_DUCK,
    (LifecycleState.LEAVING, LifecycleEvent.LAMEDUCK): LifecycleState.LEAVING,
    (LifecycleState.STOPPING, LifecycleEvent.LAMEDUCK): LifecycleState.STOPPING,
    **{
        (state, LifecycleEvent.LEAVE): LifecycleState.LEAVING
        for state in (LifecycleState.STARTING, LifecycleState.SERVING, LifecycleState.LAME_DUCK)
    },
    **{
        (state, LifecycleEvent.STOP): LifecycleState.STOPPING
        for state in LifecycleState
        if state is not LifecycleState.STOPPED
    },
    (LifecycleState.STOPPING, LifecycleEvent.STOPPED): LifecycleState.STOPPED,
}


def next_state(state: LifecycleState, event: LifecycleEvent) -> LifecycleState | None:
    """Return the state after an event, or None if there is no such transition."""
    return TRANSITIONS.get((state, event))
