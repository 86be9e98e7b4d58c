"""Places: one backend at one upstream port, and whose answers come there.

A place mostly has one path. Where ports have run out, paths share it, told apart by the client ids that the backend
writes to, with at most one whose id hasn't been seen yet.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .headers import LONG_HEADER_BIT

if TYPE_CHECKING:
    from .paths import Path

LONG_HEADER_ID_OFFSET = 6  # octets before the id in a long header: flags, version, length


def _id_of_long_header(datagram: bytes) -> bytes:
    """The destination id in a long header; empty where the client has none or the datagram ends within it."""
    if len(datagram) <= LONG_HEADER_ID_OFFSET:
        return b""
    end = LONG_HEADER_ID_OFFSET + datagram[LONG_HEADER_ID_OFFSET - 1]
    return datagram[LONG_HEADER_ID_OFFSET:end] if end <= len(datagram) else b""


class Place:
    """One backend at one port, and whose answers come there."""

    __slots__ = ("sole_path", "by_client_id", "unidentified", "unheard")

    def __init__(self, path: Path) -> None:
        self.sole_path: Path | None = path
        self.by_client_id: dict[bytes, Path] | None = None  # where it is shared
        self.unidentified: Path | None = None
        self.unheard: dict[Path, int] = {}  # whose known ids haven't been heard here yet, and what they had sent

    def paths(self) -> list[Path]:
        """All of them."""
        if self.by_client_id is None:
            return [self.sole_path] if self.sole_path else []
        found = dict.fromkeys(self.by_client_id.values())
        if self.unidentified:
            found[self.unidentified] = None
        return list(found)

    def accepts(self, client_id: bytes, present_id: bytes) -> bool:
        """Whether a path with this client id (empty: unknown) may come in: one may be unsettled, no more."""
        has_unidentified = self.unidentified is not None if self.by_client_id is not None else not present_id
        if not client_id:
            return not has_unidentified
        return client_id not in (self.by_client_id or (present_id,))

    def add(self, path: Path, client_id: bytes, present_id: bytes) -> None:
        """One more path comes in. The present one is known by its client id, or is the unsettled one."""
        if self.by_client_id is None:
            present, self.sole_path = self.sole_path, None
            assert present
            self.by_client_id = {}
            self._enter(present, present_id)
        self._enter(path, client_id)

    def _enter(self, path: Path, client_id: bytes) -> None:
        assert self.by_client_id is not None
        if client_id:
            self.by_client_id[client_id] = path
            self.unheard[path] = path.sent
        else:
            self.unidentified = path

    def identify(self, path: Path, client_id: bytes) -> None:
        """What an unsettled path's backend writes to is known now."""
        if (
            self.unidentified is path
            and self.by_client_id is not None
            and client_id
            and client_id not in self.by_client_id
        ):
            self.unidentified = None
            self._enter(path, client_id)

    def find_receivers(self, datagram: bytes) -> list[Path]:
        """Whose answer it is. One of an id that nobody knows is the unsettled path's, unless others have spoken
        whose id wasn't heard yet; then it goes to all who may be meant: a client drops what isn't its own."""
        assert self.by_client_id is not None
        is_long = bool(datagram[0] & LONG_HEADER_BIT)
        client_id = _id_of_long_header(datagram) if is_long else self._known_id(datagram)
        path = self.by_client_id.get(client_id)
        if path:
            self.unheard.pop(path, None)
            return [path]
        # Paths that weren't heard of, but haven't spoken since either, are idle: nobody answers them.
        if self.unidentified and all(other.sent == before for other, before in self.unheard.items()):
            path = self.unidentified
            if client_id:
                # Guards against a path in no place: it stays the unsettled one until its id has been read.
                self.unidentified = None
                self.by_client_id[client_id] = path
            return [path]
        return self.paths()

    def _known_id(self, datagram: bytes) -> bytes:
        """The longest known id that a short header may begin with; empty where none does. How long an id is that
        isn't known, a short header doesn't tell."""
        assert self.by_client_id is not None
        lengths = sorted({len(known) for known in self.by_client_id}, reverse=True)
        ids = (datagram[1 : 1 + length] for length in lengths)
        return next((known for known in ids if known in self.by_client_id), b"")

    def remove(self, path: Path) -> bool:
        """A path is gone; whether the place is empty now."""
        if self.by_client_id is None:
            self.sole_path = None
            return True
        for known in [k for k, p in self.by_client_id.items() if p is path]:
            del self.by_client_id[known]
        self.unheard.pop(path, None)
        if self.unidentified is path:
            self.unidentified = None
        return not self.by_client_id and self.unidentified is None
