"""Settings of the QUIC front: listen addresses, server ids of the backends, and limits of the listeners.

The whole file is validated, and an error names the file, the field and the value. msgspec checks the types; it is
imported only if the front is on or its file is being checked.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from gradefront.config import Address, Config, ConfigError, parse_address
from gradefront.settings.files import parse_hex, read_key

from . import FILE
from .ids import IdDecoder, IdForm
from .tokens import TokenKey


@dataclass(frozen=True)
class QuicBackend:
    """A backend's address, server ids and stateless reset key."""

    server_ids: tuple[bytes, ...]
    address: Address
    reset_key: bytes = field(repr=False)


@dataclass(frozen=True)
class QuicConfig:
    """The QUIC front's settings.

    Request classes are held by name, because a class's number changes when a reload changes its rules.
    """

    listen: dict[str, Address]  # by request class
    forms: tuple[IdForm, ...]
    backends: dict[str, QuicBackend]
    path_idle_us: int
    connection_idle_us: int
    confirm_us: int
    most_paths: int
    most_ports: int
    port_share: int
    limits: Any  # routing.admission.Limits
    token_keys: dict[int, TokenKey] = field(repr=False)
    newest_token_key: int = 0
    token_life_us: int = 10_000_000
    class_of_protocol: dict[str, str] = field(default_factory=dict)
    class_of_name: dict[str, str] = field(default_factory=dict)

    def id_decoder(self) -> IdDecoder:
        """Return a decoder of all configurations."""
        return IdDecoder(self.forms)

    def server_ids(self) -> dict[tuple[int, bytes], str]:
        """Return the backends' names by configuration number and server id."""
        return {
            (form.number, server_id): name
            for name, backend in self.backends.items()
            for server_id in backend.server_ids
            for form in self.forms
            if len(server_id) == form.server_id_length
        }


def parse(given: dict[str, Any], config: Config, path: Path = FILE) -> QuicConfig:
    """Build the settings from the file's JSON object. Raises ConfigError, which names file, field and value."""
    from gradefront.settings.typed import convert

    from .settings import QuicFile

    try:
        return _build(convert(given, QuicFile), config, path.parent)
    except (ValueError, ConfigError) as error:
        raise ConfigError(f"{path.name}: {error}") from None


def _build(file: Any, config: Config, folder: Path) -> QuicConfig:
    forms = _forms(file, folder)
    backends = _backends(file, forms)
    limits, retry = _limits(file), file.retry
    keys = {
        key.sequence: TokenKey(
            read_key(key.key, key.key_file, 16, f"retry.keys[{n}]", folder),
            parse_hex(key.iv, f"retry.keys[{n}].iv", 12),
        )
        for n, key in enumerate(retry.keys)
    }
    if len(keys) < len(retry.keys):
        raise ValueError("retry.keys: two keys have the same sequence")
    newest = retry.newest if retry.newest is not None else (retry.keys[-1].sequence if retry.keys else 0)
    if retry.mode != "never" and newest not in keys:
        raise ValueError(f"retry.newest: {newest}: no key has this sequence, and mode is '{retry.mode}'")
    return QuicConfig(
        listen={
            _class(name, config, "listen"): parse_address(address, f"listen.{name}")
            for name, address in file.listen.items()
        },
        forms=forms,
        backends=backends,
        path_idle_us=round(file.path_idle_s * 1e6),
        connection_idle_us=round(file.connection_idle_s * 1e6),
        confirm_us=round(file.confirm_s * 1e6),
        most_paths=file.most_paths,
        most_ports=file.most_ports,
        port_share=file.port_share,
        limits=limits,
        token_keys=keys,
        newest_token_key=newest,
        token_life_us=round(retry.life_s * 1e6),
        class_of_protocol={p: _class(name, config, f"classes.alpn.{p}") for p, name in file.classes.alpn.items()},
        class_of_name={n.lower(): _class(name, config, f"classes.sni.{n}") for n, name in file.classes.sni.items()},
    )


def _class(name: str, config: Config, setting: str) -> str:
    if name not in config.class_numbers:
        raise ValueError(f"{setting}: no class is named '{name}'")
    return name


def _forms(file: Any, folder: Path) -> tuple[IdForm, ...]:
    entries = list(file.ids)
    if not entries:  # the older file format: a single configuration, whose fields are at the file's top level
        for name in ("config_id", "server_id_length", "nonce_length"):
            if getattr(file, name) is None:
                raise ValueError(f"{name}: missing")
        return (IdForm(file.config_id, file.server_id_length, file.nonce_length, file.id_encodes_length),)
    forms = []
    for n, entry in enumerate(entries):
        key = read_key(entry.key, entry.key_file, 16, f"ids[{n}]", folder) if entry.key or entry.key_file else None
        try:
            forms.append(
                IdForm(entry.config_id, entry.server_id_length, entry.nonce_length, entry.encodes_length, key)
            )
        except ValueError as error:
            raise ValueError(f"ids[{n}].{error}") from None
    try:
        IdDecoder(forms)
    except ValueError as error:
        raise ValueError(f"ids: {error}") from None
    return tuple(forms)


def _backends(file: Any, forms: Iterable[IdForm]) -> dict[str, QuicBackend]:
    from gradefront.settings.typed import convert

    from .settings import BackendEntry

    lengths = {form.server_id_length for form in forms}
    backends: dict[str, QuicBackend] = {}
    owners: dict[bytes, str] = {}
    for name, entry in file.backends.items():
        backend = convert(entry, BackendEntry, f"boxes.{name}")
        texts = ([backend.server_id] if backend.server_id else []) + list(backend.server_ids)
        if not texts:
            raise ValueError(f"boxes.{name}.server_id: missing")
        ids = []
        for text in texts:
            server_id = parse_hex(text, f"boxes.{name}.server_id")
            if len(server_id) not in lengths:
                expected = " or ".join(map(str, sorted(lengths)))
                raise ValueError(f"boxes.{name}.server_id: '{text}' is not {expected} octets")
            if server_id in owners:
                raise ValueError(f"boxes.{name}.server_id: '{text}': {owners[server_id]} has the same server_id")
            owners[server_id] = name
            ids.append(server_id)
        backends[name] = QuicBackend(
            tuple(ids),
            parse_address(backend.address, f"boxes.{name}.address"),
            parse_hex(backend.reset_key, f"boxes.{name}.reset_key"),
        )
    return backends


def _limits(file: Any) -> Any:
    from gradefront.routing.admission import Limits, ProofMode
    from gradefront.routing.networks import NetworkSet, Prefixes

    given = file.limits
    sets = []
    for name in ("allow", "deny"):
        try:
            sets.append(NetworkSet(getattr(given, name)))
        except ValueError as error:
            raise ValueError(f"limits.{name}: {error}") from None
    allow, deny = sets
    if both := allow.overlap(deny):
        raise ValueError(f"limits.deny: '{both}' is in limits.allow too")
    try:
        prefixes = Prefixes(given.prefix_v4, given.prefix_v6)
    except ValueError as error:
        raise ValueError(f"limits.{error}") from None
    return Limits(
        proof_mode=ProofMode(file.retry.mode),
        pressure=given.pressure,
        address_rate=given.address_rate,
        address_burst=given.address_burst,
        network_rate=given.network_rate,
        network_burst=given.network_burst,
        unknown_rate=given.unknown_rate,
        refusal_rate=given.refusal_rate,
        cpu_share=given.cpu_share,
        most_waiting=file.most_waiting,
        allow=allow,
        deny=deny,
        prefixes=prefixes,
    )
