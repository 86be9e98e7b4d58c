"""A fixed seed of the random play of hostile load."""

from __future__ import annotations

import asyncio

from lab.hostile_rounds import play_all


def test_a_seed_of_the_play_of_hostile_load_breaks_no_rule() -> None:
    worlds = asyncio.run(play_all(range(2, 3)))
    assert [rule for world in worlds for rule in world.broken] == []
    assert sum(worlds[0].made.values()) > 1_000 and worlds[0].counts["UP"] > 100, "the play tried too little"
