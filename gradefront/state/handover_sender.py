"""The sending side of a handover: a replaced process sends its connections to the newest one.

One message carries the snapshot of one connection and its two sockets (SCM_RIGHTS). Connections that cannot be handed
over are migrated, as without a handover.
"""

from __future__ import annotations

import logging
import socket

from gradefront.core.adopted import release_for_handover
from gradefront.core.connection import Connection, ConnectionState
from gradefront.core.relay import RelayCore
from gradefront.net.backend_connection import LineBackendConnection
from gradefront.net.client_protocol import ClientProtocol, ClientProtocolFactory

from .form import ConnectionSnapshot, encode_snapshot, stored_rules
from .handover_sockets import close_own_descriptor, has_sent_all

log = logging.getLogger("gradefront.handover")

STEP_US = 20_000
STEP_CONNECTIONS = 4  # per step: the receiver needs about 1 ms of its CPU share to adopt one


class HandoverSender:
    """Hands the connections of this process over to the newest one, through the connected Unix socket `sock`."""

    def __init__(self, core: RelayCore, client_factory: ClientProtocolFactory, sock: socket.socket) -> None:
        self.core = core
        self.client_factory = client_factory
        self.sock: socket.socket | None = sock

    def step(self) -> None:
        """Hand over up to STEP_CONNECTIONS connections; repeat every STEP_US while any client is left."""
        sent = 0
        for connection in list(self.core.connections.values()):
            if self.sock is None or sent == STEP_CONNECTIONS:
                break
            sent += self._hand_over(self.sock, connection)
        if self.sock and (self.core.connections or self.client_factory.open_connections):
            self.core.call_later(STEP_US, self.step)
        else:
            self.close()

    def close(self) -> None:
        """Stop handing over connections."""
        if self.sock:
            self.sock.close()
        self.sock = None

    def _hand_over(self, sock: socket.socket, connection: Connection) -> bool:
        """Hand one connection over. Return False if that is impossible, or possible only in a later step."""
        client, upstream = connection.client, _upstream(connection)
        if upstream is None or upstream.line_protocol is None:
            return False
        if not isinstance(client, ClientProtocol) or client.closing:
            return False
        client_transport, backend_transport = client.tcp, upstream.line_protocol.tcp
        if not (has_sent_all(client_transport) and has_sent_all(backend_transport)):
            return False
        snapshot = self._snapshot(connection, client.take_partial_line(), upstream.line_protocol.take_partial_line())
        descriptors = [client_transport.getHandle().fileno(), backend_transport.getHandle().fileno()]
        try:
            socket.send_fds(sock, [encode_snapshot(snapshot)], descriptors)
        except OSError as error:
            client.replay_received(snapshot.partial_client_line)
            upstream.line_protocol.replay_received(snapshot.partial_backend_line)
            if not isinstance(error, BlockingIOError):
                log.warning("handover to the newest process failed; no more connections are handed over: %s", error)
                self.close()
            return False
        close_own_descriptor(client_transport)
        close_own_descriptor(backend_transport)
        self.client_factory.open_connections -= 1
        client.closing, upstream.gone = True, True
        release_for_handover(self.core, connection)
        return True

    def _snapshot(self, connection: Connection, from_client: bytes, from_backend: bytes) -> ConnectionSnapshot:
        """Build the snapshot of an established connection, including the partial line received from each side."""
        client, attempt, request = connection.client, connection.attempt, connection.connect_request
        assert attempt and isinstance(client, ClientProtocol)
        return ConnectionSnapshot(
            id=client.id.decode(),
            request_class=self.core.request_classes.names[request.request_class],
            class_rules=stored_rules(connection.settings.classes[request.request_class]),
            idempotency_key=request.idempotency_key,
            sticky_group=request.sticky_group,
            tenant=request.tenant,
            backend=attempt.backend,
            load=attempt.connection_load,
            last_received_us=attempt.last_received_us,
            awaiting_reply_us=tuple(attempt.awaiting_reply_us),
            partial_client_line=from_client,
            partial_backend_line=from_backend,
        )


def _upstream(connection: Connection) -> LineBackendConnection | None:
    """Return the open backend connection of an established connection, or None if it cannot be handed over."""
    attempt = connection.attempt
    if connection.state is not ConnectionState.ESTABLISHED or attempt is None:
        return None
    upstream = attempt.upstream
    if not isinstance(upstream, LineBackendConnection) or upstream.gone:
        return None
    return upstream
