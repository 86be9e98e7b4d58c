"""The receiving side of a handover: the newest process adopts the connections of earlier processes."""

from __future__ import annotations

import logging
import os
import socket
from contextlib import suppress
from pathlib import Path

from gradefront.core.adopted import adopt_established
from gradefront.core.connect_request import ConnectRequest
from gradefront.core.connection import Attempt, Connection
from gradefront.core.relay import RelayCore
from gradefront.net.backend_connection import BackendProtocol, LineBackendConnection, RequestStage
from gradefront.net.client_protocol import ClientProtocol, ClientProtocolFactory
from gradefront.net.lines import InvalidLineError, RequestLine
from gradefront.net.reactor import Reactor

from .form import MAX_SNAPSHOT_BYTES, ConnectionSnapshot, SnapshotError, decode_snapshot, stored_rules
from .handover_sockets import (
    MAX_SENDERS,
    SOCKET_NAME,
    SingleProtocolFactory,
    is_same_user,
    listen_as_newest,
    refuse_more,
)

log = logging.getLogger("gradefront.handover")

MAX_MESSAGES = 16  # read from one sender per event
MAX_LAST_READS = 64  # reads of MAX_MESSAGES each at close; more messages than a socket buffer holds
SOCKETS_PER_CONNECTION = 2  # the client's and the backend's


class AdoptedClient(ClientProtocol):
    """An adopted client connection, whose request has already been accepted."""

    def connectionMade(self) -> None:
        """Count the connection. It gets no timeout for its request line."""
        self.arrived_us = self.client_factory.core.clock()
        # A placeholder: `_close` always cancels a timer.
        self.timeout = self.client_factory.core.call_later(0, lambda: None)
        self.client_factory.open_connections += 1


class AdoptedBackend(BackendProtocol):
    """An adopted backend connection."""

    def connectionMade(self) -> None:
        """Send nothing: the previous process has sent the first line."""
        self.stage = RequestStage.SENT


class _SenderConnection:
    """Reactor reader for the Unix socket connection from one sending process."""

    def __init__(self, receiver: HandoverReceiver, sock: socket.socket) -> None:
        self.receiver = receiver
        self.sock = sock

    def fileno(self) -> int:
        """The descriptor to poll."""
        return self.sock.fileno()

    def logPrefix(self) -> str:
        """The name in Twisted's logs."""
        return "handover"

    def doRead(self) -> None:
        """Read up to MAX_MESSAGES messages, each a complete snapshot with its sockets."""
        for _ in range(MAX_MESSAGES):
            try:
                data, fds, flags, _ = socket.recv_fds(self.sock, MAX_SNAPSHOT_BYTES, SOCKETS_PER_CONNECTION)
            except BlockingIOError:
                return
            except OSError as error:
                log.warning("handover connection from the previous process failed: %s", error)
                data, fds, flags = b"", [], 0
            if not data and not fds:
                self.receiver.on_sender_done(self)
                return
            try:
                self.receiver.adopt(data, fds, bool(flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC)))
            except Exception:  # a fault must affect this connection only
                log.exception("adopting a connection failed")
                self.receiver.core.counters.add("exceptions")
            finally:
                for fd in fds:  # the reactor works on duplicates
                    os.close(fd)

    def read_last(self) -> None:
        """Refuse further messages, read those already sent, and close."""
        refuse_more(self.sock)
        for _ in range(MAX_LAST_READS):
            if self not in self.receiver.senders:
                return
            self.doRead()
        self.receiver.on_sender_done(self)

    def connectionLost(self, reason: object) -> None:  # noqa: ARG002 - Twisted's signature
        """Handle a broken socket, as detected by the reactor."""
        self.receiver.on_sender_done(self)


class HandoverReceiver:
    """Adopts the connections of earlier processes, which connect to the Unix socket in `folder`."""

    def __init__(
        self, core: RelayCore, client_factory: ClientProtocolFactory, reactor: Reactor, folder: Path
    ) -> None:
        self.core = core
        self.client_factory = client_factory
        self.reactor = reactor
        self.path = folder / SOCKET_NAME
        self.senders: list[_SenderConnection] = []
        self.listener: socket.socket | None = None
        self.inode = 0

    def open(self) -> None:
        """Bind the socket name. If that fails, log it and go on: the relay can serve without a handover."""
        try:
            self.listener, self.inode = listen_as_newest(self.path)
        except OSError as error:
            log.warning("serving without handover: cannot listen in %s: %s", self.path.parent, error)
            return
        self.reactor.addReader(self)

    def close(self) -> None:
        """Adopt the connections already sent, refuse more, and unlink the socket name if this process still holds it.

        Unread messages must be processed: closing the handover socket would close the sockets attached to them.
        """
        if self.listener:
            was_newest = self.is_newest()
            self.reactor.removeReader(self)
            refuse_more(self.listener)
            self._accept_waiting(self.listener)
            self.listener.close()
            self.listener = None
            if was_newest:
                with suppress(OSError):  # a name without a listener is harmless: senders are refused
                    self.path.unlink(missing_ok=True)
        for sender in list(self.senders):
            sender.read_last()

    def is_newest(self) -> bool:
        """Return whether no newer process holds the socket name; True also if that cannot be determined.

        Prevents requests in the listen queue from being left to a successor that does not exist.
        """
        if self.listener is None:
            return True
        with suppress(OSError):
            return self.path.stat().st_ino == self.inode
        return True

    def fileno(self) -> int:
        """The descriptor to poll."""
        return self.listener.fileno() if self.listener else -1

    def logPrefix(self) -> str:
        """The name in Twisted's logs."""
        return "handover"

    def doRead(self) -> None:
        """Accept the queued senders."""
        if self.listener:
            self._accept_waiting(self.listener)

    def _accept_waiting(self, listener: socket.socket) -> None:
        with suppress(OSError):  # the queue is empty
            while True:
                self._add_sender(listener.accept()[0])

    def _add_sender(self, sock: socket.socket) -> None:
        """Start reading from a sender if it runs as the same user and MAX_SENDERS is not exceeded."""
        if not is_same_user(sock) or len(self.senders) >= MAX_SENDERS:
            sock.close()
            return
        sock.setblocking(False)
        sender = _SenderConnection(self, sock)
        self.senders.append(sender)
        self.reactor.addReader(sender)

    def connectionLost(self, reason: object) -> None:  # noqa: ARG002 - Twisted's signature
        """Handle a broken socket, as detected by the reactor."""
        self.close()

    def on_sender_done(self, sender: _SenderConnection) -> None:
        """Close the connection of a sender that has finished or failed."""
        if sender in self.senders:
            self.senders.remove(sender)
            self.reactor.removeReader(sender)
            sender.sock.close()
            log.info("handover closed; %d connections adopted so far", self.core.counters.counts["taken_over"])

    def adopt(self, data: bytes, fds: list[int], truncated: bool) -> None:
        """Adopt one connection.

        If its snapshot is invalid, its sockets are closed. If this process has other rules for its request class, or
        accepts no more work, the client is migrated.
        """
        core = self.core
        try:
            if truncated or len(fds) != SOCKETS_PER_CONNECTION:
                raise SnapshotError(f"{len(fds)} sockets{', truncated message' if truncated else ''}")
            snapshot = decode_snapshot(data, core.clock())
        except SnapshotError as error:
            log.warning("cannot adopt a connection: %s", error)
            core.counters.add("taken_over_badly")
            return
        class_numbers = self.client_factory.config.class_numbers
        class_number = class_numbers.get(snapshot.request_class)
        has_same_rules = (
            class_number is not None and stored_rules(core.settings.classes[class_number]) == snapshot.class_rules
        )
        request_class = class_number if class_number is not None else next(iter(class_numbers.values()))
        client = AdoptedClient(self.client_factory)
        client.id = snapshot.id.encode()
        connection, attempt = self._establish(snapshot, request_class, client)
        client.connection = connection
        upstream = LineBackendConnection(attempt, RequestLine(b"", b"", False), self.client_factory.closing_upstreams)
        upstream.line_protocol = AdoptedBackend(upstream)
        attempt.upstream, attempt.connection_load = upstream, snapshot.load
        for fd, protocol in zip(fds, (client, upstream.line_protocol), strict=True):
            os.set_blocking(fd, False)
            self.reactor.adoptStreamConnection(fd, socket.AF_INET, SingleProtocolFactory(protocol))
        with suppress(InvalidLineError):  # a duplicate id is no reason to close the connection
            self.client_factory.record_connection_id(client.id)
        client.start_forwarding(upstream)
        core.counters.add("taken_over")
        if not has_same_rules or not core.accepts_work:
            core.migrate(connection)
            return
        client.replay_received(snapshot.partial_client_line)
        upstream.line_protocol.replay_received(snapshot.partial_backend_line)

    def _establish(
        self, snapshot: ConnectionSnapshot, request_class: int, client: AdoptedClient
    ) -> tuple[Connection, Attempt]:
        """Register the connection as established in the core."""
        request = ConnectRequest(
            0,
            None,
            request_class,
            snapshot.tenant,
            snapshot.idempotency_key,
            snapshot.sticky_group,
            snapshot.load,
            True,
        )
        return adopt_established(
            self.core,
            request,
            client,
            self.client_factory.connector,
            snapshot.backend,
            snapshot.last_received_us,
            snapshot.awaiting_reply_us,
        )
