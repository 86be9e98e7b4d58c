"""Token buckets in memory that is fixed at the start, however many keys come.

A flood brings a new key with every packet. A table that keeps keys must then grow or evict keys, and what is
evicted comes back with a full bucket. Here a key has a place in each of two rows of buckets, by a hash that
nobody outside can foresee. It is admitted while either of its two has a token: a key that keeps within its
rate suffers only if floods hit both of its places.
"""

from __future__ import annotations

from array import array
from collections.abc import Hashable


class Bucket:
    """One bucket: `rate` tokens a second, at most `burst` of them."""

    __slots__ = ("rate", "burst", "tokens", "at_us")

    def __init__(self, rate: float, burst: float, now_us: int = 0) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.at_us = now_us

    def level(self, now_us: int) -> float:
        """The tokens left."""
        if now_us > self.at_us:
            self.tokens = min(self.burst, self.tokens + (now_us - self.at_us) * self.rate / 1e6)
            self.at_us = now_us
        return self.tokens

    def take(self, now_us: int, amount: float = 1.0) -> bool:
        """Take tokens, if there are enough."""
        if self.level(now_us) < amount:
            return False
        self.tokens -= amount
        return True

    def spend(self, now_us: int, amount: float) -> None:
        """Take what has been used already; the level may go below zero."""
        self.level(now_us)
        self.tokens -= amount

    def wait_us(self, now_us: int, amount: float = 1.0) -> int:
        """Microseconds until there will be so many tokens, if none are taken."""
        return max(0, round((amount - self.level(now_us)) / self.rate * 1e6))


class BucketTable:
    """Buckets by key, 16 octets a place, two places a key. `size` is rounded up to a power of two."""

    def __init__(self, rate: float, burst: float, size: int = 8_192) -> None:
        self.rate = rate / 1e6
        self.burst = burst
        self.mask = (1 << (size - 1).bit_length()) - 1
        self.rows = [(array("d", [burst]) * (self.mask + 1), array("q", [0]) * (self.mask + 1)) for _ in range(2)]

    @property
    def octets(self) -> int:
        """The memory that the table takes; it never grows."""
        return sum(len(a) * a.itemsize for row in self.rows for a in row)

    def _places(self, key: Hashable) -> tuple[int, int]:
        digest = hash(key)  # SipHash with a secret of this process, for bytes and str
        return digest & self.mask, digest >> 24 & self.mask

    def _level(self, row: int, place: int, now_us: int) -> float:
        tokens, times = self.rows[row]
        level = tokens[place] = min(self.burst, tokens[place] + (now_us - times[place]) * self.rate)
        times[place] = now_us
        return level

    def take(self, key: bytes | str, now_us: int) -> bool:
        """Take a token of this key, if there is one."""
        one, other = self._places(key)
        allowed = max(self._level(0, one, now_us), self._level(1, other, now_us)) >= 1
        if allowed:
            for (tokens, _), place in zip(self.rows, (one, other), strict=True):
                tokens[place] = max(0.0, tokens[place] - 1)
        return allowed

    def wait_us(self, key: bytes | str, now_us: int) -> int:
        """Microseconds until this key will have a token, if only it takes any."""
        one, other = self._places(key)
        level = max(self._level(0, one, now_us), self._level(1, other, now_us))
        return max(0, round((1 - level) / self.rate))
