"""What is made of what is known of a backend: its load, its room, whether it may be used."""

from __future__ import annotations

from .actions import CheckHealth
from .connections import PendingRequest
from .endpoints import Backend
from .events import BackendState
from .node import Node
from .retry_policy import may_attempt_at


class Known(Node):
    """How backends are judged."""

    def _probe(self, backend: Backend) -> None:
        if self.context.settings.may_check_health and not backend.health_check_pending:
            backend.health_check_pending = True
            self.context.emit(CheckHealth(backend.entry.backend))

    def _usable(self, backend: Backend, pending: PendingRequest) -> bool:
        entry = backend.entry
        if entry.state is not BackendState.READY or entry.backend in pending.attempted:
            return False
        return may_attempt_at(entry, pending)
