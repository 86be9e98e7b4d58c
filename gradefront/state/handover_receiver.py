"""The receiving side of a handover: the newest process takes over the connections of those before it."""

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

from .form import MAX_FORM_BYTES, ConnectionSnapshot, FormError, read, stored_rules
from .handover_sockets import (
    MAX_SENDERS,
    SOCKET_NAME,
    SingleProtocolFactory,
    is_same_user,
    listen_as_newest,
    refuse_more,
)

log = logging.getLogger("gradefront.handover")

MAX_MESSAGES = 16  # read from one sender in one go
MAX_LAST_READS = 64  # of MAX_MESSAGES, at the end; more than a socket's buffer holds
SOCKETS_PER_CONNECTION = 2  # the client's and the backend's


class AdoptedClient(ClientProtocol):
    """A client's connection that was handed over: its request is behind it."""

    def connectionMade(self) -> None:
        """Count the connection; it has no deadline for a request."""
        self.arrived_us = self.client_factory.core.clock()
        self.timeout = self.client_factory.core.call_later(
            0, lambda: None
        )  # nothing to time: `_close` cancels a timer in any case
        self.client_factory.open_connections += 1


class AdoptedBackend(BackendProtocol):
    """A backend's connection that was handed over."""

    def connectionMade(self) -> None:
        """Send nothing: the first line was sent by the process before."""
        self.stage = RequestStage.SENT


class _SenderConnection:
    """The connection from one process that hands over, as the reactor reads it."""

    def __init__(self, receiver: HandoverReceiver, call: socket.socket) -> None:
        self.receiver = receiver
        self.call = call

    def fileno(self) -> int:
        """The descriptor to poll."""
        return self.call.fileno()

    def logPrefix(self) -> str:
        """The name in Twisted's logs."""
        return "handover"

    def doRead(self) -> None:
        """Read some messages, each complete and with its sockets."""
        for _ in range(MAX_MESSAGES):
            try:
                data, fds, flags, _ = socket.recv_fds(self.call, MAX_FORM_BYTES, SOCKETS_PER_CONNECTION)
            except BlockingIOError:
                return
            except OSError as error:
                log.warning("the process before broke off: %s", error)
                data, fds, flags = b"", [], 0
            if not data and not fds:
                self.receiver.on_sender_done(self)
                return
            try:
                self.receiver.adopt(data, fds, bool(flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC)))
            except Exception:  # a fault stops at this one connection
                log.exception("a connection that was handed over failed")
                self.receiver.core.counters.add("exceptions")
            finally:
                for fd in fds:  # the reactor has duplicates
                    os.close(fd)

    def read_last(self) -> None:
        """Refuse further messages, read those that were sent, and end."""
        refuse_more(self.call)
        for _ in range(MAX_LAST_READS):
            if self not in self.receiver.senders:
                return
            self.doRead()
        self.receiver.on_sender_done(self)

    def connectionLost(self, reason: object) -> None:  # noqa: ARG002 - Twisted's signature
        """The reactor found the socket broken."""
        self.receiver.on_sender_done(self)


class HandoverReceiver:
    """Takes over the connections of processes before this one, which call at the Unix socket in `folder`."""

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
        """Hold the name from now on. A folder in which that fails is no reason not to serve."""
        try:
            self.listener, self.inode = listen_as_newest(self.path)
        except OSError as error:
            log.warning("no handover in %s: %s", self.path.parent, error)
            return
        self.reactor.addReader(self)

    def close(self) -> None:
        """Take over what was sent and nothing more; free the name if it is still this process's.

        Guards connections that were sent and not read: their sockets would be closed with those of the handover.
        """
        if self.listener:
            was_newest = self.is_newest()
            self.reactor.removeReader(self)
            refuse_more(self.listener)
            self._accept_waiting(self.listener)
            self.listener.close()
            self.listener = None
            if was_newest:
                with suppress(OSError):  # a name without a listener does no harm: senders are refused
                    self.path.unlink(missing_ok=True)
        for sender in list(self.senders):
            sender.read_last()

    def is_newest(self) -> bool:
        """Whether no newer process holds the name; True also where that can't be known.

        Prevents requests in the listener's queue from being left to a process that does not exist.
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
        """Accept the senders that wait."""
        if self.listener:
            self._accept_waiting(self.listener)

    def _accept_waiting(self, listener: socket.socket) -> None:
        with suppress(OSError):  # none waits any more
            while True:
                self._add_sender(listener.accept()[0])

    def _add_sender(self, call: socket.socket) -> None:
        """Read a sender from now on, if it runs under the same user."""
        if not is_same_user(call) or len(self.senders) >= MAX_SENDERS:
            call.close()
            return
        call.setblocking(False)
        sender = _SenderConnection(self, call)
        self.senders.append(sender)
        self.reactor.addReader(sender)

    def connectionLost(self, reason: object) -> None:  # noqa: ARG002 - Twisted's signature
        """The reactor found the socket broken."""
        self.close()

    def on_sender_done(self, sender: _SenderConnection) -> None:
        """A process has handed over all that it could."""
        if sender in self.senders:
            self.senders.remove(sender)
            self.reactor.removeReader(sender)
            sender.call.close()
            log.info("%d connections were handed over so far", self.core.counters.counts["taken_over"])

    def adopt(self, data: bytes, fds: list[int], truncated: bool) -> None:
        """Take one connection over.

        Where its description is invalid its sockets are closed; where its class has other rules here, it is migrated.
        """
        core = self.core
        try:
            if truncated or len(fds) != SOCKETS_PER_CONNECTION:
                raise FormError(f"{len(fds)} sockets{', cut short' if truncated else ''}")
            snapshot = read(data, core.clock())
        except FormError as error:
            log.warning("a connection can't be taken over: %s", error)
            core.counters.add("taken_over_badly")
            return
        class_numbers = self.client_factory.config.class_numbers
        known = class_numbers.get(snapshot.request_class)
        has_same_rules = known is not None and stored_rules(core.settings.classes[known]) == snapshot.class_rules
        request_class = known if known is not None else next(iter(class_numbers.values()))
        client = AdoptedClient(self.client_factory)
        client.id = snapshot.id.encode()
        connection, attempt = self._establish(snapshot, request_class, client)
        client.connection = connection
        upstream = LineBackendConnection(attempt, RequestLine(b"", b"", False), self.client_factory.upstreams)
        upstream.line_protocol = AdoptedBackend(upstream)
        attempt.upstream, attempt.connection_load = upstream, snapshot.load
        for fd, protocol in zip(fds, (client, upstream.line_protocol), strict=True):
            os.set_blocking(fd, False)
            self.reactor.adoptStreamConnection(fd, socket.AF_INET, SingleProtocolFactory(protocol))
        with suppress(InvalidLineError):  # an id known here already is no reason to end it
            self.client_factory.record_connection_id(client.id)
        client.start_forwarding(upstream)
        core.counters.add("taken_over")
        if not has_same_rules or not core.accepts_work:
            core.migrate(connection)
            return
        client.replay_received(snapshot.from_carer)
        upstream.line_protocol.replay_received(snapshot.from_box)

    def _establish(
        self, snapshot: ConnectionSnapshot, request_class: int, client: AdoptedClient
    ) -> tuple[Connection, Attempt]:
        """Have the core count the connection as established."""
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
