"""Slow start under faults: seeded runs of a fleet of relay processes, each some ten seconds long.

`python -m lab.soak FIRST COUNT` plays so many seeds and prints a line for each; its status is 1 if any of them broke
a rule. What is drawn: the fleet, the settings, a crowd, late and reset connections, signals in series, backends that
end and come back under their names.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from random import Random

from .crowd import Fleet, Scene
from .fault_proxy import Faults
from .slow_start_oracle import SlowStartRules

PLAY_S = 8.0  # from the moment when the first clients are served
SIGNALS = (signal.SIGTERM, signal.SIGKILL, signal.SIGHUP)
LONG_S = 90.0  # a run that takes longer hangs
PARALLEL = 2  # runs at a time: more would make a machine late that has other work, too


@dataclass(frozen=True)
class Verdict:
    """What one run showed."""

    seed: int
    scene: Scene
    broken: tuple[str, ...]
    answers: dict[str, int]
    most_used: float  # the highest part of what a backend in slow start bears that one was sent

    def __str__(self) -> str:
        kept = "; ".join(self.broken) or "kept"
        return (
            f"seed {self.seed}: {self.scene.relays} relays, multiple {self.scene.rules.multiple:.1f},"
            f" warm after {self.scene.rules.warm_s:.0f} s: {kept}; {self.answers}, used {self.most_used:.2f}"
        )


def scene_of(seed: int) -> Scene:
    """The scene of a seed."""
    random = Random(seed)
    warm_s = random.uniform(15, 60)
    return Scene(
        relays=random.choice((2, 3, 4, 6, 8)),
        warm=random.randint(4, 7),
        cold=random.randint(1, 3),
        cold_age_s=random.uniform(0, 0.5) * warm_s,
        fills=random.uniform(30, 80),
        work=random.choice((5_600.0, 80_000.0)),
        short=random.choice((0.0, 0.0, 0.5, 1.0)),
        rules=SlowStartRules(random.uniform(0.05, 0.35), warm_s, random.uniform(1.5, 3.5), random.choice((0.5, 1.0))),
        seed=seed,
        lag_s=random.choice((0.0, 0.5, 1.2)),
        spread=random.choice((0.0, 0.3)),
        faults=Faults(
            late=random.uniform(0, 0.3), reset_under=random.uniform(0, 0.1), dribble=random.uniform(0, 0.3)
        ),
    )


async def _signals(fleet: Fleet, random: Random) -> None:
    """Signals in a series: one relay after another, each to its end."""
    while True:
        await asyncio.sleep(random.uniform(0.1, 0.8))
        name, number = random.choice(sorted(fleet.relays)), random.choice(SIGNALS)
        if number is signal.SIGHUP:
            fleet.relays[name].process.send_signal(number)
        else:
            await fleet.restart_relay(name, number)


async def _backends(fleet: Fleet, random: Random) -> None:
    """Backends end, some at once, and come back cold under their names."""
    scene = fleet.scene
    while True:
        await asyncio.sleep(random.uniform(0.5, 2.0))
        names = random.sample([f"warm-{n}" for n in range(scene.warm)], random.randint(1, scene.warm // 2))
        for name in names:
            fleet.kill_backend(name)
        await asyncio.sleep(random.uniform(0.2, 1.5))
        for name in names:
            await fleet.add_backend(name, time.time())


async def play(seed: int, folder: Path, seconds: float = PLAY_S) -> Verdict:
    """Play one seed."""
    scene, random = scene_of(seed), Random(~seed)
    async with Fleet(scene, folder) as fleet:
        fleet.come(int(scene.warm * scene.fills / 4), within_s=1.5)
        await fleet.stand(10)
        troubles = [asyncio.ensure_future(_backends(fleet, random))]
        if random.random() < 0.7:
            troubles.append(asyncio.ensure_future(_signals(fleet, random)))
        if random.random() < 0.6:
            fleet.come(random.randint(60, 160), within_s=0.8)
        try:
            await asyncio.sleep(seconds)
        finally:
            for trouble in troubles:
                trouble.cancel()
            ends = await asyncio.gather(*troubles, return_exceptions=True)
        errors = [repr(end) for end in ends if isinstance(end, Exception)]
        errors += [line for relay in fleet.relays.values() for line in relay.log if "Traceback" in line]
        broken = (*map(str, fleet.falls), *fleet.violations, *errors)
        most = max(warm_up.most_used for warm_up in fleet.warm_ups)
        return Verdict(seed, scene, broken, dict(fleet.answers), most)


async def soak(first: int, many: int, parallel: int = PARALLEL) -> list[Verdict]:
    """Play so many seeds, some at a time."""
    room = asyncio.Semaphore(parallel)

    async def one(seed: int) -> Verdict:
        async with room:
            with tempfile.TemporaryDirectory() as folder:
                verdict = await asyncio.wait_for(play(seed, Path(folder)), LONG_S)
        print(verdict, flush=True)
        return verdict

    return list(await asyncio.gather(*(one(seed) for seed in range(first, first + many))))


def main() -> int:
    """The command line."""
    first, many = (int(word) for word in sys.argv[1:3])
    verdicts = asyncio.run(soak(first, many))
    broken = [verdict.seed for verdict in verdicts if verdict.broken]
    print(f"{many - len(broken)} of {many} seeds kept all rules; broken: {broken}")
    return int(bool(broken))


if __name__ == "__main__":
    sys.exit(main())
