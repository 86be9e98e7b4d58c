"""Client paths: each client address that reaches a push box gets an upstream port of its own."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import DatagramProtocol

from gradefront.config import Address

if TYPE_CHECKING:
    from .front import QuicVisit

log = logging.getLogger("gradefront.quic")

LONGEST_DATAGRAM = 65_535


class Path(DatagramProtocol):
    """One client address at one push box. The push box sees this path's port as the client's address, and
    what it sends there goes to that client address and nowhere else."""

    noisy = False

    def __init__(self, client: Address, box: str, where: Address, door: Door, owner: QuicVisit | None,
                 heard: Callable[[Path, bytes], None], refused: Callable[[Path], None], now_us: int) -> None:
        self.client = client
        self.box = box
        self.where = where
        self.door = door
        self.owner = owner
        self.heard = heard
        self.refused = refused
        self.since_us = self.used_us = now_us
        self.last_id = b""
        self.closed = False

    @property
    def wire(self) -> Any:
        """The transport."""
        return self.transport

    def startProtocol(self) -> None:
        """Bind to the push box: what anyone else sends here is dropped by the system."""
        self.wire.connect(*self.where)

    def send(self, datagram: bytes, now_us: int) -> None:
        """To the push box."""
        if not self.closed:
            self.since_us = self.used_us = now_us
            self.wire.write(datagram)

    def datagramReceived(self, datagram: bytes, addr: object) -> None:
        """From the push box. Guards the relay: an exception ends with this datagram."""
        if self.closed:
            return
        try:
            self.heard(self, datagram)
        except Exception:
            log.exception("a push box's datagram failed")

    def connectionRefused(self) -> None:
        """Nothing listens at the push box's address."""
        if not self.closed:
            self.refused(self)

    def stopProtocol(self) -> None:
        """The port is gone. Guards against a refusal that epoll reports as an error on the socket: Twisted
        then drops the port without a word to `connectionRefused`."""
        if not self.closed:
            self.closed = True
            self.refused(self)

    def close(self) -> None:
        """Give the port back."""
        if not self.closed:
            self.closed = True
            self.wire.stopListening()


class Door(DatagramProtocol):
    """Where clients of one class come in."""

    noisy = False

    def __init__(self, klass: int, take: Callable[[Door, bytes, Address], None]) -> None:
        self.klass = klass
        self.take = take

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """From a client. Guards the relay: an exception ends with this datagram."""
        try:
            self.take(self, datagram, (addr[0], addr[1]))
        except Exception:
            log.exception("a client's datagram failed")

    def reply(self, datagram: bytes, client: Address) -> None:
        """To a client."""
        transport: Any = self.transport
        if transport is not None:
            transport.write(datagram, client)
