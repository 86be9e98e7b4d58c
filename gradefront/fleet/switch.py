"""Whether the fleet is on. Imports its settings, and with them its libraries, only where it is."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import TYPE_CHECKING

from gradefront.config import Config, ConfigError

if TYPE_CHECKING:
    from .settings import FleetConfig

FORBIDDEN = "on: true: the settings don't let relays talk to each other (permissions.peers)"
FILE = Path(__file__).resolve().parent.parent.parent / "deploy" / "fleet.json"


def fleet_file() -> Path:
    """The fleet's file."""
    return Path(os.environ.get("GRADEFRONT_FLEET", FILE))


def allowed(config: Config) -> bool:
    """Whether the platform lets relays talk to each other."""
    permissions = config.told["settings"].get("permissions") or {}
    return bool(permissions.get("peers"))


def read(path: Path) -> tuple[bytes, bool] | None:
    """The file's text, and whether it says on; None where there is no file. Raises ConfigError."""
    try:
        text = path.read_bytes()
        told = json.loads(text)
    except FileNotFoundError:
        return None
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path.name}: {error}") from None
    if not isinstance(told, dict):
        raise ConfigError(f"{path.name}: not an object")
    return text, bool(told.get("on"))


def load(config: Config, path: Path) -> FleetConfig | None:
    """What the fleet runs on; None where there is no file or it is off. Raises ConfigError, also where the file says
    on and the platform doesn't let relays talk."""
    told = read(path)
    if told is None or not told[1]:
        return None
    if not allowed(config):
        raise ConfigError(f"{path.name}: {FORBIDDEN}")
    from .settings import parse
    return parse(told[0], config.name, path)
