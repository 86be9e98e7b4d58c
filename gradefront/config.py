"""What a relay is told at its start: environment variables and a JSON file."""

from __future__ import annotations

import json
import math
import re
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from balancer import simulator_wire
from balancer.settings import Settings

Address = tuple[str, int]


CLASS_NAME = re.compile(r"[A-Za-z0-9._-]{1,64}")  # in the settings, and in the first lines that name it
PROCESSES_SHARING = 2  # one that leaves and one that takes over, where they share a listener
MAY_LACK = ("aimStretch",)  # keys that the platform leaves out where they say nothing


class ConfigError(Exception):
    """A setting that is missing or makes no sense; its text names it."""


@dataclass(frozen=True)
class Config:
    """One relay's configuration."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    settings: Settings
    class_names: tuple[str, ...]
    zones: tuple[str, ...]
    models: tuple[str, ...]
    tenants: tuple[str, ...]
    report_names: tuple[str, ...]
    reports_message_latency: bool
    known: dict[str, Any] = field(default_factory=dict)
    filed_discovery: Address | None = None  # what the file itself says, whatever the variable says
    class_numbers: dict[str, int] = field(default_factory=dict)  # of the classes in force, by name
    given: dict[str, Any] = field(default_factory=dict, repr=False)  # the file's object, but for the list
    socket_fd: int | None = None  # a listener that the platform holds and every process of this relay inherits
    admin: Address | None = None  # the admin interface; none where neither file nor variable tells one

    def __post_init__(self) -> None:
        if not self.class_numbers:
            object.__setattr__(self, "class_numbers", {name: n for n, name in enumerate(self.class_names)})


def address(text: object, what: str) -> Address:
    """`HOST:PORT`, with an IPv6 host in brackets."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ConfigError(f"{what}: '{text}' is not HOST:PORT")
    return host.strip("[]"), int(port)


def load(environment: Mapping[str, str]) -> Config:
    """Read the file that LB_CONFIG names; the other variables go before what it says."""
    if "LB_CONFIG" not in environment:
        raise ConfigError("LB_CONFIG: not set; it names the relay's JSON file")
    path = Path(environment["LB_CONFIG"])
    try:
        told = json.loads(path.read_bytes())
    except OSError as error:
        raise ConfigError(f"LB_CONFIG: {path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"LB_CONFIG: {path}: not JSON: {error}") from None
    if not isinstance(told, dict) or not isinstance(told.get("settings"), dict):
        raise ConfigError("settings: missing")
    return parse(told, environment)


def parse(told: dict[str, Any], environment: Mapping[str, str]) -> Config:
    """The configuration from the file's object. An error of any kind is a `ConfigError`: a file that is
    replaced under load may hold anything, and must not end a relay that serves."""
    try:
        return _parse(told, environment)
    except (TypeError, ValueError, AttributeError, KeyError, OverflowError) as error:
        raise ConfigError(f"not of the right form: {error}") from None


def _parse(told: dict[str, Any], environment: Mapping[str, str]) -> Config:
    info = told["settings"]
    _check(info)
    try:
        settings, report_names = simulator_wire.settings(info)
    except (simulator_wire.WireError, ValueError, TypeError) as error:
        raise ConfigError(f"settings: {error}") from None

    def names(key: str) -> tuple[str, ...]:
        return tuple(str(e.get("name") if isinstance(e, dict) else e) for e in info.get(key) or ())

    limits = told.get("limits") or {}
    family = info.get("familyInfo") or {}
    known = told.get("known")
    filed = address(told["discovery"], "discovery") if told.get("discovery") else None
    admin = environment.get("LB_ADMIN") or told.get("admin")
    fd = environment.get("LB_SOCKET_FD")
    if fd and not (fd.isascii() and fd.isdigit()):
        raise ConfigError(f"LB_SOCKET_FD: '{fd}' is not the number of a descriptor")
    if fd:
        settings = replace(settings, processes=PROCESSES_SHARING)
    sockets = int(limits.get("sockets", 1024))
    if sockets < 1:
        raise ConfigError(f"limits.sockets: '{sockets}' is not above 0")
    return Config(
        name=environment.get("LB_NAME") or str(told.get("name", "relay")),
        listen=address(environment.get("LB_LISTEN") or told.get("listen"), "LB_LISTEN"),
        discovery=address(environment.get("LB_DISCOVERY") or told.get("discovery"), "LB_DISCOVERY"),
        seed=_seed(told.get("seed", 0)),
        sockets=sockets,
        settings=settings,
        class_names=names("grades"),
        zones=names("zones"),
        models=names("models"),
        tenants=names("parties"),
        report_names=report_names,
        reports_message_latency=bool(family.get("tellsDelay", False)),
        known=known if isinstance(known, dict) else {},
        filed_discovery=filed,
        socket_fd=int(fd) if fd else None,
        given={**told, "known": {}},
        admin=address(admin, "LB_ADMIN") if admin else None,
    )


def _check(info: dict[str, Any]) -> None:
    """What no relay may take: names that lines can't carry, times and limits that are no numbers above 0."""
    seen = set[str]()
    for n, grade in enumerate(info.get("grades") or ()):
        where = f"settings.grades[{n}]"
        name = grade.get("name")
        if not isinstance(name, str) or not CLASS_NAME.fullmatch(name):
            raise ConfigError(f"{where}.name: {name!r} is no name of a class")
        if name in seen:
            raise ConfigError(f"{where}.name: '{name}' stands twice")
        seen.add(name)
        for key in ("aimUs", "deadlineUs"):
            _above_0(grade.get(key), f"{where}.{key}")
    allow = info.get("permissions") or {}
    for key in ("maxAttempts", "connectTimeoutUs"):
        if key in allow:
            _above_0(allow[key], f"settings.permissions.{key}", whole=key == "maxAttempts")


def _above_0(value: object, where: str, whole: bool = False) -> None:
    number = isinstance(value, (int, float)) and not isinstance(value, bool) and math.isfinite(value)
    if not number or value < 1 or (whole and value != int(value)):  # type: ignore[operator, call-overload]
        raise ConfigError(f"{where}: {value!r} is not a number above 0")


def lacks(told: Any, before: Any, where: str = "") -> str:
    """The path of a key that the object before had and this one lacks, or "". Guards against taking a file that
    was cut short or written by half: what it leaves out would silently be a default."""
    for key, value in before.items():
        path = f"{where}.{key}".lstrip(".")
        if key in MAY_LACK:
            continue
        if key not in told:
            return path
        found = ""
        if isinstance(value, dict):
            found = lacks(told[key], value, path) if isinstance(told[key], dict) else path
        elif key == "grades" and isinstance(told[key], list):
            common = set.intersection(*(set(grade) for grade in value)) if value else set()
            for n, grade in enumerate(told[key]):
                found = found or lacks(grade, dict.fromkeys(sorted(common)), f"{path}[{n}]")
        if found:
            return found
    return ""


def _seed(value: object) -> int:
    if isinstance(value, int):
        return value
    try:
        return int(str(value), 16)
    except ValueError:
        raise ConfigError(f"seed: '{value}' is neither a number nor hex digits") from None
