"""Stand-ins for the QUIC front: a push box and a client that speak just the Initial packets of QUIC version 1.

Packets are sealed and opened with the project's codec (`gradefront.quic.initials`, `headers`), which any observer on
the path can do (RFC 9001, 5.2). A box keeps a connection by the id of the client's first packet, as RFC 9000 says: a
repeated Initial belongs to the connection that it has, and is answered with the same ServerHello.
"""

from __future__ import annotations

import asyncio
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from gradefront.quic.headers import V1, Kind, split, varint  # noqa: E402
from gradefront.quic.ids import IdForm  # noqa: E402
from gradefront.quic.initials import open_initial, seal_initial  # noqa: E402

FORM = IdForm(0, 2, 9)
RESET_KEY = bytes(range(16))
#: RFC 9002, 6.2.2: a client that knows the path uses its last round trip; here 0.1 s, so the first time-out is 0.3 s.
FIRST_TIMEOUT_S = 0.3


def crypto(data: bytes) -> bytes:
    return b"\x06\x00" + varint(len(data)) + data


class Box(asyncio.DatagramProtocol):
    """A push box: runs each request once, when it has the whole ClientHello, and answers it."""

    def __init__(self, record, number: int) -> None:
        self.record = record
        self.id = f"s-{number:08x}"
        self.server_id = number.to_bytes(2, "big")
        self.host, self.port = f"127.0.30.{10 + number}", 0
        self.connections: dict[bytes, tuple[bytes, bytes]] = {}  # by first id: own id, answer
        self.ran: list[tuple[float, bytes]] = []

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.wire, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self.host, 0))
        self.port = self.wire.get_extra_info("sockname")[1]

    def entry(self) -> dict:
        return {
            "server_id": self.server_id.hex(),
            "reset_key": RESET_KEY.hex(),
            "address": f"{self.host}:{self.port}",
        }

    def datagram_received(self, data: bytes, address) -> None:
        if data and data[0] < 0x80:  # a later packet of a connection: answered at once
            self.wire.sendto(data, address)
            return
        packets = split(data)
        if not packets:
            return
        first = packets[0]
        known = self.connections.get(first.to_id)
        if known is None and first.kind is Kind.INITIAL:
            opened = open_initial(first, first.to_id, from_client=True)
            if opened is None or not opened.crypto:
                return
            own_id = FORM.make(self.server_id)
            answer = seal_initial(V1, first.to_id, first.from_id, own_id, crypto(os.urandom(90)))
            known = self.connections[first.to_id] = (own_id, answer)
            self.ran.append((self.record(self.id, "runs the request", first.to_id.hex()), first.to_id))
        elif known:
            self.record(self.id, "gets a repetition of", first.to_id.hex())
        if known:
            self.wire.sendto(known[1], address)


class Device(asyncio.DatagramProtocol):
    """A client: repeats its Initial after 0.3, 0.9, 2.1 and 4.5 s (doubling time-outs) until it has an answer.

    Once its first Initial is out, its link stalls for `stall_s` seconds: it passes nothing, in either direction.
    """

    def __init__(self, record, front: tuple[str, int], stall_s: float, give_up_s: float) -> None:
        self.record, self.front, self.stall_s, self.give_up_s = record, front, stall_s, give_up_s
        self.is_begun = False
        self.first_id, self.own_id = os.urandom(10), os.urandom(8)
        self.hello = os.urandom(300)
        self.answer: asyncio.Future = asyncio.get_running_loop().create_future()
        self.result = "none"
        self.began = 0.0
        self.echoes = 0

    @property
    def is_stalled(self) -> bool:
        return self.is_begun and self.record.now() - self.began < self.stall_s

    def initial(self, number: int) -> bytes:
        payload = crypto(self.hello).ljust(1180, b"\0")
        return seal_initial(V1, self.first_id, self.first_id, self.own_id, payload, from_client=True, number=number)

    def datagram_received(self, data: bytes, address) -> None:
        if self.is_stalled:
            self.record("link: an answer to", self.first_id.hex(), "is lost")
            return
        if data and data[0] < 0x80:
            self.echoes += 1
            return
        packets = split(data)
        opened = open_initial(packets[0], self.first_id, from_client=False) if packets else None
        if opened is None or self.answer.done():
            return
        self.answer.set_result((packets[0].from_id, opened))

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        wire, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        self.began = self.record.now()
        timeout, number = FIRST_TIMEOUT_S, 0
        try:
            while not self.answer.done() and self.record.now() - self.began < self.give_up_s:
                if self.is_stalled:
                    self.record("link: Initial", number, "of", self.first_id.hex(), "is lost")
                else:
                    self.record("client", self.first_id.hex(), "sends Initial", number)
                    wire.sendto(self.initial(number), self.front)
                    self.is_begun = True
                left = self.began + self.give_up_s - self.record.now()
                await asyncio.wait([self.answer], timeout=max(0.0, min(timeout, left)))
                timeout, number = 2 * timeout, number + 1
            if not self.answer.done():
                return
            box_id, opened = self.answer.result()
            self.result = "UP" if opened.close_code is None else f"closed {opened.close_code}"
            self.record("client", self.first_id.hex(), "gets", self.result)
            for _ in range(3 if self.result == "UP" else 0):  # goes on under the box's id
                wire.sendto(bytes([0x40]) + box_id + os.urandom(20 + random.randrange(20)), self.front)
                await asyncio.sleep(0.5)
        finally:
            wire.close()
