"""Socket operations of a handover: the Unix socket between two processes, and the transports that are handed over.

The process that accepts clients listens on a Unix socket in a folder that the processes of a relay share. The socket
name belongs to the newest process.
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
#: Ends the path that the listener was bound to, if its process answers each message (`handover_messages.py`).
ANSWERS_SUFFIX = ".answers"
MAX_SENDERS = 4  # processes that may hand over concurrently
CONNECT_TIMEOUT_S = 0.1  # for a listener on this machine, which accepts at once or not at all
PEER_CREDENTIALS = struct.Struct("3i")  # struct ucred: process, user and group id


def find_handover_path() -> Path | None:
    """Return the path of the handover socket, in the folder that TMPDIR names; None if it is not set."""
    folder = os.environ.get("TMPDIR")
    return Path(folder) / SOCKET_NAME if folder is not None else None


class SingleProtocolFactory:
    """A protocol factory that returns one given protocol, for an existing connection."""

    def __init__(self, protocol: Any) -> None:
        self.protocol = protocol

    def buildProtocol(self, addr: object) -> Any:  # noqa: ARG002 - Twisted's signature
        """Return the protocol."""
        return self.protocol


def listen_as_newest(path: Path) -> tuple[socket.socket, int]:
    """Listen at `path`, replacing the socket of the previous process.

    Return the listener and the inode of its name. Raises OSError.
    """
    temporary_path = path.with_name(f"{path.name}.{os.getpid()}{ANSWERS_SUFFIX}")
    listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        temporary_path.unlink(missing_ok=True)
        listener.bind(str(temporary_path))
        os.chmod(temporary_path, 0o600)
        listener.listen(MAX_SENDERS)
        listener.setblocking(False)
        inode = temporary_path.stat().st_ino
        temporary_path.replace(path)  # atomic: a sender connects to the previous process or to this one
    except OSError:
        listener.close()
        raise
    return listener, inode


def connect_to_newest(path: Path) -> socket.socket | None:
    """Connect to the process that listens at `path`; return None if there is none, or if it answers no messages.

    A process of a former release closes what it cannot adopt and does not say so: its connections would be cut off.
    """
    sock: socket.socket | None = None
    try:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        sock.settimeout(CONNECT_TIMEOUT_S)
        sock.connect(str(path))
        if not _bound_path(sock).endswith(ANSWERS_SUFFIX):
            raise ConnectionRefusedError("the newest process is of a former release, which answers no messages")
    except OSError as error:
        log.info("no process accepts a handover: %s", error)
        if sock:
            sock.close()
        return None
    sock.setblocking(False)
    return sock


def has_listener(path: Path) -> bool:
    """Return whether a process listens at `path`; True also if that cannot be determined."""
    try:
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
            sock.settimeout(CONNECT_TIMEOUT_S)
            sock.connect(str(path))
    except (ConnectionRefusedError, FileNotFoundError):
        return False
    except OSError:
        return True
    return True


def _bound_path(sock: socket.socket) -> str:
    """Return the path that the listener of a connection was bound to; renaming that path does not change it."""
    address = sock.getpeername()
    return address if isinstance(address, str) else os.fsdecode(address)


def refuse_more(sock: socket.socket) -> None:
    """Have the kernel refuse further data and connections from peers; data already received can still be read."""
    with suppress(OSError):  # the peer has closed
        sock.shutdown(socket.SHUT_RD)


def is_same_user(sock: socket.socket) -> bool:
    """Return whether the peer process runs as the same user as this process."""
    _, user, _ = PEER_CREDENTIALS.unpack(
        sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
    )
    return bool(user == os.getuid())


def close_own_descriptor(transport: Any) -> None:
    """Close only this process's descriptor.

    A shutdown() or a lingering close would end the connection that the other process now holds.
    """
    transport.unregisterProducer()
    transport.stopReading()
    transport.stopWriting()
    transport.connected = 0
    transport.getHandle().close()


def has_sent_all(transport: Any) -> bool:
    """Try to flush the transport; return whether the kernel has all written data.

    Twisted exposes this only through private attributes of the transport.
    """
    if transport.dataBuffer or transport._tempDataBuffer:
        transport.doWrite()
    unsent = transport.dataBuffer or transport._tempDataBuffer
    return not (unsent or transport.disconnecting or transport.disconnected)
