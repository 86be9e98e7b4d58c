"""Cost of a placement in the decision module by the number of backends: this checkout compared with others.

`python -m benchmarks.placement_scale [CHECKOUT ...]` prints a Markdown table. Each figure is the CPU time per request
of the decision module alone, without I/O: calm, while six in ten backends are replaced, and while six in ten are in
slow start. The checkouts run in alternation, each in a process of its own.
"""

from __future__ import annotations

import os
import statistics
import subprocess
import sys
import time
from collections import defaultdict
from pathlib import Path

from balancer import Balancer, Settings
from balancer.actions import CheckHealth, StartAttempt
from balancer.events import (
    AttemptResult,
    BackendState,
    ConnectionEstablished,
    Endpoint,
    EndpointListUpdate,
    HealthCheckResult,
    LoadReport,
    Request,
)
from balancer.settings import LoadReportSource, RequestClass, WeightKind
from lab.stand_ins import CHECKOUT

ROUNDS = 5
SIZES = (60, 800, 3_200)
STATES = ("calm", "replacing", "slow start")
BACKENDS_PER_NODE = 16
REQUESTS = 280  # measured in one run
REQUEST_INTERVAL_US = 25_000
UPDATE_INTERVAL_US = 200_000
REPLACEMENT_US = 7_000_000
REPLACED_SHARE = 0.6
START_US = 100_000_000
CLASS = RequestClass(latency_objective_us=800_000, deadline_us=4_800_000)


def settings(backends: int) -> Settings:
    """Return the settings of a node in a fleet that serves so many backends."""
    nodes = max(1, backends // BACKENDS_PER_NODE)
    return Settings(
        classes=(CLASS,),
        fleet_size=nodes,
        position=nodes // 2,
        may_check_health=True,
        load_report_source=LoadReportSource.HEALTH_CHECKS,
        reports_load=True,
        weight_kind=WeightKind.ROUGH,
        initial_capacity=0.12,
        warm_up_us=21_000_000,
        sticky_groups=True,
    )


class Fleet:
    """A balancer with its backends, of which six in ten can be replaced.

    Attributes: `cpu_s`, the CPU seconds spent in the decision module so far.
    """

    def __init__(self, backends: int) -> None:
        self.balancer = Balancer(settings(backends), 1)
        self.replaced = int(backends * REPLACED_SHARE)
        self.now_us = START_US
        self.cpu_s = 0.0
        self._requests = 0
        entries = tuple(Endpoint(f"old-{n}", weight=float(1 + n % 3)) for n in range(backends))
        self.balancer.handle(self.now_us, EndpointListUpdate(entries))
        self.request()

    def replace(self, first: int, last: int) -> None:
        """Replace some backends: new ones start, old ones are gone."""
        new = tuple(Endpoint(f"new-{n}", weight=float(1 + n % 3), started_us=self.now_us) for n in range(first, last))
        old = tuple(Endpoint(f"old-{n}", BackendState.GONE) for n in range(first, last))
        self._measure(EndpointListUpdate(new + old, is_complete=False))

    def request(self) -> None:
        """Place one request, with the health checks that it needs, and establish its connection."""
        self._requests += 1
        actions = self._measure(Request(self._requests, 4_800_000, sticky_group=f"{self._requests:016x}"))
        for check in [action for action in actions if isinstance(action, CheckHealth)]:
            result = HealthCheckResult(check.backend, AttemptResult.OK, load_report=LoadReport(0.4))
            actions = actions + self._measure(result)
        for attempt in [action for action in actions if isinstance(action, StartAttempt)]:
            self._measure(ConnectionEstablished(attempt.request_id, 1, attempt.backend))

    def _measure(self, event: object) -> list[object]:
        began_s = time.process_time()
        actions = self.balancer.handle(self.now_us, event)  # type: ignore[arg-type]
        self.cpu_s += time.process_time() - began_s
        return list(actions)


def run(backends: int, state: str) -> float:
    """Return CPU microseconds of the decision module per request, with its share of the list updates."""
    fleet = Fleet(backends)
    if state == "slow start":
        fleet.replace(0, fleet.replaced)
    fleet.cpu_s = 0.0
    began_us, updates = fleet.now_us, 0
    steps = REPLACEMENT_US // UPDATE_INTERVAL_US
    for _ in range(REQUESTS):
        fleet.now_us += REQUEST_INTERVAL_US
        while state == "replacing" and updates < min(steps, (fleet.now_us - began_us) // UPDATE_INTERVAL_US):
            fleet.replace(fleet.replaced * updates // steps, fleet.replaced * (updates + 1) // steps)
            updates += 1
        fleet.request()
    return fleet.cpu_s / REQUESTS * 1e6


def measure_all() -> None:
    """Print one line for each size and state: size, state, microseconds."""
    for backends in SIZES:
        for state in STATES:
            print(backends, state.replace(" ", "-"), run(backends, state))


def run_tree(tree: Path) -> dict[tuple[int, str], float]:
    """Run this checkout's measurement with the decision module of a checkout."""
    code = (
        "import sys, balancer; sys.path.insert(0, sys.argv[1])\n"
        "from benchmarks import placement_scale; placement_scale.measure_all()"
    )
    lines = subprocess.run(
        [sys.executable, "-P", "-c", code, str(CHECKOUT)],
        cwd="/",
        env=os.environ | {"PYTHONPATH": str(tree)},
        check=True,
        stdout=subprocess.PIPE,
        text=True,
    ).stdout.splitlines()
    return {
        (int(size), state.replace("-", " ")): float(cost_us)
        for size, state, cost_us in (line.split() for line in lines)
    }


def main(trees: list[Path]) -> None:
    """Run all rounds, alternating the order of the checkouts, and print the table."""
    rounds: dict[Path, list[dict[tuple[int, str], float]]] = defaultdict(list)
    for number in range(ROUNDS):
        for tree in trees if number % 2 else trees[::-1]:
            rounds[tree].append(run_tree(tree))
    print("| checkout | state |" + "".join(f" {size} backends |" for size in SIZES))
    print("| --- | --- |" + " --- |" * len(SIZES))
    for tree in trees:
        for state in STATES:
            medians = [statistics.median(costs[size, state] for costs in rounds[tree]) for size in SIZES]
            print(f"| {tree.name} | {state} |" + "".join(f" {median:.0f} us |" for median in medians))


if __name__ == "__main__":
    main([CHECKOUT, *(Path(name).resolve() for name in sys.argv[1:])])
