"""Clients' connections on the platform's lines: the protocol of one connection, and its factory.

Clients that make no request, or send what no client sends, come by hundreds and reconnect at once: they are
rejected early and cheaply.
"""

from __future__ import annotations

import errno
import logging
from typing import Any

from twisted.internet.protocol import ServerFactory

from gradefront.config import Config
from gradefront.core.connection import BackendConnector, Connection
from gradefront.core.ports import BackendConnection, ConnectionEnd
from gradefront.core.relay import RelayCore

from .backend_connection import LineBackendConnection
from .base import LineProtocol, ending
from .closing import DESCRIPTOR_SHARE, ConnectionCloser
from .descriptor_budget import DescriptorBudget
from .lines import InvalidLineError, parse_connection_id, parse_request_line
from .seen_ids import SeenIds

log = logging.getLogger("gradefront.client")

PRE_REQUEST_TIMEOUT_US = 2_200_000  # from connecting; a client that has made no request is owed an answer within 3 s
MAX_PINGS = 32  # on one connection, before its request
MIN_PRE_REQUEST_AGE_US = (
    250_000  # a younger connection is not closed for its descriptor: its request may be under way
)


class ClientProtocol(LineProtocol):
    """The lines to and from one client. To the core it is the connection's client side (`ports.ClientConnection`)."""

    def __init__(self, client_factory: ClientProtocolFactory) -> None:
        self.client_factory = client_factory
        self.connection: Connection | None = None
        self.upstream: LineBackendConnection | None = None  # from when the connection is established
        self.pings = 0
        self.id = b""  # the connection id in its request
        self.closing = False

    # ---- Twisted's protocol

    def connectionMade(self) -> None:
        """The client connected."""
        self.send_at_once()
        self.arrived_us = self.client_factory.core.clock()
        self.timeout = self.client_factory.core.call_later(PRE_REQUEST_TIMEOUT_US, self._on_pre_request_timeout)
        self.client_factory.on_connected(self)

    def _on_pre_request_timeout(self) -> None:
        """Guards the descriptors: silence, half a line, dripping bytes, endless `PING` get no more time."""
        self.client_factory.core.counters.add("mute")
        self._finish_with(b"ERR")

    def lineReceived(self, line: bytes) -> None:
        """Handle a line. Guards the relay: an exception ends this connection only."""
        try:
            self._line(line)
        except Exception:
            log.exception("a client's line failed")
            self.client_factory.core.counters.add("exceptions")
            self.fail_protocol()

    def _line(self, line: bytes) -> None:
        if self.closing:
            return
        if self.upstream:
            self.upstream.forward_line(line)
        elif self.connection:
            self.client_factory.count_invalid(
                "a line before its connection was established"
            )  # a client waits for its answer first
            self.client_factory.core.fail_unestablished(self.connection)
        elif line == b"PING" and self.pings < MAX_PINGS:
            self.pings += 1
            self.write_line(b"PONG" if self.client_factory.core.lifecycle.accepts_clients else b"ERR")
        else:
            self._on_request_line(line)

    def _on_request_line(self, line: bytes) -> None:
        client_factory = self.client_factory
        try:
            request, backend = parse_request_line(line, client_factory.config)
            self.id = parse_connection_id(line)
            client_factory.record_connection_id(self.id)
        except InvalidLineError as error:
            if error.request_class in client_factory.core.request_classes.names:  # it was in force before
                client_factory.core.counters.add_for_class("errored_total", error.request_class)
            client_factory.count_invalid(str(error))
            self._finish_with(b"ERR")
            return
        if client_factory.descriptors_held() + 1 > client_factory.budget.for_requests:
            # Guards against running out of descriptors: a connection holds one more, to its backend.
            client_factory.core.counters.add("no_sockets")
            client_factory.core.count_answer("deferred_total", request.request_class)
            self._finish_with(b"BUSY")
            return
        self.timeout.cancel()
        client_factory.pre_request.pop(self, None)
        if backend:
            self.connection = client_factory.core.adopt_connection(request, self, client_factory.connector, backend)
        else:
            self.connection = client_factory.core.accept(request, self, client_factory.connector)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: ARG002 - Twisted's signature
        """End this connection for an overlong line."""
        if not self.closing:
            self.client_factory.count_invalid("an overlong line")
            self.fail_protocol()

    def fail_protocol(self) -> None:
        """End a connection on which nothing more can be understood, with a final answer if one is owed."""
        if self.connection and self.upstream:
            self.client_factory.core.migrate(self.connection)
        elif self.connection:
            self.client_factory.core.fail_unestablished(self.connection)
        self._finish_with(b"ERR")

    def peer_ended(self) -> None:
        """The client has shut its sending side and may still read: nothing more is forwarded for it, but a final
        answer harms in neither reading."""
        unfinished = self.take_partial_line()
        if self.upstream and unfinished:
            self.upstream.forward_partial_line(unfinished)
        was_established = self.upstream is not None
        if self.connection:
            self.client_factory.core.on_client_closed(self.connection, ConnectionEnd.ORDERLY)
        if self.connection and not was_established:
            self._finish_with(b"ERR")
        self._close()
        self.client_factory.closing.on_peer_ended(self)

    def connectionLost(self, reason: Any = None) -> None:
        """The client or this relay ended the connection."""
        super().connectionLost(reason)
        self.client_factory.open_connections -= 1
        self.client_factory.pre_request.pop(self, None)
        self.timeout.cancel()
        unfinished = self.take_partial_line()
        if self.upstream and unfinished and not self.closing:
            self.upstream.forward_partial_line(unfinished)
        self.closing = True
        if self.connection:
            self.client_factory.core.on_client_closed(self.connection, ending(reason))

    # ---- the core's client side

    def establish(self, upstream: BackendConnection, response_line: object) -> None:
        """Forward the backend's response line, then all lines both ways."""
        assert isinstance(upstream, LineBackendConnection) and isinstance(response_line, bytes)
        self.write_line(response_line)
        if not self.closing:
            self.start_forwarding(upstream)

    def start_forwarding(self, upstream: LineBackendConnection) -> None:
        """Forward all lines both ways, each side held back by the other's pace."""
        assert upstream.line_protocol
        client_transport, backend_transport = self.tcp, upstream.line_protocol.tcp
        self.upstream = upstream
        upstream.to_client = client_transport.write
        client_transport.registerProducer(backend_transport, True)
        backend_transport.registerProducer(client_transport, True)

    def reject(self, retry_after_us: int) -> None:
        """Final answer `BUSY`, with the pause in ms if one is advised (0: none)."""
        self._finish_with(b"BUSY %d" % -(-retry_after_us // 1000) if retry_after_us > 0 else b"BUSY")

    def fail(self) -> None:
        """Final answer `ERR`, which promises nothing."""
        self._finish_with(b"ERR")

    def migrate(self) -> None:
        """Final line `MOVE`. Only complete lines are forwarded, so it never cuts one."""
        self._finish_with(b"MOVE")

    def close(self, ending: ConnectionEnd) -> None:
        """End as the backend did."""
        self._close(ending)  # broken or not, its `UP` or its last line may still lie in the transport's buffer

    def _finish_with(self, line: bytes) -> None:
        if not self.closing:
            self.write_line(line)
            self._close()

    def _close(self, how: ConnectionEnd = ConnectionEnd.ORDERLY) -> None:
        if self.closing:
            return
        self.closing = True
        self.tcp.unregisterProducer()  # else the transport would wait for its producer's end
        self.timeout.cancel()
        self.client_factory.pre_request.pop(self, None)
        self.finish(self.client_factory.closing, how)

    def has_disconnected(self) -> bool:
        """Whether the client has ended its side, even where that lies unread. What it sent before is handled."""
        return self.read_available()

    def free_descriptor(self) -> None:
        """Reject this client, since others need its descriptor more."""
        self.client_factory.core.counters.add("ended_for_room")
        self._finish_with(b"BUSY")

    def reject_for_descriptors(self) -> None:
        """Reject this client for want of descriptors, after a request that it has sent already is answered."""
        self.client_factory.core.counters.add("no_sockets")
        self.read_available()
        self._finish_with(b"BUSY")


class ClientProtocolFactory(ServerFactory):
    """Accepts clients' connections and keeps their descriptors within the budget.

    `connector` reaches backends for these clients; `upstreams` holds connections to backends that are being closed.
    """

    noisy = False

    def __init__(
        self, config: Config, core: RelayCore, connector: BackendConnector, upstreams: ConnectionCloser | None = None
    ) -> None:
        self.config = config
        self.core = core
        self.connector = connector
        self.open_connections = 0
        self.pre_request: dict[ClientProtocol, None] = {}  # connections without a request, the oldest first
        self.seen_ids = SeenIds()
        self.closing = ConnectionCloser(core, config.sockets // DESCRIPTOR_SHARE)
        self.upstreams = upstreams or ConnectionCloser(core, config.sockets // DESCRIPTOR_SHARE)

    @property
    def budget(self) -> DescriptorBudget:
        """Limits on descriptors, by the configuration in force."""
        return DescriptorBudget(self.config.sockets)

    def buildProtocol(self, addr: object) -> ClientProtocol:  # noqa: ARG002 - Twisted's signature
        """A client connects. Every accepted one gets an answer, even for want of descriptors."""
        return ClientProtocol(self)

    def accept_failed(self, error: OSError) -> None:
        """No connection could be accepted. For want of this process's descriptors, free the one needed least."""
        self.core.counters.count_fault(
            "accept_errors", f"no connection could be accepted: {error}", self.core.clock()
        )
        if (
            error.errno != errno.EMFILE
            or self.closing.free_descriptor()
            or self.upstreams.free_descriptor()
            or not self.pre_request
        ):
            return
        next(iter(self.pre_request)).free_descriptor()

    def reject_pre_request(self) -> None:
        """The relay exits: reject the connections without a request."""
        for client in list(self.pre_request):
            client.free_descriptor()

    def descriptors_held(self) -> int:
        """Descriptors held for clients: one a client, and one more for each connection to its backend, which is held
        a little longer than the connection."""
        return self.open_connections + len(self.core.connections) + len(self.upstreams)

    def on_connected(self, client: ClientProtocol) -> None:
        """A client connected. Where descriptors run short, close connections that need theirs least."""
        self.open_connections += 1
        self.pre_request[client] = None
        budget = self.budget
        while self.descriptors_held() > budget.before_request and (
            self.closing.free_descriptor() or self.upstreams.free_descriptor()
        ):
            pass  # these have had their final answers
        if self.descriptors_held() > budget.before_request:
            oldest = next(iter(self.pre_request))
            if client.arrived_us - oldest.arrived_us > MIN_PRE_REQUEST_AGE_US:
                oldest.free_descriptor()
        # The protocol page lets a new connection be shut unread then; here its request, if it has come, is answered.
        if self.descriptors_held() > budget.for_connections:
            client.reject_for_descriptors()

    def record_connection_id(self, connection_id: bytes) -> None:
        """Record a connection's id. Raises InvalidLineError for one that was used before."""
        self.seen_ids.add(connection_id)

    def count_invalid(self, what: str) -> None:
        """Count what no client sends."""
        self.core.counters.count_fault("bad_lines", f"bad client: {what}", self.core.clock())
