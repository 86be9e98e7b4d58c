"""What fills a warm backend, as far as one node can tell from its own connections and the backends' reports.

No node sees what the others hold. Each knows its own connections at a backend and the load that the backend
reports then. Over all nodes the sum of such shares is what fills a mean backend of a kind.
"""

from __future__ import annotations

from .decaying import Decaying

MEMORY_US = 5_000_000  # us: what lies further back tells of other traffic
ALL_KINDS_SAY = 2.0  # loads: as much as all kinds together weigh beside what was reported of one
GUESS_SAY = 0.25  # loads: as much as the guess weighs beside all that was reported


class Share:
    """This node's connections and the backends' loads, summed over reports."""

    def __init__(self) -> None:
        self.held = Decaying(MEMORY_US)
        self.load = Decaying(MEMORY_US)

    def add(self, now_us: int, held: float, load: float) -> None:
        """Add one report; nothing only lets the sums fade."""
        self.held.add(now_us, held)
        self.load.add(now_us, load)


class CapacityShare:
    """This node's share of the connections that fill a warm backend."""

    def __init__(self) -> None:
        self.all = Share()
        self.kinds: dict[int, Share] = {}

    def on_report(self, now_us: int, kind: int, held: int, load: float) -> None:
        """A warm backend reported its load, while this node held so many connections there."""
        self.all.add(now_us, held, load)
        self.kinds.setdefault(kind, Share()).add(now_us, held, load)

    def connections(self, now_us: int, kind: int, guess: float) -> float:
        """Connections of this node among those that fill a mean backend of a kind; the guess where little is
        known."""
        self.all.add(now_us, 0, 0)
        mean = (self.all.held.value + GUESS_SAY * guess) / (self.all.load.value + GUESS_SAY)
        if (share := self.kinds.get(kind)) is None:
            return mean
        share.add(now_us, 0, 0)
        return (share.held.value + ALL_KINDS_SAY * mean) / (share.load.value + ALL_KINDS_SAY)
