"""A fleet of real relay processes before test backends in slow start, and clients that come back as a crowd."""

from __future__ import annotations

import asyncio
import math
import os
import signal
import threading
import time
from collections import Counter
from collections.abc import Sequence
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from random import Random
from typing import NamedTuple

from .fault_proxy import FaultProxy, Faults
from .slow_start_oracle import Fall, SlowStartRules, WarmingBackend, WarmUp
from .stand_ins import BUSY_S, HANG_TIMEOUT_S, Discovery, LineDevice, Program, program, settings

OBJECTIVE_MS, DEADLINE_MS = 800, 4800
POLL_S = 0.02  # between two looks at a count
RECONNECT_S = (0.058, 0.9)  # range of the wait after a break
MAX_DEADLINE_S = 3.0  # a longer one counts as this where the platform kills a relay
KILL_GRACE_S = 0.7  # after the deadline
LONGEST_REST_S = 2.0  # of a client on a connection without a request
HOLD_UP_INTERVAL_S = (0.2, 0.9)  # range of the time between two hold-ups of a relay
MAX_HOLD_UP_S = 0.15  # by the operators' pages
NO_RETRY_AFTER_S = 0.3  # wait after a rejection without a Retry-After


@dataclass(frozen=True)
class Scene:
    """The parameters of one run. Shares are from 0 to 1."""

    relays: int = 6
    warm: int = 6  # backends
    warming: int = 3  # backends
    warming_age_s: float = 5.0  # as the relays start
    full_connections: float = 50.0  # mean connections that fill a backend
    work: float = 5_600.0  # of a connection, as backends report it, in microseconds a second
    short_share: float = 0.0  # of connections, that backends end soon
    rules: SlowStartRules = field(default_factory=SlowStartRules)
    seed: int = 1
    faults: Faults = field(default_factory=Faults)
    lag_s: float = 0.0  # of load reports
    spread: float = 0.0  # of `full_connections`, up and down
    line_s: float = 0.4  # between two lines of a served client
    deadline_ms: int = DEADLINE_MS
    kill_slack_s: float = BUSY_S  # after SIGTERM, from the earliest moment of SIGKILL to that of the run
    resting_share: float = 0.0  # of connections, that wait before they make their request
    signal_series: bool = False  # several relays are ended at once, and each gets several signals
    hold_ups: bool = False  # a relay that ends is stopped now and then, as by a machine that gives it no core

    @property
    def kill_after_s(self) -> float:
        """From SIGTERM to SIGKILL."""
        return min(MAX_DEADLINE_S, self.deadline_ms / 1000) + KILL_GRACE_S + self.kill_slack_s


class LaterSignal(NamedTuple):
    """A signal that a relay gets while it ends, so long after the first."""

    number: signal.Signals
    after_s: float


async def _signal_later(relay: Program, later: LaterSignal) -> None:
    await asyncio.sleep(later.after_s)
    with suppress(ProcessLookupError):
        os.kill(relay.process.pid, later.number)  # the process's own call may reap it unseen by the loop


def _hold_up(process: int, random: Random) -> None:
    """Stops a process, given by a descriptor, now and then until it has ended. Blocks: for a thread of its own, since
    the loop may be late."""
    with suppress(ProcessLookupError):
        while True:
            time.sleep(random.uniform(*HOLD_UP_INTERVAL_S))
            signal.pidfd_send_signal(process, signal.SIGSTOP)
            time.sleep(random.uniform(0, MAX_HOLD_UP_S))
            signal.pidfd_send_signal(process, signal.SIGCONT)
    os.close(process)


class Fleet:
    """Relays, backends, discovery and clients of one scene, as an async context manager."""

    def __init__(self, scene: Scene, folder: Path) -> None:
        self.scene = scene
        self.folder = folder
        self.random = Random(scene.seed)
        self.discovery = Discovery()
        self.backends: dict[str, WarmingBackend] = {}
        self.warm_ups: list[WarmUp] = []
        self.relays: dict[str, Program] = {}
        self.programs: list[tuple[str, Program]] = []  # relays by name, ended ones too
        self.sent_by: dict[str, str] = {}  # the relay that got a request, by its id
        self.arrived: set[str] = set()  # ids of requests that reached a backend
        self.answers: Counter[str] = Counter()  # by first word
        self.served_clients = 0
        self.clients: set[asyncio.Task[None]] = set()
        self.log_readers: list[asyncio.Task[None]] = []
        self.stack = AsyncExitStack()
        self.starts = count()
        self.ports: dict[str, int] = {}
        self.proxies: dict[str, FaultProxy] = {}
        self.killed_relays: set[int] = set()  # ports of processes that were killed outright
        self.signalled_s: dict[int, float] = {}  # by port: when its process was told to end
        self.violations: list[str] = []  # promises to clients that relays broke

    async def __aenter__(self) -> Fleet:
        scene = self.scene
        for number in range(scene.warm):
            await self.add_backend(f"warm-{number}", 0.0)
        for number in range(scene.warming):
            await self.add_backend(f"cold-{number}", time.time() - scene.warming_age_s)
        await asyncio.gather(*(self.start_relay(f"n{number}") for number in range(scene.relays)))
        return self

    async def __aexit__(self, *exception: object) -> None:
        left = set(self.clients)
        while left:  # again and again: a wait that ends in the very moment may swallow the cancellation
            for client in left:
                client.cancel()
            _, left = await asyncio.wait(left, timeout=POLL_S)
        for name in list(self.backends):
            self.kill_backend(name)
        await self.stack.aclose()
        await asyncio.gather(*self.log_readers, return_exceptions=True)  # to their ends: a full pipe would hold them

    # ---- backends

    async def add_backend(self, name: str, started_s: float) -> None:
        """Starts a backend, or starts it again under its name, and notifies relays. 0: it started long ago."""
        scene = self.scene
        full_connections = scene.full_connections * self.random.uniform(1 - scene.spread, 1 + scene.spread)
        warm_up = WarmUp(name, scene.rules, started_s, full_connections)
        reply = f"UP {name}\r\nLOAD {scene.work}"
        backend = WarmingBackend(warm_up, time.time, self._sender, reply)
        backend.short_share, backend.lag_s = scene.short_share, scene.lag_s
        proxy = FaultProxy(await backend.open(), scene.faults, self.random.getrandbits(30))
        port = await proxy.open()
        # Only now: a run that ends meanwhile closes what is listed here.
        self.backends[name], self.proxies[name] = backend, proxy
        self.warm_ups.append(warm_up)
        self.discovery.add(name, port)
        self.discovery.members[name]["up_since_ms"] = int(started_s * 1000)
        self.discovery.publish(name, "SERVING")

    def kill_backend(self, name: str) -> None:
        """Ends a backend at once; discovery does not know yet."""
        self.proxies[name].close()
        self.backends[name].kill()

    def _sender(self, request: str) -> tuple[str, bool]:
        self.arrived.add(request)
        return self.sent_by.get(request, "nobody"), True

    @property
    def falls(self) -> list[Fall]:
        """The falls that break the rule."""
        return [warm_up.fall for warm_up in self.warm_ups if warm_up.fall and warm_up.fall.breaks_rule]

    # ---- relays

    async def start_relay(self, name: str) -> None:
        """Starts a relay's process."""
        scene = self.scene
        home = self.folder / f"{name}-{next(self.starts)}"
        home.mkdir()
        platform_settings = settings(OBJECTIVE_MS, scene.deadline_ms, probes=True)
        platform_settings["rules"] |= scene.rules.settings()
        platform_settings["fleetSize"] = scene.relays
        platform_settings["position"] = int(name.removeprefix("n"))
        relay = await self.stack.enter_async_context(program(home, self.discovery, platform_settings, name=name))
        self.relays[name], self.ports[name] = relay, relay.ports[0]
        self.programs.append((name, relay))
        self.log_readers.append(asyncio.ensure_future(self._read_log(relay)))

    async def _read_log(self, relay: Program) -> None:
        assert relay.process.stderr
        while raw := await relay.process.stderr.readline():
            relay.log.append(raw.decode().rstrip())

    async def restart_relay(self, name: str, number: signal.Signals, more: Sequence[LaterSignal] = ()) -> None:
        """Ends a relay's process by a signal, and starts it again under its name. It gets `more` signals meanwhile.

        After SIGTERM it is killed at the moment that the scene tells.
        """
        kill_after_s = self.scene.kill_after_s
        relay = self.relays.pop(name)
        if number is signal.SIGKILL:
            self.killed_relays.add(self.ports.pop(name))
        self.signalled_s[relay.ports[0]] = time.monotonic()
        relay.process.send_signal(number)
        if self.scene.hold_ups and number is signal.SIGTERM:
            self._hold_up_while_it_ends(relay)
        later = [asyncio.ensure_future(_signal_later(relay, signal_later)) for signal_later in more]
        try:
            status = await asyncio.wait_for(relay.process.wait(), kill_after_s)
            if number is signal.SIGTERM and status:
                self.violations.append(f"{name} ended with status {status}")
        except TimeoutError:
            with suppress(ProcessLookupError):  # it has ended, and only this harness has not heard of it yet
                relay.process.kill()
                self.violations.append(f"{name} was there still {kill_after_s} s after SIGTERM")
            await relay.process.wait()
        finally:
            for task in later:
                task.cancel()
        self.ports.pop(name, None)
        await self.start_relay(name)

    def _hold_up_while_it_ends(self, relay: Program) -> None:
        random = Random(self.random.getrandbits(30))
        process = os.pidfd_open(relay.process.pid)
        threading.Thread(target=_hold_up, args=(process, random), daemon=True).start()

    # ---- clients

    def start_clients(self, clients: int, within_s: float) -> None:
        """Starts clients, spread evenly over a time in seconds; they stay until the end."""
        for _ in range(clients):
            task = asyncio.ensure_future(self._client(self.random.uniform(0, within_s)))
            self.clients.add(task)

    async def _client(self, wait_s: float) -> None:
        is_reconnect = False
        while True:
            await asyncio.sleep(wait_s)
            wait_s = self.random.uniform(*RECONNECT_S)
            if not self.ports:
                continue
            name = self.random.choice(sorted(self.ports))
            with suppress(ConnectionError):
                wait_s = await self._connect(name, is_reconnect, wait_s)
            is_reconnect = True

    async def _connect(self, relay: str, is_reconnect: bool, wait_s: float) -> float:
        """Makes one connection, to its end. Returns the seconds that the client waits then."""
        port = self.ports[relay]
        device = await LineDevice.connect(port)
        rests = self.random.random() < self.scene.resting_share
        deadline_s = self.scene.deadline_ms / 1000
        try:
            if rests:
                await asyncio.sleep(self.random.uniform(0, LONGEST_REST_S))
            self.sent_by[f"{device.id:016x}"] = relay
            began_s = time.monotonic()
            device.open(d=self.scene.deadline_ms, more=",again=1" if is_reconnect else "")
            answer = await self._final_answer(device)
            self.answers[answer.split()[0] if answer else "nothing"] += 1
            late = time.monotonic() - began_s > deadline_s + BUSY_S
            if (late or not answer) and port not in self.killed_relays:
                arrived = f"{device.id:016x}" in self.arrived
                signalled_s = time.monotonic() - self.signalled_s.get(port, math.inf)
                self.violations.append(
                    f"{relay}: request {device.id:016x} got {answer!r}, late: {late}, rested: {rests},"
                    f" arrived: {arrived}, {signalled_s:.3f} s after its relay was told to end"
                )
            if answer.startswith("UP"):
                await self._stay(device, answer[3:], port)
            elif answer.startswith("BUSY "):
                return float(answer.split()[1]) / 1000
            elif answer:
                return NO_RETRY_AFTER_S
            return wait_s
        finally:
            device.writer.close()

    async def _final_answer(self, device: LineDevice) -> str:
        """The final answer, "" where the connection is cut."""
        with suppress(ConnectionError):
            return await device.line()
        return ""

    async def _stay(self, device: LineDevice, backend: str, port: int) -> None:
        """Sends a line now and then until the connection's end, and checks that the end is an orderly one."""
        self.served_clients += 1
        warm_up = self.backends[backend].warm_up
        sending = asyncio.ensure_future(self._send_lines(device))
        moved = False
        try:
            with suppress(ConnectionError):
                while line := await device.reader.readline():
                    moved = moved or line in (b"MOVE\r\n", b"BYE\r\n")
        finally:
            sending.cancel()
            self.served_clients -= 1
        same_process = self.backends[backend].warm_up is warm_up and not self.proxies[backend].closed
        serves = same_process and not warm_up.fall  # a fall cuts off its connections, and is told by itself
        if not moved and serves and port not in self.killed_relays:
            self.violations.append(f"a connection to {backend}, which serves, was cut off without MOVE")

    async def _send_lines(self, device: LineDevice) -> None:
        with suppress(ConnectionError):
            while True:
                await asyncio.sleep(self.scene.line_s)
                device.write_line("hello")

    async def wait_until_served(self, clients: int) -> None:
        """Waits until so many clients are served at once. Raises TimeoutError after HANG_TIMEOUT_S."""
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while self.served_clients < clients:
                await asyncio.sleep(POLL_S)
