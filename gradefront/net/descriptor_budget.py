"""Limits on the file descriptors held for clients, before and after they send a request, and for health checks."""

from __future__ import annotations

import os
from dataclasses import dataclass

RESERVED_DESCRIPTORS = 48  # never used for clients: endpoint list, health checks, listeners, the platform's own
RESERVED_FOR_HEALTH_CHECKS = 16  # of RESERVED_DESCRIPTORS
HEALTH_CHECK_SHARE = 8  # beyond the reserved ones, health checks use at most 1/8 of the descriptors
PRE_REQUEST_SHARE = 8  # clients without a request leave 1/8 of the descriptors free


@dataclass(slots=True, frozen=True)
class DescriptorBudget:
    """Limits on the file descriptors held for clients and health checks; the process may use `total`."""

    total: int

    @property
    def for_requests(self) -> int:
        """Limit above which requests are rejected, as each needs one more descriptor for its backend connection."""
        return self.total - RESERVED_DESCRIPTORS

    @property
    def before_request(self) -> int:
        """Limit above which a new connection causes one without a request, or with its final answer, to be closed."""
        return self.for_requests - self.total // PRE_REQUEST_SHARE

    @property
    def for_connections(self) -> int:
        """Limit above which new connections are rejected at once. Keeps the rest for established ones."""
        return self.total - RESERVED_DESCRIPTORS // 2

    def for_health_checks(self, held_for_clients: int) -> int:
        """Limit for health checks: besides the reserved descriptors, some of those that clients leave unused."""
        unused = max(0, self.before_request - held_for_clients)
        return RESERVED_FOR_HEALTH_CHECKS + min(unused, self.total // HEALTH_CHECK_SHARE)


def count_missing_descriptors(needed: int, fd: int) -> int:
    """Return how many of `needed` descriptors this process could not open now; `fd` is any open one."""
    duplicates: list[int] = []
    try:
        while len(duplicates) < needed:
            duplicates.append(os.dup(fd))
    except OSError:
        return needed - len(duplicates)
    finally:
        for duplicate in duplicates:
            os.close(duplicate)
    return 0
