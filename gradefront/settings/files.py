"""Reads the operators' JSON files, and secret keys from the key files that they name."""

from __future__ import annotations

import json
import os
import stat
from pathlib import Path
from typing import Any

from gradefront.config import ConfigError

FORBIDDEN_KEY_FILE_MODE = 0o077  # permission bits of group and others: only the owner may access a key file
MAX_KEY_FILE_CHARACTERS = 4_096


def read_object(path: Path) -> dict[str, Any] | None:
    """Return the JSON object in the file, or None if the file does not exist. Raises ConfigError."""
    try:
        document = json.loads(path.read_bytes())
    except FileNotFoundError:
        return None
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path.name}: {error}") from None
    if not isinstance(document, dict):
        raise ConfigError(f"{path.name}: not a JSON object")
    return document


def parse_hex(text: str, setting: str, length: int = 0) -> bytes:
    """Decode hex digits; a non-zero `length` is the required number of octets.

    Raises ValueError, whose message names `setting` but never contains the text, which may be a key.
    """
    try:
        value = bytes.fromhex(text)
    except ValueError:
        raise ValueError(f"{setting}: not hex digits") from None
    if length and len(value) != length:
        raise ValueError(f"{setting}: must be {length} octets, has {len(value)}")
    return value


def read_key(text: str, file: str, length: int, setting: str, folder: Path) -> bytes:
    """Return the key of `length` octets given in hex as `text`, or stored in `file` in `folder`.

    Only the owner of the file may have access to it. Raises ValueError, whose message names `setting`.
    """
    if bool(text) is bool(file):
        raise ValueError(f"{setting}: exactly one of key and key_file is required")
    if text:
        return parse_hex(text, f"{setting}.key", length)
    path = folder / file
    try:
        with path.open() as key_file:
            mode = os.fstat(key_file.fileno()).st_mode
            if not stat.S_ISREG(mode) or mode & FORBIDDEN_KEY_FILE_MODE:
                raise ValueError(f"{setting}.key_file: '{file}': not a private regular file; its mode must be 600")
            return parse_hex(key_file.read(MAX_KEY_FILE_CHARACTERS).strip(), f"{setting}.key_file: '{file}'", length)
    except OSError as error:
        raise ValueError(f"{setting}.key_file: '{file}': {error.strerror}") from None
