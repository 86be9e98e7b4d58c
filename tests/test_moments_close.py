"""Race conditions while a connection closes: data that arrives during the close, and clients that disconnect as
something is sent."""

from __future__ import annotations

import select
from pathlib import Path

import pytest

from gradefront.net.backend_connection import BackendProtocol
from lab.stand_ins import settings

from .loop import Backend, Loop, Peer, hold_connects, wait_ready


def send_unread(loop: Loop, peer: Peer, data: bytes) -> None:
    """Send data to the relay that has arrived but that the event loop does not see yet."""
    protocol = loop.protocol_of(peer)
    loop.order.held.add(protocol.tcp.fileno())
    peer.send(data)
    wait_ready(protocol.tcp.socket)


@pytest.mark.parametrize("unread", [b"a whole line\r\n", b"half a li", b"x" * 5000])
def test_move_reaches_a_client_whose_data_arrives_as_it_is_written(tmp_path: Path, unread: bytes) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    client, at_backend = loop.establish(backend)
    send_unread(loop, client, unread)
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
def test_final_answer_reaches_a_client_that_keeps_sending(tmp_path: Path, first: bytes, answer: bytes) -> None:
    loop = Loop(tmp_path, [Backend()])
    client = loop.client()
    client.send(first)
    protocol = loop.protocol_of(client)
    loop.until(lambda: protocol.closing)
    assert protocol.tcp.connected or client.read() == answer
    client.send(b"more " * 1000 + b"\r\n")
    loop.until(lambda: client.read() and client.ended)
    assert client.received == answer and not client.reset
    client.close()
    loop.until(lambda: not loop.relay.client_factory.open_connections)


def test_client_that_keeps_sending_after_its_final_answer_is_reset_after_bounded_time_and_bytes(
    tmp_path: Path,
) -> None:
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


def test_request_is_forwarded_although_the_waiting_client_has_sent_an_incomplete_line(tmp_path: Path) -> None:
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


@pytest.mark.parametrize("disconnect", ["close", "reset", "incomplete line, then close", "complete line, then close"])
def test_request_is_not_forwarded_if_the_client_left_as_the_backend_connection_opened(
    tmp_path: Path, disconnect: str
) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    client = loop.client()
    protocol = loop.protocol_of(client)
    attempts = hold_connects(loop)
    loop.open(client)
    loop.until(lambda: attempts)
    loop.order.held.add(
        protocol.tcp.fileno()
    )  # the event loop is busy, and does not notice that the client disconnects
    if disconnect.startswith("incomplete"):
        client.send(b"half a")
    if disconnect.startswith("complete"):
        client.send_line("a line")
    client.close(reset=disconnect == "reset")
    wait_ready(protocol.tcp.socket, select.POLLRDHUP)
    loop.order.held = {protocol.tcp.fileno()}
    loop.until(lambda: backend.has_pending)
    at_backend = backend.accept()
    loop.until(lambda: attempts[0].is_over or at_backend.read())
    loop.order.held.clear()
    loop.wait(400_000, 20_000)
    assert at_backend.read() == b"", "a request was forwarded after its client had disconnected"
    assert loop.core.counters.counts["gave_up_waiting"] + loop.core.counters.counts["failed"] == 1


def test_cancelled_attempt_after_a_short_write_sends_no_more_bytes(tmp_path: Path) -> None:
    backends = [Backend(), Backend()]
    loop = Loop(tmp_path, backends, settings(objective_ms=300, deadline_ms=3000))
    client = loop.client()
    writes = list[bytes]()

    def write_partly(data: bytes) -> int:  # the kernel accepts a part of the line, and then nothing for a while
        writes.append(data[:10])
        return 10 if len(writes) == 1 else 0

    connection_made = BackendProtocol.connectionMade

    def slow_connection_made(protocol: BackendProtocol) -> None:
        if not writes:
            protocol.tcp.writeSomeData = write_partly
        connection_made(protocol)

    BackendProtocol.connectionMade = slow_connection_made  # type: ignore[method-assign, assignment]
    try:
        loop.open(client, d=3000)
        loop.until(lambda: writes)
    finally:
        BackendProtocol.connectionMade = connection_made  # type: ignore[method-assign]
    (connection,) = loop.core.connections.values()
    attempt = connection.attempt
    assert attempt and attempt.upstream
    protocol = attempt.upstream.line_protocol  # type: ignore[attr-defined]
    loop.until(lambda: attempt.is_over or loop.wait(20_000))
    loop.step(3)
    assert protocol.tcp.disconnected or not protocol.tcp.connected, "the rest of the line may still be sent"
