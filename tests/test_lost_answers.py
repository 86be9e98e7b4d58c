"""Final answers are never lost: not if descriptors run short, not after a short write, not at shutdown."""

from __future__ import annotations

import errno
import socket
from pathlib import Path

import pytest

from lab.stand_ins import settings

from .faults import faulty
from .loop import Backend, Loop, Peer, wait_ready

MANY = 200  # connections answered in one event loop iteration, with 512 descriptors


def establish_many(loop: Loop, backend: Backend, count: int) -> list[tuple[Peer, Peer]]:
    """Establish `count` connections. Returns the client's and the backend's end of each."""
    return [loop.establish(backend) for _ in range(count)]


def send_until_blocked(loop: Loop, client: Peer, served: Peer) -> int:
    """Send lines to a client that does not read, until the kernel accepts no more. Returns the bytes sent."""
    protocol, sent = loop.protocol_of(client), 0
    while not protocol.tcp.has_unsent_data:
        served.send(b"z" * 4000 + b"\r\n")
        sent += 4002
        loop.step()
    return sent


@pytest.mark.parametrize("cause", ["the relay stops", "the backend has vanished", "the relay drains"])
def test_hundreds_of_clients_that_migrate_at_once_all_receive_move(tmp_path: Path, cause: str) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    clients = establish_many(loop, backend, MANY)
    slow = clients[MANY // 2]
    slow[0].sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sent = send_until_blocked(loop, *slow)
    if cause == "the relay stops":
        loop.core.lifecycle.stop(lambda: None)
    for connection in list(loop.core.connections.values()):
        if cause == "the backend has vanished":
            loop.core.answers.migrate_off_silent(connection, alone=False)
        else:
            loop.core.migrate(connection)
    loop.step(3)
    assert len(loop.relay.client_factory.closing) <= loop.relay.client_factory.closing.capacity + 1
    for client, _ in clients:
        if client is not slow[0]:
            loop.until(lambda: client.read() and client.ended)  # noqa: B023
            assert client.received == b"MOVE\r\n" and not client.reset
    loop.until(lambda: loop.wait(4_000) or len(slow[0].read()) >= sent + 6)
    assert slow[0].received.endswith(b"z\r\nMOVE\r\n") and not slow[0].reset
    assert not loop.core.connections


def test_move_is_sent_although_a_crowd_of_new_clients_needs_descriptors(tmp_path: Path) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    clients = establish_many(loop, backend, 20)
    client_factory = loop.relay.client_factory
    crowd = [loop.client() for _ in range(390)]
    assert client_factory.descriptors_held() > 390
    for connection in list(loop.core.connections.values()):
        loop.core.migrate(connection)
    more = [socket.create_connection(("127.0.0.1", loop.relay.port.getHost().port)) for _ in range(80)]
    loop.relay.port.doRead()  # the crowd is accepted before the event loop writes
    loop.step(5)
    for client, _ in clients:
        loop.until(lambda: client.read() and client.ended)  # noqa: B023
        assert client.received == b"MOVE\r\n" and not client.reset
    for sock in [*more, *(c.sock for c in crowd)]:
        sock.close()


def test_requests_are_answered_although_descriptors_are_exhausted(tmp_path: Path) -> None:
    loop = Loop(tmp_path, [Backend()])
    client_factory, port = loop.relay.client_factory, loop.relay.port
    crowd = [loop.client() for _ in range(380)]
    client_factory.closing.free_descriptor = lambda: False  # type: ignore[method-assign]
    late = list[Peer]()
    loop.order.held.add(port.fileno())
    for n in range(100):
        late.append(Peer(socket.create_connection(("127.0.0.1", port.getHost().port))))
        late[-1].send_line(f"OPEN {n:016x} 7f3a9c21e0b4d655 c=visit-checkin,d=900,g=5c0f6e1a2b3d4c59")
    loop.order.held.clear()
    loop.until(lambda: all(c.read() and c.ended for c in late) or loop.wait(20_000))
    assert not [c.received for c in late if c.received.split(b"\r\n")[0].split()[0] not in (b"BUSY", b"ERR")]
    assert not any(c.reset for c in late)
    for client in crowd:
        client.close()


@pytest.mark.parametrize(
    "errors",
    [
        [errno.EMFILE],
        [errno.ENFILE],
        [errno.ENOBUFS],
        [errno.ENOMEM],
        [errno.ECONNABORTED],
        [errno.EPROTO],
        [errno.ENETDOWN],
        [errno.EHOSTUNREACH],
        [errno.EPERM, errno.EINTR],
        [errno.EMFILE] * 3,
    ],
)
def test_transient_accept_errors_lose_no_client(tmp_path: Path, errors: list[int]) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    port = loop.relay.port
    faulty(port).errors["accept"] = list(errors)
    late = [Peer(socket.create_connection(("127.0.0.1", port.getHost().port))) for _ in range(3)]
    for n, client in enumerate(late):
        client.send_line(f"OPEN {n:016x} 7f3a9c21e0b4d655 c=visit-checkin,d=900,g=5c0f6e1a2b3d4c59")
    for client in late:
        loop.until(lambda: loop.wait(4_000) or backend.has_pending or client.read())  # noqa: B023
        assert backend.has_pending, "the request was not accepted, or not forwarded"
        served = backend.accept()
        loop.until(lambda: served.read().endswith(b"\r\n"))  # noqa: B023
        served.send_line("UP r-1")
    for client in late:
        loop.until(lambda: client.read() == b"UP r-1\r\n")  # noqa: B023


@pytest.mark.parametrize("ending", ["reset", "orderly close"])
@pytest.mark.parametrize("send_capacity", [0, 3])
def test_answer_after_a_short_write_arrives_complete_although_the_backend_disconnects(
    tmp_path: Path, ending: str, send_capacity: int
) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    client = loop.client()
    loop.open(client)
    loop.until(lambda: loop.wait(4_000) or backend.has_pending)
    served = backend.accept()
    loop.until(lambda: served.read().endswith(b"\r\n"))
    sock = faulty(loop.protocol_of(client).tcp)
    sock.send_capacity = send_capacity
    served.send(b"UP r-1\r\none line\r\n")
    served.close(reset=ending == "reset")
    loop.until(lambda: not loop.core.connections)
    loop.step(2)
    sock.send_capacity = None
    loop.until(lambda: client.read() and client.ended)
    assert client.received == b"UP r-1\r\none line\r\n"


@pytest.mark.parametrize("number", [errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN])
def test_answer_arrives_after_transient_send_errors(tmp_path: Path, number: int) -> None:
    loop = Loop(tmp_path, [])
    client = loop.client()
    sock = faulty(loop.protocol_of(client).tcp)
    sock.errors["send"] = [number] * 3
    loop.open(client, d=300)
    loop.until(lambda: loop.wait(4_000) or client.read() and client.ended)
    assert (
        client.received.split()[0] in (b"BUSY", b"ERR") and client.received.count(b"\r\n") == 1 and not client.reset
    )


def test_unsent_answer_delays_the_exit_until_just_before_the_kill_time(tmp_path: Path) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    client, _ = loop.establish(backend)
    sock = faulty(loop.protocol_of(client).tcp)
    sock.send_capacity = 0
    began = loop.now_us
    loop.leave()
    kill_us = loop.core.lifecycle.kill_us
    loop.wait(kill_us - 150_000)
    assert not loop.stopped, "the client's final line is not sent yet"
    sock.send_capacity = None
    loop.until(lambda: loop.wait(4_000) or loop.stopped)
    assert loop.stopped - began < kill_us - 50_000
    assert client.read() == b"MOVE\r\n" and not client.reset


@pytest.mark.parametrize("line", [b"x" * 5000, b"x" * 5000 + b"\r\n"])
def test_waiting_client_that_sends_an_overlong_line_gets_err(tmp_path: Path, line: bytes) -> None:
    loop = Loop(tmp_path, [Backend()])
    client = loop.client()
    loop.open(client)
    client.send(line)
    loop.until(lambda: client.read() and client.ended)
    assert client.received == b"ERR\r\n" and not client.reset and not loop.core.connections


@pytest.mark.parametrize("stage", ["before its request", "while it waits", "while it is served"])
def test_client_is_answered_although_handling_its_line_raises(tmp_path: Path, stage: str) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    if stage == "while it is served":
        client, _ = loop.establish(backend)
    else:
        client = loop.client()
    protocol = loop.protocol_of(client)
    if stage == "while it waits":
        loop.open(client)

    def breaks(line: bytes) -> None:
        raise IndexError("simulated fault in the relay")

    protocol._handle_line = breaks  # type: ignore[method-assign]
    client.send_line("anything")
    loop.until(lambda: client.read() and client.ended)
    assert client.received == (b"MOVE\r\n" if stage == "while it is served" else b"ERR\r\n") and not client.reset
    assert not loop.core.connections


def test_client_is_answered_although_closing_its_attempt_raises(tmp_path: Path) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    client = loop.client()
    loop.open(client)
    loop.until(lambda: loop.wait(4_000) or backend.has_pending)
    (connection,) = loop.core.connections.values()

    def breaks(ending: object) -> None:
        raise OSError(errno.ENOMEM, "epoll_ctl")

    assert connection.attempt and connection.attempt.upstream
    connection.attempt.upstream.close = breaks  # type: ignore[method-assign]
    loop.core.fail_unestablished(connection)
    loop.until(lambda: client.read() and client.ended)
    assert client.received == b"ERR\r\n"


def test_event_that_makes_the_decision_module_raise_affects_one_request_only(tmp_path: Path) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend], settings(deadline_ms=1000))
    clients = [loop.client() for _ in range(3)]
    handle = loop.core.balancer.handle

    def breaks(now_us: int, event: object) -> list[object]:
        if getattr(event, "request_id", 0) == 2:
            raise IndexError("simulated fault in the decision module")
        return handle(now_us, event)  # type: ignore[arg-type, return-value]

    loop.core.balancer.handle = breaks  # type: ignore[method-assign, assignment]
    client_fail = loop.protocol_of(clients[1]).fail

    def fails_once() -> None:
        loop.protocol_of(clients[1]).fail = client_fail  # type: ignore[method-assign]
        raise RuntimeError("simulated fault in the final answer")

    loop.protocol_of(clients[1]).fail = fails_once  # type: ignore[method-assign]
    for n, client in enumerate(clients):
        client.send_line(f"OPEN {n:016x} 7f3a9c21e0b4d655 c=visit-checkin,d=900,g=5c0f6e1a2b3d4c59")
    for client in clients:
        wait_ready(loop.protocol_of(client).tcp.socket)
    loop.step(2)
    for _ in range(2):
        loop.until(lambda: loop.wait(4_000) or backend.has_pending)
        served = backend.accept()
        loop.until(lambda: served.read().endswith(b"\r\n"))  # noqa: B023
        served.send_line("UP r-1")
    for client in (clients[0], clients[2]):
        loop.until(lambda: client.read() == b"UP r-1\r\n")  # noqa: B023


def test_timers_keep_running_after_a_run_of_the_core_raises(tmp_path: Path) -> None:
    loop = Loop(tmp_path, [])
    client = loop.client()
    loop.open(client, d=300)
    run_once, faults = loop.core.run_once, list[int]()

    def breaks() -> None:
        if not faults:
            faults.append(1)
            raise RuntimeError("simulated fault in the core")
        run_once()

    loop.relay.driver.core.run_once = breaks  # type: ignore[method-assign, union-attr]
    loop.wait(1_000_000)
    assert faults and client.read().split()[0] in (b"BUSY", b"ERR")
