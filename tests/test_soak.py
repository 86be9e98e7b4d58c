"""Short soak tests: relay processes in front of faulty proxies, with signals to relays, bursts of clients, and
backends that restart in slow start."""

from __future__ import annotations

import asyncio

import pytest

from lab import soak

SEEDS = 4  # seeds of each test; each takes about ten seconds, and two run at a time


@pytest.mark.parametrize(
    "first_seed", [1, 1 + SEEDS, soak.FIRST_HARSH_SEED, soak.FIRST_HARSH_SEED + SEEDS, soak.FIRST_PAUSED_SEED]
)
def test_soak_runs_break_no_rule(first_seed: int) -> None:
    verdicts = asyncio.run(soak.soak(first_seed, SEEDS))
    soak.require_kept(verdicts)
    assert sum(verdict.answers.get("UP", 0) for verdict in verdicts) > 200, (
        "too few clients were served during the runs"
    )
    assert max(verdict.max_used_share for verdict in verdicts) > 0.4, (
        "backends in slow start received too few of their allowed requests"
    )


@pytest.mark.parametrize("seed", [1039, 1055])
def test_seed_that_once_broke_a_rule_breaks_none(seed: int) -> None:
    """Guards against a client that is reset in the listener's accept queue (1039), and a relay process that is still
    running at the time of SIGKILL (1055)."""
    soak.require_kept(asyncio.run(soak.soak(seed, 1)))


def test_error_names_each_broken_rule_with_its_seed() -> None:
    """Guards against a check that passes although a rule was broken."""
    kept = soak.Verdict(1, soak.scene_of(1), (), {}, 0.5)
    broken = soak.Verdict(2, soak.scene_of(2), ("one rule", "another"), {}, 0.5)
    soak.require_kept([kept])
    with pytest.raises(soak.BrokenRulesError) as failure:
        soak.require_kept([kept, broken])
    assert failure.value.broken_rules == ("seed 2: one rule", "seed 2: another")
