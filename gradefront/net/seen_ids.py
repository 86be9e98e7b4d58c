"""The connection ids that clients have used."""

from __future__ import annotations

from .lines import InvalidLineError

MAX_SEEN_IDS = 4_096


class SeenIds:
    """The newest MAX_SEEN_IDS connection ids. Each connection has a new id, so a second use is another client's."""

    def __init__(self) -> None:
        self._ids: dict[bytes, None] = {}  # the oldest first

    def add(self, connection_id: bytes) -> None:
        """Record an id. Raises InvalidLineError for one that was used before.

        Guards an open connection, and the backend that counts by ids, against a client that names another's id: at
        the backend its end would be the other's.
        """
        if connection_id in self._ids:
            raise InvalidLineError("an id that was used before")
        if len(self._ids) >= MAX_SEEN_IDS:
            del self._ids[next(iter(self._ids))]
        self._ids[connection_id] = None
