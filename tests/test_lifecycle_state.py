"""Whether the relay takes clients, and how it is emptied, against random steps."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from balancer.events import EndpointListUpdate
from gradefront.core.lifecycle_state import LifecycleEvent, LifecycleState, step

from .helper import Bench, Client

FOUR_S = 4_000_000


def test_every_word_has_an_answer_in_every_state_and_leaving_has_no_way_back() -> None:
    granted = {(state, word) for state in LifecycleState for word in LifecycleEvent if step(state, word) is not None}
    assert all(
        (state, LifecycleEvent.LEAVE) in granted
        for state in (LifecycleState.STARTING, LifecycleState.SERVING, LifecycleState.LAME_DUCK)
    )
    assert all(
        (state, LifecycleEvent.LAMEDUCK) in granted for state in LifecycleState if state is not LifecycleState.STOPPED
    )
    assert {step(LifecycleState.LEAVING, word) for word in LifecycleEvent} == {
        LifecycleState.LEAVING,
        LifecycleState.STOPPING,
        None,
    }
    assert {step(LifecycleState.STOPPING, word) for word in LifecycleEvent} == {
        LifecycleState.STOPPING,
        LifecycleState.STOPPED,
        None,
    }
    assert {step(LifecycleState.STOPPED, word) for word in LifecycleEvent} == {None}
    assert (
        step(LifecycleState.LEAVING, LifecycleEvent.REJOIN) is None
        and step(LifecycleState.LAME_DUCK, LifecycleEvent.READY) is None
    )
    assert step(LifecycleState.LEAVING, LifecycleEvent.LEAVE) is None, "a second signal begins nothing anew"


def test_a_drain_is_spread_over_its_time_and_answers_whoever_waits() -> None:
    bench = Bench()
    clients = [bench.standing()[1] for _ in range(30)]
    _, waiting = bench.arrive(4_800_000)
    assert bench.core.lifecycle.lame_duck() and not bench.core.lifecycle.accepts_clients
    told = []
    for _ in range(40):
        bench.wait(100_000)
        told.append(sum("move" in c.told for c in clients))
    assert told[3] == 0, "the front still sends clients for a moment"
    assert all(b - a <= 3 for a, b in zip(told, told[1:], strict=False)), "no herd"
    assert told[-1] == 30 and waiting.told == ["refuse"]
    _, late, _ = bench.standing()
    bench.wait(100_000)
    assert late.told == ["seat", "move"], "who comes all the same is served, then moved"


def test_after_the_end_of_a_drain_nobody_is_moved_on_its_account() -> None:
    bench = Bench()
    clients = [bench.standing()[1] for _ in range(10)]
    bench.core.lifecycle.lame_duck()
    bench.wait(1_000_000)
    assert bench.core.lifecycle.rejoin() and bench.core.lifecycle.accepts_clients
    moved = sum("move" in c.told for c in clients)
    assert 0 < moved < 10
    bench.wait(6_000_000)
    assert sum("move" in c.told for c in clients) == moved
    bench.core.on_endpoint_list(EndpointListUpdate(()))
    assert not bench.core.lifecycle.accepts_clients, "no push box, no clients"


class Duties(RuleBasedStateMachine):
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
    def a_visit_stands(self) -> None:
        if not self.gone:
            self.stood.append((self.bench.now, self.bench.standing()[1]))

    @rule(us=st.integers(4_000, 1_500_000))
    def time_passes(self, us: int) -> None:
        self.bench.wait(us)

    @invariant()
    def yes_only_in_service_and_nobody_is_held_beyond_the_drain(self) -> None:
        core = self.bench.core
        assert core.lifecycle.accepts_clients == (not self.lame_us and not self.left_us)
        held = [came for came, client in self.stood if "move" not in client.told]
        if self.lame_us and not self.gone and self.bench.now - self.lame_us >= FOUR_S:
            assert all(self.bench.now - came < 200_000 for came in held)
        if self.left_us and self.bench.now - self.left_us >= core.lifecycle.kill_us:
            assert self.gone and not held


Duties.TestCase.settings = settings(max_examples=80, stateful_step_count=25)
TestDuties = Duties.TestCase
