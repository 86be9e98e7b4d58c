"""A fixed seed of the random play of process replacements."""

from __future__ import annotations

import asyncio
from pathlib import Path

from lab.replacement import play_all
from lab.replacement_world import World
from lab.stand_ins import CHECKOUT


def test_a_seed_of_the_play_of_replacements_breaks_no_rule() -> None:
    worlds = asyncio.run(play_all(range(6, 7)))
    assert [rule for world in worlds for rule in world.broken] == []
    assert worlds[0].counts["complete"] > 0 and worlds[0].counts["UP"] > 100, "the play tried too little"


def test_the_play_signals_no_process_that_has_no_handlers_yet(tmp_path: Path) -> None:
    """Guards against a process that the play itself ends with SIGHUP, and then takes for one that has crashed."""

    async def start_and_reload() -> None:
        async with World(6, tmp_path, (CHECKOUT,)) as world:
            world.current = await world._start()
            await world.reload_with_other_effect()
            assert await world._await_ready(world.current) and world.current.process.returncode is None
            await world.reload_with_other_effect()
            await world.stop()
            assert not world.broken and world.is_unsafe

    asyncio.run(start_and_reload())
