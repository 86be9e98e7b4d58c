"""The ports at which fronts, upstream connections to push boxes and the box list plug into the core."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from milletdeal.interface import Action, Event


class Ending(Enum):
    """How one side of a visit ended, so that the other can be ended in the same way."""

    ORDERLY = "orderly"
    BROKEN = "broken"


@dataclass(slots=True, frozen=True)
class Call:
    """What a client asks for. `parcel` is the front's own; the core hands it on unread."""

    patience_us: int
    parcel: object
    klass: int = 0
    tenant: int = 0
    key: str = ""
    group: str = ""
    load_hint: float = 0.0
    came_back: bool = False
    is_retry: bool = False
    connection_id: str = ""  # for the log: the front's name for the client's connection


class UpstreamConnection(Protocol):
    """One attempt's way to its push box."""

    def hang_up(self, how: Ending) -> None:
        """End it; nothing that comes later counts."""


class ClientSide(Protocol):
    """One visit's way to its client. Each visit gets exactly one of `seat`, `refuse` and `fail`."""

    def seat(self, upstream: UpstreamConnection, receipt: object) -> None:
        """The push box took the visit: pass its receipt on, then everything, both ways."""

    def refuse(self, pause_us: int) -> None:
        """Final answer: come again after the pause (0: no advice)."""

    def fail(self) -> None:
        """Final answer that promises nothing."""

    def move(self) -> None:
        """Tell the client to come again through the front, then end."""

    def end(self, how: Ending) -> None:
        """The push box ended a visit that stood."""

    def has_left(self) -> bool:
        """Whether the client has ended its side by now, be it heard of or not: a look at the wire, not a wait."""


class Prober(Protocol):
    """Probes a push box for its load; the core's `told_load` gets the answer. Checks that one that says nothing still
    takes connections."""

    def ask(self, box: str) -> None:
        """Ask once."""

    def check_connect(self, box: str, patience_us: int) -> None:
        """Open a new connection and close it; the core's `on_connect_checked` hears whether it came up in time."""


class ListWatcher(Protocol):
    """Watches the box list; the core's `listed` and `list_lost` get the news."""

    def watch(self) -> None:
        """Ask for the changes since the newest list known, from now on."""

    def catch_up(self) -> None:
        """Take the news that are here already, if not heard yet."""


class Decider(Protocol):
    """The decision module, as the core uses it."""

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Take one event and return what to do."""

    def avoided(self, now_us: int) -> int:
        """How many listed push boxes get nothing new now, or only for want of others."""
