"""The numbers of all request classes configured since the start.

A number keeps the same class settings as long as a connection uses it.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from balancer.settings import RequestClass

MAX_CLASSES = 128  # once all numbers are assigned, those that no connection uses are reused


class TooManyClassesError(Exception):
    """All numbers are in use by connections, and none is left for a new class."""


@dataclass(frozen=True)
class RequestClassTable:
    """An immutable table of request classes by number; `with_classes` returns a new table."""

    names: tuple[str, ...] = ()
    rules: tuple[RequestClass, ...] = ()
    active_numbers: tuple[int, ...] = ()  # the numbers of the classes in the current settings

    def with_classes(
        self, names: tuple[str, ...], rules: tuple[RequestClass, ...], in_use: Collection[int]
    ) -> RequestClassTable:
        """Return the table with these classes as the active ones; `in_use` are the numbers that connections use.

        A class that is in the table already, with the same name and rules, keeps its number. Raises
        TooManyClassesError.
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
                raise TooManyClassesError(
                    f"no number left for request class {entry[0]!r}: all {MAX_CLASSES} are configured or in use"
                )
            active_numbers.append(number)
        return RequestClassTable(tuple(n for n, _ in table), tuple(r for _, r in table), tuple(active_numbers))

    def active_numbers_by_name(self) -> dict[str, int]:
        """Return the numbers of the active classes by class name."""
        return {self.names[n]: n for n in self.active_numbers}
