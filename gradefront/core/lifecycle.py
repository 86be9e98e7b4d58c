"""The relay's lifecycle: whether it accepts clients, how it drains and leaves. Its table: `lifecycle_state.py`."""

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

# SIGKILL comes no sooner than the longest deadline, MAX_DEADLINE_US at most, and KILL_GRACE_US after SIGTERM.
MAX_DEADLINE_US = 3_000_000
KILL_GRACE_US = 700_000
# Before SIGKILL. Connections are served as long as may be: guards against migrating clients while the relay that left
# before is not back yet, so that no relay would take them.
MIGRATION_START_US = 1_500_000
MIGRATION_END_US = 600_000  # the last client has been notified
STOP_US = 450_000  # all requests have their answer, and nothing new begins
MIGRATION_STEP_US = 50_000
ENDPOINT_LIST_TIMEOUT_US = 3_500_000  # a process that replaces another waits so long for it, of 6 s from its start
# After SIGTERM or the call to drain: the load balancer in front still sends clients here for 0.2 to 0.4 s.
LOAD_BALANCER_DELAY_US = 450_000
DRAIN_END_US = 3_200_000  # after the call to drain, of 4 s that there are: the last client has been notified
DRAIN_ANSWER_US = 3_600_000  # after the call to drain: whoever still waits for a backend is answered


class Core(Protocol):
    """What this part uses of the core."""

    connections: dict[int, Connection]
    backends: Backends
    answers: Answers
    clock: Callable[[], int]

    def call_later(self, delay_us: int, callback: Callable[[], None]) -> Timer:
        """Run `callback` later."""

    def call_at(self, at_us: int, callback: Callable[[], None]) -> Timer:
        """Run `callback` at a time on the clock."""

    def migrate(self, connection: Connection) -> None:
        """Tell a client to reconnect."""


class Lifecycle:
    """One relay's lifecycle state, and what each transition requires."""

    def __init__(self, core: Core, classes: tuple[RequestClass, ...]) -> None:
        self.core = core
        self.state = LifecycleState.STARTING
        self.awaits_endpoint_list = False  # ready only by a list from discovery, not by one from before the start
        self.on_ready: Callable[[], None] | None = None  # called when it first accepts clients
        self.drain_token: object = None  # of the drain in progress: a step of an earlier one does nothing
        self.drained_by_us = 0  # when the last client is to be notified by the drain in progress; 0: none is
        self.kill_us = MAX_DEADLINE_US + KILL_GRACE_US  # from SIGTERM to SIGKILL
        self.stop_due_us = 0  # when `stop` runs, once the relay leaves
        self.apply_classes(classes)

    def apply_classes(self, classes: tuple[RequestClass, ...]) -> None:
        """Account for the deadlines of these classes: SIGKILL may go by the settings of any time, so the soonest."""
        self.kill_us = min(self.kill_us, max(c.deadline_us for c in classes) + KILL_GRACE_US)

    @property
    def accepts_clients(self) -> bool:
        """Whether new clients are welcome: the answer to `PING` and to the admin interface."""
        return self.state is LifecycleState.SERVING

    @property
    def accepts_work(self) -> bool:
        """Whether anything new is begun: a request, an attempt, a request line."""
        return self.state not in (LifecycleState.STOPPING, LifecycleState.STOPPED)

    def transition(self, event: LifecycleEvent) -> bool:
        """Make a transition by the table. False where it has none for the event."""
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
        """The endpoint list has changed, or what is required of it."""
        self.transition(
            LifecycleEvent.READY
            if len(self.core.backends) and not self.awaits_endpoint_list
            else LifecycleEvent.UNREADY
        )

    def await_endpoint_list(self) -> None:
        """Another process still serves: accept clients only by a fresh list, or after a timeout."""
        self.awaits_endpoint_list = True
        self.core.call_later(ENDPOINT_LIST_TIMEOUT_US, self.on_fresh_endpoint_list)

    def on_fresh_endpoint_list(self) -> None:
        """Discovery has sent a list since the start."""
        if self.awaits_endpoint_list:
            self.awaits_endpoint_list = False
            self.update_readiness()

    # ---- draining

    def lame_duck(self) -> bool:
        """Drain the relay, which goes on running: requests are still served, every connection is migrated in time."""
        was = self.state
        if not self.transition(LifecycleEvent.LAMEDUCK):
            return False
        if was not in (LifecycleState.LAME_DUCK, LifecycleState.LEAVING, LifecycleState.STOPPING):
            # Not at once: the load balancer still sends clients here, and some would come back to where they left.
            now_us = self.core.clock()
            self._begin_drain(now_us + LOAD_BALANCER_DELAY_US, now_us + DRAIN_END_US)
            self.core.call_later(DRAIN_ANSWER_US, partial(self._answer_waiting, self.drain_token))
        return True

    def rejoin(self) -> bool:
        """End the drain at once: no connection is migrated any more on its account."""
        if not self.transition(LifecycleEvent.REJOIN):
            return False
        self.drain_token, self.drained_by_us = None, 0
        self.update_readiness()
        return True

    def leave(self, done: Callable[[], None], at_once: bool = False, waited_us: int = 0) -> None:
        """Shut down gracefully, then call `done`: answer requests and spread migrations over the time until SIGKILL.

        `at_once`: a new process accepts clients meanwhile, and none takes these connections over, so that waiting
        gains nothing. `waited_us`: since SIGTERM, from which the time until SIGKILL counts.
        """
        if not self.transition(LifecycleEvent.LEAVE):
            return
        log.info("leaving: %d connections to migrate", len(self.core.connections))
        now_us = self.core.clock()
        signalled_us = now_us - waited_us
        killed_us = signalled_us + self.kill_us
        by_us = killed_us - MIGRATION_END_US
        if not 0 < self.drained_by_us <= by_us:  # else the drain in progress is fast enough
            begins_at_once = at_once or self.drained_by_us
            first_us = max(signalled_us + LOAD_BALANCER_DELAY_US, killed_us - MIGRATION_START_US)
            self._begin_drain(now_us + MIGRATION_STEP_US if begins_at_once else first_us, by_us)
        self.stop_due_us = killed_us - STOP_US
        self.core.call_at(self.stop_due_us, partial(self.stop, done))

    def _begin_drain(self, first_us: int, by_us: int) -> None:
        """Migrate from `first_us` until `by_us`, both on the clock."""
        token = self.drain_token = object()
        self.drained_by_us = by_us
        self.core.call_at(first_us, partial(self._migrate_some, token, by_us))

    def _migrate_some(self, token: object, by_us: int) -> None:
        """Migrate a part of the connections, so that the last is notified by `by_us`; later ones at once."""
        if self.drain_token is not token:
            return
        established = [c for c in self.core.connections.values() if c.state is ConnectionState.ESTABLISHED]
        left_us = max(MIGRATION_STEP_US, by_us - self.core.clock())
        count = -(-len(established) * MIGRATION_STEP_US // left_us)
        for connection in established[:count]:
            self.core.migrate(connection)
        remaining = len(established) - count
        pause_us = max(MIGRATION_STEP_US, left_us // (remaining + 1) if remaining > 0 else 0)
        self.core.call_later(pause_us, partial(self._migrate_some, token, by_us))

    def _answer_waiting(self, token: object) -> None:
        """Answer all connections that still wait for a backend."""
        if self.drain_token is not token:
            return
        for connection in list(self.core.connections.values()):
            if connection.state is not ConnectionState.ESTABLISHED:
                # Guards against doubled effects: a rejection invites the client to come again.
                self.core.answers.answer(
                    connection, Reject(connection.number) if connection.may_be_rejected else None
                )

    def stop(self, done: Callable[[], None]) -> None:
        """Answer and migrate all that is left, once, and call `done`. Nothing new begins from here on."""
        if self.state is LifecycleState.STOPPING or not self.transition(LifecycleEvent.STOP):
            return
        self._answer_waiting(self.drain_token)
        for connection in list(self.core.connections.values()):
            self.core.migrate(connection)
        self.drain_token = None
        done()
