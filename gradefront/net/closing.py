"""Lingering close of connections, used for clients, backends and the admin interface.

A connection is closed only after the kernel has accepted all written data, so that the last line reaches the peer.
Closing a socket with unread data resets the connection, and a reset discards what the peer has not read yet. So the
sending side is shut down once all data is written, and further data from the peer is read and discarded until the
peer closes too or a timeout expires.

    unsent -> (kernel has accepted all data) -> sent -> (peer closed, timeout, or descriptor needed) -> closed
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any, Protocol

from gradefront.core.counters import Counters
from gradefront.core.ports import ConnectionEnd
from gradefront.core.timer_wheel import Timer

LINGER_TIMEOUT_US = 2_000_000  # after all data is sent: time for a slow peer to read it and to close its side
UNSENT_TIMEOUT_US = 7_000_000  # the platform's protocol regards a peer as lost if it takes no byte for so long
MAX_DISCARDED_BYTES = 1 << 18  # a peer that sends more during the close is reset or no longer read
DESCRIPTOR_SHARE = 16  # closing connections of one kind may hold 1/16 of the descriptors


class Core(Protocol):
    """The part of the relay core that this module uses."""

    counters: Counters

    def call_later(self, delay_us: int, callback: Callable[[], None]) -> Timer:
        """Run `callback` at the first tick after the delay."""


class Closable(Protocol):
    """A connection that can be closed."""

    @property
    def tcp(self) -> Any:
        """The connection's TCP transport."""

    def abort(self) -> None:
        """Reset the connection at once."""

    def __hash__(self) -> int:
        """Return the hash: connections are keys of a dict."""


@dataclass(slots=True)
class _CloseState:
    """Progress of one connection's close."""

    ending: ConnectionEnd
    timer: Timer
    sent: bool = False  # the kernel has accepted all written data
    peer_eof: bool = False  # the peer has closed its sending side


class ConnectionCloser:
    """Connections of one kind that are being closed, oldest first.

    At `capacity`, each new one makes the oldest that has sent all its data close without further waiting.
    """

    def __init__(self, core: Core, capacity: int) -> None:
        self.core = core
        self.capacity = max(1, capacity)
        self.connections: dict[Closable, _CloseState] = {}

    def __len__(self) -> int:
        return len(self.connections)

    @property
    def unsent_count(self) -> int:
        """Number of connections with data that the kernel has not accepted yet."""
        return sum(not state.sent for state in self.connections.values())

    def begin(self, connection: Closable, ending: ConnectionEnd = ConnectionEnd.ORDERLY) -> None:
        """Start to close a connection: once all written data is sent, close it, or reset it if `ending` is BROKEN."""
        if connection in self.connections:
            return
        if len(self.connections) >= self.capacity:
            self.free_descriptor()
        timer = self.core.call_later(UNSENT_TIMEOUT_US, partial(self._give_up, connection))
        self.connections[connection] = _CloseState(ending, timer)
        tcp = connection.tcp
        tcp.loseWriteConnection()
        tcp.resumeProducing()  # back pressure from the other side may have paused it
        tcp.flush()  # now, not in the next event loop iteration: its descriptor may be needed before that

    def on_sent(self, connection: Closable) -> None:
        """Handle that the kernel has accepted all written data and the sending side is shut down."""
        state = self.connections.get(connection)
        if state is None or state.sent:
            return
        state.sent = True
        state.timer.cancel()
        if state.ending is ConnectionEnd.BROKEN:
            connection.abort()
        elif state.peer_eof:
            connection.tcp.loseConnection()
        else:
            state.timer = self.core.call_later(LINGER_TIMEOUT_US, partial(self._close, connection))

    def on_peer_eof(self, connection: Closable) -> None:
        """Handle that the peer has closed its sending side; it may still read."""
        state = self.connections.get(connection)
        if state is None:
            return
        state.peer_eof = True
        if state.sent:
            connection.tcp.loseConnection()

    def on_discard_limit(self, connection: Closable) -> None:
        """Handle a peer that has sent more than MAX_DISCARDED_BYTES during the close: reset it, or stop reading."""
        state = self.connections.get(connection)
        if state is None or state.sent:
            connection.abort()
        else:
            connection.tcp.pauseProducing()  # written data is not sent yet, and a reset would lose it

    def on_connection_lost(self, connection: Closable) -> None:
        """Forget a connection that has ended."""
        state = self.connections.pop(connection, None)
        if state:
            state.timer.cancel()

    def free_descriptor(self) -> bool:
        """Close the oldest connection that has sent all its data. Returns False if there is none."""
        for connection, state in list(self.connections.items()):
            if not state.sent:
                connection.tcp.flush()
            if state.sent:
                self._close(connection)
                return True
        return False

    def close_all(self) -> None:
        """Close all connections, because the process exits. Connections with unsent data are reset."""
        while self.free_descriptor():
            pass
        for connection in list(self.connections):
            self._give_up(connection)

    def _close(self, connection: Closable) -> None:
        """Close a connection that has sent all its data. Unread data is read first, or the close would be a reset."""
        self.on_connection_lost(connection)
        connection.tcp.read_available()
        connection.tcp.loseConnection()

    def _give_up(self, connection: Closable) -> None:
        """Reset a connection whose data the peer does not take."""
        self.core.counters.add("answers_unsent")
        self.on_connection_lost(connection)
        connection.abort()
