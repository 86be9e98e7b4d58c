"""The processes, backends and discovery of a round of `lab.replacement`, and the troubles that befall them."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass
from itertools import count
from pathlib import Path
from random import Random
from typing import Any, Self

from .stand_ins import Discovery, Program, StandInBackend, program, settings
from .waiting import within

BACKENDS = 4
DEADLINE_MS = 4_000
KILL_AFTER_S = 3.7  # from SIGTERM to the platform's SIGKILL: the longest deadline, at most 3 s, and 0.7 s
READY_S = 6.0  # from the start of a process until it must accept clients
DRAIN_GRACE_S = 0.5 + 0.3  # after it, nothing new goes to a draining backend; 0.3 s for a busy machine
HANDOVER_TROUBLE_PROBABILITY = 0.6
POLL_S = 0.01
KILL_SETTLED_S = 0.5  # after a kill, replies that the client had not read yet have arrived
KINDS = ("complete",) * 5 + ("restart",) + ("killed early", "killed when ready", "killed in the handover")


@dataclass(frozen=True)
class Kill:
    """A process that was killed, and the connections that this may end, in seconds of the monotonic clock."""

    at_s: float
    started_s: float  # what came from then on may have been accepted by this process
    is_handover: bool  # what stood may have been handed over to this process

    def may_end(self, opened_s: float, heard_s: float) -> bool:
        """Return whether the kill may have ended a connection that was opened, and last heard of, at these times."""
        may_be_its_own = self.is_handover or opened_s >= self.started_s
        return may_be_its_own and opened_s <= self.at_s and heard_s <= self.at_s + KILL_SETTLED_S


class Backend(StandInBackend):
    """A backend that records its requests, and may hang or be draining."""

    def __init__(self, world: World, name: str) -> None:
        super().__init__(self._answer)
        self.world = world
        self.name = name
        self.hangs = False
        self.is_dead = False
        self.drained_s: float | None = None  # since when the relay has been told that this backend drains

    def _answer(self, line: str) -> str | None:
        request_id = line.split()[1]
        self.world.on_execution(request_id)
        if self.drained_s is not None and self.world.now() - self.drained_s > DRAIN_GRACE_S:
            self.world.break_rule(f"request {request_id} came to {self.name} after its drain")
        return None if self.hangs else f"UP {self.name}"

    def kill(self) -> None:
        """Reset all connections and stop listening."""
        self.is_dead = True
        super().kill()


class World:
    """The processes, backends and discovery of one round, as an async context manager."""

    backend_count = BACKENDS

    def __init__(self, seed: int, folder: Path, trees: Sequence[Path]) -> None:
        self.seed = seed
        self.folder = folder
        self.trees = trees
        self.random = Random(seed)
        self.is_ending = False
        self.broken: list[str] = []
        self.events: list[str] = []
        self.counts: Counter[str] = Counter()
        self.executions: Counter[str] = Counter()  # by request id
        self.kills: list[Kill] = []
        self.handover_troubles: list[Callable[[], Awaitable[None]]] = [self.restart_backend]
        self.effect_changed_s = 0.0
        self.is_unsafe = False
        self.backends: dict[str, Backend] = {}
        self.discovery = Discovery()
        self.stack = AsyncExitStack()
        self.starts = count()
        self.programs: list[Program] = []
        self.homes: dict[int, Path] = {}  # by process id
        self.log_readers: list[asyncio.Task[None]] = []
        self.began_s = self.now()

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def note(self, event: str) -> None:
        """Add an event to the trace."""
        self.events.append(f"{self.now() - self.began_s:7.3f} {event}")

    def break_rule(self, rule: str) -> None:
        """Record a broken rule."""
        self.note(f"BROKEN {rule}")
        self.broken.append(f"{rule}, after {self.now() - self.began_s:.1f} s")

    def on_execution(self, request_id: str) -> None:
        """Record that a backend has received a request."""
        self.executions[request_id] += 1

    def find_backend(self, name: str) -> Backend | None:
        """Return the backend of a name."""
        return self.backends.get(name)

    def on_reply(self, request_id: str, seconds: float) -> None:
        """Take note of how long a standing client waited for the reply to a line."""

    def program_options(self) -> dict[str, Any]:
        """Return further options of `program` for each process."""
        return {}

    async def __aenter__(self) -> Self:
        self.listener = self.stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=512))
        self.port = int(self.listener.getsockname()[1])
        for number in range(self.backend_count):
            await self._open_backend(f"box-{number}")
        self.known = json.loads(json.dumps(self.discovery.list()))  # as the configuration has it at the first start
        self.current = await self._start()
        await self._await_ready(self.current)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.is_ending = True
        await self.stack.aclose()
        for backend in self.backends.values():
            backend.kill()
        await asyncio.gather(*self.log_readers, return_exceptions=True)

    # ---- processes

    async def _start(self) -> Program:
        number = next(self.starts)
        home = self.folder / f"process-{number}"
        home.mkdir()
        relay = await self.stack.enter_async_context(
            program(
                home,
                self.discovery,
                self._settings(),
                listener=self.listener,
                shared=self.folder,
                known=self.known,
                tree=self.trees[number % len(self.trees)],
                **self.program_options(),
            )
        )
        self.programs.append(relay)
        self.homes[relay.process.pid] = home
        self.log_readers.append(asyncio.ensure_future(self._read_log(relay)))
        self.note(f"process {relay.process.pid} started")
        return relay

    def _settings(self) -> dict[str, Any]:
        told = settings(deadline_ms=DEADLINE_MS, maxAttempts=4)
        for request_class in told["grades"]:
            request_class["semantics"] = "unsafe" if self.is_unsafe else "safe"
        return told

    async def _read_log(self, relay: Program) -> None:
        assert relay.process.stderr
        while raw := await relay.process.stderr.readline():
            relay.log.append(raw.decode().rstrip())

    async def _await_ready(self, relay: Program) -> bool:
        until_s = self.now() + READY_S
        while self.now() < until_s:
            if any("accepts clients on inherited descriptor" in line for line in relay.log):
                return True
            await asyncio.sleep(POLL_S)
        self.break_rule(f"process {relay.process.pid} did not accept clients within {READY_S} s")
        return False

    async def replace(self) -> None:
        """Replace the current process, or give the replacement up at a drawn moment."""
        kind = self.random.choice(KINDS)
        self.counts[kind] += 1
        self.note(f"replacement: {kind}")
        if kind == "restart":
            await self._end(self.current)
            self.current = await self._start()
            await self._await_ready(self.current)
            return
        started_s = self.now()
        new = await self._start()
        if kind == "killed early":
            await asyncio.sleep(self.random.uniform(0, 0.8))
            await self._kill(new, started_s, is_handover=False)
            return
        await self._await_ready(new)
        if kind == "killed when ready":
            await asyncio.sleep(self.random.uniform(0, 0.1))
            await self._kill(new, started_s, is_handover=False)
            return
        old, self.current = self.current, new
        ending = asyncio.ensure_future(self._end(old))
        if self.random.random() < HANDOVER_TROUBLE_PROBABILITY:
            await asyncio.sleep(self.random.uniform(0, 0.2))
            await self.random.choice(self.handover_troubles)()
        if kind == "killed in the handover":
            await asyncio.sleep(self.random.uniform(0, 0.2))
            await self._kill(new, started_s, is_handover=True)
            self.current = await self._start()
            await self._await_ready(self.current)
        await ending

    async def _kill(self, relay: Program, started_s: float, is_handover: bool) -> None:
        self.kills.append(Kill(self.now(), started_s, is_handover))
        self.note(f"process {relay.process.pid} killed")
        relay.process.kill()
        await relay.process.wait()

    async def _end(self, relay: Program) -> None:
        """End a process with SIGTERM, and check that it has ended before the platform's SIGKILL."""
        if relay.process.returncode is not None:
            self.break_rule(
                f"process {relay.process.pid} had ended by itself, with status {relay.process.returncode}"
            )
            return
        self.note(f"SIGTERM to process {relay.process.pid}")
        signalled_s = self.now()
        relay.process.send_signal(signal.SIGTERM)
        try:
            status = await within(KILL_AFTER_S, relay.process.wait())
            if status:
                self.break_rule(f"process {relay.process.pid} ended with status {status}")
            self.note(f"process {relay.process.pid} ended {self.now() - signalled_s:.3f} s after SIGTERM")
        except TimeoutError:
            self.break_rule(f"process {relay.process.pid} was still running {KILL_AFTER_S} s after SIGTERM")
            await self._kill(relay, 0.0, is_handover=True)

    async def stop(self) -> None:
        """End the last process."""
        await self._end(self.current)

    def check_logs(self) -> None:
        """Check that no process logged a traceback."""
        for relay in self.programs:
            for line in relay.log:
                if "Traceback" in line or " ERROR " in line:
                    self.break_rule(f"process {relay.process.pid} logged {line!r}")

    def trace(self) -> list[str]:
        """Return the events of the round, and all logs."""
        return [*self.events, *(f"{p.process.pid}: {line}" for p in self.programs for line in p.log)]

    # ---- troubles

    async def _open_backend(self, name: str) -> None:
        backend = Backend(self, name)
        self.discovery.add(name, await backend.open())
        self.backends[name] = backend

    def _drawn_backend(self) -> Backend:
        return self.random.choice(list(self.backends.values()))

    async def restart_backend(self) -> None:
        """Kill a backend, and start it again under its name at another port."""
        backend = self._drawn_backend()
        self.note(f"{backend.name} dies")
        backend.kill()
        await asyncio.sleep(self.random.uniform(0.1, 0.5))
        await self._open_backend(backend.name)
        self.discovery.publish(backend.name, "SERVING")

    async def drain_backend(self) -> None:
        """Drain a backend for a while; its drain is checked only while discovery can tell the relay."""
        backend = self._drawn_backend()
        self.note(f"{backend.name} drains")
        self.discovery.publish(backend.name, "DRAINING")
        if not self.discovery.held:
            backend.drained_s = self.now()
        await asyncio.sleep(self.random.uniform(0.5, 2.0))
        backend.drained_s = None
        self.note(f"{backend.name} serves again")
        self.discovery.publish(backend.name, "SERVING")

    async def hang_backend(self) -> None:
        """Let a backend give no answers to requests for a while."""
        backend = self._drawn_backend()
        self.note(f"{backend.name} hangs")
        backend.hangs = True
        await asyncio.sleep(self.random.uniform(0.2, 1.0))
        backend.hangs = False

    async def lose_discovery(self) -> None:
        """Cut all watches, and answer no new ones for some seconds."""
        self.note("discovery is away")
        self.discovery.held, self.discovery.released = True, asyncio.Event()
        self._cut_watches()
        await asyncio.sleep(self.random.uniform(0.2, 3.0))
        self.discovery.release()
        self.note("discovery is back")

    def _cut_watches(self) -> None:
        watches, self.discovery.watches = self.discovery.watches, []
        for writer in watches:
            with suppress(OSError):
                writer.transport.abort()

    async def reload_with_other_effect(self) -> None:
        """Send SIGHUP to the current process with the other effect of all classes."""
        relay = self.current
        if not self.has_handlers(relay):
            return
        self.is_unsafe = not self.is_unsafe
        self.effect_changed_s = self.now()
        self.reload(relay, settings=self._settings())
        self.note(f"SIGHUP to process {relay.process.pid}, classes {'unsafe' if self.is_unsafe else 'safe'}")

    @staticmethod
    def has_handlers(relay: Program) -> bool:
        """Return whether a process handles signals. One that has just been started would be ended by SIGHUP."""
        return relay.process.returncode is None and bool(relay.log)

    def reload(self, relay: Program, **changed: object) -> None:
        """Change fields of a process's configuration, and send it SIGHUP, if it handles signals by now."""
        if not self.has_handlers(relay):
            return
        file = self.homes[relay.process.pid] / "config.json"
        document = json.loads(file.read_text())
        written = file.with_suffix(".new")
        written.write_text(json.dumps(document | changed))
        written.replace(file)  # the process may be reading it, for an earlier SIGHUP
        with suppress(ProcessLookupError):
            relay.process.send_signal(signal.SIGHUP)

    async def end_troubles(self) -> None:
        """Let everything serve, so that the clients' last checks can be answered."""
        self.discovery.release()
        for backend in self.backends.values():
            backend.hangs, backend.drained_s = False, None
