"""Which backends owe replies and have said nothing since: the first sign of a machine that vanished."""

from __future__ import annotations

from balancer.settings import RequestClass

LOOK_US = 100_000  # us: between two looks, while any backend owes a reply
AIMS = 2  # longest message aims after which a reply that is owed is worth nothing, and a sign
LEAST_US = 200_000  # us: and no sooner, so that a pause of a sound machine is none; also where no aim is told
AGAIN_US = 1_000_000  # us: between two connect checks at a backend that opens but goes on owing
OTHERS = 3  # backends checked for each that vanished: each that has vanished too leads on to others


class SilenceDetector:
    """By backend, since when a reply is owed with no word from it on any connection. At most one entry a backend."""

    def __init__(self, classes: tuple[RequestClass, ...]) -> None:
        self.timeout_us = max(LEAST_US, AIMS * max(c.message_latency_objective_us for c in classes))
        self.owed: dict[str, int] = {}
        self.on_connect_checked: dict[str, int] = {}  # when last

    def asked(self, backend: str, now: int) -> None:
        """A message went to the backend; the first one since its last word counts."""
        self.owed.setdefault(backend, now)

    def heard(self, backend: str) -> None:
        """A word came, on whatever connection, or the backend opened: the machine is there, and owes from the next
        message on. Guards against connect checks for ever at one whose client left with a message out."""
        self.owed.pop(backend, None)

    def due(self, now: int) -> list[str]:
        """Backends to check now: by a new connection, which a machine that vanished never takes."""
        due = [
            backend
            for backend, since in self.owed.items()
            if now - since >= self.timeout_us and now - self.on_connect_checked.get(backend, -AGAIN_US) >= AGAIN_US
        ]
        self.on_connect_checked |= dict.fromkeys(due, now)
        return due

    def others(self, backends: list[str], now: int) -> list[str]:
        """A few more backends to check, near one that vanished: they are taken to owe a word from now on."""
        few = [backend for backend in backends if now - self.on_connect_checked.get(backend, -AGAIN_US) >= AGAIN_US][
            :OTHERS
        ]
        for backend in few:
            self.owed.setdefault(backend, now)
            self.on_connect_checked[backend] = now
        return few

    def vanished(self, backend: str) -> bool:
        """Nobody opened. Whether the backend still owes: a word that came meanwhile says that it is there."""
        return self.owed.pop(backend, None) is not None

    def forget(self, backend: str) -> None:
        """The backend is gone from the list."""
        self.owed.pop(backend, None)
        self.on_connect_checked.pop(backend, None)
