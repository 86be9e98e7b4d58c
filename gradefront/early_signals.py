"""Signals that come while the program is imported: it takes some tenths of a second until `serve` handles them."""

from __future__ import annotations

import os
import signal

#: The file is read after the imports in any case, and there is nothing to count yet.
IGNORED_SIGNALS = (signal.SIGHUP, signal.SIGUSR1)
#: Nothing is held yet, so nothing has to be ended in order.
EXIT_SIGNALS = (signal.SIGTERM, signal.SIGINT)
EXIT_OK = 0


def install_startup_handlers() -> None:
    """Handle signals until the service sets its own handlers."""
    for number in IGNORED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
    for number in EXIT_SIGNALS:
        signal.signal(number, lambda *_: os._exit(EXIT_OK))
