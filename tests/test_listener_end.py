"""The end of the clients' listener: whoever has connected gets an answer, whatever the moment."""

from __future__ import annotations

import asyncio
import errno
import select
import socket
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from gradefront.core.lifecycle_state import LifecycleState
from lab.stand_ins import Discovery, LineDevice, Program, program, settings, soon

from .faults import faulty
from .loop import HANG_TIMEOUT_S, OPEN, Backend, Loop, Peer
from .test_moments_stop import stopping
from .test_upgrade import Upgrade

CONNECT_TIMEOUT_MS = 50.0  # on loopback; a client that is not connected by then has been let in by nobody
ARRIVAL_INTERVAL_S = 0.001
DEADLINE_MS = 300  # the last answers come 0.55 s after SIGTERM
BEFORE_LAST_ANSWERS_S = 0.5
REST_S = 0.02  # of every second client, before its request


class LateClients:
    """Clients that connect right after each accept of a relay that stops: the moment in which it may be held up."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.port: Any = loop.relay.port
        self.address = ("127.0.0.1", self.port.getHost().port)
        self.connected: list[Peer] = []
        self.left_outside: list[socket.socket] = []
        self.accept_pending = self.port.accept_pending
        self.port.accept_pending = self._accept_held_up

    def _accept_held_up(self, limit: int) -> Any:
        result = self.accept_pending(limit)
        if self.loop.core.lifecycle.state is LifecycleState.STOPPING:
            self.come()
        return result

    def come(self) -> None:
        """One client connects, and makes its request if it could."""
        one = socket.socket()
        one.setblocking(False)
        if one.connect_ex(self.address) != errno.EINPROGRESS or not _is_connected(one):
            self.left_outside.append(one)
            return
        self.connected.append(Peer(one))
        self.connected[-1].send_line(OPEN.format(id=0x9000 + len(self.connected), c="visit-checkin", d=900))


def _is_connected(one: socket.socket) -> bool:
    poll = select.poll()
    poll.register(one, select.POLLOUT)
    return bool(poll.poll(CONNECT_TIMEOUT_MS)) and one.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0


def test_a_client_that_connects_after_the_last_accept_is_not_reset(tmp_path: Path) -> None:
    """Guards against a request without an answer: a close resets what the kernel has let in since the last accept."""
    loop = Loop(tmp_path, [Backend()])
    late = LateClients(loop)
    stopping(loop)
    late.come()
    loop.until(lambda: loop.wait(4_000) or loop.stopped)
    for client in late.connected:
        assert client.read() == b"BUSY\r\n" and client.ended and not client.reset
    assert late.connected and late.left_outside


@pytest.mark.parametrize("held_up_us", [0, 150_000, 400_000])
def test_a_handshake_under_way_has_a_time_to_end_though_the_loop_is_late(tmp_path: Path, held_up_us: int) -> None:
    """Guards against clients that believe themselves connected: a late loop ran both steps in one turn."""
    loop = Loop(tmp_path, [Backend()])
    resting = loop.client()
    port = loop.relay.port
    times_us = list[int]()

    def noted(step: Callable[[], None]) -> Callable[[], None]:
        def call() -> None:
            times_us.append(loop.now_us)
            step()

        return call

    port.drop_new_handshakes = noted(port.drop_new_handshakes)
    port.accept_pending_and_close = noted(port.accept_pending_and_close)
    stopping(loop)
    loop.now_us += held_up_us
    loop.until(lambda: loop.wait(4_000) or loop.stopped)
    assert resting.read() == b"BUSY\r\n" and resting.ended and not resting.reset
    if held_up_us <= 150_000:  # the longest that the operators' pages name; the stop does not wait for more
        assert times_us[1] - times_us[0] >= 50_000


def test_the_last_accept_goes_on_where_descriptors_run_short(tmp_path: Path) -> None:
    """Guards against clients that are reset in the queue since one accept failed."""
    loop = Loop(tmp_path, [Backend()])
    resting = loop.client()
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
    for client in [resting, *queued]:
        assert client.read() == b"BUSY\r\n" and client.ended and not client.reset


async def _outcome(port: int, rest_s: float) -> str:
    """What a client gets that connects now and makes its request after a rest."""
    try:
        device = await LineDevice.connect(port)
    except OSError:
        return "not connected"
    try:
        await asyncio.sleep(rest_s)
        device.open(d=900)
        answer = await device.line()
    except OSError:
        answer = ""
    finally:
        device.writer.close()
    return answer.split()[0] if answer else "cut off"


async def _clients_up_to_the_end(relay: Program) -> list[asyncio.Future[str]]:
    """Clients that come to a relay from right before its last answers to the end of its process."""
    clients: list[asyncio.Future[str]] = []
    ending = asyncio.ensure_future(relay.stop())
    await asyncio.sleep(BEFORE_LAST_ANSWERS_S)
    while not ending.done():
        rest_s = REST_S * (len(clients) % 2)
        clients.append(asyncio.ensure_future(_outcome(relay.ports[0], rest_s)))
        await asyncio.sleep(ARRIVAL_INTERVAL_S)
    assert await ending == 0
    return clients


def test_clients_that_come_up_to_the_end_of_the_process_are_all_answered(tmp_path: Path) -> None:
    """Guards against requests without an answer in the last tenths of a second."""

    async def play() -> None:
        async with program(tmp_path, Discovery(), settings(deadline_ms=DEADLINE_MS)) as relay:
            outcomes = Counter(await soon(asyncio.gather(*await _clients_up_to_the_end(relay))))
        assert outcomes["BUSY"] > 20 and not outcomes["cut off"], outcomes

    asyncio.run(play())


def test_a_listener_that_the_platform_holds_keeps_its_queue_for_the_next_process(tmp_path: Path) -> None:
    """Guards against clients that an ending process accepts and doesn't answer, where no other process runs yet."""

    async def play() -> None:
        async with Upgrade(tmp_path) as here:
            given = settings(deadline_ms=DEADLINE_MS)
            clients = await _clients_up_to_the_end(await here.start("first", given))
            await here.start("next", given)
            outcomes = Counter(await soon(asyncio.gather(*clients)))
        assert outcomes["BUSY"] > 20 and not outcomes["cut off"], outcomes

    asyncio.run(play())
