"""Initials with a ClientHello in very many small parts cost no more than others.

Guards against other clients' answers that are late by a second, as each part of a datagram was compared with each
part that had been sent before.
"""

from __future__ import annotations

from balancer.settings import Idempotency
from gradefront.quic.headers import varint
from gradefront.quic.initials import MAX_CRYPTO_FRAMES, read_frames
from gradefront.quic.sent_hello import MAX_TRACKED_PARTS, ClientDatagram, SentHello, hello_parts

from .test_placement_cost import count_calls
from .test_quic_model import read_all
from .test_quic_repeated_initial import HELLO, Request

DATAGRAMS = 60
MAX_CALLS_PER_DATAGRAM = 4_000


def crumbs(first: int, count: int) -> bytes:
    return b"".join(b"\x06" + varint(first + 2 * n) + varint(1) + b"x" for n in range(count))


def test_parts_are_tracked_at_a_bounded_cost() -> None:
    sent = SentHello()
    datagrams = [
        ClientDatagram(bytes([n]) * 70, hello_parts((300 * n + 2 * k, b"x") for k in range(MAX_CRYPTO_FRAMES)))
        for n in range(DATAGRAMS)
    ]

    def send_all() -> None:
        for datagram in datagrams:
            sent.covers(datagram)
            sent.add(datagram)

    assert count_calls(send_all) <= DATAGRAMS * MAX_CALLS_PER_DATAGRAM
    assert len(sent._parts) <= MAX_TRACKED_PARTS + MAX_CRYPTO_FRAMES


def test_neighbouring_parts_become_one() -> None:
    assert hello_parts([(4, b"xy"), (0, b"abcd"), (9, b"z"), (2, b"cd"), (7, b"")]) == (range(6), range(9, 10))
    sent = SentHello()
    sent.add(ClientDatagram(b"1", (range(0, 4),)))
    sent.add(ClientDatagram(b"2", (range(4, 8),)))
    assert not sent.has_repetition and sent.covers(ClientDatagram(b"3", (range(2, 7),)))
    assert not sent.covers(ClientDatagram(b"4", (range(7, 9),)))
    sent.add(ClientDatagram(b"5", (range(7, 9),)))
    assert sent.has_repetition


def test_an_initial_in_very_many_parts_is_not_accepted() -> None:
    assert read_frames(crumbs(0, MAX_CRYPTO_FRAMES))
    assert read_frames(crumbs(0, MAX_CRYPTO_FRAMES + 1)) is None


def test_a_waiting_request_takes_no_initial_that_cannot_be_read() -> None:
    """Guards against a repetition that is not recognised because its parts are too many."""
    request = Request(HELLO, idempotency=Idempotency.NOT_IDEMPOTENT)
    try:
        request.start_attempt()
        request.send(crumbs(0, MAX_CRYPTO_FRAMES + 1))
        assert not read_all(request.backend)
    finally:
        request.front.close()
