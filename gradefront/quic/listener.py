"""The second front's listening sockets: a datagram along a known path goes straight to its backend."""

from __future__ import annotations

import logging
from collections.abc import Callable
from contextlib import suppress

from gradefront.config import Address

from .headers import LONG_HEADER_BIT
from .paths import Path
from .sockets import Hub, Socket

log = logging.getLogger("gradefront.quic")

MAX_DATAGRAM_LENGTH = 9_216  # jumbo frames; QUIC over more doesn't cross a network
MAX_BATCH = 64  # datagrams read in one go, so that timers and other sockets get their turn
SOCKET_BUFFER = 4 << 20  # asked of the system for the listeners: a batch must not overrun while the module thinks


class Listener(Socket):
    """Where clients of one class come in. Packets of paths that stand pass here and nowhere else."""

    def __init__(  # noqa: PLR0913 - tables that the front shares with its listeners
        self,
        hub: Hub,
        request_class: int,
        address: Address,
        routes: dict[bytes, Path],
        lengths: list[int],
        on_datagram: Callable[[Listener, bytes, Address], None],
    ) -> None:
        super().__init__(hub, address[0], address[1], SOCKET_BUFFER)
        self.request_class = request_class
        self.routes = routes
        self.lengths = lengths
        self.on_datagram = on_datagram

    def read(self) -> int:
        """Clients' datagrams: by id along a path that is known, all others by the front's tables."""
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
                self.on_datagram(self, datagram, client)  # whole: an IPv6 sender has its scope
            except Exception:  # guards the relay: an exception ends with this datagram
                log.exception("a client's datagram failed")
            if self.closed:
                break
        return MAX_BATCH

    def reply(self, datagram: bytes, client: Address) -> None:
        """To a client."""
        with suppress(OSError):
            self.sendto(datagram, client)
