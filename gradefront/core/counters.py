"""Counters of the relay's requests, answers, connections and faults."""

from __future__ import annotations

import json
import logging
from collections import Counter

log = logging.getLogger("gradefront.invalid_input")

# Between two log lines of one counter: a line for each fault would cost more than handling the fault itself.
LOG_INTERVAL_US = 1_000_000


class Counters:
    """Named counters, formatted as one line of JSON together with the current levels."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.by_class: Counter[tuple[str, str]] = Counter()
        self.logged_us: dict[str, int] = {}  # by counter: when its last log line was written
        self.logged: Counter[str] = Counter()  # by counter: its value at that log line

    def add(self, name: str, amount: int = 1) -> None:
        """Increment a counter by `amount`."""
        self.counts[name] += amount

    def count_fault(self, name: str, message: str, now_us: int, amount: int = 1) -> None:
        """Count a peer's fault, and log `message` at most once per second for each counter."""
        self.add(name, amount)
        if now_us - self.logged_us.get(name, -LOG_INTERVAL_US) >= LOG_INTERVAL_US:
            unlogged = self.counts[name] - self.logged[name] - 1
            log.warning("%s (and %d more since the last such line)", message, unlogged)
            self.logged_us[name], self.logged[name] = now_us, self.counts[name]

    def add_for_class(self, name: str, request_class: str) -> None:
        """Increment a counter of one request class."""
        self.by_class[name, request_class] += 1

    def get_for_class(self, name: str, request_class: str) -> int:
        """Return a counter of one request class."""
        return self.by_class[name, request_class]

    def as_json(self, **levels: int) -> str:
        """Return the counters, sorted by name, and the given levels as one line of JSON."""
        return json.dumps({**dict(sorted(self.counts.items())), **levels})
