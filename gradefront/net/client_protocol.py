"""Client connections on the platform's line protocol: the protocol of one connection, and its factory.

Clients that send no request or an invalid one arrive by the hundreds and reconnect at once, so they are rejected
early and cheaply.
"""

from __future__ import annotations

import errno
import logging
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ServerFactory

from gradefront.config import Config
from gradefront.core.connection import BackendConnector, Connection
from gradefront.core.containment import run_contained
from gradefront.core.ports import BackendConnection, ConnectionEnd
from gradefront.core.relay import RelayCore

from .backend_connection import LineBackendConnection
from .base import LineProtocol, connection_end
from .closing import DESCRIPTOR_SHARE, ConnectionCloser
from .descriptor_budget import DescriptorBudget
from .lines import InvalidLineError, parse_connection_id, parse_request_line
from .seen_ids import SeenIds

log = logging.getLogger("gradefront.client")

PRE_REQUEST_TIMEOUT_US = 2_200_000  # since accept; the platform requires an answer within 3 s, even without a request
MAX_PINGS = 32  # `PING` lines answered on one connection before its request
MIN_PRE_REQUEST_AGE_US = (
    250_000  # younger connections are not closed to free a descriptor: their request may be in transit
)


class ClientProtocol(LineProtocol):
    """Line protocol of one client connection. Implements the core's `ports.ClientConnection`."""

    def __init__(self, client_factory: ClientProtocolFactory) -> None:
        self.client_factory = client_factory
        self.connection: Connection | None = None
        self.upstream: LineBackendConnection | None = None  # set once the connection is established
        self.pings = 0
        self.id = b""  # connection id of the request line
        self.closing = False

    # ---- Twisted's protocol

    def connectionMade(self) -> None:
        """Register the connection with the factory, and start the timeout for its request."""
        self.disable_nagle()
        self.arrived_us = self.client_factory.core.clock()
        self.timeout = self.client_factory.core.call_later(PRE_REQUEST_TIMEOUT_US, self._on_pre_request_timeout)
        self.client_factory.on_connected(self)

    def _on_pre_request_timeout(self) -> None:
        """Close the connection with `ERR`, because no complete request has arrived in time.

        Neither single bytes nor `PING` extend the timeout, so that such clients cannot hold descriptors.
        """
        self.client_factory.core.counters.add("mute")
        self._finish_with(b"ERR")

    def lineReceived(self, line: bytes) -> None:
        """Handle a line. An exception is logged and ends this connection only."""
        try:
            self._handle_line(line)
        except Exception:
            log.exception("unhandled exception while processing a line from a client")
            self.client_factory.core.counters.add("exceptions")
            self.fail_protocol()

    def _handle_line(self, line: bytes) -> None:
        if self.closing:
            return
        if self.upstream:
            self.upstream.forward_line(line)
        elif self.connection:
            # The protocol requires a client to wait for the answer to its request before it sends anything.
            self.client_factory.count_invalid("sent a line before its connection was established")
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
            connection_id = parse_connection_id(line)
            client_factory.record_connection_id(connection_id)
            self.id = connection_id
        except InvalidLineError as error:
            # An error of a class that an earlier configuration had is still counted for that class.
            if error.request_class in client_factory.core.request_classes.names:
                client_factory.core.counters.add_for_class("errored_total", error.request_class)
            client_factory.count_invalid(str(error))
            self._finish_with(b"ERR")
            return
        if client_factory.descriptors_held() + 1 > client_factory.budget.for_requests:
            # Each forwarded request needs one more descriptor, for the backend connection.
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

    def line_too_long(self) -> None:
        """End this connection with a final answer, because a line exceeds the length limit."""
        if not self.closing:
            self.client_factory.count_invalid("sent a line that exceeds the length limit")
            self.fail_protocol()

    def fail_protocol(self) -> None:
        """End the connection after a protocol violation, with the final answer that its state requires."""
        if self.connection and self.upstream:
            self.client_factory.core.migrate(self.connection)
        elif self.connection:
            self.client_factory.core.fail_unestablished(self.connection)
        self._finish_with(b"ERR")

    def on_peer_eof(self) -> None:
        """Handle a client that has closed its sending side: forward nothing more, but send a pending final answer.

        Whether the client still reads is unknown; if it does not, the answer does no harm.
        """
        partial_line = self.take_partial_line()
        if self.upstream and partial_line:
            self.upstream.forward_partial_line(partial_line)
        was_established = self.upstream is not None
        if self.connection:
            self.client_factory.core.on_client_closed(self.connection, ConnectionEnd.ORDERLY)
        if self.connection and not was_established:
            self._finish_with(b"ERR")
        self._close()
        self.client_factory.closing.on_peer_eof(self)

    def connectionLost(self, reason: Any = None) -> None:
        """Release what the connection holds, and notify the core, after either side has closed it."""
        super().connectionLost(reason)
        self.client_factory.open_connections -= 1
        self.client_factory.seen_ids.on_ended(self.id)
        self.client_factory.pre_request.pop(self, None)
        self.timeout.cancel()
        partial_line = self.take_partial_line()
        if self.upstream and partial_line and not self.closing:
            self.upstream.forward_partial_line(partial_line)
        self.closing = True
        if self.connection:
            self.client_factory.core.on_client_closed(self.connection, connection_end(reason))

    # ---- the core's ports.ClientConnection

    def establish(self, upstream: BackendConnection, response_line: object) -> None:
        """Forward the backend's response line, then all lines in both directions."""
        assert isinstance(upstream, LineBackendConnection) and isinstance(response_line, bytes)
        self.write_line(response_line)
        if not self.closing:
            self.start_forwarding(upstream)

    def start_forwarding(self, upstream: LineBackendConnection) -> None:
        """Forward all lines in both directions, with back pressure from each side to the other."""
        assert upstream.line_protocol
        client_transport, backend_transport = self.tcp, upstream.line_protocol.tcp
        self.upstream = upstream
        upstream.to_client = client_transport.write
        client_transport.registerProducer(backend_transport, True)
        backend_transport.registerProducer(client_transport, True)

    def reject(self, retry_after_us: int) -> None:
        """Send the final answer `BUSY`, with Retry-After in milliseconds unless `retry_after_us` is 0."""
        self._finish_with(b"BUSY %d" % -(-retry_after_us // 1000) if retry_after_us > 0 else b"BUSY")

    def fail(self) -> None:
        """Send the final answer `ERR`, which, unlike `BUSY`, makes no promise about the request."""
        self._finish_with(b"ERR")

    def migrate(self) -> None:
        """Send the final line `MOVE`. It cannot split another line, because only complete lines are forwarded."""
        self._finish_with(b"MOVE")

    def close(self, ending: ConnectionEnd) -> None:
        """Close the connection in the way in which the backend's ended."""
        self._close(ending)  # not at once even if BROKEN: `UP` or the last line may still be in the buffer

    def _finish_with(self, line: bytes) -> None:
        if not self.closing:
            self.write_line(line)
            self._close()

    def _close(self, ending: ConnectionEnd = ConnectionEnd.ORDERLY) -> None:
        if self.closing:
            return
        self.closing = True
        self.tcp.unregisterProducer()  # else the transport would close only after its producer has finished
        self.timeout.cancel()
        self.client_factory.pre_request.pop(self, None)
        self.finish(self.client_factory.closing, ending)

    def has_disconnected(self) -> bool:
        """Handle unread data; return whether the client has closed its side, even if the reactor has not noticed."""
        return self.read_available()

    def free_descriptor(self) -> None:
        """Reject this client, which has sent no request, to free its descriptor for others."""
        self.client_factory.core.counters.add("ended_for_room")
        self._finish_with(b"BUSY")

    def reject_for_descriptors(self) -> None:
        """Reject this client for lack of descriptors, but first answer a request that it has already sent."""
        self.client_factory.core.counters.add("no_sockets")
        self.read_available()
        self._finish_with(b"BUSY")


class ClientProtocolFactory(ServerFactory):
    """Accepts client connections and keeps their file descriptors within the budget.

    `connector` opens backend connections for these clients; `closing_upstreams` holds those that are closing.
    """

    noisy = False

    def __init__(
        self,
        config: Config,
        core: RelayCore,
        connector: BackendConnector,
        closing_upstreams: ConnectionCloser | None = None,
    ) -> None:
        self.config = config
        self.core = core
        self.connector = connector
        self.open_connections = 0
        self.pre_request: dict[ClientProtocol, None] = {}  # connections without a request, oldest first
        self.seen_ids = SeenIds()
        self.on_descriptor_used: Callable[[], None] = lambda: None  # called when a client's connection is accepted
        self.closing = ConnectionCloser(core, config.sockets // DESCRIPTOR_SHARE)
        self.closing_upstreams = closing_upstreams or ConnectionCloser(core, config.sockets // DESCRIPTOR_SHARE)

    @property
    def budget(self) -> DescriptorBudget:
        """Limits on file descriptors by the current configuration."""
        return DescriptorBudget(self.config.sockets)

    def buildProtocol(self, addr: object) -> ClientProtocol:  # noqa: ARG002 - Twisted's signature
        """Create the protocol of an accepted connection. Each gets an answer, even if descriptors are exhausted."""
        return ClientProtocol(self)

    def accept_failed(self, error: OSError) -> None:
        """Count a failed accept. If this process is out of descriptors (EMFILE), free the least needed one."""
        self.core.counters.count_fault(
            "accept_errors", f"accept failed on the client listener: {error}", self.core.clock()
        )
        if error.errno == errno.EMFILE:
            self.free_descriptor()

    def free_descriptor(self) -> bool:
        """Free the least needed descriptor, in two calls if its client has not been answered yet.

        A descriptor is free in the next iteration of the event loop. Returns False if all are needed.
        """
        if self.closing.free_descriptor() or self.closing_upstreams.free_descriptor():
            return True
        if not self.pre_request:
            return False
        next(iter(self.pre_request)).free_descriptor()
        return True

    def reject_pre_request(self) -> None:
        """Reject all connections without a request, because the relay exits."""
        for client in list(self.pre_request):
            run_contained(self.core.counters, "a client without a request", client.free_descriptor)

    def descriptors_held(self) -> int:
        """Return the number of descriptors held for clients: one per client, and one per backend connection.

        A backend connection stays open a little longer than its client's.
        """
        return self.open_connections + len(self.core.connections) + len(self.closing_upstreams)

    def health_check_limit(self) -> int:
        """Return how many descriptors may be held for health checks."""
        return self.budget.for_health_checks(self.descriptors_held())

    def on_connected(self, client: ClientProtocol) -> None:
        """Register a connection. If descriptors run short, close the connections that need theirs least."""
        self.open_connections += 1
        self.pre_request[client] = None
        self.on_descriptor_used()
        budget = self.budget
        while self.descriptors_held() > budget.before_request and (
            self.closing.free_descriptor() or self.closing_upstreams.free_descriptor()
        ):
            pass  # these connections have already sent their final answer
        if self.descriptors_held() > budget.before_request:
            oldest = next(iter(self.pre_request))
            if client.arrived_us - oldest.arrived_us > MIN_PRE_REQUEST_AGE_US:
                oldest.free_descriptor()
        # The platform's protocol permits closing such a connection unread; here a request that arrived is answered.
        if self.descriptors_held() > budget.for_connections:
            client.reject_for_descriptors()

    def record_connection_id(self, connection_id: bytes) -> None:
        """Record a connection id. Raises InvalidLineError if it was used before."""
        self.seen_ids.add(connection_id)

    def count_invalid(self, what: str) -> None:
        """Count a protocol violation by a client, and log it rate-limited."""
        self.core.counters.count_fault("bad_lines", f"protocol violation by a client: {what}", self.core.clock())
