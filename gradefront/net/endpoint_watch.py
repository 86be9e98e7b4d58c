"""The watch on the endpoint list: consecutive long-lived HTTP requests (calls) to discovery."""

from __future__ import annotations

import logging

from gradefront.core.relay import RelayCore

from .endpoint_list import EndpointList
from .endpoint_watch_call import EndpointWatchCall
from .reactor import Reactor

log = logging.getLogger("gradefront.endpoint_watch")

RESPONSE_TIMEOUT_US = 3_500_000  # longer than the 3 s after which discovery itself fails a waiting call
# A look at the watch before an attempt that took longer than FREE_LOOK_US is followed by a pause of PAUSE_PER_LOOK
# times its duration, so that many attempts beside a watch that sends without end don't hold up the event loop.
FREE_LOOK_US = 1_000
PAUSE_PER_LOOK = 4
MIN_DRAIN_GRACE_US = 150_000  # lower bound for the setting `drain_grace_us`, which may be 0


class EndpointWatch:
    """Watches the endpoint list for the core (`ports.EndpointWatcher`). `address` is discovery's host and port.

    If lists are polled, the decision module decides when to call, because each call is work for a service that all
    relays share. If lists are pushed, an agent on this machine provides them at no such cost, and its list is in
    force whether or not this relay has received it. So then this class itself keeps a watch open all the time.
    """

    def __init__(
        self, reactor: Reactor, core: RelayCore, endpoint_list: EndpointList, address: tuple[str, int]
    ) -> None:
        self.reactor = reactor
        self.core = core
        self.endpoint_list = endpoint_list
        self.address = address
        self.call: EndpointWatchCall | None = None
        self.last_call_us = 0  # when the last call began
        self.failures = 0  # consecutive calls without an update
        self.next_look_us = 0  # `read_pending` does nothing before

    @property
    def pushed(self) -> bool:
        """Whether an agent pushes the lists, so that the decision module does not poll."""
        return not self.core.settings.polls_endpoint_list

    @property
    def retry_us(self) -> int:
        """Minimum time between the starts of two calls to the agent, and the response timeout of each.

        A third of the drain grace period in the settings, which counts as at least MIN_DRAIN_GRACE_US.
        """
        return max(self.core.settings.drain_grace_us, MIN_DRAIN_GRACE_US) // 3

    def on_first_document(self) -> None:
        """Reset the failure count, because a call has delivered a document."""
        self.failures = 0

    def on_call_failed(self, reason: str) -> None:
        """Handle a failed call or the end of a watch: report it to the core, or call the agent again."""
        if not self.pushed:
            self.core.on_endpoint_list_lost(reason)
            return
        self.core.counters.add("list_errors")
        if not self.failures:  # one log line per outage, not per call
            log.warning("endpoint watch to the agent failed: %s; retrying", reason)
        self.failures += 1
        # Retry at once, but not faster than `retry_us`: an agent that refuses or ends each call is retried until it
        # recovers.
        self.core.call_later(max(0, self.last_call_us + self.retry_us - self.core.clock()), self.watch)

    def watch(self) -> None:
        """Start a watch unless one is open.

        A retry that was scheduled for a replaced watch must not cost the new watch its place in discovery's queue.
        """
        if self.call is None or self.call.ended:
            self._start_call()

    def read_pending(self) -> None:
        """Apply unread updates of the watch, so that a send considers a drain that was announced just before."""
        began_us = self.core.clock()
        if began_us < self.next_look_us:
            return
        call = self.call
        if call and not call.ended and call.line_protocol and call.line_protocol.connected:
            call.line_protocol.read_available()
            took_us = self.core.clock() - began_us
            if took_us > FREE_LOOK_US:
                self.next_look_us = began_us + took_us * (1 + PAUSE_PER_LOOK)

    def change_address(self, address: tuple[str, int]) -> None:
        """Watch discovery at a new address.

        The old watch is closed without a report, and late updates from it are ignored. Revisions of the old address
        mean nothing at the new one, so the complete list is requested.
        """
        self.address = address
        self.endpoint_list.revision = 0
        self.close()
        self._start_call()

    def close(self) -> None:
        """Close the watch."""
        if self.call:
            self.call.close()

    def _start_call(self) -> None:
        self.last_call_us = self.core.clock()
        timeout_us = self.retry_us if self.pushed else RESPONSE_TIMEOUT_US
        self.call = EndpointWatchCall(self, self.address, timeout_us)
        self.call.connector = self.reactor.connectTCP(*self.address, self.call, timeout=None)
