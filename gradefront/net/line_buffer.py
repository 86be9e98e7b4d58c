"""Received bytes, taken apart into lines. No I/O."""

from __future__ import annotations


class LineTooLongError(Exception):
    """A line, complete or not, that exceeds the length limit."""


class LineBuffer:
    """Bytes of a stream that are received but not handled yet.

    A line costs what its own bytes cost, however many lines follow it in the buffer.
    `delimiter` ends each line; `max_length` is the maximum length of a line in bytes, without the delimiter.
    """

    __slots__ = ("_data", "_delimiter", "_max_length", "_searched", "_start")

    def __init__(self, delimiter: bytes, max_length: int) -> None:
        self._delimiter = delimiter
        self._max_length = max_length
        self._data = bytearray()
        self._start = 0  # of the bytes that are not taken yet
        self._searched = 0  # no delimiter begins before this position

    def __len__(self) -> int:
        """Return the number of bytes in the buffer."""
        return len(self._data) - self._start

    def append(self, data: bytes) -> None:
        """Add received bytes."""
        if self._start:
            del self._data[: self._start]
            self._searched -= self._start
            self._start = 0
        self._data += data

    def take_line(self) -> bytes | None:
        """Remove and return the first line, without its delimiter, or None if no line is complete.

        Raises LineTooLongError, and removes nothing.
        """
        end = self._data.find(self._delimiter, max(self._searched, self._start))
        length = (end if end >= 0 else len(self._data) - len(self._delimiter) + 1) - self._start
        if length > self._max_length:
            raise LineTooLongError
        if end < 0:
            self._searched = max(self._start, len(self._data) - len(self._delimiter) + 1)
            return None
        line = bytes(self._data[self._start : end])
        self._start = self._searched = end + len(self._delimiter)
        return line

    def take(self, max_bytes: int) -> bytes:
        """Remove and return at most `max_bytes`, whether or not they are lines."""
        end = min(self._start + max_bytes, len(self._data))
        data = bytes(self._data[self._start : end])
        self._start = self._searched = end
        return data

    def take_all(self) -> bytes:
        """Remove and return all bytes."""
        data = bytes(self._data[self._start :])
        self.clear()
        return data

    def clear(self) -> None:
        """Remove all bytes."""
        self._data = bytearray()
        self._start = self._searched = 0
