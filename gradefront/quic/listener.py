"""The second front's listening sockets: a datagram along a known path goes straight to its backend."""

from __future__ import annotations

import logging
from collections.abc import Callable
from contextlib import suppress

from gradefront.config import Address

from .headers import LONG
from .paths import Path
from .sockets import Hub, Socket

log = logging.getLogger("gradefront.quic")

LONGEST_DATAGRAM = 9_216  # jumbo frames; QUIC over more doesn't cross a network
BATCH = 64  # datagrams read in one go, so that timers and other sockets get their turn
BUFFER = 4 << 20  # asked of the system for the listeners: a batch must not overrun while the module thinks


class Listener(Socket):
    """Where clients of one class come in. Packets of paths that stand pass here and nowhere else."""

    def __init__(  # noqa: PLR0913 - tables that the front shares with its listeners
        self,
        hub: Hub,
        request_class: int,
        where: Address,
        routes: dict[bytes, Path],
        lengths: list[int],
        take: Callable[[Listener, bytes, Address], None],
    ) -> None:
        super().__init__(hub, where[0], where[1], BUFFER)
        self.request_class = request_class
        self.routes = routes
        self.lengths = lengths
        self.take = take

    def read(self) -> int:
        """Clients' datagrams: by id along a path that is known, all others by the front's tables."""
        routes, lengths, recvfrom = self.routes.get, self.lengths, self.recvfrom
        for count in range(BATCH):
            try:
                datagram, client = recvfrom(LONGEST_DATAGRAM)
            except BlockingIOError:
                return count
            except OSError:
                continue
            if len(datagram) > 1 and datagram[0] < LONG:
                path = routes(datagram[1 : 1 + lengths[datagram[1] >> 5]])
                if path is not None and path.client == client and path.go is not None:
                    path.sent += 1
                    try:
                        path.go(datagram, path.where)
                    except OSError:
                        path.on_send_failed()
                    continue
            try:
                self.take(self, datagram, client)  # whole: an IPv6 sender has its scope
            except Exception:  # guards the relay: an exception ends with this datagram
                log.exception("a client's datagram failed")
            if self.closed:
                break
        return BATCH

    def reply(self, datagram: bytes, client: Address) -> None:
        """To a client."""
        with suppress(OSError):
            self.sendto(datagram, client)
