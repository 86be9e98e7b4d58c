"""Connect checks: whether a backend's machine still takes connections."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import ClientFactory

from gradefront.core.relay import RelayCore
from gradefront.core.timer_wheel import Timer


class ConnectCheck(ClientFactory):
    """One new connection to a backend, closed as soon as its outcome is known."""

    noisy = False

    def __init__(self, core: RelayCore, backend: str) -> None:
        self.core = core
        self.backend = backend
        self.connector: Any = None
        self.timeout: Timer | None = None

    def buildProtocol(self, addr: object) -> None:  # noqa: ARG002 - Twisted's signature
        """The connection opened. Twisted closes one without a protocol."""
        self._finish(True)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:  # noqa: ARG002 - Twisted's signature
        """Refused, so the machine is there: a process that died resets its connections, which end by themselves."""
        self._finish(True)

    def on_timeout(self) -> None:
        """The connection did not open in time."""
        self._finish(False)
        self.connector.disconnect()

    def _finish(self, opened: bool) -> None:
        if self.timeout:
            self.timeout.cancel()
            self.timeout = None
            self.core.liveness.on_connect_checked(self.backend, opened)
