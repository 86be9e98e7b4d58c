"""Invariants of the decision module over seeded random event sequences, tested through its interface.

No request is executed twice unless its class allows that, each gets one final answer or connection in time, and
neither draining backends nor disallowed health checks are used.
"""

from __future__ import annotations

from random import Random

import pytest

from balancer import Balancer
from balancer.actions import Action, CheckHealth, Fail, Migrate, Reject, SetTimer, StartAttempt, WatchEndpointList
from balancer.events import (
    NEVER_EXECUTED,
    AttemptEnded,
    AttemptResult,
    BackendState,
    ClientDisconnected,
    ConnectionEstablished,
    Endpoint,
    EndpointListError,
    EndpointListUpdate,
    Event,
    HealthCheckResult,
    LoadReport,
    MessageLatencyReport,
    Request,
    TimerFired,
)
from balancer.settings import Idempotency, KeyScope, LoadReportSource, RequestClass, Settings, WeightKind


class RandomHost:
    """Drives one balancer with random backends, results, health checks and list changes, and checks each action."""

    def __init__(self, seed: int) -> None:
        r = self.r = Random(seed)
        idempotency_kind, scope = r.choice(list(Idempotency)), r.choice(list(KeyScope))
        self.request_class = RequestClass(
            latency_objective_us=r.choice([100_000, 500_000]),
            deadline_us=r.choice([400_000, 2_000_000]),
            idempotency=idempotency_kind,
            key_scope=scope,
            dedup_window_us=r.choice([200_000, 5_000_000]),
            message_latency_objective_us=100_000,
        )
        self.settings = Settings(
            classes=(self.request_class,),
            fleet_size=r.choice([1, 7]),
            polls_endpoint_list=r.random() < 0.5,
            may_check_health=r.random() < 0.7,
            load_report_source=r.choice(list(LoadReportSource)),
            reports_load=True,
            max_attempts=r.choice([1, 3, 6]),
            sticky_groups=r.random() < 0.3,
            timer_resolution_us=1_000,
            weight_kind=r.choice(list(WeightKind)),
            warm_up_us=r.choice([0, 5_000_000]),
            initial_capacity=0.2,
        )
        self.b = Balancer(self.settings, seed)
        self.now = 1_000
        self.queue: list[tuple[int, int, Event]] = []
        self.count = 0
        self.deadline: dict[int, int] = {}
        self.pending: dict[int, int] = {}  # number of the attempt in flight, by request id
        self.attempts: dict[int, list[tuple[Endpoint, int, bool]]] = {}
        self.established: dict[int, str] = {}
        self.answered: set[int] = set()
        self.backends = {
            f"s{n}": Endpoint(
                f"s{n}", zone=n % 2, cell=n % 3, weight=r.choice([0.0, 1.0, 2.0]), started_us=r.choice([0, 1])
            )
            for n in range(r.choice([0, 1, 5]))
        }
        self.feed(EndpointListUpdate(tuple(self.backends.values())))

    def later(self, delay: int, event: Event) -> None:
        self.count += 1
        self.queue.append((self.now + delay, self.count, event))

    def feed(self, event: Event) -> None:
        for action in self.b.handle(self.now, event):
            self.check(action)

    def check(self, a: Action) -> None:
        r = self.r
        if isinstance(a, StartAttempt):
            assert a.request_id in self.deadline and a.request_id not in self.answered
            assert a.request_id not in self.pending and a.request_id not in self.established, (
                "second attempt while one is in flight or established"
            )
            entry = self.backends[a.backend]
            assert entry.state is BackendState.READY, "sent to a backend that is not ready"
            past = self.attempts.setdefault(a.request_id, [])
            assert len(past) < self.settings.max_attempts
            for earlier, at, may_have_run in past:
                assert earlier.backend != a.backend or not may_have_run
                if may_have_run:
                    assert self.request_class.idempotency is not Idempotency.NOT_IDEMPOTENT, (
                        "possible double execution"
                    )
                    if self.request_class.idempotency is Idempotency.KEYED:
                        assert self.now < at + self.request_class.dedup_window_us
                        assert self.request_class.key_scope is not KeyScope.ZONE or earlier.zone == entry.zone
                        assert self.request_class.key_scope is not KeyScope.CELL or earlier.cell == entry.cell
            result = r.choice(list(AttemptResult))
            if result is AttemptResult.NOT_SENT:
                result = AttemptResult.OK
            took = min(r.choice([1_000, 50_000, a.timeout_us]), a.timeout_us)  # the host enforces the timeout
            past.append((entry, self.now, result not in NEVER_EXECUTED))
            self.pending[a.request_id] = len(past) - 1
            if result is AttemptResult.OK:
                self.later(took, ConnectionEstablished(a.request_id, len(past) - 1, a.backend))
            else:
                self.later(took, AttemptEnded(a.request_id, len(past) - 1, a.backend, result))
        elif isinstance(a, (Reject, Fail)):
            assert a.request_id in self.deadline and a.request_id not in self.answered, "second final answer"
            assert a.request_id not in self.pending and self.now <= self.deadline[a.request_id] + 1_000
            executed = any(may for _, _, may in self.attempts.get(a.request_id, []))
            if isinstance(a, Reject) and executed:
                assert self.request_class.idempotency is Idempotency.IDEMPOTENT or (
                    self.request_class.idempotency is Idempotency.KEYED
                    and self.request_class.key_scope is KeyScope.ALL
                )
            self.answered.add(a.request_id)
        elif isinstance(a, CheckHealth):
            assert self.settings.may_check_health
            load = r.choice([0.1, 0.5, 0.9, 1.5, -1.0, float("nan"), 1e9])
            self.later(
                r.choice([1_000, 90_000, 300_000]),
                HealthCheckResult(
                    a.backend,
                    r.choice([AttemptResult.OK, AttemptResult.OK, AttemptResult.TIMEOUT, AttemptResult.OVERLOADED]),
                    load_report=r.choice([None, LoadReport(load)]),
                ),
            )
        elif isinstance(a, SetTimer):
            assert a.delay_us >= 1
            self.later(a.delay_us, TimerFired(a.timer_id))
        elif isinstance(a, Migrate):
            assert a.request_id in self.established
            del self.established[a.request_id]
        elif isinstance(a, WatchEndpointList):
            assert self.settings.polls_endpoint_list
            self.later(10_000, EndpointListError() if r.random() < 0.5 else EndpointListUpdate((), is_complete=False))

    def run(self, steps: int) -> None:
        r = self.r
        for step in range(steps):
            self.queue.sort(key=lambda q: (q[0], q[1]))
            pause = r.choice([0, 1_000, 30_000])
            if self.queue and (r.random() < 0.8 or self.queue[0][0] <= self.now + pause):
                at, _, event = self.queue.pop(0)
                self.now = max(self.now, at)
                if isinstance(event, ConnectionEstablished):
                    self.pending.pop(event.request_id, None)
                    self.established[event.request_id] = event.backend
                    self.answered.add(event.request_id)
                elif isinstance(event, AttemptEnded):
                    self.pending.pop(event.request_id, None)
                self.feed(event)
                continue
            self.now += pause
            pick = r.random()
            if pick < 0.6:
                self.deadline[step] = self.now + self.request_class.deadline_us
                self.feed(
                    Request(
                        step,
                        self.request_class.deadline_us,
                        sticky_group="g",
                        idempotency_key=r.choice(["", "k"]),
                        load_hint=r.choice([0.0, 1.0, 1e12]),
                    )
                )
            elif pick < 0.75 and self.backends:
                name = r.choice(sorted(self.backends))
                old = self.backends[name]
                entry = Endpoint(
                    name,
                    r.choice(list(BackendState)),
                    old.zone,
                    old.cell,
                    old.kind,
                    old.weight,
                    r.choice([old.started_us, self.now]),
                )
                self.backends[name] = entry
                self.feed(EndpointListUpdate((entry,), is_complete=False))
            elif pick < 0.9 and self.established:
                request, backend = next(iter(self.established.items()))
                self.feed(MessageLatencyReport(request, backend, r.choice([1.0, 9e5, float("nan")])))
            elif self.deadline:
                request = r.choice(sorted(self.deadline))
                if request not in self.answered and request not in self.pending:
                    self.answered.add(request)
                    self.feed(ClientDisconnected(request))
        while self.queue and self.count < 50 * steps:
            self.queue.sort(key=lambda q: (q[0], q[1]))
            at, _, event = self.queue.pop(0)
            self.now = max(self.now, at)
            if isinstance(event, (ConnectionEstablished, AttemptEnded)):
                self.pending.pop(event.request_id, None)
                if isinstance(event, ConnectionEstablished):
                    self.established[event.request_id] = event.backend
                    self.answered.add(event.request_id)
            if (
                isinstance(event, TimerFired)
                or not self.settings.polls_endpoint_list
                or not isinstance(event, (EndpointListError, EndpointListUpdate))
            ):
                self.feed(event)
        assert set(self.deadline) == self.answered, "a request without connection or final answer"


@pytest.mark.parametrize("seed", range(300))
def test_rules_hold_for_random_event_sequences(seed: int) -> None:
    RandomHost(seed).run(150)


def test_late_health_check_result_does_not_place_a_request_twice() -> None:
    """Guards against a second attempt when a health check result arrives after the timer has placed the request."""
    request_class = RequestClass(latency_objective_us=500_000, deadline_us=2_000_000)
    b = Balancer(
        Settings(classes=(request_class,), may_check_health=True, load_report_source=LoadReportSource.HEALTH_CHECKS),
        3,
    )
    b.handle(0, EndpointListUpdate(tuple(Endpoint(f"s{n}") for n in range(3))))
    actions = b.handle(1, Request(1, 2_000_000))
    checked = [a.backend for a in actions if isinstance(a, CheckHealth)]
    timer = next(a for a in actions if isinstance(a, SetTimer))
    assert len(checked) >= 2
    b.handle(2, HealthCheckResult(checked[0], AttemptResult.OK, load_report=LoadReport(0.1)))
    placed = b.handle(1 + timer.delay_us, TimerFired(timer.timer_id))
    assert any(isinstance(a, StartAttempt) for a in placed)
    for name in checked[1:]:
        later = b.handle(200_000, HealthCheckResult(name, AttemptResult.OK, load_report=LoadReport(0.1)))
        assert not any(isinstance(a, StartAttempt) for a in later)
