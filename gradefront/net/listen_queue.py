"""The kernel's queue of a TCP listener: connections that are complete for their clients and wait to be accepted."""

from __future__ import annotations

import socket
import struct

#: The start of Linux' `struct tcp_info`: eight bytes, four counts, and for a listener the length of its queue.
QUEUE_LENGTH = struct.Struct("=8x4x4x4x4xI")


def queued_connections(listener: socket.socket) -> int:
    """How many connections wait in a listener's queue; 0 where the system does not tell."""
    try:
        info = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, QUEUE_LENGTH.size)
        (queued,) = QUEUE_LENGTH.unpack(info)
    except (OSError, struct.error):
        return 0
    return int(queued)
