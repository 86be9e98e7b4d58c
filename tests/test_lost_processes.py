"""Three relay processes under traffic while they are killed, stopped and reconfigured.

Meanwhile backends are silent, reject, fail or reset. Checked from outside: each request gets exactly one complete
final answer, and none is forwarded after its client has disconnected.
"""

from __future__ import annotations

import asyncio
import re
import signal
import time
from collections import Counter
from contextlib import AsyncExitStack, suppress
from itertools import count
from pathlib import Path

from lab.stand_ins import BUSY_S, Discovery, LineDevice, Program, StandInBackend, program, settings, soon
from lab.waiting import within

CLIENTS, REQUESTS = 12, 12  # concurrent clients, and requests of each
TIMEOUT_MS = 1500
LEFT_S = 0.1  # an attempt may start at most this long after its client has disconnected
MAX_ATTEMPTS = 4
FINAL_ANSWER = re.compile(r"UP r-1|BUSY( \d+)?|ERR")
#: Behaviour of the faulty backend, request by request, in a cycle.
FAULTS = ["UP r-1", None, "reset", "close", "BUSY", "ERR", "UP r-1", "UP, then reset", "half", "reset"]


class RecordingBackend(StandInBackend):
    """A backend that records when each request arrived."""

    def __init__(self, faults: list[str | None]) -> None:
        super().__init__(self._answers)
        self.faults = faults
        self.numbers = count()
        self.arrivals: list[tuple[str, float]] = []

    def _answers(self, line: str) -> str | None:
        self.arrivals.append((line[5:21], time.monotonic()))
        fault = self.faults[next(self.numbers) % len(self.faults)]
        writer = self.writers[-1]
        if fault == "reset":
            writer.transport.abort()
            return None
        if fault == "UP, then reset":
            writer.write(b"UP r-1\r\n")
            asyncio.get_running_loop().call_soon(writer.transport.abort)
            return None
        if fault == "half":
            writer.write(b"UP r-")
            return "close"
        return fault


class Relays:
    """Three relay processes, each of which may be down for a while."""

    def __init__(self, stack: AsyncExitStack, folder: Path, discovery: Discovery) -> None:
        self.stack, self.folder, self.discovery = stack, folder, discovery
        self.up: dict[str, Program] = {}
        self.killed: set[int] = set()  # ports of processes that were ended by SIGKILL
        self.starts = count()

    async def start(self, name: str) -> None:
        home = self.folder / f"{name}-{next(self.starts)}"
        home.mkdir()
        self.up[name] = await self.stack.enter_async_context(
            program(home, self.discovery, settings(deadline_ms=2500, maxAttempts=MAX_ATTEMPTS), name=name)
        )

    def port(self, number: int) -> int:
        programs = list(self.up.values())
        return programs[number % len(programs)].ports[0]

    async def restart(self, name: str, number: signal.Signals) -> None:
        """End a relay by a signal, and start it again."""
        relay = self.up.pop(name)
        if number is signal.SIGKILL:
            self.killed.add(relay.ports[0])
        relay.process.send_signal(number)
        assert relay.process.stderr
        await soon(relay.process.stderr.read())
        status = await soon(relay.process.wait())
        assert number is signal.SIGKILL or status == 0
        await self.start(name)


class Clients:
    """All clients, and the answers that they received."""

    def __init__(self, relays: Relays) -> None:
        self.relays = relays
        self.answers: Counter[str] = Counter()
        self.left: dict[str, float] = {}  # when a client that did not wait disconnected, by its connection id
        self.done = 0
        self.progress = asyncio.Condition()

    async def ask(self, number: int) -> None:
        """Send one request to a relay that is up."""
        port = self.relays.port(number)
        try:
            device = await LineDevice.connect(port)
        except ConnectionError:
            self.answers["not accepted"] += 1
            return
        try:
            started_s = time.monotonic()
            device.open(d=TIMEOUT_MS)
            if number % 7 == 0:
                await device.writer.drain()
                device.writer.close()
                self.left[f"{device.id:016x}"] = time.monotonic()
                self.answers["left"] += 1
                return
            await self.check_answer(device, started_s, port)
        finally:
            device.writer.close()

    async def check_answer(self, device: LineDevice, started_s: float, port: int) -> None:
        """Check that a complete final answer arrives in time, and that nothing follows a rejection or failure."""
        answer = ""
        with suppress(ConnectionError):
            answer = await device.line()
        if not answer:
            assert port in self.relays.killed, "request got no answer"
            self.answers["relay killed"] += 1
            return
        assert FINAL_ANSWER.fullmatch(answer), f"{answer!r} is not a final answer"
        assert time.monotonic() - started_s < TIMEOUT_MS / 1000 + BUSY_S, "answer is late"
        self.answers[answer.split()[0]] += 1
        if not answer.startswith("UP"):
            assert await device.line() == "", "data after the final answer"
            return
        with suppress(ConnectionError):  # its backend reset the connection, or its relay was killed
            assert await device.ask("where are you") in ("re:where are you", "MOVE", "")

    async def run(self, number: int) -> None:
        """Send requests one after another."""
        for request in range(number, number + REQUESTS * CLIENTS, CLIENTS):
            await self.ask(request)
            async with self.progress:
                self.done += 1
                self.progress.notify_all()

    async def until(self, done: int) -> None:
        """Wait until this many requests are done."""
        async with self.progress:
            await self.progress.wait_for(lambda: self.done >= done)


def test_each_request_gets_one_answer_while_relays_restart_and_backends_fail(tmp_path: Path) -> None:
    async def scenario() -> None:
        backends = [RecordingBackend(["UP r-1"]), RecordingBackend(FAULTS), RecordingBackend([None, "UP r-1"])]
        discovery = Discovery()
        async with AsyncExitStack() as stack:
            for n, backend in enumerate(backends):
                discovery.add(f"box-{n}", await backend.open())
                stack.callback(backend.server.close)
            relays = Relays(stack, tmp_path, discovery)
            for name in ("n0", "n1", "n2"):
                await relays.start(name)
            clients = Clients(relays)
            running = asyncio.gather(*(clients.run(n) for n in range(CLIENTS)))
            await soon(clients.until(20))
            relays.up["n0"].process.send_signal(signal.SIGHUP)
            discovery.publish("box-1", "DRAINING")
            await relays.restart("n1", signal.SIGKILL)
            await soon(clients.until(60))
            discovery.publish("box-1", "SERVING")
            await relays.restart("n2", signal.SIGTERM)
            await soon(clients.until(90))
            await relays.restart("n0", signal.SIGTERM)
            await within(120, running)
            assert sum(clients.answers.values()) == CLIENTS * REQUESTS, clients.answers
            assert clients.answers["UP"] > CLIENTS * REQUESTS / 2, clients.answers
            arrivals = [entry for backend in backends for entry in backend.arrivals]
            attempts = Counter(request for request, _ in arrivals)
            assert max(attempts.values()) <= MAX_ATTEMPTS
            late = [at - clients.left[request] for request, at in arrivals if request in clients.left]
            assert all(later < LEFT_S + BUSY_S for later in late), "forwarded after its client had disconnected"
            for relay in relays.up.values():
                assert "exceptions" not in await relay.counters()

    asyncio.run(scenario())
