"""A relay core on a clock that the test moves, with ports that only record."""

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
    """A connection to a backend that records how it was closed."""

    def __init__(self) -> None:
        self.closed: list[ConnectionEnd] = []

    def close(self, ending: ConnectionEnd) -> None:
        self.closed.append(ending)


class Client:
    """A client's side that records all calls, in order."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.retry_after_us = 0

    def establish(self, upstream: BackendConnection, response_line: object) -> None:
        self.calls.append("establish")

    def reject(self, retry_after_us: int) -> None:
        self.retry_after_us = retry_after_us
        self.calls.append("reject")

    def fail(self) -> None:
        self.calls.append("fail")

    def migrate(self) -> None:
        self.calls.append("migrate")

    def close(self, ending: ConnectionEnd) -> None:
        self.calls.append("close")

    def has_disconnected(self) -> bool:
        return False


class Bench:
    """A relay core, its clock, its connector, and a decision module that returns the actions of the test."""

    def __init__(self, settings: Settings = SETTINGS) -> None:
        self.now = 1_000_000
        self.events: list[Event] = []
        self.actions: list[Action] = []
        self.handle_raises = False  # the module raises
        self.attempts: list[Attempt] = []
        self.upstreams: list[Upstream] = []
        self.connect_checks: list[str] = []
        self.core = RelayCore(self, settings, lambda: self.now, lambda: None, class_names=("visit-checkin",))
        self.core.health_checker = self
        self.core.on_endpoint_list(EndpointListUpdate((Endpoint("box-1"), Endpoint("box-2"))))

    def check(self, backend: str) -> None:
        """Part of the health checker; the module here asks for none."""

    def check_connect(self, backend: str, timeout_us: int) -> None:
        self.connect_checks.append(backend)

    def handle(self, now_us: int, event: Event) -> list[Action]:
        self.events.append(event)
        if self.handle_raises:
            raise IndexError("the module broke")
        actions, self.actions = self.actions, []
        return actions

    def count_unavailable(self, now_us: int) -> int:
        return 0

    def connect(self, attempt: Attempt, request_line: object) -> Upstream:
        self.attempts.append(attempt)
        self.upstreams.append(Upstream())
        return self.upstreams[-1]

    def run_actions(self, *actions: Action) -> None:
        """Have the module return these actions now."""
        self.core.run_once()
        self.actions += actions
        self.core.enqueue(TimerFired(0))
        self.core.run_once()

    def wait(self, us: int) -> None:
        """Let time pass, with a turn whenever the wheel is due."""
        end = self.now + us
        while self.now < end:
            self.now = min(end, max(self.now + 1, self.core.timers.next_due() or end))
            self.core.run_once()

    def accept_client(self, timeout_us: int = 2_000_000) -> tuple[Connection, Client]:
        """A client requests a connection."""
        client = Client()
        connection = self.core.accept(ConnectRequest(timeout_us, "request line"), client, self)
        self.core.run_once()
        return connection, client

    def establish(self, backend: str = "box-1") -> tuple[Connection, Client, Attempt]:
        """A client whose connection is established."""
        connection, client = self.accept_client()
        self.run_actions(StartAttempt(connection.number, backend, 1_000_000))
        self.attempts[-1].succeed("response line")
        self.core.run_once()
        return connection, client, self.attempts[-1]

    def attempt_ends(self, connection: Connection) -> list[AttemptEnded]:
        """The ends of attempts that were reported to the module."""
        return [e for e in self.events if isinstance(e, AttemptEnded) and e.request_id == connection.number]
