"""Requests that are over, may have been executed and must not be executed again. No I/O.

A QUIC client repeats its first packet until it has an answer, and the network may deliver a packet late. Once the
relay has forgotten the connection, such a packet would be a new request.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

MAX_ENTRIES = 16_384


class _Entry(NamedTuple):
    repeatable_until_us: int
    expires_us: int


class ExecutedRequests:
    """The requests by their client's first connection id, in the order in which they ended."""

    def __init__(self) -> None:
        self._entries: OrderedDict[bytes, _Entry] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of requests."""
        return len(self._entries)

    def add(self, first_id: bytes, repeatable_until_us: int, expires_us: int) -> bool:
        """Add a request that may be executed again until `repeatable_until_us`, and is forgotten at `expires_us`.

        Return whether an older one had to be forgotten for it.
        """
        known = self._entries.pop(first_id, None)
        if known:  # the first execution counts
            repeatable_until_us = min(known.repeatable_until_us, repeatable_until_us)
        self._entries[first_id] = _Entry(repeatable_until_us, expires_us)
        if len(self._entries) <= MAX_ENTRIES:
            return False
        self._entries.popitem(last=False)
        return True

    def forbids(self, first_id: bytes, now_us: int) -> bool:
        """Return whether an Initial with this first id must not be executed."""
        entry = self._entries.get(first_id)
        return entry is not None and now_us >= entry.repeatable_until_us

    def expire(self, now_us: int) -> None:
        """Forget the requests whose client waits no more."""
        while self._entries and next(iter(self._entries.values())).expires_us <= now_us:
            self._entries.popitem(last=False)
