"""An impaired loopback link between QUIC clients and a relay: loss, delay, reordering, duplication, corruption,
small MTU.

All faults derive from one seed, with one generator per direction: the same seed impairs the same traffic in the same
way. Each client ("device") gets its own port towards the relay's QUIC listener ("front"), so that the relay sees a
distinct address for each client.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass
from typing import Any

Address = tuple[str, int]
FLIPPED_BITS = 0x55  # XORed into a corrupted octet


@dataclass(frozen=True)
class Impairment:
    """The faults of a link: probabilities from 0 to 1, times in seconds."""

    loss: float = 0.0
    burst: float = 1.0  # mean length of a run of losses, in datagrams (Gilbert-Elliott)
    delay: float = 0.0
    jitter: float = 0.0  # maximum of a uniform random addition to the delay; datagrams may overtake each other
    duplicate: float = 0.0
    corrupt: float = 0.0  # bits of one octet of the datagram are flipped
    mtu: int = 65_535  # in octets; longer datagrams are lost


class Direction:
    """One direction of a client's link, with its own random generator."""

    def __init__(self, impairment: Impairment, seed: str) -> None:
        self.impairment = impairment
        self.rng = random.Random(seed)
        self.in_loss_burst = False

    def arrivals(self, datagram: bytes, counts: Counter[str]) -> list[tuple[float, bytes]]:
        """Return the delivered copies of a datagram, each with its delay in seconds, and count the faults applied."""
        impairment, rng = self.impairment, self.rng
        # The number of draws is fixed, so the draws for one datagram do not depend on the faults of earlier ones.
        loss, duplicate, corrupt, jitter, position = (rng.random() for _ in range(5))
        if self.in_loss_burst:
            self.in_loss_burst = loss >= 1 / impairment.burst
        elif impairment.loss:
            self.in_loss_burst = loss < impairment.loss / (impairment.burst * (1 - impairment.loss))
        if self.in_loss_burst or len(datagram) > impairment.mtu:
            counts["lost" if self.in_loss_burst else "too long"] += 1
            return []
        if corrupt < impairment.corrupt and datagram:
            counts["corrupted"] += 1
            index = int(position * len(datagram))
            datagram = datagram[:index] + bytes([datagram[index] ^ FLIPPED_BITS]) + datagram[index + 1 :]
        copies = [(impairment.delay + impairment.jitter * jitter, datagram)]
        if duplicate < impairment.duplicate:
            counts["duplicated"] += 1
            copies.append((impairment.delay + impairment.jitter * position, datagram))
        counts["passed"] += 1
        return copies


class Link(asyncio.DatagramProtocol):
    """The link: clients send to `address`; the relay sees a separate source port for each client."""

    def __init__(
        self, front: Address, to_front: Impairment, to_device: Impairment | None = None, seed: int = 1
    ) -> None:
        self.front = front
        self.to_front, self.to_device = to_front, to_device or to_front
        self.seed = seed
        self.device_ports: dict[Address, DevicePort] = {}
        self.counts: Counter[str] = Counter()

    async def open(self) -> None:
        """Start listening on a loopback port of the system's choice."""
        loop = asyncio.get_running_loop()
        self.wire, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        self.address: Address = self.wire.get_extra_info("sockname")
        self.pending_datagrams: dict[Address, list[bytes]] = {}

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a datagram from a client to its port, and open that port at the client's first datagram."""
        if addr in self.device_ports:
            self.device_ports[addr].send(data)
            return
        queue = self.pending_datagrams.setdefault(addr, [])
        queue.append(data)
        if len(queue) == 1:
            self._open_task = asyncio.ensure_future(self._open_port(addr))

    async def _open_port(self, addr: Address) -> None:
        port = DevicePort(self, addr, len(self.device_ports))
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: port, remote_addr=self.front)
        self.device_ports[addr] = port
        for data in self.pending_datagrams.pop(addr):
            port.send(data)

    def close(self) -> None:
        """Close all sockets."""
        self.wire.close()
        for port in self.device_ports.values():
            port.wire.close()


class DevicePort(asyncio.DatagramProtocol):
    """The port of one client towards the relay's QUIC listener."""

    wire: Any

    def __init__(self, link: Link, device: Address, number: int) -> None:
        self.link = link
        self.device = device
        self.to_front = Direction(link.to_front, f"{link.seed} there {number}")
        self.to_device = Direction(link.to_device, f"{link.seed} back {number}")

    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self.wire = transport

    def _send_after(self, delay_s: float, send: Any, *arguments: Any) -> None:
        if send.__self__.is_closing():
            return
        if delay_s:
            asyncio.get_running_loop().call_later(delay_s, self._send_after, 0.0, send, *arguments)
        else:
            send(*arguments)

    def send(self, data: bytes) -> None:
        """Pass a datagram from the client to the relay."""
        for delay_s, copy in self.to_front.arrivals(data, self.link.counts):
            self._send_after(delay_s, self.wire.sendto, copy)

    def datagram_received(self, data: bytes, addr: Any) -> None:  # noqa: ARG002 - asyncio's signature
        """Pass a datagram from the relay to the client."""
        for delay_s, copy in self.to_device.arrivals(data, self.link.counts):
            self._send_after(delay_s, self.link.wire.sendto, copy, self.device)

    def error_received(self, exc: Exception) -> None:  # noqa: ARG002 - asyncio's signature
        """Count an ICMP error, when nothing listens at the relay's address. The client receives no answer."""
        self.link.counts["refused"] += 1
