"""Configuration of a relay: environment variables, and the JSON file that LB_CONFIG names.

The platform defines the names of the variables and of the keys in the file. This module and
`balancer.simulator_wire` map them to the names used in the code.
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

CLASS_NAME = re.compile(r"[A-Za-z0-9._-]{1,64}")  # used in the settings and in the first line of a request
PROCESSES_SHARING_LISTENER = 2  # during an upgrade: the stopping process and its successor
OPTIONAL_KEYS = ("aimStretch",)  # the platform omits them from the file if they have no effect
DEFAULT_SOCKETS = 1024
MAX_PORT = 65_535


class ConfigError(Exception):
    """An invalid configuration. The message names the file or the setting at fault."""


class SettingError(ConfigError):
    """One missing or invalid setting.

    `field` is the name of the environment variable, or the path of the key in the file; `problem` describes the
    fault.
    """

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"{field}: {problem}")
        self.field = field
        self.problem = problem


@dataclass(frozen=True)
class Config:
    """The configuration of one relay."""

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
    initial_endpoints: dict[str, Any] = field(default_factory=dict)  # the key `known`, until discovery answers
    file_discovery: Address | None = None  # the address in the file, even if LB_DISCOVERY overrides it
    class_numbers: dict[str, int] = field(default_factory=dict)  # number of each class in force, by name
    document: dict[str, Any] = field(default_factory=dict, repr=False)  # the file's JSON object without `known`
    socket_fd: int | None = None  # a listener held by the platform; each process of this relay inherits it
    admin: Address | None = None  # address of the admin interface; None: not configured

    def __post_init__(self) -> None:
        if not self.class_numbers:
            object.__setattr__(self, "class_numbers", {name: n for n, name in enumerate(self.class_names)})


def parse_address(text: object, setting: str) -> Address:
    """Parse `HOST:PORT`; an IPv6 host is in brackets. Raises SettingError with `setting` as its field."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        raise SettingError(setting, f"'{text}' is not HOST:PORT")
    return host.strip("[]"), int(port)


def load(environment: Mapping[str, str]) -> Config:
    """Read the file that LB_CONFIG names; the other environment variables override its values. Raises ConfigError."""
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
    """Build the configuration from the JSON object of the file and the environment variables.

    Raises ConfigError for every kind of invalid input: the file may be replaced with any content while the relay
    serves, and must not end the process.
    """
    try:
        return _parse(document, environment)
    except (TypeError, ValueError, AttributeError, KeyError, OverflowError) as error:
        raise ConfigError(f"invalid structure: {error}") from None


def _parse(document: dict[str, Any], environment: Mapping[str, str]) -> Config:
    info = document["settings"]
    _check_settings(info)
    try:
        settings, report_names = simulator_wire.settings(info)
    except (simulator_wire.WireError, ValueError, TypeError) as error:
        raise SettingError("settings", str(error)) from None
    limits = document.get("limits") or {}
    family = info.get("familyInfo") or {}
    initial_endpoints = document.get("known")
    file_discovery = parse_address(document["discovery"], "discovery") if document.get("discovery") else None
    admin = environment.get("LB_ADMIN") or document.get("admin")
    socket_fd = _socket_fd(environment.get("LB_SOCKET_FD"))
    if socket_fd is not None:
        settings = replace(settings, processes=PROCESSES_SHARING_LISTENER)
    sockets = int(limits.get("sockets", DEFAULT_SOCKETS))
    if sockets < 1:
        raise SettingError("limits.sockets", f"'{sockets}' must be at least 1")
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
        initial_endpoints=initial_endpoints if isinstance(initial_endpoints, dict) else {},
        file_discovery=file_discovery,
        socket_fd=socket_fd,
        document={**document, "known": {}},
        admin=parse_address(admin, "LB_ADMIN") if admin else None,
    )


def _names(info: dict[str, Any], key: str) -> tuple[str, ...]:
    """Return the names in the list under `key`, whose entries are names or objects with a `name`."""
    return tuple(str(entry.get("name") if isinstance(entry, dict) else entry) for entry in info.get(key) or ())


def _socket_fd(text: str | None) -> int | None:
    if not text:
        return None
    if not (text.isascii() and text.isdigit()):
        raise SettingError("LB_SOCKET_FD", f"'{text}' is not a descriptor number")
    return int(text)


def _seed(value: object) -> int:
    if isinstance(value, int):
        return value
    try:
        return int(str(value), 16)
    except ValueError:
        raise SettingError("seed", f"'{value}' is neither an integer nor hex digits") from None


def _check_settings(info: dict[str, Any]) -> None:
    """Raise SettingError for class names that a request line cannot carry and for times and limits below 1."""
    seen = set[str]()
    for index, request_class in enumerate(info.get("grades") or ()):
        path = f"settings.grades[{index}]"
        name = request_class.get("name")
        if not isinstance(name, str) or not CLASS_NAME.fullmatch(name):
            raise SettingError(f"{path}.name", f"{name!r} is not a valid class name")
        if name in seen:
            raise SettingError(f"{path}.name", f"'{name}' is used by two classes")
        seen.add(name)
        for key in ("aimUs", "deadlineUs"):
            _require_positive(request_class.get(key), f"{path}.{key}")
    permissions = info.get("permissions") or {}
    for key in ("maxAttempts", "connectTimeoutUs"):
        if key in permissions:
            _require_positive(permissions[key], f"settings.permissions.{key}", whole=key == "maxAttempts")


def _require_positive(value: object, path: str, whole: bool = False) -> None:
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool) and math.isfinite(value)
    if not is_number or value < 1 or (whole and value != int(value)):  # type: ignore[operator, call-overload]
        raise SettingError(path, f"{value!r} is not a number of at least 1")


def missing_key(document: Any, before: Any, parent: str = "") -> str:
    """Return the path of the first key that `before` has and `document` lacks, or "".

    Prevents a truncated or half-written file from being applied: each missing key would silently get its default.
    """
    for key, value in before.items():
        if key in OPTIONAL_KEYS:
            continue
        path = f"{parent}.{key}".lstrip(".")
        if key not in document:
            return path
        if missing := _missing_below(key, document[key], value, path):
            return missing
    return ""


def _missing_below(key: str, value: Any, before: Any, path: str) -> str:
    """Search the value of one key like `missing_key`.

    Each request class needs the keys that all classes had before.
    """
    if isinstance(before, dict):
        return missing_key(value, before, path) if isinstance(value, dict) else path
    if key == "grades" and isinstance(value, list):
        common = set.intersection(*(set(request_class) for request_class in before)) if before else set()
        for index, request_class in enumerate(value):
            if missing := missing_key(request_class, dict.fromkeys(sorted(common)), f"{path}[{index}]"):
                return missing
    return ""
