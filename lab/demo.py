"""`gradefront demo`: a relay, backends and devices on loopback, narrated. Status 0 if every device was served."""

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
DEVICES_PER_KIND = 4  # before and after each fault


class Story:
    """The narration, with the time since the start."""

    def __init__(self) -> None:
        self.began_s = time.monotonic()
        self.unserved = 0

    def narrate(self, text: str) -> None:
        """Prints one line."""
        print(f"{time.monotonic() - self.began_s:6.2f} s  {text}", flush=True)


class Stage:
    """Backends that speak lines and QUIC, the list of them, and a relay."""

    def __init__(self, story: Story) -> None:
        self.story = story
        self.discovery = Discovery()
        self.lines = [StandInBackend(lambda _, n=n: f"UP box-{n}") for n in range(BACKENDS)]  # type: ignore[misc]
        self.quics = [QuicBackend(f"box-{n}", bytes([7, n])) for n in range(BACKENDS)]
        self.relay: Program
        self.devices: list[Device] = []
        self.line_devices: list[LineDevice] = []

    async def add_devices(self, why: str) -> None:
        """Connects devices of each kind, each of which asks something; narrates who served them."""
        served: dict[str, int] = {}
        for n in range(DEVICES_PER_KIND):
            line = await LineDevice.connect(self.relay.ports[0])
            self.line_devices.append(line)
            line.open()
            answer = await line.line()
            if answer.startswith("UP "):
                served[answer[3:]] = served.get(answer[3:], 0) + 1
            else:
                self.story.unserved += 1
                self.story.narrate(f"a device on lines was told '{answer}'")
            device = Device(("127.0.0.1", self.relay.ports[1]))
            self.devices.append(device)
            await device.start()
            reply = (await device.ask(f"visit {n}")).decode()
            served[reply.split()[0]] = served.get(reply.split()[0], 0) + 1
            await device.hop(fresh=True)  # the phone leaves its network: new address, new id, same connection
            assert (await device.ask(f"visit {n}, from another address")).decode().split()[0] == reply.split()[0]
        summary = ", ".join(f"{backend} {count}" for backend, count in sorted(served.items()))
        self.story.narrate(
            f"{DEVICES_PER_KIND} devices on lines and {DEVICES_PER_KIND} on QUIC came {why}: {summary}"
        )


async def play(folder: Path, story: Story) -> dict[str, int]:
    """Plays all of it. Returns the relay's counters at its end."""
    stage = Stage(story)
    for lines, quic in zip(stage.lines, stage.quics, strict=True):
        await quic.open()
        stage.discovery.add(quic.name, await lines.open())
    async with program(folder, stage.discovery, settings(), quic_file(stage.quics)) as stage.relay:
        await soon(stage.discovery.asked.wait())
        story.narrate(
            f"a relay serves lines on port {stage.relay.ports[0]} and QUIC on port {stage.relay.ports[1]}; "
            f"{BACKENDS} push boxes are listed"
        )
        await stage.add_devices("in calm")
        before = len(stage.quics[0].connections), len(stage.lines[0].first_lines)
        stage.discovery.publish("box-0", "DRAINING")
        story.narrate("box-0 drains: it gets nothing new, what stands there goes on until it is moved")
        await stage.relay.line("backend box-0 is draining")
        await stage.add_devices("while box-0 drains")
        after = len(stage.quics[0].connections), len(stage.lines[0].first_lines)
        story.narrate(f"box-0 got {after[0] + after[1] - before[0] - before[1]} new visits since")
        stage.lines[1].kill()
        stage.quics[1].wire.close()
        story.narrate("box-1 is killed without a word")
        await stage.add_devices("after that")
        counts = await stage.relay.counters()
        for device in stage.devices:
            device.close()
        for line in stage.line_devices:
            line.writer.close()
        status = await stage.relay.stop()
        story.narrate(f"the relay left when told, with status {status}")
        if status or after != before:
            story.unserved += 1
        for backend in stage.quics:
            backend.wire.close()
    return counts


def main() -> int:
    """Runs the demo. Returns the exit status."""
    story = Story()
    with tempfile.TemporaryDirectory() as folder:
        counts = asyncio.run(play(Path(folder), story))
    story.narrate("counters: " + json.dumps(counts))
    return 1 if story.unserved else 0


if __name__ == "__main__":
    sys.exit(main())
