"""Upstream ports, through which client datagrams reach backends, and the routing of the backends' answers.

QUIC hides which connection a backend's packet with a short header belongs to. Therefore a port carries only one path
for each backend, and the sender and the port together identify the path of an answer. The same port carries other
paths to other backends. Only when the limit on ports is reached do paths share a slot (one backend at one port): they
are distinguished by the client ids that the backend sends to, with at most one path in the slot whose client id is
not yet known.
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
from .places import PortSlot
from .sent_hello import MAX_QUOTE_LENGTH
from .sockets import Hub, Socket

log = logging.getLogger("gradefront.quic")

MAX_DATAGRAM_LENGTH = 9_216  # jumbo frames; larger QUIC datagrams do not cross a network
#: Before a slot is used again, unless no other is free: late answers to its last path may still arrive.
QUARANTINE_US = 3_000_000
FULL_RETRY_US = 100_000  # before a slot is searched for again at a backend that had none free
PORT_BUFFER = 1 << 18
MIN_ANSWERS = 2  # needed to infer a client's id
MIN_LEARNED_ID_LENGTH = 4  # octets; a shorter common prefix of the answers may be a coincidence
IP_RECVERR, IPV6_RECVERR = 11, 25  # Linux: report ICMP errors on an unconnected socket
MSG_ERRQUEUE = 0x2000
ERRNO_FIELD = struct.Struct("=I")  # the first field of an error queue message


class Path:
    """The datagrams between one client address and one backend, through one upstream port."""

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

    def __init__(  # noqa: PLR0913 - the ends of the path
        self, client: Address, backend: str, backend_address: Address, listener: Any, owner: Any, now_us: int
    ) -> None:
        self.client = client
        self.backend = backend
        self.backend_address = backend_address
        self.listener = listener
        self.owner = owner
        self.port: Port | None = None
        #: The port's sendto, cached for the listener's loop.
        self.sendto: Callable[[bytes, Address], int] | None = None
        self.sent = self.received = 0  # datagrams to and from the backend
        self.seen_sent = self.seen_received = 0  # as of the last check
        self.created_us = self.last_used_us = now_us
        self.last_id = b""
        self.is_direct = False  # answers are sent to the client without being examined
        self.client_id = b""  # the client id that the backend sends to, as far as inferred from its answers
        self.answers_examined = 0

    def send(self, datagram: bytes) -> bool:
        """Send a datagram to the backend; return False if it was dropped, which a full socket buffer causes as any
        network may."""
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
        """Infer the client's id from an answer, and return whether enough answers were examined.

        The id is the common prefix of the answers, as the octets after it are encrypted. If these agree by chance,
        the inferred id is too long and later answers do not match it: in a shared slot they are then copied to
        several clients, not lost.
        """
        if datagram and datagram[0] < LONG_HEADER_BIT:
            self.answers_examined += 1
            candidate = datagram[1 : 1 + MAX_ID_LENGTH]
            common_length = next(
                (n for n, (a, b) in enumerate(zip(self.client_id, candidate, strict=False)) if a != b), len(candidate)
            )
            self.client_id = candidate[:common_length] if self.answers_examined > 1 else candidate
        if self.answers_examined < MIN_ANSWERS:
            return False
        if len(self.client_id) < MIN_LEARNED_ID_LENGTH:  # a client may use an empty id: it then stays unknown
            self.client_id = b""
        return True

    def on_send_failed(self) -> None:
        """Handle a failed send: a full buffer drops the datagram, as any network may; an ICMP error is in the port's
        error queue."""
        if self.port is not None:
            self.port.read_errors()


class Port(Socket):
    """One upstream port. `slots` holds, for each backend, one path or the few that share the port there."""

    def __init__(self, pool: PortPool, index: int, host: str) -> None:
        super().__init__(pool.hub, host, 0, PORT_BUFFER)
        self.pool = pool
        self.index = index
        self.slots: dict[Address, PortSlot] = {}
        with suppress(OSError):  # other systems than Linux: unreachable backends are detected by silence
            if ":" in host:
                self.socket.setsockopt(socket.IPPROTO_IPV6, IPV6_RECVERR, 1)
            else:
                self.socket.setsockopt(socket.IPPROTO_IP, IP_RECVERR, 1)

    def read(self) -> int:
        """Read one answer of a backend. Most datagrams pass through here, so this does only what is needed. Usually
        one datagram waits; testing for a second would cost as much as reading the first. The hub calls again if there
        is one."""
        try:
            datagram, sender = self.recvfrom(MAX_DATAGRAM_LENGTH)
        except BlockingIOError:
            return 0
        except OSError:
            self.read_errors()
            return 0
        slot = self.slots.get(sender[:2])
        if slot is None:
            self.pool.count_unknown_sender()
            return 1
        path = slot.sole_path
        if path is not None and path.is_direct:
            path.received += 1
            try:
                path.listener.sendto(datagram, path.client)
            except OSError:
                self.pool.count_unsent()
        elif datagram:
            try:
                self.pool.on_backend_datagram(slot, datagram)
            except Exception:
                log.exception("failed to process a datagram from backend address %s", sender)
        return 1

    def read_errors(self) -> None:
        """Read the error queue, and report connection refusals: nothing listens at the backend's address. Each report
        has the start of the datagram that was refused, as the ICMP error quotes it."""
        while not self.closed:
            try:
                quote, ancillary, _, backend_address = self.socket.recvmsg(MAX_QUOTE_LENGTH, 512, MSG_ERRQUEUE)
            except OSError:
                return
            refused = any(
                len(data) >= ERRNO_FIELD.size
                and ERRNO_FIELD.unpack(data[: ERRNO_FIELD.size])[0] == errno.ECONNREFUSED
                for _, _, data in ancillary
            )
            slot = self.slots.get(backend_address[:2]) if backend_address else None
            if refused and slot:
                paths = slot.paths()
                for path in paths:
                    self.pool.on_refused(path, quote, len(paths) > 1)


class PortPool:
    """All upstream ports: at most `max_ports`, each with one path for each backend, or with up to `paths_per_slot`
    paths once all ports are in use."""

    def __init__(  # noqa: PLR0913 - limits, and the callbacks of the tables
        self,
        hub: Hub,
        host: str,
        max_ports: int,
        paths_per_slot: int,
        on_backend_datagram: Callable[[Path, bytes], None],
        on_refused: Callable[[Path, bytes, bool], None],
        count: Callable[[str], None],
    ) -> None:
        self.hub = hub
        self.host = host
        self.max_ports = self.configured_ports = max_ports
        self.paths_per_slot = paths_per_slot
        self.on_path_datagram = on_backend_datagram
        self.on_refused = on_refused
        self.count = count
        self.ports: list[Port] = []
        self.next_unused: dict[Address, int] = {}  # by backend: the first port not yet used for it
        #: By backend: released ports and the time of release.
        self.released: dict[Address, deque[tuple[int, int]]] = {}
        self.full_until_us: dict[Address, int] = {}  # by backend: no search for a free slot until then
        self.open_paths = 0
        self.released_us = 0  # when a path was closed last

    def count_unknown_sender(self) -> None:
        """Count a datagram whose sender is no backend, or whose path is closed."""
        self.count("quic_dropped_stranger")

    def count_unsent(self) -> None:
        """Count a datagram that could not be sent to a client."""
        self.count("quic_dropped_unsent")

    def on_backend_datagram(self, slot: PortSlot, datagram: bytes) -> None:
        """Find the receivers of an answer that must be examined, and pass it on."""
        paths = [slot.sole_path] if slot.sole_path else slot.find_receivers(datagram)
        if len(paths) > 1:
            self.count("quic_copied_to_sharers")
        for path in paths:
            self.on_path_datagram(path, datagram)

    def assign_port(
        self, path: Path, client_id: bytes, avoid: set[Port], now_us: int, client_id_of: Callable[[Path], bytes]
    ) -> bool:
        """Assign the path a port that its connection does not use yet (`avoid`), as the backend must see each client
        address as a different one. `client_id` is the id that the backend will send to, if known. Return False if
        there is no room."""
        backend_address = path.backend_address
        if now_us < self.full_until_us.get(backend_address, 0):
            return False
        port = (
            self._take_released(backend_address, avoid, now_us, QUARANTINE_US)
            or self._take_unused(backend_address, avoid)
            or self._take_released(backend_address, avoid, now_us, 0)
        )
        if port:
            port.slots[backend_address] = PortSlot(path)
        else:
            port = self._find_shared(path, client_id, avoid, client_id_of)
            if port is None:
                self.full_until_us[backend_address] = now_us + FULL_RETRY_US
                return False
            self.count("quic_paths_shared")
        path.port, path.sendto = port, port.sendto
        self.open_paths += 1
        return True

    def _take_released(
        self, backend_address: Address, avoid: set[Port], now_us: int, min_rest_us: int
    ) -> Port | None:
        queue = self.released.get(backend_address)
        for _ in range(min(4, len(queue)) if queue else 0):
            assert queue
            number, released_us = queue[0]
            if now_us - released_us < min_rest_us:
                return None
            queue.popleft()
            if self.ports[number] not in avoid:
                return self.ports[number]
            queue.append((number, released_us))
        return None

    def _take_unused(self, backend_address: Address, avoid: set[Port]) -> Port | None:
        number = self.next_unused.get(backend_address, 0)
        if number >= len(self.ports):
            if len(self.ports) >= self.max_ports:
                return None
            try:
                self.ports.append(Port(self, len(self.ports), self.host))
            except OSError as error:  # no descriptors left: continue with the present ports
                log.error("cannot open another upstream port, continuing with %d: %s", len(self.ports), error)
                self.count("quic_ports_refused")
                self.max_ports = len(self.ports)
                return None
        self.next_unused[backend_address] = number + 1
        port = self.ports[number]
        if port in avoid:  # rare: leave the port for another connection
            self.released.setdefault(backend_address, deque()).append((number, 0))
            return self._take_unused(backend_address, avoid)
        return port

    def _find_shared(
        self, path: Path, client_id: bytes, avoid: set[Port], client_id_of: Callable[[Path], bytes]
    ) -> Port | None:
        """Return the port whose slot for this backend has the fewest paths, out of up to 32 ports; a search of all
        ports would cost too much in a connection storm."""
        best: Port | None = None
        fewest = self.paths_per_slot
        start = hash((path.client, path.backend_address)) % (len(self.ports) or 1)
        for step in range(min(32, len(self.ports))):
            port = self.ports[(start + step) % len(self.ports)]
            slot = port.slots.get(path.backend_address)
            if (
                slot is None
                or port in avoid
                or not slot.accepts(client_id, client_id_of(slot.sole_path) if slot.sole_path else b"")
            ):
                continue
            if len(slot.paths()) < fewest:
                best, fewest = port, len(slot.paths())
        if best:
            slot = best.slots[path.backend_address]
            slot.add(path, client_id, client_id_of(slot.sole_path) if slot.sole_path else b"")
        return best

    @staticmethod
    def identify(path: Path, client_id: bytes) -> None:
        """Set the client id of a path that got a connection, or whose id was inferred."""
        if path.port is not None and path.backend_address in path.port.slots:
            path.port.slots[path.backend_address].identify(path, client_id)

    def release(self, path: Path, now_us: int) -> None:
        """Release a closed path's port; its slot is not used again before QUARANTINE_US if others are free."""
        port, path.port, path.sendto = path.port, None, None
        if port is None:
            return
        self.open_paths -= 1
        self.released_us = now_us
        slot = port.slots.get(path.backend_address)
        self.full_until_us.pop(path.backend_address, None)
        if slot and slot.remove(path):
            del port.slots[path.backend_address]
            self.released.setdefault(path.backend_address, deque()).append((port.index, now_us))

    def close_idle(self, now_us: int) -> None:
        """Close all ports once no path has been open for QUARANTINE_US, so that a storm keeps no descriptors."""
        if self.open_paths or not self.ports or now_us - self.released_us < QUARANTINE_US:
            return
        for port in self.ports:
            port.close()
        self.ports.clear()
        self.next_unused.clear()
        self.released.clear()
        self.full_until_us.clear()
        self.max_ports = self.configured_ports
