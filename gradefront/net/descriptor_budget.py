"""How many file descriptors clients may hold, before and after they have made a request."""

from __future__ import annotations

from dataclasses import dataclass

RESERVED_DESCRIPTORS = 48  # never held for clients: endpoint list, health checks, listeners, the platform's own
PRE_REQUEST_SHARE = 8  # one descriptor in so many is not held by clients that have made no request


@dataclass(slots=True, frozen=True)
class DescriptorBudget:
    """Limits on the descriptors held for clients, out of `total` that the process may use."""

    total: int

    @property
    def for_requests(self) -> int:
        """Above this a request is rejected: its connection takes one more descriptor, to a backend."""
        return self.total - RESERVED_DESCRIPTORS

    @property
    def before_request(self) -> int:
        """Above this connections without a request, or with their final answer, are closed for a new one."""
        return self.for_requests - self.total // PRE_REQUEST_SHARE

    @property
    def for_connections(self) -> int:
        """Above this a new connection is rejected at once. Guards the last descriptors, which established
        connections need."""
        return self.total - RESERVED_DESCRIPTORS // 2
