"""Whether the second front is on. Imports its settings, and with them its libraries, only where it is."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING, Any

from gradefront.config import Config, ConfigError

if TYPE_CHECKING:
    from .config import QuicConfig

FILE = Path(__file__).resolve().parent.parent.parent / "deploy" / "quic.json"


def read(path: Path) -> dict[str, Any] | None:
    """The file's object; None where there is no file. Raises ConfigError."""
    try:
        told = json.loads(path.read_bytes())
    except FileNotFoundError:
        return None
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path.name}: {error}") from None
    if not isinstance(told, dict):
        raise ConfigError(f"{path.name}: not an object")
    return told


def load(config: Config, path: Path) -> QuicConfig | None:
    """The front's settings; None where there is no file or the front is off. Raises ConfigError."""
    told = read(path)
    if not told or not told.get("on"):
        return None
    from .config import parse
    return parse(told, config, path)
