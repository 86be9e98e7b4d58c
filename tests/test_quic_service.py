"""The QUIC front's proof over loopback: the real program between stand-in devices and backends."""

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
    """Backends, the program, and devices that come to it."""

    def __init__(self, backends: list[QuicBackend], discovery: Discovery, relay: Program) -> None:
        self.backends = backends
        self.discovery = discovery
        self.relay = relay
        self.front = ("127.0.0.1", relay.ports[1])
        self.devices: list[Device] = []

    async def device(self, first_id: bytes | None = None) -> Device:
        """A device that has sent its first Initial."""
        device = Device(self.front, first_id)
        self.devices.append(device)
        await device.start()
        return device

    def backend_of(self, answer: bytes) -> QuicBackend:
        return next(b for b in self.backends if answer.startswith(b.name.encode()))


@asynccontextmanager
async def service(
    folder: Path, moods: list[str], given: dict[str, Any] | None = None, **quic: object
) -> AsyncIterator[QuicService]:
    backends = [QuicBackend(f"box-{n}", bytes([7, n]), mood) for n, mood in enumerate(moods)]
    discovery = Discovery()
    for backend in backends:
        await backend.open()
        discovery.add(backend.name, backend.port)
    file = file_of(backends, **quic)
    async with program(folder, discovery, given or settings(), file) as relay:
        await soon(discovery.asked.wait())
        here = QuicService(backends, discovery, relay)
        yield here
        for device in here.devices:
            device.close()
        for backend in backends:
            backend.wire.close()


def test_hundreds_of_port_changes_and_every_request_gets_one_answer(tmp_path: Path) -> None:
    async def play() -> None:
        async with service(tmp_path, ["serve"] * 3) as here:

            async def client(n: int) -> None:
                device = await here.device()
                home = here.backend_of(await device.ask(f"{n}: first"))
                for hop in range(HOPS):
                    await device.hop(fresh=hop % 2 == 1)
                    answer = await device.ask(f"{n}: {hop}")
                    assert answer == f"{home.name} has {n}: {hop}".encode(), "another push box answered"
                assert all(len(a) == 1 for a in device.answers.values())
                assert len(device.answers) == HOPS + 1

            await asyncio.gather(*(client(n) for n in range(DEVICES)))
            asked = sum((b.asked for b in here.backends), start=here.backends[0].asked.__class__())
            assert len(asked) == DEVICES * (HOPS + 1) and set(asked.values()) == {1}
            served = [c for b in here.backends for c in b.connections]
            assert len(served) == DEVICES, "one connection each, whatever the addresses"
            assert all(len(c.addresses) >= HOPS for c in served), "the push box must see each address change"
            counts = await here.relay.counters()
            assert counts["visits"] == counts["stood"] == counts["visits_now"] == DEVICES
            assert counts["quic_paths"] >= DEVICES * HOPS
            assert await here.relay.stop() == 0

    asyncio.run(play())


def test_drained_backend_gets_nothing_new_and_its_old_connections_go_on(tmp_path: Path) -> None:
    async def play() -> None:
        async with service(tmp_path, ["serve"] * 2) as here:
            old = [await here.device() for _ in range(16)]
            homes = [here.backend_of(await d.ask("hello")) for d in old]
            drained = homes[0]
            before = len(drained.connections)
            published_s = here.discovery.publish(drained.name, "DRAINING")
            new = went_on = 0
            while time.monotonic() < published_s + 1.2:
                # Some of these ids happen to name the drained backend; they are requests all the same.
                device = await here.device(FORM.make(drained.server_id) if new % 2 else None)
                await device.ask(f"new {new}")
                new += 1
                one = old[new % len(old)]
                if not one.reset.done():  # the module tells what stands there to move, over some seconds
                    await one.hop(fresh=new % 3 == 0)
                    asked = asyncio.ensure_future(one.ask(f"old {new}"))
                    await asyncio.wait({asked, one.reset}, return_when=asyncio.FIRST_COMPLETED)
                    if asked.done():
                        assert here.backend_of(asked.result()) is homes[new % len(old)]
                        went_on += homes[new % len(old)] is drained and time.monotonic() > published_s + 0.5
                    asked.cancel()
            assert new > 10 and before >= 1 and went_on >= 1
            assert not [t for t in drained.opened_at if t > published_s + 0.5], "new after 500 ms"
            assert not [t for t in drained.initials if t > published_s + 0.5], "an Initial after 500 ms"
            assert sum(len(b.connections) for b in here.backends) == len(old) + new

    asyncio.run(play())


def test_full_backends_are_tried_once_each_and_the_client_is_closed_at_once(tmp_path: Path) -> None:
    async def play() -> None:
        async with service(tmp_path, ["refuse"] * 6) as here:
            began = time.monotonic()
            device = await here.device()
            over = await soon(device.over)
            assert over.error_code == QuicErrorCode.CONNECTION_REFUSED
            assert over.reason_phrase.startswith("BUSY")
            assert device.first_received_s - began < 1.5 + BUSY_S, "before the client gives up"
            sent = [len(b.tried) for b in here.backends]
            assert 1 <= sum(sent) <= 4, "at most four attempts, another push box each time"
            counts = await here.relay.counters()
            assert counts["refused"] == 1 and counts["ended: full while sent"] == sum(sent)
            assert counts["visits_now"] == 0

    asyncio.run(play())


def test_silent_backend_is_left_for_another_and_its_late_answer_reaches_nobody(tmp_path: Path) -> None:
    async def play() -> None:
        async with service(tmp_path, ["silent", "serve"], settings(objective_ms=150, deadline_ms=4000)) as here:
            silent, good = here.backends
            while not silent.initials:  # the first pick is random: come until it was the silent one
                device = await here.device()
                assert here.backend_of(await device.ask("hello")) is good
            received = device.received
            silent.wake()
            counts = await here.relay.counters()  # a round trip after the late answers were sent
            assert counts["ended: silent while sent"] >= 1
            assert await device.ask("again") == b"box-1 has again"
            assert silent.connections and not silent.asked and device.received > received
            assert counts["stood"] == counts["visits"] == counts["visits_now"]

    asyncio.run(play())


def test_unsound_answers_do_not_count_and_the_deadline_is_kept(tmp_path: Path) -> None:
    async def play() -> None:
        async with service(tmp_path, ["fail", "silent"], settings(objective_ms=200, deadline_ms=1000)) as here:
            began = time.monotonic()
            device = await here.device()
            over = await soon(device.over)
            assert over.error_code == QuicErrorCode.CONNECTION_REFUSED
            assert device.first_received_s - began < 1.0 + BUSY_S, "before the client gives up"
            counts = await here.relay.counters()
            assert counts["refused"] + counts.get("failed", 0) == 1 and counts["visits_now"] == 0
            assert counts["attempts"] <= 4

    asyncio.run(play())


def test_a_backend_where_nothing_listens_is_left_for_another(tmp_path: Path) -> None:
    async def play() -> None:
        async with service(tmp_path, ["serve", "serve"]) as here:
            here.backends[0].wire.close()
            for n in range(6):
                device = await here.device()
                assert await device.ask(f"{n}") == f"box-1 has {n}".encode()
            counts = await here.relay.counters()
            assert counts["stood"] == 6 and counts["visits_now"] == 6
            assert counts["ended: unreachable while sent"] == counts["attempts"] - 6

    asyncio.run(play())


def test_malformed_datagrams_end_nothing(tmp_path: Path) -> None:
    async def play() -> None:
        async with service(tmp_path, ["serve"]) as here:
            device = await here.device()
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
                device.wire.sendto(junk, here.front)
            assert await device.ask("still here") == b"box-0 has still here"
            another = await here.device()
            assert await another.ask("me too") == b"box-0 has me too"
            counts = await here.relay.counters()
            assert counts["quic_dropped_malformed"] >= 6 and counts["quic_dropped_unknown_id"] >= 2
            assert counts["quic_dropped_version"] >= 1
            assert counts["visits"] == 2 and "exceptions" not in counts

    asyncio.run(play())


def test_a_move_is_a_stateless_reset_that_the_client_can_check(tmp_path: Path) -> None:
    async def play() -> None:
        async with service(tmp_path, ["serve"] * 2) as here:
            device = await here.device()
            await device.ask("hello")
            await device.hop(fresh=True)
            await device.ask("hello again")
            await asyncio.gather(soon(device.reset), here.relay.stop())
            assert 21 <= len(device.reset.result()) <= 43

    asyncio.run(play())


def test_a_gone_backend_ends_its_connections_by_reset_and_its_ids_lead_nowhere(tmp_path: Path) -> None:
    async def play() -> None:
        async with service(tmp_path, ["serve"] * 2) as here:
            device = await here.device()
            home = here.backend_of(await device.ask("hello"))
            here.discovery.publish(home.name, "DELETED")
            await soon(device.reset)
            device.wire.sendto(b"\x40" + FORM.make(home.server_id) + b"late" * 10, here.front)
            fresh = await here.device()
            assert here.backend_of(await fresh.ask("hello")) is not home
            counts = await here.relay.counters()
            assert counts["quic_dropped_gone_box"] >= 1 and counts["visits_now"] == 1

    asyncio.run(play())


def test_connections_expire_idle_and_paths_are_bounded(tmp_path: Path) -> None:
    async def play() -> None:
        # No path may expire meanwhile, however busy the machine: it would not be evicted then.
        async with service(tmp_path, ["serve"], path_idle_s=60, visit_idle_s=3, most_paths=5) as here:
            device = await here.device()
            for hop in range(20):
                await device.hop()
                await device.ask(f"{hop}")
            counts = await here.relay.counters()
            assert counts["quic_paths_evicted"] >= 10 and counts["visits_now"] == 1
            device.close()
            await here.relay.line("has expired idle")
            counts = await here.relay.counters()
            assert counts["ended_by_client"] == 1 and counts["visits_now"] == 0

    asyncio.run(play())
