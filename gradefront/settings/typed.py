"""An operator's JSON object as its type, with errors that name field and value."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

T = TypeVar("T")

SECRET_FIELDS = ("key", "reset_key", "iv")
MAX_SHOWN_CHARACTERS = 59  # of a value in an error


def convert(document: Any, kind: type[T], under: str = "") -> T:
    """An object as a value of `kind`; `under` is the path at which it stands in its file.

    Raises ValueError, which begins with the field's path.
    """
    try:
        return msgspec.convert(document, kind)
    except msgspec.ValidationError as error:
        text, _, where = str(error).partition(" - at `$")
        where = where.rstrip("`").lstrip(".")
        value = _plain_value(document, where)
        for pattern, problem in (
            ("missing required field", "missing"),
            ("contains unknown field", "there is no such field"),
        ):
            if pattern in text:
                where, text, value = ".".join(filter(None, (where, text.split("`")[1]))), problem, None
        text += f", has {value!r}" if value is not None else ""
        raise ValueError(": ".join(filter(None, (".".join(filter(None, (under, where))), text)))) from None


def _plain_value(document: Any, where: str) -> object:
    """The value at a path of msgspec's; None unless it is plain, short and no secret."""
    value = document
    for part in where.replace("[", ".").replace("]", "").split("."):
        if isinstance(value, dict):
            value = value.get(part)
        elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
            value = value[int(part)]
        else:
            return None
    is_secret = where.rpartition(".")[2] in SECRET_FIELDS
    is_plain = isinstance(value, int | float | str)
    return value if is_plain and not is_secret and len(str(value)) <= MAX_SHOWN_CHARACTERS else None
