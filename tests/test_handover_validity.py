"""Tests that the snapshot of any established connection is valid for the process that adopts it."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path

import pytest

from gradefront.state.form import SnapshotError, decode_snapshot, encode_snapshot
from gradefront.state.handover_receiver import HandoverReceiver

from .loop import Backend, Loop
from .test_handover_end import Sender
from .test_upgrade import SNAPSHOT

NOW_US = 1_800_000_000_000_000
LINE_WITHOUT_LF = b"x" * 4096 + b"\r"  # the longest line, and half of its delimiter


@pytest.mark.parametrize("silent_us", [0, 59_000_000, 61_000_000, 119_000_000, 3_600_000_000])
def test_a_connection_is_adopted_however_long_its_client_was_silent(silent_us: int, tmp_path: Path) -> None:
    """Guards against cutting off clients that were silent for over a minute when the process is replaced."""
    loop = Loop(tmp_path, [Backend()])
    receiver = HandoverReceiver(loop.core, loop.relay.client_factory, loop.reactor, tmp_path)
    receiver.open()
    sender = Sender(tmp_path, loop.now_us - silent_us)
    sender.snapshot = replace(sender.snapshot, awaiting_reply_us=(loop.now_us - silent_us,))
    client = sender.send()
    loop.until(lambda: loop.core.counters.counts["taken_over"] + loop.core.counters.counts["taken_over_badly"])
    assert loop.core.counters.counts["taken_over"] == 1
    loop.until(client.read)
    assert client.received == b"MOVE\r\n", "its class has other rules in this process"
    receiver.close()


@pytest.mark.parametrize("time_us", [-1, NOW_US + 61_000_000, 1.5, "5", None, True])
@pytest.mark.parametrize("field", ["heard_us", "asked_us"])
def test_a_time_that_no_clock_can_have_read_is_rejected(field: str, time_us: object) -> None:
    stored = json.loads(encode_snapshot(replace(SNAPSHOT, last_received_us=NOW_US, awaiting_reply_us=())))
    stored[field] = [time_us] if field == "asked_us" else time_us
    with pytest.raises(SnapshotError) as error:
        decode_snapshot(json.dumps(stored).encode(), NOW_US)
    assert error.value.field == field


def test_the_longest_partial_line_is_valid() -> None:
    """Guards against cutting off a client whose longest line had arrived up to the last byte of its delimiter."""
    snapshot = replace(SNAPSHOT, partial_client_line=LINE_WITHOUT_LF, partial_backend_line=LINE_WITHOUT_LF)
    assert decode_snapshot(encode_snapshot(snapshot), 2_000_000) == snapshot
    with pytest.raises(SnapshotError):
        decode_snapshot(encode_snapshot(replace(snapshot, partial_client_line=LINE_WITHOUT_LF + b"x")), 2_000_000)


@pytest.mark.parametrize("load", [b"nan", b"inf", b"-inf", b"-1", b"1e999"])
def test_a_load_that_is_no_finite_amount_is_not_recorded(load: bytes, tmp_path: Path) -> None:
    """Guards against cutting off a connection whose backend has reported a load that no snapshot may contain."""
    backend = Backend()
    loop = Loop(tmp_path, [backend])
    client, at_backend = loop.establish(backend)
    (connection,) = loop.core.connections.values()
    at_backend.send_line("LOAD 12.5")
    at_backend.send(b"LOAD " + load + b"\r\n")
    at_backend.send_line("after")
    loop.until(lambda: client.read().endswith(b"after\r\n"))
    assert connection.attempt and connection.attempt.connection_load == 12.5
    assert loop.core.counters.counts["bad_answers"] == 1
