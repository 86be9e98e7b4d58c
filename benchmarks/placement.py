"""Cost of placing a request and of starting the relay: this checkout compared with others, in alternating runs.

`python -m benchmarks.placement [CHECKOUT ...]` prints a Markdown table whose first row is this checkout. Each round
starts each checkout's relay anew, with three backends; devices connect one after the other, are served and
disconnect.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import tempfile
import time
from collections import defaultdict
from pathlib import Path

from lab.stand_ins import CHECKOUT, Discovery, LineDevice, StandInBackend, program, settings, soon

from .quic_flood import cpu_s, resident_kb

ROUNDS = 8
WARMUP_DEVICES = 50  # devices served before the measurement begins
DEVICES = 400  # devices measured in a round


async def serve_device(port: int) -> None:
    """Connect a device, wait until it is served, and disconnect it."""
    device = await LineDevice.connect(port)
    device.open(d=4000)
    assert (await device.line()).startswith("UP")
    device.writer.close()


async def run_round(tree: Path) -> dict[str, float]:
    """Run one round with the checkout `tree`.

    Return CPU microseconds and wall-clock microseconds per placement, CPU seconds up to the first one, and memory in
    MB.
    """
    discovery, backends = Discovery(), [StandInBackend(lambda _: "UP r-1") for _ in range(3)]
    for number, backend in enumerate(backends):
        discovery.add(f"box-{number}", await backend.open())
    with tempfile.TemporaryDirectory() as folder:
        async with program(Path(folder), discovery, settings(deadline_ms=4000), tree=tree) as relay:
            await soon(discovery.asked.wait())
            await serve_device(relay.ports[0])
            start_s = cpu_s(relay.process.pid)
            for _ in range(WARMUP_DEVICES):
                await serve_device(relay.ports[0])
            cpu_before_s, began = cpu_s(relay.process.pid), time.monotonic()
            for _ in range(DEVICES):
                await serve_device(relay.ports[0])
            used_s, elapsed_s = cpu_s(relay.process.pid) - cpu_before_s, time.monotonic() - began
            return {
                "cpu_us": used_s / DEVICES * 1e6,
                "start_s": start_s,
                "memory_mb": resident_kb(relay.process.pid) / 1024,
                "wall_us": elapsed_s / DEVICES * 1e6,
            }


async def main(trees: list[Path]) -> None:
    """Run all rounds, alternating the order of the checkouts, and print the table."""
    rounds: dict[Path, list[dict[str, float]]] = defaultdict(list)
    for number in range(ROUNDS):
        for tree in trees if number % 2 else trees[::-1]:
            rounds[tree].append(await run_round(tree))
    print("| checkout | CPU per placement, median (minimum) | wall time per placement | CPU of a start | memory |")
    print("| --- | --- | --- | --- | --- |")
    for tree in trees:
        cpu_us, wall_us, start_s, memory_mb = (
            statistics.median(r[n] for r in rounds[tree]) for n in ("cpu_us", "wall_us", "start_s", "memory_mb")
        )
        least_us = min(r["cpu_us"] for r in rounds[tree])
        print(
            f"| {tree.name} | {cpu_us:.0f} us ({least_us:.0f}) | {wall_us:.0f} us | {start_s:.3f} s "
            f"| {memory_mb:.1f} MB |"
        )


if __name__ == "__main__":
    asyncio.run(main([CHECKOUT, *(Path(name).resolve() for name in sys.argv[1:])]))
