"""The part of Twisted's reactor that gradefront uses, and the driver that runs the core from the event loop."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, Protocol, cast

from twisted.internet.epollreactor import EPollReactor

from gradefront.core.relay import RelayCore

from .transport import Connector, ListeningPort, ServerConnection

STEP_US = 500_000  # a larger drift of the wall clock against the monotonic one is a step; slewing is slower


class Reactor(Protocol):
    """The methods of Twisted's reactor that this program uses."""

    def callLater(self, delay: float, call: Callable[..., object], *args: Any) -> Any:
        """Call `call` after `delay` seconds."""

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float | None = None) -> Any:
        """Open a connection. The timeout is in seconds; None: none."""

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any:
        """Listen for connections."""

    def adoptStreamPort(self, fileDescriptor: int, addressFamily: int, factory: Any) -> Any:
        """Accept connections on an existing listening descriptor. It is duplicated, and never shut down."""

    def adoptStreamConnection(self, fileDescriptor: int, addressFamily: int, factory: Any) -> Any:
        """Serve an established connection. Its descriptor is duplicated."""

    def addReader(self, reader: Any) -> None:
        """Have `reader.doRead` called when its descriptor is ready."""

    def removeReader(self, reader: Any) -> None:
        """Undo `addReader`."""

    def listenUDP(self, port: int, protocol: Any, interface: str = "", maxPacketSize: int = 8192) -> Any:
        """Listen for UDP datagrams."""

    def callFromThread(self, call: Callable[..., object], *args: Any) -> Any:
        """Schedule a call in the event loop, from a signal handler or another thread."""

    def run(self, installSignalHandlers: bool = True) -> None:
        """Run the event loop until `stop` is called."""

    def stop(self) -> None:
        """Stop the event loop."""


class RelayReactor(EPollReactor):
    """Twisted's reactor on the monotonic clock, with connections and listeners that tolerate transient errors.

    Twisted's default time source is `time.time`: if the wall clock were set back by an hour, no timer would run for
    an hour, and if it were set forward, all would run at once.
    """

    def seconds(self) -> float:
        """Return the monotonic time in seconds; delays are relative to it."""
        return time.monotonic()

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> ListeningPort:
        """Listen for connections."""
        listener = ListeningPort(port, factory, backlog, interface, self)
        listener.startListening()
        return listener

    def connectTCP(
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float | None = None,
        bindAddress: Any = None,  # noqa: N803 - Twisted's signature
    ) -> Any:
        """Open a connection. The timeout is in seconds; None: none."""
        connector = cast(Any, Connector)(host, port, factory, timeout, bindAddress, self)
        connector.connect()
        return connector

    def adoptStreamPort(self, fileDescriptor: int, addressFamily: int, factory: Any) -> ListeningPort:
        """Accept connections on an existing listening descriptor."""
        port = cast(Any, ListeningPort)
        listener: ListeningPort = port._fromListeningDescriptor(self, fileDescriptor, addressFamily, factory)
        listener.is_shared = True
        listener.startListening()
        return listener

    def adoptStreamConnection(self, fileDescriptor: int, addressFamily: int, factory: Any) -> ServerConnection:
        """Serve an established connection."""
        server = cast(Any, ServerConnection)
        connection: ServerConnection = server._fromConnectedSocket(fileDescriptor, addressFamily, factory, self)
        return connection


class Clock:
    """Monotonic Unix time in microseconds: the wall clock at the start, advanced by the monotonic clock."""

    def __init__(self) -> None:
        self.start = self._wall_offset_us()

    def __call__(self) -> int:
        """Return the current time."""
        return self.start + time.monotonic_ns() // 1000

    @staticmethod
    def _wall_offset_us() -> int:
        return time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def stepped(self) -> bool:
        """Return whether the wall clock was stepped since the start; then others' times of day can't be trusted."""
        return abs(self._wall_offset_us() - self.start) > STEP_US


class Driver:
    """Runs the core when it is woken and when its timer wheel is due."""

    def __init__(self, reactor: Reactor, clock: Callable[[], int]) -> None:
        self.reactor = reactor
        self.clock = clock
        self.core: RelayCore | None = None
        self.is_woken = False
        self.scheduled: Any = None
        self.scheduled_us = 0

    def wake(self) -> None:
        """Schedule a run of the core, after all sockets that are ready now are handled."""
        if not self.is_woken:
            self.is_woken = True
            self.reactor.callLater(0, self._run_core)

    def _run_core(self) -> None:
        self.is_woken = False
        if self.core is None:
            return
        try:
            self.core.run_once()
        finally:  # an exception in the core must not stop the timers
            self._schedule(self.core)

    def _schedule(self, core: RelayCore) -> None:
        """Schedule a run of the core for the time when its timer wheel is due."""
        due_us = core.timers.next_due()
        if due_us is None or self.is_woken:
            return
        if self.scheduled is not None and self.scheduled.active():
            if self.scheduled_us == due_us:
                return
            self.scheduled.cancel()
        self.scheduled_us = due_us
        self.scheduled = self.reactor.callLater(max(0, due_us - self.clock()) / 1e6, self._run_core)
