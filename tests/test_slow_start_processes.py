"""Relay processes before backends in slow start: what comes back as a crowd must not push them over.

The verdict is the backends': they warm up and fall by the platform's arithmetic (`lab/slow_start_oracle.py`).
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from lab.crowd import Fleet, Scene
from lab.slow_start_oracle import SlowStartRules

LIGHT, USUAL = 5_600.0, 80_000.0  # work of a connection, microseconds a second


@pytest.mark.parametrize(
    "scene",
    [
        Scene(relays=6, work=LIGHT),
        Scene(relays=4, work=USUAL, short_share=1.0, warming_age_s=28.0, rules=SlowStartRules(warm_s=80.0)),
    ],
    ids=["light", "short"],
)
def test_a_crowd_that_comes_back_leaves_no_backend_in_slow_start_overloaded(scene: Scene, tmp_path: Path) -> None:
    """Guards against issue 32: half of the warm backends end at once, and their clients come back within a second to
    relays that know little."""

    async def play() -> None:
        async with Fleet(scene, tmp_path) as fleet:
            fleet.start_clients(60, within_s=1.0)
            await fleet.wait_until_served(20)
            for number in range(scene.warm // 2):
                fleet.kill_backend(f"warm-{number}")
            fleet.start_clients(90, within_s=0.8)
            await asyncio.sleep(2 * scene.rules.window_s)  # what comes in two windows is what is judged
            assert not fleet.falls, "; ".join(str(fall) for fall in fleet.falls)
            assert fleet.answers["UP"] > 40, fleet.answers

    asyncio.run(play())
