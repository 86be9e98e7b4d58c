"""The QUIC front: an Initial with an unknown id is a visit that the core places; later packets go by id.

Packets pass through, and QUIC ends at the push box. This front reads headers, and the payload of Initial
packets only, whose keys anyone on the path can derive. A datagram's way: `paths.Door` (known path: straight to
its push box) or `take` below; back through `paths.Port`.
"""

from __future__ import annotations

import logging
import os
import time
from collections import OrderedDict, deque
from itertools import islice

from gradefront.config import Address, Config
from gradefront.core.desk import Desk
from gradefront.core.ports import BoxLeg, Call, Ending
from gradefront.core.shortfall import Cause
from gradefront.core.visit import Attempt
from gradefront.net.reactor import Reactor
from gradefront.routing.admission import Admission, Verdict
from gradefront.routing.buckets import Bucket
from milletdeal.interface import ServerState

from .config import QuicConfig
from .headers import (
    KINDS,
    LEAST_ID,
    LEAST_INITIAL,
    LONG,
    Invariants,
    Kind,
    Packet,
    invariants,
    split,
    stateless_reset,
    version_negotiation,
)
from .hello import HelloReader
from .ids import UNROUTABLE
from .initials import INVALID_TOKEN, Opened, busy, close_initial, make_retry, open_initial
from .paths import Door, Hub, Path, Port, PortPool, source_of
from .tokens import Standing, TokenMint
from .visits import QuicLeg, QuicVisit, brought_over

log = logging.getLogger("gradefront.quic")

ANSWERED_US = 10_000_000  # how long a given answer is repeated to a client that asks with the same id
MOST_ANSWERED = 4_096
MOST_USED_TOKENS = 16_384
HELLO_US = 250_000  # how long a ClientHello in pieces is waited for; then the port tells the class
TICK_US = 125_000  # between two looks at a part of the tables; all are looked at in eight of them
TICKS = 8
SILENT_US = 5_000_000  # a push box that answers none of several datagrams for so long is gone
SILENT_DATAGRAMS = 4
QUIET_US = 5_000_000  # devices speak every 2 s: one quiet for longer may have gone on at another address
ALONE_US = 6_000_000  # a path that no visit took over by then is a visit of its own
START_US = 10_000_000  # after a start paths are adopted at once: no visit of ours can have left them
EXCHANGES = 2  # datagrams each way that show a connection which goes on
PATH_IDS = 8  # ids remembered for one path
NEGOTIATIONS = 100.0  # a second
RETRIES = 10_000.0  # a second: what one core can make
SERVING = (ServerState.READY, ServerState.DRAINING)


class QuicFront:
    """The front's tables. `owners`: visits by id; `routes`: paths by id, for the door; `lone`: paths that no
    visit has, by client address and push box; `answered` and `moved`: answers given, by id."""

    def __init__(self, config: Config, quic: QuicConfig, desk: Desk, reactor: Reactor) -> None:
        self.config = config
        self.desk = desk
        self.now = desk.clock
        self.visits: dict[QuicVisit, None] = {}
        self.unconfirmed: OrderedDict[QuicVisit, None] = OrderedDict()
        self.owners: dict[bytes, QuicVisit] = {}
        self.routes: dict[bytes, Path] = {}
        self.route_ids: dict[Path, deque[bytes]] = {}  # every path, oldest first, with its ids in `routes`
        self.lone: dict[tuple[Address, str], Path] = {}
        self.latest: dict[tuple[Address, str], Path] = {}
        self.answered: OrderedDict[bytes, tuple[bytes, int]] = OrderedDict()
        self.moved: OrderedDict[bytes, tuple[bytes, int]] = OrderedDict()
        self.used_tokens: OrderedDict[bytes, None] = OrderedDict()
        self.lengths = [0] * 8  # of ids, by configuration: shared with the doors, changed in place
        self.began_us = self.now()
        self.negotiations = Bucket(NEGOTIATIONS, NEGOTIATIONS, self.began_us)
        self.retries = Bucket(RETRIES, RETRIES / 4, self.began_us)
        self.states: dict[str, bool] = {}
        self.placed_since: dict[str, int] = {}  # by push box: the first visit there that was placed, at this tick
        self.admission = Admission(quic.limits, self.began_us)
        self.configure(quic)
        host = source_of(box.address for box in quic.boxes.values())
        self.hub = Hub(reactor)
        self.pool = PortPool(self.hub, host, quic.most_ports, quic.port_share, self._heard, self._refused,
                             desk.tally.add)
        self.doors = [Door(self.hub, klass, where, self.routes, self.lengths, self.take)
                      for klass, where in quic.listen.items()]
        desk.after(TICK_US, self._tick)

    def configure(self, quic: QuicConfig) -> None:
        """Take settings, at the start or while serving: ids, boxes, keys, limits. What stands goes on; paths to
        a push box that has another address now are closed, and the next datagram opens them anew."""
        self.quic = quic
        self.book = quic.book()
        self.lengths[:] = self.book.lengths
        self.server_ids = quic.server_ids()
        admission = Admission(quic.limits, self.now())
        admission.proven = self.admission.proven  # who has shown to be there, has
        self.admission = admission
        for owner in self.visits:
            if owner.waits:
                self.admission.enter(owner.network)
        self.mint = None
        if quic.token_keys:
            self.mint = TokenMint(quic.token_keys, quic.newest_token_key, quic.token_life_us)
        for path in list(self.route_ids):
            box = quic.boxes.get(path.box)
            if box is None or box.address != path.where:
                self._close_path(path)

    def drop(self, why: str) -> None:
        """Count a datagram that goes nowhere."""
        self.desk.tally.add(f"quic_dropped_{why}")

    def levels(self) -> dict[str, int]:
        """Present sizes of the tables, for the counters."""
        return {"quic_visits_now": len(self.visits), "quic_paths_now": len(self.route_ids),
                "quic_ports_now": len(self.pool.ports), "quic_ids_now": len(self.owners) + len(self.routes),
                "quic_under_pressure": int(self.admission.under_pressure)}

    # ---- from clients

    def take(self, door: Door, datagram: bytes, client: Address) -> None:
        """A client's datagram that the door knows no path for."""
        self.desk.tally.add("quic_datagrams_in")
        if not datagram:
            self.drop("malformed")
        elif datagram[0] & LONG:
            self._long(door, datagram, client)
        elif an_id := self.book.id_of(datagram):
            self._by_id(door, an_id, datagram, client)
        else:
            self.drop("malformed" if len(datagram) < 21 else "unknown_id")

    def _long(self, door: Door, datagram: bytes, client: Address) -> None:
        head = invariants(datagram)
        if head is None or head.version == 0:  # RFC 9000 6.1: never an answer to Version Negotiation
            self.drop("malformed")
            return
        if head.version not in KINDS:
            self._other_version(door, head, datagram, client)
            return
        packets = split(datagram)
        if not packets:
            self.drop("malformed")
            return
        first = packets[0]
        owner = self.owners.get(first.to_id)
        if owner is None and first.kind is Kind.INITIAL:
            self._initial(door, packets, datagram, client)
        elif owner and not owner.stands:
            self._before_it_stands(owner, packets, datagram, client)
        elif owner or first.kind is Kind.HANDSHAKE:
            self._by_id(door, first.to_id, datagram, client)
        else:  # 0-RTT without its Initial, or what no client sends
            self.drop("unknown_id")

    def _other_version(self, door: Door, head: Invariants, datagram: bytes, client: Address) -> None:
        """RFC 9000 6 and RFC 8999: on a connection that stands, ids alone count; else we tell our versions."""
        owner = self.owners.get(head.to_id)
        if owner and owner.stands:
            self._by_id(door, head.to_id, datagram, client)
            return
        self.drop("version")
        if len(datagram) >= LEAST_INITIAL and self.negotiations.take(self.now()):
            self.desk.tally.add("quic_negotiations")
            door.reply(version_negotiation(head), client)

    # ---- requests

    def _initial(self, door: Door, packets: list[Packet], datagram: bytes, client: Address) -> None:
        """An Initial whose id no visit has: a request, whatever push box the id happens to name."""
        first = packets[0]
        an_id = first.to_id
        if an_id in self.answered:  # the answer was lost, or crossed with this: it is given again, not anew
            self.drop("answered")
            door.reply(self.answered[an_id][0], client)
            return
        if len(datagram) < LEAST_INITIAL or len(an_id) < LEAST_ID:
            self.drop("malformed")
            return
        now = self.now()
        shown = self.mint.read(first.token, client[:2], an_id, now) if self.mint and first.token else None
        if shown and shown.standing not in (Standing.NONE, Standing.PROVEN):
            self._bad_token(door, first, client, shown.standing, now)
            return
        proven = shown is not None and shown.standing is Standing.PROVEN
        if proven and shown and shown.number in self.used_tokens:
            self.drop("token_replayed")
            return
        verdict, pause_us = self.admission.judge(now, client[0], an_id, proven)
        if verdict is Verdict.TAKE:
            opened = self._open(first, an_id)
            if opened is None or opened.close_code is not None:
                self._stray(door, first, opened, datagram, client)
                return
            owner = self._arrive(door, packets, opened, datagram, client)
            if proven and shown:
                owner.by_retry = bool(shown.first_id)
                self.used_tokens[shown.number] = None
                if len(self.used_tokens) > MOST_USED_TOKENS:
                    self.used_tokens.popitem(last=False)
        elif verdict is Verdict.PROVE and self.mint and self.retries.take(now):
            self.desk.tally.add("quic_retries")
            new_id = bytes([UNROUTABLE << 5]) + os.urandom(LEAST_ID)  # names no push box, whatever it is taken for
            token = self.mint.make(client[:2], an_id, new_id, now)
            door.reply(make_retry(first.version, an_id, first.from_id, new_id, token), client)
        elif verdict is Verdict.LATER:
            self.desk.tally.add("quic_refused_at_door")
            answer = close_initial(first.version, an_id, first.from_id, busy(pause_us))
            self.answer(an_id, answer, min(pause_us, ANSWERED_US))
            door.reply(answer, client)
        else:
            self.drop(f"at_door_{verdict.value}")

    def _bad_token(self, door: Door, first: Packet, client: Address, standing: Standing, now: int) -> None:
        """RFC 9000 8.1.2: a client whose Retry token isn't good is told, rather than left to time out."""
        self.drop(f"token_{standing.value}")
        if self.admission.refusals.take(now):
            door.reply(close_initial(first.version, first.to_id, first.from_id, "", INVALID_TOKEN), client)

    def _open(self, packet: Packet, first_id: bytes) -> Opened | None:
        """Open a client's Initial on the door's budget of CPU."""
        began = time.perf_counter_ns()
        opened = open_initial(packet, first_id, from_client=True)
        self.admission.cpu.spend(self.now(), (time.perf_counter_ns() - began) / 1_000)
        return opened

    def _stray(self, door: Door, first: Packet, opened: Opened | None, datagram: bytes,
               client: Address) -> None:
        """An Initial that is no request. It may belong to a connection that another relay set up, or this one
        before a restart: its keys come from an id that is gone. It may go on where new work may go."""
        box = self._named(first.to_id) if opened is None else None
        if box and self.desk.serves(box):
            self._by_id(door, first.to_id, datagram, client)
        else:
            self.drop("malformed" if opened is None else "closed")

    def _arrive(self, door: Door, packets: list[Packet], opened: Opened, datagram: bytes,
                client: Address) -> QuicVisit:
        first = packets[0]
        network = self.quic.limits.prefixes.of(client[0])
        owner = QuicVisit(self, door, client, first.to_id, first.from_id, first.version, network)
        owner.waits = True
        self.admission.enter(network)
        self.visits[owner] = None
        owner.kept.append(datagram)
        if self.quic.class_of_protocol or self.quic.class_of_name:
            owner.hello = HelloReader()
            self._gather(owner, opened)
            if owner.visit is None:
                self.desk.after(HELLO_US, lambda: self._place(owner, door.klass))
        else:
            self._place(owner, door.klass)
        return owner

    def _gather(self, owner: QuicVisit, opened: Opened) -> None:
        """A ClientHello may tell the class better than the port does; it may come in several datagrams."""
        found = owner.read_hello(opened)
        if found is None:
            return
        name, protocols = found
        klass = self.quic.class_of_name.get(name, owner.door.klass)
        for protocol in protocols:
            if protocol in self.quic.class_of_protocol:
                klass = self.quic.class_of_protocol[protocol]
                break
        self._place(owner, klass)

    def _place(self, owner: QuicVisit, klass: int) -> None:
        if owner.visit is None and owner in self.visits:
            spent = self.now() - owner.since_us
            patience = max(1, self.config.settings.classes[klass].deadline_us - spent)
            owner.hello = None
            owner.visit = self.desk.arrive(Call(patience, owner, klass), owner, self)

    def _before_it_stands(self, owner: QuicVisit, packets: list[Packet], datagram: bytes,
                          client: Address) -> None:
        for packet in packets:
            if packet.kind is not Kind.INITIAL:
                continue
            opened = self._open(packet, owner.first_id)
            if opened and opened.close_code is not None:
                if owner.visit:
                    self.desk.client_left(owner.visit, Ending.ORDERLY)
                owner.forget()
                return
            if opened and owner.hello:
                self._gather(owner, opened)
        owner.waiting(datagram, client)

    # ---- packets of connections that stand

    def _by_id(self, door: Door, an_id: bytes, datagram: bytes, client: Address) -> None:
        """A packet of a connection that stands goes to its push box, whatever address it comes from."""
        owner = self.owners.get(an_id)
        if owner is not None and not owner.stands:
            owner.waiting(datagram, client)
            return
        if owner is None and an_id in self.moved:
            self.drop("moved")
            if len(datagram) > 22:  # RFC 9000 10.3.3: smaller than what it answers, so that no loop can run
                door.reply(stateless_reset(self.moved[an_id][0], an_id, len(datagram) - 1), client)
            return
        box = owner.leg.attempt.box if owner and owner.leg else self._named(an_id)
        if box is None:
            self.drop("unknown_id")
            return
        if self.desk.boxes.get(box) not in SERVING:
            self.drop("gone_box")
            return
        path = self.path(client, box, owner, door)
        if path is None:
            self.drop("no_room")
            return
        owner = path.owner
        if owner:
            self._used(owner, path, an_id, door, client)
        path.last_id = an_id
        path.used_us = self.now()
        path.plain = path.plain or owner is not None
        if not owner or an_id != owner.first_id:
            self._route(an_id, path)
        path.send(datagram)

    def _used(self, owner: QuicVisit, path: Path, an_id: bytes, door: Door, client: Address) -> None:
        owner.learn(an_id)  # a fresh id on a known path is the same connection's
        owner.client, owner.used_us, owner.door = client, self.now(), door
        if owner.leg:
            owner.leg.attempt.alive()
        if an_id != owner.first_id:
            owner.last_id = an_id
            if not owner.confirmed:
                owner.confirmed = True
                self.unconfirmed.pop(owner, None)
                self.admission.credit(client[0], came=True)

    def _route(self, an_id: bytes, path: Path) -> None:
        """From now on the door sends this id along this path."""
        old = self.routes.get(an_id)
        if old is path:
            return
        ids = self.route_ids.get(path)
        if ids is None:
            return
        if old is not None and old in self.route_ids:
            self.route_ids[old].remove(an_id)
        self.routes[an_id] = path
        ids.append(an_id)
        if len(ids) > PATH_IDS:
            del self.routes[ids.popleft()]

    def _named(self, an_id: bytes) -> str | None:
        found = self.book.server_of(an_id)
        return self.server_ids.get(found) if found else None

    # ---- paths

    def path(self, client: Address, box: str, owner: QuicVisit | None, door: Door) -> Path | None:
        """The path of a client address to a push box; a new one where there is none. None: there's no room."""
        key = (client, box)
        path = owner.paths.get(client) if owner else self.latest.get(key)
        if path is not None and path.box == box:
            return path
        if owner and key in self.lone:
            # A known id on a path that no visit had: the path is that visit's, and keeps its port.
            path = self.lone[key]
            self._give(path, owner)
            return path
        place = self.quic.boxes.get(box)
        if place is None:
            return None
        if len(self.route_ids) >= self.quic.most_paths and not self._make_room():
            return None
        path = Path(client, box, place.address, door, owner, self.now())
        path.plain = owner is not None and owner.stands
        avoid: set[Port] = {p.port for p in owner.paths.values() if p.port} if owner else set()
        client_id = owner.client_id if owner and owner.client_id else b""
        if not self.pool.place(path, client_id, avoid, self.now(), self._client_id):
            return None  # the next look gives back what is idle
        self.route_ids[path] = deque()
        if owner:
            owner.paths[client] = path
        else:
            self.lone[key] = path
        self.latest[key] = path
        self.desk.tally.add("quic_paths")
        return path

    @staticmethod
    def _client_id(path: Path) -> bytes:
        return path.owner.client_id if path.owner else path.client_id if path.plain else b""

    def _give(self, path: Path, owner: QuicVisit) -> None:
        """A path that had no visit is this one's."""
        self.lone.pop((path.client, path.box), None)
        path.owner = owner
        path.plain = owner.stands
        old = owner.paths.get(path.client)
        if old is not None and old is not path:
            self._close_path(old)
        owner.paths[path.client] = path
        self.pool.settle(path, owner.client_id)

    def _make_room(self) -> bool:
        """Bound the paths: of the oldest few the one that was quiet for longest goes, unless an attempt is out
        on it. Looking at all would cost too much in a storm."""
        oldest = list(islice(self.route_ids, 16))
        for path in oldest:
            self._freshen(path, self.now())
        free = [p for p in oldest if not (p.owner and p.owner.reaching)]
        if not free:
            return False
        goes = min(free, key=lambda p: p.used_us)
        for path in oldest:  # those that stay go to the end of the line
            if path is not goes:
                self.route_ids[path] = self.route_ids.pop(path)
        self._close_path(goes)
        self.desk.tally.add("quic_paths_evicted")
        return True

    def _close_path(self, path: Path) -> None:
        for an_id in self.route_ids.pop(path, ()):
            if self.routes.get(an_id) is path:
                del self.routes[an_id]
        key = (path.client, path.box)
        for table in (self.lone, self.latest):
            if table.get(key) is path:
                del table[key]
        if path.owner and path.owner.paths.get(path.client) is path:
            del path.owner.paths[path.client]
        self.pool.give_back(path, self.now())

    def close_paths(self, owner: QuicVisit) -> None:
        """Give all places of a visit back."""
        for path in list(owner.paths.values()):
            self._close_path(path)

    def _heard(self, path: Path, datagram: bytes) -> None:
        """From a push box, where the port doesn't know that it may go straight to the client."""
        path.heard += 1
        owner = path.owner
        if owner and not owner.stands:
            if owner.leg and not owner.leg.attempt.over:
                owner.leg.heard(path, datagram)
            return
        if not path.plain and path.learn(datagram):
            path.plain = True
            self.pool.settle(path, path.client_id)
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
        if parcel.brought is not None:  # it stands there already
            attempt.leg = leg
            attempt.stands(None)
        elif attempt.box not in self.quic.boxes:
            attempt.ends(Cause.UNREACHABLE)
        else:
            leg.begin()
        return leg

    # ---- what visits tell

    def settled(self, owner: QuicVisit) -> None:
        """A visit stands, or is over: it waits no more."""
        if owner.waits:
            owner.waits = False
            self.admission.leave(owner.network)
        if not owner.confirmed and owner in self.visits:
            self.unconfirmed[owner] = None

    def forgot(self, owner: QuicVisit) -> None:
        """A visit is over."""
        self.settled(owner)
        self.visits.pop(owner, None)
        self.unconfirmed.pop(owner, None)

    def answer(self, an_id: bytes, datagram: bytes, for_us: int = ANSWERED_US) -> None:
        """Remember a final answer, so that a client that repeats its Initial gets the same one."""
        self.answered[an_id] = (datagram, self.now() + for_us)
        while len(self.answered) > MOST_ANSWERED:
            self.answered.popitem(last=False)

    def left(self, an_id: bytes, key: bytes) -> None:
        """Remember an id of a connection that was moved."""
        self.moved[an_id] = (key, self.now() + ANSWERED_US)
        while len(self.moved) > MOST_ANSWERED:
            self.moved.popitem(last=False)

    # ---- looks at the tables

    def _tick(self) -> None:
        self.desk.after(TICK_US, self._tick)
        now = self.now()
        for table in (self.answered, self.moved):
            while table and next(iter(table.values()))[1] <= now:
                table.popitem(last=False)
        while self.unconfirmed:
            owner = next(iter(self.unconfirmed))
            if now - owner.since_us < self.quic.confirm_us:
                break
            self._nobody_there(owner)
        self._gone_boxes()
        if now - self.began_us < START_US + ALONE_US:  # later no path is young enough for the question
            self.placed_since = self._placed_since()
        # An eighth of the paths, the oldest first, each to the end of the line; then an eighth of the visits.
        for path in list(islice(self.route_ids, len(self.route_ids) // TICKS + 1)):
            self.route_ids[path] = self.route_ids.pop(path)
            self._look_at_path(path, now)
        for owner in list(islice(self.visits, len(self.visits) // TICKS + 1)):
            del self.visits[owner]
            self.visits[owner] = None
            if owner.stands:
                self._look_at_visit(owner, now)

    def _nobody_there(self, owner: QuicVisit) -> None:
        """The push box answered, and no client went on: a made-up sender, or one who left."""
        self.desk.tally.add("quic_unconfirmed")
        self.admission.credit(owner.client[0], came=False)
        if owner.visit:
            self.desk.client_left(owner.visit, Ending.ORDERLY)
        owner.forget()

    def _gone_boxes(self) -> None:
        """A push box that the list no longer names gets nothing more, by any path."""
        for box in self.quic.boxes:
            serving = self.desk.boxes.get(box) in SERVING
            if self.states.get(box, True) and not serving:
                for path in [p for p in self.route_ids if p.box == box]:
                    if path.owner is None:
                        self._close_path(path)
                for owner in [v for v in self.visits if v.stands and v.leg and v.leg.attempt.box == box]:
                    assert owner.leg
                    owner.leg.attempt.ends(Cause.BROKEN, Ending.BROKEN)
            self.states[box] = serving

    @staticmethod
    def _freshen(path: Path, now: int) -> tuple[int, int]:
        """What passed since the last look, to and from the push box."""
        sent, heard = path.sent - path.seen_sent, path.heard - path.seen_heard
        if sent or heard:
            path.used_us, path.seen_sent, path.seen_heard = now, path.sent, path.heard
        return sent, heard

    def _look_at_path(self, path: Path, now: int) -> None:
        owner = path.owner
        sent, heard = self._freshen(path, now)
        if owner:
            if sent:
                owner.used_us, owner.client, owner.last_id = now, path.client, path.last_id or owner.last_id
            if (sent or heard) and owner.leg:
                owner.leg.attempt.alive()
            if heard:
                owner.unanswered = 0
            elif sent:
                if not owner.unanswered:
                    owner.unanswered_us = now
                owner.unanswered += sent
        if now - path.used_us > self.quic.path_idle_us and not (owner and owner.reaching):
            self._close_path(path)
        elif owner is None and path.plain and path.heard >= EXCHANGES and path.sent >= EXCHANGES \
                and self.desk.boxes.get(path.box) in SERVING \
                and (now - path.since_us > ALONE_US or self._from_before(path)):
            self._bring_over(path)

    def _from_before(self, path: Path) -> bool:
        """Whether a path without a visit goes on from before this relay's start: no visit that was placed
        since can have left its old address for it."""
        first = self.placed_since.get(path.box)
        return path.since_us - self.began_us < START_US and (first is None or first >= path.since_us)

    def _placed_since(self) -> dict[str, int]:
        """By push box, since when the first of the visits there that this relay placed has been."""
        since: dict[str, int] = {}
        for v in self.visits:
            if v.brought is None and v.leg:
                box = v.leg.attempt.box
                since[box] = min(v.since_us, since.get(box, v.since_us))
        return since

    def _bring_over(self, path: Path) -> None:
        """A path that no visit has, and on which both sides speak: the module must count it."""
        owner = brought_over(self, path)
        self.visits[owner] = None
        self._give(path, owner)
        owner.visit = self.desk.bring_over(Call(self.config.settings.classes[path.door.klass].deadline_us,
                                                owner, path.door.klass), owner, self, path.box)

    def _look_at_visit(self, owner: QuicVisit, now: int) -> None:
        assert owner.leg and owner.visit
        attempt = owner.leg.attempt
        if owner.unanswered >= SILENT_DATAGRAMS and now - owner.unanswered_us > SILENT_US:
            attempt.ends(Cause.SILENT, Ending.BROKEN)
        elif now - owner.used_us > QUIET_US and self.adopt(owner, attempt.box):
            log.debug("visit %d goes on at another address", owner.visit.number)
        elif now - owner.used_us > self.quic.visit_idle_us:
            log.info("visit %d at push box %s has gone quiet", owner.visit.number, attempt.box)
            self.desk.client_left(owner.visit, Ending.ORDERLY)
            owner.forget()

    def adopt(self, owner: QuicVisit, box: str) -> bool:
        """A connection that takes a new address and a fresh id at once can't be told from others, by QUIC's
        design. So a visit that has gone quiet takes over the paths at its push box that no visit has and that
        began since: the core goes on holding one visit for each connection, and a move reaches its client."""
        found = False
        for path in list(owner.paths.values()):
            if self._freshen(path, self.now())[0]:
                owner.used_us = self.now()
        while lone := [p for p in self.lone.values() if p.box == box and p.since_us > owner.used_us]:
            path = min(lone, key=lambda p: p.since_us)
            self._freshen(path, self.now())
            self._give(path, owner)
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
        self.hub.close()
