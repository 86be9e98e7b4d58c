"""Periodic checks of the QUIC front: idle and silent connections, removed backends, paths without a connection."""

from __future__ import annotations

import logging
from itertools import islice, takewhile

from balancer.events import BackendState
from gradefront.core.attempt_outcome import Cause
from gradefront.core.connect_request import ConnectRequest
from gradefront.core.connection import Attempt
from gradefront.core.ports import BackendConnection, ConnectionEnd

from .connections import QuicBackendConnection, QuicClientConnection, connection_for_path
from .paths import Path
from .tables import Tables

log = logging.getLogger("gradefront.quic")

TICK_US = 125_000  # between two checks, each of which covers an eighth of the tables
TICKS_PER_SWEEP = 8
SILENCE_TIMEOUT_US = 5_000_000  # a backend that leaves several datagrams unanswered for so long is considered gone
SILENCE_MIN_DATAGRAMS = 4  # unanswered datagrams needed for that
#: Devices send every 2 s: one that is quiet for longer may have moved to another address.
ADDRESS_CHANGE_IDLE_US = 5_000_000
UNOWNED_PATH_US = 6_000_000  # a path that no connection takes over within this time gets a connection of its own
#: A path opened within this time after the start is adopted at once if no connection that this relay has established
#: can have moved to it (see _predates_start).
RESTART_WINDOW_US = 10_000_000
MIN_DATAGRAMS_EACH_WAY = 2  # show that a connection is in use
SERVING_STATES = (BackendState.READY, BackendState.DRAINING)


class Maintenance(Tables):
    """Checks a part of the tables at each tick, and reports to the core."""

    def connect(self, attempt: Attempt, request_line: object) -> BackendConnection:
        """Begin an attempt at a backend."""
        assert isinstance(request_line, QuicClientConnection)
        upstream = request_line.upstream = QuicBackendConnection(self, request_line, attempt)
        if request_line.adopted_path is not None:  # it is established already
            attempt.upstream = upstream
            attempt.succeed(None)
        elif attempt.backend not in self.quic.backends:
            attempt.end(Cause.UNREACHABLE)
        else:
            upstream.begin()
        return upstream

    def _tick(self) -> None:
        self.core.call_later(TICK_US, self._tick)
        now = self.now()
        for table in (self.final_answers, self.moved_ids):
            while table and next(iter(table.values()))[1] <= now:
                table.popitem(last=False)
        self.executed.expire(now)
        self.pool.close_idle(now)
        for owner in self._overdue_unconfirmed(now):
            self._end_unconfirmed(owner)
        self._end_gone_backends()
        # Later, all paths from the restart window are older than UNOWNED_PATH_US: _predates_start is not needed.
        if now - self.started_us < RESTART_WINDOW_US + UNOWNED_PATH_US:
            self.first_placed_us = self._find_first_placed()
        # An eighth of the paths, oldest first, each moved to the end of the order; then an eighth of the connections.
        for path in list(islice(self.route_ids, len(self.route_ids) // TICKS_PER_SWEEP + 1)):
            self.route_ids[path] = self.route_ids.pop(path)
            self._check_path(path, now)
        for owner in list(islice(self.connections, len(self.connections) // TICKS_PER_SWEEP + 1)):
            del self.connections[owner]
            self.connections[owner] = None
            if owner.is_established:
                self._check_connection(owner, now)

    def _overdue_unconfirmed(self, now: int) -> list[QuicClientConnection]:
        """Return the connections whose client should have continued by now.

        A request that must not be executed again stands until its client gives up: until then, the client's repeated
        Initials belong to the backend that has executed it.
        """
        oldest = takewhile(lambda owner: now - owner.created_us >= self.quic.confirm_us, self.unconfirmed)
        return [
            owner
            for owner in oldest
            if not (owner.connection and owner.must_not_repeat and now < owner.connection.gives_up_us)
        ]

    def _end_unconfirmed(self, owner: QuicClientConnection) -> None:
        """End a connection whose client did not continue after the backend's answer: its address was spoofed, or it
        has disconnected."""
        self.core.counters.add("quic_unconfirmed")
        self.admission.credit(owner.client[0], responded=False)
        if owner.connection:
            self.core.on_client_closed(owner.connection, ConnectionEnd.ORDERLY)
        owner.discard()

    def _end_gone_backends(self) -> None:
        """End all connections and paths to backends that have left the endpoint list."""
        for backend in self.quic.backends:
            serving = self.core.backends.state(backend) in SERVING_STATES
            if self.was_serving.get(backend, True) and not serving:
                for path in [p for p in self.route_ids if p.backend == backend]:
                    if path.owner is None:
                        self._close_path(path)
                for owner in [
                    v
                    for v in self.connections
                    if v.is_established and v.upstream and v.upstream.attempt.backend == backend
                ]:
                    assert owner.upstream
                    owner.upstream.attempt.end(Cause.BROKEN, ConnectionEnd.BROKEN)
            self.was_serving[backend] = serving

    def _check_path(self, path: Path, now: int) -> None:
        owner = path.owner
        sent, received = self.update_usage(path, now)
        if owner:
            if sent:
                owner.last_used_us, owner.client, owner.last_id = now, path.client, path.last_id or owner.last_id
            if (sent or received) and owner.upstream:
                owner.upstream.attempt.on_activity()
            if received:
                owner.unanswered = 0
            elif sent:
                if not owner.unanswered:
                    owner.unanswered_since_us = now
                owner.unanswered += sent
        if now - path.last_used_us > self.quic.path_idle_us and not (owner and owner.is_connecting):
            self._close_path(path)
        elif (
            owner is None
            and path.is_direct
            and path.received >= MIN_DATAGRAMS_EACH_WAY
            and path.sent >= MIN_DATAGRAMS_EACH_WAY
            and self.core.accepts_work
            and self.core.backends.state(path.backend) in SERVING_STATES
            and (now - path.created_us > UNOWNED_PATH_US or self._predates_start(path))
        ):
            self._adopt_unowned_path(path)

    def _predates_start(self, path: Path) -> bool:
        """Return whether a path without a connection must belong to a connection from before this relay's start: it
        is at least as old as any connection that this relay has placed at the backend, so that none of them can have
        moved to it from another address."""
        first = self.first_placed_us.get(path.backend)
        return path.created_us - self.started_us < RESTART_WINDOW_US and (first is None or first >= path.created_us)

    def _find_first_placed(self) -> dict[str, int]:
        """Return, by backend, when the first of this relay's current connections there was created; adopted ones do
        not count."""
        since: dict[str, int] = {}
        for owner in self.connections:
            if owner.adopted_path is None and owner.upstream:
                backend = owner.upstream.attempt.backend
                since[backend] = min(owner.created_us, since.get(backend, owner.created_us))
        return since

    def _adopt_unowned_path(self, path: Path) -> None:
        """Create a connection for a path without one on which both sides send, so that the decision module counts
        it."""
        owner = connection_for_path(self, path)
        self.connections[owner] = None
        self._assign_owner(path, owner)
        class_numbers = self.config.class_numbers
        # A reload may have dropped the class; its connections continue under another one.
        class_number = class_numbers.get(path.listener.class_name, next(iter(class_numbers.values())))
        owner.connection = self.core.adopt_connection(
            ConnectRequest(self.config.settings.classes[class_number].deadline_us, owner, class_number),
            owner,
            self,
            path.backend,
        )

    def _check_connection(self, owner: QuicClientConnection, now: int) -> None:
        assert owner.upstream and owner.connection
        attempt = owner.upstream.attempt
        if owner.unanswered >= SILENCE_MIN_DATAGRAMS and now - owner.unanswered_since_us > SILENCE_TIMEOUT_US:
            attempt.end(Cause.TIMED_OUT, ConnectionEnd.BROKEN)
        elif now - owner.last_used_us > ADDRESS_CHANGE_IDLE_US and self.adopt_paths(owner, attempt.backend):
            log.debug("connection %d continues at another client address", owner.connection.number)
        elif now - owner.last_used_us > self.quic.connection_idle_us:
            log.info("connection %d at backend %s has expired idle", owner.connection.number, attempt.backend)
            self.core.on_client_closed(owner.connection, ConnectionEnd.ORDERLY)
            owner.discard()

    def adopt_paths(self, owner: QuicClientConnection, backend: str) -> bool:
        """Give a quiet connection the paths at its backend that have no connection and were opened since its last
        use; return whether there were any.

        A connection that changes its address and id at once cannot be recognised, by QUIC's design. This rule keeps
        one connection in the core for each QUIC connection, so that a migration reaches its client.
        """
        found = False
        for path in list(owner.paths.values()):
            if self.update_usage(path, self.now())[0]:
                owner.last_used_us = self.now()
        while candidates := [
            p for p in self.unowned.values() if p.backend == backend and p.created_us > owner.last_used_us
        ]:
            path = min(candidates, key=lambda p: p.created_us)
            self.update_usage(path, self.now())
            self._assign_owner(path, owner)
            owner.add_id(path.last_id)
            owner.client, owner.listener = path.client, path.listener
            owner.last_id, owner.last_used_us = path.last_id, max(path.last_used_us, path.created_us)
            owner.unanswered = 0
            if owner.upstream:
                owner.upstream.attempt.on_activity()
            found = True
        return found
