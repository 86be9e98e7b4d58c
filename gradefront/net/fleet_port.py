"""UDP transport of the fleet's membership protocol; the messages are made by `fleet.swim`."""

from __future__ import annotations

import errno
import logging
from collections.abc import Iterable
from random import SystemRandom
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import DatagramProtocol

from gradefront.config import ConfigError, parse_address
from gradefront.core.relay import RelayCore
from gradefront.fleet.members import Record, State
from gradefront.fleet.settings import FleetConfig
from gradefront.fleet.swim import TICKS_PER_PERIOD, Swim
from gradefront.fleet.wire import DatagramRejectedError, Message, Sealer

from .reactor import Reactor

log = logging.getLogger("gradefront.fleet")

LOG_INTERVAL_US = 1_000_000  # interval of the rate limits on log lines
RETRY_US = 100_000  # between two tries to open a port that another process holds
PREDECESSOR_TIMEOUT_US = 6_000_000  # a process that is replaced has ended by then
MAX_STATE_LOGS = 20  # log lines on state changes per interval; further changes are only counted


class FleetPort(DatagramProtocol):
    """This relay's UDP socket for the fleet's datagrams."""

    noisy = False

    def __init__(self, config: FleetConfig, core: RelayCore) -> None:
        self.config = config
        self.core = core
        self.sealer = Sealer(config.name, config.keys, config.sealing_key_id)
        self.rejection_logged_us = self.state_logs_since_us = self.state_logs = 0
        self.yield_logged = False
        self.is_closed = False
        self.swim: Swim | None = None
        self.transport: Any

    def open(self, reactor: Reactor, is_replacement: bool) -> None:
        """Open the port.

        If another process holds it, raise CannotListenError, or, if `is_replacement`, try again until it is free.
        """
        host, port = self.config.listen
        try:
            reactor.listenUDP(port, self, host)
        except CannotListenError as error:
            if not is_replacement or error.socketError.errno != errno.EADDRINUSE:
                raise
            log.info("fleet: %s:%d is in use, as by the process that is replaced; waiting for it", host, port)
            self.core.call_later(RETRY_US, lambda: self._try_again(reactor, self.core.clock()))

    def _try_again(self, reactor: Reactor, waiting_since_us: int, is_logged: bool = False) -> None:
        if self.is_closed:
            return
        host, port = self.config.listen
        try:
            reactor.listenUDP(port, self, host)
        except CannotListenError as error:
            is_late = self.core.clock() - waiting_since_us > PREDECESSOR_TIMEOUT_US
            if is_late and not is_logged:
                log.error("fleet: this relay takes no part, as another program holds its port: %s", error)
            self.core.call_later(RETRY_US, lambda: self._try_again(reactor, waiting_since_us, is_logged or is_late))

    def close(self) -> None:
        """Close the port, and leave it and the relay's name to the process that replaces this one."""
        self.is_closed = True
        if self.swim and self.transport:
            self.swim = None
            self.transport.stopListening()

    def startProtocol(self) -> None:
        """Start the membership protocol; called when the socket is bound."""
        assert self.transport
        host = self.transport.getHost()
        own = Record(
            self.config.name,
            f"{self.config.listen[0]}:{host.port}",
            State.ALIVE,
            1,
            SystemRandom().getrandbits(62) | 1,
        )
        peers = {name: f"{host_port[0]}:{host_port[1]}" for name, host_port in self.config.peers.items()}
        self.swim = Swim(own, peers, self.config.period_us, SystemRandom(), self.core.clock())
        log.info("fleet: %s at %s:%d, %d peers configured", self.config.name, host.host, host.port, len(peers))
        self._tick()

    def _tick(self) -> None:
        if self.swim and self.transport:
            # Schedule the next tick first, so that an exception below does not stop the ticks.
            self.core.call_later(self.config.period_us // TICKS_PER_PERIOD, self._tick)
            self._send(self.swim.tick(self.core.clock()))

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Handle a datagram. An invalid one is counted and otherwise ignored."""
        try:
            message = self.sealer.open(datagram)
        except DatagramRejectedError as error:
            self.core.counters.add(f"fleet_refused_{error}")
            self._log_rejected(str(error), addr)
            return
        try:
            if self.swim:
                self._send(self.swim.receive(message, self.core.clock()))
        except Exception:
            log.exception("unhandled exception while processing a datagram from a peer")
            self.core.counters.add("exceptions")

    def connectionRefused(self) -> None:
        """Ignore the ICMP error: pings detect a peer whose port is closed."""

    def leave(self) -> None:
        """Notify the peers of a planned exit."""
        if self.swim and self.transport:
            self._send(self.swim.leave(self.core.clock()))

    def levels(self) -> dict[str, int]:
        """Return gauges: the members in each state, and whether this relay doubts its own connectivity."""
        if not self.swim:
            return {}
        states = [m.record.state for m in self.swim.table.members.values()]
        return {
            **{f"fleet_{s.name.lower()}": states.count(s) for s in State},
            "fleet_doubts": int(self.swim.is_isolated),
        }

    def _send(self, messages: Iterable[Message]) -> None:
        assert self.swim and self.transport
        self._log_changes(self.swim)
        for message in messages:
            member = self.swim.table.members.get(message.to)
            if member is None:
                continue
            try:
                self.transport.write(self.sealer.seal(message), parse_address(member.record.address, "where"))
            except (OSError, ValueError, ConfigError):  # full send buffer or invalid peer address: treat as lost
                self.core.counters.add("fleet_unsent")

    def _log_changes(self, swim: Swim) -> None:
        for name, previous, state in swim.state_changes:
            self._log_state(name, previous, state)
        swim.state_changes.clear()
        if swim.yielded and not self.yield_logged:
            self.yield_logged = True
            log.error(
                "fleet: name %s is in use by another process; this process does not take part", self.config.name
            )

    def _log_state(self, name: str, previous: State, state: State) -> None:
        self.core.counters.add(f"fleet_news_{state.name.lower()}")
        now = self.core.clock()
        if now - self.state_logs_since_us >= LOG_INTERVAL_US:
            self.state_logs_since_us, self.state_logs = now, 0
        self.state_logs += 1
        if self.state_logs <= MAX_STATE_LOGS:  # a partition of a large fleet would flood the log
            log.info("fleet: %s is %s, was %s", name, state.name.lower(), previous.name.lower())

    def _log_rejected(self, reason: str, addr: tuple[str, int]) -> None:
        now = self.core.clock()
        if now - self.rejection_logged_us >= LOG_INTERVAL_US:
            log.warning("fleet: a datagram from %s:%d was rejected: %s", *addr, reason)
            self.rejection_logged_us = now
