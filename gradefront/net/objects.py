"""Incremental reader of consecutive JSON objects in a byte stream, with any line breaks and chunk sizes. No I/O."""

from __future__ import annotations

import codecs
import json
import re
from typing import Any, NamedTuple

MAX_OBJECT_CHARACTERS = 1 << 20
MAX_CHARACTERS_WITHOUT_BRACE = 1 << 16  # they are searched again when the next piece has come
# The next brace that is not within a string. Parsing is tried only at the end of an object, to save CPU time: a list
# of a hundred backends arrives in dozens of pieces, and a parse after each piece would start from the beginning.
NEXT_BRACE = re.compile(r'(?:[^{}"]++|"(?:[^"\\]++|\\.)*+")*+([{}])', re.DOTALL)
WHITESPACE = re.compile(r"\s*")


class FeedResult(NamedTuple):
    """The objects that a piece of the stream has completed."""

    objects: list[dict[str, Any]]
    is_heartbeat: bool  # whether the piece completed an object, or had a line break between objects


class JsonObjectReader:
    """Reads objects from pieces of a stream. A piece costs what its own characters cost, however small it is."""

    def __init__(self) -> None:
        self._text = ""  # received, from the incomplete object on
        self._searched = 0  # leading characters of `_text` whose braces are counted
        self._depth = 0  # open braces in them
        self._decode = codecs.getincrementaldecoder("utf-8")().decode
        self._parse = json.JSONDecoder().raw_decode

    def feed(self, data: bytes) -> FeedResult:
        """Add a piece of the stream and return the objects that it completes. Raises ValueError on invalid data."""
        text = self._text + self._decode(data)
        objects, is_heartbeat, start = list[dict[str, Any]](), False, 0
        while True:
            start, has_line_break = _skip_whitespace(text, start)
            is_heartbeat = is_heartbeat or has_line_break
            if start < len(text) and text[start] != "{":
                raise ValueError(f"expected a JSON object, got {text[start : start + 20]!r}")
            if not self._is_complete(text, start):
                break
            parsed, start = self._parse_object(text, start)
            objects.append(parsed)
            is_heartbeat = True
        self._text = text[start:]
        self._searched = max(0, self._searched - start)
        self._check_length()
        return FeedResult(objects, is_heartbeat)

    def _is_complete(self, text: str, start: int) -> bool:
        """Search on for the end of the object that begins at `start`. Return whether it has been received."""
        self._searched = max(self._searched, start)
        while brace := NEXT_BRACE.match(text, self._searched):
            self._searched = brace.end()
            self._depth += 1 if brace[1] == "{" else -1
            if self._depth == 0:
                return True
        return False

    def _parse_object(self, text: str, start: int) -> tuple[dict[str, Any], int]:
        """Return the object that begins at `start`, and the position of its end. Raises ValueError."""
        try:
            return self._parse(text, start)
        except RecursionError:
            raise ValueError("JSON object is nested too deeply") from None

    def _check_length(self) -> None:
        too_long = len(self._text) > MAX_OBJECT_CHARACTERS
        if too_long or len(self._text) - self._searched > MAX_CHARACTERS_WITHOUT_BRACE:
            raise ValueError("JSON object exceeds the length limit")


def _skip_whitespace(text: str, start: int) -> tuple[int, bool]:
    """Return the position of the next character that is no whitespace, and whether a line break stands before it."""
    whitespace = WHITESPACE.match(text, start)
    assert whitespace
    return whitespace.end(), "\n" in whitespace[0]
