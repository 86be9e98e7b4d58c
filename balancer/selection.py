"""Selection: which backends are candidates for a request, and the weighted random pick among them."""

from __future__ import annotations

import math
from collections import Counter
from zlib import crc32

from .connections import ConnectionTable, PendingRequest
from .context import Context
from .endpoints import Backend, EndpointTable
from .events import BackendState
from .load_estimate import FULL_LOAD, LoadEstimate
from .retry_policy import may_attempt_at
from .slow_start import SlowStart

CANDIDATES = 2  # more costs health checks and brings herding
DRAWS_PER_CANDIDATE = 4  # ring points, as many may fall on the same backends or on ones that can't be used
SPARE_POWER = 4.0  # power of spare capacity in the pick
CROSS_ZONE_WEIGHT = 0.1  # where crossings cost: taken at nearly twice the spare capacity
STICKY_WEIGHT = 64.0  # of a backend that holds some of the group: taken down to a third of the spare capacity
STICKY_CANDIDATES = 2  # backends that hold most of the group
MIN_DRAW = 1e-12


class Selection:
    """Samples candidates from the hash ring, and picks one of them."""

    def __init__(
        self,
        context: Context,
        endpoints: EndpointTable,
        connections: ConnectionTable,
        load_estimate: LoadEstimate,
        slow_start: SlowStart,
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._connections = connections
        self._load_estimate = load_estimate
        self._slow_start = slow_start

    def is_usable(self, backend: Backend, pending: PendingRequest) -> bool:
        """Whether a backend is ready, not attempted yet, and may be sent this request again."""
        entry = backend.entry
        if entry.state is not BackendState.READY or entry.backend in pending.attempted:
            return False
        return not pending.possibly_executed or may_attempt_at(entry, pending)

    def sample(self, pending: PendingRequest) -> list[str]:
        """A few backends from the ring, at random; a group's points come from its name, at every node."""
        ring_is_filled = self._endpoints.refresh_ring()
        sticky_groups, random = self._context.settings.sticky_groups, self._context.random
        group = pending.request.sticky_group if sticky_groups else ""
        count = CANDIDATES + sticky_groups  # a group's home and two others
        drawn = self._endpoints.at_points(
            crc32(f"{pending.failed_rounds}/{n}/{group}".encode()) if group else random.getrandbits(32)
            for n in range(DRAWS_PER_CANDIDATE * count if ring_is_filled else 0)
        )
        holders = self._connections.sticky_backends.get(group, Counter()).most_common(STICKY_CANDIDATES)
        sticky = [name for name, _ in holders]
        among = self._allowed(sticky + self._slow_start.backend_with_open_slot() + drawn, pending)
        cross_zone = [n for n in among if self._endpoints.is_cross_zone(self._endpoints.backends[n])]
        same_zone = [n for n in among if n not in cross_zone]
        # One of another zone, as the way out of a full one.
        ordered = same_zone[: count - 1] + cross_zone[:1] + same_zone[count - 1 :] + cross_zone[1:]
        return ordered[:count]

    def _allowed(self, names: list[str], pending: PendingRequest) -> list[str]:
        """Those that may be sent the request now; ejected ones rather than none."""
        found, ejected = dict[str, None](), dict[str, None]()
        backends, now_us = self._endpoints.backends, self._context.now_us
        for name in names:
            backend = backends.get(name)
            if (
                backend is not None
                and self.is_usable(backend, pending)
                and self._slow_start.allows(backend, pending)
            ):
                (ejected if now_us < backend.ejected_until_us else found)[name] = None
        return list(found or ejected)

    def pick(self, pending: PendingRequest) -> tuple[Backend | None, int]:
        """One candidate, at random in proportion to its weight, and how many could have been picked."""
        best, best_score, eligible = None, 0.0, 0
        group = pending.request.sticky_group if self._context.settings.sticky_groups else ""
        for name in pending.candidates:
            backend = self._endpoints.backends.get(name)
            if backend is None or name in pending.unchecked or not self.is_usable(backend, pending):
                continue
            weight = self._weight(backend, pending.request.sticky_group)
            if weight <= 0 or not self._slow_start.allows(backend, pending):
                continue
            eligible += 1
            # A group draws the same at every node.
            draw = self._group_draw(group, name) if group else self._context.random.random()
            score = weight / -math.log(max(draw, MIN_DRAW))
            if score > best_score:
                best, best_score = backend, score
        return best, eligible

    def _weight(self, backend: Backend, group: str) -> float:
        spare = max(0.0, FULL_LOAD - self._load_estimate.load(backend))
        weight: float = spare**SPARE_POWER * (
            CROSS_ZONE_WEIGHT if self._endpoints.is_cross_zone(backend) else 1.0
        )
        holds_group = self._connections.holds_group(backend.entry.backend, group)
        return weight * (STICKY_WEIGHT if holds_group else 1.0)

    def _group_draw(self, group: str, backend: str) -> float:
        """In (0, 1), the same at every node."""
        return (crc32(f"{group}|{backend}".encode()) + 0.5) / 2**32
