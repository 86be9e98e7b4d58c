"""Random sequences of requests, disconnects, short writes, failing calls, clock steps and signals, with one oracle.

The oracle checks from outside that each request gets exactly one complete final answer before its deadline, and that
no request is forwarded after its end.

The relay under test uses real sockets; a request to a backend is checked at the system call that completes it.
"""

from __future__ import annotations

import errno
import json
import os
import re
import select
import socket
import tempfile
from contextlib import suppress
from itertools import count
from pathlib import Path
from typing import Any
from unittest.mock import patch

from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from gradefront.net.backend_connection import BackendProtocol
from gradefront.net.client_protocol import ClientProtocol
from lab.stand_ins import settings

from .faults import FaultySocket, faulty
from .loop import Backend, Loop, Peer, wait_ready
from .lost_model_records import AttemptSocket, ClientRecord

TRANSIENT_ERRORS = [errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN]
ACCEPT_ERRORS = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.ECONNABORTED, errno.EPROTO]
ANSWERS = [
    b"UP r-1\r\n",
    b"UP r-1\r\na line\r\n",
    b"UP r-1\r\nhalf",
    b"BUSY\r\n",
    b"ERR\r\n",
    b"BYE\r\n",
    b"MOVE\r\n",
    b"UP\r\n",
    b"UP r-",
    b"WHAT\r\n",
    b"BUSY\r\nUP r-2\r\n",
    b"",
]
LATER_LINES = [b"a line\r\n", b"LOAD 3\r\n", b"z" * 3000 + b"\r\n", b"BYE\r\n"]
FINAL_ANSWER = re.compile(rb"UP r-1|BUSY( [0-9]+)?|ERR")
MAX_ATTEMPTS = 4
NUMBERS = st.integers(0, 1_000)


class Oracle(RuleBasedStateMachine):
    """Drives one relay through random steps, and checks its behaviour."""

    def __init__(self) -> None:
        super().__init__()
        self.numbers = count(0x1000)
        self.clients: list[ClientRecord] = []
        self.backend_ends: dict[int, Peer] = {}  # by the relay's local port of the connection
        self.attempts: list[AttemptSocket] = []
        self.draining: set[int] = set()  # ports of the backends that the endpoint list reports as draining
        self.first_write_limit: int | None = None  # bytes that a new backend connection can send; None: all
        self.violations: list[str] = []
        self.stopping = False
        self.folder = tempfile.TemporaryDirectory()

    @initialize(safe=st.booleans())
    def begin(self, safe: bool) -> None:
        values = settings(objective_ms=200, deadline_ms=1200, maxAttempts=MAX_ATTEMPTS)
        for grade in values["grades"]:
            grade["semantics"] = "safe" if safe else "unsafe"
        self.safe = safe
        self.backends = [Backend(), Backend()]
        original, oracle = BackendProtocol.connectionMade, self

        def recorded(line: BackendProtocol) -> None:
            attempt = line.tcp.socket = AttemptSocket(line.tcp.socket, oracle.on_request_sent)
            attempt.send_capacity = oracle.first_write_limit
            oracle.attempts.append(attempt)
            original(line)

        self.patch = patch.object(BackendProtocol, "connectionMade", recorded)
        self.patch.start()
        self.loop = Loop(Path(self.folder.name), self.backends, values)
        faulty(self.loop.relay.port)
        (Path(self.folder.name) / "config.json").write_text(json.dumps(self.loop.config))

    # ---- the oracle

    def on_request_sent(self, attempt: AttemptSocket) -> None:
        """Check a request at the system call that has sent the end of its line."""
        client = next(c for c in self.clients if c.id == attempt.written[5:21])
        if client.half_closed:
            self.violations.append("forwarded after its client had shut its sending side")
        if client.broke_protocol:
            self.violations.append("forwarded for a client that has received an error")
        if attempt.port in self.draining:
            self.violations.append("sent to a draining backend")
        if any(other.in_flight for other in client.attempts):
            self.violations.append("two attempts in flight at once")
        if not self.safe and any(not other.rejected for other in client.attempts):
            self.violations.append("an unsafe request was possibly executed twice")
        client.attempts.append(attempt)
        if len(client.attempts) > MAX_ATTEMPTS:
            self.violations.append("more attempts than maxAttempts")

    def check(self) -> None:
        """Check what the clients have received so far."""
        assert not self.violations, self.violations
        for client in self.clients:
            lines = client.lines()
            answer = lines[0] if len(lines) > 1 else b""
            assert not answer or FINAL_ANSWER.fullmatch(answer), f"not a valid final answer: {answer!r}"
            if answer and not answer.startswith(b"UP"):
                assert lines[1:] == [b""], f"more than one answer: {lines!r}"
            if lines.count(b"MOVE"):
                assert lines[-2:] == [b"MOVE", b""], "something after MOVE"
            if client.requested and not client.closed and self.loop.now_us > client.due_us and client.peer.sock:
                assert answer, "no answer before the deadline"

    def settle(self) -> None:
        """Run some iterations of the loop, accept the backends' new connections, and check the clients."""
        self.loop.step(3)
        for backend in self.backends:
            while backend.has_pending:
                peer = backend.accept()
                with suppress(OSError):  # the relay may have reset it already
                    self.backend_ends[peer.sock.getpeername()[1]] = peer
        self.check()

    def pick(self, n: int) -> ClientRecord | None:
        candidates = [c for c in self.clients if not c.closed]
        return candidates[n % len(candidates)] if candidates else None

    # ---- clients

    @precondition(lambda self: len(self.clients) < 12)
    @rule(asks=st.booleans(), d=st.sampled_from([300, 900]))
    def client_connects(self, asks: bool, d: int) -> None:
        if self.stopping:
            return
        port = self.loop.relay.port.getHost().port
        client = ClientRecord(next(self.numbers), Peer(socket.create_connection(("127.0.0.1", port))))
        self.clients.append(client)
        if asks:
            self.send_request(client, d)
        self.settle()

    def send_request(self, client: ClientRecord, d: int) -> None:
        client.peer.send_line(f"OPEN {client.id.decode()} 7f3a9c21e0b4d655 c=visit-checkin,d={d},g=5c0f6e1a2b3d4c59")
        client.requested = True
        client.due_us = self.loop.now_us + d * 1000 + 60_000  # a failed accept may delay it by some ms

    @rule(n=NUMBERS)
    def client_is_served(self, n: int) -> None:
        """Establish a connection, so that other rules have one to disturb."""
        self.client_connects(True, 900)
        self.time_passes(40_000)
        self.backend_serves_client(n)

    @rule(n=NUMBERS, d=st.sampled_from([300, 900]))
    def client_asks(self, n: int, d: int) -> None:
        client = self.pick(n)
        if client and not client.requested and not client.half_closed and not client.lines():
            client.peer.read()
        if (
            client
            and not client.requested
            and not client.half_closed
            and not client.peer.received
            and not client.peer.ended
        ):
            self.send_request(client, d)
            self.settle()

    @rule(n=NUMBERS, payload=st.sampled_from([b"a message\r\n", b"half", b"x" * 5000]))
    def client_sends_more(self, n: int, payload: bytes) -> None:
        client = self.pick(n)
        if client and client.requested and not client.half_closed and not client.peer.ended:
            is_waiting = not client.peer.read()
            if is_waiting and payload != b"half":
                self.settle()
                is_waiting = not client.peer.read()
            try:
                client.peer.send(payload)
            except ConnectionError:
                return
            self.settle()
            client.broke_protocol = client.broke_protocol or (
                is_waiting and payload != b"half" and client.lines()[0] == b"ERR"
            )

    @rule(n=NUMBERS, ending=st.sampled_from(["close", "reset", "half"]), seen=st.booleans())
    def client_disconnects(self, n: int, ending: str, seen: bool) -> None:
        client = self.pick(n)
        if client is None or client.half_closed:
            return
        self.settle()  # a request that is sent before the client ends is no violation
        client.half_closed = True
        try:
            if ending == "half":
                client.peer.sock.shutdown(socket.SHUT_WR)
            else:
                client.closed = True
                client.peer.close(reset=ending == "reset")
        except OSError:
            client.closed = True
        if seen:
            self.settle()

    # ---- backends

    @rule(n=NUMBERS, answer=st.sampled_from(ANSWERS), end=st.sampled_from(["", "close", "reset"]))
    def backend_answers(self, n: int, answer: bytes, end: str) -> None:
        candidates = [
            a
            for a in self.attempts
            if a.in_flight and not a.answer_started and a.real.getsockname()[1] in self.backend_ends
        ]
        if not candidates:
            return
        attempt = candidates[n % len(candidates)]
        peer = self.backend_ends[attempt.real.getsockname()[1]]
        attempt.answer_started = bool(answer)
        if b"\r\n" in attempt.written:
            attempt.answered = bool(answer.count(b"\r\n") or end)
            attempt.rejected = answer.startswith(b"BUSY")
        try:
            peer.send(answer)
            if end:
                peer.close(reset=end == "reset")
                del self.backend_ends[attempt.real.getsockname()[1]]
        except ConnectionError:
            pass
        self.settle()

    @rule(n=NUMBERS)
    def backend_serves_client(self, n: int) -> None:
        self.backend_answers(n, b"UP r-1\r\n", "")

    @rule(n=NUMBERS, line=st.sampled_from(LATER_LINES))
    def backend_sends_more(self, n: int, line: bytes) -> None:
        candidates = [
            a
            for a in self.attempts
            if a.real.fileno() >= 0 and a.real.getsockname()[1] in self.backend_ends and a.answered and not a.rejected
        ]
        if candidates:
            with suppress(ConnectionError):
                self.backend_ends[candidates[n % len(candidates)].real.getsockname()[1]].send(line)
            self.settle()

    @rule(n=NUMBERS, drains=st.booleans())
    def list_changes(self, n: int, drains: bool) -> None:
        number = n % 2
        self.settle()
        member = {**self.loop.known["members"][number], "phase": "DRAINING" if drains else "SERVING"}
        self.loop.relay.endpoint_list.apply({"revision": 2 + n, "complete": False, "members": [member]})
        (self.draining.add if drains else self.draining.discard)(self.backends[number].port)
        self.settle()

    # ---- faults, and calls by operators

    @rule(limit=st.sampled_from([None, 0, 7, 40]))
    def first_lines_are_sent_in_pieces(self, limit: int | None) -> None:
        self.first_write_limit = limit
        for attempt in self.attempts if limit is None else ():
            attempt.send_capacity = None
        self.settle()

    def transports(self) -> set[Any]:
        """Return all transports that the relay's loop reads or writes."""
        return {*self.loop.reactor.getReaders(), *self.loop.reactor.getWriters()}

    def client_socket(self, n: int) -> FaultySocket | None:
        clients = [t for t in self.transports() if isinstance(getattr(t, "protocol", None), ClientProtocol)]
        clients = [transport for transport in clients if transport.connected]
        if not clients:
            return None
        transport = sorted(clients, key=lambda s: s.fileno())[n % len(clients)]
        return transport.socket if isinstance(transport.socket, FaultySocket) else faulty(transport)

    @rule(n=NUMBERS, send_capacity=st.sampled_from([0, 3, 1_000]))
    def client_takes_few_bytes(self, n: int, send_capacity: int) -> None:
        if sock := self.client_socket(n):
            sock.send_capacity = send_capacity

    @rule()
    def clients_take_all_bytes(self) -> None:
        self.lift_send_limits()
        self.settle()

    def lift_send_limits(self) -> None:
        for transport in self.transports():
            if isinstance(getattr(transport, "socket", None), FaultySocket):
                transport.socket.send_capacity = None

    @rule(
        n=NUMBERS,
        call=st.sampled_from(["recv", "send"]),
        number=st.sampled_from(TRANSIENT_ERRORS),
        times=st.integers(1, 3),
    )
    def a_call_fails(self, n: int, call: str, number: int, times: int) -> None:
        if sock := self.client_socket(n):
            sock.errors[call] = [number] * times

    @rule(number=st.sampled_from(ACCEPT_ERRORS), times=st.integers(1, 3))
    def accept_fails(self, number: int, times: int) -> None:
        port = self.loop.relay.port
        if not self.stopping and isinstance(port.socket, FaultySocket):
            port.socket.errors["accept"] = [number] * times

    @rule()
    def the_wall_clock_is_stepped(self) -> None:
        self.loop.relay.endpoint_list.stepped = lambda: True

    @rule(us=st.sampled_from([4_000, 40_000, 160_000, 400_000]))
    def time_passes(self, us: int) -> None:
        self.settle()
        self.lift_send_limits()  # a client that reads nothing for so long gets no answer by its own fault
        self.loop.wait(us)
        self.settle()

    @rule()
    def a_new_configuration_is_loaded(self) -> None:
        with patch.dict(os.environ, {"LB_CONFIG": str(Path(self.folder.name) / "config.json")}):
            self.loop.relay.reload()
        self.settle()

    @rule(drains=st.booleans())
    def operators_drain_or_rejoin(self, drains: bool) -> None:
        lifecycle = self.loop.core.lifecycle
        (lifecycle.lame_duck if drains else lifecycle.rejoin)()
        self.settle()

    @precondition(lambda self: len(self.clients) > 4)
    @rule()
    def the_relay_is_stopped(self) -> None:
        """Start a graceful shutdown, as SIGTERM does; later rules let time pass until the last answers."""
        self.stopping = True
        self.loop.leave()
        self.settle()

    def teardown(self) -> None:
        """Shut the relay down, and check that it has answered every request that it accepted."""
        if not hasattr(self, "loop"):
            return
        try:
            self.settle()
            self.lift_send_limits()
            self.first_write_limit = None
            for attempt in self.attempts:
                attempt.send_capacity = None
            self.stopping = True
            self.loop.leave()
            self.loop.wait(self.loop.core.lifecycle.kill_us, 10_000)
            assert self.loop.stopped, "the relay did not stop before SIGKILL"
            assert not self.violations, self.violations
            for client in self.clients:
                if client.closed:
                    continue
                if not client.peer.ended:
                    wait_ready(client.peer.sock, select.POLLIN | select.POLLRDHUP)
                lines = client.lines()
                assert not client.requested or FINAL_ANSWER.fullmatch(lines[0]), f"no final answer: {lines!r}"
        finally:
            self.patch.stop()
            for client in self.clients:
                client.peer.sock.close()
            for peer in self.backend_ends.values():
                peer.sock.close()
            for backend in self.backends:
                backend.listener.close()
            self.folder.cleanup()


Oracle.TestCase.settings = hypothesis_settings(max_examples=150, stateful_step_count=40, deadline=None)
TestOracle = Oracle.TestCase
