"""Slow start under faults: seeded runs of a fleet of relay processes, each some ten seconds long.

`python -m lab.soak FIRST COUNT` plays so many seeds and prints a line for each; its status is 1 if any of them broke
a rule. What is drawn: the fleet, the settings, a crowd, late and reset connections, signals in series, backends that
end and start again under their names.
"""

from __future__ import annotations

import asyncio
import re
import signal
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from random import Random

from .crowd import DEADLINE_MS, Fleet, LaterSignal, Scene
from .fault_proxy import Faults
from .slow_start_oracle import SlowStartRules

RUN_S = 8.0  # from the moment when the first clients are served
SIGNALS = (signal.SIGTERM, signal.SIGKILL, signal.SIGHUP)
HANG_TIMEOUT_S = 90.0  # of a run
PARALLEL = 2  # more runs at a time would be late on a machine with other work
FIRST_HARSH_SEED = (
    1_001  # from here on clients use their connections until the earliest kill, and signals come in series
)
FIRST_HELD_UP_SEED = 2_001  # from here on relays that end get no core now and then
SIGNALS_PROBABILITY = 0.7
RELOAD_FIRST_PROBABILITY = 0.4  # that a relay is told to reload right before its end
CROWD_PROBABILITY = 0.6
STOP_LINES = re.compile(r"gradefront\.stop|a listener ends")  # in relays' logs, printed where a rule is broken


@dataclass(frozen=True)
class Verdict:
    """The result of one run: the rules that it broke, answers by first word."""

    seed: int
    scene: Scene
    broken: tuple[str, ...]
    answers: dict[str, int]
    max_used_share: float  # of what a backend in slow start is allowed, the most that one was sent
    stop_log: tuple[str, ...] = ()  # how relays ended, where a rule was broken

    def __str__(self) -> str:
        kept = "; ".join(self.broken) or "kept"
        return (
            f"seed {self.seed}: {self.scene.relays} relays, multiple {self.scene.rules.multiple:.1f},"
            f" warm after {self.scene.rules.warm_s:.0f} s: {kept}; {self.answers}, used {self.max_used_share:.2f}"
        )


class BrokenRulesError(AssertionError):
    """Rules that runs broke, one text each, with the seed."""

    def __init__(self, broken_rules: Sequence[str]) -> None:
        super().__init__("\n".join(broken_rules))
        self.broken_rules = tuple(broken_rules)


def require_kept(verdicts: Sequence[Verdict]) -> None:
    """Raises BrokenRulesError unless all runs kept all rules."""
    broken = [f"seed {verdict.seed}: {rule}" for verdict in verdicts for rule in verdict.broken]
    if broken:
        raise BrokenRulesError(broken)


def scene_of(seed: int) -> Scene:
    """The scene of a seed. The order of the draws is part of it."""
    random = Random(seed)
    warm_s = random.uniform(15, 60)
    scene = Scene(
        relays=random.choice((2, 3, 4, 6, 8)),
        warm=random.randint(4, 7),
        warming=random.randint(1, 3),
        warming_age_s=random.uniform(0, 0.5) * warm_s,
        full_connections=random.uniform(30, 80),
        work=random.choice((5_600.0, 80_000.0)),
        short_share=random.choice((0.0, 0.0, 0.5, 1.0)),
        rules=SlowStartRules(random.uniform(0.05, 0.35), warm_s, random.uniform(1.5, 3.5), random.choice((0.5, 1.0))),
        seed=seed,
        lag_s=random.choice((0.0, 0.5, 1.2)),
        spread=random.choice((0.0, 0.3)),
        faults=Faults(
            delayed=random.uniform(0, 0.3),
            reset_after_request=random.uniform(0, 0.1),
            fragmented=random.uniform(0, 0.3),
        ),
    )
    return scene if seed < FIRST_HARSH_SEED else _harsh(scene, random)


def _harsh(scene: Scene, random: Random) -> Scene:
    """The scene with the platform's earliest kill, short deadlines, resting connections and signals in series."""
    return replace(
        scene,
        lag_s=random.choice((0.0, 0.5, 1.2, 2.0)),
        deadline_ms=random.choice((1_200, 2_500, DEADLINE_MS)),
        kill_slack_s=0.0,
        resting_share=random.choice((0.0, 0.2, 0.5)),
        signal_series=True,
        hold_ups=scene.seed >= FIRST_HELD_UP_SEED,
    )


async def _send_signals(fleet: Fleet, random: Random) -> None:
    """Sends signals to one relay after another, each to its end."""
    while True:
        await asyncio.sleep(random.uniform(0.1, 0.8))
        name, number = random.choice(sorted(fleet.relays)), random.choice(SIGNALS)
        if number is signal.SIGHUP:
            fleet.relays[name].process.send_signal(number)
        else:
            await fleet.restart_relay(name, number)


async def _send_signals_in_series(fleet: Fleet, random: Random) -> None:
    """Ends some relays at once, again and again. Each gets further signals while it ends."""
    while True:
        await asyncio.sleep(random.uniform(0.1, 0.8))
        names = random.sample(sorted(fleet.relays), random.randint(1, max(1, len(fleet.relays) // 2)))
        await asyncio.gather(*(_end_by_series(fleet, name, random) for name in names))


async def _end_by_series(fleet: Fleet, name: str, random: Random) -> None:
    await asyncio.sleep(random.uniform(0, 0.3))
    if random.random() < RELOAD_FIRST_PROBABILITY:
        fleet.relays[name].process.send_signal(signal.SIGHUP)
        await asyncio.sleep(random.uniform(0, 0.1))
    number = random.choice((signal.SIGTERM, signal.SIGTERM, signal.SIGKILL))
    more = [
        LaterSignal(random.choice((signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1)), random.uniform(0, 3.0))
        for _ in range(random.randint(0, 3))
    ]
    await fleet.restart_relay(name, number, more)


async def _restart_backends(fleet: Fleet, random: Random) -> None:
    """Ends some backends at once, and starts them again under their names."""
    scene = fleet.scene
    while True:
        await asyncio.sleep(random.uniform(0.5, 2.0))
        names = random.sample([f"warm-{n}" for n in range(scene.warm)], random.randint(1, scene.warm // 2))
        for name in names:
            fleet.kill_backend(name)
        await asyncio.sleep(random.uniform(0.2, 1.5))
        for name in names:
            await fleet.add_backend(name, time.time())


async def play(seed: int, folder: Path, seconds: float = RUN_S) -> Verdict:
    """Runs the scene of one seed for some seconds, with its files in `folder`."""
    scene, random = scene_of(seed), Random(~seed)
    async with Fleet(scene, folder) as fleet:
        fleet.start_clients(int(scene.warm * scene.full_connections / 4), within_s=1.5)
        await fleet.wait_until_served(10)
        faults = [asyncio.ensure_future(_restart_backends(fleet, random))]
        if random.random() < SIGNALS_PROBABILITY:
            send = _send_signals_in_series if scene.signal_series else _send_signals
            faults.append(asyncio.ensure_future(send(fleet, random)))
        if random.random() < CROWD_PROBABILITY:
            fleet.start_clients(random.randint(60, 160), within_s=0.8)
        try:
            await asyncio.sleep(seconds)
        finally:
            for fault in faults:
                fault.cancel()
            ends = await asyncio.gather(*faults, return_exceptions=True)
        errors = [repr(end) for end in ends if isinstance(end, Exception)]
        errors += [line for _, relay in fleet.programs for line in relay.log if "Traceback" in line]
        broken = (*map(str, fleet.falls), *fleet.violations, *errors)
        max_used_share = max(warm_up.max_used_share for warm_up in fleet.warm_ups)
        stop_log = [
            f"{name} at port {relay.ports[0]}: {line}"
            for name, relay in fleet.programs
            for line in relay.log
            if STOP_LINES.search(line)
        ]
        return Verdict(seed, scene, broken, dict(fleet.answers), max_used_share, tuple(stop_log if broken else ()))


async def soak(first: int, many: int, parallel: int = PARALLEL) -> list[Verdict]:
    """Runs `many` seeds from `first` on, `parallel` at a time. Prints and returns the verdicts."""
    slots = asyncio.Semaphore(parallel)

    async def one(seed: int) -> Verdict:
        async with slots:
            with tempfile.TemporaryDirectory() as folder:
                verdict = await asyncio.wait_for(play(seed, Path(folder)), HANG_TIMEOUT_S)
        print(verdict, *verdict.stop_log, sep="\n    ", flush=True)
        return verdict

    return list(await asyncio.gather(*(one(seed) for seed in range(first, first + many))))


def main() -> int:
    """The command line. Returns the exit status."""
    first, many = (int(argument) for argument in sys.argv[1:3])
    verdicts = asyncio.run(soak(first, many))
    broken = [verdict.seed for verdict in verdicts if verdict.broken]
    print(f"{many - len(broken)} of {many} seeds kept all rules; broken: {broken}")
    return int(bool(broken))


if __name__ == "__main__":
    sys.exit(main())
