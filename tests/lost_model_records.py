"""What the oracle of `test_lost_model.py` notes of each attempt and each client."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from .faults import FaultySocket
from .loop import Peer


class Sent(FaultySocket):
    """The socket of one attempt: tells the oracle when its request has left whole."""

    def __init__(self, real: socket.socket, on_whole: Callable[[Sent], None]) -> None:
        super().__init__(real)
        self.on_whole = on_whole
        self.port = real.getpeername()[1]
        self.left = b""
        self.answered = False
        self.refused = False  # so that it never ran
        self.begun = False  # the backend has begun its answer

    def send(self, data: Any, flags: int = 0) -> int:
        taken = super().send(data, flags)
        whole = b"\r\n" in self.left
        self.left += bytes(data)[:taken]
        if not whole and b"\r\n" in self.left:
            self.on_whole(self)
        return taken

    @property
    def out(self) -> bool:
        return self.real.fileno() >= 0 and not self.answered


class Asking:
    """One client, as it sees itself."""

    def __init__(self, number: int, peer: Peer) -> None:
        self.id = b"%016x" % number
        self.peer = peer
        self.asked = False  # a whole request is with the relay's machine
        self.due_us = 0
        self.left = False  # its sending side has ended
        self.gone = False  # both have
        self.disturbed = False  # it has sent what no client sends
        self.served: list[Sent] = []  # the attempts that its request made

    def lines(self) -> list[bytes]:
        return [] if self.gone else self.peer.read().split(b"\r\n")
