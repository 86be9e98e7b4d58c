"""deploy/fleet.json: its fields and its check as a whole. An unknown field is an error."""

from __future__ import annotations

from dataclasses import dataclass
from ipaddress import ip_address
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from gradefront.config import ConfigError, parse_address
from gradefront.settings.files import read_key
from gradefront.settings.typed import convert

KEY_OCTETS = 32
MAX_NAME_LENGTH = 40

HostPort = Annotated[str, Meta(min_length=3, max_length=100)]


class Key(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One key of the fleet: every listed one opens datagrams, the newest seals them."""

    id: Annotated[int, Meta(ge=0, le=255)]
    key_file: str


class FleetFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The file."""

    on: bool = False
    listen: HostPort = "127.0.0.1:7946"
    peers: Annotated[dict[str, HostPort], Meta(max_length=256)] = {}
    keys: tuple[Key, ...] = ()
    newest: int | None = None  # id of the key that seals; the highest one by default
    pace_ms: Annotated[int, Meta(ge=50, le=5_000)] = 200


@dataclass(slots=True, frozen=True)
class FleetConfig:
    """What the fleet runs on: this relay's name, addresses as (host, port), keys by id, the protocol period."""

    name: str
    listen: tuple[str, int]
    peers: dict[str, tuple[str, int]]
    keys: dict[int, bytes]
    sealing_key_id: int
    period_us: int


def parse(content: dict[str, Any], name: str, path: Path) -> FleetConfig:
    """The configuration of the relay `name`. Raises ConfigError that names file, field and value."""
    try:
        file = convert(content, FleetFile)
        keys = {key.id: _key(key, index, path.parent) for index, key in enumerate(file.keys)}
        if len(keys) < len(file.keys):
            raise ValueError("keys: an id stands twice")
        newest = file.newest if file.newest is not None else max(keys, default=-1)
        if newest not in keys:
            raise ValueError(f"newest: {newest}: no key has this id")
        if not 1 <= len(name) <= MAX_NAME_LENGTH:
            raise ValueError(f"the relay's name: {name!r}: must have 1 to {MAX_NAME_LENGTH} characters")
        listen = _numeric_address(file.listen, f"{path.name}: listen")
        peers = {}
        for peer, peer_address in file.peers.items():
            if not 1 <= len(peer) <= MAX_NAME_LENGTH:
                raise ValueError(f"peers: {peer!r}: a name has 1 to {MAX_NAME_LENGTH} characters")
            if peer != name:
                peers[peer] = _numeric_address(peer_address, f"{path.name}: peers.{peer}")
                if (":" in peers[peer][0]) is not (":" in listen[0]):
                    raise ValueError(f"peers.{peer}: '{peer_address}': not of the same kind of address as listen")
        return FleetConfig(name, listen, peers, keys, newest, file.pace_ms * 1000)
    except ValueError as error:
        raise ConfigError(f"{path.name}: {error}") from None


def _key(key: Key, index: int, folder: Path) -> bytes:
    octets = read_key("", key.key_file, 0, f"keys[{index}]", folder)
    if len(octets) != KEY_OCTETS:
        raise ValueError(
            f"keys[{index}].key_file: '{key.key_file}': has {len(octets)} octets, "
            f"{KEY_OCTETS} are needed, as hex digits"
        )
    return octets


def _numeric_address(text: str, where: str) -> tuple[str, int]:
    """A numeric address. Guards against a host name, which a datagram socket does not resolve."""
    host, port = parse_address(text, where)
    try:
        ip_address(host)
    except ValueError:
        raise ConfigError(f"{where}: '{text}': an address of numbers is needed, no name") from None
    return host, port
