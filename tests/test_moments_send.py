"""Rare moments of attempts: windows that close, late connects, broken answers, clients that go, health checks that
cross."""

from __future__ import annotations

import select
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest

from balancer import Balancer
from balancer.actions import Fail, Reject, SetTimer, StartAttempt
from balancer.events import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointListUpdate,
    Event,
    HealthCheckResult,
    Request,
)
from balancer.settings import Idempotency, KeyScope, RequestClass, Settings
from gradefront.core.connection import ConnectionState
from lab.stand_ins import settings

from .loop import Backend, Loop, Peer, fail_on_hang, hold_connects, wait_ready


def stored_rules(effect: str, scope: str = "all", window_ms: int = 400, **more: Any) -> dict[str, Any]:
    document = settings(**{"objective_ms": 300, "deadline_ms": 4000, **more})
    for grade in document["grades"]:
        grade.update(semantics=effect, keyScope=scope, dedupWindowUs=window_ms * 1000)
    return document


def called(backends: list[Backend]) -> tuple[int, Peer]:
    """The backend that a connection waits at, and that connection."""
    number = next(n for n, b in enumerate(backends) if b.has_pending)
    return number, backends[number].accept()


def first_at(loop: Loop, backends: list[Backend]) -> tuple[int, Peer]:
    loop.until(lambda: loop.wait(4_000) or any(b.has_pending for b in backends))
    number, peer = called(backends)
    loop.until(lambda: peer.read().endswith(b"\r\n"))
    return number, peer


@pytest.mark.parametrize(
    ("effect", "scope", "answer"),
    [("keyed", "all", b"BUSY"), ("keyed", "zone", b"ERR"), ("keyed", "cell", b"ERR"), ("safe", "all", b"")],
)
def test_a_window_that_closes_while_a_connection_opens_lets_no_retry_through(
    tmp_path: Path, effect: str, scope: str, answer: bytes
) -> None:
    backends = [Backend(), Backend(), Backend()]
    document = stored_rules(effect, scope, 400, connectTimeoutUs=1_000_000)
    loop = Loop(tmp_path, backends, document)
    for member in loop.known["members"]:
        member["cell"] = 1
    loop.relay.endpoint_list.apply(loop.known, complete=True)
    client = loop.client()
    loop.open(client, d=4000)
    number, peer = first_at(loop, backends)
    written_us = loop.now_us
    attempts = hold_connects(loop)
    peer.close(reset=True)
    loop.until(lambda: loop.wait(4_000) or attempts)
    assert loop.now_us < written_us + 400_000
    loop.now_us = written_us + 400_000
    loop.order.held.clear()
    second = next(n for n, b in enumerate(backends) if n != number and attempts[0].backend == f"box-{n}")
    loop.until(lambda: backends[second].has_pending)
    at_second = backends[second].accept()
    loop.until(lambda: at_second.read() or attempts[0].is_over)
    loop.step(4)
    if effect == "safe":
        assert b"OPEN" in at_second.read()
        return
    assert b"OPEN" not in at_second.read(), "a retry outside the window of the first attempt"
    loop.until(lambda: client.read().endswith(b"\r\n"))
    assert client.received.split()[0] == answer


@pytest.mark.parametrize("scope", [KeyScope.ALL, KeyScope.CELL])
def test_a_retry_that_would_wait_beyond_its_window_is_abandoned_at_once(scope: KeyScope) -> None:
    request_class = RequestClass(600_000, 5_000_000, Idempotency.KEYED, scope, 50_000)
    for seed in range(20):
        b = Balancer(Settings(classes=(request_class,), max_attempts=4), seed)
        b.handle(0, EndpointListUpdate((Endpoint("s1"), Endpoint("s2"), Endpoint("s3"))))
        (start,) = [a for a in b.handle(1_000, Request(7, 5_000_000)) if isinstance(a, StartAttempt)]
        actions = b.handle(2_000, AttemptEnded(7, 0, start.backend, AttemptResult.RESET))
        waits = [a.delay_us for a in actions if isinstance(a, SetTimer)]
        answers = [a for a in actions if isinstance(a, Reject | Fail)]
        assert len(answers) + len(waits) == 1
        assert all(w < 49_000 for w in waits), "a wait that ends when nothing may be sent any more"
        assert all(isinstance(a, Reject) == (scope is KeyScope.ALL) for a in answers)


@pytest.mark.parametrize("what", ["reset as the line is written", "half an answer", "a timeout"])
def test_what_was_possibly_executed_and_is_not_idempotent_is_never_sent_twice(tmp_path: Path, what: str) -> None:
    backends = [Backend(), Backend()]
    loop = Loop(tmp_path, backends, stored_rules("unsafe", deadline_ms=2000))
    client = loop.client()
    loop.open(client, d=2000)
    number, peer = first_at(loop, backends)
    if what == "half an answer":
        peer.send(b"BU")
    if what != "a timeout":
        peer.close(reset=what != "half an answer")
    loop.until(lambda: loop.wait(20_000) or client.read().endswith(b"\r\n"))
    assert client.received == b"ERR\r\n", "a rejection would invite a retry"
    loop.wait(500_000)
    assert not backends[1 - number].has_pending


def test_an_attempt_cancelled_before_its_connection_opened_never_writes_and_the_next_one_does(tmp_path: Path) -> None:
    backends = [Backend(), Backend()]
    loop = Loop(tmp_path, backends, settings(objective_ms=300, deadline_ms=4000))
    client = loop.client()
    attempts = hold_connects(loop)
    loop.open(client, d=4000)
    loop.until(lambda: loop.wait(4_000) or attempts)
    loop.until(lambda: loop.wait(4_000) or len(attempts) == 2)
    loop.order.held.clear()  # both connections come up in the same turn
    late = next(b for n, b in enumerate(backends) if attempts[0].backend == f"box-{n}")
    other = next(b for b in backends if b is not late)
    loop.until(lambda: other.has_pending)
    at_other = other.accept()
    loop.until(lambda: b"OPEN" in at_other.read())
    loop.wait(100_000)
    assert attempts[0].is_over and (not late.has_pending or b"OPEN" not in late.accept().read())


@pytest.mark.parametrize("where", ["backoff", "connecting", "after a timeout to connect"])
def test_clients_that_leave_by_hundreds_at_once_are_not_forwarded(tmp_path: Path, where: str) -> None:
    backends = [Backend(), Backend()]
    loop = Loop(tmp_path, backends, settings(objective_ms=600, deadline_ms=4000, maxAttempts=3))
    many = 6 if where == "backoff" else 60
    clients = [loop.client() for _ in range(many)]
    attempts = hold_connects(loop)
    for client in clients:
        loop.open(client, d=4000)
    if where == "backoff":
        loop.until(lambda: loop.wait(4_000) or attempts)
        for backend in backends:
            backend.listener.close()  # refused: a second attempt follows after a backoff
        loop.order.held.clear()
        loop.until(
            lambda: any(v.state is ConnectionState.QUEUED and v.attempts for v in loop.core.connections.values())
        )
    else:
        loop.until(lambda: loop.wait(4_000) or len(attempts) >= 2)
        if where.startswith("after"):
            loop.wait(160_000)
    sides = [loop.protocol_of(c) for c in clients]
    for n, client in enumerate(clients):
        client.close(reset=bool(n % 2))
    for side in sides:
        wait_ready(side.tcp.socket, select.POLLRDHUP)
    before = len(attempts)
    loop.order.first = [side.tcp.fileno() for side in sides] if where == "connecting" else []
    loop.order.held.clear()
    loop.until(lambda: not loop.relay.client_factory.open_connections)
    loop.wait(1_500_000, 20_000)
    assert not loop.core.connections and len(attempts) <= before + many
    for backend in backends if where != "backoff" else ():
        while backend.has_pending:
            assert b"OPEN" not in backend.accept().read()


ANSWERS = [
    ("a line without end", b"x" * 5000, False, b"ERR", False),
    ("another verb", b"WHAT r-1\r\n", False, b"", False),
    ("half a line, then the end", b"UP r-", True, b"", False),
    ("two answers at once", b"BUSY\r\nUP r-2\r\n", False, b"BUSY", False),
    ("served and over in one segment", b"UP r-1\r\nBYE\r\n", True, b"UP r-1\r\nBYE\r\n", True),
    ("over before it was established", b"BYE\r\n", True, b"", False),
    ("a response line without text", b"UP\r\n", True, b"", False),
    ("a response line of blanks", b"UP  \r\n", True, b"", False),
    ("a response line that is no text", b"UP \xff\xfe\r\n", True, b"", False),
    ("an answer, and half of one", b"UP r-1\r\nUP r-", True, b"UP r-1\r\nUP r-", True),
    ("bytes that are no text", b"\xff\xfe\0\r\n", False, b"", False),
]


@pytest.mark.parametrize(
    ("answer", "ends", "expected", "exact"), [a[1:] for a in ANSWERS], ids=[a[0] for a in ANSWERS]
)
def test_a_broken_answer_makes_one_final_answer(
    tmp_path: Path, answer: bytes, ends: bool, expected: bytes, exact: bool
) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend], settings(objective_ms=300, deadline_ms=1500, maxAttempts=1))
    client = loop.client()
    loop.open(client)
    _, peer = first_at(loop, [backend])
    peer.send(answer)
    if ends:
        peer.close()
    loop.until(lambda: loop.wait(4_000) or client.read() and client.ended)
    if exact:
        assert client.received == expected and not client.reset
    else:
        assert client.received.count(b"\r\n") == 1 and client.received.split()[0] in (b"BUSY", b"ERR")
    if not ends:
        with suppress(ConnectionError):
            peer.send_line("UP r-9")  # some milliseconds later
        loop.step(5)
        assert b"UP" not in client.read()
    assert not loop.core.connections and not loop.core.counters.counts["exceptions"]


def test_a_response_that_meets_its_attempts_timeout_counts_for_nothing(tmp_path: Path) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend], settings(objective_ms=300, deadline_ms=1500, maxAttempts=1))
    client = loop.client()
    loop.open(client)
    _, peer = first_at(loop, [backend])
    (connection,) = loop.core.connections.values()
    assert connection.attempt
    peer.send_line("UP r-1")
    wait_ready(connection.attempt.upstream.line_protocol.tcp.socket)  # type: ignore[union-attr]
    loop.now_us = connection.attempt.expires_us + 5_000  # the loop was held up; it sees the timer first
    loop.until(lambda: client.read() and client.ended)
    assert client.received.count(b"\r\n") == 1 and not loop.core.connections


@pytest.mark.parametrize("last", [b"BYE\r\n", b"MOVE\r\n", b"half a line", b"a line\r\n"])
@pytest.mark.parametrize("reset", [False, True])
def test_a_move_that_meets_the_backends_own_end_is_one_move(tmp_path: Path, last: bytes, reset: bool) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    client, peer = loop.establish(backend)
    (connection,) = loop.core.connections.values()
    upstream = connection.attempt.upstream  # type: ignore[union-attr]
    loop.order.held.add(upstream.line_protocol.tcp.fileno())  # type: ignore[union-attr]
    peer.send(last)
    wait_ready(upstream.line_protocol.tcp.socket)  # type: ignore[union-attr]
    peer.close(reset=reset)
    loop.core.migrate(connection)
    loop.order.held.clear()
    loop.until(lambda: client.read() and client.ended)
    assert client.received == b"MOVE\r\n" and not client.reset
    loop.core.migrate(connection)  # decided for one that has just ended
    loop.step(3)
    assert not loop.core.connections and not loop.core.counters.counts["exceptions"]


def test_a_stray_response_is_not_taken_for_that_of_the_next_health_check(tmp_path: Path) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend], settings(probes=True))
    results = list[HealthCheckResult]()
    enqueue = loop.core.enqueue

    def record(event: Event) -> None:
        if isinstance(event, HealthCheckResult):
            results.append(event)
        enqueue(event)

    loop.core.enqueue = record  # type: ignore[method-assign]
    loop.relay.core.health_checker.check("box-0")  # type: ignore[union-attr]
    loop.until(lambda: backend.has_pending)
    check = backend.accept()
    loop.until(lambda: check.read() == b"STATS\r\n")
    check.send(b"PONG x0=0.25\r\nPONG x0=0.9\r\n")  # the second response belongs to no check
    loop.until(lambda: results)
    loop.step(3)
    loop.relay.core.health_checker.check("box-0")  # type: ignore[union-attr]
    loop.until(lambda: backend.has_pending)
    again = backend.accept()
    loop.until(lambda: again.read() == b"STATS\r\n")
    again.send_line("PONG x0=0.5")
    loop.until(lambda: len(results) == 2)
    assert [t.load_report.load for t in results if t.load_report] == [0.25, 0.5]


def test_a_health_check_on_an_idle_connection_that_is_being_closed_is_sent_on_a_new_one(tmp_path: Path) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend], settings(probes=True))
    checker: Any = loop.relay.core.health_checker
    checker.check("box-0")
    loop.until(lambda: backend.has_pending)
    check = backend.accept()
    loop.until(lambda: check.read() == b"STATS\r\n")
    check.send_line("PONG x0=0.25")
    loop.until(lambda: not checker.connections["box-0"].pending_since_us)
    loop.order.held.add(checker.connections["box-0"].line_protocol.tcp.fileno())
    check.close(reset=True)
    checker.check("box-0")
    loop.step(2)
    loop.order.held.clear()
    loop.until(lambda: backend.has_pending)
    again = backend.accept()
    loop.until(lambda: again.read() == b"STATS\r\n")
    again.send_line("PONG x0=0.5")
    loop.until(lambda: not checker.connections["box-0"].pending_since_us)
    assert not loop.core.counters.counts["probes_failed"]


def test_a_flood_that_sends_much_and_goes_leaves_nothing_behind(tmp_path: Path) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    usual, served = loop.establish(backend)
    for _ in range(40):
        flood = [loop.client() for _ in range(8)]
        for n, peer in enumerate(flood):
            peer.send((b"z" * 3000 + b"\r\n") * (1 + n % 3) + b"z" * (n % 2) * 6000)
            peer.close(reset=n % 4 == 0)
        loop.until(
            lambda: (
                loop.relay.client_factory.open_connections <= 1 + len(loop.relay.client_factory.closing)
                or loop.wait(4_000)
            )
        )
    loop.until(lambda: loop.relay.client_factory.open_connections == 1)
    assert (
        loop.relay.client_factory.descriptors_held() == 2
        and not loop.relay.client_factory.pre_request
        and not len(loop.relay.client_factory.closing)
    )
    usual.send_line("still here")
    loop.until(lambda: served.read() == b"still here\r\n")
    assert loop.core.counters.counts["bad_lines"] >= 320


@pytest.mark.parametrize("more", [b"z" * 400_000, b"z" * 3000 + b"\r\n" + b"z" * 400_000, b"a line\r\n" * 40_000])
def test_a_client_that_sends_much_as_its_backend_connection_opens_delays_nobody(tmp_path: Path, more: bytes) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    usual, _ = loop.establish(backend)
    client = loop.client()
    attempts = hold_connects(loop)
    loop.open(client)
    loop.until(lambda: loop.wait(4_000) or attempts)
    side = loop.protocol_of(client)
    loop.order.held = {side.tcp.fileno()}  # all of it lies unread
    client.sock.setblocking(False)
    with suppress(BlockingIOError):
        while more:
            more = more[client.sock.send(more) :]
    client.sock.settimeout(10)
    wait_ready(side.tcp.socket)
    with fail_on_hang():
        loop.until(lambda: attempts[0].is_over)
    loop.order.held.clear()
    loop.until(lambda: client.read() and client.ended or client.ended)
    assert client.reset or client.received == b"ERR\r\n"
    assert not backend.has_pending or b"OPEN" not in backend.accept().read()
    usual.send_line("still here")
    loop.step(3)
    assert not usual.read() and not usual.ended


def test_bad_answers_by_hundreds_are_counted_and_logged_once_a_second(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend], settings(objective_ms=300, deadline_ms=1500, maxAttempts=1))
    _, served = loop.establish(backend)
    caplog.set_level("WARNING")
    served.send(b"LOAD much\r\n" * 300)
    loop.until(lambda: loop.core.counters.counts["bad_answers"] >= 300)
    for n in range(6):
        client = loop.client()
        loop.open(client)
        _, peer = first_at(loop, [backend])
        peer.send([b"x" * 5000, b"WHAT r-1\r\n"][n % 2])
        loop.until(lambda: loop.wait(4_000) or client.read() and client.ended)  # noqa: B023
    assert loop.core.counters.counts["bad_answers"] == 306
    logged = [r.getMessage() for r in caplog.records if "backend box-0" in r.getMessage()]
    assert 1 <= len(logged) <= 2 + loop.core.clock() // 1_000_000 - 1_800_000_000, logged


@pytest.mark.parametrize("endless", [b"x" * 5000, b"UP r-2\r\n" + b"y" * 5000])
def test_a_client_whose_backend_begins_a_line_without_end_is_moved_and_not_cut_off(
    tmp_path: Path, endless: bytes
) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    client, served = loop.establish(backend)
    served.send(endless)
    loop.until(lambda: client.read() and client.ended or client.ended)
    assert client.received.endswith(b"MOVE\r\n") and client.received.count(b"x") + client.received.count(b"y") == 0
    assert not client.reset and not loop.core.connections
