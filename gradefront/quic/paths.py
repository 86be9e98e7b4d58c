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

from .headers import LONG_HEADER_BIT, MAX_ID_LENGTH
from .places import Place
from .sockets import Hub, Socket

log = logging.getLogger("gradefront.quic")

MAX_DATAGRAM_LENGTH = 9_216  # jumbo frames; QUIC over more doesn't cross a network
QUARANTINE_US = 3_000_000  # a place rests so long after its path: answers may still be under way
FULL_RETRY_US = 100_000
PORT_BUFFER = 1 << 18
MIN_ANSWERS = 2  # answers that tell a client's id
MIN_LEARNED_ID_LENGTH = 4  # octets alike in so many answers are no chance
IP_RECVERR, IPV6_RECVERR = 11, 25  # Linux: ICMP rejections on a socket that isn't connected
MSG_ERRQUEUE = 0x2000
ERRNO_FIELD = struct.Struct("=I")  # begins what the error queue tells


class Path:
    """One client address at one backend, through one port."""

    __slots__ = (
        "client",
        "backend",
        "backend_address",
        "listener",
        "owner",
        "port",
        "sent",
        "received",
        "seen_sent",
        "seen_received",
        "sendto",
        "created_us",
        "last_used_us",
        "last_id",
        "is_direct",
        "client_id",
        "answers_examined",
    )

    def __init__(self, client: Address, backend: str, where: Address, listener: Any, owner: Any, now_us: int) -> None:  # noqa: PLR0913 - what a path joins
        self.client = client
        self.backend = backend
        self.backend_address = where
        self.listener = listener
        self.owner = owner
        self.port: Port | None = None
        self.sendto: Callable[[bytes, Address], int] | None = None  # the port's way out, kept for the listener's loop
        self.sent = self.received = 0  # datagrams to and from the backend
        self.seen_sent = self.seen_received = 0  # of which the last sweep knew
        self.created_us = self.last_used_us = now_us
        self.last_id = b""
        self.is_direct = False  # its answers need no look: they go to the client
        self.client_id = b""  # what its backend writes to, as far as its answers tell
        self.answers_examined = 0  # of those that were looked at

    def send(self, datagram: bytes) -> bool:
        """To the backend. A full socket buffer drops it, as any network may."""
        if self.sendto is None:
            return False
        self.sent += 1
        try:
            self.sendto(datagram, self.backend_address)
            return True
        except OSError:
            self.on_send_failed()
            return False

    def learn_client_id(self, datagram: bytes) -> bool:
        """Find out from answers what the backend writes to: where they begin alike is the client's id, for what
        follows it is encrypted. Whether enough were seen. A chance octet too many makes an id that later answers
        don't match: on a shared place they are copied then, not lost."""
        if datagram and datagram[0] < LONG_HEADER_BIT:
            self.answers_examined += 1
            candidate = datagram[1 : 1 + MAX_ID_LENGTH]
            common_length = next(
                (n for n, (a, b) in enumerate(zip(self.client_id, candidate, strict=False)) if a != b), len(candidate)
            )
            self.client_id = candidate[:common_length] if self.answers_examined > 1 else candidate
        if self.answers_examined < MIN_ANSWERS:
            return False
        if len(self.client_id) < MIN_LEARNED_ID_LENGTH:  # clients may have ids of no length: such paths aren't shared
            self.client_id = b""
        return True

    def on_send_failed(self) -> None:
        """The system didn't take it: a full buffer drops it, as any network may; a rejection waits to be read."""
        if self.port is not None:
            self.port.read_errors()


class Port(Socket):
    """One upstream port. `places` holds a path, or a few, for each backend."""

    def __init__(self, pool: PortPool, number: int, host: str) -> None:
        super().__init__(pool.hub, host, 0, PORT_BUFFER)
        self.pool = pool
        self.index = number
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
            datagram, sender = self.recvfrom(MAX_DATAGRAM_LENGTH)
        except BlockingIOError:
            return 0
        except OSError:
            self.read_errors()
            return 0
        place = self.places.get(sender[:2])
        if place is None:
            self.pool.count_unknown_sender()
            return 1
        path = place.sole_path
        if path is not None and path.is_direct:
            path.received += 1
            try:
                path.listener.sendto(datagram, path.client)
            except OSError:
                self.pool.count_unsent()
        elif datagram:
            try:
                self.pool.on_backend_datagram(place, datagram)
            except Exception:
                log.exception("a backend's datagram failed")
        return 1

    def read_errors(self) -> None:
        """Refusals: nothing listens where a datagram was sent."""
        while not self.closed:
            try:
                _, ancillary, _, where = self.socket.recvmsg(64, 512, MSG_ERRQUEUE)
            except OSError:
                return
            refused = any(
                len(data) >= ERRNO_FIELD.size
                and ERRNO_FIELD.unpack(data[: ERRNO_FIELD.size])[0] == errno.ECONNREFUSED
                for _, _, data in ancillary
            )
            place = self.places.get(where[:2]) if where else None
            if refused and place:
                for path in place.paths():
                    self.pool.on_refused(path)


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
        self.max_ports = most
        self.paths_per_place = share
        self.report_received = on_backend_datagram
        self.on_refused = refused
        self.count = count
        self.ports: list[Port] = []
        self.next_unused: dict[Address, int] = {}  # by backend: ports from this number on have never held it
        self.released: dict[Address, deque[tuple[int, int]]] = {}  # places that were given back, and when
        self.full_until_us: dict[Address, int] = {}  # a backend without a place: not asked for by each datagram

    def count_unknown_sender(self) -> None:
        """Someone who is no backend, or whose path is gone, wrote to a port."""
        self.count("quic_dropped_stranger")

    def count_unsent(self) -> None:
        """The system didn't take a datagram."""
        self.count("quic_dropped_unsent")

    def on_backend_datagram(self, place: Place, datagram: bytes) -> None:
        """An answer that needs a look."""
        paths = [place.sole_path] if place.sole_path else place.find_receivers(datagram)
        if len(paths) > 1:
            self.count("quic_copied_to_sharers")
        for path in paths:
            self.report_received(path, datagram)

    def place(
        self, path: Path, client_id: bytes, avoid: set[Port], now_us: int, client_id_of: Callable[[Path], bytes]
    ) -> bool:
        """Find the path a port where its connection isn't yet: the backend must see each client address as
        another one. `client_id`: what the backend will write to, if that is known. False: no room."""
        where = path.backend_address
        if now_us < self.full_until_us.get(where, 0):
            return False
        port = (
            self._take_released(where, avoid, now_us, QUARANTINE_US)
            or self._take_unused(where, avoid)
            or self._take_released(where, avoid, now_us, 0)
        )
        if port:
            port.places[where] = Place(path)
        else:
            port = self._find_shared(path, client_id, avoid, client_id_of)
            if port is None:
                self.full_until_us[where] = now_us + FULL_RETRY_US
                return False
            self.count("quic_paths_shared")
        path.port, path.sendto = port, port.sendto
        return True

    def _take_released(self, where: Address, avoid: set[Port], now_us: int, rest_us: int) -> Port | None:
        rested = self.released.get(where)
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

    def _take_unused(self, where: Address, avoid: set[Port]) -> Port | None:
        at = self.next_unused.get(where, 0)
        if at >= len(self.ports):
            if len(self.ports) >= self.max_ports:
                return None
            try:
                self.ports.append(Port(self, len(self.ports), self.host))
            except OSError as error:  # no descriptors left: live with the ports that there are
                log.error("no further upstream port, %d it stays: %s", len(self.ports), error)
                self.count("quic_ports_refused")
                self.max_ports = len(self.ports)
                return None
        self.next_unused[where] = at + 1
        port = self.ports[at]
        if port in avoid:  # rare: it goes to the next one who asks
            self.released.setdefault(where, deque()).append((at, 0))
            return self._take_unused(where, avoid)
        return port

    def _find_shared(
        self, path: Path, client_id: bytes, avoid: set[Port], client_id_of: Callable[[Path], bytes]
    ) -> Port | None:
        """A place with the fewest paths among some: looking at all would cost too much in a storm."""
        best: Port | None = None
        fewest = self.paths_per_place
        start = hash((path.client, path.backend_address)) % (len(self.ports) or 1)
        for step in range(min(32, len(self.ports))):
            port = self.ports[(start + step) % len(self.ports)]
            place = port.places.get(path.backend_address)
            if (
                place is None
                or port in avoid
                or not place.accepts(client_id, client_id_of(place.sole_path) if place.sole_path else b"")
            ):
                continue
            if len(place.paths()) < fewest:
                best, fewest = port, len(place.paths())
        if best:
            place = best.places[path.backend_address]
            place.add(path, client_id, client_id_of(place.sole_path) if place.sole_path else b"")
        return best

    @staticmethod
    def identify(path: Path, client_id: bytes) -> None:
        """A path that no connection had is one's now, whose client id is known."""
        if path.port is not None and path.backend_address in path.port.places:
            path.port.places[path.backend_address].identify(path, client_id)

    def release(self, path: Path, now_us: int) -> None:
        """The path is over; its place rests before another gets it."""
        port, path.port, path.sendto = path.port, None, None
        if port is None:
            return
        place = port.places.get(path.backend_address)
        self.full_until_us.pop(path.backend_address, None)
        if place and place.remove(path):
            del port.places[path.backend_address]
            self.released.setdefault(path.backend_address, deque()).append((port.index, now_us))
