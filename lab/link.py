"""An impaired loopback link between devices and a front: loss, delay, reordering, duplication, corruption, small MTU.

Everything is drawn from one seed, a generator for each direction: the same seed does the same to the same traffic.
Each device gets a port of its own towards the front, so that addresses stay apart.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass
from typing import Any

Address = tuple[str, int]
FLIPPED_BITS = 0x55  # in a corrupted octet


@dataclass(frozen=True)
class Impairment:
    """What the link does. Probabilities are from 0 to 1, times in seconds."""

    loss: float = 0.0
    burst: float = 1.0  # mean length of a run of losses, in datagrams (Gilbert-Elliott)
    delay: float = 0.0
    jitter: float = 0.0  # added to the delay, evenly drawn: datagrams overtake each other
    duplicate: float = 0.0
    corrupt: float = 0.0  # one octet of the datagram is flipped
    mtu: int = 65_535  # octets; longer datagrams are lost


class Direction:
    """One direction of the link, with its own draws."""

    def __init__(self, impairment: Impairment, seed: str) -> None:
        self.impairment = impairment
        self.rng = random.Random(seed)
        self.losing = False

    def arrivals(self, datagram: bytes, counts: Counter[str]) -> list[tuple[float, bytes]]:
        """The copies of a datagram that arrive, each with its delay in seconds; counts what was done to it."""
        how, rng = self.impairment, self.rng
        # Always as many draws: what happens to one datagram doesn't depend on those before.
        loss, duplicate, corrupt, jitter, position = (rng.random() for _ in range(5))
        if self.losing:
            self.losing = loss >= 1 / how.burst
        elif how.loss:
            self.losing = loss < how.loss / (how.burst * (1 - how.loss))
        if self.losing or len(datagram) > how.mtu:
            counts["lost" if self.losing else "too long"] += 1
            return []
        if corrupt < how.corrupt and datagram:
            counts["corrupted"] += 1
            index = int(position * len(datagram))
            datagram = datagram[:index] + bytes([datagram[index] ^ FLIPPED_BITS]) + datagram[index + 1 :]
        copies = [(how.delay + how.jitter * jitter, datagram)]
        if duplicate < how.duplicate:
            counts["duplicated"] += 1
            copies.append((how.delay + how.jitter * position, datagram))
        counts["passed"] += 1
        return copies


class Link(asyncio.DatagramProtocol):
    """Devices send to `address`; the front sees one port for each of them."""

    def __init__(self, front: Address, there: Impairment, back: Impairment | None = None, seed: int = 1) -> None:
        self.front = front
        self.there, self.back = there, back or there
        self.seed = seed
        self.device_ports: dict[Address, DevicePort] = {}
        self.counts: Counter[str] = Counter()

    async def open(self) -> None:
        """Listens on a loopback port."""
        loop = asyncio.get_running_loop()
        self.wire, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        self.address: Address = self.wire.get_extra_info("sockname")
        self.opening: dict[Address, list[bytes]] = {}

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Passes on a datagram of a device."""
        if addr in self.device_ports:
            self.device_ports[addr].send(data)
            return
        waiting = self.opening.setdefault(addr, [])
        waiting.append(data)
        if len(waiting) == 1:
            self._opened = asyncio.ensure_future(self._open_port(addr))

    async def _open_port(self, addr: Address) -> None:
        port = DevicePort(self, addr, len(self.device_ports))
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: port, remote_addr=self.front)
        self.device_ports[addr] = port
        for data in self.opening.pop(addr):
            port.send(data)

    def close(self) -> None:
        """Closes all sockets."""
        self.wire.close()
        for port in self.device_ports.values():
            port.wire.close()


class DevicePort(asyncio.DatagramProtocol):
    """One device's port towards the front."""

    wire: Any

    def __init__(self, link: Link, device: Address, number: int) -> None:
        self.link = link
        self.device = device
        self.there = Direction(link.there, f"{link.seed} there {number}")
        self.back = Direction(link.back, f"{link.seed} back {number}")

    def connection_made(self, transport: Any) -> None:
        """Keeps the transport."""
        self.wire = transport

    def _send_after(self, delay_s: float, send: Any, *arguments: Any) -> None:
        if send.__self__.is_closing():
            return
        if delay_s:
            asyncio.get_running_loop().call_later(delay_s, self._send_after, 0.0, send, *arguments)
        else:
            send(*arguments)

    def send(self, data: bytes) -> None:
        """Passes on a datagram from the device to the front."""
        for delay_s, copy in self.there.arrivals(data, self.link.counts):
            self._send_after(delay_s, self.wire.sendto, copy)

    def datagram_received(self, data: bytes, addr: Any) -> None:  # noqa: ARG002 - asyncio's signature
        """Passes on a datagram from the front to the device."""
        for delay_s, copy in self.back.arrivals(data, self.link.counts):
            self._send_after(delay_s, self.link.wire.sendto, copy, self.device)

    def error_received(self, exc: Exception) -> None:  # noqa: ARG002 - asyncio's signature
        """The front isn't there: to a device that is silence."""
        self.link.counts["refused"] += 1
