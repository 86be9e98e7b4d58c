"""Whether the fleet is on. Imports its settings, and with them its libraries, only where it is."""

from __future__ import annotations

import os
from pathlib import Path
from typing import TYPE_CHECKING

from gradefront.config import Config, ConfigError
from gradefront.settings.files import read_object

if TYPE_CHECKING:
    from .settings import FleetConfig

PEERS_NOT_PERMITTED = "on: true: the settings don't let relays talk to each other (permissions.peers)"
DEFAULT_FILE = Path(__file__).resolve().parent.parent.parent / "deploy" / "fleet.json"


def fleet_file() -> Path:
    """The path of the fleet's file: GRADEFRONT_FLEET, or the one in deploy/."""
    return Path(os.environ.get("GRADEFRONT_FLEET", DEFAULT_FILE))


def peers_permitted(config: Config) -> bool:
    """Whether the platform lets relays talk to each other."""
    permissions = config.document["settings"].get("permissions") or {}
    return bool(permissions.get("peers"))


def load(config: Config, path: Path) -> FleetConfig | None:
    """The fleet's configuration, None without a file or where it is off.

    Raises ConfigError, also where the file says on and the platform doesn't let relays talk.
    """
    content = read_object(path)
    if not content or not content.get("on"):
        return None
    if not peers_permitted(config):
        raise ConfigError(f"{path.name}: {PEERS_NOT_PERMITTED}")
    from .settings import parse

    return parse(content, config.name, path)
