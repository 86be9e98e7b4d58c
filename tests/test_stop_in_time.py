"""Tests of a planned stop that is delayed.

The time until SIGKILL counts from the signal, not from when the event loop handles it.
"""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any, cast

import pytest

from gradefront.net.reactor import Reactor
from gradefront.service import _handle_signal
from lab.stand_ins import Discovery, program, settings

from .loop import Backend, Loop

HOLD_UP_US = 150_000  # the longest delay in the operators' documentation
MARGIN_US = 200_000  # time left before SIGKILL if all clients have been sent their answers
TICK_US = 4_000


@pytest.mark.parametrize("step_held_up", ["the last answers", "the rejection of idle clients", "the stop"])
def test_an_event_loop_held_up_during_the_stop_ends_before_sigkill(tmp_path: Path, step_held_up: str) -> None:
    """Guards against a process still running at SIGKILL: chained delays made each late step delay the next ones."""
    loop = Loop(tmp_path, [Backend()])
    idle = loop.client()  # never closes, so that the stop takes as long as it may
    kill_us = loop.core.lifecycle.kill_us
    began_us = loop.now_us
    loop.leave()
    held_up_us = {"the last answers": 450_000, "the rejection of idle clients": 350_000, "the stop": 200_000}
    loop.wait(kill_us - held_up_us[step_held_up] - TICK_US)
    loop.now_us += HOLD_UP_US
    loop.until(lambda: loop.wait(TICK_US) or loop.stopped)
    late_us = HOLD_UP_US if step_held_up == "the stop" else 0
    assert loop.stopped - began_us <= kill_us - MARGIN_US + late_us + 2 * TICK_US
    assert idle.read() == b"BUSY\r\n" and idle.ended and not idle.reset


def test_a_signal_that_waits_for_the_event_loop_does_not_delay_the_stop(tmp_path: Path) -> None:
    """Guards against a stop that is delayed by the time for which its signal waited."""
    loop = Loop(tmp_path, [Backend()])
    idle = loop.client()
    kill_us = loop.core.lifecycle.kill_us
    signalled_us = loop.now_us - HOLD_UP_US
    loop.relay.leave(HOLD_UP_US)
    loop.until(lambda: loop.wait(20_000) or loop.stopped)
    assert loop.stopped - signalled_us <= kill_us - MARGIN_US + 20_000
    assert idle.read() == b"BUSY\r\n" and not idle.reset


TEARDOWN_MARK = "atexit.register(lambda: open(os.environ['TORN_DOWN'], 'w').close())"


def test_a_planned_stop_ends_without_the_interpreters_teardown(tmp_path: Path) -> None:
    """Guards against a process still running at SIGKILL: the teardown takes up to 0.2 s on a busy machine."""
    (tmp_path / "sitecustomize.py").write_text(f"import atexit, os\n{TEARDOWN_MARK}\n")
    torn_down = tmp_path / "torn down"
    environment = {"PYTHONPATH": str(tmp_path), "TORN_DOWN": str(torn_down)}

    async def scenario() -> None:
        service_settings = settings(deadline_ms=300)
        async with program(tmp_path, Discovery(), service_settings, environment=environment) as relay:
            assert await relay.stop() == 0
            assert "counters {" in relay.log[-1], "the last log line was lost"

    asyncio.run(scenario())
    assert not torn_down.exists()
    subprocess.run([sys.executable, "-c", ""], env={**os.environ, **environment}, check=True)
    assert torn_down.exists(), "the marker does not work: a process with a teardown left none"


class HeldUpReactor:
    """A reactor that records calls from threads; the test runs them."""

    def __init__(self) -> None:
        self.calls: list[Any] = []

    def callFromThread(self, call: Any) -> None:
        self.calls.append(call)


def test_the_signal_handler_notes_the_time_of_the_signal() -> None:
    reactor, waited_us = HeldUpReactor(), list[int]()
    before = signal.getsignal(signal.SIGUSR2)
    try:
        _handle_signal(signal.SIGUSR2, waited_us.append, cast(Reactor, reactor))
        os.kill(os.getpid(), signal.SIGUSR2)
        time.sleep(0.02)
        reactor.calls[0]()
    finally:
        signal.signal(signal.SIGUSR2, before)
    assert waited_us[0] >= 20_000
