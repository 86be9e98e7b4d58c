"""Rare moments of the endpoint list: watches that fall silent, drip, end in the middle, or bring odd documents."""

from __future__ import annotations

import json
import socket
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest

from balancer.events import BackendState
from gradefront.core.connection import Attempt
from lab.stand_ins import settings

from .loop import Backend, Loop, Peer, fail_on_hang, hold_connects, wait_ready

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
IN_FORCE_US = 6_000_000  # an update that a silent watch missed is in force then
SLACK_US = 50_000


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def watch(loop: Loop, head: bytes = HEAD) -> Peer:
    """The relay's next call, answered up to the first object."""
    loop.until(lambda: loop.wait(20_000) or loop.discovery.has_pending)
    call = loop.discovery.accept()
    loop.until(lambda: call.read().endswith(b"\r\n\r\n"))
    call.send(head)
    return call


def change(loop: Loop, number: int, phase: str, revision: int, **more: object) -> dict[str, Any]:
    member = {**loop.known["members"][number], "phase": phase, **more}
    return {"revision": revision, "complete": False, "members": [member]}


def line(document: object, **form: Any) -> bytes:
    return json.dumps(document, **form).encode() + b"\n"


def drains(loop: Loop, backend: str = "box-0") -> bool:
    return loop.core.backends.state(backend) is BackendState.DRAINING


def pair(folder: Path, **more: Any) -> Loop:
    return Loop(folder, [Backend(), Backend()], {**settings(), **more})


@pytest.mark.parametrize("mode", ["ask", "push"])
@pytest.mark.parametrize("stalls_us", [0, 1_600_000, 2_000_000])
def test_what_a_silent_watch_missed_is_known_in_time_though_the_relay_is_held_up(
    tmp_path: Path, mode: str, stalls_us: int
) -> None:
    loop = pair(tmp_path, discovery=mode)
    first = watch(loop)
    first.send(chunk(line(loop.known)))
    loop.until(
        lambda: (
            len(loop.core.backends)
            and loop.relay.endpoint_watch.failures == 0
            and loop.core.lifecycle.accepts_clients
        )
    )
    loop.step(3)
    silent_us = loop.now_us  # from here on nothing comes; the drain is not announced
    if stalls_us:  # the loop is held up right as the silence is to be noticed
        loop.wait(2_990_000, 20_000)
        loop.now_us += stalls_us
        loop.step(2)
    second = watch(loop)
    second.send(chunk(line(change(loop, 0, "DRAINING", 2))))
    loop.until(lambda: drains(loop))
    assert loop.now_us - silent_us < IN_FORCE_US + SLACK_US


@pytest.mark.parametrize("drip", ["half an object", "headers", "blanks in a line"])
def test_bytes_that_make_no_object_are_no_heartbeat(tmp_path: Path, drip: str) -> None:
    loop = pair(tmp_path)
    first = watch(loop, b"" if drip == "headers" else HEAD)
    if drip != "headers":
        first.send(chunk(line(loop.known)))
    began = loop.now_us
    for n in range(20):
        if loop.discovery.has_pending:
            break
        part = {
            "half an object": chunk(b'{"revision":' if not n else b"4"),
            "headers": b"X",
            "blanks in a line": chunk(b" "),
        }[drip]
        first.send(part)
        loop.wait(400_000, 20_000)
    loop.until(lambda: loop.wait(20_000) or loop.discovery.has_pending)
    assert loop.now_us - began < IN_FORCE_US - 1_000_000


@pytest.mark.parametrize("size", [1, 7, 100_000])
@pytest.mark.parametrize(
    "form", ["a line", "indented", "indented, ends without a line's end", "two on a line", "braces in names", "CRLF"]
)
def test_objects_are_read_in_any_form_and_any_division_of_bytes(tmp_path: Path, form: str, size: int) -> None:
    loop = pair(tmp_path)
    first = watch(loop)
    update = change(loop, 0, "DRAINING", 7)
    complete = line({**loop.known, "revision": 3}, indent=2 if "indented" in form else None)
    text = {
        "a line": complete + line(update),
        "indented": complete + line(update, indent=2),
        "indented, ends without a line's end": complete + line(update, indent=2).rstrip(),
        "two on a line": complete.rstrip() + line(update),
        "braces in names": complete
        + line({**update, "note": 'a "}{" \\ of \u00fc', "odd}": "{"}, ensure_ascii=False),
        "CRLF": (complete + line(update, indent=1)).replace(b"\n", b"\r\n"),
    }[form]
    for at in range(0, len(text), size):
        first.send(chunk(text[at : at + size]))
        loop.step()
    loop.until(lambda: drains(loop))
    assert loop.core.is_ready("box-1") and loop.relay.endpoint_list.revision == 7
    assert not loop.core.counters.counts["list_errors"] and not loop.core.counters.counts["exceptions"]


@pytest.mark.parametrize(
    "text",
    [
        b"not JSON at all\n",
        b'{"revision": x}\n',
        b'["a list"]\n',
        b"7\n",
        b'{"a": "\n"}\n',
        b'{"revision":3,"members":[}\n',
        b"\xff\xfe\n",
    ],
)
def test_what_is_no_list_ends_the_watch_at_once_and_changes_nothing(tmp_path: Path, text: bytes) -> None:
    loop = pair(tmp_path)
    first = watch(loop)
    first.send(chunk(text))
    began = loop.now_us
    loop.until(lambda: loop.core.counters.counts["list_errors"] == 1)
    assert loop.now_us == began
    loop.until(lambda: loop.wait(4_000) or loop.discovery.has_pending)
    assert loop.core.is_ready("box-0") and loop.core.is_ready("box-1")


@pytest.mark.parametrize(
    "bad", [{"revision": "x"}, {"revision": [1]}, {"members": 7}, {"members": {"a": 1}}, {"revision": 1e400}]
)
def test_a_document_is_applied_completely_or_not_at_all(tmp_path: Path, bad: dict[str, Any]) -> None:
    loop = pair(tmp_path)
    first = watch(loop)
    moved = {**loop.known["members"][0], "host_port": "127.0.0.1:1"}
    first.send(chunk(line({"revision": 5, "complete": True, "members": [moved], **bad})))
    loop.until(lambda: loop.core.counters.counts["list_errors"] == 1)
    assert loop.core.is_ready("box-0") and loop.core.is_ready("box-1")
    assert loop.relay.endpoint_list.address("box-0") != ("127.0.0.1", 1)
    assert loop.relay.endpoint_list.revision == 1 and not loop.core.counters.counts["exceptions"]


@pytest.mark.parametrize(
    "bad",
    [
        {"host_port": "nowhere"},
        {"host_port": None},
        {"size": "big"},
        {"up_since_ms": "x"},
        {"size": float("nan")},
        {"host_port": "127.0.0.1:99999"},
    ],
)
def test_a_known_backend_stays_where_a_complete_list_has_an_invalid_member_for_it(
    tmp_path: Path, bad: dict[str, Any]
) -> None:
    loop = pair(tmp_path)
    first = watch(loop)
    document = {
        **loop.known,
        "revision": 9,
        "members": [{**loop.known["members"][0], **bad}, loop.known["members"][1]],
    }
    first.send(chunk(line(document)))
    loop.until(lambda: loop.relay.endpoint_list.revision == 9)
    assert loop.core.is_ready("box-0") and loop.core.is_ready("box-1")
    assert loop.relay.endpoint_list.address("box-0") and loop.core.counters.counts["bad_list_lines"] == 1
    first.send(chunk(line({**loop.known, "revision": 10, "members": loop.known["members"][1:]})))
    loop.until(lambda: loop.relay.endpoint_list.revision == 10)
    assert "box-0" not in loop.core.backends, "a complete list without it means that it is gone"


def test_the_updates_of_a_watch_that_was_replaced_count_for_nothing(tmp_path: Path) -> None:
    loop = pair(tmp_path)
    old = watch(loop)
    old.send(chunk(line(loop.known)))
    loop.until(lambda: loop.relay.endpoint_watch.call and loop.relay.endpoint_watch.call.has_update)
    call = loop.relay.endpoint_watch.call
    assert call and call.line_protocol
    loop.order.held.add(call.line_protocol.tcp.fileno())
    old.send(chunk(line(change(loop, 1, "DELETED", 40))))  # under way as the address changes
    other = Backend()
    loop.discovery = other
    loop.relay.endpoint_watch.change_address(("127.0.0.1", other.port))
    loop.order.held.clear()
    new = watch(loop)
    assert b"index=0" in new.received, "revisions of one address mean nothing at another"
    new.send(chunk(line({**loop.known, "revision": 2})))
    loop.until(lambda: loop.relay.endpoint_list.revision == 2)
    loop.step(5)
    assert loop.core.is_ready("box-1")


def test_a_watch_that_ends_in_the_middle_of_an_object_is_opened_anew_from_the_last_complete_one(
    tmp_path: Path,
) -> None:
    loop = pair(tmp_path)
    first = watch(loop)
    first.send(chunk(line({**loop.known, "revision": 4})))
    loop.until(lambda: loop.relay.endpoint_list.revision == 4)
    first.send(chunk(line(change(loop, 0, "DRAINING", 5))[:60]))
    first.close(reset=True)
    second = watch(loop)
    assert b"index=4" in second.received and loop.core.is_ready("box-0")
    second.send(chunk(line(change(loop, 0, "DRAINING", 3))))  # revisions may go back after an outage
    loop.until(lambda: drains(loop))
    assert loop.relay.endpoint_list.revision == 3


def connecting_beside_a_watch(loop: Loop) -> tuple[Peer, socket.socket, Peer, list[Attempt]]:
    """A watch that has sent the list, the relay's socket where its next update lies unread, and a client whose
    connection to a backend opens now, in a turn that keeps the loop busy."""
    first = watch(loop)
    first.send(chunk(line(loop.known)))
    call = loop.relay.endpoint_watch.call
    loop.until(lambda: call and call.has_update)
    client = loop.client()
    attempts = hold_connects(loop)
    loop.open(client)
    loop.until(lambda: loop.wait(4_000) or attempts)
    assert call and call.line_protocol
    loop.order.held = {call.line_protocol.tcp.fileno()}
    return first, call.line_protocol.tcp.socket, client, attempts


@pytest.mark.parametrize("phase", ["DRAINING", "DELETED"])
def test_a_drain_that_lies_unread_as_a_connection_opens_counts(tmp_path: Path, phase: str) -> None:
    backends = [Backend(), Backend()]
    loop = Loop(tmp_path, backends)
    first, unread, _client, attempts = connecting_beside_a_watch(loop)
    number = int(attempts[0].backend[-1])
    first.send(chunk(line(change(loop, number, phase, 8))))
    wait_ready(unread)
    loop.until(lambda: attempts[0].is_over or attempts[0].write_started_us)
    assert attempts[0].is_over, "sent to a backend after its drain was announced"
    other = backends[1 - number]
    loop.until(lambda: loop.release() or loop.wait(4_000) or other.has_pending)
    at_other = other.accept()
    loop.until(lambda: loop.release() or at_other.read().endswith(b"\r\n"))


def test_where_lists_are_pushed_a_drain_right_after_an_outage_is_in_force_in_time(tmp_path: Path) -> None:
    loop = pair(tmp_path, discovery="push")
    first = watch(loop)
    first.send(chunk(line(loop.known)))
    loop.until(lambda: loop.core.lifecycle.accepts_clients)
    first.close(reset=True)
    silent = [
        loop.discovery.accept()
        for _ in range(10)
        if loop.until(lambda: loop.wait(20_000) or loop.discovery.has_pending)
    ]  # down: calls are taken and not answered
    assert len(silent) == 10
    returned_us = loop.now_us
    back = watch(loop)
    back.send(chunk(line(change(loop, 0, "DRAINING", 9))))
    loop.until(lambda: drains(loop))
    assert loop.now_us - returned_us < loop.core.settings.drain_grace_us


@pytest.mark.parametrize("junk", [b"nonsense " * 40_000, b'{"revision":' + b" " * 400_000, b"\n" * 400_000])
def test_a_list_without_sense_or_end_that_lies_unread_holds_no_send_up(tmp_path: Path, junk: bytes) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    first, unread, _client, attempts = connecting_beside_a_watch(loop)
    first.sock.setblocking(False)
    with suppress(BlockingIOError):
        first.sock.send(chunk(junk))
    first.sock.settimeout(10)
    wait_ready(unread)
    with fail_on_hang():
        loop.until(lambda: attempts[0].write_started_us)
    at_backend = backend.accept()
    loop.until(lambda: at_backend.read().endswith(b"\r\n"))
    assert loop.core.is_ready("box-0"), "what was listed stays"
