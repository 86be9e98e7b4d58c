"""Scenes of the soak played on decision modules in virtual time: clients, relays and backends that come and go.

Reports lag and backends differ as the scene says; a crowd comes, backends end and return cold, relays restart.
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

START_S = 100.0  # of virtual time: backends that started long ago did so before
CONNECT_TIMEOUT_S = 0.15
MAX_HOLD_UP_S = 0.15  # of a relay, between its last check and its write
FIRST_CLIENTS_S = 1.5  # in which the first clients come
LENGTH_S = 10.0
CLASS = RequestClass(latency_objective_us=OBJECTIVE_MS * 1000, deadline_us=DEADLINE_MS * 1000)


@dataclass(eq=False)
class ModelBackend:
    """One process of a backend: its slow start, its connections, and the load that it last reported."""

    warm_up: WarmUp
    lag_s: float
    standing: dict[int, int] = field(default_factory=dict)  # relay by request id
    alive: bool = True
    reported_s: float = 0.0
    reported: float = 0.0

    def load(self, now_s: float) -> float:
        """The load that it reports: up to `lag_s` old."""
        if now_s - self.reported_s >= self.lag_s:
            capacity = self.warm_up.full_connections * self.warm_up.capacity(now_s)
            self.reported_s, self.reported = now_s, len(self.standing) / capacity
        return self.reported


class TrafficModel:
    """The relays, backends and clients of one scene."""

    def __init__(self, scene: Scene, seed: int) -> None:
        self.scene = scene
        self.random = Random(seed)
        self.now_s = START_S
        self.order = count()
        self.numbers = count(1)
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

    # ---- the clock

    def after(self, delay_s: float, then: Callable[[], None]) -> None:
        """Run something later."""
        heapq.heappush(self.events, (self.now_s + delay_s, next(self.order), then))

    def run(self, seconds: float) -> None:
        """Let the clock run."""
        end_s = self.now_s + seconds
        while self.events and self.events[0][0] <= end_s:
            self.now_s, _, then = heapq.heappop(self.events)
            then()
        self.now_s = end_s

    # ---- backends

    @property
    def falls(self) -> list[Fall]:
        """All falls of backends."""
        return [warm_up.fall for warm_up in self.warm_ups if warm_up.fall]

    def add_backend(self, name: str, started_s: float) -> None:
        """Start a backend, or start it again under its name, and notify the relays."""
        scene = self.scene
        full = scene.full_connections * self.random.uniform(1 - scene.spread, 1 + scene.spread)
        warm_up = WarmUp(name, scene.rules, started_s, full)
        self.warm_ups.append(warm_up)
        self.backends[name] = ModelBackend(warm_up, scene.lag_s)
        for position in self.relays:
            self.notify(position, EndpointListUpdate((self.endpoint(name),), is_complete=False))

    def endpoint(self, name: str) -> Endpoint:
        """A backend's line of the list."""
        return Endpoint(name, started_us=int(self.backends[name].warm_up.started_s * 1e6))

    def kill_backend(self, name: str) -> None:
        """End a backend at once, with its connections."""
        backend = self.backends[name]
        backend.alive = False
        ended, backend.standing = backend.standing, {}
        for request, position in ended.items():
            self.end_connection(name, request, position, AttemptResult.RESET)

    def end_connection(self, name: str, request: int, position: int, result: AttemptResult) -> None:
        """A connection ends at its backend's side; its client comes back."""
        self.notify(position, AttemptEnded(request, 0, name, result, is_final=True))
        self.after(self.random.uniform(*RECONNECT_S), partial(self.come, True))

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
        """End a relay's process at once, with its connections; their clients come back through others."""
        del self.relays[position]
        for backend in self.backends.values():
            for request in [request for request, through in backend.standing.items() if through == position]:
                del backend.standing[request]
                self.after(self.random.uniform(*RECONNECT_S), partial(self.come, True))

    def notify(self, position: int, event: Event) -> None:
        """Have a relay handle an event, and carry out what it decides."""
        relay = self.relays.get(position)
        if relay is None:
            return
        for action in relay.handle(int(self.now_s * 1e6), event):
            if isinstance(action, SetTimer):
                self.after(action.delay_us / 1e6, partial(self.fire, relay, position, action.timer_id))
            elif isinstance(action, CheckHealth):
                self.after(0.001, partial(self.check_health, relay, position, action.backend))
            elif isinstance(action, StartAttempt):
                backend = self.backends[action.backend]
                write = partial(self.write, relay, position, action, backend)
                self.after(self.random.uniform(0, CONNECT_TIMEOUT_S), write)
            elif isinstance(action, Reject | Fail):
                self.after(self.random.uniform(0.1, 1.0), partial(self.come, True))

    def fire(self, relay: Balancer, position: int, timer: int) -> None:
        """A timer of a relay's process has fired."""
        if self.relays.get(position) is relay:
            self.notify(position, TimerFired(timer))

    def check_health(self, relay: Balancer, position: int, name: str) -> None:
        """A backend answers a health check."""
        if self.relays.get(position) is not relay:
            return
        backend = self.backends[name]
        if backend.alive:
            report = LoadReport(backend.load(self.now_s))
            self.notify(position, HealthCheckResult(name, AttemptResult.OK, load_report=report))
        else:
            self.notify(position, HealthCheckResult(name, AttemptResult.CONNECT_FAILED))

    # ---- clients

    def come(self, is_reconnect: bool) -> None:
        """A client comes to a relay drawn at random."""
        if not self.relays:
            self.after(self.random.uniform(*RECONNECT_S), partial(self.come, is_reconnect))
            return
        position = self.random.choice(sorted(self.relays))
        self.notify(position, Request(next(self.numbers), DEADLINE_MS * 1000, is_reconnect=is_reconnect))

    def write(self, relay: Balancer, position: int, attempt: StartAttempt, backend: ModelBackend) -> None:
        """The connection for an attempt is open: its relay checks the send slot, and writes."""
        if attempt.send_by_us is not None and self.now_s * 1e6 >= attempt.send_by_us:
            ended = AttemptEnded(attempt.request_id, 0, attempt.backend, AttemptResult.SLOT_ENDED)
            self.notify(position, ended)
            return
        arrive = partial(self.arrive, relay, position, attempt, backend)
        self.after(self.random.uniform(0, MAX_HOLD_UP_S), arrive)

    def arrive(self, relay: Balancer, position: int, attempt: StartAttempt, backend: ModelBackend) -> None:
        """A request arrives at its backend's process, unless its relay has gone."""
        name, request = attempt.backend, attempt.request_id
        if self.relays.get(position) is not relay:
            self.after(self.random.uniform(*RECONNECT_S), partial(self.come, True))
            return
        if backend.alive:
            backend.warm_up.arrive(Arrival(self.now_s, f"n{position}", True))
            if backend.warm_up.fall:
                self.kill_backend(name)
        if not backend.alive:
            self.notify(position, AttemptEnded(request, 0, name, AttemptResult.CONNECT_FAILED))
            return
        self.served += 1
        backend.standing[request] = position
        self.notify(position, ConnectionEstablished(request, 0, name))
        self.notify(position, ConnectionLoadReport(request, name, self.scene.work))
        if self.random.random() < self.scene.short_share:
            self.after(SHORT_CONNECTION_S, partial(self.end_short, backend, name, request))

    def end_short(self, backend: ModelBackend, name: str, request: int) -> None:
        """A connection that does not last ends in order."""
        position = backend.standing.pop(request, None)
        if position is not None:
            self.end_connection(name, request, position, AttemptResult.OK)

    # ---- what happens

    def restart_backends(self) -> None:
        """Now and then some backends end at once, and start again under their names."""
        names = self.random.sample(
            [f"warm-{n}" for n in range(self.scene.warm)], self.random.randint(1, self.scene.warm // 2)
        )
        for name in names:
            self.kill_backend(name)
        back_s = self.random.uniform(0.2, 1.5)
        for name in names:
            self.after(back_s, partial(self.return_backend, name))
        self.after(back_s + self.random.uniform(0.5, 2.0), self.restart_backends)

    def return_backend(self, name: str) -> None:
        """A backend starts again under its name."""
        self.add_backend(name, self.now_s)

    def restart_relays(self) -> None:
        """Now and then a relay is away for a while."""
        position = self.random.choice(sorted(self.relays))
        self.kill_relay(position)
        back_s = self.random.uniform(0.3, 4.0)
        self.after(back_s, partial(self.start_relay, position))
        self.after(back_s + self.random.uniform(0.1, 0.8), self.restart_relays)

    def crowd(self, clients: int, within_s: float) -> None:
        """So many new clients come."""
        for _ in range(clients):
            self.after(self.random.uniform(0, within_s), partial(self.come, False))


def drawn_scene(seed: int) -> Scene:
    """The soak's scene of a seed, with reports of any lag that the platform may have, and more small fleets."""
    random = Random(seed * 7 + 1)
    lag_s = random.choice((0.0, 0.5, 1.2, 2.0))
    return replace(scene_of(seed), lag_s=lag_s, relays=random.choice((2, 2, 3, 4, 6, 8, 12)))


def played(seed: int) -> TrafficModel:
    """The model of a seed after its run: a few clients, then a crowd while backends and relays restart."""
    scene = drawn_scene(seed)
    model = TrafficModel(scene, seed)
    model.crowd(int(scene.warm * scene.full_connections / 4), FIRST_CLIENTS_S)
    model.run(FIRST_CLIENTS_S)
    model.after(model.random.uniform(0.5, 2.0), model.restart_backends)
    if model.random.random() < SIGNALS_PROBABILITY:
        model.after(model.random.uniform(0.1, 0.8), model.restart_relays)
    if model.random.random() < CROWD_PROBABILITY:
        model.crowd(model.random.randint(60, 160), 0.8)
    model.run(LENGTH_S)
    return model
