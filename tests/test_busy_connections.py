"""One connection that sends without end does not occupy the relay: others have their turn after a few of its lines.

Guards against answers that are late by half a second because one client sends small lines at full speed on its
standing connection, or one discovery small objects on its watch.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

import pytest

from balancer.events import EndpointListUpdate
from gradefront.net.base import MAX_LINES_AT_ONCE, MAX_LINES_PER_TURN
from gradefront.net.endpoint_watch_protocol import EndpointWatchProtocol

from .loop import Backend, Loop, Peer, wait_ready
from .test_line_cost import HEAD

LINES = 10_000
ENDLESS_ANSWER_BYTES = 65_536


def steps_until(loop: Loop, done: Callable[[], Any]) -> int:
    """Return the iterations of the event loop until `done` returns a true value."""
    steps = 0
    while not done():
        loop.step()
        steps += 1
        assert steps < 2_000
    return steps


def test_a_client_is_answered_while_another_sends_lines_without_end(tmp_path: Path) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    busy, at_backend = loop.establish(backend)
    usual, usual_backend = loop.establish(backend)
    handled = forwarded_lines(loop, busy)
    busy.send(b"x\r\n" * LINES)
    wait_ready(loop.protocol_of(busy).tcp.socket)
    usual.send_line("hello")
    wait_ready(loop.protocol_of(usual).tcp.socket)
    steps_until(loop, lambda: usual_backend.read().endswith(b"hello\r\n"))
    assert len(handled) <= 4 * MAX_LINES_PER_TURN, "the other's line had to wait for too many lines"
    loop.until(lambda: len(at_backend.read()) == 3 * LINES)
    assert at_backend.received == b"x\r\n" * LINES, "each line arrives once and in order"


def forwarded_lines(loop: Loop, peer: Peer) -> list[bytes]:
    upstream, handled = loop.protocol_of(peer).upstream, list[bytes]()
    assert upstream
    forward = upstream.forward_line

    def recorded(line: bytes) -> None:
        handled.append(line)
        forward(line)

    upstream.forward_line = recorded  # type: ignore[method-assign]
    return handled


def test_a_busy_connection_ends_in_order(tmp_path: Path) -> None:
    """Guards against lines, or the end, that are lost because lines still wait for their turn."""
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    busy, at_backend = loop.establish(backend)
    busy.send(b"x\r\n" * LINES + b"half")
    busy.sock.shutdown(socket.SHUT_WR)
    loop.until(lambda: at_backend.read() and at_backend.ended)
    assert at_backend.received == b"x\r\n" * LINES + b"half"


def test_a_busy_client_is_migrated_at_once(tmp_path: Path) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    busy, _ = loop.establish(backend)
    protocol = loop.protocol_of(busy)
    busy.send(b"x\r\n" * LINES)
    loop.until(lambda: protocol.has_backlog)
    assert protocol.connection
    loop.core.migrate(protocol.connection)
    loop.until(lambda: busy.read().endswith(b"MOVE\r\n"))
    loop.step(10)
    assert not protocol.has_backlog and not protocol.received


def test_back_pressure_and_turns_do_not_undo_each_other(tmp_path: Path) -> None:
    """Guards against reading on although lines wait for their turn, which would let the memory grow."""
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    busy, _ = loop.establish(backend)
    protocol = loop.protocol_of(busy)
    transport = protocol.tcp
    busy.send(b"x\r\n" * LINES)
    loop.until(lambda: protocol.has_backlog)
    transport.resumeProducing()
    assert transport not in loop.reactor.getReaders()
    transport.pauseProducing()
    loop.until(lambda: not protocol.has_backlog)
    assert transport not in loop.reactor.getReaders()
    transport.resumeProducing()
    assert transport in loop.reactor.getReaders()


@pytest.mark.parametrize("body", [b"{}\n", b'{"members":[7]}\n'])
def test_a_client_is_answered_while_discovery_sends_objects_without_end(tmp_path: Path, body: bytes) -> None:
    backend, discovery = Backend(), Backend()
    loop = Loop(tmp_path, [backend], discovery=discovery)
    loop.until(lambda: loop.wait(20_000) or discovery.has_pending)
    agent = discovery.accept()
    updates = count_updates(loop)
    client, _ = loop.establish(backend)
    agent.send(HEAD + b"%x\r\n%s\r\n" % (len(body) * LINES, body * LINES))
    (watch,) = [r.protocol for r in loop.reactor.getReaders() if is_watch(r)]
    wait_ready(watch.tcp.socket)
    loop.step()  # a turn as the data is read, and one right after it
    assert 0 < len(updates) <= 2 * MAX_LINES_PER_TURN
    before = len(updates)
    watch.read_available()
    assert len(updates) - before <= 2 * MAX_LINES_AT_ONCE, "an attempt had to wait for too many objects"


def is_watch(reader: Any) -> bool:
    return isinstance(getattr(reader, "protocol", None), EndpointWatchProtocol)


def count_updates(loop: Loop) -> list[EndpointListUpdate]:
    updates, apply = list[EndpointListUpdate](), loop.core.on_endpoint_list

    def recorded(update: EndpointListUpdate) -> None:
        updates.append(update)
        apply(update)

    cast(Any, loop.core).on_endpoint_list = recorded
    return updates


@pytest.mark.parametrize("first", [b"", b"BUSY\r\n"])
def test_an_endless_answer_is_cut_and_the_request_goes_to_another_backend(tmp_path: Path, first: bytes) -> None:
    """Guards against work and memory that grow with what a backend sends after its answer is decided."""
    backends = [Backend(), Backend()]
    loop = Loop(tmp_path, backends)
    client = loop.client()
    loop.open(client)
    loop.until(lambda: any(backend.has_pending for backend in backends))
    endless = next(backend for backend in backends if backend.has_pending)
    peer = endless.accept()
    loop.until(lambda: b"\r\n" in peer.read())
    peer.sock.setblocking(False)
    sent = peer.sock.send(first)
    with pytest.raises(OSError) as closed:  # noqa: PT012 - the reset comes in one of many sends
        while sent < 100 * ENDLESS_ANSWER_BYTES:
            try:
                sent += peer.sock.send(b"x" * ENDLESS_ANSWER_BYTES)
            except BlockingIOError:
                loop.step()
    assert closed.type in (BrokenPipeError, ConnectionResetError)
    other = next(backend for backend in backends if backend is not endless)
    loop.until(lambda: loop.wait(4_000) or other.has_pending)
    served = other.accept()
    loop.until(lambda: b"\r\n" in served.read())
    served.send_line("UP r-2")
    loop.until(lambda: client.read() == b"UP r-2\r\n")
    assert not loop.core.counters.counts["exceptions"]
