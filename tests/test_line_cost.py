"""What a peer sends costs in proportion to its bytes, in however many lines, chunks or pieces they come.

Guards against a few bad clients that occupy the relay: each line was cut off by copying all bytes after it, and lines
were taken apart although their connection had been rejected already (review/8).
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from typing import Any, cast

import pytest

from gradefront.net.client_protocol import ClientProtocolFactory
from gradefront.net.endpoint_list import EndpointList
from gradefront.net.endpoint_watch import EndpointWatch
from gradefront.net.endpoint_watch_call import EndpointWatchCall
from gradefront.net.objects import JsonObjectReader

from .helper import Bench
from .test_net_parts import CONFIG
from .test_pieces import ProducerTransport, RecordingUpstream
from .test_placement_cost import count_calls

SMALL, LARGE = 1 << 13, 1 << 18  # bytes
MAX_GROWTH = 3.0  # of the cost of a byte
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class HalfClosingTransport(ProducerTransport):
    """As Twisted's, it does not count as `disconnecting` once only its sending side is shut down."""

    def __init__(self) -> None:
        super().__init__()
        self.reactor = self
        self.next_turns: list[Callable[[], None]] = []

    @property
    def disconnecting(self) -> bool:
        return False

    def hold_reading(self) -> None:
        pass

    release_reading = hold_reading

    def callLater(self, delay_s: float, callback: Callable[[], None]) -> None:
        self.next_turns.append(callback)

    def run_turns(self) -> None:
        while self.next_turns:
            self.next_turns.pop(0)()


def client_protocol() -> Any:
    bench = Bench()
    protocol = cast(Any, ClientProtocolFactory(CONFIG, bench.core, bench).buildProtocol(None))
    protocol.makeConnection(HalfClosingTransport())
    return protocol


def established_client() -> Any:
    protocol = client_protocol()
    protocol.upstream = RecordingUpstream()
    return protocol


def watch() -> Any:
    bench = Bench()
    address = ("127.0.0.1", 1)
    owner = EndpointWatch(cast(Any, None), bench.core, EndpointList(CONFIG, bench.core), address)
    protocol = cast(Any, EndpointWatchCall(owner, address, 3_500_000).buildProtocol(None))
    protocol.makeConnection(ProducerTransport())
    protocol.dataReceived(HEAD)
    return protocol


def cost_per_byte(unit: bytes, size: int) -> float:
    """Return the least CPU time of several runs."""
    data, costs = unit * (size // len(unit)), []
    for _ in range(5):
        protocol = established_client()
        began_s = time.process_time()
        protocol.dataReceived(data)
        protocol.transport.run_turns()
        costs.append(time.process_time() - began_s)
    return min(costs) / len(data)


@pytest.mark.parametrize("unit", [b"\r\n", b"x\r\n"])
def test_a_byte_costs_the_same_however_many_lines_follow(unit: bytes) -> None:
    assert cost_per_byte(unit, LARGE) <= MAX_GROWTH * cost_per_byte(unit, SMALL)


def test_chunks_that_come_together_are_searched_together() -> None:
    """Guards against a search through the whole text of an incomplete list at each of its chunks."""
    protocol, calls = watch(), list[bytes]()
    protocol.call.add_data = calls.append
    protocol.dataReceived(b"1\r\nx\r\n" * 20)
    assert calls == [b"x" * 20]


def test_lines_after_a_bad_one_are_not_taken_apart() -> None:
    protocol = client_protocol()
    assert count_calls(lambda: protocol.dataReceived(b"\r\n" * 32_768)) < 1_000
    assert protocol.transport.written == b"ERR\r\n"


@pytest.mark.parametrize("indent", [None, 2])
def test_a_list_in_pieces_is_parsed_once_for_each_object(indent: int | None) -> None:
    """Guards against a parse of all that has come at each piece that ends with a brace."""
    members = [{"id": f"box-{n}", "host_port": "127.0.0.9:1", "phase": "SERVING", "note": '}"{'} for n in range(200)]
    document = {"revision": 2, "complete": True, "members": members}
    data = (json.dumps(document, indent=indent) + "\n").encode() * 2
    reader, parses, objects = JsonObjectReader(), 0, list[Any]()
    parse = reader._parse

    def counted(*arguments: Any) -> Any:
        nonlocal parses
        parses += 1
        return parse(*arguments)

    cast(Any, reader)._parse = counted
    for piece in data.split(b"}")[:-1]:
        reader.add(piece + b"}")
        while found := reader.next_object():
            objects.append(found)
    assert objects == [document, document] and parses == 2
