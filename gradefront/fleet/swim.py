"""Membership: SWIM's probing and gossip, with Lifeguard's local health, as a state machine without I/O.

The owner calls `tick` TICKS_PER_PERIOD times per protocol period and `receive` for each message, and sends the
messages that both return. Times are microseconds on the owner's monotonic clock; the clocks of two relays are never
compared.

Two points go beyond the published protocols. A relay that hears from fewer than half of the members that it should
hear from assumes that it is isolated itself: its suspicions time out later, so that a single relay that is cut off
does not immediately declare the other members dead. And two processes that hold the same name detect each other: a
record carries the boot id of the process from which its sender took over the name, so a running process that reads
its own boot id there knows that the other process runs too.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, replace
from random import Random

from .members import Member, Record, State, Table
from .wire import ACK, NACK, PING, PING_REQ, TABLE, GossipRecord, Message, from_gossip, piggyback, to_gossip

TICKS_PER_PERIOD = 4
DIRECT_TIMEOUT_PERIODS = 0.75  # from the ping until helpers get a ping-req
HELPER_TIMEOUT_PERIODS = 0.4  # from a helper's ping until its nack, which must arrive before the probe times out
PROBE_TIMEOUT_PERIODS = 2.0  # from the ping until the target is suspected
SUSPICION_TIMEOUT_PERIODS = 7.0  # until a suspected member is declared dead; must outlast a one-second pause
ISOLATION_FACTOR = 3.0  # multiplies the suspicion timeout while this relay seems to be isolated
PING_REQ_HELPERS = 3
MAX_LOCAL_HEALTH = 8  # each point of local health extends this relay's probe timeouts by their basic length
CONTACT_WINDOW_PERIODS = 8.0  # a member that spoke to this relay within this time counts as heard
RETRANSMIT_FACTOR = 3.0  # a record is gossiped this many times log2 of the number of members
DEAD_PING_INTERVAL_PERIODS = 4  # between pings of a dead member, which let both sides notice the end of a partition
TABLE_SYNC_INTERVAL_PERIODS = 4.0  # shortest time between two transfers of the whole table, to any members
PAUSE_DETECTION_PERIODS = 3.0  # a longer time between two ticks means that this relay itself was paused


@dataclass(slots=True)
class Probe:
    """A ping that has not been acked yet. `sent_us` is on this relay's clock."""

    target: str
    sent_us: int
    helpers: int = 0  # members that got a ping-req; 1 if there was no member to send one to
    nacks: int = 0
    requested_by: tuple[str, int] | None = None  # sender and probe number of the ping-req that caused this ping


class Swim:
    """One relay's view of the other members.

    `own` is this relay's first record, `peers` holds the addresses of configured members by name, `period_us` is the
    protocol period in microseconds.
    """

    def __init__(self, own: Record, peers: dict[str, str], period_us: int, random: Random, now_us: int) -> None:
        self.own = own
        self.period_us = period_us
        self.random = random
        self.table = Table(own.name)
        self.configured = frozenset(peers)
        for name, address in sorted(peers.items()):
            self.table.members[name] = Member(Record(name, address, State.JOINING, 0, 0), now_us, now_us)
        self.counts: Counter[str] = Counter()
        self.state_changes: list[tuple[str, State, State]] = []  # name, before, after; cleared by the owner
        self.yielded = False  # this process has given up its name to another process that holds it too
        self.local_health = 0  # Lifeguard's score; 0: no sign that this relay itself is slow or cut off
        self.last_number = 0
        self.probes: dict[int, Probe] = {}
        self.probe_order: list[str] = []
        self.gossip_counts: dict[str, int] = {}  # how often each record that is due for gossip has been sent
        self.periods = 0
        self.next_probe_us = self.last_tick_us = now_us
        self.last_table_sync_us = 0

    # ---- interface to the owner

    def tick(self, now_us: int) -> list[Message]:
        """Apply timeouts and return the messages that are due."""
        if self.yielded:
            return []
        gap_us, self.last_tick_us = now_us - self.last_tick_us, now_us
        if gap_us > PAUSE_DETECTION_PERIODS * self.period_us:
            self._compensate_pause(gap_us)
        out = self._check_probes(now_us)
        self._expire_suspicions(now_us)
        if now_us >= self.next_probe_us and self.own.state is not State.LEFT:
            self.next_probe_us = max(self.next_probe_us + self.period_us, now_us + self.period_us // 2)
            self.periods += 1
            self.table.drop_expired_tombstones(now_us, self.configured)
            out += self._probe_next(now_us)
        return out

    def receive(self, message: Message, now_us: int) -> list[Message]:
        """Merge a message's records and return the messages to send in response."""
        if self.yielded or message.sender == self.own.name:
            self.counts["own_name"] += not self.yielded
            return []
        for record in message.records:
            direct = record.name == message.sender and record.boot_id == message.boot_id
            self._merge(from_gossip(record), now_us, direct)
        member = self.table.members.get(message.sender)
        if self.yielded or member is None:  # this process gave up its name, or the table is full
            return []
        if member.record.boot_id not in (0, message.boot_id):
            # Sent by a restarted process, by a second process of that name, or late by a dead process: the sender
            # gets the record that this relay holds for its name.
            self.counts["strangers"] += 1
            records = self._gossip(message.sender, now_us, include_receiver=True)
            return [self._message(ACK, message.sender, records, message.number)]
        member.last_contact_us = member.last_spoke_us = now_us
        out = self._handle(message, now_us)
        if message.kind in (PING, ACK) and message.digest != self.table.digest(self.own):
            out += self._table_sync(message.sender, now_us)
        return out

    def leave(self, now_us: int) -> list[Message]:
        """Mark this relay as leaving and return the messages that announce it to all alive or suspect members."""
        self.own = replace(self.own, state=State.LEFT)
        return [self._gossip_message(TABLE, m.record.name, now_us) for m in self.table.present()]

    @property
    def is_isolated(self) -> bool:
        """Whether this relay hears from fewer than half of the members that it should hear from.

        The expected number assumes two contacts per period with random members: with the member that this relay
        probes, and with the member that probes this relay.
        """
        present = self.table.present()
        expected = len(present) * (1 - math.exp(-2 * CONTACT_WINDOW_PERIODS / max(1, len(present))))
        window_us = CONTACT_WINDOW_PERIODS * self.period_us
        return 2 * sum(self.last_tick_us - m.last_contact_us < window_us for m in present) < expected

    # ---- probing

    def _compensate_pause(self, gap_us: int) -> None:
        """Drop probes and extend suspicions, so that other members aren't blamed for a pause of this relay itself."""
        self.counts["held_up"] += 1
        self.probes.clear()
        for member in self.table.members.values():
            if member.record.state is State.SUSPECT:
                member.state_changed_us += gap_us

    def _probe_next(self, now_us: int) -> list[Message]:
        out = []
        while self.probe_order:
            member = self.table.members.get(self.probe_order.pop())
            if member and not member.gone:
                ping = self._gossip_message(PING, member.record.name, now_us)
                self.probes[ping.number] = Probe(member.record.name, now_us)
                out.append(ping)
                break
        if not self.probe_order:
            self.probe_order = sorted(n for n, m in self.table.members.items() if not m.gone)
            self.random.shuffle(self.probe_order)
            # Joining members are probed first, so that a newcomer does not wait until all others have been probed.
            self.probe_order.sort(key=lambda n: self.table.members[n].record.state is State.JOINING)
        dead = [m for m in self.table.members.values() if m.record.state is State.DEAD]
        if dead and self.periods % DEAD_PING_INTERVAL_PERIODS == 0:
            # Not recorded as a probe: it is no news that a dead member does not answer.
            out.append(self._gossip_message(PING, self.random.choice(dead).record.name, now_us))
        return out

    def _check_probes(self, now_us: int) -> list[Message]:
        """Apply the probes' timeouts: return due ping-reqs and nacks, and suspect targets that did not answer."""
        out: list[Message] = []
        timeout_unit_us = self.period_us * (1 + self.local_health)
        for number, probe in list(self.probes.items()):
            waited_us = now_us - probe.sent_us
            if probe.requested_by:
                if waited_us > HELPER_TIMEOUT_PERIODS * self.period_us:
                    del self.probes[number]
                    prober, probe_number = probe.requested_by
                    out.append(self._gossip_message(NACK, prober, now_us, probe_number, probe.target))
            elif waited_us > PROBE_TIMEOUT_PERIODS * timeout_unit_us:
                del self.probes[number]
                self._probe_failed(probe, now_us)
            elif waited_us > DIRECT_TIMEOUT_PERIODS * timeout_unit_us and not probe.helpers:
                others = [m.record.name for m in self.table.present() if m.record.name != probe.target]
                helpers = self.random.sample(others, min(PING_REQ_HELPERS, len(others)))
                probe.helpers = max(1, len(helpers))
                out += [self._gossip_message(PING_REQ, name, now_us, number, probe.target) for name in helpers]
        return out

    def _probe_failed(self, probe: Probe, now_us: int) -> None:
        """Suspect the target. Missing nacks of helpers count against this relay's own local health."""
        self.counts["missed"] += 1
        member = self.table.members.get(probe.target)
        if member and member.last_spoke_us > probe.sent_us:
            return  # it spoke after the ping: a refuted suspicion must not be raised again on older evidence
        if probe.nacks < probe.helpers:
            self.local_health = min(MAX_LOCAL_HEALTH, self.local_health + 1)
        if member and member.record.state is State.ALIVE:
            self._declare(member, State.SUSPECT, now_us)

    def _handle(self, message: Message, now_us: int) -> list[Message]:
        """Return the ack of a ping, the ping that a ping-req asks for, or the ack that a helper relays."""
        if message.kind == PING:
            return [self._gossip_message(ACK, message.sender, now_us, message.number)]
        if message.kind == PING_REQ and message.target in self.table.members:
            ping = self._gossip_message(PING, message.target, now_us)
            requested_by = message.sender, message.probe_number
            self.probes[ping.number] = Probe(message.target, now_us, requested_by=requested_by)
            return [ping]
        if message.kind == ACK:
            return self._handle_ack(message, now_us)
        if message.kind == NACK and message.probe_number in self.probes:
            self.probes[message.probe_number].nacks += 1
        return []

    def _handle_ack(self, message: Message, now_us: int) -> list[Message]:
        probe = self.probes.get(message.probe_number)
        if probe is None or probe.target not in (message.sender, message.target):
            return []
        del self.probes[message.probe_number]
        if probe.requested_by:
            prober, probe_number = probe.requested_by
            return [self._gossip_message(ACK, prober, now_us, probe_number, probe.target)]
        self.local_health = max(0, self.local_health - 1)
        return []

    # ---- merging records and changing states

    def _merge(self, record: Record, now_us: int, direct: bool = False) -> None:
        if record.name == self.own.name:
            self._merge_about_self(record)
            return
        known = self.table.members.get(record.name)
        before = known.record.state if known else State.JOINING
        member = self.table.merge(record, now_us, direct)
        if member is None:
            return
        self.gossip_counts[record.name] = 0
        if member.record.state is not before:
            self.state_changes.append((record.name, before, member.record.state))

    def _merge_about_self(self, record: Record) -> None:
        """Handle a record with this relay's name.

        A suspicion or death of this process is refuted by a higher incarnation. If the record is of another process,
        this process takes over the name by a higher incarnation; if both run, the one with the lower boot id yields.
        """
        if record.boot_id == self.own.boot_id:
            if record.incarnation >= self.own.incarnation and record.state > self.own.state:
                self.counts["refuted"] += 1
                self.local_health = min(MAX_LOCAL_HEALTH, self.local_health + 1)
                self.own = replace(self.own, incarnation=record.incarnation + 1)
        elif record.incarnation >= self.own.incarnation:
            if record.superseded_boot_id == self.own.boot_id:  # it has seen this process's record: both run
                self.counts["name_held_twice"] += 1
                if self.own.boot_id < record.boot_id:
                    self.yielded = True
                    return
            self.counts["name_taken_over"] += 1
            self.own = replace(self.own, incarnation=record.incarnation + 1, superseded_boot_id=record.boot_id)

    def _expire_suspicions(self, now_us: int) -> None:
        """Declare the members dead that did not refute a suspicion in time."""
        timeout_us = SUSPICION_TIMEOUT_PERIODS * self.period_us * (ISOLATION_FACTOR if self.is_isolated else 1.0)
        for member in list(self.table.members.values()):
            if member.record.state is State.SUSPECT and now_us - member.state_changed_us > timeout_us:
                self._declare(member, State.DEAD, now_us)

    def _declare(self, member: Member, state: State, now_us: int) -> None:
        self._merge(replace(member.record, state=state, age_us=now_us - member.last_spoke_us), now_us)

    # ---- messages

    def _message(
        self, kind: str, to: str, records: tuple[GossipRecord, ...], probe_number: int = 0, target: str = ""
    ) -> Message:
        self.last_number += 1
        return Message(
            sender=self.own.name,
            to=to,
            boot_id=self.own.boot_id,
            number=self.last_number,
            kind=kind,
            probe_number=probe_number,
            target=target,
            digest=self.table.digest(self.own),
            records=records,
        )

    def _gossip_message(self, kind: str, to: str, now_us: int, probe_number: int = 0, target: str = "") -> Message:
        """Return a message with the gossip that is due piggybacked on it."""
        return self._message(kind, to, self._gossip(to, now_us), probe_number, target)

    def _to_gossip(self, member: Member, now_us: int) -> GossipRecord:
        return to_gossip(member.record, now_us - member.last_spoke_us)

    def _gossip(self, to: str, now_us: int, include_receiver: bool = False) -> tuple[GossipRecord, ...]:
        """Return the records to piggyback: this relay's own one, then those that were gossiped least often.

        The receiver's record precedes the latter if it is suspect, dead or left, so that the receiver can refute it,
        or if `include_receiver` is set.
        """
        members, limit = self.table.members, RETRANSMIT_FACTOR * math.log2(len(self.table.members) + 2)
        self.gossip_counts = {n: k for n, k in self.gossip_counts.items() if k < limit and n in members}
        names = sorted(self.gossip_counts, key=lambda n: (self.gossip_counts[n], n))
        receiver = members.get(to)
        accused = receiver is not None and (receiver.gone or receiver.record.state is State.SUSPECT)
        if receiver and receiver.record.boot_id and (include_receiver or accused):
            names = [to, *(n for n in names if n != to)]
        records = piggyback([to_gossip(self.own, 0), *(self._to_gossip(members[n], now_us) for n in names)])
        for record in records[1:]:
            self.gossip_counts[record.name] = self.gossip_counts.get(record.name, 0) + 1
        return records

    def _table_sync(self, to: str, now_us: int) -> list[Message]:
        """Return the whole table, in as many messages as needed.

        This is limited in rate, because most digests differ while a change spreads.
        """
        if now_us - self.last_table_sync_us < TABLE_SYNC_INTERVAL_PERIODS * self.period_us:
            return []
        self.last_table_sync_us = now_us
        self.counts["tables"] += 1
        remaining = [self._to_gossip(m, now_us) for m in self.table.members.values() if m.record.boot_id]
        out = []
        while remaining:
            records = piggyback([to_gossip(self.own, 0), *remaining])
            remaining = remaining[len(records) - 1 :]
            out.append(self._message(TABLE, to, records))
        return out
