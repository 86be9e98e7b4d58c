"""The relay's lifecycle: when it accepts clients, and how it drains and shuts down.

The table of states and transitions is in `lifecycle_state.py`.
"""

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
from .containment import run_contained
from .counters import Counters
from .lifecycle_state import LifecycleEvent, LifecycleState, next_state
from .timer_wheel import Timer

log = logging.getLogger("gradefront.lifecycle")

# SIGKILL follows SIGTERM no sooner than after the longest deadline of all classes (at most MAX_DEADLINE_US) plus
# KILL_GRACE_US.
MAX_DEADLINE_US = 3_000_000
KILL_GRACE_US = 700_000
# The next three are times before SIGKILL. Migration starts as late as possible: the relay that was restarted before
# this one may not be back yet, and then no relay would accept the migrated clients.
MIGRATION_START_US = 1_500_000
MIGRATION_END_US = 600_000  # the last client has been told to reconnect
STOP_US = 450_000  # all requests have been answered, and no new work starts
MIGRATION_STEP_US = 50_000  # shortest time between two batches of migrations
# How long a process that replaces another waits for a fresh endpoint list, out of the 6 s that it has from its start.
ENDPOINT_LIST_TIMEOUT_US = 3_500_000
# Times after SIGTERM or after the request to drain.
LOAD_BALANCER_DELAY_US = 450_000  # the load balancer in front still sends clients here for 0.2 to 0.4 s
DRAIN_END_US = 3_200_000  # the last client has been told to reconnect; the limit for a drain is 4 s
DRAIN_ANSWER_US = 3_600_000  # requests that still wait for a backend are answered


class Core(Protocol):
    """The parts of the relay core that this module uses."""

    connections: dict[int, Connection]
    backends: Backends
    answers: Answers
    counters: Counters
    clock: Callable[[], int]

    def call_later(self, delay_us: int, callback: Callable[[], None]) -> Timer:
        """Run `callback` in `delay_us` microseconds."""

    def call_at(self, at_us: int, callback: Callable[[], None]) -> Timer:
        """Run `callback` at `at_us` on the relay's clock."""

    def migrate(self, connection: Connection) -> None:
        """Tell the client of an established connection to reconnect."""


class Lifecycle:
    """One relay's lifecycle state, and the work that its transitions require."""

    def __init__(self, core: Core, classes: tuple[RequestClass, ...]) -> None:
        self.core = core
        self.state = LifecycleState.STARTING
        self.awaits_endpoint_list = False  # not ready until discovery has sent a list to this process
        self.on_ready: Callable[[], None] | None = None  # called when the relay first accepts clients
        self.drain_token: object = None  # identifies the drain in progress; callbacks of an earlier one do nothing
        self.drained_by_us = 0  # when the drain in progress will have notified the last client; 0: no drain
        self.kill_us = MAX_DEADLINE_US + KILL_GRACE_US  # shortest time from SIGTERM to SIGKILL
        self.stop_due_us = 0  # when `stop` is due; set once the relay is leaving
        self.apply_classes(classes)

    def apply_classes(self, classes: tuple[RequestClass, ...]) -> None:
        """Assume a shorter time from SIGTERM to SIGKILL if the deadlines of these classes imply one.

        SIGKILL may be timed by these settings or by any earlier ones, so the shortest of their times is assumed.
        """
        self.kill_us = min(self.kill_us, max(c.deadline_us for c in classes) + KILL_GRACE_US)

    @property
    def accepts_clients(self) -> bool:
        """Whether new clients are accepted; decides the answers to `PING`, the admin interface's too."""
        return self.state is LifecycleState.SERVING

    @property
    def accepts_work(self) -> bool:
        """Whether new requests and attempts may start, and request lines be sent."""
        return self.state not in (LifecycleState.STOPPING, LifecycleState.STOPPED)

    def transition(self, event: LifecycleEvent) -> bool:
        """Apply an event to the state. Returns False if the table has no transition for it."""
        to = next_state(self.state, event)
        if to is None:
            return False
        if to is not self.state:
            log.info("relay is %s, was %s", to.value, self.state.value)
        self.state = to
        if self.accepts_clients and self.on_ready:
            on_ready, self.on_ready = self.on_ready, None
            on_ready()
        return True

    # ---- becoming ready

    def update_readiness(self) -> None:
        """Update the state after a change of the endpoint list, or of whether a fresh list is awaited."""
        self.transition(
            LifecycleEvent.READY
            if len(self.core.backends) and not self.awaits_endpoint_list
            else LifecycleEvent.UNREADY
        )

    def await_endpoint_list(self) -> None:
        """Accept no clients until discovery sends a list or a timeout passes: another process still serves them."""
        self.awaits_endpoint_list = True
        self.core.call_later(ENDPOINT_LIST_TIMEOUT_US, self.on_fresh_endpoint_list)

    def on_fresh_endpoint_list(self) -> None:
        """Handle the first endpoint list from discovery since the start, or the timeout for it."""
        if self.awaits_endpoint_list:
            self.awaits_endpoint_list = False
            self.update_readiness()

    # ---- draining

    def lame_duck(self) -> bool:
        """Drain the relay while it keeps running: requests are still served, and all connections are migrated.

        Returns False if the relay's state does not permit it.
        """
        previous = self.state
        if not self.transition(LifecycleEvent.LAMEDUCK):
            return False
        if previous not in (LifecycleState.LAME_DUCK, LifecycleState.LEAVING, LifecycleState.STOPPING):
            # Not at once: the load balancer still sends clients here, so that some would reconnect to this relay.
            now_us = self.core.clock()
            self._begin_drain(now_us + LOAD_BALANCER_DELAY_US, now_us + DRAIN_END_US)
            self.core.call_later(DRAIN_ANSWER_US, partial(self._answer_waiting, self.drain_token))
        return True

    def rejoin(self) -> bool:
        """End the drain at once, without further migrations. Returns False if the state does not permit it."""
        if not self.transition(LifecycleEvent.REJOIN):
            return False
        self.drain_token, self.drained_by_us = None, 0
        self.update_readiness()
        return True

    def leave(self, done: Callable[[], None], at_once: bool = False, waited_us: int = 0) -> None:
        """Shut down gracefully, then call `done`: answer requests and spread migrations over the time until SIGKILL.

        `at_once`: start migrating immediately, for when a new process already accepts clients and these connections
        are not handed over to it. `waited_us`: how long ago SIGTERM arrived, from which the time to SIGKILL counts.
        """
        if not self.transition(LifecycleEvent.LEAVE):
            return
        log.info("leaving: %d connections to migrate", len(self.core.connections))
        now_us = self.core.clock()
        signalled_us = now_us - waited_us
        kill_at_us = signalled_us + self.kill_us
        end_us = kill_at_us - MIGRATION_END_US
        if not 0 < self.drained_by_us <= end_us:  # else the drain in progress ends early enough
            begins_at_once = at_once or self.drained_by_us
            start_us = max(signalled_us + LOAD_BALANCER_DELAY_US, kill_at_us - MIGRATION_START_US)
            self._begin_drain(now_us + MIGRATION_STEP_US if begins_at_once else start_us, end_us)
        self.stop_due_us = kill_at_us - STOP_US
        self.core.call_at(self.stop_due_us, partial(self.stop, done))

    def _begin_drain(self, start_us: int, end_us: int) -> None:
        """Spread the migration of all connections over the time from `start_us` to `end_us` on the relay's clock."""
        token = self.drain_token = object()
        self.drained_by_us = end_us
        self.core.call_at(start_us, partial(self._migrate_batch, token, end_us))

    def _migrate_batch(self, token: object, end_us: int) -> None:
        """Migrate the next batch, sized so that the last client is notified by `end_us`; after that, all at once."""
        if self.drain_token is not token:
            return
        established = [c for c in self.core.connections.values() if c.state is ConnectionState.ESTABLISHED]
        remaining_us = max(MIGRATION_STEP_US, end_us - self.core.clock())
        batch_size = -(-len(established) * MIGRATION_STEP_US // remaining_us)
        for connection in established[:batch_size]:
            self._end(connection, self.core.migrate)
        remaining = len(established) - batch_size
        pause_us = max(MIGRATION_STEP_US, remaining_us // (remaining + 1) if remaining > 0 else 0)
        self.core.call_later(pause_us, partial(self._migrate_batch, token, end_us))

    def _answer_waiting(self, token: object) -> None:
        """Answer all requests that still wait for a backend, unless the drain of `token` has ended."""
        if self.drain_token is not token:
            return
        for connection in list(self.core.connections.values()):
            if connection.state is not ConnectionState.ESTABLISHED:
                self._end(connection, self._answer)

    def _answer(self, connection: Connection) -> None:
        # A rejection invites a retry, which must not execute a request twice.
        self.core.answers.answer(connection, Reject(connection.number) if connection.may_be_rejected else None)

    def _end(self, connection: Connection, end: Callable[[Connection], None]) -> None:
        """Apply `end` to a connection. An exception concerns only this connection; the others must still be ended."""
        run_contained(self.core.counters, f"connection {connection.number}", partial(end, connection))

    def stop(self, done: Callable[[], None]) -> None:
        """Answer the remaining requests, migrate the remaining connections, and call `done`.

        No new work starts from then on. A second call does nothing.
        """
        if self.state is LifecycleState.STOPPING or not self.transition(LifecycleEvent.STOP):
            return
        self._answer_waiting(self.drain_token)
        for connection in list(self.core.connections.values()):
            self._end(connection, self.core.migrate)
        self.drain_token = None
        done()
