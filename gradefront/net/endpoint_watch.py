"""The watch on the endpoint list: calls to discovery, one after the other."""

from __future__ import annotations

import logging

from gradefront.core.relay import RelayCore

from .endpoint_list import EndpointList
from .endpoint_watch_call import EndpointWatchCall
from .reactor import Reactor

log = logging.getLogger("gradefront.endpoint_watch")

RESPONSE_TIMEOUT_US = 3_500_000  # discovery fails a call that waited 3 s by itself
MIN_DRAIN_GRACE_US = 150_000  # where the settings' time after a drain is shorter, or 0


class EndpointWatch:
    """The core's port to discovery (`ports.EndpointWatcher`). `address` is discovery's host and port.

    Where lists are polled, the decision module says when to call, as each call costs a service that all relays share.
    Where they are pushed, an agent on this machine has them and answers at no cost, and its list is in force whether
    received or not: so this port itself keeps a watch open from the start on.
    """

    def __init__(
        self, reactor: Reactor, core: RelayCore, endpoint_list: EndpointList, address: tuple[str, int]
    ) -> None:
        self.reactor = reactor
        self.core = core
        self.endpoint_list = endpoint_list
        self.address = address
        self.call: EndpointWatchCall | None = None
        self.called_us = 0  # when the last call began
        self.failures = 0  # calls in a row without an update

    @property
    def pushed(self) -> bool:
        """Whether the lists come from an agent unasked."""
        return not self.core.settings.polls_endpoint_list

    @property
    def retry_us(self) -> int:
        """Shortest time between the starts of two calls to the agent, and its response timeout: a third of what the
        settings allow after a drain is announced."""
        return max(self.core.settings.drain_grace_us, MIN_DRAIN_GRACE_US) // 3

    def on_first_document(self) -> None:
        """A call brought a document."""
        self.failures = 0

    def on_call_failed(self, why: str) -> None:
        """A call failed, or the watch ended."""
        if not self.pushed:
            self.core.on_endpoint_list_lost(why)
            return
        self.core.counters.add("list_errors")
        if not self.failures:  # one line for an outage, not one for each call
            log.warning("the agent's watch is lost: %s; calling again", why)
        self.failures += 1
        # At once, but at a pace: an agent that refuses, or ends each call, is called until it is back.
        self.core.call_later(max(0, self.called_us + self.retry_us - self.core.clock()), self.watch)

    def watch(self) -> None:
        """Start a watch unless one is open: a retry that was set for a watch that has since been replaced must not
        cost the new one its place in discovery's queue."""
        if self.call is None or self.call.ended:
            self._start_call()

    def read_pending(self) -> None:
        """Read what lies unread on the watch: a drain announced a moment ago counts for what is sent now."""
        call = self.call
        if call and not call.ended and call.line_protocol and call.line_protocol.connected:
            call.line_protocol.read_available()

    def change_address(self, address: tuple[str, int]) -> None:
        """Discovery has moved. The old watch ends now: nothing late from it counts, and its end is not reported.
        Revisions mean nothing at the new address, so the complete list is requested."""
        self.address = address
        self.endpoint_list.revision = 0
        self.close()
        self._start_call()

    def close(self) -> None:
        """End the watch."""
        if self.call:
            self.call.close()

    def _start_call(self) -> None:
        self.called_us = self.core.clock()
        timeout_us = self.retry_us if self.pushed else RESPONSE_TIMEOUT_US
        self.call = EndpointWatchCall(self, self.address, timeout_us)
        self.call.connector = self.reactor.connectTCP(*self.address, self.call, timeout=None)
