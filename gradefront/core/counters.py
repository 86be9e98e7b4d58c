"""Counters of what the relay accepts, sends and answers."""

from __future__ import annotations

import json
import logging
from collections import Counter

log = logging.getLogger("gradefront.invalid_input")

LOG_INTERVAL_US = 1_000_000  # between two log lines of one kind: a line each would cost more than its cause


class Counters:
    """Named counts and present levels, printed as one line of JSON."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.by_class: Counter[tuple[str, str]] = Counter()
        self.logged_us: dict[str, int] = {}  # by kind, when the last log line of it was written
        self.logged: Counter[str] = Counter()  # by kind, the count at that line

    def add(self, name: str, amount: int = 1) -> None:
        """Count."""
        self.counts[name] += amount

    def count_fault(self, name: str, what: str, now_us: int, amount: int = 1) -> None:
        """Count a fault of a peer; a log line of each kind once a second at most."""
        self.add(name, amount)
        if now_us - self.logged_us.get(name, -LOG_INTERVAL_US) >= LOG_INTERVAL_US:
            more = self.counts[name] - self.logged[name] - 1
            log.warning("%s (and %d more since the last such line)", what, more)
            self.logged_us[name], self.logged[name] = now_us, self.counts[name]

    def add_for_class(self, name: str, request_class: str) -> None:
        """Count for one request class."""
        self.by_class[name, request_class] += 1

    def get_for_class(self, name: str, request_class: str) -> int:
        """The count for one request class."""
        return self.by_class[name, request_class]

    def as_json(self, **levels: int) -> str:
        """All counts and the given levels as JSON, names in order."""
        return json.dumps({**dict(sorted(self.counts.items())), **levels})
