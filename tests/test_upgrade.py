"""A process replaces another under load, both on a listener that the platform holds."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
from collections import Counter
from contextlib import AsyncExitStack
from pathlib import Path

import pytest

from gradefront.config import ConfigError, parse
from gradefront.core.duty import Duty
from gradefront.serve import inherited
from lab.town import Discovery, LineDevice, Program, PushBox, program, settings, soon
from milletdeal import interface as i

from .helper import Bench
from .test_net_parts import CONFIG


@pytest.mark.parametrize("fd", ["x", "-1", "٤", "4 "])
def test_a_descriptor_that_is_no_number_is_told(fd: str) -> None:
    with pytest.raises(ConfigError, match="LB_SOCKET_FD"):
        parse(CONFIG.told, {"LB_SOCKET_FD": fd})


def test_a_descriptor_that_does_not_listen_is_told() -> None:
    with socket.socket() as plain, socket.socket(socket.AF_INET6) as six:
        six.listen()
        for fd in (plain.fileno(), six.fileno(), 999):
            with pytest.raises(ConfigError, match=f"LB_SOCKET_FD: {fd}"):
                inherited(fd)


def test_a_new_process_says_yes_on_fresh_news_or_once_there_is_no_more_time() -> None:
    for news_us, ready_us in ((1_000_000, 1_000_000), (9_000_000, 3_600_000)):
        bench = Bench()
        bench.desk.duty = Duty.STARTING
        opened: list[int] = []
        bench.desk.opens = lambda bench=bench, opened=opened: opened.append(bench.now)
        bench.desk.await_news()
        began = bench.now
        bench.desk.listed(i.ListUpdate((i.ServerEntry("box-1"),)))
        assert not bench.desk.takes_clients, "a list from before may name boxes that have left"
        bench.wait(min(news_us, 5_000_000))
        bench.desk.has_news()
        assert bench.desk.takes_clients and len(opened) == 1 and opened[0] - began <= ready_us


def test_a_replaced_process_tells_its_carers_from_the_start() -> None:
    bench = Bench()
    carers = [bench.standing()[1] for _ in range(30)]
    bench.desk.leave(lambda: None, replaced=True)
    told = []
    for _ in range(22):
        bench.wait(100_000)
        told.append(sum("move" in c.told for c in carers))
    assert told[1] > 0 and told[-1] == 30 and max(b - a for a, b in zip(told, told[1:], strict=False)) <= 4


def test_an_upgrade_under_load_turns_nobody_back(tmp_path: Path) -> None:
    async def play() -> None:
        box, discovery = PushBox(lambda line: "UP r-1"), Discovery()
        discovery.add("box-0", await box.open())
        outcomes: Counter[str] = Counter()
        listener = socket.create_server(("127.0.0.1", 0), backlog=512)

        async def device(port: int) -> None:
            """Comes, is served until it is told to move, comes again: an answer each time."""
            for _ in range(2):
                one = await LineDevice.connect(port)
                one.open(d=4000)
                outcomes[await one.line()] += 1
                outcomes[await one.line()] += 1
                one.writer.close()

        def start(stack: AsyncExitStack, name: str) -> asyncio.Task[Program]:
            (tmp_path / name).mkdir()
            return asyncio.ensure_future(stack.enter_async_context(
                program(tmp_path / name, discovery, settings(aim_ms=1000, deadline_ms=4000), admin=True,
                        listener=listener)))
        async with AsyncExitStack() as stack:
            old = await start(stack, "old")
            await old.line("takes clients from descriptor")
            port = old.ports[0]
            devices = [asyncio.ensure_future(device(port)) for _ in range(20)]
            new = await start(stack, "new")
            await new.line("takes clients from descriptor")
            assert await new.call("PING") == await old.call("PING") == ["ok serving"]
            old.process.send_signal(signal.SIGTERM)
            for _ in range(20):
                devices.append(asyncio.ensure_future(device(port)))
                await asyncio.sleep(0)
            assert await old.stop() == 0
            assert (await new.figures())["svc_current"] >= 20
            third = await start(stack, "third")  # an upgrade right after another
            await third.line("takes clients from descriptor")
            assert await new.stop() == 0
            third.process.send_signal(signal.SIGTERM)
            assert await third.stop() == 0
            await soon(asyncio.gather(*devices))
            assert outcomes == {"UP r-1": 80, "MOVE": 80}
        listener.close()
        box.server.close()
    asyncio.run(play())


def test_a_bad_descriptor_is_a_clear_error_at_the_start(tmp_path: Path) -> None:
    async def play() -> None:
        async with program(tmp_path, Discovery(), settings()):
            environment = {**os.environ, "LB_CONFIG": str(tmp_path / "config.json"), "LB_SOCKET_FD": "0"}
            done = await asyncio.to_thread(subprocess.run, [sys.executable, "-m", "gradefront"], env=environment,
                                           stdin=subprocess.DEVNULL, capture_output=True, text=True, timeout=30)
            assert done.returncode == 2 and "LB_SOCKET_FD: 0" in done.stderr and "Traceback" not in done.stderr
    asyncio.run(play())
