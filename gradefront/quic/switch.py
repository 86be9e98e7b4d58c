"""Loads the QUIC front's settings. Their module and its libraries are imported only if the front is on."""

from __future__ import annotations

import os
from pathlib import Path
from typing import TYPE_CHECKING

from gradefront.config import Config
from gradefront.settings.files import read_object

from . import FILE

if TYPE_CHECKING:
    from .config import QuicConfig


def quic_file() -> Path:
    """Return the path of the QUIC front's settings file."""
    return Path(os.environ.get("GRADEFRONT_QUIC", FILE))


def load(config: Config, path: Path) -> QuicConfig | None:
    """Load the front's settings; None if there is no file or the front is off. Raises ConfigError."""
    given = read_object(path)
    if not given or not given.get("on"):
        return None
    from .config import parse

    return parse(given, config, path)
