"""What usual clients and the process notice of hostile peers, on each way into the relay.

`python -m lab.hostile [--tree TREE] [--seconds S] [KIND ...]` plays kinds of `lab.hostile_peers` (all by default) one
after the other, each with a relay process of its own, and prints a Markdown row for each: the slowest answer to a
usual client's line and to a new client's request while calm, during the play and in the 5 s after it, the process's
memory before the play, at its peak and after it, its CPU share during the play, and how many requests were sent on
over 0.1 s after their client had closed, or were sent to backends twice.

`python -m lab.hostile FIRST COUNT [--tree TREE]` plays COUNT seeded rounds of `lab.hostile_rounds` and prints a line
for each; the exit status is 1 if one broke a rule.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import logging
import random
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from .hostile_peers import HOST, KINDS
from .hostile_rounds import play_all
from .processes import cpu_s, memory_mb, start_peers
from .quic import QuicBackend, file_of
from .stand_ins import CHECKOUT, Discovery, LineDevice, Program, StandInBackend, program, settings, soon
from .waiting import within

CALM_S, AFTER_S = 2.0, 5.0
STANDING_CLIENTS = 3
LINE_INTERVAL_S, REQUEST_INTERVAL_S = 0.05, 0.1
GIVE_UP_S = 5.0
MAX_LATE_S = 0.1  # from a client's close until the last moment at which its request may be sent on
HEADER = (
    "| kind | slowest line, ms: calm, during, after | slowest request, ms | not answered | memory, MB: before, peak,"
    " after | CPU | made | sent on late | twice |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |"
)


class RecordingBackend(StandInBackend):
    """A backend that records when each request line came, by connection id."""

    def __init__(self, came_s: dict[str, list[float]]) -> None:
        super().__init__(self._answer)
        self.came_s = came_s

    def _answer(self, line: str) -> str:
        self.came_s.setdefault(line.split()[1], []).append(time.monotonic())
        return "UP r-1"


@dataclass
class Phase:
    """What the usual clients saw in one phase. Times are in seconds."""

    lines: list[float] = field(default_factory=lambda: [0.0])
    requests: list[float] = field(default_factory=lambda: [0.0])
    unanswered: int = 0


class UsualClients:
    """Clients with standing connections, and new ones that come and go."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.phase = Phase()
        self.tasks: list[asyncio.Task[None]] = []

    async def begin(self) -> None:
        """Establish the standing connections and start to measure."""
        for _ in range(STANDING_CLIENTS):
            client = await LineDevice.connect(self.port)
            client.open(d=4_000)
            assert (await client.line()).startswith("UP")
            self.tasks.append(asyncio.create_task(self._send_lines(client)))
        self.tasks.append(asyncio.create_task(self._come_and_go()))

    async def end(self) -> None:
        """Stop measuring."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _send_lines(self, client: LineDevice) -> None:
        while True:
            began_s = time.monotonic()
            try:
                answer = await within(GIVE_UP_S, client.ask("hello"))
            except (TimeoutError, OSError):
                answer = ""
            self.phase.lines.append(time.monotonic() - began_s)
            if answer != "re:hello":
                self.phase.unanswered += 1
                return
            await asyncio.sleep(LINE_INTERVAL_S)

    async def _come_and_go(self) -> None:
        while True:
            began_s, answer = time.monotonic(), ""
            with suppress(TimeoutError, OSError):
                client = await LineDevice.connect(self.port)
                client.open(d=4_000)
                answer = await within(GIVE_UP_S, client.line())
                client.writer.close()
            self.phase.requests.append(time.monotonic() - began_s)
            self.phase.unanswered += not answer.startswith("UP")
            await asyncio.sleep(random.uniform(0.5, 1.5) * REQUEST_INTERVAL_S)


@asynccontextmanager
async def relay(
    kind: str, tree: Path, seconds: float, came_s: dict[str, list[float]]
) -> AsyncIterator[tuple[Program, asyncio.subprocess.Process]]:
    """Start a relay with three backends, and the hostile peers."""
    way = kind.split("-")[0]
    discovery: Any = Discovery()
    backends = [RecordingBackend(came_s) for _ in range(3)]
    quic_backends = [QuicBackend(f"box-{n}", bytes([7, n])) for n in range(3)] if way == "quic" else []
    for number, backend in enumerate(backends):
        discovery.add(f"box-{number}", await backend.open())
    for quic_backend in quic_backends:
        await quic_backend.open()
    with tempfile.TemporaryDirectory() as name, socket.socket() as reserved:
        folder = Path(name)
        if way == "list":
            reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            reserved.bind((HOST, 0))
            port = reserved.getsockname()[1]
            server = SimpleNamespace(close=lambda: None)
            discovery = SimpleNamespace(serves=True, port=port, server=server, list=discovery.list)
            peers = await start_peers(kind, port, seconds, discovery.list())
            await asyncio.sleep(0.5)
        listener = socket.create_server((HOST, 0)) if way == "handover" else None
        async with program(
            folder,
            discovery,
            settings(deadline_ms=4_000),
            quic=file_of(quic_backends) if quic_backends else None,
            admin=way == "admin",
            listener=listener,
            shared=folder if listener else None,
            tree=tree,
        ) as running:
            log = asyncio.create_task(read_log(running))
            if way != "list":
                where = target(way, running, folder)
                peers = await start_peers(kind, where, seconds, discovery.list())
            yield running, peers
            log.cancel()


def target(way: str, running: Program, folder: Path) -> object:
    """Return where the hostile peers of a way in connect."""
    return {
        "lines": running.ports[0],
        "admin": running.admin_port,
        "handover": folder / "gradefront.handover",
        "quic": running.ports[-1],
    }[way]


async def read_log(running: Program) -> None:
    """Read the relay's log, so that its pipe does not fill."""
    assert running.process.stderr
    while await running.process.stderr.readline():
        pass


async def play(kind: str, tree: Path, seconds: float) -> str:
    """Play one kind and return its row."""
    came_s: dict[str, list[float]] = {}
    async with relay(kind, tree, seconds, came_s) as (running, peers):
        pid = running.process.pid
        await asyncio.sleep(0.5)
        clients = UsualClients(running.ports[0])
        await soon(clients.begin())
        phases = [clients.phase]
        await asyncio.sleep(CALM_S)
        before_mb, before_s = memory_mb(pid, "VmRSS"), cpu_s(pid)
        clients.phase = Phase()
        phases.append(clients.phase)
        outcome = json.loads((await soon(peers.communicate(b"\n")))[0])
        used = (cpu_s(pid) - before_s) / seconds if running.process.returncode is None else 0.0
        clients.phase = Phase()
        phases.append(clients.phase)
        await asyncio.sleep(AFTER_S)
        await clients.end()
        if running.process.returncode is not None:
            return f"| {kind} | the process has ended with {running.process.returncode} |"
        memory = f"{before_mb:.0f}, {memory_mb(pid, 'VmHWM'):.0f}, {memory_mb(pid, 'VmRSS'):.0f}"
    closed_s = outcome["closed_s"]
    late = sum(any(at_s - closed_s.get(name, at_s) > MAX_LATE_S for at_s in times) for name, times in came_s.items())
    twice = sum(len(times) > 1 for times in came_s.values())
    cells = (kind, *phase_cells(phases), memory, f"{used:.2f}", outcome["made"], late, twice)
    return f"| {' | '.join(map(str, cells))} |"


def phase_cells(phases: list[Phase]) -> tuple[str, str, str]:
    """Return the slowest lines, the slowest requests and the number of unanswered ones, each for all phases."""
    return (
        ", ".join(f"{max(phase.lines) * 1e3:.0f}" for phase in phases),
        ", ".join(f"{max(phase.requests) * 1e3:.0f}" for phase in phases),
        ", ".join(str(phase.unanswered) for phase in phases),
    )


async def main(kinds: list[str], tree: Path, seconds: float) -> None:
    """Play the kinds one after the other and print the rows."""
    print(HEADER)
    for kind in kinds:
        print(await play(kind, tree, seconds), flush=True)


def play_seeds(first: int, count: int, tree: Path) -> int:
    """Play the rounds of seeds from `first` on. Return the exit status."""
    worlds = asyncio.run(play_all(range(first, first + count), (tree,)))
    kept = sum(not world.broken for world in worlds)
    print(f"{kept} of {count} kept")
    return int(kept < count)


def run() -> int:
    """Run the command line. Return the exit status."""
    parser = argparse.ArgumentParser(prog="python -m lab.hostile", description=__doc__)
    parser.add_argument("played", nargs="*", metavar="KIND, or FIRST COUNT")
    parser.add_argument("--tree", type=Path, default=CHECKOUT)
    parser.add_argument("--seconds", type=float, default=6.0)
    given = parser.parse_args()
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    tree = given.tree.resolve()
    if given.played and all(word.isdigit() for word in given.played):
        first, count = map(int, given.played)
        return play_seeds(first, count, tree)
    asyncio.run(main(given.played or list(KINDS), tree, given.seconds))
    return 0


if __name__ == "__main__":
    sys.exit(run())
