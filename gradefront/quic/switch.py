"""Whether the second front is on. Imports its settings, and with them its libraries, only where it is."""

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
    """The QUIC front's file."""
    return Path(os.environ.get("GRADEFRONT_QUIC", FILE))


def load(config: Config, path: Path) -> QuicConfig | None:
    """The front's settings; None where there is no file or the front is off. Raises ConfigError."""
    given = read_object(path)
    if not given or not given.get("on"):
        return None
    from .config import parse

    return parse(given, config, path)
