"""Soak test of slow start under faults: seeded runs of a fleet of relay processes, each about ten seconds long.

`python -m lab.soak FIRST COUNT` runs COUNT seeds from FIRST on and prints a line for each; the exit status is 1 if a
run broke a rule. The seed determines the fleet, the settings, bursts of clients, delayed and reset connections,
signals to relays, and restarts of backends.
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

from .crowd import DEADLINE_MS, DelayedSignal, Fleet, Scene
from .fault_proxy import Faults
from .slow_start_oracle import SlowStartRules
from .waiting import within

RUN_S = 8.0  # measured from when the first clients are served
SIGNALS = (signal.SIGTERM, signal.SIGKILL, signal.SIGHUP)
HANG_TIMEOUT_S = 90.0  # for one run
PARALLEL = 2  # more concurrent runs would miss deadlines on a machine with other load
# From this seed on, relays get SIGKILL at the earliest time that the platform allows, and signals in series.
FIRST_HARSH_SEED = 1_001
FIRST_PAUSED_SEED = 2_001  # from this seed on, relays that are shutting down are paused at random times
SIGNALS_PROBABILITY = 0.7  # of signals to relays in a run
RELOAD_FIRST_PROBABILITY = 0.4  # of a reload signal to a relay shortly before the signal that ends it
CROWD_PROBABILITY = 0.6  # of a burst of additional clients in a run
STOP_LINES = re.compile(r"gradefront\.stop|a listener ends")  # relays' log lines to print if a rule is broken


@dataclass(frozen=True)
class Verdict:
    """The result of one run. `broken` describes the rules that it broke; `answers` counts answers by first word."""

    seed: int
    scene: Scene
    broken: tuple[str, ...]
    answers: dict[str, int]
    max_used_share: float  # highest ratio of received to allowed requests of a backend in slow start
    stop_log: tuple[str, ...] = ()  # log lines on the shutdown of relays, if a rule was broken

    def __str__(self) -> str:
        result = "; ".join(self.broken) or "all rules kept"
        return (
            f"seed {self.seed}: {self.scene.relays} relays, multiple {self.scene.rules.multiple:.1f},"
            f" warm after {self.scene.rules.warm_s:.0f} s: {result}; answers {self.answers},"
            f" highest share of allowed requests {self.max_used_share:.2f}"
        )


class BrokenRulesError(AssertionError):
    """Raised when runs broke rules. `broken_rules` has one text, with the seed, for each broken rule."""

    def __init__(self, broken_rules: Sequence[str]) -> None:
        super().__init__("\n".join(broken_rules))
        self.broken_rules = tuple(broken_rules)


def require_kept(verdicts: Sequence[Verdict]) -> None:
    """Check that all runs kept all rules. Raises BrokenRulesError otherwise."""
    broken = [f"seed {verdict.seed}: {rule}" for verdict in verdicts for rule in verdict.broken]
    if broken:
        raise BrokenRulesError(broken)


def scene_of(seed: int) -> Scene:
    """Return the scene of a seed. The order of the random draws must not change: it determines the scene."""
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
    return scene if seed < FIRST_HARSH_SEED else _harsh_scene(scene, random)


def _harsh_scene(scene: Scene, random: Random) -> Scene:
    """Return the scene with the earliest SIGKILL, short deadlines, idle connections, and signals in series."""
    return replace(
        scene,
        lag_s=random.choice((0.0, 0.5, 1.2, 2.0)),
        deadline_ms=random.choice((1_200, 2_500, DEADLINE_MS)),
        kill_slack_s=0.0,
        idle_share=random.choice((0.0, 0.2, 0.5)),
        signal_series=True,
        pauses=scene.seed >= FIRST_PAUSED_SEED,
    )


async def _send_signals(fleet: Fleet, random: Random) -> None:
    """Signal one random relay after another. After a signal that ends a relay, wait for its restart."""
    while not fleet.is_ending:
        await asyncio.sleep(random.uniform(0.1, 0.8))
        name, signal_number = random.choice(sorted(fleet.relays)), random.choice(SIGNALS)
        if signal_number is signal.SIGHUP:
            fleet.relays[name].process.send_signal(signal_number)
        else:
            await fleet.restart_relay(name, signal_number)


async def _send_signals_in_series(fleet: Fleet, random: Random) -> None:
    """Repeatedly end several relays at the same time. Each receives further signals while it shuts down."""
    while not fleet.is_ending:
        await asyncio.sleep(random.uniform(0.1, 0.8))
        names = random.sample(sorted(fleet.relays), random.randint(1, max(1, len(fleet.relays) // 2)))
        await asyncio.gather(*(_end_with_signals(fleet, name, random) for name in names))


async def _end_with_signals(fleet: Fleet, name: str, random: Random) -> None:
    await asyncio.sleep(random.uniform(0, 0.3))
    if random.random() < RELOAD_FIRST_PROBABILITY:
        fleet.relays[name].process.send_signal(signal.SIGHUP)
        await asyncio.sleep(random.uniform(0, 0.1))
    signal_number = random.choice((signal.SIGTERM, signal.SIGTERM, signal.SIGKILL))
    delayed_signals = [
        DelayedSignal(random.choice((signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1)), random.uniform(0, 3.0))
        for _ in range(random.randint(0, 3))
    ]
    await fleet.restart_relay(name, signal_number, delayed_signals)


async def _restart_backends(fleet: Fleet, random: Random) -> None:
    """Repeatedly kill several warm backends at the same time, and restart them under their names."""
    scene = fleet.scene
    while not fleet.is_ending:
        await asyncio.sleep(random.uniform(0.5, 2.0))
        names = random.sample([f"warm-{n}" for n in range(scene.warm)], random.randint(1, scene.warm // 2))
        for name in names:
            fleet.kill_backend(name)
        await asyncio.sleep(random.uniform(0.2, 1.5))
        for name in names:
            await fleet.add_backend(name, time.time())


async def play(seed: int, folder: Path, seconds: float = RUN_S) -> Verdict:
    """Run the scene of one seed for `seconds`, with its files in `folder`. Return the verdict."""
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
            fleet.is_ending = True
            for fault in faults:
                fault.cancel()
            results = await asyncio.gather(*faults, return_exceptions=True)
        errors = [repr(result) for result in results if isinstance(result, Exception)]
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


async def soak(first_seed: int, seed_count: int, parallel: int = PARALLEL) -> list[Verdict]:
    """Run `seed_count` seeds from `first_seed` on, `parallel` at a time. Print and return the verdicts."""
    slots = asyncio.Semaphore(parallel)

    async def run_seed(seed: int) -> Verdict:
        async with slots:
            with tempfile.TemporaryDirectory() as folder:
                verdict = await within(HANG_TIMEOUT_S, play(seed, Path(folder)))
        print(verdict, *verdict.stop_log, sep="\n    ", flush=True)
        return verdict

    return list(await asyncio.gather(*(run_seed(seed) for seed in range(first_seed, first_seed + seed_count))))


def main() -> int:
    """Run the command line. Return the exit status."""
    first_seed, seed_count = (int(argument) for argument in sys.argv[1:3])
    verdicts = asyncio.run(soak(first_seed, seed_count))
    broken = [verdict.seed for verdict in verdicts if verdict.broken]
    print(f"{seed_count - len(broken)} of {seed_count} seeds kept all rules; seeds that broke a rule: {broken}")
    return int(bool(broken))


if __name__ == "__main__":
    sys.exit(main())
