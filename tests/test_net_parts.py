"""The platform's lines and the endpoint list's form. No sockets."""

from __future__ import annotations

import json
from contextlib import suppress
from dataclasses import replace
from typing import Any
from unittest.mock import patch

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.testing import MemoryReactorClock

from balancer.events import BackendState, Endpoint, EndpointListError, EndpointListUpdate, LoadReport
from gradefront.config import Config, ConfigError, parse, parse_address
from gradefront.net.endpoint_list import EndpointList
from gradefront.net.endpoint_watch import EndpointWatch
from gradefront.net.health_checks import BackendHealthChecker
from gradefront.net.lines import InvalidLineError, parse_connection_id, parse_load_report, parse_request_line
from lab.stand_ins import settings

from .helper import SETTINGS, Bench

CONFIG: Config = parse(
    {"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f", "settings": settings()}, {}
)

HEAD = b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 "
USUAL = HEAD + b"c=roster-feed,d=1500,g=000a0c821d1466e1"


def test_a_request_line_is_read() -> None:
    call, at = parse_request_line(HEAD + b"c=visit-checkin,d=1400,g=000a0c821d1466e1,r=1,again=1,at=s-1", CONFIG)
    assert (call.request_class, call.timeout_us, call.sticky_group) == (1, 1_400_000, "000a0c821d1466e1")
    assert call.is_retry and call.is_reconnect and at == "s-1" and call.idempotency_key == "7f3a9c21e0b4d655"
    call, at = parse_request_line(USUAL + b",h=12.5,x=odd", CONFIG)
    assert (call.request_class, call.timeout_us, at, call.is_reconnect) == (0, 1_500_000, "", False)
    assert call.load_hint == 12.5 and parse_connection_id(USUAL) == b"9b1f03aa5c7e2d41"


@pytest.mark.parametrize(
    "line",
    [
        b"OPEN",
        b"OPEN 9b1f03aa5c7e2d41",
        HEAD[:-1],
        HEAD,
        b" " + USUAL,
        USUAL + b" ",
        b"open" + USUAL[4:],
        USUAL.replace(b"9b1f", b""),
        USUAL.replace(b"9b1f", b"9B1F"),
        USUAL.replace(b"7f3a", b"7f3a0"),
        USUAL.replace(b"7f3a", b"7f3g"),
        USUAL.replace(b"roster-feed", b"roster-feed2"),
        USUAL.replace(b"d=1500", b""),
        USUAL.replace(b"d=1500,", b""),
        USUAL.replace(b"c=roster-feed,", b""),
        USUAL.replace(b",g=000a0c821d1466e1", b""),
        USUAL.replace(b"g=000a", b"g="),
        USUAL + b",d=1500",
        USUAL + b",",
        USUAL + b",x",
        USUAL + b",x=",
        USUAL + b",=x",
        USUAL + b",x==",
        USUAL + b",\xff=1",
        USUAL + b",r=2",
        USUAL + b",again=yes",
        USUAL + b",at=",
        USUAL + b",at=a/b",
        USUAL + b",h=-1",
        USUAL + b",h=nan",
        USUAL + b",h=1e3",
        USUAL + b",h=1_0",
        USUAL + b"\n",
        USUAL + b"\0",
        *(
            USUAL.replace(b"1500", d)
            for d in (
                b"",
                b"0",
                b"-5",
                b"+5",
                b"1e3",
                b"1_0",
                b"1.5",
                b"soon",
                b"nan",
                b"0x10",
                b" 5",
                b"4294968",
                b"9" * 23,
                "١".encode(),
            )
        ),
    ],
)
def test_a_line_that_no_client_sends_is_invalid(line: bytes) -> None:
    with pytest.raises(InvalidLineError):
        parse_request_line(line, CONFIG)


@given(st.integers(1, 10**6), st.integers(0, 10**7), st.text("abcd=é", max_size=8), st.booleans())
def test_the_line_is_forwarded_unchanged_but_for_the_time(d: int, left: int, noise: str, first: bool) -> None:
    noise = noise.replace("=", "")
    fields = [f"d={d}", "c=visit-checkin", f"xd={noise or 'y'}", "g=dddddddddddddddd"]
    listed = ",".join(fields if first else fields[::-1])
    line = HEAD + listed.encode()
    with suppress(InvalidLineError):  # figures that are not ASCII
        call, _ = parse_request_line(line, CONFIG)
        assert call.timeout_us == d * 1000
        wanted = ",".join(f"d={max(1, left)}" if f == f"d={d}" else f for f in listed.split(","))
        assert call.request_line.with_time(left * 1000) == HEAD + wanted.encode()  # type: ignore[attr-defined]


@given(st.binary(max_size=200), st.sampled_from([b"", HEAD, USUAL + b","]))
def test_no_line_breaks_the_reader(noise: bytes, head: bytes) -> None:
    with suppress(InvalidLineError):
        call, _ = parse_request_line(head + noise, CONFIG)
        assert call.timeout_us >= 0
    report = parse_load_report(noise)
    assert report is None or isinstance(report, LoadReport)


def test_a_load_report_is_read_by_name() -> None:
    assert parse_load_report(b"PONG latency_ms=3.1,qps=7,util=0.61,x0=0.72") == LoadReport(0.72, 0.61)
    assert parse_load_report(b"BYE") is None
    assert parse_load_report(b"BUSY util=none,x0=1.5") == LoadReport(1.5, None)


def test_the_endpoint_list_keeps_addresses_and_leaves_out_invalid_members() -> None:
    bench = Bench()
    endpoint_list = EndpointList(CONFIG, bench.core)
    good = {
        "id": "s-1",
        "host_port": "127.0.0.1:3000",
        "locality": "mbj-1",
        "flavor": "quad-slow",
        "cell": 3,
        "phase": "SERVING",
        "size": 1.5,
        "up_since_ms": 5,
    }
    bad = [{}, 7, {**good, "host_port": None}, {**good, "id": "s-9", "host_port": "x:y"}, {"id": "s-8"}]
    endpoint_list.apply(json.loads(json.dumps({"revision": 4, "complete": True, "members": [good, *bad]})))
    bench.core.run_once()
    assert bench.events[-1] == EndpointListUpdate((Endpoint("s-1", BackendState.READY, 1, 3, 1, 1.5, 5000),), True)
    assert endpoint_list.address("s-1") == ("127.0.0.1", 3000) and endpoint_list.address("s-9") is None
    assert endpoint_list.revision == 4 and bench.core.counters.counts["bad_list_lines"] == 5
    endpoint_list.apply({"revision": 5, "complete": False, "members": [{"id": "s-1", "phase": "DELETED"}]})
    assert endpoint_list.address("s-1") is None and not bench.core.is_ready("s-1") and not endpoint_list.backends


@pytest.mark.parametrize("text", ["", "x", "x:", ":1", "h:70000", "h:p"])
def test_an_address_without_sense_is_named(text: str) -> None:
    with pytest.raises(ConfigError, match="LB_LISTEN"):
        parse_address(text, "LB_LISTEN")


def test_variables_go_before_the_file() -> None:
    document = {"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": settings()}
    config = parse(document, {"LB_NAME": "n7", "LB_LISTEN": "[::1]:9", "LB_DISCOVERY": "127.0.0.1:8"})
    assert (config.name, config.listen, config.discovery) == ("n7", ("::1", 9), ("127.0.0.1", 8))


class RecordingReactor:
    """A reactor that records the ports that it was to connect to; nothing connects."""

    def __init__(self) -> None:
        self.ports: list[int] = []

    def connectTCP(self, host: str, port: int, factory: object, timeout: float | None = None) -> RecordingReactor:
        self.ports.append(port)
        return self

    def disconnect(self) -> None:
        pass


def test_no_stale_retry_or_late_update_undoes_a_watch_at_a_new_address() -> None:
    bench, reactor = Bench(), RecordingReactor()
    watch = EndpointWatch(reactor, bench.core, EndpointList(CONFIG, bench.core), ("127.0.0.1", 1))  # type: ignore[arg-type]
    watch.watch()
    old = watch.call
    assert old
    watch.change_address(("127.0.0.1", 2))
    watch.watch()  # a retry that the decision module had set for the old watch
    old.on_data(b'{"revision": 9, "complete": true, "members": []}')
    old.fail("the connection ended")
    bench.wait(1_000_000)
    assert reactor.ports == [1, 2] and watch.endpoint_list.revision == 0
    assert not any(isinstance(e, EndpointListError) for e in bench.events) and bench.core.is_ready("box-1")
    assert watch.call and not watch.call.ended
    watch.call.fail("the connection ended")
    watch.watch()
    assert reactor.ports == [1, 2, 2] and bench.core.counters.counts["list_errors"] == 1


def test_where_lists_are_pushed_the_watch_keeps_itself_open_well_within_the_drain_grace() -> None:
    bench, reactor = Bench(replace(SETTINGS, polls_endpoint_list=False, drain_grace_us=300_000)), RecordingReactor()
    watch = EndpointWatch(reactor, bench.core, EndpointList(CONFIG, bench.core), ("127.0.0.1", 1))  # type: ignore[arg-type]
    watch.watch()
    bench.wait(250_000)  # silent since the call: the agent had a third of the drain grace, twice
    assert len(reactor.ports) == 3 and watch.call
    watch.call.on_heartbeat()  # a watch that is open owes an empty line every 2 s
    bench.wait(2_900_000)
    assert len(reactor.ports) == 3
    watch.call.fail("the connection ended")
    bench.wait(10_000)
    assert len(reactor.ports) == 4, "at once: what the agent has is in force, watch or not"
    for _ in range(5):
        watch.call.fail("refused")
        bench.wait(104_000)
    assert len(reactor.ports) == 9, "an agent that refuses is called again at a pace, a third of the drain grace"
    bench.now += 500_000  # this relay is held up, and has not read what came meanwhile
    bench.core.run_once()
    assert len(reactor.ports) == 9
    assert not any(isinstance(e, EndpointListError) for e in bench.events), "the module has no part in it"


def test_a_connect_check_reports_once_whether_the_machine_took_a_connection_in_time() -> None:
    outcomes = list[tuple[str, bool]]()
    for end in ("up", "refused", "late", "late, then up"):
        bench = Bench()
        reactor: Any = MemoryReactorClock()  # type: ignore[no-untyped-call]
        checker = BackendHealthChecker(reactor, bench.core, lambda _: ("127.0.0.1", 9))
        with patch.object(
            bench.core.liveness, "on_connect_checked", lambda backend, opened, end=end: outcomes.append((end, opened))
        ):
            checker.check_connect("box-1", 150_000)
            _, _, check_connect, _, _ = reactor.tcpClients[0]
            if end == "up":
                assert check_connect.buildProtocol(None) is None, "closed at once"
            if end == "refused":
                check_connect.clientConnectionFailed(None, None)
            bench.wait(200_000)
            if end == "late, then up":
                check_connect.buildProtocol(None)
    assert outcomes == [("up", True), ("refused", True), ("late", False), ("late, then up", False)]
    BackendHealthChecker(reactor, bench.core, lambda _: None).check_connect("box-1", 150_000)
    assert len(reactor.tcpClients) == 1, "no check of a backend that is in no list"
