"""Every decision of the balancer, with known.py and moves.py. Its interface is interface.py.

Placements follow one mechanism: a random split over sampled ready servers, tilted toward low load and
flattened as figures age; failed placements wait a full-jitter exponential backoff and go elsewhere.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import Counter
from collections.abc import Callable
from functools import partial
from zlib import crc32

from . import interface as i
from .interface import HoldReason, Result, ServerState
from .moves import DRAIN_SPREAD_US, MOVE_AT, MOVE_HOLD_US, Moves
from .node import MEMORY_US
from .records import Job, Server
from .slow_start import BLIND_US, LIMIT

ATTEMPTS = 5  # rounds: the paper's default, first included; of them no more than told may send
BASE_PART = 1 / 6  # of the class's aim: first backoff ceiling, so that a retry can still be in time
CAP_PART = 1 / 4  # of the class's deadline: backoff ceiling, leaves time for several attempts
SETUP_AIMS = 2.0  # aims: set-up time-out; later than that the attempt is worth little
PROBE_PART = 1 / 6  # of the class's aim: longest wait for probes before a placement
LIST_BASE_US = 500_000  # us: the paper's base, for failed list calls
CANDIDATES = 2  # servers: sampled and probed for a placement; more costs probes and brings herding
FRESH_US = 500_000  # us: a report this new needs no probe
TILT = 4.0  # power of spare capacity in the split
FAR = 0.1  # tilt of a server in another zone, where crossings cost: taken at nearly twice the spare room
KIN = 64.0  # tilt of a server that holds some of the group, which shares their work: at a third of the room
KIN_MOST = 2  # servers that hold most of the group and are candidates
CALM = 0.5  # mean load up to which there is room elsewhere: a full server sheds at once
ERRORS = 2  # plain errors in a row from which a server is suspected; a single one may be the request's doing
RETURN = 0.25  # of the guard against herding, for what comes back to a node that has just started
NEW_US = 10_000_000  # us: so long after its start a node has seen too few connections to judge by
MOVE_TOLD = 1.0  # load in any report above which some move, though no message was late
SHED_US = 5_000_000  # us: for so long after a drop, any report above MOVE_AT moves some
THROTTLE = 2.0  # wanted placements for each that stood before some are held back
FULL_SAY = 0.2  # of an error's say in the throttle: probing a full fleet for every waiting client is vain
TURN_SPARE_US = 300_000  # us: time that an attempt needs after it has waited for a turn


class Balancer(Moves):
    """Decides for one node. Call `handle` with each event; carry out what it returns, in order."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._watch = partial(self._do, i.WatchList())
        self.handlers = {
            i.NewSettings: self._retune,
            i.Request: self._request,
            i.TimerFired: lambda e: self.timers.pop(e.timer, int)(),
            i.Established: self._established,
            i.Outcome: self._outcome,
            i.ProbeResult: self._probed,
            i.ClientGone: lambda e: self.jobs.pop(e.request, None),
            i.LoadNote: self._load_note,
            i.DelayNote: self._late,
            i.ListUpdate: self._list,
            i.OpenConnection: self._open,
            i.ListError: self._list_error,
        }

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
        job = Job(request, klass, self.now + min(request.expires_us, klass.deadline_us), self.s.max_attempts)
        self.jobs[request.request] = job
        self._consider(job)

    def _consider(self, job: Job) -> None:
        """Sample candidates; probe those whose figures are old; place when the answers are in."""
        good, bad = self.good.add(self.now, 0), self.bad.add(self.now, 0)
        held_back = self.random.random() < (good + bad - THROTTLE * good) / (good + bad + 1)
        if held_back and not self._in_turn():  # a turn is within what a server in slow start bears
            self.bad.add(self.now, 1)  # guards against drowning what all servers depend on: hold back
            self._log("hold", "placements held back: errors, time-outs or full servers abound")
            self._again(job, HoldReason.THROTTLED)
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

    def _sample(self, job: Job) -> list[str]:
        """A few servers from the ring, at random; a group's points come from its name, at every node."""
        if self.ring_stale:
            self._build_ring()
        found, suspect = dict[str, None](), dict[str, None]()
        draw = job.request.group if self.s.groups else ""
        most = CANDIDATES + self.s.groups  # a group's home and two others
        points = (
            crc32(f"{job.rounds}/{n}/{draw}".encode()) if draw else self.random.getrandbits(32)
            for n in range(4 * most if self.ring else 0)
        )
        drawn = [self.ring[bisect_left(self.ring, (point, "")) % len(self.ring)][1] for point in points]
        kin = [name for name, _ in self.kin.get(draw, Counter()).most_common(KIN_MOST)]
        for name in kin + self._in_turn() + drawn:
            if (
                name in self.servers
                and self._usable(self.servers[name], job)
                and self._cold_allows(self.servers[name], job)
            ):
                (suspect if self.now < self.servers[name].suspect_until else found)[name] = None
        among = list(found or suspect)  # suspects rather than none: all may be suspect after a cut
        far = [n for n in among if self._far(self.servers[n])]
        near = [n for n in among if n not in far]
        return (near[: most - 1] + far[:1] + near[most - 1 :] + far[1:])[:most]  # one way out of a full zone

    def _place(self, job: Job) -> None:
        """The split: a random choice among the candidates, in proportion to a power of spare capacity."""
        best, best_score, fit = "", 0.0, 0
        for name in job.candidates:
            server = self.servers.get(name)
            if server is None or name in job.missing or not self._usable(server, job):
                continue
            spare = LIMIT - self._load(server)
            weight = max(0.0, spare) ** TILT * (FAR if self._far(server) else 1.0)
            weight *= KIN if self._holds(name, job.request.group) else 1.0
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
        if best and self._coldness(self.servers[best]) < 1:  # what all may send it is dealt out
            blind = self._cold_blind(self.servers[best])
        crowded = best and self.random.random() * blind > LIMIT - self._load(self.servers[best])
        if not best or crowded:
            if job.candidates:  # a look that probed nobody costs nobody
                self.bad.add(self.now, FULL_SAY)
            self._again(job, self._why_not_placed(job))
            return
        server, cost = self.servers[best], self._cost(job)
        job.out = True
        job.tried.append(best)
        server.own += cost / self._full()
        timeout = min(job.deadline - self.now, int(job.klass.aim_us * SETUP_AIMS))
        self._do(i.Start(job.request.request, best, max(1, timeout), self._slow_start_room(server)))
        self._use_turn(server, cost)
        server.coming.add(job.request.request)
        job.ran.append((server.entry, self.now))

    def _why_not_placed(self, job: Job) -> HoldReason:
        """Why none of the servers was taken."""
        if job.candidates:
            return HoldReason.NO_ROOM
        usable = any(self._usable(server, job) for server in self.servers.values())
        return HoldReason.SLOW_START if usable else HoldReason.NO_CANDIDATE

    def _again(self, job: Job, why: HoldReason = HoldReason.ATTEMPT_FAILED) -> None:
        """Wait the next full-jitter delay and consider other servers, or give up at once."""
        job.held = why
        job.rounds += 1
        wait = self._jitter(job.klass.aim_us * BASE_PART, job.klass.deadline_us * CAP_PART, job.rounds - 1)
        # Guards against a wait in vain: past the window of its first try no keyed request goes out again.
        keyed = job.ran and job.klass.repeat is i.Repeat.KEYED
        until = min(job.deadline, job.ran[0][1] + job.klass.dedup_window_us) if keyed else job.deadline
        spent = job.rounds >= ATTEMPTS or len(job.tried) >= job.most  # a look that sent nothing is no attempt
        late = self.now + wait + 2 * self.s.resolution_us >= until
        # A look that sent nothing may wait for a turn at a server in slow start in place of its delay.
        turn = self._next_turn(until - TURN_SPARE_US) if why is not HoldReason.ATTEMPT_FAILED else None
        if turn and (spent or late or turn.start_us < self.now + wait):
            turn.reserved = True
            wait, spent, late = turn.start_us - self.now, False, False
        if spent or late:
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
        self._do(i.Refuse(name, pause, job.held) if harmless else i.Fail(name, job.held))

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
        if (
            outcome.result is Result.TIMEOUT
            or outcome.result is Result.ERROR
            and (not server or server.errors >= ERRORS)
        ):  # one may be the request's own doing
            self.bad.add(self.now, 1)
        job = self.jobs.get(outcome.request)
        if job is None or outcome.final:
            self.jobs.pop(outcome.request, None)
            return
        job.out = False
        if outcome.result in i.NEVER_RAN and job.ran:
            job.ran.pop()
        # Guards against doubled effects: a keyed request repeats only within the window of its first try.
        once = (
            job.ran
            and job.klass.repeat is not i.Repeat.SAFE
            and (job.klass.repeat is i.Repeat.UNSAFE or self.now >= job.ran[0][1] + job.klass.dedup_window_us)
        )
        over = once or outcome.result in (Result.ERROR, Result.CANCELLED, Result.MOOT)
        job.held = HoldReason.NOT_REPEATABLE if over else HoldReason.ATTEMPT_FAILED
        (self._answer if over else self._again)(job)

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
