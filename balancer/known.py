"""What is made of what is known of a backend: its load, its room, whether it may be used."""

from __future__ import annotations

from .actions import CheckHealth
from .connections import PendingRequest
from .endpoints import Backend
from .events import BackendState
from .settings import Idempotency, KeyScope
from .slow_start import SlowStart


class Known(SlowStart):
    """How backends are judged."""

    def _probe(self, backend: Backend) -> None:
        if self.context.settings.may_check_health and not backend.health_check_pending:
            backend.health_check_pending = True
            self.context.emit(CheckHealth(backend.entry.backend))

    def _usable(self, backend: Backend, pending: PendingRequest) -> bool:
        entry, scope = backend.entry, pending.request_class.key_scope
        if entry.state is not BackendState.READY or entry.backend in pending.attempted:
            return False
        if (
            not pending.possibly_executed
            or pending.request_class.idempotency is Idempotency.IDEMPOTENT
            or scope is KeyScope.ALL
        ):
            return True
        first = pending.possibly_executed[0][0]
        return entry.zone == first.zone if scope is KeyScope.ZONE else entry.cell == first.cell
