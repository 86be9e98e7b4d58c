"""Connection set-up of honest devices during a flood of Initials with spoofed source addresses.

Measures how many devices are served, how fast, and how many spoofed connections reach the backends.
`python -m benchmarks.quic_flood [RATE ...]` prints a Markdown table.
"""

from __future__ import annotations

import asyncio
import json
import os
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from lab.quic import Device, QuicBackend, file_of
from lab.stand_ins import Discovery, program, settings, soon
from lab.waiting import within

IN_TIME_S = 0.5  # longest set-up time that counts as in time
HONEST_DEVICES = 60
DEVICE_INTERVAL_S = 0.05  # between two honest devices: 20 per second
KEY = {"sequence": 1, "key": "00112233445566778899aabbccddeeff", "iv": "000102030405060708090a0b"}


def resident_kb(pid: int) -> int:
    """Return a process's resident memory in KB."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") // 1024


def cpu_s(pid: int) -> float:
    """Return the CPU seconds of a process, by the scheduler's clock: clock ticks are too coarse for short runs."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


async def set_up(listener: tuple[str, int], devices: list[Device], timeout_s: float) -> float:
    """Set up one device, and add it to `devices`. Return the seconds until it is served, at most `timeout_s`."""
    device = Device(listener)
    devices.append(device)
    began = time.monotonic()
    await device.start()
    try:
        await within(timeout_s, device.ask("hello"))
        return time.monotonic() - began
    except TimeoutError:
        return timeout_s


async def run_flood(rate: float, retry: str, timeout_s: float = 1.5) -> dict[str, Any]:
    """Run a flood of `rate` Initials per second (0 for none), with `retry` as retry.mode. Return the measurements."""
    keys = {KEY["sequence"]: (KEY["key"], KEY["iv"])}
    backends = [QuicBackend(f"box-{n}", bytes([7, n]), token_keys=keys if retry != "never" else {}) for n in range(3)]
    discovery = Discovery()
    for backend in backends:
        await backend.open()
        discovery.add(backend.name, backend.port)
    retry_settings: dict[str, Any] = {"mode": retry, "keys": [KEY]} if retry != "never" else {}
    with tempfile.TemporaryDirectory() as folder:
        async with program(Path(folder), discovery, settings(), file_of(backends, retry=retry_settings)) as relay:
            await soon(discovery.asked.wait())
            listener = ("127.0.0.1", relay.ports[1])
            pid = relay.process.pid
            flooder = None
            if rate:
                flooder = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "lab.flood",
                    listener[0],
                    str(listener[1]),
                    str(rate),
                    "5",
                    stdout=asyncio.subprocess.PIPE,
                )
                await asyncio.sleep(1.2)  # until the flooder has its sockets and the listener is under pressure
            memory_before_kb, cpu_before_s, began = resident_kb(pid), cpu_s(pid), time.monotonic()
            devices: list[Device] = []
            set_ups = []
            for _ in range(HONEST_DEVICES):
                set_ups.append(asyncio.ensure_future(set_up(listener, devices, timeout_s)))
                await asyncio.sleep(DEVICE_INTERVAL_S)
            set_up_times_s = await asyncio.gather(*set_ups)
            cpu_load = (cpu_s(pid) - cpu_before_s) / (time.monotonic() - began)
            memory_growth_kb = resident_kb(pid) - memory_before_kb
            sent_rate = json.loads((await flooder.communicate())[0])["rate"] if flooder else 0
            counts = await relay.counters()
            for device in devices:
                device.close()
            for backend in backends:
                backend.wire.close()
    served = [t for t in set_up_times_s if t < timeout_s]
    return {
        "rate": sent_rate,
        "retry": retry,
        "served": len(served),
        "in_time": sum(t < IN_TIME_S for t in set_up_times_s),
        "median_ms": round(statistics.median(set_up_times_s) * 1000),
        "worst_ms": round(max(set_up_times_s) * 1000),
        "spoofed": sum(len(b.connections) for b in backends) - len(devices),
        "cpu": round(cpu_load, 2),
        "memory_growth_kb": memory_growth_kb,
        "counts": counts,
    }


async def main(rates: list[float]) -> None:
    """Run a flood for each rate and retry mode, and print the table."""
    print(
        "| Initials/s | Retry | served in 1.5 s | in 500 ms | median | worst | spoofed at backends | CPU | memory |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for rate in rates:
        for retry in ("never", "auto", "always"):
            r = await run_flood(rate, retry)
            print(
                f"| {r['rate']:.0f} | {retry} | {r['served']} of {HONEST_DEVICES} | {r['in_time']} "
                f"| {r['median_ms']} ms | {r['worst_ms']} ms | {r['spoofed']} | {r['cpu']:.0%} "
                f"| {r['memory_growth_kb']:+} KB |",
                flush=True,
            )
            if "-v" in sys.argv:
                print(r["counts"])


if __name__ == "__main__":
    asyncio.run(main([float(a) for a in sys.argv[1:] if a != "-v"] or [0, 1_000, 5_000]))
