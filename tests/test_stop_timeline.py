"""Tests of the log of a planned stop: the time of each step, and connections reset by closing the listener."""

from __future__ import annotations

import asyncio
import logging
import re
import signal
import socket
from pathlib import Path

import pytest

from lab.stand_ins import Discovery, program, settings

from .loop import HANG_TIMEOUT_S, Backend, Loop

STEP = re.compile(r"(last answers|clients without a request rejected|reactor ended) (\d+)")


def test_each_step_of_a_stop_is_logged_with_its_time(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with program(tmp_path, Discovery(), settings(deadline_ms=300)) as relay:
            relay.process.send_signal(signal.SIGTERM)
            line = (await relay.line("planned stop, ms after the signal: handled")).string
            at_ms = [int(ms) for _, ms in STEP.findall(line)]
            assert len(at_ms) == 3 and at_ms == sorted(at_ms)
            assert at_ms[0] >= 550, "last answers before the longest deadline plus 0.25 s"

    asyncio.run(scenario())


def test_connections_reset_by_closing_a_listener_are_logged(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    loop = Loop(tmp_path, [Backend()])
    port = loop.relay.port
    address = ("127.0.0.1", port.getHost().port)
    loop.order.held.add(port.fileno())
    queued = [socket.create_connection(address, HANG_TIMEOUT_S) for _ in range(3)]
    with caplog.at_level(logging.WARNING):
        port.stopListening()
        loop.step()
    assert "a listener ends with 3 connections that were not accepted" in caplog.text
    for connection in queued:
        connection.close()
