"""The desk: gathers what is ready, hands it to the decision module in one go, carries out what came back.

It owns every visit's number, attempts, deadline and one final answer. It decides nothing itself.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from itertools import count

from milletdeal import interface as i

from .classes import ClassBook
from .duty import Duty, Word, step
from .ports import BoxAsker, BoxCaller, Call, CarerSide, Decider, Ending, ListWatcher
from .pulse import PULSE_US, Pulse
from .quiet import LOOK_US as QUIET_LOOK_US
from .quiet import Quiet
from .shortfall import Cause, Reach, Shortfall
from .tally import Tally
from .visit import Attempt, Stage, Visit
from .wheel import Timer, Wheel

log = logging.getLogger("gradefront.desk")

ANSWER_MARGIN_US = 40_000  # the answer must travel, and be sent by a busy relay, before the carer gives up
NET_US = 12_000  # the safety net's time after the deadline that the module is told; within the margin
SILENT_US = 1_500_000  # a visit that is owed a reply this long has gone silent: sound ones bring it at once
LOOK_US = 250_000  # between two looks for silent visits
DEAD_LINE_US = 120_000_000  # nothing either way for so long: the carer's device is gone
BROUGHT_US = 38_000_000  # patience with a visit that stood before the start (40 s are allowed)
BROUGHT_TRY_US = 9_000_000  # of which one attempt may take this, so that a lost one leaves time for others
BROUGHT_TRIES = 4
BROUGHT_WAIT_US = 500_000
LONGEST_US = 3_000_000  # on leaving, SIGKILL comes no sooner than the longest deadline, this at most,
KILL_US = 700_000  # and so long after SIGTERM; the rest is counted back from there:
LEAVE_AFTER_US = 1_500_000  # visits are served until then. Guards against sending carers away while the relay
# that left before is not back yet: for them there would be no relay at all
LEAVE_BY_US = 600_000  # the last carer is told by then
GONE_BY_US = 450_000  # the process ends by then
LEAVE_STEP_US = 50_000
NEWS_BY_US = 3_500_000  # a process that replaces another waits so long for the box list, of 6 s from its start
FRONT_US = 450_000  # after SIGTERM: the front still sends carers here for 0.2 to 0.4 s
LAME_BY_US = 3_200_000  # after the call to empty the relay: the last carer is told by then, of 4 s that there are,
LAME_ANSWER_US = 3_600_000  # and whoever still waits for a push box is answered


class Desk:
    """One relay's visits, round one decision module."""

    def __init__(self, decider: Decider, settings: i.Settings, clock: Callable[[], int],
                 poke: Callable[[], None], tells_delay: bool = True, class_names: tuple[str, ...] = ()) -> None:
        self.decider = decider
        # Classes without a name are named by their place.
        self.book = ClassBook().take(class_names or tuple(str(n) for n in range(len(settings.classes))),
                                     settings.classes, ())
        self.settings = settings
        self.clock = clock
        self.poke = poke  # asks the platform for a turn soon
        self.tally = Tally()
        self.wheel = Wheel(clock())
        self.inbox: list[i.Event] = []
        self.visits: dict[int, Visit] = {}
        self.numbers = count(1)
        self.boxes: dict[str, i.ServerState] = {}
        self.zones: dict[str, int] = {}  # where each push box is
        self.asker: BoxAsker | None = None
        self.watcher: ListWatcher | None = None
        self.duty = Duty.STARTING
        self.awaits_news = False  # says yes only once discovery has spoken, not on a list from before
        self.opens: Callable[[], None] | None = None  # done when it first takes clients
        self.emptying: object = None  # of the drain that is on: a step of an earlier one does nothing
        self.kill_us = LONGEST_US + KILL_US
        self._heed(settings.classes, tells_delay)
        self.heard: dict[str, int] = {}  # when each push box last answered a message
        self.looked_us = clock()
        self.quiet_look_us = 0  # when the next look for quiet push boxes is due; 0: none is set
        self.after(PULSE_US, self._tell_delays)
        self.after(LOOK_US, self._look)

    def _heed(self, classes: tuple[i.RequestClass, ...], tells_delay: bool) -> None:
        aims = [c.message_aim_us for c in classes if c.message_aim_us]
        self.pulse = Pulse(min(aims)) if aims and tells_delay else None
        self.quiet = Quiet(classes)
        # SIGKILL may be counted by the settings of any time: the soonest holds.
        self.kill_us = min(self.kill_us, max(c.deadline_us for c in classes) + KILL_US)

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
        self._heed(tuple(book.rules[n] for n in book.current), tells_delay)
        self.put(i.NewSettings(settings))

    # ---- time and turns

    def after(self, delay_us: int, then: Callable[[], None]) -> Timer:
        """Run `then` at the first tick after the delay."""
        timer = self.wheel.set(self.clock() + delay_us, then)
        self.poke()
        return timer

    def put(self, event: i.Event) -> None:
        """Keep an event for the next turn."""
        if not self.inbox:
            self.poke()
        self.inbox.append(event)

    def turn(self) -> None:
        """One turn: due timers, then all gathered events to the module, then all its actions."""
        for then in self.wheel.turn(self.clock()):
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
        self.tally.add("exceptions")
        visit = self.visits.get(getattr(what, "request", 0))
        if visit:
            self.put(i.ClientGone(visit.number))
            self._answer(visit, None)

    def _carry_out(self, action: i.Action) -> None:
        match action:
            case i.Start():
                self._start(action)
            case i.SetTimer():
                self.wheel.set(self.clock() + action.delay_us, partial(self.put, i.TimerFired(action.timer)))
            case i.Refuse() | i.Fail():
                visit = self.visits.get(action.request)
                if visit:
                    self._answer(visit, action)
            case i.Move():
                visit = self.visits.get(action.request)
                # On leaving, a visit whose box goes on serving is told last: now no relay might take it in.
                if visit and not (self.duty is Duty.LEAVING and visit.attempt and self.serves(visit.attempt.box)):
                    self.move(visit)
            case i.Probe():
                self.tally.add("probes")
                if self.asker:
                    self.asker.ask(action.server)
            case i.WatchList():
                self.tally.add("list_calls")
                if self.watcher:
                    self.watcher.watch()
            case i.Log():
                log.info("module: %s", action.text)

    # ---- the box list and probes

    def listed(self, update: i.ListUpdate) -> None:
        """News of the box list."""
        if update.whole:
            self.boxes, self.zones = {}, {}
        for entry in update.entries:
            if entry.state is i.ServerState.DRAINING and self.boxes.get(entry.server) is not entry.state:
                log.info("push box %s drains", entry.server)
            if entry.state is i.ServerState.GONE:
                self.boxes.pop(entry.server, None)
                self.zones.pop(entry.server, None)
                self.quiet.forget(entry.server)
            else:
                self.boxes[entry.server] = entry.state
                self.zones[entry.server] = entry.zone
        self.put(update)
        self._say_ready()

    def _say_ready(self) -> None:
        self.hear(Word.READY if self.boxes and not self.awaits_news else Word.UNREADY)

    def await_news(self) -> None:
        """Another process still serves: take clients only on a fresh list, or once there is no more time."""
        self.awaits_news = True
        self.after(NEWS_BY_US, self.has_news)

    def has_news(self) -> None:
        """Discovery has told what there is."""
        if self.awaits_news:
            self.awaits_news = False
            self._say_ready()

    def list_lost(self, why: str) -> None:
        """A call for the list failed, or the watch on it ended."""
        log.warning("box list lost: %s", why)
        self.tally.add("list_errors")
        self.put(i.ListError())

    def serves(self, box: str) -> bool:
        """Whether the box list, as last heard, lets new work go there."""
        return self.boxes.get(box) is i.ServerState.READY

    def told_load(self, box: str, result: i.Result, took_us: int, report: i.LoadReport | None) -> None:
        """The answer to one question to a push box."""
        if result is not i.Result.OK:
            self.tally.add("probes_failed")
        self.put(i.ProbeResult(box, result, took_us, report))

    # ---- visits that come

    def arrive(self, call: Call, carer: CarerSide, caller: BoxCaller) -> Visit:
        """A carer's device asks to be connected."""
        visit = self._new(call, carer, caller, max(1, call.patience_us - ANSWER_MARGIN_US))
        self.tally.add("visits")
        if call.came_back:
            self.tally.add("visits_came_back")
        visit.watch = self.wheel.set(visit.deadline_us + NET_US, partial(self._overdue, visit))
        self.put(self._request(visit))
        return visit

    def bring_over(self, call: Call, carer: CarerSide, caller: BoxCaller, box: str) -> Visit:
        """A visit that stood at `box` before this relay started: it goes there and nowhere else."""
        visit = self._new(call, carer, caller, BROUGHT_US, box)
        self.tally.add("visits_brought")
        visit.watch = self.after(BROUGHT_US, partial(self._overdue, visit))
        self._reach_out(visit, box, min(visit.deadline_us, self.clock() + BROUGHT_TRY_US))
        return visit

    def take_over(self, call: Call, carer: CarerSide, caller: BoxCaller, box: str, heard_us: int,
                  asked_us: tuple[int, ...]) -> tuple[Visit, Attempt]:
        """A visit that stood in the process before this one, answered there. Its attempt gets its leg from the
        caller."""
        visit = self._new(call, carer, caller, 0, box)
        visit.step(Stage.REACHING)
        visit.step(Stage.STANDING)
        attempt = visit.attempt = Attempt(self, visit, box, visit.deadline_us)
        attempt.reach, attempt.heard_us = Reach.UP, heard_us
        attempt.asked.extend(asked_us)
        visit.attempts = 1
        self.put(i.OpenConnection(self._request(visit), box))
        return visit, attempt

    def given_away(self, visit: Visit) -> None:
        """A standing visit goes on in the next process; nothing of it ends."""
        attempt = visit.attempt
        assert visit.stage is Stage.STANDING and attempt
        self._over(visit)
        attempt.over = True
        self.tally.add("given_away")
        self._tell_end(attempt, Shortfall(attempt.reach, Cause.CALLED_OFF), True)

    def _new(self, call: Call, carer: CarerSide, caller: BoxCaller, patience_us: int,
             pinned: str = "") -> Visit:
        now = self.clock()
        visit = Visit(next(self.numbers), call, carer, caller, now, now + patience_us, self.settings, pinned)
        self.visits[visit.number] = visit
        return visit

    def _request(self, visit: Visit) -> i.Request:
        call = visit.call
        return i.Request(visit.number, max(1, visit.deadline_us - self.clock()), call.klass, call.tenant,
                         call.key, call.group, call.load_hint, False, call.came_back, call.is_retry)

    def carer_left(self, visit: Visit, how: Ending) -> None:
        """The carer's device ended its side. Nothing more is owed to it."""
        if visit.stage is Stage.ENDED:
            return
        standing, attempt = visit.stage is Stage.STANDING, visit.attempt
        self.tally.add("ended_by_carer" if standing else "gave_up_waiting")
        if not standing and not visit.pinned:
            self.put(i.ClientGone(visit.number))
        self._over(visit)
        if attempt:
            attempt.close(how)
            if standing or not visit.pinned:
                self._tell_end(attempt, Shortfall(attempt.reach, Cause.CALLED_OFF), True)

    def _overdue(self, visit: Visit) -> None:
        """The safety net under the module: an answer in time, whatever happened."""
        if visit.stage in (Stage.WAITING, Stage.REACHING):
            if visit.stage is Stage.WAITING or visit.pinned:
                log.warning("visit %d was not answered in time; failed", visit.number)
                self.tally.add("overdue")
            self._give_up(visit)

    def count(self, name: str, klass: int) -> None:
        """Count an answer for its class, where it is given."""
        self.tally.add_of_class(name, self.book.names[klass])

    def turn_away(self, visit: Visit) -> None:
        """The carer's side broke its protocol before the visit stood: it gets its answer now."""
        if visit.stage in (Stage.WAITING, Stage.REACHING):
            self._give_up(visit)

    def _give_up(self, visit: Visit) -> None:
        """The core itself ends a visit that does not stand; the module is told that it is over."""
        if not visit.pinned:
            self.put(i.ClientGone(visit.number))
        self._answer(visit, None)

    def _answer(self, visit: Visit, answer: i.Refuse | i.Fail | None) -> None:
        """The one final answer of a visit that does not stand."""
        if visit.stage is Stage.ENDED:
            return
        standing, attempt = visit.stage is Stage.STANDING, visit.attempt
        self._over(visit)
        if attempt:  # only where the core itself gave up: the module answers when nothing is out
            attempt.close(Ending.ORDERLY)
            self._tell_end(attempt, Shortfall(attempt.reach, Cause.CALLED_OFF), True)
        if standing:
            visit.carer.move()
        elif isinstance(answer, i.Refuse):
            self.tally.add("refused")
            self.count("deferred_total", visit.call.klass)
            visit.carer.refuse(answer.retry_after_us)
        else:
            self.tally.add("failed")
            self.count("errored_total", visit.call.klass)
            visit.carer.fail()

    def _over(self, visit: Visit) -> None:
        visit.step(Stage.ENDED)
        visit.attempt = None
        if visit.watch:
            visit.watch.cancel()
        self.visits.pop(visit.number, None)

    # ---- attempts

    def _start(self, start: i.Start) -> None:
        visit = self.visits.get(start.request)
        if visit is None or visit.stage is not Stage.WAITING or visit.attempts >= visit.settings.max_attempts:
            # Guards against a send after the end, a second copy, and one attempt too many.
            final = visit is None or visit.stage is Stage.STANDING
            self.put(i.Outcome(start.request, visit.attempts if visit else 0, start.server, i.Result.MOOT,
                               final))
            return
        self._reach_out(visit, start.server, min(visit.deadline_us, self.clock() + start.timeout_us))

    def _reach_out(self, visit: Visit, box: str, until_us: int) -> None:
        visit.step(Stage.REACHING)
        attempt = visit.attempt = Attempt(self, visit, box, until_us)
        visit.attempts += 1
        self.tally.add("attempts")
        connect_by = until_us
        if not visit.pinned:
            connect_by = min(until_us, attempt.began_us + visit.settings.connect_timeout_us)
        attempt.timer = self.wheel.set(connect_by, partial(attempt.ends, Cause.SILENT))
        attempt.leg = visit.caller.call(attempt, visit.call.parcel)
        if attempt.over:  # it ended at once, before its leg was known here
            attempt.leg.hang_up(Ending.ORDERLY)

    def came(self, attempt: Attempt) -> None:
        """An attempt came further: from the connect's patience to the whole attempt's."""
        if attempt.reach is Reach.SENT:
            self.tally.add("sends_total")
        if attempt.reach is Reach.WRITING and attempt.timer:
            attempt.timer.cancel()
            attempt.timer = self.wheel.set(attempt.until_us, partial(attempt.ends, Cause.SILENT))
            self.poke()

    def stands(self, attempt: Attempt, receipt: object) -> None:
        """A push box took the visit."""
        visit = attempt.visit
        visit.step(Stage.STANDING)
        attempt.reach = Reach.UP
        attempt.heard_us = now = self.clock()
        for timer in (attempt.timer, visit.watch):
            if timer:
                timer.cancel()
        if visit.pinned:
            self.put(i.OpenConnection(self._request(visit), attempt.box))
        else:
            took = now - attempt.began_us
            self.put(i.Established(visit.number, attempt.number, attempt.box, took))
        self.tally.add("stood")
        self.count("answered_total", visit.call.klass)
        assert attempt.leg is not None
        visit.carer.seat(attempt.leg, receipt)

    def ends(self, attempt: Attempt, shortfall: Shortfall, how: Ending) -> None:
        """An attempt failed, or a visit that stood ended at the push box's side."""
        visit = attempt.visit
        standing = visit.stage is Stage.STANDING
        attempt.close(how)
        self.tally.add(f"ended: {shortfall}")
        if standing:
            self._over(visit)
            self._tell_end(attempt, shortfall, True)
            visit.carer.end(how)
        elif visit.pinned:
            self._once_more(visit, shortfall)
        else:
            visit.step(Stage.WAITING)
            visit.attempt = None
            self._tell_end(attempt, shortfall, False)

    def _once_more(self, visit: Visit, shortfall: Shortfall) -> None:
        """A visit from before the start may go to its own push box only, up to the limit."""
        visit.step(Stage.WAITING)
        visit.attempt = None
        if visit.attempts >= min(BROUGHT_TRIES, visit.settings.max_attempts):
            log.warning("visit %d could not go on at push box %s: %s", visit.number, visit.pinned, shortfall)
            self._answer(visit, None)
            return

        def again() -> None:
            if visit.stage is Stage.WAITING:
                until = min(visit.deadline_us, self.clock() + BROUGHT_TRY_US)
                self._reach_out(visit, visit.pinned, until)
        self.after(BROUGHT_WAIT_US << visit.attempts, again)

    def _tell_end(self, attempt: Attempt, shortfall: Shortfall, final: bool) -> None:
        took = self.clock() - attempt.began_us
        self.put(i.Outcome(attempt.visit.number, attempt.number, attempt.box, shortfall.result, final, took,
                           attempt.report))

    # ---- visits that stand

    def move(self, visit: Visit) -> None:
        """Tell a carer to come again, and end both sides."""
        attempt = visit.attempt
        if visit.stage is not Stage.STANDING or attempt is None:
            return
        self._over(visit)
        self.tally.add("moved")
        visit.carer.move()
        attempt.close(Ending.ORDERLY)
        self._tell_end(attempt, Shortfall(attempt.reach, Cause.CALLED_OFF), True)

    def told_visit_load(self, attempt: Attempt, load: float) -> None:
        """A push box told a visit's load, in microseconds of work a second."""
        self.put(i.LoadNote(attempt.visit.number, attempt.box, load))

    def replied(self, box: str, visit: int, took_us: int) -> None:
        """A message came back from a push box."""
        self.heard[box] = self.clock()
        if self.pulse:
            self.pulse.add(box, visit, took_us)

    def asked(self, box: str) -> None:
        """A message that is owed a reply went to a push box."""
        now = self.clock()
        self.quiet.asked(box, now)
        if not self.quiet_look_us:
            self._look_at_quiet_later(now)

    def _look_at_quiet_later(self, now: int) -> None:
        self.quiet_look_us = now + QUIET_LOOK_US
        self.after(QUIET_LOOK_US, self._look_at_quiet)

    def _look_at_quiet(self) -> None:
        """Knock at push boxes that owe replies and have said nothing since."""
        now = self.clock()
        late, self.quiet_look_us = now - self.quiet_look_us > QUIET_LOOK_US, 0
        if self.quiet.owed:
            self._look_at_quiet_later(now)
        if late:  # guards against a hiccup of this relay: replies may have come that it has not read yet
            return
        for box in self.quiet.due(now):
            if box in self.boxes:
                self._knock(box)
            else:  # a new list is without it: there is no address to knock at
                self.quiet.forget(box)

    def _knock(self, box: str) -> None:
        if self.asker:
            self.tally.add("knocks")
            self.asker.knock(box, self.settings.connect_timeout_us)

    def knocked(self, box: str, opened: bool) -> None:
        """A quiet push box took a new connection in time, or did not: then its machine has vanished, and all that
        stands there moves, before each visit finds that out by a message of its own."""
        if opened:
            self.quiet.heard(box)
        if not self.quiet.vanished(box):
            return
        held = dict[str, list[Visit]]()
        for visit in self.visits.values():
            if visit.stage is Stage.STANDING and visit.attempt:
                held.setdefault(visit.attempt.box, []).append(visit)
        here = held.pop(box, [])
        log.warning("push box %s owes replies and takes no connection; its %d visits move", box, len(here))
        self.tally.add("boxes_vanished")
        for visit in here:
            self._leave_silent(visit, alone=False)
        # Guards against finding out about a lost zone box by box, each when a carer's message is due.
        near = [other for other in held if self.zones.get(other) == self.zones.get(box)]
        for other in self.quiet.others(near, self.clock()):
            self._knock(other)

    def _leave_silent(self, visit: Visit, alone: bool) -> None:
        """Move a visit off a push box that answers nothing; `alone`: it answers others."""
        attempt = visit.attempt
        assert attempt
        self.tally.add("moved_from_silent")
        self._over(visit)
        visit.carer.move()
        attempt.close(Ending.BROKEN)
        self._tell_end(attempt, Shortfall(Reach.UP, Cause.CALLED_OFF if alone else Cause.SILENT), True)

    def _tell_delays(self) -> None:
        self.wheel.set(self.clock() + PULSE_US, self._tell_delays)
        for number, box, delay in self.pulse.look() if self.pulse else ():
            log.info("messages at push box %s take %.0f ms", box, delay / 1000)
            self.tally.add("delays_told")
            self.put(i.DelayNote(number, box, delay))

    def _look(self) -> None:
        """Find visits whose connection, push box or carer's device has vanished without a word."""
        now = self.clock()
        self.wheel.set(now + LOOK_US, self._look)
        late, self.looked_us = now - self.looked_us > 2 * LOOK_US, now
        if late:  # guards against a hiccup of this relay: replies may have come that it has not read yet
            return
        for visit in list(self.visits.values()):
            attempt = visit.attempt
            if visit.stage is not Stage.STANDING or attempt is None:
                continue
            since = max(attempt.heard_us, attempt.asked[0]) if attempt.asked else now
            if now - since > SILENT_US:  # guards against a vanished machine, which resets nothing
                # Where the box has answered others since, only this connection is lost: no word of the box.
                alone = self.heard.get(attempt.box, 0) > attempt.asked[0]
                log.warning("visit %d at push box %s has gone silent%s; it moves", visit.number, attempt.box,
                            ", alone" if alone else "")
                self._leave_silent(visit, alone)
            elif now - max(attempt.heard_us, attempt.asked[-1] if attempt.asked else 0) > DEAD_LINE_US:
                self.move(visit)

    # ---- taking clients, and sending them away

    @property
    def takes_clients(self) -> bool:
        """What the front's `PING` and the operators' door say alike."""
        return self.duty is Duty.SERVING

    def hear(self, word: Word) -> bool:
        """Take one step of the table of duties, if there is one."""
        to = step(self.duty, word)
        if to is None:
            return False
        if to is not self.duty:
            log.info("%s, was %s", to.value, self.duty.value)
        self.duty = to
        if self.takes_clients and self.opens:
            opens, self.opens = self.opens, None
            opens()
        return True

    def lame_duck(self) -> bool:
        """Empty the relay, which goes on running: what still comes is served, all is told to move in time."""
        was = self.duty
        if not self.hear(Word.LAMEDUCK):
            return False
        if was not in (Duty.LAME_DUCK, Duty.LEAVING):
            token = self.emptying = object()
            by_us = self.clock() + LAME_BY_US
            # Not at once: the front still sends carers here, and some would come back to where they left.
            self.after(FRONT_US, partial(self._empty_some, token, by_us))
            self.after(LAME_ANSWER_US, partial(self._answer_waiting, token))
        return True

    def rejoin(self) -> bool:
        """The end of the drain, at once: nobody is moved any more on its account."""
        if not self.hear(Word.REJOIN):
            return False
        self.emptying = None
        self._say_ready()
        return True

    def leave(self, done: Callable[[], None], replaced: bool = False) -> None:
        """The relay is to stop: answer on, tell what stands to move, spread over the time there is. `replaced`: a new
        process takes the clients in meanwhile and nobody takes these visits over, so that nothing is gained by
        waiting."""
        if self.duty is Duty.LEAVING:
            return
        lame = self.duty is Duty.LAME_DUCK
        self.hear(Word.LEAVE)
        log.info("leaving: %d visits to be told", len(self.visits))
        if not lame:  # else the drain that is on goes on; it is as fast
            token = self.emptying = object()
            by_us = self.clock() + self.kill_us - LEAVE_BY_US
            first_us = LEAVE_STEP_US if replaced else max(FRONT_US, self.kill_us - LEAVE_AFTER_US)
            self.after(first_us, partial(self._empty_some, token, by_us))
        self.after(self.kill_us - GONE_BY_US, partial(self._gone, done))

    def _empty_some(self, token: object, by_us: int) -> None:
        """Tell a part of what stands to move, so that the last is told by then; later comers at once."""
        if self.emptying is not token:
            return
        standing = [v for v in self.visits.values() if v.stage is Stage.STANDING]
        left_us = max(LEAVE_STEP_US, by_us - self.clock())
        now = -(-len(standing) * LEAVE_STEP_US // left_us)
        for visit in standing[:now]:
            self.move(visit)
        pause_us = max(LEAVE_STEP_US, left_us // (len(standing) - now + 1) if len(standing) > now else 0)
        self.after(pause_us, partial(self._empty_some, token, by_us))

    def _answer_waiting(self, token: object) -> None:
        """Whoever still waits for a push box gets the answer now."""
        if self.emptying is not token:
            return
        for visit in list(self.visits.values()):
            if visit.stage is not Stage.STANDING:
                # Guards against doubled effects: a refusal is an invitation to come again.
                self._answer(visit, i.Refuse(visit.number) if visit.may_be_refused else None)

    def _gone(self, done: Callable[[], None]) -> None:
        """The last moment: whoever still waits gets the answer that this relay won't give later."""
        self._answer_waiting(self.emptying)
        for visit in list(self.visits.values()):
            self.move(visit)
        self.emptying = None
        done()
