"""Endpoint watches that fall silent, send single bytes, end within an object, or deliver unusual documents."""

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
IN_FORCE_US = 6_000_000  # after this time an update is in force, even if a silent watch missed it
SLACK_US = 50_000


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def accept_watch(loop: Loop, head: bytes = HEAD) -> Peer:
    """Accept the relay's next call to discovery and send the response head; return discovery's end."""
    loop.until(lambda: loop.wait(20_000) or loop.discovery.has_pending)
    call = loop.discovery.accept()
    loop.until(lambda: call.read().endswith(b"\r\n\r\n"))
    call.send(head)
    return call


def change_document(loop: Loop, number: int, phase: str, revision: int, **changes: object) -> dict[str, Any]:
    member = {**loop.known["members"][number], "phase": phase, **changes}
    return {"revision": revision, "complete": False, "members": [member]}


def json_line(document: object, **form: Any) -> bytes:
    return json.dumps(document, **form).encode() + b"\n"


def is_draining(loop: Loop, backend: str = "box-0") -> bool:
    return loop.core.backends.state(backend) is BackendState.DRAINING


def loop_with_two_backends(folder: Path, **changes: Any) -> Loop:
    return Loop(folder, [Backend(), Backend()], {**settings(), **changes})


@pytest.mark.parametrize("mode", ["ask", "push"])
@pytest.mark.parametrize("delay_us", [0, 1_600_000, 2_000_000])
def test_update_missed_by_a_silent_watch_is_received_in_time_even_if_the_relay_is_delayed(
    tmp_path: Path, mode: str, delay_us: int
) -> None:
    loop = loop_with_two_backends(tmp_path, discovery=mode)
    first = accept_watch(loop)
    first.send(chunk(json_line(loop.known)))
    loop.until(
        lambda: (
            len(loop.core.backends)
            and loop.relay.endpoint_watch.failures == 0
            and loop.core.lifecycle.accepts_clients
        )
    )
    loop.step(3)
    silent_since_us = loop.now_us  # from here on the watch delivers nothing, nor is the drain announced
    if delay_us:  # the event loop is delayed just before the silence would be detected
        loop.wait(2_990_000, 20_000)
        loop.now_us += delay_us
        loop.step(2)
    second = accept_watch(loop)
    second.send(chunk(json_line(change_document(loop, 0, "DRAINING", 2))))
    loop.until(lambda: is_draining(loop))
    assert loop.now_us - silent_since_us < IN_FORCE_US + SLACK_US


@pytest.mark.parametrize("drip", ["incomplete object", "headers", "blanks in a line"])
def test_bytes_that_complete_no_object_are_not_a_heartbeat(tmp_path: Path, drip: str) -> None:
    loop = loop_with_two_backends(tmp_path)
    first = accept_watch(loop, b"" if drip == "headers" else HEAD)
    if drip != "headers":
        first.send(chunk(json_line(loop.known)))
    started_us = loop.now_us
    for n in range(20):
        if loop.discovery.has_pending:
            break
        part = {
            "incomplete object": chunk(b'{"revision":' if not n else b"4"),
            "headers": b"X",
            "blanks in a line": chunk(b" "),
        }[drip]
        first.send(part)
        loop.wait(400_000, 20_000)
    loop.until(lambda: loop.wait(20_000) or loop.discovery.has_pending)
    assert loop.now_us - started_us < IN_FORCE_US - 1_000_000


@pytest.mark.parametrize("size", [1, 7, 100_000])
@pytest.mark.parametrize(
    "form", ["a line", "indented", "indented, ends without a line's end", "two on a line", "braces in names", "CRLF"]
)
def test_objects_are_parsed_in_any_layout_and_any_chunk_size(tmp_path: Path, form: str, size: int) -> None:
    loop = loop_with_two_backends(tmp_path)
    first = accept_watch(loop)
    update = change_document(loop, 0, "DRAINING", 7)
    complete = json_line({**loop.known, "revision": 3}, indent=2 if "indented" in form else None)
    text = {
        "a line": complete + json_line(update),
        "indented": complete + json_line(update, indent=2),
        "indented, ends without a line's end": complete + json_line(update, indent=2).rstrip(),
        "two on a line": complete.rstrip() + json_line(update),
        "braces in names": complete
        + json_line({**update, "note": 'a "}{" \\ of \u00fc', "odd}": "{"}, ensure_ascii=False),
        "CRLF": (complete + json_line(update, indent=1)).replace(b"\n", b"\r\n"),
    }[form]
    for at in range(0, len(text), size):
        first.send(chunk(text[at : at + size]))
        loop.step()
    loop.until(lambda: is_draining(loop))
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
def test_invalid_data_ends_the_watch_at_once_and_changes_nothing(tmp_path: Path, text: bytes) -> None:
    loop = loop_with_two_backends(tmp_path)
    first = accept_watch(loop)
    first.send(chunk(text))
    started_us = loop.now_us
    loop.until(lambda: loop.core.counters.counts["list_errors"] == 1)
    assert loop.now_us == started_us
    loop.until(lambda: loop.wait(4_000) or loop.discovery.has_pending)
    assert loop.core.is_ready("box-0") and loop.core.is_ready("box-1")


@pytest.mark.parametrize(
    "bad", [{"revision": "x"}, {"revision": [1]}, {"members": 7}, {"members": {"a": 1}}, {"revision": 1e400}]
)
def test_document_with_an_invalid_field_is_not_applied_at_all(tmp_path: Path, bad: dict[str, Any]) -> None:
    loop = loop_with_two_backends(tmp_path)
    first = accept_watch(loop)
    moved = {**loop.known["members"][0], "host_port": "127.0.0.1:1"}
    first.send(chunk(json_line({"revision": 5, "complete": True, "members": [moved], **bad})))
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
def test_listed_backend_stays_if_its_member_in_a_complete_list_is_invalid(
    tmp_path: Path, bad: dict[str, Any]
) -> None:
    loop = loop_with_two_backends(tmp_path)
    first = accept_watch(loop)
    document = {
        **loop.known,
        "revision": 9,
        "members": [{**loop.known["members"][0], **bad}, loop.known["members"][1]],
    }
    first.send(chunk(json_line(document)))
    loop.until(lambda: loop.relay.endpoint_list.revision == 9)
    assert loop.core.is_ready("box-0") and loop.core.is_ready("box-1")
    assert loop.relay.endpoint_list.address("box-0") and loop.core.counters.counts["bad_list_lines"] == 1
    first.send(chunk(json_line({**loop.known, "revision": 10, "members": loop.known["members"][1:]})))
    loop.until(lambda: loop.relay.endpoint_list.revision == 10)
    assert "box-0" not in loop.core.backends, "a backend that a complete list omits is removed"


def test_updates_of_a_replaced_watch_are_ignored(tmp_path: Path) -> None:
    loop = loop_with_two_backends(tmp_path)
    old = accept_watch(loop)
    old.send(chunk(json_line(loop.known)))
    loop.until(lambda: loop.relay.endpoint_watch.call and loop.relay.endpoint_watch.call.has_update)
    call = loop.relay.endpoint_watch.call
    assert call and call.line_protocol
    loop.order.held.add(call.line_protocol.tcp.fileno())
    old.send(chunk(json_line(change_document(loop, 1, "DELETED", 40))))  # in transit as the address changes
    new_discovery = Backend()
    loop.discovery = new_discovery
    loop.relay.endpoint_watch.change_address(("127.0.0.1", new_discovery.port))
    loop.order.held.clear()
    new = accept_watch(loop)
    assert b"index=0" in new.received, "revisions of the old address mean nothing at the new one"
    new.send(chunk(json_line({**loop.known, "revision": 2})))
    loop.until(lambda: loop.relay.endpoint_list.revision == 2)
    loop.step(5)
    assert loop.core.is_ready("box-1")


def test_watch_that_ends_within_an_object_is_reopened_from_the_last_complete_revision(
    tmp_path: Path,
) -> None:
    loop = loop_with_two_backends(tmp_path)
    first = accept_watch(loop)
    first.send(chunk(json_line({**loop.known, "revision": 4})))
    loop.until(lambda: loop.relay.endpoint_list.revision == 4)
    first.send(chunk(json_line(change_document(loop, 0, "DRAINING", 5))[:60]))
    first.close(reset=True)
    second = accept_watch(loop)
    assert b"index=4" in second.received and loop.core.is_ready("box-0")
    second.send(chunk(json_line(change_document(loop, 0, "DRAINING", 3))))  # revisions may decrease after an outage
    loop.until(lambda: is_draining(loop))
    assert loop.relay.endpoint_list.revision == 3


def connect_beside_an_unread_watch(loop: Loop) -> tuple[Peer, socket.socket, Peer, list[Attempt]]:
    """Open a watch whose further updates the event loop does not see, and a request whose backend connection opens.

    Returns discovery's end of the watch, the relay's socket of the watch, the client, and the attempts.
    """
    first = accept_watch(loop)
    first.send(chunk(json_line(loop.known)))
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
def test_request_is_not_sent_to_a_backend_whose_drain_is_unread(tmp_path: Path, phase: str) -> None:
    backends = [Backend(), Backend()]
    loop = Loop(tmp_path, backends)
    first, unread, _client, attempts = connect_beside_an_unread_watch(loop)
    number = int(attempts[0].backend[-1])
    first.send(chunk(json_line(change_document(loop, number, phase, 8))))
    wait_ready(unread)
    loop.until(lambda: attempts[0].is_over or attempts[0].write_started_us)
    assert attempts[0].is_over, "request was sent to a backend after its drain was announced"
    other = backends[1 - number]
    loop.until(lambda: loop.release() or loop.wait(4_000) or other.has_pending)
    at_other = other.accept()
    loop.until(lambda: loop.release() or at_other.read().endswith(b"\r\n"))


def test_pushed_drain_right_after_an_outage_is_applied_within_the_grace_period(tmp_path: Path) -> None:
    loop = loop_with_two_backends(tmp_path, discovery="push")
    first = accept_watch(loop)
    first.send(chunk(json_line(loop.known)))
    loop.until(lambda: loop.core.lifecycle.accepts_clients)
    first.close(reset=True)
    silent = [
        loop.discovery.accept()
        for _ in range(10)
        if loop.until(lambda: loop.wait(20_000) or loop.discovery.has_pending)
    ]  # during the outage, calls are accepted but not answered
    assert len(silent) == 10
    returned_us = loop.now_us
    new = accept_watch(loop)
    new.send(chunk(json_line(change_document(loop, 0, "DRAINING", 9))))
    loop.until(lambda: is_draining(loop))
    assert loop.now_us - returned_us < loop.core.settings.drain_grace_us


@pytest.mark.parametrize("junk", [b"nonsense " * 40_000, b'{"revision":' + b" " * 400_000, b"\n" * 400_000])
def test_unread_invalid_or_endless_list_does_not_block_a_request(tmp_path: Path, junk: bytes) -> None:
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    first, unread, _client, attempts = connect_beside_an_unread_watch(loop)
    first.sock.setblocking(False)
    with suppress(BlockingIOError):
        first.sock.send(chunk(junk))
    first.sock.settimeout(10)
    wait_ready(unread)
    with fail_on_hang():
        loop.until(lambda: attempts[0].write_started_us)
    at_backend = backend.accept()
    loop.until(lambda: at_backend.read().endswith(b"\r\n"))
    assert loop.core.is_ready("box-0"), "listed backends stay"
