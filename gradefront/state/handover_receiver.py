"""The receiving side of a handover: the newest process adopts the connections of earlier processes."""

from __future__ import annotations

import logging
import os
import socket
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from gradefront.core.relay import RelayCore
from gradefront.net.client_protocol import ClientProtocolFactory
from gradefront.net.descriptor_budget import count_missing_descriptors
from gradefront.net.reactor import Reactor

from .adoption import SOCKETS_PER_CONNECTION, Adopter, AdoptionError
from .endpoint_handover import REQUEST as ENDPOINTS_REQUEST
from .endpoint_handover import KnownEndpoints, send_endpoints
from .form import MAX_SNAPSHOT_BYTES
from .handover_messages import MAX_HEADER_BYTES, HandoverAnswer, decode_ids, decode_message
from .handover_sockets import MAX_SENDERS, SOCKET_NAME, has_listener, is_same_user, listen_as_newest, refuse_more

log = logging.getLogger("gradefront.handover")

MAX_MESSAGES = 16  # read from one sender per event
MAX_LAST_MESSAGES = 1_024  # read from one sender at close; more than the kernel queues
MAX_MESSAGE_BYTES = MAX_HEADER_BYTES + MAX_SNAPSHOT_BYTES
ANSWER_RETRY_S = 0.01
MAX_UNSENT_ANSWERS = 16  # then nothing more is read from this sender
#: Needed to read a message: for its sockets, and for the reactor's duplicates. What does not fit, the kernel closes.
DESCRIPTORS_PER_MESSAGE = 2 * SOCKETS_PER_CONNECTION
CALLS_PER_DESCRIPTOR = 2  # of `free_descriptor`: one answers a client, the next closes its connection
DESCRIPTOR_RETRY_S = 0.02  # if no descriptor can be freed


class _SenderConnection:
    """Reactor reader for the Unix socket connection from one sending process."""

    def __init__(self, receiver: HandoverReceiver, sock: socket.socket) -> None:
        self.receiver = receiver
        self.sock = sock
        self.unsent_answers: deque[HandoverAnswer] = deque()
        self.is_retrying = False  # a call of `_retry_answers` is scheduled

    def fileno(self) -> int:
        """The descriptor to poll."""
        return self.sock.fileno()

    def logPrefix(self) -> str:
        """The name in Twisted's logs."""
        return "handover"

    def doRead(self) -> None:
        """Read up to MAX_MESSAGES messages, while there are descriptors for their sockets."""
        for _ in range(MAX_MESSAGES):
            if len(self.unsent_answers) >= MAX_UNSENT_ANSWERS:
                self.receiver.reactor.removeReader(self)  # until `_retry_answers` has sent some
                return
            if not self.receiver.has_descriptors(self, DESCRIPTORS_PER_MESSAGE) or not self._read_message():
                return

    def resume(self) -> None:
        """Read on, after waiting for descriptors."""
        if self in self.receiver.senders:
            self.receiver.reactor.addReader(self)
            self.doRead()

    def _read_message(self) -> bool:
        """Read one message, a complete snapshot with its sockets. Return whether there may be another one."""
        try:
            data, fds, flags, _ = socket.recv_fds(self.sock, MAX_MESSAGE_BYTES, SOCKETS_PER_CONNECTION)
        except BlockingIOError:
            return False
        except ConnectionResetError:  # the sender has closed without reading all answers; its messages remain
            return True
        except OSError as error:
            log.warning("handover connection from the previous process failed: %s", error)
            data, fds, flags = b"", [], 0
        if not data and not fds:
            self.receiver.on_sender_done(self)
            return False
        if data == ENDPOINTS_REQUEST and self.receiver.known_endpoints:
            send_endpoints(self.sock, self.receiver.known_endpoints())
            return True
        if not fds and (ids := decode_ids(data)) is not None:
            self.receiver.client_factory.seen_ids.add_past(ids)
            return True
        try:
            self._on_message(data, fds, bool(flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC)))
        except Exception:  # a fault must affect this connection only
            log.exception("adopting a connection failed")
            self.receiver.core.counters.add("exceptions")
        finally:
            for fd in fds:  # the reactor works on duplicates
                os.close(fd)
        return True

    def _on_message(self, data: bytes, fds: list[int], is_truncated: bool) -> None:
        message = decode_message(data)
        try:
            adopted = self.receiver.adopter.adopt(message, fds, is_truncated)
        except AdoptionError as error:
            core = self.receiver.core
            core.counters.count_fault("taken_over_badly", f"cannot adopt a connection: {error}", core.clock())
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
            if not self.is_retrying:
                self.is_retrying = True
                self.receiver.reactor.callLater(ANSWER_RETRY_S, self._retry_answers)
        except OSError:  # the sender has ended, or has migrated these connections: it reads no more answers
            self.unsent_answers.clear()

    def _retry_answers(self) -> None:
        self.is_retrying = False
        if self not in self.receiver.senders:
            return
        self.send_answers()
        if len(self.unsent_answers) < MAX_UNSENT_ANSWERS:
            self.receiver.reactor.addReader(self)

    def read_last(self) -> None:
        """Refuse further messages, read those already sent, and close."""
        refuse_more(self.sock)
        for _ in range(MAX_LAST_MESSAGES):
            if not self._read_message():
                break
        self.receiver.on_sender_done(self)

    def connectionLost(self, reason: object) -> None:  # noqa: ARG002 - Twisted's signature
        """Handle a broken socket, as detected by the reactor."""
        self.read_last()


class HandoverReceiver:
    """Adopts the connections of earlier processes, which connect to the Unix socket in `folder`.

    `known_endpoints` returns the endpoint list to tell a process that is about to replace this one.
    """

    def __init__(
        self,
        core: RelayCore,
        client_factory: ClientProtocolFactory,
        reactor: Reactor,
        folder: Path,
        known_endpoints: Callable[[], KnownEndpoints] | None = None,
    ) -> None:
        self.core = core
        self.client_factory = client_factory
        self.reactor = reactor
        self.adopter = Adopter(core, client_factory, reactor)
        self.path = folder / SOCKET_NAME
        self.known_endpoints = known_endpoints
        self.senders: list[_SenderConnection] = []
        self.listener: socket.socket | None = None
        self.inode = 0  # of the socket name; 0 if it could not be bound

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
            held_name = self._holds_name()
            self.reactor.removeReader(self)
            refuse_more(self.listener)
            self._accept_waiting(self.listener)
            self.listener.close()
            self.listener = None
            if held_name:
                with suppress(OSError):  # a name without a listener is harmless: senders are refused
                    self.path.unlink(missing_ok=True)
        for sender in list(self.senders):
            sender.read_last()

    def is_newest(self) -> bool:
        """Return whether no newer process is running; True also if that cannot be determined.

        A newer process that has ended without closing, as when a replacement is given up, leaves the socket name
        without a listener. Prevents requests in the listen queue from being left to a successor that does not exist.
        """
        return self.listener is None or self._holds_name() or not has_listener(self.path)

    def has_successor(self) -> bool:
        """Return whether a newer process accepts a handover, also after `close`."""
        if not self.inode or self.listener and self._holds_name():
            return False
        return has_listener(self.path)

    def _holds_name(self) -> bool:
        """Return whether the socket name is this process's; True also if that cannot be determined."""
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
        if self.listener and self.has_descriptors(self, 1):
            self._accept_waiting(self.listener)

    def resume(self) -> None:
        """Accept senders again, after waiting for a descriptor."""
        if self.listener:
            self.reactor.addReader(self)
            self.doRead()

    def has_descriptors(self, reader: _SenderConnection | HandoverReceiver, needed: int) -> bool:
        """Return whether so many descriptors are free. If not, free some, and let `reader` wait for them."""
        missing = count_missing_descriptors(needed, reader.fileno())
        if not missing:
            return True
        self.core.counters.count_fault(
            "handover_waits", "a handover waits for free file descriptors", self.core.clock()
        )
        freed = [self.client_factory.free_descriptor() for _ in range(CALLS_PER_DESCRIPTOR * missing)]
        self.reactor.removeReader(reader)
        self.reactor.callLater(0 if any(freed) else DESCRIPTOR_RETRY_S, reader.resume)
        return False

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
