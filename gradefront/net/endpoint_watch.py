"""The watch on the endpoint list, over HTTP."""

from __future__ import annotations

import logging
from functools import partial
from typing import Any

from twisted.internet.protocol import ClientFactory

from gradefront.core.relay import RelayCore
from gradefront.core.timer_wheel import Timer

from .base import Lines
from .endpoint_list import EndpointList
from .objects import Objects
from .reactor import Reactor

log = logging.getLogger("gradefront.watch")

ANSWER_US = 3_500_000  # discovery fails a call that waited 3 s by itself
SILENCE_US = 3_000_000  # an empty line comes every 2 s; told news stands after 6 s, so ask again well before
LOOK_AGAIN_US = 20_000  # for a loop that was held up to read what lies there
LEAST_GRACE_US = 150_000  # of the told time after a drain, where it is shorter or not told


class EndpointWatchProtocol(Lines):
    """One watch: an HTTP answer in chunks, with one JSON object a line."""

    def __init__(self, call: EndpointWatchCall) -> None:
        self.call = call
        self.state = "status"
        self.chunked = False
        self.missing = 0  # bytes of the present chunk still to come

    def connectionMade(self) -> None:
        """Ask for the changes since the revision known."""
        endpoint_list, (host, port) = self.call.watch.endpoint_list, self.call.where
        transport = self.wire
        transport.setTcpNoDelay(True)
        transport.write(
            f"GET /discovery/hosts?stream=1&index={endpoint_list.revision} HTTP/1.1\r\n"
            f"Host: {host}:{port}\r\nAccept: application/json\r\n\r\n".encode()
        )

    def lineReceived(self, line: bytes) -> None:
        """Status, headers, and the lines round chunks."""
        try:
            self._line(line)
        except (ValueError, IndexError) as error:
            self.call.over(f"not the answer of a box list: {error!r}")

    def _line(self, line: bytes) -> None:
        if self.state == "status":
            status = line.split(b" ")[1]
            if status != b"200":
                self.call.over(f"status {status.decode('ascii', 'replace')}")
            self.state = "headers"
        elif self.state == "headers":
            name, _, value = line.partition(b":")
            if name.strip().lower() == b"transfer-encoding" and b"chunked" in value.lower():
                self.chunked = True
            if not line:
                self.state = "size" if self.chunked else "raw"
                if not self.chunked:
                    self.read_bytes()
        elif self.state == "size":
            self.missing = int(line.partition(b";")[0], 16)
            if self.missing == 0:
                self.call.over("discovery ended the watch")
            else:
                self.state = "chunk"
                self.read_bytes()
        elif self.state == "chunk end":
            self.state = "size"

    def rawDataReceived(self, data: bytes) -> None:
        """Bytes of a chunk, or of an answer that has none."""
        if self.state == "raw":
            self.call.take(data)
            return
        part, rest = data[: self.missing], data[self.missing :]
        self.missing -= len(part)
        self.call.take(part)
        if self.missing == 0:
            self.state = "chunk end"
            self.read_lines(rest)

    def lineLengthExceeded(self, line: bytes) -> None:
        """An overlong line ends this watch."""
        self.call.over("an overlong line")

    def connectionLost(self, reason: Any = None) -> None:
        """Discovery ended the watch."""
        super().connectionLost(reason)
        self.call.over("the connection ended")


class EndpointWatchCall(ClientFactory):
    """One call for a watch. It ends once, with one word to the core unless a newer call took its place."""

    noisy = False

    def __init__(self, watch: EndpointWatch) -> None:
        self.watch = watch
        self.where = watch.where
        self.news = False
        self.objects = Objects()
        self.looked = False  # once more after the time was over
        self.line: EndpointWatchProtocol | None = None
        self.ended = False
        self.connector: Any = None
        self.timeout_us = watch.retry_us if watch.pushed else ANSWER_US
        self.silence: Timer = self._wait(self.timeout_us)

    def buildProtocol(self, addr: object) -> EndpointWatchProtocol:
        """The connection stands."""
        self.line = EndpointWatchProtocol(self)
        return self.line

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        """Refused."""
        self.over("discovery refused the connection")

    def alive(self) -> None:
        """A whole object or an empty line came. Bytes that are neither are no sign of life, or a watch that drips
        would stand for ever."""
        if self.ended:
            return
        self.watch.endpoint_list.on_heartbeat()
        self.silence.cancel()
        self.looked = False
        self.timeout_us = SILENCE_US
        self.silence = self._wait(self.timeout_us)

    def _wait(self, timeout_us: int) -> Timer:
        return self.watch.core.after(timeout_us, partial(self._silent, self.watch.core.clock() + timeout_us))

    def _silent(self, due_us: int) -> None:
        """Guards against a watch cut off without a word: news told meanwhile would stand unheard."""
        if self.watch.core.clock() - due_us > self.timeout_us // 2 and not self.looked:
            # This relay was held up, and may not have read yet what came: one more look, and no more than that.
            self.looked = True
            self.silence = self._wait(LOOK_AGAIN_US)
        else:
            self.over("no sign of life")

    def take(self, data: bytes) -> None:
        """Bytes of the list. Guards the relay: what makes no sense ends this call only, and changes nothing."""
        if self.ended:
            return
        try:
            found, alive = self.objects.feed(data)
            for told in found:
                if not self.ended:
                    self._heard(told)
        except ValueError as error:
            self.over(f"not JSON, or no list: {error}")
            return
        if alive:
            self.alive()

    def _heard(self, told: dict[str, Any]) -> None:
        """One object."""
        self.watch.endpoint_list.apply(told)
        if not self.news:
            self.news = True
            self.watch.failures = 0
            log.info(
                "box list from %s:%d: revision %s, %s, %d lines",
                *self.where,
                told.get("revision"),
                "whole" if told.get("complete") else "changes",
                len(told.get("members") or ()),
            )
        self.watch.core.lifecycle.on_fresh_endpoint_list()

    def over(self, why: str) -> None:
        """End this call and tell the core."""
        if not self.ended:
            self.close()
            self.watch.lost(why)

    def close(self) -> None:
        """End this call without a word."""
        self.ended = True
        self.silence.cancel()
        if self.line and self.line.transport:
            self.line.abort()
        elif self.connector is not None:
            self.connector.disconnect()


class EndpointWatch:
    """The core's port to discovery. Where lists are asked for, the module says when to call, as every call costs a
    service that all relays share. Where they are pushed, an agent on this machine has them, answers at no cost, and
    what it has counts as told, watch or not: so this port itself keeps a watch open from the start on."""

    def __init__(
        self, reactor: Reactor, core: RelayCore, endpoint_list: EndpointList, where: tuple[str, int]
    ) -> None:
        self.reactor = reactor
        self.core = core
        self.endpoint_list = endpoint_list
        self.where = where
        self.call: EndpointWatchCall | None = None
        self.called_us = 0  # when the last call began
        self.failures = 0  # calls in a row that brought nothing

    @property
    def pushed(self) -> bool:
        """Whether the lists come from an agent unasked."""
        return not self.core.settings.polls_endpoint_list

    @property
    def retry_us(self) -> int:
        """Shortest time between the starts of two calls to the agent, and its time for an answer: a third of what
        settings allow after a drain is told."""
        return max(self.core.settings.drain_grace_us, LEAST_GRACE_US) // 3

    def lost(self, why: str) -> None:
        """A call failed, or the watch ended."""
        if not self.pushed:
            self.core.on_endpoint_list_lost(why)
            return
        self.core.counters.add("list_errors")
        if not self.failures:  # one line for an outage, not one for each call
            log.warning("the agent's watch is lost: %s; calling again", why)
        self.failures += 1
        # At once, but at a pace: an agent that refuses, or ends each call, is asked on until it is back.
        self.core.after(max(0, self.called_us + self.retry_us - self.core.clock()), self.watch)

    def watch(self) -> None:
        """Ask for a watch, unless one is on: a retry that was set for a watch that has since been replaced
        must not cost the new one its place in discovery's queue."""
        if self.call is None or self.call.ended:
            self._call()

    def read_pending(self) -> None:
        """Take what lies unread on the watch: a drain that was told a moment ago counts for what is sent now."""
        call = self.call
        if call and not call.ended and call.line and call.line.connected:
            call.line.catch_up()

    def go_to(self, where: tuple[str, int]) -> None:
        """Discovery is elsewhere now. The old watch ends here and now: nothing late from it counts, and its
        end is no news. The numbers of its revisions mean nothing at the new address, so all is asked for."""
        self.where = where
        self.endpoint_list.revision = 0
        self.close()
        self._call()

    def close(self) -> None:
        """The relay ends."""
        if self.call:
            self.call.close()

    def _call(self) -> None:
        self.called_us = self.core.clock()
        self.call = EndpointWatchCall(self)
        self.call.connector = self.reactor.connectTCP(*self.where, self.call, timeout=None)
