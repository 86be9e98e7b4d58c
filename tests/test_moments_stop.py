"""Tests of races at the stop of a relay: events that arrive at the moment of a state transition."""

from __future__ import annotations

import json
import socket
from pathlib import Path

import pytest

from gradefront.core.connection import ConnectionState
from gradefront.core.lifecycle_state import LifecycleState
from lab.stand_ins import settings

from .loop import HANG_TIMEOUT_S, Backend, Loop, Peer, hold_connects, wait_ready


def stopping(loop: Loop) -> None:
    """Stop the relay and advance the clock until it is in state STOPPING, in which nothing new begins."""
    loop.leave()
    lifecycle = loop.core.lifecycle
    loop.wait(lifecycle.kill_us - 500_000, 20_000)
    while lifecycle.state is not LifecycleState.STOPPING:
        loop.wait(4_000)


def test_a_request_read_in_state_stopping_is_answered_busy_and_never_forwarded(tmp_path: Path) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    idle = loop.client()
    loop.leave()
    loop.wait(700_000, 20_000)
    late = loop.client()
    loop.until(lambda: loop.wait(4_000) or loop.core.lifecycle.state is LifecycleState.STOPPING)
    loop.open(late)
    loop.until(lambda: late.read().endswith(b"\r\n"))
    assert late.received == b"BUSY\r\n"
    loop.wait(400_000)
    assert not backend.has_pending, "a request read after the shutdown was forwarded"
    assert loop.stopped and late.read() == b"BUSY\r\n" and late.ended and not late.reset
    assert idle.read() and idle.ended and not idle.reset


def test_a_request_in_the_listen_queue_at_the_stop_is_answered(tmp_path: Path) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    stopping(loop)
    port = loop.relay.port
    address = ("127.0.0.1", port.getHost().port) if port.connected else None
    assert address, "the listener is open until its queue is empty"
    loop.order.held.add(port.fileno())
    queued = Peer(socket.create_connection(address, HANG_TIMEOUT_S))
    queued.send_line("OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=visit-checkin,d=900,g=5c0f6e1a2b3d4c59")
    loop.order.held.clear()
    loop.wait(400_000)
    assert queued.read() == b"BUSY\r\n" and queued.ended and not queued.reset
    assert loop.stopped and not backend.has_pending


def test_an_attempt_that_connects_in_state_stopping_sends_nothing(tmp_path: Path) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    loop.leave()
    loop.wait(loop.core.lifecycle.kill_us - 450_000 - 60_000, 20_000)
    client = loop.client()
    attempts = hold_connects(loop)
    loop.open(client)
    loop.until(lambda: attempts and backend.has_pending)
    assert attempts[0].connection.state is ConnectionState.CONNECTING
    at_backend = backend.accept()
    loop.wait(64_000)
    loop.order.held.clear()
    loop.wait(400_000)
    assert client.read() == b"BUSY\r\n" and client.ended and not client.reset
    assert b"OPEN" not in at_backend.read() and at_backend.ended


def test_an_established_client_is_migrated_though_a_line_of_it_is_still_unread(tmp_path: Path) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    client, _ = loop.establish(backend)
    side = loop.protocol_of(client)
    lifecycle = loop.core.lifecycle
    loop.order.held.add(side.tcp.fileno())  # keeps the line from the client unread
    loop.leave()
    loop.wait(lifecycle.kill_us - 460_000, 20_000)
    client.send_line("a message")
    wait_ready(side.tcp.socket)
    loop.order.held.clear()
    loop.order.first = []
    loop.wait(450_000)
    assert client.read().endswith(b"MOVE\r\n") and client.ended and not client.reset
    assert loop.stopped


def test_pre_request_connections_are_rejected_at_the_stop_without_a_reset(tmp_path: Path) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    loop.leave()
    lifecycle = loop.core.lifecycle
    loop.wait(lifecycle.kill_us - 600_000, 20_000)
    idle, asking = loop.client(), loop.client()
    loop.order.held.add(loop.protocol_of(asking).tcp.fileno())
    side = loop.protocol_of(asking)
    loop.wait(300_000)
    asking.send_line("OPEN 9b1f03aa5c7e2d42 7f3a9c21e0b4d655 c=visit-checkin,d=900,g=5c0f6e1a2b3d4c59")
    if not side.closing:
        wait_ready(side.tcp.socket)
    loop.order.held.clear()
    loop.until(lambda: loop.wait(4_000) or loop.stopped)
    for peer in (idle, asking):
        assert peer.read() == b"BUSY\r\n" and peer.ended and not peer.reset
    assert loop.stopped - loop.now_us <= 0 and not backend.has_pending


def test_repeated_stop_signals_during_a_drain_neither_speed_up_nor_delay_the_stop(tmp_path: Path) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend], settings(deadline_ms=800))
    established = [loop.establish(backend) for _ in range(10)]
    clients = [client for client, _ in established]
    loop.core.lifecycle.lame_duck()  # a drain takes 3.2 s, but SIGKILL may follow 1.5 s after SIGTERM
    loop.wait(200_000)
    began = loop.now_us
    loop.leave()
    notified = list[int]()
    while not loop.stopped:
        loop.wait(50_000)
        if len(notified) == 4:
            loop.leave()
        notified.append(sum(b"MOVE" in c.read() for c in clients))
    assert loop.stopped - began <= 1_500_000 - 150_000
    assert max(b - a for a, b in zip(notified, notified[1:], strict=False)) <= 4, (
        "migrations are spread over the available time"
    )
    assert all(c.read().endswith(b"MOVE\r\n") and not c.reset for c in clients)


@pytest.mark.parametrize("scenario", ["no list", "a drain ended", "an old file", "a new file", "a broken file"])
def test_a_stop_during_a_reload_or_drain_or_without_backends_answers_all_in_time(
    tmp_path: Path, scenario: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend] if scenario != "no list" else [])
    client = loop.client()
    established = loop.establish(backend) if scenario != "no list" else None
    if scenario == "a drain ended":
        loop.core.lifecycle.lame_duck()
        loop.wait(300_000, 20_000)
        loop.core.lifecycle.rejoin()
    document = {**loop.config, "settings": settings(deadline_ms=1000)} if scenario == "a new file" else loop.config
    (tmp_path / "config.json").write_text(json.dumps(document) if scenario != "a broken file" else "{")
    monkeypatch.setenv("LB_CONFIG", str(tmp_path / "config.json"))
    if scenario == "an old file":
        loop.relay.reload()  # in the same turn of the event loop as the signal
    began, kill_us = loop.now_us, loop.core.lifecycle.kill_us
    loop.leave()
    if "file" in scenario:
        loop.relay.reload()
        (tmp_path / "config.json").write_text(json.dumps({**document, "discovery": f"127.0.0.1:{Backend().port}"}))
        loop.relay.reload()
    loop.open(client)
    if scenario == "no list":
        loop.until(lambda: loop.wait(20_000) or client.read().endswith(b"\r\n"))
        assert client.received.startswith(b"BUSY")
    else:
        loop.until(lambda: loop.wait(4_000) or backend.has_pending)
        at_backend = backend.accept()
        loop.until(lambda: at_backend.read().endswith(b"\r\n"))
        at_backend.send_line("UP r-1")
    loop.until(lambda: loop.wait(20_000) or loop.stopped)
    assert loop.stopped - began <= kill_us - 150_000
    for peer in (client, *(established[:1] if established else ())):
        assert peer.read() and peer.ended and not peer.reset
        assert scenario == "no list" or peer.received.endswith(b"MOVE\r\n")
    assert not loop.core.counters.counts["exceptions"]


def test_an_admin_answer_in_flight_at_the_stop_arrives_complete(tmp_path: Path) -> None:
    loop = Loop(tmp_path, [Backend()], admin="127.0.0.1:0")
    idle = loop.client()
    loop.leave()
    loop.until(lambda: loop.wait(10_000) or not loop.relay.port.connected)
    before = set(loop.reactor.getReaders())
    assert loop.relay.admin_server
    caller = Peer(socket.create_connection(("127.0.0.1", loop.relay.admin_server.getHost().port), HANG_TIMEOUT_S))
    caller.send(b"INFO\r\n")
    loop.until(lambda: loop.core.counters.counts["door_calls"])
    (admin_transport,) = set(loop.reactor.getReaders()) - before
    loop.order.held = {admin_transport.fileno()}
    caller.send(b"more than was asked for\r\n")
    wait_ready(admin_transport.socket)
    idle.close()
    loop.until(lambda: not loop.relay.client_factory.open_connections)
    loop.wait(20_000)
    loop.order.held.clear()
    loop.until(lambda: caller.read() and caller.ended)
    assert caller.received.startswith(b"ok") and caller.received.endswith(b"eof\r\n") and not caller.reset
    caller.close()
    loop.until(lambda: loop.wait(4_000) or loop.stopped)


def test_an_admin_command_in_the_listen_queue_at_the_stop_is_answered(tmp_path: Path) -> None:
    """Guards against a reset instead of an answer: the admin listener was closed with callers in its queue."""
    loop = Loop(tmp_path, [Backend()], admin="127.0.0.1:0")
    stopping(loop)
    port = loop.relay.admin_server
    assert port
    address = ("127.0.0.1", port.getHost().port)
    loop.order.held.add(port.fileno())
    caller, silent = (Peer(socket.create_connection(address, HANG_TIMEOUT_S)) for _ in range(2))
    caller.send_line("PING")
    loop.until(lambda: loop.wait(4_000) or loop.stopped)
    assert caller.read() == b"fail stopped\r\n" and caller.ended and not caller.reset
    assert silent.read() == b"fail the relay ends\r\n" and silent.ended and not silent.reset
