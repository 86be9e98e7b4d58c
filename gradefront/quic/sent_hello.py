"""What one attempt has sent of a client's ClientHello, and what a refusal or rejection proves about its execution.

A backend can execute a request only with its whole ClientHello. As long as no part was sent twice, the process that
lacks or rejects one part is the only one that can have had it. After a repetition the process that received the first
copy may have executed the request and died, and another may be refusing or rejecting the second.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterable
from dataclasses import dataclass

MAX_QUOTE_LENGTH = 64  # octets of a refused datagram that are compared; they include the connection ids
MAX_TRACKED_DATAGRAMS = 64
MAX_TRACKED_PARTS = 256  # with gaps between them


@dataclass(frozen=True, slots=True)
class ClientDatagram:
    """A pending client's datagram, and the parts of the ClientHello in it: offsets in the CRYPTO stream."""

    data: bytes
    hello_parts: tuple[range, ...] = ()


def hello_parts(frames: Iterable[tuple[int, bytes]]) -> tuple[range, ...]:
    """Return the offsets that CRYPTO frames, given as offset and data, cover: ranges with gaps between them."""
    return _merged(range(offset, offset + len(data)) for offset, data in frames if data)


class SentHello:
    """The datagrams that one attempt has sent to its backend, up to MAX_TRACKED_DATAGRAMS and MAX_TRACKED_PARTS.

    Beyond these limits nothing is proven, and each further part counts as a repetition.
    """

    def __init__(self) -> None:
        self.has_repetition = False  # a part was sent twice
        self._parts: tuple[range, ...] = ()  # ascending, with gaps between them
        self._quotes: dict[bytes, bool] = {}  # start of each datagram, and whether it contains a part

    def add(self, datagram: ClientDatagram) -> None:
        """Record a datagram that was sent."""
        if self._is_full:
            return
        if any(map(self._overlaps, datagram.hello_parts)):
            self.has_repetition = True
        self._parts = _merged((*self._parts, *datagram.hello_parts))
        quote = datagram.data[:MAX_QUOTE_LENGTH]
        # A long token can make two datagrams begin alike: then neither counts as containing a part.
        self._quotes[quote] = bool(datagram.hello_parts) and self._quotes.get(quote, True)

    def covers(self, datagram: ClientDatagram) -> bool:
        """Return whether a datagram has parts of the ClientHello, and all of them have been sent already."""
        return bool(datagram.hello_parts) and (self._is_full or all(map(self._is_sent, datagram.hello_parts)))

    @property
    def _is_full(self) -> bool:
        return len(self._quotes) >= MAX_TRACKED_DATAGRAMS or len(self._parts) >= MAX_TRACKED_PARTS

    def _is_sent(self, part: range) -> bool:
        index = bisect_right(self._parts, part.start, key=_start) - 1
        return index >= 0 and part.stop <= self._parts[index].stop

    def _overlaps(self, part: range) -> bool:
        index = bisect_left(self._parts, part.stop, key=_start) - 1
        return index >= 0 and part.start < self._parts[index].stop

    def may_include(self, quote: bytes) -> bool:
        """Return whether the datagram that begins with `quote` may be one of those sent."""
        return self._is_full or any(sent.startswith(quote) for sent in self._quotes)

    def refusal_proves_not_executed(self, quote: bytes) -> bool:
        """Return whether the refusal of the datagram that begins with `quote` (empty: unknown) proves that no backend
        has executed the request."""
        if self.has_repetition or self._is_full or not quote:
            return False
        return any(has_part and sent.startswith(quote) for sent, has_part in self._quotes.items())


def _start(part: range) -> int:
    return part.start


def _merged(parts: Iterable[range]) -> tuple[range, ...]:
    """Return the same offsets as ascending ranges with gaps between them."""
    merged: list[range] = []
    for part in sorted(parts, key=_start):
        if merged and part.start <= merged[-1].stop:
            merged[-1] = range(merged[-1].start, max(merged[-1].stop, part.stop))
        else:
            merged.append(part)
    return tuple(merged)
