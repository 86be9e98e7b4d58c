"""The watch on the endpoint list: calls to discovery, one after the other."""

from __future__ import annotations

import logging
from functools import partial
from typing import Any

from twisted.internet.protocol import ClientFactory

from gradefront.core.relay import RelayCore
from gradefront.core.timer_wheel import Timer

from .endpoint_list import EndpointList
from .endpoint_watch_protocol import EndpointWatchProtocol
from .objects import Objects
from .reactor import Reactor

log = logging.getLogger("gradefront.watch")

RESPONSE_TIMEOUT_US = 3_500_000  # discovery fails a call that waited 3 s by itself
HEARTBEAT_TIMEOUT_US = 3_000_000  # an empty line comes every 2 s; an update is in force after 6 s, received or not
RECHECK_DELAY_US = 20_000  # for a loop that was held up to read what has come
MIN_DRAIN_GRACE_US = 150_000  # where the settings' time after a drain is shorter, or 0


class EndpointWatchCall(ClientFactory):
    """One call for a watch. It ends once, and then reports to the watch unless it was closed from there."""

    noisy = False

    def __init__(self, watch: EndpointWatch) -> None:
        self.watch = watch
        self.address = watch.address
        self.has_update = False
        self.objects = Objects()
        self.was_rechecked = False  # since the last heartbeat
        self.line: EndpointWatchProtocol | None = None
        self.ended = False
        self.connector: Any = None
        self.timeout_us = watch.retry_us if watch.pushed else RESPONSE_TIMEOUT_US
        self.timeout: Timer = self._start_timeout(self.timeout_us)

    @property
    def revision(self) -> int:
        """The revision of the list in force."""
        return self.watch.endpoint_list.revision

    def buildProtocol(self, addr: object) -> EndpointWatchProtocol:  # noqa: ARG002 - Twisted's signature
        """The connection is open."""
        self.line = EndpointWatchProtocol(self)
        return self.line

    def clientConnectionFailed(self, connector: object, reason: object) -> None:  # noqa: ARG002 - Twisted's signature
        """Discovery refused."""
        self.fail("discovery refused the connection")

    def on_heartbeat(self) -> None:
        """A complete object or an empty line came. Other bytes are no heartbeat, or a watch that drips would stay
        open for ever."""
        if self.ended:
            return
        self.watch.endpoint_list.on_heartbeat()
        self.timeout.cancel()
        self.was_rechecked = False
        self.timeout_us = HEARTBEAT_TIMEOUT_US
        self.timeout = self._start_timeout(self.timeout_us)

    def _start_timeout(self, delay_us: int) -> Timer:
        return self.watch.core.after(delay_us, partial(self._on_timeout, self.watch.core.clock() + delay_us))

    def _on_timeout(self, due_us: int) -> None:
        """Guards against a watch that was cut off silently: updates meanwhile would be missed."""
        if self.watch.core.clock() - due_us > self.timeout_us // 2 and not self.was_rechecked:
            # This relay was held up, and may not have read yet what came: one more check, and no more than that.
            self.was_rechecked = True
            self.timeout = self._start_timeout(RECHECK_DELAY_US)
        else:
            self.fail("no heartbeat")

    def on_data(self, data: bytes) -> None:
        """Handle bytes of the list. Guards the relay: what makes no sense ends this call only, and changes
        nothing."""
        if self.ended:
            return
        try:
            documents, is_heartbeat = self.objects.feed(data)
            for document in documents:
                if not self.ended:
                    self._on_document(document)
        except ValueError as error:
            self.fail(f"not JSON, or no list: {error}")
            return
        if is_heartbeat:
            self.on_heartbeat()

    def _on_document(self, document: dict[str, Any]) -> None:
        self.watch.endpoint_list.apply(document)
        if not self.has_update:
            self.has_update = True
            self.watch.failures = 0
            log.info(
                "endpoint list from %s:%d: revision %s, %s, %d lines",
                *self.address,
                document.get("revision"),
                "complete" if document.get("complete") else "changes",
                len(document.get("members") or ()),
            )
        self.watch.core.lifecycle.on_fresh_endpoint_list()

    def fail(self, why: str) -> None:
        """End this call and report it to the watch, once."""
        if not self.ended:
            self.close()
            self.watch.on_call_failed(why)

    def close(self) -> None:
        """End this call without a report."""
        self.ended = True
        self.timeout.cancel()
        if self.line and self.line.transport:
            self.line.abort()
        elif self.connector is not None:
            self.connector.disconnect()


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
        self.core.after(max(0, self.called_us + self.retry_us - self.core.clock()), self.watch)

    def watch(self) -> None:
        """Start a watch unless one is open: a retry that was set for a watch that has since been replaced must not
        cost the new one its place in discovery's queue."""
        if self.call is None or self.call.ended:
            self._start_call()

    def read_pending(self) -> None:
        """Read what lies unread on the watch: a drain announced a moment ago counts for what is sent now."""
        call = self.call
        if call and not call.ended and call.line and call.line.connected:
            call.line.catch_up()

    def go_to(self, address: tuple[str, int]) -> None:
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
        self.call = EndpointWatchCall(self)
        self.call.connector = self.reactor.connectTCP(*self.address, self.call, timeout=None)
