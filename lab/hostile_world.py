"""The processes, backends and hostile peers of a round of `lab.hostile`, and an oracle that judges from outside."""

from __future__ import annotations

import asyncio
import json
import re
import socket
from collections import Counter, defaultdict
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any

from .hostile_peers import HOST, KINDS
from .processes import cpu_s, descriptors, memory_mb, start_peers
from .quic import QuicBackend, file_of
from .replacement_world import Backend, World
from .stand_ins import Program, soon

BACKENDS = 10
CHANGED_BACKENDS = 6  # in one change of the list
QUIC_SHARE = 0.3  # of the rounds; a process with the QUIC front on can't be replaced
PLAY_S = (1.0, 4.0)  # range of the duration of one kind of hostile peers
MAX_LINE_S = 1.0  # until a standing client's line is answered
MAX_LATE_S = 0.1  # from a client's close until the last moment at which its request may be sent on
MAX_MEMORY_MB = 128.0  # of one process, at its peak
REST_DESCRIPTORS = 40  # of a process whose clients have all left
REST_S = 15.0  # until it is at rest
RETIRED_S = 2.0  # from a backend's removal from the list to its end
# Its lines are answered by backends in this process, whose event loop would then be what is late.
NOT_PLAYED = ("lines-b-standing",)


def way_of(kind: str) -> str:
    """Return the way in that a kind of hostile peers uses."""
    return kind.split("-")[0]


class HostileWorld(World):
    """One round. `octets` and `relay_cpu_s` are those of the time in which hostile peers play."""

    backend_count = BACKENDS

    def __init__(self, seed: int, folder: Path, trees: Sequence[Path]) -> None:
        super().__init__(seed, folder, trees)
        self.has_quic = self.random.random() < QUIC_SHARE
        self.quic_backends = [QuicBackend(f"box-{n}", bytes([7, n])) for n in range(3)] if self.has_quic else []
        self.came_s: defaultdict[str, list[float]] = defaultdict(list)
        self.closed_s: dict[str, float] = {}  # when hostile clients closed, by request id
        self.made: Counter[str] = Counter()  # by kind
        self.octets = 0
        self.relay_cpu_s = 0.0
        self.slowest_line_s = 0.0
        self.peak_mb = 0.0
        self.names = iter(f"late-{number}" for number in range(10_000))
        self.retired: dict[str, Backend] = {}
        self.retiring: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> HostileWorld:
        for backend in self.quic_backends:
            await backend.open()
        await super().__aenter__()
        return self

    async def __aexit__(self, *exception: object) -> None:
        await asyncio.gather(*self.retiring)
        await super().__aexit__(*exception)
        for backend in self.quic_backends:
            backend.wire.close()

    def program_options(self) -> dict[str, Any]:
        """Return the options for an admin interface, and for the QUIC front in some rounds."""
        return {"admin": True, "quic": file_of(self.quic_backends) if self.has_quic else None}

    def on_execution(self, request_id: str) -> None:
        """Record when a backend has received a request."""
        super().on_execution(request_id)
        self.came_s[request_id].append(self.now())

    def on_reply(self, request_id: str, seconds: float) -> None:
        """Check how long a standing client waited for the reply to a line."""
        self.slowest_line_s = max(self.slowest_line_s, seconds)
        if seconds > MAX_LINE_S:
            self.break_rule(f"a line on the connection of {request_id} was answered after {seconds:.2f} s")

    def find_backend(self, name: str) -> Backend | None:
        """Return the backend of a name, listed or not."""
        return self.backends.get(name) or self.retired.get(name)

    # ---- troubles

    async def change_list(self) -> None:
        """Replace six in ten of the listed backends by new ones."""
        leaving = self.random.sample(sorted(self.backends), CHANGED_BACKENDS)
        self.note(f"the list changes: {', '.join(leaving)} leave")
        for _ in leaving:
            name = next(self.names)
            await self._open_backend(name)
            self.discovery.publish(name, "SERVING")
        for name in leaving:
            backend = self.retired[name] = self.backends.pop(name)
            self.discovery.publish(name, "DELETED")
            del self.discovery.members[name]
            backend.drained_s = None if self.discovery.held else self.now()
            self.retiring.append(asyncio.ensure_future(self._retire(backend.kill)))

    async def _retire(self, kill: Any) -> None:
        await asyncio.sleep(RETIRED_S)
        kill()

    # ---- hostile peers

    def drawn_kind(self) -> str:
        """Return a kind of hostile peers that can be played in this round."""
        played = [kind for kind in KINDS if kind not in NOT_PLAYED and (self.has_quic or way_of(kind) != "quic")]
        return self.random.choice(played)

    async def play_kind(self, kind: str) -> None:
        """Let hostile peers of a kind play for some seconds."""
        seconds = self.random.uniform(*PLAY_S)
        self.note(f"{kind} for {seconds:.1f} s")
        if way_of(kind) == "list":
            await self._play_discovery(kind, seconds)
        else:
            await self._play_peers(kind, await self._target(kind), seconds)

    async def _target(self, kind: str) -> object:
        way = kind.split("-")[0]
        if way == "quic":
            return await self._quic_port(self.current)
        return {
            "lines": self.port,
            "admin": self.current.admin_port,
            "handover": self.folder / "gradefront.handover",
        }[way]

    async def _quic_port(self, relay: Program) -> int:
        while True:
            for line in relay.log:
                if match := re.search(r"quic front listens on \S+:(\d+)", line):
                    return int(match.group(1))
            await asyncio.sleep(0.05)

    async def _play_peers(self, kind: str, where: object, seconds: float) -> None:
        peers = await start_peers(kind, where, seconds, self.discovery.list())
        outcome = json.loads((await soon(peers.communicate(b"\n")))[0])
        self.made[kind] += outcome["made"]
        self.octets += outcome["octets"]
        self.closed_s |= outcome["closed_s"]

    async def _play_discovery(self, kind: str, seconds: float) -> None:
        """Let the current process watch a hostile discovery for some seconds."""
        if self.discovery.held:
            return
        with socket.socket() as reserved:
            reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            reserved.bind((HOST, 0))
            port = reserved.getsockname()[1]
            self.discovery.held, self.discovery.released = True, asyncio.Event()  # the relay hears of no drains now
            try:
                playing = asyncio.ensure_future(self._play_peers(kind, port, seconds))
                await asyncio.sleep(0.5)
                relays = [self._watch_at(port)]
                await playing
                relays.append(self._watch_at(self.discovery.port))
            finally:
                self.discovery.release()
        self.note(f"process {relays[0]} watches the usual discovery again")

    def _watch_at(self, port: int) -> int:
        """Have the current process watch discovery at a port. Return its process id."""
        relay = self.current
        self.reload(relay, discovery=f"{HOST}:{port}")
        return relay.process.pid

    # ---- the oracle

    def sample(self) -> float:
        """Take note of the memory of all processes that run. Return their CPU seconds."""
        used_s = 0.0
        for relay in self.programs:
            with suppress(OSError):
                self.peak_mb = max(self.peak_mb, memory_mb(relay.process.pid, "VmHWM"))
                used_s += cpu_s(relay.process.pid)
        return used_s

    def check_load(self) -> None:
        """Check the memory, and what was sent on for clients that had left."""
        if self.peak_mb > MAX_MEMORY_MB:
            self.break_rule(f"a process took {self.peak_mb:.0f} MB")
        for name, times in self.came_s.items():
            late_s = max(times) - self.closed_s.get(name, max(times))
            if late_s > MAX_LATE_S:
                self.break_rule(f"request {name} was sent on {late_s:.2f} s after its client had closed")

    async def check_rest(self) -> None:
        """Check that the current process gives its descriptors back after its clients have left."""
        until_s = self.now() + REST_S
        while (held := descriptors(self.current.process.pid)) > REST_DESCRIPTORS:
            if self.now() > until_s:
                self.break_rule(f"{held} descriptors are held {REST_S:.0f} s after all clients have left")
                return
            await asyncio.sleep(0.1)
