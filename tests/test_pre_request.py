"""Connections before their request: which stay open, and for how long. No sockets, a clock that the test moves."""

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

ANSWER_OWED_US = 3_000_000  # from connecting


class Wire:
    """A transport that records."""

    line: Any = None  # the protocol, where `writeConnectionLost` is to be called on it

    def __init__(self) -> None:
        self.written = b""
        self.ended = False

    def flush(self) -> bool:
        """The kernel takes all at once, and the sending side is shut where that was requested."""
        if self.ended and self.line:
            self.line.writeConnectionLost()
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
    """One client's connection, on a transport that records."""

    def __init__(self, client_factory: ClientProtocolFactory, line: ClientProtocol) -> None:
        self.line = cast(Any, line)
        self.wire = Wire()
        self.wire.line = self.line
        self.line.makeConnection(self.wire)
        self.arrived_us = client_factory.core.clock()

    def send(self, data: bytes) -> None:
        if not self.wire.ended:
            self.line.dataReceived(data)

    def leave(self) -> None:
        self.line.connectionLost(cast(Any, Failure)(ConnectionDone()))


class Listener:
    """A factory on a bench's core, and clients' connections to it."""

    def __init__(self, sockets: int = 512) -> None:
        self.bench = Bench()
        config = replace(CONFIG, sockets=sockets)
        self.client_factory = ClientProtocolFactory(config, self.bench.core, self.bench)
        self.ids = count(1)

    def connect(self) -> ConnectedClient:
        line = self.client_factory.buildProtocol(None)
        assert line
        return ConnectedClient(self.client_factory, line)

    def request_line(self, number: int = 0) -> bytes:
        return b"OPEN %016x 7f3a9c21e0b4d655 c=roster-feed,d=1500,g=5c0f6e1a2b3d4c59\r\n" % (number or next(self.ids))


@pytest.mark.parametrize(
    "pieces",
    [[], [b"OPEN 9b1f03aa5c7e2d41 7f3a"], [b"O", b"P", b"E", b"N"] * 8, [b"PING\r\n"] * 20, [b"PING\r\n"] * 200],
)
def test_a_client_without_a_request_gets_an_error_in_time(pieces: list[bytes]) -> None:
    listener = Listener()
    client = listener.connect()
    for piece in pieces:
        listener.bench.wait(2_000_000 // len(pieces))
        client.send(piece)
    listener.bench.wait(client.arrived_us + ANSWER_OWED_US - 100_000 - listener.bench.now)
    assert client.wire.written.endswith(b"ERR\r\n") and client.wire.written.count(b"ERR") == 1 and client.wire.ended
    client.leave()
    assert listener.client_factory.open_connections == 0 and not listener.client_factory.pre_request


def test_a_line_before_the_connection_is_established_is_answered_once_and_not_forwarded() -> None:
    listener = Listener()
    early = listener.connect()
    early.send(listener.request_line() + b"hello\r\n" * 300)
    assert early.wire.written == b"ERR\r\n" and early.wire.ended
    reaching = listener.connect()
    reaching.send(listener.request_line())
    listener.bench.run_actions(StartAttempt(2, "box-1", 1_000_000))
    (upstream,) = listener.bench.upstreams
    reaching.send(b"hello\r\n")
    assert reaching.wire.written == b"ERR\r\n" and upstream.closed and not listener.bench.core.connections
    listener.bench.wait(ANSWER_OWED_US)
    assert early.wire.written == reaching.wire.written == b"ERR\r\n"
    results = [e.result for e in listener.bench.events if isinstance(e, AttemptEnded)]
    assert results == [AttemptResult.CANCELLED], "nothing that would count against the backend"


def test_the_id_of_another_connection_is_rejected() -> None:
    listener = Listener()
    usual, other, late = (listener.connect() for _ in range(3))
    usual.send(listener.request_line(7))
    other.send(listener.request_line(7))
    assert other.wire.written == b"ERR\r\n" and len(listener.bench.core.connections) == 1
    usual.leave()
    late.send(listener.request_line(7))
    assert late.wire.written == b"ERR\r\n" and not listener.bench.core.connections


def test_hundreds_of_silent_clients_leave_descriptors_to_the_usual_ones() -> None:
    sockets = 256
    listener, silent, usual = Listener(sockets), list[ConnectedClient](), list[ConnectedClient]()
    for n in range(600):
        listener.bench.wait(2_000)
        if line := listener.client_factory.buildProtocol(None):
            silent.append(ConnectedClient(listener.client_factory, line))
        if n % 15 == 0:
            usual.append(listener.connect())
            usual[-1].send(listener.request_line())
            connection = listener.bench.core.connections[max(listener.bench.core.connections)]
            listener.bench.run_actions(StartAttempt(connection.number, "box-1", 1_000_000))
        for client in [m for m in silent if m.wire.ended]:
            silent.remove(client)
            client.leave()
        assert listener.client_factory.descriptors_held() <= sockets - RESERVED_DESCRIPTORS // 2
    assert all(u.wire.written == b"" for u in usual), "none was rejected"
    assert len(listener.bench.attempts) == len(usual) == 40
    assert listener.bench.core.counters.counts["ended_for_room"] > 0
