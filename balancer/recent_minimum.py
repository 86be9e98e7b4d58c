"""The lowest value of a count within the last while."""

from __future__ import annotations


class RecentMinimum:
    """The lowest value that a count had from `memory_us` ago until now. The count begins at 0."""

    __slots__ = ("_memory_us", "_past", "_value")

    def __init__(self, memory_us: int) -> None:
        self._memory_us = memory_us
        self._value = 0
        # Until when the count had a value, and the value. Both rise: a later lower one hides those before.
        self._past: list[tuple[int, int]] = []

    def set(self, now_us: int, value: int) -> None:
        """The count has this value from now on."""
        while self._past and self._past[-1][1] >= self._value:
            self._past.pop()
        self._past.append((now_us, self._value))
        self._value = value

    def raise_by(self, amount: int) -> None:
        """The count is higher by this than was known, and has been all the while."""
        self._value += amount
        self._past = [(until_us, value + amount) for until_us, value in self._past]

    def get(self, now_us: int) -> int:
        """The lowest value from `memory_us` ago until now."""
        while self._past and self._past[0][0] <= now_us - self._memory_us:
            self._past.pop(0)
        return min(self._value, self._past[0][1]) if self._past else self._value
