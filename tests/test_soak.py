"""A short soak: relay processes behind proxies that fail, with signals, crowds and backends that come back cold."""

from __future__ import annotations

import asyncio

import pytest

from lab import soak

SEEDS = 4  # of each run; some ten seconds each, two at a time


@pytest.mark.parametrize(
    "first", [1, 1 + SEEDS, soak.FIRST_HARSH_SEED, soak.FIRST_HARSH_SEED + SEEDS, soak.FIRST_HELD_UP_SEED]
)
def test_the_soak_breaks_no_rule(first: int) -> None:
    verdicts = asyncio.run(soak.soak(first, SEEDS))
    soak.require_kept(verdicts)
    assert sum(verdict.answers.get("UP", 0) for verdict in verdicts) > 200, "clients are served meanwhile"
    assert max(verdict.max_used_share for verdict in verdicts) > 0.4, "backends in slow start are of use meanwhile"


@pytest.mark.parametrize("seed", [1039, 1055])
def test_a_seed_that_broke_a_rule_keeps_it(seed: int) -> None:
    """Guards against a client reset in the listener's queue (1039), and a process there still at SIGKILL (1055)."""
    soak.require_kept(asyncio.run(soak.soak(seed, 1)))


def test_each_broken_rule_is_named_with_its_seed() -> None:
    """Guards against a check that lets a broken rule through."""
    kept = soak.Verdict(1, soak.scene_of(1), (), {}, 0.5)
    broken = soak.Verdict(2, soak.scene_of(2), ("one rule", "another"), {}, 0.5)
    soak.require_kept([kept])
    with pytest.raises(soak.BrokenRulesError) as failure:
        soak.require_kept([kept, broken])
    assert failure.value.broken_rules == ("seed 2: one rule", "seed 2: another")
