"""Rare moments of a close: bytes that come as a connection ends, and clients that end it as something is sent."""

from __future__ import annotations

import select
from pathlib import Path

import pytest

from gradefront.net.backend_connection import BackendProtocol
from lab.stand_ins import settings

from .loop import Backend, Loop, Peer, hold_connects, wait_ready


def unread(loop: Loop, peer: Peer, what: bytes) -> None:
    """Bytes of a peer are here, and the loop has not seen them."""
    side = loop.protocol_of(peer)
    loop.order.held.add(side.tcp.fileno())
    peer.send(what)
    wait_ready(side.tcp.socket)


@pytest.mark.parametrize("bytes_under_way", [b"a whole line\r\n", b"half a li", b"x" * 5000])
def test_a_move_survives_bytes_that_come_as_it_is_written(tmp_path: Path, bytes_under_way: bytes) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    client, at_backend = loop.establish(backend)
    unread(loop, client, bytes_under_way)
    (connection,) = loop.core.connections.values()
    loop.core.migrate(connection)
    loop.step(3)
    loop.order.held.clear()
    loop.until(lambda: client.read() and client.ended)
    assert client.received == b"MOVE\r\n" and not client.reset
    at_backend.close()
    client.send(b"still here\r\n")
    client.close()
    loop.until(lambda: not loop.relay.client_factory.open_connections)


@pytest.mark.parametrize(("first", "answer"), [(b"nonsense\r\n", b"ERR\r\n"), (b"OPEN\r\n", b"ERR\r\n")])
def test_a_final_answer_survives_bytes_that_come_after_it(tmp_path: Path, first: bytes, answer: bytes) -> None:
    loop = Loop(tmp_path, [Backend()])
    client = loop.client()
    client.send(first)
    side = loop.protocol_of(client)
    loop.until(lambda: side.closing)
    assert side.tcp.connected or client.read() == answer
    client.send(b"more " * 1000 + b"\r\n")
    loop.until(lambda: client.read() and client.ended)
    assert client.received == answer and not client.reset
    client.close()
    loop.until(lambda: not loop.relay.client_factory.open_connections)


def test_a_client_that_goes_on_sending_after_the_end_is_cut_off_in_bounded_time_and_bytes(tmp_path: Path) -> None:
    loop = Loop(tmp_path, [Backend()])
    client, other = loop.client(), loop.client()
    for peer in (client, other):
        peer.send_line("nonsense")
    loop.until(lambda: other.read() and client.read())
    loop.wait(2_100_000, 20_000)
    loop.until(lambda: not loop.relay.client_factory.open_connections)
    flood = loop.client()
    flood.send_line("nonsense")
    sent = 0
    while not flood.reset and sent < 1 << 22:
        try:
            flood.send(b"y" * 65536)
        except ConnectionError:
            break
        sent += 65536
        loop.step(4)
        flood.read()
    assert sent < 1 << 21 and flood.received == b"ERR\r\n"
    loop.until(lambda: not loop.relay.client_factory.open_connections)


def test_a_client_that_waits_is_forwarded_after_half_a_line_of_its(tmp_path: Path) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    client = loop.client()
    attempts = hold_connects(loop)
    loop.open(client)
    loop.until(lambda: attempts)
    client.send(b"where are")
    wait_ready(loop.protocol_of(client).tcp.socket)
    loop.order.held = {loop.protocol_of(client).tcp.fileno()}
    loop.until(lambda: backend.has_pending)
    at_backend = backend.accept()
    loop.until(lambda: at_backend.read().endswith(b"\r\n"))
    loop.order.held.clear()
    at_backend.send_line("UP r-1")
    loop.until(lambda: client.read() == b"UP r-1\r\n")
    client.send_line(" you")
    loop.until(lambda: at_backend.read().endswith(b"where are you\r\n"))


@pytest.mark.parametrize("how", ["end", "reset", "half a line, then the end", "a line, then the end"])
def test_a_client_that_left_as_the_backend_connection_opened_is_not_forwarded(tmp_path: Path, how: str) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    client = loop.client()
    side = loop.protocol_of(client)
    attempts = hold_connects(loop)
    loop.open(client)
    loop.until(lambda: attempts)
    loop.order.held.add(side.tcp.fileno())  # the loop is busy, and does not read that the client leaves
    if how.startswith("half"):
        client.send(b"half a")
    if how.startswith("a line"):
        client.send_line("a line")
    client.close(reset=how == "reset")
    wait_ready(side.tcp.socket, select.POLLRDHUP)
    loop.order.held = {side.tcp.fileno()}
    loop.until(lambda: backend.has_pending)
    at_backend = backend.accept()
    loop.until(lambda: attempts[0].is_over or at_backend.read())
    loop.order.held.clear()
    loop.wait(400_000, 20_000)
    assert at_backend.read() == b"", "a request was forwarded after its client had left"
    assert loop.core.counters.counts["gave_up_waiting"] + loop.core.counters.counts["failed"] == 1


def test_a_cancelled_attempt_leaves_no_bytes_that_could_still_arrive(tmp_path: Path) -> None:
    backends = [Backend(), Backend()]
    loop = Loop(tmp_path, backends, settings(objective_ms=300, deadline_ms=3000))
    client = loop.client()
    taken = list[bytes]()

    def some(data: bytes) -> int:  # the network takes a part of the line, and then nothing for a while
        taken.append(data[:10])
        return 10 if len(taken) == 1 else 0

    made = BackendProtocol.connectionMade

    def slow(line: BackendProtocol) -> None:
        if not taken:
            line.tcp.writeSomeData = some
        made(line)

    BackendProtocol.connectionMade = slow  # type: ignore[method-assign, assignment]
    try:
        loop.open(client, d=3000)
        loop.until(lambda: taken)
    finally:
        BackendProtocol.connectionMade = made  # type: ignore[method-assign]
    (connection,) = loop.core.connections.values()
    attempt = connection.attempt
    assert attempt and attempt.upstream
    line = attempt.upstream.line_protocol  # type: ignore[attr-defined]
    loop.until(lambda: attempt.is_over or loop.wait(20_000))
    loop.step(3)
    assert line.tcp.disconnected or not line.tcp.connected, "the rest of the request line may still leave"
