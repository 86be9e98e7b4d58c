"""A socket for a transport, whose system calls a test can make fail with errors from the manual pages."""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Callable
from typing import Any


def failure(number: int) -> OSError:
    """Returns the exception of a system call that fails with this errno."""
    return OSError(number, os.strerror(number))


class FaultySocket:
    """Wraps a socket; selected calls fail or send only a part, all others go to the real socket."""

    def __init__(self, real: socket.socket) -> None:
        self.real = real
        self.errors: dict[str, list[int]] = {}  # by system call: errnos of the next calls, in order
        self.send_capacity: int | None = None  # bytes that `send` still accepts in total; None: no limit
        self.max_send: int | None = None  # maximum number of bytes per `send`; None: no limit
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
        part = bytes(data)
        if self.max_send is not None:
            part = part[: self.max_send]
        if self.send_capacity is not None:
            part = part[: self.send_capacity]
            if not part and len(data):
                raise failure(errno.EAGAIN)
            self.send_capacity -= len(part)
        return self.real.send(part, flags)


def faulty(transport: Any) -> FaultySocket:
    """Replaces a transport's socket by a FaultySocket, and returns that."""
    transport.socket = FaultySocket(transport.socket)
    return transport.socket  # type: ignore[no-any-return]
