"""Start-up, signals, and the counters on request and at exit."""

from __future__ import annotations

import gc
import logging
import os
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING, cast

from twisted.internet import reactor as twisted_reactor
from twisted.internet.error import CannotListenError

from milletdeal import Balancer

from .config import Config, ConfigError, load
from .core.desk import Desk
from .net.asker import LoadAsker
from .net.boxleg import PlatformCaller
from .net.boxlist import BoxList, ListWatch
from .net.front import PlatformFront
from .net.reactor import Clock, Driver, Reactor
from .quic.config import FILE, QuicConfig
from .quic.config import load as load_quic

if TYPE_CHECKING:
    from .quic.front import QuicFront

log = logging.getLogger("gradefront")


class Relay:
    """One relay: the desk, the platform's front, and their way in and out of service."""

    def __init__(self, config: Config, quic: QuicConfig | None, reactor: Reactor) -> None:
        clock = Clock()
        self.reactor = reactor
        self.quic: QuicFront | None = None
        self.driver = Driver(reactor, clock)
        self.desk = desk = Desk(Balancer(config.settings, config.seed), config.settings, clock,
                                self.driver.poke, config.tells_delay)
        self.driver.desk = desk
        self.box_list = BoxList(config, desk)
        desk.watcher = ListWatch(reactor, desk, self.box_list, config.discovery)
        desk.asker = LoadAsker(reactor, desk, self.box_list.address)
        self.box_list.take(config.known, whole=True)
        caller = PlatformCaller(reactor, self.box_list.address)
        self.front = PlatformFront(config, desk, caller, lambda: self.box_list.heard)
        if quic:  # imported only where it is on: its libraries cost a start time and memory
            from .quic.front import QuicFront
            self.quic = QuicFront(config, quic, desk, reactor)
        self.port = reactor.listenTCP(config.listen[1], self.front, 512, config.listen[0])

    def show(self) -> None:
        """The counters, as one log line."""
        levels = {"connections_now": self.front.open, "visits_now": len(self.desk.visits)}
        log.info("counters %s", self.desk.tally.line(**levels))

    def leave(self) -> None:
        """A planned restart."""
        self.desk.leave(self._stop)

    def _stop(self) -> None:
        self.reactor.callLater(0.15, self.reactor.stop)  # time for the last answers to leave


def main() -> int:
    """Serve until told to stop; 0 then, 2 where the configuration makes no sense."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO,
                        format="%(asctime)s %(levelname)s %(name)s %(message)s")
    try:
        config = load(os.environ)
        quic = load_quic(config, Path(os.environ.get("GRADEFRONT_QUIC", FILE)))
    except ConfigError as error:
        print(f"gradefront: {error}", file=sys.stderr)
        return 2
    reactor = cast(Reactor, twisted_reactor)
    try:
        relay = Relay(config, quic, reactor)
    except CannotListenError as error:
        print(f"gradefront: {error}", file=sys.stderr)
        return 2
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(relay.leave))
    signal.signal(signal.SIGINT, lambda *_: reactor.callFromThread(relay.leave))
    signal.signal(signal.SIGUSR1, lambda *_: reactor.callFromThread(relay.show))
    log.info("settings: %s; message delays told: %s", config.settings, config.tells_delay)
    where = relay.port.getHost()
    log.info("relay %s listens on %s:%d", config.name, where.host, where.port)
    for door in relay.quic.doors if relay.quic else ():
        log.info("quic front listens on %s:%d", door.getHost().host, door.getHost().port)
    gc.collect()
    gc.freeze()  # start-up objects stay; collecting them again and again would cost scarce CPU
    reactor.run(installSignalHandlers=False)
    relay.show()
    return 0


if __name__ == "__main__":
    sys.exit(main())
