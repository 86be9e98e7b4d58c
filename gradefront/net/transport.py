"""TCP connections and listeners on Twisted's transports, for system calls that fail for a moment.

Twisted treats every failed `recv` as the end of the connection, and a lack of descriptors by accepting and closing
whatever waits, unread. Here a call that can succeed a moment later is repeated, and nothing is closed for it.
"""

from __future__ import annotations

import errno
import logging
import socket
from collections.abc import Callable
from enum import Enum
from typing import Any, cast

from twisted.internet import tcp
from twisted.internet.main import CONNECTION_DONE, CONNECTION_LOST
from twisted.python.failure import Failure

from .listen_queue import drop_new_handshakes, queued_connections

log = logging.getLogger("gradefront.transport")

MAX_READS = 16  # of 64 KiB at most, in one `read_available`: a peer may send without end
MAX_ACCEPTS = 64  # in one turn of the loop
MAX_LAST_ACCEPTS = 64  # rounds of MAX_ACCEPTS before a listener closes
ACCEPT_PAUSE_S = 0.01  # after accept has failed for want of a resource

#: recv(2) and send(2) may fail so on a sound connection; the same call may succeed a moment later.
TRANSIENT_ERRORS = frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS, errno.ENOMEM})
#: accept(2): the process or the system lacks a resource; the connection still waits in the queue.
EXHAUSTED_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


class ReadResult(Enum):
    """What one read of a connection gave."""

    DATA = "data"
    NOTHING = "nothing"  # nothing is there now
    ENDED = "ended"  # the peer has shut its sending side
    BROKEN = "broken"  # the connection is no more


class ConnectionMixin:
    """Twisted's connection, with reads and writes that tolerate transient errors."""

    before_send: Callable[[], bool] | None = None  # asked before each piece leaves; False: nothing more may leave
    found_broken = False  # the socket gave `read_available` an error that the reactor has not seen yet

    def read_once(self) -> ReadResult:
        """Read what is there, 64 KiB at most, and pass it to the protocol."""
        connection: Any = self
        try:
            data = connection.socket.recv(connection.bufferSize)
        except OSError as error:
            if error.errno in TRANSIENT_ERRORS:
                return ReadResult.NOTHING
            self.found_broken = True
            return ReadResult.BROKEN
        if not data:
            return ReadResult.ENDED
        connection.protocol.dataReceived(data)
        return ReadResult.DATA

    def doRead(self) -> Exception | None:
        """Called by the reactor when there is something to read."""
        if self.found_broken:
            return CONNECTION_LOST
        result = self.read_once()
        if result is ReadResult.ENDED:
            return CONNECTION_DONE
        return CONNECTION_LOST if result is ReadResult.BROKEN else None

    def read_available(self) -> bool:
        """Read now what lies unread, MAX_READS reads at most. Whether the peer has ended its sending side, or the
        connection is no more; the reactor finds that itself later."""
        connection: Any = self
        for _ in range(MAX_READS):
            if connection.disconnected or connection._aborting or self.found_broken:
                return True
            result = self.read_once()
            if result is not ReadResult.DATA:
                return result is not ReadResult.NOTHING
        return False

    def writeSomeData(self, data: bytes) -> int | Exception:
        """Send a piece. Gives the number of bytes taken, 0 after a transient error, or the error that ends it."""
        connection: Any = self
        if self.before_send is not None and not self.before_send():
            return 0
        try:
            return int(connection.socket.send(memoryview(data)[: connection.SEND_LIMIT]))
        except OSError as error:
            return 0 if error.errno in TRANSIENT_ERRORS else CONNECTION_LOST

    @property
    def has_unsent_data(self) -> bool:
        """Whether something written is not with the kernel yet."""
        connection: Any = self
        return bool(len(connection.dataBuffer) > connection.offset or connection._tempDataLen)

    def flush(self) -> bool:
        """Pass what was written to the kernel now, as far as it takes it. Whether nothing is left."""
        connection: Any = self
        if connection.connected and not connection._aborting:
            ended = connection.doWrite()
            if ended:  # the reactor did not ask, so it would not see that
                connection.reactor.callLater(0, self._end, ended)
        return not self.has_unsent_data

    def _end(self, why: Exception) -> None:
        connection: Any = self
        if not connection.disconnected:
            connection.connectionLost(cast(Any, Failure)(why))

    def connectionLost(self, reason: Any) -> None:
        """The connection is no more. Twisted would also end the transport that is a producer for this one; here the
        core ends it, in order, after its protocol's `connectionLost`."""
        connection: Any = self
        connection.producer = None
        cast(Any, super()).connectionLost(reason)


class ServerConnection(ConnectionMixin, tcp.Server):  # type: ignore[misc]
    """An accepted connection."""


class ClientConnection(ConnectionMixin, tcp.Client):  # type: ignore[misc]
    """A connection that this process opens."""


class Connector(tcp.Connector):
    """Opens a `ClientConnection`."""

    def _makeTransport(self) -> Any:
        return cast(Any, ClientConnection)(self.host, self.port, self.bindAddress, self, self.reactor)


class ListeningPort(tcp.Port):
    """A listener that no failure of accept ends, and that closes no connection for want of descriptors. Its factory
    may have `accept_failed`, which is called with the OSError and may free a descriptor."""

    transport = ServerConnection
    is_shared = False  # another process, or another descriptor, holds the same listener

    def doRead(self) -> None:
        """Accept what waits, MAX_ACCEPTS at most."""
        self.accept_pending(MAX_ACCEPTS)

    def accept_pending(self, limit: int) -> bool:
        """Accept the connections that wait, `limit` at most. Whether none waits any more."""
        for _ in range(limit):
            try:
                accepted, address = self.socket.accept()
            except OSError as error:
                if error.errno in (errno.EAGAIN, errno.EWOULDBLOCK):
                    return True
                if error.errno in EXHAUSTED_ERRORS:
                    self._pause(error)
                    return False
                continue  # an error of that one connection, which accept has taken off the queue
            self._set_up(accepted, address)
        return False

    def drop_new_handshakes(self) -> None:
        """Let no further client begin to connect, where nobody else holds this listener."""
        if self.connected and not self.is_shared and not drop_new_handshakes(self.socket):
            log.info("this system can't drop new handshakes")

    def accept_pending_and_close(self) -> None:
        """Accept all that wait, and close in the same call: a turn of the loop later others may have connected."""
        if not self.connected:
            return
        for _ in range(MAX_LAST_ACCEPTS):  # each failure for want of a descriptor frees one
            if self.accept_pending(MAX_ACCEPTS):
                break
        cast(Any, self).stopReading()
        self.connectionLost(cast(Any, Failure)(CONNECTION_DONE))

    def connectionLost(self, reason: Any) -> None:
        """Close. The kernel resets the connections that wait in the queue of a listener that nobody else holds."""
        queued = 0 if self.is_shared else queued_connections(self.socket)
        if queued:
            log.warning("a listener ends with %d connections that were not accepted", queued)
        cast(Any, super()).connectionLost(reason)

    def _set_up(self, accepted: socket.socket, address: Any) -> None:
        """Make the connection's transport and protocol. An error in that ends this one connection."""
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
            log.exception("an accepted connection could not be set up")
            if transport is None:
                accepted.close()
            else:
                transport.abortConnection()

    def _pause(self, error: OSError) -> None:
        """Accept nothing for ACCEPT_PAUSE_S, so that the loop does not spin on what it can't accept."""
        failed = getattr(self.factory, "accept_failed", None)
        if failed:
            failed(error)
        cast(Any, self).stopReading()
        self.reactor.callLater(ACCEPT_PAUSE_S, self._resume)

    def _resume(self) -> None:
        if self.connected and not self.disconnecting:
            cast(Any, self).startReading()
