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

from gradefront.admin.metrics import render_metrics
from gradefront.admin.server import CALL_TIMEOUT_US, CROWDED_CALLERS, MAX_CALLERS, AdminProtocol, AdminServer
from gradefront.core.counters import Counters
from lab.stand_ins import LineDevice, settings, soon

from .helper import Bench
from .test_service import running_service


class Wire(StringTransport):
    """A transport that records."""

    def flush(self) -> bool:
        return True

    def read_available(self) -> bool:
        return False

    def abortConnection(self) -> None:
        self.disconnecting = True

    loseWriteConnection = abortConnection

    def resumeProducing(self) -> None:
        pass


class Callers:
    """An admin server and its callers."""

    def __init__(self) -> None:
        self.bench = Bench()
        self.server = AdminServer(
            self.bench.core,
            {"PING": lambda: ["ok"], "LAMEDUCK": lambda: ["ok lame duck"], "BREAK": lambda: [str(1 // 0)]},
        )

    def connect(self) -> AdminProtocol | None:
        line = self.server.buildProtocol(None)
        if line:
            cast(Any, line).makeConnection(cast(Any, Wire)())
        return line

    def call(self, *parts: bytes) -> bytes:
        line = self.connect()
        assert line
        for part in parts:
            cast(Any, line).dataReceived(part)
        answer = cast(bytes, line.tcp.value())
        assert line.tcp.disconnecting == bool(answer)
        line.connectionLost()
        return answer


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
    answer = callers.call(*parts, call[at:])
    assert answer == callers.call(call) == callers.call(*(bytes([b]) for b in call))
    assert answer.count(b"\r\n") == 1 and answer.split()[0] in (b"ok", b"fail")
    assert answer.startswith(b"ok") == call.startswith((b"PING\r", b"PING\n", b"LAME"))


def test_connections_without_a_call_lock_nobody_out() -> None:
    callers = Callers()
    held = [callers.connect() for _ in range(60)]
    assert sum(line is not None for line in held) == MAX_CALLERS == len(callers.server.callers)
    callers.bench.wait(300_000)
    for line in list(callers.server.callers)[CROWDED_CALLERS:]:
        line.connectionLost()
    for _ in range(30):
        assert callers.call(b"PING\r\n") == b"ok\r\n"
        callers.connect()
        callers.bench.wait(300_000)
        assert len(callers.server.callers) <= MAX_CALLERS
    callers.bench.wait(CALL_TIMEOUT_US + 10_000)
    assert all(line.tcp.value().startswith(b"fail") for line in callers.server.callers), "silence ends too"


def test_figures_are_there_from_the_start_and_labels_can_not_break_the_form() -> None:
    counters = Counters()
    assert render_metrics(counters, ["a"], {"current": 0}) == [
        'svc_answered_total{group="a"} 0',
        'svc_deferred_total{group="a"} 0',
        'svc_errored_total{group="a"} 0',
        "svc_sends_total 0",
        "svc_conf_loaded_total 0",
        "svc_conf_invalid_total 0",
        "svc_current 0",
    ]
    counters.add_for_class("answered_total", 'q"\\\n')
    assert render_metrics(counters, ['q"\\\n', 'q"\\\n'], {})[0] == 'svc_answered_total{group="q\\"\\\\\\n"} 1'


def test_the_program_reports_its_figures_and_is_drained_by_call(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_service(tmp_path, ["UP r-1"], settings(probes=True), admin=True) as here:
            relay = here.relay
            assert await relay.call("PING") == ["ok serving"]
            device = await here.device()
            device.open()
            assert await device.line() == "UP r-1"
            silent = await LineDevice.connect(relay.admin_port)
            mute = await here.device()  # a crowd of these is not what the relay serves
            figures = await relay.metrics()
            assert figures['svc_answered_total{group="visit-checkin"}'] == figures["svc_sends_total"] == 1
            assert figures['svc_answered_total{group="roster-feed"}'] == figures["svc_cluster_unhealthy"] == 0
            assert figures["svc_current"] == figures["svc_cluster_size"] == 1
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


def test_an_admin_address_that_can_not_be_bound_is_a_clear_error_at_the_start(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_service(tmp_path, [], admin=True) as here:
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
