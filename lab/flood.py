"""A flood of QUIC Initials from made-up loopback addresses, at a fixed rate whatever comes back.

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
PAYLOAD_BYTES = 1_162


class Forge:
    """Makes valid Initials of clients, each with an id of its own, at the cost of one encryption."""

    def __init__(self) -> None:
        client = QuicConnection(configuration=QuicConfiguration(is_client=True, server_name="box.careshift.example"))
        client.connect(("127.0.0.1", 1), 0.0)
        packet = split(client.datagrams_to_send(0.0)[0][0])[0]
        opened = open_initial(packet, packet.to_id, from_client=True)
        assert opened
        self.client_id = packet.from_id
        frames = b"".join(b"\x06" + varint(at) + varint(len(text)) + text for at, text in opened.crypto)
        self.payload = frames.ljust(PAYLOAD_BYTES, b"\x00")

    def make(self, first_id: bytes = b"", token: bytes = b"") -> bytes:
        """One datagram, with a random id unless one is given."""
        first_id = first_id or os.urandom(8)
        return seal_initial(V1, first_id, first_id, self.client_id, self.payload, from_client=True, token=token)


def sources(count: int, rng: random.Random) -> list[socket.socket]:
    """Sockets at random loopback addresses, each of a network of its own."""
    made = []
    for _ in range(count):
        one = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        one.bind((f"127.{rng.randrange(1, 255)}.{rng.randrange(256)}.{rng.randrange(1, 255)}", 0))
        one.setblocking(False)
        made.append(one)
    return made


def flood(front: tuple[str, int], rate: float, seconds: float, count: int, seed: int = 1) -> dict[str, float]:
    """Sends `rate` datagrams a second from `count` sockets. Returns counts of sent and not taken, and the rate."""
    rng = random.Random(seed)
    forge, sockets = Forge(), sources(count, rng)
    began_s = time.monotonic()
    sent = lost = 0
    while (elapsed_s := time.monotonic() - began_s) < seconds:
        while sent < elapsed_s * rate:
            try:
                sockets[rng.randrange(count)].sendto(forge.make(), front)
            except OSError:
                lost += 1
            sent += 1
        time.sleep(STEP_S)
    for one in sockets:
        one.close()
    return {"sent": sent, "not_taken": lost, "rate": round(sent / (time.monotonic() - began_s), 1)}


if __name__ == "__main__":
    host, port, per_second, for_s, *more = sys.argv[1:]
    print(json.dumps(flood((host, int(port)), float(per_second), float(for_s), int(more[0]) if more else 400)))
