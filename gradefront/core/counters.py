"""Counters of what the relay takes in, sends and answers."""

from __future__ import annotations

import json
import logging
from collections import Counter

log = logging.getLogger("gradefront.bad")

TELL_US = 1_000_000  # between two log lines of one kind: a line each would cost more than what it tells of


class Counters:
    """Named counts and present levels, printed as one line of JSON."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.by_class: Counter[tuple[str, str]] = Counter()
        self.told_us: dict[str, int] = {}  # by kind, when the last log line of it was written
        self.told: Counter[str] = Counter()  # by kind, the count that it told

    def add(self, name: str, amount: int = 1) -> None:
        """Count."""
        self.counts[name] += amount

    def bad(self, name: str, what: str, now_us: int, amount: int = 1) -> None:
        """Count what others do wrong; a log line of each kind once a second at most."""
        self.add(name, amount)
        if now_us - self.told_us.get(name, -TELL_US) >= TELL_US:
            more = self.counts[name] - self.told[name] - 1
            log.warning("%s (and %d more since the last such line)", what, more)
            self.told_us[name], self.told[name] = now_us, self.counts[name]

    def add_of_class(self, name: str, request_class: str) -> None:
        """Count for one request class."""
        self.by_class[name, request_class] += 1

    def of_class(self, name: str, request_class: str) -> int:
        """The count for one request class."""
        return self.by_class[name, request_class]

    def line(self, **levels: int) -> str:
        """All counts and the given levels as JSON, names in order."""
        return json.dumps({**dict(sorted(self.counts.items())), **levels})
