"""The relay's lifecycle states and transitions, in one table for listeners, attempts and the admin interface."""

from __future__ import annotations

from enum import Enum


class LifecycleState(Enum):
    """What the relay does with clients and requests."""

    STARTING = "starting"  # no backend is known yet
    SERVING = "serving"
    LAME_DUCK = "lame duck"  # drained by operators; it still serves requests, and goes on running
    LEAVING = "leaving"  # it drains itself; requests are still served
    STOPPING = "stopping"  # every request has its answer; new ones get one at once, and nothing begins
    STOPPED = "stopped"  # the process ends


class LifecycleEvent(Enum):
    """What may change the state."""

    READY = "ready"  # there are backends
    UNREADY = "unready"  # the endpoint list is empty
    LAMEDUCK = "lameduck"
    REJOIN = "rejoin"
    LEAVE = "leave"
    STOP = "stop"
    STOPPED = "stopped"


#: An event without a line changes nothing, and its sender is notified.
TABLE: dict[tuple[LifecycleState, LifecycleEvent], LifecycleState] = {
    (LifecycleState.STARTING, LifecycleEvent.READY): LifecycleState.SERVING,
    (LifecycleState.STARTING, LifecycleEvent.LAMEDUCK): LifecycleState.LAME_DUCK,
    (LifecycleState.SERVING, LifecycleEvent.UNREADY): LifecycleState.STARTING,
    (LifecycleState.SERVING, LifecycleEvent.LAMEDUCK): LifecycleState.LAME_DUCK,
    # READY follows at once where there are backends.
    (LifecycleState.LAME_DUCK, LifecycleEvent.REJOIN): LifecycleState.STARTING,
    # A repeated call is granted again, and begins nothing anew.
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


def step(state: LifecycleState, event: LifecycleEvent) -> LifecycleState | None:
    """The state that an event leads to; None where the table has no line for it."""
    return TABLE.get((state, event))
