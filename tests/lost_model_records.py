"""Records that the oracle of `test_lost_model.py` keeps of each attempt and each client."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from .faults import FaultySocket
from .loop import Peer


class AttemptSocket(FaultySocket):
    """The socket of one attempt, which calls `on_request_sent` once the request line was sent completely."""

    def __init__(self, real: socket.socket, on_request_sent: Callable[[AttemptSocket], None]) -> None:
        super().__init__(real)
        self.on_request_sent = on_request_sent
        self.port = real.getpeername()[1]
        self.written = b""
        self.answered = False
        self.rejected = False  # by the backend, so that it was never executed
        self.answer_started = False  # the backend has sent at least a part of its answer

    def send(self, data: Any, flags: int = 0) -> int:
        sent = super().send(data, flags)
        was_complete = b"\r\n" in self.written
        self.written += bytes(data)[:sent]
        if not was_complete and b"\r\n" in self.written:
            self.on_request_sent(self)
        return sent

    @property
    def in_flight(self) -> bool:
        """Whether the backend may still answer the attempt."""
        return self.real.fileno() >= 0 and not self.answered


class ClientRecord:
    """One client: what it has sent, and the attempts made for it."""

    def __init__(self, number: int, peer: Peer) -> None:
        self.id = b"%016x" % number
        self.peer = peer
        self.requested = False  # it has sent a complete request
        self.due_us = 0  # when it must have its final answer
        self.half_closed = False  # it has shut its sending side
        self.closed = False  # it has closed both sides
        self.broke_protocol = False  # it has violated the protocol, and received an error for that
        self.attempts: list[AttemptSocket] = []

    def lines(self) -> list[bytes]:
        """Return the lines received, the last one incomplete; none once the client is closed."""
        return [] if self.closed else self.peer.read().split(b"\r\n")
