"""Test backends in slow start: they warm up and fall when overloaded, by the platform's formula.

The oracle records each request that reached a backend, the relay that sent the request, and whether that relay had
been notified of the backend's start.
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

SHORT_CONNECTION_S = 0.15  # duration of a connection that its backend ends early
LARGE_MEAN_REQUESTS = 30.0  # from this mean on the limit allows two standard deviations, below it three
NOTIFIED_SHARE = 2 / 3  # a fall breaks the rule if notified relays sent more than this share of its requests


@dataclass(frozen=True)
class SlowStartRules:
    """The settings' rules for backends in slow start. Capacities are shares of the full capacity."""

    start_capacity: float = 0.12
    warm_s: float = 20.0
    multiple: float = 3.0
    window_s: float = 1.0

    def settings(self) -> dict[str, Any]:
        """Return the rules under the names and in the units of the platform's settings."""
        return {
            "startCapacity": self.start_capacity,
            "coldUs": int(self.warm_s * 1e6),
            "tipMultiple": self.multiple,
            "fallUs": int(self.window_s * 1e6),
        }


class Arrival(NamedTuple):
    """One request that reached a backend. `notified`: its relay had been notified of the backend's start."""

    at_s: float
    sender: str
    notified: bool


@dataclass(frozen=True)
class Fall:
    """The fall of an overloaded backend: the requests within the window, and the number that was allowed."""

    backend: str
    age_s: float
    allowed: float
    arrivals: tuple[Arrival, ...]

    @property
    def breaks_rule(self) -> bool:
        """Whether more than two thirds of the requests came from relays that had been notified of the start."""
        return sum(arrival.notified for arrival in self.arrivals) > NOTIFIED_SHARE * len(self.arrivals)

    def __str__(self) -> str:
        senders = Counter(arrival.sender for arrival in self.arrivals)
        return (
            f"{self.backend} fell {self.age_s:.2f} s after its start: {len(self.arrivals)} requests,"
            f" {self.allowed:.1f} allowed, from {dict(senders)}"
        )


def allowed(mean: float) -> float:
    """Return the number of requests in a window up to which a backend does not fall.

    `mean` is the mean number of requests that relays may send in the window; the limit adds a tolerance for random
    variation.
    """
    deviations = 2 if mean >= LARGE_MEAN_REQUESTS else 3
    return mean + deviations * math.sqrt(mean) + deviations


@dataclass
class WarmUp:
    """The oracle for one backend's slow start: it records requests and detects a fall."""

    backend: str
    rules: SlowStartRules
    started_s: float
    full_connections: float  # mean number of connections that use the full capacity of the warm backend
    recent: deque[Arrival] = field(default_factory=deque)
    max_used_share: float = 0.0  # highest ratio, over all windows, of received to allowed requests
    fall: Fall | None = None

    def capacity(self, at_s: float) -> float:
        """Return the backend's capacity at a time in seconds, as a share of its full capacity."""
        age = (at_s - self.started_s) / self.rules.warm_s if self.rules.warm_s else 1.0
        return min(1.0, self.rules.start_capacity + (1 - self.rules.start_capacity) * max(0.0, age))

    def mean_allowed(self, at_s: float) -> float:
        """Return the mean number of requests that relays may send in a window that ends at a time in seconds.

        With a multiple of 1, the requests of a whole warm-up at full capacity add up to `full_connections`.
        """
        rules = self.rules
        return rules.multiple * self.capacity(at_s) * self.full_connections * rules.window_s / rules.warm_s

    def arrive(self, arrival: Arrival) -> None:
        """Record a request that reached the backend, and its fall if the request exceeds the limit."""
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
    """A backend on sockets that warms up, reports its load, and falls when overloaded.

    `clock` returns seconds; `sender` maps a request's id to the relay that sent the request and to whether that relay
    had been notified of the backend's start; `reply` is the answer to a request.
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
        self.lag_s = 0.0  # interval at which the reported load is renewed; 0: each report gives the present load
        self.last_report = 0.0, 0.0  # its time in seconds, and the load
        self.short_share = 0.0  # share of its connections that the backend ends after SHORT_CONNECTION_S
        self.answered_requests = count()

    def _reply(self, line: str) -> str | None:
        now = self.clock()
        self.warm_up.arrive(Arrival(now, *self.sender(line[5:21])))
        if self.warm_up.fall:
            self.kill()
            return None
        if next(self.answered_requests) % 100 < 100 * self.short_share:
            asyncio.get_running_loop().call_later(SHORT_CONNECTION_S, self.writers[-1].write, b"BYE\r\n")
            asyncio.get_running_loop().call_later(SHORT_CONNECTION_S, self.writers[-1].close)
        return self.reply

    def load(self) -> float:
        """Return the load as a share of the current capacity, as of the last renewal before this call."""
        now = self.clock()
        load = self.active_connections / (self.warm_up.full_connections * self.warm_up.capacity(now))
        reported_s, reported = self.last_report
        if now - reported_s >= self.lag_s:
            self.last_report = now, load
        return reported if self.lag_s else load
