"""Tests of closing the receiving side of a handover while sent connections are still unread."""

from __future__ import annotations

import socket
from dataclasses import replace
from pathlib import Path

import pytest

from gradefront.state.form import encode_snapshot
from gradefront.state.handover_receiver import HandoverReceiver
from gradefront.state.handover_sockets import SOCKET_NAME

from .loop import Backend, Loop, Peer
from .test_upgrade import SNAPSHOT


class Sender:
    """A process that hands established connections over."""

    def __init__(self, folder: Path, now_us: int) -> None:
        self.snapshot = replace(SNAPSHOT, last_received_us=now_us, awaiting_reply_us=())
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.sock.connect(str(folder / SOCKET_NAME))

    def send(self) -> Peer:
        """Send a connection. Return the client's end of it."""
        client, relay_side = tcp_pair()
        self.backend, backend_side = tcp_pair()
        with relay_side, backend_side:
            socket.send_fds(self.sock, [encode_snapshot(self.snapshot)], [relay_side.fileno(), backend_side.fileno()])
        return client


def tcp_pair() -> tuple[Peer, socket.socket]:
    """Return the peer's and the relay's end of a TCP connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        sock = socket.create_connection(listener.getsockname())
        return Peer(sock), listener.accept()[0]


@pytest.mark.parametrize("is_accepted", [False, True], ids=["in the queue", "unread"])
def test_a_connection_sent_as_the_receiver_closes_is_adopted_or_refused(tmp_path: Path, is_accepted: bool) -> None:
    """Guards against lost clients: closing the handover socket closed the sockets in unread messages."""
    loop = Loop(tmp_path, [Backend()])
    receiver = HandoverReceiver(loop.core, loop.relay.client_factory, loop.reactor, tmp_path)
    receiver.open()
    sender = Sender(tmp_path, loop.now_us)
    if is_accepted:
        loop.until(lambda: receiver.senders)
    clients = [sender.send() for _ in range(3)]
    receiver.close()
    assert loop.core.counters.counts["taken_over"] == 3
    loop.until(lambda: all(client.read() for client in clients))
    assert all(client.received == b"MOVE\r\n" and not client.reset for client in clients), (
        "clients whose class has other rules in this process are migrated"
    )
    with pytest.raises(OSError):
        sender.send()
