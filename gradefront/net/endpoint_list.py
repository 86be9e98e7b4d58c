"""The endpoint list, parsed from discovery's documents. Only this module knows their field names."""

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
MAX_BACKENDS = 8_192  # a deployment has at most 3,200, and twice as many while they are replaced
MAX_TEXT_LENGTH = 256  # characters of a member's text fields
KEPT_FIELDS = ("id", "host_port", "locality", "flavor", "cell", "phase", "size", "up_since_ms")


class ListedBackend(NamedTuple):
    """One backend: `endpoint` is passed to the core, the rest is used in this package."""

    endpoint: Endpoint
    address: tuple[str, int]  # host and port; ("", 0) for a deleted backend
    start: BackendStart
    member: dict[str, Any]  # the fields of the entry that this relay reads, as they were received


class TooManyBackendsError(ValueError):
    """A member that would exceed MAX_BACKENDS."""


class _ParsedMembers(NamedTuple):
    """The valid members of a document, and a description of each error."""

    listed: list[ListedBackend]
    errors: list[str]


class EndpointList:
    """The backends by id. `stepped` returns whether the wall clock has been stepped since the relay's start."""

    def __init__(self, config: Config, core: RelayCore, stepped: Callable[[], bool] = lambda: False) -> None:
        self.config = config
        self.core = core
        self.stepped = stepped
        self.revision = 0
        self.backends: dict[str, ListedBackend] = {}
        self.last_heartbeat_us: int | None = None  # last sign of life from discovery; None: none since the start

    def on_heartbeat(self) -> None:
        """Record a sign of life from discovery, with or without an update."""
        self.last_heartbeat_us = self.core.clock()

    def address(self, backend: str) -> tuple[str, int] | None:
        """Return host and port of a backend, or None if it is not listed."""
        listed = self.backends.get(backend)
        return listed.address if listed else None

    def document(self) -> dict[str, Any]:
        """Return the list in discovery's format, as a complete one."""
        members = [backend.member for backend in self.backends.values()]
        return {"revision": self.revision, "complete": True, "members": members}

    def heard_us_ago(self) -> int | None:
        """Return the microseconds since the last sign of life from discovery; None if there was none."""
        return None if self.last_heartbeat_us is None else self.core.clock() - self.last_heartbeat_us

    def apply_previous(self, document: dict[str, Any], heard_us_ago: int | None) -> None:
        """Apply the list of the process that this one replaces, with the time since that last heard of discovery.

        Raises ValueError, and changes nothing, if the document as a whole is invalid.
        """
        self.apply(document, complete=True)
        if heard_us_ago is not None:
            self.last_heartbeat_us = self.core.clock() - heard_us_ago

    def apply(self, document: dict[str, Any], complete: bool | None = None) -> None:
        """Apply one document from discovery, or the list `known` of the configuration.

        `complete` is set for the configuration's list, which is not a sign of life from discovery. Raises ValueError,
        and changes nothing, if the document as a whole is invalid. An invalid member is counted and skipped; if the
        list is complete, a backend that was listed before keeps its last valid entry.
        """
        is_complete = bool(document.get("complete")) if complete is None else complete
        members = document.get("members")
        if not isinstance(members, list | None):
            raise ValueError("members is not a list")
        revision = _natural(document.get("revision") or self.revision, "revision")
        listed, errors = self._parse_members(members or [], is_complete)
        self._count_errors(errors)
        self.backends, self.revision = self._merged(listed, is_complete), revision
        if complete is None:
            self.on_heartbeat()
        self.core.on_endpoint_list(EndpointListUpdate(tuple(backend.endpoint for backend in listed), is_complete))

    def _parse_members(self, members: list[Any], is_complete: bool) -> _ParsedMembers:
        """Parse the members. Invalid ones are described in `errors`."""
        context = self._read_context()
        listed, errors = list[ListedBackend](), list[str]()
        names = set[str]() if is_complete else set(self.backends)
        for member in members:
            try:
                parsed = self._parse_member(member, context)
                _update_names(names, parsed.endpoint)
                listed.append(parsed)
            except TooManyBackendsError as error:
                errors.append(str(error))
            except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
                errors.append(repr(error))
                last_valid = self.backends.get(str(member.get("id"))) if isinstance(member, dict) else None
                if last_valid is not None and is_complete:
                    listed.append(last_valid)  # an invalid entry must not remove a backend that is in service
        return _ParsedMembers(listed, errors)

    def _count_errors(self, errors: list[str]) -> None:
        if errors:
            what = f"invalid member in the endpoint list: {errors[0]}"
            self.core.counters.count_fault("bad_list_lines", what, self.core.clock(), len(errors))

    def _merged(self, listed: list[ListedBackend], is_complete: bool) -> dict[str, ListedBackend]:
        """Return the backends after an update: a complete list replaces all, other entries are merged in."""
        backends = {} if is_complete else self.backends
        for backend in listed:
            if backend.endpoint.state is BackendState.GONE:
                backends.pop(backend.endpoint.backend, None)
            else:
                backends[backend.endpoint.backend] = backend
        return backends

    def _read_context(self) -> ListReadContext:
        """Return what decides how far the start times in a document that is applied now can be trusted."""
        now_us = self.core.clock()
        since_us = now_us - self.last_heartbeat_us if self.last_heartbeat_us is not None else 0
        max_start_age_us = max(self.core.settings.warm_up_us, since_us + DISCOVERY_DELAY_US)
        # A change against a list that this relay already had, even one saved before its start, is recent.
        return ListReadContext(now_us, self.stepped(), bool(self.backends), max_start_age_us)

    def _parse_member(self, member: Any, context: ListReadContext) -> ListedBackend:
        """Parse one member. Raises KeyError, TypeError, ValueError, AttributeError or OverflowError."""
        kept = {name: member[name] for name in KEPT_FIELDS if name in member}
        for name, value in kept.items():
            if isinstance(value, dict | list) or isinstance(value, str) and len(value) > MAX_TEXT_LENGTH:
                raise ValueError(f"{name} is no number, and no text of at most {MAX_TEXT_LENGTH} characters")
        state = STATES.get(member["phase"], BackendState.UNKNOWN)
        address = ("", 0) if state is BackendState.GONE else _parse_address(member["host_port"])
        weight = float(member.get("size") or 1.0)
        if not math.isfinite(weight):
            raise ValueError("size is not finite")
        backend = str(member["id"])
        previous = self.backends.get(backend)
        up_since_us = int(member.get("up_since_ms") or 0) * 1000
        start = estimate_start(up_since_us, previous.start if previous else None, context)
        endpoint = Endpoint(
            backend,
            state,
            _index(self.config.zones, member.get("locality")),
            int(member.get("cell") or 0),
            _index(self.config.models, member.get("flavor")),
            weight,
            start.at_us,
        )
        return ListedBackend(endpoint, address, start, kept)


def _update_names(names: set[str], endpoint: Endpoint) -> None:
    """Add a backend to the names of those that are listed, or remove it. Raises TooManyBackendsError."""
    if endpoint.state is BackendState.GONE:
        names.discard(endpoint.backend)
    elif endpoint.backend not in names:
        if len(names) >= MAX_BACKENDS:
            raise TooManyBackendsError(f"more than {MAX_BACKENDS} backends")
        names.add(endpoint.backend)


def _parse_address(host_port: Any) -> tuple[str, int]:
    host, _, port_text = host_port.rpartition(":")
    port = _natural(int(port_text), "host_port")
    if not host or not 0 < port <= MAX_PORT:
        raise ValueError("host_port has no host or an invalid port")
    return host.strip("[]"), port


def _index(names: tuple[str, ...], name: object) -> int:
    """Return the index of a name, 0 if it is unknown."""
    return names.index(str(name)) if name in names else 0


def _natural(value: object, field: str) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError(f"{field}: expected a whole number >= 0, got {value!r}")
    return value
