"""HTTP client protocol of a watch on the endpoint list: one request, and a response body that does not end."""

from __future__ import annotations

from enum import Enum
from typing import Any, Protocol

from .base import LineProtocol

OK_STATUS = b"200"
MAX_LAST_OBJECTS = 256  # handled at once when the response ends


class WatchResponseStage(Enum):
    """The part of the HTTP response that is expected next."""

    STATUS = "status"
    HEADERS = "headers"
    CHUNK_SIZE = "chunk size"
    CHUNK = "chunk"
    CHUNK_END = "chunk end"
    UNCHUNKED_BODY = "unchunked body"


class WatchCaller(Protocol):
    """Receives the response body and failures."""

    @property
    def address(self) -> tuple[str, int]:
        """Discovery's host and port."""

    @property
    def revision(self) -> int:
        """Revision of the current endpoint list."""

    def on_bytes_received(self) -> None:
        """Handle that a part of the response has arrived."""

    def add_data(self, data: bytes) -> None:
        """Add bytes of the response body."""

    def handle_next_object(self) -> bool:
        """Handle the next object of the response body. Return whether there was one."""

    def fail(self, reason: str) -> None:
        """End the call. Further calls of this method have no effect."""


class EndpointWatchProtocol(LineProtocol):
    """One watch: a chunked HTTP response whose JSON objects may span chunks."""

    def __init__(self, call: WatchCaller) -> None:
        self.call = call
        self.stage = WatchResponseStage.STATUS
        self.is_chunked = False
        self.chunk_remaining = 0  # bytes of the current chunk that are not received yet
        self.body: list[bytes] = []  # taken from the received bytes, and not passed on yet

    def connectionMade(self) -> None:
        """Request the changes since the current revision."""
        host, port = self.call.address
        transport = self.tcp
        transport.setTcpNoDelay(True)
        transport.write(
            f"GET /discovery/hosts?stream=1&index={self.call.revision} HTTP/1.1\r\n"
            f"Host: {host}:{port}\r\nAccept: application/json\r\n\r\n".encode()
        )

    def dataReceived(self, data: bytes) -> None:
        """Handle received bytes."""
        self.call.on_bytes_received()
        super().dataReceived(data)

    def handle_next(self) -> bool:
        """Handle the next object, else take the next line or part of the body."""
        return self.call.handle_next_object() or self._take_next() or self._search_body()

    def _take_next(self) -> bool:
        if self.stage is WatchResponseStage.UNCHUNKED_BODY:
            return self._take_body(len(self.received))
        if self.stage is WatchResponseStage.CHUNK:
            return self._take_body(self.chunk_remaining)
        return super().handle_next()

    def _search_body(self) -> bool:
        """Look for an object in what was taken of the body, in one piece, as each search costs."""
        self._pass_body_on()
        return self.call.handle_next_object()

    def lineReceived(self, line: bytes) -> None:
        """Handle the status line, a header line, or a line before or after a chunk."""
        try:
            self._on_line(line)
        except (ValueError, IndexError) as error:
            self._fail(f"invalid HTTP response from discovery: {error!r}")

    def _on_line(self, line: bytes) -> None:
        if self.stage is WatchResponseStage.STATUS:
            self._on_status(line)
        elif self.stage is WatchResponseStage.HEADERS:
            self._on_header(line)
        elif self.stage is WatchResponseStage.CHUNK_SIZE:
            self._on_chunk_size(line)
        elif self.stage is WatchResponseStage.CHUNK_END:
            self.stage = WatchResponseStage.CHUNK_SIZE

    def _on_status(self, line: bytes) -> None:
        status = line.split(b" ")[1]
        if status != OK_STATUS:
            self._fail(f"HTTP status {status.decode('ascii', 'replace')}, expected 200")
        self.stage = WatchResponseStage.HEADERS

    def _on_header(self, line: bytes) -> None:
        name, _, value = line.partition(b":")
        if name.strip().lower() == b"transfer-encoding" and b"chunked" in value.lower():
            self.is_chunked = True
        if line:
            return
        if self.is_chunked:
            self.stage = WatchResponseStage.CHUNK_SIZE
        else:
            self.stage = WatchResponseStage.UNCHUNKED_BODY

    def _on_chunk_size(self, line: bytes) -> None:
        self.chunk_remaining = int(line.partition(b";")[0], 16)
        if self.chunk_remaining < 0:
            raise ValueError("the size of a chunk is negative")
        if self.chunk_remaining == 0:
            self._fail("discovery ended the response")
        else:
            self.stage = WatchResponseStage.CHUNK

    def _take_body(self, size: int) -> bool:
        """Take up to `size` bytes of the body. Return False if none has been received."""
        part = self.received.take(size)
        self.body.append(part)
        if self.stage is WatchResponseStage.CHUNK:
            self.chunk_remaining -= len(part)
            if self.chunk_remaining == 0:
                self.stage = WatchResponseStage.CHUNK_END
        return bool(part)

    def on_turn_ended(self) -> None:
        """Pass on what was taken of the body."""
        self._pass_body_on()

    def _pass_body_on(self) -> None:
        body, self.body = b"".join(self.body), []
        if body:
            self.call.add_data(body)

    def _fail(self, reason: str) -> None:
        """Fail the call, after the objects that came before."""
        self._pass_body_on()
        for _ in range(MAX_LAST_OBJECTS):
            if not self.call.handle_next_object():
                break
        self.call.fail(reason)

    def line_too_long(self) -> None:
        """Fail the call, because a line exceeds the length limit."""
        self._fail("line in the HTTP response exceeds the length limit")

    def connectionLost(self, reason: Any = None) -> None:
        """Fail the call, because the connection has ended."""
        super().connectionLost(reason)
        self.call.fail("connection to discovery closed")
