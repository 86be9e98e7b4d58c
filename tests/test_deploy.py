"""Tests of the platform's requirements on the `run` line, as far as they can be checked without the platform."""

from __future__ import annotations

import asyncio
import os
import sys
import tomllib
from pathlib import Path

from lab.stand_ins import settings

from .test_service import running_service

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


def test_run_execs_a_dynamically_linked_program_in_a_single_process() -> None:
    assert DEPLOY["run"].startswith("exec ") and not set(";&|") & set(DEPLOY["run"])
    assert b"/ld-linux" in Path(sys.executable).resolve().read_bytes(), "the interpreter is not dynamically linked"
    assert set(DEPLOY) >= {"build", "run", "sim", "policy", "node"}
    assert all((ROOT / path).exists() for path in (*DEPLOY["policy"], *DEPLOY["node"]))


def test_a_running_relay_has_no_child_processes_and_no_unix_sockets(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_service(tmp_path, ["UP r-1"], settings(probes=True), admin=True) as service:
            device = await service.device()
            device.open()
            assert await device.line() == "UP r-1"
            pid = service.relay.process.pid
            assert Path(f"/proc/{pid}/task/{pid}/children").read_text() == ""
            links = {os.readlink(fd) for fd in Path(f"/proc/{pid}/fd").iterdir()}
            unix = {f"socket:[{line.split()[6]}]" for line in Path("/proc/net/unix").read_text().splitlines()[1:]}
            assert any(link.startswith("socket:") for link in links) and not links & unix

    asyncio.run(scenario())
