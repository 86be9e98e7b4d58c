"""Every decision of the balancer, with known.py and moves.py. What comes in is in events.py, what goes out in
actions.py.

Placements follow one mechanism: a random split over sampled ready backends, tilted toward low load and
flattened as figures age; failed placements wait a full-jitter exponential backoff and go elsewhere.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from functools import partial
from zlib import crc32

from .actions import Fail, NotSentReason, Reject, StartAttempt, WatchEndpointList
from .connections import PendingRequest
from .endpoints import Backend
from .events import (
    NEVER_EXECUTED,
    UNRESPONSIVE,
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    ConnectionAdopted,
    ConnectionEstablished,
    ConnectionLoadReport,
    EndpointListError,
    EndpointListUpdate,
    HealthCheckResult,
    LoadReport,
    MessageLatencyReport,
    Request,
    SettingsChanged,
    TimerFired,
)
from .load_estimate import FULL_LOAD, REPORT_DELAY_US
from .moves import DRAIN_SPREAD_US, MOVE_AT, MOVE_HOLD_US, Moves
from .node import MEMORY_US
from .retry_policy import full_jitter_us, may_client_retry
from .settings import LoadReportSource, Settings

SETUP_AIMS = 2.0  # aims: set-up time-out; later than that the attempt is worth little
PROBE_PART = 1 / 6  # of the class's aim: longest wait for health checks before a placement
LIST_BASE_US = 500_000  # us: the paper's base, for failed list calls
CANDIDATES = 2  # backends: sampled and probed for a placement; more costs health checks and brings herding
FRESH_US = 500_000  # us: a report this new needs no health check
TILT = 4.0  # power of spare capacity in the split
FAR = 0.1  # tilt of a backend in another zone, where crossings cost: taken at nearly twice the spare room
KIN = 64.0  # tilt of a backend that holds some of the group, which shares their work: at a third of the room
KIN_MOST = 2  # backends that hold most of the group and are candidates
CALM = 0.5  # mean load up to which there is room elsewhere: a full backend sheds at once
RETURN = 0.25  # of the guard against herding, for what comes back to a node that has just started
MOVE_TOLD = 1.0  # load in any report above which some move, though no message was late
SHED_US = 5_000_000  # us: for so long after a drop, any report above MOVE_AT moves some
THROTTLE = 2.0  # wanted placements for each that stood before some are held back
FULL_SAY = 0.2  # of an error's say in the throttle: probing a full fleet for every waiting client is vain


class Balancer(Moves):
    """Decides for one node. Call `handle` with each event; carry out what it returns, in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._watch = partial(self.context.emit, WatchEndpointList())
        self.handlers = {
            SettingsChanged: self._retune,
            Request: self._request,
            TimerFired: self.timers.on_fired,
            ConnectionEstablished: self._established,
            AttemptEnded: self._outcome,
            HealthCheckResult: self._probed,
            ClientDisconnected: lambda e: self.pending_requests.pop(e.request_id, None),
            ConnectionLoadReport: self.connections.on_load_report,
            MessageLatencyReport: self._late,
            EndpointListUpdate: self._list,
            ConnectionAdopted: self._open,
            EndpointListError: self._list_error,
        }

    def _list(self, update: EndpointListUpdate) -> None:
        self.context.on_endpoint_list()
        self.endpoints.update(update, self._on_draining)
        if self.context.settings.polls_endpoint_list:
            if not self.watching:  # start jitter: all nodes at once would drown the list service
                self.timers.start(
                    self.context.random.uniform(0, self.context.settings.poll_within_us / 4), self._watch
                )
            self.watching, self.list_errors = True, 0

    def _on_draining(self, backend: Backend) -> None:
        count = len(backend.connections)
        self.context.log("drain", f"{backend.entry.backend} drains; {count} connections are told to move")
        self._move_soon(list(backend.connections), DRAIN_SPREAD_US)

    def _list_error(self, _: EndpointListError) -> None:
        self.context.log("list", "list call failed or watch lost; asking again")
        max_us = self.context.settings.poll_within_us / 4
        delay_us = full_jitter_us(self.context.random, LIST_BASE_US, max_us, self.list_errors)
        self.timers.start(delay_us, self._watch)
        self.list_errors += 1

    def _request(self, request: Request) -> None:
        self.connections.learn_work(request.load_hint)
        request_class = self.context.settings.classes[request.request_class]
        pending = PendingRequest(
            request,
            request_class,
            self.context.now_us + min(request.expires_us, request_class.deadline_us),
            self.context.settings.max_attempts,
        )
        self.pending_requests[request.request_id] = pending
        self._consider(pending)

    def _consider(self, pending: PendingRequest) -> None:
        """Sample candidates; health check those whose figures are old; place when the answers are in."""
        good, bad = self.good.add(self.context.now_us, 0), self.bad.add(self.context.now_us, 0)
        held_back = self.context.random.random() < (good + bad - THROTTLE * good) / (good + bad + 1)
        if (
            held_back and not self.slow_start.backend_with_open_slot()
        ):  # a turn is within what a backend in slow start bears
            self.bad.add(
                self.context.now_us, 1
            )  # guards against drowning what all backends depend on: hold back
            self.context.log("hold", "placements held back: errors, time-outs or full servers abound")
            self._retry(pending, NotSentReason.THROTTLED)
            return
        pending.generation += 1
        pending.candidates, pending.unchecked = self._sample(pending), {}
        settings = self.context.settings
        reported = settings.load_report_source is not LoadReportSource.NONE
        if settings.may_check_health and reported and len(self.endpoints.backends) > 1:
            for name in pending.candidates:
                backend = self.endpoints.backends[name]
                if backend.load is None or self.context.now_us - backend.reported_at_us > FRESH_US:
                    pending.unchecked[name] = None
                    backend.awaiting_probe.append(pending.request.request_id)
                    self._probe(backend)
        if not pending.unchecked:
            self._place(pending)
        else:  # the timer is the fallback for health checks that stay unanswered
            wait = min(
                pending.request_class.latency_objective_us * PROBE_PART,
                (pending.deadline_us - self.context.now_us) / 2,
            )
            self.timers.start(wait, partial(self._resume, pending, pending.generation, self._place))

    def _resume(self, pending: PendingRequest, turn: int, then: Callable[[PendingRequest], None]) -> None:
        known = self.pending_requests.get(pending.request.request_id)
        if known is pending and pending.generation == turn and not pending.attempt_in_flight:
            then(pending)

    def _sample(self, pending: PendingRequest) -> list[str]:
        """A few backends from the ring, at random; a group's points come from its name, at every node."""
        ring_is_filled = self.endpoints.refresh_ring()
        found, suspect = dict[str, None](), dict[str, None]()
        draw = pending.request.sticky_group if self.context.settings.sticky_groups else ""
        most = CANDIDATES + self.context.settings.sticky_groups  # a group's home and two others
        points = (
            crc32(f"{pending.failed_rounds}/{n}/{draw}".encode())
            if draw
            else self.context.random.getrandbits(32)
            for n in range(4 * most if ring_is_filled else 0)
        )
        drawn = self.endpoints.at_points(points)
        kin = [
            name for name, _ in self.connections.sticky_backends.get(draw, Counter()).most_common(KIN_MOST)
        ]
        for name in kin + self.slow_start.backend_with_open_slot() + drawn:
            if (
                name in self.endpoints.backends
                and self._usable(self.endpoints.backends[name], pending)
                and self.slow_start.allows(self.endpoints.backends[name], pending)
            ):
                (suspect if self.context.now_us < self.endpoints.backends[name].ejected_until_us else found)[
                    name
                ] = None
        among = list(found or suspect)  # suspects rather than none: all may be suspect after a cut
        far = [n for n in among if self.endpoints.is_cross_zone(self.endpoints.backends[n])]
        near = [n for n in among if n not in far]
        return (near[: most - 1] + far[:1] + near[most - 1 :] + far[1:])[:most]  # one way out of a full zone

    def _place(self, pending: PendingRequest) -> None:
        """The split: a random choice among the candidates, in proportion to a power of spare capacity."""
        best, best_score, fit = "", 0.0, 0
        for name in pending.candidates:
            backend = self.endpoints.backends.get(name)
            if backend is None or name in pending.unchecked or not self._usable(backend, pending):
                continue
            spare = FULL_LOAD - self.load_estimate.load(backend)
            weight = max(0.0, spare) ** TILT * (FAR if self.endpoints.is_cross_zone(backend) else 1.0)
            weight *= KIN if self.connections.holds_group(name, pending.request.sticky_group) else 1.0
            if weight <= 0 or not self.slow_start.allows(backend, pending):
                continue
            fit += 1
            draw = pending.request.sticky_group if self.context.settings.sticky_groups else ""
            u = (crc32(f"{draw}|{name}".encode()) + 0.5) / 2**32 if draw else self.context.random.random()
            score = weight / -math.log(max(u, 1e-12))
            if score > best_score:
                best, best_score = name, score
        pending.unchecked = {}  # guards against a second placement by health checks that come back later
        # Guards against herding: what all nodes may send before it shows must fit into the spare capacity.
        # What comes back to a node that has just started is load that the backends bore a moment ago, and a
        # crowd that waits must not count itself again and again.
        back = self.context.is_new_node() and pending.request.is_reconnect
        asked = self.asked.add(self.context.now_us, not (back and pending.failed_rounds))
        blind = (
            (RETURN if back else 1.0)
            * asked
            * REPORT_DELAY_US
            / MEMORY_US
            * self.load_estimate.nodes_per_backend()
            / self.load_estimate.full_connections()
        )
        left = len(self.endpoints.backends) - self.endpoints.count_unavailable(
            self.context.now_us
        )  # these alone share what all nodes send
        blind *= len(self.endpoints.backends) / max(1, left)
        blind *= (
            len(pending.candidates)
            / max(1, fit)
            * (self.context.settings.load_report_source is not LoadReportSource.NONE)
        )  # few meet all
        if (
            best and self.slow_start.capacity(self.endpoints.backends[best]) < 1
        ):  # what all may send it is dealt out
            blind = self.slow_start.unseen_load(self.endpoints.backends[best])
        crowded = best and self.context.random.random() * blind > FULL_LOAD - self.load_estimate.load(
            self.endpoints.backends[best]
        )
        if not best or crowded:
            if pending.candidates:  # a look that probed nobody costs nobody
                self.bad.add(self.context.now_us, FULL_SAY)
            self._retry(pending, self._why_not_placed(pending))
            return
        backend, cost = self.endpoints.backends[best], self.connections.cost(pending.request)
        pending.attempt_in_flight = True
        pending.attempted.append(best)
        self.load_estimate.add_sent(backend, cost)
        timeout = min(
            pending.deadline_us - self.context.now_us,
            int(pending.request_class.latency_objective_us * SETUP_AIMS),
        )
        self.context.emit(
            StartAttempt(
                pending.request.request_id, best, max(1, timeout), self.slow_start.allowance(backend)
            )
        )
        self.slow_start.use_slots(backend, cost)
        backend.in_flight.add(pending.request.request_id)
        pending.possibly_executed.append((backend.entry, self.context.now_us))

    def _why_not_placed(self, pending: PendingRequest) -> NotSentReason:
        """Why none of the backends was taken."""
        if pending.candidates:
            return NotSentReason.NO_CAPACITY
        usable = any(self._usable(backend, pending) for backend in self.endpoints.backends.values())
        return NotSentReason.SLOW_START if usable else NotSentReason.NO_CANDIDATE

    def _retry(self, pending: PendingRequest, reason: NotSentReason) -> None:
        """Wait the next full-jitter delay and consider other backends, or give up at once."""
        pending.not_sent_reason = reason
        pending.failed_rounds += 1
        # A round that sent nothing may wait for a send slot in place of its backoff.
        next_slot = self.slow_start.next_slot if reason is not NotSentReason.ATTEMPT_FAILED else None
        now_us, random = self.context.now_us, self.context.random
        delay_us = self.retry_policy.next_attempt(pending, now_us, random, next_slot)
        if delay_us is None:
            self._answer(pending)
        else:
            pending.generation += 1
            self.timers.start(delay_us, partial(self._resume, pending, pending.generation, self._consider))

    def _answer(self, pending: PendingRequest) -> None:
        """The one final answer: a rejection where it is harmless to try again, else a failure."""
        request_id, reason = pending.request.request_id, pending.not_sent_reason
        del self.pending_requests[request_id]
        settings, random = self.context.settings, self.context.random
        retry_after_us = int(random.uniform(0, settings.max_retry_after_us)) if settings.retry_after else 0
        if may_client_retry(pending):
            self.context.emit(Reject(request_id, retry_after_us, reason))
        else:
            self.context.emit(Fail(request_id, reason))

    def _established(self, event: ConnectionEstablished) -> None:
        self.good.add(self.context.now_us, 1)
        if event.request_id in self.pending_requests:
            self._stand(self.pending_requests.pop(event.request_id).request, event.backend)
        if event.backend in self.endpoints.backends:
            self.endpoints.backends[event.backend].in_flight.discard(event.request_id)
            self.outliers.on_established(self.endpoints.backends[event.backend])

    def _open(self, event: ConnectionAdopted) -> None:
        self.context.on_adopted()
        self._stand(event.request, event.backend)

    def _outcome(self, outcome: AttemptEnded) -> None:
        backend = self.endpoints.backends.get(outcome.backend)
        if backend:
            backend.in_flight.discard(outcome.request_id)
        if backend and outcome.load_report:
            self.load_estimate.on_report(backend, outcome.load_report)
        if outcome.request_id in self.connections.by_id:
            self.connections.remove(outcome.request_id)
            if outcome.result is AttemptResult.RESET and backend:
                self.outliers.on_unresponsive(backend)
                # An overloaded backend drops connections, then looks well loaded while its messages are late.
                backend.overloaded_until_us = self.context.now_us + SHED_US
                self._look_at(backend)
            return
        if backend:
            self.outliers.on_attempt_ended(backend, outcome.result)
            if outcome.result is AttemptResult.OVERLOADED:
                self.load_estimate.on_overloaded(backend)
        if (
            outcome.result is AttemptResult.TIMEOUT
            or outcome.result is AttemptResult.ERROR
            and (not backend or self.outliers.has_failed_repeatedly(backend))
        ):  # one may be the request's own doing
            self.bad.add(self.context.now_us, 1)
        pending = self.pending_requests.get(outcome.request_id)
        if pending is None or outcome.is_final:
            self.pending_requests.pop(outcome.request_id, None)
            return
        pending.attempt_in_flight = False
        if outcome.result in NEVER_EXECUTED and pending.possibly_executed:
            pending.possibly_executed.pop()
        if self.retry_policy.may_retry(pending, outcome.result, self.context.now_us):
            self._retry(pending, NotSentReason.ATTEMPT_FAILED)
        else:
            pending.not_sent_reason = NotSentReason.NOT_RETRYABLE
            self._answer(pending)

    def _probed(self, event: HealthCheckResult) -> None:
        backend = self.endpoints.backends.get(event.backend)
        if backend is None:
            return
        waiters, backend.awaiting_probe, backend.health_check_pending = backend.awaiting_probe, [], False
        silent = event.result in UNRESPONSIVE
        if silent:
            self.outliers.on_unresponsive(backend)
        else:
            self.outliers.on_health_check_passed(backend)
            self.load_estimate.on_report(backend, event.load_report or LoadReport())
        # Guards against a slow backend whose messages tell nothing: any report above the limit moves some.
        # Where no message is ever late (another layer answers them), reports are the only sign.
        alone = not self.late_told and self.load_estimate.mean_load < CALM
        limit = MOVE_AT if self.context.now_us < backend.overloaded_until_us or alone else MOVE_TOLD
        high = (
            not silent
            and (backend.load or 0.0) > limit
            and self.context.now_us >= backend.no_migration_until_us
        )
        if -1 in waiters or high:
            backend.no_migration_until_us = max(
                backend.no_migration_until_us, self.context.now_us + MOVE_HOLD_US
            )
            self._move_some(backend, None if silent else backend.load)
        for pending in [self.pending_requests[n] for n in waiters if n in self.pending_requests]:
            if event.backend in pending.unchecked:
                del pending.unchecked[event.backend]
                if silent:
                    pending.candidates.remove(event.backend)
                if not pending.unchecked:
                    self._place(pending)
