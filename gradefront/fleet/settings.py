"""deploy/fleet.json: its types, and the check of the whole. A field that isn't here is an error."""

from __future__ import annotations

import os
import stat
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from gradefront.config import ConfigError, address

KEY_OCTETS = 32
KEY_FILE_MODE = 0o077  # nobody but the owner may read or write a file of keys

Where = Annotated[str, Meta(min_length=3, max_length=100)]


class Key(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One key of the fleet; all that are listed open datagrams, the newest seals them."""

    id: Annotated[int, Meta(ge=0, le=255)]
    key_file: str


class FleetFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The whole file."""

    on: bool = False
    listen: Where = "127.0.0.1:7946"
    peers: Annotated[dict[str, Where], Meta(max_length=256)] = {}
    keys: tuple[Key, ...] = ()
    newest: int | None = None
    pace_ms: Annotated[int, Meta(ge=50, le=5_000)] = 200


@dataclass(slots=True, frozen=True)
class FleetConfig:
    """What the fleet runs on."""

    name: str
    listen: tuple[str, int]
    peers: dict[str, tuple[str, int]]
    keys: dict[int, bytes]
    newest: int
    pace_us: int


def parse(text: bytes, name: str, path: Path) -> FleetConfig:
    """The file's meaning for the relay of that name. Raises ConfigError that names file, field and value."""
    try:
        told = msgspec.json.decode(text, type=FleetFile)
        keys = {key.id: _secret(key, n, path.parent) for n, key in enumerate(told.keys)}
        if len(keys) < len(told.keys):
            raise ValueError("keys: an id stands twice")
        newest = told.newest if told.newest is not None else max(keys, default=-1)
        if newest not in keys:
            raise ValueError(f"newest: {newest}: no key has this id")
        if not 1 <= len(name) <= 40:
            raise ValueError(f"the relay's name: {name!r}: must have 1 to 40 characters")
        peers = {}
        for peer, where in told.peers.items():
            if not 1 <= len(peer) <= 40:
                raise ValueError(f"peers: {peer!r}: a name has 1 to 40 characters")
            if peer != name:
                peers[peer] = address(where, f"{path.name}: peers.{peer}")
        return FleetConfig(name, address(told.listen, f"{path.name}: listen"), peers, keys, newest,
                           told.pace_ms * 1000)
    except (msgspec.DecodeError, ValueError) as error:
        if isinstance(error, ConfigError):
            raise
        raise ConfigError(f"{path.name}: {error}") from None


def _secret(key: Key, n: int, folder: Path) -> bytes:
    where = f"keys[{n}].key_file: '{key.key_file}'"
    try:
        with (folder / key.key_file).open("rb") as opened:
            mode = os.fstat(opened.fileno()).st_mode
            if not stat.S_ISREG(mode) or mode & KEY_FILE_MODE:
                raise ValueError(f"{where}: others may read it; its mode must be 600")
            secret = bytes.fromhex(opened.read(4_096).strip().decode("ascii"))
    except OSError as error:
        raise ValueError(f"{where}: {error.strerror}") from None
    if len(secret) != KEY_OCTETS:
        raise ValueError(f"{where}: has {len(secret)} octets, {KEY_OCTETS} are needed, as hex digits")
    return secret
