"""All request classes that were ever configured, by number. A number keeps its rules while a connection uses it."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from balancer.settings import RequestClass

MAX_CLASSES = 128  # numbers; beyond it those that no connection uses are assigned anew


class TooManyClassesError(Exception):
    """More classes are in use than there are numbers."""


@dataclass(frozen=True)
class RequestClassTable:
    """An immutable value: `with_classes` makes a new table."""

    names: tuple[str, ...] = ()
    rules: tuple[RequestClass, ...] = ()
    active_numbers: tuple[int, ...] = ()  # the numbers in force

    def with_classes(
        self, names: tuple[str, ...], rules: tuple[RequestClass, ...], in_use: Collection[int]
    ) -> RequestClassTable:
        """The table after these classes were configured; `in_use` are the numbers that connections use.

        A class that is configured again with the same rules keeps its number. Raises TooManyClassesError.
        """
        table = list(zip(self.names, self.rules, strict=True))
        configured = list(zip(names, rules, strict=True))
        free = [n for n, entry in enumerate(table) if n not in in_use and entry not in configured]
        active_numbers = []
        for entry in configured:
            if entry in table:
                number = table.index(entry)
            elif len(table) < MAX_CLASSES:
                number = len(table)
                table.append(entry)
            elif free:
                number = free.pop(0)
                table[number] = entry
            else:
                raise TooManyClassesError(f"connections use classes under all of {MAX_CLASSES} numbers")
            active_numbers.append(number)
        return RequestClassTable(tuple(n for n, _ in table), tuple(r for _, r in table), tuple(active_numbers))

    def active_numbers_by_name(self) -> dict[str, int]:
        """The classes in force, by name."""
        return {self.names[n]: n for n in self.active_numbers}
