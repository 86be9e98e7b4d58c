"""Incremental reader of consecutive JSON objects in a byte stream, with any line breaks and chunk sizes. No I/O."""

from __future__ import annotations

import codecs
import json
import re
from typing import Any

MAX_OBJECT_CHARACTERS = 8_192 * 512  # the backends that are kept; one with every field, indented by 8, takes 400
MAX_CHARACTERS_WITHOUT_BRACE = 1 << 16  # they are searched again when the next piece has come
# The next brace that is not within a string. Parsing is tried only at the end of an object, to save CPU time: a list
# of a hundred backends arrives in dozens of pieces, and a parse after each piece would start from the beginning.
NEXT_BRACE = re.compile(r'(?:[^{}"]++|"(?:[^"\\]++|\\.)*+")*+([{}])', re.DOTALL)
WHITESPACE = re.compile(r"\s*")


class ObjectTooLongError(ValueError):
    """An object of more than MAX_OBJECT_CHARACTERS, or with more than MAX_CHARACTERS_WITHOUT_BRACE between two."""


class JsonObjectReader:
    """Reads objects from pieces of a stream. A piece costs what its own characters cost, however small it is.

    Attributes: `had_line_break`, whether a line break stood before the object that was last returned or looked for.
    """

    def __init__(self) -> None:
        self.had_line_break = False
        self._text = ""  # received and not returned yet
        self._start = 0  # of the next object in it
        self._searched = 0  # position up to which the braces of that object are counted
        self._depth = 0  # open braces up to there
        self._is_exhausted = True  # no object is complete until the next piece
        self._decode = codecs.getincrementaldecoder("utf-8")().decode
        self._parse = json.JSONDecoder().raw_decode

    def add(self, data: bytes) -> None:
        """Add a piece of the stream. Raises ValueError on invalid data."""
        text = self._text[self._start :]
        self._text = ""  # the only reference is the local one, so that the text grows in place
        text += self._decode(data)
        self._text = text
        self._searched = max(0, self._searched - self._start)
        self._start = 0
        self._is_exhausted = False

    @property
    def pending_characters(self) -> int:
        """Length of what has been received of the next object."""
        return len(self._text) - self._start

    def next_object(self) -> dict[str, Any] | None:
        """Return the next object, or None if it is not complete.

        Raises ObjectTooLongError on one that is too long, ValueError on other invalid data.
        """
        if self._is_exhausted:
            self.had_line_break = False
            return None
        text = self._text
        self._start, self.had_line_break = _skip_whitespace(text, self._start)
        if self._start < len(text) and text[self._start] != "{":
            raise ValueError(f"expected a JSON object, got {text[self._start : self._start + 20]!r}")
        if not self._is_complete(text, self._start):
            self._is_exhausted = True
            self._check_length()
            return None
        parsed, self._start = self._parse_object(text, self._start)
        return parsed

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
        if self.pending_characters > MAX_OBJECT_CHARACTERS:
            raise ObjectTooLongError(f"JSON object of more than {MAX_OBJECT_CHARACTERS} characters")
        if len(self._text) - self._searched > MAX_CHARACTERS_WITHOUT_BRACE:
            raise ObjectTooLongError(f"more than {MAX_CHARACTERS_WITHOUT_BRACE} characters without a brace")


def _skip_whitespace(text: str, start: int) -> tuple[int, bool]:
    """Return the position of the next character that is no whitespace, and whether a line break stands before it."""
    whitespace = WHITESPACE.match(text, start)
    assert whitespace
    return whitespace.end(), "\n" in whitespace[0]
