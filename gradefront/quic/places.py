"""Slots of the upstream ports: one backend at one port, and the paths whose answers arrive there.

A slot usually has one path. When no more ports are available, paths share a slot. They are distinguished by the
client ids that the backend sends to, and at most one of them may have an unknown client id.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .headers import LONG_HEADER_BIT

if TYPE_CHECKING:
    from .paths import Path

LONG_HEADER_ID_OFFSET = 6  # octets before the destination id in a long header: flags, version, length


def _id_of_long_header(datagram: bytes) -> bytes:
    """Return the destination id in a long header; empty if the client's id is empty or the datagram truncated."""
    if len(datagram) <= LONG_HEADER_ID_OFFSET:
        return b""
    end = LONG_HEADER_ID_OFFSET + datagram[LONG_HEADER_ID_OFFSET - 1]
    return datagram[LONG_HEADER_ID_OFFSET:end] if end <= len(datagram) else b""


class PortSlot:
    """One backend at one port, and the paths whose answers arrive there."""

    __slots__ = ("sole_path", "by_client_id", "unidentified", "unheard")

    def __init__(self, path: Path) -> None:
        self.sole_path: Path | None = path
        self.by_client_id: dict[bytes, Path] | None = None  # set once the slot is shared
        self.unidentified: Path | None = None
        self.unheard: dict[Path, int] = {}  # paths whose ids no answer has shown yet, and their sent count on entry

    def paths(self) -> list[Path]:
        """Return all paths of the slot."""
        if self.by_client_id is None:
            return [self.sole_path] if self.sole_path else []
        members = dict.fromkeys(self.by_client_id.values())
        if self.unidentified:
            members[self.unidentified] = None
        return list(members)

    def accepts(self, client_id: bytes, present_id: bytes) -> bool:
        """Return whether a path with this client id (empty: unknown) may be added. Only one path may be without a
        known id. `present_id` is the id of the sole path, if the slot is not shared yet."""
        has_unidentified = self.unidentified is not None if self.by_client_id is not None else not present_id
        if not client_id:
            return not has_unidentified
        return client_id not in (self.by_client_id or (present_id,))

    def add(self, path: Path, client_id: bytes, present_id: bytes) -> None:
        """Add a path. If the slot was not shared, its sole path is entered under `present_id` or as the path without
        a known id."""
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
        """Set the client id of the path that had no known id."""
        if (
            self.unidentified is path
            and self.by_client_id is not None
            and client_id
            and client_id not in self.by_client_id
        ):
            self.unidentified = None
            self._enter(path, client_id)

    def find_receivers(self, datagram: bytes) -> list[Path]:
        """Return the paths that an answer may belong to.

        An answer with an unknown id belongs to the path without a known id, unless other paths have sent datagrams
        and no answer has shown their id yet. In that case it goes to all paths: clients drop packets that are not
        theirs.
        """
        assert self.by_client_id is not None
        is_long = bool(datagram[0] & LONG_HEADER_BIT)
        client_id = _id_of_long_header(datagram) if is_long else self._longest_known_id(datagram)
        path = self.by_client_id.get(client_id)
        if path:
            self.unheard.pop(path, None)
            return [path]
        # Paths that have sent nothing since they entered expect no answer.
        if self.unidentified and all(other.sent == before for other, before in self.unheard.items()):
            path = self.unidentified
            if client_id:
                # Only with a readable id: otherwise the path would be in neither table and lose its answers.
                self.unidentified = None
                self.by_client_id[client_id] = path
            return [path]
        return self.paths()

    def _longest_known_id(self, datagram: bytes) -> bytes:
        """Return the longest known id that matches a short header; empty if none does. A short header does not
        contain the length of its id."""
        assert self.by_client_id is not None
        lengths = sorted({len(known) for known in self.by_client_id}, reverse=True)
        ids = (datagram[1 : 1 + length] for length in lengths)
        return next((known for known in ids if known in self.by_client_id), b"")

    def remove(self, path: Path) -> bool:
        """Remove a path; return whether the slot is empty now."""
        if self.by_client_id is None:
            self.sole_path = None
            return True
        for known in [k for k, p in self.by_client_id.items() if p is path]:
            del self.by_client_id[known]
        self.unheard.pop(path, None)
        if self.unidentified is path:
            self.unidentified = None
        return not self.by_client_id and self.unidentified is None
