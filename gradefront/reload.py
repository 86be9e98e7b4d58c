"""Configuration reload on SIGHUP: a changed file is applied completely or not at all."""

from __future__ import annotations

import logging
import os
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from balancer.settings import Settings

from .config import Address, Config, ConfigError, SettingError, load, missing_key
from .core.request_classes import RequestClassTable, TooManyClassesError
from .net.client_protocol import ClientProtocolFactory
from .net.endpoint_list import EndpointList
from .net.endpoint_watch import EndpointWatch
from .quic.switch import load as load_quic
from .quic.switch import quic_file

if TYPE_CHECKING:
    from .quic.config import QuicConfig
    from .quic.front import QuicFront

log = logging.getLogger("gradefront")

FIXED_AT_START = ("name", "listen", "admin")  # changes take effect at the next start


@dataclass(frozen=True)
class _Prepared:
    """A configuration that has been read and validated but not yet applied."""

    config: Config
    request_classes: RequestClassTable
    settings: Settings
    quic: QuicConfig | None
    deferred: list[str]  # changed fields that take effect at the next start


def _discovery_address(loaded: Config, current: Config) -> Address:
    """Return the discovery address to watch.

    At the start LB_DISCOVERY overrides the file; once the address in the file changes, the file takes precedence.
    """
    file_address = loaded.file_discovery
    return file_address if file_address and file_address != current.file_discovery else current.discovery


class ConfigReloader:
    """Holds the current configuration and replaces it in all parts of the relay at once."""

    def __init__(
        self,
        config: Config,
        client_factory: ClientProtocolFactory,
        endpoint_list: EndpointList,
        endpoint_watch: EndpointWatch,
        quic: QuicFront | None,
    ) -> None:
        self.config = config
        self.core = client_factory.core
        self.client_factory = client_factory
        self.endpoint_list = endpoint_list
        self.endpoint_watch = endpoint_watch
        self.quic = quic

    def reload(self) -> None:
        """Read the configuration file again. If it is invalid, log the error and keep the current configuration."""
        try:
            prepared = self._prepare()
        except (ConfigError, TooManyClassesError) as error:
            log.error("configuration not applied, the current one stays in force: %s", error)
            self.core.counters.add("conf_invalid_total")
            return
        if prepared.deferred:
            log.warning("changed settings that take effect at the next start only: %s", ", ".join(prepared.deferred))
        self._apply(prepared)

    def _prepare(self) -> _Prepared:
        """Read and validate the files without applying them. Raises ConfigError and TooManyClassesError."""
        current = self.config
        loaded = load(os.environ)
        if missing := missing_key(loaded.document, current.document):
            raise SettingError(missing, "missing")
        request_classes, settings = self.core.prepare_settings(loaded.settings, loaded.class_names)
        config = replace(
            loaded,
            settings=settings,
            class_numbers=request_classes.active_numbers_by_name(),
            discovery=_discovery_address(loaded, current),
            seed=current.seed,
            **{name: getattr(current, name) for name in FIXED_AT_START},
        )
        quic = load_quic(config, quic_file()) if self.quic else None
        deferred = [name for name in FIXED_AT_START if getattr(loaded, name) != getattr(current, name)]
        return _Prepared(config, request_classes, settings, quic, deferred)

    def _apply(self, prepared: _Prepared) -> None:
        config, settings = prepared.config, prepared.settings
        discovery_moved = config.discovery != self.config.discovery
        self.config = self.client_factory.config = self.endpoint_list.config = config
        if (prepared.request_classes, settings) != (self.core.request_classes, self.core.settings):
            self.core.apply_settings(prepared.request_classes, settings, config.reports_message_latency)
            log.info("settings: classes %s, %d attempts", ", ".join(config.class_names), settings.max_attempts)
        self.core.counters.add("conf_loaded_total")
        log.info("configuration applied; discovery at %s:%d", *config.discovery)
        if discovery_moved:
            self.endpoint_watch.change_address(config.discovery)
        if self.quic:
            self.quic.config = config
            if prepared.quic:
                self.quic.configure(prepared.quic)
