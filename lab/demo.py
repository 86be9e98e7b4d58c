"""`gradefront demo`: run a relay, backends and clients on loopback and report the events.

The exit status is 0 if every client was served, the draining backend got no new requests, and the relay stopped with
status 0.
"""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
import time
from pathlib import Path

from .quic import Device, QuicBackend
from .quic import file_of as quic_file
from .stand_ins import Discovery, LineDevice, Program, StandInBackend, program, settings, soon

BACKENDS = 3
DEVICES_PER_KIND = 4  # number of clients of each kind that connect in each phase


class ProgressLog:
    """Progress reports on standard output, and the number of failures."""

    def __init__(self) -> None:
        self.start_s = time.monotonic()
        self.failures = 0

    def report(self, text: str) -> None:
        """Print one line, with the time since the start."""
        print(f"{time.monotonic() - self.start_s:6.2f} s  {text}", flush=True)


class DemoEnvironment:
    """A relay, backends that speak the line protocol and QUIC, the discovery service, and clients."""

    def __init__(self, progress: ProgressLog) -> None:
        self.progress = progress
        self.discovery = Discovery()
        self.line_backends = [StandInBackend(lambda _, n=n: f"UP box-{n}") for n in range(BACKENDS)]  # type: ignore[misc]
        self.quic_backends = [QuicBackend(f"box-{n}", bytes([7, n])) for n in range(BACKENDS)]
        self.relay: Program
        self.devices: list[Device] = []
        self.line_devices: list[LineDevice] = []

    async def add_devices(self, phase: str) -> None:
        """Connect clients of each kind, send a request on each, and report which backends served them."""
        served: dict[str, int] = {}
        for n in range(DEVICES_PER_KIND):
            line_device = await LineDevice.connect(self.relay.ports[0])
            self.line_devices.append(line_device)
            line_device.open()
            answer = await line_device.line()
            if answer.startswith("UP "):
                served[answer[3:]] = served.get(answer[3:], 0) + 1
            else:
                self.progress.failures += 1
                self.progress.report(f"a line-protocol client got '{answer}' instead of a backend")
            device = Device(("127.0.0.1", self.relay.ports[1]))
            self.devices.append(device)
            await device.start()
            reply = (await device.ask(f"visit {n}")).decode()
            served[reply.split()[0]] = served.get(reply.split()[0], 0) + 1
            # Simulate a phone that changes networks: new address and connection id, same connection.
            await device.hop(fresh=True)
            assert (await device.ask(f"visit {n}, from another address")).decode().split()[0] == reply.split()[0]
        summary = ", ".join(f"{backend} {count}" for backend, count in sorted(served.items()))
        self.progress.report(
            f"{DEVICES_PER_KIND} line-protocol and {DEVICES_PER_KIND} QUIC clients connected {phase}: {summary}"
        )


async def run_demo(folder: Path, progress: ProgressLog) -> dict[str, int]:
    """Run all phases of the demo. Return the relay's counters before it stops."""
    environment = DemoEnvironment(progress)
    for line_backend, quic in zip(environment.line_backends, environment.quic_backends, strict=True):
        await quic.open()
        environment.discovery.add(quic.name, await line_backend.open())
    async with program(
        folder, environment.discovery, settings(), quic_file(environment.quic_backends)
    ) as environment.relay:
        await soon(environment.discovery.asked.wait())
        progress.report(
            f"a relay serves the line protocol on port {environment.relay.ports[0]} and QUIC on port "
            f"{environment.relay.ports[1]}; the endpoint list has {BACKENDS} backends"
        )
        await environment.add_devices("before any fault")
        before = len(environment.quic_backends[0].connections), len(environment.line_backends[0].first_lines)
        environment.discovery.publish("box-0", "DRAINING")
        progress.report(
            "box-0 is draining: it gets no new requests; its established connections continue until they migrate"
        )
        await environment.relay.line("backend box-0 is draining")
        await environment.add_devices("while box-0 was draining")
        after = len(environment.quic_backends[0].connections), len(environment.line_backends[0].first_lines)
        progress.report(f"box-0 got {after[0] + after[1] - before[0] - before[1]} new requests while draining")
        environment.line_backends[1].kill()
        environment.quic_backends[1].wire.close()
        progress.report("box-1 was killed without notice")
        await environment.add_devices("after box-1 was killed")
        counts = await environment.relay.counters()
        for device in environment.devices:
            device.close()
        for line_device in environment.line_devices:
            line_device.writer.close()
        status = await environment.relay.stop()
        progress.report(f"the relay stopped after SIGTERM, with status {status}")
        if status or after != before:
            progress.failures += 1
        for backend in environment.quic_backends:
            backend.wire.close()
    return counts


def main() -> int:
    """Run the demo. Return the exit status."""
    progress = ProgressLog()
    with tempfile.TemporaryDirectory() as folder:
        counts = asyncio.run(run_demo(Path(folder), progress))
    progress.report("counters: " + json.dumps(counts))
    return 1 if progress.failures else 0


if __name__ == "__main__":
    sys.exit(main())
