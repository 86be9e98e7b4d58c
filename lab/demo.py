"""`gradefront demo`: a small town on loopback, told as it happens. Status 0 if every device was served."""

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

BOXES = 3
EACH = 4  # devices of each kind, before and after each trouble


class Story:
    """What is told, with the time since the start."""

    def __init__(self) -> None:
        self.began = time.monotonic()
        self.unserved = 0

    def tell(self, text: str) -> None:
        """One line."""
        print(f"{time.monotonic() - self.began:6.2f} s  {text}", flush=True)


class Small:
    """Backends that speak lines and QUIC, the list of them, and a relay."""

    def __init__(self, story: Story) -> None:
        self.story = story
        self.discovery = Discovery()
        self.lines = [StandInBackend(lambda line, n=n: f"UP box-{n}") for n in range(BOXES)]  # type: ignore[misc]
        self.quics = [QuicBackend(f"box-{n}", bytes([7, n])) for n in range(BOXES)]
        self.relay: Program
        self.devices: list[Device] = []
        self.line_devices: list[LineDevice] = []

    async def come(self, why: str) -> None:
        """Some devices of each kind come, and ask something."""
        served: dict[str, int] = {}
        for n in range(EACH):
            line = await LineDevice.connect(self.relay.ports[0])
            self.line_devices.append(line)
            line.open()
            answer = await line.line()
            if answer.startswith("UP "):
                served[answer[3:]] = served.get(answer[3:], 0) + 1
            else:
                self.story.unserved += 1
                self.story.tell(f"a device on lines was told '{answer}'")
            device = Device(("127.0.0.1", self.relay.ports[1]))
            self.devices.append(device)
            await device.start()
            said = (await device.ask(f"visit {n}")).decode()
            served[said.split()[0]] = served.get(said.split()[0], 0) + 1
            await device.hop(fresh=True)  # the phone leaves its network: new address, new id, same connection
            assert (await device.ask(f"visit {n}, from another address")).decode().split()[0] == said.split()[0]
        told = ", ".join(f"{backend} {count}" for backend, count in sorted(served.items()))
        self.story.tell(f"{EACH} devices on lines and {EACH} on QUIC came {why}: {told}")


async def play(folder: Path, story: Story) -> dict[str, int]:
    """The whole story; the relay's counters at its end."""
    town = Small(story)
    for lines, quic in zip(town.lines, town.quics, strict=True):
        await quic.open()
        town.discovery.add(quic.name, await lines.open())
    async with program(folder, town.discovery, settings(), quic_file(town.quics)) as town.relay:
        await soon(town.discovery.asked.wait())
        story.tell(
            f"a relay serves lines on port {town.relay.ports[0]} and QUIC on port {town.relay.ports[1]}; "
            f"{BOXES} push boxes are listed"
        )
        await town.come("in calm")
        before = len(town.quics[0].connections), len(town.lines[0].first_lines)
        town.discovery.tell("box-0", "DRAINING")
        story.tell("box-0 drains: it gets nothing new, what stands there goes on until it is moved")
        await town.relay.line("backend box-0 is draining")
        await town.come("while box-0 drains")
        after = len(town.quics[0].connections), len(town.lines[0].first_lines)
        story.tell(f"box-0 got {after[0] + after[1] - before[0] - before[1]} new visits since")
        town.lines[1].kill()
        town.quics[1].wire.close()
        story.tell("box-1 is killed without a word")
        await town.come("after that")
        counts = await town.relay.counters()
        for device in town.devices:
            device.close()
        for line in town.line_devices:
            line.writer.close()
        status = await town.relay.stop()
        story.tell(f"the relay left when told, with status {status}")
        if status or after != before:
            story.unserved += 1
        for backend in town.quics:
            backend.wire.close()
    return counts


def main() -> int:
    """Run the demo."""
    story = Story()
    with tempfile.TemporaryDirectory() as folder:
        counts = asyncio.run(play(Path(folder), story))
    story.tell("counters: " + json.dumps(counts))
    return 1 if story.unserved else 0


if __name__ == "__main__":
    sys.exit(main())
