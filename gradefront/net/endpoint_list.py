"""The endpoint list, read from discovery's form."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, NamedTuple

from balancer.events import BackendState, Endpoint, EndpointListUpdate
from gradefront.config import Config
from gradefront.core.relay import RelayCore
from gradefront.core.start_times import NOTICE_US, ListReading, Start, start_time

STATES = {"SERVING": BackendState.READY, "DRAINING": BackendState.DRAINING, "DELETED": BackendState.GONE}


class Place(NamedTuple):
    """One backend: what the module is told of it, and where it listens, which only the wire needs."""

    entry: Endpoint
    where: tuple[str, int]
    start: Start


class EndpointList:
    """The backends by id: what the core is told of, and the addresses that only the wire needs."""

    def __init__(self, config: Config, core: RelayCore, stepped: Callable[[], bool] = lambda: False) -> None:
        self.config = config
        self.core = core
        self.stepped = stepped  # whether the wall clock has been stepped since the start
        self.revision = 0
        self.places: dict[str, Place] = {}
        self.last_heartbeat_us: int | None = None  # when discovery was last heard; None: not since the start

    def on_heartbeat(self) -> None:
        """Discovery is there, and has nothing else to tell."""
        self.last_heartbeat_us = self.core.clock()

    def _hearing(self) -> ListReading:
        """How far the times of day in a list that comes now can be believed."""
        now = self.core.clock()
        since_us = now - self.last_heartbeat_us if self.last_heartbeat_us is not None else 0
        oldest_us = max(self.core.settings.warm_up_us, since_us + NOTICE_US)
        # What differs from a list that this relay had, be it from before its start, happened of late.
        return ListReading(now, self.stepped(), bool(self.places), oldest_us)

    def address(self, backend: str) -> tuple[str, int] | None:
        """Where a backend listens."""
        place = self.places.get(backend)
        return place.where if place else None

    def apply(self, told: dict[str, Any], whole: bool | None = None) -> None:
        """Take one object of discovery's form: all of it is read first, then it counts at once. Raises ValueError,
        and changes nothing, where it makes no sense."""
        full = bool(told.get("complete")) if whole is None else whole
        members = told.get("members")
        if not isinstance(members, list | None):
            raise ValueError("members: not a list")
        revision = _whole(told.get("revision") or self.revision, "revision")
        places = {} if full else dict(self.places)
        hearing = self._hearing()
        entries, bad = [], list[str]()
        for member in members or ():
            try:
                place = self._place(member, hearing)
            except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
                bad.append(repr(error))
                known = self.places.get(str(member.get("id"))) if isinstance(member, dict) else None
                if known is None or not full:
                    continue
                place = known  # guards against losing one that serves, for a slip in its line
            entry = place.entry
            entries.append(entry)
            if entry.state is BackendState.GONE:
                places.pop(entry.backend, None)
            else:
                places[entry.backend] = place
        if bad:
            self.core.counters.bad(
                "bad_list_lines", f"a line of the box list makes no sense: {bad[0]}", self.core.clock(), len(bad)
            )  # left out, the others stand
        self.places, self.revision = places, revision
        if whole is None:  # it comes from discovery now, not from before the start
            self.on_heartbeat()
        self.core.on_endpoint_list(EndpointListUpdate(tuple(entries), full))

    def _place(self, member: Any, hearing: ListReading) -> Place:
        """One line of the list. Raises where it makes no sense."""
        config = self.config
        state = STATES.get(member["phase"], BackendState.UNKNOWN)
        where = "", 0
        if state is not BackendState.GONE:
            host, _, port = member["host_port"].rpartition(":")
            where = host.strip("[]"), _whole(int(port), "host_port")
            if not host or not 0 < where[1] < 65536:
                raise ValueError("host_port")
        weight = float(member.get("size") or 1.0)
        if not math.isfinite(weight):
            raise ValueError("size")
        backend = str(member["id"])
        known = self.places.get(backend)
        start = start_time(int(member.get("up_since_ms") or 0) * 1000, known.start if known else None, hearing)
        return Place(
            Endpoint(
                backend,
                state,
                _number(config.zones, member.get("locality")),
                int(member.get("cell") or 0),
                _number(config.models, member.get("flavor")),
                weight,
                start.at_us,
            ),
            where,
            start,
        )


def _number(names: tuple[str, ...], name: object) -> int:
    return names.index(str(name)) if name in names else 0


def _whole(value: object, what: str) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError(f"{what}: {value!r} is no whole number")
    return value
