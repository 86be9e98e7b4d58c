"""Fleets of decision modules before servers in slow start, over drawn settings, sizes, endings, restarts and clocks.

The verdict is the oracle's (`lab/warm_up.py`): no server is overloaded, and one that is cold is of use.
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
BEGIN_US = 10_000_000  # the burst begins
LENGTH_US = 3_000_000
WARM, VANISH, WARMING = 7, 3, 3
ENDINGS = (None, AttemptResult.OK, AttemptResult.OVERLOADED, AttemptResult.RESET, AttemptResult.CANCELLED)


@dataclass(frozen=True)
class Drawn:
    """What one seed draws."""

    nodes: int
    rules: SlowStartRules
    age_s: float  # of backends in slow start as the burst begins
    full_connections: float
    work: float  # of a connection, in mean ones
    ending: AttemptResult | None  # how connections end soon; None: they stand
    restarts: bool  # some nodes start anew in the burst
    whole_lists: bool
    returns: bool  # a warming server comes back under its name

    @staticmethod
    def of(seed: int) -> Drawn:
        """The draw of a seed."""
        random = Random(seed)
        warm_s = random.uniform(8, 40)
        rules = SlowStartRules(random.uniform(0.02, 0.4), warm_s, random.uniform(1.5, 4), random.choice((0.5, 1, 2)))
        return Drawn(
            nodes=random.choice((1, 2, 4, 6, 8, 16, 32, 64)),
            rules=rules,
            age_s=random.uniform(0, 0.7) * warm_s,
            full_connections=random.uniform(20, 150),
            work=random.choice((0.07, 1.0)),
            ending=random.choice(ENDINGS),
            restarts=random.random() < 0.3,
            whole_lists=random.random() < 0.3,
            returns=random.random() < 0.2,
        )


class FleetModel:
    """The nodes of one draw, their clock, their timers, and servers that only count."""

    def __init__(self, drawn: Drawn, seed: int) -> None:
        self.drawn = drawn
        self.random = Random(seed)
        self.numbers = count(1)
        self.now = 0
        self.timers: list[tuple[int, int, Balancer, int]] = []  # due, order, node, number
        self.ends: list[tuple[int, Balancer, int, str]] = []
        self.order = count()
        self.started = {f"s{n}": 0 for n in range(WARM)}
        self.started |= {f"c{n}": BEGIN_US - int(drawn.age_s * 1e6) for n in range(WARMING)}
        self.warm_ups = {name: self._warm_up(name) for name in self.started}
        self.nodes = [self._node(position) for position in range(drawn.nodes)]

    def _warm_up(self, name: str) -> WarmUp:
        return WarmUp(name, self.drawn.rules, self.started[name] / 1e6 or -1e6, self.drawn.full_connections)

    def _node(self, position: int) -> Balancer:
        drawn, rules = self.drawn, self.drawn.rules
        settings = Settings(
            **{
                **HEALTH_CHECK_SETTINGS,
                "fleet_size": drawn.nodes,
                "position": position,
                "initial_capacity": rules.start_capacity,
                "warm_up_us": int(rules.warm_s * 1e6),
                "overload_multiple": rules.multiple,
                "overload_window_us": int(rules.window_s * 1e6),
                "weight_kind": WeightKind.ROUGH,
            }
        )
        node = Balancer(settings, self.random.getrandbits(30))
        node.handle(self.now, self.list())
        return node

    def list(self) -> EndpointListUpdate:
        """The whole list."""
        return EndpointListUpdate(tuple(Endpoint(name, started_us=at) for name, at in self.started.items()))

    def establish_half(self) -> None:
        """Half of what warm servers take stands, spread at random, before the burst."""
        self.now = BEGIN_US - 2_000_000
        for n in range(int(WARM * self.drawn.full_connections / 2)):
            node, request = self.random.choice(self.nodes), next(self.numbers)
            adopt(node, request, f"s{n % WARM}", self.now)
            node.handle(self.now, ConnectionLoadReport(request, f"s{n % WARM}", self.drawn.work * 80_000))
        for node in self.nodes:
            for n in range(WARM):
                node.handle(self.now, HealthCheckResult(f"s{n}", AttemptResult.OK, load_report=LoadReport(0.5)))

    def do(self, node: Balancer, event: Event) -> None:
        """Have a node handle an event, and carry out what it says."""
        actions = node.handle(self.now, event)
        for action in actions:
            if isinstance(action, SetTimer):
                due = self.now + action.delay_us
                self.timers.append((due, next(self.order), node, action.timer_id))
            elif isinstance(action, CheckHealth):
                load = 0.75 if action.backend.startswith("s") else 0.1
                self.do(node, HealthCheckResult(action.backend, AttemptResult.OK, load_report=LoadReport(load)))
            elif isinstance(action, StartAttempt):
                self.start(node, action)

    def start(self, node: Balancer, action: StartAttempt) -> None:
        """An attempt arrives; what becomes of it is drawn."""
        self.warm_ups[action.backend].arrive(Arrival(self.now / 1e6, str(id(node)), True))
        ending = self.drawn.ending if action.backend.startswith("c") else None
        if ending in (None, AttemptResult.OK, AttemptResult.RESET, AttemptResult.CANCELLED):
            self.do(node, ConnectionEstablished(action.request_id, 0, action.backend))
        if ending:
            self.do(
                node,
                AttemptEnded(
                    action.request_id, 0, action.backend, ending, is_final=ending is not AttemptResult.OVERLOADED
                ),
            )

    def step(self) -> None:
        """Let the clock run by a step."""
        self.now += STEP_US
        due = sorted(timer for timer in self.timers if timer[0] <= self.now)
        self.timers = [timer for timer in self.timers if timer[0] > self.now]
        for _, _, node, number in due:
            if node in self.nodes:
                self.do(node, TimerFired(number))

    def burst(self) -> None:
        """Servers vanish, and a crowd comes within a second and a half; other things happen meanwhile."""
        drawn, random = self.drawn, self.random
        self.now = BEGIN_US
        for n in range(VANISH):
            del self.started[f"s{n}"]
        for node in self.nodes:
            gone = tuple(Endpoint(f"s{n}", BackendState.GONE) for n in range(VANISH))
            self.do(node, EndpointListUpdate(gone, is_complete=False))
        crowd = int(VANISH * drawn.full_connections)
        for step in range(LENGTH_US // STEP_US):
            self.step()
            if step < 75:
                for _ in range(max(1, crowd // 75)):
                    back = Request(next(self.numbers), 2_000_000, is_reconnect=True)
                    self.do(random.choice(self.nodes), back)
            if drawn.whole_lists and step % 10 == 0:
                for node in self.nodes:
                    self.do(node, self.list())
            if drawn.restarts and step % 20 == 5:
                self.nodes[step // 20 % drawn.nodes] = self._node(step // 20 % drawn.nodes)
            if drawn.returns and step == 40:
                self.started["c0"] = self.now
                self.warm_ups["c0 again"] = self.warm_ups["c0"]
                self.warm_ups["c0"] = self._warm_up("c0")
                for node in self.nodes:
                    self.do(node, self.list())


def played(seed: int) -> FleetModel:
    """The model of a seed, after its burst."""
    model = FleetModel(Drawn.of(seed), seed)
    model.establish_half()
    model.burst()
    return model


@pytest.mark.parametrize("first", range(0, 48, 12))
def test_no_server_in_slow_start_is_overloaded_whatever_is_drawn(first: int) -> None:
    for seed in range(first, first + 12):
        model = played(seed)
        falls = [warm_up.fall for warm_up in model.warm_ups.values() if warm_up.fall]
        assert not falls, f"seed {seed}: {model.drawn}: {'; '.join(str(fall) for fall in falls)}"


def test_a_server_in_slow_start_is_of_use_while_there_is_work() -> None:
    """Guards against a budget that is kept by sending nothing: in the mean over the draws, half of what may come."""
    used = [played(seed).warm_ups[f"c{n}"].max_used_share for seed in range(100, 124) for n in range(WARMING)]
    assert sum(used) / len(used) >= 0.5, f"{sum(used) / len(used):.2f}"
