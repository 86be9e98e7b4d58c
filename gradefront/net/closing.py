"""Ending a connection so that what was said last arrives: one way for clients, push boxes and the operators' door.

A close over bytes that nobody has read resets the connection, and a reset takes with it what the other end has not
read yet. So the sending side is shut once all is written, and what still comes is read and thrown away until the
other end has closed too, or has had its time.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from gradefront.core.wheel import Timer

LINGER_US = 2_000_000  # after the last line: how long a slow peer may take to read it and to end its side
MOST_BYTES = 1 << 18  # thrown away from one peer; what goes on sending after the end is cut off
PART = 16  # of the descriptors that there are, one part in so many may wait for peers' ends


class Later(Protocol):
    """Runs things later."""

    def after(self, delay_us: int, then: Callable[[], None]) -> Timer:
        """Run `then` at the first tick after the delay."""


class Ended(Protocol):
    """A connection that is to end."""

    @property
    def wire(self) -> Any:
        """Its transport."""

    def abort(self) -> None:
        """End it at once."""

    def __hash__(self) -> int:
        """It stands in a table."""


class Closing:
    """The connections of one kind that wait for their peer's end, the oldest first. At most `most`."""

    def __init__(self, later: Later, most: int) -> None:
        self.later = later
        self.most = max(1, most)
        self.waiting: dict[Ended, Timer] = {}

    def __len__(self) -> int:
        return len(self.waiting)

    def begin(self, line: Ended) -> None:
        """End a connection, once all that was said has left."""
        if line in self.waiting:
            return
        if len(self.waiting) >= self.most:
            self.make_room()
        self.waiting[line] = self.later.after(LINGER_US, line.abort)
        line.wire.loseWriteConnection()
        line.wire.resumeProducing()  # it may have been held back by the other side's pace

    def over(self, line: Ended) -> None:
        """A connection has ended."""
        timer = self.waiting.pop(line, None)
        if timer:
            timer.cancel()

    def make_room(self) -> bool:
        """Cut off the one that has waited longest. False: nobody waits."""
        oldest = next(iter(self.waiting), None)
        if oldest is None:
            return False
        self.over(oldest)
        oldest.abort()
        return True
