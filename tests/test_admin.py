"""Tests of the admin interface and the metrics."""

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
from gradefront.admin.server import COMMAND_TIMEOUT_US, EVICTION_THRESHOLD, MAX_CALLERS, AdminProtocol, AdminServer
from gradefront.core.counters import Counters
from lab.stand_ins import LineDevice, settings, soon

from .helper import Bench
from .test_service import running_service


class RecordingTransport(StringTransport):
    """A transport that records what is written to it."""

    def flush(self) -> bool:
        return True

    def read_available(self) -> bool:
        return False

    def abortConnection(self) -> None:
        self.disconnecting = True

    loseWriteConnection = abortConnection

    def resumeProducing(self) -> None:
        pass


class AdminHarness:
    """An admin server whose connections the test drives directly."""

    def __init__(self) -> None:
        self.bench = Bench()
        self.server = AdminServer(
            self.bench.core,
            {"PING": lambda: ["ok"], "LAMEDUCK": lambda: ["ok lame duck"], "BREAK": lambda: [str(1 // 0)]},
        )

    def connect(self) -> AdminProtocol | None:
        connection = self.server.buildProtocol(None)
        if connection:
            cast(Any, connection).makeConnection(cast(Any, RecordingTransport)())
        return connection

    def call(self, *parts: bytes) -> bytes:
        connection = self.connect()
        assert connection
        for part in parts:
            cast(Any, connection).dataReceived(part)
        answer = cast(bytes, connection.tcp.value())
        assert connection.tcp.disconnecting == bool(answer)
        connection.connectionLost()
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
def test_a_command_split_at_any_bytes_gets_the_same_single_answer_as_in_one_piece(
    command: bytes, cuts: list[int]
) -> None:
    harness = AdminHarness()
    parts, at = [], 0
    for cut in cuts:
        parts.append(command[at : at + cut])
        at += cut
    answer = harness.call(*parts, command[at:])
    assert answer == harness.call(command) == harness.call(*(bytes([b]) for b in command))
    assert answer.count(b"\r\n") == 1 and answer.split()[0] in (b"ok", b"fail")
    assert answer.startswith(b"ok") == command.startswith((b"PING\r", b"PING\n", b"LAME"))


def test_connections_that_send_no_command_do_not_block_other_callers() -> None:
    harness = AdminHarness()
    held = [harness.connect() for _ in range(60)]
    assert sum(connection is not None for connection in held) == MAX_CALLERS == len(harness.server.callers)
    harness.bench.wait(300_000)
    for connection in list(harness.server.callers)[EVICTION_THRESHOLD:]:
        connection.connectionLost()
    for _ in range(30):
        assert harness.call(b"PING\r\n") == b"ok\r\n"
        harness.connect()
        harness.bench.wait(300_000)
        assert len(harness.server.callers) <= MAX_CALLERS
    harness.bench.wait(COMMAND_TIMEOUT_US + 10_000)
    assert all(connection.tcp.value().startswith(b"fail") for connection in harness.server.callers), (
        "callers that send nothing are answered and closed"
    )


def test_metrics_start_at_zero_and_label_values_are_escaped() -> None:
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


def test_a_running_relay_reports_metrics_and_drains_and_rejoins_on_command(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_service(tmp_path, ["UP r-1"], settings(probes=True), admin=True) as service:
            relay = service.relay
            assert await relay.call("PING") == ["ok serving"]
            device = await service.device()
            device.open()
            assert await device.line() == "UP r-1"
            silent = await LineDevice.connect(relay.admin_port)
            mute = await service.device()  # pre-request connections do not count in the metrics
            metrics = await relay.metrics()
            assert metrics['svc_answered_total{group="visit-checkin"}'] == metrics["svc_sends_total"] == 1
            assert metrics['svc_answered_total{group="roster-feed"}'] == metrics["svc_cluster_unhealthy"] == 0
            assert metrics["svc_current"] == metrics["svc_cluster_size"] == 1
            assert await relay.call("LAMEDUCK") == await relay.call("LAMEDUCK") == ["ok lame duck"]
            assert await relay.call("PING") == ["fail lame duck"]
            assert await (await service.device()).ask("PING") == "ERR"
            for _ in range(3):  # several reloads in quick succession during a drain
                relay.process.send_signal(signal.SIGHUP)
            await relay.line("configuration applied")
            assert 1 <= (await relay.metrics())["svc_conf_loaded_total"] <= 3
            assert await relay.call("PING") == ["fail lame duck"]
            assert await device.ask("still") == "re:still"
            assert await device.line() == "MOVE" and await device.line() == ""
            mute.writer.close()
            assert await relay.call("REJOIN") == ["ok serving"]
            assert await (await service.device()).ask("PING") == "PONG"
            assert (await silent.line()).startswith("fail")
            await soon(asyncio.gather(*(relay.call(junk) for junk in ("", "x" * 9000, "\0\0", "PONG"))))
            assert await relay.stop() == 0

    asyncio.run(scenario())


def test_an_admin_address_in_use_ends_the_start_with_an_error_and_status_2(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_service(tmp_path, [], admin=True) as service:
            environment = {
                **os.environ,
                "LB_CONFIG": str(tmp_path / "config.json"),
                "LB_ADMIN": f"127.0.0.1:{service.relay.admin_port}",
            }
            completed = await asyncio.to_thread(
                subprocess.run,
                [sys.executable, "-m", "gradefront"],
                env=environment,
                capture_output=True,
                text=True,
                timeout=30,
            )
            assert (
                completed.returncode == 2
                and "LB_ADMIN: the admin interface cannot listen" in completed.stderr
                and "Traceback" not in completed.stderr
            )

    asyncio.run(scenario())
