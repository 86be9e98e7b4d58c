"""Functions that each build one part of a relay. `Relay` calls them in dependency order."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from twisted.internet.error import CannotListenError

from balancer import Balancer

from .admin.calls import admin_commands
from .admin.server import AdminServer
from .config import Config, ConfigError, SettingError
from .core.relay import RelayCore
from .fleet.switch import fleet_file
from .net.backend_connection import LineBackendConnector
from .net.client_protocol import ClientProtocolFactory
from .net.closing import DESCRIPTOR_SHARE, ConnectionCloser
from .net.endpoint_list import EndpointList
from .net.endpoint_watch import EndpointWatch
from .net.health_checks import BackendHealthChecker
from .net.reactor import Driver, Reactor
from .state.endpoint_handover import KnownEndpoints

if TYPE_CHECKING:
    from .fleet.settings import FleetConfig
    from .net.fleet_port import FleetPort
    from .quic.config import QuicConfig
    from .quic.front import QuicFront

log = logging.getLogger("gradefront")

ADMIN_BACKLOG = 64  # connections in the listen queue


def build_core(config: Config, driver: Driver, clock: Callable[[], int]) -> RelayCore:
    """Build the relay core with its decision module, driven by `driver`.

    `clock` returns Unix time in microseconds.
    """
    driver.core = core = RelayCore(
        Balancer(config.settings, config.seed),
        config.settings,
        clock,
        driver.wake,
        config.reports_message_latency,
        config.class_names,
    )
    return core


def build_endpoint_watch(
    config: Config, core: RelayCore, reactor: Reactor, clock_stepped: Callable[[], bool]
) -> tuple[EndpointList, EndpointWatch]:
    """Build the endpoint list, and the watch that keeps it current.

    `clock_stepped` returns whether the wall clock has been stepped since the start.
    """
    endpoint_list = EndpointList(config, core, clock_stepped)
    core.endpoint_watcher = endpoint_watch = EndpointWatch(reactor, core, endpoint_list, config.discovery)
    return endpoint_list, endpoint_watch


def apply_known_endpoints(config: Config, endpoint_list: EndpointList, previous: KnownEndpoints | None) -> None:
    """Apply the initial endpoint list: the configuration's, or the `previous` process's if that is newer.

    Raises SettingError if the configuration's is invalid.
    """
    if previous and previous.revision > KnownEndpoints(config.initial_endpoints, None).revision:
        try:
            endpoint_list.apply_previous(previous.document, previous.heard_us_ago)
        except ValueError as error:
            log.warning("the endpoint list of the process that is replaced is invalid: %s", error)
        else:
            log.info("endpoint list of the process that is replaced: revision %d", previous.revision)
            return
    try:
        endpoint_list.apply(config.initial_endpoints, complete=True)
    except ValueError as error:
        raise SettingError("known", str(error)) from None


def build_client_factory(
    config: Config, core: RelayCore, endpoint_list: EndpointList, reactor: Reactor
) -> ClientProtocolFactory:
    """Build the protocol factory for clients, the connector to backends, and the health checker.

    They share a budget of file descriptors.
    """
    closing_upstreams = ConnectionCloser(core, config.sockets // DESCRIPTOR_SHARE)
    connector = LineBackendConnector(reactor, endpoint_list.address, closing_upstreams)
    factory = ClientProtocolFactory(config, core, connector, closing_upstreams)
    core.health_checker = checker = BackendHealthChecker(
        reactor, core, endpoint_list.address, factory.health_check_limit
    )
    factory.on_descriptor_used = checker.close_surplus
    return factory


def build_quic_front(config: Config, quic: QuicConfig, core: RelayCore, reactor: Reactor) -> QuicFront:
    """Build the QUIC front. It is imported only if enabled: its libraries cost start-up time and memory."""
    from .quic.front import QuicFront

    return QuicFront(config, quic, core, reactor)


def start_fleet(fleet: FleetConfig, core: RelayCore, reactor: Reactor, is_replacement: bool) -> FleetPort:
    """Open the UDP port that gossips with other relays. It is imported only if enabled.

    `is_replacement`: the process that this one replaces may still hold the port, so it is opened once it is free.
    Raises ConfigError if it cannot be opened otherwise.
    """
    from .net.fleet_port import FleetPort

    port = FleetPort(fleet, core)
    try:
        port.open(reactor, is_replacement)
    except CannotListenError as error:
        raise ConfigError(f"{fleet_file().name}: listen: {error}") from None
    return port


def start_admin_server(config: Config, core: RelayCore, reactor: Reactor) -> Any:
    """Open the listening port of the admin interface; None if none is configured. Raises SettingError."""
    if not config.admin:
        return None
    host, port = config.admin
    try:
        return reactor.listenTCP(port, AdminServer(core, admin_commands(core)), ADMIN_BACKLOG, host)
    except CannotListenError as error:
        raise SettingError("LB_ADMIN", f"the admin interface cannot listen: {error}") from None
