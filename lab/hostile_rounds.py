"""Seeded rounds of hostile load: usual clients beside drawn kinds of hostile peers, while the list, the settings and
the process are replaced."""

from __future__ import annotations

import asyncio
import os
import tempfile
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

from .hostile_world import HostileWorld
from .replacement_clients import Clients
from .stand_ins import CHECKOUT
from .waiting import within

ROUND_S = 20.0
HANG_TIMEOUT_S = 150.0  # for one round
SAMPLE_S = 0.2
HOSTILE_LANES = 2  # kinds of hostile peers at the same time
CROWDED_LANES = 3  # in a third of the rounds
PARALLEL = max(1, (os.cpu_count() or 2) // 4)  # rounds at the same time


async def _repeat(world: HostileWorld, until_s: float, pause_s: float, act: Callable[[], Awaitable[None]]) -> None:
    """Act again and again until the round ends, with pauses of `pause_s` on average."""
    while world.now() < until_s and not world.is_ending:
        await asyncio.sleep(world.random.uniform(0, 2 * pause_s))
        await act()


async def _sample(world: HostileWorld) -> None:
    """Take note of memory and CPU time until the round ends."""
    began_s = world.sample()
    while not world.is_ending:
        await asyncio.sleep(SAMPLE_S)
        world.relay_cpu_s = max(world.relay_cpu_s, world.sample() - began_s)


async def play(seed: int, folder: Path, trees: Sequence[Path]) -> HostileWorld:
    """Play the round of one seed, with its files in `folder`. The returned world has the broken rules."""
    async with HostileWorld(seed, folder, trees) as world:
        clients = Clients(world)
        await clients.open_standing()
        until_s = world.now() + ROUND_S
        lanes = world.random.choice((HOSTILE_LANES, HOSTILE_LANES, CROWDED_LANES))
        acts = [(0.2, lambda: world.play_kind(world.drawn_kind()))] * lanes
        acts += [(2.0, world.change_list), (2.0, world.reload_with_other_effect), (4.0, clients.reset_many)]
        if not world.has_quic:
            acts.append((3.0, world.replace))
        sampling = asyncio.ensure_future(_sample(world))
        try:
            await asyncio.gather(*(_repeat(world, until_s, pause_s, act) for pause_s, act in acts))
            await world.end_troubles()
            await clients.check_all()
        finally:
            world.is_ending = True
            await clients.end()
            await sampling
        world.check_load()
        await world.check_rest()
        await world.stop()
    world.check_logs()
    return world


def report(world: HostileWorld) -> str:
    """Return the line on a round; if it broke a rule, write its trace to a file."""
    per_octet_us = world.relay_cpu_s * 1e6 / max(1, world.octets)
    figures = (
        f"slowest line {world.slowest_line_s * 1e3:.0f} ms, {world.peak_mb:.0f} MB,"
        f" {per_octet_us:.2f} us of CPU per hostile octet, {world.octets / 1e6:.1f} MB of them;"
        f" {dict(world.counts)}, {dict(world.made)}"
    )
    if not world.broken:
        return f"seed {world.seed}: kept; {figures}"
    trace = Path(tempfile.gettempdir()) / f"hostile-{world.seed}.log"
    trace.write_text("\n".join(world.trace()))
    return f"seed {world.seed}: {world.broken[0]} ({len(world.broken)} in all); trace {trace}; {figures}"


async def play_all(seeds: range, trees: Sequence[Path] = (CHECKOUT,)) -> list[HostileWorld]:
    """Play all seeds, PARALLEL at a time. Print and return the results."""
    slots = asyncio.Semaphore(PARALLEL)

    async def play_one(seed: int) -> HostileWorld:
        async with slots:
            with tempfile.TemporaryDirectory() as folder:
                world = await within(HANG_TIMEOUT_S, play(seed, Path(folder), trees))
        print(report(world), flush=True)
        return world

    return list(await asyncio.gather(*(play_one(seed) for seed in seeds)))
