"""The platform's front: carers' connections, one visit each."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ServerFactory

from gradefront.config import Config
from gradefront.core.desk import Desk
from gradefront.core.ports import BoxCaller, BoxLeg, Ending
from gradefront.core.visit import Visit

from .base import Lines, ending
from .boxleg import PlatformLeg
from .lines import BadLine, read_first

log = logging.getLogger("gradefront.front")

FIRST_LINE_US = 10_000_000  # a connection that has said nothing for so long is closed
FLUSH_US = 2_000_000  # after a last line: how long a slow device may take to read it
EARLY_LINES = 32  # lines that a device may send before its visit stands
SPARE_SOCKETS = 48  # kept back from visits: the list, probes, listening, the platform's own


class CarerLine(Lines):
    """The lines to and from one carer's device."""

    def __init__(self, front: PlatformFront) -> None:
        self.front = front
        self.visit: Visit | None = None
        self.leg: PlatformLeg | None = None
        self.early: list[bytes] = []
        self.closing = False

    # ---- as Twisted's protocol

    def connectionMade(self) -> None:
        """A device connected."""
        self.wire.setTcpNoDelay(True)
        self.front.open += 1
        self.patience = self.front.desk.after(FIRST_LINE_US, self._mute)

    def _mute(self) -> None:
        if self.visit is None and not self.closing:
            self.front.desk.tally.add("mute")
            self.cut()

    def lineReceived(self, line: bytes) -> None:
        """Guards the relay: an exception ends this connection only."""
        try:
            self._line(line)
        except Exception:
            log.exception("a carer's line failed")
            self.front.desk.tally.add("exceptions")
            self.cut()

    def _line(self, line: bytes) -> None:
        if self.closing:
            return
        if self.leg:
            self.leg.pass_on(line)
        elif self.visit:
            self.early.append(line)
            if len(self.early) > EARLY_LINES:
                log.warning("a device sent too much before its visit stood")
                self.cut()
        elif line == b"PING":
            self.patience.cancel()
            self.patience = self.front.desk.after(FIRST_LINE_US, self._mute)
            self.say(b"PONG" if self.front.ready() else b"ERR")
        else:
            self._first(line)

    def _first(self, line: bytes) -> None:
        front = self.front
        self.patience.cancel()
        try:
            call, box = read_first(line, front.config)
        except BadLine as error:
            log.warning("bad first line: %s", error)
            front.desk.tally.add("bad_lines")
            self._last(b"ERR")
            return
        if 2 * front.open > front.config.sockets - SPARE_SOCKETS:
            # Guards against running out of descriptors: each visit holds two.
            front.desk.tally.add("no_sockets")
            self._last(b"BUSY")
        elif box:
            self.visit = front.desk.bring_over(call, self, front.caller, box)
        else:
            self.visit = front.desk.arrive(call, self, front.caller)

    def lineLengthExceeded(self, line: bytes) -> None:
        """An overlong line ends this connection."""
        log.warning("a device sent an overlong line")
        self.front.desk.tally.add("bad_lines")
        self.cut()

    def connectionLost(self, reason: Any = None) -> None:
        """The device ended its side, or this relay did."""
        self.front.open -= 1
        self.patience.cancel()
        rest = self.unfinished()
        if self.leg and rest and not self.closing:
            self.leg.pass_rest(rest)
        self.closing = True
        if self.visit:
            self.front.desk.carer_left(self.visit, ending(reason))

    # ---- as the core's carer side

    def seat(self, leg: BoxLeg, receipt: object) -> None:
        """Pass the push box's own line on, then all lines, each side held back by the other's pace."""
        assert isinstance(leg, PlatformLeg) and leg.line and isinstance(receipt, bytes)
        ours, theirs = self.wire, leg.line.wire
        self.leg = leg
        leg.to_carer = ours.write
        self.say(receipt)
        if self.closing:
            return
        ours.registerProducer(theirs, True)
        theirs.registerProducer(ours, True)
        for line in self.early:
            leg.pass_on(line)
        self.early = []

    def refuse(self, pause_us: int) -> None:
        """`BUSY`, with the pause if one is advised."""
        self._last(b"BUSY %d" % -(-pause_us // 1000) if pause_us > 0 else b"BUSY")

    def fail(self) -> None:
        """A line that promises nothing."""
        self._last(b"ERR")

    def move(self) -> None:
        """`MOVE`, which always stands between whole lines here: only whole lines are passed on."""
        self._last(b"MOVE")

    def end(self, how: Ending) -> None:
        """End as the push box did."""
        if how is Ending.BROKEN:
            self.cut()
        else:
            self._close()

    def _last(self, line: bytes) -> None:
        if not self.closing:
            self.say(line)
            self._close()

    def _close(self) -> None:
        if self.closing:
            return
        self.closing = True
        transport = self.wire
        transport.unregisterProducer()  # else the transport would wait for its producer's end
        transport.loseConnection()
        self.front.desk.after(FLUSH_US, transport.abortConnection)

    def cut(self) -> None:
        """End at once."""
        self.closing = True
        self.wire.abortConnection()


class PlatformFront(ServerFactory):
    """Takes in carers' connections on the platform's protocol."""

    noisy = False

    def __init__(self, config: Config, desk: Desk, caller: BoxCaller, ready: Callable[[], bool]) -> None:
        self.config = config
        self.desk = desk
        self.caller = caller
        self.ready = ready
        self.open = 0

    def buildProtocol(self, addr: object) -> CarerLine:
        """A device connects."""
        return CarerLine(self)
