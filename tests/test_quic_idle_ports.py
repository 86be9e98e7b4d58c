"""The upstream ports of a storm are closed once all of its paths are gone, and opened anew for the next.

Guards against descriptors that the QUIC front holds for good, and that clients on the line protocol then lack.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, cast

import pytest

from gradefront.quic.paths import QUARANTINE_US, Path, PortPool
from gradefront.quic.sockets import Hub

BACKEND = ("127.0.0.1", 9)
MAX_PORTS = 8


class FakeReactor:
    """A reactor that polls nothing."""

    def addReader(self, reader: object) -> None:
        """Do nothing."""

    def removeReader(self, reader: object) -> None:
        """Do nothing."""


@pytest.fixture
def pool() -> Iterator[PortPool]:
    hub = Hub(FakeReactor())
    yield PortPool(hub, "127.0.0.1", MAX_PORTS, 4, lambda *_: None, lambda *_: None, lambda _: None)
    hub.close()


def open_paths(pool: PortPool, count: int, now_us: int) -> list[Path]:
    paths = [Path(("127.0.0.1", 1_000 + n), "box-0", BACKEND, None, None, now_us) for n in range(count)]
    for path in paths:
        assert pool.assign_port(path, b"", set(), now_us, cast(Any, lambda _: b""))
    return paths


def test_all_ports_are_closed_once_no_path_has_been_open_for_a_while(pool: PortPool) -> None:
    paths = open_paths(pool, MAX_PORTS, 0)
    for path in paths[1:]:
        pool.release(path, 1_000_000)
    pool.close_idle(1_000_000 + 2 * QUARANTINE_US)
    assert len(pool.ports) == len(pool.hub.sockets) == MAX_PORTS, "a path is still open"
    pool.release(paths[0], 10_000_000)
    pool.release(paths[0], 10_000_000)
    pool.close_idle(10_000_000 + QUARANTINE_US - 1)
    assert len(pool.ports) == MAX_PORTS, "late answers may still come"
    pool.close_idle(10_000_000 + QUARANTINE_US)
    assert not pool.ports and not pool.hub.sockets


def test_ports_are_opened_anew_up_to_the_configured_limit(pool: PortPool) -> None:
    for path in open_paths(pool, 2, 0):
        pool.release(path, 0)
    pool.max_ports = 2  # as after an attempt to open a third one without a descriptor
    pool.close_idle(QUARANTINE_US)
    paths = open_paths(pool, MAX_PORTS, QUARANTINE_US)
    assert len({path.port for path in paths}) == MAX_PORTS
    assert {port.index for port in pool.ports} == set(range(MAX_PORTS))
