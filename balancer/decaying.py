"""A sum that decays exponentially with time."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class Decaying:
    """A sum of amounts, each of which has decayed to 1/e after `memory_us`."""

    memory_us: int
    value: float = 0.0
    at_us: int = 0

    def add(self, now_us: int, amount: float) -> float:
        """Decay to `now_us`, add the amount, and return the sum."""
        self.value = self.value * math.exp((self.at_us - now_us) / self.memory_us) + amount
        self.at_us = now_us
        return self.value
