"""A pushed list that comes in pieces is taken, and a watch that falls silent or drips without end is called anew.

Guards against drains that are never noticed because each call is given up before its list is whole (review/10).
"""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from gradefront.net.objects import MAX_OBJECT_CHARACTERS

from .test_moments_list import (
    HEAD,
    accept_watch,
    change_document,
    chunk,
    is_draining,
    json_line,
    loop_with_two_backends,
)

PIECE_BYTES = 16
PIECE_INTERVAL_US = 20_000
LONGEST_CALL_US = 3_000_000
MEMBERS = b'{"id":"x"},' * 2_000
LARGEST_LIST = 3_200  # backends of the largest deployment


def test_a_pushed_list_in_pieces_is_taken_and_its_drain_too(tmp_path: Path) -> None:
    loop = loop_with_two_backends(tmp_path, discovery="push")
    agent = accept_watch(loop, b"")
    data = HEAD + chunk(json_line(loop.known, indent=4))
    began_us = loop.now_us
    for start in range(0, len(data), PIECE_BYTES):
        agent.send(data[start : start + PIECE_BYTES])
        loop.wait(PIECE_INTERVAL_US)
        assert not loop.discovery.has_pending, "the call was given up although its list kept coming"
    assert loop.now_us - began_us > loop.core.settings.drain_grace_us, "or the test shows nothing"
    loop.until(lambda: loop.core.lifecycle.accepts_clients)
    agent.send(chunk(json_line(change_document(loop, 0, "DRAINING", 9))))
    loop.until(lambda: is_draining(loop))


def test_a_call_that_falls_silent_within_its_list_is_made_anew_within_the_grace_period(tmp_path: Path) -> None:
    loop = loop_with_two_backends(tmp_path, discovery="push")
    agent = accept_watch(loop)
    for piece in (b'{"revision"', b":2,", b'"members":['):
        agent.send(chunk(piece))
        loop.wait(PIECE_INTERVAL_US)
    silent_since_us = loop.now_us
    loop.until(lambda: loop.wait(PIECE_INTERVAL_US) or loop.discovery.has_pending)
    assert loop.now_us - silent_since_us < loop.core.settings.drain_grace_us


def test_a_call_that_drips_without_end_is_made_anew(tmp_path: Path) -> None:
    """Guards against a peer that keeps a call open with single bytes, so that no list is ever taken."""
    loop = loop_with_two_backends(tmp_path, discovery="push")
    agent = accept_watch(loop)
    began_us = loop.now_us
    agent.send(chunk(b'{"revision":'))
    while not loop.discovery.has_pending and loop.now_us - began_us < 2 * LONGEST_CALL_US:
        agent.send(chunk(b"4"))
        loop.wait(PIECE_INTERVAL_US)
    assert loop.now_us - began_us <= LONGEST_CALL_US


@pytest.mark.parametrize("discovery", ["push", "ask"])
def test_a_list_whose_transfer_takes_longer_than_a_heartbeat_is_taken(tmp_path: Path, discovery: str) -> None:
    loop = loop_with_two_backends(tmp_path, discovery=discovery)
    agent = accept_watch(loop)
    for known, revision in ((loop.known, 8), (loop.known, 9)):  # the first document, and one on a standing watch
        data = chunk(json_line({**known, "complete": True, "revision": revision}, indent=100))
        assert len(data) * PIECE_INTERVAL_US / PIECE_BYTES > LONGEST_CALL_US, "or the test shows nothing"
        for start in range(0, len(data), PIECE_BYTES):
            agent.send(data[start : start + PIECE_BYTES])
            loop.wait(PIECE_INTERVAL_US)
            assert not loop.discovery.has_pending, "the call was given up although its list kept coming"
        loop.until(lambda revision=revision: loop.relay.endpoint_list.revision == revision)  # type: ignore[misc]


def test_the_largest_list_of_the_pages_is_taken_indented(tmp_path: Path) -> None:
    loop = loop_with_two_backends(tmp_path)
    agent = accept_watch(loop)
    first = loop.known["members"][0]
    members = [{**first, "id": f"backend-of-a-long-name-{n:04}"} for n in range(LARGEST_LIST)]
    data = json.dumps({"revision": 5, "complete": True, "members": members}, indent=8).encode()
    assert len(data) > 1 << 20, "over the former bound"
    agent.send(chunk(data))
    loop.until(lambda: len(loop.relay.endpoint_list.backends) == LARGEST_LIST)


def test_an_object_over_the_bound_ends_the_call_is_logged_and_counted(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    loop = loop_with_two_backends(tmp_path)
    agent = accept_watch(loop)
    agent.send(chunk(b'{"members":['))
    for _ in range(MAX_OBJECT_CHARACTERS // len(MEMBERS) + 1):
        agent.send(chunk(MEMBERS))
        loop.step(2)
    loop.until(lambda: loop.core.counters.counts["list_objects_too_long"])
    assert loop.core.counters.counts["list_objects_too_long"] == 1
    assert f"endpoint list: JSON object of more than {MAX_OBJECT_CHARACTERS} characters" in caplog.text
