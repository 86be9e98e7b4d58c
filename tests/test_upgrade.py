"""A process replaces another under load, both on a listener that the platform holds."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from collections import Counter
from contextlib import AsyncExitStack, suppress
from pathlib import Path
from typing import Any

import pytest

from balancer.events import Endpoint, EndpointListUpdate
from gradefront.config import ConfigError, parse
from gradefront.core.lifecycle_state import LifecycleState
from gradefront.listening import inherited_listener
from gradefront.state.form import ConnectionSnapshot, FormError, read, write
from gradefront.state.handover_sockets import SOCKET_NAME
from lab.stand_ins import Discovery, LineDevice, Program, StandInBackend, program, settings, soon

from .helper import Bench
from .test_net_parts import CONFIG


@pytest.mark.parametrize("fd", ["x", "-1", "٤", "4 "])
def test_a_descriptor_that_is_no_number_is_named(fd: str) -> None:
    with pytest.raises(ConfigError, match="LB_SOCKET_FD"):
        parse(CONFIG.document, {"LB_SOCKET_FD": fd})


def test_a_descriptor_that_does_not_listen_is_named() -> None:
    with socket.socket() as plain, socket.socket(socket.AF_INET6) as six:
        six.listen()
        for fd in (plain.fileno(), six.fileno(), 999):
            with pytest.raises(ConfigError, match=f"LB_SOCKET_FD: {fd}"):
                inherited_listener(fd)


def test_a_new_process_says_yes_on_fresh_news_or_once_there_is_no_more_time() -> None:
    for news_us, ready_us in ((1_000_000, 1_000_000), (9_000_000, 3_600_000)):
        bench = Bench()
        bench.core.lifecycle.state = LifecycleState.STARTING
        opened: list[int] = []
        bench.core.lifecycle.on_ready = lambda bench=bench, opened=opened: opened.append(bench.now)
        bench.core.lifecycle.await_endpoint_list()
        began = bench.now
        bench.core.on_endpoint_list(EndpointListUpdate((Endpoint("box-1"),)))
        assert not bench.core.lifecycle.accepts_clients, "a list from before may name backends that have left"
        bench.wait(min(news_us, 5_000_000))
        bench.core.lifecycle.on_fresh_endpoint_list()
        assert bench.core.lifecycle.accepts_clients and len(opened) == 1 and opened[0] - began <= ready_us


def test_a_replaced_process_migrates_its_clients_from_the_start() -> None:
    bench = Bench()
    clients = [bench.establish()[1] for _ in range(30)]
    bench.core.lifecycle.leave(lambda: None, at_once=True)
    migrated = []
    for _ in range(22):
        bench.wait(100_000)
        migrated.append(sum("migrate" in c.calls for c in clients))
    assert (
        migrated[1] > 0
        and migrated[-1] == 30
        and max(b - a for a, b in zip(migrated, migrated[1:], strict=False)) <= 4
    )


def test_a_bad_descriptor_is_a_clear_error_at_the_start(tmp_path: Path) -> None:
    async def play() -> None:
        async with program(tmp_path, Discovery(), settings()):
            environment = {**os.environ, "LB_CONFIG": str(tmp_path / "config.json"), "LB_SOCKET_FD": "0"}
            done = await asyncio.to_thread(
                subprocess.run,
                [sys.executable, "-m", "gradefront"],
                env=environment,
                stdin=subprocess.DEVNULL,
                capture_output=True,
                text=True,
                timeout=30,
            )
            assert done.returncode == 2 and "LB_SOCKET_FD: 0" in done.stderr and "Traceback" not in done.stderr

    asyncio.run(play())


SNAPSHOT = ConnectionSnapshot(
    "9b1f03aa5c7e2d41",
    "visit-checkin",
    {"aim_us": 1},
    "k",
    "g",
    0,
    "box-0",
    5321.5,
    1_000_000,
    (1_000_000,),
    b"half a \xff",
    b"",
)


def test_a_description_is_read_as_it_was_written_and_nonsense_is_an_error() -> None:
    assert read(write(SNAPSHOT), 2_000_000) == SNAPSHOT
    good = json.loads(write(SNAPSHOT))
    for name, value in (
        ("version", 0),
        ("box", 3),
        ("load", -1),
        ("load", "x"),
        ("asked_us", [10**15]),
        ("heard_us", None),
        ("from_box", "%"),
        ("from_carer", "A" * 8000),
        ("rules", []),
        ("x", 1),
    ):
        with pytest.raises(FormError):
            read(json.dumps({**good, name: value}).encode(), 2_000_000)
    for cut in range(0, len(write(SNAPSHOT)) - 1, 7):
        with pytest.raises(FormError):
            read(write(SNAPSHOT)[:cut], 2_000_000)


class Upgrade:
    """An old and a new process of one relay, with what a folder of earlier ones holds."""

    def __init__(self, folder: Path, shared: bool = True) -> None:
        self.folder = folder
        self.shared = folder if shared else None  # where processes meet
        self.backend, self.discovery = StandInBackend(lambda line: "UP r-1"), Discovery()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.stack = AsyncExitStack()

    async def __aenter__(self) -> Upgrade:
        self.discovery.add("box-0", await self.backend.open())
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stack.aclose()
        self.listener.close()
        self.backend.server.close()

    async def start(self, name: str, given: dict[str, Any] | None = None) -> Program:
        (self.folder / name).mkdir()
        process = await self.stack.enter_async_context(
            program(
                self.folder / name,
                self.discovery,
                given or settings(deadline_ms=4000),
                admin=True,
                listener=self.listener,
                shared=self.shared,
            )
        )
        await process.line("takes clients from descriptor")
        return process

    async def standing(self, process: Program) -> LineDevice:
        device = await LineDevice.connect(process.ports[0])
        device.open(d=4000)
        assert await device.line() == "UP r-1"
        return device


def test_an_upgrade_under_load_rejects_nobody(tmp_path: Path) -> None:
    async def play() -> None:
        outcomes: Counter[str] = Counter()

        async def device(port: int) -> None:
            """Comes, is served until it is notified to move, comes again: an answer each time."""
            for _ in range(2):
                one = await LineDevice.connect(port)
                one.open(d=4000)
                outcomes[await one.line()] += 1
                outcomes[await one.line()] += 1
                one.writer.close()

        async with Upgrade(tmp_path, shared=False) as here:
            given = settings(objective_ms=1000, deadline_ms=4000)
            old = await here.start("old", given)
            port = old.ports[0]
            devices = [asyncio.ensure_future(device(port)) for _ in range(20)]
            new = await here.start("new", given)
            assert await new.call("PING") == await old.call("PING") == ["ok serving"]
            old.process.send_signal(signal.SIGTERM)
            for _ in range(20):
                devices.append(asyncio.ensure_future(device(port)))
                await asyncio.sleep(0)
            old.process.send_signal(signal.SIGHUP)  # and calls out of turn, in the midst of it
            with suppress(OSError):  # it may be gone already
                assert (await old.call("LAMEDUCK"))[:1] in ([], ["ok leaving"])
            assert await old.stop() == 0
            assert (await new.metrics())["svc_current"] >= 20
            third = await here.start("third", given)  # an upgrade right after another
            assert await new.stop() == 0
            third.process.send_signal(signal.SIGTERM)
            assert await third.stop() == 0
            await soon(asyncio.gather(*devices))
            assert outcomes == {"UP r-1": 80, "MOVE": 80}

    asyncio.run(play())


def test_a_process_that_could_not_have_the_name_holds_its_clients_and_its_listener(tmp_path: Path) -> None:
    async def play() -> None:
        async with Upgrade(tmp_path) as here:
            here.shared = tmp_path / "a folder in which no file can be made"
            alone = await here.start("alone")
            standing = await here.standing(alone)
            alone.process.send_signal(signal.SIGTERM)
            await alone.line("leaving")
            late = await here.standing(alone)  # nobody else reads the listener's queue
            assert await late.line() == await standing.line() == "MOVE"
            for device in (late, standing):
                device.writer.close()
            assert await soon(alone.process.wait()) == 0

    asyncio.run(play())


def test_established_connections_go_to_the_next_process_and_nobody_moves(tmp_path: Path) -> None:
    async def play() -> None:
        (tmp_path / SOCKET_NAME).write_text("left by somebody")
        async with Upgrade(tmp_path) as here:
            old = await here.start("old")
            devices = [await here.standing(old) for _ in range(30)]
            for n, device in enumerate(devices):
                device.writer.write(b"half a li")  # a line that one process begins to read
                here.backend.writers[n].write(b"and ha")
            new = await here.start("new")
            assert await old.stop() == 0
            counts = await new.counters()
            assert counts["taken_over"] == counts["visits_now"] == 30 and "stood" not in counts
            for device, writer in zip(devices, here.backend.writers, strict=True):
                device.writer.write(b"ne\r\n")
                writer.write(b"lf back\r\n")
                assert {await device.line(), await device.line()} == {"re:half a line", "and half back"}
            assert (await new.metrics())["svc_current"] == 30
            devices[0].writer.close()
            await soon(here.backend.ended.wait())
            here.backend.writers[1].close()
            assert await devices[1].line() == ""
            third = await here.start("third", settings(objective_ms=200, deadline_ms=4000))  # under other rules
            assert await new.stop() == 0
            assert [await device.line() for device in devices[2:]] == ["MOVE"] * 28
            assert (await third.counters())["visits_now"] == 0

    asyncio.run(play())


def test_an_upgrade_in_the_midst_of_a_drain_keeps_what_still_stands(tmp_path: Path) -> None:
    async def play() -> None:
        async with Upgrade(tmp_path) as here:
            old = await here.start("old")
            device = await here.standing(old)
            new = await here.start("new")
            assert await old.call("LAMEDUCK") == ["ok lame duck"]
            assert await old.stop() == 0
            assert await new.call("PING") == ["ok serving"]
            assert await device.ask("still") == "re:still"
            assert (await new.counters())["visits_now"] == 1

    asyncio.run(play())


def test_a_process_that_nobody_replaces_takes_clients_to_the_last(tmp_path: Path) -> None:
    async def play() -> None:
        async with Upgrade(tmp_path) as here:
            alone = await here.start("alone")
            alone.process.send_signal(signal.SIGTERM)
            await alone.line("leaving: 0 connections to migrate")
            device = await LineDevice.connect(alone.ports[0])
            device.open(d=4000)
            assert [await device.line(), await device.line()] == ["UP r-1", "MOVE"]
            assert await alone.stop() == 0 and not (tmp_path / SOCKET_NAME).exists()

    asyncio.run(play())


def test_a_next_process_that_breaks_off_leaves_the_connections_where_they_are(tmp_path: Path) -> None:
    async def play() -> None:
        async with Upgrade(tmp_path) as here:
            old = await here.start("old")
            device = await here.standing(old)
            (tmp_path / SOCKET_NAME).unlink()
            with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as stranger:
                stranger.bind(str(tmp_path / SOCKET_NAME))
                stranger.listen()
                old.process.send_signal(signal.SIGTERM)
                call = await asyncio.to_thread(stranger.accept)
                call[0].close()  # before or after the first connection came to it: that one's sockets go with it
            assert await device.line() in ("MOVE", "")
            assert await old.stop() == 0

    asyncio.run(play())


def test_a_next_process_that_dies_among_many_takes_only_what_it_had_been_given(tmp_path: Path) -> None:
    async def play() -> None:
        async with Upgrade(tmp_path) as here:
            old = await here.start("old")
            devices = [await here.standing(old) for _ in range(40)]
            (tmp_path / SOCKET_NAME).unlink()
            with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as stranger:
                stranger.bind(str(tmp_path / SOCKET_NAME))
                stranger.listen()
                old.process.send_signal(signal.SIGTERM)

                def take_ten_and_die() -> None:
                    call, _ = stranger.accept()
                    with call:
                        for _ in range(10):
                            for fd in socket.recv_fds(call, 1 << 16, 4)[1]:
                                os.close(fd)

                await asyncio.to_thread(take_ten_and_die)
            ends = Counter([await device.line() for device in devices])
            # Ten, and what lay in the socket unread; whoever was still here is told.
            assert set(ends) <= {"MOVE", ""} and 10 <= ends[""] <= 20 and ends["MOVE"] == 40 - ends[""]
            await old.line("nothing more can be handed over")
            assert await old.stop() == 0

    asyncio.run(play())


def test_nonsense_from_a_process_before_ends_nothing_here(tmp_path: Path) -> None:
    async def play() -> None:
        async with Upgrade(tmp_path) as here:
            new = await here.start("new")
            with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as call, socket.socket() as other:
                call.connect(str(tmp_path / SOCKET_NAME))
                socket.send_fds(call, [b"{}"], [other.fileno()] * 2)
                socket.send_fds(call, [write(SNAPSHOT)], [other.fileno()])
                call.send(b"\0" * 60_000)
            await new.line("connections were handed over so far")
            counts = await new.counters()
            assert counts["taken_over_badly"] == 3 and counts["visits_now"] == 0
            await here.standing(new)

    asyncio.run(play())
