"""Message latency of each backend, reported to the decision module."""

from __future__ import annotations

from statistics import median

MESSAGE_LATENCY_INTERVAL_US = 1_000_000  # between two reports


class MessageLatency:
    """Round-trip latencies of messages by backend, in microseconds.

    A backend is reported, under one of its connections, at each interval in which its median latency is over a third
    of the shortest objective, and once more when the median is back below that.
    """

    def __init__(self, shortest_objective_us: int) -> None:
        self.threshold_us = shortest_objective_us / 3
        self.latencies: dict[str, list[int]] = {}
        self.connection: dict[str, int] = {}  # by backend: the connection of its latest message
        self.late: dict[str, int] = {}  # backends last reported as late, with the connection of that report

    def add(self, backend: str, connection: int, took_us: int) -> None:
        """Add the latency of one message."""
        self.latencies.setdefault(backend, []).append(took_us)
        self.connection[backend] = connection

    def pop_reports(self) -> list[tuple[int, str, float]]:
        """Return the connection, backend and median latency in us of each report due now, and start a new interval.

        With the median, one short pause of this relay reports no backend as late.
        """
        reports: list[tuple[int, str, float]] = []
        for backend, latencies in self.latencies.items():
            median_us = float(median(latencies))
            if median_us > self.threshold_us:
                self.late[backend] = self.connection[backend]
                reports.append((self.connection[backend], backend, median_us))
            elif self.late.pop(backend, None) is not None:
                reports.append((self.connection[backend], backend, median_us))
        self.latencies, self.connection = {}, {}
        return reports

    def forget(self, backend: str) -> None:
        """Drop the state of a backend that has left the endpoint list."""
        self.latencies.pop(backend, None)
        self.late.pop(backend, None)
