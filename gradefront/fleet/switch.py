"""Whether the fleet is on. Imports its settings, and with them its libraries, only where it is."""

from __future__ import annotations

import os
from pathlib import Path
from typing import TYPE_CHECKING

from gradefront.config import Config, ConfigError
from gradefront.settings.files import read_object

if TYPE_CHECKING:
    from .settings import FleetConfig

FORBIDDEN = "on: true: the settings don't let relays talk to each other (permissions.peers)"
FILE = Path(__file__).resolve().parent.parent.parent / "deploy" / "fleet.json"


def fleet_file() -> Path:
    """The fleet's file."""
    return Path(os.environ.get("GRADEFRONT_FLEET", FILE))


def allowed(config: Config) -> bool:
    """Whether the platform lets relays talk to each other."""
    permissions = config.document["settings"].get("permissions") or {}
    return bool(permissions.get("peers"))


def load(config: Config, path: Path) -> FleetConfig | None:
    """What the fleet runs on; None where there is no file or it is off. Raises ConfigError, also where the file says
    on and the platform doesn't let relays talk."""
    told = read_object(path)
    if not told or not told.get("on"):
        return None
    if not allowed(config):
        raise ConfigError(f"{path.name}: {FORBIDDEN}")
    from .settings import parse

    return parse(told, config.name, path)
