"""Test backends in slow start: they warm up, and fall when they are sent too much, by the platform's arithmetic.

The oracle looks from outside: it knows what came to a backend, from which relay, and what that relay had been told.
"""

from __future__ import annotations

import asyncio
import math
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from typing import Any, NamedTuple

from .stand_ins import StandInBackend

SHORT_S = 0.15  # a connection that its backend ends soon
MANY = 30.0  # requests: from here on chance is allowed two deviations, below three
TOLD_SHARE = 2 / 3  # a fall of which more came from relays that had been told of the start breaks the rule


@dataclass(frozen=True)
class SlowStartRules:
    """What the settings tell of backends that have just started."""

    start_capacity: float = 0.12
    warm_s: float = 20.0
    multiple: float = 3.0
    window_s: float = 1.0

    def settings(self) -> dict[str, Any]:
        """The same as the platform's settings give it."""
        return {
            "startCapacity": self.start_capacity,
            "coldUs": int(self.warm_s * 1e6),
            "tipMultiple": self.multiple,
            "fallUs": int(self.window_s * 1e6),
        }


class Arrival(NamedTuple):
    """One request that reached a backend."""

    at_s: float
    sender: str
    told: bool


@dataclass(frozen=True)
class Fall:
    """A backend fell: what it was sent within the window, and what it would have borne."""

    backend: str
    age_s: float
    allowed: float
    arrivals: tuple[Arrival, ...]

    @property
    def breaks_rule(self) -> bool:
        """Whether more than two thirds came from relays that had been told of the start."""
        return sum(arrival.told for arrival in self.arrivals) > TOLD_SHARE * len(self.arrivals)

    def __str__(self) -> str:
        senders = Counter(arrival.sender for arrival in self.arrivals)
        return (
            f"{self.backend} fell {self.age_s:.2f} s after its start: {len(self.arrivals)} requests,"
            f" {self.allowed:.1f} allowed, from {dict(senders)}"
        )


def allowed(mean: float) -> float:
    """Requests that a backend bears where it may be sent `mean` in the window, with the allowance for chance."""
    deviations = 2 if mean >= MANY else 3
    return mean + deviations * math.sqrt(mean) + deviations


@dataclass
class WarmUp:
    """The oracle of one backend's slow start."""

    backend: str
    rules: SlowStartRules
    started_s: float
    fills: float  # mean connections that fill it when it is warm
    recent: deque[Arrival] = field(default_factory=deque)
    most_used: float = 0.0  # the highest part of what it bears that it was sent in any window
    fall: Fall | None = None

    def capacity(self, at_s: float) -> float:
        """The part of its capacity that it has."""
        age = (at_s - self.started_s) / self.rules.warm_s if self.rules.warm_s else 1.0
        return min(1.0, self.rules.start_capacity + (1 - self.rules.start_capacity) * max(0.0, age))

    def mean_allowed(self, at_s: float) -> float:
        """Requests that it may be sent in the window: a one in slow start takes no more than fill it over its
        warm-up."""
        rules = self.rules
        return rules.multiple * self.capacity(at_s) * self.fills * rules.window_s / rules.warm_s

    def arrive(self, arrival: Arrival) -> None:
        """A request reaches it, whatever becomes of it then."""
        self.recent.append(arrival)
        while self.recent[0].at_s <= arrival.at_s - self.rules.window_s:
            self.recent.popleft()
        if self.capacity(arrival.at_s) >= 1 or self.fall:
            return
        most = allowed(self.mean_allowed(arrival.at_s))
        self.most_used = max(self.most_used, len(self.recent) / most)
        if len(self.recent) > most:
            self.fall = Fall(self.backend, arrival.at_s - self.started_s, most, tuple(self.recent))


class WarmingBackend(StandInBackend):
    """A backend on sockets that warms up, tells its load, and falls."""

    def __init__(
        self,
        warm_up: WarmUp,
        clock: Callable[[], float],
        sender: Callable[[str], tuple[str, bool]],
        reply: str = "UP r-1",
    ) -> None:
        super().__init__(self._reply)
        self.warm_up = warm_up
        self.clock = clock
        self.sender = sender  # who sent the request with this id, and whether it had been told of the start
        self.reply = reply
        self.lag_s = 0.0  # a report tells the load of so long ago, and is made anew that often
        self.reported = 0.0, 0.0  # the last report: when it was made, and the load
        self.short = 0.0  # the part of its connections that it ends soon
        self.served = count()

    def _reply(self, line: str) -> str | None:
        now = self.clock()
        self.warm_up.arrive(Arrival(now, *self.sender(line[5:21])))
        if self.warm_up.fall:
            self.kill()
            return None
        if next(self.served) % 100 < 100 * self.short:
            asyncio.get_running_loop().call_later(SHORT_S, self.writers[-1].write, b"BYE\r\n")
            asyncio.get_running_loop().call_later(SHORT_S, self.writers[-1].close)
        return self.reply

    def load(self) -> float:
        """Load over what it can do, as last reported."""
        now = self.clock()
        load = self.standing / (self.warm_up.fills * self.warm_up.capacity(now))
        at, told = self.reported
        if now - at >= self.lag_s:
            self.reported = now, load
        return told if self.lag_s else load
