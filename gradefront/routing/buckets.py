"""Token buckets whose memory is fixed at the start, whatever the number of keys.

In a flood each packet may have a new key. A table that stores keys must then grow or evict keys, and an evicted key
gets a full bucket when it returns. Here a hash that no outsider can predict assigns a key one slot in each of two
rows of buckets. A key is admitted while either of its two slots has a token: a key that keeps within its rate suffers
only if floods hit both of its slots.
"""

from __future__ import annotations

from array import array
from collections.abc import Hashable


class Bucket:
    """One bucket: it gains `rate` tokens per second and holds at most `burst` of them."""

    __slots__ = ("rate", "burst", "tokens", "updated_us")

    def __init__(self, rate: float, burst: float, now_us: int = 0) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.updated_us = now_us

    def level(self, now_us: int) -> float:
        """Return the number of tokens in the bucket; negative after more was spent than it held."""
        if now_us > self.updated_us:
            self.tokens = min(self.burst, self.tokens + (now_us - self.updated_us) * self.rate / 1e6)
            self.updated_us = now_us
        return self.tokens

    def take(self, now_us: int, amount: float = 1.0) -> bool:
        """Take `amount` tokens if there are enough. Return whether there were."""
        if self.level(now_us) < amount:
            return False
        self.tokens -= amount
        return True

    def spend(self, now_us: int, amount: float) -> None:
        """Charge `amount` tokens for work that is already done; the level may become negative."""
        self.level(now_us)
        self.tokens -= amount

    def wait_us(self, now_us: int, amount: float = 1.0) -> int:
        """Return the microseconds until `amount` tokens are available, if none are taken meanwhile."""
        return max(0, round((amount - self.level(now_us)) / self.rate * 1e6))


class BucketTable:
    """Buckets by key: two slots per key, 16 octets per slot.

    `size`, the number of slots per row, is rounded up to a power of two.
    """

    def __init__(self, rate: float, burst: float, size: int = 8_192) -> None:
        self.rate = rate / 1e6  # tokens per microsecond
        self.burst = burst
        self.mask = (1 << (size - 1).bit_length()) - 1
        self.rows = [(array("d", [burst]) * (self.mask + 1), array("q", [0]) * (self.mask + 1)) for _ in range(2)]

    @property
    def octets(self) -> int:
        """Size of the table in octets; it never grows."""
        return sum(len(a) * a.itemsize for row in self.rows for a in row)

    def _slots(self, key: Hashable) -> tuple[int, int]:
        digest = hash(key)  # for bytes and str: SipHash with a secret that each process draws
        return digest & self.mask, digest >> 24 & self.mask

    def _level(self, row: int, slot: int, now_us: int) -> float:
        tokens, times = self.rows[row]
        level = tokens[slot] = min(self.burst, tokens[slot] + (now_us - times[slot]) * self.rate)
        times[slot] = now_us
        return level

    def take(self, key: bytes | str, now_us: int) -> bool:
        """Take a token of this key if there is one. Return whether there was."""
        first, second = self._slots(key)
        is_available = max(self._level(0, first, now_us), self._level(1, second, now_us)) >= 1
        if is_available:
            for (tokens, _), slot in zip(self.rows, (first, second), strict=True):
                tokens[slot] = max(0.0, tokens[slot] - 1)
        return is_available

    def wait_us(self, key: bytes | str, now_us: int) -> int:
        """Return the microseconds until this key has a token, if no other key takes tokens from its slots."""
        first, second = self._slots(key)
        level = max(self._level(0, first, now_us), self._level(1, second, now_us))
        return max(0, round((1 - level) / self.rate))
