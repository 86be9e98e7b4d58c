"""Slots of an upstream port that several paths share, under random steps: no path ever drops out of its slot.

All ids and datagrams are drawn by hypothesis, so that it can shrink and replay a failure.
"""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from gradefront.quic.headers import FIXED_BIT, LONG_HEADER_BIT
from gradefront.quic.paths import Path
from gradefront.quic.places import PortSlot

VERSION = b"\x00\x00\x00\x01"
IDS = st.sampled_from([b"", b"\x01" * 4, b"\x01" * 6, b"\x02" * 4, b"\x02" * 8, b"\x03" * 20])
PIECES = st.binary(max_size=12)


def path() -> Path:
    unused: Any = None
    return Path(("127.0.0.1", 1), "backend-1", ("127.0.0.1", 2), unused, unused, 0)


def long_header(client_id: bytes, rest: bytes = b"\x00rest") -> bytes:
    return bytes([LONG_HEADER_BIT | FIXED_BIT]) + VERSION + bytes([len(client_id)]) + client_id + rest


def short_header(client_id: bytes, rest: bytes = b"rest") -> bytes:
    return bytes([FIXED_BIT]) + client_id + rest


class SharedPlace(RuleBasedStateMachine):
    """Paths with known and unknown ids are added, send, are answered, become known and are removed."""

    def __init__(self) -> None:
        super().__init__()
        self.entered: list[Path] = []
        self.slot = PortSlot(path())

    @precondition(lambda self: not self.entered)
    @rule(first_id=IDS, second_id=IDS)
    def two_paths_share(self, first_id: bytes, second_id: bytes) -> None:
        self.entered = [path()]
        self.slot = PortSlot(self.entered[0])
        self.come_with(second_id, first_id)

    def come_with(self, client_id: bytes, present_id: bytes) -> None:
        if self.slot.accepts(client_id, present_id):
            self.entered.append(path())
            self.slot.add(self.entered[-1], client_id, present_id)

    def is_shared(self) -> bool:
        return bool(self.entered) and self.slot.by_client_id is not None

    @precondition(is_shared)
    @rule(client_id=IDS)
    def come(self, client_id: bytes) -> None:
        self.come_with(client_id, b"")

    @precondition(lambda self: self.entered)
    @rule(which=st.integers(0, 9))
    def speak(self, which: int) -> None:
        self.entered[which % len(self.entered)].sent += 1

    @precondition(is_shared)
    @rule(client_id=IDS, rest=PIECES, is_long=st.booleans(), kept=st.integers(1, 40))
    def answer(self, client_id: bytes, rest: bytes, is_long: bool, kept: int) -> None:
        datagram = (long_header if is_long else short_header)(client_id, rest)[:kept]
        self.check_receivers(datagram)

    @precondition(is_shared)
    @rule(datagram=st.binary(min_size=1, max_size=30))
    def noise(self, datagram: bytes) -> None:
        self.check_receivers(datagram)

    def check_receivers(self, datagram: bytes) -> None:
        receivers = self.slot.find_receivers(datagram)
        assert set(receivers) <= set(self.entered), "a receiver was removed from the slot"
        assert receivers or not self.entered, "an answer has no receiver"

    @precondition(lambda self: self.entered)
    @rule(which=st.integers(0, 9), client_id=IDS)
    def become_known(self, which: int, client_id: bytes) -> None:
        self.slot.identify(self.entered[which % len(self.entered)], client_id)

    @precondition(lambda self: self.entered)
    @rule(which=st.integers(0, 9))
    def go(self, which: int) -> None:
        left = self.entered.pop(which % len(self.entered))
        assert self.slot.remove(left) == (not self.entered)

    @invariant()
    def each_path_is_in_the_place(self) -> None:
        if self.entered:
            assert sorted(map(id, self.slot.paths())) == sorted(map(id, self.entered))


TestSharedPlace = SharedPlace.TestCase
TestSharedPlace.settings = settings(max_examples=300, stateful_step_count=30, derandomize=True, deadline=None)


def slot_shared_with(known_id: bytes) -> tuple[PortSlot, Path, Path]:
    """Return a slot with two paths: the id of one is known and has appeared in an answer, the other's is unknown."""
    identified, unidentified = path(), path()
    slot = PortSlot(identified)
    slot.add(unidentified, b"", known_id)
    assert slot.find_receivers(long_header(known_id)) == [identified]
    return slot, identified, unidentified


@pytest.mark.parametrize(
    "datagram",
    [
        short_header(b"\x09" * 8),  # an id of unknown length
        long_header(b""),
        long_header(b"\x09" * 8)[:9],  # cut off within the id
        long_header(b"\x01" * 8)[:10],  # cut off where it looks like a shorter, known id
        long_header(b"\x09" * 8)[:6],
        bytes([LONG_HEADER_BIT]),
    ],
)
def test_a_datagram_without_a_readable_id_keeps_the_unsettled_path_in_its_place(datagram: bytes) -> None:
    """Guards against later answers that reach no client, or the wrong one, after such a datagram."""
    slot, identified, unidentified = slot_shared_with(b"\x01" * 4)
    assert slot.find_receivers(datagram) == [unidentified]
    assert slot.unidentified is unidentified and slot.by_client_id == {b"\x01" * 4: identified}
    assert slot.find_receivers(short_header(b"\x08" * 8)) == [unidentified], "later answers still reach the path"


def test_a_whole_id_in_a_long_header_settles_the_unsettled_path() -> None:
    slot, _, unidentified = slot_shared_with(b"\x01" * 4)
    assert slot.find_receivers(long_header(b"\x09" * 8)) == [unidentified]
    assert slot.unidentified is None and slot.find_receivers(short_header(b"\x09" * 8)) == [unidentified]


def test_the_longest_matching_id_identifies_the_path_of_a_short_header() -> None:
    """Guards against a match that depends on the order of a set: one client's id may be a prefix of another's."""
    shorter, longer = path(), path()
    slot = PortSlot(shorter)
    slot.add(longer, b"\x01" * 6, b"\x01" * 4)
    assert slot.find_receivers(short_header(b"\x01" * 6)) == [longer]
    assert slot.find_receivers(short_header(b"\x01" * 4 + b"\x02" * 4)) == [shorter]
