"""Silence detection: finds backends that owe a reply and have sent nothing since, so that they may have vanished."""

from __future__ import annotations

from balancer.settings import RequestClass

CHECK_INTERVAL_US = 100_000  # between two checks while any backend owes a reply
# A backend is silent after this many times the longest message latency objective: a later reply is of no use.
OBJECTIVES_UNTIL_SILENT = 2
# Lower limit, so that a short pause of a healthy machine is not taken for silence. Also applies without an objective.
MIN_TIMEOUT_US = 200_000
RECHECK_INTERVAL_US = 1_000_000  # between two connect checks of a backend that accepts connections but owes replies
# Backends of the same zone to check for each one that vanished. If one of them has vanished too, more are checked.
MAX_NEIGHBOURS = 3


class SilenceDetector:
    """Tracks, for each backend, how long it has owed a reply without sending anything on any connection."""

    def __init__(self, classes: tuple[RequestClass, ...]) -> None:
        self.timeout_us = max(
            MIN_TIMEOUT_US, OBJECTIVES_UNTIL_SILENT * max(c.message_latency_objective_us for c in classes)
        )
        self.owed: dict[str, int] = {}  # by backend: when its first unanswered message was sent, in microseconds
        self.last_checked_us: dict[str, int] = {}  # by backend: when its last connect check began

    def on_sent(self, backend: str, now_us: int) -> None:
        """Record a message forwarded to the backend; only the first one since the backend last sent data counts."""
        self.owed.setdefault(backend, now_us)

    def on_received(self, backend: str) -> None:
        """Record data from the backend on any connection, or an accepted connect check: it owes no reply now.

        An accepted connect check counts because the client may have disconnected with a message unanswered; the
        backend would be checked again for ever.
        """
        self.owed.pop(backend, None)

    def pop_due(self, now_us: int) -> list[str]:
        """Return the backends that need a connect check now, and record the checks.

        A machine that has vanished does not accept the new connection.
        """
        due = [
            backend
            for backend, since_us in self.owed.items()
            if now_us - since_us >= self.timeout_us and self._may_check(backend, now_us)
        ]
        self.last_checked_us |= dict.fromkeys(due, now_us)
        return due

    def pop_neighbours(self, backends: list[str], now_us: int) -> list[str]:
        """Return a few of `backends` to check, as one of the same zone has vanished, and record the checks.

        From now on they count as owing a reply.
        """
        neighbours = [backend for backend in backends if self._may_check(backend, now_us)][:MAX_NEIGHBOURS]
        for backend in neighbours:
            self.owed.setdefault(backend, now_us)
            self.last_checked_us[backend] = now_us
        return neighbours

    def _may_check(self, backend: str, now_us: int) -> bool:
        return now_us - self.last_checked_us.get(backend, -RECHECK_INTERVAL_US) >= RECHECK_INTERVAL_US

    def pop_vanished(self, backend: str) -> bool:
        """Return whether a backend that failed its connect check still owes a reply, and clear the debt.

        False if the backend has sent data meanwhile: then it has not vanished.
        """
        return self.owed.pop(backend, None) is not None

    def forget(self, backend: str) -> None:
        """Drop the state of a backend that has left the endpoint list."""
        self.owed.pop(backend, None)
        self.last_checked_us.pop(backend, None)
