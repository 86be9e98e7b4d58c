"""The QUIC front's tables: connections and paths by id, and the opening and closing of paths."""

from __future__ import annotations

from collections import OrderedDict, deque
from itertools import islice

from gradefront.config import Address, Config
from gradefront.core.attempt_outcome import Cause
from gradefront.core.connection import Connection
from gradefront.core.ports import ConnectionEnd
from gradefront.core.relay import RelayCore
from gradefront.net.reactor import Reactor
from gradefront.routing.admission import Admission
from gradefront.routing.buckets import Bucket

from .config import QuicConfig
from .connections import QuicClientConnection
from .executed import ExecutedRequests
from .listener import Listener
from .paths import Path, Port, PortPool
from .sockets import Hub, source_address
from .tokens import TokenMint

#: Time for which a final answer is repeated to a client that sends an Initial with the same id.
ANSWER_RETENTION_US = 10_000_000
MAX_RETAINED_ANSWERS = 4_096
MAX_IDS_PER_PATH = 8
NEGOTIATIONS_PER_S = 100.0
RETRIES_PER_S = 10_000.0  # as many as one CPU core can build


class Tables:
    """The front's tables.

    `owners`: connections by id. `routes`: paths by id, for the listeners. `unowned`: paths without a connection, by
    client address and backend. `final_answers` and `moved_ids`: by id, closes to repeat, and the reset keys of
    connections that were reset, each with its time of expiry.
    """

    def __init__(self, config: Config, quic: QuicConfig, core: RelayCore, reactor: Reactor) -> None:
        self.config = config
        self.core = core
        self.now = core.clock
        self.connections: dict[QuicClientConnection, None] = {}
        self.unconfirmed: OrderedDict[QuicClientConnection, None] = OrderedDict()
        self.owners: dict[bytes, QuicClientConnection] = {}
        self.routes: dict[bytes, Path] = {}
        self.route_ids: dict[Path, deque[bytes]] = {}  # every path, oldest first, with its ids in `routes`
        self.unowned: dict[tuple[Address, str], Path] = {}
        self.latest_paths: dict[tuple[Address, str], Path] = {}
        self.final_answers: OrderedDict[bytes, tuple[bytes, int]] = OrderedDict()
        self.moved_ids: OrderedDict[bytes, tuple[bytes, int]] = OrderedDict()
        self.executed = ExecutedRequests()
        self.used_tokens: OrderedDict[bytes, None] = OrderedDict()
        #: Lengths of ids by configuration number; shared with the listeners and therefore updated in place.
        self.lengths = [0] * 8
        self.started_us = self.now()
        self.negotiations = Bucket(NEGOTIATIONS_PER_S, NEGOTIATIONS_PER_S, self.started_us)
        self.retries = Bucket(RETRIES_PER_S, RETRIES_PER_S / 4, self.started_us)
        self.was_serving: dict[str, bool] = {}
        self.first_placed_us: dict[str, int] = {}  # by backend: see _find_first_placed
        self.admission = Admission(quic.limits, self.started_us)
        self.configure(quic)
        host = source_address(backend.address for backend in quic.backends.values())
        self.hub = Hub(reactor)
        self.pool = PortPool(
            self.hub,
            host,
            quic.most_ports,
            quic.port_share,
            self._on_backend_datagram,
            self._on_refused,
            core.counters.add,
        )

    def configure(self, quic: QuicConfig) -> None:
        """Apply settings at start or on a reload: ids, backends, keys, limits. Established connections continue;
        paths to a backend whose address has changed are closed, and the next datagram opens new ones."""
        self.quic = quic
        self.id_decoder = quic.id_decoder()
        self.lengths[:] = self.id_decoder.lengths
        self.server_ids = quic.server_ids()
        admission = Admission(quic.limits, self.now())
        admission.proven = self.admission.proven  # clients that have proven their address need not do so again
        self.admission = admission
        for owner in self.connections:
            if owner.is_pending:
                self.admission.add_pending(owner.network)
        self.mint = None
        if quic.token_keys:
            self.mint = TokenMint(quic.token_keys, quic.newest_token_key, quic.token_life_us)
        for path in list(self.route_ids):
            backend = quic.backends.get(path.backend)
            if backend is None or backend.address != path.backend_address:
                self._close_path_of_old_address(path)

    def _close_path_of_old_address(self, path: Path) -> None:
        """Close a path to an address that its backend no longer has. An attempt in flight ends: the client's repeated
        datagrams would otherwise open a second connection at the new address."""
        upstream = path.owner.upstream if path.owner and path.owner.is_connecting else None
        if upstream:
            upstream.attempt.end(Cause.BROKEN, ConnectionEnd.BROKEN)
        self._close_path(path)

    def count_drop(self, reason: str) -> None:
        """Count a dropped datagram by its reason."""
        self.core.counters.add(f"quic_dropped_{reason}")

    def levels(self) -> dict[str, int]:
        """Return the current sizes of the tables, for the counters."""
        return {
            "quic_visits_now": len(self.connections),
            "quic_paths_now": len(self.route_ids),
            "quic_ports_now": len(self.pool.ports),
            "quic_ids_now": len(self.owners) + len(self.routes),
            "quic_under_pressure": int(self.admission.under_pressure),
        }

    def _add_route(self, connection_id: bytes, path: Path) -> None:
        """Have the listeners send packets with this id along this path."""
        old = self.routes.get(connection_id)
        if old is path:
            return
        ids = self.route_ids.get(path)
        if ids is None:
            return
        if old is not None and old in self.route_ids:
            self.route_ids[old].remove(connection_id)
        self.routes[connection_id] = path
        ids.append(connection_id)
        if len(ids) > MAX_IDS_PER_PATH:
            del self.routes[ids.popleft()]

    def _backend_of_id(self, connection_id: bytes) -> str | None:
        decoded = self.id_decoder.server_id_of(connection_id)
        return self.server_ids.get(decoded) if decoded else None

    # ---- paths

    def get_path(
        self, client: Address, backend: str, owner: QuicClientConnection | None, listener: Listener
    ) -> Path | None:
        """Return the path from a client address to a backend, opening one if needed; None if there is no room."""
        key = (client, backend)
        path = owner.paths.get(client) if owner else self.latest_paths.get(key)
        if path is not None and path.backend == backend:
            return path
        if owner and key in self.unowned:
            # A connection's id arrived on a path without a connection: the path is assigned to it and keeps its port.
            path = self.unowned[key]
            self._assign_owner(path, owner)
            return path
        configured = self.quic.backends.get(backend)
        if configured is None:
            return None
        if len(self.route_ids) >= self.quic.most_paths and not self._evict_path():
            return None
        path = Path(client, backend, configured.address, listener, owner, self.now())
        path.is_direct = owner is not None and owner.is_established
        avoid: set[Port] = {p.port for p in owner.paths.values() if p.port} if owner else set()
        client_id = owner.client_id if owner and owner.client_id else b""
        if not self.pool.assign_port(path, client_id, avoid, self.now(), self._client_id):
            return None  # until a path is closed, e.g. by the periodic check for idle ones
        self.route_ids[path] = deque()
        if owner:
            owner.paths[client] = path
        else:
            self.unowned[key] = path
        self.latest_paths[key] = path
        self.core.counters.add("quic_paths")
        return path

    @staticmethod
    def _client_id(path: Path) -> bytes:
        return path.owner.client_id if path.owner else path.client_id if path.is_direct else b""

    def _assign_owner(self, path: Path, owner: QuicClientConnection) -> None:
        """Assign a path without a connection to a connection."""
        self.unowned.pop((path.client, path.backend), None)
        path.owner = owner
        path.is_direct = owner.is_established
        old = owner.paths.get(path.client)
        if old is not None and old is not path:
            self._close_path(old)
        owner.paths[path.client] = path
        self.pool.identify(path, owner.client_id)

    def _evict_path(self) -> bool:
        """Close the least recently used of the 16 oldest paths, except those with an attempt in flight; return
        whether there was one. A search of all paths would cost too much in a connection storm."""
        oldest = list(islice(self.route_ids, 16))
        for path in oldest:
            self.update_usage(path, self.now())
        free = [p for p in oldest if not (p.owner and p.owner.is_connecting)]
        if not free:
            return False
        evicted = min(free, key=lambda p: p.last_used_us)
        for path in oldest:  # the others move to the end of the order
            if path is not evicted:
                self.route_ids[path] = self.route_ids.pop(path)
        self._close_path(evicted)
        self.core.counters.add("quic_paths_evicted")
        return True

    def _close_path(self, path: Path) -> None:
        for connection_id in self.route_ids.pop(path, ()):
            if self.routes.get(connection_id) is path:
                del self.routes[connection_id]
        key = (path.client, path.backend)
        for table in (self.unowned, self.latest_paths):
            if table.get(key) is path:
                del table[key]
        if path.owner and path.owner.paths.get(path.client) is path:
            del path.owner.paths[path.client]
        self.pool.release(path, self.now())

    def close_paths(self, owner: QuicClientConnection) -> None:
        """Close all paths of a connection."""
        for path in list(owner.paths.values()):
            self._close_path(path)

    def _on_backend_datagram(self, path: Path, datagram: bytes) -> None:
        """Handle a backend's datagram that must be examined before it may go to the client."""
        path.received += 1
        owner = path.owner
        if owner and not owner.is_established:
            if owner.upstream and not owner.upstream.attempt.is_over:
                owner.upstream.on_backend_datagram(path, datagram)
            return
        if not path.is_direct and path.learn_client_id(datagram):
            path.is_direct = True
            self.pool.identify(path, path.client_id)
        path.listener.reply(datagram, path.client)

    def _on_refused(self, path: Path, quote: bytes, is_shared: bool) -> None:
        """Handle an ICMP port unreachable error: nothing listens at the backend's address.

        `quote` is the start of the refused datagram; `is_shared`: it may be another path's.
        """
        owner = path.owner
        if owner is None or owner.upstream is None or owner.upstream.attempt.is_over:
            self._close_path(path)
        elif owner.is_established:
            owner.upstream.attempt.end(Cause.UNREACHABLE, ConnectionEnd.BROKEN)
        else:
            owner.upstream.on_refused(quote, is_shared)

    # ---- callbacks of connections

    def on_settled(self, owner: QuicClientConnection) -> None:
        """Handle a connection that is established or over: it is no longer pending."""
        if owner.is_pending:
            owner.is_pending = False
            self.admission.remove_pending(owner.network)
        if not owner.confirmed and owner in self.connections:
            self.unconfirmed[owner] = None

    def on_discarded(self, owner: QuicClientConnection) -> None:
        """Remove a connection that is over from the tables."""
        self.on_settled(owner)
        self.connections.pop(owner, None)
        self.unconfirmed.pop(owner, None)

    def remember_answer(self, connection_id: bytes, datagram: bytes, retention_us: int = ANSWER_RETENTION_US) -> None:
        """Remember a final answer, so that a client that repeats its Initial gets the same answer."""
        self.final_answers[connection_id] = (datagram, self.now() + retention_us)
        while len(self.final_answers) > MAX_RETAINED_ANSWERS:
            self.final_answers.popitem(last=False)

    def remember_executed(self, connection_id: bytes, connection: Connection) -> None:
        """Remember a request that is over, if it may have been executed and must not be executed again."""
        repeatable_until_us = connection.repeatable_until_us()
        if repeatable_until_us is None:
            return
        expires_us = max(self.now() + ANSWER_RETENTION_US, connection.gives_up_us)
        if self.executed.add(connection_id, repeatable_until_us, expires_us):
            self.core.counters.add("quic_executed_forgotten")

    def remember_moved_id(self, connection_id: bytes, key: bytes) -> None:
        """Remember an id of a connection that was reset, to answer later packets with a reset too."""
        self.moved_ids[connection_id] = (key, self.now() + ANSWER_RETENTION_US)
        while len(self.moved_ids) > MAX_RETAINED_ANSWERS:
            self.moved_ids.popitem(last=False)

    @staticmethod
    def update_usage(path: Path, now: int) -> tuple[int, int]:
        """Return the numbers of datagrams sent to and received from the backend since the last call; if there were
        any, note the time as the path's last use."""
        sent, received = path.sent - path.seen_sent, path.received - path.seen_received
        if sent or received:
            path.last_used_us, path.seen_sent, path.seen_received = now, path.sent, path.received
        return sent, received
