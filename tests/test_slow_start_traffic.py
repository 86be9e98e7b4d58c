"""Slow start with rising traffic, lagging load reports, relay restarts and backends of unequal capacity."""

from __future__ import annotations

import pytest

from .slow_start_traffic import run_scene

SEEDS_PER_TEST = 12


@pytest.mark.parametrize("first_seed", [76, 97, 267, 485])
def test_no_backend_in_slow_start_is_overloaded_as_traffic_rises(first_seed: int) -> None:
    """Guards against send slots from an estimate that divides present connections by loads reported earlier."""
    overloads = {
        seed: [str(fall) for fall in run_scene(seed).overloads]
        for seed in range(first_seed, first_seed + SEEDS_PER_TEST)
    }
    assert not {seed: found for seed, found in overloads.items() if found}
