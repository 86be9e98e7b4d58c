"""What peers send under ever new names, or in ever new fields, doesn't stay in memory without end."""

from __future__ import annotations

import socket
from pathlib import Path
from typing import Any, cast

import pytest

from balancer.context import LOG_INTERVAL_US, Context
from balancer.settings import Settings
from gradefront.net import endpoint_list
from gradefront.net.endpoint_list import EndpointList
from gradefront.net.health_checks import IDLE_TIMEOUT_US, BackendHealthChecker
from gradefront.state.handover_messages import HandoverMessage
from gradefront.state.handover_receiver import MAX_UNSENT_ANSWERS, HandoverReceiver
from gradefront.state.handover_sockets import SOCKET_NAME

from .helper import CLASS, Bench
from .loop import Backend, Loop
from .test_net_parts import CONFIG


def member(backend: str, **more: object) -> dict[str, object]:
    return {"id": backend, "host_port": "127.0.0.1:9", "phase": "SERVING"} | more


def changes(*members: dict[str, object], complete: bool = False) -> dict[str, Any]:
    return {"revision": 2, "complete": complete, "members": list(members)}


def test_fields_that_no_relay_reads_are_not_kept() -> None:
    """Guards against 850 MB after four seconds of members with thousands of short fields."""
    endpoints = EndpointList(CONFIG, Bench().core)
    endpoints.apply(changes(member("s1", size=2.0, **{f"f{n}": n for n in range(5_000)})))
    assert endpoints.document()["members"] == [member("s1", size=2.0)]


@pytest.mark.parametrize(
    "bad", [{"locality": "x" * 257}, {"flavor": ["a"]}, {"id": {"a": 1}}, {"host_port": "h" * 300}]
)
def test_a_field_of_any_size_is_an_error(bad: dict[str, object]) -> None:
    bench = Bench()
    endpoints = EndpointList(CONFIG, bench.core)
    endpoints.apply(changes(member("s1", **bad), member("s2")))
    assert list(endpoints.backends) == ["s2"]
    assert bench.core.counters.counts["bad_list_lines"] == 1


@pytest.mark.parametrize("complete", [False, True])
def test_the_number_of_backends_is_bounded(monkeypatch: pytest.MonkeyPatch, complete: bool) -> None:
    """Guards against memory growth under ever new names. What is listed can still change and go."""
    monkeypatch.setattr(endpoint_list, "MAX_BACKENDS", 5)
    bench = Bench()
    endpoints = EndpointList(CONFIG, bench.core)
    for first in (0, 20):
        endpoints.apply(changes(*(member(f"s{n}") for n in range(first, first + 20)), complete=complete))
        assert len(endpoints.backends) == 5
    assert bench.core.counters.counts["bad_list_lines"] == 15 + (15 if complete else 20)
    listed = list(endpoints.backends)
    endpoints.apply(changes(member(listed[0], size=3.0), member(listed[1], phase="DELETED"), member("new")))
    assert listed[1] not in endpoints.backends and "new" in endpoints.backends
    assert endpoints.backends[listed[0]].endpoint.weight == 3.0


def test_log_intervals_of_ever_new_backends_are_forgotten() -> None:
    context = Context(Settings(classes=(CLASS,)), 1)
    for number in range(1_000):
        context.begin_event(number * LOG_INTERVAL_US // 10)
        context.log(f"slow start s{number}", "text")
        context.log(f"slow start s{number}", "text")
        assert len(context.actions) == 1
    assert len(context._logged_at_us) <= 10


def test_backends_that_are_gone_leave_no_state_behind() -> None:
    bench = Bench()
    endpoints, liveness = EndpointList(CONFIG, bench.core), bench.core.liveness
    for name in (f"s{n}" for n in range(50)):
        endpoints.apply(changes(member(name)))
        liveness.on_message_sent(name)
        liveness.on_reply_received(name, 1, 200_000)
        bench.wait(1_100_000)
        gone = changes(complete=True) if name == "s1" else changes(member(name, phase="DELETED"))
        endpoints.apply(gone)
    assert not liveness.last_reply_us and not liveness.silence.last_checked_us
    assert liveness.message_latency
    assert not liveness.message_latency.late and not liveness.message_latency.connection


def test_health_checks_of_ever_new_backends_are_forgotten() -> None:
    bench, reactor = Bench(), Connectors()
    checker = BackendHealthChecker(cast(Any, reactor), bench.core, lambda _: ("127.0.0.1", 9))
    for number in range(20):
        checker.check(f"s{number}")
        checker.connections[f"s{number}"].clientConnectionFailed(None, None)
    bench.wait(2 * IDLE_TIMEOUT_US + 100_000)
    assert not checker.connections


class Connectors:
    def connectTCP(self, *arguments: object, **more: object) -> Connectors:
        return self

    def disconnect(self) -> None:
        pass


def test_a_sender_that_reads_no_answers_is_not_read_on(tmp_path: Path) -> None:
    """Guards against answers, and timers for them, without end."""
    loop = Loop(tmp_path, [Backend()])
    receiver = HandoverReceiver(loop.core, loop.relay.client_factory, loop.reactor, tmp_path)
    receiver.open()
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
        sock.connect(str(tmp_path / SOCKET_NAME))
        sock.setblocking(False)
        sent, counts = 0, loop.core.counters.counts
        for _ in range(1_200):
            try:
                sock.send(HandoverMessage(b"{}", sent, 1).encode())
                sent += 1
            except BlockingIOError:
                loop.wait(20_000, 20_000)
        (sender,) = receiver.senders
        assert len(sender.unsent_answers) <= MAX_UNSENT_ANSWERS
        assert len(loop.reactor.getDelayedCalls()) <= 4
        answered, sock_is_empty = 0, False
        while not sock_is_empty or counts["taken_over_badly"] < sent:
            loop.wait(20_000, 20_000)
            try:
                sock_is_empty = False
                answered += bool(sock.recv(512))
            except BlockingIOError:
                sock_is_empty = True
        assert answered == sent, "each message is answered once the sender reads"
