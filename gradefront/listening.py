"""The listening socket for clients: opened by the relay, or inherited from the platform and shared by processes."""

from __future__ import annotations

import logging
import os
import socket
from typing import Any

from .config import Config, SettingError
from .net.client_protocol import ClientProtocolFactory
from .net.endpoint_list import EndpointList
from .net.reactor import Reactor
from .state.endpoint_handover import KnownEndpoints
from .state.handover_receiver import HandoverReceiver
from .state.handover_sockets import connect_to_newest, find_handover_path

log = logging.getLogger("gradefront")

BACKLOG = 512  # connections in the listen queue


def inherited_listener(fd: int) -> socket.socket:
    """Return a duplicate of the listening socket that the platform passes as descriptor `fd`.

    Raises SettingError if `fd` is not a listening IPv4 TCP socket.
    """
    try:
        listener = socket.socket(fileno=os.dup(fd))
        if listener.family != socket.AF_INET or not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            listener.close()
            raise OSError("not a listening IPv4 TCP socket")
    except OSError as error:
        raise SettingError("LB_SOCKET_FD", f"{fd}: {error.strerror or error}") from None
    # All processes that share the listener share this flag. Prevents accept() from blocking if another process has
    # accepted the client.
    listener.setblocking(False)
    return listener


class ClientListener:
    """Accepts clients, and receives established connections from earlier processes of this relay.

    `port` is None until clients are accepted. `handover_receiver` is None unless the listener is inherited and TMPDIR
    is set.
    """

    def __init__(
        self,
        config: Config,
        client_factory: ClientProtocolFactory,
        endpoint_list: EndpointList,
        reactor: Reactor,
        inherited: socket.socket | None,
    ) -> None:
        self.relay_name = config.name
        self.address = config.listen
        self.client_factory = client_factory
        self.endpoint_list = endpoint_list
        self.reactor = reactor
        self.inherited = inherited
        self.port: Any = None
        self.handover_receiver: HandoverReceiver | None = None

    def listen(self) -> None:
        """Listen on the configured address. Raises CannotListenError."""
        host, port = self.address
        self.port = self.reactor.listenTCP(port, self.client_factory, BACKLOG, host)

    def listen_on_inherited(self) -> None:
        """Accept clients on the inherited listener, concurrently with the process that does so already."""
        assert self.inherited
        self.accept_again()
        if path := find_handover_path():
            self.handover_receiver = HandoverReceiver(
                self.client_factory.core, self.client_factory, self.reactor, path.parent, self._known_endpoints
            )
            self.handover_receiver.open()
        log.info("relay %s accepts clients on inherited descriptor %d", self.relay_name, self.inherited.fileno())

    def _known_endpoints(self) -> KnownEndpoints:
        ids = tuple(self.client_factory.seen_ids)
        return KnownEndpoints(self.endpoint_list.document(), self.endpoint_list.heard_us_ago(), ids)

    def accept_again(self) -> None:
        """Accept clients on the inherited listener, also after `stop`."""
        if self.inherited:
            self.port = self.reactor.adoptStreamPort(self.inherited.fileno(), socket.AF_INET, self.client_factory)

    def is_replaced(self) -> bool:
        """Whether a newer process may accept the clients that this one leaves in the listen queue."""
        return self.inherited is not None and not (self.handover_receiver and self.handover_receiver.is_newest())

    def connect_to_successor(self) -> socket.socket | None:
        """Connect to the newer process that accepts a handover, and receive none any more; None if there is none."""
        receiver = self.handover_receiver
        if not receiver or not receiver.has_successor():
            return None
        handover_socket = connect_to_newest(receiver.path)
        if handover_socket:
            receiver.close()
        return handover_socket

    def stop(self) -> None:
        """Stop accepting clients."""
        if self.port:
            self.port.stopListening()

    def drop_new_handshakes(self) -> None:
        """Drop new TCP handshakes; clients whose handshake is in progress can still connect."""
        if self.port:
            self.port.drop_new_handshakes()

    def accept_pending_and_close(self) -> None:
        """Accept the queued clients, then close. The queue of an inherited listener remains, held by the platform."""
        if self.port:
            self.port.accept_pending_and_close()

    def close_handover(self) -> None:
        """Stop receiving connections from other processes."""
        if self.handover_receiver:
            self.handover_receiver.close()
