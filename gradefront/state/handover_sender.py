"""The sending side of a handover: a process that is replaced sends its connections to the newest one.

Each connection is one message: its description and its two sockets (SCM_RIGHTS). What can't be handed over is
migrated, as without a handover.
"""

from __future__ import annotations

import logging
import socket

from gradefront.core.adopted import release_for_handover
from gradefront.core.connection import Connection, ConnectionState
from gradefront.core.relay import RelayCore
from gradefront.net.backend_connection import LineBackendConnection
from gradefront.net.client_protocol import ClientProtocol, ClientProtocolFactory

from .form import ConnectionSnapshot, stored_rules, write
from .handover_sockets import has_sent_all, release

log = logging.getLogger("gradefront.handover")

STEP_US = 20_000
STEP_CONNECTIONS = 4  # a step: the next process takes each up in about a millisecond of its part of a core


class HandoverSender:
    """Hands this process's connections to the next one, over the connected Unix socket `call`."""

    def __init__(self, core: RelayCore, client_factory: ClientProtocolFactory, call: socket.socket) -> None:
        self.core = core
        self.client_factory = client_factory
        self.call: socket.socket | None = call

    def step(self) -> None:
        """Hand some over; again after a pause while any client is left."""
        sent = 0
        for connection in list(self.core.connections.values()):
            if self.call is None or sent == STEP_CONNECTIONS:
                break
            sent += self._hand_over(self.call, connection)
        if self.call and (self.core.connections or self.client_factory.open_connections):
            self.core.call_later(STEP_US, self.step)
        else:
            self.end()

    def end(self) -> None:
        """Hand nothing more over."""
        if self.call:
            self.call.close()
        self.call = None

    def _hand_over(self, call: socket.socket, connection: Connection) -> bool:
        """Whether the connection went; False also where it can go in a later step only."""
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
            socket.send_fds(call, [write(snapshot)], descriptors)
        except OSError as error:
            client.replay_received(snapshot.from_carer)
            upstream.line_protocol.replay_received(snapshot.from_box)
            if not isinstance(error, BlockingIOError):
                log.warning("nothing more can be handed over: %s", error)
                self.end()
            return False
        release(client_transport)
        release(backend_transport)
        self.client_factory.open_connections -= 1
        client.closing, upstream.gone = True, True
        release_for_handover(self.core, connection)
        return True

    def _snapshot(self, connection: Connection, from_client: bytes, from_backend: bytes) -> ConnectionSnapshot:
        """The description of an established connection, with what each side has begun to send of a line."""
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
            from_carer=from_client,
            from_box=from_backend,
        )


def _upstream(connection: Connection) -> LineBackendConnection | None:
    """The open backend connection of an established connection, if it has one whose socket can be handed over."""
    attempt = connection.attempt
    if connection.state is not ConnectionState.ESTABLISHED or attempt is None:
        return None
    upstream = attempt.upstream
    if not isinstance(upstream, LineBackendConnection) or upstream.gone:
        return None
    return upstream
