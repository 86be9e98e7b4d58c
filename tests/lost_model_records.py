"""What the oracle of `test_lost_model.py` records of each attempt and each client."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from .faults import FaultySocket
from .loop import Peer


class AttemptSocket(FaultySocket):
    """The socket of one attempt: notifies the oracle once its request line has left complete."""

    def __init__(self, real: socket.socket, on_request_sent: Callable[[AttemptSocket], None]) -> None:
        super().__init__(real)
        self.on_request_sent = on_request_sent
        self.port = real.getpeername()[1]
        self.written = b""
        self.answered = False
        self.rejected = False  # so that it was never executed
        self.begun = False  # the backend has begun its answer

    def send(self, data: Any, flags: int = 0) -> int:
        taken = super().send(data, flags)
        complete = b"\r\n" in self.written
        self.written += bytes(data)[:taken]
        if not complete and b"\r\n" in self.written:
            self.on_request_sent(self)
        return taken

    @property
    def in_flight(self) -> bool:
        """Whether it may still be answered."""
        return self.real.fileno() >= 0 and not self.answered


class ClientRecord:
    """One client, as it sees itself."""

    def __init__(self, number: int, peer: Peer) -> None:
        self.id = b"%016x" % number
        self.peer = peer
        self.requested = False  # a complete request has reached the relay's machine
        self.due_us = 0
        self.half_closed = False  # its sending side has ended
        self.closed = False  # both sides have
        self.broke_protocol = False
        self.attempts: list[AttemptSocket] = []

    def lines(self) -> list[bytes]:
        """The lines that it received, the last one incomplete; none once it is closed."""
        return [] if self.closed else self.peer.read().split(b"\r\n")
