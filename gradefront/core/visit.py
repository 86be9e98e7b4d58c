"""A visit's life as an explicit state machine, and the attempts that it makes at push boxes."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from milletdeal.interface import LoadReport, Repeat, Request, Settings

from .attempt_error import AttemptError, AttemptPhase, Cause
from .counters import Counters
from .ports import Call, ClientSide, Ending, ListWatcher, UpstreamConnection
from .timer_wheel import Timer

log = logging.getLogger("gradefront.visit")


class Liveness(Protocol):
    """Whom an attempt tells what it hears."""

    def asked(self, box: str) -> None:
        """A message that is owed a reply went to a push box."""

    def spoke(self, box: str) -> None:
        """A push box sent a message."""

    def replied(self, box: str, visit: int, took_us: int) -> None:
        """A message came back from a push box."""


class Owner(Protocol):
    """Whom an attempt tells how far it came."""

    clock: Callable[[], int]
    counters: Counters
    watcher: ListWatcher | None

    @property
    def liveness(self) -> Liveness:
        """Whom it tells what it hears."""

    def after(self, delay_us: int, then: Callable[[], None]) -> Timer:
        """Run `then` later."""

    def serves(self, box: str) -> bool:
        """Whether new work may go to a push box, as last heard."""

    @property
    def begins(self) -> bool:
        """Whether the relay begins anything new."""

    def client_left(self, visit: Visit, how: Ending) -> None:
        """The client ended its side."""

    def came(self, attempt: Attempt) -> None:
        """It came further."""

    def stands(self, attempt: Attempt, receipt: object) -> None:
        """A push box took the visit."""

    def ends(self, attempt: Attempt, attempt_error: AttemptError, how: Ending) -> None:
        """It ended at the push box's side."""

    def move(self, visit: Visit) -> None:
        """Tell the client to come again, if the visit stands."""

    def told_visit_load(self, attempt: Attempt, load: float) -> None:
        """The push box told the visit's load."""


class UpstreamConnector(Protocol):
    """Reaches push boxes for one front."""

    def call(self, attempt: Attempt, parcel: object) -> UpstreamConnection:
        """Begin the attempt; how it goes is told to `attempt`."""


class Stage(Enum):
    """Where a visit stands."""

    QUEUED = "queued"  # the decision module has it, nothing is out
    CONNECTING = "connecting"  # one attempt is out
    ESTABLISHED = "established"  # a push box serves it
    CLOSED = "closed"  # answered and over


#: The steps that a visit may take. Guards against a second answer or a second copy: any other step raises.
STEPS: dict[Stage, frozenset[Stage]] = {
    Stage.QUEUED: frozenset({Stage.CONNECTING, Stage.CLOSED}),
    Stage.CONNECTING: frozenset({Stage.QUEUED, Stage.ESTABLISHED, Stage.CLOSED}),
    Stage.ESTABLISHED: frozenset({Stage.CLOSED}),
    Stage.CLOSED: frozenset(),
}


class WrongStep(Exception):
    """A step that no visit takes; it stops that visit, not the relay."""


class Visit:
    """One item that a client brought: its number, its deadline, its one answer."""

    __slots__ = (
        "number",
        "call",
        "client",
        "caller",
        "deadline_us",
        "stage",
        "attempts",
        "attempt",
        "pinned",
        "watch",
        "came_us",
        "settings",
        "ran_us",
    )

    def __init__(
        self,
        number: int,
        call: Call,
        client: ClientSide,
        caller: UpstreamConnector,
        now_us: int,
        deadline_us: int,
        settings: Settings,
        pinned: str = "",
    ) -> None:
        self.number = number
        self.settings = settings  # under which it came
        self.call = call
        self.client = client
        self.caller = caller
        self.came_us = now_us
        self.deadline_us = deadline_us
        self.stage = Stage.QUEUED
        self.attempts = 0  # attempts made so far; the next one's number
        self.attempt: Attempt | None = None  # the one that is out, or that stands
        self.pinned = pinned  # the one push box that a visit from before the start may go to
        self.watch: Timer | None = None
        self.ran_us = 0  # when the first attempt that may have run began to be written; 0: none has

    @property
    def may_be_refused(self) -> bool:
        """Whether to come again is harmless: nothing was sent, or its effects may be had twice."""
        return not self.attempts or self.settings.classes[self.call.klass].repeat is Repeat.SAFE

    def request(self, now_us: int) -> Request:
        """What the module is told of it."""
        call = self.call
        return Request(
            self.number,
            max(1, self.deadline_us - now_us),
            call.klass,
            call.tenant,
            call.key,
            call.group,
            call.load_hint,
            False,
            call.came_back,
            call.is_retry,
        )

    def may_repeat(self, now_us: int) -> bool:
        """Whether a further attempt doubles no effect. Asked when it is written: the module decides earlier, and a
        window may close while a connection comes up."""
        if not self.ran_us:
            return True
        rule = self.settings.classes[self.call.klass]
        if rule.repeat is Repeat.KEYED:
            return now_us < self.ran_us + rule.dedup_window_us
        return rule.repeat is Repeat.SAFE

    def step(self, to: Stage) -> None:
        """Take a legal step, or raise."""
        if to not in STEPS[self.stage]:
            raise WrongStep(f"visit {self.number}: {self.stage.value} to {to.value}")
        self.stage = to


class Attempt:
    """One attempt at a push box. A upstream connection tells it how far it came; once over, it hears nothing more."""

    __slots__ = (
        "core",
        "visit",
        "number",
        "box",
        "phase",
        "began_us",
        "until_us",
        "timer",
        "upstream",
        "over",
        "asked",
        "heard_us",
        "report",
        "load",
        "wrote_us",
        "slow_start",
    )

    def __init__(self, core: Owner, visit: Visit, box: str, until_us: int, slow_start: bool = False) -> None:
        self.core = core
        self.visit = visit
        self.number = visit.attempts
        self.box = box
        self.phase = AttemptPhase.CONNECTING
        self.began_us = self.heard_us = core.clock()
        self.until_us = until_us
        self.slow_start = slow_start  # the server had just started
        self.wrote_us = 0  # when its first line began to be written
        self.timer: Timer | None = None
        self.upstream: UpstreamConnection | None = None
        self.over = False
        self.load = 0.0  # what the push box last told of the visit's load, us of work a second; 0: nothing
        self.report: LoadReport | None = None  # what the push box's last word said of its load
        self.asked: deque[int] = deque(maxlen=16)  # when messages went to the push box that await a reply

    def barred(self) -> Cause | None:
        """Why the request may not leave any more, asked as a piece of it is about to be written; None: it may."""
        visit, core = self.visit, self.core
        if self.over or not core.begins or not visit.may_repeat(core.clock()):
            return Cause.NOT_TRIED
        if not visit.pinned:
            # Guards against a late connect that delivers new work to a push box that was told to drain meanwhile.
            if core.watcher:
                core.watcher.catch_up()
            if not core.serves(self.box):
                return Cause.BROKEN
        # Last, as the look nearest to the write: the end of the client's side may lie unread yet.
        if visit.client.has_left() and not self.over:
            core.client_left(visit, Ending.ORDERLY)
        return Cause.NOT_TRIED if self.over else None

    def left_us(self) -> int:
        """How long this relay will still wait for the push box's answer."""
        return max(0, self.until_us - self.core.clock())

    def came(self, phase: AttemptPhase) -> None:
        """The upstream connection has come this far."""
        if not self.over and phase > self.phase:
            self.phase = phase
            self.core.came(self)

    def stands(self, receipt: object) -> None:
        """The push box took the visit; `receipt` goes to the client as the box made it."""
        if not self.over:
            self.core.stands(self, receipt)

    def ends(self, cause: Cause, how: Ending = Ending.ORDERLY) -> None:
        """The attempt, or the visit that it made stand, ended at the push box's side."""
        if not self.over:
            self.core.ends(self, AttemptError(self.phase, cause), how)

    def asked_box(self) -> None:
        """The client sent a message that the push box is to answer."""
        self.asked.append(self.core.clock())
        self.core.liveness.asked(self.box)

    def heard_box(self) -> None:
        """The push box sent a message."""
        self.heard_us = now = self.core.clock()
        self.core.liveness.spoke(self.box)
        if self.asked:
            self.core.liveness.replied(self.box, self.visit.number, now - self.asked.popleft())

    def alive(self) -> None:
        """Something passed, either way, on a visit whose messages the front can't tell apart."""
        self.heard_us = self.core.clock()

    def told_load(self, load: float) -> None:
        """The push box told what load this visit is now."""
        if not self.over:
            self.load = load
            self.core.told_visit_load(self, load)

    def close(self, how: Ending) -> None:
        """End it from this side."""
        self.over = True
        if self.timer:
            self.timer.cancel()
        if self.upstream:
            try:
                self.upstream.hang_up(how)
            except Exception:  # guards the client's answer against an error on the push box's side
                log.exception("an attempt at push box %s could not be ended", self.box)
                self.core.counters.add("exceptions")
