"""Idle clients that fill the descriptors, and a process that replaces another."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import Backend, Case, CaseError, Client, Discovery, Relay, free_port, main, settings

CONNECTIONS = 40  # that stand: with their backends' side 80 descriptors, under a third
DESCRIPTORS = 256 + 2 * CONNECTIONS  # that a process may hold: 256 beyond those for the standing connections
IDLE = 500  # clients that connect and say nothing
AGAIN_S = 0.1  # one that was turned away comes again
KILL_S = 3.7  # from SIGTERM to SIGKILL: the longest deadline, 3 s at most, and 0.7 s


async def idle(address: tuple[str, int]) -> None:
    """Connect, say nothing, read what is sent, and come again after the end."""
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*address)
            try:
                while await reader.read(4096):
                    pass
            finally:
                writer.close()
        await asyncio.sleep(AGAIN_S)


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

        async def start(name: str) -> Relay:
            admin = ("127.0.0.1", free_port())
            relay = case.relay(
                name,
                {"name": "n1", "listen": f"127.0.0.1:{address[1]}", "discovery": discovery.address, "seed": "8c1f30d2",
                 "limits": {"cores": 1.0, "memory_mb": 256, "sockets": DESCRIPTORS}, "known": discovery.whole(),
                 "admin": f"127.0.0.1:{admin[1]}", "settings": settings()},
                TMPDIR=str(shared), LB_SOCKET_FD="4",
            )
            relay.admin = admin
            await relay.start(listener, descriptors=DESCRIPTORS)
            await relay.ready(admin, 6.0)
            return relay

        first = await start("first")
        clients: list[Client] = []
        while len(clients) < CONNECTIONS:
            batch = [await Client(record).open(address) for _ in range(min(5, CONNECTIONS - len(clients)))]
            await asyncio.gather(*(client.asked() for client in batch))
            clients += [client for client in batch if client.is_up]
            await asyncio.sleep(0.1)
        record(f"{len(clients)} connections stand")
        crowd = [asyncio.create_task(idle(address)) for _ in range(IDLE if case.trouble else 0)]
        await asyncio.sleep(3.0)
        if lost := [client.id for client in clients if client.ended_at]:
            raise CaseError(f"connections ended before the replacement: {lost}")
        second = await start("second")
        first.signal(signal.SIGTERM)
        signalled = time.monotonic()
        if await first.wait(KILL_S) is None:
            first.signal(signal.SIGKILL)
        await asyncio.sleep(1.0)
        for client in clients:
            if client.ended_at and not client.moved_at:
                case.rule_broken(
                    f"connection {client.id} was cut off without MOVE {client.ended_at - signalled:.2f} s after SIGTERM;"
                    " its backend had not ended it"
                )
        record(
            f"of {len(clients)} connections {sum(not c.ended_at for c in clients)} stand,"
            f" {sum(bool(c.moved_at) for c in clients)} were moved; the second process runs: {second.process.returncode is None}"
        )
        for task in crowd:
            task.cancel()


main(__file__, play)
