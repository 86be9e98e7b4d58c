"""The QUIC front: an Initial with an unknown id is a request that the core forwards; later packets are routed by id.

Packets are passed through, and QUIC terminates at the backend. The front reads headers, and the payload of Initial
packets only, whose keys any observer on the path can derive. A client's datagram arrives at `listener.Listener`,
which sends it straight to the backend if its path is known and otherwise calls `on_client_datagram` below; the
backend's datagrams return through `paths.Port`.
"""

from __future__ import annotations

import os
import time

from gradefront.config import Address, Config, ConfigError
from gradefront.core.connect_request import ConnectRequest
from gradefront.core.ports import ConnectionEnd
from gradefront.core.relay import RelayCore
from gradefront.net.reactor import Reactor
from gradefront.routing.admission import Verdict

from .config import QuicConfig
from .connections import QuicClientConnection
from .headers import (
    KINDS,
    LONG_HEADER_BIT,
    MIN_FIRST_ID_LENGTH,
    MIN_INITIAL_LENGTH,
    Invariants,
    Kind,
    Packet,
    invariants,
    split,
    stateless_reset,
    version_negotiation,
)
from .ids import UNROUTABLE
from .initials import INVALID_TOKEN, InitialPayload, busy_reason, close_initial, make_retry, open_initial
from .listener import Listener
from .maintenance import SERVING_STATES, TICK_US, Maintenance
from .sent_hello import ClientDatagram, hello_parts
from .switch import quic_file
from .tables import ANSWER_RETENTION_US
from .tokens import TokenCheck, TokenVerdict

MAX_USED_TOKENS = 16_384
MAX_SHORT_HEADER_LENGTH = 21  # octets before the packet number: the first octet and an id
MIN_RESET_LENGTH = 21  # octets of a stateless reset (RFC 9000 10.3)
HELLO_TIMEOUT_US = 250_000  # to wait for the rest of a ClientHello; after it the listening port decides the class


class QuicFront(Maintenance):
    """The front's listeners, and the handling of client datagrams that the listeners know no path for."""

    def __init__(self, config: Config, quic: QuicConfig, core: RelayCore, reactor: Reactor) -> None:
        super().__init__(config, quic, core, reactor)
        self.listeners = [self._listen(class_name, address) for class_name, address in quic.listen.items()]
        core.call_later(TICK_US, self._tick)

    def _listen(self, class_name: str, address: Address) -> Listener:
        """Open the listening socket of a request class. Raises ConfigError, as when another process has the port."""
        try:
            return Listener(self.hub, class_name, address, self.routes, self.lengths, self.on_client_datagram)
        except OSError as error:
            host, port = address
            raise ConfigError(
                f"{quic_file().name}: listen.{class_name}: cannot listen on {host}:{port}: {error.strerror or error}"
            ) from None

    # ---- from clients

    def on_client_datagram(self, listener: Listener, datagram: bytes, client: Address) -> None:
        """Handle a client's datagram that the listener knows no path for."""
        self.core.counters.add("quic_datagrams_in")
        if not datagram:
            self.count_drop("malformed")
        elif datagram[0] & LONG_HEADER_BIT:
            self._on_long_header(listener, datagram, client)
        elif connection_id := self.id_decoder.short_header_id(datagram):
            self._forward_by_id(listener, connection_id, datagram, client)
        else:
            self.count_drop("malformed" if len(datagram) < MAX_SHORT_HEADER_LENGTH else "unknown_id")

    def _on_long_header(self, listener: Listener, datagram: bytes, client: Address) -> None:
        head = invariants(datagram)
        if head is None or head.version == 0:  # RFC 9000 6.1: Version Negotiation is never answered
            self.count_drop("malformed")
            return
        if head.version not in KINDS:
            self._on_unsupported_version(listener, head, datagram, client)
            return
        packets = split(datagram)
        if not packets:
            self.count_drop("malformed")
            return
        first = packets[0]
        owner = self.owners.get(first.to_id)
        if owner is None and first.kind is Kind.INITIAL:
            self._on_initial(listener, packets, datagram, client)
        elif owner and not owner.is_established:
            self._on_pending_datagram(owner, packets, datagram, client)
        elif owner and first.kind is Kind.INITIAL and owner.is_first_id(first.to_id):
            self._on_repeated_initial(listener, owner, packets, datagram, client)
        elif owner or first.kind is Kind.HANDSHAKE:
            self._forward_by_id(listener, first.to_id, datagram, client)
        else:  # 0-RTT without its Initial, or a packet type that no client sends
            self.count_drop("unknown_id")

    def _on_unsupported_version(self, listener: Listener, head: Invariants, datagram: bytes, client: Address) -> None:
        """Route a packet of an established connection by its id alone, as RFC 8999 permits; otherwise send Version
        Negotiation (RFC 9000 6)."""
        owner = self.owners.get(head.to_id)
        if owner and owner.is_established:
            self._forward_by_id(listener, head.to_id, datagram, client)
            return
        self.count_drop("version")
        if len(datagram) >= MIN_INITIAL_LENGTH and self.negotiations.take(self.now()):
            self.core.counters.add("quic_negotiations")
            listener.reply(version_negotiation(head), client)

    # ---- requests

    def _on_initial(self, listener: Listener, packets: list[Packet], datagram: bytes, client: Address) -> None:
        """Handle an Initial with an unknown id: it is a request, even if the id happens to encode a backend."""
        first = packets[0]
        connection_id = first.to_id
        if connection_id in self.final_answers:  # the answer was lost or has crossed with this Initial: repeat it
            self.count_drop("answered")
            listener.reply(self.final_answers[connection_id][0], client)
            return
        if len(datagram) < MIN_INITIAL_LENGTH or len(connection_id) < MIN_FIRST_ID_LENGTH:
            self.count_drop("malformed")
            return
        now = self.now()
        if self.executed.forbids(connection_id, now):
            self.count_drop("executed")
            listener.reply(close_initial(first.version, connection_id, first.from_id, "ERR"), client)
            return
        token_check = (
            self.mint.read(first.token, client[:2], connection_id, now) if self.mint and first.token else None
        )
        if token_check and token_check.verdict not in (TokenVerdict.NONE, TokenVerdict.PROVEN):
            self._reject_token(listener, first, client, token_check.verdict, now)
            return
        proven = token_check is not None and token_check.verdict is TokenVerdict.PROVEN
        if proven and token_check and token_check.number in self.used_tokens:
            self.count_drop("token_replayed")
            return
        verdict, pause_us = self.admission.decide(now, client[0], connection_id, proven)
        if verdict is Verdict.ADMIT:
            self._accept(listener, packets, datagram, client, token_check if proven else None)
        elif verdict is Verdict.REQUIRE_PROOF and self.mint and self.retries.take(now):
            self.core.counters.add("quic_retries")
            new_id = bytes([UNROUTABLE << 5]) + os.urandom(MIN_FIRST_ID_LENGTH)  # never decodes to a backend
            token = self.mint.make(client[:2], connection_id, new_id, now)
            listener.reply(make_retry(first.version, connection_id, first.from_id, new_id, token), client)
        elif verdict is Verdict.REJECT:
            self.core.counters.add("quic_refused_at_door")
            answer = close_initial(first.version, connection_id, first.from_id, busy_reason(pause_us))
            self.remember_answer(connection_id, answer, min(pause_us, ANSWER_RETENTION_US))
            listener.reply(answer, client)
        else:
            self.count_drop(f"at_door_{verdict.value}")

    def _accept(
        self,
        listener: Listener,
        packets: list[Packet],
        datagram: bytes,
        client: Address,
        token_check: TokenCheck | None,
    ) -> None:
        """Create a connection for an admitted Initial; `token_check` is set if the Initial has a valid token."""
        first = packets[0]
        opened = self._open(first, first.to_id)
        if opened is None or opened.close_code is not None:
            self._on_stray_initial(listener, first, opened, datagram, client)
            return
        for packet in packets[1:]:
            coalesced = self._open(packet, first.to_id) if packet.kind is Kind.INITIAL else None
            if coalesced:
                opened = opened._replace(crypto=opened.crypto + coalesced.crypto)
        owner = self._create_connection(listener, packets, opened, datagram, client)
        if token_check:
            owner.used_retry = bool(token_check.first_id)
            self.used_tokens[token_check.number] = None
            if len(self.used_tokens) > MAX_USED_TOKENS:
                self.used_tokens.popitem(last=False)

    def _reject_token(
        self, listener: Listener, first: Packet, client: Address, verdict: TokenVerdict, now: int
    ) -> None:
        """Close with INVALID_TOKEN, so that a client with a bad Retry token need not time out (RFC 9000 8.1.2)."""
        self.count_drop(f"token_{verdict.value}")
        if self.admission.rejections.take(now):
            listener.reply(close_initial(first.version, first.to_id, first.from_id, "", INVALID_TOKEN), client)

    def _open(self, packet: Packet, first_id: bytes) -> InitialPayload | None:
        """Decrypt a client's Initial, and charge the time to the listeners' CPU budget."""
        began = time.perf_counter_ns()
        opened = open_initial(packet, first_id, from_client=True)
        self.admission.cpu.spend(self.now(), (time.perf_counter_ns() - began) / 1_000)
        return opened

    def _on_stray_initial(
        self, listener: Listener, first: Packet, opened: InitialPayload | None, datagram: bytes, client: Address
    ) -> None:
        """Handle an Initial that cannot be decrypted, or that closes. One that cannot be decrypted may belong to a
        connection that another relay established, or this relay before a restart: its keys derive from an id that is
        unknown here. It is routed by its id, but only to a backend that may get new requests."""
        backend = self._backend_of_id(first.to_id) if opened is None else None
        if backend and self.core.is_ready(backend):
            self._forward_by_id(listener, first.to_id, datagram, client)
        else:
            self.count_drop("malformed" if opened is None else "closed")

    def _create_connection(
        self, listener: Listener, packets: list[Packet], opened: InitialPayload, datagram: bytes, client: Address
    ) -> QuicClientConnection:
        """Create a connection and submit its request; `opened` has the CRYPTO frames of the whole datagram."""
        first = packets[0]
        network = self.quic.limits.prefixes.network_of(client[0])
        owner = QuicClientConnection(self, listener, client, first.to_id, first.from_id, first.version, network)
        owner.is_pending = True
        self.admission.add_pending(network)
        self.connections[owner] = None
        owner.buffered.append(ClientDatagram(datagram, hello_parts(opened.crypto)))
        self._read_hello(owner, opened)
        if owner.connection is None and (self.quic.class_of_protocol or self.quic.class_of_name):
            self.core.call_later(HELLO_TIMEOUT_US, lambda: self._submit(owner, listener.class_name))
        else:
            self._submit(owner, listener.class_name)
        return owner

    def _read_hello(self, owner: QuicClientConnection, opened: InitialPayload) -> None:
        """Submit the request once the ClientHello, which may span several datagrams, is complete. Its server name and
        protocols take precedence over the listening port in the choice of the request class."""
        found = owner.read_hello(opened)
        if found is None:
            return
        name, protocols = found
        class_name = self.quic.class_of_name.get(name, owner.listener.class_name)
        for protocol in protocols:
            if protocol in self.quic.class_of_protocol:
                class_name = self.quic.class_of_protocol[protocol]
                break
        self._submit(owner, class_name)

    def _submit(self, owner: QuicClientConnection, class_name: str) -> None:
        if owner.connection is not None or owner not in self.connections:
            return
        request_class = self.config.class_numbers.get(class_name)
        if request_class is None:  # a reload has dropped the class
            self.count_drop("unknown_class")
            owner.fail()
            return
        waited_us = self.now() - owner.created_us
        timeout_us = max(1, self.config.settings.classes[request_class].deadline_us - waited_us)
        owner.connection = self.core.accept(ConnectRequest(timeout_us, owner, request_class), owner, self)

    def _on_pending_datagram(
        self, owner: QuicClientConnection, packets: list[Packet], datagram: bytes, client: Address
    ) -> None:
        parts: tuple[range, ...] = ()
        for packet in packets:
            if packet.kind is not Kind.INITIAL:
                continue
            opened = self._open(packet, owner.first_id)
            if opened is None:
                self.count_drop("malformed")
                return
            parts += hello_parts(opened.crypto)
            if opened.close_code is not None:
                if owner.connection:
                    self.core.on_client_closed(owner.connection, ConnectionEnd.ORDERLY)
                owner.discard()
                return
            if owner.hello:
                self._read_hello(owner, opened)
        owner.buffer_datagram(ClientDatagram(datagram, parts), client)

    # ---- packets of established connections

    def _on_repeated_initial(
        self,
        listener: Listener,
        owner: QuicClientConnection,
        packets: list[Packet],
        datagram: bytes,
        client: Address,
    ) -> None:
        """Handle an Initial of an established connection: its client may not have received the backend's answer.

        Where another process may be running at the backend's address by now, and the request must not be executed
        again, the relay repeats the answer itself.
        """
        upstream = owner.upstream
        parts = self._hello_parts(owner, packets)
        if parts is None:
            self.count_drop("malformed")
            return
        repeated = ClientDatagram(datagram, parts)
        if upstream and upstream.sent.covers(repeated) and not upstream.attempt.may_send_again():
            self.count_drop("repeated")
            for answer in owner.first_answer:
                listener.reply(answer, client)
            return
        if upstream:
            upstream.sent.add(repeated)
        self._forward_by_id(listener, owner.first_id, datagram, client)

    def _hello_parts(self, owner: QuicClientConnection, packets: list[Packet]) -> tuple[range, ...] | None:
        """Return the parts of the ClientHello in a datagram's Initials; None if one can't be decrypted or read."""
        frames: list[tuple[int, bytes]] = []
        for packet in packets:
            if packet.kind is Kind.INITIAL:
                opened = self._open(packet, owner.first_id)
                if opened is None:
                    return None
                frames += opened.crypto
        return hello_parts(frames)

    def _forward_by_id(self, listener: Listener, connection_id: bytes, datagram: bytes, client: Address) -> None:
        """Send an established connection's packet to its backend, whatever client address it arrives from."""
        owner = self.owners.get(connection_id)
        if owner is not None and not owner.is_established:
            owner.buffer_datagram(ClientDatagram(datagram), client)
            return
        if owner is None and connection_id in self.moved_ids:
            self.count_drop("moved")
            # RFC 9000 10.3.3: a reset is smaller than the packet that it answers, so that resets cannot loop.
            if len(datagram) > MIN_RESET_LENGTH + 1:
                listener.reply(
                    stateless_reset(self.moved_ids[connection_id][0], connection_id, len(datagram) - 1), client
                )
            return
        backend = owner.upstream.attempt.backend if owner and owner.upstream else self._backend_of_id(connection_id)
        if backend is None:
            self.count_drop("unknown_id")
            return
        if self.core.backends.state(backend) not in SERVING_STATES:
            self.count_drop("gone_box")
            return
        path = self.get_path(client, backend, owner, listener)
        if path is None:
            self.count_drop("no_room")
            return
        owner = path.owner
        if owner:
            self._record_use(owner, connection_id, listener, client)
        path.last_id = connection_id
        path.last_used_us = self.now()
        path.is_direct = path.is_direct or owner is not None
        if not owner or connection_id != owner.first_id:
            self._add_route(connection_id, path)
        path.send(datagram)

    def _record_use(
        self, owner: QuicClientConnection, connection_id: bytes, listener: Listener, client: Address
    ) -> None:
        owner.add_id(connection_id)  # an unknown id on a known path belongs to the path's connection
        owner.client, owner.last_used_us, owner.listener = client, self.now(), listener
        if owner.upstream:
            owner.upstream.attempt.on_activity()
        if connection_id != owner.first_id:
            owner.last_id = connection_id
            if not owner.confirmed:
                owner.confirm()
                self.unconfirmed.pop(owner, None)
                self.admission.credit(client[0], responded=True)

    def close(self) -> None:
        """Close all sockets."""
        self.hub.close()
