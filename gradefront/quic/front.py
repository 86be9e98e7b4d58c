"""The QUIC front: an Initial with an unknown id is a visit that the core places; later packets go by id.

Packets pass through, and QUIC ends at the push box. This front reads headers, and the payload of Initial
packets only, whose keys anyone on the path can derive.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Iterator
from contextlib import suppress
from typing import Any

from aioquic.quic.packet import QuicErrorCode, QuicPacketType

from gradefront.config import Address, Config
from gradefront.core.desk import Desk
from gradefront.core.ports import BoxLeg, Call, Ending
from gradefront.core.shortfall import Cause, Reach
from gradefront.core.visit import Attempt, Stage, Visit
from gradefront.net.reactor import Reactor
from milletdeal.interface import ServerState

from .config import QuicConfig
from .packets import (
    LEAST_ID,
    LEAST_INITIAL,
    Packet,
    close_initial,
    open_initial,
    sound_retry,
    split,
    stateless_reset,
    unknown_version,
)
from .paths import LONGEST_DATAGRAM, Door, Path

log = logging.getLogger("gradefront.quic")

KEPT = 12  # datagrams of a waiting client, for the next push box
IDS = 16  # ids remembered for one visit
ANSWERED_US = 10_000_000  # how long a given answer is repeated to a client that asks with the same id
MOST_ANSWERED = 1_024
SWEEP_US = 1_000_000
SILENT_US = 5_000_000  # a push box that answers none of several datagrams for so long is gone
SILENT_DATAGRAMS = 4
QUIET_US = 5_000_000  # devices speak every 2 s: one quiet for longer may have gone on at another address


class QuicVisit:
    """One QUIC connection, as the core's carer side. It may use many client addresses and ids."""

    def __init__(self, front: QuicFront, door: Door, first: Packet, client: Address) -> None:
        self.front = front
        self.door = door
        self.first_id = first.header.destination_cid
        self.client_id = first.header.source_cid
        self.version = first.header.version or 0
        self.client = client  # the address that it used last
        self.last_id = b""  # the push box's id that it used last
        self.kept: list[bytes] = []
        self.ids: OrderedDict[bytes, None] = OrderedDict()
        self.leg: QuicLeg | None = None
        self.visit: Visit | None = None
        self.used_us = front.desk.clock()
        self.unanswered = 0
        self.unanswered_us = 0
        self.learn(self.first_id)

    def learn(self, an_id: bytes) -> None:
        """An id is this connection's."""
        if an_id not in self.ids:
            self.ids[an_id] = None
            self.front.ids[an_id] = self
            if len(self.ids) > IDS:
                self.front.ids.pop(self.ids.popitem(last=False)[0], None)

    def forget(self) -> None:
        """None of its ids is known any more."""
        for an_id in self.ids:
            self.front.ids.pop(an_id, None)
        self.ids.clear()
        self.front.visits.discard(self)

    def waiting(self, datagram: bytes, client: Address) -> None:
        """A datagram before the visit stands: kept for the next push box, and sent to the present one."""
        self.client = client
        if datagram not in self.kept:
            self.kept = [*self.kept[:1], *self.kept[1:][-KEPT + 2:], datagram]
        if self.leg:
            self.leg.send(datagram, client)

    # ---- as the core's carer side

    def seat(self, leg: BoxLeg, receipt: object) -> None:
        """The push box's first sound answer goes to the client; from here on packets go by id."""
        assert isinstance(receipt, tuple)
        path, datagram = receipt
        self.kept = []
        self.door.reply(datagram, path.client)

    def refuse(self, pause_us: int) -> None:
        """The final answer: a close, with the advised pause as its reason."""
        self._close(f"BUSY {-(-pause_us // 1000)}" if pause_us else "BUSY")

    def fail(self) -> None:
        """The final answer: a close that advises nothing."""
        self._close("ERR")

    def _close(self, reason: str) -> None:
        datagram = close_initial(self.version, self.first_id, self.client_id, reason)
        self.front.answer(self.first_id, datagram)
        self.door.reply(datagram, self.client)
        self.forget()

    def move(self) -> None:
        """A stateless reset, which the client takes as the push box's own: it comes again with an Initial."""
        if self.leg:
            self.front.adopt(self, self.leg.attempt.box)
        self._reset()

    def end(self, how: Ending) -> None:
        """The push box is gone: the client learns by a reset rather than by its own idle time."""
        self._reset()

    def _reset(self) -> None:
        box = self.front.quic.boxes.get(self.leg.attempt.box) if self.leg else None
        if box:
            if self.last_id:
                self.door.reply(stateless_reset(box.reset_key, self.last_id), self.client)
            for an_id in self.ids:
                self.front.left(an_id, box.reset_key)
        self.forget()


class QuicLeg:
    """One attempt at a push box, and after it the visit's place there."""

    def __init__(self, front: QuicFront, owner: QuicVisit, attempt: Attempt) -> None:
        self.front = front
        self.owner = owner
        self.attempt = attempt

    def begin(self) -> None:
        """Send all that the client has sent so far."""
        for datagram in list(self.owner.kept):
            self.send(datagram, self.owner.client)
        self.attempt.came(Reach.SENT)

    def send(self, datagram: bytes, client: Address) -> None:
        """To the push box. Guards against a retransmit that opens a connection at a box told to drain."""
        if self.attempt.may_send():
            self.attempt.came(Reach.WRITING)
            path = self.front.path(client, self.attempt.box, self.owner)
            if path:
                path.send(datagram, self.front.desk.clock())

    def heard(self, path: Path, datagram: bytes) -> None:
        """From the push box while the attempt is out: only a sound answer counts."""
        owner = self.owner
        for packet in split(datagram, len(owner.client_id)):
            header = packet.header
            if header.destination_cid != owner.client_id:
                break
            if header.packet_type is QuicPacketType.VERSION_NEGOTIATION:
                if header.source_cid == owner.first_id:
                    self.attempt.ends(Cause.ERROR)
                    return
                break
            if sound_retry(packet, owner.first_id):
                self._stands(header.source_cid, path, datagram)
                return
            opened = open_initial(packet, owner.first_id, from_client=False)
            if opened and opened.close_code is not None:
                full = opened.close_code == QuicErrorCode.CONNECTION_REFUSED
                self.attempt.ends(Cause.FULL if full else Cause.ERROR)
                return
            if opened:
                self._stands(header.source_cid, path, datagram)
                return
        self.front.drop("unsound_answer")

    def _stands(self, box_id: bytes, path: Path, datagram: bytes) -> None:
        self.owner.learn(box_id)
        self.owner.last_id = box_id
        self.attempt.stands((path, datagram))

    def hang_up(self, how: Ending) -> None:
        """Its ports are closed, so that what the push box still sends reaches nobody."""
        self.front.close_paths(self.owner)
        if self.owner.leg is self and self.owner.visit and self.owner.visit.stage is Stage.REACHING:
            self.owner.leg = None


class QuicFront:
    """The front's tables: visits by id, paths by client address, answers given."""

    def __init__(self, config: Config, quic: QuicConfig, desk: Desk, reactor: Reactor) -> None:
        self.config = config
        self.quic = quic
        self.desk = desk
        self.reactor = reactor
        self.visits: set[QuicVisit] = set()
        self.ids: dict[bytes, QuicVisit] = {}
        self.paths: OrderedDict[tuple[Address, str, QuicVisit | None], Path] = OrderedDict()
        self.latest: dict[tuple[Address, str], Path] = {}
        self.answered: OrderedDict[bytes, tuple[bytes, int]] = OrderedDict()
        self.moved: OrderedDict[bytes, tuple[bytes, int]] = OrderedDict()
        self.server_ids = {box.server_id: name for name, box in quic.boxes.items()}
        self.doors: list[Any] = []
        for klass, (host, port) in quic.listen.items():
            door = Door(klass, self.take)
            self.doors.append(reactor.listenUDP(port, door, host, LONGEST_DATAGRAM))
        desk.after(SWEEP_US, self._sweep)

    def drop(self, why: str) -> None:
        """Count a datagram that goes nowhere."""
        self.desk.tally.add(f"quic_dropped_{why}")

    # ---- from clients

    def take(self, door: Door, datagram: bytes, client: Address) -> None:
        """A client's datagram."""
        self.desk.tally.add("quic_datagrams_in")
        if unknown_version(datagram):
            self.drop("version")
            return
        packets = split(datagram, self.quic.form.length)
        if not packets:
            self.drop("malformed")
            return
        first = packets[0]
        header = first.header
        an_id = header.destination_cid
        owner = self.ids.get(an_id)
        if owner is None and header.packet_type is QuicPacketType.INITIAL:
            self._initial(door, first, datagram, client)
        elif owner and owner.visit and owner.visit.stage is not Stage.STANDING:
            if self._client_closed(owner, packets):
                self.desk.carer_left(owner.visit, Ending.ORDERLY)
                owner.forget()
            else:
                owner.waiting(datagram, client)
        else:
            self._by_id(door, an_id, owner, datagram, client)

    def _initial(self, door: Door, first: Packet, datagram: bytes, client: Address) -> None:
        """An Initial whose id no visit has: a request, whatever push box the id happens to name."""
        an_id = first.header.destination_cid
        if an_id in self.answered:  # the answer was lost, or crossed with this: it is given again, not anew
            self.drop("answered")
            door.reply(self.answered[an_id][0], client)
            return
        if len(datagram) < LEAST_INITIAL or len(an_id) < LEAST_ID:
            self.drop("malformed")
            return
        opened = open_initial(first, an_id, from_client=True)
        if opened is None or opened.close_code is not None:
            self.drop("malformed" if opened is None else "closed")
            return
        if sum(1 for v in self.visits if v.visit and v.visit.stage is not Stage.STANDING) \
                >= self.quic.most_waiting:
            self.drop("no_room")
            return
        owner = QuicVisit(self, door, first, client)
        self.visits.add(owner)
        owner.kept.append(datagram)
        call = Call(self.config.settings.classes[door.klass].deadline_us, owner, door.klass)
        owner.visit = self.desk.arrive(call, owner, self)

    @staticmethod
    def _client_closed(owner: QuicVisit, packets: list[Packet]) -> bool:
        opened = (open_initial(p, owner.first_id, from_client=True) for p in packets)
        return any(o and o.close_code is not None for o in opened)

    def _by_id(self, door: Door, an_id: bytes, owner: QuicVisit | None, datagram: bytes,
               client: Address) -> None:
        """A packet of a connection that stands goes to its push box, whatever address it comes from."""
        if an_id in self.moved:
            self.drop("moved")
            key = self.moved[an_id][0]
            if len(datagram) > 22:  # RFC 9000 10.3.3: smaller than what it answers, so that no loop can run
                door.reply(stateless_reset(key, an_id, len(datagram) - 1), client)
            return
        box = owner.leg.attempt.box if owner and owner.leg else self._named(an_id)
        if box is None:
            self.drop("unknown_id")
            return
        if self.desk.boxes.get(box) not in (ServerState.READY, ServerState.DRAINING):
            self.drop("gone_box")
            return
        path = self.path(client, box, owner, door)
        if path is None:
            self.drop("no_room")
            return
        now = self.desk.clock()
        owner = path.owner
        if owner:
            owner.learn(an_id)  # a fresh id on a known path is the same connection's
            owner.client, owner.used_us, owner.door = client, now, door
            if owner.leg:
                owner.leg.attempt.alive()
            if an_id != owner.first_id:
                owner.last_id = an_id
            if not owner.unanswered:
                owner.unanswered_us = now
            owner.unanswered += 1
        path.last_id = an_id
        path.send(datagram, now)
        self.desk.tally.add("quic_datagrams_to_boxes")

    def _named(self, an_id: bytes) -> str | None:
        server_id = self.quic.form.read(an_id)
        return self.server_ids.get(server_id) if server_id is not None else None

    # ---- paths

    def path(self, client: Address, box: str, owner: QuicVisit | None,
             door: Door | None = None) -> Path | None:
        """The path of a client address to a push box; a new one where there is none."""
        path = self.paths.get((client, box, owner))
        latest = self.latest.get((client, box))
        if path is None and owner is None:
            path = latest
        if path is None and latest and latest.owner is None:
            # A known id on a path that no visit had: the path is that visit's, and keeps its port.
            del self.paths[client, box, None]
            latest.owner = owner
            path = self.paths[client, box, owner] = latest
        if path is None:
            door = door or (owner.door if owner else None)
            place = self.quic.boxes.get(box)
            if door is None or place is None:
                return None
            if len(self.paths) >= self.quic.most_paths and not self._make_room():
                return None
            path = Path(client, box, place.address, door, owner, self._heard, self._refused,
                        self.desk.clock())
            self.reactor.listenUDP(0, path, "", LONGEST_DATAGRAM)
            self.paths[client, box, owner] = path
            self.desk.tally.add("quic_paths")
        self.latest[client, box] = path
        return path

    def _make_room(self) -> bool:
        """Bound the ports: the path that was quiet for longest goes, unless an attempt is out on it."""
        for path in sorted(self.paths.values(), key=lambda p: p.used_us):
            if path.owner is None or (path.owner.visit and path.owner.visit.stage is Stage.STANDING):
                self._close_path(path)
                self.desk.tally.add("quic_paths_evicted")
                return True
        return False

    def _close_path(self, path: Path) -> None:
        for key in ((path.client, path.box, path.owner), (path.client, path.box, None)):
            if self.paths.get(key) is path:
                del self.paths[key]
        if self.latest.get((path.client, path.box)) is path:
            del self.latest[path.client, path.box]
        path.close()

    def close_paths(self, owner: QuicVisit) -> None:
        """Close all ports of a visit."""
        for path in [p for p in self.paths.values() if p.owner is owner]:
            self._close_path(path)

    def _heard(self, path: Path, datagram: bytes) -> None:
        """From a push box: to the client address that this path stands for."""
        owner = path.owner
        if owner and owner.visit and owner.visit.stage is not Stage.STANDING:
            if owner.leg and not owner.leg.attempt.over:
                owner.leg.heard(path, datagram)
            return
        path.used_us = self.desk.clock()
        if owner and owner.leg:
            owner.unanswered, owner.used_us = 0, path.used_us
            owner.leg.attempt.alive()
        self.desk.tally.add("quic_datagrams_to_clients")
        path.door.reply(datagram, path.client)

    def _refused(self, path: Path) -> None:
        """The system says that nothing listens at the push box."""
        owner = path.owner
        if owner and owner.leg and not owner.leg.attempt.over:
            owner.leg.attempt.ends(Cause.UNREACHABLE, Ending.BROKEN)
        else:
            self._close_path(path)

    # ---- the core's way to push boxes

    def call(self, attempt: Attempt, parcel: object) -> BoxLeg:
        """Begin an attempt."""
        assert isinstance(parcel, QuicVisit)
        leg = parcel.leg = QuicLeg(self, parcel, attempt)
        if attempt.box not in self.quic.boxes:
            attempt.ends(Cause.UNREACHABLE)
        else:
            leg.begin()
        return leg

    # ---- answers given, and the sweep

    def answer(self, an_id: bytes, datagram: bytes) -> None:
        """Remember a final answer, so that a client that repeats its Initial gets the same one."""
        self.answered[an_id] = (datagram, self.desk.clock() + ANSWERED_US)
        while len(self.answered) > MOST_ANSWERED:
            self.answered.popitem(last=False)

    def left(self, an_id: bytes, key: bytes) -> None:
        """Remember an id of a connection that was moved."""
        self.moved[an_id] = (key, self.desk.clock() + ANSWERED_US)
        while len(self.moved) > MOST_ANSWERED:
            self.moved.popitem(last=False)

    def _sweep(self) -> None:
        self.desk.after(SWEEP_US, self._sweep)
        now = self.desk.clock()
        for table in (self.answered, self.moved):
            while table and next(iter(table.values()))[1] <= now:
                table.popitem(last=False)
        for path in list(self.paths.values()):
            out = path.owner and path.owner.visit and path.owner.visit.stage is Stage.REACHING
            if now - path.used_us > self.quic.path_idle_us and not out:
                self._close_path(path)
        for owner in list(self._standing()):
            with suppress(KeyError):
                self._look(owner, now)

    def _standing(self) -> Iterator[QuicVisit]:
        return (v for v in list(self.visits) if v.visit and v.visit.stage is Stage.STANDING)

    def _look(self, owner: QuicVisit, now: int) -> None:
        assert owner.leg and owner.visit
        attempt = owner.leg.attempt
        if self.desk.boxes.get(attempt.box) not in (ServerState.READY, ServerState.DRAINING):
            attempt.ends(Cause.BROKEN, Ending.BROKEN)
        elif owner.unanswered >= SILENT_DATAGRAMS and now - owner.unanswered_us > SILENT_US:
            attempt.ends(Cause.SILENT, Ending.BROKEN)
        elif now - owner.used_us > QUIET_US and self.adopt(owner, attempt.box):
            log.debug("visit %d goes on at another address", owner.visit.number)
        elif now - owner.used_us > self.quic.visit_idle_us:
            log.info("visit %d at push box %s has gone quiet", owner.visit.number, attempt.box)
            self.desk.carer_left(owner.visit, Ending.ORDERLY)
            owner.forget()

    def adopt(self, owner: QuicVisit, box: str) -> bool:
        """A connection that takes a new address and a fresh id at once can't be told from others, by QUIC's
        design. So a visit that has gone quiet takes over the paths at its push box that no visit has and that
        began since: the core goes on holding one visit for each connection, and a move reaches its client."""
        found = False
        while lone := [p for p in self.paths.values()
                       if p.owner is None and p.box == box and p.since_us > owner.used_us]:
            path = min(lone, key=lambda p: p.since_us)
            del self.paths[path.client, box, None]
            path.owner = owner
            self.paths[path.client, box, owner] = path
            owner.learn(path.last_id)
            owner.client, owner.door = path.client, path.door
            owner.last_id, owner.used_us = path.last_id, max(path.used_us, path.since_us)
            owner.unanswered = 0
            if owner.leg:
                owner.leg.attempt.alive()
            found = True
        return found

    def close(self) -> None:
        """Stop listening."""
        for door in self.doors:
            door.stopListening()
        for path in list(self.paths.values()):
            self._close_path(path)
