"""The end of a connection: one way for clients, backends and the admin interface.

What was written last is owed to the peer until the kernel has taken it, and no connection is closed before that. A
close with unread bytes in the kernel resets the connection, and a reset discards what the peer has not read yet. So
the sending side is shut once all is written, and what still comes is read and discarded until the peer has closed
too, or has had its time.

    unsent -> (the kernel has all) -> sent -> (the peer ended, a timeout, or a descriptor is needed) -> closed
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any, Protocol

from gradefront.core.counters import Counters
from gradefront.core.ports import ConnectionEnd
from gradefront.core.timer_wheel import Timer

LINGER_TIMEOUT_US = 2_000_000  # after all was sent, for a slow peer to read it and to end its side
UNSENT_TIMEOUT_US = 7_000_000  # a peer that takes no bytes for so long is lost by the protocol page
MAX_DISCARDED_BYTES = 1 << 18  # a peer that sends more after the end is cut off
DESCRIPTOR_SHARE = 16  # one of so many descriptors may be held by a closing connection


class Core(Protocol):
    """The part of the relay core that is used here."""

    counters: Counters

    def call_later(self, delay_us: int, callback: Callable[[], None]) -> Timer:
        """Run `callback` at the first tick after the delay."""


class Closable(Protocol):
    """A connection that is to end."""

    @property
    def tcp(self) -> Any:
        """Its transport."""

    def abort(self) -> None:
        """End it at once, by a reset."""

    def __hash__(self) -> int:
        """It is a key of a table."""


@dataclass(slots=True)
class _CloseState:
    """How far the close of one connection has come."""

    how: ConnectionEnd
    timer: Timer
    sent: bool = False  # the kernel has all that was written
    peer_ended: bool = False


class ConnectionCloser:
    """Connections of one kind that are being closed, the oldest first. Above `capacity`, a sent one is closed at once
    for each new one."""

    def __init__(self, core: Core, capacity: int) -> None:
        self.core = core
        self.capacity = max(1, capacity)
        self.waiting: dict[Closable, _CloseState] = {}

    def __len__(self) -> int:
        return len(self.waiting)

    @property
    def unsent_count(self) -> int:
        """How many hold bytes that the kernel has not taken."""
        return sum(not state.sent for state in self.waiting.values())

    def begin(self, connection: Closable, how: ConnectionEnd = ConnectionEnd.ORDERLY) -> None:
        """Close a connection once all that was written has left; BROKEN: by a reset then."""
        if connection in self.waiting:
            return
        if len(self.waiting) >= self.capacity:
            self.free_descriptor()
        timer = self.core.call_later(UNSENT_TIMEOUT_US, partial(self._give_up, connection))
        self.waiting[connection] = _CloseState(how, timer)
        wire = connection.tcp
        wire.loseWriteConnection()
        wire.resumeProducing()  # it may have been held back by the other side's pace
        wire.flush()  # now, not when the loop comes round: its descriptor may be needed before

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
            connection.tcp.loseConnection()
        else:
            state.timer = self.core.call_later(LINGER_TIMEOUT_US, partial(self._close, connection))

    def on_peer_ended(self, connection: Closable) -> None:
        """The peer has shut its sending side; it may read still."""
        state = self.waiting.get(connection)
        if state is None:
            return
        state.peer_ended = True
        if state.sent:
            connection.tcp.loseConnection()

    def on_overrun(self, connection: Closable) -> None:
        """The peer has sent more than MAX_DISCARDED_BYTES after the end."""
        state = self.waiting.get(connection)
        if state is None or state.sent:
            connection.abort()
        else:
            connection.tcp.pauseProducing()  # what it is owed has not left yet

    def on_connection_lost(self, connection: Closable) -> None:
        """A connection is no more."""
        state = self.waiting.pop(connection, None)
        if state:
            state.timer.cancel()

    def free_descriptor(self) -> bool:
        """Close the oldest one that is sent. False: there is none."""
        for connection, state in list(self.waiting.items()):
            if not state.sent:
                connection.tcp.flush()
            if state.sent:
                self._close(connection)
                return True
        return False

    def close_all(self) -> None:
        """Close all; the process exits."""
        while self.free_descriptor():
            pass
        for connection in list(self.waiting):
            self._give_up(connection)

    def _close(self, connection: Closable) -> None:
        """Close a sent one in order: what came meanwhile is read first, or the close would be a reset."""
        self.on_connection_lost(connection)
        connection.tcp.read_available()
        connection.tcp.loseConnection()

    def _give_up(self, connection: Closable) -> None:
        """The peer reads nothing more."""
        self.core.counters.add("answers_unsent")
        self.on_connection_lost(connection)
        connection.abort()
