"""How long messages take at each push box, told to the decision module as the deployment would tell it."""

from __future__ import annotations

from statistics import median

PULSE_US = 1_000_000  # us: one look a second


class Pulse:
    """Message times by push box. Raises a delay once a second while over a third of the shortest aim, on one
    visit a box, and once more when it is back under."""

    def __init__(self, shortest_aim_us: int) -> None:
        self.notable_us = shortest_aim_us / 3
        self.times: dict[str, list[int]] = {}
        self.visit: dict[str, int] = {}
        self.late: dict[str, int] = {}  # push boxes last told late, with the visit it was told on

    def add(self, box: str, visit: int, took_us: int) -> None:
        """One message's time, there and back."""
        self.times.setdefault(box, []).append(took_us)
        self.visit[box] = visit

    def look(self) -> list[tuple[int, str, float]]:
        """What to tell now: visit, push box and delay. The median guards against one hiccup of this relay."""
        told: list[tuple[int, str, float]] = []
        for box, times in self.times.items():
            middle = float(median(times))
            if middle > self.notable_us:
                self.late[box] = self.visit[box]
                told.append((self.visit[box], box, middle))
            elif self.late.pop(box, None) is not None:
                told.append((self.visit[box], box, middle))
        self.times = {}
        return told
