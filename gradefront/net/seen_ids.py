"""Connection ids that clients have used."""

from __future__ import annotations

from .lines import InvalidLineError

MAX_SEEN_IDS = 4_096


class SeenIds:
    """The latest MAX_SEEN_IDS connection ids. Ids are unique per connection, so a reused one is another client's."""

    def __init__(self) -> None:
        self._ids: dict[bytes, None] = {}  # oldest first

    def add(self, connection_id: bytes) -> None:
        """Record an id. Raises InvalidLineError if it was used before.

        Backends identify connections by id. If a client could use the id of another's open connection, the backend
        would take the end of the one for the end of the other.
        """
        if connection_id in self._ids:
            raise InvalidLineError("connection id was used before")
        if len(self._ids) >= MAX_SEEN_IDS:
            del self._ids[next(iter(self._ids))]
        self._ids[connection_id] = None
