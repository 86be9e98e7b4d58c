"""How long messages take at each backend, told to the decision module as the deployment would tell it."""

from __future__ import annotations

from statistics import median

MESSAGE_LATENCY_INTERVAL_US = 1_000_000  # us: one look a second


class MessageLatency:
    """Message times by backend. Raises a delay once a second while over a third of the shortest aim, on one
    connection a backend, and once more when it is back under."""

    def __init__(self, shortest_aim_us: int) -> None:
        self.notable_us = shortest_aim_us / 3
        self.times: dict[str, list[int]] = {}
        self.connection: dict[str, int] = {}
        self.late: dict[str, int] = {}  # backends last told late, with the connection it was told on

    def add(self, backend: str, connection: int, took_us: int) -> None:
        """One message's time, there and back."""
        self.times.setdefault(backend, []).append(took_us)
        self.connection[backend] = connection

    def look(self) -> list[tuple[int, str, float]]:
        """What to tell now: connection, backend and delay. The median guards against one hiccup of this relay."""
        told: list[tuple[int, str, float]] = []
        for backend, times in self.times.items():
            middle = float(median(times))
            if middle > self.notable_us:
                self.late[backend] = self.connection[backend]
                told.append((self.connection[backend], backend, middle))
            elif self.late.pop(backend, None) is not None:
                told.append((self.connection[backend], backend, middle))
        self.times = {}
        return told
