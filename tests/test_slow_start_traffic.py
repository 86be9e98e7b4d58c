"""Backends in slow start under traffic that rises, reports that lag, relays that are away, unequal backends."""

from __future__ import annotations

import pytest

from .slow_start_traffic import played

GROUP = 12


@pytest.mark.parametrize("first", [76, 97, 267, 485])
def test_no_backend_in_slow_start_falls_as_traffic_rises(first: int) -> None:
    """Guards against send slots by an estimate that sets connections of now beside loads of before."""
    falls = {seed: [str(fall) for fall in played(seed).falls] for seed in range(first, first + GROUP)}
    assert not {seed: found for seed, found in falls.items() if found}
