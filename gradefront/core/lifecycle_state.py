"""Whether the relay takes clients, begins anything, or is at its end: one table of states, which the fronts,
attempts, retries and the admin interface all ask."""

from __future__ import annotations

from enum import Enum


class LifecycleState(Enum):
    """What the relay is about."""

    STARTING = "starting"  # no backend is known yet
    SERVING = "serving"
    LAME_DUCK = "lame duck"  # operators empty it; it serves whoever still comes, and goes on running
    LEAVING = "leaving"  # it empties itself; what comes is served still
    STOPPING = "stopping"  # all has its answer; what is read now gets one at once, and nothing begins
    STOPPED = "stopped"  # the process ends


class LifecycleEvent(Enum):
    """What may change that."""

    READY = "ready"  # clients can be placed
    UNREADY = "unready"  # the endpoint list is empty
    LAMEDUCK = "lameduck"
    REJOIN = "rejoin"
    LEAVE = "leave"
    STOP = "stop"
    STOPPED = "stopped"


#: A word that stands in no line changes nothing, and whoever said it is told so.
TABLE: dict[tuple[LifecycleState, LifecycleEvent], LifecycleState] = {
    (LifecycleState.STARTING, LifecycleEvent.READY): LifecycleState.SERVING,
    (LifecycleState.STARTING, LifecycleEvent.LAMEDUCK): LifecycleState.LAME_DUCK,
    (LifecycleState.SERVING, LifecycleEvent.UNREADY): LifecycleState.STARTING,
    (LifecycleState.SERVING, LifecycleEvent.LAMEDUCK): LifecycleState.LAME_DUCK,
    (
        LifecycleState.LAME_DUCK,
        LifecycleEvent.REJOIN,
    ): LifecycleState.STARTING,  # the core says at once whether clients can be placed
    # What is said again is granted again, and begins nothing anew.
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
    """The state that the word leads to; None where the word means nothing here."""
    return TABLE.get((state, event))
