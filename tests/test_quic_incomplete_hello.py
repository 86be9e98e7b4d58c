"""A request over QUIC that no backend can answer is no failure of the backends that leave it unanswered.

Guards against usual clients that are rejected because a bad client's Initials, under ever new ids, hold no
ClientHello: each of them timed out at several backends, which were ejected for it.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from balancer.actions import StartAttempt
from balancer.events import AttemptResult
from gradefront.quic.headers import varint
from lab.quic import hello_text

from .test_quic_repeated_initial import HELLO, NO_CRYPTO, Request

TEXT = hello_text("box.careshift.example", "push")


def crypto(start: int, end: int) -> bytes:
    part = TEXT[start:end]
    return b"\x06" + varint(start) + varint(len(part)) + part


@pytest.fixture
def requests() -> Iterator[Any]:
    made: list[Request] = []

    def make(*payloads: bytes) -> Request:
        made.append(Request(*payloads))
        return made[-1]

    yield make
    for request in made:
        request.front.close()
        for sock in (request.backend, request.client):
            sock.close()


def result_of_timeout(request: Request, *later: bytes) -> AttemptResult:
    """Let the attempt time out after further payloads of the client."""
    connection = request.connection
    request.bench.run_actions(StartAttempt(connection.number, "box-1", 500_000))
    for payload in later:
        request.send(payload)
    request.bench.wait(600_000)
    (end,) = request.bench.attempt_ends(connection)
    return end.result


@pytest.mark.parametrize(
    "payload", [HELLO, NO_CRYPTO, crypto(0, 100), crypto(100, 900), b"\x06\x00\x04\x01\x00\x00\x00"]
)
def test_a_request_without_a_valid_hello_is_no_failure_of_the_backend(requests: Any, payload: bytes) -> None:
    assert result_of_timeout(requests(payload)) is AttemptResult.CANCELLED


@pytest.mark.parametrize("cut", [1, 100, len(TEXT)])
def test_a_complete_request_that_is_not_answered_is(requests: Any, cut: int) -> None:
    later = [crypto(cut, len(TEXT))] if cut < len(TEXT) else []
    assert result_of_timeout(requests(crypto(0, cut)), *later) is AttemptResult.TIMEOUT
