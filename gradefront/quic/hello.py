"""Reassembly of a ClientHello from CRYPTO frames in any order, and the parsing of its server name and ALPN protocols
(RFC 8446 4.1.2, RFC 6066 3, RFC 7301 3.1). Memory is bounded; no I/O. Bad input raises InvalidHelloError only."""

from __future__ import annotations

from typing import NamedTuple

MAX_HELLO_LENGTH = 16_384  # octets; far above real ones: about 1.8 KB with post-quantum key shares
MAX_FRAGMENTS = 64  # held out of order at a time
CLIENT_HELLO = 1
HANDSHAKE_HEADER = 4  # octets of the message's type and length
SERVER_NAME, ALPN = 0, 16
MAX_PROTOCOLS = 16


class Hello(NamedTuple):
    """The server name and ALPN protocols of a ClientHello."""

    server_name: str
    protocols: tuple[str, ...]


class InvalidHelloError(Exception):
    """The data is not a valid ClientHello or exceeds a bound."""


class HelloReader:
    """Reassembles a ClientHello from CRYPTO frames."""

    def __init__(self) -> None:
        self.text = bytearray()  # the contiguous data received so far
        self.pending: dict[int, bytes] = {}  # by offset: fragments that arrived before the data in front of them
        self.held = 0  # octets in `pending`

    def take(self, offset: int, fragment: bytes) -> None:
        """Add one frame; repeated data has no effect. Raises InvalidHelloError if a bound is exceeded."""
        end = offset + len(fragment)
        if end > MAX_HELLO_LENGTH:
            raise InvalidHelloError(f"ClientHello is too long: got {end} octets, limit {MAX_HELLO_LENGTH}")
        if end <= len(self.text) or not fragment:
            return
        if offset > len(self.text):
            present = self.pending.get(offset, b"")
            if len(fragment) > len(present):
                self.held += len(fragment) - len(present)
                self.pending[offset] = fragment
            if len(self.pending) > MAX_FRAGMENTS or self.held > 2 * MAX_HELLO_LENGTH:
                raise InvalidHelloError(f"ClientHello has too much data out of order: {len(self.pending)} fragments")
            return
        self.text += fragment[len(self.text) - offset :]
        for pos in sorted(self.pending):
            if pos > len(self.text):
                break
            fragment_ahead = self.pending.pop(pos)
            self.held -= len(fragment_ahead)
            self.text += fragment_ahead[len(self.text) - pos :]

    def hello(self) -> Hello | None:
        """Return the ClientHello, or None while a part is missing. Raises InvalidHelloError."""
        text = self.text
        if text and text[0] != CLIENT_HELLO:
            raise InvalidHelloError(f"handshake message type is {text[0]}, expected {CLIENT_HELLO} (ClientHello)")
        if len(text) < HANDSHAKE_HEADER:
            return None
        length = int.from_bytes(text[1:4])
        if length > MAX_HELLO_LENGTH - HANDSHAKE_HEADER:
            raise InvalidHelloError(
                f"ClientHello is too long: got {length} octets, limit {MAX_HELLO_LENGTH - HANDSHAKE_HEADER}"
            )
        if len(text) < HANDSHAKE_HEADER + length:
            return None
        return read_hello(bytes(text[HANDSHAKE_HEADER : HANDSHAKE_HEADER + length]))


class _VectorReader:
    """Reads TLS vectors: a length field, followed by that number of octets."""

    def __init__(self, text: bytes) -> None:
        self.text = text
        self.pos = 0

    def take(self, size: int) -> bytes:
        """Read `size` octets. Raises InvalidHelloError if fewer are left."""
        end = self.pos + size
        if end > len(self.text):
            raise InvalidHelloError(f"ClientHello is truncated: got {len(self.text)} octets, expected at least {end}")
        fragment, self.pos = self.text[self.pos : end], end
        return fragment

    def vector(self, size: int) -> bytes:
        """Read a vector whose length field has `size` octets."""
        return self.take(int.from_bytes(self.take(size)))

    @property
    def has_more(self) -> bool:
        """Whether octets are left to read."""
        return self.pos < len(self.text)


def read_hello(body: bytes) -> Hello:
    """Parse the body of a complete ClientHello. Raises InvalidHelloError."""
    reader = _VectorReader(body)
    reader.take(2 + 32)  # version, random
    reader.vector(1)  # session id
    reader.vector(2)  # cipher suites
    reader.vector(1)  # compression
    if not reader.has_more:
        return Hello("", ())
    extensions = _VectorReader(reader.vector(2))
    name, protocols = "", list[str]()
    while extensions.has_more:
        kind = int.from_bytes(extensions.take(2))
        content = _VectorReader(extensions.vector(2))
        if kind == SERVER_NAME and not name:
            names = _VectorReader(content.vector(2))
            while names.has_more:
                is_host_name = names.take(1) == b"\x00"
                host_name = names.vector(2)
                if is_host_name and not name:
                    name = host_name.decode("ascii", "replace").lower().rstrip(".")
        elif kind == ALPN and not protocols:
            protocol_list = _VectorReader(content.vector(2))
            while protocol_list.has_more and len(protocols) < MAX_PROTOCOLS:
                protocols.append(protocol_list.vector(1).decode("latin-1"))
    return Hello(name, tuple(protocols))
