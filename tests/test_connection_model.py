"""A model of a connection's states, against which random steps are checked."""

from __future__ import annotations

from dataclasses import dataclass

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from balancer.actions import Fail, Migrate, Reject, StartAttempt
from balancer.events import AttemptResult
from gradefront.core.attempt_outcome import AttemptPhase, Cause
from gradefront.core.connection import Attempt, Connection, ConnectionState
from gradefront.core.ports import ConnectionEnd

from .helper import SETTINGS, Bench, Client

ANSWERS = {"establish", "reject", "fail"}


@dataclass
class Model:
    """What a connection should look like."""

    connection: Connection
    client: Client
    deadline: int
    stage: ConnectionState = ConnectionState.QUEUED
    attempts: int = 0
    left: bool = False


class Connections(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.bench = Bench()
        self.models: list[Model] = []
        self.sent = 0  # attempts whose last byte was written

    def pick(self, n: int) -> Model | None:
        return self.models[n % len(self.models)] if self.models else None

    def out(self, model: Model) -> Attempt | None:
        return model.connection.attempt

    @rule(timeout=st.integers(50_000, 2_000_000))
    def arrives(self, timeout: int) -> None:
        connection, client = self.bench.accept_client(timeout)
        self.models.append(Model(connection, client, self.bench.now + timeout))

    @rule(n=st.integers(0), backend=st.sampled_from(["box-1", "box-2"]), timeout=st.integers(1, 900_000))
    def module_starts(self, n: int, backend: str, timeout: int) -> None:
        if model := self.pick(n):
            self.bench.run_actions(StartAttempt(model.connection.number, backend, timeout))
            if model.stage is ConnectionState.QUEUED and model.attempts < SETTINGS.max_attempts:
                model.stage, model.attempts = ConnectionState.CONNECTING, model.attempts + 1

    @rule(n=st.integers(0), rejects=st.booleans())
    def module_answers(self, n: int, rejects: bool) -> None:
        model = self.pick(n)
        if model and model.stage is not ConnectionState.ESTABLISHED:
            number = model.connection.number
            self.bench.run_actions(Reject(number, 5_000) if rejects else Fail(number))
            model.stage = ConnectionState.CLOSED

    @rule(n=st.integers(0))
    def module_migrates(self, n: int) -> None:
        if model := self.pick(n):
            self.bench.run_actions(Migrate(model.connection.number))
            if model.stage is ConnectionState.ESTABLISHED:
                assert model.client.calls[-1] == "migrate"
                model.stage = ConnectionState.CLOSED

    @rule(n=st.integers(0), phase=st.sampled_from([AttemptPhase.WRITING, AttemptPhase.SENT]))
    def attempt_advances(self, n: int, phase: AttemptPhase) -> None:
        model = self.pick(n)
        if model and (attempt := self.out(model)):
            self.sent += attempt.phase < phase is AttemptPhase.SENT
            attempt.advance(phase)

    @rule(n=st.integers(0))
    def backend_accepts(self, n: int) -> None:
        model = self.pick(n)
        if model and (attempt := self.out(model)):
            if model.stage is ConnectionState.CONNECTING:
                attempt.succeed("response line")
                model.stage = ConnectionState.ESTABLISHED

    @rule(
        n=st.integers(0),
        cause=st.sampled_from([Cause.BROKEN, Cause.REJECTED, Cause.ERROR, Cause.MIGRATED_BY_BACKEND]),
    )
    def backend_ends(self, n: int, cause: Cause) -> None:
        model = self.pick(n)
        if model and (attempt := self.out(model)):
            attempt.end(cause, ConnectionEnd.BROKEN)
            model.stage = (
                ConnectionState.QUEUED if model.stage is ConnectionState.CONNECTING else ConnectionState.CLOSED
            )

    @rule(n=st.integers(0), cause=st.sampled_from(list(Cause)))
    def ended_attempt_is_called(self, n: int, cause: Cause) -> None:
        for attempt in self.bench.attempts:
            if attempt.is_over:
                attempt.succeed("late")
                attempt.advance(AttemptPhase.SENT)
                attempt.end(cause)

    @rule(n=st.integers(0))
    def client_leaves(self, n: int) -> None:
        if model := self.pick(n):
            model.left = model.left or model.stage is not ConnectionState.CLOSED
            self.bench.core.on_client_closed(model.connection, ConnectionEnd.ORDERLY)
            model.stage = ConnectionState.CLOSED

    @rule(us=st.integers(4_000, 700_000))
    def time_passes(self, us: int) -> None:
        self.bench.wait(us)
        for model in self.models:  # only time's own doing: timeout that ran out, deadlines
            if model.stage in (ConnectionState.QUEUED, ConnectionState.CONNECTING):
                model.stage = model.connection.state
                assert model.stage in (ConnectionState.QUEUED, ConnectionState.CONNECTING, ConnectionState.CLOSED)

    @invariant()
    def the_figures_are_what_the_clients_got(self) -> None:
        calls = [call for model in self.models for call in model.client.calls]
        counters = self.bench.core.counters
        for name, answer in (
            ("answered_total", "establish"),
            ("deferred_total", "reject"),
            ("errored_total", "fail"),
        ):
            assert counters.get_for_class(name, "visit-checkin") == calls.count(answer)
        assert counters.counts["sends_total"] == self.sent

    @invariant()
    def as_the_model_says(self) -> None:
        self.bench.core.run_once()
        for model in self.models:
            assert model.connection.state is model.stage
            assert model.connection.attempts == model.attempts <= SETTINGS.max_attempts
            answers = [t for t in model.client.calls if t in ANSWERS]
            answered = not model.left and (model.stage is ConnectionState.CLOSED or self.bench.now >= model.deadline)
            assert len(answers) <= 1 and (answers or not answered), "exactly one answer, in time"
            assert (model.stage is ConnectionState.CLOSED) == (
                model.connection.number not in self.bench.core.connections
            )
            mine = [a for a in self.bench.attempts if a.connection is model.connection]
            assert sum(not a.is_over for a in mine) <= 1, "a hedged request"
            ends = [
                o.attempt for o in self.bench.attempt_ends(model.connection) if o.result is not AttemptResult.NOT_SENT
            ]
            assert sorted(ends) == [a.number for a in mine if a.is_over], "one outcome for each attempt"


Connections.TestCase.settings = settings(max_examples=150, stateful_step_count=40)
TestConnections = Connections.TestCase
