"""The operators' JSON files, and the secret keys in files that they name."""

from __future__ import annotations

import json
import os
import stat
from pathlib import Path
from typing import Any

from gradefront.config import ConfigError

FORBIDDEN_KEY_FILE_MODE = 0o077  # nobody but the owner may read or write a file of keys
MAX_KEY_FILE_CHARACTERS = 4_096


def read_object(path: Path) -> dict[str, Any] | None:
    """The file's object; None where there is no file. Raises ConfigError."""
    try:
        document = json.loads(path.read_bytes())
    except FileNotFoundError:
        return None
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path.name}: {error}") from None
    if not isinstance(document, dict):
        raise ConfigError(f"{path.name}: not an object")
    return document


def parse_hex(text: str, where: str, length: int = 0) -> bytes:
    """Octets from hex; with `length`, just so many.

    Raises ValueError, which names `where` and never repeats the text: it might be a key.
    """
    try:
        octets = bytes.fromhex(text)
    except ValueError:
        raise ValueError(f"{where}: not hex digits") from None
    if length and len(octets) != length:
        raise ValueError(f"{where}: must be {length} octets, has {len(octets)}")
    return octets


def read_key(text: str, file: str, length: int, where: str, folder: Path) -> bytes:
    """A key of `length` octets: `text`, or what `file` in `folder` holds, which only its owner may read.

    Raises ValueError, which names `where`.
    """
    if bool(text) is bool(file):
        raise ValueError(f"{where}: needs one of key and key_file")
    if text:
        return parse_hex(text, f"{where}.key", length)
    path = folder / file
    try:
        with path.open() as opened:
            mode = os.fstat(opened.fileno()).st_mode
            if not stat.S_ISREG(mode) or mode & FORBIDDEN_KEY_FILE_MODE:
                raise ValueError(f"{where}.key_file: '{file}': others may read it; its mode must be 600")
            return parse_hex(opened.read(MAX_KEY_FILE_CHARACTERS).strip(), f"{where}.key_file: '{file}'", length)
    except OSError as error:
        raise ValueError(f"{where}.key_file: '{file}': {error.strerror}") from None
