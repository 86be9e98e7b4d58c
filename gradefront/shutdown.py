"""The planned end of a relay, from SIGTERM to the stop of the reactor."""

from __future__ import annotations

import logging
from functools import partial
from typing import TYPE_CHECKING, Any

from .core.lifecycle_state import LifecycleEvent, LifecycleState
from .listening import ClientListener
from .net.client_protocol import ClientProtocolFactory
from .net.endpoint_watch import EndpointWatch
from .net.reactor import Reactor
from .state.handover_sender import HandoverSender
from .state.handover_sockets import connect_to_newest
from .stop_timeline import StopTimeline

if TYPE_CHECKING:
    from .net.fleet_port import FleetPort

log = logging.getLogger("gradefront")

EMPTY_CHECK_US = 100_000  # between checks whether a replaced process still has connections
CLOSED_CHECK_US = 8_000  # between checks whether peers have closed or read their answers
# After the last answers:
HANDSHAKES_END_US = 50_000  # no further client begins to connect
PRE_REQUEST_END_US = 100_000  # clients without a request are rejected, and the listener is closed
HANDSHAKE_US = 50_000  # at least, between these two: a round trip for handshakes under way
STOP_US = 250_000  # the process ends, whoever has not closed by then; 0.2 s before SIGKILL
FORCED_STOP_US = 350_000  # ... even where a client has not read its answer yet; 0.1 s before SIGKILL


class Shutdown:
    """Ends a relay: hands connections over to a process that replaces it, and closes the others in order."""

    def __init__(  # noqa: PLR0913 - it ends all parts of the process
        self,
        client_factory: ClientProtocolFactory,
        listener: ClientListener,
        endpoint_watch: EndpointWatch,
        fleet: FleetPort | None,
        admin_port: Any,
        reactor: Reactor,
    ) -> None:
        self.core = client_factory.core
        self.client_factory = client_factory
        self.listener = listener
        self.endpoint_watch = endpoint_watch
        self.fleet = fleet
        self.admin_port = admin_port
        self.reactor = reactor
        self.timeline = StopTimeline(self.core.clock)
        self.pre_request_ended = False

    def begin(self, waited_us: int = 0) -> None:
        """A planned restart, by a signal that came `waited_us` ago. A second signal changes nothing."""
        if self.core.lifecycle.state in (LifecycleState.LEAVING, LifecycleState.STOPPING, LifecycleState.STOPPED):
            return
        self.timeline.begin(self.core.clock() - waited_us)
        if not self.listener.is_replaced():
            # This process goes on reading the listener, and holds its connections, to the last.
            self.core.lifecycle.leave(self._close_connections, waited_us=waited_us)
            return
        self.listener.stop()  # what waits in the listener's queue belongs to the new process
        receiver = self.listener.handover_receiver
        call = connect_to_newest(receiver.path) if receiver else None
        self.listener.close_handover()
        if call:
            log.info("connections go to the process that takes over")
            HandoverSender(self.core, self.client_factory, call).step()
        self.core.lifecycle.leave(self._close_connections, at_once=call is None, waited_us=waited_us)
        self._stop_when_empty()

    def _stop_when_empty(self) -> None:
        """End early: no client connects here any more, and the new process needs time, memory and descriptors."""
        if self.client_factory.open_connections or self.core.connections:
            self.core.call_later(EMPTY_CHECK_US, self._stop_when_empty)
        else:
            self.core.lifecycle.stop(self._close_connections)

    def _close_connections(self) -> None:
        """All requests are answered. Close in order: a client without a request may send one in this very moment."""
        due_us = self.core.lifecycle.stop_due_us
        self.timeline.record("last answers", due_us)
        self.listener.close_handover()
        if self.fleet:
            self.fleet.leave()
        # From when this was due, not from when it ran: SIGKILL does not wait for a late loop.
        began_us = min(due_us, self.core.clock())
        self.core.call_at(began_us + HANDSHAKES_END_US, partial(self._end_handshakes, began_us + PRE_REQUEST_END_US))
        self.core.call_at(began_us + STOP_US, self._stop_when_sent)
        self.core.call_at(began_us + FORCED_STOP_US, self._stop)
        self._stop_when_closed()

    def _end_handshakes(self, pre_request_end_us: int) -> None:
        """Let no further client connect. Late, it moves the end of the listener: handshakes under way need a time."""
        self.timeline.record("no new handshakes")
        self.listener.drop_new_handshakes()
        self.core.call_at(max(pre_request_end_us, self.core.clock() + HANDSHAKE_US), self._end_pre_request)

    def _end_pre_request(self) -> None:
        """Reject clients without a request, also those that still wait to be accepted. Once, whoever comes first."""
        if self.pre_request_ended:
            return
        self.pre_request_ended = True
        self.timeline.record("clients without a request rejected")
        self.listener.accept_pending_and_close()
        self.client_factory.reject_pre_request()

    def _stop_when_closed(self) -> None:
        """Wait for the peers to close, so that no close resets what they have not read yet."""
        port = self.listener.port
        if self.client_factory.open_connections or self.client_factory.upstreams or (port and port.connected):
            self.core.call_later(CLOSED_CHECK_US, self._stop_when_closed)
        else:
            self._stop()

    def _stop_when_sent(self) -> None:
        """Wait no longer for peers to close, only for those that have not read their answer."""
        if self.client_factory.closing.unsent_count:
            self.core.call_later(CLOSED_CHECK_US, self._stop_when_sent)
        else:
            self._stop()

    def _stop(self) -> None:
        if self.core.lifecycle.transition(LifecycleEvent.STOPPED):
            self._end_pre_request()
            port = self.listener.port
            self.timeline.record(
                f"stopped with {self.client_factory.open_connections} clients,"
                f" {len(self.client_factory.upstreams)} connections to backends,"
                f" listener {'open' if port and port.connected else 'closed'}"
            )
            self.client_factory.closing.close_all()
            self.client_factory.upstreams.close_all()
            self.endpoint_watch.close()
            self._end_admin_interface()
            self.reactor.stop()

    def _end_admin_interface(self) -> None:
        """Answer the calls that have come. Prevents a close from resetting callers that wait to be accepted."""
        if self.admin_port:
            self.admin_port.accept_pending_and_close()
            self.admin_port.factory.end()
