"""A fleet of real relay processes before test backends in slow start, and clients that come back as a crowd."""

from __future__ import annotations

import asyncio
import signal
import time
from collections import Counter
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from random import Random

from .town import PATIENCE_S, Discovery, LineDevice, Program, program, settings
from .warm_up import Fall, SlowStartRules, WarmingBackend, WarmUp

AIM_MS, DEADLINE_MS = 800, 4800
LOOK_S = 0.02  # between two looks at a count
RETURN_S = (0.058, 0.9)  # clients come back so long after a break
NO_ADVICE_S = 0.3  # and so long after a refusal without advice


@dataclass(frozen=True)
class Scene:
    """What is played."""

    relays: int = 6
    warm: int = 6
    cold: int = 3
    cold_age_s: float = 5.0  # of cold backends as the relays start
    fills: float = 50.0  # mean connections that fill a backend
    work: float = 5_600.0  # of a connection, as backends tell it: microseconds a second
    short: float = 0.0  # the part of connections that backends end soon
    rules: SlowStartRules = field(default_factory=SlowStartRules)
    seed: int = 1


class Fleet:
    """Relays, backends, discovery and clients of one scene. Used as a context."""

    def __init__(self, scene: Scene, folder: Path) -> None:
        self.scene = scene
        self.folder = folder
        self.random = Random(scene.seed)
        self.discovery = Discovery()
        self.backends: dict[str, WarmingBackend] = {}
        self.warm_ups: list[WarmUp] = []
        self.relays: dict[str, Program] = {}
        self.sent_by: dict[str, str] = {}  # the relay that got a request, by its id
        self.answers: Counter[str] = Counter()
        self.standing = 0
        self.clients: set[asyncio.Task[None]] = set()
        self.stack = AsyncExitStack()
        self.starts = count()
        self.ports: dict[str, int] = {}

    async def __aenter__(self) -> Fleet:
        scene = self.scene
        for number in range(scene.warm):
            await self.add_backend(f"warm-{number}", 0.0)
        for number in range(scene.cold):
            await self.add_backend(f"cold-{number}", time.time() - scene.cold_age_s)
        await asyncio.gather(*(self.start_relay(f"n{number}") for number in range(scene.relays)))
        return self

    async def __aexit__(self, *exception: object) -> None:
        for client in self.clients:
            client.cancel()
        await asyncio.gather(*self.clients, return_exceptions=True)
        for backend in self.backends.values():
            backend.kill()
        await self.stack.aclose()

    # ---- backends

    async def add_backend(self, name: str, started_s: float) -> None:
        """A backend begins to serve, or comes back under its name; relays are told. 0: it started long ago."""
        scene = self.scene
        warm_up = WarmUp(name, scene.rules, started_s, scene.fills)
        reply = f"UP r-1\r\nLOAD {scene.work}"
        backend = self.backends[name] = WarmingBackend(warm_up, time.time, self._sender, reply)
        backend.short = scene.short
        self.warm_ups.append(warm_up)
        self.discovery.add(name, await backend.open())
        self.discovery.members[name]["up_since_ms"] = int(started_s * 1000)
        self.discovery.tell(name, "SERVING")

    def kill_backend(self, name: str) -> None:
        """It ends without a word; discovery does not know yet."""
        self.backends[name].kill()

    def _sender(self, request: str) -> tuple[str, bool]:
        return self.sent_by.get(request, "nobody"), True

    @property
    def falls(self) -> list[Fall]:
        """Falls that break the rule."""
        return [warm_up.fall for warm_up in self.warm_ups if warm_up.fall and warm_up.fall.breaks_rule]

    # ---- relays

    async def start_relay(self, name: str) -> None:
        """Start a relay's process."""
        scene = self.scene
        home = self.folder / f"{name}-{next(self.starts)}"
        home.mkdir()
        told = settings(AIM_MS, DEADLINE_MS, probes=True)
        told["rules"] |= scene.rules.settings()
        told["fleetSize"] = scene.relays
        told["position"] = int(name.removeprefix("n"))
        relay = await self.stack.enter_async_context(program(home, self.discovery, told, name=name))
        self.relays[name], self.ports[name] = relay, relay.ports[0]
        self.stack.push_async_callback(self._drain_log, asyncio.ensure_future(self._read_log(relay)))

    async def _read_log(self, relay: Program) -> None:
        assert relay.process.stderr
        while raw := await relay.process.stderr.readline():
            relay.log.append(raw.decode().rstrip())

    async def _drain_log(self, reading: asyncio.Task[None]) -> None:
        reading.cancel()
        await asyncio.gather(reading, return_exceptions=True)

    async def restart_relay(self, name: str, number: signal.Signals) -> None:
        """End a relay's process by a signal, and start it again under its name."""
        relay = self.relays.pop(name)
        if number is signal.SIGKILL:
            del self.ports[name]
        relay.process.send_signal(number)
        await asyncio.wait_for(relay.process.wait(), PATIENCE_S)
        self.ports.pop(name, None)
        await self.start_relay(name)

    # ---- clients

    def come(self, clients: int, within_s: float) -> None:
        """So many clients come, spread over a time, and stay until the end."""
        for _ in range(clients):
            task = asyncio.ensure_future(self._client(self.random.uniform(0, within_s)))
            self.clients.add(task)

    async def _client(self, wait_s: float) -> None:
        came_back = False
        while True:
            await asyncio.sleep(wait_s)
            wait_s = self.random.uniform(*RETURN_S)
            if not self.ports:
                continue
            name = self.random.choice(sorted(self.ports))
            with suppress(ConnectionError):
                wait_s = await self._ask(name, came_back, wait_s)
            came_back = True

    async def _ask(self, relay: str, came_back: bool, wait_s: float) -> float:
        """One connection, to its end; how long the client waits then."""
        device = await LineDevice.connect(self.ports[relay])
        try:
            self.sent_by[f"{device.id:016x}"] = relay
            device.open(d=DEADLINE_MS, more=",again=1" if came_back else "")
            answer = await device.line()
            self.answers[answer.split()[0] if answer else "nothing"] += 1
            if answer.startswith("UP"):
                self.standing += 1
                try:
                    while await device.reader.readline() not in (b"", b"MOVE\r\n"):
                        pass
                finally:
                    self.standing -= 1
            elif answer.startswith("BUSY "):
                return float(answer.split()[1]) / 1000
            elif answer:
                return NO_ADVICE_S
            return wait_s
        finally:
            device.writer.close()

    async def stand(self, clients: int) -> None:
        """Wait until so many clients are served."""
        async with asyncio.timeout(PATIENCE_S):
            while self.standing < clients:
                await asyncio.sleep(LOOK_S)
