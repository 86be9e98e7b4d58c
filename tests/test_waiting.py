"""Cancellation of the lab's loops that wait for processes."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest

from lab import soak
from lab.stand_ins import soon


def test_cancellation_that_arrives_with_the_result_is_not_lost() -> None:
    """Guards against a wait that swallows a cancellation, as asyncio.wait_for of Python 3.11 does."""

    async def scenario() -> None:
        result = asyncio.get_running_loop().create_future()
        waiting = asyncio.ensure_future(soon(result))
        await asyncio.sleep(0.01)
        result.set_result(None)
        waiting.cancel()
        await asyncio.wait([waiting])
        assert waiting.cancelled()

    asyncio.run(scenario())


class DeafFleet:
    """Stands in for a fleet whose steps swallow the cancellation that arrives while they last."""

    MAX_STEPS = 4  # so that a loop that does not end by itself fails the test and does not hang it

    def __init__(self) -> None:
        self.is_ending = False
        self.steps = 0
        self.relays = {"n0": SimpleNamespace(process=SimpleNamespace(send_signal=lambda _: None))}
        self.scene = SimpleNamespace(warm=4)

    async def restart_relay(self, *_: object) -> None:
        self.steps += 1
        assert self.steps < self.MAX_STEPS, "the loop goes on after its end"
        with suppress(asyncio.CancelledError):
            await asyncio.sleep(60 if self.steps == 1 else 0)

    add_backend = restart_relay

    def kill_backend(self, name: str) -> None:
        pass


@pytest.mark.parametrize("loop", [soak._send_signals, soak._send_signals_in_series, soak._restart_backends])
def test_fault_loop_ends_although_a_step_swallowed_its_cancellation(loop: Any) -> None:
    """Guards against a run that hangs until its timeout, because a fault loop never ends."""

    async def scenario() -> None:
        fleet = DeafFleet()
        fault = asyncio.ensure_future(loop(fleet, Random(1)))
        while not fleet.steps:
            await asyncio.sleep(0.01)
        fleet.is_ending = True
        fault.cancel()
        with suppress(asyncio.CancelledError):
            await fault

    asyncio.run(scenario())
