"""A relay's configuration: environment variables and the JSON file that one of them names.

The keys of the file and the variables are the platform's: they are mapped to the code's names here and in
`balancer.simulator_wire`.
"""

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
PROCESSES_SHARING_LISTENER = 2  # one that leaves and one that takes over
OPTIONAL_KEYS = ("aimStretch",)  # the platform leaves them out where they have no effect
DEFAULT_SOCKETS = 1024
MAX_PORT = 65_535


class ConfigError(Exception):
    """An invalid configuration; its text names the file or the setting at fault."""


class SettingError(ConfigError):
    """One setting that is missing or invalid.

    `field` is the variable, or the key's path in the file; `problem` says what is wrong with it.
    """

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"{field}: {problem}")
        self.field = field
        self.problem = problem


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
    known: dict[str, Any] = field(default_factory=dict)  # the endpoint list to begin with
    filed_discovery: Address | None = None  # what the file itself says, whatever the variable says
    class_numbers: dict[str, int] = field(default_factory=dict)  # of the classes in force, by name
    document: dict[str, Any] = field(default_factory=dict, repr=False)  # the file's object, but for the endpoint list
    socket_fd: int | None = None  # a listener that the platform holds and every process of this relay inherits
    admin: Address | None = None  # the admin interface; none where neither file nor variable gives one

    def __post_init__(self) -> None:
        if not self.class_numbers:
            object.__setattr__(self, "class_numbers", {name: n for n, name in enumerate(self.class_names)})


def parse_address(text: object, what: str) -> Address:
    """Read `HOST:PORT`, with an IPv6 host in brackets. Raises SettingError for the field `what`."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        raise SettingError(what, f"'{text}' is not HOST:PORT")
    return host.strip("[]"), int(port)


def load(environment: Mapping[str, str]) -> Config:
    """Read the file that LB_CONFIG names; the other variables override it. Raises ConfigError."""
    if "LB_CONFIG" not in environment:
        raise SettingError("LB_CONFIG", "not set; it names the relay's JSON file")
    path = Path(environment["LB_CONFIG"])
    try:
        document = json.loads(path.read_bytes())
    except OSError as error:
        raise SettingError("LB_CONFIG", f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise SettingError("LB_CONFIG", f"{path}: not JSON: {error}") from None
    if not isinstance(document, dict) or not isinstance(document.get("settings"), dict):
        raise SettingError("settings", "missing")
    return parse(document, environment)


def parse(document: dict[str, Any], environment: Mapping[str, str]) -> Config:
    """The configuration that the file's object and the variables give.

    Raises ConfigError, whatever is wrong: a file that is replaced under load may hold anything, and must not end a
    relay that serves.
    """
    try:
        return _parse(document, environment)
    except (TypeError, ValueError, AttributeError, KeyError, OverflowError) as error:
        raise ConfigError(f"not of the right form: {error}") from None


def _parse(document: dict[str, Any], environment: Mapping[str, str]) -> Config:
    info = document["settings"]
    _check(info)
    try:
        settings, report_names = simulator_wire.settings(info)
    except (simulator_wire.WireError, ValueError, TypeError) as error:
        raise SettingError("settings", str(error)) from None
    limits = document.get("limits") or {}
    family = info.get("familyInfo") or {}
    known = document.get("known")
    filed_discovery = parse_address(document["discovery"], "discovery") if document.get("discovery") else None
    admin = environment.get("LB_ADMIN") or document.get("admin")
    socket_fd = _socket_fd(environment.get("LB_SOCKET_FD"))
    if socket_fd is not None:
        settings = replace(settings, processes=PROCESSES_SHARING_LISTENER)
    sockets = int(limits.get("sockets", DEFAULT_SOCKETS))
    if sockets < 1:
        raise SettingError("limits.sockets", f"'{sockets}' is not above 0")
    return Config(
        name=environment.get("LB_NAME") or str(document.get("name", "relay")),
        listen=parse_address(environment.get("LB_LISTEN") or document.get("listen"), "LB_LISTEN"),
        discovery=parse_address(environment.get("LB_DISCOVERY") or document.get("discovery"), "LB_DISCOVERY"),
        seed=_seed(document.get("seed", 0)),
        sockets=sockets,
        settings=settings,
        class_names=_names(info, "grades"),
        zones=_names(info, "zones"),
        models=_names(info, "models"),
        tenants=_names(info, "parties"),
        report_names=report_names,
        reports_message_latency=bool(family.get("tellsDelay", False)),
        known=known if isinstance(known, dict) else {},
        filed_discovery=filed_discovery,
        socket_fd=socket_fd,
        document={**document, "known": {}},
        admin=parse_address(admin, "LB_ADMIN") if admin else None,
    )


def _names(info: dict[str, Any], key: str) -> tuple[str, ...]:
    """The names under a key whose entries are names, or objects that have one."""
    return tuple(str(e.get("name") if isinstance(e, dict) else e) for e in info.get(key) or ())


def _socket_fd(text: str | None) -> int | None:
    if not text:
        return None
    if not (text.isascii() and text.isdigit()):
        raise SettingError("LB_SOCKET_FD", f"'{text}' is not the number of a descriptor")
    return int(text)


def _seed(value: object) -> int:
    if isinstance(value, int):
        return value
    try:
        return int(str(value), 16)
    except ValueError:
        raise SettingError("seed", f"'{value}' is neither a number nor hex digits") from None


def _check(info: dict[str, Any]) -> None:
    """Reject what no relay may take: class names that lines can't carry, times and limits that are not above 0."""
    seen = set[str]()
    for n, request_class in enumerate(info.get("grades") or ()):
        where = f"settings.grades[{n}]"
        name = request_class.get("name")
        if not isinstance(name, str) or not CLASS_NAME.fullmatch(name):
            raise SettingError(f"{where}.name", f"{name!r} is no name of a class")
        if name in seen:
            raise SettingError(f"{where}.name", f"'{name}' stands twice")
        seen.add(name)
        for key in ("aimUs", "deadlineUs"):
            _check_above_0(request_class.get(key), f"{where}.{key}")
    permissions = info.get("permissions") or {}
    for key in ("maxAttempts", "connectTimeoutUs"):
        if key in permissions:
            _check_above_0(permissions[key], f"settings.permissions.{key}", whole=key == "maxAttempts")


def _check_above_0(value: object, where: str, whole: bool = False) -> None:
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool) and math.isfinite(value)
    if not is_number or value < 1 or (whole and value != int(value)):  # type: ignore[operator, call-overload]
        raise SettingError(where, f"{value!r} is not a number above 0")


def missing_key(document: Any, before: Any, where: str = "") -> str:
    """The path of a key that the object `before` had and `document` lacks, or "".

    Prevents a truncated or half-written file from being applied: what it leaves out would silently be a default.
    """
    for key, value in before.items():
        if key in OPTIONAL_KEYS:
            continue
        path = f"{where}.{key}".lstrip(".")
        if key not in document:
            return path
        if missing := _missing_below(key, document[key], value, path):
            return missing
    return ""


def _missing_below(key: str, value: Any, before: Any, path: str) -> str:
    """The same within the value of one key; the classes of a list need the keys that all classes had before."""
    if isinstance(before, dict):
        return missing_key(value, before, path) if isinstance(value, dict) else path
    if key == "grades" and isinstance(value, list):
        common = set.intersection(*(set(request_class) for request_class in before)) if before else set()
        for n, request_class in enumerate(value):
            if missing := missing_key(request_class, dict.fromkeys(sorted(common)), f"{path}[{n}]"):
                return missing
    return ""
