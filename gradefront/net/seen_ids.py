"""Connection ids that clients have used."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from .lines import InvalidLineError

MAX_PAST_IDS = 32_768  # of connections that have ended; at least half as many are remembered


class SeenIds:
    """The ids of the connections that stand, and the latest ones of those that have ended.

    Ids are unique per connection, so a repeated one is another client's, or a request that was executed before.
    Attributes: `on_added`, called with each new id if it is set.
    """

    def __init__(self) -> None:
        self.on_added: Callable[[bytes], None] | None = None
        self._standing: set[bytes] = set()
        self._past: set[bytes] = set()
        self._earlier: set[bytes] = set()  # the generation before `_past`

    def __iter__(self) -> Iterator[bytes]:
        """Iterate over all ids, those of ended connections first."""
        yield from self._earlier
        yield from self._past
        yield from self._standing

    def add(self, connection_id: bytes) -> None:
        """Record the id of a connection. Raises InvalidLineError if it was used before.

        Backends identify connections by id. If a client could use the id of another's open connection, the backend
        would take the end of the one for the end of the other.
        """
        if connection_id in self._standing or connection_id in self._past or connection_id in self._earlier:
            raise InvalidLineError("connection id was used before")
        self._standing.add(connection_id)
        if self.on_added:
            self.on_added(connection_id)

    def on_ended(self, connection_id: bytes) -> None:
        """Record that the connection with this id has ended. Does nothing if it is not one of this process."""
        if connection_id in self._standing:
            self._standing.discard(connection_id)
            self.add_past((connection_id,))

    def add_past(self, connection_ids: Iterable[bytes]) -> None:
        """Record ids of connections that have ended, or of another process of this relay."""
        for connection_id in connection_ids:
            self._past.add(connection_id)
            if len(self._past) >= MAX_PAST_IDS // 2:
                self._past, self._earlier = set(), self._past
