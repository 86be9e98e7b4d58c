"""Backend selection: sampling of candidates for a request, and the weighted random pick among them."""

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

CANDIDATES = 2  # more would cost more health checks and cause herding
DRAWS_PER_CANDIDATE = 4  # ring points; several may fall on one backend, or on a backend that can't be used
SPARE_CAPACITY_EXPONENT = 4.0  # a candidate's weight is its spare capacity to this power
# Factor for a backend in another zone, where crossing zones costs: it is preferred only if it has nearly
# twice the spare capacity of a backend in this zone, or more.
CROSS_ZONE_WEIGHT = 0.1
# Factor for a backend that has connections of the request's sticky group: it is preferred down to about a
# third of the spare capacity of the others.
STICKY_WEIGHT = 64.0
STICKY_CANDIDATES = 2  # the backends with the most connections of the group
MIN_DRAW = 1e-12


class Selection:
    """Samples candidates from the hash ring and picks one of them."""

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
        """Return whether a backend is ready, not attempted yet, and in the scope in which a retry is safe."""
        entry = backend.entry
        if entry.state is not BackendState.READY or entry.backend in pending.attempted:
            return False
        return not pending.possibly_executed or may_attempt_at(entry, pending)

    def sample(self, pending: PendingRequest) -> list[str]:
        """Return the names of a few candidates, drawn from the ring at random.

        For a request of a sticky group, the ring points derive from the group's name, so that all nodes draw
        the same candidates.
        """
        ring_is_filled = self._endpoints.refresh_ring()
        sticky_groups, random = self._context.settings.sticky_groups, self._context.random
        group = pending.request.sticky_group if sticky_groups else ""
        count = CANDIDATES + sticky_groups  # the backend that the sticky group uses, and two others
        drawn = self._endpoints.backends_at_points(
            crc32(f"{pending.failed_rounds}/{n}/{group}".encode()) if group else random.getrandbits(32)
            for n in range(DRAWS_PER_CANDIDATE * count if ring_is_filled else 0)
        )
        holders = self._connections.sticky_backends.get(group, Counter()).most_common(STICKY_CANDIDATES)
        sticky = [name for name, _ in holders]
        permitted = self._permitted(sticky + self._slow_start.pick_backend_with_open_slot() + drawn, pending)
        cross_zone = [n for n in permitted if self._endpoints.is_cross_zone(self._endpoints.backends[n])]
        same_zone = [n for n in permitted if n not in cross_zone]
        # Include one candidate of another zone, for the case that this zone is full.
        ordered = same_zone[: count - 1] + cross_zone[:1] + same_zone[count - 1 :] + cross_zone[1:]
        return ordered[:count]

    def _permitted(self, names: list[str], pending: PendingRequest) -> list[str]:
        """Return the backends that may receive the request now; only if there are none, the ejected ones."""
        available, ejected = dict[str, None](), dict[str, None]()
        backends, now_us = self._endpoints.backends, self._context.now_us
        for name in names:
            backend = backends.get(name)
            if (
                backend is not None
                and self.is_usable(backend, pending)
                and self._slow_start.may_send(backend, pending)
            ):
                (ejected if now_us < backend.ejected_until_us else available)[name] = None
        return list(available or ejected)

    def pick(self, pending: PendingRequest) -> tuple[Backend | None, int]:
        """Pick a candidate at random in proportion to its weight.

        Returns the backend, None where no candidate is eligible, and the number of eligible candidates.
        """
        best, best_score, eligible = None, 0.0, 0
        group = pending.request.sticky_group if self._context.settings.sticky_groups else ""
        for name in pending.candidates:
            backend = self._endpoints.backends.get(name)
            if backend is None or name in pending.unchecked or not self.is_usable(backend, pending):
                continue
            weight = self._weight(backend, pending.request.sticky_group)
            if weight <= 0 or not self._slow_start.may_send(backend, pending):
                continue
            eligible += 1
            # Every node draws the same for a sticky group.
            draw = self._group_draw(group, name) if group else self._context.random.random()
            score = weight / -math.log(max(draw, MIN_DRAW))
            if score > best_score:
                best, best_score = backend, score
        return best, eligible

    def _weight(self, backend: Backend, group: str) -> float:
        spare = max(0.0, FULL_LOAD - self._load_estimate.load(backend))
        weight: float = spare**SPARE_CAPACITY_EXPONENT * (
            CROSS_ZONE_WEIGHT if self._endpoints.is_cross_zone(backend) else 1.0
        )
        holds_group = self._connections.holds_group(backend.entry.backend, group)
        return weight * (STICKY_WEIGHT if holds_group else 1.0)

    def _group_draw(self, group: str, backend: str) -> float:
        """Return a hash of group and backend in (0, 1), the same at every node."""
        return (crc32(f"{group}|{backend}".encode()) + 0.5) / 2**32
