"""A planned stop although a step on one connection raises an exception."""

from __future__ import annotations

import logging
from types import SimpleNamespace
from typing import Any, cast

import pytest

from gradefront.core.lifecycle import STOP_US
from gradefront.core.lifecycle_state import LifecycleEvent, LifecycleState
from gradefront.shutdown import Shutdown

from .helper import Bench, Client


class BrokenClient(Client):
    """A client whose socket fails as it is told its answer."""

    def migrate(self) -> None:
        raise OSError("socket is not connected")

    def reject(self, retry_after_us: int) -> None:
        raise OSError("socket is not connected")


def test_a_stop_ends_all_other_connections_and_itself(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a stop that ends with the first exception, and a process that runs into SIGKILL."""
    bench, done = Bench(), list[int]()
    standing = [bench.establish() for _ in range(20)]
    waiting = [bench.accept_client(5_000_000) for _ in range(3)]
    for connection, _, _ in standing[::5]:
        connection.client = BrokenClient()
    waiting[0][0].client = BrokenClient()
    bench.core.lifecycle.leave(lambda: done.append(bench.now))
    began = bench.now
    with caplog.at_level(logging.ERROR):
        bench.wait(bench.core.lifecycle.kill_us)
    assert [at - began <= bench.core.lifecycle.kill_us - STOP_US + 10_000 for at in done] == [True]
    assert sum(client.calls.count("migrate") for _, client, _ in standing) == 16
    assert [client.calls for _, client in waiting[1:]] == [["reject"]] * 2
    assert all(upstream.closed for upstream in bench.upstreams), "a backend's side was left open"
    assert not bench.core.connections and bench.core.counters.counts["exceptions"] == 5
    assert all(f"connection {connection.number}:" in caplog.text for connection, _, _ in standing[::5])


def test_migrations_stay_even_beside_connections_that_raise() -> None:
    """Guards against a drain whose batches end with an exception, so that all the rest is migrated at the stop."""
    bench = Bench()
    clients = [bench.establish()[1] for _ in range(30)]
    bench.core.connections[next(iter(bench.core.connections))].client = BrokenClient()
    bench.core.lifecycle.leave(lambda: None, at_once=True)
    bench.wait(bench.core.lifecycle.kill_us // 2)
    assert sum("migrate" in client.calls for client in clients) > 10


@pytest.mark.parametrize("failing", ["close_handover", "accept_pending_and_close", "reject_pre_request", "close_all"])
def test_a_step_of_the_stop_that_raises_leaves_the_others_and_the_end(failing: str) -> None:
    """Guards against a stop without an end, because closing the handover or a listener raised."""
    bench, calls = Bench(), list[str]()

    def step(name: str) -> Any:
        def run(*_: object) -> None:
            calls.append(name)
            if name == failing:
                raise OSError("a step fails")

        return run

    closing = SimpleNamespace(unsent_count=1, close_all=step("close_all"))
    client_factory = SimpleNamespace(
        core=bench.core, open_connections=1, closing=closing, reject_pre_request=step("reject_pre_request")
    )
    client_factory.closing_upstreams = type("Closing", (list,), {"close_all": step("close_all")})()
    listener = SimpleNamespace(
        port=None,
        is_replaced=lambda: False,
        connect_to_successor=lambda: None,
        close_handover=step("close_handover"),
        drop_new_handshakes=step("drop_new_handshakes"),
        accept_pending_and_close=step("accept_pending_and_close"),
    )
    reactor = SimpleNamespace(stop=step("stop"))
    endpoint_watch = SimpleNamespace(close=step("watch"))
    shutdown = Shutdown(*cast(Any, (client_factory, listener, endpoint_watch, None, None, reactor)))
    shutdown.begin()
    bench.wait(bench.core.lifecycle.kill_us)
    assert bench.core.lifecycle.state is LifecycleState.STOPPED
    assert not bench.core.lifecycle.transition(LifecycleEvent.STOPPED)
    assert calls[-1] == "stop" and {"reject_pre_request", "close_all", "watch"} <= set(calls)
    assert calls.count("close_all") == 2
