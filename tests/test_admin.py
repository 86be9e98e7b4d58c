"""The admin interface and the figures."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any, cast

from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.testing import StringTransport

from gradefront.admin.metrics import lines
from gradefront.admin.server import CALLERS, MOST_CALLERS, PATIENCE_US, AdminServer, CallerLine
from gradefront.core.counters import Counters
from lab.stand_ins import LineDevice, settings, soon

from .helper import Bench
from .test_service import town


class Wire(StringTransport):
    """A transport that records."""

    def flush(self) -> bool:
        return True

    def catch_up(self) -> bool:
        return False

    def abortConnection(self) -> None:
        self.disconnecting = True

    loseWriteConnection = abortConnection

    def resumeProducing(self) -> None:
        pass


class Callers:
    """A door, and callers at it."""

    def __init__(self) -> None:
        self.bench = Bench()
        self.door = AdminServer(
            self.bench.core,
            {"PING": lambda: ["ok"], "LAMEDUCK": lambda: ["ok lame duck"], "BREAK": lambda: [str(1 // 0)]},
        )

    def come(self) -> CallerLine | None:
        line = self.door.buildProtocol(None)
        if line:
            cast(Any, line).makeConnection(cast(Any, Wire)())
        return line

    def say(self, *parts: bytes) -> bytes:
        line = self.come()
        assert line
        for part in parts:
            cast(Any, line).dataReceived(part)
        said = cast(bytes, line.wire.value())
        assert line.wire.disconnecting == bool(said)
        line.connectionLost()
        return said


@given(
    st.sampled_from(
        [
            b"PING\r\n",
            b"PING\n",
            b"LAMEDUCK\r\n",
            b"\r\n",
            b"ping\r\n",
            b"PING PING\r\n",
            b"\xff\x00\r\n",
            b"x" * 300 + b"\r\n",
            b"PING\r\nLAMEDUCK\r\n",
            b"BREAK\n",
        ]
    ),
    st.lists(st.integers(1, 20), max_size=8),
)
def test_a_call_in_pieces_of_any_size_gets_one_answer_the_same_as_whole(call: bytes, cuts: list[int]) -> None:
    callers = Callers()
    parts, at = [], 0
    for cut in cuts:
        parts.append(call[at : at + cut])
        at += cut
    answer = callers.say(*parts, call[at:])
    assert answer == callers.say(call) == callers.say(*(bytes([b]) for b in call))
    assert answer.count(b"\r\n") == 1 and answer.split()[0] in (b"ok", b"fail")
    assert answer.startswith(b"ok") == call.startswith((b"PING\r", b"PING\n", b"LAME"))


def test_who_holds_the_door_without_a_call_shuts_nobody_out() -> None:
    callers = Callers()
    held = [callers.come() for _ in range(60)]
    assert sum(line is not None for line in held) == MOST_CALLERS == len(callers.door.callers)
    callers.bench.wait(300_000)
    for line in list(callers.door.callers)[CALLERS:]:
        line.connectionLost()
    for _ in range(30):
        assert callers.say(b"PING\r\n") == b"ok\r\n"
        callers.come()
        callers.bench.wait(300_000)
        assert len(callers.door.callers) <= MOST_CALLERS
    callers.bench.wait(PATIENCE_US + 10_000)
    assert all(line.wire.value().startswith(b"fail") for line in callers.door.callers), "silence ends too"


def test_figures_are_there_from_the_start_and_labels_can_not_break_the_form() -> None:
    counters = Counters()
    assert lines(counters, ["a"], {"current": 0}) == [
        'svc_answered_total{group="a"} 0',
        'svc_deferred_total{group="a"} 0',
        'svc_errored_total{group="a"} 0',
        "svc_sends_total 0",
        "svc_conf_loaded_total 0",
        "svc_conf_invalid_total 0",
        "svc_current 0",
    ]
    counters.add_of_class("answered_total", 'q"\\\n')
    assert lines(counters, ['q"\\\n', 'q"\\\n'], {})[0] == 'svc_answered_total{group="q\\"\\\\\\n"} 1'


def test_the_program_tells_its_figures_and_is_emptied_by_call(tmp_path: Path) -> None:
    async def play() -> None:
        async with town(tmp_path, ["UP r-1"], settings(probes=True), admin=True) as here:
            relay = here.relay
            assert await relay.call("PING") == ["ok serving"]
            device = await here.device()
            device.open()
            assert await device.line() == "UP r-1"
            silent = await LineDevice.connect(relay.admin_port)
            mute = await here.device()  # a crowd of these is not what the relay serves
            told = await relay.metrics()
            assert told['svc_answered_total{group="visit-checkin"}'] == told["svc_sends_total"] == 1
            assert told['svc_answered_total{group="roster-feed"}'] == told["svc_cluster_unhealthy"] == 0
            assert told["svc_current"] == told["svc_cluster_size"] == 1
            assert await relay.call("LAMEDUCK") == await relay.call("LAMEDUCK") == ["ok lame duck"]
            assert await relay.call("PING") == ["fail lame duck"]
            assert await (await here.device()).ask("PING") == "ERR"
            for _ in range(3):  # new settings in the midst of a drain, in quick succession
                relay.process.send_signal(signal.SIGHUP)
            await relay.line("configuration taken")
            assert 1 <= (await relay.metrics())["svc_conf_loaded_total"] <= 3
            assert await relay.call("PING") == ["fail lame duck"]
            assert await device.ask("still") == "re:still"
            assert await device.line() == "MOVE" and await device.line() == ""
            mute.writer.close()
            assert await relay.call("REJOIN") == ["ok serving"]
            assert await (await here.device()).ask("PING") == "PONG"
            assert (await silent.line()).startswith("fail")
            await soon(asyncio.gather(*(relay.call(junk) for junk in ("", "x" * 9000, "\0\0", "PONG"))))
            assert await relay.stop() == 0

    asyncio.run(play())


def test_a_door_that_can_not_be_bound_is_a_clear_error_at_the_start(tmp_path: Path) -> None:
    async def play() -> None:
        async with town(tmp_path, [], admin=True) as here:
            environment = {
                **os.environ,
                "LB_CONFIG": str(tmp_path / "config.json"),
                "LB_ADMIN": f"127.0.0.1:{here.relay.admin_port}",
            }
            done = await asyncio.to_thread(
                subprocess.run,
                [sys.executable, "-m", "gradefront"],
                env=environment,
                capture_output=True,
                text=True,
                timeout=30,
            )
            assert done.returncode == 2 and "operators' door" in done.stderr and "Traceback" not in done.stderr

    asyncio.run(play())
