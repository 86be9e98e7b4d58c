"""Stream parsers give the same result for any division of the input into pieces."""

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
from .test_pre_request import RecordingTransport

REQUEST_LINE = b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=roster-feed,d=1500,g=5c0f6e1a2b3d4c59\r\n"
CLOSED_CLEANLY = cast(Any, Failure)(ConnectionDone())
CHANGE_DOCUMENT = (
    b'{"revision":2,"complete":false,"members":[{"id":"box-9","host_port":"127.0.0.9:1","phase":"SERVING"}]}\n'
)


class ProducerTransport(RecordingTransport):
    """A recording transport that supports producers and whose buffer never fills."""

    producer: Any = None
    before_send: Any = None

    def unregisterProducer(self) -> None:
        self.producer = None

    def flush(self) -> bool:
        if self.producer and (self.before_send is None or self.before_send()):
            self.producer.resumeProducing()  # all written data is sent
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

    def forward_partial_line(self, partial_line: bytes) -> None:
        self.forwarded.append(partial_line)


def feed_client(parts: list[bytes]) -> object:
    """Feed a client connection `PING` lines, a request line and further lines; return what it wrote and forwarded."""
    bench = Bench()
    client_factory = ClientProtocolFactory(CONFIG, bench.core, bench)
    protocol, transport, upstream = (
        cast(Any, client_factory.buildProtocol(None)),
        ProducerTransport(),
        RecordingUpstream(),
    )
    protocol.makeConnection(transport)
    for part in parts:
        protocol.dataReceived(part)
        if protocol.connection and not protocol.upstream:
            protocol.upstream = upstream  # established at once, even if more lines follow in the same piece
    bench.core.run_once()
    requests = [(e.request_class, e.sticky_group, e.idempotency_key) for e in bench.events if isinstance(e, Request)]
    protocol.connectionLost(CLOSED_CLEANLY)
    return transport.written, requests, upstream.forwarded


def feed_backend(parts: list[bytes]) -> object:
    """Feed a backend connection a response and further lines; return all effects."""
    bench = Bench()
    connection, client_side = bench.accept_client()
    bench.run_actions(StartAttempt(connection.number, "box-1", 1_000_000))
    attempt = bench.attempts[-1]
    upstream = LineBackendConnection(
        attempt, RequestLine(REQUEST_LINE[:-2], b"", False), ConnectionCloser(bench.core, 8)
    )
    protocol, transport, forwarded = cast(Any, upstream.buildProtocol(None)), ProducerTransport(), list[bytes]()
    attempt.upstream = upstream
    cast(Any, client_side).establish = lambda *_: setattr(upstream, "to_client", forwarded.append)
    protocol.makeConnection(transport)
    for part in parts:
        protocol.dataReceived(part)
    protocol.connectionLost(CLOSED_CLEANLY)
    bench.core.run_once()
    loads = [e.load for e in bench.events if isinstance(e, ConnectionLoadReport)]
    return (
        transport.written,
        client_side.calls,
        b"".join(forwarded),
        loads,
        [o.result for o in bench.attempt_ends(connection)],
    )


def feed_health_check(parts: list[bytes]) -> object:
    """Feed a health check connection a response; return the reported results."""
    bench = Bench()
    connection = HealthCheckConnection(
        BackendHealthChecker(cast(Any, None), bench.core, lambda _: None), "box-1", ("127.0.0.1", 1)
    )
    protocol = cast(Any, HealthCheckProtocol(connection))
    connection.line_protocol, connection.pending_since_us = protocol, bench.now
    protocol.makeConnection(ProducerTransport())
    for part in parts:
        protocol.dataReceived(part)
    bench.core.run_once()
    return [(e.result, e.load_report) for e in bench.events if isinstance(e, HealthCheckResult)]


def feed_endpoint_watch(parts: list[bytes]) -> object:
    """Feed an endpoint watch discovery's response; return the resulting endpoint list."""
    bench = Bench()
    endpoint_list = EndpointList(CONFIG, bench.core)
    address = ("127.0.0.1", 1)
    watch = EndpointWatch(cast(Any, None), bench.core, endpoint_list, address)
    call = EndpointWatchCall(watch, address, 3_500_000)
    protocol = cast(Any, call.buildProtocol(None))
    protocol.makeConnection(ProducerTransport())
    for part in parts:
        protocol.dataReceived(part)
    return endpoint_list.revision, endpoint_list.backends, sorted(bench.core.backends)


STREAMS: dict[Callable[[list[bytes]], object], bytes] = {
    feed_client: b"PING\r\nPING\r\n" + REQUEST_LINE,
    feed_backend: b"UP r-1\r\nLOAD 512.5\r\nLOAD x\r\nhello\r\n" + b"y" * 4000 + b"\r\nBYE\r\n",
    feed_health_check: b"PONG x0=0.25,util=0.5\r\n",
    feed_endpoint_watch: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n"
    + CHANGE_DOCUMENT[:9]
    + b"\r\n%x\r\n" % (len(CHANGE_DOCUMENT) - 9)
    + CHANGE_DOCUMENT[9:]
    + b"\r\n1\r\n\n\r\n",
}


@pytest.mark.parametrize("parser", STREAMS)
@given(cuts=st.lists(st.integers(1, 4300), max_size=6, unique=True))
def test_input_in_random_pieces_is_parsed_like_one_piece(parser: Any, cuts: list[int]) -> None:
    data = STREAMS[parser]
    edges = [0, *sorted(c for c in cuts if c < len(data)), len(data)]
    pieces = [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]
    assert parser(pieces) == parser([data])


@pytest.mark.parametrize("parser", STREAMS)
def test_input_byte_by_byte_is_parsed_like_one_piece(parser: Any) -> None:
    data = STREAMS[parser]
    at_once = parser([data])
    assert parser([bytes([b]) for b in data]) == at_once and any(cast(Any, at_once))


def test_lines_after_the_request_are_forwarded_complete_if_they_arrive_in_pieces() -> None:
    lines = [b"one\r\n", b"two words\r\n", b"half"]
    at_once = cast(Any, feed_client([REQUEST_LINE, b"".join(lines)]))
    assert at_once[2] == [b"one", b"two words", b"half"]
    assert feed_client([REQUEST_LINE, *(bytes([b]) for b in b"".join(lines))]) == at_once


def test_client_that_does_not_read_move_is_reset_at_the_timeout_and_not_before() -> None:
    class BlockedTransport(ProducerTransport):
        was_reset = False

        def flush(self) -> bool:
            return False  # the kernel accepts nothing, because the client does not read

        def abortConnection(self) -> None:
            self.was_reset = True

    bench = Bench()
    client_factory = ClientProtocolFactory(CONFIG, bench.core, bench)
    protocol, transport = cast(Any, client_factory.buildProtocol(None)), BlockedTransport()
    protocol.makeConnection(transport)
    protocol.dataReceived(REQUEST_LINE)
    protocol.connection.client.establish = lambda *_: None
    bench.run_actions(StartAttempt(protocol.connection.number, "box-1", 1_000_000))
    bench.attempts[-1].succeed(b"UP r-1")
    protocol.dataReceived(b"half a li")
    bench.core.lifecycle.lame_duck()
    began = bench.now
    while not transport.written and bench.now < began + 3_300_000:
        bench.wait(20_000)
    assert transport.written == b"MOVE\r\n" and not bench.core.connections, (
        "notified, although its own last line is incomplete"
    )
    bench.wait(UNSENT_TIMEOUT_US - 200_000)
    assert not transport.was_reset, "the final line is not sent yet"
    bench.wait(300_000)
    assert transport.was_reset and not len(client_factory.closing)


def test_incomplete_line_of_one_client_does_not_delay_another() -> None:
    bench = Bench()
    client_factory = ClientProtocolFactory(CONFIG, bench.core, bench)
    slow, quick = (cast(Any, client_factory.buildProtocol(None)) for _ in range(2))
    for protocol in (slow, quick):
        protocol.makeConnection(ProducerTransport())
    slow.dataReceived(REQUEST_LINE[:40])
    quick.dataReceived(REQUEST_LINE)
    assert quick.connection and not slow.connection
    bench.wait(2_300_000)
    assert slow.tcp.written == b"ERR\r\n" and slow.tcp.ended, "its descriptor is freed after the timeout"
