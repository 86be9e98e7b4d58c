"""Replacements that are given up, and those whose surroundings fail."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path

from lab.stand_ins import LineDevice, StandInBackend

from .test_upgrade import Upgrade


def test_a_process_whose_replacement_was_given_up_stops_as_if_none_was_tried(tmp_path: Path) -> None:
    """Guards against a stop that accepts no clients, because a dead process holds the name of the handover socket."""

    async def scenario() -> None:
        async with Upgrade(tmp_path) as upgrade:
            old = await upgrade.start("old")
            standing = await upgrade.establish(old)
            given_up = await upgrade.start("new")
            given_up.process.kill()
            await given_up.process.wait()
            old.process.send_signal(signal.SIGTERM)
            await old.line("leaving: 1 connections to migrate")
            device = await LineDevice.connect(old.ports[0])
            device.open(d=4000)
            assert [await device.line(), await device.line(), await standing.line()] == ["UP r-1", "MOVE", "MOVE"]
            assert await old.stop() == 0
            await upgrade.establish(await upgrade.start("next"))

    asyncio.run(scenario())


def test_a_process_whose_successor_dies_during_the_handover_accepts_clients_again(tmp_path: Path) -> None:
    """Guards against clients that no process accepts until the next one starts."""

    async def scenario() -> None:
        async with Upgrade(tmp_path) as upgrade:
            old = await upgrade.start("old")
            standing = [await upgrade.establish(old) for _ in range(12)]
            successor = await upgrade.start("new")
            successor.process.send_signal(signal.SIGSTOP)
            old.process.send_signal(signal.SIGTERM)
            await old.line("handing established connections over")
            successor.process.kill()
            await old.line("the successor process has ended")
            device = await LineDevice.connect(old.ports[0])
            device.open(d=4000)
            assert await device.line() == "UP r-1"
            assert [await each.line() for each in (device, *standing)] == ["MOVE"] * 13
            assert await old.stop() == 0

    asyncio.run(scenario())


def test_a_process_that_starts_without_discovery_knows_the_drains_that_the_replaced_one_was_told_of(
    tmp_path: Path,
) -> None:
    """Guards against new connections to a backend that discovery has declared draining, or that has left."""

    async def scenario() -> None:
        async with Upgrade(tmp_path) as upgrade:
            leaving = StandInBackend(lambda line: "UP leaving")
            upgrade.discovery.add("box-1", await leaving.open())
            known = json.loads(json.dumps(upgrade.discovery.list()))
            old = await upgrade.start("old", known=known)
            upgrade.discovery.publish("box-1", "DRAINING")
            await old.line("backend box-1 is draining")
            upgrade.discovery.held = True
            new = await upgrade.start("new", known=known)
            assert any("endpoint list of the process that is replaced: revision 2" in line for line in new.log)
            assert await old.stop() == 0
            before = len(leaving.first_lines)
            devices = [await upgrade.establish(new) for _ in range(12)]
            assert len(leaving.first_lines) == before and len(devices) == 12
            leaving.server.close()

    asyncio.run(scenario())
