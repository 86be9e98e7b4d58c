"""One QUIC connection as the core's client side, and the attempts that place it."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any, Protocol

from gradefront.config import Address
from gradefront.core.attempt_outcome import AttemptPhase, Cause
from gradefront.core.connection import Attempt, Connection, ConnectionState
from gradefront.core.ports import BackendConnection, ConnectionEnd

from .config import QuicConfig
from .headers import Kind, Packet, split, stateless_reset
from .hello import HelloReader, InvalidHelloError
from .initials import CONNECTION_REFUSED, InitialPayload, busy_reason, close_initial, is_valid_retry, open_initial
from .listener import Listener
from .paths import Path

MAX_BUFFERED_DATAGRAMS = (
    12  # datagrams of a waiting client, for the next backend; a post-quantum ClientHello makes two
)
MAX_EARLY_DATAGRAMS = 4  # of a backend, that overtook its first Initial
MAX_IDS_PER_CONNECTION = 16  # ids remembered for one connection


class FrontTables(Protocol):
    """What a connection uses of its front."""

    quic: QuicConfig
    owners: dict[bytes, QuicClientConnection]

    def now(self) -> int:
        """The time."""

    def count_drop(self, reason: str) -> None:
        """Count a datagram that goes nowhere."""

    def get_path(
        self, client: Address, backend: str, owner: QuicClientConnection | None, listener: Listener
    ) -> Path | None:
        """A path, new where there is none."""

    def close_paths(self, owner: QuicClientConnection) -> None:
        """Give all its places back."""

    def adopt_paths(self, owner: QuicClientConnection, backend: str) -> bool:
        """Take over paths that may be this connection's."""

    def remember_answer(self, connection_id: bytes, datagram: bytes) -> None:
        """Remember a final answer."""

    def remember_moved_id(self, connection_id: bytes, key: bytes) -> None:
        """Remember an id that was moved."""

    def on_settled(self, owner: QuicClientConnection) -> None:
        """A connection stands, or is over: it waits no more."""

    def on_discarded(self, owner: QuicClientConnection) -> None:
        """A connection is over."""


class QuicClientConnection:
    """One QUIC connection. It may use many client addresses and ids."""

    def __init__(  # noqa: PLR0913 - what the client's first datagram tells
        self,
        front: FrontTables,
        listener: Listener,
        client: Address,
        first_id: bytes,
        client_id: bytes,
        version: int,
        network: bytes = b"",
    ) -> None:
        self.front = front
        self.listener = listener
        self.first_id = first_id  # what the keys of its Initials come from
        self.client_id = client_id
        self.version = version
        self.client = client  # the address that it used last
        self.network = network
        self.is_pending = False  # whether it counts among those who wait
        self.used_retry = False  # it came with a token of ours: a second Retry would be ignored
        self.confirmed = False  # the client has used an id that only the backend's answer held
        self.last_id = b""  # the backend's id that it used last
        self.buffered: list[bytes] = []
        self.hello: HelloReader | None = None
        self.ids: OrderedDict[bytes, None] = OrderedDict()
        self.paths: dict[Address, Path] = {}
        self.adopted_path: Path | None = None  # a path that had no connection, which this one is made for
        self.upstream: QuicBackendConnection | None = None
        self.connection: Connection | None = None
        self.created_us = self.last_used_us = front.now()
        self.unanswered = 0
        self.unanswered_since_us = 0
        self.add_id(first_id)

    @property
    def is_established(self) -> bool:
        """Whether a backend serves it."""
        return self.connection is not None and self.connection.state is ConnectionState.ESTABLISHED

    @property
    def is_connecting(self) -> bool:
        """Whether an attempt is out."""
        return self.connection is not None and self.connection.state is ConnectionState.CONNECTING

    def add_id(self, connection_id: bytes) -> None:
        """An id is this connection's. The oldest goes where there are too many."""
        if connection_id not in self.ids:
            self.ids[connection_id] = None
            self.front.owners[connection_id] = self
            if len(self.ids) > MAX_IDS_PER_CONNECTION:
                old = self.ids.popitem(last=False)[0]
                if self.front.owners.get(old) is self:
                    del self.front.owners[old]

    def discard(self) -> None:
        """None of its ids is known any more."""
        for connection_id in self.ids:
            if self.front.owners.get(connection_id) is self:
                del self.front.owners[connection_id]
        self.ids.clear()
        self.front.close_paths(self)
        self.front.on_discarded(self)

    def buffer_datagram(self, datagram: bytes, client: Address) -> None:
        """A datagram before the connection stands: kept for the next backend, and sent to the present one."""
        self.client = client
        if datagram not in self.buffered:
            self.buffered = [*self.buffered[:1], *self.buffered[1:][-MAX_BUFFERED_DATAGRAMS + 2 :], datagram]
        if self.upstream:
            self.upstream.send(datagram, client)

    def read_hello(self, opened: InitialPayload) -> tuple[str, tuple[str, ...]] | None:
        """Put a client's CRYPTO frames together; server name and protocols once they are whole, or once it is
        clear that they never will be."""
        if self.hello is None:
            return "", ()
        try:
            for offset, piece in opened.crypto:
                self.hello.take(offset, piece)
            found = self.hello.hello()
        except InvalidHelloError:
            found = ("", ())  # type: ignore[assignment]
        if found is not None:
            self.hello = None
        return found

    # ---- as the core's client side

    def establish(self, upstream: BackendConnection, response_line: object) -> None:  # noqa: ARG002 - core's port
        """The backend's first sound answer goes to the client; from here on packets go by id."""
        self.buffered = []
        self.hello = None
        for path in self.paths.values():
            path.is_direct = True
        self.front.on_settled(self)
        if isinstance(response_line, tuple):
            path, datagrams = response_line
            for datagram in datagrams:
                self.listener.reply(datagram, path.client)

    def reject(self, pause_us: int) -> None:
        """The final answer: a close, with the advised pause as its reason."""
        self._close(busy_reason(pause_us))

    def fail(self) -> None:
        """The final answer: a close that advises nothing."""
        self._close("ERR")

    def _close(self, reason: str) -> None:
        datagram = close_initial(self.version, self.first_id, self.client_id, reason)
        self.front.remember_answer(self.first_id, datagram)
        self.listener.reply(datagram, self.client)
        self.discard()

    def migrate(self) -> None:
        """A stateless reset, which the client takes as the backend's own: it comes again with an Initial."""
        if self.upstream:
            self.front.adopt_paths(self, self.upstream.attempt.backend)
        self._reset()

    def has_disconnected(self) -> bool:
        """A datagram client says nothing as it leaves."""
        return False

    def close(self, ending: ConnectionEnd) -> None:  # noqa: ARG002 - core's port
        """The backend is gone: the client learns by a reset rather than by its own idle time."""
        self._reset()

    def _reset(self) -> None:
        backend = self.front.quic.backends.get(self.upstream.attempt.backend) if self.upstream else None
        if backend:
            if self.last_id:
                self.listener.reply(stateless_reset(backend.reset_key, self.last_id), self.client)
            for connection_id in self.ids:
                self.front.remember_moved_id(connection_id, backend.reset_key)
        self.discard()


class QuicBackendConnection:
    """One attempt at a backend, and after it the connection's place there."""

    def __init__(self, front: FrontTables, owner: QuicClientConnection, attempt: Attempt) -> None:
        self.front = front
        self.owner = owner
        self.attempt = attempt
        self.early_datagrams: list[bytes] = []

    def begin(self) -> None:
        """Send all that the client has sent so far."""
        for datagram in list(self.owner.buffered):
            self.send(datagram, self.owner.client)
        self.attempt.advance(AttemptPhase.SENT)

    def send(self, datagram: bytes, client: Address) -> None:
        """To the backend. Guards against a retransmit that opens a connection at a backend told to drain."""
        if self.attempt.send_veto() is None:
            self.attempt.advance(AttemptPhase.WRITING)
            path = self.front.get_path(client, self.attempt.backend, self.owner, self.owner.listener)
            if path:
                path.send(datagram)

    def on_backend_datagram(self, path: Path, datagram: bytes) -> None:
        """From the backend while the attempt is out: only a sound answer counts."""
        owner = self.owner
        for packet in split(datagram, len(owner.client_id)):
            if packet.to_id != owner.client_id:
                break
            if packet.kind is Kind.NEGOTIATION:
                if packet.from_id == owner.first_id:
                    self.attempt.end(Cause.ERROR)
                    return
                break
            if is_valid_retry(packet, owner.first_id):
                if owner.used_retry:  # RFC 9000 17.2.5.2: a client takes one Retry only, and had ours
                    self.attempt.end(Cause.ERROR)
                else:
                    self._establish(packet, path, datagram)
                return
            opened = open_initial(packet, owner.first_id, from_client=False)
            if opened:
                self._on_initial(opened, packet, path, datagram)
                return
            if packet.kind in (Kind.HANDSHAKE, Kind.SHORT) and len(self.early_datagrams) < MAX_EARLY_DATAGRAMS:
                self.early_datagrams.append(datagram)
                return
        self.front.count_drop("unsound_answer")

    def _on_initial(self, opened: InitialPayload, packet: Packet, path: Path, datagram: bytes) -> None:
        """Decide by the backend's Initial: an error, an established connection, or nothing yet."""
        if opened.close_code is not None:
            full = opened.close_code == CONNECTION_REFUSED
            self.attempt.end(Cause.REJECTED if full else Cause.ERROR)
        elif opened.crypto:
            self._establish(packet, path, datagram)
        else:  # only an ACK: no client may hear of a backend that doesn't go on
            self.front.count_drop("ack_only")

    def _establish(self, packet: Packet, path: Path, datagram: bytes) -> None:
        self.owner.add_id(packet.from_id)
        self.owner.last_id = packet.from_id
        self.attempt.succeed((path, (datagram, *self.early_datagrams)))
        self.early_datagrams = []

    def close(self, ending: ConnectionEnd) -> None:  # noqa: ARG002 - core's port
        """Its places are given back, so that what the backend still sends reaches nobody."""
        self.front.close_paths(self.owner)
        if self.owner.upstream is self and self.owner.is_connecting:
            self.owner.upstream = None


def connection_for_path(front: Any, path: Path) -> QuicClientConnection:
    """A connection for a path that has none: a connection from before this relay's start, or another relay's."""
    owner = QuicClientConnection(
        front, path.listener, path.client, path.last_id, path.client_id if path.is_direct else b"", 0
    )
    owner.adopted_path = path
    owner.confirmed = True
    owner.last_id = path.last_id
    return owner
