"""Client connections before their request: when they are closed. No sockets; the test advances the clock."""

from __future__ import annotations

from dataclasses import replace
from itertools import count
from typing import Any, cast

import pytest
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from balancer.actions import StartAttempt
from balancer.events import AttemptEnded, AttemptResult
from gradefront.net.client_protocol import ClientProtocol, ClientProtocolFactory
from gradefront.net.descriptor_budget import RESERVED_DESCRIPTORS

from .helper import Bench
from .test_net_parts import CONFIG

ANSWER_OWED_US = 3_000_000  # since accept


class RecordingTransport:
    """A transport that records what is written to it."""

    protocol: Any = None  # if set, `writeConnectionLost` is called on this protocol

    def __init__(self) -> None:
        self.written = b""
        self.ended = False

    def flush(self) -> bool:
        """Act as if the kernel accepted all data, and shut the sending side down if requested."""
        if self.ended and self.protocol:
            self.protocol.writeConnectionLost()
        return True

    def read_available(self) -> bool:
        return False

    def write(self, data: bytes) -> None:
        self.written += data

    def loseConnection(self) -> None:
        self.ended = True

    def setTcpNoDelay(self, on: bool) -> None:
        pass

    unregisterProducer = abortConnection = loseWriteConnection = loseConnection

    def resumeProducing(self) -> None:
        pass

    @property
    def disconnecting(self) -> bool:
        return self.ended


class ConnectedClient:
    """One client's connection on a recording transport."""

    def __init__(self, client_factory: ClientProtocolFactory, protocol: ClientProtocol) -> None:
        self.protocol = cast(Any, protocol)
        self.tcp = RecordingTransport()
        self.tcp.protocol = self.protocol
        self.protocol.makeConnection(self.tcp)
        self.arrived_us = client_factory.core.clock()

    def send(self, data: bytes) -> None:
        if not self.tcp.ended:
            self.protocol.dataReceived(data)

    def leave(self) -> None:
        self.protocol.connectionLost(cast(Any, Failure)(ConnectionDone()))


class Listener:
    """A client factory on a bench's core, and connections to it."""

    def __init__(self, sockets: int = 512) -> None:
        self.bench = Bench()
        config = replace(CONFIG, sockets=sockets)
        self.client_factory = ClientProtocolFactory(config, self.bench.core, self.bench)
        self.ids = count(1)

    def connect(self) -> ConnectedClient:
        protocol = self.client_factory.buildProtocol(None)
        assert protocol
        return ConnectedClient(self.client_factory, protocol)

    def request_line(self, number: int = 0) -> bytes:
        return b"OPEN %016x 7f3a9c21e0b4d655 c=roster-feed,d=1500,g=5c0f6e1a2b3d4c59\r\n" % (number or next(self.ids))


@pytest.mark.parametrize(
    "pieces",
    [[], [b"OPEN 9b1f03aa5c7e2d41 7f3a"], [b"O", b"P", b"E", b"N"] * 8, [b"PING\r\n"] * 20, [b"PING\r\n"] * 200],
)
def test_client_without_a_request_gets_err_within_the_time_owed(pieces: list[bytes]) -> None:
    listener = Listener()
    client = listener.connect()
    for piece in pieces:
        listener.bench.wait(2_000_000 // len(pieces))
        client.send(piece)
    listener.bench.wait(client.arrived_us + ANSWER_OWED_US - 100_000 - listener.bench.now)
    assert client.tcp.written.endswith(b"ERR\r\n") and client.tcp.written.count(b"ERR") == 1 and client.tcp.ended
    client.leave()
    assert listener.client_factory.open_connections == 0 and not listener.client_factory.pre_request


def test_line_before_establishment_gets_one_err_and_is_not_forwarded() -> None:
    listener = Listener()
    early = listener.connect()
    early.send(listener.request_line() + b"hello\r\n" * 300)
    assert early.tcp.written == b"ERR\r\n" and early.tcp.ended
    connecting = listener.connect()
    connecting.send(listener.request_line())
    listener.bench.run_actions(StartAttempt(2, "box-1", 1_000_000))
    (upstream,) = listener.bench.upstreams
    connecting.send(b"hello\r\n")
    assert connecting.tcp.written == b"ERR\r\n" and upstream.closed and not listener.bench.core.connections
    listener.bench.wait(ANSWER_OWED_US)
    assert early.tcp.written == connecting.tcp.written == b"ERR\r\n"
    results = [e.result for e in listener.bench.events if isinstance(e, AttemptEnded)]
    assert results == [AttemptResult.CANCELLED], "the attempt does not count against the backend"


def test_connection_id_that_was_used_before_gets_err() -> None:
    listener = Listener()
    requesting, other, late = (listener.connect() for _ in range(3))
    requesting.send(listener.request_line(7))
    other.send(listener.request_line(7))
    assert other.tcp.written == b"ERR\r\n" and len(listener.bench.core.connections) == 1
    requesting.leave()
    late.send(listener.request_line(7))
    assert late.tcp.written == b"ERR\r\n" and not listener.bench.core.connections


def test_hundreds_of_silent_clients_do_not_take_the_descriptors_of_clients_with_requests() -> None:
    sockets = 256
    listener, silent, requesting = Listener(sockets), list[ConnectedClient](), list[ConnectedClient]()
    for n in range(600):
        listener.bench.wait(2_000)
        if protocol := listener.client_factory.buildProtocol(None):
            silent.append(ConnectedClient(listener.client_factory, protocol))
        if n % 15 == 0:
            requesting.append(listener.connect())
            requesting[-1].send(listener.request_line())
            connection = listener.bench.core.connections[max(listener.bench.core.connections)]
            listener.bench.run_actions(StartAttempt(connection.number, "box-1", 1_000_000))
        for client in [m for m in silent if m.tcp.ended]:
            silent.remove(client)
            client.leave()
        assert listener.client_factory.descriptors_held() <= sockets - RESERVED_DESCRIPTORS // 2
    assert all(u.tcp.written == b"" for u in requesting), "no client with a request was rejected"
    assert len(listener.bench.attempts) == len(requesting) == 40
    assert listener.bench.core.counters.counts["ended_for_room"] > 0
