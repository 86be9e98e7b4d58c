"""Standing connections go from one process to the next with their sockets (SCM_RIGHTS), so that nobody need move.

The process that takes clients listens on a Unix socket in the folder that both share; the newest has the name. One
that is told to leave calls there, unless the name is its own, and sends each connection as one message: its
description and its two sockets. Whatever can't be handed over is told to move, as without all this.
"""

from __future__ import annotations

import logging
import os
import socket
import struct
from contextlib import suppress
from pathlib import Path
from typing import Any

from gradefront.core.adopted import given_away, take_over
from gradefront.core.connect_request import ConnectRequest
from gradefront.core.connection import Connection, ConnectionState
from gradefront.core.relay import RelayCore
from gradefront.net.backend_connection import BackendProtocol, LineBackendConnection, RequestStage
from gradefront.net.client_protocol import ClientProtocol, ClientProtocolFactory
from gradefront.net.lines import FirstLine, InvalidLineError
from gradefront.net.reactor import Reactor

from .form import LONGEST, BadForm, ConnectionSnapshot, read, stored_rules, write

log = logging.getLogger("gradefront.handover")

NAME = "gradefront.handover"
STEP_US = 20_000
STEP_VISITS = 4  # a step: the next process takes each up in about a millisecond of its part of a core
ROUND_VISITS = 16  # messages read in one go
PEERS = 4  # processes that hand over at a time


class _Joined:
    """A factory of one protocol, for a connection that stands already."""

    def __init__(self, protocol: Any) -> None:
        self.protocol = protocol

    def buildProtocol(self, addr: object) -> Any:
        return self.protocol


class AdoptedClient(ClientProtocol):
    """A client's line that was handed over: it is past the door."""

    def connectionMade(self) -> None:
        """It made its connection long ago."""
        self.arrived_us = self.front.core.clock()
        self.timeout = self.front.core.after(0, lambda: None)
        self.front.open_connections += 1


class AdoptedBackend(BackendProtocol):
    """A backend's line that was handed over: its first line was sent long ago."""

    def connectionMade(self) -> None:
        """Nothing to send."""
        self.stage = RequestStage.SENT


def release(transport: Any) -> None:
    """Close this process's descriptor alone: a shutdown, or a lingering close, would end the other's as well."""
    transport.unregisterProducer()
    transport.stopReading()
    transport.stopWriting()
    transport.connected = 0
    transport.getHandle().close()


def _idle(transport: Any) -> bool:
    """Whether all that was written has left. The transport knows; it tells nobody else."""
    if transport.dataBuffer or transport._tempDataBuffer:
        transport.doWrite()
    busy = transport.dataBuffer or transport._tempDataBuffer
    return not (busy or transport.disconnecting or transport.disconnected)


class HandoverSender:
    """Hands this process's connections to the next one."""

    def __init__(self, core: RelayCore, front: ClientProtocolFactory, call: socket.socket) -> None:
        self.core = core
        self.front = front
        self.call: socket.socket | None = call

    def step(self) -> None:
        """Hand some over; come again while anybody is here."""
        given = 0
        for connection in list(self.core.connections.values()):
            if self.call is None or given == STEP_VISITS:
                break
            given += self._give(connection)
        if self.call and (self.core.connections or self.front.open_connections):
            self.core.after(STEP_US, self.step)
        else:
            self.end()

    def end(self) -> None:
        """Nothing more is handed over."""
        if self.call:
            self.call.close()
        self.call = None

    def _give(self, connection: Connection) -> bool:
        client, attempt = connection.client, connection.attempt
        if connection.state is not ConnectionState.ESTABLISHED or attempt is None:
            return False
        if not isinstance(client, ClientProtocol) or client.closing:
            return False
        upstream = attempt.upstream
        if not isinstance(upstream, LineBackendConnection) or upstream.gone or upstream.line is None:
            return False
        ours, theirs = client.wire, upstream.line.wire
        if self.call is None or not (_idle(ours) and _idle(theirs)):
            return False  # it writes still: next time
        call = connection.connect_request
        from_carer, from_box = client.unfinished(), upstream.line.unfinished()
        rules = stored_rules(connection.settings.classes[call.request_class])
        left = ConnectionSnapshot(
            client.id.decode(),
            self.core.request_classes.names[call.request_class],
            rules,
            call.idempotency_key,
            call.sticky_group,
            call.tenant,
            attempt.backend,
            attempt.load,
            attempt.last_received_us,
            tuple(attempt.awaiting_reply_us),
            from_carer,
            from_box,
        )
        try:
            socket.send_fds(self.call, [write(left)], [ours.getHandle().fileno(), theirs.getHandle().fileno()])
        except OSError as error:
            client.take_bytes(from_carer)
            upstream.line.take_bytes(from_box)
            if not isinstance(error, BlockingIOError):
                log.warning("nothing more can be handed over: %s", error)
                self.end()
            return False
        release(ours)
        release(theirs)
        self.front.open_connections -= 1
        client.closing, upstream.gone = True, True
        given_away(self.core, connection)
        return True


class _Peer:
    """One process that hands over, as the reactor reads it."""

    def __init__(self, taking: HandoverReceiver, call: socket.socket) -> None:
        self.taking = taking
        self.call = call

    def fileno(self) -> int:
        return self.call.fileno()

    def logPrefix(self) -> str:
        return "handover"

    def doRead(self) -> None:
        """Some messages, each whole and with its sockets."""
        for _ in range(ROUND_VISITS):
            try:
                data, fds, flags, _ = socket.recv_fds(self.call, LONGEST, 2)
            except BlockingIOError:
                return
            except OSError as error:
                log.warning("the process before broke off: %s", error)
                data, fds, flags = b"", [], 0
            if not data and not fds:
                self.taking.over(self)
                return
            try:
                self.taking.adopt(data, fds, bool(flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC)))
            except Exception:
                log.exception("a visit that was handed over failed")
                self.taking.core.counters.add("exceptions")
            finally:
                for fd in fds:  # the reactor has duplicates
                    os.close(fd)

    def connectionLost(self, reason: object) -> None:
        """The reactor found the socket broken."""
        self.taking.over(self)


class HandoverReceiver:
    """Takes over the connections of the process before."""

    def __init__(self, core: RelayCore, front: ClientProtocolFactory, reactor: Reactor, folder: Path) -> None:
        self.core = core
        self.front = front
        self.reactor = reactor
        self.path = folder / NAME
        self.peers: list[_Peer] = []
        self.listener: socket.socket | None = None
        self.inode = 0

    def open(self) -> None:
        """Have the name from now on. A folder in which that can't be is no reason not to serve."""
        beside = self.path.with_name(f"{NAME}.{os.getpid()}")
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            beside.unlink(missing_ok=True)
            listener.bind(str(beside))
            os.chmod(beside, 0o600)
            listener.listen(PEERS)
            listener.setblocking(False)
            self.inode = beside.stat().st_ino
            beside.replace(self.path)  # in one step: whoever calls finds the one before or this one
        except OSError as error:
            log.warning("no handover in %s: %s", self.path.parent, error)
            listener.close()
            return
        self.listener = listener
        self.reactor.addReader(self)

    def close(self) -> None:
        """Take nothing more; give the name back if it is still this process's."""
        if self.listener:
            mine = self.is_newest()
            self.reactor.removeReader(self)
            self.listener.close()
            self.listener = None
            if mine:
                with suppress(OSError):  # a name that nobody listens behind is no harm: callers are refused
                    self.path.unlink(missing_ok=True)
        for peer in list(self.peers):
            self.over(peer)

    def is_newest(self) -> bool:
        """Whether no newer process has taken the name. Where this one could not take it, or nobody can tell, nobody
        is known to replace it: guards the requests in the listener's queue, which are nobody's then."""
        if self.listener is None:
            return True
        with suppress(OSError):
            return self.path.stat().st_ino == self.inode
        return True

    def fileno(self) -> int:
        return self.listener.fileno() if self.listener else -1

    def logPrefix(self) -> str:
        return "handover"

    def doRead(self) -> None:
        """Another process calls. Only one of the same user is heard."""
        assert self.listener
        try:
            call, _ = self.listener.accept()
        except OSError:
            return
        _, user, _ = struct.unpack("3i", call.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
        if user != os.getuid() or len(self.peers) >= PEERS:
            call.close()
            return
        call.setblocking(False)
        peer = _Peer(self, call)
        self.peers.append(peer)
        self.reactor.addReader(peer)

    def connectionLost(self, reason: object) -> None:
        """The reactor found the socket broken."""
        self.close()

    def over(self, peer: _Peer) -> None:
        """A process has handed over all that it could."""
        if peer in self.peers:
            self.peers.remove(peer)
            self.reactor.removeReader(peer)
            peer.call.close()
            log.info("%d visits were handed over so far", self.core.counters.counts["taken_over"])

    def adopt(self, data: bytes, fds: list[int], cut: bool) -> None:
        """Take one connection up. Where its description makes no sense its connections end; where its class has other
        rules here, it is told to move."""
        core = self.core
        try:
            if cut or len(fds) != 2:
                raise BadForm(f"{len(fds)} sockets{', cut short' if cut else ''}")
            left = read(data, core.clock())
        except BadForm as error:
            log.warning("a visit can't be taken over: %s", error)
            core.counters.add("taken_over_badly")
            return
        known = self.front.config.class_numbers.get(left.request_class)
        same = known is not None and stored_rules(core.settings.classes[known]) == left.class_rules
        request_class = known if known is not None else next(iter(self.front.config.class_numbers.values()))
        client = AdoptedClient(self.front)
        client.id = left.id.encode()
        call = ConnectRequest(
            0, None, request_class, left.tenant, left.idempotency_key, left.sticky_group, left.load, True
        )
        connection, attempt = take_over(
            core, call, client, self.front.connector, left.backend, left.last_received_us, left.awaiting_reply_us
        )
        client.connection = connection
        upstream = LineBackendConnection(attempt, FirstLine(b"", b"", False), self.front.upstreams)
        upstream.line = AdoptedBackend(upstream)
        attempt.upstream, attempt.load = upstream, left.load
        for fd, line in zip(fds, (client, upstream.line), strict=True):
            os.set_blocking(fd, False)
            self.reactor.adoptStreamConnection(fd, socket.AF_INET, _Joined(line))
        with suppress(InvalidLineError):  # an id known here already is no reason to end it
            self.front.new_id(client.id)
        client.start_forwarding(upstream)
        core.counters.add("taken_over")
        if not same:
            core.migrate(connection)
            return
        client.take_bytes(left.from_carer)
        upstream.line.take_bytes(left.from_box)


def call_next(taking: HandoverReceiver) -> socket.socket | None:
    """A line to the process that has the name now, which is not this one; None where nobody answers."""
    call = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    call.settimeout(0.1)  # a listener on this machine: it is there or it isn't
    try:
        call.connect(str(taking.path))
    except OSError as error:
        log.info("nobody takes visits over: %s", error)
        call.close()
        return None
    call.setblocking(False)
    return call
