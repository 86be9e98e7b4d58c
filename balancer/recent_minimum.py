"""The lowest value of a count over a recent time span."""

from __future__ import annotations


class RecentMinimum:
    """The lowest value that a count had from `memory_us` ago until now. The count starts at 0."""

    __slots__ = ("_memory_us", "_past", "_value")

    def __init__(self, memory_us: int) -> None:
        self._memory_us = memory_us
        self._value = 0
        # Past values of the count, each with the time until which it held. Times and values are ascending, as
        # a value is dropped once the count is as low or lower later.
        self._past: list[tuple[int, int]] = []

    def set(self, now_us: int, value: int) -> None:
        """Set the count's value from `now_us` on."""
        while self._past and self._past[-1][1] >= self._value:
            self._past.pop()
        self._past.append((now_us, self._value))
        self._value = value

    def raise_by(self, amount: int) -> None:
        """Correct the count and all its past values upward by `amount`."""
        self._value += amount
        self._past = [(until_us, value + amount) for until_us, value in self._past]

    def get(self, now_us: int) -> int:
        """Return the lowest value from `memory_us` ago until `now_us`."""
        while self._past and self._past[0][0] <= now_us - self._memory_us:
            self._past.pop(0)
        return min(self._value, self._past[0][1]) if self._past else self._value
