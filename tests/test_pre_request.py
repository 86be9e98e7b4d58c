"""The door of the platform's front: who stays there, and for how long. No sockets, a hand-moved clock."""

from __future__ import annotations

from dataclasses import replace
from itertools import count
from typing import Any, cast

import pytest
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from balancer.actions import StartAttempt
from balancer.events import AttemptEnded, AttemptResult
from gradefront.net.client_protocol import SPARE_SOCKETS, ClientProtocol, ClientProtocolFactory

from .helper import Bench
from .test_net_parts import CONFIG

OWED_US = 3_000_000  # from connecting


class Wire:
    """A transport that records."""

    line: Any = None  # the protocol on it, where it is to hear that all has left

    def __init__(self) -> None:
        self.said = b""
        self.ended = False

    def flush(self) -> bool:
        """All is taken at once, and the sending side is shut where that was asked for."""
        if self.ended and self.line:
            self.line.writeConnectionLost()
        return True

    def catch_up(self) -> bool:
        return False

    def write(self, data: bytes) -> None:
        self.said += data

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


class Guest:
    """One connection at the front's door."""

    def __init__(self, front: ClientProtocolFactory, line: ClientProtocol) -> None:
        self.line = cast(Any, line)
        self.wire = Wire()
        self.wire.line = self.line
        self.line.makeConnection(self.wire)
        self.arrived_us = front.core.clock()

    def say(self, data: bytes) -> None:
        if not self.wire.ended:
            self.line.dataReceived(data)

    def leave(self) -> None:
        self.line.connectionLost(cast(Any, Failure)(ConnectionDone()))


class Door:
    """A front on a bench's core, and connections to it over transports that record."""

    def __init__(self, sockets: int = 512) -> None:
        self.bench = Bench()
        config = replace(CONFIG, sockets=sockets)
        self.front = ClientProtocolFactory(config, self.bench.core, self.bench)
        self.ids = count(1)

    def connect(self) -> Guest:
        line = self.front.buildProtocol(None)
        assert line
        return Guest(self.front, line)

    def first(self, number: int = 0) -> bytes:
        return b"OPEN %016x 7f3a9c21e0b4d655 c=roster-feed,d=1500,g=5c0f6e1a2b3d4c59\r\n" % (number or next(self.ids))


@pytest.mark.parametrize(
    "words",
    [[], [b"OPEN 9b1f03aa5c7e2d41 7f3a"], [b"O", b"P", b"E", b"N"] * 8, [b"PING\r\n"] * 20, [b"PING\r\n"] * 200],
)
def test_who_makes_no_visit_hears_an_error_in_time(words: list[bytes]) -> None:
    door = Door()
    guest = door.connect()
    for word in words:
        door.bench.wait(2_000_000 // len(words))
        guest.say(word)
    door.bench.wait(guest.arrived_us + OWED_US - 100_000 - door.bench.now)
    assert guest.wire.said.endswith(b"ERR\r\n") and guest.wire.said.count(b"ERR") == 1 and guest.wire.ended
    guest.leave()
    assert door.front.open_connections == 0 and not door.front.pre_request


def test_a_line_before_the_visit_stands_is_answered_once_and_goes_nowhere() -> None:
    door = Door()
    early = door.connect()
    early.say(door.first() + b"hello\r\n" * 300)
    assert early.wire.said == b"ERR\r\n" and early.wire.ended
    reaching = door.connect()
    reaching.say(door.first())
    door.bench.order(StartAttempt(2, "box-1", 1_000_000))
    (upstream,) = door.bench.upstreams
    reaching.say(b"hello\r\n")
    assert reaching.wire.said == b"ERR\r\n" and upstream.closed and not door.bench.core.connections
    door.bench.wait(OWED_US)
    assert early.wire.said == reaching.wire.said == b"ERR\r\n"
    results = [e.result for e in door.bench.events if isinstance(e, AttemptEnded)]
    assert results == [AttemptResult.CANCELLED], "nothing that would tell against the push box"


def test_the_id_of_another_connection_is_no_id() -> None:
    door = Door()
    usual, other, late = (door.connect() for _ in range(3))
    usual.say(door.first(7))
    other.say(door.first(7))
    assert other.wire.said == b"ERR\r\n" and len(door.bench.core.connections) == 1
    usual.leave()
    late.say(door.first(7))
    assert late.wire.said == b"ERR\r\n" and not door.bench.core.connections


def test_hundreds_that_say_nothing_leave_the_usual_their_room() -> None:
    sockets = 256
    door, mutes, usual = Door(sockets), list[Guest](), list[Guest]()
    for n in range(600):
        door.bench.wait(2_000)
        if line := door.front.buildProtocol(None):
            mutes.append(Guest(door.front, line))
        if n % 15 == 0:
            usual.append(door.connect())
            usual[-1].say(door.first())
            mine = door.bench.core.connections[max(door.bench.core.connections)]
            door.bench.order(StartAttempt(mine.number, "box-1", 1_000_000))
        for mute in [m for m in mutes if m.wire.ended]:
            mutes.remove(mute)
            mute.leave()
        assert door.front.descriptors_held() <= sockets - SPARE_SOCKETS // 2
    assert all(u.wire.said == b"" for u in usual), "none was turned away"
    assert len(door.bench.attempts) == len(usual) == 40
    assert door.bench.core.counters.counts["ended_for_room"] > 0
