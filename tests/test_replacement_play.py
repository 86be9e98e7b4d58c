"""A fixed seed of the random play of process replacements."""

from __future__ import annotations

import asyncio

from lab.replacement import play_all


def test_a_seed_of_the_play_of_replacements_breaks_no_rule() -> None:
    worlds = asyncio.run(play_all(range(6, 7)))
    assert [rule for world in worlds for rule in world.broken] == []
    assert worlds[0].counts["complete"] > 0 and worlds[0].counts["UP"] > 100, "the play tried too little"
