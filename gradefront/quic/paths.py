"""Upstream ports: through which a client's datagrams reach a backend, and how the answers find back.

QUIC hides which connection a short packet from a backend belongs to. So a port is used by one client path for
each backend: sender and port together tell whose the answer is. The same port serves other paths at other
backends. Only when the bound on ports is reached do paths share a place: told apart by the client ids that the
backend writes to, with at most one path in it whose id hasn't been seen yet.
"""

from __future__ import annotations

import errno
import logging
import socket
import struct
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from gradefront.config import Address

from .headers import LONG, LONGEST_ID
from .places import Place
from .sockets import Hub, Socket

log = logging.getLogger("gradefront.quic")

LONGEST_DATAGRAM = 9_216  # jumbo frames; QUIC over more doesn't cross a network
QUARANTINE_US = 3_000_000  # a place rests so long after its path: answers may still be under way
FULL_US = 100_000
PORT_BUFFER = 1 << 18
LEARNED = 2  # answers that tell a client's id
LEAST_LEARNED = 4  # octets alike in so many answers are no chance
IP_RECVERR, IPV6_RECVERR = 11, 25  # Linux: ICMP rejections on a socket that isn't connected
MSG_ERRQUEUE = 0x2000
ERRNO = struct.Struct("=I")  # begins what the error queue tells


class Path:
    """One client address at one backend, through one port."""

    __slots__ = (
        "client",
        "backend",
        "where",
        "listener",
        "owner",
        "port",
        "sent",
        "received",
        "seen_sent",
        "seen_received",
        "go",
        "since_us",
        "used_us",
        "last_id",
        "plain",
        "client_id",
        "answers",
    )

    def __init__(self, client: Address, backend: str, where: Address, listener: Any, owner: Any, now_us: int) -> None:  # noqa: PLR0913 - what a path joins
        self.client = client
        self.backend = backend
        self.where = where
        self.listener = listener
        self.owner = owner
        self.port: Port | None = None
        self.go: Callable[[bytes, Address], int] | None = None  # the port's way out, kept for the listener's loop
        self.sent = self.received = 0  # datagrams to and from the backend
        self.seen_sent = self.seen_received = 0  # of which the last sweep knew
        self.since_us = self.used_us = now_us
        self.last_id = b""
        self.plain = False  # its answers need no look: they go to the client
        self.client_id = b""  # what its backend writes to, as far as its answers tell
        self.answers = 0  # of those that were looked at

    def send(self, datagram: bytes) -> bool:
        """To the backend. A full socket buffer drops it, as any network may."""
        if self.go is None:
            return False
        self.sent += 1
        try:
            self.go(datagram, self.where)
            return True
        except OSError:
            self.on_send_failed()
            return False

    def learn(self, datagram: bytes) -> bool:
        """Find out from answers what the backend writes to: where they begin alike is the client's id, for what
        follows it is encrypted. Whether enough were seen. A chance octet too many makes an id that later answers
        don't match: on a shared place they are copied then, not lost."""
        if datagram and datagram[0] < LONG:
            self.answers += 1
            given = datagram[1 : 1 + LONGEST_ID]
            alike = next(
                (n for n, (a, b) in enumerate(zip(self.client_id, given, strict=False)) if a != b), len(given)
            )
            self.client_id = given[:alike] if self.answers > 1 else given
        if self.answers < LEARNED:
            return False
        if len(self.client_id) < LEAST_LEARNED:  # clients may have ids of no length: such paths aren't shared
            self.client_id = b""
        return True

    def on_send_failed(self) -> None:
        """The system didn't take it: a full buffer drops it, as any network may; a rejection waits to be read."""
        if self.port is not None:
            self.port.errors()


class Port(Socket):
    """One upstream port. `places` holds a path, or a few, for each backend."""

    def __init__(self, pool: PortPool, number: int, host: str) -> None:
        super().__init__(pool.hub, host, 0, PORT_BUFFER)
        self.pool = pool
        self.column = number
        self.places: dict[Address, Place] = {}
        with suppress(OSError):  # elsewhere than on Linux rejections are found by silence
            if ":" in host:
                self.socket.setsockopt(socket.IPPROTO_IPV6, IPV6_RECVERR, 1)
            else:
                self.socket.setsockopt(socket.IPPROTO_IP, IP_RECVERR, 1)

    def read(self) -> int:
        """Answers of backends: the usual way of a datagram, with nothing that it doesn't need. Mostly there is
        one; to look for a second would cost as much as the first. The hub comes again if there is."""
        try:
            datagram, sender = self.recvfrom(LONGEST_DATAGRAM)
        except BlockingIOError:
            return 0
        except OSError:
            self.errors()
            return 0
        place = self.places.get(sender[:2])
        if place is None:
            self.pool.stranger()
            return 1
        path = place.only
        if path is not None and path.plain:
            path.received += 1
            try:
                path.listener.sendto(datagram, path.client)
            except OSError:
                self.pool.lost()
        elif datagram:
            try:
                self.pool.on_backend_datagram(place, datagram)
            except Exception:
                log.exception("a backend's datagram failed")
        return 1

    def errors(self) -> None:
        """Refusals: nothing listens where a datagram was sent."""
        while not self.closed:
            try:
                _, ancillary, _, where = self.socket.recvmsg(64, 512, MSG_ERRQUEUE)
            except OSError:
                return
            refused = any(
                len(data) >= ERRNO.size and ERRNO.unpack(data[: ERRNO.size])[0] == errno.ECONNREFUSED
                for _, _, data in ancillary
            )
            place = self.places.get(where[:2]) if where else None
            if refused and place:
                for path in place.paths():
                    self.pool.refused(path)


class PortPool:
    """All upstream ports: at most `most`, each with one path a backend, or `share` where that doesn't do."""

    def __init__(  # noqa: PLR0913 - limits, and what the tables do with answers
        self,
        hub: Hub,
        host: str,
        most: int,
        share: int,
        on_backend_datagram: Callable[[Path, bytes], None],
        refused: Callable[[Path], None],
        count: Callable[[str], None],
    ) -> None:
        self.hub = hub
        self.host = host
        self.most = most
        self.share = share
        self.report_received = on_backend_datagram
        self.refused = refused
        self.count = count
        self.ports: list[Port] = []
        self.fresh: dict[Address, int] = {}  # by backend: ports from this number on have never held it
        self.rested: dict[Address, deque[tuple[int, int]]] = {}  # places that were given back, and when
        self.full_until: dict[Address, int] = {}  # a backend without a place: not asked for by each datagram

    def stranger(self) -> None:
        """Someone who is no backend, or whose path is gone, wrote to a port."""
        self.count("quic_dropped_stranger")

    def lost(self) -> None:
        """The system didn't take a datagram."""
        self.count("quic_dropped_unsent")

    def on_backend_datagram(self, place: Place, datagram: bytes) -> None:
        """An answer that needs a look."""
        paths = [place.only] if place.only else place.find(datagram)
        if len(paths) > 1:
            self.count("quic_copied_to_sharers")
        for path in paths:
            self.report_received(path, datagram)

    def place(
        self, path: Path, client_id: bytes, avoid: set[Port], now_us: int, known: Callable[[Path], bytes]
    ) -> bool:
        """Find the path a port where its connection isn't yet: the backend must see each client address as
        another one. `client_id`: what the backend will write to, if that is known. False: no room."""
        where = path.where
        if now_us < self.full_until.get(where, 0):
            return False
        port = (
            self._rested(where, avoid, now_us, QUARANTINE_US)
            or self._fresh(where, avoid)
            or self._rested(where, avoid, now_us, 0)
        )
        if port:
            port.places[where] = Place(path)
        else:
            port = self._shared(path, client_id, avoid, known)
            if port is None:
                self.full_until[where] = now_us + FULL_US
                return False
            self.count("quic_paths_shared")
        path.port, path.go = port, port.sendto
        return True

    def _rested(self, where: Address, avoid: set[Port], now_us: int, rest_us: int) -> Port | None:
        rested = self.rested.get(where)
        for _ in range(min(4, len(rested)) if rested else 0):
            assert rested
            number, since_us = rested[0]
            if now_us - since_us < rest_us:
                return None
            rested.popleft()
            if self.ports[number] not in avoid:
                return self.ports[number]
            rested.append((number, since_us))
        return None

    def _fresh(self, where: Address, avoid: set[Port]) -> Port | None:
        at = self.fresh.get(where, 0)
        if at >= len(self.ports):
            if len(self.ports) >= self.most:
                return None
            try:
                self.ports.append(Port(self, len(self.ports), self.host))
            except OSError as error:  # no descriptors left: live with the ports that there are
                log.error("no further upstream port, %d it stays: %s", len(self.ports), error)
                self.count("quic_ports_refused")
                self.most = len(self.ports)
                return None
        self.fresh[where] = at + 1
        port = self.ports[at]
        if port in avoid:  # rare: it goes to the next one who asks
            self.rested.setdefault(where, deque()).append((at, 0))
            return self._fresh(where, avoid)
        return port

    def _shared(self, path: Path, client_id: bytes, avoid: set[Port], known: Callable[[Path], bytes]) -> Port | None:
        """A place with the fewest paths among some: looking at all would cost too much in a storm."""
        best: Port | None = None
        fewest = self.share
        start = hash((path.client, path.where)) % (len(self.ports) or 1)
        for step in range(min(32, len(self.ports))):
            port = self.ports[(start + step) % len(self.ports)]
            place = port.places.get(path.where)
            if place is None or port in avoid or not place.takes(client_id, known(place.only) if place.only else b""):
                continue
            if len(place.paths()) < fewest:
                best, fewest = port, len(place.paths())
        if best:
            place = best.places[path.where]
            place.share(path, client_id, known(place.only) if place.only else b"")
        return best

    @staticmethod
    def settle(path: Path, client_id: bytes) -> None:
        """A path that no connection had is one's now, whose client id is known."""
        if path.port is not None and path.where in path.port.places:
            path.port.places[path.where].settle(path, client_id)

    def give_back(self, path: Path, now_us: int) -> None:
        """The path is over; its place rests before another gets it."""
        port, path.port, path.go = path.port, None, None
        if port is None:
            return
        place = port.places.get(path.where)
        self.full_until.pop(path.where, None)
        if place and place.drop(path):
            del port.places[path.where]
            self.rested.setdefault(path.where, deque()).append((port.column, now_us))
