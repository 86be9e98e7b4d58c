"""Conversion of operators' JSON objects to typed values, with errors that name field and value."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

T = TypeVar("T")

SECRET_FIELDS = ("key", "reset_key", "iv")
MAX_SHOWN_CHARACTERS = 59  # longest value that an error message repeats


def convert(document: Any, target_type: type[T], prefix: str = "") -> T:
    """Convert a JSON object to `target_type`. `prefix` is the path of the object in its file.

    Raises ValueError, whose message begins with the path of the invalid field.
    """
    try:
        return msgspec.convert(document, target_type)
    except msgspec.ValidationError as error:
        text, _, path = str(error).partition(" - at `$")
        path = path.rstrip("`").lstrip(".")
        value = _printable_value(document, path)
        for pattern, problem in (
            ("missing required field", "missing"),
            ("contains unknown field", "unknown field"),
        ):
            if pattern in text:
                path, text, value = ".".join(filter(None, (path, text.split("`")[1]))), problem, None
        text += f", has {value!r}" if value is not None else ""
        raise ValueError(": ".join(filter(None, (".".join(filter(None, (prefix, path))), text)))) from None


def _printable_value(document: Any, path: str) -> object:
    """Return the value at a msgspec path if an error message may repeat it, or None.

    It must be a number or text, short, and not a secret.
    """
    value = document
    for part in path.replace("[", ".").replace("]", "").split("."):
        if isinstance(value, dict):
            value = value.get(part)
        elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
            value = value[int(part)]
        else:
            return None
    is_secret = path.rpartition(".")[2] in SECRET_FIELDS
    is_printable = isinstance(value, int | float | str)
    return value if is_printable and not is_secret and len(str(value)) <= MAX_SHOWN_CHARACTERS else None
