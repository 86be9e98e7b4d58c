"""Relay processes with backends in slow start: a burst of reconnects must not overload the backends.

The test backends judge: they warm up and become overloaded by the platform's rules (`lab/slow_start_oracle.py`).
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from lab.crowd import Fleet, Scene
from lab.slow_start_oracle import SlowStartRules

LIGHT, TYPICAL = 5_600.0, 80_000.0  # work of a connection, in microseconds per second


@pytest.mark.parametrize(
    "scene",
    [
        Scene(relays=6, work=LIGHT),
        Scene(relays=4, work=TYPICAL, short_share=1.0, warming_age_s=28.0, rules=SlowStartRules(warm_s=80.0)),
    ],
    ids=["light", "short"],
)
def test_burst_of_reconnects_does_not_overload_backends_in_slow_start(scene: Scene, tmp_path: Path) -> None:
    """Guards against issue 32: half of the warm backends exit at once, and their clients reconnect within a second to
    relays that have seen few connections and reports."""

    async def run_fleet() -> None:
        async with Fleet(scene, tmp_path) as fleet:
            fleet.start_clients(60, within_s=1.0)
            await fleet.wait_until_served(20)
            for number in range(scene.warm // 2):
                fleet.kill_backend(f"warm-{number}")
            fleet.start_clients(90, within_s=0.8)
            await asyncio.sleep(2 * scene.rules.window_s)  # the requests of two windows are judged
            assert not fleet.falls, "; ".join(str(fall) for fall in fleet.falls)
            assert fleet.answers["UP"] > 40, fleet.answers

    asyncio.run(run_fleet())
