"""One QUIC connection as the core's client connection, and its attempts at backends."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any, Protocol

from gradefront.config import Address
from gradefront.core.attempt_outcome import AttemptPhase, Cause
from gradefront.core.connection import Attempt, Connection, ConnectionState
from gradefront.core.ports import BackendConnection, ConnectionEnd

from .config import QuicConfig
from .headers import MIN_INITIAL_LENGTH, Kind, Packet, split, stateless_reset
from .hello import HelloReader, InvalidHelloError
from .initials import CONNECTION_REFUSED, InitialPayload, busy_reason, close_initial, is_valid_retry, open_initial
from .listener import Listener
from .paths import Path
from .sent_hello import ClientDatagram, SentHello

#: Datagrams of a pending client, kept for the next attempt; a post-quantum ClientHello alone takes two.
MAX_BUFFERED_DATAGRAMS = 12
MAX_EARLY_DATAGRAMS = 4  # kept of a backend's datagrams that overtake its first Initial
MAX_IDS_PER_CONNECTION = 16
#: Octets of a backend's first answer that are repeated for one repeated Initial (RFC 9000 8.1: three times its size).
MAX_REPEATED_ANSWER = 3 * MIN_INITIAL_LENGTH


class FrontTables(Protocol):
    """The part of the front that a connection uses."""

    quic: QuicConfig
    owners: dict[bytes, QuicClientConnection]

    def now(self) -> int:
        """Return the current time in microseconds."""

    def count_drop(self, reason: str) -> None:
        """Count a dropped datagram by its reason."""

    def get_path(
        self, client: Address, backend: str, owner: QuicClientConnection | None, listener: Listener
    ) -> Path | None:
        """Return the path from a client address to a backend, opening one if needed; None if there is no room."""

    def close_paths(self, owner: QuicClientConnection) -> None:
        """Close all paths of a connection."""

    def adopt_paths(self, owner: QuicClientConnection, backend: str) -> bool:
        """Take over paths without a connection that may belong to this one; return whether there were any."""

    def remember_answer(self, connection_id: bytes, datagram: bytes) -> None:
        """Remember a final answer, to repeat it if the client repeats its Initial."""

    def remember_moved_id(self, connection_id: bytes, key: bytes) -> None:
        """Remember an id of a connection that was reset, to answer later packets with a reset too."""

    def on_settled(self, owner: QuicClientConnection) -> None:
        """Handle a connection that is established or over: it is no longer pending."""

    def remember_executed(self, connection_id: bytes, connection: Connection) -> None:
        """Remember a request that is over, if it may have been executed and must not be executed again."""

    def on_discarded(self, owner: QuicClientConnection) -> None:
        """Remove a connection that is over from the tables."""


class QuicClientConnection:
    """One QUIC connection, which may use many client addresses and connection ids."""

    def __init__(  # noqa: PLR0913 - the fields of the client's first datagram
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
        self.first_id = first_id  # the client's first destination id, from which the Initial keys are derived
        self.client_id = client_id
        self.version = version
        self.client = client  # the client's most recent address
        self.network = network
        self.is_pending = False  # counted by admission as pending
        self.used_retry = False  # the client sent a Retry token of ours and would ignore a second Retry
        self.confirmed = False  # the client has used an id that only the backend's answer contained
        self.last_id = b""  # the id chosen by the backend that the client used most recently
        self.buffered: list[ClientDatagram] = []
        self.first_answer: tuple[bytes, ...] = ()  # the backend's, while the client may have missed it
        self.hello: HelloReader | None = HelloReader()  # None once the ClientHello is complete or known to be invalid
        self.has_complete_hello = False  # a complete and valid one
        self.ids: OrderedDict[bytes, None] = OrderedDict()
        self.paths: dict[Address, Path] = {}
        self.adopted_path: Path | None = None  # the path without a connection that this connection was created for
        self.upstream: QuicBackendConnection | None = None
        self.connection: Connection | None = None
        self.created_us = self.last_used_us = front.now()
        self.unanswered = 0
        self.unanswered_since_us = 0
        self.add_id(first_id)

    @property
    def is_established(self) -> bool:
        """Whether a backend has accepted the connection."""
        return self.connection is not None and self.connection.state is ConnectionState.ESTABLISHED

    @property
    def is_connecting(self) -> bool:
        """Whether an attempt is in flight."""
        return self.connection is not None and self.connection.state is ConnectionState.CONNECTING

    def is_first_id(self, connection_id: bytes) -> bool:
        """Return whether an id is the one that the client's first Initial had, from which its keys are derived."""
        return connection_id == self.first_id and self.adopted_path is None

    def add_id(self, connection_id: bytes) -> None:
        """Add an id to this connection; beyond MAX_IDS_PER_CONNECTION the oldest but the first is dropped."""
        if connection_id not in self.ids:
            self.ids[connection_id] = None
            self.front.owners[connection_id] = self
            if len(self.ids) > MAX_IDS_PER_CONNECTION:
                # Not the first id: a repeated Initial would be taken for a new request.
                old = next(known for known in self.ids if known != self.first_id)
                del self.ids[old]
                if self.front.owners.get(old) is self:
                    del self.front.owners[old]

    def discard(self) -> None:
        """Remove the connection, its ids and its paths from the front's tables."""
        if self.connection:
            self.front.remember_executed(self.first_id, self.connection)
        for connection_id in self.ids:
            if self.front.owners.get(connection_id) is self:
                del self.front.owners[connection_id]
        self.ids.clear()
        self.front.close_paths(self)
        self.front.on_discarded(self)

    def buffer_datagram(self, datagram: ClientDatagram, client: Address) -> None:
        """Keep a pending client's datagram for further attempts, and send it to the current attempt's backend."""
        self.client = client
        if all(kept.data != datagram.data for kept in self.buffered):
            self.buffered = [*self.buffered[:1], *self.buffered[1:][-MAX_BUFFERED_DATAGRAMS + 2 :], datagram]
        if self.upstream:
            self.upstream.attempt.is_request_complete = self.has_complete_hello
            self.upstream.send(datagram, client)

    def read_hello(self, opened: InitialPayload) -> tuple[str, tuple[str, ...]] | None:
        """Add a client's CRYPTO frames to its ClientHello. Return the server name and protocols once the ClientHello
        is complete, empty ones if it is invalid, and None while a part is missing."""
        if self.hello is None:
            return "", ()
        try:
            for offset, piece in opened.crypto:
                self.hello.take(offset, piece)
            found = self.hello.hello()
            self.has_complete_hello = found is not None
        except InvalidHelloError:
            found = ("", ())  # type: ignore[assignment]
        if found is not None:
            self.hello = None
        return found

    # ---- the core's client connection interface

    def establish(self, upstream: BackendConnection, response_line: object) -> None:  # noqa: ARG002 - core's port
        """Send the backend's first valid answer to the client; from now on packets are routed by id."""
        self.buffered = []
        self.hello = None
        for path in self.paths.values():
            path.is_direct = True
        self.front.on_settled(self)
        if isinstance(response_line, tuple):
            path, datagrams = response_line
            for datagram in datagrams:
                self.listener.reply(datagram, path.client)
            if self.must_not_repeat and sum(map(len, datagrams)) <= MAX_REPEATED_ANSWER:
                self.first_answer = datagrams

    @property
    def must_not_repeat(self) -> bool:
        """Whether a time has come, or will come, from which on the request must not be executed again."""
        return self.connection is not None and self.connection.repeatable_until_us() is not None

    def confirm(self) -> None:
        """Note that the client has received the backend's answer."""
        self.confirmed = True
        self.first_answer = ()

    def reject(self, pause_us: int) -> None:
        """Close the client's connection as the final answer, with the advised pause in the reason phrase."""
        self._close(busy_reason(pause_us))

    def fail(self) -> None:
        """Close the client's connection as the final answer, with no advised pause."""
        self._close("ERR")

    def _close(self, reason: str) -> None:
        datagram = close_initial(self.version, self.first_id, self.client_id, reason)
        self.front.remember_answer(self.first_id, datagram)
        self.listener.reply(datagram, self.client)
        self.discard()

    def migrate(self) -> None:
        """Send a stateless reset. The client takes it as the backend's own and reconnects with an Initial."""
        if self.upstream:
            self.front.adopt_paths(self, self.upstream.attempt.backend)
        self._reset()

    def has_disconnected(self) -> bool:
        """Return False: a UDP client gives no sign when it disconnects."""
        return False

    def close(self, ending: ConnectionEnd) -> None:  # noqa: ARG002 - core's port
        """Send a stateless reset when the backend is gone, so that the client need not wait for its idle timeout."""
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
    """One attempt at a backend and, once established, the connection to it."""

    def __init__(self, front: FrontTables, owner: QuicClientConnection, attempt: Attempt) -> None:
        self.front = front
        self.owner = owner
        self.attempt = attempt
        attempt.is_request_complete = owner.has_complete_hello
        self.sent = SentHello()
        self.early_datagrams: list[bytes] = []

    def begin(self) -> None:
        """Send the backend the datagrams that the client has sent so far, except those that only repeat others."""
        for datagram in list(self.owner.buffered):
            if not self.sent.covers(datagram):
                self.send(datagram, self.owner.client)
        self.attempt.advance(AttemptPhase.SENT)

    def send(self, datagram: ClientDatagram, client: Address) -> None:
        """Send a datagram to the backend unless vetoed: a retransmission must not open a connection at a backend
        that has begun to drain, nor execute the request at a process that has been started at its address since."""
        if self.sent.covers(datagram) and not self.attempt.may_send_again():
            self.front.count_drop("repeated")
        elif self.attempt.send_veto() is None:
            self.attempt.advance(AttemptPhase.WRITING)
            path = self.front.get_path(client, self.attempt.backend, self.owner, self.owner.listener)
            if path and path.send(datagram.data):
                self.sent.add(datagram)
                self.attempt.advance(AttemptPhase.SENT)  # at once: the next datagram may be refused as it is sent

    def on_refused(self, quote: bytes, is_shared: bool) -> None:
        """Handle an ICMP port unreachable error for a datagram that begins with `quote`; `is_shared`: other paths
        send to the same backend from the same port."""
        if is_shared and not self.sent.may_include(quote):
            return
        never_executed = self.sent.refusal_proves_not_executed(quote)
        self.attempt.end(Cause.UNREACHABLE if never_executed else Cause.BROKEN, ConnectionEnd.BROKEN)

    def on_backend_datagram(self, path: Path, datagram: bytes) -> None:
        """Handle a backend's datagram while the attempt is in flight; anything but a valid answer is dropped."""
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
                if owner.used_retry:  # RFC 9000 17.2.5.2: a client accepts one Retry only, and has used ours
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
        """Handle the backend's Initial: a close ends the attempt, a CRYPTO frame establishes the connection."""
        if opened.close_code is not None:
            self._on_close(opened.close_code)
        elif opened.crypto:
            self._establish(packet, path, datagram)
        else:  # only an ACK: withheld from the client, as the backend may not continue the handshake
            self.front.count_drop("ack_only")

    def _on_close(self, close_code: int) -> None:
        """Handle the backend's close. CONNECTION_REFUSED proves that the request was not executed, unless the client
        has repeated it: the process that rejects the repetition may have replaced the one that took the request."""
        if close_code != CONNECTION_REFUSED:
            self.attempt.end(Cause.ERROR)
        elif self.sent.has_repetition:
            self.attempt.end(Cause.BROKEN)
        else:
            self.attempt.end(Cause.REJECTED)

    def _establish(self, packet: Packet, path: Path, datagram: bytes) -> None:
        self.owner.add_id(packet.from_id)
        self.owner.last_id = packet.from_id
        self.attempt.succeed((path, (datagram, *self.early_datagrams)))
        self.early_datagrams = []

    def close(self, ending: ConnectionEnd) -> None:  # noqa: ARG002 - core's port
        """Close the connection's paths, so that the backend's late datagrams reach no client."""
        self.front.close_paths(self.owner)
        if self.owner.upstream is self and self.owner.is_connecting:
            self.owner.upstream = None


def connection_for_path(front: Any, path: Path) -> QuicClientConnection:
    """Create a connection for a path without one. Its client connected before this relay's start or through
    another relay."""
    owner = QuicClientConnection(
        front, path.listener, path.client, path.last_id, path.client_id if path.is_direct else b"", 0
    )
    owner.adopted_path = path
    owner.has_complete_hello = True
    owner.confirmed = True
    owner.last_id = path.last_id
    return owner
