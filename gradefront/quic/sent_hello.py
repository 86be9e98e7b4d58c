"""What one attempt has sent of a client's ClientHello, and what a refusal or rejection proves about its execution.

A backend can execute a request only with its whole ClientHello. As long as no part was sent twice, the process that
lacks or rejects one part is the only one that can have had it. After a repetition the process that received the first
copy may have executed the request and died, and another may be refusing or rejecting the second.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

MAX_QUOTE_LENGTH = 64  # octets of a refused datagram that are compared; they include the connection ids
MAX_TRACKED_DATAGRAMS = 64


@dataclass(frozen=True, slots=True)
class ClientDatagram:
    """A pending client's datagram, and the parts of the ClientHello in it: offsets in the CRYPTO stream."""

    data: bytes
    hello_parts: tuple[range, ...] = ()


def hello_parts(frames: Iterable[tuple[int, bytes]]) -> tuple[range, ...]:
    """Return the offsets that CRYPTO frames, given as offset and data, cover."""
    return tuple(range(offset, offset + len(data)) for offset, data in frames if data)


class SentHello:
    """The datagrams that one attempt has sent to its backend."""

    def __init__(self) -> None:
        self.has_repetition = False  # a part was sent twice, or there were too many datagrams to track
        self._parts: list[range] = []
        self._quotes: dict[bytes, bool] = {}  # start of each datagram, and whether it contains a part

    def add(self, datagram: ClientDatagram) -> None:
        """Record a datagram that was sent."""
        if len(self._quotes) >= MAX_TRACKED_DATAGRAMS:
            self.has_repetition = True
        if self.has_repetition:
            return
        if any(_overlap(part, sent) for part in datagram.hello_parts for sent in self._parts):
            self.has_repetition = True
        self._parts.extend(datagram.hello_parts)
        quote = datagram.data[:MAX_QUOTE_LENGTH]
        # A long token can make two datagrams begin alike: then neither counts as containing a part.
        self._quotes[quote] = bool(datagram.hello_parts) and self._quotes.get(quote, True)

    def covers(self, datagram: ClientDatagram) -> bool:
        """Return whether all parts of the ClientHello in a datagram, at least one, have been sent already."""
        return bool(datagram.hello_parts) and all(
            any(sent.start <= part.start and part.stop <= sent.stop for sent in self._parts)
            for part in datagram.hello_parts
        )

    def may_include(self, quote: bytes) -> bool:
        """Return whether the datagram that begins with `quote` may be one of those sent."""
        return self.has_repetition or any(sent.startswith(quote) for sent in self._quotes)

    def refusal_proves_not_executed(self, quote: bytes) -> bool:
        """Return whether the refusal of the datagram that begins with `quote` (empty: unknown) proves that no backend
        has executed the request."""
        if self.has_repetition or not quote:
            return False
        return any(has_part and sent.startswith(quote) for sent, has_part in self._quotes.items())


def _overlap(a: range, b: range) -> bool:
    return a.start < b.stop and b.start < a.stop
