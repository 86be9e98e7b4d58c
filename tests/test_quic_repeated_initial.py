"""Requests over QUIC whose client repeats its Initial: what a refusal or rejection proves about the first one.

Front and sockets are real, on loopback, where a datagram can be read as soon as it is sent. The test provides the
clock and the decision module.
"""

from __future__ import annotations

import os
import socket
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import pytest

from balancer.actions import StartAttempt
from balancer.events import NEVER_EXECUTED, AttemptResult
from balancer.settings import Idempotency
from gradefront.core.connection import Connection
from gradefront.quic import config as quic_config
from gradefront.quic.front import QuicFront
from gradefront.quic.initials import close_initial, seal_initial
from gradefront.quic.paths import Path

from .helper import CLASS, SETTINGS, Bench
from .test_quic_model import CONFIG, Reactor, read_all, udp_socket

INITIAL_LENGTH = 1_160
HELLO = b"\x06\x00\x04text"  # a CRYPTO frame at offset 0 of the ClientHello
HELLO_START, HELLO_REST = b"\x06\x00\x02te", b"\x06\x02\x02xt"
NO_CRYPTO = b"\x01"  # a PING frame
CONNECTION_REFUSED = 2


class Request:
    """A client's request, whose first Initial has reached the front, and the attempt for it at the one backend."""

    def __init__(self, *payloads: bytes, **class_rules: Any) -> None:
        self.bench = Bench(replace(SETTINGS, classes=(replace(CLASS, **class_rules),)))
        self.backend, self.client = udp_socket(), udp_socket()
        self.first_id, self.client_id = os.urandom(8), os.urandom(8)
        reactor: Any = Reactor()
        self.front = QuicFront(CONFIG, quic_config.parse(self._document(), CONFIG), self.bench.core, reactor)
        self.hub = reactor.hub
        for payload in payloads:
            self.send(payload)

    @property
    def connection(self) -> Connection:
        """The request's connection in the core."""
        (connection,) = self.bench.core.connections.values()
        return connection

    def _document(self) -> dict[str, Any]:
        address = f"127.0.0.1:{self.backend.getsockname()[1]}"
        return {
            "listen": {"visit-checkin": "127.0.0.1:0"},
            "config_id": 0,
            "server_id_length": 2,
            "nonce_length": 6,
            "boxes": {"box-1": {"server_id": "0001", "reset_key": "00", "address": address}},
        }

    def send(self, *payloads: bytes) -> None:
        """Send a datagram to the front, with an Initial for each payload, and let the front handle it."""
        initials = [
            seal_initial(1, self.first_id, self.first_id, self.client_id, payload, True) for payload in payloads[:-1]
        ]
        padded = payloads[-1].ljust(INITIAL_LENGTH, b"\0")
        initials.append(seal_initial(1, self.first_id, self.first_id, self.client_id, padded, True))
        self.client.sendto(b"".join(initials), self.front.listeners[0].address)
        self.serve()

    def serve(self) -> None:
        """Let the front read all that has arrived."""
        for _ in range(3):
            self.hub._serve(0)
            self.bench.core.run_once()

    def start_attempt(self) -> list[tuple[bytes, Any]]:
        """Start an attempt; return the datagrams that the backend has received."""
        self.bench.run_actions(StartAttempt(self.connection.number, "box-1", 1_000_000))
        self.serve()
        return read_all(self.backend)

    def restart_backend(self) -> None:
        """Let another process take the backend's place at its address."""
        address = self.backend.getsockname()
        self.backend.close()
        self.backend = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.backend.bind(address)
        self.backend.setblocking(False)

    def kill_backend(self) -> None:
        """Close the backend's socket: further datagrams to it are refused by the kernel."""
        self.backend.close()

    def reject(self, relay: Any) -> None:
        """Send the backend's CONNECTION_REFUSED to the relay's upstream port."""
        self.backend.sendto(close_initial(1, self.first_id, self.client_id, "full", CONNECTION_REFUSED), relay)
        self.serve()

    def result(self) -> AttemptResult | None:
        """Return the result of the ended attempt; None while it is in flight."""
        self.bench.core.run_once()
        ends = self.bench.attempt_ends(self.connection)
        return ends[0].result if ends else None


@pytest.fixture
def requests() -> Iterator[Any]:
    made: list[Request] = []

    def make(*payloads: bytes, **class_rules: Any) -> Request:
        made.append(Request(*payloads, **class_rules))
        return made[-1]

    yield make
    for request in made:
        request.front.close()
        for sock in (request.backend, request.client):
            sock.close()


def test_a_refusal_of_a_repeated_initial_does_not_prove_that_the_first_was_not_executed(requests: Any) -> None:
    """Guards against a second execution after a backend took the request and died before the client's repetition."""
    request = requests(HELLO)
    assert len(request.start_attempt()) == 1
    request.kill_backend()
    request.send(HELLO)
    assert request.result() is AttemptResult.RESET


def test_a_rejection_of_a_repeated_initial_does_not_prove_that_the_first_was_not_executed(requests: Any) -> None:
    """Guards against a second execution where the rejecting process has replaced the one that took the request."""
    request = requests(HELLO)
    (_, relay), *_ = request.start_attempt()
    request.send(HELLO)
    request.reject(relay)
    assert request.result() is AttemptResult.RESET


def test_a_refusal_of_a_datagram_without_a_part_of_the_hello_proves_nothing(requests: Any) -> None:
    """Guards against a second execution where the datagram refused carried nothing that the request needs."""
    request = requests(HELLO)
    request.start_attempt()
    request.kill_backend()
    request.send(NO_CRYPTO)
    assert request.result() is AttemptResult.RESET


def test_a_refusal_during_the_first_burst_does_not_prove_that_the_request_was_not_executed(
    requests: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a second execution where a backend takes the request and dies before the rest of the burst."""
    request = requests(HELLO, NO_CRYPTO, NO_CRYPTO * 2)
    send = Path.send

    def send_and_kill(path: Path, datagram: bytes) -> bool:
        is_sent = send(path, datagram)
        request.kill_backend()
        return is_sent

    monkeypatch.setattr(Path, "send", send_and_kill)
    request.bench.run_actions(StartAttempt(request.connection.number, "box-1", 1_000_000))
    assert request.result() is AttemptResult.RESET


def test_parts_that_overlap_in_one_attempt_count_as_repeated(requests: Any) -> None:
    """Guards against a second execution where a client divides its ClientHello anew as it repeats it."""
    request = requests(HELLO_START, HELLO)
    (_, relay), *more = request.start_attempt()
    assert len(more) == 1
    request.reject(relay)
    assert request.result() is AttemptResult.RESET


def test_an_attempt_begins_with_one_copy_of_what_the_client_has_repeated(requests: Any) -> None:
    request = requests(HELLO, HELLO + NO_CRYPTO)
    (_, relay), *more = request.start_attempt()
    assert not more
    request.reject(relay)
    assert request.result() is AttemptResult.OVERLOADED


def test_an_attempt_ends_when_a_reload_changes_its_backend_s_address(requests: Any) -> None:
    """Guards against a second execution at the new address, to which the client's repetition would be sent."""
    request = requests(HELLO)
    request.start_attempt()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as moved:
        moved.bind(("127.0.0.1", 0))
        document = request._document()
        document["boxes"]["box-1"]["address"] = f"127.0.0.1:{moved.getsockname()[1]}"
        request.front.configure(quic_config.parse(document, CONFIG))
        request.send(HELLO)
        assert request.result() is AttemptResult.RESET
        moved.setblocking(False)
        assert not read_all(moved)


@pytest.mark.parametrize(
    "class_numbers, expected", [({"visit-checkin": 1}, Idempotency.NOT_IDEMPOTENT), ({"roster-feed": 0}, None)]
)
def test_a_request_after_a_reload_gets_its_class_s_new_rules(
    requests: Any, class_numbers: dict[str, int], expected: Idempotency | None
) -> None:
    """Guards against a second execution of a request whose class was declared unsafe by a reload; a request of a
    class that was dropped is answered at once, and never gets the rules of another one."""
    request = requests()
    classes = (CLASS, replace(CLASS, idempotency=Idempotency.NOT_IDEMPOTENT))
    settings = replace(SETTINGS, classes=classes)
    request.bench.core.settings = settings
    request.front.config = replace(CONFIG, settings=settings, class_numbers=class_numbers)
    request.send(HELLO)
    if expected is None:
        assert not request.bench.core.connections and len(read_all(request.client)) == 1
    else:
        accepted = request.connection
        assert accepted.settings.classes[accepted.connect_request.request_class].idempotency is expected


def test_a_request_that_was_sent_once_and_refused_was_never_executed(requests: Any) -> None:
    request = requests(HELLO)
    request.kill_backend()
    request.bench.run_actions(StartAttempt(request.connection.number, "box-1", 1_000_000))
    request.serve()
    assert request.result() is AttemptResult.CONNECT_FAILED


@pytest.mark.parametrize("payloads", [(HELLO,), (HELLO_START, HELLO_REST), (HELLO_REST, HELLO_START)])
def test_a_request_whose_parts_were_each_sent_once_and_rejected_was_never_executed(
    requests: Any, payloads: tuple[bytes, ...]
) -> None:
    request = requests(*payloads)
    (_, relay), *_ = request.start_attempt()
    request.reject(relay)
    assert request.result() in NEVER_EXECUTED


def test_a_part_that_arrives_during_the_attempt_is_no_repetition(requests: Any) -> None:
    request = requests(HELLO_START)
    (_, relay), *_ = request.start_attempt()
    request.send(HELLO_REST)
    request.reject(relay)
    assert request.result() is AttemptResult.OVERLOADED


def test_a_refusal_ends_only_the_attempt_that_sent_the_datagram(requests: Any) -> None:
    """Guards against a second execution of a request that shares its port with one whose datagram was refused."""
    taken = requests(HELLO)
    taken.start_attempt()
    upstream: Any = taken.connection.attempt.upstream
    other = seal_initial(1, b"other id", b"other id", b"its own.", HELLO.ljust(INITIAL_LENGTH, b"\0"), True)
    upstream.on_refused(other[:64], is_shared=True)
    assert taken.result() is None
    upstream.on_refused(other[:64], is_shared=False)
    assert taken.result() is AttemptResult.RESET


@pytest.mark.parametrize(
    ("rules", "waited_us", "is_sent"),
    [
        ({"idempotency": Idempotency.IDEMPOTENT}, 900_000, True),
        ({"idempotency": Idempotency.NOT_IDEMPOTENT}, 0, False),
        ({"idempotency": Idempotency.KEYED, "dedup_window_us": 500_000}, 400_000, True),
        ({"idempotency": Idempotency.KEYED, "dedup_window_us": 500_000}, 600_000, False),
    ],
)
@pytest.mark.parametrize("payloads", [(HELLO,), (HELLO_START, HELLO_REST)], ids=["whole", "in parts"])
def test_a_backend_gets_a_repetition_only_if_the_request_may_be_executed_again(
    requests: Any, payloads: tuple[bytes, ...], rules: dict[str, Any], waited_us: int, is_sent: bool
) -> None:
    """Guards against a second execution by a process that was started at the address of the one that had died."""
    request = requests(*payloads, **rules)
    assert len(request.start_attempt()) == len(payloads)
    request.restart_backend()
    request.bench.wait(waited_us)
    request.send(HELLO)
    assert bool(read_all(request.backend)) is is_sent


def test_a_missing_part_is_sent_also_with_parts_that_were_sent_before(requests: Any) -> None:
    request = requests(HELLO_START, idempotency=Idempotency.NOT_IDEMPOTENT)
    assert len(request.start_attempt()) == 1
    request.send(HELLO)
    assert len(read_all(request.backend)) == 1
    request.send(HELLO_REST)
    assert not read_all(request.backend)


def test_the_parts_in_all_packets_of_the_first_datagram_count(requests: Any) -> None:
    """Guards against a second execution where a client divides its ClientHello among the packets of a datagram."""
    request = requests(idempotency=Idempotency.NOT_IDEMPOTENT)
    request.send(HELLO_START, HELLO_REST)
    assert len(request.start_attempt()) == 1
    request.send(HELLO_START, HELLO_REST)
    assert not read_all(request.backend)
