"""JSON objects one behind the other in a stream of bytes: each on a line or over many, in any division. No I/O."""

from __future__ import annotations

import codecs
import json
import re
from typing import Any, NamedTuple

MAX_OBJECT_CHARACTERS = 1 << 20
# Where an object may end. Guards the processor: a list of a hundred backends comes in dozens of pieces, and a parse
# at each piece would read its beginning again each time.
MAY_END = re.compile(r"\}[ \t]*(?:[\r\n{]|$)")
# What may follow the place of a parse error where the rest has just not come yet.
INCOMPLETE = re.compile(r'[\s,]*(?:"(?:[^"\\\r\n]|\\.)*\\?|[-+.\w]*)')


class Fed(NamedTuple):
    """What some bytes of the stream completed."""

    objects: list[dict[str, Any]]
    is_heartbeat: bool  # a complete object, or a line's end between objects; a part of an object is none


class Objects:
    """Reads objects from pieces of a stream."""

    def __init__(self) -> None:
        self.text = ""  # of the object that has begun
        self.searched = 0  # characters of it in which no end was found
        self._decode = codecs.getincrementaldecoder("utf-8")().decode
        self._parse = json.JSONDecoder().raw_decode

    def feed(self, data: bytes) -> Fed:
        """Add bytes; gives the objects that they complete. Raises ValueError where no object can come of them."""
        self.text += self._decode(data)
        objects, is_heartbeat = list[dict[str, Any]](), False
        while True:
            rest = self.text.lstrip()
            is_heartbeat = is_heartbeat or "\n" in self.text[: len(self.text) - len(rest)]
            self.text = rest
            if rest and rest[0] != "{":
                raise ValueError(f"{rest[:20]!r} begins no object")
            if not MAY_END.search(rest, self.searched):
                break
            try:
                parsed, end = self._parse(rest)
            except json.JSONDecodeError as error:
                if not INCOMPLETE.fullmatch(rest, error.pos):
                    raise
                break
            except RecursionError:
                raise ValueError("an object in an object, too deep") from None
            objects.append(parsed)
            self.text, self.searched, is_heartbeat = rest[end:], 0, True
        self.searched = len(self.text)
        if self.searched > MAX_OBJECT_CHARACTERS:
            raise ValueError("an object without end")
        return Fed(objects, is_heartbeat)
