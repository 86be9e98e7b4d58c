"""Tests of upgrades: a process replaces another under load, both using a listener that the platform holds."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from collections import Counter
from contextlib import AsyncExitStack, suppress
from pathlib import Path
from typing import Any

import pytest

from balancer.events import Endpoint, EndpointListUpdate
from gradefront.config import ConfigError, parse
from gradefront.core.lifecycle_state import LifecycleState
from gradefront.listening import inherited_listener
from gradefront.state.form import ConnectionSnapshot, SnapshotError, decode_snapshot, encode_snapshot
from gradefront.state.handover_sockets import SOCKET_NAME, listen_as_newest
from lab.stand_ins import Discovery, LineDevice, Program, StandInBackend, program, settings, soon

from .helper import Bench
from .test_net_parts import CONFIG


@pytest.mark.parametrize("fd", ["x", "-1", "٤", "4 "])
def test_a_socket_descriptor_that_is_no_number_is_an_error_naming_the_variable(fd: str) -> None:
    with pytest.raises(ConfigError, match="LB_SOCKET_FD"):
        parse(CONFIG.document, {"LB_SOCKET_FD": fd})


def test_a_descriptor_that_is_no_ipv4_listener_is_an_error_naming_it() -> None:
    with socket.socket() as plain, socket.socket(socket.AF_INET6) as six:
        six.listen()
        for fd in (plain.fileno(), six.fileno(), 999):
            with pytest.raises(ConfigError, match=f"LB_SOCKET_FD: {fd}"):
                inherited_listener(fd)


def test_a_new_process_accepts_clients_after_a_fresh_endpoint_list_or_a_timeout() -> None:
    for fresh_list_us, ready_us in ((1_000_000, 1_000_000), (9_000_000, 3_600_000)):
        bench = Bench()
        bench.core.lifecycle.state = LifecycleState.STARTING
        opened: list[int] = []
        bench.core.lifecycle.on_ready = lambda bench=bench, opened=opened: opened.append(bench.now)
        bench.core.lifecycle.await_endpoint_list()
        began = bench.now
        bench.core.on_endpoint_list(EndpointListUpdate((Endpoint("box-1"),)))
        assert not bench.core.lifecycle.accepts_clients, (
            "the configured endpoint list may name backends that have left"
        )
        bench.wait(min(fresh_list_us, 5_000_000))
        bench.core.lifecycle.on_fresh_endpoint_list()
        assert bench.core.lifecycle.accepts_clients and len(opened) == 1 and opened[0] - began <= ready_us


def test_a_replaced_process_migrates_its_clients_evenly_from_the_start() -> None:
    bench = Bench()
    clients = [bench.establish()[1] for _ in range(30)]
    bench.core.lifecycle.leave(lambda: None, at_once=True)
    migrated = []
    for _ in range(22):
        bench.wait(100_000)
        migrated.append(sum("migrate" in c.calls for c in clients))
    assert (
        migrated[1] > 0
        and migrated[-1] == 30
        and max(b - a for a, b in zip(migrated, migrated[1:], strict=False)) <= 4
    )


def test_a_bad_descriptor_ends_the_start_with_an_error_and_status_2(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with program(tmp_path, Discovery(), settings()):
            environment = {**os.environ, "LB_CONFIG": str(tmp_path / "config.json"), "LB_SOCKET_FD": "0"}
            completed = await asyncio.to_thread(
                subprocess.run,
                [sys.executable, "-m", "gradefront"],
                env=environment,
                stdin=subprocess.DEVNULL,
                capture_output=True,
                text=True,
                timeout=30,
            )
            assert (
                completed.returncode == 2
                and "LB_SOCKET_FD: 0" in completed.stderr
                and "Traceback" not in completed.stderr
            )

    asyncio.run(scenario())


SNAPSHOT = ConnectionSnapshot(
    "9b1f03aa5c7e2d41",
    "visit-checkin",
    {"aim_us": 1},
    "k",
    "g",
    0,
    "box-0",
    5321.5,
    1_000_000,
    (1_000_000,),
    b"half a \xff",
    b"",
)


def test_a_snapshot_decodes_as_encoded_and_malformed_ones_are_rejected() -> None:
    assert decode_snapshot(encode_snapshot(SNAPSHOT), 2_000_000) == SNAPSHOT
    good = json.loads(encode_snapshot(SNAPSHOT))
    for name, value in (
        ("version", 0),
        ("box", 3),
        ("load", -1),
        ("load", "x"),
        ("asked_us", [10**15]),
        ("heard_us", None),
        ("from_box", "%"),
        ("from_carer", "A" * 8000),
        ("rules", []),
        ("x", 1),
    ):
        with pytest.raises(SnapshotError):
            decode_snapshot(json.dumps({**good, name: value}).encode(), 2_000_000)
    for cut in range(0, len(encode_snapshot(SNAPSHOT)) - 1, 7):
        with pytest.raises(SnapshotError):
            decode_snapshot(encode_snapshot(SNAPSHOT)[:cut], 2_000_000)


class Upgrade:
    """Successive processes of one relay that share a listener and a folder for the handover socket."""

    def __init__(self, folder: Path, shared: bool = True) -> None:
        self.folder = folder
        self.shared = folder if shared else None  # the folder of the handover socket
        self.backend, self.discovery = StandInBackend(lambda line: "UP r-1"), Discovery()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.stack = AsyncExitStack()

    async def __aenter__(self) -> Upgrade:
        self.discovery.add("box-0", await self.backend.open())
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stack.aclose()
        self.listener.close()
        self.backend.server.close()

    async def start(
        self, name: str, service_settings: dict[str, Any] | None = None, known: dict[str, Any] | None = None
    ) -> Program:
        (self.folder / name).mkdir()
        process = await self.stack.enter_async_context(
            program(
                self.folder / name,
                self.discovery,
                service_settings or settings(deadline_ms=4000),
                admin=True,
                listener=self.listener,
                shared=self.shared,
                known=known,
            )
        )
        await process.line("accepts clients on inherited descriptor")
        return process

    async def establish(self, process: Program) -> LineDevice:
        device = await LineDevice.connect(process.ports[0])
        device.open(d=4000)
        assert await device.line() == "UP r-1"
        return device


def test_an_upgrade_under_load_rejects_no_request(tmp_path: Path) -> None:
    async def scenario() -> None:
        outcomes: Counter[str] = Counter()

        async def device(port: int) -> None:
            """Connect twice; each time the request is accepted and the connection is later migrated."""
            for _ in range(2):
                client = await LineDevice.connect(port)
                client.open(d=4000)
                outcomes[await client.line()] += 1
                outcomes[await client.line()] += 1
                client.writer.close()

        async with Upgrade(tmp_path, shared=False) as upgrade:
            service_settings = settings(objective_ms=1000, deadline_ms=4000)
            old = await upgrade.start("old", service_settings)
            port = old.ports[0]
            devices = [asyncio.ensure_future(device(port)) for _ in range(20)]
            new = await upgrade.start("new", service_settings)
            assert await new.call("PING") == await old.call("PING") == ["ok serving"]
            old.process.send_signal(signal.SIGTERM)
            for _ in range(20):
                devices.append(asyncio.ensure_future(device(port)))
                await asyncio.sleep(0)
            old.process.send_signal(signal.SIGHUP)  # a reload and an admin command while it is leaving
            with suppress(OSError):  # the process may have exited already
                assert (await old.call("LAMEDUCK"))[:1] in ([], ["ok leaving"])
            assert await old.stop() == 0
            assert (await new.metrics())["svc_current"] >= 20
            third = await upgrade.start("third", service_settings)  # an upgrade right after another
            assert await new.stop() == 0
            third.process.send_signal(signal.SIGTERM)
            assert await third.stop() == 0
            await soon(asyncio.gather(*devices))
            assert outcomes == {"UP r-1": 80, "MOVE": 80}

    asyncio.run(scenario())


def test_a_process_without_a_handover_socket_drains_its_clients_and_keeps_accepting(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Upgrade(tmp_path) as upgrade:
            upgrade.shared = tmp_path / "a folder in which no file can be made"
            alone = await upgrade.start("alone")
            established = await upgrade.establish(alone)
            alone.process.send_signal(signal.SIGTERM)
            await alone.line("leaving")
            late = await upgrade.establish(alone)  # no other process reads the listen queue
            assert await late.line() == await established.line() == "MOVE"
            for device in (late, established):
                device.writer.close()
            assert await soon(alone.process.wait()) == 0

    asyncio.run(scenario())


def test_established_connections_are_handed_over_without_migrating_clients(tmp_path: Path) -> None:
    async def scenario() -> None:
        (tmp_path / SOCKET_NAME).write_text("a leftover file")
        async with Upgrade(tmp_path) as upgrade:
            old = await upgrade.start("old")
            devices = [await upgrade.establish(old) for _ in range(30)]
            for n, device in enumerate(devices):
                device.writer.write(b"half a li")  # partial lines that the old process has read
                upgrade.backend.writers[n].write(b"and ha")
            new = await upgrade.start("new")
            assert await old.stop() == 0
            counts = await new.counters()
            assert counts["taken_over"] == counts["visits_now"] == 30 and "stood" not in counts
            for device, writer in zip(devices, upgrade.backend.writers, strict=True):
                device.writer.write(b"ne\r\n")
                writer.write(b"lf back\r\n")
                assert {await device.line(), await device.line()} == {"re:half a line", "and half back"}
            assert (await new.metrics())["svc_current"] == 30
            devices[0].writer.close()
            await soon(upgrade.backend.ended.wait())
            upgrade.backend.writers[1].close()
            assert await devices[1].line() == ""
            third = await upgrade.start("third", settings(objective_ms=200, deadline_ms=4000))  # under other rules
            assert await new.stop() == 0
            assert [await device.line() for device in devices[2:]] == ["MOVE"] * 28
            assert (await third.counters())["visits_now"] == 0

    asyncio.run(scenario())


def test_an_upgrade_during_a_drain_hands_over_the_established_connections(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Upgrade(tmp_path) as upgrade:
            old = await upgrade.start("old")
            device = await upgrade.establish(old)
            new = await upgrade.start("new")
            assert await old.call("LAMEDUCK") == ["ok lame duck"]
            assert await old.stop() == 0
            assert await new.call("PING") == ["ok serving"]
            assert await device.ask("still") == "re:still"
            assert (await new.counters())["visits_now"] == 1

    asyncio.run(scenario())


def test_a_stopping_process_without_successor_accepts_clients_until_the_end(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Upgrade(tmp_path) as upgrade:
            alone = await upgrade.start("alone")
            alone.process.send_signal(signal.SIGTERM)
            await alone.line("leaving: 0 connections to migrate")
            device = await LineDevice.connect(alone.ports[0])
            device.open(d=4000)
            assert [await device.line(), await device.line()] == ["UP r-1", "MOVE"]
            assert await alone.stop() == 0 and not (tmp_path / SOCKET_NAME).exists()

    asyncio.run(scenario())


def impostor_of(folder: Path) -> socket.socket:
    """Listen in place of the newest process, as one that answers messages."""
    impostor, _ = listen_as_newest(folder / SOCKET_NAME)
    impostor.setblocking(True)
    return impostor


def test_a_former_process_gets_no_connection_and_all_clients_are_migrated(tmp_path: Path) -> None:
    """Guards against cutting off what a process of the former release cannot adopt."""

    async def scenario() -> None:
        async with Upgrade(tmp_path) as upgrade:
            old = await upgrade.start("old")
            devices = [await upgrade.establish(old) for _ in range(10)]
            (tmp_path / SOCKET_NAME).unlink()
            with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as former:
                former.bind(str(tmp_path / SOCKET_NAME))
                former.listen()
                old.process.send_signal(signal.SIGTERM)
                assert [await device.line() for device in devices] == ["MOVE"] * 10
            await old.line("no process accepts a handover: the newest process is of a former release")
            assert await old.stop() == 0

    asyncio.run(scenario())


def test_a_receiver_that_closes_at_once_leaves_the_connections_to_the_sender(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Upgrade(tmp_path) as upgrade:
            old = await upgrade.start("old")
            device = await upgrade.establish(old)
            with impostor_of(tmp_path) as impostor:
                old.process.send_signal(signal.SIGTERM)
                call = await asyncio.to_thread(impostor.accept)
                call[0].close()
            assert await device.line() == "MOVE"
            assert await old.stop() == 0

    asyncio.run(scenario())


def test_a_receiver_that_dies_during_the_handover_loses_no_connection_that_it_has_not_adopted(tmp_path: Path) -> None:
    """Guards against cutting off connections whose message was sent and not answered."""

    async def scenario() -> None:
        async with Upgrade(tmp_path) as upgrade:
            old = await upgrade.start("old")
            devices = [await upgrade.establish(old) for _ in range(40)]
            with impostor_of(tmp_path) as impostor:
                old.process.send_signal(signal.SIGTERM)

                def receive_ten_and_close() -> None:
                    call, _ = impostor.accept()
                    with call:
                        for _ in range(10):
                            for fd in socket.recv_fds(call, 1 << 16, 4)[1]:
                                os.close(fd)

                await asyncio.to_thread(receive_ten_and_close)
            ends = Counter([await device.line() for device in devices])
            assert ends == {"MOVE": 40}
            await old.line("handover to the newest process failed; no more connections are handed over")
            assert await old.stop() == 0

    asyncio.run(scenario())


def test_malformed_handover_messages_are_counted_and_do_not_disturb_the_receiver(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Upgrade(tmp_path) as upgrade:
            new = await upgrade.start("new")
            with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as call, socket.socket() as other:
                call.connect(str(tmp_path / SOCKET_NAME))
                socket.send_fds(call, [b"{}"], [other.fileno()] * 2)
                socket.send_fds(call, [encode_snapshot(SNAPSHOT)], [other.fileno()])
                call.send(b"\0" * 60_000)
            await new.line("handover closed; 0 connections adopted so far")
            counts = await new.counters()
            assert counts["taken_over_badly"] == 3 and counts["visits_now"] == 0
            await upgrade.establish(new)

    asyncio.run(scenario())
