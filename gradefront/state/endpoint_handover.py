"""A starting process asks the one that it replaces for its endpoint list, in case discovery does not answer.

The request goes through the handover socket. The list is returned in a file in memory (memfd), because its size has
no limit.
"""

from __future__ import annotations

import json
import logging
import os
import socket
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .handover_sockets import connect_to_newest

log = logging.getLogger("gradefront.handover")

REQUEST = b"ENDPOINTS 1"
ANSWER = b"ENDPOINTS 1"
ANSWER_TIMEOUT_S = 0.5  # the process that is replaced may be busy; a start may take 6 s
MAX_LIST_BYTES = 16 << 20


@dataclass(frozen=True)
class KnownEndpoints:
    """An endpoint list that a process had.

    `document` is in discovery's format, and complete. `heard_us_ago`: microseconds since discovery was last heard of;
    None if it never was. `ids`: the connection ids that its clients have used.
    """

    document: dict[str, Any]
    heard_us_ago: int | None
    ids: tuple[bytes, ...] = ()

    @property
    def revision(self) -> int:
        """The list's revision; 0 if it has none."""
        revision = self.document.get("revision")
        return revision if isinstance(revision, int) else 0


def request_endpoints(path: Path) -> KnownEndpoints | None:
    """Ask the process that listens at `path` for its endpoint list.

    Waits for ANSWER_TIMEOUT_S at most. Returns None if there is no such process, or it does not answer in this form.
    """
    sock = connect_to_newest(path) if path.exists() else None
    if sock is None:
        return None
    fds: list[int] = []
    try:
        sock.settimeout(ANSWER_TIMEOUT_S)
        sock.send(REQUEST)
        data, fds, _, _ = socket.recv_fds(sock, len(ANSWER), 1)
        if data != ANSWER or len(fds) != 1:
            raise ValueError(f"unexpected answer {data!r}")
        return _read(fds[0])
    except (OSError, ValueError, KeyError, TypeError) as error:
        log.info("the process that is replaced did not tell its endpoint list: %s", error)
        return None
    finally:
        for fd in fds:
            os.close(fd)
        sock.close()


def _read(fd: int) -> KnownEndpoints:
    """Read the list from a file in memory. Raises OSError, ValueError, KeyError or TypeError."""
    content = json.loads(os.pread(fd, MAX_LIST_BYTES, 0))
    heard_us_ago = content["heard_us_ago"]
    if not isinstance(content["list"], dict):
        raise TypeError("the list is not an object")
    ids = tuple(str(connection_id).encode() for connection_id in content.get("ids", ()))
    return KnownEndpoints(content["list"], None if heard_us_ago is None else int(heard_us_ago), ids)


def send_endpoints(sock: socket.socket, known: KnownEndpoints) -> None:
    """Answer a request with the endpoint list. If that fails, the requester does without it."""
    ids = [connection_id.decode("ascii") for connection_id in known.ids]
    content = json.dumps({"list": known.document, "heard_us_ago": known.heard_us_ago, "ids": ids}).encode()
    with suppress(OSError), open(os.memfd_create("endpoints"), "wb", buffering=0) as file:
        file.write(content)
        socket.send_fds(sock, [ANSWER], [file.fileno()])
