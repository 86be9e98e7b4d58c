"""Slow start: how much a server that has just started may be sent, and by how much this node may add to that.

A cold server falls when all nodes together send it more than a multiple of what it can do just then, within a
short window that the settings name. No node knows what the others send. So each keeps to its part of what the
server may hold as it warms, rounded at random where that is below one connection.
"""

from __future__ import annotations

import math

from .interface import SlowStartRoom, WeightKind
from .node import Node
from .records import Job, Server

LIMIT = 0.8  # load at which a server counts as full; loads swing, and near 1 work piles up
LEAST_FULL = 10.0  # mean connections: what any server takes, until this node has seen enough to tell
MOST_CORES = 16.0  # cores: the most that a rough weight is believed
# Standard deviations of its own count within which a node believes other signs. Many, since traffic is
# uneven: some nodes get several times the mean.
DEVIATIONS = 6.0


class SlowStart(Node):
    """What fills a server, and what may go to cold ones."""

    def _part(self) -> float:
        return self.s.fleet_size / max(1, len(self.servers))  # a mean server's load for each of this node's

    def _fills(self, held: float) -> float:
        """Mean connections that fill a server, where this node's part of them and the mean load are these."""
        return held * self._part() / max(self.mean_load, 0.05)

    def _cores(self) -> float:
        """Cores of a server, as far as a rough weight counts them; it has one at the least."""
        rough = self.s.weight_kind is WeightKind.ROUGH
        return min(max(self.mean_weight, 1.0), MOST_CORES) if rough else 1.0

    def _full(self) -> float:
        """Mean connections that fill a server: by this node's count, or more where their work says so."""
        # Guards against refusing the crowd that comes to a node with few connections, since it has just
        # started or was emptied a moment ago, when another one sends its clients away.
        by_work = self._cores() * 1e6 / self.mean_work if self.mean_work > 0 else 1.0
        return max(self._fills(len(self.connections)), by_work, LEAST_FULL)

    def _cold_full(self) -> float:
        """The same for a cold server: the work of few connections is believed no further than their count
        goes. One light one made a server look fourteen times as large, and when backends ended, each of 32
        nodes sent it one within a second."""
        held = len(self.connections)
        most = self._fills(held + DEVIATIONS * math.sqrt(held + 1))
        most = max(most, LEAST_FULL * self._cores())
        # A node that has just started has no count yet; what comes back to it the servers bore a moment ago.
        return self._full() if self.now < self.new_until else min(self._full(), most)

    def _coldness(self, server: Server) -> float:
        """Part of its capacity that a server has for certain by its start time; 1 when warm."""
        if not server.entry.started_us or self.s.cold_us <= 0:
            return 1.0
        age = (self.now - server.entry.started_us) / self.s.cold_us
        return min(1.0, self.s.start_capacity + (1 - self.s.start_capacity) * max(0.0, age))

    def _cold_allows(self, server: Server, job: Job) -> bool:
        """Guards against pushing a cold server over: this node's part of what all may have standing there."""
        coldness = self._coldness(server)
        if coldness >= 1:
            return True
        return self._cold_held(server) + self._cost(job) <= self._cold_room(server, coldness)

    def _cold_held(self, server: Server) -> float:
        """What this node has standing or coming there, in mean connections."""
        works = [self.connections[r].work / self.mean_work if self.mean_work else 1.0 for r in server.open]
        return len(server.coming) + max(len(works), sum(works))  # a light one may grow

    def _cold_room(self, server: Server, coldness: float) -> float:
        """What this node may have there. Rounded at random: with a part below one connection, some nodes may
        send one and the others none."""
        return LIMIT * coldness * self._cold_full() / self.s.fleet_size + server.chance

    def _slow_start_room(self, server: Server) -> SlowStartRoom | None:
        """For the log: what a server in slow start has room for; None for a warm one."""
        coldness = self._coldness(server)
        if coldness >= 1:
            return None
        return SlowStartRoom(
            self.now - server.entry.started_us,
            coldness,
            self._cold_full(),
            self._cold_held(server),
            self._cold_room(server, coldness),
            server.entry.started_us,
            self.now < self.new_until,
        )

    def _cost(self, job: Job) -> float:
        """The request's load in mean connections."""
        hint = job.request.load_hint
        return min(hint / self.mean_work, 100.0) if hint > 0 and self.mean_work > 0 else 1.0
