"""The one helper that the new tests share: a relay core on a hand-moved clock, with ports that only record."""

from __future__ import annotations

from balancer.actions import Action, StartAttempt
from balancer.events import AttemptEnded, Endpoint, EndpointListUpdate, Event, TimerFired
from balancer.settings import RequestClass, Settings
from gradefront.core.connect_request import ConnectRequest
from gradefront.core.connection import Attempt, Connection
from gradefront.core.ports import BackendConnection, ConnectionEnd
from gradefront.core.relay import RelayCore

CLASS = RequestClass(latency_objective_us=500_000, deadline_us=2_000_000, message_latency_objective_us=50_000)
SETTINGS = Settings(classes=(CLASS,), max_attempts=4, connect_timeout_us=150_000, polls_endpoint_list=True)


class Upstream:
    """A way to a backend that records its end."""

    def __init__(self) -> None:
        self.hung: list[ConnectionEnd] = []

    def close(self, how: ConnectionEnd) -> None:
        self.hung.append(how)


class Client:
    """A client's side that records all it is told, in order."""

    def __init__(self) -> None:
        self.told: list[str] = []
        self.pause_us = 0

    def establish(self, upstream: BackendConnection, response_line: object) -> None:
        self.told.append("seat")

    def reject(self, pause_us: int) -> None:
        self.pause_us = pause_us
        self.told.append("refuse")

    def fail(self) -> None:
        self.told.append("fail")

    def migrate(self) -> None:
        self.told.append("move")

    def close(self, how: ConnectionEnd) -> None:
        self.told.append("end")

    def has_disconnected(self) -> bool:
        return False


class Bench:
    """A relay core, its clock, its backend caller, and a decision module that does what the test says."""

    def __init__(self, settings: Settings = SETTINGS) -> None:
        self.now = 1_000_000
        self.events: list[Event] = []
        self.orders: list[Action] = []
        self.broken = False  # the module raises
        self.attempts: list[Attempt] = []
        self.upstreams: list[Upstream] = []
        self.connect_checks: list[str] = []
        self.core = RelayCore(self, settings, lambda: self.now, lambda: None, class_names=("visit-checkin",))
        self.core.health_checker = self
        self.core.on_endpoint_list(EndpointListUpdate((Endpoint("box-1"), Endpoint("box-2"))))

    def check(self, backend: str) -> None:
        """As the one who asks backends; the module here asks for nothing."""

    def check_connect(self, backend: str, timeout_us: int) -> None:
        self.connect_checks.append(backend)

    def handle(self, now_us: int, event: Event) -> list[Action]:
        self.events.append(event)
        if self.broken:
            raise IndexError("the module broke")
        orders, self.orders = self.orders, []
        return orders

    def count_unavailable(self, now_us: int) -> int:
        return 0

    def connect(self, attempt: Attempt, request_line: object) -> Upstream:
        self.attempts.append(attempt)
        self.upstreams.append(Upstream())
        return self.upstreams[-1]

    def order(self, *orders: Action) -> None:
        """Have the module say this now."""
        self.core.run_turn()
        self.orders += orders
        self.core.enqueue(TimerFired(0))
        self.core.run_turn()

    def wait(self, us: int) -> None:
        """Let time pass, with a turn whenever the wheel is due."""
        end = self.now + us
        while self.now < end:
            self.now = min(end, max(self.now + 1, self.core.timers.next_due() or end))
            self.core.run_turn()

    def arrive(self, timeout_us: int = 2_000_000) -> tuple[Connection, Client]:
        """A client comes."""
        client = Client()
        connection = self.core.accept(ConnectRequest(timeout_us, "parcel"), client, self)
        self.core.run_turn()
        return connection, client

    def standing(self, backend: str = "box-1") -> tuple[Connection, Client, Attempt]:
        """A client whose connection stands."""
        connection, client = self.arrive()
        self.order(StartAttempt(connection.number, backend, 1_000_000))
        self.attempts[-1].succeed("receipt")
        self.core.run_turn()
        return connection, client, self.attempts[-1]

    def outcomes(self, connection: Connection) -> list[AttemptEnded]:
        """The ends of attempts that the module was told."""
        return [e for e in self.events if isinstance(e, AttemptEnded) and e.request_id == connection.number]
