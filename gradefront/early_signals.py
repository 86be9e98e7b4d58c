"""Handlers for signals received during the imports, which take some tenths of a second before `serve` runs."""

from __future__ import annotations

import os
import signal

#: Reload and counter log: the configuration is read after the imports anyway, and there are no counts yet.
IGNORED_SIGNALS = (signal.SIGHUP, signal.SIGUSR1)
#: The process has no connections yet, so it can exit without a graceful shutdown.
EXIT_SIGNALS = (signal.SIGTERM, signal.SIGINT)
EXIT_OK = 0


def install_startup_handlers() -> None:
    """Install handlers that apply until the service installs its own."""
    for number in IGNORED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
    for number in EXIT_SIGNALS:
        signal.signal(number, lambda *_: os._exit(EXIT_OK))
