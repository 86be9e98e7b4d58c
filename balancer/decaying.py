"""A sum that decays exponentially with time."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class DecayingSum:
    """A sum of amounts, each of which decays to 1/e within `memory_us`."""

    memory_us: int
    value: float = 0.0
    updated_us: int = 0

    def add(self, now_us: int, amount: float) -> float:
        """Decay to `now_us`, add the amount, and return the sum."""
        self.value = self.value * math.exp((self.updated_us - now_us) / self.memory_us) + amount
        self.updated_us = now_us
        return self.value
