"""Slow start: how much a backend that has just started may be sent, and by how much this node may add to
that.

A cold backend falls when all nodes together send it more than a multiple of what it can do just then, within
a short window that the settings name; what it rejects and what has ended by then counts. No node knows what
the others send. So each keeps to its part of two bounds: of what may be sent in a window, and of what may
stand there.
"""

from __future__ import annotations

import math
from functools import partial

from .actions import SlowStartAllowance
from .capacity import available_capacity
from .connections import PendingRequest
from .endpoints import Backend
from .events import BackendState
from .load_estimate import FULL_LOAD, MIN_FULL_CONNECTIONS, REPORT_DELAY_US
from .node import Node
from .send_slots import SendSlot
from .settings import LoadReportSource

# Standard deviations of its own count within which a node believes other signs. Many, since traffic is
# uneven: some nodes get several times the mean.
DEVIATIONS = 6.0


class SlowStart(Node):
    """What fills a backend, and what may go to ones in slow start."""

    # ---- what fills a backend

    def _cold_full(self) -> float:
        """The same for a cold backend: the work of few connections is believed no further than their count
        goes. One light one made a backend look fourteen times as large, and when backends ended, each of 32
        nodes sent it one within a second."""
        held = len(self.connections.by_id)
        most = self.load_estimate.connections_to_fill(held + DEVIATIONS * math.sqrt(held + 1))
        most = max(most, MIN_FULL_CONNECTIONS * self.load_estimate.cores())
        # A node that has just started has no count yet; what comes back to it the backends bore a moment ago.
        return (
            self.load_estimate.full_connections()
            if self.context.now_us < self.new_until
            else min(self.load_estimate.full_connections(), most)
        )

    # ---- what a one in slow start may get

    def _age_us(self, backend: Backend) -> int:
        return self.context.now_us - backend.entry.started_us

    def _coldness(self, backend: Backend, at_us: int | None = None) -> float:
        """Part of its capacity that a backend has for certain by its start time; 1 when warm."""
        at_us = self.context.now_us if at_us is None else at_us
        return available_capacity(self.context.settings, backend.entry.started_us, at_us)

    def _cold_allows(self, backend: Backend, pending: PendingRequest) -> bool:
        """Guards against pushing a cold backend over: this node's part of what all may send and have
        there."""
        coldness = self._coldness(backend)
        if coldness >= 1:
            return True
        # Where backends report their load, that tells what stands there.
        unseen = self.context.settings.load_report_source is LoadReportSource.NONE
        if unseen and self._cold_held(backend) + self.connections.cost(pending.request) > self._cold_room(
            backend, coldness
        ):
            return False
        if any(turn.open(self.context.now_us) for turn in self._turns_at(backend)):
            return True
        age_s = self._age_us(backend) / 1e6
        mean = self._mean_sends(backend, self.context.now_us)
        self.context.log(
            f"slow start {backend.entry.backend}",
            f"{backend.entry.backend}, {age_s:.1f} s old, waits for this node's turn;"
            f" all may send {mean:.1f}",
        )
        return False

    def _cold_held(self, backend: Backend) -> float:
        """What this node has standing or coming there, in mean connections."""
        works = [
            self.connections.by_id[r].work / self.connections.mean_work if self.connections.mean_work else 1.0
            for r in backend.connections
        ]
        return len(backend.in_flight) + max(len(works), sum(works))  # a light one may grow

    def _cold_room(self, backend: Backend, coldness: float) -> float:
        """What this node may have there. Rounded at random: with a part below one connection, some nodes may
        send one and the others none."""
        return FULL_LOAD * coldness * self._cold_full() / self.context.settings.fleet_size + backend.rounding

    # ---- turns: the budget of what is sent

    def _mean_sends(self, backend: Backend, at_us: int) -> float:
        """Requests that all nodes may send a cold backend in the settings' time, by the multiple of what it
        can do: new connections fill it over its warm-up, and no faster."""
        holds = (
            FULL_LOAD * self._coldness(backend, at_us) * self._known_full(backend)
        )  # backends of a kind differ
        return (
            self.context.settings.overload_multiple
            * holds
            * self.context.settings.overload_window_us
            / self.context.settings.warm_up_us
        )

    def _known_full(self, backend: Backend) -> float:
        """Connections that fill a backend of this kind once it is warm, by this node's share of them."""
        guess = MIN_FULL_CONNECTIONS * self.load_estimate.cores() / self.context.settings.fleet_size
        return (
            self.load_estimate.capacity_share.connections(self.context.now_us, backend.entry.kind, guess)
            * self.context.settings.fleet_size
        )

    def _cold_blind(self, backend: Backend) -> float:
        """Load that all nodes may add to a cold backend before it shows in its reports."""
        assert self.turn_table
        dealer = self.turn_table.dealer
        sent = (
            dealer.many(self._mean_sends(backend, self.context.now_us)) * REPORT_DELAY_US / dealer.period_us
        )
        return sent / max(1.0, self._coldness(backend) * self._known_full(backend))

    def _turns_at(self, backend: Backend) -> list[SendSlot]:
        """This node's turns at a cold backend that are open or come next."""
        assert self.turn_table
        entry = backend.entry
        return self.turn_table.at(
            self.context.now_us, entry.backend, entry.started_us, partial(self._mean_sends, backend)
        )

    def _own_turns(self) -> list[SendSlot]:
        """This node's turns at all backends in slow start that may be used, now or soon."""
        cold = [
            s
            for s in self.endpoints.backends.values()
            if self._coldness(s) < 1 and s.entry.state is BackendState.READY
        ]
        return [turn for backend in cold for turn in self._turns_at(backend) if not turn.used]

    def _in_turn(self) -> list[str]:
        """A cold backend that this node may send to now: the turn lapses soon, and is nobody else's."""
        names = [turn.backend for turn in self._own_turns() if turn.open(self.context.now_us)]
        return [self.context.random.choice(names)] if names else []

    def _next_turn(self, until_us: float) -> SendSlot | None:
        """The next turn that no request waits for yet."""
        ahead = [
            turn
            for turn in self._own_turns()
            if not turn.reserved and self.context.now_us < turn.start_us < until_us
        ]
        return min(ahead, key=lambda turn: turn.start_us, default=None)

    def _use_turn(self, backend: Backend, cost: float) -> None:
        """A request goes to a backend. If that is cold it takes a turn or several, whatever becomes of it."""
        left = math.ceil(cost)
        for turn in self._turns_at(backend) if self._coldness(backend) < 1 else []:
            if left > 0 and not turn.used and turn.end_us > self.context.now_us:
                turn.used = True
                left -= 1

    def _slow_start_room(self, backend: Backend) -> SlowStartAllowance | None:
        """For the log: what a backend in slow start has room for; None for a warm one."""
        coldness = self._coldness(backend)
        if coldness >= 1:
            return None
        return SlowStartAllowance(
            self._age_us(backend),
            coldness,
            self._cold_full(),
            self._cold_held(backend),
            self._cold_room(backend, coldness),
            self._mean_sends(backend, self.context.now_us),
            backend.entry.started_us,
            self.context.now_us < self.new_until,
        )
