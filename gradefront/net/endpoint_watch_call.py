"""One HTTP call to discovery for a watch on the endpoint list: its timeouts and the documents it delivers."""

from __future__ import annotations

import logging
from functools import partial
from typing import Any, Protocol

from twisted.internet.protocol import ClientFactory

from gradefront.core.relay import RelayCore
from gradefront.core.timer_wheel import Timer

from .endpoint_list import EndpointList
from .endpoint_watch_protocol import EndpointWatchProtocol
from .objects import JsonObjectReader, ObjectTooLongError

log = logging.getLogger("gradefront.endpoint_watch")

# Discovery sends an empty line every 2 s. An update is in force after `start_times.DISCOVERY_DELAY_US`, even if it
# was not received.
HEARTBEAT_TIMEOUT_US = 3_000_000
MIN_PROGRESS_CHARACTERS = 1_024  # of an object, within HEARTBEAT_TIMEOUT_US; less does not keep a call open
RECHECK_DELAY_US = 20_000  # lets a delayed event loop read data that has already arrived


class CallOwner(Protocol):
    """The watch that makes the call, and is notified of its progress."""

    core: RelayCore
    endpoint_list: EndpointList

    def on_first_document(self) -> None:
        """Handle the first document of the call."""

    def on_call_failed(self, reason: str) -> None:
        """Handle a failed call or the end of its watch."""


class EndpointWatchCall(ClientFactory):
    """One call. It ends once, and reports that to its owner unless the owner closed it.

    `address` is discovery's host and port, `timeout_us` the timeout for the first heartbeat.
    """

    noisy = False

    def __init__(self, owner: CallOwner, address: tuple[str, int], timeout_us: int) -> None:
        self.owner = owner
        self.address = address
        self.has_update = False
        self.reader = JsonObjectReader()
        self.was_rechecked = False  # since the last heartbeat
        self.line_protocol: EndpointWatchProtocol | None = None
        self.ended = False
        self.connector: Any = None
        self.timeout_us = timeout_us
        self.progress_started_us = owner.core.clock()  # start of the call, last heartbeat or last progress
        self.progress_start_characters = 0  # of the next object, received up to then
        self.timeout: Timer = self._start_timeout(self.timeout_us)

    @property
    def revision(self) -> int:
        """Revision of the current endpoint list."""
        return self.owner.endpoint_list.revision

    def buildProtocol(self, addr: object) -> EndpointWatchProtocol:  # noqa: ARG002 - Twisted's signature
        """Create the protocol of the connection to discovery, which is now open."""
        self.line_protocol = EndpointWatchProtocol(self)
        return self.line_protocol

    def clientConnectionFailed(self, connector: object, reason: object) -> None:  # noqa: ARG002 - Twisted's signature
        """Fail the call, because the connection was not established."""
        self.fail("discovery refused the connection")

    def on_bytes_received(self) -> None:
        """Restart the timeout while a part of an object is being received.

        Any bytes count for HEARTBEAT_TIMEOUT_US after the call's start, the last heartbeat or the last progress, then
        only progress does, so that a list is taken however long its transfer, and single bytes keep no call open.
        """
        if self.ended:
            return
        if self._has_progress():
            self._start_progress()
        latest_us = self.progress_started_us + max(HEARTBEAT_TIMEOUT_US, self.timeout_us)
        if self.owner.core.clock() + self.timeout_us <= latest_us:
            self.timeout.cancel()
            self.timeout = self._start_timeout(self.timeout_us)

    def _has_progress(self) -> bool:
        return self.reader.pending_characters - self.progress_start_characters >= MIN_PROGRESS_CHARACTERS

    def _start_progress(self) -> None:
        self.progress_started_us = self.owner.core.clock()
        self.progress_start_characters = self.reader.pending_characters

    def on_heartbeat(self) -> None:
        """Restart the timeout after a complete object or an empty line.

        Other bytes are not a heartbeat: a peer that sends single bytes without end must not keep the watch open.
        """
        if self.ended:
            return
        self.owner.endpoint_list.on_heartbeat()
        self.timeout.cancel()
        self.was_rechecked = False
        self._start_progress()
        self.timeout_us = HEARTBEAT_TIMEOUT_US
        self.timeout = self._start_timeout(self.timeout_us)

    def _start_timeout(self, delay_us: int) -> Timer:
        return self.owner.core.call_later(delay_us, partial(self._on_timeout, self.owner.core.clock() + delay_us))

    def _on_timeout(self, due_us: int) -> None:
        """Fail the call, because its connection may have been lost silently and updates would be missed."""
        if self.owner.core.clock() - due_us > self.timeout_us // 2 and not self.was_rechecked:
            # The timer ran late, so this process was delayed and may have unread data: check once more.
            self.was_rechecked = True
            self.timeout = self._start_timeout(RECHECK_DELAY_US)
        else:
            self.fail("no heartbeat from discovery within the timeout")

    def add_data(self, data: bytes) -> None:
        """Add bytes of the response body. Invalid data fails this call and changes nothing."""
        if self.ended:
            return
        try:
            self.reader.add(data)
        except ValueError as error:
            self._fail_invalid(error)

    def handle_next_object(self) -> bool:
        """Handle the next object of the response body. Return whether there was one."""
        if self.ended:
            return False
        try:
            document = self.reader.next_object()
            if document is not None:
                self._on_document(document)
        except ObjectTooLongError as error:
            core = self.owner.core
            core.counters.count_fault("list_objects_too_long", f"endpoint list: {error}", core.clock())
            self._fail_invalid(error)
            return False
        except ValueError as error:
            self._fail_invalid(error)
            return False
        if document is not None or self.reader.had_line_break:
            self.on_heartbeat()
        return document is not None

    def _fail_invalid(self, error: ValueError) -> None:
        self.fail(f"invalid endpoint list document: {error}")

    def _on_document(self, document: dict[str, Any]) -> None:
        self.owner.endpoint_list.apply(document)
        if not self.has_update:
            self.has_update = True
            self.owner.on_first_document()
            log.info(
                "endpoint list from %s:%d: revision %s, %s, %d members",
                *self.address,
                document.get("revision"),
                "complete" if document.get("complete") else "changes",
                len(document.get("members") or ()),
            )
        self.owner.core.lifecycle.on_fresh_endpoint_list()

    def fail(self, reason: str) -> None:
        """End this call and report the failure to its owner, once."""
        if not self.ended:
            self.close()
            self.owner.on_call_failed(reason)

    def close(self) -> None:
        """End this call without a report to its owner."""
        self.ended = True
        self.timeout.cancel()
        if self.line_protocol and self.line_protocol.transport:
            self.line_protocol.abort()
        elif self.connector is not None:
            self.connector.disconnect()
