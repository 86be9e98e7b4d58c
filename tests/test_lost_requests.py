"""Requests whose client, backend or connection fails in the middle: what is still answered, and what is forwarded."""

from __future__ import annotations

import errno
import select
import socket
from pathlib import Path
from typing import Any

import pytest

from balancer.events import AttemptEnded, AttemptResult, Event
from gradefront.core.connection import Attempt, ConnectionState
from gradefront.net.backend_connection import BackendProtocol
from lab.stand_ins import settings

from .faults import FaultySocket, failure, faulty
from .loop import Backend, Loop, Peer, hold_connects, wait_ready

BROKEN = [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ECONNRESET, errno.EPIPE]
PASSING = [errno.ENOBUFS, errno.ENOMEM, errno.EINTR]


def accepted(loop: Loop, backend: Backend) -> Peer:
    """The backend's end of a connection that has brought a request whole."""
    loop.until(lambda: loop.wait(4_000) or backend.has_pending)
    peer = backend.accept()
    loop.until(lambda: peer.read().endswith(b"\r\n"))
    return peer


def broke_off(monkeypatch: pytest.MonkeyPatch, piece: int) -> list[FaultySocket]:
    """From now on a first line leaves in pieces: one piece, then nothing until its socket is given room."""
    sockets = list[FaultySocket]()
    made = BackendProtocol.connectionMade

    def first_piece(line: BackendProtocol) -> None:
        sock = faulty(line.tcp)
        sock.send_capacity = piece
        sockets.append(sock)
        made(line)

    monkeypatch.setattr(BackendProtocol, "connectionMade", first_piece)
    return sockets


def fails_at_the_look(loop: Loop, number: int) -> tuple[Peer, list[Attempt]]:
    """A client whose connection fails so as its relay looks at it, when a connection to a backend has come up."""
    client = loop.client()
    side = loop.protocol_of(client)
    attempts = hold_connects(loop)
    loop.open(client)
    loop.until(lambda: attempts)
    faulty(side.tcp).errors["recv"] = [number]
    loop.order.held = {side.tcp.fileno()}
    return client, attempts


# ---- the client's side


@pytest.mark.parametrize("number", PASSING)
def test_a_read_that_fails_for_a_moment_ends_no_client(tmp_path: Path, number: int) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    client = loop.client()
    faulty(loop.protocol_of(client).tcp).errors["recv"] = [number] * 2
    loop.open(client)
    served = accepted(loop, backend)
    served.send_line("UP r-1")
    loop.until(lambda: client.read() == b"UP r-1\r\n")
    loop.protocol_of(client).tcp.socket.errors["recv"] = [number] * 2
    client.send_line("a message")
    loop.until(lambda: served.read().endswith(b"a message\r\n"))


@pytest.mark.parametrize("number", PASSING)
def test_a_read_of_a_backend_that_fails_for_a_moment_ends_no_request(tmp_path: Path, number: int) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    client = loop.client()
    loop.open(client)
    served = accepted(loop, backend)
    (connection,) = loop.core.connections.values()
    faulty(connection.attempt.upstream.line_protocol.tcp).errors["recv"] = [number] * 2  # type: ignore[union-attr]
    served.send_line("UP r-1")
    loop.until(lambda: client.read() == b"UP r-1\r\n")


@pytest.mark.parametrize("number", PASSING)
def test_a_look_that_fails_for_a_moment_takes_no_client_for_gone(tmp_path: Path, number: int) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    client, _ = fails_at_the_look(loop, number)
    served = accepted(loop, backend)
    loop.order.held.clear()
    served.send_line("UP r-1")
    loop.until(lambda: client.read() == b"UP r-1\r\n")


@pytest.mark.parametrize("number", BROKEN)
def test_a_client_whose_connection_shows_as_broken_at_the_look_is_not_sent_on(tmp_path: Path, number: int) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    client, attempts = fails_at_the_look(loop, number)
    loop.until(lambda: attempts[0].is_over)
    loop.order.held.clear()
    client.close()
    loop.until(lambda: not loop.relay.client_factory.open_connections)
    while backend.has_pending:
        assert b"OPEN" not in backend.accept().read()
    assert not loop.core.connections and loop.core.counters.counts["gave_up_waiting"] == 1


@pytest.mark.parametrize("when", ["in the queue", "connecting", "sent", "in a backoff"])
def test_a_client_that_shuts_its_sending_side_hears_an_error_and_is_not_sent_on(tmp_path: Path, when: str) -> None:
    backends = [] if when == "in a backoff" else [Backend()]
    loop = Loop(tmp_path, backends)
    client = loop.client()
    side = loop.protocol_of(client)
    attempts = hold_connects(loop) if when == "connecting" else []
    if when == "in the queue":
        client.send_line("OPEN 9b1f03aa5c7e2d42 7f3a9c21e0b4d655 c=visit-checkin,d=900,g=5c0f6e1a2b3d4c59")
        client.sock.shutdown(socket.SHUT_WR)
        wait_ready(side.tcp.socket, select.POLLRDHUP)
    else:
        loop.open(client)
        if when == "sent":
            accepted(loop, backends[0])
        elif when == "connecting":
            loop.until(lambda: attempts)
        client.sock.shutdown(socket.SHUT_WR)
        wait_ready(side.tcp.socket, select.POLLRDHUP)
    loop.until(lambda: client.read() and client.ended or loop.wait(4_000))
    assert client.received in (b"ERR\r\n", b"BUSY\r\n") and not client.reset
    loop.order.held.clear()
    loop.wait(600_000, 20_000)
    assert not loop.core.connections and not loop.relay.client_factory.open_connections
    for backend in backends if when in ("connecting", "in the queue") else ():
        while backend.has_pending:
            assert b"OPEN" not in backend.accept().read(), "sent on after its client had ended"


def test_a_client_that_is_served_and_shuts_its_sending_side_ends_both_in_order(tmp_path: Path) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    client, served = loop.establish(backend)
    sock = faulty(loop.protocol_of(client).tcp)
    sock.send_capacity = 0
    served.send(b"a line that is under way\r\n")
    loop.step(3)
    client.send(b"half a line")
    client.sock.shutdown(socket.SHUT_WR)
    loop.until(lambda: served.read() and served.ended)
    assert served.received == b"half a line" and not served.reset
    sock.send_capacity = None
    loop.until(lambda: client.read() and client.ended)
    assert client.received == b"a line that is under way\r\n" and not client.reset
    assert not loop.core.connections


def test_a_client_that_shuts_its_sending_side_before_it_has_asked_is_ended_in_order(tmp_path: Path) -> None:
    loop = Loop(tmp_path, [])
    client = loop.client()
    client.send(b"OPEN 9b1f")
    client.sock.shutdown(socket.SHUT_WR)
    loop.until(lambda: client.read() or client.ended)
    assert client.received == b"" and not client.reset
    loop.until(lambda: not loop.relay.client_factory.open_connections)


# ---- the first line in pieces


@pytest.mark.parametrize(
    "what",
    [
        "the client leaves",
        "the client shuts its side",
        "the client is reset",
        "the backend drains",
        "the relay stops",
        "the time is over",
    ],
)
def test_a_request_that_has_left_in_part_leaves_no_further(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, what: str
) -> None:
    backend, other = Backend(), Backend()
    drains = what == "the backend drains"
    loop = Loop(tmp_path, [backend, other] if drains else [backend])
    if drains:
        loop.relay.endpoint_list.apply(
            {"revision": 2, "complete": False, "members": [{**loop.known["members"][1], "phase": "DRAINING"}]}
        )
        loop.step(2)
    sockets = broke_off(monkeypatch, 10)
    client = loop.client()
    side = loop.protocol_of(client)
    loop.open(client)
    loop.until(lambda: loop.wait(4_000) or sockets)
    served = backend.accept()
    loop.until(lambda: served.read())
    assert served.received == b"OPEN 00000"
    (connection,) = loop.core.connections.values()
    attempt = connection.attempt
    assert attempt and connection.state is ConnectionState.CONNECTING
    loop.order.held.add(side.tcp.fileno())  # the loop is busy, and does not read what the client does
    if what == "the client leaves":
        client.close()
    elif what == "the client shuts its side":
        client.sock.shutdown(socket.SHUT_WR)
    elif what == "the client is reset":
        client.close(reset=True)
    elif drains:
        loop.relay.endpoint_list.apply(
            {
                "revision": 3,
                "complete": False,
                "members": [
                    {**loop.known["members"][0], "phase": "DRAINING"},
                    {**loop.known["members"][1], "phase": "SERVING"},
                ],
            }
        )
    elif what == "the relay stops":
        loop.core.lifecycle.stop(lambda: None)
    else:
        loop.now_us = connection.deadline_us + 1_000
    if what.startswith("the client"):
        wait_ready(side.tcp.socket, select.POLLRDHUP)
    sockets[0].send_capacity = None
    loop.until(lambda: attempt.is_over)
    loop.order.held.clear()
    loop.until(lambda: served.read() and served.ended)
    assert served.received == b"OPEN 00000", "the rest has left"
    if drains:  # it never ran there, and goes where it may
        monkeypatch.undo()
        assert accepted(loop, other).received.startswith(b"OPEN ")
    elif not what.startswith("the client"):
        loop.until(lambda: client.read() and client.ended)
        assert client.received.split()[0] in (b"BUSY", b"ERR") and not client.reset


def test_a_request_that_leaves_in_pieces_arrives_whole(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    sockets = broke_off(monkeypatch, 10)
    client = loop.client()
    loop.open(client)
    loop.until(lambda: loop.wait(4_000) or sockets)
    served = backend.accept()
    for _ in range(3):
        sockets[0].errors["send"] = [errno.ENOBUFS]
        sockets[0].send_capacity = 10
        loop.step(3)
    sockets[0].send_capacity = None
    loop.until(lambda: served.read().endswith(b"\r\n"))
    assert served.received.count(b"OPEN") == 1 and served.received.startswith(b"OPEN ")
    served.send_line("UP r-1")
    loop.until(lambda: client.read() == b"UP r-1\r\n")


@pytest.mark.parametrize("answer", [b"UP r-0\r\n", b"ERR\r\n", b"BYE\r\n", b"MOVE\r\n"])
def test_an_answer_before_the_request_has_left_whole_is_none(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, answer: bytes
) -> None:
    backends = [Backend(), Backend()]
    loop = Loop(tmp_path, backends)
    sockets = broke_off(monkeypatch, 10)
    client = loop.client()
    loop.open(client)
    loop.until(lambda: loop.wait(4_000) or sockets)
    early = next(b for b in backends if b.has_pending)
    early.accept().send(answer)
    monkeypatch.undo()
    other = accepted(loop, next(b for b in backends if b is not early))
    assert client.read() == b""
    other.send_line("UP r-1")
    loop.until(lambda: client.read() == b"UP r-1\r\n")


def test_the_look_at_the_client_is_the_last_thing_before_the_request_leaves(tmp_path: Path) -> None:
    """Whatever holds the relay up meanwhile: from the look on, only one system call is between."""
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    client = loop.client()
    attempts = hold_connects(loop)
    loop.open(client)
    loop.until(lambda: attempts)
    side = loop.protocol_of(client)
    watcher: Any = loop.core.endpoint_watcher
    catch_up = watcher.read_pending

    def held_up() -> None:
        catch_up()
        loop.now_us += 150_000
        client.close()
        wait_ready(side.tcp.socket, select.POLLRDHUP)

    watcher.read_pending = held_up
    loop.order.held = {side.tcp.fileno()}
    loop.until(lambda: attempts[0].is_over)
    loop.order.held.clear()
    assert backend.has_pending and b"OPEN" not in backend.accept().read()


# ---- the backend's side


@pytest.mark.parametrize(
    "number",
    [
        errno.EADDRNOTAVAIL,
        errno.ENETUNREACH,
        errno.EHOSTUNREACH,
        errno.ETIMEDOUT,
        errno.ECONNREFUSED,
        errno.ENOBUFS,
        errno.EINTR,
        errno.EACCES,
    ],
)
@pytest.mark.parametrize("call", ["connect", "socket"])
def test_a_connection_that_cannot_be_made_for_a_moment_is_made_elsewhere(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, number: int, call: str
) -> None:
    from twisted.internet import tcp

    backends = [Backend(), Backend()]
    loop = Loop(tmp_path, backends)
    create, failed = tcp.Client.createInternetSocket, list[int]()

    def fails_once(self: Any) -> Any:
        if failed:
            return create(self)  # type: ignore[no-untyped-call]
        failed.append(number)
        if call == "socket":
            raise failure(number)
        sock = FaultySocket(create(self))  # type: ignore[no-untyped-call]
        sock.errors["connect"] = [number]
        return sock

    monkeypatch.setattr(tcp.Client, "createInternetSocket", fails_once)
    client = loop.client()
    loop.open(client)
    loop.until(lambda: loop.wait(4_000) or any(b.has_pending for b in backends))
    served = next(b for b in backends if b.has_pending).accept()
    loop.until(lambda: served.read().endswith(b"\r\n"))
    served.send_line("UP r-1")
    loop.until(lambda: client.read() == b"UP r-1\r\n")
    assert failed


@pytest.mark.parametrize("number", BROKEN)
@pytest.mark.parametrize("call", ["recv", "send"])
def test_a_backend_whose_connection_shows_as_broken_may_have_run_what_was_sent(
    tmp_path: Path, number: int, call: str
) -> None:
    values = settings(objective_ms=300, deadline_ms=1500)
    for grade in values["grades"]:
        grade["semantics"] = "unsafe"
    backend = Backend()
    loop = Loop(tmp_path, [backend, Backend()], values)
    client = loop.client()
    loop.open(client)
    loop.until(lambda: loop.wait(4_000) or any(v.attempt for v in loop.core.connections.values()))
    (connection,) = loop.core.connections.values()
    attempt = connection.attempt
    assert attempt
    results = list[AttemptResult]()
    enqueue = loop.core.enqueue

    def hear(event: Event) -> None:
        if isinstance(event, AttemptEnded):
            results.append(event.result)
        enqueue(event)

    loop.core.enqueue = hear  # type: ignore[method-assign]
    loop.until(lambda: loop.wait(4_000) or attempt.write_started_us)
    line: Any = attempt.upstream.line_protocol  # type: ignore[union-attr]
    sock = faulty(line.tcp)
    sock.errors[call] = [number]
    if call == "send":
        line.tcp.write(b"x")
    else:
        line.tcp.reactor.callLater(0, line.tcp.doRead)  # as the loop does when there is something to read
        sock.errors[call] = [number] * 2
        loop.step()
        why = line.tcp.doRead()
        line.tcp.reactor._disconnectSelectable(line.tcp, why, True)
    loop.until(lambda: client.read() and client.ended)
    assert client.received == b"ERR\r\n" and results == [AttemptResult.RESET]
