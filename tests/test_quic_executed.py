"""A repeated Initial does not execute a request again after the relay has an answer or has forgotten the connection.

Guards against an unsafe request that ran at two backends because its client's link had stalled while the answer was
on its way (review/7), or that ran in the next process at the address of the backend that had answered (review/9).
"""

from __future__ import annotations

import os
from collections.abc import Iterator
from typing import Any

import pytest

from balancer.settings import Idempotency, KeyScope
from gradefront.core.connection import Connection, ConnectionState
from gradefront.quic.executed import MAX_ENTRIES, ExecutedRequests
from gradefront.quic.headers import split
from gradefront.quic.initials import CONNECTION_REFUSED, open_initial, seal_initial

from .test_quic_model import FORM, read_all
from .test_quic_repeated_initial import HELLO, HELLO_REST, HELLO_START, Request

CLOSE = b"\x1c\x00\x00\x00"
CLIENT_WAITS_US = 5_000_000
SERVER_HELLO = b"\x06\x00\x04text"
UNSAFE = {"idempotency": Idempotency.NOT_IDEMPOTENT, "deadline_us": CLIENT_WAITS_US}


class AnsweredRequest(Request):
    """A request that the backend has executed and answered."""

    def __init__(self, **class_rules: Any) -> None:
        super().__init__(HELLO, **class_rules)
        self.relay = self.start_attempt()[0][1]
        self.stands: Connection = self.connection
        own_id = FORM.make(b"\0\1")
        self.answer = seal_initial(1, self.first_id, self.client_id, own_id, SERVER_HELLO)
        self.backend.sendto(self.answer, self.relay)
        self.serve()
        assert [data for data, _ in read_all(self.client)] == [self.answer]
        assert self.stands.state is ConnectionState.ESTABLISHED

    def repeat(self) -> list[bytes]:
        """Repeat the Initial. Return what the client gets."""
        self.send(HELLO)
        return [data for data, _ in read_all(self.client)]

    def is_executed_again(self) -> bool:
        """Return whether the last Initial has reached the backend or has become a new request."""
        self.serve()
        waiting = [c for c in self.bench.core.connections.values() if c is not self.stands]
        return bool(waiting or read_all(self.backend))

    def is_closed_by(self, datagram: bytes) -> bool:
        """Return whether a datagram closes the client's connection."""
        opened = open_initial(split(datagram)[0], self.first_id, from_client=False)
        return opened is not None and opened.close_code == CONNECTION_REFUSED


@pytest.fixture
def answered() -> Iterator[Any]:
    made: list[AnsweredRequest] = []

    def make(**class_rules: Any) -> AnsweredRequest:
        made.append(AnsweredRequest(**class_rules))
        return made[-1]

    yield make
    for request in made:
        request.front.close()
        for sock in (request.backend, request.client):
            sock.close()


@pytest.mark.parametrize("after_us", [100_000, 2_900_000, 4_500_000])
def test_a_client_that_missed_the_answer_gets_it_again_and_the_request_runs_once(
    answered: Any, after_us: int
) -> None:
    request = answered(**UNSAFE)
    request.bench.wait(after_us)
    assert request.repeat() == [request.answer]
    assert not request.is_executed_again()
    assert request.stands.state is ConnectionState.ESTABLISHED


def test_the_next_process_at_the_address_does_not_get_a_repeated_initial(answered: Any) -> None:
    request = answered(**UNSAFE)
    request.restart_backend()
    assert request.repeat() == [request.answer]
    assert not request.is_executed_again()


def test_an_initial_after_the_client_gave_up_is_no_new_request(answered: Any) -> None:
    request = answered(**UNSAFE)
    request.bench.wait(CLIENT_WAITS_US + 200_000)
    assert request.stands.state is ConnectionState.CLOSED
    (answer,) = request.repeat()
    assert request.is_closed_by(answer)
    assert not request.is_executed_again()


def test_an_initial_after_a_migration_is_no_new_request(answered: Any) -> None:
    request = answered(**UNSAFE)
    request.bench.core.migrate(request.stands)
    read_all(request.client)
    (answer,) = request.repeat()
    assert request.is_closed_by(answer)
    assert not request.is_executed_again()


def test_an_initial_that_comes_after_the_clients_close_is_no_new_request() -> None:
    request = Request(HELLO, **UNSAFE)
    try:
        request.start_attempt()
        request.send(CLOSE)
        assert not request.bench.core.connections
        request.send(HELLO)
        assert not request.bench.core.connections
    finally:
        request.front.close()


def test_an_initial_is_known_after_the_client_has_used_many_ids(answered: Any) -> None:
    """Guards against the loss of the first id, the oldest of a connection."""
    request = answered(**UNSAFE)
    (owner,) = request.front.connections
    for _ in range(40):
        owner.add_id(os.urandom(8))
    assert request.repeat() == [request.answer]
    assert not request.is_executed_again()


def test_the_answer_is_not_repeated_once_the_client_has_it(answered: Any) -> None:
    request = answered(**UNSAFE)
    (owner,) = request.front.connections
    owner.confirm()
    assert request.repeat() == []
    assert not request.is_executed_again()


@pytest.mark.parametrize(
    ("rules", "runs_again"),
    [
        ({}, True),
        ({"idempotency": Idempotency.KEYED, "dedup_window_us": 9_000_000}, True),
        ({"idempotency": Idempotency.KEYED, "dedup_window_us": 2_000_000}, False),
        ({"idempotency": Idempotency.KEYED, "dedup_window_us": 9_000_000, "key_scope": KeyScope.ZONE}, False),
    ],
)
def test_a_request_that_may_be_repeated_is(answered: Any, rules: dict[str, Any], runs_again: bool) -> None:
    request = answered(**UNSAFE | {"idempotency": Idempotency.IDEMPOTENT} | rules)
    request.bench.wait(CLIENT_WAITS_US + 200_000)
    request.repeat()
    assert request.is_executed_again() is runs_again


def test_the_rest_of_a_hello_reaches_the_backend_that_has_answered() -> None:
    """Guards against withholding a part that the backend has not got yet."""
    request = Request(HELLO_START, **UNSAFE)
    try:
        (_, relay), *_ = request.start_attempt()
        answer = seal_initial(1, request.first_id, request.client_id, FORM.make(b"\0\1"), SERVER_HELLO)
        request.backend.sendto(answer, relay)
        request.serve()
        request.send(HELLO_REST)
        assert len(read_all(request.backend)) == 1
        request.send(HELLO_REST)
        assert not read_all(request.backend)
    finally:
        request.front.close()


def test_an_initial_of_an_adopted_connection_is_sent_on_by_its_id(answered: Any) -> None:
    """Guards against a handshake that a restart of the relay cuts off: its keys derive from an id that is unknown."""
    request = answered(**UNSAFE)
    (owner,) = request.front.connections
    (owner.adopted_path,) = owner.paths.values()
    first_id, request.first_id = request.first_id, os.urandom(8)
    sealed = seal_initial(1, request.first_id, first_id, request.client_id, HELLO.ljust(1_160, b"\0"), True)
    request.client.sendto(sealed, request.front.listeners[0].address)
    request.serve()
    assert [data for data, _ in read_all(request.backend)] == [sealed]


def test_executed_requests_are_bounded_and_expire() -> None:
    """Guards against memory growth under requests with ever new ids."""
    executed = ExecutedRequests()
    forgotten = sum(executed.add(number.to_bytes(8), 0, 10) for number in range(MAX_ENTRIES + 5))
    assert (forgotten, len(executed)) == (5, MAX_ENTRIES)
    assert executed.forbids((5).to_bytes(8), 0) and not executed.forbids((4).to_bytes(8), 0)
    executed.expire(10)
    assert not len(executed)
