"""What reading the figures costs, and how late an answer is, while devices come, talk and leave in a crowd.

`python -m benchmarks.scrape` prints a Markdown table.
A round is 4 s of the same crowd, with and without a reader in turns.
"""

from __future__ import annotations

import asyncio
import statistics
import tempfile
import time
from itertools import count
from pathlib import Path

from lab.stand_ins import Discovery, LineDevice, Program, StandInBackend, program, settings, soon

from .quic_flood import cpu_s

ROUND_S = 4.0
ROUNDS = 6  # with and without a reader in turns
STANDING = 150
COMING_S = 0.01  # between two devices that come, say a line, and leave
TALK_S = 0.2  # between two lines of one that stands
SCRAPE_S = 0.1  # ten times as often as operators read
HOLDERS = 10  # callers that hold the door without a whole call


async def stands(relay: Program) -> LineDevice:
    """A device whose connection stands."""
    device = await LineDevice.connect(relay.ports[0])
    device.open(d=4000)
    assert (await device.line()).startswith("UP")
    return device


async def crowd(relay: Program, devices: list[LineDevice], until: float) -> int:
    """Devices talk, others come and go; how many arrived."""

    async def talk(device: LineDevice) -> None:
        while time.monotonic() < until:
            device.write_line("x")
            await device.line()
            await asyncio.sleep(TALK_S)

    async def connection() -> None:
        device = await stands(relay)
        device.writer.close()

    talking = [asyncio.ensure_future(talk(device)) for device in devices]
    coming: list[asyncio.Future[None]] = []
    for arrived in count():
        if time.monotonic() >= until:
            await asyncio.gather(*talking, *coming)
            return arrived
        coming.append(asyncio.ensure_future(connection()))
        await asyncio.sleep(COMING_S)
    raise AssertionError


async def scrape(relay: Program, until: float, took: list[float]) -> None:
    """Read the figures again and again, beside callers that only hold the door (for the 3 s that it bears them)."""
    holders = [await asyncio.open_connection("127.0.0.1", relay.admin_port) for _ in range(HOLDERS)]
    while time.monotonic() < until:
        began = time.monotonic()
        await relay.metrics()
        took.append(time.monotonic() - began)
        await asyncio.sleep(SCRAPE_S)
    for _, writer in holders:
        writer.close()


async def main() -> None:
    """All rounds."""
    backend, discovery = StandInBackend(lambda _: "UP r-1"), Discovery()
    discovery.add("box-0", await backend.open())
    with tempfile.TemporaryDirectory() as folder:
        async with program(Path(folder), discovery, settings(deadline_ms=4000), admin=True) as relay:
            await soon(discovery.asked.wait())
            devices = [await stands(relay) for _ in range(STANDING)]
            print("| reader | devices arrived | CPU of the relay | a device | reads | median | worst |")
            print("| --- | --- | --- | --- | --- | --- | --- |")
            for number in range(ROUNDS):
                reads: list[float] = []
                until, before = time.monotonic() + ROUND_S, cpu_s(relay.process.pid)
                reader = asyncio.ensure_future(scrape(relay, until, reads)) if number % 2 else None
                arrived = await crowd(relay, devices, until)
                if reader:
                    await reader
                used = cpu_s(relay.process.pid) - before
                shown = (
                    f"{len(reads)} | {statistics.median(reads) * 1e3:.1f} ms | {max(reads) * 1e3:.1f} ms"
                    if reads
                    else "- | - | -"
                )
                print(
                    f"| {'yes' if number % 2 else 'no'} | {arrived} | {used / ROUND_S:.1%} | "
                    f"{used / arrived * 1e6:.0f} us | {shown} |"
                )


if __name__ == "__main__":
    asyncio.run(main())
