"""The QUIC front over loopback: the real program between stand-in devices and backends."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from aioquic.quic.packet import QuicErrorCode

from lab.quic import FORM, Device, QuicBackend, file_of
from lab.stand_ins import BUSY_S, Discovery, Program, program, settings, soon

HOPS = 60
DEVICES = 6


class QuicService:
    """Stand-in backends, the program, and the devices that connect to it."""

    def __init__(self, backends: list[QuicBackend], discovery: Discovery, relay: Program) -> None:
        self.backends = backends
        self.discovery = discovery
        self.relay = relay
        self.front = ("127.0.0.1", relay.ports[1])
        self.devices: list[Device] = []

    async def device(self, first_id: bytes | None = None) -> Device:
        """Start a device, which sends its first Initial."""
        device = Device(self.front, first_id)
        self.devices.append(device)
        await device.start()
        return device

    def backend_of(self, answer: bytes) -> QuicBackend:
        return next(b for b in self.backends if answer.startswith(b.name.encode()))


@asynccontextmanager
async def start_service(
    folder: Path, behaviours: list[str], relay_settings: dict[str, Any] | None = None, **quic: object
) -> AsyncIterator[QuicService]:
    backends = [QuicBackend(f"box-{n}", bytes([7, n]), mood) for n, mood in enumerate(behaviours)]
    discovery = Discovery()
    for backend in backends:
        await backend.open()
        discovery.add(backend.name, backend.port)
    file = file_of(backends, **quic)
    async with program(folder, discovery, relay_settings or settings(), file) as relay:
        await soon(discovery.asked.wait())
        quic_service = QuicService(backends, discovery, relay)
        yield quic_service
        for device in quic_service.devices:
            device.close()
        for backend in backends:
            backend.wire.close()


def test_hundreds_of_port_changes_and_every_request_gets_one_answer(tmp_path: Path) -> None:
    async def play() -> None:
        async with start_service(tmp_path, ["serve"] * 3) as quic_service:

            async def client(n: int) -> None:
                device = await quic_service.device()
                home = quic_service.backend_of(await device.ask(f"{n}: first"))
                for hop in range(HOPS):
                    await device.hop(fresh=hop % 2 == 1)
                    answer = await device.ask(f"{n}: {hop}")
                    assert answer == f"{home.name} has {n}: {hop}".encode(), "another backend answered"
                assert all(len(a) == 1 for a in device.answers.values())
                assert len(device.answers) == HOPS + 1

            await asyncio.gather(*(client(n) for n in range(DEVICES)))
            asked = sum((b.asked for b in quic_service.backends), start=quic_service.backends[0].asked.__class__())
            assert len(asked) == DEVICES * (HOPS + 1) and set(asked.values()) == {1}
            served = [c for b in quic_service.backends for c in b.connections]
            assert len(served) == DEVICES, "one connection for each device, whatever its addresses"
            assert all(len(c.addresses) >= HOPS for c in served), "a backend missed an address change"
            counters = await quic_service.relay.counters()
            assert counters["visits"] == counters["stood"] == counters["visits_now"] == DEVICES
            assert counters["quic_paths"] >= DEVICES * HOPS
            assert await quic_service.relay.stop() == 0

    asyncio.run(play())


def test_drained_backend_gets_nothing_new_and_keeps_its_connections(tmp_path: Path) -> None:
    async def play() -> None:
        async with start_service(tmp_path, ["serve"] * 2) as quic_service:
            old = [await quic_service.device() for _ in range(16)]
            homes = [quic_service.backend_of(await d.ask("hello")) for d in old]
            drained = homes[0]
            before = len(drained.connections)
            published_s = quic_service.discovery.publish(drained.name, "DRAINING")
            new = continued = 0
            while time.monotonic() < published_s + 1.2:
                # Some of these ids happen to encode the drained backend; the Initials are requests nevertheless.
                device = await quic_service.device(FORM.make(drained.server_id) if new % 2 else None)
                await device.ask(f"new {new}")
                new += 1
                old_device = old[new % len(old)]
                if not old_device.reset.done():  # established connections are migrated over some seconds
                    await old_device.hop(fresh=new % 3 == 0)
                    asked = asyncio.ensure_future(old_device.ask(f"old {new}"))
                    await asyncio.wait({asked, old_device.reset}, return_when=asyncio.FIRST_COMPLETED)
                    if asked.done():
                        assert quic_service.backend_of(asked.result()) is homes[new % len(old)]
                        continued += homes[new % len(old)] is drained and time.monotonic() > published_s + 0.5
                    asked.cancel()
            assert new > 10 and before >= 1 and continued >= 1
            assert not [t for t in drained.opened_at if t > published_s + 0.5], (
                "the drained backend got a connection after 500 ms"
            )
            assert not [t for t in drained.initials if t > published_s + 0.5], (
                "the drained backend got an Initial after 500 ms"
            )
            assert sum(len(b.connections) for b in quic_service.backends) == len(old) + new

    asyncio.run(play())


def test_full_backends_are_tried_once_each_and_the_client_is_closed_at_once(tmp_path: Path) -> None:
    async def play() -> None:
        async with start_service(tmp_path, ["refuse"] * 6) as quic_service:
            started_s = time.monotonic()
            device = await quic_service.device()
            over = await soon(device.over)
            assert over.error_code == QuicErrorCode.CONNECTION_REFUSED
            assert over.reason_phrase.startswith("BUSY")
            assert device.first_received_s - started_s < 1.5 + BUSY_S, "answered after the client's deadline"
            sent = [len(b.tried) for b in quic_service.backends]
            assert 1 <= sum(sent) <= 4, "at most four attempts, each at another backend"
            counters = await quic_service.relay.counters()
            assert counters["refused"] == 1 and counters["ended: full while sent"] == sum(sent)
            assert counters["visits_now"] == 0

    asyncio.run(play())


def test_silent_backend_is_left_for_another_and_its_late_answer_reaches_nobody(tmp_path: Path) -> None:
    async def play() -> None:
        async with start_service(
            tmp_path, ["silent", "serve"], settings(objective_ms=150, deadline_ms=4000)
        ) as quic_service:
            silent, good = quic_service.backends
            while not silent.initials:  # the choice is random: connect until the silent backend was chosen
                device = await quic_service.device()
                assert quic_service.backend_of(await device.ask("hello")) is good
            received = device.received
            silent.wake()
            counters = await quic_service.relay.counters()  # a round trip after the late answers were sent
            assert counters["ended: silent while sent"] >= 1
            assert await device.ask("again") == b"box-1 has again"
            assert silent.connections and not silent.asked and device.received > received
            assert counters["stood"] == counters["visits"] == counters["visits_now"]

    asyncio.run(play())


def test_invalid_answers_establish_nothing_and_the_deadline_is_kept(tmp_path: Path) -> None:
    async def play() -> None:
        async with start_service(
            tmp_path, ["fail", "silent"], settings(objective_ms=200, deadline_ms=1000)
        ) as quic_service:
            started_s = time.monotonic()
            device = await quic_service.device()
            over = await soon(device.over)
            assert over.error_code == QuicErrorCode.CONNECTION_REFUSED
            assert device.first_received_s - started_s < 1.0 + BUSY_S, "answered after the client's deadline"
            counters = await quic_service.relay.counters()
            assert counters["refused"] + counters.get("failed", 0) == 1 and counters["visits_now"] == 0
            assert counters["attempts"] <= 4

    asyncio.run(play())


def test_a_backend_where_nothing_listens_is_left_for_another(tmp_path: Path) -> None:
    async def play() -> None:
        async with start_service(tmp_path, ["serve", "serve"]) as quic_service:
            quic_service.backends[0].wire.close()
            for n in range(6):
                device = await quic_service.device()
                assert await device.ask(f"{n}") == f"box-1 has {n}".encode()
            counters = await quic_service.relay.counters()
            assert counters["stood"] == 6 and counters["visits_now"] == 6
            assert counters["ended: unreachable while sent"] == counters["attempts"] - 6

    asyncio.run(play())


def test_malformed_datagrams_affect_no_connection(tmp_path: Path) -> None:
    async def play() -> None:
        async with start_service(tmp_path, ["serve"]) as quic_service:
            device = await quic_service.device()
            await device.ask("hello")
            for junk in (
                b"",
                b"\x00",
                b"\xc0",
                b"\x40" + b"x" * 5,
                b"\xc0\x00\x00\x00\x01" + b"\xff" * 1200,
                b"GET / HTTP/1.1\r\n\r\n",
                b"\xc0\x00\x00\x00\x01\xff" + b"y" * 1200,
                b"\xc0\xab\xcd\xef\x01\x08" + b"z" * 1300,
                b"\xc0\x00\x00\x00\x01\x08abcdefgh\x00\x00\x44\xb0" + b"q" * 1200,
                b"\x40" + FORM.make(b"\x09\x09") + b"unknown",
                b"\x40" + bytes([0xE0]) + b"u" * 30,
            ):
                device.wire.sendto(junk, quic_service.front)
            assert await device.ask("still here") == b"box-0 has still here"
            another = await quic_service.device()
            assert await another.ask("me too") == b"box-0 has me too"
            counters = await quic_service.relay.counters()
            assert counters["quic_dropped_malformed"] >= 6 and counters["quic_dropped_unknown_id"] >= 2
            assert counters["quic_dropped_version"] >= 1
            assert counters["visits"] == 2 and "exceptions" not in counters

    asyncio.run(play())


def test_migration_sends_a_stateless_reset_that_the_client_accepts(tmp_path: Path) -> None:
    async def play() -> None:
        async with start_service(tmp_path, ["serve"] * 2) as quic_service:
            device = await quic_service.device()
            await device.ask("hello")
            await device.hop(fresh=True)
            await device.ask("hello again")
            await asyncio.gather(soon(device.reset), quic_service.relay.stop())
            assert 21 <= len(device.reset.result()) <= 43

    asyncio.run(play())


def test_a_removed_backend_s_connections_are_reset_and_its_ids_dropped(tmp_path: Path) -> None:
    async def play() -> None:
        async with start_service(tmp_path, ["serve"] * 2) as quic_service:
            device = await quic_service.device()
            home = quic_service.backend_of(await device.ask("hello"))
            quic_service.discovery.publish(home.name, "DELETED")
            await soon(device.reset)
            device.wire.sendto(b"\x40" + FORM.make(home.server_id) + b"late" * 10, quic_service.front)
            fresh = await quic_service.device()
            assert quic_service.backend_of(await fresh.ask("hello")) is not home
            counters = await quic_service.relay.counters()
            assert counters["quic_dropped_gone_box"] >= 1 and counters["visits_now"] == 1

    asyncio.run(play())


def test_connections_expire_idle_and_paths_are_bounded(tmp_path: Path) -> None:
    async def play() -> None:
        # No path may expire during the test, however busy the machine: an expired path would not be evicted.
        async with start_service(tmp_path, ["serve"], path_idle_s=60, visit_idle_s=3, most_paths=5) as quic_service:
            device = await quic_service.device()
            for hop in range(20):
                await device.hop()
                await device.ask(f"{hop}")
            counters = await quic_service.relay.counters()
            assert counters["quic_paths_evicted"] >= 10 and counters["visits_now"] == 1
            device.close()
            await quic_service.relay.line("has expired idle")
            counters = await quic_service.relay.counters()
            assert counters["ended_by_client"] == 1 and counters["visits_now"] == 0

    asyncio.run(play())
