"""The listener for clients: the relay's own, or one that the platform holds and successive processes share."""

from __future__ import annotations

import logging
import os
import socket
from pathlib import Path
from typing import Any

from .config import Config, SettingError
from .net.client_protocol import ClientProtocolFactory
from .net.reactor import Reactor
from .state.handover_receiver import HandoverReceiver

log = logging.getLogger("gradefront")

BACKLOG = 512  # connections that wait to be accepted


def inherited_listener(fd: int) -> socket.socket:
    """The listener that the platform holds under descriptor `fd`, under a descriptor of this process.

    Raises SettingError where `fd` is no listening IPv4 TCP socket.
    """
    try:
        listener = socket.socket(fileno=os.dup(fd))
        if listener.family != socket.AF_INET or not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            listener.close()
            raise OSError("not a TCP socket that listens")
    except OSError as error:
        raise SettingError("LB_SOCKET_FD", f"{fd}: {error.strerror or error}") from None
    # All holders of a listener share this flag. Prevents blocking on a client that another process has accepted.
    listener.setblocking(False)
    return listener


class ClientListener:
    """Where clients connect, and, beside other processes of this relay, where their connections are handed over.

    `port` is None until clients are accepted, `handover_receiver` unless the listener is inherited and TMPDIR is set.
    """

    def __init__(
        self, config: Config, front: ClientProtocolFactory, reactor: Reactor, inherited: socket.socket | None
    ) -> None:
        self.relay_name = config.name
        self.address = config.listen
        self.front = front
        self.reactor = reactor
        self.inherited = inherited
        self.port: Any = None
        self.handover_receiver: HandoverReceiver | None = None

    def listen(self) -> None:
        """Listen on the configured address. Raises CannotListenError."""
        host, port = self.address
        self.port = self.reactor.listenTCP(port, self.front, BACKLOG, host)

    def listen_on_inherited(self) -> None:
        """Accept clients on the inherited listener, beside the process that already does."""
        assert self.inherited
        self.port = self.reactor.adoptStreamPort(self.inherited.fileno(), socket.AF_INET, self.front)
        if "TMPDIR" in os.environ:
            self.handover_receiver = HandoverReceiver(
                self.front.core, self.front, self.reactor, Path(os.environ["TMPDIR"])
            )
            self.handover_receiver.open()
        log.info("relay %s takes clients from descriptor %d", self.relay_name, self.inherited.fileno())

    def is_replaced(self) -> bool:
        """Whether another process may accept the clients that this one leaves in the listener's queue."""
        return self.inherited is not None and not (self.handover_receiver and self.handover_receiver.is_newest())

    def stop(self) -> None:
        """Accept no more clients."""
        if self.port:
            self.port.stopListening()

    def drop_new_handshakes(self) -> None:
        """Let no further client begin to connect; those whose handshake is under way are accepted."""
        if self.port:
            self.port.drop_new_handshakes()

    def accept_last_and_close(self) -> None:
        """Accept those that wait, then no more. The queue of an inherited listener stays with the platform."""
        if self.port:
            self.port.accept_last_and_close()

    def close_handover(self) -> None:
        """Take over no more connections."""
        if self.handover_receiver:
            self.handover_receiver.close()
