"""TCP connections and listeners based on Twisted's transports that tolerate transient errors of system calls.

Twisted closes a connection on any error of `recv` other than EWOULDBLOCK, and if descriptors are exhausted, it
accepts and closes the queued connections unread. Here a call that can succeed a moment later is repeated, and no
connection is closed for it.
"""

from __future__ import annotations

import errno
import logging
import select
import socket
import time
from collections.abc import Callable
from enum import Enum
from typing import Any, cast

from twisted.internet import tcp
from twisted.internet.main import CONNECTION_DONE, CONNECTION_LOST
from twisted.python.failure import Failure

from .listen_queue import drop_new_handshakes, queued_connections

log = logging.getLogger("gradefront.transport")

MAX_READS = 16  # of at most 64 KiB each in one `read_available`, because a peer may send without end
MAX_ACCEPTS = 64  # in one event loop iteration
MAX_LAST_ACCEPTS = 64  # batches of MAX_ACCEPTS before a listener closes
MAX_SHARED_ACCEPT_S = 0.05  # for these batches on a listener that other processes share
ACCEPT_PAUSE_S = 0.01  # after accept has failed for lack of a resource

#: Errors of recv(2) and send(2) on an intact connection; the same call may succeed a moment later.
TRANSIENT_ERRORS = frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS, errno.ENOMEM})
#: Errors of accept(2) when the process or the system lacks a resource; the connection stays in the queue.
EXHAUSTED_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


class ReadResult(Enum):
    """Result of one read from a connection."""

    DATA = "data"
    NOTHING = "nothing"  # no data available now
    ENDED = "ended"  # the peer has closed its sending side
    BROKEN = "broken"  # the connection was reset or has failed


class ConnectionMixin:
    """Mixin for Twisted's connections: reads and writes that tolerate transient errors."""

    before_send: Callable[[], bool] | None = None  # called before each write; False: nothing more may be sent
    is_reading_held = False  # the protocol handles what was read before it takes more
    is_paused = False  # the other side of the connection takes no more data for now
    read_failed = False  # a read failed; the next `doRead` reports that to the reactor

    def hold_reading(self) -> None:
        """Read nothing more until `release_reading`, also if `resumeProducing` is called."""
        self.is_reading_held = True
        cast(Any, self).stopReading()

    def release_reading(self) -> None:
        """Undo `hold_reading`. Reading stays stopped if `pauseProducing` was called."""
        self.is_reading_held = False
        if not self.is_paused:
            cast(Any, super()).resumeProducing()

    def pauseProducing(self) -> None:
        """Stop reading, because the other side takes no more data for now."""
        self.is_paused = True
        cast(Any, super()).pauseProducing()

    def resumeProducing(self) -> None:
        """Start reading again, unless the protocol holds it."""
        self.is_paused = False
        if not self.is_reading_held:
            cast(Any, super()).resumeProducing()

    def read_once(self) -> ReadResult:
        """Read available data, at most 64 KiB, and pass it to the protocol."""
        connection: Any = self
        try:
            data = connection.socket.recv(connection.bufferSize)
        except OSError as error:
            if error.errno in TRANSIENT_ERRORS:
                return ReadResult.NOTHING
            self.read_failed = True
            return ReadResult.BROKEN
        if not data:
            return ReadResult.ENDED
        connection.protocol.dataReceived(data)
        return ReadResult.DATA

    def doRead(self) -> Exception | None:
        """Read once; the reactor calls this when the socket is readable. Returns the error, if any."""
        if self.read_failed:
            return CONNECTION_LOST
        result = self.read_once()
        if result is ReadResult.ENDED:
            return CONNECTION_DONE
        return CONNECTION_LOST if result is ReadResult.BROKEN else None

    def read_available(self) -> bool:
        """Read unread data now, in at most MAX_READS reads.

        Returns whether the peer has closed its sending side or the connection has ended, also if more than that lies
        unread before the end. The reactor detects the same later by itself.
        """
        connection: Any = self
        for _ in range(MAX_READS):
            if connection.disconnected or connection._aborting or self.read_failed:
                return True
            if self.is_reading_held:
                break
            result = self.read_once()
            if result is not ReadResult.DATA:
                return result is not ReadResult.NOTHING
        return self.has_peer_closed()

    def has_peer_closed(self) -> bool:
        """Return whether the peer has closed its sending side or reset the connection, whatever lies unread."""
        connection: Any = self
        if connection.disconnected or connection._aborting:
            return True
        poll = select.poll()
        poll.register(connection.socket, select.POLLRDHUP)
        return bool(poll.poll(0))

    def writeSomeData(self, data: bytes) -> int | Exception:
        """Send data. Returns the number of bytes accepted, 0 on a transient error, or the error that ends it."""
        connection: Any = self
        if self.before_send is not None and not self.before_send():
            return 0
        try:
            return int(connection.socket.send(memoryview(data)[: connection.SEND_LIMIT]))
        except OSError as error:
            return 0 if error.errno in TRANSIENT_ERRORS else CONNECTION_LOST

    @property
    def has_unsent_data(self) -> bool:
        """Whether the kernel has not accepted all written data yet."""
        connection: Any = self
        return bool(len(connection.dataBuffer) > connection.offset or connection._tempDataLen)

    def flush(self) -> bool:
        """Pass as much written data to the kernel as it accepts now. Returns whether nothing is left."""
        connection: Any = self
        if connection.connected and not connection._aborting:
            error = connection.doWrite()
            if error:  # the reactor did not make this call, so it would not notice the error
                connection.reactor.callLater(0, self._end, error)
        return not self.has_unsent_data

    def _end(self, error: Exception) -> None:
        connection: Any = self
        if not connection.disconnected:
            connection.connectionLost(cast(Any, Failure)(error))

    def connectionLost(self, reason: Any) -> None:
        """Handle the end of the connection.

        Twisted would also stop the transport that is this one's producer. Here the core closes that one in an orderly
        way, after the protocol's `connectionLost`.
        """
        connection: Any = self
        connection.producer = None
        cast(Any, super()).connectionLost(reason)


class ServerConnection(ConnectionMixin, tcp.Server):  # type: ignore[misc]
    """An accepted connection."""


class ClientConnection(ConnectionMixin, tcp.Client):  # type: ignore[misc]
    """A connection opened by this process."""


class Connector(tcp.Connector):
    """Opens a `ClientConnection`."""

    def _makeTransport(self) -> Any:
        return cast(Any, ClientConnection)(self.host, self.port, self.bindAddress, self, self.reactor)


class ListeningPort(tcp.Port):
    """A listener that survives all errors of accept, and closes no connection for lack of descriptors.

    If its factory has a method `accept_failed`, that is called with the OSError and may free a descriptor.
    """

    transport = ServerConnection
    is_shared = False  # another process or descriptor refers to the same listening socket

    def doRead(self) -> None:
        """Accept queued connections, at most MAX_ACCEPTS."""
        self.accept_pending(MAX_ACCEPTS)

    def accept_pending(self, limit: int) -> bool:
        """Accept queued connections, at most `limit`. Returns whether the queue is empty."""
        for _ in range(limit):
            try:
                accepted, address = self.socket.accept()
            except OSError as error:
                if error.errno in (errno.EAGAIN, errno.EWOULDBLOCK):
                    return True
                if error.errno in EXHAUSTED_ERRORS:
                    self._pause(error)
                    return False
                continue  # error of a single connection, which accept has removed from the queue
            self._set_up(accepted, address)
        return False

    def drop_new_handshakes(self) -> None:
        """Make the kernel drop new handshakes, unless another process or descriptor shares this listener."""
        if self.connected and not self.is_shared and not drop_new_handshakes(self.socket):
            log.info("cannot drop new TCP handshakes: socket filters are not supported on this system")

    def accept_pending_and_close(self) -> None:
        """Accept the queued connections and close in the same call, as more may connect before the next iteration.

        New handshakes on a shared listener are not dropped, so clients that come again at once could fill its queue
        without end: MAX_SHARED_ACCEPT_S after the call's start the rest is left in it, for the next process.
        """
        if not self.connected:
            return
        end_s = time.monotonic() + MAX_SHARED_ACCEPT_S
        for _ in range(MAX_LAST_ACCEPTS):  # each failure for lack of a descriptor frees one
            if self.accept_pending(MAX_ACCEPTS) or self.is_shared and time.monotonic() > end_s:
                break
        cast(Any, self).stopReading()
        self.connectionLost(cast(Any, Failure)(CONNECTION_DONE))

    def connectionLost(self, reason: Any) -> None:
        """Close the listener. If it is not shared, the kernel resets the connections in its queue."""
        queued = 0 if self.is_shared else queued_connections(self.socket)
        if queued:
            log.warning("a listener ends with %d connections that were not accepted", queued)
        cast(Any, super()).connectionLost(reason)

    def _set_up(self, accepted: socket.socket, address: Any) -> None:
        """Create transport and protocol of an accepted connection. An exception ends this connection only."""
        port: Any = self
        transport: Any = None
        try:
            protocol = port.factory.buildProtocol(port._buildAddr(address))
            if protocol is None:
                accepted.close()
                return
            transport = port.transport(accepted, protocol, address, self, self.sessionno, self.reactor)
            self.sessionno += 1
            protocol.makeConnection(transport)
        except Exception:
            log.exception("unhandled exception while setting up an accepted connection")
            if transport is None:
                accepted.close()
            else:
                transport.abortConnection()

    def _pause(self, error: OSError) -> None:
        """Notify the factory, and stop accepting for ACCEPT_PAUSE_S: the event loop must not spin on failures."""
        accept_failed = getattr(self.factory, "accept_failed", None)
        if accept_failed:
            accept_failed(error)
        cast(Any, self).stopReading()
        self.reactor.callLater(ACCEPT_PAUSE_S, self._resume)

    def _resume(self) -> None:
        if self.connected and not self.disconnecting:
            cast(Any, self).startReading()
