"""A fleet of real relay processes in front of test backends in slow start, and clients that reconnect in large
numbers."""

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
from .waiting import within

OBJECTIVE_MS, DEADLINE_MS = 800, 4800
POLL_S = 0.02  # interval between two checks of a condition
RECONNECT_S = (0.058, 0.9)  # range of the wait before a client reconnects
MAX_DEADLINE_S = 3.0  # upper limit of the deadline in the platform's rule for when it kills a relay
KILL_GRACE_S = 0.7  # from the deadline to the platform's earliest SIGKILL
MAX_IDLE_S = 2.0  # longest time that a client keeps a connection open before it sends its request
PAUSE_INTERVAL_S = (0.2, 0.9)  # range of the time between two pauses of a relay process
MAX_PAUSE_S = 0.15  # longest time without CPU that the operators' documentation states
NO_RETRY_AFTER_S = 0.3  # a client's wait after a rejection without a Retry-After time


@dataclass(frozen=True)
class Scene:
    """The parameters of one run. Shares are from 0 to 1."""

    relays: int = 6
    warm: int = 6  # backends that are warm
    warming: int = 3  # backends in slow start
    warming_age_s: float = 5.0  # time since the start of the backends in slow start, when the relays start
    full_connections: float = 50.0  # mean number of connections that use the full capacity of a warm backend
    work: float = 5_600.0  # work per connection in microseconds a second, as backends report it
    short_share: float = 0.0  # share of connections that backends end after SHORT_CONNECTION_S
    rules: SlowStartRules = field(default_factory=SlowStartRules)
    seed: int = 1
    faults: Faults = field(default_factory=Faults)
    lag_s: float = 0.0  # interval at which a backend renews the load that it reports; 0: reports are current
    spread: float = 0.0  # maximum relative deviation of a backend from `full_connections`
    line_interval_s: float = 0.4  # interval between two lines that a served client sends
    deadline_ms: int = DEADLINE_MS
    kill_slack_s: float = BUSY_S  # from the platform's earliest SIGKILL after SIGTERM to the SIGKILL in this run
    idle_share: float = 0.0  # share of connections on which the client waits before it sends its request
    signal_series: bool = False  # several relays are ended at the same time, and each receives several signals
    pauses: bool = False  # a relay that is shutting down is paused at random times, as if it got no CPU time

    @property
    def kill_after_s(self) -> float:
        """The time from SIGTERM to SIGKILL, in seconds."""
        return min(MAX_DEADLINE_S, self.deadline_ms / 1000) + KILL_GRACE_S + self.kill_slack_s


class DelayedSignal(NamedTuple):
    """A signal for a relay that is shutting down, sent `after_s` seconds after the first signal."""

    signal_number: signal.Signals
    after_s: float


async def _send_delayed_signal(relay: Program, delayed: DelayedSignal) -> None:
    await asyncio.sleep(delayed.after_s)
    with suppress(ProcessLookupError):
        # Process.send_signal might reap the process without the event loop's knowledge.
        os.kill(relay.process.pid, delayed.signal_number)


def _pause_repeatedly(pidfd: int, random: Random) -> None:
    """Pause a process, given by its pidfd, at random intervals until it has ended.

    Blocks; it must run in its own thread, because the event loop may be late.
    """
    with suppress(ProcessLookupError):
        while True:
            time.sleep(random.uniform(*PAUSE_INTERVAL_S))
            signal.pidfd_send_signal(pidfd, signal.SIGSTOP)
            time.sleep(random.uniform(0, MAX_PAUSE_S))
            signal.pidfd_send_signal(pidfd, signal.SIGCONT)
    os.close(pidfd)


class Fleet:
    """The relays, backends, discovery service and clients of one scene, as an async context manager."""

    def __init__(self, scene: Scene, folder: Path) -> None:
        self.scene = scene
        self.folder = folder
        self.random = Random(scene.seed)
        self.discovery = Discovery()
        self.backends: dict[str, WarmingBackend] = {}
        self.warm_ups: list[WarmUp] = []
        self.relays: dict[str, Program] = {}
        self.programs: list[tuple[str, Program]] = []  # all relay processes with their names, ended ones included
        self.relay_by_request: dict[str, str] = {}  # name of the relay to which a request was sent, by request id
        self.received_requests: set[str] = set()  # ids of requests that reached a backend
        self.answers: Counter[str] = Counter()  # number of answers, by first word
        self.served_clients = 0
        self.clients: set[asyncio.Task[None]] = set()
        self.log_readers: list[asyncio.Task[None]] = []
        self.stack = AsyncExitStack()
        self.starts = count()
        self.ports: dict[str, int] = {}
        self.proxies: dict[str, FaultProxy] = {}
        self.killed_relays: set[int] = set()  # ports of processes that were killed without SIGTERM
        self.signalled_s: dict[int, float] = {}  # by port: monotonic time of the first signal that ends the process
        self.violations: list[str] = []  # descriptions of guarantees to clients that relays broke
        self.is_ending = False  # ends the loops of clients and faults, even if one of them misses its cancellation

    async def __aenter__(self) -> Fleet:
        scene = self.scene
        for number in range(scene.warm):
            await self.add_backend(f"warm-{number}", 0.0)
        for number in range(scene.warming):
            await self.add_backend(f"cold-{number}", time.time() - scene.warming_age_s)
        await asyncio.gather(*(self.start_relay(f"n{number}") for number in range(scene.relays)))
        return self

    async def __aexit__(self, *exception: object) -> None:
        self.is_ending = True
        running = set(self.clients)
        while running:  # repeated, because an await that completes at that moment may swallow the cancellation
            for client in running:
                client.cancel()
            _, running = await asyncio.wait(running, timeout=POLL_S)
        for name in list(self.backends):
            self.kill_backend(name)
        await self.stack.aclose()
        # Read the logs to their ends: a full pipe would block the relays.
        await asyncio.gather(*self.log_readers, return_exceptions=True)

    # ---- backends

    async def add_backend(self, name: str, started_s: float) -> None:
        """Start or restart a backend and publish it. `started_s` is its start time; 0 means long ago."""
        scene = self.scene
        full_connections = scene.full_connections * self.random.uniform(1 - scene.spread, 1 + scene.spread)
        warm_up = WarmUp(name, scene.rules, started_s, full_connections)
        reply = f"UP {name}\r\nLOAD {scene.work}"
        backend = WarmingBackend(warm_up, time.time, self._sender, reply)
        backend.short_share, backend.lag_s = scene.short_share, scene.lag_s
        proxy = FaultProxy(await backend.open(), scene.faults, self.random.getrandbits(30))
        port = await proxy.open()
        # Register both only once they are open: a run that ends closes all registered backends and proxies.
        self.backends[name], self.proxies[name] = backend, proxy
        self.warm_ups.append(warm_up)
        self.discovery.add(name, port)
        self.discovery.members[name]["up_since_ms"] = int(started_s * 1000)
        self.discovery.publish(name, "SERVING")

    def kill_backend(self, name: str) -> None:
        """Kill a backend without updating the endpoint list."""
        self.proxies[name].close()
        self.backends[name].kill()

    def _sender(self, request: str) -> tuple[str, bool]:
        self.received_requests.add(request)
        return self.relay_by_request.get(request, "nobody"), True

    @property
    def falls(self) -> list[Fall]:
        """The falls of backends that break the rule."""
        return [warm_up.fall for warm_up in self.warm_ups if warm_up.fall and warm_up.fall.breaks_rule]

    # ---- relays

    async def start_relay(self, name: str) -> None:
        """Start a relay process."""
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

    async def restart_relay(
        self, name: str, signal_number: signal.Signals, delayed_signals: Sequence[DelayedSignal] = ()
    ) -> None:
        """End a relay process with a signal, send it the delayed signals, and start a new one under its name.

        A process that has not ended `kill_after_s` seconds after the signal is killed.
        """
        kill_after_s = self.scene.kill_after_s
        relay = self.relays.pop(name)
        if signal_number is signal.SIGKILL:
            self.killed_relays.add(self.ports.pop(name))
        self.signalled_s[relay.ports[0]] = time.monotonic()
        relay.process.send_signal(signal_number)
        if self.scene.pauses and signal_number is signal.SIGTERM:
            self._pause_while_stopping(relay)
        senders = [asyncio.ensure_future(_send_delayed_signal(relay, delayed)) for delayed in delayed_signals]
        try:
            status = await within(kill_after_s, relay.process.wait())
            if signal_number is signal.SIGTERM and status:
                self.violations.append(f"{name} ended with status {status} after SIGTERM, expected 0")
        except TimeoutError:
            with suppress(ProcessLookupError):  # the process has ended, but the event loop has not been notified yet
                relay.process.kill()
                self.violations.append(f"{name} was still running {kill_after_s} s after SIGTERM")
            await relay.process.wait()
        finally:
            for task in senders:
                task.cancel()
        self.ports.pop(name, None)
        await self.start_relay(name)

    def _pause_while_stopping(self, relay: Program) -> None:
        random = Random(self.random.getrandbits(30))
        pidfd = os.pidfd_open(relay.process.pid)
        threading.Thread(target=_pause_repeatedly, args=(pidfd, random), daemon=True).start()

    # ---- clients

    def start_clients(self, clients: int, within_s: float) -> None:
        """Start clients at uniform random times within `within_s` seconds; they run until the end of the scene."""
        for _ in range(clients):
            task = asyncio.ensure_future(self._client(self.random.uniform(0, within_s)))
            self.clients.add(task)

    async def _client(self, wait_s: float) -> None:
        is_reconnect = False
        while not self.is_ending:
            await asyncio.sleep(wait_s)
            wait_s = self.random.uniform(*RECONNECT_S)
            if not self.ports:
                continue
            name = self.random.choice(sorted(self.ports))
            with suppress(ConnectionError):
                wait_s = await self._connect(name, is_reconnect, wait_s)
            is_reconnect = True

    async def _connect(self, relay: str, is_reconnect: bool, wait_s: float) -> float:
        """Run one connection until it ends. Return the seconds for which the client then waits."""
        port = self.ports[relay]
        device = await LineDevice.connect(port)
        waits_before_request = self.random.random() < self.scene.idle_share
        deadline_s = self.scene.deadline_ms / 1000
        try:
            if waits_before_request:
                await asyncio.sleep(self.random.uniform(0, MAX_IDLE_S))
            self.relay_by_request[f"{device.id:016x}"] = relay
            began_s = time.monotonic()
            device.open(d=self.scene.deadline_ms, more=",again=1" if is_reconnect else "")
            answer = await self._final_answer(device)
            self.answers[answer.split()[0] if answer else "nothing"] += 1
            late = time.monotonic() - began_s > deadline_s + BUSY_S
            if (late or not answer) and port not in self.killed_relays:
                reached_backend = f"{device.id:016x}" in self.received_requests
                signalled_s = time.monotonic() - self.signalled_s.get(port, math.inf)
                self.violations.append(
                    f"{relay}: request {device.id:016x} got {answer!r}, late: {late},"
                    f" idle before the request: {waits_before_request}, reached a backend: {reached_backend},"
                    f" {signalled_s:.3f} s after its relay was signalled to end"
                )
            if answer.startswith("UP"):
                await self._hold_connection(device, answer[3:], port)
            elif answer.startswith("BUSY "):
                return float(answer.split()[1]) / 1000
            elif answer:
                return NO_RETRY_AFTER_S
            return wait_s
        finally:
            device.writer.close()

    async def _final_answer(self, device: LineDevice) -> str:
        """Return the answer to the request, or "" if the connection is closed or reset first."""
        with suppress(ConnectionError):
            return await device.line()
        return ""

    async def _hold_connection(self, device: LineDevice, backend: str, port: int) -> None:
        """Send lines until the connection ends, and record a violation if it was cut off without a reason."""
        self.served_clients += 1
        warm_up = self.backends[backend].warm_up
        sending = asyncio.ensure_future(self._send_lines(device))
        end_announced = False
        try:
            with suppress(ConnectionError):
                while line := await device.reader.readline():
                    end_announced = end_announced or line in (b"MOVE\r\n", b"BYE\r\n")
        finally:
            sending.cancel()
            self.served_clients -= 1
        same_process = self.backends[backend].warm_up is warm_up and not self.proxies[backend].closed
        # A fall cuts off the backend's connections, and is reported separately (see `falls`).
        is_backend_up = same_process and not warm_up.fall
        if not end_announced and is_backend_up and port not in self.killed_relays:
            self.violations.append(f"a connection to {backend}, which is up, was cut off without MOVE or BYE")

    async def _send_lines(self, device: LineDevice) -> None:
        with suppress(ConnectionError):
            while True:
                await asyncio.sleep(self.scene.line_interval_s)
                device.write_line("hello")

    async def wait_until_served(self, clients: int) -> None:
        """Wait until `clients` clients are served at the same time. Raises TimeoutError after HANG_TIMEOUT_S."""
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while self.served_clients < clients:
                await asyncio.sleep(POLL_S)
