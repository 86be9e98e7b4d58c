"""The QUIC front's tables under random packets: they stay consistent with each other and within their bounds.

The front, its hub and its sockets are real, on loopback, where a datagram can be read as soon as it is sent. The test
provides the reactor and the clock.
"""

from __future__ import annotations

import os
import socket
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from balancer import Balancer
from balancer.events import BackendState, Endpoint, EndpointListUpdate
from balancer.settings import RequestClass, Settings
from gradefront.config import Config
from gradefront.core.connection import ConnectionState
from gradefront.core.lifecycle_state import LifecycleEvent
from gradefront.core.relay import RelayCore
from gradefront.quic import config as quic_config
from gradefront.quic.front import QuicFront
from gradefront.quic.headers import Kind, split
from gradefront.quic.ids import IdForm
from gradefront.quic.initials import close_initial, seal_initial

FORM = IdForm(0, 2, 6)
HELLO = (b"\x06\x00\x04text").ljust(1_160, b"\0")
SERVER_HELLO = b"\x06\x00\x04text"
SETTINGS = Settings(classes=(RequestClass(latency_objective_us=300_000, deadline_us=1_500_000),), max_attempts=4)
CONFIG = Config(
    name="n0",
    listen=("127.0.0.1", 0),
    discovery=("127.0.0.1", 1),
    seed=1,
    sockets=100,
    settings=SETTINGS,
    class_names=("visit-checkin",),
    zones=(),
    models=(),
    tenants=(),
    report_names=(),
    reports_message_latency=False,
)
MOST_PATHS, MOST_WAITING = 12, 4


class Reactor:
    """A reactor that calls nothing by itself."""

    def addReader(self, reader: Any) -> None:
        self.hub = reader

    def removeReader(self, reader: Any) -> None:
        pass


def udp_socket() -> socket.socket:
    made = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    made.bind(("127.0.0.1", 0))
    made.setblocking(False)
    return made


def read_all(sock: socket.socket) -> list[tuple[bytes, Any]]:
    """Return all datagrams that wait at a socket."""
    datagrams = []
    while True:
        try:
            datagrams.append(sock.recvfrom(9_000))
        except BlockingIOError:
            return datagrams


class Tables(RuleBasedStateMachine):
    """Random steps of clients, backends, time and the endpoint list."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1_000_000_000
        self.backends = [udp_socket() for _ in range(2)]
        document = {
            "listen": {"visit-checkin": "127.0.0.1:0"},
            "config_id": 0,
            "server_id_length": 2,
            "nonce_length": 6,
            "most_paths": MOST_PATHS,
            "most_ports": 4,
            "port_share": 2,
            "most_waiting": MOST_WAITING,
            "boxes": {
                f"box-{n}": {
                    "server_id": f"000{n}",
                    "reset_key": "00",
                    "address": f"127.0.0.1:{backend.getsockname()[1]}",
                }
                for n, backend in enumerate(self.backends)
            },
        }
        self.core = RelayCore(Balancer(SETTINGS, 1), SETTINGS, lambda: self.now, lambda: None)
        self.list(BackendState.READY, BackendState.READY)
        reactor: Any = Reactor()
        self.front = QuicFront(CONFIG, quic_config.parse(document, CONFIG), self.core, reactor)
        self.hub = reactor.hub
        self.clients = [udp_socket() for _ in range(4)]
        self.known: list[bytes] = [FORM.make(b"\0\0")]  # ids that clients have seen
        self.first: list[tuple[bytes, bytes]] = []  # first and client ids of Initials
        self.at_backends: list[tuple[int, bytes, Any]] = []
        self.answers: dict[bytes, int] = {}
        self.settle()

    def list(self, *states: BackendState) -> None:
        self.core.on_endpoint_list(
            EndpointListUpdate(tuple(Endpoint(f"box-{n}", s) for n, s in enumerate(states)), True)
        )

    def settle(self) -> None:
        """Deliver all datagrams in flight."""
        for _ in range(3):
            self.hub._serve(0)
            self.core.run_once()
        for n, backend in enumerate(self.backends):
            self.at_backends += [(n, data, where) for data, where in read_all(backend)]
        del self.at_backends[:-20]
        for client in self.clients:
            for data, _ in read_all(client):
                for packet in split(data, 8)[:1]:
                    if packet.kind is Kind.INITIAL and packet.from_id not in self.known:
                        self.known.append(packet.from_id)
        del self.known[:-10]

    def send(self, client: int, data: bytes) -> None:
        self.clients[client].sendto(data, self.front.listeners[0].address)
        self.settle()

    @rule(client=st.integers(0, 3), names_backend=st.booleans())
    def come(self, client: int, names_backend: bool) -> None:
        first = FORM.make(b"\0\1") if names_backend else os.urandom(8)
        self.first.append((first, os.urandom(8)))
        del self.first[:-6]
        self.send(client, seal_initial(1, first, first, self.first[-1][1], HELLO, True))

    @precondition(lambda self: self.first)
    @rule(client=st.integers(0, 3), which=st.integers(0, 5), close=st.booleans())
    def come_again(self, client: int, which: int, close: bool) -> None:
        first, own = self.first[which % len(self.first)]
        payload = b"\x1c\x00\x00\x00".ljust(1_160, b"\0") if close else HELLO
        self.send(client, seal_initial(1, first, first, own, payload, True))

    @precondition(lambda self: self.at_backends)
    @rule(which=st.integers(0, 19), how=st.sampled_from(["serve", "refuse", "fail", "noise", "talk"]))
    def answer(self, which: int, how: str) -> None:
        n, data, where = self.at_backends[which % len(self.at_backends)]
        packets = split(data, 9)
        if not packets:
            return
        packet = packets[0]
        if packet.kind is not Kind.INITIAL or how == "noise":
            answer = os.urandom(40)
        elif how == "talk":
            answer = b"\x40" + packet.from_id + b"talk"
        elif how == "serve":
            answer = seal_initial(1, packet.to_id, packet.from_id, FORM.make(bytes([0, n])), SERVER_HELLO)
        else:
            answer = close_initial(1, packet.to_id, packet.from_id, "", 2 if how == "refuse" else 1)
        self.backends[n].sendto(answer, where)
        self.settle()

    @rule(client=st.integers(0, 3), which=st.integers(0, 9), fresh=st.booleans())
    def talk(self, client: int, which: int, fresh: bool) -> None:
        connection_id = self.known[which % len(self.known)]
        if fresh:
            connection_id = FORM.make(FORM.read(connection_id) or b"\0\0")
        self.send(client, b"\x40" + connection_id + b"talk to me, somebody who can read this")

    @rule(client=st.integers(0, 3), junk=st.binary(max_size=60))
    def nonsense(self, client: int, junk: bytes) -> None:
        self.send(client, junk)

    @rule(ms=st.sampled_from([4, 130, 700, 3_000, 12_000]))
    def wait(self, ms: int) -> None:
        end = self.now + ms * 1_000
        while self.now < end:
            self.now = min(end, max(self.now + 4_000, self.core.timers.next_due() or end))
            self.core.run_once()
        self.settle()

    @rule(states=st.tuples(*[st.sampled_from([BackendState.READY, BackendState.DRAINING, BackendState.GONE])] * 2))
    def change(self, states: tuple[BackendState, BackendState]) -> None:
        self.list(*states)
        self.wait(130)

    @invariant()
    def the_tables_agree(self) -> None:
        front = self.front
        assert len(front.route_ids) <= MOST_PATHS and len(front.pool.ports) <= 4
        waiting = [v for v in front.connections if v.is_pending]
        assert sum(front.admission.pending.values()) == len(waiting) <= MOST_WAITING
        for connection_id, path in front.routes.items():
            assert connection_id in front.route_ids[path], "a route along a closed path"
        for path, ids in front.route_ids.items():
            assert path.port is not None and path in path.port.slots[path.backend_address].paths()
            assert len(ids) <= 8 and all(front.routes.get(x) is path for x in ids)
            if path.owner is None:
                assert front.unowned[path.client, path.backend] is path
            else:
                assert path.owner.paths[path.client] is path and path.owner in front.connections
        places = [p for sock in front.pool.ports for slot in sock.slots.values() for p in slot.paths()]
        assert sorted(map(id, places)) == sorted(map(id, front.route_ids)), (
            "a slot has a path that the tables lack, or the reverse"
        )
        for connection_id, owner in front.owners.items():
            assert connection_id in owner.ids and owner in front.connections
        for owner in front.connections:
            assert len(owner.ids) <= 16
            assert owner.connection is not None and owner.connection.state is not ConnectionState.CLOSED, (
                "the front keeps a connection that is closed"
            )
        established = [v for v in self.core.connections.values() if v.state is ConnectionState.ESTABLISHED]
        assert len(established) == sum(v.is_established for v in front.connections)
        assert not self.core.counters.counts["exceptions"] and not self.core.counters.counts["overdue"]

    def teardown(self) -> None:
        self.front.close()
        for sock in (*self.clients, *self.backends):
            sock.close()


TestTables = Tables.TestCase
TestTables.settings = settings(max_examples=60, stateful_step_count=40, derandomize=True, deadline=None)


def test_a_stopping_relay_rejects_initials_and_adopts_no_connection() -> None:
    service = Tables()
    front, client = service.front, service.clients[0]
    connection_id = FORM.make(b"\0\0")
    # A connection from before this relay's start: both sides send along a path without a connection.
    for _ in range(3):
        service.send(0, b"\x40" + connection_id + b"talk to me, somebody who can read this")
        where = service.at_backends[-1][2]
        service.backends[0].sendto(b"\x40" + os.urandom(8) + b"talk", where)
        service.settle()
    (path,) = front.route_ids
    assert path.owner is None and path.received >= 2
    assert service.core.lifecycle.transition(LifecycleEvent.STOP)
    service.wait(3_000)
    assert path.owner is None and not service.core.counters.counts["visits_brought"], "adopted while stopping"
    read_all(client)
    service.at_backends.clear()
    first = os.urandom(8)
    client.sendto(seal_initial(1, first, first, b"its own.", HELLO, True), front.listeners[0].address)
    for _ in range(10):
        service.hub._serve(0)
        service.now += 4_000
        service.core.run_once()
    assert len(read_all(client)) == 1, "the Initial was not answered exactly once"
    assert not read_all(service.backends[0]) + read_all(service.backends[1]) and not front.connections, (
        "an Initial was forwarded while stopping"
    )
    assert not service.core.counters.counts["exceptions"]
    service.teardown()
