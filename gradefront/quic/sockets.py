"""The second front's sockets: all behind one descriptor of the reactor's, read in batches."""

from __future__ import annotations

import select
import socket
from collections.abc import Iterable
from contextlib import suppress
from typing import Any

from gradefront.config import Address

BUSY = 4  # datagrams in one look that make a busy time
CHECKS = 3  # more looks in a busy time, before the reactor has its turn; with LOOK_S less than a tick of 4 ms
LOOK_S = 0.001  # what the system can wait at least
MOST_READY = 256  # sockets served in one go


class Hub:
    """All of the front's sockets behind one descriptor that the reactor watches: an epoll of its own.

    What the reactor does for each readable descriptor costs as much as passing on several datagrams; here it is paid
    once for all sockets that are ready. In a busy time the hub stays a little before it goes back to the reactor,
    less than a tick of the timer wheel.
    """

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.epoll = select.epoll()
        self.sockets: dict[int, Socket] = {}
        reactor.addReader(self)

    def fileno(self) -> int:
        """For the reactor."""
        return self.epoll.fileno()

    def logPrefix(self) -> str:
        """For the reactor."""
        return "quic"

    def add(self, one: Socket) -> None:
        """Watch a socket."""
        self.sockets[one.number] = one
        self.epoll.register(one.number, select.EPOLLIN)

    def drop(self, one: Socket) -> None:
        """Watch it no more. Before it is closed."""
        if self.sockets.pop(one.number, None):
            self.epoll.unregister(one.number)

    def doRead(self) -> None:
        """Sockets are ready. In a busy time it stays for a few more looks, which wait a millisecond at most."""
        done, checks = self._serve(0), 0
        while done >= BUSY and checks < CHECKS:
            done, checks = self._serve(LOOK_S), checks + 1

    def _serve(self, wait_s: float) -> int:
        """Read what is ready; about how many datagrams that were."""
        done, sockets = 0, self.sockets
        for number, event in self.epoll.poll(wait_s, MOST_READY):
            one = sockets.get(number)
            if one is None:  # closed by what another one brought
                continue
            if event & select.EPOLLERR:
                one.errors()
            if event & select.EPOLLIN and not one.closed:
                done += one.read()
        return done

    def connectionLost(self, reason: object) -> None:
        """For the reactor, at its end."""

    def close(self) -> None:
        """Close all sockets, and stop."""
        for one in list(self.sockets.values()):
            one.close()
        self.reactor.removeReader(self)
        self.epoll.close()


class Socket:
    """A datagram socket of the hub's."""

    def __init__(self, hub: Hub, host: str, port: int, buffer: int) -> None:
        self.hub = hub
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self.socket = socket.socket(family, socket.SOCK_DGRAM)
        self.closed = False
        try:
            self.socket.setblocking(False)
            for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                self.socket.setsockopt(socket.SOL_SOCKET, option, buffer)
            self.socket.bind((host, port))
        except OSError:
            self.socket.close()
            raise
        self.number = self.socket.fileno()
        self.sendto = self.socket.sendto
        self.recvfrom = self.socket.recvfrom
        hub.add(self)

    @property
    def address(self) -> Address:
        """Where it is bound."""
        given = self.socket.getsockname()
        return given[0], given[1]

    def read(self) -> int:
        """Read what there is; how many datagrams."""
        raise NotImplementedError

    def errors(self) -> None:
        """Take an error off the socket. Overridden where somebody wants to know whose it was."""
        self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)

    def close(self) -> None:
        """Give the descriptor back."""
        if not self.closed:
            self.closed = True
            self.hub.drop(self)
            self.socket.close()


def source_of(addresses: Iterable[Address]) -> str:
    """The address that the system reaches all of these from, so that it need not look for one with each datagram;
    the wildcard where they differ."""
    found = set()
    for host, port in addresses:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        # Suppressed: unreachable now; that is found out again by who sends there.
        with socket.socket(family, socket.SOCK_DGRAM) as probe, suppress(OSError):
            probe.connect((host, port))
            found.add(probe.getsockname()[0])
    if len(found) == 1:
        return str(found.pop())
    return "::" if any(":" in host for host in found) else "0.0.0.0"  # noqa: S104 - only backends are heard
