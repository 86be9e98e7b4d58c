"""The relay core: gathers what is ready, hands it to the decision module in one go, carries out what came back.

It owns every visit's number, attempts, deadline and one final answer. It decides nothing itself.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from itertools import count

from milletdeal import interface as i

from .adopted import ADOPTED_TRY_US, ADOPTED_US, once_more
from .attempt_error import AttemptError, AttemptPhase, Cause
from .backends import Backends
from .classes import ClassBook
from .counters import Counters
from .duty import Duty
from .lifecycle import Lifecycle
from .liveness import Liveness
from .ports import Call, ClientSide, Decider, Ending, ListWatcher, Prober
from .request_log import RequestLog
from .timer_wheel import Timer, TimerWheel
from .visit import Attempt, Stage, UpstreamConnector, Visit

log = logging.getLogger("gradefront.core")

ANSWER_MARGIN_US = 40_000  # the answer must travel, and be sent by a busy relay, before the client gives up
NET_US = 12_000  # the safety net's time after the deadline that the module is told; within the margin


class RelayCore:
    """One relay's visits, round one decision module."""

    def __init__(
        self,
        decider: Decider,
        settings: i.Settings,
        clock: Callable[[], int],
        poke: Callable[[], None],
        tells_delay: bool = True,
        class_names: tuple[str, ...] = (),
    ) -> None:
        self.decider = decider
        # Classes without a name are named by their place.
        self.book = ClassBook().take(
            class_names or tuple(str(n) for n in range(len(settings.classes))), settings.classes, ()
        )
        self.settings = settings
        self.clock = clock
        self.poke = poke  # asks the platform for a turn soon
        self.counters = Counters()
        self.request_log = RequestLog(self)
        self.timers = TimerWheel(clock())
        self.inbox: list[i.Event] = []
        self.visits: dict[int, Visit] = {}
        self.numbers = count(1)
        self.backends = Backends()
        self.prober: Prober | None = None
        self.watcher: ListWatcher | None = None
        self.liveness = Liveness(self, settings.classes, tells_delay)
        self.lifecycle = Lifecycle(self, settings.classes)

    # ---- settings

    def retuned(self, settings: i.Settings, class_names: tuple[str, ...]) -> tuple[ClassBook, i.Settings]:
        """What `retune` would take: the book of classes, and the settings with all that visits may hold. Changes
        nothing. Raises NoRoom."""
        held = {visit.call.klass for visit in self.visits.values()}
        book = self.book.take(class_names, settings.classes, held)
        return book, replace(settings, classes=book.rules)

    def retune(self, book: ClassBook, settings: i.Settings, tells_delay: bool) -> None:
        """Take them, for visits that come from now on."""
        self.book, self.settings = book, settings
        classes = tuple(book.rules[n] for n in book.current)
        self.liveness.heed(classes, tells_delay)
        self.lifecycle.heed(classes)
        self.put(i.NewSettings(settings))

    # ---- time and turns

    def after(self, delay_us: int, then: Callable[[], None]) -> Timer:
        """Run `then` at the first tick after the delay."""
        timer = self.timers.set(self.clock() + delay_us, then)
        self.poke()
        return timer

    def put(self, event: i.Event) -> None:
        """Keep an event for the next turn."""
        if not self.inbox:
            self.poke()
        self.inbox.append(event)

    def turn(self) -> None:
        """One turn: due timers, then all gathered events to the module, then all its actions."""
        for then in self.timers.turn(self.clock()):
            try:
                then()
            except Exception:  # a broken timer must not stop the others
                log.exception("a timer failed")
        events, self.inbox = self.inbox, []
        now, actions = self.clock(), list[i.Action]()
        for event in events:
            try:
                actions += self.decider.handle(now, event)
            except Exception:
                self._stop(event)
        for action in actions:
            try:
                self._carry_out(action)
            except Exception:
                self._stop(action)

    def _stop(self, what: object) -> None:
        """An exception stops at the visit that it came from; that visit still gets its one answer."""
        log.exception("failed on %s", type(what).__name__)
        self.counters.add("exceptions")
        visit = self.visits.get(getattr(what, "request", 0))
        if visit:
            self.put(i.ClientGone(visit.number))
            try:
                self.answer(visit, None)
            except Exception:  # guards the rest of the batch
                log.exception("a client could not be answered")

    def _carry_out(self, action: i.Action) -> None:
        match action:
            case i.Start():
                self._start(action)
            case i.SetTimer():
                self.timers.set(self.clock() + action.delay_us, partial(self.put, i.TimerFired(action.timer)))
            case i.Refuse() | i.Fail():
                visit = self.visits.get(action.request)
                if visit:
                    self.answer(visit, action)
            case i.Move():
                visit = self.visits.get(action.request)
                # On leaving, a visit whose box goes on serving is told last: now no relay might take it in.
                box = visit.attempt.box if visit and visit.attempt else ""
                if visit and not (self.lifecycle.duty is Duty.LEAVING and self.serves(box)):
                    self.move(visit)
            case i.Probe():
                self.counters.add("probes")
                if self.prober:
                    self.prober.ask(action.server)
            case i.WatchList():
                self.counters.add("list_calls")
                if self.watcher:
                    self.watcher.watch()
            case i.Log():
                log.info("module: %s", action.text)

    # ---- the box list and probes

    def listed(self, update: i.ListUpdate) -> None:
        """News of the box list."""
        draining, gone = self.backends.apply(update)
        for box in draining:
            log.info("push box %s drains", box)
        for box in gone:
            self.liveness.quiet.forget(box)
        self.put(update)
        self.lifecycle.say_ready()

    def list_lost(self, why: str) -> None:
        """A call for the list failed, or the watch on it ended."""
        log.warning("box list lost: %s", why)
        self.counters.add("list_errors")
        self.put(i.ListError())

    @property
    def begins(self) -> bool:
        """Whether anything new is begun."""
        return self.lifecycle.begins

    def serves(self, box: str) -> bool:
        """Whether the box list, as last heard, lets new work go there."""
        return self.backends.state(box) is i.ServerState.READY

    def told_load(self, box: str, result: i.Result, took_us: int, report: i.LoadReport | None) -> None:
        """The answer to one question to a push box."""
        if result is not i.Result.OK:
            self.counters.add("probes_failed")
        self.put(i.ProbeResult(box, result, took_us, report))

    # ---- visits that come

    def arrive(self, call: Call, client: ClientSide, caller: UpstreamConnector) -> Visit:
        """A client asks to be connected."""
        visit = self.new_visit(call, client, caller, max(1, call.patience_us - ANSWER_MARGIN_US))
        self.counters.add("visits")
        if not self.begins:  # read after the last answers: it is answered at once, and never sent on
            self.answer(visit, i.Refuse(visit.number))
            return visit
        if call.came_back:
            self.counters.add("visits_came_back")
        visit.watch = self.timers.set(visit.deadline_us + NET_US, partial(self._overdue, visit))
        self.put(visit.request(self.clock()))
        return visit

    def adopt_connection(self, call: Call, client: ClientSide, caller: UpstreamConnector, box: str) -> Visit:
        """A visit that stood at `box` before this relay started: it goes there and nowhere else."""
        visit = self.new_visit(call, client, caller, ADOPTED_US, box)
        self.counters.add("visits_brought")
        if not self.begins:
            self.answer(visit, None)
            return visit
        visit.watch = self.after(ADOPTED_US, partial(self._overdue, visit))
        self.begin_attempt(visit, box, min(visit.deadline_us, self.clock() + ADOPTED_TRY_US))
        return visit

    def new_visit(
        self, call: Call, client: ClientSide, caller: UpstreamConnector, patience_us: int, pinned: str = ""
    ) -> Visit:
        """Keep a visit, under the next number."""
        now = self.clock()
        visit = Visit(next(self.numbers), call, client, caller, now, now + patience_us, self.settings, pinned)
        self.visits[visit.number] = visit
        return visit

    def client_left(self, visit: Visit, how: Ending) -> None:
        """The client ended its side. Nothing more is owed to it."""
        if visit.stage is Stage.CLOSED:
            return
        standing, attempt = visit.stage is Stage.ESTABLISHED, visit.attempt
        self.counters.add("ended_by_client" if standing else "gave_up_waiting")
        if not standing and not visit.pinned:
            self.put(i.ClientGone(visit.number))
        self.over(visit)
        if attempt:
            attempt.close(how)
            if standing or not visit.pinned:
                self.tell_end(attempt, AttemptError(attempt.phase, Cause.CALLED_OFF), True)

    def _overdue(self, visit: Visit) -> None:
        """The safety net under the module: an answer in time, whatever happened."""
        if visit.stage in (Stage.QUEUED, Stage.CONNECTING):
            if visit.stage is Stage.QUEUED or visit.pinned:
                log.warning("visit %d was not answered in time; failed", visit.number)
                self.counters.add("overdue")
            self._give_up(visit)

    def count(self, name: str, klass: int) -> None:
        """Count an answer for its class, where it is given."""
        self.counters.add_of_class(name, self.book.names[klass])

    def turn_away(self, visit: Visit) -> None:
        """The client's side broke its protocol before the visit stood: it gets its answer now."""
        if visit.stage in (Stage.QUEUED, Stage.CONNECTING):
            self._give_up(visit)

    def _give_up(self, visit: Visit) -> None:
        """The core itself ends a visit that does not stand; the module is told that it is over."""
        if not visit.pinned:
            self.put(i.ClientGone(visit.number))
        self.answer(visit, None)

    def answer(self, visit: Visit, answer: i.Refuse | i.Fail | None) -> None:
        """The one final answer of a visit that does not stand."""
        if visit.stage is Stage.CLOSED:
            return
        standing, attempt = visit.stage is Stage.ESTABLISHED, visit.attempt
        self.over(visit)
        if attempt:  # only where the core itself gave up: the module answers when nothing is out
            attempt.close(Ending.ORDERLY)
            self.tell_end(attempt, AttemptError(attempt.phase, Cause.CALLED_OFF), True)
        if standing:
            visit.client.move()
        elif isinstance(answer, i.Refuse):
            self.request_log.on_refused(visit, answer)
            visit.client.refuse(answer.retry_after_us)
        else:
            self.request_log.on_failed(visit, answer)
            visit.client.fail()

    def over(self, visit: Visit) -> None:
        """The end of a visit, as far as the core goes."""
        visit.step(Stage.CLOSED)
        visit.attempt = None
        if visit.watch:
            visit.watch.cancel()
        self.visits.pop(visit.number, None)

    # ---- attempts

    def _start(self, start: i.Start) -> None:
        visit = self.visits.get(start.request)
        if (
            visit is None
            or visit.stage is not Stage.QUEUED
            or visit.attempts >= visit.settings.max_attempts
            or not self.begins
        ):
            # Guards against a send after the end, a second copy, and one attempt too many.
            final, number = visit is None or visit.stage is Stage.ESTABLISHED, visit.attempts if visit else 0
            self.put(i.Outcome(start.request, number, start.server, i.Result.MOOT, final))
            return
        self.begin_attempt(visit, start.server, min(visit.deadline_us, self.clock() + start.timeout_us), start.room)

    def begin_attempt(self, visit: Visit, box: str, until_us: int, room: i.SlowStartRoom | None = None) -> None:
        """Begin an attempt; `room`: the server is in slow start, and had this much left."""
        visit.step(Stage.CONNECTING)
        attempt = visit.attempt = Attempt(self, visit, box, until_us, room is not None)
        self.request_log.on_send(attempt, room)
        visit.attempts += 1
        self.counters.add("attempts")
        connect_by = until_us
        if not visit.pinned:
            connect_by = min(until_us, attempt.began_us + visit.settings.connect_timeout_us)
        attempt.timer = self.timers.set(connect_by, partial(attempt.ends, Cause.SILENT))
        attempt.upstream = visit.caller.call(attempt, visit.call.parcel)
        if attempt.over:  # it ended at once, before its upstream connection was known here
            attempt.upstream.hang_up(Ending.ORDERLY)

    def came(self, attempt: Attempt) -> None:
        """An attempt came further: from the connect's patience to the whole attempt's."""
        attempt.wrote_us = attempt.wrote_us or self.clock()
        if attempt.phase is AttemptPhase.SENT:
            self.counters.add("sends_total")
        if attempt.phase is AttemptPhase.WRITING and attempt.timer:
            attempt.timer.cancel()
            attempt.timer = self.timers.set(attempt.until_us, partial(attempt.ends, Cause.SILENT))
            self.poke()

    def stands(self, attempt: Attempt, receipt: object) -> None:
        """A push box took the visit."""
        visit = attempt.visit
        visit.step(Stage.ESTABLISHED)
        attempt.phase = AttemptPhase.UP
        attempt.heard_us = now = self.clock()
        for timer in (attempt.timer, visit.watch):
            if timer:
                timer.cancel()
        if visit.pinned:
            self.put(i.OpenConnection(visit.request(self.clock()), attempt.box))
        else:
            self.put(i.Established(visit.number, attempt.number, attempt.box, now - attempt.began_us))
        self.request_log.on_established(visit)
        assert attempt.upstream is not None
        visit.client.seat(attempt.upstream, receipt)

    def ends(self, attempt: Attempt, attempt_error: AttemptError, how: Ending) -> None:
        """An attempt failed, or a visit that stood ended at the push box's side."""
        visit = attempt.visit
        standing = visit.stage is Stage.ESTABLISHED
        attempt.close(how)
        self.counters.add(f"ended: {attempt_error}")
        if standing:
            self.over(visit)
            self.tell_end(attempt, attempt_error, True)
            visit.client.end(how)
        elif visit.pinned:
            once_more(self, visit, attempt_error)
        else:
            visit.step(Stage.QUEUED)
            visit.attempt = None
            if attempt_error.result not in i.NEVER_RAN:
                visit.ran_us = visit.ran_us or attempt.wrote_us
            self.tell_end(attempt, attempt_error, False)

    def tell_end(self, attempt: Attempt, attempt_error: AttemptError, final: bool) -> None:
        """Tell the module how an attempt ended."""
        self.request_log.on_attempt_end(attempt, attempt_error)
        took = self.clock() - attempt.began_us
        self.put(
            i.Outcome(
                attempt.visit.number, attempt.number, attempt.box, attempt_error.result, final, took, attempt.report
            )
        )

    # ---- visits that stand

    def move(self, visit: Visit) -> None:
        """Tell a client to come again, and end both sides."""
        attempt = visit.attempt
        if visit.stage is not Stage.ESTABLISHED or attempt is None:
            return
        self.over(visit)
        self.counters.add("moved")
        visit.client.move()
        attempt.close(Ending.ORDERLY)
        self.tell_end(attempt, AttemptError(attempt.phase, Cause.CALLED_OFF), True)

    def told_visit_load(self, attempt: Attempt, load: float) -> None:
        """A push box told a visit's load, in microseconds of work a second."""
        self.put(i.LoadNote(attempt.visit.number, attempt.box, load))

    def leave_silent(self, visit: Visit, alone: bool) -> None:
        """Move a visit off a push box that answers nothing; `alone`: it answers others."""
        attempt = visit.attempt
        assert attempt
        self.counters.add("moved_from_silent")
        self.over(visit)
        visit.client.move()
        attempt.close(Ending.BROKEN)
        self.tell_end(attempt, AttemptError(AttemptPhase.UP, Cause.CALLED_OFF if alone else Cause.SILENT), True)
