"""The core's parts and its promises to clients, without any wire."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balancer.actions import Migrate, StartAttempt
from balancer.events import (
    AttemptEnded,
    AttemptResult,
    BackendState,
    ConnectionAdopted,
    ConnectionLoadReport,
    Endpoint,
    EndpointListUpdate,
    MessageLatencyReport,
    Request,
)
from gradefront.core.attempt_outcome import AttemptOutcome, AttemptPhase, Cause
from gradefront.core.connect_request import ConnectRequest
from gradefront.core.connection import ConnectionState
from gradefront.core.message_latency import MessageLatency
from gradefront.core.ports import ConnectionEnd
from gradefront.core.requests import ANSWER_MARGIN_US
from gradefront.core.timer_wheel import SLOTS, TICK_US, TimerWheel

from .helper import Bench, Client


def test_core_knows_no_wire() -> None:
    allowed = {
        "__future__",
        "collections",
        "dataclasses",
        "enum",
        "functools",
        "itertools",
        "json",
        "logging",
        "balancer",
        "statistics",
        "typing",
    }
    for path in Path("gradefront/core").glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import):
                assert {a.name.split(".")[0] for a in node.names} <= allowed, path
            elif isinstance(node, ast.ImportFrom) and node.level == 0:
                assert str(node.module).split(".")[0] in allowed, path
            elif isinstance(node, ast.ImportFrom):
                assert node.level == 1, f"{path}: reaches out of the core"


@given(st.lists(st.integers(0, 3 * SLOTS * TICK_US), min_size=1, max_size=20), st.integers(50_000, 5_000_000))
def test_wheel_runs_each_timer_once_and_never_early(delays: list[int], step: int) -> None:
    timers, now, done = TimerWheel(0), 0, list[tuple[int, int]]()
    for delay in delays:
        timers.set(delay, lambda delay=delay: done.append((delay, now)))  # type: ignore[misc]
    while (due := timers.next_due()) is not None:
        now = max(now + 1, min(due, now + step))
        for then in timers.pop_due(now):
            then()
    assert sorted(d for d, _ in done) == sorted(delays)
    assert all(at >= d and at - d <= TICK_US for d, at in done)


def test_wheel_turned_late_runs_what_is_due_in_order() -> None:
    timers, done = TimerWheel(0), list[int]()
    for delay in (9_000_000, 50_000, 5_000_000):
        timers.set(delay, lambda delay=delay: done.append(delay))  # type: ignore[misc]
    timers.set(60_000, lambda: done.append(0)).cancel()
    for then in timers.pop_due(20_000_000):
        then()
    assert done == [50_000, 5_000_000, 9_000_000] and timers.next_due() is None


@pytest.mark.parametrize(
    ("phase", "cause", "result"),
    [
        (AttemptPhase.CONNECTING, Cause.BROKEN, AttemptResult.CONNECT_FAILED),
        (AttemptPhase.CONNECTING, Cause.TIMED_OUT, AttemptResult.CONNECT_FAILED),
        (AttemptPhase.WRITING, Cause.BROKEN, AttemptResult.CONNECT_FAILED),
        (AttemptPhase.SENT, Cause.BROKEN, AttemptResult.RESET),
        (AttemptPhase.SENT, Cause.TIMED_OUT, AttemptResult.TIMEOUT),
        (AttemptPhase.SENT, Cause.REJECTED, AttemptResult.OVERLOADED),
        (AttemptPhase.SENT, Cause.ERROR, AttemptResult.ERROR),
        (AttemptPhase.SENT, Cause.UNREACHABLE, AttemptResult.CONNECT_FAILED),
        (AttemptPhase.SENT, Cause.MIGRATED_BY_BACKEND, AttemptResult.CANCELLED),
        (AttemptPhase.UP, Cause.COMPLETED, AttemptResult.OK),
        (AttemptPhase.UP, Cause.UNREACHABLE, AttemptResult.RESET),
        (AttemptPhase.UP, Cause.TIMED_OUT, AttemptResult.RESET),
    ],
)
def test_attempt_error_gives_the_result_for_the_module(
    phase: AttemptPhase, cause: Cause, result: AttemptResult
) -> None:
    assert AttemptOutcome(phase, cause).result is result


def test_late_backends_are_reported_each_second_and_once_more_when_back() -> None:
    message_latency = MessageLatency(60_000)
    for took in (5_000, 30_000, 31_000):
        message_latency.add("box-1", 7, took)
    message_latency.add("box-2", 8, 19_000)
    assert message_latency.pop_reports() == [(7, "box-1", 30_000.0)]
    message_latency.add("box-1", 9, 1_000)
    assert message_latency.pop_reports() == [(9, "box-1", 1_000.0)]
    message_latency.add("box-1", 9, 1_000)
    assert message_latency.pop_reports() == []


def test_late_messages_and_load_are_reported_to_the_module() -> None:
    bench = Bench()
    connection, _, attempt = bench.establish()
    attempt.on_message_sent()
    bench.now += 40_000
    attempt.on_message_received()
    attempt.on_load_report(1234.0)
    bench.wait(1_100_000)
    assert ConnectionLoadReport(connection.number, "box-1", 1234.0) in bench.events
    assert MessageLatencyReport(connection.number, "box-1", 40_000.0) in bench.events


def test_unanswered_connection_is_failed_before_its_client_gives_up() -> None:
    bench = Bench()
    _, client = bench.accept_client(1_000_000)
    bench.wait(1_000_000 - ANSWER_MARGIN_US - 4_000)
    assert client.calls == []
    bench.wait(ANSWER_MARGIN_US)
    assert client.calls == ["fail"]


def test_timed_out_attempt_is_cancelled_and_its_late_response_does_not_count() -> None:
    bench = Bench()
    connection, client = bench.accept_client()
    bench.run_actions(StartAttempt(connection.number, "box-1", 300_000))
    first = bench.attempts[0]
    first.advance(AttemptPhase.WRITING)
    first.advance(AttemptPhase.SENT)
    bench.wait(320_000)
    assert [o.result for o in bench.attempt_ends(connection)] == [AttemptResult.TIMEOUT] and len(
        bench.upstreams[0].closed
    ) == 1
    bench.run_actions(StartAttempt(connection.number, "box-2", 300_000))
    first.succeed("late")
    assert client.calls == [] and connection.state is ConnectionState.CONNECTING
    bench.attempts[1].succeed("response line")
    assert client.calls == ["establish"]


def test_connect_has_its_own_timeout() -> None:
    bench = Bench()
    connection, _ = bench.accept_client()
    bench.run_actions(StartAttempt(connection.number, "box-1", 900_000))
    bench.wait(160_000)
    assert [o.result for o in bench.attempt_ends(connection)] == [AttemptResult.CONNECT_FAILED]


def test_late_connect_sends_nothing_to_a_backend_that_drains_meanwhile() -> None:
    # Guards rule 3: a connect may take long, and the first byte is what counts.
    bench = Bench()
    connection, _ = bench.accept_client()
    bench.run_actions(StartAttempt(connection.number, "box-1", 900_000))
    assert bench.attempts[0].send_veto() is None
    bench.core.on_endpoint_list(EndpointListUpdate((Endpoint("box-1", BackendState.DRAINING),), is_complete=False))
    assert bench.attempts[0].send_veto() is Cause.BROKEN


def test_adopted_connection_goes_to_its_own_backend_only_and_at_most_four_times() -> None:
    bench = Bench()
    client = Client()
    connection = bench.core.adopt_connection(ConnectRequest(1, "request line"), client, bench, "box-2")
    for n in range(4):
        assert len(bench.attempts) == n + 1 and bench.attempts[n].backend == "box-2"
        bench.attempts[n].end(Cause.BROKEN)
        bench.wait(9_000_000)
    assert len(bench.attempts) == 4 and client.calls == ["fail"]
    assert not [e for e in bench.events if isinstance(e, Request | AttemptEnded | ConnectionAdopted)]
    connection = bench.core.adopt_connection(ConnectRequest(1, "request line"), client, bench, "box-2")
    bench.attempts[-1].succeed("response line")
    bench.core.run_once()
    assert [e.backend for e in bench.events if isinstance(e, ConnectionAdopted)] == ["box-2"]
    assert connection.state is ConnectionState.ESTABLISHED


def test_an_adopted_connection_whose_backend_is_silent_is_retried_in_time() -> None:
    bench = Bench()
    connection = bench.core.adopt_connection(ConnectRequest(1, "request line"), Client(), bench, "box-2")
    bench.wait(11_000_000)
    assert len(bench.attempts) == 2 and bench.attempts[0].is_over and connection.state is ConnectionState.CONNECTING


def test_silent_backend_is_left_soon_and_an_idle_one_is_not() -> None:
    bench = Bench()
    idle, idle_client, _ = bench.establish("box-2")
    silent, client, attempt = bench.establish("box-1")
    attempt.on_message_sent()
    bench.wait(1_400_000)
    assert client.calls == ["establish"]
    bench.wait(500_000)
    assert client.calls == ["establish", "migrate"] and idle_client.calls == ["establish"]
    assert bench.attempt_ends(silent)[-1].result is AttemptResult.RESET and idle.state is ConnectionState.ESTABLISHED


def test_a_vanished_machine_is_found_by_a_connect_check_and_all_its_connections_migrate_at_once() -> None:
    """Guards against a lost zone that each connection finds out by itself, 1.5 s after a message of its own."""
    bench = Bench()
    bench.core.on_endpoint_list(
        EndpointListUpdate(tuple(Endpoint(f"box-{n}", zone=zone) for n, zone in enumerate((1, 1, 1, 1, 1, 1, 2))))
    )
    clients = [bench.establish(f"box-{n % 7}")[1:] for n in range(14)]
    clients[0][1].on_message_sent()
    bench.wait(150_000)
    assert not bench.connect_checks, "a pause of a sound machine is no sign"
    bench.wait(200_000)
    assert bench.connect_checks == ["box-0"], "one new connection, whatever stands there"
    bench.core.liveness.on_connect_checked("box-0", opened=False)
    assert [c.calls for c, _ in clients[::7]] == [["establish", "migrate"]] * 2
    assert bench.connect_checks[1:] == ["box-1", "box-2", "box-3"], "a few more in that zone, and none elsewhere"
    bench.core.liveness.on_connect_checked("box-1", opened=True)
    clients[2][1].on_message_received()
    bench.core.liveness.on_connect_checked("box-2", opened=False)  # it has sent something meanwhile, so it is there
    bench.core.liveness.on_connect_checked("box-3", opened=False)
    bench.core.run_once()
    assert [n for n, (c, _) in enumerate(clients) if "migrate" in c.calls] == [0, 3, 7, 10]
    assert bench.connect_checks[4:] == ["box-4", "box-5"], "each that has vanished leads on, none is asked twice"
    silent = [e.backend for e in bench.events if isinstance(e, AttemptEnded) and e.result is AttemptResult.RESET]
    assert silent == ["box-0", "box-0", "box-3", "box-3"] and bench.core.counters.counts["boxes_vanished"] == 2


def test_a_backend_that_replies_or_opens_is_not_checked_again_and_again() -> None:
    bench = Bench()
    _, client, attempt = bench.establish()
    for _ in range(20):  # answers within its aims
        attempt.on_message_sent()
        bench.wait(90_000)
        attempt.on_message_received()
    assert not bench.connect_checks
    for _ in range(9):  # it takes connections, so it is slow: one connect check a second
        attempt.on_message_sent()
        bench.wait(100_000)
        if bench.connect_checks:
            bench.core.liveness.on_connect_checked("box-1", opened=True)
    assert bench.connect_checks == ["box-1"] and client.calls == ["establish"]


def test_a_backend_that_opens_owes_nothing_more_once_its_client_has_left() -> None:
    """Guards against a connect check a second for ever: a client that leaves with a message out is owed no reply."""
    bench = Bench()
    connection, _, attempt = bench.establish()
    attempt.on_message_sent()
    bench.core.on_client_closed(connection, ConnectionEnd.ORDERLY)
    for _ in range(50):
        bench.wait(100_000)
        if bench.connect_checks:
            bench.core.liveness.on_connect_checked("box-1", opened=True)
    liveness = bench.core.liveness
    assert bench.connect_checks == ["box-1"] and not liveness.silence.owed and not liveness.silence_check_us


def test_one_connection_that_falls_silent_alone_is_no_fault_of_its_backend() -> None:
    bench = Bench()
    _, other, sound = bench.establish()
    silent, client, attempt = bench.establish()
    attempt.on_message_sent()
    for _ in range(4):
        bench.wait(500_000)
        sound.on_message_sent()
        sound.on_message_received()
    assert client.calls == ["establish", "migrate"] and other.calls == ["establish"]
    assert bench.attempt_ends(silent)[-1].result is AttemptResult.CANCELLED


def test_a_relay_that_was_asleep_itself_takes_no_backend_for_silent() -> None:
    bench = Bench()
    _, client, attempt = bench.establish()
    attempt.on_message_sent()
    bench.now += 3_000_000  # no turn for so long; the reply has come meanwhile, and is read after the look
    bench.core.run_once()
    attempt.on_message_received()
    bench.wait(1_000_000)
    assert client.calls == ["establish"]


def test_only_a_connection_with_nothing_passing_either_way_is_ended_as_its_device_is_gone() -> None:
    # Guards QUIC connections, whose messages nobody here can tell apart: they were all moved after two minutes.
    bench = Bench()
    _, gone, _ = bench.establish()
    _, used, attempt = bench.establish("box-2")
    for _ in range(70):
        attempt.on_activity()
        bench.wait(2_000_000)
    assert gone.calls == ["establish", "migrate"] and used.calls == ["establish"]


def test_an_exception_of_the_module_stops_at_its_connection() -> None:
    bench = Bench()
    connection, client = bench.accept_client()
    other, other_client, _ = bench.establish()
    bench.handle_raises = True
    bench.core.enqueue(AttemptEnded(connection.number, 0, "box-1", AttemptResult.OVERLOADED))
    bench.core.run_once()
    assert (
        client.calls == ["fail"]
        and other_client.calls == ["establish"]
        and other.state is ConnectionState.ESTABLISHED
    )
    assert bench.core.counters.counts["exceptions"] >= 1


def test_a_leaving_relay_answers_on_and_spreads_its_migrations() -> None:
    bench = Bench()
    standing = [bench.establish()[1] for _ in range(40)]
    done = list[int]()
    began = bench.now
    bench.core.lifecycle.leave(lambda: done.append(bench.now))
    late, late_client = bench.accept_client()
    bench.run_actions(StartAttempt(late.number, "box-1", 900_000))
    bench.attempts[-1].succeed("response line")
    _, waiting = bench.accept_client(4_000_000)
    bench.wait(1_150_000)  # SIGKILL may come 2.7 s after SIGTERM where the longest deadline is 2 s
    assert all(c.calls == ["establish"] for c in standing), "served as long as may be: another relay may be down"
    bench.wait(500_000)
    moved = sum("migrate" in c.calls for c in standing)
    assert 10 < moved < 30, "spread, not all at once"
    bench.wait(1_000_000)
    assert all(c.calls == ["establish", "migrate"] for c in [*standing, late_client])
    assert waiting.calls == ["reject"] and not bench.core.connections
    assert len(done) == 1 and done[0] - began <= 2_300_000


def test_a_leaving_relay_migrates_off_a_ready_backend_at_the_end_only_and_off_a_draining_one_at_once() -> None:
    bench = Bench()
    ready, ready_client, _ = bench.establish("box-1")
    draining, draining_client, _ = bench.establish("box-2")
    bench.core.lifecycle.leave(lambda: None)
    bench.core.on_endpoint_list(EndpointListUpdate((Endpoint("box-2", BackendState.DRAINING),), False))
    bench.run_actions(Migrate(ready.number), Migrate(draining.number))
    assert ready_client.calls == ["establish"] and draining_client.calls == ["establish", "migrate"]
    bench.wait(2_200_000)
    assert ready_client.calls == ["establish", "migrate"]


def test_a_backend_that_ends_a_connection_ends_its_client_the_same_way() -> None:
    bench = Bench()
    connection, client, attempt = bench.establish()
    attempt.end(Cause.BROKEN, ConnectionEnd.BROKEN)
    bench.core.run_once()
    assert client.calls == ["establish", "close"] and bench.attempt_ends(connection)[-1].is_final
