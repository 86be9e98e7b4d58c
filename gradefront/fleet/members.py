"""The member table: member states, precedence among records of one member, and tombstones.

A tombstone is the record of a dead or departed member, kept so that older gossip does not bring the member back.
A record has one writer, the member itself; other relays may only add a suspicion or a death to it. Records are
ordered by incarnation, then by boot id, then by state, so the same records received in any order give the same table.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import IntEnum
from hashlib import blake2b

MAX_MEMBERS = 256  # a full table evicts its oldest tombstone; if it has none, it rejects new members
TOMBSTONE_LIFETIME_US = 60_000_000
# A record of an unknown member that last spoke longer ago is rejected: after a tombstone is dropped, old gossip must
# not bring the dead member back.
NEWCOMER_MAX_AGE_US = TOMBSTONE_LIFETIME_US // 2
NO_CONTACT_US = -(1 << 60)  # time of the last contact with a member that never spoke to this relay
DIGEST_BYTES = 7


class State(IntEnum):
    """A member's state; within one incarnation and boot id the higher state overrides the lower."""

    JOINING = 0  # known only from other relays' gossip or from deploy/fleet.json
    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4  # announced by the member itself


GONE = (State.DEAD, State.LEFT)


@dataclass(slots=True, frozen=True)
class Record:
    """A member's state as spread by gossip.

    `address` is host:port. Each process draws a random `boot_id`. `superseded_boot_id` is the boot id of the process
    from which this process took over the name, 0 if there is none. `age_us` is the time in microseconds since the
    member itself last spoke to any relay.
    """

    name: str
    address: str
    state: State
    incarnation: int
    boot_id: int
    superseded_boot_id: int = 0
    age_us: int = 0

    def overrides(self, other: Record) -> bool:
        """Return whether this record replaces `other`, a record of the same name; this is a total order."""
        return (self.incarnation, self.boot_id, self.state) > (other.incarnation, other.boot_id, other.state)


@dataclass(slots=True)
class Member:
    """A member's record and this relay's own observations of it. Times are microseconds on this relay's clock."""

    record: Record
    last_spoke_us: int  # when the member last spoke to any relay, according to gossip
    state_changed_us: int
    last_contact_us: int = NO_CONTACT_US  # when the member last spoke to this relay

    @property
    def gone(self) -> bool:
        """Whether the member is dead or has left."""
        return self.record.state in GONE


class Table:
    """All known members except this relay itself, whose name is `own_name`."""

    def __init__(self, own_name: str) -> None:
        self.own_name = own_name
        self.members: dict[str, Member] = {}
        self._digest: tuple[Record, int] | None = None  # cached, with the own record in it; None after a change
        self.rejected = 0  # records of unknown members that were too old, or did not fit into the full table

    def merge(self, record: Record, now_us: int, direct: bool = False) -> Member | None:
        """Merge a record and return its member if the record changed or added it, else None.

        `direct` means that the member itself sent the record.
        """
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
            record = replace(record, state=State.JOINING)  # alive only after it has spoken to this relay
        self._digest = None
        member = self.members[record.name] = Member(record, now_us - record.age_us, now_us)
        return member

    def _evict_if_full(self) -> bool:
        """Evict the oldest tombstone of a full table. Return whether a member can be added."""
        if len(self.members) < MAX_MEMBERS:
            return True
        gone = [m for m in self.members.values() if m.gone]
        if not gone:
            return False
        del self.members[min(gone, key=lambda m: (m.state_changed_us, m.record.name)).record.name]
        return True

    def drop_expired_tombstones(self, now_us: int, configured: frozenset[str]) -> None:
        """Drop expired tombstones, except those of the names in `configured`."""
        expired = [
            n for n, m in self.members.items() if m.gone and now_us - m.state_changed_us > TOMBSTONE_LIFETIME_US
        ]
        for name in expired:
            if name not in configured:
                del self.members[name]
                self._digest = None

    def present(self) -> list[Member]:
        """Return the members that are alive or suspect."""
        return [m for m in self.members.values() if m.record.state in (State.ALIVE, State.SUSPECT)]

    def digest(self, own: Record) -> int:
        """Return a hash that is equal on two relays whose knowledge agrees, suspicions apart.

        `own` is this relay's own record, which the table does not hold.
        """
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
