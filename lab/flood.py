"""A flood of QUIC Initials from random loopback addresses, at a fixed rate regardless of the answers.

`python -m lab.flood HOST PORT RATE SECONDS [SOURCES]` sends RATE datagrams a second from SOURCES sockets and prints
the counts and the achieved rate as a JSON object.
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

STEP_S = 0.002  # sleep between two bursts
PAYLOAD_BYTES = 1_162  # of an Initial, padding included


class Forge:
    """Generates valid client Initials, each with its own connection id, at the cost of one encryption each."""

    def __init__(self) -> None:
        client = QuicConnection(configuration=QuicConfiguration(is_client=True, server_name="box.careshift.example"))
        client.connect(("127.0.0.1", 1), 0.0)
        packet = split(client.datagrams_to_send(0.0)[0][0])[0]
        opened = open_initial(packet, packet.to_id, from_client=True)
        assert opened
        self.client_id = packet.from_id
        frames = b"".join(b"\x06" + varint(offset) + varint(len(text)) + text for offset, text in opened.crypto)
        self.payload = frames.ljust(PAYLOAD_BYTES, b"\x00")

    def make(self, first_id: bytes = b"", token: bytes = b"") -> bytes:
        """Return a datagram with an Initial; its destination connection id is random unless `first_id` is given."""
        first_id = first_id or os.urandom(8)
        return seal_initial(V1, first_id, first_id, self.client_id, self.payload, from_client=True, token=token)


def sources(count: int, rng: random.Random) -> list[socket.socket]:
    """Return UDP sockets bound to random loopback addresses, each in its own network."""
    sockets = []
    for _ in range(count):
        udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        udp_socket.bind((f"127.{rng.randrange(1, 255)}.{rng.randrange(256)}.{rng.randrange(1, 255)}", 0))
        udp_socket.setblocking(False)
        sockets.append(udp_socket)
    return sockets


def flood(front: tuple[str, int], rate: float, seconds: float, count: int, seed: int = 1) -> dict[str, float]:
    """Send `rate` datagrams a second from `count` sockets.

    Return the number of attempted sends, the number that the kernel rejected, and the achieved rate.
    """
    rng = random.Random(seed)
    forge, sockets = Forge(), sources(count, rng)
    began_s = time.monotonic()
    sent = rejected = 0
    while (elapsed_s := time.monotonic() - began_s) < seconds:
        while sent < elapsed_s * rate:
            try:
                sockets[rng.randrange(count)].sendto(forge.make(), front)
            except OSError:
                rejected += 1
            sent += 1
        time.sleep(STEP_S)
    for udp_socket in sockets:
        udp_socket.close()
    return {"sent": sent, "not_taken": rejected, "rate": round(sent / (time.monotonic() - began_s), 1)}


if __name__ == "__main__":
    host, port, rate_arg, seconds_arg, *optional = sys.argv[1:]
    print(
        json.dumps(
            flood((host, int(port)), float(rate_arg), float(seconds_arg), int(optional[0]) if optional else 400)
        )
    )
