"""The QUIC front's listening sockets, which send datagrams of known paths straight to their backends."""

from __future__ import annotations

import logging
from collections.abc import Callable
from contextlib import suppress

from gradefront.config import Address

from .headers import LONG_HEADER_BIT
from .paths import Path
from .sockets import Hub, Socket

log = logging.getLogger("gradefront.quic")

MAX_DATAGRAM_LENGTH = 9_216  # jumbo frames; larger QUIC datagrams do not cross a network
MAX_BATCH = 64  # datagrams read in one call, so that timers and other sockets are not starved
SOCKET_BUFFER = 4 << 20  # requested of the kernel: must hold what arrives while the decision module runs


class Listener(Socket):
    """The listening socket of one request class. Client packets of known paths are handled here alone."""

    def __init__(  # noqa: PLR0913 - the front shares its tables with its listeners
        self,
        hub: Hub,
        class_name: str,
        address: Address,
        routes: dict[bytes, Path],
        lengths: list[int],
        on_datagram: Callable[[Listener, bytes, Address], None],
    ) -> None:
        super().__init__(hub, address[0], address[1], SOCKET_BUFFER)
        self.class_name = class_name
        self.routes = routes
        self.lengths = lengths
        self.on_datagram = on_datagram

    def read(self) -> int:
        """Read client datagrams. Those whose id and client address have a known path are sent along it; all
        others go to the front."""
        routes, lengths, recvfrom = self.routes.get, self.lengths, self.recvfrom
        for count in range(MAX_BATCH):
            try:
                datagram, client = recvfrom(MAX_DATAGRAM_LENGTH)
            except BlockingIOError:
                return count
            except OSError:
                continue
            if len(datagram) > 1 and datagram[0] < LONG_HEADER_BIT:
                path = routes(datagram[1 : 1 + lengths[datagram[1] >> 5]])
                if path is not None and path.client == client and path.sendto is not None:
                    path.sent += 1
                    try:
                        path.sendto(datagram, path.backend_address)
                    except OSError:
                        path.on_send_failed()
                    continue
            try:
                self.on_datagram(self, datagram, client)  # the whole address: an IPv6 sender's includes its scope
            except Exception:  # an exception affects this datagram only, not the relay
                log.exception("failed to process a datagram from client %s", client)
            if self.closed:
                break
        return MAX_BATCH

    def reply(self, datagram: bytes, client: Address) -> None:
        """Send a datagram to a client; send errors are ignored."""
        with suppress(OSError):
            self.sendto(datagram, client)
