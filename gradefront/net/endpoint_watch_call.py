"""One call to discovery for a watch on the endpoint list: its timeouts and the documents that it brings."""

from __future__ import annotations

import logging
from functools import partial
from typing import Any, Protocol

from twisted.internet.protocol import ClientFactory

from gradefront.core.relay import RelayCore
from gradefront.core.timer_wheel import Timer

from .endpoint_list import EndpointList
from .endpoint_watch_protocol import EndpointWatchProtocol
from .objects import Objects

log = logging.getLogger("gradefront.endpoint_watch")

# An empty line comes every 2 s; an update is in force after `start_times.DISCOVERY_DELAY_US`, received or not.
HEARTBEAT_TIMEOUT_US = 3_000_000
RECHECK_DELAY_US = 20_000  # for a loop that was held up to read what has come


class CallOwner(Protocol):
    """The watch that makes the call."""

    core: RelayCore
    endpoint_list: EndpointList

    def on_first_document(self) -> None:
        """The call brought a document."""

    def on_call_failed(self, why: str) -> None:
        """The call failed, or its watch ended."""


class EndpointWatchCall(ClientFactory):
    """One call. It ends once, and then reports to its owner unless it was closed from there.

    `address` is discovery's host and port, `timeout_us` the time until the first heartbeat.
    """

    noisy = False

    def __init__(self, owner: CallOwner, address: tuple[str, int], timeout_us: int) -> None:
        self.owner = owner
        self.address = address
        self.has_update = False
        self.objects = Objects()
        self.was_rechecked = False  # since the last heartbeat
        self.line_protocol: EndpointWatchProtocol | None = None
        self.ended = False
        self.connector: Any = None
        self.timeout_us = timeout_us
        self.timeout: Timer = self._start_timeout(self.timeout_us)

    @property
    def revision(self) -> int:
        """The revision of the list in force."""
        return self.owner.endpoint_list.revision

    def buildProtocol(self, addr: object) -> EndpointWatchProtocol:  # noqa: ARG002 - Twisted's signature
        """The connection is open."""
        self.line_protocol = EndpointWatchProtocol(self)
        return self.line_protocol

    def clientConnectionFailed(self, connector: object, reason: object) -> None:  # noqa: ARG002 - Twisted's signature
        """Discovery refused."""
        self.fail("discovery refused the connection")

    def on_heartbeat(self) -> None:
        """A complete object or an empty line came. Other bytes are no heartbeat, or a watch that drips would stay
        open for ever."""
        if self.ended:
            return
        self.owner.endpoint_list.on_heartbeat()
        self.timeout.cancel()
        self.was_rechecked = False
        self.timeout_us = HEARTBEAT_TIMEOUT_US
        self.timeout = self._start_timeout(self.timeout_us)

    def _start_timeout(self, delay_us: int) -> Timer:
        return self.owner.core.call_later(delay_us, partial(self._on_timeout, self.owner.core.clock() + delay_us))

    def _on_timeout(self, due_us: int) -> None:
        """Guards against a watch that was cut off silently: updates meanwhile would be missed."""
        if self.owner.core.clock() - due_us > self.timeout_us // 2 and not self.was_rechecked:
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
        self.owner.endpoint_list.apply(document)
        if not self.has_update:
            self.has_update = True
            self.owner.on_first_document()
            log.info(
                "endpoint list from %s:%d: revision %s, %s, %d lines",
                *self.address,
                document.get("revision"),
                "complete" if document.get("complete") else "changes",
                len(document.get("members") or ()),
            )
        self.owner.core.lifecycle.on_fresh_endpoint_list()

    def fail(self, why: str) -> None:
        """End this call and report it to the watch, once."""
        if not self.ended:
            self.close()
            self.owner.on_call_failed(why)

    def close(self) -> None:
        """End this call without a report."""
        self.ended = True
        self.timeout.cancel()
        if self.line_protocol and self.line_protocol.transport:
            self.line_protocol.abort()
        elif self.connector is not None:
            self.connector.disconnect()
