"""Peers write in pieces of any size: each parser reads them as it reads all at once."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, cast

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from balancer.actions import StartAttempt
from balancer.events import ConnectionLoadReport, HealthCheckResult, Request
from gradefront.net.backend_connection import LineBackendConnection
from gradefront.net.client_protocol import ClientProtocolFactory
from gradefront.net.closing import UNSENT_TIMEOUT_US, ConnectionCloser
from gradefront.net.endpoint_list import EndpointList
from gradefront.net.endpoint_watch import EndpointWatch
from gradefront.net.endpoint_watch_call import EndpointWatchCall
from gradefront.net.health_checks import BackendHealthChecker, HealthCheckConnection, HealthCheckProtocol
from gradefront.net.lines import RequestLine

from .helper import Bench, Upstream
from .test_net_parts import CONFIG
from .test_pre_request import Wire

FIRST = b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=roster-feed,d=1500,g=5c0f6e1a2b3d4c59\r\n"
DONE = cast(Any, Failure)(ConnectionDone())
PART = b'{"revision":2,"complete":false,"members":[{"id":"box-9","host_port":"127.0.0.9:1","phase":"SERVING"}]}\n'


class Piped(Wire):
    """A transport that takes producers and never fills."""

    producer: Any = None
    before_send: Any = None

    def unregisterProducer(self) -> None:
        self.producer = None

    def flush(self) -> bool:
        if self.producer and (self.before_send is None or self.before_send()):
            self.producer.resumeProducing()  # all has left
        return super().flush()

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        if not streaming:
            self.producer = producer
            producer.resumeProducing()


class RecordingUpstream(Upstream):
    def __init__(self) -> None:
        super().__init__()
        self.forwarded: list[bytes] = []

    def forward_line(self, line: bytes) -> None:
        self.forwarded.append(line)

    def forward_partial_line(self, unfinished: bytes) -> None:
        self.forwarded.append(unfinished)


def client(parts: list[bytes]) -> object:
    """A client's first line, `PING`s before it, lines and half a line behind."""
    bench = Bench()
    client_factory = ClientProtocolFactory(CONFIG, bench.core, bench)
    line, wire, upstream = cast(Any, client_factory.buildProtocol(None)), Piped(), RecordingUpstream()
    line.makeConnection(wire)
    for part in parts:
        line.dataReceived(part)
        if line.connection and not line.upstream:
            line.upstream = upstream  # established at once, whatever comes in the same piece
    bench.core.run_once()
    requests = [(e.request_class, e.sticky_group, e.idempotency_key) for e in bench.events if isinstance(e, Request)]
    line.connectionLost(DONE)
    return wire.written, requests, upstream.forwarded


def backend(parts: list[bytes]) -> object:
    """A backend's response, and all that follows."""
    bench = Bench()
    connection, client_side = bench.accept_client()
    bench.run_actions(StartAttempt(connection.number, "box-1", 1_000_000))
    attempt = bench.attempts[-1]
    upstream = LineBackendConnection(attempt, RequestLine(FIRST[:-2], b"", False), ConnectionCloser(bench.core, 8))
    line, wire, forwarded = cast(Any, upstream.buildProtocol(None)), Piped(), list[bytes]()
    attempt.upstream = upstream
    cast(Any, client_side).establish = lambda *_: setattr(upstream, "to_client", forwarded.append)
    line.makeConnection(wire)
    for part in parts:
        line.dataReceived(part)
    line.connectionLost(DONE)
    bench.core.run_once()
    loads = [e.load for e in bench.events if isinstance(e, ConnectionLoadReport)]
    return (
        wire.written,
        client_side.calls,
        b"".join(forwarded),
        loads,
        [o.result for o in bench.attempt_ends(connection)],
    )


def health_check(parts: list[bytes]) -> object:
    """A response to a health check."""
    bench = Bench()
    connection = HealthCheckConnection(
        BackendHealthChecker(cast(Any, None), bench.core, lambda _: None), "box-1", ("127.0.0.1", 1)
    )
    line = cast(Any, HealthCheckProtocol(connection))
    connection.line_protocol, connection.pending_since_us = line, bench.now
    line.makeConnection(Piped())
    for part in parts:
        line.dataReceived(part)
    bench.core.run_once()
    return [(e.result, e.load_report) for e in bench.events if isinstance(e, HealthCheckResult)]


def endpoint_watch(parts: list[bytes]) -> object:
    """Discovery's response to a watch."""
    bench = Bench()
    endpoint_list = EndpointList(CONFIG, bench.core)
    address = ("127.0.0.1", 1)
    watch = EndpointWatch(cast(Any, None), bench.core, endpoint_list, address)
    call = EndpointWatchCall(watch, address, 3_500_000)
    line = cast(Any, call.buildProtocol(None))
    line.makeConnection(Piped())
    for part in parts:
        line.dataReceived(part)
    return endpoint_list.revision, endpoint_list.backends, sorted(bench.core.backends)


STREAMS: dict[Callable[[list[bytes]], object], bytes] = {
    client: b"PING\r\nPING\r\n" + FIRST,
    backend: b"UP r-1\r\nLOAD 512.5\r\nLOAD x\r\nhello\r\n" + b"y" * 4000 + b"\r\nBYE\r\n",
    health_check: b"PONG x0=0.25,util=0.5\r\n",
    endpoint_watch: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n"
    + PART[:9]
    + b"\r\n%x\r\n" % (len(PART) - 9)
    + PART[9:]
    + b"\r\n1\r\n\n\r\n",
}


@pytest.mark.parametrize("parser", STREAMS)
@given(cuts=st.lists(st.integers(1, 4300), max_size=6, unique=True))
def test_pieces_of_any_size_are_read_as_all_at_once(parser: Any, cuts: list[int]) -> None:
    data = STREAMS[parser]
    edges = [0, *sorted(c for c in cuts if c < len(data)), len(data)]
    pieces = [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]
    assert parser(pieces) == parser([data])


@pytest.mark.parametrize("parser", STREAMS)
def test_one_byte_at_a_time_is_read_as_all_at_once(parser: Any) -> None:
    data = STREAMS[parser]
    at_once = parser([data])
    assert parser([bytes([b]) for b in data]) == at_once and any(cast(Any, at_once))


def test_lines_after_the_request_in_pieces_reach_the_backend_complete() -> None:
    lines = [b"one\r\n", b"two words\r\n", b"half"]
    at_once = cast(Any, client([FIRST, b"".join(lines)]))
    assert at_once[2] == [b"one", b"two words", b"half"]
    assert client([FIRST, *(bytes([b]) for b in b"".join(lines))]) == at_once


def test_a_client_that_does_not_read_its_move_is_cut_in_time_and_not_before() -> None:
    class Stuck(Piped):
        cut = False

        def flush(self) -> bool:
            return False  # the kernel takes nothing: the client does not read

        def abortConnection(self) -> None:
            self.cut = True

    bench = Bench()
    client_factory = ClientProtocolFactory(CONFIG, bench.core, bench)
    line, wire = cast(Any, client_factory.buildProtocol(None)), Stuck()
    line.makeConnection(wire)
    line.dataReceived(FIRST)
    line.connection.client.establish = lambda *_: None
    bench.run_actions(StartAttempt(line.connection.number, "box-1", 1_000_000))
    bench.attempts[-1].succeed(b"UP r-1")
    line.dataReceived(b"half a li")
    bench.core.lifecycle.lame_duck()
    began = bench.now
    while not wire.written and bench.now < began + 3_300_000:
        bench.wait(20_000)
    assert wire.written == b"MOVE\r\n" and not bench.core.connections, "notified, whatever its own half line"
    bench.wait(UNSENT_TIMEOUT_US - 200_000)
    assert not wire.cut, "what it is owed has not left yet"
    bench.wait(300_000)
    assert wire.cut and not len(client_factory.closing)


def test_a_half_line_of_one_peer_keeps_no_other_waiting() -> None:
    bench = Bench()
    client_factory = ClientProtocolFactory(CONFIG, bench.core, bench)
    slow, quick = (cast(Any, client_factory.buildProtocol(None)) for _ in range(2))
    for line in (slow, quick):
        line.makeConnection(Piped())
    slow.dataReceived(FIRST[:40])
    quick.dataReceived(FIRST)
    assert quick.connection and not slow.connection
    bench.wait(2_300_000)
    assert slow.tcp.written == b"ERR\r\n" and slow.tcp.ended, "nor its descriptor for long"
