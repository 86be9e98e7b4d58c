"""An id that a client has used is refused when it comes again: also after many others, and at the next process."""

from __future__ import annotations

import os
import socket
from contextlib import suppress
from pathlib import Path

from gradefront.net.lines import InvalidLineError
from gradefront.net.seen_ids import MAX_PAST_IDS, SeenIds
from gradefront.state.endpoint_handover import KnownEndpoints, request_endpoints, send_endpoints
from gradefront.state.handover_messages import MAX_IDS, encode_ids
from gradefront.state.handover_receiver import HandoverReceiver
from gradefront.state.handover_sockets import SOCKET_NAME, listen_as_newest

from .loop import OPEN, Backend, Loop
from .test_handover_answers import Replacement

FORMER_LIMIT = 4_096


def numbered(number: int) -> bytes:
    return f"{number:016x}".encode()


def is_refused(seen: SeenIds, connection_id: bytes) -> bool:
    try:
        seen.add(connection_id)
    except InvalidLineError:
        return True
    return False


def test_the_id_of_a_connection_that_stands_is_refused_however_many_come_between() -> None:
    """Guards against serving a client under the id of another's open connection."""
    seen = SeenIds()
    seen.add(numbered(0))
    for number in range(1, 2 * MAX_PAST_IDS):
        seen.add(numbered(number))
        seen.on_ended(numbered(number))
    assert is_refused(seen, numbered(0))
    assert len(list(seen)) <= MAX_PAST_IDS + 1, "memory is bounded"


def test_the_id_of_a_connection_that_has_ended_is_refused_after_thousands_of_others() -> None:
    """Guards against a second execution when a client's id comes again after it has left."""
    seen = SeenIds()
    for number in range(MAX_PAST_IDS // 2):
        seen.add(numbered(number))
        seen.on_ended(numbered(number))
    assert all(is_refused(seen, numbered(number)) for number in (0, 1, FORMER_LIMIT, MAX_PAST_IDS // 2 - 1))


def test_a_rejected_repetition_does_not_end_the_first_connection(tmp_path: Path) -> None:
    """Guards against an id that is free again because a client that used it a second time has left."""
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    first, _ = loop.establish(backend)
    line = OPEN.format(id=int(loop.protocol_of(first).id, 16), d=1500, c="visit-checkin")
    for _ in range(2):
        again = loop.client()
        again.send_line(line)
        loop.until(lambda peer=again: peer.read() == b"ERR\r\n")  # type: ignore[misc]
        again.close()
        loop.until(lambda: loop.relay.client_factory.open_connections == 1)
    assert not backend.has_pending


def test_the_next_process_refuses_ids_that_were_used_at_this_one(tmp_path: Path) -> None:
    """Guards against a second execution at the other process of an upgrade."""
    replacement = Replacement(tmp_path, connections=2)
    loop, seen = replacement.loop, replacement.loop.relay.client_factory.seen_ids
    standing = list(seen)
    past = [numbered(number) for number in range(2 * MAX_IDS)]
    replacement.sender.untold_ids.extend(past)
    replacement.sender.step()
    seen.add(numbered(77_777))  # of a client that was waiting when the handover began
    assert replacement.receive()[0].number is not None
    replacement.answer(1, is_adopted=True)
    for _ in range(5):
        loop.wait(20_000)
    replacement.receiver.settimeout(0.2)
    with suppress(TimeoutError):
        while numbered(77_777) not in replacement.told_ids:
            replacement.receive()
    assert sorted(replacement.told_ids) == sorted([*standing, *past, numbered(77_777)])


def test_a_process_refuses_the_ids_that_it_is_told(tmp_path: Path) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    receiver = HandoverReceiver(loop.core, loop.relay.client_factory, loop.reactor, tmp_path)
    receiver.open()
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
        sock.connect(str(tmp_path / SOCKET_NAME))
        sock.send(encode_ids([numbered(1), b"no id", numbered(2)]))
        loop.until(lambda: numbered(2) in list(loop.relay.client_factory.seen_ids))
    client = loop.client()
    client.send_line(OPEN.format(id=2, d=1500, c="visit-checkin"))
    loop.until(lambda: client.read() == b"ERR\r\n")
    assert loop.core.counters.counts["taken_over_badly"] == 0


def test_a_starting_process_asks_for_the_ids(tmp_path: Path) -> None:
    listener, _ = listen_as_newest(tmp_path / SOCKET_NAME)
    listener.setblocking(True)
    known = KnownEndpoints({"revision": 1, "members": []}, 5, (numbered(1), numbered(2)))
    process = os.fork()
    if process == 0:
        with listener.accept()[0] as sock:
            sock.recv(100)
            send_endpoints(sock, known)
        os._exit(0)
    try:
        assert request_endpoints(tmp_path / SOCKET_NAME) == known
    finally:
        os.waitpid(process, 0)
        listener.close()
