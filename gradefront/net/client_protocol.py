"""The platform's front: clients' connections, one connection each.

A connection stands at the door until its first line has made a connection. Whoever stays there, or says what no
device says, is sent away soon and cheaply: such clients come by hundreds, and come back at once.
"""

from __future__ import annotations

import errno
import logging
from typing import Any

from twisted.internet.protocol import ServerFactory

from gradefront.config import Config
from gradefront.core.connection import BackendConnector, Connection
from gradefront.core.ports import BackendConnection, ConnectionEnd
from gradefront.core.relay import RelayCore

from .backend_connection import LineBackendConnection
from .base import Lines, ending
from .closing import DESCRIPTOR_SHARE, ConnectionCloser
from .lines import BadLine, read_first, read_id

log = logging.getLogger("gradefront.front")

DOOR_US = 2_200_000  # from connecting: an error or the end is owed within 3 s to whoever has made no connection
MOST_PINGS = 32  # on one connection; a front asks a few times until the relay is ready
SPARE_SOCKETS = 48  # kept back from connections: the list, health checks, listening, the platform's own
ROOM_PART = 8  # of the descriptors, one part in so many is kept free of the door for connections that come
FRESH_US = 250_000  # a connection so new is not ended for want of room: its line may be on its way
IDS_KEPT = 4_096  # ids remembered: each connection has a new one, so that a second use is somebody else's


class ClientProtocol(Lines):
    """The lines to and from one client."""

    def __init__(self, front: ClientProtocolFactory) -> None:
        self.front = front
        self.connection: Connection | None = None
        self.upstream: LineBackendConnection | None = None
        self.pings = 0
        self.id = b""  # of the connection that it made
        self.closing = False

    # ---- as Twisted's protocol

    def connectionMade(self) -> None:
        """A device connected."""
        self.send_at_once()
        self.arrived_us = self.front.core.clock()
        self.timeout = self.front.core.after(DOOR_US, self._mute)
        self.front.on_connected(self)

    def _mute(self) -> None:
        """Guards the descriptors: silence, half a line, dripping bytes, endless `PING` get no more time."""
        self.front.core.counters.add("mute")
        self._last(b"ERR")

    def lineReceived(self, line: bytes) -> None:
        """Guards the relay: an exception ends this connection only."""
        try:
            self._line(line)
        except Exception:
            log.exception("a client's line failed")
            self.front.core.counters.add("exceptions")
            self.fail_protocol()

    def _line(self, line: bytes) -> None:
        if self.closing:
            return
        if self.upstream:
            self.upstream.pass_on(line)
        elif self.connection:
            self.front.bad("a line before its visit stood")  # a device waits for its answer first
            self.front.core.reject_unestablished(self.connection)
        elif line == b"PING" and self.pings < MOST_PINGS:
            self.pings += 1
            self.say(b"PONG" if self.front.core.lifecycle.accepts_clients else b"ERR")
        else:
            self._first(line)

    def _first(self, line: bytes) -> None:
        front = self.front
        try:
            call, backend = read_first(line, front.config)
            self.id = read_id(line)
            front.new_id(self.id)
        except BadLine as error:
            if error.request_class in front.core.request_classes.names:  # it was in force before
                front.core.counters.add_of_class("errored_total", error.request_class)
            front.bad(str(error))
            self._last(b"ERR")
            return
        if front.descriptors_held() + 1 > front.config.sockets - SPARE_SOCKETS:
            # Guards against running out of descriptors: a connection holds one more, to its backend.
            front.core.counters.add("no_sockets")
            front.core.count_answer("deferred_total", call.request_class)
            self._last(b"BUSY")
            return
        self.timeout.cancel()
        front.pre_request.pop(self, None)
        if backend:
            self.connection = front.core.adopt_connection(call, self, front.connector, backend)
        else:
            self.connection = front.core.accept(call, self, front.connector)

    def lineLengthExceeded(self, line: bytes) -> None:
        """An overlong line ends this connection."""
        if not self.closing:
            self.front.bad("an overlong line")
            self.fail_protocol()

    def fail_protocol(self) -> None:
        """End a connection on which nothing more can be understood: whoever waits for an answer gets it."""
        if self.connection and self.upstream:
            self.front.core.migrate(self.connection)
        elif self.connection:
            self.front.core.reject_unestablished(self.connection)
        self._last(b"ERR")

    def peer_ended(self) -> None:
        """The client has shut its sending side, and may read on: nothing more is forwarded for it, but a final answer
        harms in neither reading."""
        rest = self.unfinished()
        if self.upstream and rest:
            self.upstream.pass_rest(rest)
        stood = self.upstream is not None
        if self.connection:
            self.front.core.on_client_closed(self.connection, ConnectionEnd.ORDERLY)
        if self.connection and not stood:
            self._last(b"ERR")
        self._close()
        self.front.closing.on_peer_ended(self)

    def connectionLost(self, reason: Any = None) -> None:
        """The device ended its side, or this relay did."""
        super().connectionLost(reason)
        self.front.open_connections -= 1
        self.front.pre_request.pop(self, None)
        self.timeout.cancel()
        rest = self.unfinished()
        if self.upstream and rest and not self.closing:
            self.upstream.pass_rest(rest)
        self.closing = True
        if self.connection:
            self.front.core.on_client_closed(self.connection, ending(reason))

    # ---- as the core's client side

    def establish(self, upstream: BackendConnection, response_line: object) -> None:
        """Pass the backend's own line on, then all lines."""
        assert isinstance(upstream, LineBackendConnection) and isinstance(response_line, bytes)
        self.say(response_line)
        if not self.closing:
            self.join(upstream)

    def join(self, upstream: LineBackendConnection) -> None:
        """Pass all lines on, both ways, each side held back by the other's pace."""
        assert upstream.line
        ours, theirs = self.wire, upstream.line.wire
        self.upstream = upstream
        upstream.to_client = ours.write
        ours.registerProducer(theirs, True)
        theirs.registerProducer(ours, True)

    def reject(self, pause_us: int) -> None:
        """`BUSY`, with the pause if one is advised."""
        self._last(b"BUSY %d" % -(-pause_us // 1000) if pause_us > 0 else b"BUSY")

    def fail(self) -> None:
        """A line that promises nothing."""
        self._last(b"ERR")

    def migrate(self) -> None:
        """`MOVE`, which always stands between whole lines here: only whole lines are passed on."""
        self._last(b"MOVE")

    def close(self, how: ConnectionEnd) -> None:
        """End as the backend did."""
        self._close(how)  # broken or not, its `UP` or its last line may still lie in the transport's buffer

    def _last(self, line: bytes) -> None:
        if not self.closing:
            self.say(line)
            self._close()

    def _close(self, how: ConnectionEnd = ConnectionEnd.ORDERLY) -> None:
        if self.closing:
            return
        self.closing = True
        self.wire.unregisterProducer()  # else the transport would wait for its producer's end
        self.timeout.cancel()
        self.front.pre_request.pop(self, None)
        self.finish(self.front.closing, how)

    def has_disconnected(self) -> bool:
        """Whether the device has ended its side, even where that lies unread. What it sent before that is taken."""
        return self.catch_up()

    def free_descriptor(self) -> None:
        """Others need the descriptor more."""
        self.front.core.counters.add("ended_for_room")
        self._last(b"BUSY")

    def reject_for_descriptors(self) -> None:
        """No descriptor is left for this client: what it has asked already is answered, and it ends at once."""
        self.front.core.counters.add("no_sockets")
        self.catch_up()
        self._last(b"BUSY")


class ClientProtocolFactory(ServerFactory):
    """Takes in clients' connections on the platform's protocol."""

    noisy = False

    def __init__(
        self, config: Config, core: RelayCore, caller: BackendConnector, upstreams: ConnectionCloser | None = None
    ) -> None:
        self.config = config
        self.core = core
        self.connector = caller
        self.open_connections = 0
        self.pre_request: dict[
            ClientProtocol, None
        ] = {}  # connections that have made no connection yet, the oldest first
        self.ids: dict[bytes, None] = {}  # of connections that made a connection, the oldest first
        self.closing = ConnectionCloser(core, config.sockets // DESCRIPTOR_SHARE)
        # Connections to backends that are being ended.
        self.upstreams = upstreams or ConnectionCloser(core, config.sockets // DESCRIPTOR_SHARE)

    def buildProtocol(self, addr: object) -> ClientProtocol:
        """A client connects. Whoever is accepted is answered, also where there is no room."""
        return ClientProtocol(self)

    def accept_failed(self, error: OSError) -> None:
        """No connection could be accepted for want of something. Where that is descriptors of this process, what is
        needed least is given up."""
        self.core.counters.bad("accept_errors", f"no connection could be accepted: {error}", self.core.clock())
        if (
            error.errno != errno.EMFILE
            or self.closing.free_descriptor()
            or self.upstreams.free_descriptor()
            or not self.pre_request
        ):
            return
        next(iter(self.pre_request)).free_descriptor()

    def end_rest(self) -> None:
        """The relay ends: whoever stands at the door still is told to come again."""
        for line in list(self.pre_request):
            line.free_descriptor()

    def descriptors_held(self) -> int:
        """Descriptors held for devices: one a connection, and one more to the backend of each connection, which is
        held for a moment longer than the connection."""
        return self.open_connections + len(self.core.connections) + len(self.upstreams)

    def on_connected(self, line: ClientProtocol) -> None:
        """A connection came to the door. Where descriptors run short, who stood there longest goes."""
        self.open_connections += 1
        self.pre_request[line] = None
        room = self.config.sockets - SPARE_SOCKETS - self.config.sockets // ROOM_PART
        while self.descriptors_held() > room and (self.closing.free_descriptor() or self.upstreams.free_descriptor()):
            pass  # who has had its answer needs its descriptor least
        if self.descriptors_held() > room:
            oldest = next(iter(self.pre_request))
            if line.arrived_us - oldest.arrived_us > FRESH_US:
                oldest.free_descriptor()
        # Guards the last descriptors, which what stands needs. The pages let a new connection be shut unread then;
        # here its request, if it has come, is answered all the same.
        if self.descriptors_held() > self.config.sockets - SPARE_SOCKETS // 2:
            line.reject_for_descriptors()

    def new_id(self, connection: bytes) -> None:
        """Take note of an id, or raise. Guards an open connection, and the backend that counts by ids, against a
        client that names another's id: at the backend its end would be the other's."""
        if connection in self.ids:
            raise BadLine("an id that was used before")
        if len(self.ids) >= IDS_KEPT:
            del self.ids[next(iter(self.ids))]
        self.ids[connection] = None

    def bad(self, what: str) -> None:
        """Count what no device sends."""
        self.core.counters.bad("bad_lines", f"bad client: {what}", self.core.clock())
