"""Every decision of the balancer. Its interface (settings, events, actions) is interface.py.

Placements follow one mechanism: a random split over sampled ready servers, tilted toward low load and
flattened as figures age; failed placements wait a full-jitter exponential backoff and go elsewhere.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import Counter
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any
from zlib import crc32

from . import interface as i
from .interface import Action, Result, ServerState, WeightKind
from .records import Connection, Decaying, Job, Server

ATTEMPTS = 5  # rounds: the paper's default, first included; the told limit may be lower
BASE_PART = 1 / 6  # of the class's aim: first backoff ceiling, so that a retry can still be in time
CAP_PART = 1 / 4  # of the class's deadline: backoff ceiling, leaves time for several attempts
SETUP_AIMS = 2.0  # aims: set-up time-out; later than that the attempt is worth little
PROBE_PART = 1 / 6  # of the class's aim: longest wait for probes before a placement
LIST_BASE_US = 500_000  # us: the paper's base, for failed list calls
CANDIDATES = 2  # servers: sampled and probed for a placement; more costs probes and brings herding
FRESH_US = 500_000  # us: a report this new needs no probe
FADE_US = 4_000_000  # us: age at which a report has lost 1 - 1/e of its say
TILT = 4.0  # power of spare capacity in the split
FAR = 0.1  # tilt of a server in another zone, where crossings cost: taken at nearly twice the spare room
CALM = 0.5  # mean load up to which there is room elsewhere: a full server sheds at once
HOME_AT = 0.35  # load near up to which who crosses comes home: half of what moving aims at, as all may come
HOME_US = 20_000_000  # us: looks for it are spread over this; reports must keep up with the sum of all nodes
LIMIT = 0.8  # load at which a server counts as full; loads swing, and near 1 work piles up
POINTS = 16  # ring points of a mean server: evens out the gaps between servers
SUSPECT_US = 1_000_000  # us: first suspicion after a connect failure, doubled by each further one
ERRORS = 2  # plain errors in a row from which a server is suspected; a single one may be the request's doing
SUSPECT_CAP_US = 8_000_000  # us: longest suspicion, so that a server that is back is found again
RETURN = 0.25  # of the guard against herding, for what comes back to a node that has just started
NEW_US = 10_000_000  # us: so long after its start a node has seen too few connections to judge by
MOST_CORES = 16.0  # cores: the most that a rough weight is believed
LEAST_FULL = 10.0  # mean connections: what any server takes, until this node has seen enough to tell
MOVE_AT = 0.85  # load above which standing connections are moved away
MOVE_TOLD = 1.0  # load in any report above which some move, though no message was late
SHED_US = 5_000_000  # us: for so long after a drop, any report above MOVE_AT moves some
MOVE_TO = 0.7  # load that moving aims at
MOVE_DELAY = 0.6  # aims: message delay above which a server is looked at
COUNTED = 0.7  # load: most that own counts may claim; only late messages show that a server is full
LATE_LOAD = 0.6  # load: read from late messages, this and as much again for each aim that they take
MOVE_HOLD_US = 1_500_000  # us: between two rounds of moves off one server; reports need to catch up
MOVE_SPREAD_US = 1_000_000  # us: moves of a round are spread over this
DRAIN_SPREAD_US = 5_000_000  # us: moves off a draining server; it leaves in its own time, and told late
THROTTLE = 2.0  # wanted placements for each that stood before some are held back
FULL_SAY = 0.2  # of an error's say in the throttle: probing a full fleet for every waiting client is vain
MEMORY_US = 1_500_000  # us: memory of the throttle and of the demand
BLIND_US = 2_000_000  # us: a placement shows in reports after about this
ABSURD = 100.0  # load: a report from here on counts as none
LOG_GAP_US = 5_000_000  # us: between two log lines of one kind


class Balancer:
    """Decides for one node. Call `handle` with each event; carry out what it returns, in order."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.s = settings
        self.random = Random(seed)
        self.now = 0
        self.actions: list[Action] = []
        self.servers: dict[str, Server] = {}
        self.ring: list[tuple[int, str]] = []
        self.ring_stale = True
        self.jobs: dict[int, Job] = {}
        self.connections: dict[int, Connection] = {}
        self.tenant_open: Counter[int] = Counter()
        # Of late: placements considered, stood, and held back or ended by a plain error.
        self.asked, self.good, self.bad = (Decaying(MEMORY_US) for _ in range(3))
        self.timers: dict[int, Callable[[], None]] = {}
        self.last_timer = 0
        self.list_errors = 0
        self._watch = partial(self._do, i.WatchList())
        self.watching = False
        self.mean_load = 0.5  # mean of reports seen
        self.near_load = 0.5  # and of those of warm servers in this zone
        self.mean_weight = 1.0  # of ready servers
        self.new_until = 0
        self.late_told = False
        self.mean_work = 0.0  # mean work of connections seen, us a second
        self.logged: dict[str, int] = {}
        self.handlers: dict[type, Callable[[Any], object]] = {
            i.NewSettings: self._retune, i.Request: self._request,
            i.TimerFired: lambda e: self.timers.pop(e.timer, int)(),
            i.Established: self._established, i.Outcome: self._outcome, i.ProbeResult: self._probed,
            i.ClientGone: lambda e: self.jobs.pop(e.request, None),
            i.LoadNote: self._load_note, i.DelayNote: self._late, i.ListUpdate: self._list,
            i.OpenConnection: self._open, i.ListError: self._list_error}

    def handle(self, now_us: int, event: i.Event) -> list[Action]:
        """Take one event at the clock time `now_us` and return what to do."""
        self.now, self.actions = now_us, []
        self.handlers[type(event)](event)
        return self.actions

    def _retune(self, event: i.NewSettings) -> None:
        self.s, self.ring_stale = event.settings, True

    def avoided(self, now_us: int) -> int:
        """How many listed servers get nothing new now, or only where no others are left."""
        return sum(s.entry.state is not ServerState.READY or now_us < s.suspect_until
                   for s in self.servers.values())

    # ---- the server list

    def _list(self, update: i.ListUpdate) -> None:
        self.new_until = self.new_until or self.now + NEW_US
        known, self.servers = self.servers, {} if update.whole else self.servers
        for entry in update.entries:
            server = known.get(entry.server)
            if server is None or server.entry.started_us < entry.started_us:  # new, or a new process
                server = Server(entry, chance=self.random.random() if entry.started_us else 0.0)
            server.entry = entry
            self.servers[entry.server] = server
            if entry.state is ServerState.DRAINING and not server.left:
                server.left = True  # guards against a cut: what stands there is told before the server leaves
                self._log("drain", f"{entry.server} drains; {len(server.open)} connections are told to move")
                self._move_soon(list(server.open), DRAIN_SPREAD_US)
            server.left = server.left and entry.state is not ServerState.READY
            if entry.state is ServerState.GONE:
                del self.servers[entry.server]
        self.ring_stale = True
        if self.s.ask_for_list:
            if not self.watching:  # start jitter: all nodes at once would drown the list service
                self._after(self.random.uniform(0, self.s.ask_within_us / 4), self._watch)
            self.watching, self.list_errors = True, 0

    def _list_error(self, _: i.ListError) -> None:
        self._log("list", "list call failed or watch lost; asking again")
        self._after(self._jitter(LIST_BASE_US, self.s.ask_within_us / 4, self.list_errors), self._watch)
        self.list_errors += 1

    # ---- life of a request

    def _request(self, request: i.Request) -> None:
        self._learn_work(request.load_hint)
        klass = self.s.classes[request.klass]
        job = Job(request, klass, self.now + min(request.expires_us, klass.deadline_us),
                  min(ATTEMPTS, self.s.max_attempts))
        self.jobs[request.request] = job
        self._consider(job)

    def _consider(self, job: Job) -> None:
        """Sample candidates; probe those whose figures are old; place when the answers are in."""
        good, bad = self.good.add(self.now, 0), self.bad.add(self.now, 0)
        if self.random.random() < (good + bad - THROTTLE * good) / (good + bad + 1):
            self.bad.add(self.now, 1)  # guards against drowning what all servers depend on: hold back
            self._log("hold", "placements held back: errors, time-outs or full servers abound")
            self._again(job)
            return
        job.turn += 1
        job.candidates, job.missing = self._sample(job), {}
        if self.s.may_probe and self.s.reports is not i.Reports.NONE and len(self.servers) > 1:
            for name in job.candidates:
                server = self.servers[name]
                if server.load is None or self.now - server.load_at > FRESH_US:
                    job.missing[name] = None
                    server.waiters.append(job.request.request)
                    self._probe(server)
        if not job.missing:
            self._place(job)
        else:  # the timer is the fallback for probes that stay unanswered
            wait = min(job.klass.aim_us * PROBE_PART, (job.deadline - self.now) / 2)
            self._after(wait, partial(self._resume, job, job.turn, self._place))

    def _resume(self, job: Job, turn: int, then: Callable[[Job], None]) -> None:
        if self.jobs.get(job.request.request) is job and job.turn == turn and not job.out:
            then(job)

    def _place(self, job: Job) -> None:
        """The split: a random choice among the candidates, in proportion to a power of spare capacity."""
        best, best_score, fit = "", 0.0, 0
        for name in job.candidates:
            server = self.servers.get(name)
            if server is None or name in job.missing or not self._usable(server, job):
                continue
            spare = LIMIT - self._load(server)
            weight = max(0.0, spare) ** TILT * (FAR if self._far(server) else 1.0)
            if weight <= 0 or not self._cold_allows(server, job):
                continue
            fit += 1
            draw = job.request.group if self.s.groups else ""
            u = (crc32(f"{draw}|{name}".encode()) + 0.5) / 2**32 if draw else self.random.random()
            score = weight / -math.log(max(u, 1e-12))
            if score > best_score:
                best, best_score = name, score
        job.missing = {}  # guards against a second placement by probes that come back later
        # Guards against herding: what all nodes may send before it shows must fit into the spare capacity.
        # What comes back to a node that has just started is load that the servers bore a moment ago, and a
        # crowd that waits must not count itself again and again.
        back = self.now < self.new_until and job.request.came_back
        asked = self.asked.add(self.now, not (back and job.rounds))
        blind = (RETURN if back else 1.0) * asked * BLIND_US / MEMORY_US * self._part() / self._full()
        left = len(self.servers) - self.avoided(self.now)  # these alone share what all nodes send
        blind *= len(self.servers) / max(1, left)
        blind *= len(job.candidates) / max(1, fit) * (self.s.reports is not i.Reports.NONE)  # few meet all
        if not best or self.random.random() * blind > LIMIT - self._load(self.servers[best]):
            self.bad.add(self.now, FULL_SAY)
            self._again(job)
            return
        server, cost = self.servers[best], self._cost(job)
        job.out = True
        job.tried.append(best)
        server.own += cost / self._full()
        server.coming.add(job.request.request)
        timeout = min(job.deadline - self.now, int(job.klass.aim_us * SETUP_AIMS))
        self._do(i.Start(job.request.request, best, max(1, timeout)))
        job.ran.append((server.entry, self.now))

    def _again(self, job: Job) -> None:
        """Wait the next full-jitter delay and consider other servers, or give up at once."""
        job.rounds += 1
        wait = self._jitter(job.klass.aim_us * BASE_PART, job.klass.deadline_us * CAP_PART, job.rounds - 1)
        if job.rounds >= job.most or self.now + wait + 2 * self.s.resolution_us >= job.deadline:
            self._answer(job)
        else:
            job.turn += 1
            self._after(wait, partial(self._resume, job, job.turn, self._consider))

    def _answer(self, job: Job) -> None:
        """The one final answer: a refusal where it is harmless to try again, else a failure."""
        del self.jobs[job.request.request]
        repeat = job.klass.repeat
        shared = repeat is i.Repeat.KEYED and job.klass.scope is i.Scope.ALL
        harmless = not job.ran or repeat is i.Repeat.SAFE or shared
        pause = int(self.random.uniform(0, self.s.max_retry_after_us)) if self.s.retry_after else 0
        name = job.request.request
        self._do(i.Refuse(name, pause) if harmless else i.Fail(name))

    def _outcome(self, outcome: i.Outcome) -> None:
        server = self.servers.get(outcome.server)
        if server:
            server.coming.discard(outcome.request)
        if server and outcome.report:
            self._report(server, outcome.report)
        if outcome.request in self.connections:
            self._drop(outcome.request)
            if outcome.result is Result.RESET and server:
                self._suspect(server)
                # An overloaded server drops connections, then looks well loaded while its messages are late.
                server.shed_until = self.now + SHED_US
                self._look_at(server)
            return
        if server and outcome.result in i.SILENT:
            self._suspect(server)
        if server and outcome.result is Result.FULL:
            server.load, server.load_at, server.own = 1.0, self.now, 0.0
        if server and outcome.result is Result.ERROR:
            server.errors += 1
            if server.errors >= ERRORS:
                self._suspect(server, server.errors - ERRORS)
        if outcome.result is Result.TIMEOUT or outcome.result is Result.ERROR and (
                not server or server.errors >= ERRORS):  # one may be the request's own doing
            self.bad.add(self.now, 1)
        job = self.jobs.get(outcome.request)
        if job is None or outcome.final:
            self.jobs.pop(outcome.request, None)
            return
        job.out = False
        if outcome.result in i.NEVER_RAN and job.ran:
            job.ran.pop()
        # Guards against doubled effects: a keyed request repeats only within the window of its first try.
        once = job.ran and job.klass.repeat is not i.Repeat.SAFE and (
            job.klass.repeat is i.Repeat.UNSAFE or self.now >= job.ran[0][1] + job.klass.dedup_window_us)
        over = once or outcome.result in (Result.ERROR, Result.CANCELLED, Result.MOOT)
        (self._answer if over else self._again)(job)

    # ---- standing connections

    def _established(self, event: i.Established) -> None:
        self.good.add(self.now, 1)
        if event.request in self.jobs:
            self._stand(self.jobs.pop(event.request).request, event.server)
        if event.server in self.servers:
            self.servers[event.server].coming.discard(event.request)
            self.servers[event.server].fails //= 2
            self.servers[event.server].errors = 0

    def _open(self, event: i.OpenConnection) -> None:
        self.new_until = 1  # a node with a past: it knows what stands
        self._stand(event.request, event.server)

    def _stand(self, request: i.Request, name: str) -> None:
        klass = self.s.classes[min(max(request.klass, 0), len(self.s.classes) - 1)]
        self.connections[request.request] = Connection(name, klass, request.tenant, request.load_hint)
        self.tenant_open[request.tenant] += 1
        if name in self.servers:
            self.servers[name].open[request.request] = None
            if self.servers[name].left:  # it began to drain while this was set up
                self._move_soon([request.request], DRAIN_SPREAD_US)
            elif not request.came_back and self._far(self.servers[name]):  # one move for it, no more
                self._look_home(request.request)

    def _look_home(self, request: int) -> None:
        """Move a connection that pays for crossing by the second, once there is room near."""
        def look() -> None:
            if request not in self.connections:
                return
            # Guards against more set-ups while servers drain or warm up: those left have enough of them.
            settled = all(s.entry.state is ServerState.READY and self._coldness(s) >= 1
                          for s in self.servers.values())
            if settled and self.near_load < HOME_AT:
                self._log("home", "connections that cross zones are moved home, one by one")
                self._drop(request)
                self._do(i.Move(request))
            else:
                self._look_home(request)
        self._after(self.random.uniform(0, HOME_US), look)

    def _drop(self, request: int) -> None:
        connection = self.connections.pop(request)
        self.tenant_open[connection.tenant] -= 1
        server = self.servers.get(connection.server)
        if server:
            server.open.pop(request, None)

    def _load_note(self, note: i.LoadNote) -> None:
        connection = self.connections.get(note.request)
        if connection and math.isfinite(note.load) and note.load >= 0:
            connection.work = note.load
            self._learn_work(note.load)

    def _late(self, note: i.DelayNote) -> None:
        """Messages are late at a server: look at it, and move some connections away."""
        server, connection = self.servers.get(note.server), self.connections.get(note.request)
        if not server or not connection or not math.isfinite(note.delay_us):
            return
        self.late_told = True
        server.delay = note.delay_us / max(1, connection.klass.message_aim_us)
        if server.delay >= MOVE_DELAY and not self._look_at(server) and self.now >= server.hold_until:
            server.hold_until = self.now + MOVE_HOLD_US  # a late message stands in for a report
            server.load, server.load_at = min(2.0, LATE_LOAD + LATE_LOAD * server.delay), self.now
            self._move_some(server, server.load)

    def _look_at(self, server: Server) -> bool:
        """Probe a server that may be overloaded, and move some off it if so. False: no probes here."""
        if not self.s.may_probe or self.s.reports is i.Reports.NONE:
            return False
        if self.now >= server.hold_until:
            server.hold_until = self.now + MOVE_HOLD_US
            server.waiters.append(-1)
            self._probe(server)
        return True

    def _move_some(self, server: Server, load: float | None) -> None:
        load = 1.0 + min(1.0, server.delay / 4) if load is None else load
        if load <= MOVE_AT:
            return
        self._log("move", f"moving some connections off {server.entry.server} at load {load:.2f}")
        cheapest = sorted(server.open, key=lambda r: (self._standing_value(r), r))
        self._move_soon(cheapest[:int(len(cheapest) * (1 - MOVE_TO / load) + self.random.random())])

    def _move_soon(self, requests: list[int], spread_us: int = MOVE_SPREAD_US) -> None:
        def move(request: int) -> None:
            if request in self.connections:
                self._drop(request)
                self._do(i.Move(request))
        for request in requests:
            self._after(self.random.uniform(0, spread_us), partial(move, request))

    def _standing_value(self, request: int) -> float:
        connection = self.connections[request]
        worth = self._worth(connection.klass, connection.tenant)
        return worth if self.s.worth_by_work else worth / max(connection.work, 1.0)

    # ---- what is known of servers

    def _probe(self, server: Server) -> None:
        if self.s.may_probe and not server.probing:
            server.probing = True
            self._do(i.Probe(server.entry.server))

    def _probed(self, event: i.ProbeResult) -> None:
        server = self.servers.get(event.server)
        if server is None:
            return
        waiters, server.waiters, server.probing = server.waiters, [], False
        silent = event.result in i.SILENT
        if silent:
            self._suspect(server)
        else:
            server.fails //= 2  # forgive gradually: a flapping server stays suspect
            self._report(server, event.report or i.LoadReport())
        # Guards against a slow server whose messages tell nothing: any report above the limit moves some.
        # Where no message is ever late (another layer answers them), reports are the only sign.
        alone = not self.late_told and self.mean_load < CALM
        limit = MOVE_AT if self.now < server.shed_until or alone else MOVE_TOLD
        high = not silent and (server.load or 0.0) > limit and self.now >= server.hold_until
        if -1 in waiters or high:
            server.hold_until = max(server.hold_until, self.now + MOVE_HOLD_US)
            self._move_some(server, None if silent else server.load)
        for job in [self.jobs[n] for n in waiters if n in self.jobs]:
            if event.server in job.missing:
                del job.missing[event.server]
                if silent:
                    job.candidates.remove(event.server)
                if not job.missing:
                    self._place(job)

    def _report(self, server: Server, report: i.LoadReport) -> None:
        load = report.load if report.load is not None else report.util
        if load is not None and 0 <= load < ABSURD:  # guards against lying reports; false for NaN too
            server.load, server.load_at, server.own = load, self.now, 0.0
            self.mean_load += (min(load, 2.0) - self.mean_load) / 16
            if server.entry.zone == self.s.zone and self._coldness(server) >= 1:  # cold ones take little
                self.near_load += (min(load, 2.0) - self.near_load) / 8

    def _load(self, server: Server) -> float:
        """Load over capacity as far as known: the report, fading toward the mean, and own sends since."""
        mean, own = self.mean_load, server.own
        if self.s.reports is i.Reports.NONE:  # own open connections stand in for reports
            each = (len(self.connections) + len(self.servers)) / max(1, len(self.servers))
            mean, own = min(COUNTED, mean * (len(server.open) + 1) / each), 0.0
        known = mean if server.load is None else server.load
        return mean + math.exp((server.load_at - self.now) / FADE_US) * (known - mean) + own

    def _suspect(self, server: Server, errors: int | None = None) -> None:
        """Others are preferred for a time, doubled by each further failure, or error in a row."""
        wait = min(SUSPECT_CAP_US, SUSPECT_US * 2**min(server.fails if errors is None else errors, 10))
        server.fails += errors is None
        server.suspect_until = max(server.suspect_until, self.now + int(self.random.uniform(0.5, 1) * wait))
        self._log("suspect", f"server {server.entry.server} suspected after a failure, a reset or errors")

    def _usable(self, server: Server, job: Job) -> bool:
        entry, scope = server.entry, job.klass.scope
        if entry.state is not ServerState.READY or entry.server in job.tried:
            return False
        if not job.ran or job.klass.repeat is i.Repeat.SAFE or scope is i.Scope.ALL:
            return True
        first = job.ran[0][0]
        return entry.zone == first.zone if scope is i.Scope.ZONE else entry.cell == first.cell

    def _sample(self, job: Job) -> list[str]:
        """A few servers from the ring, at random; a group's points come from its name, at every node."""
        if self.ring_stale:
            self._build_ring()
        found, suspect = dict[str, None](), dict[str, None]()
        draw = job.request.group if self.s.groups else ""
        most = CANDIDATES + self.s.groups  # a group's home and two others
        for n in range(4 * most if self.ring else 0):
            point = crc32(f"{job.rounds}/{n}/{draw}".encode()) if draw else self.random.getrandbits(32)
            name = self.ring[bisect_left(self.ring, (point, "")) % len(self.ring)][1]
            if self._usable(self.servers[name], job) and self._cold_allows(self.servers[name], job):
                (suspect if self.now < self.servers[name].suspect_until else found)[name] = None
        among = list(found or suspect)  # suspects rather than none: all may be suspect after a cut
        far = [n for n in among if self._far(self.servers[n])]
        near = [n for n in among if n not in far]
        return (near[:most - 1] + far[:1] + near[most - 1:] + far[1:])[:most]  # one way out of a full zone

    def _far(self, server: Server) -> bool:
        """Whether a connection there pays for its crossing between zones."""
        return self.s.cross_zone > 0 and server.entry.zone != self.s.zone

    def _build_ring(self) -> None:
        ready = [s.entry for s in self.servers.values() if s.entry.state is ServerState.READY]
        stable = self.s.weight_kind in (WeightKind.NOMINAL, WeightKind.ROUGH)
        self.mean_weight = mean = sum(max(e.weight, 0.0) for e in ready) / len(ready) if ready else 1.0
        self.ring = sorted(
            (crc32(f"{e.server}#{n}".encode()), e.server) for e in ready
            for n in range(max(1, round(POINTS * e.weight / mean)) if stable and mean > 0 else POINTS))
        self.ring_stale = False

    # ---- cost, capacity, shares

    def _learn_work(self, work: float) -> None:
        self.mean_work += (work - self.mean_work) / (16 if self.mean_work else 1) if work > 0 else 0.0

    def _cost(self, job: Job) -> float:
        """The request's load in mean connections."""
        hint = job.request.load_hint
        return min(hint / self.mean_work, 100.0) if hint > 0 and self.mean_work > 0 else 1.0

    def _full(self) -> float:
        """Mean connections that fill a server, by this node's part of them and the mean load; by its cores no
        fewer, where a rough weight counts them."""
        one_core = 1e6 / self.mean_work if self.mean_work > 0 else 1.0  # a server has one core at the least
        if self.s.weight_kind is WeightKind.ROUGH:
            # Guards against refusing the crowd that comes to a node with few connections, since it has just
            # started or was emptied a moment ago, when another one sends its clients away.
            one_core *= min(max(self.mean_weight, 1.0), MOST_CORES)
        return max(len(self.connections) * self._part() / max(self.mean_load, 0.05), one_core, LEAST_FULL)

    def _part(self) -> float:
        return self.s.fleet_size / max(1, len(self.servers))  # a mean server's load for each of this node's

    def _coldness(self, server: Server) -> float:
        """Part of its capacity that a server has for certain by its start time; 1 when warm."""
        if not server.entry.started_us or self.s.cold_us <= 0:
            return 1.0
        age = (self.now - server.entry.started_us) / self.s.cold_us
        return min(1.0, self.s.start_capacity + (1 - self.s.start_capacity) * max(0.0, age))

    def _cold_allows(self, server: Server, job: Job) -> bool:
        """Guards against pushing a cold server over: this node's part of what all may have standing there."""
        coldness = self._coldness(server)
        if coldness >= 1:
            return True
        works = [self.connections[r].work / self.mean_work if self.mean_work else 1.0 for r in server.open]
        held = len(server.coming) + max(len(works), sum(works))  # a light one may grow
        # Rounded at random: with a part below one connection, some nodes may send one and the others none.
        return held + self._cost(job) <= LIMIT * coldness * self._full() / self.s.fleet_size + server.chance

    def _worth(self, klass: i.RequestClass, tenant: int) -> float:
        """Worth for each unit of work. A tenant's share is judged by this node's part of its quota."""
        part = self.s.tenants[tenant].quota_connections / self.s.fleet_size if self.s.tenants else 0.0
        over = part > 0 and self.tenant_open[tenant] + 2 > 1.25 * (part + 2)  # two of grace: few are noisy
        return klass.worth * (self.s.over_share_worth if over else 1)

    # ---- helpers

    def _do(self, action: Action) -> None:
        self.actions.append(action)

    def _jitter(self, base: float, cap: float, n: int) -> float:
        return self.random.uniform(0, min(cap, base * 2**min(n, 30)))

    def _after(self, delay_us: float, then: Callable[[], None]) -> None:
        self.last_timer += 1
        self.timers[self.last_timer] = then
        self._do(i.SetTimer(self.last_timer, max(1, int(delay_us))))

    def _log(self, kind: str, text: str) -> None:
        if self.now - self.logged.get(kind, -LOG_GAP_US) >= LOG_GAP_US:
            self.logged[kind] = self.now
            self._do(i.Log(text))
