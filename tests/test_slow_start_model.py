"""Fleets of decision modules with backends in slow start: random settings, sizes, connection results and restarts.

The oracle (`lab/slow_start_oracle.py`) judges: no backend is overloaded, and those in slow start are used.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import count
from random import Random

import pytest

from balancer import Balancer
from balancer.actions import CheckHealth, SetTimer, StartAttempt
from balancer.events import (
    AttemptEnded,
    AttemptResult,
    BackendState,
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
from balancer.settings import Settings, WeightKind
from lab.slow_start_oracle import Arrival, SlowStartRules, WarmUp

from .test_failures import HEALTH_CHECK_SETTINGS, adopt

STEP_US = 20_000
BURST_START_US = 10_000_000  # the burst begins
BURST_LENGTH_US = 3_000_000
WARM, REMOVED, WARMING = 7, 3, 3
ENDINGS = (None, AttemptResult.OK, AttemptResult.OVERLOADED, AttemptResult.RESET, AttemptResult.CANCELLED)


@dataclass(frozen=True)
class Parameters:
    """The random parameters of one run."""

    nodes: int
    rules: SlowStartRules
    warming_age_s: float  # of backends in slow start as the burst begins
    full_connections: float
    work: float  # of a connection, relative to the mean
    ending: AttemptResult | None  # result with which connections end soon; None: they stay established
    restarts: bool  # some nodes restart during the burst
    whole_lists: bool  # complete endpoint lists are sent again and again
    returns: bool  # a warming backend restarts under its name

    @staticmethod
    def for_seed(seed: int) -> Parameters:
        """Return the parameters for a seed."""
        random = Random(seed)
        warm_s = random.uniform(8, 40)
        rules = SlowStartRules(random.uniform(0.02, 0.4), warm_s, random.uniform(1.5, 4), random.choice((0.5, 1, 2)))
        return Parameters(
            nodes=random.choice((1, 2, 4, 6, 8, 16, 32, 64)),
            rules=rules,
            warming_age_s=random.uniform(0, 0.7) * warm_s,
            full_connections=random.uniform(20, 150),
            work=random.choice((0.07, 1.0)),
            ending=random.choice(ENDINGS),
            restarts=random.random() < 0.3,
            whole_lists=random.random() < 0.3,
            returns=random.random() < 0.2,
        )


class FleetModel:
    """The nodes of one run, their clock and timers, and backends that only count requests."""

    def __init__(self, parameters: Parameters, seed: int) -> None:
        self.parameters = parameters
        self.random = Random(seed)
        self.request_ids = count(1)
        self.now = 0
        self.timers: list[tuple[int, int, Balancer, int]] = []  # due, order, node, number
        self.ends: list[tuple[int, Balancer, int, str]] = []
        self.order = count()
        self.started = {f"s{n}": 0 for n in range(WARM)}
        self.started |= {f"c{n}": BURST_START_US - int(parameters.warming_age_s * 1e6) for n in range(WARMING)}
        self.warm_ups = {name: self._warm_up(name) for name in self.started}
        self.nodes = [self._node(position) for position in range(parameters.nodes)]

    def _warm_up(self, name: str) -> WarmUp:
        return WarmUp(name, self.parameters.rules, self.started[name] / 1e6 or -1e6, self.parameters.full_connections)

    def _node(self, position: int) -> Balancer:
        parameters, rules = self.parameters, self.parameters.rules
        settings = Settings(
            **{
                **HEALTH_CHECK_SETTINGS,
                "fleet_size": parameters.nodes,
                "position": position,
                "initial_capacity": rules.start_capacity,
                "warm_up_us": int(rules.warm_s * 1e6),
                "overload_multiple": rules.multiple,
                "overload_window_us": int(rules.window_s * 1e6),
                "weight_kind": WeightKind.ROUGH,
            }
        )
        node = Balancer(settings, self.random.getrandbits(30))
        node.handle(self.now, self.endpoint_list())
        return node

    def endpoint_list(self) -> EndpointListUpdate:
        """Return the complete endpoint list."""
        return EndpointListUpdate(tuple(Endpoint(name, started_us=at) for name, at in self.started.items()))

    def establish_half(self) -> None:
        """Establish connections at half of the warm backends' capacity, at random nodes, before the burst."""
        self.now = BURST_START_US - 2_000_000
        for n in range(int(WARM * self.parameters.full_connections / 2)):
            node, request = self.random.choice(self.nodes), next(self.request_ids)
            adopt(node, request, f"s{n % WARM}", self.now)
            node.handle(self.now, ConnectionLoadReport(request, f"s{n % WARM}", self.parameters.work * 80_000))
        for node in self.nodes:
            for n in range(WARM):
                node.handle(self.now, HealthCheckResult(f"s{n}", AttemptResult.OK, load_report=LoadReport(0.5)))

    def deliver(self, node: Balancer, event: Event) -> None:
        """Pass an event to a node and execute its actions."""
        actions = node.handle(self.now, event)
        for action in actions:
            if isinstance(action, SetTimer):
                due = self.now + action.delay_us
                self.timers.append((due, next(self.order), node, action.timer_id))
            elif isinstance(action, CheckHealth):
                load = 0.75 if action.backend.startswith("s") else 0.1
                self.deliver(node, HealthCheckResult(action.backend, AttemptResult.OK, load_report=LoadReport(load)))
            elif isinstance(action, StartAttempt):
                self.start(node, action)

    def start(self, node: Balancer, action: StartAttempt) -> None:
        """Let an attempt arrive at its backend, with the result that the parameters set."""
        self.warm_ups[action.backend].arrive(Arrival(self.now / 1e6, str(id(node)), True))
        ending = self.parameters.ending if action.backend.startswith("c") else None
        if ending in (None, AttemptResult.OK, AttemptResult.RESET, AttemptResult.CANCELLED):
            self.deliver(node, ConnectionEstablished(action.request_id, 0, action.backend))
        if ending:
            self.deliver(
                node,
                AttemptEnded(
                    action.request_id, 0, action.backend, ending, is_final=ending is not AttemptResult.OVERLOADED
                ),
            )

    def step(self) -> None:
        """Advance the clock by one step and fire the due timers."""
        self.now += STEP_US
        due = sorted(timer for timer in self.timers if timer[0] <= self.now)
        self.timers = [timer for timer in self.timers if timer[0] > self.now]
        for _, _, node, number in due:
            if node in self.nodes:
                self.deliver(node, TimerFired(number))

    def burst(self) -> None:
        """Remove warm backends and let their clients reconnect within 1.5 s, with updates and restarts meanwhile."""
        parameters, random = self.parameters, self.random
        self.now = BURST_START_US
        for n in range(REMOVED):
            del self.started[f"s{n}"]
        for node in self.nodes:
            gone = tuple(Endpoint(f"s{n}", BackendState.GONE) for n in range(REMOVED))
            self.deliver(node, EndpointListUpdate(gone, is_complete=False))
        burst_size = int(REMOVED * parameters.full_connections)
        for step in range(BURST_LENGTH_US // STEP_US):
            self.step()
            if step < 75:
                for _ in range(max(1, burst_size // 75)):
                    back = Request(next(self.request_ids), 2_000_000, is_reconnect=True)
                    self.deliver(random.choice(self.nodes), back)
            if parameters.whole_lists and step % 10 == 0:
                for node in self.nodes:
                    self.deliver(node, self.endpoint_list())
            if parameters.restarts and step % 20 == 5:
                self.nodes[step // 20 % parameters.nodes] = self._node(step // 20 % parameters.nodes)
            if parameters.returns and step == 40:
                self.started["c0"] = self.now
                self.warm_ups["c0 again"] = self.warm_ups["c0"]
                self.warm_ups["c0"] = self._warm_up("c0")
                for node in self.nodes:
                    self.deliver(node, self.endpoint_list())


def run_model(seed: int) -> FleetModel:
    """Run the model of a seed and return it after the burst."""
    model = FleetModel(Parameters.for_seed(seed), seed)
    model.establish_half()
    model.burst()
    return model


@pytest.mark.parametrize("first", range(0, 48, 12))
def test_no_backend_in_slow_start_is_overloaded_in_random_fleets(first: int) -> None:
    for seed in range(first, first + 12):
        model = run_model(seed)
        overloads = [warm_up.fall for warm_up in model.warm_ups.values() if warm_up.fall]
        assert not overloads, f"seed {seed}: {model.parameters}: {'; '.join(str(fall) for fall in overloads)}"


def test_backends_in_slow_start_are_used_while_there_is_demand() -> None:
    """Guards against limits that are met by sending nothing: on average over the runs, half of the limit is used."""
    used = [run_model(seed).warm_ups[f"c{n}"].max_used_share for seed in range(100, 124) for n in range(WARMING)]
    assert sum(used) / len(used) >= 0.5, f"mean used share {sum(used) / len(used):.2f}"
