"""Tests of signals during the start, while the program is being imported."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from lab.stand_ins import HANG_TIMEOUT_S, Discovery, LineDevice, program, settings

#: A sitecustomize module, which Python imports first: it signals the process when the import of the service begins.
SIGNALLED_IMPORT = """
import os, sys
class Signalled:
    def find_spec(self, name, *_):
        if name == "gradefront.service":
            os.kill(os.getpid(), int(os.environ["EARLY_SIGNAL"]))
sys.meta_path.insert(0, Signalled())
"""


def _environment(folder: Path, number: signal.Signals) -> dict[str, str]:
    (folder / "sitecustomize.py").write_text(SIGNALLED_IMPORT)
    return {"PYTHONPATH": str(folder), "EARLY_SIGNAL": str(int(number))}


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGUSR1])
def test_a_reload_or_counter_signal_during_the_start_is_ignored(tmp_path: Path, number: signal.Signals) -> None:
    """Guards against a start that looks like a crash: without handlers, these signals kill the process."""

    async def scenario() -> None:
        environment = _environment(tmp_path, number)
        async with program(tmp_path, Discovery(), settings(deadline_ms=300), environment=environment) as relay:
            device = await LineDevice.connect(relay.ports[0])
            assert await device.ask("PING") in ("PONG", "ERR")
            device.writer.close()
            assert await relay.stop() == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
@pytest.mark.parametrize("arguments", [[], ["serve"]], ids=["no verb", "serve"])
def test_a_stop_signal_during_the_start_ends_the_process_with_status_0(
    tmp_path: Path, number: signal.Signals, arguments: list[str]
) -> None:
    """Guards against a planned stop that looks like a crash."""
    done = subprocess.run(
        [sys.executable, "-m", "gradefront", *arguments],
        env={**os.environ, **_environment(tmp_path, number)},
        capture_output=True,
        text=True,
        timeout=HANG_TIMEOUT_S,
        check=False,
    )
    assert done.returncode == 0 and not done.stderr
