"""The endpoint list, read from discovery's documents. The names of their form end here."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, NamedTuple

from balancer.events import BackendState, Endpoint, EndpointListUpdate
from gradefront.config import Config
from gradefront.core.relay import RelayCore
from gradefront.core.start_times import DISCOVERY_DELAY_US, BackendStart, ListReadContext, estimate_start

STATES = {"SERVING": BackendState.READY, "DRAINING": BackendState.DRAINING, "DELETED": BackendState.GONE}
MAX_PORT = 65_535


class ListedBackend(NamedTuple):
    """One backend: what the core is given, and what only this package needs."""

    endpoint: Endpoint
    address: tuple[str, int]  # host and port; a gone backend has none
    start: BackendStart


class _Members(NamedTuple):
    """The members of a document."""

    listed: list[ListedBackend]
    errors: list[str]


class EndpointList:
    """The backends by id. `stepped` says whether the wall clock has been stepped since the start."""

    def __init__(self, config: Config, core: RelayCore, stepped: Callable[[], bool] = lambda: False) -> None:
        self.config = config
        self.core = core
        self.stepped = stepped
        self.revision = 0
        self.backends: dict[str, ListedBackend] = {}
        self.last_heartbeat_us: int | None = None  # of discovery; None: none since the start

    def on_heartbeat(self) -> None:
        """Discovery is alive, whether or not it sent an update."""
        self.last_heartbeat_us = self.core.clock()

    def address(self, backend: str) -> tuple[str, int] | None:
        """A listed backend's host and port, else None."""
        listed = self.backends.get(backend)
        return listed.address if listed else None

    def apply(self, document: dict[str, Any], complete: bool | None = None) -> None:
        """Apply one document of discovery. `complete` is given for the configuration's list (`known`),
        which is no sign of life from discovery.

        Raises ValueError, and changes nothing, where the document as a whole makes no sense. An invalid member is
        counted and left out; in a complete list, a backend known before keeps its last valid entry.
        """
        is_complete = bool(document.get("complete")) if complete is None else complete
        members = document.get("members")
        if not isinstance(members, list | None):
            raise ValueError("members: not a list")
        revision = _natural(document.get("revision") or self.revision, "revision")
        listed, errors = self._read_members(members or [], is_complete)
        self._count_errors(errors)
        self.backends, self.revision = self._merged(listed, is_complete), revision
        if complete is None:
            self.on_heartbeat()
        self.core.on_endpoint_list(EndpointListUpdate(tuple(backend.endpoint for backend in listed), is_complete))

    def _read_members(self, members: list[Any], is_complete: bool) -> _Members:
        """Read the valid members, and describe what is wrong with the others."""
        reading = self._reading()
        listed, errors = list[ListedBackend](), list[str]()
        for member in members:
            try:
                listed.append(self._read_member(member, reading))
            except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
                errors.append(repr(error))
                last_valid = self.backends.get(str(member.get("id"))) if isinstance(member, dict) else None
                if last_valid is not None and is_complete:
                    listed.append(last_valid)  # guards against losing a serving backend by an error in its line
        return _Members(listed, errors)

    def _count_errors(self, errors: list[str]) -> None:
        if errors:
            what = f"a line of the endpoint list makes no sense: {errors[0]}"
            self.core.counters.count_fault("bad_list_lines", what, self.core.clock(), len(errors))

    def _merged(self, listed: list[ListedBackend], is_complete: bool) -> dict[str, ListedBackend]:
        """The backends after these entries: in place of all before, or on top of them."""
        backends = {} if is_complete else dict(self.backends)
        for backend in listed:
            if backend.endpoint.state is BackendState.GONE:
                backends.pop(backend.endpoint.backend, None)
            else:
                backends[backend.endpoint.backend] = backend
        return backends

    def _reading(self) -> ListReadContext:
        """How far the times of day in a document that is applied now can be trusted."""
        now_us = self.core.clock()
        since_us = now_us - self.last_heartbeat_us if self.last_heartbeat_us is not None else 0
        max_start_age_us = max(self.core.settings.warm_up_us, since_us + DISCOVERY_DELAY_US)
        # What differs from a list that this relay had, be it from before its start, happened of late.
        return ListReadContext(now_us, self.stepped(), bool(self.backends), max_start_age_us)

    def _read_member(self, member: Any, reading: ListReadContext) -> ListedBackend:
        """Read one member. Raises KeyError, TypeError, ValueError, AttributeError or OverflowError."""
        state = STATES.get(member["phase"], BackendState.UNKNOWN)
        address = ("", 0) if state is BackendState.GONE else _read_address(member["host_port"])
        weight = float(member.get("size") or 1.0)
        if not math.isfinite(weight):
            raise ValueError("size")
        backend = str(member["id"])
        before = self.backends.get(backend)
        up_since_us = int(member.get("up_since_ms") or 0) * 1000
        start = estimate_start(up_since_us, before.start if before else None, reading)
        endpoint = Endpoint(
            backend,
            state,
            _index(self.config.zones, member.get("locality")),
            int(member.get("cell") or 0),
            _index(self.config.models, member.get("flavor")),
            weight,
            start.at_us,
        )
        return ListedBackend(endpoint, address, start)


def _read_address(host_port: Any) -> tuple[str, int]:
    host, _, port_text = host_port.rpartition(":")
    port = _natural(int(port_text), "host_port")
    if not host or not 0 < port <= MAX_PORT:
        raise ValueError("host_port")
    return host.strip("[]"), port


def _index(names: tuple[str, ...], name: object) -> int:
    """The place of a name, 0 where it is unknown."""
    return names.index(str(name)) if name in names else 0


def _natural(value: object, what: str) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError(f"{what}: {value!r} is no whole number")
    return value
