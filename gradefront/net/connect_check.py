"""Connect checks: whether a backend's machine still responds to a TCP connect, even with a refusal."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import ClientFactory

from gradefront.core.relay import RelayCore
from gradefront.core.timer_wheel import Timer


class ConnectCheck(ClientFactory):
    """One new connection to a backend, closed as soon as its outcome is known.

    `timeout` is the timer that ends the check; None once the outcome is reported.
    """

    noisy = False

    def __init__(self, core: RelayCore, backend: str) -> None:
        self.core = core
        self.backend = backend
        self.connector: Any = None
        self.timeout: Timer | None = None

    def buildProtocol(self, addr: object) -> None:  # noqa: ARG002 - Twisted's signature
        """Report success. Returning no protocol makes Twisted close the connection."""
        self._finish(True)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:  # noqa: ARG002 - Twisted's signature
        """Report success: any failure is taken for a refusal, which shows that the machine is up.

        If only the backend process died, its machine resets the established connections, so they end by themselves.
        """
        self._finish(True)

    def on_timeout(self) -> None:
        """Report failure, because the machine did not respond in time, and cancel the connection."""
        self._finish(False)
        self.connector.disconnect()

    def _finish(self, responded: bool) -> None:
        if self.timeout:
            self.timeout.cancel()
            self.timeout = None
            self.core.liveness.on_connect_checked(self.backend, responded)
