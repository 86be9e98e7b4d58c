"""Tests of a handover to a process that is out of file descriptors."""

from __future__ import annotations

import os
import resource
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path

import pytest

from gradefront.state.form import encode_snapshot
from gradefront.state.handover_messages import HandoverMessage
from gradefront.state.handover_receiver import HandoverReceiver
from gradefront.state.handover_sockets import SOCKET_NAME

from .loop import Backend, Loop
from .test_handover_end import tcp_pair
from .test_upgrade import SNAPSHOT

CONNECTIONS = 12
IDLE_CLIENTS = 40


@contextmanager
def no_free_descriptors() -> Iterator[list[int]]:
    """Let this process have no free descriptor; those that fill the gaps are yielded, and closed in the end."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    highest = max(int(name) for name in os.listdir("/proc/self/fd"))
    fillers: list[int] = []
    resource.setrlimit(resource.RLIMIT_NOFILE, (highest + 1, hard))
    try:
        while True:
            try:
                fillers.append(os.dup(0))
            except OSError:
                break
        yield fillers
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        for filler in fillers:
            os.close(filler)


class Sender:
    """A former or present process that sends connections to a relay in the test process."""

    def __init__(self, folder: Path, is_former: bool) -> None:
        self.loop = Loop(folder, [Backend()])
        self.receiver = HandoverReceiver(self.loop.core, self.loop.relay.client_factory, self.loop.reactor, folder)
        self.receiver.open()
        self.is_former = is_former
        self.path = folder / SOCKET_NAME
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        pairs = [(tcp_pair(), tcp_pair()) for _ in range(CONNECTIONS)]
        self.clients = [client for (client, _), _ in pairs]
        self.backends = [backend for _, (backend, _) in pairs]
        self.sides = [(client_side, backend_side) for (_, client_side), (_, backend_side) in pairs]

    def send_all(self) -> None:
        """Connect, and send as many connections as the kernel queues at a time."""
        self.sock.connect(str(self.path))
        snapshot = encode_snapshot(replace(SNAPSHOT, last_received_us=self.loop.now_us, awaiting_reply_us=()))
        for number, sides in enumerate(self.sides):
            message = HandoverMessage(snapshot, None if self.is_former else number, self.loop.now_us)
            socket.send_fds(self.sock, [message.encode()], [side.fileno() for side in sides])
            if number % 8 == 7:
                self.adopted(number + 1)
        self.adopted(len(self.sides))

    def adopted(self, count: int) -> None:
        """Run the relay until it has adopted so many connections."""
        counts = self.loop.core.counters.counts
        self.loop.until(lambda: counts["taken_over"] + counts["taken_over_badly"] == count)
        assert counts["taken_over_badly"] == 0


@pytest.mark.parametrize("is_former", [False, True], ids=["present sender", "former sender"])
def test_idle_clients_give_way_to_connections_that_are_handed_over(is_former: bool, tmp_path: Path) -> None:
    """Guards against cutting off established connections while idle clients hold all descriptors."""
    sender = Sender(tmp_path, is_former)
    idle = [sender.loop.client() for _ in range(IDLE_CLIENTS)]
    with no_free_descriptors():
        sender.send_all()
    sender.loop.until(lambda: all(client.read() == b"MOVE\r\n" for client in sender.clients))  # other rules here
    turned_away = [client for client in idle if client.read()]
    assert 0 < len(turned_away) < IDLE_CLIENTS
    assert all(client.received == b"BUSY\r\n" and not client.reset for client in turned_away)


def test_connections_wait_until_descriptors_are_free(tmp_path: Path) -> None:
    sender = Sender(tmp_path, is_former=True)
    with no_free_descriptors() as fillers:
        sender.sock.connect(str(sender.path))
        snapshot = replace(SNAPSHOT, last_received_us=sender.loop.now_us, awaiting_reply_us=())
        socket.send_fds(sender.sock, [encode_snapshot(snapshot)], [side.fileno() for side in sender.sides[0]])
        sender.loop.wait(500_000)
        assert not sender.loop.core.counters.counts["taken_over"]
        for _ in range(8):
            os.close(fillers.pop())
        sender.loop.wait(100_000)
        sender.adopted(1)
