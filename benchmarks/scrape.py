"""Cost and response time of reading the metrics while many devices connect, exchange messages and disconnect.

`python -m benchmarks.scrape` prints a Markdown table. Each round has the same load for ROUND_S seconds; rounds with
and without a metrics reader alternate.
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
ROUNDS = 6  # alternately without and with a reader
ESTABLISHED_DEVICES = 150
ARRIVAL_INTERVAL_S = 0.01  # between two devices that connect, are served, and disconnect
MESSAGE_INTERVAL_S = 0.2  # between two lines of an established device
SCRAPE_INTERVAL_S = 0.1  # ten times as often as operators read
IDLE_CALLERS = 10  # connections to the admin interface that send no complete call


async def established_device(relay: Program) -> LineDevice:
    """Connect a device and wait until it is served."""
    device = await LineDevice.connect(relay.ports[0])
    device.open(d=4000)
    assert (await device.line()).startswith("UP")
    return device


async def generate_load(relay: Program, devices: list[LineDevice], until: float) -> int:
    """Exchange messages with the established devices and connect short-lived ones. Return how many of these."""

    async def exchange_messages(device: LineDevice) -> None:
        while time.monotonic() < until:
            device.write_line("x")
            await device.line()
            await asyncio.sleep(MESSAGE_INTERVAL_S)

    async def connect_briefly() -> None:
        device = await established_device(relay)
        device.writer.close()

    exchanges = [asyncio.ensure_future(exchange_messages(device)) for device in devices]
    arrivals: list[asyncio.Future[None]] = []
    for arrived in count():
        if time.monotonic() >= until:
            await asyncio.gather(*exchanges, *arrivals)
            return arrived
        arrivals.append(asyncio.ensure_future(connect_briefly()))
        await asyncio.sleep(ARRIVAL_INTERVAL_S)
    raise AssertionError


async def scrape(relay: Program, until: float, response_times_s: list[float]) -> None:
    """Read the metrics repeatedly and record the response times.

    Meanwhile idle callers occupy the admin interface, for the 3 s after which it closes incomplete calls.
    """
    idle_callers = [await asyncio.open_connection("127.0.0.1", relay.admin_port) for _ in range(IDLE_CALLERS)]
    while time.monotonic() < until:
        began = time.monotonic()
        await relay.metrics()
        response_times_s.append(time.monotonic() - began)
        await asyncio.sleep(SCRAPE_INTERVAL_S)
    for _, writer in idle_callers:
        writer.close()


async def main() -> None:
    """Run all rounds and print the table."""
    backend, discovery = StandInBackend(lambda _: "UP r-1"), Discovery()
    discovery.add("box-0", await backend.open())
    with tempfile.TemporaryDirectory() as folder:
        async with program(Path(folder), discovery, settings(deadline_ms=4000), admin=True) as relay:
            await soon(discovery.asked.wait())
            devices = [await established_device(relay) for _ in range(ESTABLISHED_DEVICES)]
            print("| reader | devices arrived | CPU of the relay | CPU per device | reads | median | worst |")
            print("| --- | --- | --- | --- | --- | --- | --- |")
            for number in range(ROUNDS):
                response_times_s: list[float] = []
                until, cpu_before_s = time.monotonic() + ROUND_S, cpu_s(relay.process.pid)
                reader = asyncio.ensure_future(scrape(relay, until, response_times_s)) if number % 2 else None
                arrived = await generate_load(relay, devices, until)
                if reader:
                    await reader
                used_s = cpu_s(relay.process.pid) - cpu_before_s
                read_columns = (
                    f"{len(response_times_s)} | {statistics.median(response_times_s) * 1e3:.1f} ms "
                    f"| {max(response_times_s) * 1e3:.1f} ms"
                    if response_times_s
                    else "- | - | -"
                )
                print(
                    f"| {'yes' if number % 2 else 'no'} | {arrived} | {used_s / ROUND_S:.1%} | "
                    f"{used_s / arrived * 1e6:.0f} us | {read_columns} |"
                )


if __name__ == "__main__":
    asyncio.run(main())
