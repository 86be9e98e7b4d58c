"""The receiving side of a handover: the newest process adopts the connections of earlier processes."""

from __future__ import annotations

import logging
import os
import socket
from collections import deque
from contextlib import suppress
from pathlib import Path

from gradefront.core.relay import RelayCore
from gradefront.net.client_protocol import ClientProtocolFactory
from gradefront.net.reactor import Reactor

from .adoption import SOCKETS_PER_CONNECTION, Adopter, AdoptionError
from .form import MAX_SNAPSHOT_BYTES
from .handover_messages import MAX_HEADER_BYTES, HandoverAnswer, decode_message
from .handover_sockets import MAX_SENDERS, SOCKET_NAME, is_same_user, listen_as_newest, refuse_more

log = logging.getLogger("gradefront.handover")

MAX_MESSAGES = 16  # read from one sender per event
MAX_LAST_READS = 64  # reads of MAX_MESSAGES each at close; more messages than a socket buffer holds
MAX_MESSAGE_BYTES = MAX_HEADER_BYTES + MAX_SNAPSHOT_BYTES
ANSWER_RETRY_S = 0.01


class _SenderConnection:
    """Reactor reader for the Unix socket connection from one sending process."""

    def __init__(self, receiver: HandoverReceiver, sock: socket.socket) -> None:
        self.receiver = receiver
        self.sock = sock
        self.unsent_answers: deque[HandoverAnswer] = deque()

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
                data, fds, flags, _ = socket.recv_fds(self.sock, MAX_MESSAGE_BYTES, SOCKETS_PER_CONNECTION)
            except BlockingIOError:
                return
            except ConnectionResetError:  # the sender has closed without reading all answers; its messages remain
                continue
            except OSError as error:
                log.warning("handover connection from the previous process failed: %s", error)
                data, fds, flags = b"", [], 0
            if not data and not fds:
                self.receiver.on_sender_done(self)
                return
            try:
                self._on_message(data, fds, bool(flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC)))
            except Exception:  # a fault must affect this connection only
                log.exception("adopting a connection failed")
                self.receiver.core.counters.add("exceptions")
            finally:
                for fd in fds:  # the reactor works on duplicates
                    os.close(fd)

    def _on_message(self, data: bytes, fds: list[int], is_truncated: bool) -> None:
        message = decode_message(data)
        try:
            adopted = self.receiver.adopter.adopt(message, fds, is_truncated)
        except AdoptionError as error:
            log.warning("cannot adopt a connection: %s", error)
            self.receiver.core.counters.add("taken_over_badly")
            if message.number is None:
                self.receiver.adopter.migrate_client(fds)
            else:
                self._answer(HandoverAnswer(message.number, False, str(error)))
            return
        self.receiver.core.counters.add("taken_over")
        if message.number is not None:
            self._answer(HandoverAnswer(message.number, True))
        adopted.begin()

    def _answer(self, answer: HandoverAnswer) -> None:
        self.unsent_answers.append(answer)
        self.send_answers()

    def send_answers(self) -> None:
        """Send the answers so far. If the sender has not read earlier ones, try again soon."""
        try:
            while self.unsent_answers:
                self.sock.send(self.unsent_answers[0].encode())
                self.unsent_answers.popleft()
        except BlockingIOError:
            self.receiver.reactor.callLater(ANSWER_RETRY_S, self.send_answers)
        except OSError:  # the sender has ended, or has migrated these connections: it reads no more answers
            self.unsent_answers.clear()

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
        self.read_last()


class HandoverReceiver:
    """Adopts the connections of earlier processes, which connect to the Unix socket in `folder`."""

    def __init__(
        self, core: RelayCore, client_factory: ClientProtocolFactory, reactor: Reactor, folder: Path
    ) -> None:
        self.core = core
        self.reactor = reactor
        self.adopter = Adopter(core, client_factory, reactor)
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
