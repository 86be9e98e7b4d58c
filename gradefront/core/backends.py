"""The state and zone of each backend, according to the newest endpoint list."""

from __future__ import annotations

from collections.abc import Iterator

from balancer.events import BackendState, Endpoint, EndpointListUpdate


class Backends:
    """The backends of the endpoint list, by name."""

    def __init__(self) -> None:
        self.entries: dict[str, Endpoint] = {}

    def __len__(self) -> int:
        return len(self.entries)

    def __contains__(self, backend: str) -> bool:
        return backend in self.entries

    def __iter__(self) -> Iterator[str]:
        return iter(self.entries)

    def state(self, backend: str) -> BackendState | None:
        """Return a backend's state, or None if it is not in the list."""
        entry = self.entries.get(backend)
        return entry.state if entry else None

    def zone(self, backend: str) -> int | None:
        """Return a backend's zone, or None if it is not in the list."""
        entry = self.entries.get(backend)
        return entry.zone if entry else None

    def apply(self, update: EndpointListUpdate) -> tuple[list[str], list[str]]:
        """Apply a complete list or changes to it.

        Returns the backends that begin to drain, and those that are gone.
        """
        draining, gone = list[str](), list[str]()
        if update.is_complete:
            listed = {entry.backend for entry in update.entries}
            gone += [backend for backend in self.entries if backend not in listed]
            self.entries = {}
        for entry in update.entries:
            if entry.state is BackendState.DRAINING and self.state(entry.backend) is not entry.state:
                draining.append(entry.backend)
            if entry.state is BackendState.GONE:
                self.entries.pop(entry.backend, None)
                gone.append(entry.backend)
            else:
                self.entries[entry.backend] = entry
        return draining, gone
