"""The HTTP side of a watch on the endpoint list: a request, and a response body that doesn't end."""

from __future__ import annotations

from enum import Enum
from typing import Any, Protocol

from .base import LineProtocol

OK_STATUS = b"200"


class WatchResponseStage(Enum):
    """Which part of the HTTP response comes next."""

    STATUS = "status"
    HEADERS = "headers"
    CHUNK_SIZE = "chunk size"
    CHUNK = "chunk"
    CHUNK_END = "chunk end"
    UNCHUNKED_BODY = "unchunked body"


class WatchCaller(Protocol):
    """What gets the response."""

    @property
    def address(self) -> tuple[str, int]:
        """Discovery's host and port."""

    @property
    def revision(self) -> int:
        """The revision of the list in force."""

    def on_data(self, data: bytes) -> None:
        """Handle bytes of the body."""

    def fail(self, why: str) -> None:
        """End the call. It may be called more than once."""


class EndpointWatchProtocol(LineProtocol):
    """One watch: an HTTP response in chunks, with JSON objects across them."""

    def __init__(self, call: WatchCaller) -> None:
        self.call = call
        self.stage = WatchResponseStage.STATUS
        self.is_chunked = False
        self.chunk_remaining = 0  # bytes of the present chunk still to come

    def connectionMade(self) -> None:
        """Request the changes since the revision in force."""
        host, port = self.call.address
        transport = self.tcp
        transport.setTcpNoDelay(True)
        transport.write(
            f"GET /discovery/hosts?stream=1&index={self.call.revision} HTTP/1.1\r\n"
            f"Host: {host}:{port}\r\nAccept: application/json\r\n\r\n".encode()
        )

    def lineReceived(self, line: bytes) -> None:
        """Status, headers, and the lines round chunks."""
        try:
            self._on_line(line)
        except (ValueError, IndexError) as error:
            self.call.fail(f"no response with an endpoint list: {error!r}")

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
            self.call.fail(f"status {status.decode('ascii', 'replace')}")
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
            self.read_bytes()

    def _on_chunk_size(self, line: bytes) -> None:
        self.chunk_remaining = int(line.partition(b";")[0], 16)
        if self.chunk_remaining == 0:
            self.call.fail("discovery ended the watch")
        else:
            self.stage = WatchResponseStage.CHUNK
            self.read_bytes()

    def rawDataReceived(self, data: bytes) -> None:
        """Bytes of the body."""
        if self.stage is WatchResponseStage.UNCHUNKED_BODY:
            self.call.on_data(data)
            return
        part, rest = data[: self.chunk_remaining], data[self.chunk_remaining :]
        self.chunk_remaining -= len(part)
        self.call.on_data(part)
        if self.chunk_remaining == 0:
            self.stage = WatchResponseStage.CHUNK_END
            self.read_lines(rest)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: ARG002 - Twisted's signature
        """End this watch for an overlong line."""
        self.call.fail("an overlong line")

    def connectionLost(self, reason: Any = None) -> None:
        """Discovery or this relay ended the connection."""
        super().connectionLost(reason)
        self.call.fail("the connection ended")
