"""The sockets of a handover: the Unix socket between two processes, and the transports that change hands.

The process that accepts clients listens on a Unix socket in the folder that successive processes share. The newest
one holds the name.
"""

from __future__ import annotations

import logging
import os
import socket
import struct
from contextlib import suppress
from pathlib import Path
from typing import Any

log = logging.getLogger("gradefront.handover")

SOCKET_NAME = "gradefront.handover"
MAX_SENDERS = 4  # processes that hand over at a time
CONNECT_TIMEOUT_S = 0.1  # to a listener on this machine, which answers at once or not at all
PEER_CREDENTIALS = struct.Struct("3i")  # process, user, group


class SingleProtocolFactory:
    """A factory of one protocol, for a connection that exists already."""

    def __init__(self, protocol: Any) -> None:
        self.protocol = protocol

    def buildProtocol(self, addr: object) -> Any:  # noqa: ARG002 - Twisted's signature
        """The protocol."""
        return self.protocol


def listen_as_newest(path: Path) -> tuple[socket.socket, int]:
    """Listen under the name `path`, in place of the process before; the listener and its inode. Raises OSError."""
    temporary_path = path.with_name(f"{path.name}.{os.getpid()}")
    listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        temporary_path.unlink(missing_ok=True)
        listener.bind(str(temporary_path))
        os.chmod(temporary_path, 0o600)
        listener.listen(MAX_SENDERS)
        listener.setblocking(False)
        inode = temporary_path.stat().st_ino
        temporary_path.replace(path)  # in one step: a sender finds the process before or this one
    except OSError:
        listener.close()
        raise
    return listener, inode


def connect_to_newest(path: Path) -> socket.socket | None:
    """A connection to the process that holds the name `path`; None where nobody answers."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.settimeout(CONNECT_TIMEOUT_S)
    try:
        sock.connect(str(path))
    except OSError as error:
        log.info("nobody takes connections over: %s", error)
        sock.close()
        return None
    sock.setblocking(False)
    return sock


def refuse_more(sock: socket.socket) -> None:
    """Have the kernel refuse what peers send or connect from now on; what came before can still be read."""
    with suppress(OSError):  # its peer is gone
        sock.shutdown(socket.SHUT_RD)


def is_same_user(sock: socket.socket) -> bool:
    """Whether the process at the other end runs under this process's user."""
    _, user, _ = PEER_CREDENTIALS.unpack(
        sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
    )
    return bool(user == os.getuid())


def close_own_descriptor(transport: Any) -> None:
    """Close this process's descriptor alone: a shutdown, or a lingering close, would end the connection itself."""
    transport.unregisterProducer()
    transport.stopReading()
    transport.stopWriting()
    transport.connected = 0
    transport.getHandle().close()


def has_sent_all(transport: Any) -> bool:
    """Whether the kernel has all that was written. Only Twisted's transport itself knows."""
    if transport.dataBuffer or transport._tempDataBuffer:
        transport.doWrite()
    unsent = transport.dataBuffer or transport._tempDataBuffer
    return not (unsent or transport.disconnecting or transport.disconnected)
