"""Random play of process replacements: seeded rounds in which one relay's process is replaced again and again.

`python -m lab.replacement FIRST COUNT` plays COUNT seeds from FIRST on and prints a line for each; the exit status
is 1 if one broke a rule. Processes, sockets and the clock are real, on loopback. `--long-silence`: clients are silent
for over a minute before a replacement. `--tree`: the checkout whose program runs. `--former`: a checkout of another
release, whose program every second process runs.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

from .replacement_clients import Clients
from .replacement_world import World
from .stand_ins import CHECKOUT
from .waiting import within

ROUND_S = 16.0  # then the last replacement is awaited, and the clients are checked
LONG_SILENCE_S = 65.0  # more than a minute, the time after which a former release rejected a connection
SILENT_CLIENTS = 6
HANG_TIMEOUT_S = 150.0  # for one round
PARALLEL = max(1, (os.cpu_count() or 2) // 4)  # rounds at the same time: half of the cores, with two processes each


async def _trouble(world: World, clients: Clients, until_s: float) -> None:
    """Draw and cause one trouble after another until `until_s`."""
    troubles = (
        world.restart_backend,
        world.drain_backend,
        world.hang_backend,
        world.lose_discovery,
        world.reload_with_other_effect,
        clients.reset_many,
    )
    while world.now() < until_s and not world.is_ending:
        await asyncio.sleep(world.random.uniform(0.1, 0.8))
        await world.random.choice(troubles)()


async def _replace_repeatedly(world: World, until_s: float) -> None:
    while world.now() < until_s and not world.is_ending:
        await asyncio.sleep(world.random.uniform(0.2, 1.0))
        await world.replace()


async def play(seed: int, folder: Path, has_long_silence: bool, trees: Sequence[Path]) -> World:
    """Play the round of one seed, with its files in `folder`. The returned world has the broken rules."""
    async with World(seed, folder, trees) as world:
        clients = Clients(world)
        world.handover_troubles += [clients.reset_many, clients.reset_many]
        await clients.open_standing()
        if has_long_silence:
            clients.be_silent(LONG_SILENCE_S + ROUND_S)
            await asyncio.sleep(LONG_SILENCE_S)
        else:
            clients.be_silent(ROUND_S, SILENT_CLIENTS)
        until_s = world.now() + ROUND_S
        try:
            await asyncio.gather(_replace_repeatedly(world, until_s), _trouble(world, clients, until_s))
            await world.end_troubles()
            await clients.check_all()
        finally:
            world.is_ending = True
            await clients.end()
        await world.stop()
    world.check_logs()
    return world


def _report(world: World) -> str:
    """Return the line on a round; if it broke a rule, write its trace to a file."""
    if not world.broken:
        return f"seed {world.seed}: kept; {dict(world.counts)}"
    trace = Path(tempfile.gettempdir()) / f"replacement-{world.seed}.log"
    trace.write_text("\n".join(world.trace()))
    return f"seed {world.seed}: {world.broken[0]} ({len(world.broken)} in all); trace {trace}"


async def play_all(seeds: range, has_long_silence: bool = False, trees: Sequence[Path] = (CHECKOUT,)) -> list[World]:
    """Play all seeds, PARALLEL at a time. Print and return the results."""
    slots = asyncio.Semaphore(PARALLEL)

    async def play_one(seed: int) -> World:
        async with slots:
            with tempfile.TemporaryDirectory() as folder:
                world = await within(HANG_TIMEOUT_S, play(seed, Path(folder), has_long_silence, trees))
        print(_report(world), flush=True)
        return world

    return list(await asyncio.gather(*(play_one(seed) for seed in seeds)))


def main() -> int:
    """Run the command line. Return the exit status."""
    parser = argparse.ArgumentParser(prog="python -m lab.replacement", description=__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("count", type=int)
    parser.add_argument("--long-silence", action="store_true")
    parser.add_argument("--tree", type=Path, default=CHECKOUT)
    parser.add_argument("--former", type=Path)
    given = parser.parse_args()
    trees = [tree.resolve() for tree in (given.tree, given.former) if tree]
    worlds = asyncio.run(play_all(range(given.first, given.first + given.count), given.long_silence, trees))
    kept = sum(not world.broken for world in worlds)
    print(f"{kept} of {given.count} kept")
    return int(kept < given.count)


if __name__ == "__main__":
    sys.exit(main())
