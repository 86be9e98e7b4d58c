"""Tests of repeated signals while a relay process ends."""

from __future__ import annotations

import asyncio
import os
import signal
from contextlib import suppress
from pathlib import Path

import pytest

from lab.stand_ins import HANG_TIMEOUT_S, Discovery, program, settings

SERIES_INTERVAL_S = 0.0005


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM])
def test_signals_until_the_process_ends_do_not_change_the_status_of_a_planned_stop(
    tmp_path: Path, number: signal.Signals
) -> None:
    """Guards against a planned stop that looks like a crash: the interpreter drops its handlers as it exits."""

    async def scenario() -> None:
        async with program(tmp_path, Discovery(), settings(deadline_ms=300)) as relay:
            relay.process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(HANG_TIMEOUT_S):
                reading = asyncio.ensure_future(relay.process.communicate())  # a full pipe would block the relay
                while relay.process.returncode is None:
                    with suppress(ProcessLookupError):
                        # Not send_signal(): it may reap the process unnoticed by asyncio.
                        os.kill(relay.process.pid, number)
                    await asyncio.sleep(SERIES_INTERVAL_S)
                await reading
            assert relay.process.returncode == 0

    asyncio.run(scenario())
