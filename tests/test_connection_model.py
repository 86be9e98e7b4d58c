"""Compares connections, after random steps, with a model of their states."""

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
    """The expected state of one connection."""

    connection: Connection
    client: Client
    deadline: int
    expected_state: ConnectionState = ConnectionState.QUEUED
    attempts: int = 0
    disconnected: bool = False  # the client disconnected before the connection was closed


class Connections(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.bench = Bench()
        self.models: list[Model] = []
        self.sent = 0  # attempts whose request was written completely

    def pick(self, n: int) -> Model | None:
        return self.models[n % len(self.models)] if self.models else None

    def current_attempt(self, model: Model) -> Attempt | None:
        return model.connection.attempt

    @rule(timeout=st.integers(50_000, 2_000_000))
    def a_client_connects(self, timeout: int) -> None:
        connection, client = self.bench.accept_client(timeout)
        self.models.append(Model(connection, client, self.bench.now + timeout))

    @rule(n=st.integers(0), backend=st.sampled_from(["box-1", "box-2"]), timeout=st.integers(1, 900_000))
    def module_starts_attempt(self, n: int, backend: str, timeout: int) -> None:
        if model := self.pick(n):
            self.bench.run_actions(StartAttempt(model.connection.number, backend, timeout))
            if model.expected_state is ConnectionState.QUEUED and model.attempts < SETTINGS.max_attempts:
                model.expected_state, model.attempts = ConnectionState.CONNECTING, model.attempts + 1

    @rule(n=st.integers(0), rejects=st.booleans())
    def module_answers(self, n: int, rejects: bool) -> None:
        model = self.pick(n)
        if model and model.expected_state is not ConnectionState.ESTABLISHED:
            number = model.connection.number
            self.bench.run_actions(Reject(number, 5_000) if rejects else Fail(number))
            model.expected_state = ConnectionState.CLOSED

    @rule(n=st.integers(0))
    def module_migrates(self, n: int) -> None:
        if model := self.pick(n):
            self.bench.run_actions(Migrate(model.connection.number))
            if model.expected_state is ConnectionState.ESTABLISHED:
                assert model.client.calls[-1] == "migrate"
                model.expected_state = ConnectionState.CLOSED

    @rule(n=st.integers(0), phase=st.sampled_from([AttemptPhase.WRITING, AttemptPhase.SENT]))
    def attempt_advances(self, n: int, phase: AttemptPhase) -> None:
        model = self.pick(n)
        if model and (attempt := self.current_attempt(model)):
            self.sent += attempt.phase < phase is AttemptPhase.SENT
            attempt.advance(phase)

    @rule(n=st.integers(0))
    def backend_accepts(self, n: int) -> None:
        model = self.pick(n)
        if model and (attempt := self.current_attempt(model)):
            if model.expected_state is ConnectionState.CONNECTING:
                attempt.succeed("response line")
                model.expected_state = ConnectionState.ESTABLISHED

    @rule(
        n=st.integers(0),
        cause=st.sampled_from([Cause.BROKEN, Cause.REJECTED, Cause.ERROR, Cause.MIGRATED_BY_BACKEND]),
    )
    def backend_ends_attempt(self, n: int, cause: Cause) -> None:
        model = self.pick(n)
        if model and (attempt := self.current_attempt(model)):
            attempt.end(cause, ConnectionEnd.BROKEN)
            model.expected_state = (
                ConnectionState.QUEUED
                if model.expected_state is ConnectionState.CONNECTING
                else ConnectionState.CLOSED
            )

    @rule(n=st.integers(0), cause=st.sampled_from(list(Cause)))
    def ended_attempts_are_called(self, n: int, cause: Cause) -> None:
        for attempt in self.bench.attempts:
            if attempt.is_over:
                attempt.succeed("late")
                attempt.advance(AttemptPhase.SENT)
                attempt.end(cause)

    @rule(n=st.integers(0))
    def client_disconnects(self, n: int) -> None:
        if model := self.pick(n):
            model.disconnected = model.disconnected or model.expected_state is not ConnectionState.CLOSED
            self.bench.core.on_client_closed(model.connection, ConnectionEnd.ORDERLY)
            model.expected_state = ConnectionState.CLOSED

    @rule(us=st.integers(4_000, 700_000))
    def time_passes(self, us: int) -> None:
        self.bench.wait(us)
        for model in self.models:  # timeouts of attempts and deadlines may change the state by themselves
            if model.expected_state in (ConnectionState.QUEUED, ConnectionState.CONNECTING):
                model.expected_state = model.connection.state
                assert model.expected_state in (
                    ConnectionState.QUEUED,
                    ConnectionState.CONNECTING,
                    ConnectionState.CLOSED,
                )

    @invariant()
    def counters_match_answers_and_sends(self) -> None:
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
    def connections_match_model(self) -> None:
        self.bench.core.run_once()
        for model in self.models:
            assert model.connection.state is model.expected_state
            assert model.connection.attempts == model.attempts <= SETTINGS.max_attempts
            answers = [call for call in model.client.calls if call in ANSWERS]
            is_due = not model.disconnected and (
                model.expected_state is ConnectionState.CLOSED or self.bench.now >= model.deadline
            )
            assert len(answers) <= 1 and (answers or not is_due), "not exactly one answer before the deadline"
            assert (model.expected_state is ConnectionState.CLOSED) == (
                model.connection.number not in self.bench.core.connections
            )
            attempts = [a for a in self.bench.attempts if a.connection is model.connection]
            assert sum(not a.is_over for a in attempts) <= 1, "two attempts in flight: a hedged request"
            ends = [
                end.attempt
                for end in self.bench.attempt_ends(model.connection)
                if end.result is not AttemptResult.NOT_SENT
            ]
            assert sorted(ends) == [a.number for a in attempts if a.is_over], "not exactly one end for each attempt"


Connections.TestCase.settings = settings(max_examples=150, stateful_step_count=40)
TestConnections = Connections.TestCase
