"""Test backends in slow start: they warm up, and fall when they are sent too much, by the platform's arithmetic.

The oracle knows each request that reached a backend, from which relay, and whether that relay had been notified of
the backend's start.
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

SHORT_CONNECTION_S = 0.15
MANY_REQUESTS = 30.0  # from here on chance is allowed two deviations, below three
NOTIFIED_SHARE = 2 / 3  # a fall breaks the rule if relays that had been notified sent more than this share


@dataclass(frozen=True)
class SlowStartRules:
    """The settings' rules for backends that have just started. Capacities are shares of the full one."""

    start_capacity: float = 0.12
    warm_s: float = 20.0
    multiple: float = 3.0
    window_s: float = 1.0

    def settings(self) -> dict[str, Any]:
        """The rules in the form of the platform's settings."""
        return {
            "startCapacity": self.start_capacity,
            "coldUs": int(self.warm_s * 1e6),
            "tipMultiple": self.multiple,
            "fallUs": int(self.window_s * 1e6),
        }


class Arrival(NamedTuple):
    """One request that reached a backend; `notified` whether its relay knew of the backend's start."""

    at_s: float
    sender: str
    notified: bool


@dataclass(frozen=True)
class Fall:
    """A backend fell: the arrivals within the window, and how many requests were allowed."""

    backend: str
    age_s: float
    allowed: float
    arrivals: tuple[Arrival, ...]

    @property
    def breaks_rule(self) -> bool:
        """Whether more than two thirds came from relays that had been notified of the start."""
        return sum(arrival.notified for arrival in self.arrivals) > NOTIFIED_SHARE * len(self.arrivals)

    def __str__(self) -> str:
        senders = Counter(arrival.sender for arrival in self.arrivals)
        return (
            f"{self.backend} fell {self.age_s:.2f} s after its start: {len(self.arrivals)} requests,"
            f" {self.allowed:.1f} allowed, from {dict(senders)}"
        )


def allowed(mean: float) -> float:
    """Requests that a backend bears in a window in which it may be sent `mean`, with the allowance for chance."""
    deviations = 2 if mean >= MANY_REQUESTS else 3
    return mean + deviations * math.sqrt(mean) + deviations


@dataclass
class WarmUp:
    """The oracle of one backend's slow start."""

    backend: str
    rules: SlowStartRules
    started_s: float
    full_connections: float  # mean connections that fill it when it is warm
    recent: deque[Arrival] = field(default_factory=deque)
    max_used_share: float = 0.0  # of the allowed requests, the most that came in any window
    fall: Fall | None = None

    def capacity(self, at_s: float) -> float:
        """The share of its full capacity that it has at a time in seconds."""
        age = (at_s - self.started_s) / self.rules.warm_s if self.rules.warm_s else 1.0
        return min(1.0, self.rules.start_capacity + (1 - self.rules.start_capacity) * max(0.0, age))

    def mean_allowed(self, at_s: float) -> float:
        """Mean requests that it may be sent in the window: over its warm-up no more than fill it."""
        rules = self.rules
        return rules.multiple * self.capacity(at_s) * self.full_connections * rules.window_s / rules.warm_s

    def arrive(self, arrival: Arrival) -> None:
        """Records a request that reaches it, and a fall where that is one too many."""
        self.recent.append(arrival)
        while self.recent[0].at_s <= arrival.at_s - self.rules.window_s:
            self.recent.popleft()
        if self.capacity(arrival.at_s) >= 1 or self.fall:
            return
        limit = allowed(self.mean_allowed(arrival.at_s))
        self.max_used_share = max(self.max_used_share, len(self.recent) / limit)
        if len(self.recent) > limit:
            self.fall = Fall(self.backend, arrival.at_s - self.started_s, limit, tuple(self.recent))


class WarmingBackend(StandInBackend):
    """A backend on sockets that warms up, reports its load, and falls.

    `clock` gives seconds; `sender` says by a request's id which relay sent it and whether that had been notified of
    the backend's start; `reply` is the answer to a request.
    """

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
        self.sender = sender
        self.reply = reply
        self.lag_s = 0.0  # age of the load that a report gives, and time between new ones
        self.last_report = 0.0, 0.0  # when it was made, and the load
        self.short_share = 0.0  # of its connections, that it ends soon
        self.served = count()

    def _reply(self, line: str) -> str | None:
        now = self.clock()
        self.warm_up.arrive(Arrival(now, *self.sender(line[5:21])))
        if self.warm_up.fall:
            self.kill()
            return None
        if next(self.served) % 100 < 100 * self.short_share:
            asyncio.get_running_loop().call_later(SHORT_CONNECTION_S, self.writers[-1].write, b"BYE\r\n")
            asyncio.get_running_loop().call_later(SHORT_CONNECTION_S, self.writers[-1].close)
        return self.reply

    def load(self) -> float:
        """Load as a share of what it can serve, as last reported."""
        now = self.clock()
        load = self.standing / (self.warm_up.full_connections * self.warm_up.capacity(now))
        reported_s, reported = self.last_report
        if now - reported_s >= self.lag_s:
            self.last_report = now, load
        return reported if self.lag_s else load
