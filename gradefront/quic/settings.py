"""The types of `quic.json`. Unknown fields are errors, so that a misspelt name cannot silently disable a limit."""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

Rate = Annotated[float, Meta(gt=0, le=1e6)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Seconds = Annotated[float, Meta(gt=0, le=86_400)]


class Section(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Base of all sections of the file."""


class Ids(Section, frozen=True):
    """One configuration of connection ids (draft-ietf-quic-load-balancers)."""

    config_id: int
    server_id_length: int
    nonce_length: int
    encodes_length: bool = msgspec.field(name="tells_length", default=True)
    key: str = ""
    key_file: str = ""


class BackendEntry(Section, frozen=True):
    """A backend's entry under `boxes`."""

    address: str
    reset_key: str
    server_id: str = ""
    server_ids: tuple[str, ...] = ()


class RetryKey(Section, frozen=True):
    """One of the Retry token keys that relays and backends share."""

    sequence: Annotated[int, Meta(ge=0, le=127)]
    iv: str
    key: str = ""
    key_file: str = ""


class Retry(Section, frozen=True):
    """Address validation by Retry."""

    mode: Literal["never", "always", "auto"] = "never"
    keys: tuple[RetryKey, ...] = ()
    newest: int | None = None
    life_s: Seconds = 10.0


class ListenerLimits(Section, frozen=True):
    """Limits of the listeners; rates are per second."""

    pressure: Rate = 200.0
    address_rate: Rate = 100.0
    address_burst: Rate = 1_000.0
    network_rate: Rate = 400.0
    network_burst: Rate = 2_000.0
    unknown_rate: Rate = 200.0
    refusal_rate: Rate = 100.0
    cpu_share: Annotated[float, Meta(gt=0, le=1)] = 0.25
    prefix_v4: int = 24
    prefix_v6: int = 56
    allow: tuple[str, ...] = ()
    deny: tuple[str, ...] = ()


class Classes(Section, frozen=True):
    """Request classes by ALPN protocol and server name, which take precedence over the listening port."""

    alpn: dict[str, str] = {}
    sni: dict[str, str] = {}


class QuicFile(Section, frozen=True):
    """The whole file."""

    listen: dict[str, str]
    #: BackendEntry values, checked one by one so that errors name the backend.
    backends: dict[str, Any] = msgspec.field(name="boxes")
    on: bool = False
    config_id: int | None = None
    server_id_length: int | None = None
    nonce_length: int | None = None
    id_encodes_length: bool = msgspec.field(name="id_tells_length", default=True)
    ids: tuple[Ids, ...] = ()
    path_idle_s: Seconds = 20.0
    connection_idle_s: Seconds = msgspec.field(name="visit_idle_s", default=30.0)
    confirm_s: Seconds = 3.0
    most_paths: Count = 8_192
    most_ports: Annotated[int, Meta(ge=1, le=60_000)] = 768
    port_share: Annotated[int, Meta(ge=1, le=64)] = 4
    most_waiting: Count = 256
    retry: Retry = Retry()
    limits: ListenerLimits = ListenerLimits()
    classes: Classes = Classes()
