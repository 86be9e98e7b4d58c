"""Which backends owe replies and have sent nothing since: the first sign of a machine that vanished."""

from __future__ import annotations

from balancer.settings import RequestClass

CHECK_INTERVAL_US = 100_000  # while any backend owes a reply
OBJECTIVES_UNTIL_SILENT = 2  # longest message latency objectives after which an owed reply is of no use
MIN_TIMEOUT_US = 200_000  # so that a pause of a sound machine is no sign; also where there is no objective
RECHECK_INTERVAL_US = 1_000_000  # between two connect checks of a backend that opens but still owes
MAX_NEIGHBOURS = 3  # backends checked for each that vanished; each that has vanished too leads on to others


class SilenceDetector:
    """By backend, since when a reply is owed with nothing received on any connection. Times are in microseconds."""

    def __init__(self, classes: tuple[RequestClass, ...]) -> None:
        self.timeout_us = max(
            MIN_TIMEOUT_US, OBJECTIVES_UNTIL_SILENT * max(c.message_latency_objective_us for c in classes)
        )
        self.owed: dict[str, int] = {}  # at most one entry a backend: when its first unanswered message was sent
        self.last_checked_us: dict[str, int] = {}

    def on_sent(self, backend: str, now_us: int) -> None:
        """A message went to the backend; the first one since it last sent anything counts."""
        self.owed.setdefault(backend, now_us)

    def on_received(self, backend: str) -> None:
        """The backend sent something, on any connection, or opened one: it owes from the next message on.

        Guards against connect checks for ever of a backend whose client left with a message unanswered.
        """
        self.owed.pop(backend, None)

    def pop_due(self, now_us: int) -> list[str]:
        """Backends to check now by a new connection, which a machine that vanished never accepts."""
        due = [
            backend
            for backend, since_us in self.owed.items()
            if now_us - since_us >= self.timeout_us and self._may_check(backend, now_us)
        ]
        self.last_checked_us |= dict.fromkeys(due, now_us)
        return due

    def pop_neighbours(self, backends: list[str], now_us: int) -> list[str]:
        """A few more backends to check, near one that vanished: they owe a reply from now on."""
        neighbours = [backend for backend in backends if self._may_check(backend, now_us)][:MAX_NEIGHBOURS]
        for backend in neighbours:
            self.owed.setdefault(backend, now_us)
            self.last_checked_us[backend] = now_us
        return neighbours

    def _may_check(self, backend: str, now_us: int) -> bool:
        return now_us - self.last_checked_us.get(backend, -RECHECK_INTERVAL_US) >= RECHECK_INTERVAL_US

    def pop_vanished(self, backend: str) -> bool:
        """After a failed connect check: whether the backend still owes. Anything received meanwhile clears it."""
        return self.owed.pop(backend, None) is not None

    def forget(self, backend: str) -> None:
        """The backend is gone from the endpoint list."""
        self.owed.pop(backend, None)
        self.last_checked_us.pop(backend, None)
