"""The end of a connection: one way for clients, backends and the admin interface.

What was written last is owed to the peer until the kernel has taken it, and no connection is closed before that. A
close over bytes that nobody has read resets the connection, and a reset takes with it what the other end has not
read yet. So the sending side is shut once all is written, and what still comes is read and thrown away until the
other end has closed too, or has had its time.

    unsent -> (the kernel has all) -> sent -> (the peer has ended or had its time, or room is needed) -> closed
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any, Protocol

from gradefront.core.counters import Counters
from gradefront.core.ports import ConnectionEnd
from gradefront.core.timer_wheel import Timer

LINGER_US = 2_000_000  # us: after all was sent, how long a slow peer may take to read it and to end its side
UNSENT_US = 7_000_000  # us: a peer that takes no bytes for so long is lost by the protocol page's own figure
MAX_DISCARDED = 1 << 18  # bytes thrown away from one peer; what goes on sending after the end is cut off
DESCRIPTOR_SHARE = 16  # of the descriptors that there are, one part in so many may wait for peers' ends


class Core(Protocol):
    """What of the relay core this part uses."""

    counters: Counters

    def after(self, delay_us: int, then: Callable[[], None]) -> Timer:
        """Run `then` at the first tick after the delay."""


class Closable(Protocol):
    """A connection that is to end."""

    @property
    def wire(self) -> Any:
        """Its transport."""

    def abort(self) -> None:
        """End it at once, by a reset."""

    def __hash__(self) -> int:
        """It stands in a table."""


@dataclass(slots=True)
class _State:
    """How far the end of one connection has come."""

    how: ConnectionEnd
    timer: Timer
    sent: bool = False  # the kernel has all that was written
    peer_ended: bool = False


class ConnectionCloser:
    """Connections of one kind that are being ended, the oldest first. Above `most`, sent ones are closed at once."""

    def __init__(self, core: Core, most: int) -> None:
        self.core = core
        self.most = max(1, most)
        self.waiting: dict[Closable, _State] = {}

    def __len__(self) -> int:
        return len(self.waiting)

    @property
    def unsent(self) -> int:
        """How many still hold something that the kernel has not taken."""
        return sum(not state.sent for state in self.waiting.values())

    def begin(self, connection: Closable, how: ConnectionEnd = ConnectionEnd.ORDERLY) -> None:
        """End a connection once all that was written has left; broken: by a reset then."""
        if connection in self.waiting:
            return
        if len(self.waiting) >= self.most:
            self.free_descriptor()
        timer = self.core.after(UNSENT_US, partial(self._give_up, connection))
        self.waiting[connection] = _State(how, timer)
        wire = connection.wire
        wire.loseWriteConnection()
        wire.resumeProducing()  # it may have been held back by the other side's pace
        wire.flush()  # now, not when the loop comes round: until then the connection may have to go

    def on_sent(self, connection: Closable) -> None:
        """The kernel has taken all that was written, and its sending side is shut."""
        state = self.waiting.get(connection)
        if state is None or state.sent:
            return
        state.sent = True
        state.timer.cancel()
        if state.how is ConnectionEnd.BROKEN:
            connection.abort()
        elif state.peer_ended:
            connection.wire.loseConnection()
        else:
            state.timer = self.core.after(LINGER_US, partial(self._close, connection))

    def on_peer_ended(self, connection: Closable) -> None:
        """The peer has shut its sending side; it may read still."""
        state = self.waiting.get(connection)
        if state is None:
            return
        state.peer_ended = True
        if state.sent:
            connection.wire.loseConnection()

    def on_overrun(self, connection: Closable) -> None:
        """The peer has sent more after the end than is worth throwing away."""
        state = self.waiting.get(connection)
        if state is None or state.sent:
            connection.abort()
        else:
            connection.wire.pauseProducing()  # what it is owed has not left yet

    def over(self, connection: Closable) -> None:
        """A connection is no more."""
        state = self.waiting.pop(connection, None)
        if state:
            state.timer.cancel()

    def free_descriptor(self) -> bool:
        """Close the one that has waited longest of those that have been sent all. False: there is none."""
        for connection, state in list(self.waiting.items()):
            if not state.sent:
                connection.wire.flush()
            if state.sent:
                self._close(connection)
                return True
        return False

    def close_all(self) -> None:
        """The process ends."""
        while self.free_descriptor():
            pass
        for connection in list(self.waiting):
            self._give_up(connection)

    def _close(self, connection: Closable) -> None:
        """Close one that has been sent all, in order: what came meanwhile is read first."""
        self.over(connection)
        connection.wire.catch_up()
        connection.wire.loseConnection()

    def _give_up(self, connection: Closable) -> None:
        """The peer takes nothing more."""
        self.core.counters.add("answers_unsent")
        self.over(connection)
        connection.abort()
