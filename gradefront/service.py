"""The relay process: assembly of its parts, signal handling, and `serve`."""

from __future__ import annotations

import gc
import logging
import os
import signal
import sys
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NoReturn, cast

from twisted.internet.error import CannotListenError
from twisted.internet.main import installReactor

from . import startup
from .config import Config, ConfigError, load
from .fleet.switch import fleet_file
from .fleet.switch import load as load_fleet
from .listening import ClientListener, inherited_listener
from .net.reactor import Clock, Driver, Reactor, RelayReactor
from .quic.switch import load as load_quic
from .quic.switch import quic_file
from .reload import ConfigReloader
from .shutdown import Shutdown
from .state.endpoint_handover import request_endpoints
from .state.handover_sockets import find_handover_path

if TYPE_CHECKING:
    from .fleet.settings import FleetConfig
    from .quic.config import QuicConfig

log = logging.getLogger("gradefront")

EXIT_OK = 0
EXIT_BAD_CONFIG = 2
US_PER_S = 1e6
NS_PER_US = 1_000


class Relay:
    """One relay: the core, the listeners for clients, and the parts that start, reconfigure and stop them.

    `clock` returns Unix time in microseconds and defaults to the system clock. Raises ConfigError if a setting is
    invalid, and CannotListenError.
    """

    def __init__(
        self,
        config: Config,
        quic: QuicConfig | None,
        reactor: Reactor,
        fleet: FleetConfig | None = None,
        clock: Callable[[], int] | None = None,
    ) -> None:
        system_clock = Clock()
        clock = clock or system_clock
        self.driver = Driver(reactor, clock)
        self.core = core = startup.build_core(config, self.driver, clock)
        self.endpoint_list, self.endpoint_watch = startup.build_endpoint_watch(
            config, core, reactor, system_clock.stepped
        )
        inherited = inherited_listener(config.socket_fd) if config.socket_fd is not None else None
        # The configured endpoint list may be out of date: it may name backends that are draining by now, as another
        # process of this relay, or the agent that pushes the list, already knows.
        awaits_fresh_list = inherited is not None or self.endpoint_watch.pushed
        if awaits_fresh_list:
            core.lifecycle.await_endpoint_list()
        handover_path = find_handover_path() if inherited else None
        previous = request_endpoints(handover_path) if handover_path else None
        startup.apply_known_endpoints(config, self.endpoint_list, previous)
        self.client_factory = startup.build_client_factory(config, core, self.endpoint_list, reactor)
        self.client_factory.seen_ids.add_past(previous.ids if previous else ())
        self.client_listener = ClientListener(config, self.client_factory, self.endpoint_list, reactor, inherited)
        if inherited:
            core.lifecycle.on_ready = self.client_listener.listen_on_inherited
        self.quic = startup.build_quic_front(config, quic, core, reactor) if quic else None
        self.fleet = startup.start_fleet(fleet, core, reactor, inherited is not None) if fleet else None
        self.admin_server = startup.start_admin_server(config, core, reactor)
        if not inherited:
            self.client_listener.listen()
        # Otherwise the first poll is delayed by a random time, because a whole fleet that starts at once would poll
        # discovery at once.
        if awaits_fresh_list:
            self.endpoint_watch.watch()
        self._reloader = ConfigReloader(
            config, self.client_factory, self.endpoint_list, self.endpoint_watch, self.quic
        )
        self._shutdown = Shutdown(
            self.client_factory, self.client_listener, self.endpoint_watch, self.fleet, self.admin_server, reactor
        )

    @property
    def port(self) -> Any:
        """The port that accepts clients; None until an inherited listener is in use."""
        return self.client_listener.port

    def log_counters(self) -> None:
        """Log the counters as one line."""
        levels = {"connections_now": self.client_factory.open_connections, "visits_now": len(self.core.connections)}
        if self.quic:
            levels |= self.quic.levels()
        if self.fleet:
            levels |= self.fleet.levels()
        log.info("counters %s", self.core.counters.as_json(**levels))

    def reload(self) -> None:
        """Reload the configuration file; established connections are kept."""
        self._reloader.reload()

    def leave(self, waited_us: int = 0) -> None:
        """Begin a planned stop requested by a signal received `waited_us` ago."""
        self._shutdown.begin(waited_us)

    def log_end(self) -> None:
        """Log the steps of the stop and the counters, after the reactor has stopped."""
        self._shutdown.timeline.record("reactor ended")
        self._shutdown.timeline.log()
        self.log_counters()


#: The handler of each signal; its second argument is the microseconds that the signal waited for the reactor.
HANDLED_SIGNALS: dict[signal.Signals, Callable[[Relay, int], None]] = {
    signal.SIGTERM: Relay.leave,
    signal.SIGINT: Relay.leave,
    signal.SIGUSR1: lambda relay, _: relay.log_counters(),
    signal.SIGHUP: lambda relay, _: relay.reload(),
}


def _handle_signal(number: signal.Signals, handler: Callable[[int], None], reactor: Reactor) -> None:
    """Have the reactor call `handler`, once it runs, with the microseconds that the signal has waited for it."""

    def on_signal(*_: object) -> None:
        received_ns = time.monotonic_ns()
        reactor.callFromThread(lambda: handler((time.monotonic_ns() - received_ns) // NS_PER_US))

    signal.signal(number, on_signal)


def _ignore_signals() -> None:
    """Ignore all handled signals.

    The interpreter drops its handlers as it exits: a signal would then kill the process and change its exit status.
    """
    for number in HANDLED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)


def _end_process(status: int) -> NoReturn:
    """Exit without the interpreter's teardown, which would take a good part of the time left until SIGKILL."""
    logging.shutdown()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)


def _log_settings(config: Config) -> None:
    settings = config.settings
    log.info("settings: %s; message latency reported: %s", settings, config.reports_message_latency)
    log.info(  # a separate line: log collectors truncate long ones
        "slow start: %d relays, initial capacity %.2f, warm-up %.1f s, overload at %.1f times capacity within %.2f s",
        settings.fleet_size,
        settings.initial_capacity,
        settings.warm_up_us / US_PER_S,
        settings.overload_multiple,
        settings.overload_window_us / US_PER_S,
    )


def _log_listeners(relay: Relay, name: str) -> None:
    if relay.port:
        address = relay.port.getHost()
        log.info("relay %s listens on %s:%d", name, address.host, address.port)
    if relay.admin_server:
        address = relay.admin_server.getHost()
        log.info("admin interface at %s:%d", address.host, address.port)
    for listener in relay.quic.listeners if relay.quic else ():
        log.info("quic front listens on %s:%d", *listener.address)


def _start(reactor: Reactor) -> Relay:
    """Read the configuration and build the relay. Raises ConfigError and CannotListenError."""
    config = load(os.environ)
    quic = load_quic(config, quic_file())
    fleet = load_fleet(config, fleet_file())
    relay = Relay(config, quic, reactor, fleet)
    _log_settings(config)
    _log_listeners(relay, config.name)
    return relay


def serve() -> int:
    """Serve until a signal ends the process with status 0.

    Return 2 if the configuration is invalid or the relay cannot listen on its addresses.
    """
    reactor = cast(Reactor, cast(Any, RelayReactor)())
    cast(Any, installReactor)(reactor)
    relay: Relay
    # Installed before the configuration is read: a signal received meanwhile waits for the reactor instead of ending
    # the process.
    for number, func in HANDLED_SIGNALS.items():
        _handle_signal(number, lambda waited_us, func=func: func(relay, waited_us), reactor)  # type: ignore[misc]
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s %(message)s"
    )
    try:
        relay = _start(reactor)
    except (ConfigError, CannotListenError) as error:
        print(f"gradefront: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIG
    gc.collect()
    gc.freeze()  # the start-up objects are permanent, and scanning them in each collection costs scarce CPU
    reactor.run(installSignalHandlers=False)
    _ignore_signals()
    relay.log_end()
    _end_process(EXIT_OK)
