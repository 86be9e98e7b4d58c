"""Tests that a connection has exactly one owner during a handover, whatever the receiver does with the message."""

from __future__ import annotations

import os
import socket
from dataclasses import replace
from pathlib import Path

import pytest

from gradefront.state.form import encode_snapshot
from gradefront.state.handover_messages import (
    HandoverAnswer,
    HandoverMessage,
    InvalidAnswerError,
    decode_answer,
    decode_ids,
    decode_message,
)
from gradefront.state.handover_receiver import HandoverReceiver
from gradefront.state.handover_sender import MAX_UNANSWERED, STEP_US, HandoverSender
from gradefront.state.handover_sockets import SOCKET_NAME, connect_to_newest, listen_as_newest

from .loop import Backend, Loop, Peer, wait_ready
from .test_handover_end import tcp_pair
from .test_upgrade import SNAPSHOT


class Replacement:
    """A relay with established connections that hands them over to a process which the test plays."""

    def __init__(self, folder: Path, connections: int = 1) -> None:
        self.backend = Backend()
        self.loop = Loop(folder, [self.backend])
        self.peers = [self.loop.establish(self.backend) for _ in range(connections)]
        ours, self.receiver = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        ours.setblocking(False)
        self.receiver.settimeout(10)
        self.told_ids = list[bytes]()
        self.sender = HandoverSender(
            self.loop.core, self.loop.relay.client_factory, self.loop.reactor, ours, lambda: None
        )

    def receive(self) -> tuple[HandoverMessage, list[int]]:
        """Receive the next connection's message and its descriptors. Ids told before it are added to `told_ids`."""
        while True:
            data, fds, _, _ = socket.recv_fds(self.receiver, 1 << 16, 4)
            ids = decode_ids(data)
            if ids is None:
                return decode_message(data), list(fds)
            assert not fds
            self.told_ids += ids

    def answer(self, number: int | None, is_adopted: bool) -> None:
        """Answer a message, and let the relay read that."""
        assert number is not None
        self.receiver.send(HandoverAnswer(number, is_adopted, "for a reason").encode())
        self.loop.until(lambda: number not in self.sender.unanswered)

    def assert_served(self, client: Peer, at_backend: Peer) -> None:
        """Lines of which a half was sent before the handover arrive whole and once."""
        client.send(b"ne\r\n")
        at_backend.send(b"lf back\r\n")
        self.loop.until(lambda: at_backend.read().endswith(b"\r\n") and client.read().endswith(b"\r\n"))
        assert (at_backend.received, client.received) == (b"half a line\r\n", b"and half back\r\n")

    def begin_with_half_lines(self) -> tuple[HandoverMessage, list[int], Peer, Peer]:
        """Let the relay read half a line from each side, and send the connection."""
        client, at_backend = self.peers[0]
        client.send(b"half a li")
        at_backend.send(b"and ha")
        (connection,) = self.loop.core.connections.values()
        protocol = self.loop.protocol_of(client)
        assert protocol.upstream and protocol.upstream.line_protocol
        backend_protocol = protocol.upstream.line_protocol
        self.loop.until(lambda: protocol.received and backend_protocol.received)
        self.sender.step()
        message, fds = self.receive()
        assert message.number == connection.number
        return message, fds, client, at_backend


def test_a_rejected_connection_is_served_on(tmp_path: Path) -> None:
    """Guards against cutting off what the receiver cannot take: it closed the only descriptors."""
    replacement = Replacement(tmp_path)
    message, fds, client, at_backend = replacement.begin_with_half_lines()
    for fd in fds:
        os.close(fd)
    replacement.answer(message.number, False)
    replacement.assert_served(client, at_backend)
    replacement.loop.wait(10 * STEP_US)
    assert not replacement.sender.unanswered, "a rejected connection is not sent again"


@pytest.mark.parametrize("is_answered", [False, True], ids=["closes", "answers nonsense"])
def test_connections_without_an_answer_are_served_on(is_answered: bool, tmp_path: Path) -> None:
    """Guards against cutting off what a receiver that is killed has not adopted."""
    replacement = Replacement(tmp_path)
    _, fds, client, at_backend = replacement.begin_with_half_lines()
    for fd in fds:
        os.close(fd)
    if is_answered:
        replacement.receiver.send(b"something else")
    else:
        replacement.receiver.close()
    replacement.loop.until(lambda: replacement.sender.sock is None)
    replacement.assert_served(client, at_backend)


def test_an_adopted_connection_is_released_and_nothing_of_it_read_before(tmp_path: Path) -> None:
    replacement = Replacement(tmp_path)
    message, fds, client, at_backend = replacement.begin_with_half_lines()
    client.send(b"ne\r\n")
    with socket.socket(fileno=fds[0]) as at_receiver, socket.socket(fileno=fds[1]):
        wait_ready(at_receiver)
        replacement.loop.wait(10 * STEP_US)
        assert at_backend.read() == b"", "read while the receiver may have adopted it"
        replacement.answer(message.number, True)
        assert at_receiver.recv(100) == b"ne\r\n"
    assert not replacement.loop.core.connections and replacement.loop.relay.client_factory.open_connections == 0
    assert replacement.loop.core.counters.counts["given_away"] == 1


def test_a_connection_migrated_while_its_answer_is_awaited_stays_migrated(tmp_path: Path) -> None:
    replacement = Replacement(tmp_path)
    message, fds, client, _ = replacement.begin_with_half_lines()
    (connection,) = replacement.loop.core.connections.values()
    replacement.loop.core.migrate(connection)
    replacement.loop.until(lambda: client.read() == b"MOVE\r\n")
    replacement.answer(message.number, True)
    with socket.socket(fileno=fds[0]) as late, pytest.raises(BrokenPipeError):  # a receiver that adopts it too late
        late.send(b"x")
    os.close(fds[1])
    assert replacement.loop.core.counters.counts["given_away"] == 0


def test_messages_without_an_answer_are_limited(tmp_path: Path) -> None:
    replacement = Replacement(tmp_path, connections=MAX_UNANSWERED + 3)
    replacement.sender.step()
    replacement.loop.wait(20 * STEP_US)
    assert len(replacement.sender.unanswered) == MAX_UNANSWERED
    for _ in range(MAX_UNANSWERED):
        message, _ = replacement.receive()
        replacement.answer(message.number, True)
    replacement.loop.wait(20 * STEP_US)
    assert len(replacement.sender.unanswered) == 3


class Adopting:
    """A relay that receives connections, and a sender that the test plays."""

    def __init__(self, folder: Path) -> None:
        self.loop = Loop(folder, [Backend()])
        self.receiver = HandoverReceiver(self.loop.core, self.loop.relay.client_factory, self.loop.reactor, folder)
        self.receiver.open()
        self.sock = connect_to_newest(folder / SOCKET_NAME)
        assert self.sock
        self.client, client_side = tcp_pair()
        self.at_backend, backend_side = tcp_pair()
        self.sides = [client_side, backend_side]
        self.snapshot = replace(SNAPSHOT, last_received_us=self.loop.now_us, awaiting_reply_us=())

    def send(self, message: HandoverMessage) -> None:
        """Send a message with both sockets, and let the relay handle it."""
        assert self.sock
        socket.send_fds(self.sock, [message.encode()], [side.fileno() for side in self.sides])
        counts = self.loop.core.counters.counts
        self.loop.until(lambda: counts["taken_over"] + counts["taken_over_badly"])

    def answer(self) -> HandoverAnswer:
        assert self.sock
        return decode_answer(self.sock.recv(1000))

    def assert_no_connection(self) -> None:
        assert not self.loop.core.connections and self.loop.relay.client_factory.open_connections == 0


@pytest.mark.parametrize("side", [0, 1], ids=["client", "backend"])
def test_a_connection_reset_on_its_way_is_rejected_and_leaves_no_entry(side: int, tmp_path: Path) -> None:
    """Guards against an entry without sockets, which neither ends nor moves and breaks the next planned stop."""
    adopting = Adopting(tmp_path)
    (adopting.client, adopting.at_backend)[side].close(reset=True)
    adopting.send(HandoverMessage(encode_snapshot(adopting.snapshot), 7, adopting.loop.now_us))
    answer = adopting.answer()
    assert (answer.number, answer.is_adopted) == (7, False) and "socket" in answer.reason
    adopting.assert_no_connection()
    other = (adopting.at_backend, adopting.client)[side]
    assert other.read() == b"" and not other.ended, "the sender still serves it"


def test_a_former_process_s_connection_that_cannot_be_adopted_is_migrated(tmp_path: Path) -> None:
    """Guards against cutting off what a process of the former release hands over, which awaits no answer."""
    adopting = Adopting(tmp_path)
    adopting.send(HandoverMessage(encode_snapshot(replace(adopting.snapshot, load=-1))))
    for side in adopting.sides:
        side.close()
    adopting.loop.until(lambda: adopting.client.read() == b"MOVE\r\n")
    adopting.client.close()
    adopting.loop.until(lambda: not adopting.loop.relay.client_factory.open_connections)
    adopting.assert_no_connection()
    assert adopting.sock
    adopting.sock.setblocking(False)
    with pytest.raises(BlockingIOError):  # it would read nothing, and reset the socket as it closes
        adopting.sock.recv(1)


def test_times_are_moved_to_the_receiver_s_clock(tmp_path: Path) -> None:
    adopting = Adopting(tmp_path)
    hour_us = 3_600_000_000
    sent_us = adopting.loop.now_us + hour_us  # the wall clock was set back between the starts of the two processes
    snapshot = replace(adopting.snapshot, last_received_us=sent_us - 5_000_000, awaiting_reply_us=(sent_us - 1_000,))
    adopting.send(HandoverMessage(encode_snapshot(snapshot), 7, sent_us))
    assert adopting.answer() == HandoverAnswer(7, True)
    adopting.loop.until(lambda: adopting.client.read() == b"MOVE\r\n")  # other rules in this process


def test_messages_of_a_sender_that_ended_without_reading_its_answers_are_adopted(tmp_path: Path) -> None:
    """Guards against closing the only descriptors of connections that lie unread behind a reset."""
    adopting = Adopting(tmp_path)
    message = HandoverMessage(encode_snapshot(adopting.snapshot), 7, adopting.loop.now_us)
    adopting.send(message)
    assert adopting.sock
    clients = []
    for _ in range(2):
        client, client_side = tcp_pair()
        _, backend_side = tcp_pair()
        clients.append(client)
        with client_side, backend_side:
            socket.send_fds(adopting.sock, [message.encode()], [client_side.fileno(), backend_side.fileno()])
    adopting.sock.close()
    adopting.loop.until(lambda: all(client.read() == b"MOVE\r\n" for client in clients))


def test_nothing_is_handed_over_to_a_former_process(tmp_path: Path) -> None:
    """Guards against connections lost at a receiver that closes what it cannot adopt and does not say so."""
    path = tmp_path / SOCKET_NAME
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as former:
        former.bind(str(path.with_name(f"{path.name}.4711")))  # without the suffix
        former.listen()
        path.with_name(f"{path.name}.4711").rename(path)
        assert connect_to_newest(path) is None
    newest, _ = listen_as_newest(path)
    with newest:
        sock = connect_to_newest(path)
        assert sock
        sock.close()


@pytest.mark.parametrize("data", [b"", b"ADOPTED", b"ADOPTED x", b"REJECTED 1\n", b"adopted 1", b"ADOPTED 1 \xff"])
def test_an_answer_of_another_form_is_an_error(data: bytes) -> None:
    with pytest.raises(InvalidAnswerError):
        decode_answer(data)
