"""All request classes that were ever told, by number. A number keeps its rules while a connection may hold it."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from balancer.settings import RequestClass

MOST = 128  # numbers; beyond it those are used anew that no connection holds


class TooManyClasses(Exception):
    """More classes are in use than there are numbers."""


@dataclass(frozen=True)
class RequestClassTable:
    """An immutable value: taking new classes makes a new book."""

    names: tuple[str, ...] = ()
    rules: tuple[RequestClass, ...] = ()
    current: tuple[int, ...] = ()  # the numbers in force

    def extended(
        self, names: tuple[str, ...], rules: tuple[RequestClass, ...], held: Collection[int]
    ) -> RequestClassTable:
        """The book after these classes were told; `held` are the numbers that connections hold. A class told again
        with the same rules has its number of before. Raises NoRoom."""
        book = list(zip(self.names, self.rules, strict=True))
        told = list(zip(names, rules, strict=True))
        free = [n for n, entry in enumerate(book) if n not in held and entry not in told]
        current = []
        for entry in told:
            if entry in book:
                number = book.index(entry)
            elif len(book) < MOST:
                number = len(book)
                book.append(entry)
            elif free:
                number = free.pop(0)
                book[number] = entry
            else:
                raise TooManyClasses(f"visits hold classes under all of {MOST} numbers")
            current.append(number)
        return RequestClassTable(tuple(n for n, _ in book), tuple(r for _, r in book), tuple(current))

    def numbers(self) -> dict[str, int]:
        """The classes in force, by name."""
        return {self.names[n]: n for n in self.current}
