"""A client that has been quiet for over a minute, and a process that replaces another."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import Backend, Case, CaseError, Client, Discovery, free_port, main, settings

QUIET_S = 65.0  # the quiet clients send nothing for so long before the process is replaced
QUIET, TALKING = 4, 6
KILL_S = 3.7  # from SIGTERM to SIGKILL: the longest deadline, 3 s at most, and 0.7 s
WATCHED_S = 5.0  # after SIGTERM


async def play(case: Case) -> None:
    record = case.record
    discovery = Discovery(record)
    await discovery.open()
    backends = [Backend(f"s-{n}", record) for n in range(3)]
    for backend in backends:
        await backend.open()
        discovery.put(backend.name, backend.port)
    with socket.socket() as listener:  # the platform holds the clients' listener
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", 0))
        listener.listen(512)
        address = listener.getsockname()
        shared = case.folder / "tmp"
        shared.mkdir()

        def relay(name: str):
            admin = ("127.0.0.1", free_port())
            made = case.relay(
                name,
                {"name": "n1", "listen": f"127.0.0.1:{address[1]}", "discovery": discovery.address, "seed": "8c1f30d2",
                 "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 512}, "known": discovery.whole(),
                 "admin": f"127.0.0.1:{admin[1]}", "settings": settings()},
                TMPDIR=str(shared), LB_SOCKET_FD="4",
            )
            made.admin = admin
            return made

        first = await relay("first").start(listener)
        await first.ready(first.admin)
        clients: list[Client] = []
        while len(clients) < QUIET + TALKING:
            client = await Client(record, talks=len(clients) >= QUIET or not case.trouble).open(address)
            if (await client.asked()).startswith("UP "):
                clients.append(client)
        record(f"{len(clients)} connections stand; {QUIET if case.trouble else 0} of their clients are quiet from now on")
        await asyncio.sleep(QUIET_S)
        if lost := [c.id for c in clients if c.ended_at]:
            raise CaseError(f"connections ended before the replacement: {lost}")
        second = await relay("second").start(listener)
        await second.ready(second.admin, 6.0)
        first.signal(signal.SIGTERM)
        signalled = time.monotonic()
        if await first.wait(KILL_S) is None:
            first.signal(signal.SIGKILL)
        await asyncio.sleep(max(0.0, signalled + WATCHED_S - time.monotonic()))
        for client in clients:
            if client.ended_at and not client.moved_at:
                case.rule_broken(
                    f"connection {client.id} ({'talking' if client.talks else 'quiet'}) was cut off without MOVE"
                    f" {client.ended_at - signalled:.2f} s after SIGTERM; its backend had not ended it"
                )
        record(f"{sum(not c.ended_at for c in clients)} of {len(clients)} connections still stand")


main(__file__, play)
