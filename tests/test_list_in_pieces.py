"""A pushed list that comes in pieces is taken, and a watch that falls silent or drips without end is called anew.

Guards against drains that are never noticed because each call is given up before its list is whole (review/10).
"""

from __future__ import annotations

from pathlib import Path

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
