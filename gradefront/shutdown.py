"""Graceful shutdown of a relay, from SIGTERM to the stop of the reactor."""

from __future__ import annotations

import logging
import socket
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

from .core.containment import run_contained
from .core.lifecycle_state import LifecycleEvent, LifecycleState
from .listening import ClientListener
from .net.client_protocol import ClientProtocolFactory
from .net.endpoint_watch import EndpointWatch
from .net.reactor import Reactor
from .state.handover_sender import HandoverSender
from .state.handover_sockets import has_listener
from .stop_timeline import StopTimeline

if TYPE_CHECKING:
    from .net.fleet_port import FleetPort

log = logging.getLogger("gradefront")

EMPTY_CHECK_US = 100_000  # interval at which a replaced process checks whether it still has connections
SUCCESSOR_CHECK_US = 20_000  # for a successor, or its end; a process that ends closes its sockets one by one
CLOSED_CHECK_US = 8_000  # interval of the checks whether peers have closed, or all answers are sent
# Steps of the shutdown, by their time after the last answers:
DROP_HANDSHAKES_US = 50_000  # new TCP handshakes are dropped
REJECT_PRE_REQUEST_US = 100_000  # pre-request connections are rejected, and the listener is closed
MIN_HANDSHAKE_US = 50_000  # least time between these two steps: a round trip for handshakes in progress
STOP_US = 250_000  # the process stops if all answers are sent, even if peers have not closed; 0.2 s before SIGKILL
FORCED_STOP_US = 350_000  # the process stops, even if a client does not take its answer; 0.1 s before SIGKILL


class Shutdown:
    """Stops a relay: hands its connections over to its successor, and closes the others without resets."""

    def __init__(  # noqa: PLR0913 - it stops all parts of the process
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
        self.pre_request_rejected = False
        self.successor_lost = False  # the successor ended during the handover

    def begin(self, waited_us: int = 0) -> None:
        """Begin the shutdown, requested by a signal received `waited_us` ago. A repeated signal has no effect."""
        if self.core.lifecycle.state in (LifecycleState.LEAVING, LifecycleState.STOPPING, LifecycleState.STOPPED):
            return
        self.timeline.begin(self.core.clock() - waited_us)
        if not self.listener.is_replaced():
            # No successor: this process accepts clients, and keeps its connections, until there is one.
            self.core.lifecycle.leave(self._close_connections, waited_us=waited_us)
            self._hand_over_to_late_successor()
            return
        self.listener.stop()  # the successor accepts the clients in the listen queue
        handover_socket = self.listener.connect_to_successor()
        self.listener.close_handover()
        if handover_socket:
            self._hand_over(handover_socket)
        self.core.lifecycle.leave(self._close_connections, at_once=handover_socket is None, waited_us=waited_us)
        self._stop_when_empty()

    def _hand_over(self, handover_socket: socket.socket) -> None:
        if self.fleet:
            self._run_step(self.fleet.close)
        log.info("handing established connections over to the successor process")
        HandoverSender(self.core, self.client_factory, self.reactor, handover_socket, self._on_handover_failed).step()

    def _on_handover_failed(self) -> None:
        self.core.call_later(SUCCESSOR_CHECK_US, self._replace_lost_successor)

    def _replace_lost_successor(self) -> None:
        """Accept clients again, as if there had been no successor, if it has ended."""
        receiver = self.listener.handover_receiver
        if self.core.lifecycle.state is not LifecycleState.LEAVING or not receiver or has_listener(receiver.path):
            return
        log.warning("the successor process has ended; accepting clients until this process ends, too")
        self.successor_lost = True
        self.listener.accept_again()
        self._hand_over_to_late_successor()

    def _hand_over_to_late_successor(self) -> None:
        """Stop accepting clients, and hand over, once a process has started that replaces this one.

        Prevents requests from being served by the settings of this process, to which no reload is signalled any more.
        """
        if self.core.lifecycle.state is not LifecycleState.LEAVING:
            return
        handover_socket = self.listener.connect_to_successor()
        if handover_socket is None:
            self.core.call_later(SUCCESSOR_CHECK_US, self._hand_over_to_late_successor)
            return
        self.successor_lost = False
        self.listener.stop()
        self._hand_over(handover_socket)
        self._stop_when_empty()

    def _stop_when_empty(self) -> None:
        """Stop early once no connections are left.

        Clients no longer connect to this process, and its successor needs the CPU time, memory and descriptors.
        """
        if self.successor_lost:
            return
        if self.client_factory.open_connections or self.core.connections:
            self.core.call_later(EMPTY_CHECK_US, self._stop_when_empty)
        else:
            self.core.lifecycle.stop(self._close_connections)

    def _close_connections(self) -> None:
        """Close the remaining connections step by step, after all requests have been answered.

        The steps take time because a pre-request client may be sending its request at this moment.
        """
        due_us = self.core.lifecycle.stop_due_us
        self.timeline.record("last answers", due_us)
        # Counted from when this step was due, not from when it ran: a late event loop does not delay SIGKILL.
        began_us = min(due_us, self.core.clock())
        self.core.call_at(
            began_us + DROP_HANDSHAKES_US, partial(self._drop_new_handshakes, began_us + REJECT_PRE_REQUEST_US)
        )
        self.core.call_at(began_us + STOP_US, self._stop_when_sent)
        self.core.call_at(began_us + FORCED_STOP_US, self._stop)
        self._run_step(self.listener.close_handover)
        if self.fleet:
            self._run_step(self.fleet.leave)
        self._stop_when_closed()

    def _drop_new_handshakes(self, reject_pre_request_us: int) -> None:
        """Drop new TCP handshakes.

        If this step runs late, the listener closes later too, because handshakes in progress need time to complete.
        """
        self.timeline.record("no new handshakes")
        self.listener.drop_new_handshakes()
        self.core.call_at(max(reject_pre_request_us, self.core.clock() + MIN_HANDSHAKE_US), self._reject_pre_request)

    def _reject_pre_request(self) -> None:
        """Reject pre-request clients, including those in the listen queue. Only the first call has an effect."""
        if self.pre_request_rejected:
            return
        self.pre_request_rejected = True
        self.timeline.record("clients without a request rejected")
        self._run_step(self.listener.accept_pending_and_close)
        self._run_step(self.client_factory.reject_pre_request)

    def _stop_when_closed(self) -> None:
        """Stop once all peers have closed, so that no close resets data that they have not read yet."""
        port = self.listener.port
        if self.client_factory.open_connections or self.client_factory.closing_upstreams or (port and port.connected):
            self.core.call_later(CLOSED_CHECK_US, self._stop_when_closed)
        else:
            self._stop()

    def _stop_when_sent(self) -> None:
        """Stop once the kernel has accepted all answers to clients, without waiting for peers to close."""
        if self.client_factory.closing.unsent_count:
            self.core.call_later(CLOSED_CHECK_US, self._stop_when_sent)
        else:
            self._stop()

    def _stop(self) -> None:
        if self.core.lifecycle.transition(LifecycleEvent.STOPPED):
            self._reject_pre_request()
            port = self.listener.port
            self.timeline.record(
                f"stopped with {self.client_factory.open_connections} clients,"
                f" {len(self.client_factory.closing_upstreams)} connections to backends,"
                f" listener {'open' if port and port.connected else 'closed'}"
            )
            self._run_step(self.client_factory.closing.close_all)
            self._run_step(self.client_factory.closing_upstreams.close_all)
            self._run_step(self.endpoint_watch.close)
            self._run_step(self._close_admin_interface)
            self.reactor.stop()

    def _run_step(self, step: Callable[[], object]) -> None:
        """Run a step of the shutdown. An exception must not keep the process from ending before SIGKILL."""
        run_contained(self.core.counters, "graceful shutdown", step)

    def _close_admin_interface(self) -> None:
        """Answer the commands received so far, after accepting queued callers, which the close would reset."""
        if self.admin_port:
            self.admin_port.accept_pending_and_close()
            self.admin_port.factory.end()
