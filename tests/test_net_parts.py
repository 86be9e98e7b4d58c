"""Parsers of request lines, load reports and endpoint lists; the endpoint watch; connect checks. No sockets."""

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

LINE_HEAD = b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 "
VALID_LINE = LINE_HEAD + b"c=roster-feed,d=1500,g=000a0c821d1466e1"


def test_valid_request_line_is_parsed() -> None:
    request, backend = parse_request_line(
        LINE_HEAD + b"c=visit-checkin,d=1400,g=000a0c821d1466e1,r=1,again=1,at=s-1", CONFIG
    )
    assert (request.request_class, request.timeout_us, request.sticky_group) == (1, 1_400_000, "000a0c821d1466e1")
    assert (
        request.is_retry
        and request.is_reconnect
        and backend == "s-1"
        and request.idempotency_key == "7f3a9c21e0b4d655"
    )
    request, backend = parse_request_line(VALID_LINE + b",h=12.5,x=odd", CONFIG)
    assert (request.request_class, request.timeout_us, backend, request.is_reconnect) == (0, 1_500_000, "", False)
    assert request.load_hint == 12.5 and parse_connection_id(VALID_LINE) == b"9b1f03aa5c7e2d41"


@pytest.mark.parametrize(
    "line",
    [
        b"OPEN",
        b"OPEN 9b1f03aa5c7e2d41",
        LINE_HEAD[:-1],
        LINE_HEAD,
        b" " + VALID_LINE,
        VALID_LINE + b" ",
        b"open" + VALID_LINE[4:],
        VALID_LINE.replace(b"9b1f", b""),
        VALID_LINE.replace(b"9b1f", b"9B1F"),
        VALID_LINE.replace(b"7f3a", b"7f3a0"),
        VALID_LINE.replace(b"7f3a", b"7f3g"),
        VALID_LINE.replace(b"roster-feed", b"roster-feed2"),
        VALID_LINE.replace(b"d=1500", b""),
        VALID_LINE.replace(b"d=1500,", b""),
        VALID_LINE.replace(b"c=roster-feed,", b""),
        VALID_LINE.replace(b",g=000a0c821d1466e1", b""),
        VALID_LINE.replace(b"g=000a", b"g="),
        VALID_LINE + b",d=1500",
        VALID_LINE + b",",
        VALID_LINE + b",x",
        VALID_LINE + b",x=",
        VALID_LINE + b",=x",
        VALID_LINE + b",x==",
        VALID_LINE + b",\xff=1",
        VALID_LINE + b",r=2",
        VALID_LINE + b",again=yes",
        VALID_LINE + b",at=",
        VALID_LINE + b",at=a/b",
        VALID_LINE + b",h=-1",
        VALID_LINE + b",h=nan",
        VALID_LINE + b",h=1e3",
        VALID_LINE + b",h=1_0",
        VALID_LINE + b"\n",
        VALID_LINE + b"\0",
        *(
            VALID_LINE.replace(b"1500", d)
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
def test_malformed_request_line_raises_invalid_line_error(line: bytes) -> None:
    with pytest.raises(InvalidLineError):
        parse_request_line(line, CONFIG)


@given(st.integers(1, 10**6), st.integers(0, 10**7), st.text("abcd=é", max_size=8), st.booleans())
def test_forwarded_request_line_differs_only_in_the_remaining_time(
    d: int, remaining_ms: int, noise: str, is_d_first: bool
) -> None:
    noise = noise.replace("=", "")
    fields = [f"d={d}", "c=visit-checkin", f"xd={noise or 'y'}", "g=dddddddddddddddd"]
    field_list = ",".join(fields if is_d_first else fields[::-1])
    line = LINE_HEAD + field_list.encode()
    with suppress(InvalidLineError):  # the extra field's value has non-ASCII characters
        request, _ = parse_request_line(line, CONFIG)
        assert request.timeout_us == d * 1000
        expected = ",".join(f"d={max(1, remaining_ms)}" if f == f"d={d}" else f for f in field_list.split(","))
        assert request.request_line.with_time(remaining_ms * 1000) == LINE_HEAD + expected.encode()  # type: ignore[attr-defined]


@given(st.binary(max_size=200), st.sampled_from([b"", LINE_HEAD, VALID_LINE + b","]))
def test_parsers_raise_only_invalid_line_error_on_random_bytes(noise: bytes, head: bytes) -> None:
    with suppress(InvalidLineError):
        request, _ = parse_request_line(head + noise, CONFIG)
        assert request.timeout_us >= 0
    report = parse_load_report(noise)
    assert report is None or isinstance(report, LoadReport)


def test_load_report_values_are_found_by_name() -> None:
    assert parse_load_report(b"PONG latency_ms=3.1,qps=7,util=0.61,x0=0.72") == LoadReport(0.72, 0.61)
    assert parse_load_report(b"BYE") is None
    assert parse_load_report(b"BUSY util=none,x0=1.5") == LoadReport(1.5, None)


def test_endpoint_list_skips_and_counts_invalid_members() -> None:
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
def test_error_on_an_invalid_address_names_the_setting(text: str) -> None:
    with pytest.raises(ConfigError, match="LB_LISTEN"):
        parse_address(text, "LB_LISTEN")


def test_environment_variables_override_the_file() -> None:
    document = {"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": settings()}
    config = parse(document, {"LB_NAME": "n7", "LB_LISTEN": "[::1]:9", "LB_DISCOVERY": "127.0.0.1:8"})
    assert (config.name, config.listen, config.discovery) == ("n7", ("::1", 9), ("127.0.0.1", 8))


class RecordingReactor:
    """A reactor that only records the ports of requested connections."""

    def __init__(self) -> None:
        self.ports: list[int] = []

    def connectTCP(self, host: str, port: int, factory: object, timeout: float | None = None) -> RecordingReactor:
        self.ports.append(port)
        return self

    def disconnect(self) -> None:
        pass


def test_address_change_ignores_a_stale_retry_and_late_updates_of_the_old_watch() -> None:
    bench, reactor = Bench(), RecordingReactor()
    watch = EndpointWatch(reactor, bench.core, EndpointList(CONFIG, bench.core), ("127.0.0.1", 1))  # type: ignore[arg-type]
    watch.watch()
    old_call = watch.call
    assert old_call
    watch.change_address(("127.0.0.1", 2))
    watch.watch()  # a retry that the decision module had scheduled for the old watch
    old_call.add_data(b'{"revision": 9, "complete": true, "members": []}')
    assert not old_call.handle_next_object()
    old_call.fail("the connection ended")
    bench.wait(1_000_000)
    assert reactor.ports == [1, 2] and watch.endpoint_list.revision == 0
    assert not any(isinstance(e, EndpointListError) for e in bench.events) and bench.core.is_ready("box-1")
    assert watch.call and not watch.call.ended
    watch.call.fail("the connection ended")
    watch.watch()
    assert reactor.ports == [1, 2, 2] and bench.core.counters.counts["list_errors"] == 1


def test_pushed_list_watch_reopens_itself_well_within_the_drain_grace_period() -> None:
    bench, reactor = Bench(replace(SETTINGS, polls_endpoint_list=False, drain_grace_us=300_000)), RecordingReactor()
    watch = EndpointWatch(reactor, bench.core, EndpointList(CONFIG, bench.core), ("127.0.0.1", 1))  # type: ignore[arg-type]
    watch.watch()
    bench.wait(250_000)  # no answer: each call timed out after a third of the drain grace period, two of them so far
    assert len(reactor.ports) == 3 and watch.call
    watch.call.on_heartbeat()  # an open watch must send an empty line every 2 s
    bench.wait(2_900_000)
    assert len(reactor.ports) == 3
    watch.call.fail("the connection ended")
    bench.wait(10_000)
    assert len(reactor.ports) == 4, "reopened at once, because the agent's list is in force even without a watch"
    for _ in range(5):
        watch.call.fail("refused")
        bench.wait(104_000)
    assert len(reactor.ports) == 9, "calls to an agent that refuses are a third of the drain grace period apart"
    bench.now += 500_000  # this relay was delayed, and may have unread data
    bench.core.run_once()
    assert len(reactor.ports) == 9
    assert not any(isinstance(e, EndpointListError) for e in bench.events), "the decision module is not notified"


def test_connect_check_reports_once_whether_the_connection_opened_in_time() -> None:
    outcomes = list[tuple[str, bool]]()
    for outcome in ("up", "refused", "late", "late, then up"):
        bench = Bench()
        reactor: Any = MemoryReactorClock()  # type: ignore[no-untyped-call]
        checker = BackendHealthChecker(reactor, bench.core, lambda _: ("127.0.0.1", 9))
        with patch.object(
            bench.core.liveness,
            "on_connect_checked",
            lambda backend, opened, outcome=outcome: outcomes.append((outcome, opened)),
        ):
            checker.check_connect("box-1", 150_000)
            _, _, check_connect, _, _ = reactor.tcpClients[0]
            if outcome == "up":
                assert check_connect.buildProtocol(None) is None, (
                    "no protocol, so that Twisted closes the connection at once"
                )
            if outcome == "refused":
                check_connect.clientConnectionFailed(None, None)
            bench.wait(200_000)
            if outcome == "late, then up":
                check_connect.buildProtocol(None)
    assert outcomes == [("up", True), ("refused", True), ("late", False), ("late, then up", False)]
    BackendHealthChecker(reactor, bench.core, lambda _: None).check_connect("box-1", 150_000)
    assert len(reactor.tcpClients) == 1, "a backend that is not listed is not checked"
