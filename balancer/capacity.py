"""Capacity of backends: how much a warming one has, and what fills a warm one, as far as one node can tell.

No node sees what the others hold. Each knows its own connections at a backend and the load that the backend
reports then. Over all nodes the sum of such shares is what fills a mean backend of a kind.
"""

from __future__ import annotations

from .decaying import Decaying
from .settings import Settings

SHARE_MEMORY_US = 5_000_000  # what lies further back says little about the present traffic
ALL_KINDS_WEIGHT = 2.0  # in loads: all kinds together beside what was reported of one
GUESS_WEIGHT = 0.25  # in loads: the guess beside all that was reported


def available_capacity(settings: Settings, started_us: int, at_us: int) -> float:
    """Part of its capacity that a backend has for certain at a time, by its start; 1 once it is warm."""
    if not started_us or settings.warm_up_us <= 0:
        return 1.0
    age = (at_us - started_us) / settings.warm_up_us
    initial = settings.initial_capacity
    return min(1.0, initial + (1 - initial) * max(0.0, age))


class Share:
    """This node's connections and the backends' loads, summed over reports, with decay."""

    def __init__(self) -> None:
        self.held = Decaying(SHARE_MEMORY_US)
        self.load = Decaying(SHARE_MEMORY_US)

    def add(self, now_us: int, held: float, load: float) -> None:
        """Add one report; zeros only let the sums decay."""
        self.held.add(now_us, held)
        self.load.add(now_us, load)


class CapacityShare:
    """This node's share of the connections that fill a warm backend."""

    def __init__(self) -> None:
        self.all_kinds = Share()
        self.by_kind: dict[int, Share] = {}

    def on_report(self, now_us: int, kind: int, held: int, load: float) -> None:
        """A warm backend reported its load, while this node held `held` connections there."""
        self.all_kinds.add(now_us, held, load)
        self.by_kind.setdefault(kind, Share()).add(now_us, held, load)

    def connections(self, now_us: int, kind: int, guess: float) -> float:
        """Connections of this node among those that fill a mean backend of a kind; near the guess where
        little is known."""
        self.all_kinds.add(now_us, 0, 0)
        mean = (self.all_kinds.held.value + GUESS_WEIGHT * guess) / (self.all_kinds.load.value + GUESS_WEIGHT)
        if (share := self.by_kind.get(kind)) is None:
            return mean
        share.add(now_us, 0, 0)
        return (share.held.value + ALL_KINDS_WEIGHT * mean) / (share.load.value + ALL_KINDS_WEIGHT)
