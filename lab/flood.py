"""Initials under made-up addresses: what a flood sends. Open loop, from loopback addresses nobody else uses.

`python -m lab.flood HOST PORT RATE SECONDS [SOURCES]` prints how many were sent, as one JSON object.
"""

from __future__ import annotations

import json
import os
import random
import socket
import sys
import time

from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection

from gradefront.quic.headers import V1, split, varint
from gradefront.quic.initials import open_initial, seal_initial

STEP_S = 0.002


class Forge:
    """Makes sound Initials of real clients, each with an id of its own, for the price of one encryption."""

    def __init__(self) -> None:
        client = QuicConnection(configuration=QuicConfiguration(is_client=True, server_name="box.careshift.example"))
        client.connect(("127.0.0.1", 1), 0.0)
        packet = split(client.datagrams_to_send(0.0)[0][0])[0]
        opened = open_initial(packet, packet.to_id, from_client=True)
        assert opened
        self.client_id = packet.from_id
        frames = b"".join(b"\x06" + varint(at) + varint(len(text)) + text for at, text in opened.crypto)
        self.payload = frames.ljust(1_162, b"\x00")

    def make(self, first_id: bytes = b"", token: bytes = b"") -> bytes:
        """One datagram."""
        first_id = first_id or os.urandom(8)
        return seal_initial(V1, first_id, first_id, self.client_id, self.payload, from_client=True, token=token)


def sources(count: int, rng: random.Random) -> list[socket.socket]:
    """Sockets at loopback addresses, each of a network of its own."""
    made = []
    for _ in range(count):
        one = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        one.bind((f"127.{rng.randrange(1, 255)}.{rng.randrange(256)}.{rng.randrange(1, 255)}", 0))
        one.setblocking(False)
        made.append(one)
    return made


def flood(front: tuple[str, int], rate: float, seconds: float, count: int, seed: int = 1) -> dict[str, float]:
    """Send on time, whatever comes back. Sockets are many more than a second's datagrams from each."""
    rng = random.Random(seed)
    forge, ways = Forge(), sources(count, rng)
    began = time.monotonic()
    sent = lost = 0
    while (passed := time.monotonic() - began) < seconds:
        while sent < passed * rate:
            try:
                ways[rng.randrange(count)].sendto(forge.make(), front)
            except OSError:
                lost += 1
            sent += 1
        time.sleep(STEP_S)  # a pace, not a wait for something
    for one in ways:
        one.close()
    return {"sent": sent, "not_taken": lost, "rate": round(sent / (time.monotonic() - began), 1)}


if __name__ == "__main__":
    host, port, per_second, for_s, *more = sys.argv[1:]
    print(json.dumps(flood((host, int(port)), float(per_second), float(for_s), int(more[0]) if more else 400)))
