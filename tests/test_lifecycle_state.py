"""The relay's lifecycle: its transitions, how it drains, and random sequences of lifecycle calls."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from balancer.events import EndpointListUpdate
from gradefront.core.lifecycle_state import LifecycleEvent, LifecycleState, next_state

from .helper import Bench, Client

DRAIN_LIMIT_US = 4_000_000


def test_running_relay_may_leave_or_drain_and_leaving_cannot_be_undone() -> None:
    allowed = {
        (state, event) for state in LifecycleState for event in LifecycleEvent if next_state(state, event) is not None
    }
    assert all(
        (state, LifecycleEvent.LEAVE) in allowed
        for state in (LifecycleState.STARTING, LifecycleState.SERVING, LifecycleState.LAME_DUCK)
    )
    assert all(
        (state, LifecycleEvent.LAMEDUCK) in allowed for state in LifecycleState if state is not LifecycleState.STOPPED
    )
    assert {next_state(LifecycleState.LEAVING, event) for event in LifecycleEvent} == {
        LifecycleState.LEAVING,
        LifecycleState.STOPPING,
        None,
    }
    assert {next_state(LifecycleState.STOPPING, event) for event in LifecycleEvent} == {
        LifecycleState.STOPPING,
        LifecycleState.STOPPED,
        None,
    }
    assert {next_state(LifecycleState.STOPPED, event) for event in LifecycleEvent} == {None}
    assert (
        next_state(LifecycleState.LEAVING, LifecycleEvent.REJOIN) is None
        and next_state(LifecycleState.LAME_DUCK, LifecycleEvent.READY) is None
    )
    assert next_state(LifecycleState.LEAVING, LifecycleEvent.LEAVE) is None, "a second signal must change nothing"


def test_drain_spreads_migrations_over_its_time_and_answers_waiting_requests() -> None:
    bench = Bench()
    clients = [bench.establish()[1] for _ in range(30)]
    _, waiting = bench.accept_client(4_800_000)
    assert bench.core.lifecycle.lame_duck() and not bench.core.lifecycle.accepts_clients
    migrated = []
    for _ in range(40):
        bench.wait(100_000)
        migrated.append(sum("migrate" in c.calls for c in clients))
    assert migrated[3] == 0, "migrated while the load balancer may still send clients to this relay"
    assert all(b - a <= 3 for a, b in zip(migrated, migrated[1:], strict=False)), "too many migrations at once"
    assert migrated[-1] == 30 and waiting.calls == ["reject"]
    _, late, _ = bench.establish()
    bench.wait(100_000)
    assert late.calls == ["establish", "migrate"], "a client that connects after the drain is not served and migrated"


def test_rejoin_stops_the_migrations_of_a_drain() -> None:
    bench = Bench()
    clients = [bench.establish()[1] for _ in range(10)]
    bench.core.lifecycle.lame_duck()
    bench.wait(1_000_000)
    assert bench.core.lifecycle.rejoin() and bench.core.lifecycle.accepts_clients
    migrated = sum("migrate" in c.calls for c in clients)
    assert 0 < migrated < 10
    bench.wait(6_000_000)
    assert sum("migrate" in c.calls for c in clients) == migrated
    bench.core.on_endpoint_list(EndpointListUpdate(()))
    assert not bench.core.lifecycle.accepts_clients, "accepts clients without any backend"


class Lifecycles(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.bench = Bench()
        self.established: list[tuple[int, Client]] = []  # each with the time at which it was established
        self.drain_started_us = 0  # start of the drain in progress; 0: none
        self.leave_started_us = 0  # start of the graceful shutdown; 0: not yet
        self.stopped = False

    @rule()
    def lame_duck(self) -> None:
        assert self.bench.core.lifecycle.lame_duck()
        if not self.leave_started_us:
            self.drain_started_us = self.drain_started_us or self.bench.now

    @rule()
    def rejoin(self) -> None:
        assert self.bench.core.lifecycle.rejoin() == (not self.leave_started_us)
        if not self.leave_started_us:
            self.drain_started_us = 0

    @rule()
    def leave(self) -> None:
        self.leave_started_us = self.leave_started_us or self.bench.now

        def done() -> None:
            assert not self.stopped, "stopped twice"
            self.stopped = True

        self.bench.core.lifecycle.leave(done)

    @rule()
    def a_connection_is_established(self) -> None:
        if not self.stopped:
            self.established.append((self.bench.now, self.bench.establish()[1]))

    @rule(us=st.integers(4_000, 1_500_000))
    def time_passes(self, us: int) -> None:
        self.bench.wait(us)

    @invariant()
    def accepts_clients_only_while_serving_and_migrates_all_in_time(self) -> None:
        core = self.bench.core
        assert core.lifecycle.accepts_clients == (not self.drain_started_us and not self.leave_started_us)
        remaining = [arrived_us for arrived_us, client in self.established if "migrate" not in client.calls]
        if self.drain_started_us and not self.stopped and self.bench.now - self.drain_started_us >= DRAIN_LIMIT_US:
            assert all(self.bench.now - arrived_us < 200_000 for arrived_us in remaining)
        if self.leave_started_us and self.bench.now - self.leave_started_us >= core.lifecycle.kill_us:
            assert self.stopped and not remaining


Lifecycles.TestCase.settings = settings(max_examples=80, stateful_step_count=25)
TestLifecycles = Lifecycles.TestCase
