"""The ClientHello, put together from CRYPTO frames that come in any order, and read for its server name and
protocols (RFC 8446 4.1.2, RFC 6066 3, RFC 7301 3.1). Bounded, no I/O; nothing raises on what a client sends."""

from __future__ import annotations

from typing import NamedTuple

MAX_HELLO_LENGTH = 16_384  # post-quantum key shares make 1.8 KB; no sane client comes near this
MAX_FRAGMENTS = 64  # out of order at once
CLIENT_HELLO = 1
HANDSHAKE_HEADER = 4  # octets: the message's type and its length
SERVER_NAME, ALPN = 0, 16
MAX_PROTOCOLS = 16


class Hello(NamedTuple):
    """What a ClientHello asks for."""

    server_name: str
    protocols: tuple[str, ...]


class InvalidHelloError(Exception):
    """What came is no ClientHello, or not within bounds."""


class HelloReader:
    """Takes CRYPTO frames; tells the hello once it is whole."""

    def __init__(self) -> None:
        self.text = bytearray()  # what has come without a gap
        self.pending: dict[int, bytes] = {}
        self.held = 0

    def take(self, offset: int, fragment: bytes) -> None:
        """Add one frame; a known piece changes nothing. Raises InvalidHelloError where a bound is broken."""
        end = offset + len(fragment)
        if end > MAX_HELLO_LENGTH:
            raise InvalidHelloError("a ClientHello of more than 16 KiB")
        if end <= len(self.text) or not fragment:
            return
        if offset > len(self.text):
            present = self.pending.get(offset, b"")
            if len(fragment) > len(present):
                self.held += len(fragment) - len(present)
                self.pending[offset] = fragment
            if len(self.pending) > MAX_FRAGMENTS or self.held > 2 * MAX_HELLO_LENGTH:
                raise InvalidHelloError("a ClientHello in too many pieces")
            return
        self.text += fragment[len(self.text) - offset :]
        for pos in sorted(self.pending):
            if pos > len(self.text):
                break
            fragment_ahead = self.pending.pop(pos)
            self.held -= len(fragment_ahead)
            self.text += fragment_ahead[len(self.text) - pos :]

    def hello(self) -> Hello | None:
        """The hello; None while a part is missing. Raises InvalidHelloError."""
        text = self.text
        if text and text[0] != CLIENT_HELLO:
            raise InvalidHelloError("the handshake begins with another message")
        if len(text) < HANDSHAKE_HEADER:
            return None
        length = int.from_bytes(text[1:4])
        if length > MAX_HELLO_LENGTH - HANDSHAKE_HEADER:
            raise InvalidHelloError("a ClientHello of more than 16 KiB")
        if len(text) < HANDSHAKE_HEADER + length:
            return None
        return read_hello(bytes(text[HANDSHAKE_HEADER : HANDSHAKE_HEADER + length]))


class _VectorReader:
    """Vectors of TLS: a length, then so many octets."""

    def __init__(self, text: bytes) -> None:
        self.text = text
        self.pos = 0

    def take(self, size: int) -> bytes:
        """So many octets. Raises InvalidHelloError where they run out."""
        end = self.pos + size
        if end > len(self.text):
            raise InvalidHelloError("a ClientHello that ends early")
        fragment, self.pos = self.text[self.pos : end], end
        return fragment

    def vector(self, size: int) -> bytes:
        """Octets after their length, which is told in `size` octets."""
        return self.take(int.from_bytes(self.take(size)))

    @property
    def has_more(self) -> bool:
        """Whether anything is left."""
        return self.pos < len(self.text)


def read_hello(body: bytes) -> Hello:
    """Read a whole ClientHello's body. Raises InvalidHelloError."""
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
