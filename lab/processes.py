"""Figures of processes from the system, and the start of processes of hostile peers."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path
from typing import Any

from .stand_ins import CHECKOUT


def memory_mb(pid: int, name: str) -> float:
    """Return a figure of a process's status, VmRSS or VmHWM (the peak), in MB. Raises OSError if it has ended."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(name + ":"):
            return int(line.split()[1]) / 1024
    return 0.0


def cpu_s(pid: int) -> float:
    """Return the CPU seconds that a process has used. Raises OSError if it has ended."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def descriptors(pid: int) -> int:
    """Return how many descriptors a process holds. Raises OSError if it has ended."""
    return len(os.listdir(f"/proc/{pid}/fd"))


async def start_peers(
    kind: str, where: object, seconds: float, endpoint_list: dict[str, Any]
) -> asyncio.subprocess.Process:
    """Start hostile peers, which wait for a line."""
    return await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "lab.hostile_peers", kind, str(where), str(seconds)),
        cwd=CHECKOUT,
        env=os.environ | {"ENDPOINT_LIST": json.dumps(endpoint_list)},
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
