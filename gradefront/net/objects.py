"""Incremental reader of consecutive JSON objects in a byte stream, with any line breaks and chunk sizes. No I/O."""

from __future__ import annotations

import codecs
import json
import re
from typing import Any, NamedTuple

MAX_OBJECT_CHARACTERS = 1 << 20
# A possible end of an object. Parsing is tried only there, to save CPU time: a list of a hundred backends arrives in
# dozens of pieces, and a parse after each piece would start again from the beginning.
POSSIBLE_END = re.compile(r"\}[ \t]*(?:[\r\n{]|$)")
# Text after the position of a parse error that may still become valid when the rest arrives.
INCOMPLETE_REST = re.compile(r'[\s,]*(?:"(?:[^"\\\r\n]|\\.)*\\?|[-+.\w]*)')


class FeedResult(NamedTuple):
    """The objects that a piece of the stream has completed."""

    objects: list[dict[str, Any]]
    is_heartbeat: bool  # whether the piece completed an object, or had a line break between objects


class JsonObjectReader:
    """Reads objects from pieces of a stream."""

    def __init__(self) -> None:
        self.text = ""  # received text of the incomplete object
        self.searched_length = 0  # leading characters of `text` that contain no possible end
        self._decode = codecs.getincrementaldecoder("utf-8")().decode
        self._parse = json.JSONDecoder().raw_decode

    def feed(self, data: bytes) -> FeedResult:
        """Add a piece of the stream and return the objects that it completes. Raises ValueError on invalid data."""
        self.text += self._decode(data)
        objects, is_heartbeat = list[dict[str, Any]](), False
        while True:
            rest = self.text.lstrip()
            is_heartbeat = is_heartbeat or "\n" in self.text[: len(self.text) - len(rest)]
            self.text = rest
            if rest and rest[0] != "{":
                raise ValueError(f"expected a JSON object, got {rest[:20]!r}")
            if not POSSIBLE_END.search(rest, self.searched_length):
                break
            try:
                parsed, end = self._parse(rest)
            except json.JSONDecodeError as error:
                if not INCOMPLETE_REST.fullmatch(rest, error.pos):
                    raise
                break
            except RecursionError:
                raise ValueError("JSON object is nested too deeply") from None
            objects.append(parsed)
            self.text, self.searched_length, is_heartbeat = rest[end:], 0, True
        self.searched_length = len(self.text)
        if self.searched_length > MAX_OBJECT_CHARACTERS:
            raise ValueError("JSON object exceeds the length limit")
        return FeedResult(objects, is_heartbeat)
