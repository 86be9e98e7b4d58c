"""Counters of what the relay takes in, sends and answers."""

from __future__ import annotations

import json
from collections import Counter


class Tally:
    """Named counts and present levels, printed as one line of JSON."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.by_class: Counter[tuple[str, str]] = Counter()

    def add(self, name: str, amount: int = 1) -> None:
        """Count."""
        self.counts[name] += amount

    def add_of_class(self, name: str, klass: str) -> None:
        """Count for one request class."""
        self.by_class[name, klass] += 1

    def of_class(self, name: str, klass: str) -> int:
        """The count for one request class."""
        return self.by_class[name, klass]

    def line(self, **levels: int) -> str:
        """All counts and the given levels as JSON, names in order."""
        return json.dumps({**dict(sorted(self.counts.items())), **levels})
