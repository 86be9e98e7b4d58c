"""Adoption of an established connection from its snapshot and its two sockets."""

from __future__ import annotations

import os
import socket
from contextlib import suppress
from dataclasses import dataclass

from gradefront.core.adopted import adopt_established
from gradefront.core.connect_request import ConnectRequest
from gradefront.core.connection import Connection
from gradefront.core.relay import RelayCore
from gradefront.net.backend_connection import BackendProtocol, LineBackendConnection, RequestStage
from gradefront.net.base import LineProtocol
from gradefront.net.client_protocol import ClientProtocol, ClientProtocolFactory
from gradefront.net.lines import InvalidLineError, RequestLine
from gradefront.net.reactor import Reactor

from .form import ConnectionSnapshot, SnapshotError, decode_snapshot, stored_rules
from .handover_messages import HandoverMessage
from .handover_sockets import SingleProtocolFactory, close_own_descriptor

SOCKETS_PER_CONNECTION = 2  # the client's and the backend's, in this order


class AdoptionError(Exception):
    """A connection that this process cannot adopt. Its sockets are as the sender left them."""


class AdoptedClient(ClientProtocol):
    """An adopted client connection, whose request has already been accepted."""

    def connectionMade(self) -> None:
        """Count the connection. It gets no timeout for its request line."""
        self.arrived_us = self.client_factory.core.clock()
        # A placeholder: `_close` always cancels a timer.
        self.timeout = self.client_factory.core.call_later(0, lambda: None)
        self.client_factory.open_connections += 1

    def disown(self) -> None:
        """Undo `connectionMade`: this process's descriptor is closed, and the connection goes on elsewhere."""
        self.closing = True
        self.client_factory.open_connections -= 1
        close_own_descriptor(self.tcp)


class AdoptedBackend(BackendProtocol):
    """An adopted backend connection. `upstream` is set once both sockets are taken."""

    upstream: LineBackendConnection

    def __init__(self) -> None:
        self.stage = RequestStage.SENT

    def connectionMade(self) -> None:
        """Send nothing: the previous process has sent the first line."""


@dataclass(frozen=True, slots=True)
class AdoptedConnection:
    """A connection that this process has adopted but not served yet."""

    core: RelayCore
    connection: Connection
    snapshot: ConnectionSnapshot
    client: AdoptedClient
    backend: AdoptedBackend
    must_migrate: bool  # this process has other rules for its request class

    def begin(self) -> None:
        """Serve the connection, or migrate it under other rules and while this process accepts no more work."""
        if self.must_migrate or not self.core.accepts_work:
            self.core.migrate(self.connection)
            return
        self.client.replay_received(self.snapshot.partial_client_line)
        self.backend.replay_received(self.snapshot.partial_backend_line)


class Adopter:
    """Makes connections of this process from handover messages."""

    def __init__(self, core: RelayCore, client_factory: ClientProtocolFactory, reactor: Reactor) -> None:
        self.core = core
        self.client_factory = client_factory
        self.reactor = reactor

    def adopt(self, message: HandoverMessage, fds: list[int], is_truncated: bool) -> AdoptedConnection:
        """Adopt one connection; `fds` are duplicated.

        Raises AdoptionError. The connection is registered last, so that none is ever registered without its sockets.
        """
        if is_truncated or len(fds) != SOCKETS_PER_CONNECTION:
            raise AdoptionError(f"{len(fds)} sockets{', truncated message' if is_truncated else ''}")
        snapshot = self._read_snapshot(message)
        client, backend = AdoptedClient(self.client_factory), AdoptedBackend()
        client_fd, backend_fd = fds
        try:
            self._adopt_socket(backend_fd, backend)
        except OSError as error:
            raise AdoptionError(f"the backend's socket: {error}") from error
        try:
            self._adopt_socket(client_fd, client)
        except OSError as error:
            close_own_descriptor(backend.tcp)
            raise AdoptionError(f"the client's socket: {error}") from error
        try:
            return self._register(snapshot, client, backend)
        except Exception as error:
            client.disown()
            close_own_descriptor(backend.tcp)
            raise AdoptionError(f"cannot be registered: {error!r}") from error

    def migrate_client(self, fds: list[int]) -> None:
        """Tell the client of a connection that cannot be adopted to reconnect, if its socket has arrived.

        For a sender that awaits no answer, and therefore has closed its own descriptors.
        """
        client = AdoptedClient(self.client_factory)
        with suppress(OSError):  # the client has disconnected
            for fd in fds[:1]:
                self._adopt_socket(fd, client)
                client.migrate()

    def _read_snapshot(self, message: HandoverMessage) -> ConnectionSnapshot:
        now_us = self.core.clock()
        try:
            if message.clock_us is None:
                return decode_snapshot(message.snapshot, now_us)
            snapshot = decode_snapshot(message.snapshot, message.clock_us)
        except SnapshotError as error:
            raise AdoptionError(str(error)) from error
        return snapshot.shifted(now_us - message.clock_us)

    def _adopt_socket(self, fd: int, protocol: LineProtocol) -> None:
        """Connect `protocol` to a duplicate of the socket. Raises OSError, e.g. if the peer has reset it."""
        os.set_blocking(fd, False)
        self.reactor.adoptStreamConnection(fd, socket.AF_INET, SingleProtocolFactory(protocol))

    def _register(
        self, snapshot: ConnectionSnapshot, client: AdoptedClient, backend: AdoptedBackend
    ) -> AdoptedConnection:
        """Register the connection as established in the core, and connect both protocols with it."""
        core, client_factory = self.core, self.client_factory
        class_numbers = client_factory.config.class_numbers
        class_number = class_numbers.get(snapshot.request_class)
        has_same_rules = (
            class_number is not None and stored_rules(core.settings.classes[class_number]) == snapshot.class_rules
        )
        connection, attempt = adopt_established(
            core,
            ConnectRequest(
                0,
                None,
                class_number if class_number is not None else next(iter(class_numbers.values())),
                snapshot.tenant,
                snapshot.idempotency_key,
                snapshot.sticky_group,
                snapshot.load,
                True,
            ),
            client,
            client_factory.connector,
            snapshot.backend,
            snapshot.last_received_us,
            snapshot.awaiting_reply_us,
        )
        upstream = LineBackendConnection(attempt, RequestLine(b"", b"", False), client_factory.closing_upstreams)
        upstream.line_protocol, backend.upstream = backend, upstream
        attempt.upstream, attempt.connection_load = upstream, snapshot.load
        client.id, client.connection = snapshot.id.encode(), connection
        with suppress(InvalidLineError):  # a duplicate id is no reason to close the connection
            client_factory.record_connection_id(client.id)
        client.start_forwarding(upstream)
        return AdoptedConnection(core, connection, snapshot, client, backend, not has_same_rules)
