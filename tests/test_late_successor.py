"""A process that was told to end, and accepts clients for want of a successor, hands over to one that starts later.

Guards against requests that are retried by the settings of a process to which no reload is signalled any more.
"""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from gradefront import shutdown as shutdown_module
from gradefront.core.lifecycle_state import LifecycleState
from gradefront.net.seen_ids import SeenIds
from gradefront.shutdown import SUCCESSOR_CHECK_US, Shutdown
from gradefront.state.handover_receiver import HandoverReceiver
from gradefront.state.handover_sockets import listen_as_newest

from .helper import Bench
from .test_upgrade import Upgrade


class FakeListener:
    """A client listener whose successor appears when `successor` is set."""

    port = None

    def __init__(self, is_replaced: bool) -> None:
        self.replaced = is_replaced
        self.successor: socket.socket | None = None
        self.accepts = True
        self.handover_receiver = SimpleNamespace(path=Path("/dev/null/no such folder"))

    def is_replaced(self) -> bool:
        return self.replaced

    def connect_to_successor(self) -> socket.socket | None:
        successor, self.successor = self.successor, None
        return successor

    def stop(self) -> None:
        self.accepts = False

    def accept_again(self) -> None:
        self.accepts = True

    def close_handover(self) -> None:
        """Do nothing: this listener has no handover socket."""


@pytest.fixture
def bench() -> Bench:
    return Bench()


@pytest.fixture
def stopping(bench: Bench) -> Callable[[FakeListener], Shutdown]:
    """Return a function that begins the shutdown of a process with one standing client."""

    def begin(listener: FakeListener) -> Shutdown:
        client_factory = SimpleNamespace(
            core=bench.core, open_connections=1, closing_upstreams=(), seen_ids=SeenIds()
        )
        reactor = SimpleNamespace(addReader=lambda _: None, removeReader=lambda _: None)
        shutdown = Shutdown(*cast(Any, (client_factory, listener, None, None, None, reactor)))
        shutdown.begin()
        return shutdown

    return begin


def successor_socket() -> socket.socket:
    ours, _ = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    ours.setblocking(False)
    return ours


def test_a_process_without_a_successor_stops_accepting_once_one_has_started(
    bench: Bench, stopping: Callable[[FakeListener], Shutdown]
) -> None:
    listener = FakeListener(is_replaced=False)
    stopping(listener)
    bench.wait(10 * SUCCESSOR_CHECK_US)
    assert listener.accepts
    listener.successor = successor_socket()
    bench.wait(SUCCESSOR_CHECK_US)
    assert not listener.accepts and listener.successor is None


def test_a_process_whose_successor_was_lost_hands_over_to_the_next(
    bench: Bench, stopping: Callable[[FakeListener], Shutdown], monkeypatch: pytest.MonkeyPatch
) -> None:
    listener = FakeListener(is_replaced=True)
    monkeypatch.setattr(shutdown_module, "has_listener", lambda _: False)
    listener.successor, lost = (successor_socket() for _ in range(2))
    stopping(listener)._on_handover_failed()
    assert not listener.accepts
    bench.wait(2 * SUCCESSOR_CHECK_US)
    assert listener.accepts
    listener.successor = lost
    bench.wait(SUCCESSOR_CHECK_US)
    assert not listener.accepts and listener.successor is None


def test_no_successor_is_looked_for_after_the_last_answers(
    bench: Bench, stopping: Callable[[FakeListener], Shutdown]
) -> None:
    listener = FakeListener(is_replaced=False)
    stopping(listener)
    bench.core.lifecycle.state = LifecycleState.STOPPING
    listener.successor = successor_socket()
    bench.wait(10 * SUCCESSOR_CHECK_US)
    assert listener.accepts and listener.successor


def test_a_receiver_knows_its_successor_also_once_it_is_closed(bench: Bench, tmp_path: Path) -> None:
    reactor = SimpleNamespace(addReader=lambda _: None, removeReader=lambda _: None)
    receiver = HandoverReceiver(*cast(Any, (bench.core, None, reactor, tmp_path)))
    assert not receiver.has_successor(), "one that never listened has none"
    receiver.open()
    assert not receiver.has_successor()
    newer, _ = listen_as_newest(receiver.path)
    assert receiver.has_successor()
    receiver.close()
    assert receiver.has_successor()
    newer.close()
    assert not receiver.has_successor()


def test_a_process_that_starts_while_the_one_before_stops_takes_its_connections(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Upgrade(tmp_path) as upgrade:
            old = await upgrade.start("old")
            standing = await upgrade.establish(old)
            old.process.send_signal(signal.SIGTERM)
            await old.line("leaving")
            new = await upgrade.start("new")
            await old.line("handing established connections over")
            assert await old.stop() == 0
            assert (await new.counters())["taken_over"] == 1
            assert await standing.ask("where are you") == "re:where are you"

    asyncio.run(scenario())
