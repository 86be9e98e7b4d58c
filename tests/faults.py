"""System calls that fail as the manual pages say: a socket under a transport, whose calls a test scripts."""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Callable
from typing import Any


def failure(number: int) -> OSError:
    """What a system call that fails with this number raises."""
    return OSError(number, os.strerror(number))


class FaultySocket:
    """A socket of which chosen calls fail or fall short; all else goes to the real one."""

    def __init__(self, real: socket.socket) -> None:
        self.real = real
        self.errors: dict[str, list[int]] = {}  # by call: the errors that the next calls give, in order
        self.send_capacity: int | None = None  # bytes that `send` still takes; None: as the kernel says
        self.piece: int | None = None  # bytes that one `send` takes at most
        self.on_send: Callable[[], None] = lambda: None  # called before each `send`

    def __getattr__(self, name: str) -> Any:
        return getattr(self.real, name)

    def _fails(self, call: str) -> None:
        if self.errors.get(call):
            raise failure(self.errors[call].pop(0))

    def recv(self, size: int, flags: int = 0) -> bytes:
        self._fails("recv")
        return self.real.recv(size, flags)

    def accept(self) -> tuple[socket.socket, Any]:
        self._fails("accept")
        return self.real.accept()

    def connect_ex(self, address: Any) -> int:
        if self.errors.get("connect"):
            return self.errors["connect"].pop(0)
        return self.real.connect_ex(address)

    def send(self, data: Any, flags: int = 0) -> int:
        self.on_send()
        self._fails("send")
        piece = bytes(data)
        if self.piece is not None:
            piece = piece[: self.piece]
        if self.send_capacity is not None:
            piece = piece[: self.send_capacity]
            if not piece and len(data):
                raise failure(errno.EAGAIN)
            self.send_capacity -= len(piece)
        return self.real.send(piece, flags)


def faulty(transport: Any) -> FaultySocket:
    """Put a socket whose calls can fail under a transport."""
    transport.socket = FaultySocket(transport.socket)
    return transport.socket  # type: ignore[no-any-return]
