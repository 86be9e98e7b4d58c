"""Start-up, signals, and the counters on request and at exit."""

from __future__ import annotations

import gc
import logging
import os
import signal
import socket
import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any, cast

from twisted.internet.error import CannotListenError
from twisted.internet.main import installReactor

from milletdeal import Balancer

from .config import Config, ConfigError, lacks, load
from .core.classes import NoRoom
from .core.duty import Duty, Word
from .core.relay import RelayCore
from .fleet.switch import fleet_file
from .fleet.switch import load as load_fleet
from .net.boxlist import BoxList
from .net.closing import DESCRIPTOR_SHARE, ConnectionCloser
from .net.front import PlatformFront
from .net.prober import LoadProber
from .net.reactor import Clock, Driver, Reactor, RelayReactor
from .net.upstream import PlatformConnector
from .net.watch import ListWatch
from .ops.door import Answer, Door
from .ops.figures import lines
from .quic.switch import FILE
from .quic.switch import load as load_quic
from .state.handover import Giving, Taking, call_next

if TYPE_CHECKING:
    from .fleet.settings import FleetConfig
    from .net.fleetport import FleetPort
    from .quic.config import QuicConfig
    from .quic.front import QuicFront

log = logging.getLogger("gradefront")

EMPTY_LOOK_US = 100_000
REST_US = 100_000  # after the last answers: who rests at the door may still ask, and is told to come again
STOP_US = 250_000  # after the last answers the process ends, whoever has not closed by then; 0.2 s before SIGKILL
LAST_US = 350_000  # and this late where a client has not taken its answer yet; 0.1 s before SIGKILL
STOP_LOOK_US = 8_000
BACKLOG = 512  # connections that wait for accept
AT_START = ("name", "listen", "admin")  # a change waits for the next start


class Relay:
    """One relay: the core, the platform's front, and their way in and out of service."""

    def __init__(
        self,
        config: Config,
        quic: QuicConfig | None,
        reactor: Reactor,
        fleet: FleetConfig | None = None,
        clock: Callable[[], int] | None = None,
        stepped: Callable[[], bool] | None = None,
    ) -> None:
        wall = Clock()
        clock = clock or wall
        stepped = stepped or wall.stepped
        self.config = config
        self.reactor = reactor
        self.quic: QuicFront | None = None
        self.taking: Taking | None = None
        self.driver = Driver(reactor, clock)
        self.core = core = RelayCore(
            Balancer(config.settings, config.seed),
            config.settings,
            clock,
            self.driver.poke,
            config.tells_delay,
            config.class_names,
        )
        self.driver.core = core
        self.box_list = BoxList(config, core, stepped)
        core.watcher = self.list_watch = ListWatch(reactor, core, self.box_list, config.discovery)
        core.prober = LoadProber(reactor, core, self.box_list.address)
        if config.socket_fd is not None:
            self.listener = inherited(config.socket_fd)
            core.lifecycle.opens = self._adopt
        # A list from before may send clients to what another process, or the agent, has long been told drains.
        at_once = config.socket_fd is not None or self.list_watch.pushed
        if at_once:
            core.lifecycle.await_news()
        try:
            self.box_list.take(config.known, whole=True)
        except ValueError as error:
            raise ConfigError(f"known: {error}") from None
        upstreams = ConnectionCloser(core, config.sockets // DESCRIPTOR_SHARE)
        connector = PlatformConnector(reactor, self.box_list.address, upstreams)
        self.front = PlatformFront(config, core, connector, upstreams)
        if quic:  # imported only where it is on: its libraries cost a start time and memory
            from .quic.front import QuicFront

            self.quic = QuicFront(config, quic, core, reactor)
        self.fleet: FleetPort | None = None
        if fleet:  # imported only where it is on, too
            from .net.fleetport import FleetPort

            self.fleet = FleetPort(fleet, core)
            try:
                reactor.listenUDP(fleet.listen[1], self.fleet, fleet.listen[0])
            except CannotListenError as error:
                raise ConfigError(f"{fleet_file().name}: listen: {error}") from None
        self.door = None
        if config.admin:
            try:
                self.door = reactor.listenTCP(config.admin[1], Door(core, self.calls()), 64, config.admin[0])
            except CannotListenError as error:
                raise ConfigError(f"LB_ADMIN: the operators' door: {error}") from None
        self.port: Any = None
        if config.socket_fd is None:
            self.port = reactor.listenTCP(config.listen[1], self.front, BACKLOG, config.listen[0])
        if at_once:  # the module's spread is against a whole fleet that starts and asks one service
            self.list_watch.watch()

    def _adopt(self) -> None:
        """Take clients from the listener that the platform holds, beside the process that is there before."""
        self.port = self.reactor.adoptStreamPort(self.listener.fileno(), socket.AF_INET, self.front)
        if "TMPDIR" in os.environ:
            self.taking = Taking(self.core, self.front, self.reactor, Path(os.environ["TMPDIR"]))
            self.taking.open()
        log.info("relay %s takes clients from descriptor %d", self.config.name, self.listener.fileno())

    def calls(self) -> dict[str, Answer]:
        """What the operators' door answers."""
        core = self.core

        def said(good: bool) -> list[str]:
            return [f"{'ok' if good else 'fail'} {core.lifecycle.duty.value}"]

        return {
            "PING": lambda: said(core.lifecycle.takes_clients),
            "INFO": lambda: ["ok", *self.figures(), "eof"],
            "LAMEDUCK": lambda: said(core.lifecycle.lame_duck()),
            "REJOIN": lambda: said(core.lifecycle.rejoin()),
        }

    def figures(self) -> list[str]:
        """The figures now, a line each."""
        core = self.core
        return lines(
            core.counters,
            core.book.names,
            {
                "current": len(core.visits),
                "cluster_size": len(core.backends),
                "cluster_unhealthy": core.decider.avoided(core.clock()),
            },
        )

    def show(self) -> None:
        """The counters, as one log line."""
        levels = {"connections_now": self.front.open, "visits_now": len(self.core.visits)}
        if self.quic:
            levels |= self.quic.levels()
        if self.fleet:
            levels |= self.fleet.levels()
        log.info("counters %s", self.core.counters.line(**levels))

    def reload(self) -> None:
        """The file of the configuration was replaced: taken whole or not at all; what stands goes on."""
        old = self.config
        try:
            told = load(os.environ)
            if missing := lacks(told.told, old.told):
                raise ConfigError(f"{missing}: missing")
            book, settings = self.core.retuned(told.settings, told.class_names)
            # LB_DISCOVERY tells the address of the start: once the file names another, the file goes before it.
            moved = told.filed_discovery is not None and told.filed_discovery != old.filed_discovery
            where = told.filed_discovery if moved and told.filed_discovery else old.discovery
            config = replace(
                told,
                settings=settings,
                numbers=book.numbers(),
                discovery=where,
                seed=old.seed,
                **{name: getattr(old, name) for name in AT_START},
            )
            quic = load_quic(config, quic_file()) if self.quic else None
        except (ConfigError, NoRoom) as error:
            log.error("configuration not taken, the old one stays: %s", error)
            self.core.counters.add("conf_invalid_total")
            return
        later = [name for name in AT_START if getattr(told, name) != getattr(old, name)]
        if later:
            log.warning("taken at the next start only: %s", ", ".join(later))
        self.config = self.front.config = self.box_list.config = config
        if (book, settings) != (self.core.book, self.core.settings):
            self.core.retune(book, settings, config.tells_delay)
            log.info("settings: classes %s, %d attempts", ", ".join(config.class_names), settings.max_attempts)
        self.core.counters.add("conf_loaded_total")
        log.info("configuration taken; discovery at %s:%d", *where)
        if where != old.discovery:
            self.list_watch.go_to(where)
        if self.quic and quic:
            self.quic.config = config
            self.quic.configure(quic)

    def leave(self) -> None:
        """A planned restart. A second signal changes nothing."""
        if self.core.lifecycle.duty in (Duty.LEAVING, Duty.STOPPING, Duty.STOPPED):
            return
        if self.config.socket_fd is None or (self.taking and self.taking.mine()):
            # Nobody replaces this process yet: it goes on reading the listener, and holds its visits, to the last.
            self.core.lifecycle.leave(self._stop)
            return
        if self.port:
            self.port.stopListening()  # whoever waits in the listener's queue is the new process's
        call = call_next(self.taking) if self.taking else None
        if self.taking:
            self.taking.close()
        if call:
            log.info("visits go to the process that takes over")
            Giving(self.core, self.front, call).step()
        self.core.lifecycle.leave(self._stop, replaced=call is None)
        self._stop_when_empty()

    def _stop_when_empty(self) -> None:
        """Nobody comes here any more: what is left of the time, memory and descriptors is the new process's."""
        if self.front.open or self.core.visits:
            self.core.after(EMPTY_LOOK_US, self._stop_when_empty)
        else:
            self.core.lifecycle.stop(self._stop)

    def _stop(self) -> None:
        """All has its answer. Connections are ended in order: who rests at the door may ask in this very moment."""
        if self.taking:
            self.taking.close()
        if self.fleet:
            self.fleet.leave()
        self.core.after(REST_US, self._end_rest)
        self.core.after(STOP_US, self._stop_when_sent)
        self.core.after(LAST_US, self._stopped)
        self._stop_when_ended()

    def _end_rest(self) -> None:
        """Whoever has asked for nothing is told to come again; the listener's queue is taken in before it closes."""
        if self.port and self.config.socket_fd is None:
            self.port.accept_waiting(BACKLOG)
            self.port.stopListening()
        self.front.end_rest()

    def _stop_when_ended(self) -> None:
        """Wait for the peers' ends, so that no close resets what they have not read yet."""
        if self.front.open or self.front.upstreams or (self.port and self.port.connected):
            self.core.after(STOP_LOOK_US, self._stop_when_ended)
        else:
            self._stopped()

    def _stop_when_sent(self) -> None:
        """Peers that don't end their side are waited for no longer, only those that have not taken their answer."""
        if self.front.closing.unsent:
            self.core.after(STOP_LOOK_US, self._stop_when_sent)
        else:
            self._stopped()

    def _stopped(self) -> None:
        if self.core.lifecycle.hear(Word.STOPPED):
            self.front.closing.close_all()
            self.front.upstreams.close_all()
            self.list_watch.close()
            self.reactor.stop()


def inherited(fd: int) -> socket.socket:
    """The listener that the platform holds, under a descriptor of this process. Raises ConfigError."""
    try:
        listener = socket.socket(fileno=os.dup(fd))
        if listener.family != socket.AF_INET or not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            listener.close()
            raise OSError("not a TCP socket that listens")
    except OSError as error:
        raise ConfigError(f"LB_SOCKET_FD: {fd}: {error.strerror or error}") from None
    # All holders of a listener share this flag. Guards against waiting for a client that another one took.
    listener.setblocking(False)
    return listener


def quic_file() -> Path:
    """The second front's file."""
    return Path(os.environ.get("GRADEFRONT_QUIC", FILE))


def _on_signal(number: signal.Signals, do: Callable[[], None], reactor: Reactor) -> None:
    """Have the reactor do it, once it runs."""
    signal.signal(number, lambda *_: reactor.callFromThread(do))


def serve() -> int:
    """Serve until told to stop; 0 then, 2 where the configuration makes no sense."""
    reactor = cast(Reactor, cast(Any, RelayReactor)())
    cast(Any, installReactor)(reactor)
    relay: Relay
    # Before the file is read: a signal that comes meanwhile waits for the reactor and ends nothing.
    for number, do in (
        (signal.SIGTERM, Relay.leave),
        (signal.SIGINT, Relay.leave),
        (signal.SIGUSR1, Relay.show),
        (signal.SIGHUP, Relay.reload),
    ):
        _on_signal(number, lambda do=do: do(relay), reactor)  # type: ignore[misc]
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s %(message)s"
    )
    try:
        config = load(os.environ)
        quic = load_quic(config, quic_file())
        fleet = load_fleet(config, fleet_file())
    except ConfigError as error:
        print(f"gradefront: {error}", file=sys.stderr)
        return 2
    try:
        relay = Relay(config, quic, reactor, fleet)
    except (ConfigError, CannotListenError) as error:
        print(f"gradefront: {error}", file=sys.stderr)
        return 2
    log.info("settings: %s; message delays told: %s", config.settings, config.tells_delay)
    told = config.settings
    log.info(  # a line of its own: collectors cut long ones
        "slow start: %d relays, capacity from %.2f, warm after %.1f s, overloaded by %.1f times it in %.2f s",
        told.fleet_size,
        told.start_capacity,
        told.cold_us / 1e6,
        told.tip_multiple,
        told.fall_us / 1e6,
    )
    if relay.port:
        where = relay.port.getHost()
        log.info("relay %s listens on %s:%d", config.name, where.host, where.port)
    if relay.door:
        log.info("operators' door at %s:%d", relay.door.getHost().host, relay.door.getHost().port)
    for door in relay.quic.doors if relay.quic else ():
        log.info("quic front listens on %s:%d", *door.address)
    gc.collect()
    gc.freeze()  # start-up objects stay; collecting them again and again would cost scarce CPU
    reactor.run(installSignalHandlers=False)
    relay.show()
    return 0
