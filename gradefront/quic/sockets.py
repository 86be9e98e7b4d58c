"""The second front's sockets: all behind one descriptor of the reactor's, read in batches."""

from __future__ import annotations

import select
import socket
from collections.abc import Iterable
from contextlib import suppress
from typing import Any

from gradefront.config import Address

BUSY_DATAGRAMS = 4  # datagrams in one look that make a busy time
EXTRA_POLLS = 3  # more looks in a busy time, before the reactor has its turn; with LOOK_S less than a tick of 4 ms
POLL_TIMEOUT_S = 0.001  # what the system can wait at least
MAX_EVENTS = 256  # sockets served in one go


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

    def add(self, sock: Socket) -> None:
        """Watch a socket."""
        self.sockets[sock.fd] = sock
        self.epoll.register(sock.fd, select.EPOLLIN)

    def remove(self, sock: Socket) -> None:
        """Watch it no more. Before it is closed."""
        if self.sockets.pop(sock.fd, None):
            self.epoll.unregister(sock.fd)

    def doRead(self) -> None:
        """Sockets are ready. In a busy time it stays for a few more looks, which wait a millisecond at most."""
        datagrams, polls = self._serve(0), 0
        while datagrams >= BUSY_DATAGRAMS and polls < EXTRA_POLLS:
            datagrams, polls = self._serve(POLL_TIMEOUT_S), polls + 1

    def _serve(self, wait_s: float) -> int:
        """Read what is ready; about how many datagrams that were."""
        datagrams, sockets = 0, self.sockets
        for fd, event in self.epoll.poll(wait_s, MAX_EVENTS):
            sock = sockets.get(fd)
            if sock is None:  # closed by what another one brought
                continue
            if event & select.EPOLLERR:
                sock.read_errors()
            if event & select.EPOLLIN and not sock.closed:
                datagrams += sock.read()
        return datagrams

    def connectionLost(self, reason: object) -> None:
        """For the reactor, at its end."""

    def close(self) -> None:
        """Close all sockets, and stop."""
        for sock in list(self.sockets.values()):
            sock.close()
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
        self.fd = self.socket.fileno()
        self.sendto = self.socket.sendto
        self.recvfrom = self.socket.recvfrom
        hub.add(self)

    @property
    def address(self) -> Address:
        """Where it is bound."""
        bound = self.socket.getsockname()
        return bound[0], bound[1]

    def read(self) -> int:
        """Read what there is; how many datagrams."""
        raise NotImplementedError

    def read_errors(self) -> None:
        """Take an error off the socket. Overridden where somebody wants to know whose it was."""
        self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)

    def close(self) -> None:
        """Give the descriptor back."""
        if not self.closed:
            self.closed = True
            self.hub.remove(self)
            self.socket.close()


def source_address(addresses: Iterable[Address]) -> str:
    """The address that the system reaches all of these from, so that it need not look for one with each datagram;
    the wildcard where they differ."""
    sources = set()
    for host, port in addresses:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        # Suppressed: unreachable now; that is found out again by who sends there.
        with socket.socket(family, socket.SOCK_DGRAM) as probe, suppress(OSError):
            probe.connect((host, port))
            sources.add(probe.getsockname()[0])
    if len(sources) == 1:
        return str(sources.pop())
    return "::" if any(":" in host for host in sources) else "0.0.0.0"  # noqa: S104 - only backends are heard
