"""Whether the relay accepts clients, and how it drains, against random steps."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from balancer.events import EndpointListUpdate
from gradefront.core.lifecycle_state import LifecycleEvent, LifecycleState, step

from .helper import Bench, Client

FOUR_S = 4_000_000


def test_a_running_relay_may_leave_or_drain_and_leaving_has_no_way_back() -> None:
    granted = {
        (state, event) for state in LifecycleState for event in LifecycleEvent if step(state, event) is not None
    }
    assert all(
        (state, LifecycleEvent.LEAVE) in granted
        for state in (LifecycleState.STARTING, LifecycleState.SERVING, LifecycleState.LAME_DUCK)
    )
    assert all(
        (state, LifecycleEvent.LAMEDUCK) in granted for state in LifecycleState if state is not LifecycleState.STOPPED
    )
    assert {step(LifecycleState.LEAVING, event) for event in LifecycleEvent} == {
        LifecycleState.LEAVING,
        LifecycleState.STOPPING,
        None,
    }
    assert {step(LifecycleState.STOPPING, event) for event in LifecycleEvent} == {
        LifecycleState.STOPPING,
        LifecycleState.STOPPED,
        None,
    }
    assert {step(LifecycleState.STOPPED, event) for event in LifecycleEvent} == {None}
    assert (
        step(LifecycleState.LEAVING, LifecycleEvent.REJOIN) is None
        and step(LifecycleState.LAME_DUCK, LifecycleEvent.READY) is None
    )
    assert step(LifecycleState.LEAVING, LifecycleEvent.LEAVE) is None, "a second signal begins nothing anew"


def test_a_drain_is_spread_over_its_time_and_answers_whoever_waits() -> None:
    bench = Bench()
    clients = [bench.establish()[1] for _ in range(30)]
    _, waiting = bench.accept_client(4_800_000)
    assert bench.core.lifecycle.lame_duck() and not bench.core.lifecycle.accepts_clients
    migrated = []
    for _ in range(40):
        bench.wait(100_000)
        migrated.append(sum("migrate" in c.calls for c in clients))
    assert migrated[3] == 0, "the load balancer still sends clients for a moment"
    assert all(b - a <= 3 for a, b in zip(migrated, migrated[1:], strict=False)), "no herd"
    assert migrated[-1] == 30 and waiting.calls == ["reject"]
    _, late, _ = bench.establish()
    bench.wait(100_000)
    assert late.calls == ["establish", "migrate"], "who comes all the same is served, then migrated"


def test_after_the_end_of_a_drain_nobody_is_moved_on_its_account() -> None:
    bench = Bench()
    clients = [bench.establish()[1] for _ in range(10)]
    bench.core.lifecycle.lame_duck()
    bench.wait(1_000_000)
    assert bench.core.lifecycle.rejoin() and bench.core.lifecycle.accepts_clients
    moved = sum("migrate" in c.calls for c in clients)
    assert 0 < moved < 10
    bench.wait(6_000_000)
    assert sum("migrate" in c.calls for c in clients) == moved
    bench.core.on_endpoint_list(EndpointListUpdate(()))
    assert not bench.core.lifecycle.accepts_clients, "no backend, no clients"


class Lifecycles(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.bench = Bench()
        self.stood: list[tuple[int, Client]] = []
        self.lame_us = 0  # when the drain that is on began
        self.left_us = 0
        self.gone = False

    @rule()
    def lame_duck(self) -> None:
        assert self.bench.core.lifecycle.lame_duck()
        if not self.left_us:
            self.lame_us = self.lame_us or self.bench.now

    @rule()
    def rejoin(self) -> None:
        assert self.bench.core.lifecycle.rejoin() == (not self.left_us)
        if not self.left_us:
            self.lame_us = 0

    @rule()
    def leave(self) -> None:
        self.left_us = self.left_us or self.bench.now

        def done() -> None:
            assert not self.gone, "ended once"
            self.gone = True

        self.bench.core.lifecycle.leave(done)

    @rule()
    def a_connection_is_established(self) -> None:
        if not self.gone:
            self.stood.append((self.bench.now, self.bench.establish()[1]))

    @rule(us=st.integers(4_000, 1_500_000))
    def time_passes(self, us: int) -> None:
        self.bench.wait(us)

    @invariant()
    def yes_only_in_service_and_nobody_is_held_beyond_the_drain(self) -> None:
        core = self.bench.core
        assert core.lifecycle.accepts_clients == (not self.lame_us and not self.left_us)
        held = [arrived_us for arrived_us, client in self.stood if "migrate" not in client.calls]
        if self.lame_us and not self.gone and self.bench.now - self.lame_us >= FOUR_S:
            assert all(self.bench.now - arrived_us < 200_000 for arrived_us in held)
        if self.left_us and self.bench.now - self.left_us >= core.lifecycle.kill_us:
            assert self.gone and not held


Lifecycles.TestCase.settings = settings(max_examples=80, stateful_step_count=25)
TestLifecycles = Lifecycles.TestCase
