"""Capacity of backends: the part available during warm-up, and a node's share of the connections at capacity.

No node sees the connections of the others. Each knows its own connections at a backend and the load that the
backend reports at the same time. Its connections divided by that load are the node's share. The sum of the
shares of all nodes is the number of connections that fill a mean backend of a kind.
"""

from __future__ import annotations

from .decaying import DecayingSum
from .settings import Settings

SHARE_MEMORY_US = 5_000_000  # decay time (to 1/e); older reports say little about the present traffic
# Weights of prior estimates, as the sum of reported loads that would count as much:
ALL_KINDS_WEIGHT = 2.0  # of the mean over all kinds of backend, against the reports of one kind
INITIAL_ESTIMATE_WEIGHT = 0.25  # of the initial estimate, against the reports of all kinds


def available_capacity(settings: Settings, started_us: int, at_us: int) -> float:
    """Return the part of its full capacity that a backend has at least at a time; 1 once it is warm."""
    if not started_us or settings.warm_up_us <= 0:
        return 1.0
    age = (at_us - started_us) / settings.warm_up_us
    initial = settings.initial_capacity
    return min(1.0, initial + (1 - initial) * max(0.0, age))


class ReportSums:
    """Decaying sums over load reports of this node's connections (`held`) and of the backends' loads."""

    def __init__(self) -> None:
        self.held = DecayingSum(SHARE_MEMORY_US)
        self.load = DecayingSum(SHARE_MEMORY_US)

    def add(self, now_us: int, held: float, load: float) -> None:
        """Add one report; zeros only apply the decay."""
        self.held.add(now_us, held)
        self.load.add(now_us, load)


class CapacityShare:
    """Estimates this node's share of the connections that fill a warm backend."""

    def __init__(self) -> None:
        self.all_kinds = ReportSums()
        self.by_kind: dict[int, ReportSums] = {}

    def on_report(self, now_us: int, kind: int, held: int, load: float) -> None:
        """Add a warm backend's load report, received while this node held `held` connections there."""
        self.all_kinds.add(now_us, held, load)
        self.by_kind.setdefault(kind, ReportSums()).add(now_us, held, load)

    def connection_share(self, now_us: int, kind: int, initial_estimate: float) -> float:
        """Return this node's share, in connections, of those that fill a mean backend of a kind.

        The result is near `initial_estimate` where few reports are known.
        """
        self.all_kinds.add(now_us, 0, 0)
        mean = (self.all_kinds.held.value + INITIAL_ESTIMATE_WEIGHT * initial_estimate) / (
            self.all_kinds.load.value + INITIAL_ESTIMATE_WEIGHT
        )
        if (share := self.by_kind.get(kind)) is None:
            return mean
        share.add(now_us, 0, 0)
        return (share.held.value + ALL_KINDS_WEIGHT * mean) / (share.load.value + ALL_KINDS_WEIGHT)
