"""Random orders of requests, ends, short writes, failing calls, clock steps and signals, against one oracle.

It looks from outside: each request has exactly one whole final answer in its time, and none is forwarded after its
end.

The relay is the real one on real sockets; what reaches a backend is judged at the system call that sends it.
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

PASSING = [errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN]
ACCEPT = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.ECONNABORTED, errno.EPROTO]
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
MORE = [b"a line\r\n", b"LOAD 3\r\n", b"z" * 3000 + b"\r\n", b"BYE\r\n"]
FINAL = re.compile(rb"UP r-1|BUSY( [0-9]+)?|ERR")
MOST_ATTEMPTS = 4
NUMBERS = st.integers(0, 1_000)


class Oracle(RuleBasedStateMachine):
    """Drives one relay, and judges it."""

    def __init__(self) -> None:
        super().__init__()
        self.numbers = count(0x1000)
        self.clients: list[ClientRecord] = []
        self.backend_ends: dict[int, Peer] = {}  # by the relay's port on that connection
        self.attempts: list[AttemptSocket] = []
        self.draining: set[int] = set()  # ports of backends that the relay was told of
        self.piece: int | None = None
        self.wrong: list[str] = []
        self.stopping = False
        self.folder = tempfile.TemporaryDirectory()

    @initialize(safe=st.booleans())
    def begin(self, safe: bool) -> None:
        values = settings(objective_ms=200, deadline_ms=1200, maxAttempts=MOST_ATTEMPTS)
        for grade in values["grades"]:
            grade["semantics"] = "safe" if safe else "unsafe"
        self.safe = safe
        self.backends = [Backend(), Backend()]
        made, oracle = BackendProtocol.connectionMade, self

        def recorded(line: BackendProtocol) -> None:
            sent = line.tcp.socket = AttemptSocket(line.tcp.socket, oracle.request_left)
            sent.send_capacity = oracle.piece
            oracle.attempts.append(sent)
            made(line)

        self.patch = patch.object(BackendProtocol, "connectionMade", recorded)
        self.patch.start()
        self.loop = Loop(Path(self.folder.name), self.backends, values)
        faulty(self.loop.relay.port)
        (Path(self.folder.name) / "config.json").write_text(json.dumps(self.loop.config))

    # ---- the oracle

    def request_left(self, sent: AttemptSocket) -> None:
        """A request has left whole, at this very system call."""
        client = next(c for c in self.clients if c.id == sent.written[5:21])
        if client.half_closed:
            self.wrong.append("sent on after its client had ended")
        if client.broke_protocol:
            self.wrong.append("sent on for one that has its error")
        if sent.port in self.draining:
            self.wrong.append("sent to a backend that drains")
        if any(other.in_flight for other in client.attempts):
            self.wrong.append("two attempts out at once")
        if not self.safe and any(not other.rejected for other in client.attempts):
            self.wrong.append("an effect doubled")
        client.attempts.append(sent)
        if len(client.attempts) > MOST_ATTEMPTS:
            self.wrong.append("one attempt too many")

    def check(self) -> None:
        """What clients have got so far."""
        assert not self.wrong, self.wrong
        for client in self.clients:
            lines = client.lines()
            answer = lines[0] if len(lines) > 1 else b""
            assert not answer or FINAL.fullmatch(answer), f"a wrong answer: {answer!r}"
            if answer and not answer.startswith(b"UP"):
                assert lines[1:] == [b""], f"more than one answer: {lines!r}"
            if lines.count(b"MOVE"):
                assert lines[-2:] == [b"MOVE", b""], "something after MOVE"
            if client.requested and not client.closed and self.loop.now_us > client.due_us and client.peer.sock:
                assert answer, "no answer in its time"

    def settle(self) -> None:
        """Some turns of the loop, and the backends' new connections."""
        self.loop.step(3)
        for backend in self.backends:
            while backend.has_pending:
                peer = backend.accept()
                with suppress(OSError):  # the relay may have reset it already
                    self.backend_ends[peer.sock.getpeername()[1]] = peer
        self.check()

    def pick(self, n: int) -> ClientRecord | None:
        able = [c for c in self.clients if not c.closed]
        return able[n % len(able)] if able else None

    # ---- clients

    @precondition(lambda self: len(self.clients) < 12)
    @rule(asks=st.booleans(), d=st.sampled_from([300, 900]))
    def client_comes(self, asks: bool, d: int) -> None:
        if self.stopping:
            return
        port = self.loop.relay.port.getHost().port
        client = ClientRecord(next(self.numbers), Peer(socket.create_connection(("127.0.0.1", port))))
        self.clients.append(client)
        if asks:
            self.ask(client, d)
        self.settle()

    def ask(self, client: ClientRecord, d: int) -> None:
        client.peer.send_line(f"OPEN {client.id.decode()} 7f3a9c21e0b4d655 c=visit-checkin,d={d},g=5c0f6e1a2b3d4c59")
        client.requested = True
        client.due_us = self.loop.now_us + d * 1000 + 60_000  # an accept that failed may take some ms

    @rule(n=NUMBERS)
    def client_is_served(self, n: int) -> None:
        """The usual course, so that there is something to disturb."""
        self.client_comes(True, 900)
        self.time_passes(40_000)
        self.backend_takes(n)

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
            self.ask(client, d)
            self.settle()

    @rule(n=NUMBERS, what=st.sampled_from([b"a message\r\n", b"half", b"x" * 5000]))
    def client_says_more(self, n: int, what: bytes) -> None:
        client = self.pick(n)
        if client and client.requested and not client.half_closed and not client.peer.ended:
            waits = not client.peer.read()
            if waits and what != b"half":
                self.settle()
                waits = not client.peer.read()
            try:
                client.peer.send(what)
            except ConnectionError:
                return
            self.settle()
            client.broke_protocol = client.broke_protocol or (
                waits and what != b"half" and client.lines()[0] == b"ERR"
            )

    @rule(n=NUMBERS, how=st.sampled_from(["close", "reset", "half"]), seen=st.booleans())
    def client_ends(self, n: int, how: str, seen: bool) -> None:
        client = self.pick(n)
        if client is None or client.half_closed:
            return
        self.settle()  # what was under way before is judged as before
        client.half_closed = True
        try:
            if how == "half":
                client.peer.sock.shutdown(socket.SHUT_WR)
            else:
                client.closed = True
                client.peer.close(reset=how == "reset")
        except OSError:
            client.closed = True
        if seen:
            self.settle()

    # ---- backends

    @rule(n=NUMBERS, answer=st.sampled_from(ANSWERS), end=st.sampled_from(["", "close", "reset"]))
    def backend_answers(self, n: int, answer: bytes, end: str) -> None:
        able = [
            s for s in self.attempts if s.in_flight and not s.begun and s.real.getsockname()[1] in self.backend_ends
        ]
        if not able:
            return
        sent = able[n % len(able)]
        peer = self.backend_ends[sent.real.getsockname()[1]]
        sent.begun = bool(answer)
        if b"\r\n" in sent.written:
            sent.answered = bool(answer.count(b"\r\n") or end)
            sent.rejected = answer.startswith(b"BUSY")
        try:
            peer.send(answer)
            if end:
                peer.close(reset=end == "reset")
                del self.backend_ends[sent.real.getsockname()[1]]
        except ConnectionError:
            pass
        self.settle()

    @rule(n=NUMBERS)
    def backend_takes(self, n: int) -> None:
        self.backend_answers(n, b"UP r-1\r\n", "")

    @rule(n=NUMBERS, line=st.sampled_from(MORE))
    def backend_says_more(self, n: int, line: bytes) -> None:
        able = [
            s
            for s in self.attempts
            if s.real.fileno() >= 0 and s.real.getsockname()[1] in self.backend_ends and s.answered and not s.rejected
        ]
        if able:
            with suppress(ConnectionError):
                self.backend_ends[able[n % len(able)].real.getsockname()[1]].send(line)
            self.settle()

    @rule(n=NUMBERS, drains=st.booleans())
    def list_changes(self, n: int, drains: bool) -> None:
        number = n % 2
        self.settle()
        member = {**self.loop.known["members"][number], "phase": "DRAINING" if drains else "SERVING"}
        self.loop.relay.endpoint_list.apply({"revision": 2 + n, "complete": False, "members": [member]})
        (self.draining.add if drains else self.draining.discard)(self.backends[number].port)
        self.settle()

    # ---- what goes wrong

    @rule(piece=st.sampled_from([None, 0, 7, 40]))
    def first_lines_leave_in_pieces(self, piece: int | None) -> None:
        self.piece = piece
        for sent in self.attempts if piece is None else ():
            sent.send_capacity = None
        self.settle()

    def transports(self) -> set[Any]:
        """All that the relay's loop reads or writes."""
        return {*self.loop.reactor.getReaders(), *self.loop.reactor.getWriters()}

    def client_socket(self, n: int) -> FaultySocket | None:
        sides = [end for end in self.transports() if isinstance(getattr(end, "protocol", None), ClientProtocol)]
        sides = [side for side in sides if side.connected]
        if not sides:
            return None
        side = sorted(sides, key=lambda s: s.fileno())[n % len(sides)]
        return side.socket if isinstance(side.socket, FaultySocket) else faulty(side)

    @rule(n=NUMBERS, send_capacity=st.sampled_from([0, 3, 1_000]))
    def client_takes_little(self, n: int, send_capacity: int) -> None:
        if sock := self.client_socket(n):
            sock.send_capacity = send_capacity

    @rule()
    def clients_take_all(self) -> None:
        self.lift_send_limits()
        self.settle()

    def lift_send_limits(self) -> None:
        for end in self.transports():
            if isinstance(getattr(end, "socket", None), FaultySocket):
                end.socket.send_capacity = None

    @rule(n=NUMBERS, call=st.sampled_from(["recv", "send"]), number=st.sampled_from(PASSING), times=st.integers(1, 3))
    def a_call_fails(self, n: int, call: str, number: int, times: int) -> None:
        if sock := self.client_socket(n):
            sock.errors[call] = [number] * times

    @rule(number=st.sampled_from(ACCEPT), times=st.integers(1, 3))
    def accept_fails(self, number: int, times: int) -> None:
        port = self.loop.relay.port
        if not self.stopping and isinstance(port.socket, FaultySocket):
            port.socket.errors["accept"] = [number] * times

    @rule()
    def the_wall_clock_steps(self) -> None:
        self.loop.relay.endpoint_list.stepped = lambda: True

    @rule(us=st.sampled_from([4_000, 40_000, 160_000, 400_000]))
    def time_passes(self, us: int) -> None:
        self.settle()
        self.lift_send_limits()  # whoever takes nothing for so long has itself to blame
        self.loop.wait(us)
        self.settle()

    @rule()
    def a_new_configuration_comes(self) -> None:
        with patch.dict(os.environ, {"LB_CONFIG": str(Path(self.folder.name) / "config.json")}):
            self.loop.relay.reload()
        self.settle()

    @rule(empties=st.booleans())
    def operators_call(self, empties: bool) -> None:
        lifecycle = self.loop.core.lifecycle
        (lifecycle.lame_duck if empties else lifecycle.rejoin)()
        self.settle()

    @precondition(lambda self: len(self.clients) > 4)
    @rule()
    def the_relay_is_stopped(self) -> None:
        """SIGTERM: time runs on, as far as the last answers."""
        self.stopping = True
        self.loop.leave()
        self.settle()

    def teardown(self) -> None:
        """The relay is told to end, and all that was taken on is settled."""
        if not hasattr(self, "loop"):
            return
        try:
            self.settle()
            self.lift_send_limits()
            self.piece = None
            for sent in self.attempts:
                sent.send_capacity = None
            self.stopping = True
            self.loop.leave()
            self.loop.wait(self.loop.core.lifecycle.kill_us, 10_000)
            assert self.loop.stopped, "it did not end"
            assert not self.wrong, self.wrong
            for client in self.clients:
                if client.closed:
                    continue
                if not client.peer.ended:
                    wait_ready(client.peer.sock, select.POLLIN | select.POLLRDHUP)
                lines = client.lines()
                assert not client.requested or FINAL.fullmatch(lines[0]), f"never answered: {lines!r}"
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
