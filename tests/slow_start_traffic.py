"""Runs scenes of the soak test on decision modules in virtual time, with clients, relays and backends.

Load reports lag and backends differ as the scene sets; bursts of clients connect, and backends and relays restart.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from itertools import count
from random import Random

from balancer import Balancer
from balancer.actions import CheckHealth, Fail, Reject, SetTimer, StartAttempt
from balancer.events import (
    AttemptEnded,
    AttemptResult,
    ConnectionEstablished,
    ConnectionLoadReport,
    Endpoint,
    EndpointListUpdate,
    Event,
    HealthCheckResult,
    LoadReport,
    Request,
    TimerFired,
)
from balancer.settings import RequestClass, Settings, WeightKind
from lab.crowd import DEADLINE_MS, OBJECTIVE_MS, RECONNECT_S, Scene
from lab.slow_start_oracle import SHORT_CONNECTION_S, Arrival, Fall, WarmUp
from lab.soak import CROWD_PROBABILITY, SIGNALS_PROBABILITY, scene_of

from .test_failures import HEALTH_CHECK_SETTINGS

START_S = 100.0  # virtual time of the start; backends that started long ago did so before
CONNECT_TIMEOUT_S = 0.15
MAX_STALL_S = 0.15  # longest stall of a relay between its last check of the send slot and its write
FIRST_CLIENTS_S = 1.5  # time over which the first clients connect
RUN_LENGTH_S = 10.0
CLASS = RequestClass(latency_objective_us=OBJECTIVE_MS * 1000, deadline_us=DEADLINE_MS * 1000)


@dataclass(eq=False)
class ModelBackend:
    """One process of a backend: its slow start, its connections, and its last load report."""

    warm_up: WarmUp
    lag_s: float
    connections: dict[int, int] = field(default_factory=dict)  # relay by request id
    alive: bool = True
    reported_s: float = 0.0
    reported: float = 0.0

    def load(self, now_s: float) -> float:
        """Return the reported load, which is up to `lag_s` old."""
        if now_s - self.reported_s >= self.lag_s:
            capacity = self.warm_up.full_connections * self.warm_up.capacity(now_s)
            self.reported_s, self.reported = now_s, len(self.connections) / capacity
        return self.reported


class TrafficModel:
    """The relays, backends and clients of one scene."""

    def __init__(self, scene: Scene, seed: int) -> None:
        self.scene = scene
        self.random = Random(seed)
        self.now_s = START_S
        self.order = count()
        self.request_ids = count(1)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.backends: dict[str, ModelBackend] = {}
        self.warm_ups: list[WarmUp] = []
        self.relays: dict[int, Balancer] = {}
        self.served = 0
        for number in range(scene.warm):
            self.add_backend(f"warm-{number}", 0.0)
        for number in range(scene.warming):
            self.add_backend(f"cold-{number}", START_S - scene.warming_age_s)
        for position in range(scene.relays):
            self.start_relay(position)

    # ---- clock

    def schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay."""
        heapq.heappush(self.events, (self.now_s + delay_s, next(self.order), callback))

    def run(self, seconds: float) -> None:
        """Advance the clock and run the due callbacks."""
        end_s = self.now_s + seconds
        while self.events and self.events[0][0] <= end_s:
            self.now_s, _, callback = heapq.heappop(self.events)
            callback()
        self.now_s = end_s

    # ---- backends

    @property
    def overloads(self) -> list[Fall]:
        """The overloads of backends so far."""
        return [warm_up.fall for warm_up in self.warm_ups if warm_up.fall]

    def add_backend(self, name: str, started_s: float) -> None:
        """Start a backend, or restart it under its name, and notify the relays."""
        scene = self.scene
        full = scene.full_connections * self.random.uniform(1 - scene.spread, 1 + scene.spread)
        warm_up = WarmUp(name, scene.rules, started_s, full)
        self.warm_ups.append(warm_up)
        self.backends[name] = ModelBackend(warm_up, scene.lag_s)
        for position in self.relays:
            self.notify(position, EndpointListUpdate((self.endpoint(name),), is_complete=False))

    def endpoint(self, name: str) -> Endpoint:
        """Return a backend's entry of the endpoint list."""
        return Endpoint(name, started_us=int(self.backends[name].warm_up.started_s * 1e6))

    def kill_backend(self, name: str) -> None:
        """Kill a backend and reset its connections."""
        backend = self.backends[name]
        backend.alive = False
        ended, backend.connections = backend.connections, {}
        for request, position in ended.items():
            self.end_connection(name, request, position, AttemptResult.RESET)

    def end_connection(self, name: str, request: int, position: int, result: AttemptResult) -> None:
        """End a connection at its backend's side; its client reconnects."""
        self.notify(position, AttemptEnded(request, 0, name, result, is_final=True))
        self.schedule(self.random.uniform(*RECONNECT_S), partial(self.connect_client, True))

    # ---- relays

    def start_relay(self, position: int) -> None:
        """Start a relay's process."""
        rules = self.scene.rules
        settings = Settings(
            **{
                **HEALTH_CHECK_SETTINGS,
                "classes": (CLASS,),
                "fleet_size": self.scene.relays,
                "position": position,
                "initial_capacity": rules.start_capacity,
                "warm_up_us": int(rules.warm_s * 1e6),
                "overload_multiple": rules.multiple,
                "overload_window_us": int(rules.window_s * 1e6),
                "connect_timeout_us": int(CONNECT_TIMEOUT_S * 1e6),
                "retry_after": True,
                "max_retry_after_us": 2_000_000,
                "weight_kind": WeightKind.ROUGH,
            }
        )
        self.relays[position] = Balancer(settings, self.random.getrandbits(30))
        self.notify(position, EndpointListUpdate(tuple(self.endpoint(name) for name in self.backends)))

    def kill_relay(self, position: int) -> None:
        """Kill a relay's process with its connections; their clients reconnect through other relays."""
        del self.relays[position]
        for backend in self.backends.values():
            for request in [request for request, through in backend.connections.items() if through == position]:
                del backend.connections[request]
                self.schedule(self.random.uniform(*RECONNECT_S), partial(self.connect_client, True))

    def notify(self, position: int, event: Event) -> None:
        """Pass an event to a relay and execute its actions."""
        relay = self.relays.get(position)
        if relay is None:
            return
        for action in relay.handle(int(self.now_s * 1e6), event):
            if isinstance(action, SetTimer):
                self.schedule(action.delay_us / 1e6, partial(self.on_timer, relay, position, action.timer_id))
            elif isinstance(action, CheckHealth):
                self.schedule(0.001, partial(self.check_health, relay, position, action.backend))
            elif isinstance(action, StartAttempt):
                backend = self.backends[action.backend]
                on_connected = partial(self.on_connected, relay, position, action, backend)
                self.schedule(self.random.uniform(0, CONNECT_TIMEOUT_S), on_connected)
            elif isinstance(action, Reject | Fail):
                self.schedule(self.random.uniform(0.1, 1.0), partial(self.connect_client, True))

    def on_timer(self, relay: Balancer, position: int, timer: int) -> None:
        """Fire a timer of a relay's process, unless that process has ended."""
        if self.relays.get(position) is relay:
            self.notify(position, TimerFired(timer))

    def check_health(self, relay: Balancer, position: int, name: str) -> None:
        """Let a backend answer a health check, if it is alive."""
        if self.relays.get(position) is not relay:
            return
        backend = self.backends[name]
        if backend.alive:
            report = LoadReport(backend.load(self.now_s))
            self.notify(position, HealthCheckResult(name, AttemptResult.OK, load_report=report))
        else:
            self.notify(position, HealthCheckResult(name, AttemptResult.CONNECT_FAILED))

    # ---- clients

    def connect_client(self, is_reconnect: bool) -> None:
        """Connect a client to a relay chosen at random."""
        if not self.relays:
            self.schedule(self.random.uniform(*RECONNECT_S), partial(self.connect_client, is_reconnect))
            return
        position = self.random.choice(sorted(self.relays))
        self.notify(position, Request(next(self.request_ids), DEADLINE_MS * 1000, is_reconnect=is_reconnect))

    def on_connected(self, relay: Balancer, position: int, attempt: StartAttempt, backend: ModelBackend) -> None:
        """Let a relay whose connection for an attempt is open check the send slot, and write the request."""
        if attempt.send_by_us is not None and self.now_s * 1e6 >= attempt.send_by_us:
            ended = AttemptEnded(attempt.request_id, 0, attempt.backend, AttemptResult.SLOT_ENDED)
            self.notify(position, ended)
            return
        arrive = partial(self.arrive, relay, position, attempt, backend)
        self.schedule(self.random.uniform(0, MAX_STALL_S), arrive)

    def arrive(self, relay: Balancer, position: int, attempt: StartAttempt, backend: ModelBackend) -> None:
        """Let a request arrive at its backend's process, unless its relay's process has ended."""
        name, request = attempt.backend, attempt.request_id
        if self.relays.get(position) is not relay:
            self.schedule(self.random.uniform(*RECONNECT_S), partial(self.connect_client, True))
            return
        if backend.alive:
            backend.warm_up.arrive(Arrival(self.now_s, f"n{position}", True))
            if backend.warm_up.fall:
                self.kill_backend(name)
        if not backend.alive:
            self.notify(position, AttemptEnded(request, 0, name, AttemptResult.CONNECT_FAILED))
            return
        self.served += 1
        backend.connections[request] = position
        self.notify(position, ConnectionEstablished(request, 0, name))
        self.notify(position, ConnectionLoadReport(request, name, self.scene.work))
        if self.random.random() < self.scene.short_share:
            self.schedule(SHORT_CONNECTION_S, partial(self.end_short_connection, backend, name, request))

    def end_short_connection(self, backend: ModelBackend, name: str, request: int) -> None:
        """Close a short connection normally."""
        position = backend.connections.pop(request, None)
        if position is not None:
            self.end_connection(name, request, position, AttemptResult.OK)

    # ---- scene events

    def restart_backends(self) -> None:
        """Kill some backends, restart them under their names, and repeat at random intervals."""
        names = self.random.sample(
            [f"warm-{n}" for n in range(self.scene.warm)], self.random.randint(1, self.scene.warm // 2)
        )
        for name in names:
            self.kill_backend(name)
        back_s = self.random.uniform(0.2, 1.5)
        for name in names:
            self.schedule(back_s, partial(self.restart_backend, name))
        self.schedule(back_s + self.random.uniform(0.5, 2.0), self.restart_backends)

    def restart_backend(self, name: str) -> None:
        """Restart a backend under its name."""
        self.add_backend(name, self.now_s)

    def restart_relays(self) -> None:
        """Kill a relay, restart it after a while, and repeat at random intervals."""
        position = self.random.choice(sorted(self.relays))
        self.kill_relay(position)
        back_s = self.random.uniform(0.3, 4.0)
        self.schedule(back_s, partial(self.start_relay, position))
        self.schedule(back_s + self.random.uniform(0.1, 0.8), self.restart_relays)

    def start_clients(self, clients: int, within_s: float) -> None:
        """Connect new clients within a time span."""
        for _ in range(clients):
            self.schedule(self.random.uniform(0, within_s), partial(self.connect_client, False))


def random_scene(seed: int) -> Scene:
    """Return the soak's scene for a seed, with report lags of the platform's range, and more small fleets."""
    random = Random(seed * 7 + 1)
    lag_s = random.choice((0.0, 0.5, 1.2, 2.0))
    return replace(scene_of(seed), lag_s=lag_s, relays=random.choice((2, 2, 3, 4, 6, 8, 12)))


def run_scene(seed: int) -> TrafficModel:
    """Run the scene of a seed: a few clients, then perhaps a burst of clients while backends and relays restart."""
    scene = random_scene(seed)
    model = TrafficModel(scene, seed)
    model.start_clients(int(scene.warm * scene.full_connections / 4), FIRST_CLIENTS_S)
    model.run(FIRST_CLIENTS_S)
    model.schedule(model.random.uniform(0.5, 2.0), model.restart_backends)
    if model.random.random() < SIGNALS_PROBABILITY:
        model.schedule(model.random.uniform(0.1, 0.8), model.restart_relays)
    if model.random.random() < CROWD_PROBABILITY:
        model.start_clients(model.random.randint(60, 160), 0.8)
    model.run(RUN_LENGTH_S)
    return model
