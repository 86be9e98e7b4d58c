"""The member table: states, which of two records of a member overrides the other, and tombstones.

A record has one writer, the member itself; others may only add a suspicion or a death to it. Records are ordered by
incarnation, then by boot id, then by state: the same records in any order give the same table.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import IntEnum
from hashlib import blake2b

MAX_MEMBERS = 256  # a full table drops its oldest tombstone, and without one rejects newcomers
TOMBSTONE_LIFETIME_US = 60_000_000
# An unknown name must have spoken within this: guards against a dropped tombstone that comes back to life.
NEWCOMER_MAX_AGE_US = TOMBSTONE_LIFETIME_US // 2
NO_CONTACT_US = -(1 << 60)
DIGEST_BYTES = 7


class State(IntEnum):
    """A member's state; within an incarnation the higher one overrides."""

    JOINING = 0  # known from others or from the file only
    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4  # announced by the member itself


GONE = (State.DEAD, State.LEFT)


@dataclass(slots=True, frozen=True)
class Record:
    """What gossip says of one member.

    `address` is host:port. `boot_id` is drawn anew by each process. `superseded_boot_id` is that of the process whose
    name it took over, 0 for none. `age_us` is the time in microseconds since the member last spoke itself.
    """

    name: str
    address: str
    state: State
    incarnation: int
    boot_id: int
    superseded_boot_id: int = 0
    age_us: int = 0

    def overrides(self, other: Record) -> bool:
        """Whether this record replaces another one of the same name: a total order, whatever their order here."""
        return (self.incarnation, self.boot_id, self.state) > (other.incarnation, other.boot_id, other.state)


@dataclass(slots=True)
class Member:
    """A record, and what only this relay knows of the member. Times are microseconds on this relay's clock."""

    record: Record
    last_spoke_us: int  # to anyone, as far as gossip says
    state_changed_us: int
    last_contact_us: int = NO_CONTACT_US  # when it last spoke to this relay

    @property
    def gone(self) -> bool:
        """Whether it is dead or has left."""
        return self.record.state in GONE


class Table:
    """All that is known of the members except this relay itself, whose name is `own_name`."""

    def __init__(self, own_name: str) -> None:
        self.own_name = own_name
        self.members: dict[str, Member] = {}
        self._digest: tuple[Record, int] | None = None  # with the own record it was made for; None after a change
        self.rejected = 0  # records of newcomers that came too late or to a full table

    def merge(self, record: Record, now_us: int, direct: bool = False) -> Member | None:
        """Merges a record; `direct` where the member itself sent it. Returns the member if the record changed it."""
        member = self.members.get(record.name)
        if member is None:
            return self._add(record, now_us, direct)
        if record.state is not State.DEAD:
            member.last_spoke_us = max(member.last_spoke_us, now_us - record.age_us)
        if not record.overrides(member.record):
            return None
        if record.state is not member.record.state:
            member.state_changed_us = now_us
        member.record, self._digest = record, None
        return member

    def _add(self, record: Record, now_us: int, direct: bool) -> Member | None:
        if record.state in GONE:
            return None
        if record.age_us > NEWCOMER_MAX_AGE_US or not self._evict_if_full():
            self.rejected += 1
            return None
        if record.state is State.ALIVE and not direct:
            record = replace(record, state=State.JOINING)  # alive only once it has spoken to this relay
        self._digest = None
        member = self.members[record.name] = Member(record, now_us - record.age_us, now_us)
        return member

    def _evict_if_full(self) -> bool:
        """Drops the oldest tombstone of a full table. Returns whether a member can be added."""
        if len(self.members) < MAX_MEMBERS:
            return True
        gone = [m for m in self.members.values() if m.gone]
        if not gone:
            return False
        del self.members[min(gone, key=lambda m: (m.state_changed_us, m.record.name)).record.name]
        return True

    def forget(self, now_us: int, configured: frozenset[str]) -> None:
        """Drops expired tombstones, except those of `configured` names."""
        expired = [
            n for n, m in self.members.items() if m.gone and now_us - m.state_changed_us > TOMBSTONE_LIFETIME_US
        ]
        for name in expired:
            if name not in configured:
                del self.members[name]
                self._digest = None

    def present(self) -> list[Member]:
        """The members that are alive or suspect."""
        return [m for m in self.members.values() if m.record.state in (State.ALIVE, State.SUSPECT)]

    def digest(self, own: Record) -> int:
        """A number that two relays share if they know the same, suspicions apart. `own` is this relay's record."""
        if self._digest is None or self._digest[0] != own:
            lines = [
                (m.record.name, m.record.incarnation, m.record.boot_id, m.gone)
                for m in self.members.values()
                if m.record.boot_id
            ]
            lines.append((own.name, own.incarnation, own.boot_id, own.state in GONE))
            packed = blake2b(repr(sorted(lines)).encode(), digest_size=DIGEST_BYTES).digest()
            self._digest = own, int.from_bytes(packed, "big")
        return self._digest[1]
