"""Signals that come while the program is imported: it takes some tenths of a second until `serve` handles them."""

from __future__ import annotations

import os
import signal

#: The file is read after the imports in any case, and there is nothing to count yet.
NOTHING_TO_DO = (signal.SIGHUP, signal.SIGUSR1)
#: Nothing is held yet, so nothing has to be ended in order.
ENDS_AT_ONCE = (signal.SIGTERM, signal.SIGINT)
EXIT_OK = 0


def handle_until_served() -> None:
    """Handle signals until the service sets its own handlers."""
    for number in NOTHING_TO_DO:
        signal.signal(number, signal.SIG_IGN)
    for number in ENDS_AT_ONCE:
        signal.signal(number, lambda *_: os._exit(EXIT_OK))
