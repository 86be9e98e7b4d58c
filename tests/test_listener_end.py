"""Closing of the client listener: every client that has connected gets an answer, whenever it connected."""

from __future__ import annotations

import asyncio
import errno
import select
import socket
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from gradefront.core.lifecycle_state import LifecycleState
from gradefront.net.transport import MAX_LAST_ACCEPTS, MAX_SHARED_ACCEPT_S
from lab.stand_ins import Discovery, LineDevice, Program, program, settings, soon

from .faults import faulty
from .loop import HANG_TIMEOUT_S, OPEN, Backend, Loop, Peer
from .test_moments_stop import stopping
from .test_upgrade import Upgrade

CONNECT_TIMEOUT_MS = 50.0  # on loopback; a client that is not connected by then was not accepted by the kernel
ARRIVAL_INTERVAL_S = 0.001
DEADLINE_MS = 300  # the final answers are sent 0.55 s after SIGTERM
BEFORE_LAST_ANSWERS_S = 0.5
REQUEST_DELAY_S = 0.02  # every second client waits this long before its request


class LateClients:
    """Clients that connect right after each batch of accepts of a stopping relay, which may be delayed just then."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.port: Any = loop.relay.port
        self.address = ("127.0.0.1", self.port.getHost().port)
        self.connected: list[Peer] = []
        self.not_connected: list[socket.socket] = []
        self.accept_pending = self.port.accept_pending
        self.port.accept_pending = self._accept_held_up

    def _accept_held_up(self, limit: int) -> Any:
        result = self.accept_pending(limit)
        if self.loop.core.lifecycle.state is LifecycleState.STOPPING:
            self.connect_client()
        return result

    def connect_client(self) -> None:
        """Try to connect one client; if it is connected in time, send its request."""
        sock = socket.socket()
        sock.setblocking(False)
        if sock.connect_ex(self.address) != errno.EINPROGRESS or not _is_connected(sock):
            self.not_connected.append(sock)
            return
        self.connected.append(Peer(sock))
        self.connected[-1].send_line(OPEN.format(id=0x9000 + len(self.connected), c="visit-checkin", d=900))


def _is_connected(sock: socket.socket) -> bool:
    poll = select.poll()
    poll.register(sock, select.POLLOUT)
    return bool(poll.poll(CONNECT_TIMEOUT_MS)) and sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0


def test_client_that_connects_after_the_last_accept_is_not_reset(tmp_path: Path) -> None:
    """Guards against unanswered requests: closing a listener resets connections completed since the last accept."""
    loop = Loop(tmp_path, [Backend()])
    late = LateClients(loop)
    stopping(loop)
    late.connect_client()
    loop.until(lambda: loop.wait(4_000) or loop.stopped)
    for client in late.connected:
        assert client.read() == b"BUSY\r\n" and client.ended and not client.reset
    assert late.connected and late.not_connected


@pytest.mark.parametrize("delayed_us", [0, 150_000, 400_000])
def test_handshakes_in_progress_have_time_to_complete_even_if_the_event_loop_is_delayed(
    tmp_path: Path, delayed_us: int
) -> None:
    """Guards against clients that take themselves for connected: a delayed event loop dropped new handshakes and
    closed the listener in the same iteration.
    """
    loop = Loop(tmp_path, [Backend()])
    idle = loop.client()
    port = loop.relay.port
    step_times_us = list[int]()

    def recording(step: Callable[[], None]) -> Callable[[], None]:
        def call() -> None:
            step_times_us.append(loop.now_us)
            step()

        return call

    port.drop_new_handshakes = recording(port.drop_new_handshakes)
    port.accept_pending_and_close = recording(port.accept_pending_and_close)
    stopping(loop)
    loop.now_us += delayed_us
    loop.until(lambda: loop.wait(4_000) or loop.stopped)
    assert idle.read() == b"BUSY\r\n" and idle.ended and not idle.reset
    if delayed_us <= 150_000:  # the longest delay in the operators' pages; the shutdown does not wait longer
        assert step_times_us[1] - step_times_us[0] >= 50_000


def test_last_accept_serves_all_queued_clients_if_accept_fails_for_lack_of_resources(tmp_path: Path) -> None:
    """Guards against clients in the accept queue that are reset because a single accept failed."""
    loop = Loop(tmp_path, [Backend()])
    idle = loop.client()
    port = loop.relay.port
    loop.leave()
    loop.wait(loop.core.lifecycle.kill_us - 450_000 + 40_000, 4_000)
    loop.order.held.add(port.fileno())
    address = ("127.0.0.1", port.getHost().port)
    queued = [Peer(socket.create_connection(address, HANG_TIMEOUT_S)) for _ in range(5)]
    for number, client in enumerate(queued):
        client.send_line(OPEN.format(id=0x9000 + number, c="visit-checkin", d=900))
    faulty(port).errors["accept"] = [errno.EMFILE, errno.ENOMEM, errno.EMFILE]
    loop.until(lambda: loop.wait(4_000) or loop.stopped)
    for client in [idle, *queued]:
        assert client.read() == b"BUSY\r\n" and client.ended and not client.reset


async def _outcome(port: int, delay_s: float) -> str:
    """Connect a client, send its request after a delay, and return the verb of the answer or what failed."""
    try:
        device = await LineDevice.connect(port)
    except OSError:
        return "not connected"
    try:
        await asyncio.sleep(delay_s)
        device.open(d=900)
        answer = await device.line()
    except OSError:
        answer = ""
    finally:
        device.writer.close()
    return answer.split()[0] if answer else "cut off"


async def _connect_clients_until_exit(relay: Program) -> list[asyncio.Future[str]]:
    """Stop a relay, and connect clients from right before its final answers until its process exits."""
    clients: list[asyncio.Future[str]] = []
    stop = asyncio.ensure_future(relay.stop())
    await asyncio.sleep(BEFORE_LAST_ANSWERS_S)
    while not stop.done():
        delay_s = REQUEST_DELAY_S * (len(clients) % 2)
        clients.append(asyncio.ensure_future(_outcome(relay.ports[0], delay_s)))
        await asyncio.sleep(ARRIVAL_INTERVAL_S)
    assert await stop == 0
    return clients


def test_clients_that_connect_until_the_process_exits_are_all_answered(tmp_path: Path) -> None:
    """Guards against unanswered requests in the last tenths of a second of a process."""

    async def scenario() -> None:
        async with program(tmp_path, Discovery(), settings(deadline_ms=DEADLINE_MS)) as relay:
            outcomes = Counter(await soon(asyncio.gather(*await _connect_clients_until_exit(relay))))
        assert outcomes["BUSY"] > 20 and not outcomes["cut off"], outcomes

    asyncio.run(scenario())


def test_listener_that_the_platform_holds_keeps_its_queue_for_the_next_process(tmp_path: Path) -> None:
    """Guards against clients that an exiting process accepts but doesn't answer before the next process runs."""

    async def scenario() -> None:
        async with Upgrade(tmp_path) as upgrade:
            relay_settings = settings(deadline_ms=DEADLINE_MS)
            clients = await _connect_clients_until_exit(await upgrade.start("first", relay_settings))
            await upgrade.start("next", relay_settings)
            outcomes = Counter(await soon(asyncio.gather(*clients)))
        assert outcomes["BUSY"] > 20 and not outcomes["cut off"], outcomes

    asyncio.run(scenario())


@pytest.mark.parametrize(("is_shared", "most"), [(True, 12), (False, MAX_LAST_ACCEPTS)])
def test_last_accept_on_a_shared_listener_ends_although_clients_come_again_without_end(
    tmp_path: Path, is_shared: bool, most: int
) -> None:
    """Guards against a process that is killed while it accepts clients for which the next process is there."""
    port = Loop(tmp_path, [Backend()]).relay.port
    batches = list[int]()

    def accept_pending(limit: int) -> bool:
        batches.append(limit)
        time.sleep(MAX_SHARED_ACCEPT_S / 10)
        return False

    port.is_shared, port.accept_pending = is_shared, accept_pending
    port.accept_pending_and_close()
    assert 0 < len(batches) <= most and not port.connected
    assert is_shared or len(batches) == most
