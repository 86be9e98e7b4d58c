"""The relay's life: whether it takes clients, how it is emptied, how it leaves. The states are in `duty.py`."""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import partial
from typing import Protocol

from balancer.actions import Reject
from balancer.settings import RequestClass

from .answers import Answers
from .backends import Backends
from .connection import Connection, ConnectionState
from .lifecycle_state import LifecycleEvent, LifecycleState, step
from .timer_wheel import Timer

log = logging.getLogger("gradefront.lifecycle")

LONGEST_US = 3_000_000  # on leaving, SIGKILL comes no sooner than the longest deadline, this at most,
KILL_US = 700_000  # and so long after SIGTERM; the rest is counted back from there:
LEAVE_AFTER_US = 1_500_000  # connections are served until then. Guards against sending clients away while the relay
# that left before is not back yet: for them there would be no relay at all
LEAVE_BY_US = 600_000  # the last client is told by then
STOP_BY_US = 450_000  # all has its answer by then, and nothing new begins
LEAVE_STEP_US = 50_000
NEWS_BY_US = 3_500_000  # a process that replaces another waits so long for the endpoint list, of 6 s from its start
FRONT_US = 450_000  # after SIGTERM: the front still sends clients here for 0.2 to 0.4 s
LAME_BY_US = 3_200_000  # after the call to empty the relay: the last client is told by then, of 4 s that there are,
LAME_ANSWER_US = 3_600_000  # and whoever still waits for a backend is answered


class Core(Protocol):
    """What of the core this part uses."""

    connections: dict[int, Connection]
    backends: Backends
    answers: Answers
    clock: Callable[[], int]

    def after(self, delay_us: int, then: Callable[[], None]) -> Timer:
        """Run `then` later."""

    def migrate(self, connection: Connection) -> None:
        """Tell a client to come again."""


class Lifecycle:
    """One relay's state, and what each step of it asks for."""

    def __init__(self, core: Core, classes: tuple[RequestClass, ...]) -> None:
        self.core = core
        self.state = LifecycleState.STARTING
        self.awaits_endpoint_list = False  # says yes only once discovery has spoken, not on a list from before
        self.on_ready: Callable[[], None] | None = None  # done when it first takes clients
        self.drain_token: object = None  # of the drain that is on: a step of an earlier one does nothing
        self.drained_by_us = (
            0  # by then the last client is to be told, on account of the drain that is on; 0: none is
        )
        self.kill_us = LONGEST_US + KILL_US
        self.apply_classes(classes)

    def apply_classes(self, classes: tuple[RequestClass, ...]) -> None:
        """SIGKILL may be counted by the settings of any time: the soonest holds."""
        self.kill_us = min(self.kill_us, max(c.deadline_us for c in classes) + KILL_US)

    @property
    def accepts_clients(self) -> bool:
        """What the front's `PING` and the admin interface say alike."""
        return self.state is LifecycleState.SERVING

    @property
    def accepts_work(self) -> bool:
        """Whether anything new is begun: a request forwarded, an attempt, a first line."""
        return self.state not in (LifecycleState.STOPPING, LifecycleState.STOPPED)

    def transition(self, event: LifecycleEvent) -> bool:
        """Take one step of the table of duties, if there is one."""
        to = step(self.state, event)
        if to is None:
            return False
        if to is not self.state:
            log.info("%s, was %s", to.value, self.state.value)
        self.state = to
        if self.accepts_clients and self.on_ready:
            on_ready, self.on_ready = self.on_ready, None
            on_ready()
        return True

    # ---- becoming ready

    def update_readiness(self) -> None:
        """The endpoint list has changed, or what is asked of it."""
        self.transition(
            LifecycleEvent.READY
            if len(self.core.backends) and not self.awaits_endpoint_list
            else LifecycleEvent.UNREADY
        )

    def await_endpoint_list(self) -> None:
        """Another process still serves: take clients only on a fresh list, or once there is no more time."""
        self.awaits_endpoint_list = True
        self.core.after(NEWS_BY_US, self.on_fresh_endpoint_list)

    def on_fresh_endpoint_list(self) -> None:
        """Discovery has told what there is."""
        if self.awaits_endpoint_list:
            self.awaits_endpoint_list = False
            self.update_readiness()

    # ---- sending clients away

    def lame_duck(self) -> bool:
        """Empty the relay, which goes on running: what still comes is served, all is told to move in time."""
        was = self.state
        if not self.transition(LifecycleEvent.LAMEDUCK):
            return False
        if was not in (LifecycleState.LAME_DUCK, LifecycleState.LEAVING, LifecycleState.STOPPING):
            # Not at once: the front still sends clients here, and some would come back to where they left.
            self._empty(FRONT_US, self.core.clock() + LAME_BY_US)
            self.core.after(LAME_ANSWER_US, partial(self._answer_waiting, self.drain_token))
        return True

    def rejoin(self) -> bool:
        """The end of the drain, at once: nobody is moved any more on its account."""
        if not self.transition(LifecycleEvent.REJOIN):
            return False
        self.drain_token, self.drained_by_us = None, 0
        self.update_readiness()
        return True

    def leave(self, done: Callable[[], None], replaced: bool = False) -> None:
        """The relay is to stop: answer on, tell what stands to move, spread over the time there is. `replaced`: a new
        process takes the clients in meanwhile and nobody takes these connections over, so that nothing is gained by
        waiting."""
        if not self.transition(LifecycleEvent.LEAVE):
            return
        log.info("leaving: %d visits to be told", len(self.core.connections))
        by_us = self.core.clock() + self.kill_us - LEAVE_BY_US
        if not 0 < self.drained_by_us <= by_us:  # else the drain that is on goes on; it is fast enough
            first_us = max(FRONT_US, self.kill_us - LEAVE_AFTER_US)
            self._empty(LEAVE_STEP_US if replaced or self.drained_by_us else first_us, by_us)
        self.core.after(self.kill_us - STOP_BY_US, partial(self.stop, done))

    def _empty(self, first_us: int, by_us: int) -> None:
        """Begin to send clients away."""
        token = self.drain_token = object()
        self.drained_by_us = by_us
        self.core.after(first_us, partial(self._empty_some, token, by_us))

    def _empty_some(self, token: object, by_us: int) -> None:
        """Tell a part of what stands to move, so that the last is told by then; later comers at once."""
        if self.drain_token is not token:
            return
        standing = [v for v in self.core.connections.values() if v.state is ConnectionState.ESTABLISHED]
        left_us = max(LEAVE_STEP_US, by_us - self.core.clock())
        now = -(-len(standing) * LEAVE_STEP_US // left_us)
        for connection in standing[:now]:
            self.core.migrate(connection)
        pause_us = max(LEAVE_STEP_US, left_us // (len(standing) - now + 1) if len(standing) > now else 0)
        self.core.after(pause_us, partial(self._empty_some, token, by_us))

    def _answer_waiting(self, token: object) -> None:
        """Whoever still waits for a backend gets the answer now."""
        if self.drain_token is not token:
            return
        for connection in list(self.core.connections.values()):
            if connection.state is not ConnectionState.ESTABLISHED:
                # Guards against doubled effects: a rejection is an invitation to come again.
                self.core.answers.answer(
                    connection, Reject(connection.number) if connection.may_be_rejected else None
                )

    def stop(self, done: Callable[[], None]) -> None:
        """The last moment, once: whoever still waits gets the answer that this relay won't give later, and nothing
        begins from here on."""
        if self.state is LifecycleState.STOPPING or not self.transition(LifecycleEvent.STOP):
            return
        self._answer_waiting(self.drain_token)
        for connection in list(self.core.connections.values()):
            self.core.migrate(connection)
        self.drain_token = None
        done()
