"""The QUIC front's sockets, which share one descriptor in the reactor and are read in batches."""

from __future__ import annotations

import select
import socket
from collections.abc import Iterable
from contextlib import suppress
from typing import Any

from gradefront.config import Address

BUSY_DATAGRAMS = 4  # the hub counts as busy if it reads at least this many datagrams in one poll
#: Further polls while busy, before the reactor runs; times POLL_TIMEOUT_S they stay below a timer tick of 4 ms.
EXTRA_POLLS = 3
POLL_TIMEOUT_S = 0.001  # the shortest timeout that epoll supports
MAX_EVENTS = 256  # sockets served in one poll


class Hub:
    """An epoll instance with all of the front's sockets, which the reactor watches as one descriptor.

    The reactor's work for each readable descriptor costs as much as forwarding several datagrams; with the hub it is
    done once for all ready sockets. While busy, the hub polls for a while longer before it returns to the reactor,
    for less than a tick of the timer wheel.
    """

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.epoll = select.epoll()
        self.sockets: dict[int, Socket] = {}
        reactor.addReader(self)

    def fileno(self) -> int:
        """Return the descriptor that the reactor watches."""
        return self.epoll.fileno()

    def logPrefix(self) -> str:
        """Return the prefix of the reactor's log lines."""
        return "quic"

    def add(self, sock: Socket) -> None:
        """Watch a socket."""
        self.sockets[sock.fd] = sock
        self.epoll.register(sock.fd, select.EPOLLIN)

    def remove(self, sock: Socket) -> None:
        """Stop watching a socket, before it is closed."""
        if self.sockets.pop(sock.fd, None):
            self.epoll.unregister(sock.fd)

    def doRead(self) -> None:
        """Serve the ready sockets. While busy, poll a few more times, each for at most a millisecond."""
        datagrams, polls = self._serve(0), 0
        while datagrams >= BUSY_DATAGRAMS and polls < EXTRA_POLLS:
            datagrams, polls = self._serve(POLL_TIMEOUT_S), polls + 1

    def _serve(self, wait_s: float) -> int:
        """Read from all ready sockets; return the approximate number of datagrams."""
        datagrams, sockets = 0, self.sockets
        for fd, event in self.epoll.poll(wait_s, MAX_EVENTS):
            sock = sockets.get(fd)
            if sock is None:  # closed while an earlier event was handled
                continue
            if event & select.EPOLLERR:
                sock.read_errors()
            if event & select.EPOLLIN and not sock.closed:
                datagrams += sock.read()
        return datagrams

    def connectionLost(self, reason: object) -> None:
        """Do nothing: the reactor calls this at shutdown."""

    def close(self) -> None:
        """Close all sockets and leave the reactor."""
        for sock in list(self.sockets.values()):
            sock.close()
        self.reactor.removeReader(self)
        self.epoll.close()


class Socket:
    """A UDP socket watched by the hub."""

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
        """The address that the socket is bound to."""
        bound = self.socket.getsockname()
        return bound[0], bound[1]

    def read(self) -> int:
        """Read the waiting datagrams; return their number."""
        raise NotImplementedError

    def read_errors(self) -> None:
        """Clear the socket's pending error. Subclasses override this to find out which path an error belongs to."""
        self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)

    def close(self) -> None:
        """Close the socket."""
        if not self.closed:
            self.closed = True
            self.hub.remove(self)
            self.socket.close()


def source_address(addresses: Iterable[Address]) -> str:
    """Return the local address from which the kernel reaches all given addresses, so that it need not select one for
    each datagram; the wildcard address if there are several."""
    sources = set()
    for host, port in addresses:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        # Errors are ignored: an address that is unreachable now is detected again when a datagram is sent there.
        with socket.socket(family, socket.SOCK_DGRAM) as probe, suppress(OSError):
            probe.connect((host, port))
            sources.add(probe.getsockname()[0])
    if len(sources) == 1:
        return str(sources.pop())
    return "::" if any(":" in host for host in sources) else "0.0.0.0"  # noqa: S104 - datagrams from other senders than backends are dropped
