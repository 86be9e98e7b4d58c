"""How long messages take at each backend, for the decision module."""

from __future__ import annotations

from statistics import median

MESSAGE_LATENCY_INTERVAL_US = 1_000_000  # between two reports


class MessageLatency:
    """Latencies of messages by backend, there and back, in microseconds.

    A backend is reported at each interval while its median is over a third of the shortest objective, on one of its
    connections, and once more when it is back under.
    """

    def __init__(self, shortest_objective_us: int) -> None:
        self.notable_us = shortest_objective_us / 3
        self.latencies: dict[str, list[int]] = {}
        self.connection: dict[str, int] = {}
        self.late: dict[str, int] = {}  # backends last reported as late, with the connection of that report

    def add(self, backend: str, connection: int, took_us: int) -> None:
        """Add one message's latency."""
        self.latencies.setdefault(backend, []).append(took_us)
        self.connection[backend] = connection

    def pop_reports(self) -> list[tuple[int, str, float]]:
        """What to report now: connection, backend and latency in us.

        The median guards against one hiccup of this relay.
        """
        reports: list[tuple[int, str, float]] = []
        for backend, latencies in self.latencies.items():
            middle_us = float(median(latencies))
            if middle_us > self.notable_us:
                self.late[backend] = self.connection[backend]
                reports.append((self.connection[backend], backend, middle_us))
            elif self.late.pop(backend, None) is not None:
                reports.append((self.connection[backend], backend, middle_us))
        self.latencies = {}
        return reports
