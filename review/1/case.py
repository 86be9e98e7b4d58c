"""A backend of the QUIC front that dies with a request of an unsafe class in hand."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
import time
from pathlib import Path
from typing import Any

sys.path[:0] = [str(Path(__file__).resolve().parents[n]) for n in (1, 2)]
from standins import Backend, Case, CaseError, Discovery, free_port, main, settings

from gradefront.quic.headers import V1, Kind, split
from gradefront.quic.ids import IdForm
from gradefront.quic.initials import open_initial, seal_initial

FORM = IdForm(0, 2, 9)
RESET_KEY = bytes(range(16))
HELLO = b"\x06\x00\x40\x40" + b"\x01\x00\x00\x3c" + bytes(60)  # a CRYPTO frame; the stand-ins read no TLS
SERVER_HELLO = b"\x06\x00\x08" + b"\x02\x00\x00\x04abcd"
INITIAL_LENGTH = 1_200
PROBE_S = 1.0  # a client that hears nothing repeats its first packet after 1 s (RFC 9002, 6.2.2)
DIES_AFTER_S = 0.05
DEADLINE_S = 4.0
REQUESTS = 3


class QuicBackend(asyncio.DatagramProtocol):
    """A backend that takes requests by QUIC. While `dies` is set, its process dies soon after it has taken one."""

    def __init__(self, name: str, number: int, case: Case, runs: list[tuple[str, str]]) -> None:
        self.name, self.case, self.runs = name, case, runs
        self.server_id = bytes([7, number])
        self.port = free_port(socket.SOCK_DGRAM)
        self.dies = False
        self.known: set[bytes] = set()

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        self.wire, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", self.port))

    def datagram_received(self, data: bytes, addr: Any) -> None:
        packets = split(data, FORM.length)
        if not packets or packets[0].kind is not Kind.INITIAL:
            return
        packet = packets[0]
        if packet.to_id not in self.known:
            if open_initial(packet, packet.to_id, from_client=True) is None:
                return
            self.known.add(packet.to_id)
            self.runs.append((packet.to_id.hex(), self.name))
            self.case.record(f"{self.name} got and runs request {packet.to_id.hex()}")
            if self.dies:
                asyncio.get_running_loop().call_later(DIES_AFTER_S, self.die)
        if not self.dies:
            self.wire.sendto(
                seal_initial(packet.version, packet.to_id, packet.from_id, FORM.make(self.server_id), SERVER_HELLO), addr
            )

    def die(self) -> None:
        self.wire.close()
        self.case.record(f"{self.name} died; it had answered nothing")


class QuicClient(asyncio.DatagramProtocol):
    """A client that asks once and repeats its first packet while it hears nothing."""

    def __init__(self, case: Case, front: tuple[str, int]) -> None:
        self.case, self.front = case, front
        self.first_id, self.client_id = os.urandom(8), os.urandom(8)
        self.answer: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        overhead = len(seal_initial(V1, b"", self.first_id, self.client_id, b"\0" * 4, True)) - 4
        self.initial = seal_initial(
            V1, self.first_id, self.first_id, self.client_id, HELLO.ljust(INITIAL_LENGTH - overhead, b"\0"), True
        )

    def datagram_received(self, data: bytes, addr: Any) -> None:
        packets = split(data, len(self.client_id))
        opened = open_initial(packets[0], self.first_id, from_client=False) if packets else None
        if opened and not self.answer.done():
            self.answer.set_result("served" if opened.close_code is None else f"closed with code {opened.close_code}")

    async def ask(self) -> str:
        loop = asyncio.get_running_loop()
        wire, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        began, pause = time.monotonic(), PROBE_S
        while not self.answer.done() and time.monotonic() - began < DEADLINE_S:
            wire.sendto(self.initial, self.front)
            self.case.record(f"client sent the first packet of request {self.first_id.hex()}")
            await asyncio.wait({self.answer}, timeout=min(pause, began + DEADLINE_S - time.monotonic()))
            pause *= 2
        wire.close()
        answer = self.answer.result() if self.answer.done() else "no answer"
        self.case.record(f"request {self.first_id.hex()}: {answer}")
        return answer


async def play(case: Case) -> None:
    record = case.record
    discovery = Discovery(record)
    await discovery.open()
    runs: list[tuple[str, str]] = []
    backends = [QuicBackend(f"s-{n}", n, case, runs) for n in range(3)]
    for backend in backends:
        await backend.open()
        lines = Backend(backend.name, record)
        await lines.open()
        discovery.put(backend.name, lines.port)
    front = ("127.0.0.1", free_port(socket.SOCK_DGRAM))
    quic_file = case.folder / "quic.json"
    quic_file.write_text(json.dumps({
        "on": True, "listen": {"feed": f"{front[0]}:{front[1]}"},
        "config_id": FORM.number, "server_id_length": FORM.server_id_length, "nonce_length": FORM.nonce_length,
        "boxes": {b.name: {"server_id": b.server_id.hex(), "reset_key": RESET_KEY.hex(), "address": f"127.0.0.1:{b.port}"}
                  for b in backends},
    }))
    told = settings()
    for grade in told["grades"]:
        grade["semantics"] = "unsafe"
    address = ("127.0.0.1", free_port())
    relay = case.relay(
        "relay",
        {"name": "n1", "listen": f"127.0.0.1:{address[1]}", "discovery": discovery.address, "seed": "8c1f30d2",
         "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 512}, "known": discovery.whole(), "settings": told},
        GRADEFRONT_QUIC=str(quic_file),
    )
    await relay.start()
    await relay.ready(address)
    if await QuicClient(case, front).ask() != "served":
        raise CaseError("a request is not served while nothing is wrong")
    for _ in range(REQUESTS):
        for backend in backends:
            backend.dies = case.trouble
        client = QuicClient(case, front)
        asking = asyncio.create_task(client.ask())
        while not asking.done() and not any(first_id == client.first_id.hex() for first_id, _ in runs):
            await asyncio.sleep(0.005)
        for backend in backends:  # one backend dies, the others are sound
            backend.dies = backend.dies and (client.first_id.hex(), backend.name) in runs
        await asking
        await asyncio.sleep(0.5)
        at = [name for first_id, name in runs if first_id == client.first_id.hex()]
        if len(at) > 1:
            case.rule_broken(
                f"request {client.first_id.hex()} of an unsafe class was sent on to {', '.join(at)};"
                f" {at[0]} had taken it and died, which does not show that it never ran"
            )
        for backend in backends:
            if backend.wire.is_closing():
                backend.dies = False
                await backend.open()
                record(f"{backend.name} runs again")
        await asyncio.sleep(2.5)  # the ejection of a backend that has failed


main(__file__, play)
