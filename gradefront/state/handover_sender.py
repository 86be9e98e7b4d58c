"""The sending side of a handover: a replaced process sends its connections to the newest one.

One message carries the snapshot of one connection and its two sockets (SCM_RIGHTS). Until the receiver has answered
that it has adopted the connection, this process owns it: meanwhile it is not read, and if the receiver rejects it or
ends without an answer, it is served on. Connections that are not handed over are migrated, as without a handover.
"""

from __future__ import annotations

import logging
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from itertools import islice

from gradefront.core.adopted import release_for_handover
from gradefront.core.connection import Connection, ConnectionState
from gradefront.core.containment import run_contained
from gradefront.core.relay import RelayCore
from gradefront.net.backend_connection import BackendProtocol, LineBackendConnection
from gradefront.net.client_protocol import ClientProtocol, ClientProtocolFactory
from gradefront.net.reactor import Reactor

from .form import ConnectionSnapshot, encode_snapshot, stored_rules
from .handover_messages import (
    MAX_ANSWER_BYTES,
    MAX_IDS,
    HandoverMessage,
    InvalidAnswerError,
    decode_answer,
    encode_ids,
)
from .handover_sockets import close_own_descriptor, has_sent_all

log = logging.getLogger("gradefront.handover")

STEP_US = 20_000
STEP_CONNECTIONS = 4  # per step: the receiver needs about 1 ms of its CPU share to adopt one
MAX_UNANSWERED = 10  # messages; the kernel queues at least as many on a Unix socket (net.unix.max_dgram_qlen)


@dataclass(frozen=True, slots=True)
class _SentConnection:
    """A connection whose message has not been answered. Neither of its sockets is read."""

    connection: Connection
    client: ClientProtocol
    upstream: LineBackendConnection
    backend: BackendProtocol
    partial_client_line: bytes
    partial_backend_line: bytes

    @property
    def is_established(self) -> bool:
        """Whether the connection still stands: it may have been migrated without waiting for the answer."""
        return self.connection.state is ConnectionState.ESTABLISHED

    def resume(self) -> None:
        """Serve the connection on, from where it was suspended."""
        if not self.is_established:
            return
        self.client.replay_received(self.partial_client_line)
        self.backend.replay_received(self.partial_backend_line)
        self.client.tcp.resumeProducing()
        self.backend.tcp.resumeProducing()


class HandoverSender:
    """Hands the connections of this process over to the newest one, through the connected Unix socket `sock`.

    `on_failed` is called once if the newest process ends the handover, or answers in another form.
    """

    def __init__(
        self,
        core: RelayCore,
        client_factory: ClientProtocolFactory,
        reactor: Reactor,
        sock: socket.socket,
        on_failed: Callable[[], None],
    ) -> None:
        self.core = core
        self.client_factory = client_factory
        self.reactor = reactor
        self.sock: socket.socket | None = sock
        self.on_failed = on_failed
        self.unanswered: dict[int, _SentConnection] = {}  # by number of the connection
        self.untold_ids = deque(client_factory.seen_ids)  # that the newest process has not been told
        client_factory.seen_ids.on_added = self.untold_ids.append
        self.not_sendable: set[int] = set()  # connections that the receiver rejected, or that could not be sent
        reactor.addReader(self)

    # ---- sending

    def step(self) -> None:
        """Hand over up to STEP_CONNECTIONS connections; repeat every STEP_US while any client is left."""
        self._tell_ids()
        sent = 0
        for connection in list(self.core.connections.values()):
            if self.sock is None or sent == STEP_CONNECTIONS or len(self.unanswered) >= MAX_UNANSWERED:
                break
            if connection.number not in self.unanswered and connection.number not in self.not_sendable:
                sent += self._try_send(self.sock, connection)
        if self.sock and (self.core.connections or self.client_factory.open_connections):
            self.core.call_later(STEP_US, self.step)
        else:
            self.close()

    def _tell_ids(self) -> None:
        """Tell the newest process which ids clients have used, as far as it takes them now.

        Prevents a request from being executed again if its client, or another one, repeats its id there.
        """
        while self.sock and self.untold_ids:
            ids = list(islice(self.untold_ids, MAX_IDS))
            try:
                self.sock.send(encode_ids(ids))
            except BlockingIOError:
                return
            except OSError as error:
                self._fail(error)
                return
            for _ in ids:
                self.untold_ids.popleft()

    def close(self) -> None:
        """Stop handing over connections. Those without an answer stay this process's."""
        if self.sock is None:
            return
        self.reactor.removeReader(self)
        self.sock.close()
        self.sock = None
        self.client_factory.seen_ids.on_added = None
        unanswered, self.unanswered = self.unanswered, {}
        for sent in unanswered.values():
            self._contain(sent, sent.resume)

    def _try_send(self, sock: socket.socket, connection: Connection) -> bool:
        """Send one connection. An exception concerns this connection only, which is migrated later."""
        try:
            return self._send(sock, connection)
        except Exception:
            log.exception("connection %d could not be handed over", connection.number)
            self.core.counters.add("exceptions")
            self.not_sendable.add(connection.number)
            return False

    def _send(self, sock: socket.socket, connection: Connection) -> bool:
        """Send one connection. Return False if that is impossible, or possible only in a later step."""
        client, upstream = connection.client, _upstream(connection)
        if upstream is None or upstream.line_protocol is None:
            return False
        if not isinstance(client, ClientProtocol) or client.closing:
            return False
        backend = upstream.line_protocol
        if not (has_sent_all(client.tcp) and has_sent_all(backend.tcp)):
            return False
        if client.has_backlog or backend.has_backlog:
            return False
        client.tcp.stopReading()
        backend.tcp.stopReading()
        sent = _SentConnection(
            connection, client, upstream, backend, client.take_partial_line(), backend.take_partial_line()
        )
        try:
            message = HandoverMessage(encode_snapshot(self._snapshot(sent)), connection.number, self.core.clock())
            descriptors = [client.tcp.getHandle().fileno(), backend.tcp.getHandle().fileno()]
            socket.send_fds(sock, [message.encode()], descriptors)
        except BlockingIOError:
            sent.resume()
            return False
        except OSError as error:
            sent.resume()
            self._fail(error)
            return False
        except Exception:
            sent.resume()
            raise
        self.unanswered[connection.number] = sent
        return True

    def _snapshot(self, sent: _SentConnection) -> ConnectionSnapshot:
        """Build the snapshot of an established connection, including the partial line received from each side."""
        connection, attempt = sent.connection, sent.upstream.attempt
        request = connection.connect_request
        return ConnectionSnapshot(
            id=sent.client.id.decode(),
            request_class=self.core.request_classes.names[request.request_class],
            class_rules=stored_rules(connection.settings.classes[request.request_class]),
            idempotency_key=request.idempotency_key,
            sticky_group=request.sticky_group,
            tenant=request.tenant,
            backend=attempt.backend,
            load=attempt.connection_load,
            last_received_us=attempt.last_received_us,
            awaiting_reply_us=tuple(attempt.awaiting_reply_us),
            partial_client_line=sent.partial_client_line,
            partial_backend_line=sent.partial_backend_line,
        )

    # ---- answers

    def fileno(self) -> int:
        """The descriptor to poll."""
        return self.sock.fileno() if self.sock else -1

    def logPrefix(self) -> str:
        """The name in Twisted's logs."""
        return "handover"

    def doRead(self) -> None:
        """Read the answers that have arrived."""
        while self.sock:
            try:
                data = self.sock.recv(MAX_ANSWER_BYTES)
                if not data:
                    raise ConnectionResetError("the newest process has closed the handover")
                answer = decode_answer(data)
            except BlockingIOError:
                return
            except (OSError, InvalidAnswerError) as error:
                self._fail(error)
                return
            sent = self.unanswered.pop(answer.number, None)
            if sent is None:
                continue
            if answer.is_adopted:
                self._contain(sent, partial(self._release, sent))
            else:
                log.warning("connection %d was not adopted, serving it on: %s", answer.number, answer.reason)
                self.not_sendable.add(answer.number)
                self.core.counters.add("not_given_away")
                self._contain(sent, sent.resume)

    def connectionLost(self, reason: object) -> None:  # noqa: ARG002 - Twisted's signature
        """Handle a broken socket, as detected by the reactor."""
        self._fail(ConnectionResetError("the newest process has closed the handover"))

    def _fail(self, error: Exception) -> None:
        if self.sock:
            log.warning("handover to the newest process failed; no more connections are handed over: %s", error)
            self.close()
            self.on_failed()

    def _contain(self, sent: _SentConnection, step: Callable[[], None]) -> None:
        """Run a step on one connection, whose exception must not end the handover of the others."""
        run_contained(self.core.counters, f"connection {sent.connection.number}", step)

    def _release(self, sent: _SentConnection) -> None:
        """Release a connection that the receiver has adopted, without closing either side."""
        if not sent.is_established:
            return
        close_own_descriptor(sent.client.tcp)
        close_own_descriptor(sent.backend.tcp)
        self.client_factory.open_connections -= 1
        self.client_factory.seen_ids.on_ended(sent.client.id)
        sent.client.closing, sent.upstream.gone = True, True
        release_for_handover(self.core, sent.connection)


def _upstream(connection: Connection) -> LineBackendConnection | None:
    """Return the open backend connection of an established connection, or None if it cannot be handed over."""
    attempt = connection.attempt
    if connection.state is not ConnectionState.ESTABLISHED or attempt is None:
        return None
    upstream = attempt.upstream
    if not isinstance(upstream, LineBackendConnection) or upstream.gone:
        return None
    return upstream
