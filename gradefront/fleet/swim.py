"""Who is there: SWIM's probing and gossip, with Lifeguard's self-doubt, as a state machine without I/O.

The owner calls `tick` TICKS times a pace, `heard` for each message, and sends what both return. Times are
microseconds on a monotonic clock of the owner; nothing here compares clocks of two relays.

Two points beyond the published forms. A relay that hears from fewer than half of those that it should hear from
doubts itself first: its suspicions ripen at a third of the pace, so that one cut-off relay calls nobody dead at once.
And a name that two processes hold is proven, not guessed: a record says which boot it took its name over from, so
that whoever reads its own boot there, while it runs, knows that the other runs too.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace
from random import Random

from .members import Member, Record, State, Table
from .wire import Message, Told, fill, heard, told

DIRECT = 0.75  # paces: until a probe's answer is missed and others are asked to try
HELP = 0.4  # paces: a helper's timeout; its word must be back before the prober's is over
INDIRECT = 2.0  # paces: until the target is suspected, from the probe on
SUSPECT = 7.0  # paces: until a suspected member is dead; a pause of a second must be over by then
DOUBT = 3.0  # times as long, where this relay itself seems to be cut off
HELPERS = 3  # asked to try a target that did not answer
MOST_HEALTH = 8  # steps of self-doubt, each makes this relay's timeout a pace's share longer
HEARD = 8.0  # paces: whoever spoke to this relay within that is heard
SENT = 3.0  # times log2 of the members: how often a record is passed on
TICKS = 4  # a pace: how often the owner calls `tick`
GONE_EVERY = 4  # paces: one of the gone is tried, so that a healed split is found by both sides
TABLE_EVERY = 4.0  # paces between two whole tables, to all others together
HELD_UP = 3.0  # paces without a tick: this relay was paused, and what it waited for says nothing of others


@dataclass(slots=True)
class Probe:
    """A question that is out."""

    target: str
    sent_us: int
    helpers: int = 0  # asked
    nacks: int = 0
    for_whom: tuple[str, int] | None = None  # asked on another's behalf: its name and question


class Swim:
    """One relay's view of the others."""

    def __init__(self, own: Record, peers: dict[str, str], pace_us: int, random: Random, now_us: int) -> None:
        self.me = own
        self.pace_us = pace_us
        self.random = random
        self.table = Table(own.name)
        self.kept = frozenset(peers)
        for name, where in sorted(peers.items()):
            self.table.members[name] = Member(Record(name, where, State.JOINING, 0, 0), now_us, now_us)
        self.counts: Counter[str] = Counter()
        self.news: list[tuple[str, State, State]] = []  # name, state before, state now; the owner takes them out
        self.yielded = False  # another process holds this name, and goes on with it
        self.health = 0  # 0: nothing speaks against this relay itself
        self.number = 0
        self.probes: dict[int, Probe] = {}
        self.order: list[str] = []
        self.sent: dict[str, int] = {}  # records to pass on, and how often they were
        self.paces = 0
        self.next_us = self.ticked_us = now_us
        self.table_us = 0

    # ---- what the owner calls

    def tick(self, now_us: int) -> list[Message]:
        """What is due."""
        if self.yielded:
            return []
        gap, self.ticked_us = now_us - self.ticked_us, now_us
        if gap > HELD_UP * self.pace_us:
            self.counts["held_up"] += 1
            self.probes.clear()  # guards against blaming others for what this relay slept through
            for member in self.table.members.values():
                if member.record.state is State.SUSPECT:
                    member.changed_us += gap
        out = self._overdue(now_us)
        self._ripen(now_us)
        if now_us >= self.next_us and self.me.state is not State.LEFT:
            self.next_us = max(self.next_us + self.pace_us, now_us + self.pace_us // 2)
            self.paces += 1
            self.table.forget(now_us, self.kept)
            out += self._probe_next(now_us)
        return out

    def heard(self, message: Message, now_us: int) -> list[Message]:
        """What a message makes due."""
        if self.yielded or message.sender == self.me.name:
            self.counts["own_name"] += not self.yielded
            return []
        for one in message.records:
            self._merge(heard(one), now_us, one.name == message.sender and one.boot == message.boot)
        member = self.table.members.get(message.sender)
        if self.yielded or member is None:
            return []  # there is no room for it
        if member.record.boot not in (0, message.boot):
            # A process that has lost its past, a second one of that name, or a dead one's late word: whoever holds
            # the name now is told what is held of it.
            self.counts["strangers"] += 1
            return [self._make("ack", message.sender, now_us, ask=message.number, against=True)]
        member.heard_us = member.spoke_us = now_us
        out: list[Message] = []
        if message.kind == "ping":
            out.append(self._make("ack", message.sender, now_us, ask=message.number))
        elif message.kind == "ask" and message.about in self.table.members:
            ping = self._make("ping", message.about, now_us)
            self.probes[ping.number] = Probe(message.about, now_us, for_whom=(message.sender, message.ask))
            out.append(ping)
        elif message.kind == "ack":
            out += self._answered(message, now_us)
        elif message.kind == "nack" and message.ask in self.probes:
            self.probes[message.ask].nacks += 1
        if message.kind in ("ping", "ack") and message.digest != self.table.digest(self.me):
            out += self._tables(message.sender, now_us)
        return out

    def leave(self, now_us: int) -> list[Message]:
        """A planned end, told to all that are present."""
        self.me = replace(self.me, state=State.LEFT)
        return [self._make("table", m.record.name, now_us) for m in self.table.present()]

    @property
    def doubts(self) -> bool:
        """Whether this relay hears from fewer than half of the members that it should hear from, by their number: two
        a pace, its target and whoever has it for one, at random."""
        present = self.table.present()
        expected = len(present) * (1 - math.exp(-2 * HEARD / max(1, len(present))))
        return 2 * sum(self.ticked_us - m.heard_us < HEARD * self.pace_us for m in present) < expected

    # ---- probing

    def _probe_next(self, now_us: int) -> list[Message]:
        out = []
        while self.order:
            member = self.table.members.get(self.order.pop())
            if member and not member.gone:
                out.append(self._ping(member, now_us))
                break
        if not self.order:
            self.order = sorted(n for n, m in self.table.members.items() if not m.gone)
            self.random.shuffle(self.order)
            # Guards against a newcomer that waits for a whole round: who has never been heard comes first.
            self.order.sort(key=lambda n: self.table.members[n].record.state is State.JOINING)
        gone = [m for m in self.table.members.values() if m.record.state is State.DEAD]
        if gone and self.paces % GONE_EVERY == 0:
            member = self.random.choice(gone)
            out.append(self._make("ping", member.record.name, now_us))  # no answer says nothing new
        return out

    def _ping(self, member: Member, now_us: int) -> Message:
        ping = self._make("ping", member.record.name, now_us)
        self.probes[ping.number] = Probe(member.record.name, now_us)
        return ping

    def _overdue(self, now_us: int) -> list[Message]:
        out: list[Message] = []
        stretch = self.pace_us * (1 + self.health)
        for number, probe in list(self.probes.items()):
            waited = now_us - probe.sent_us
            if probe.for_whom:
                if waited > HELP * self.pace_us:
                    del self.probes[number]
                    prober, ask = probe.for_whom
                    out.append(self._make("nack", prober, now_us, ask=ask, about=probe.target))
            elif waited > INDIRECT * stretch:
                del self.probes[number]
                self._missed(probe, now_us)
            elif waited > DIRECT * stretch and not probe.helpers:
                others = [m.record.name for m in self.table.present() if m.record.name != probe.target]
                helpers = self.random.sample(others, min(HELPERS, len(others)))
                probe.helpers = max(1, len(helpers))
                out += [self._make("ask", name, now_us, ask=number, about=probe.target) for name in helpers]
        return out

    def _missed(self, probe: Probe, now_us: int) -> None:
        """Nobody reached the target. Helpers that did not even say so speak against this relay."""
        self.counts["missed"] += 1
        member = self.table.members.get(probe.target)
        if member and member.spoke_us > probe.sent_us:
            return  # guards against an answered suspicion that is raised again on what came before the answer
        if probe.nacks < probe.helpers:
            self.health = min(MOST_HEALTH, self.health + 1)
        if member and member.record.state is State.ALIVE:
            self._merge(replace(member.record, state=State.SUSPECT, age_us=now_us - member.spoke_us), now_us)

    def _answered(self, message: Message, now_us: int) -> list[Message]:
        probe = self.probes.get(message.ask)
        if probe is None or probe.target not in (message.sender, message.about):
            return []
        del self.probes[message.ask]
        if probe.for_whom:
            prober, ask = probe.for_whom
            return [self._make("ack", prober, now_us, ask=ask, about=probe.target)]
        self.health = max(0, self.health - 1)
        return []

    # ---- what is known

    def _merge(self, record: Record, now_us: int, direct: bool = False) -> None:
        if record.name == self.me.name:
            self._of_me(record)
            return
        before = self.table.members.get(record.name)
        was = before.record.state if before else State.JOINING
        member = self.table.take(record, now_us, direct)
        if member is None:
            return
        self.sent[record.name] = 0
        if member.record.state is not was:
            self.news.append((record.name, was, member.record.state))

    def _of_me(self, record: Record) -> None:
        """Others' word of this relay: a suspicion is answered by a newer record."""
        if record.boot == self.me.boot:
            if record.incarnation >= self.me.incarnation and record.state > self.me.state:
                self.counts["refuted"] += 1
                self.health = min(MOST_HEALTH, self.health + 1)
                self.me = replace(self.me, incarnation=record.incarnation + 1)
        elif record.incarnation >= self.me.incarnation:
            if record.over == self.me.boot:  # it has seen this process's own record: both run
                self.counts["name_held_twice"] += 1
                if self.me.boot < record.boot:
                    self.yielded = True
                    return
            self.counts["name_taken_over"] += 1
            self.me = replace(self.me, incarnation=record.incarnation + 1, over=record.boot)

    def _ripen(self, now_us: int) -> None:
        """Suspicions that nobody answered become deaths."""
        wait = SUSPECT * self.pace_us * (DOUBT if self.doubts else 1.0)
        for member in list(self.table.members.values()):
            if member.record.state is State.SUSPECT and now_us - member.changed_us > wait:
                self._merge(replace(member.record, state=State.DEAD, age_us=now_us - member.spoke_us), now_us)

    # ---- messages

    def _make(
        self,
        kind: str,
        to: str,
        now_us: int,
        ask: int = 0,
        about: str = "",
        against: bool = False,
        records: tuple[Told, ...] | None = None,
    ) -> Message:
        self.number += 1
        return Message(
            sender=self.me.name,
            to=to,
            boot=self.me.boot,
            number=self.number,
            kind=kind,
            ask=ask,
            about=about,
            digest=self.table.digest(self.me),
            records=self._gossip(to, now_us, against) if records is None else records,
        )

    def _told(self, member: Member, now_us: int) -> Told:
        return told(member.record, now_us - member.spoke_us)

    def _gossip(self, to: str, now_us: int, against: bool) -> tuple[Told, ...]:
        """This relay's own record, what it holds against the receiver, and what was passed on least."""
        members, most = self.table.members, SENT * math.log2(len(self.table.members) + 2)
        self.sent = {n: k for n, k in self.sent.items() if k < most and n in members}
        names = sorted(self.sent, key=lambda n: (self.sent[n], n))
        target = members.get(to)
        if target and target.record.boot and (against or target.gone or target.record.state is State.SUSPECT):
            names = [to, *(n for n in names if n != to)]
        records = fill([told(self.me, 0), *(self._told(members[n], now_us) for n in names)])
        for one in records[1:]:
            self.sent[one.name] = self.sent.get(one.name, 0) + 1
        return records

    def _tables(self, to: str, now_us: int) -> Iterable[Message]:
        """All that is known, in as many messages as it needs. At a pace: in the midst of a change most differ."""
        if now_us - self.table_us < TABLE_EVERY * self.pace_us:
            return []
        self.table_us = now_us
        self.counts["tables"] += 1
        out, left = [], [self._told(m, now_us) for m in self.table.members.values() if m.record.boot]
        while left:
            part = fill([told(self.me, 0), *left])
            left = left[len(part) - 1 :]
            out.append(self._make("table", to, now_us, records=part))
        return out
