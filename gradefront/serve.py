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

from balancer import Balancer

from .admin.metrics import lines
from .admin.server import AdminServer, Answer
from .config import Config, ConfigError, lacks, load
from .core.lifecycle_state import LifecycleEvent, LifecycleState
from .core.relay import RelayCore
from .core.request_classes import TooManyClasses
from .fleet.switch import fleet_file
from .fleet.switch import load as load_fleet
from .net.backend_connection import LineBackendConnector
from .net.client_protocol import ClientProtocolFactory
from .net.closing import DESCRIPTOR_SHARE, ConnectionCloser
from .net.endpoint_list import EndpointList
from .net.endpoint_watch import EndpointWatch
from .net.health_checks import BackendHealthChecker
from .net.reactor import Clock, Driver, Reactor, RelayReactor
from .quic.switch import FILE
from .quic.switch import load as load_quic
from .state.handover import HandoverReceiver, HandoverSender, call_next

if TYPE_CHECKING:
    from .fleet.settings import FleetConfig
    from .net.fleet_port import FleetPort
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
        self.handover_receiver: HandoverReceiver | None = None
        self.driver = Driver(reactor, clock)
        self.core = core = RelayCore(
            Balancer(config.settings, config.seed),
            config.settings,
            clock,
            self.driver.wake,
            config.reports_message_latency,
            config.class_names,
        )
        self.driver.core = core
        self.endpoint_list = EndpointList(config, core, stepped)
        core.endpoint_watcher = self.endpoint_watch = EndpointWatch(
            reactor, core, self.endpoint_list, config.discovery
        )
        core.health_checker = BackendHealthChecker(reactor, core, self.endpoint_list.address)
        if config.socket_fd is not None:
            self.listener = inherited(config.socket_fd)
            core.lifecycle.on_ready = self._adopt
        # A list from before may send clients to what another process, or the agent, has long been told drains.
        at_once = config.socket_fd is not None or self.endpoint_watch.pushed
        if at_once:
            core.lifecycle.await_endpoint_list()
        try:
            self.endpoint_list.apply(config.known, complete=True)
        except ValueError as error:
            raise ConfigError(f"known: {error}") from None
        upstreams = ConnectionCloser(core, config.sockets // DESCRIPTOR_SHARE)
        connector = LineBackendConnector(reactor, self.endpoint_list.address, upstreams)
        self.front = ClientProtocolFactory(config, core, connector, upstreams)
        if quic:  # imported only where it is on: its libraries cost a start time and memory
            from .quic.front import QuicFront

            self.quic = QuicFront(config, quic, core, reactor)
        self.fleet: FleetPort | None = None
        if fleet:  # imported only where it is on, too
            from .net.fleet_port import FleetPort

            self.fleet = FleetPort(fleet, core)
            try:
                reactor.listenUDP(fleet.listen[1], self.fleet, fleet.listen[0])
            except CannotListenError as error:
                raise ConfigError(f"{fleet_file().name}: listen: {error}") from None
        self.admin_server = None
        if config.admin:
            try:
                self.admin_server = reactor.listenTCP(
                    config.admin[1], AdminServer(core, self.admin_calls()), 64, config.admin[0]
                )
            except CannotListenError as error:
                raise ConfigError(f"LB_ADMIN: the operators' door: {error}") from None
        self.port: Any = None
        if config.socket_fd is None:
            self.port = reactor.listenTCP(config.listen[1], self.front, BACKLOG, config.listen[0])
        if at_once:  # the module's spread is against a whole fleet that starts and asks one service
            self.endpoint_watch.watch()

    def _adopt(self) -> None:
        """Take clients from the listener that the platform holds, beside the process that is there before."""
        self.port = self.reactor.adoptStreamPort(self.listener.fileno(), socket.AF_INET, self.front)
        if "TMPDIR" in os.environ:
            self.handover_receiver = HandoverReceiver(self.core, self.front, self.reactor, Path(os.environ["TMPDIR"]))
            self.handover_receiver.open()
        log.info("relay %s takes clients from descriptor %d", self.config.name, self.listener.fileno())

    def admin_calls(self) -> dict[str, Answer]:
        """What the admin interface answers."""
        core = self.core

        def said(good: bool) -> list[str]:
            return [f"{'ok' if good else 'fail'} {core.lifecycle.state.value}"]

        return {
            "PING": lambda: said(core.lifecycle.accepts_clients),
            "INFO": lambda: ["ok", *self.metrics(), "eof"],
            "LAMEDUCK": lambda: said(core.lifecycle.lame_duck()),
            "REJOIN": lambda: said(core.lifecycle.rejoin()),
        }

    def metrics(self) -> list[str]:
        """The figures now, a line each."""
        core = self.core
        return lines(
            core.counters,
            core.request_classes.names,
            {
                "current": len(core.connections),
                "cluster_size": len(core.backends),
                "cluster_unhealthy": core.balancer.count_unavailable(core.clock()),
            },
        )

    def log_counters(self) -> None:
        """The counters, as one log line."""
        levels = {"connections_now": self.front.open_connections, "visits_now": len(self.core.connections)}
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
            if missing := lacks(told.given, old.given):
                raise ConfigError(f"{missing}: missing")
            book, settings = self.core.prepare_settings(told.settings, told.class_names)
            # LB_DISCOVERY tells the address of the start: once the file names another, the file goes before it.
            moved = told.filed_discovery is not None and told.filed_discovery != old.filed_discovery
            where = told.filed_discovery if moved and told.filed_discovery else old.discovery
            config = replace(
                told,
                settings=settings,
                class_numbers=book.numbers(),
                discovery=where,
                seed=old.seed,
                **{name: getattr(old, name) for name in AT_START},
            )
            quic = load_quic(config, quic_file()) if self.quic else None
        except (ConfigError, TooManyClasses) as error:
            log.error("configuration not taken, the old one stays: %s", error)
            self.core.counters.add("conf_invalid_total")
            return
        later = [name for name in AT_START if getattr(told, name) != getattr(old, name)]
        if later:
            log.warning("taken at the next start only: %s", ", ".join(later))
        self.config = self.front.config = self.endpoint_list.config = config
        if (book, settings) != (self.core.request_classes, self.core.settings):
            self.core.apply_settings(book, settings, config.reports_message_latency)
            log.info("settings: classes %s, %d attempts", ", ".join(config.class_names), settings.max_attempts)
        self.core.counters.add("conf_loaded_total")
        log.info("configuration taken; discovery at %s:%d", *where)
        if where != old.discovery:
            self.endpoint_watch.go_to(where)
        if self.quic and quic:
            self.quic.config = config
            self.quic.configure(quic)

    def leave(self) -> None:
        """A planned restart. A second signal changes nothing."""
        if self.core.lifecycle.state in (LifecycleState.LEAVING, LifecycleState.STOPPING, LifecycleState.STOPPED):
            return
        if self.config.socket_fd is None or (self.handover_receiver and self.handover_receiver.is_newest()):
            # Nobody replaces this process yet: it goes on reading the listener, and holds its connections, to the
            # last.
            self.core.lifecycle.leave(self._stop)
            return
        if self.port:
            self.port.stopListening()  # whoever waits in the listener's queue is the new process's
        call = call_next(self.handover_receiver) if self.handover_receiver else None
        if self.handover_receiver:
            self.handover_receiver.close()
        if call:
            log.info("visits go to the process that takes over")
            HandoverSender(self.core, self.front, call).step()
        self.core.lifecycle.leave(self._stop, replaced=call is None)
        self._stop_when_empty()

    def _stop_when_empty(self) -> None:
        """Nobody comes here any more: what is left of the time, memory and descriptors is the new process's."""
        if self.front.open_connections or self.core.connections:
            self.core.after(EMPTY_LOOK_US, self._stop_when_empty)
        else:
            self.core.lifecycle.stop(self._stop)

    def _stop(self) -> None:
        """All has its answer. Connections are ended in order: who rests at the door may ask in this very moment."""
        if self.handover_receiver:
            self.handover_receiver.close()
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
        if self.front.open_connections or self.front.upstreams or (self.port and self.port.connected):
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
        if self.core.lifecycle.transition(LifecycleEvent.STOPPED):
            self.front.closing.close_all()
            self.front.upstreams.close_all()
            self.endpoint_watch.close()
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
        (signal.SIGUSR1, Relay.log_counters),
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
    log.info("settings: %s; message delays told: %s", config.settings, config.reports_message_latency)
    told = config.settings
    log.info(  # a line of its own: collectors cut long ones
        "slow start: %d relays, capacity from %.2f, warm after %.1f s, overloaded by %.1f times it in %.2f s",
        told.fleet_size,
        told.initial_capacity,
        told.warm_up_us / 1e6,
        told.overload_multiple,
        told.overload_window_us / 1e6,
    )
    if relay.port:
        where = relay.port.getHost()
        log.info("relay %s listens on %s:%d", config.name, where.host, where.port)
    if relay.admin_server:
        log.info("operators' door at %s:%d", relay.admin_server.getHost().host, relay.admin_server.getHost().port)
    for admin_server in relay.quic.listeners if relay.quic else ():
        log.info("quic front listens on %s:%d", *admin_server.address)
    gc.collect()
    gc.freeze()  # start-up objects stay; collecting them again and again would cost scarce CPU
    reactor.run(installSignalHandlers=False)
    relay.log_counters()
    return 0
