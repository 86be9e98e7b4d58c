"""Answers and the end of connections: none is thrown away to save a descriptor, for a short write, or at the end."""

from __future__ import annotations

import errno
import socket
from pathlib import Path

import pytest

from lab.stand_ins import settings

from .faults import faulty
from .loop import Backend, Loop, Peer, wait_ready

MANY = 200  # connections answered in one turn of the loop, at 512 descriptors


def stand(loop: Loop, backend: Backend, many: int) -> list[tuple[Peer, Peer]]:
    """So many clients that are served: their ends, and the backend's."""
    return [loop.establish(backend) for _ in range(many)]


def send_until_blocked(loop: Loop, client: Peer, served: Peer) -> int:
    """Send a client lines until neither the kernel nor it takes more, since it does not read. The bytes sent."""
    side, sent = loop.protocol_of(client), 0
    while not side.tcp.has_unsent_data:
        served.send(b"z" * 4000 + b"\r\n")
        sent += 4002
        loop.step()
    return sent


@pytest.mark.parametrize("why", ["the relay stops", "the backend has vanished", "the relay is emptied"])
def test_hundreds_that_are_moved_at_once_are_all_notified(tmp_path: Path, why: str) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    clients = stand(loop, backend, MANY)
    slow = clients[MANY // 2]
    slow[0].sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sent = send_until_blocked(loop, *slow)
    if why == "the relay stops":
        loop.core.lifecycle.stop(lambda: None)
    for connection in list(loop.core.connections.values()):
        if why == "the backend has vanished":
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


def test_a_move_is_not_thrown_away_for_a_crowd(tmp_path: Path) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    clients = stand(loop, backend, 20)
    client_factory = loop.relay.client_factory
    crowd = [loop.client() for _ in range(390)]
    assert client_factory.descriptors_held() > 390
    for connection in list(loop.core.connections.values()):
        loop.core.migrate(connection)
    more = [socket.create_connection(("127.0.0.1", loop.relay.port.getHost().port)) for _ in range(80)]
    loop.relay.port.doRead()  # the crowd is seen before the loop comes round to write
    loop.step(5)
    for client, _ in clients:
        loop.until(lambda: client.read() and client.ended)  # noqa: B023
        assert client.received == b"MOVE\r\n" and not client.reset
    for end in [*more, *(c.sock for c in crowd)]:
        end.close()


def test_whoever_asks_when_descriptors_have_run_out_is_answered(tmp_path: Path) -> None:
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
def test_accept_that_fails_for_a_moment_loses_nobody(tmp_path: Path, errors: list[int]) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    port = loop.relay.port
    faulty(port).errors["accept"] = list(errors)
    late = [Peer(socket.create_connection(("127.0.0.1", port.getHost().port))) for _ in range(3)]
    for n, client in enumerate(late):
        client.send_line(f"OPEN {n:016x} 7f3a9c21e0b4d655 c=visit-checkin,d=900,g=5c0f6e1a2b3d4c59")
    for client in late:
        loop.until(lambda: loop.wait(4_000) or backend.has_pending or client.read())  # noqa: B023
        assert backend.has_pending, "the request was not taken, or not sent on"
        served = backend.accept()
        loop.until(lambda: served.read().endswith(b"\r\n"))  # noqa: B023
        served.send_line("UP r-1")
    for client in late:
        loop.until(lambda: client.read() == b"UP r-1\r\n")  # noqa: B023


@pytest.mark.parametrize("end", ["reset", "an orderly end"])
@pytest.mark.parametrize("send_capacity", [0, 3])
def test_what_a_short_write_left_of_an_answer_arrives_though_the_backend_ends(
    tmp_path: Path, end: str, send_capacity: int
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
    served.close(reset=end == "reset")
    loop.until(lambda: not loop.core.connections)
    loop.step(2)
    sock.send_capacity = None
    loop.until(lambda: client.read() and client.ended)
    assert client.received == b"UP r-1\r\none line\r\n"


@pytest.mark.parametrize("number", [errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN])
def test_an_answer_that_the_kernel_takes_only_later_arrives(tmp_path: Path, number: int) -> None:
    loop = Loop(tmp_path, [])
    client = loop.client()
    sock = faulty(loop.protocol_of(client).tcp)
    sock.errors["send"] = [number] * 3
    loop.open(client, d=300)
    loop.until(lambda: loop.wait(4_000) or client.read() and client.ended)
    assert (
        client.received.split()[0] in (b"BUSY", b"ERR") and client.received.count(b"\r\n") == 1 and not client.reset
    )


def test_an_answer_that_has_not_left_keeps_the_process_up_as_long_as_may_be(tmp_path: Path) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    client, _ = loop.establish(backend)
    sock = faulty(loop.protocol_of(client).tcp)
    sock.send_capacity = 0
    began = loop.now_us
    loop.leave()
    kill_us = loop.core.lifecycle.kill_us
    loop.wait(kill_us - 150_000)
    assert not loop.stopped, "its client has not been sent its last word"
    sock.send_capacity = None
    loop.until(lambda: loop.wait(4_000) or loop.stopped)
    assert loop.stopped - began < kill_us - 50_000
    assert client.read() == b"MOVE\r\n" and not client.reset


@pytest.mark.parametrize("line", [b"x" * 5000, b"x" * 5000 + b"\r\n"])
def test_a_client_that_waits_and_sends_a_line_without_end_hears_its_answer(tmp_path: Path, line: bytes) -> None:
    loop = Loop(tmp_path, [Backend()])
    client = loop.client()
    loop.open(client)
    client.send(line)
    loop.until(lambda: client.read() and client.ended)
    assert client.received == b"ERR\r\n" and not client.reset and not loop.core.connections


@pytest.mark.parametrize("stage", ["at the start", "while it waits", "while it is served"])
def test_an_exception_in_a_line_of_a_client_still_answers_it(tmp_path: Path, stage: str) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    if stage == "while it is served":
        client, _ = loop.establish(backend)
    else:
        client = loop.client()
    side = loop.protocol_of(client)
    if stage == "while it waits":
        loop.open(client)

    def breaks(line: bytes) -> None:
        raise IndexError("a fault of ours")

    side._handle_line = breaks  # type: ignore[method-assign]
    client.send_line("anything")
    loop.until(lambda: client.read() and client.ended)
    assert client.received == (b"MOVE\r\n" if stage == "while it is served" else b"ERR\r\n") and not client.reset
    assert not loop.core.connections


def test_an_error_as_an_attempt_is_ended_keeps_its_client_from_no_answer(tmp_path: Path) -> None:
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


def test_one_event_that_breaks_the_module_harms_one_request(tmp_path: Path) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend], settings(deadline_ms=1000))
    clients = [loop.client() for _ in range(3)]
    handle = loop.core.balancer.handle

    def breaks(now_us: int, event: object) -> list[object]:
        if getattr(event, "request_id", 0) == 2:
            raise IndexError("the module broke")
        return handle(now_us, event)  # type: ignore[arg-type, return-value]

    loop.core.balancer.handle = breaks  # type: ignore[method-assign, assignment]
    client_fail = loop.protocol_of(clients[1]).fail

    def fails_once() -> None:
        loop.protocol_of(clients[1]).fail = client_fail  # type: ignore[method-assign]
        raise RuntimeError("nor can it be told")

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


def test_an_iteration_that_fails_leaves_the_timers_running(tmp_path: Path) -> None:
    loop = Loop(tmp_path, [])
    client = loop.client()
    loop.open(client, d=300)
    run_once, broken = loop.core.run_once, list[int]()

    def breaks() -> None:
        if not broken:
            broken.append(1)
            raise RuntimeError("a turn that breaks")
        run_once()

    loop.relay.driver.core.run_once = breaks  # type: ignore[method-assign, union-attr]
    loop.wait(1_000_000)
    assert broken and client.read().split()[0] in (b"BUSY", b"ERR")
