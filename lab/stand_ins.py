"""Stand-ins for discovery, backends and clients, and the relay program as a child process.

Ports are on loopback. The settings and the wire are the platform's, so their names stay as its pages give them.
"""

from __future__ import annotations

import asyncio
import json
import re
import signal
import socket
import sys
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from itertools import count
from pathlib import Path
from typing import Any

CHECKOUT = Path(__file__).resolve().parent.parent
BUSY_S = 0.5  # what other work on the machine may add to a measured time
HANG_TIMEOUT_S = 40.0  # no verdict rests on it
KEEP_ALIVE_S = 1.0  # between two empty lines of a watch; a relay waits 3 s for one
LINE_LIMIT_BYTES = 1 << 20


def settings(objective_ms: int = 300, deadline_ms: int = 1500, **permissions: object) -> dict[str, Any]:
    """Settings in the platform's form, with a latency objective and a deadline in milliseconds."""
    grade = {
        "aimUs": objective_ms * 1000,
        "deadlineUs": deadline_ms * 1000,
        "semantics": "safe",
        "keyScope": "all",
        "points": 5.0,
        "stream": True,
    }
    return {
        "grades": [{**grade, "name": "roster-feed"}, {**grade, "name": "visit-checkin"}],
        "familyInfo": {"groups": True, "messageAimUs": [50_000, 100_000], "tellsDelay": True},
        "permissions": {
            "maxAttempts": 4,
            "connectTimeoutUs": 150_000,
            "probes": False,
            "retryAfter": True,
            "maxRetryAfterUs": 2_000_000,
            **permissions,
        },
        "rules": {"askWithinUs": 400_000, "drainGraceUs": 500_000},
        "fleetSize": 1,
        "discovery": "ask",
        "zones": ["kgn-1", "mbj-1"],
        "models": ["quad-fast", "quad-slow"],
        "weights": "rough",
        "report": {"how": "pull" if permissions.get("probes") else "silent", "names": ["x0"]},
    }


async def soon(awaitable: Any) -> Any:
    """Awaits something. Raises TimeoutError after HANG_TIMEOUT_S."""
    return await asyncio.wait_for(awaitable, HANG_TIMEOUT_S)


class Discovery:
    """The endpoint list's service: answers watches, and publishes changes on the test's call."""

    def __init__(self) -> None:
        self.members: dict[str, dict[str, Any]] = {}
        self.revision = 1
        self.watches: list[asyncio.StreamWriter] = []
        self.asked = asyncio.Event()
        self.silent = False  # sends no keep-alive lines, as one that is cut off
        self.held = False  # accepts calls but answers none until released
        self.called = asyncio.Event()
        self.released = asyncio.Event()

    def release(self) -> None:
        """Answers the held calls, and later ones at once."""
        self.held = False
        self.released.set()

    async def open(self) -> None:
        """Listens, on a port of the system's choice."""
        self.server = await asyncio.start_server(self._watch, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def serves(self) -> bool:
        """Whether it listens."""
        return hasattr(self, "server") and self.server.is_serving()

    def add(self, backend: str, port: int) -> None:
        """Adds a backend to the list; nobody is notified."""
        self.members[backend] = {
            "id": backend,
            "host_port": f"127.0.0.1:{port}",
            "locality": "kgn-1",
            "flavor": "quad-fast",
            "cell": 0,
            "phase": "SERVING",
            "size": 1.0,
            "up_since_ms": 0,
        }

    def list(self) -> dict[str, Any]:
        """The complete list, in the platform's form."""
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    async def _watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            self.called.set()
            if self.held:
                await self.released.wait()
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._chunk(writer, self.list())
            self._keep_alive(writer)
            self.watches.append(writer)
            self.asked.set()

    def _keep_alive(self, writer: asyncio.StreamWriter) -> None:
        """Writes an empty line now and then: a watch without one counts as cut off."""
        if not writer.is_closing() and not self.silent:
            writer.write(b"1\r\n\n\r\n")
            asyncio.get_running_loop().call_later(KEEP_ALIVE_S, self._keep_alive, writer)

    @staticmethod
    def _chunk(writer: asyncio.StreamWriter, message: dict[str, Any]) -> None:
        line = json.dumps(message).encode() + b"\n"
        for part in (line[:7], line[7:]):  # chunks need not be whole lines
            writer.write(b"%x\r\n%s\r\n" % (len(part), part))

    def publish(self, backend: str, phase: str) -> float:
        """Sends a change of phase to all watches. Returns the monotonic time in seconds."""
        self.members[backend]["phase"] = phase
        self.revision += 1
        change = {"revision": self.revision, "complete": False, "members": [dict(self.members[backend])]}
        for writer in self.watches:
            self._chunk(writer, change)
        return time.monotonic()


class StandInBackend:
    """A backend on the platform's line protocol.

    `answer` makes the reply to a first line: None is silence, "close" closes without one.
    """

    def __init__(self, answer: Callable[[str], str | None]) -> None:
        self.answer = answer
        self.first_lines: list[str] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.ended = asyncio.Event()
        self.standing = 0  # connections that it serves now

    def load(self) -> float:
        """The load that it reports to a health check."""
        return 0.25

    async def open(self) -> int:
        """Listens. Returns the port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=LINE_LIMIT_BYTES)
        return int(self.server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        serves = 0
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while line := (await reader.readline()).decode().removesuffix("\r\n"):
                if line == "STATS":
                    writer.write(b"PONG x0=%.4f\r\n" % self.load())
                elif line.startswith("OPEN "):
                    self.first_lines.append(line)
                    self.writers.append(writer)
                    reply = self.answer(line)
                    if reply == "close":
                        break
                    if reply is not None:
                        writer.write(reply.encode() + b"\r\n")
                    if reply is not None and not reply.startswith("UP"):
                        break
                    serves = int(reply is not None)
                    self.standing += serves
                else:
                    writer.write(b"re:" + line.encode() + b"\r\n")
            await writer.drain()
        self.standing -= serves
        writer.close()
        self.ended.set()

    def kill(self) -> None:
        """Vanishes as a machine without power: stops listening, resets all connections."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


class LineDevice:
    """A client on the platform's line protocol."""

    OPEN = "OPEN {id:016x} 7f3a9c21e0b4d655 c=visit-checkin,d={d},g=5c0f6e1a2b3d4c59{more}"
    IDS = count(0x9B1F03AA5C7E2D41)  # each connection has a new one

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.id = next(self.IDS)

    @classmethod
    async def connect(cls, port: int) -> LineDevice:
        """A client that is connected to a relay's port."""
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    def write_line(self, line: str) -> None:
        """Sends one line."""
        self.writer.write(line.encode() + b"\r\n")

    def open(self, d: int = 1500, more: str = "") -> None:
        """Sends the first line: the deadline `d` in milliseconds, `more` as further fields."""
        self.write_line(self.OPEN.format(id=self.id, d=d, more=more))

    async def line(self) -> str:
        """The next line, or "" at the end."""
        return str((await soon(self.reader.readline())).decode().removesuffix("\r\n"))

    async def rest(self) -> bytes:
        """All bytes up to the end of the connection, be that orderly or a reset."""
        received = b""
        with suppress(ConnectionResetError):
            while part := await soon(self.reader.read(1)):
                received += part
        return received

    async def ask(self, line: str) -> str:
        """Sends a line. Returns the next one."""
        self.write_line(line)
        return await self.line()


class Program:
    """A running relay process, and its log as far as it was read."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.log: list[str] = []
        self.ports: list[int] = []
        self.admin_port = 0  # 0 without an admin interface

    async def call(self, call: str) -> list[str]:
        """Makes a call at the admin interface. Returns the lines of the answer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.admin_port)
        writer.write(call.encode() + b"\r\n")
        try:
            answer: bytes = await soon(reader.read())
            return answer.decode().splitlines()
        finally:
            writer.close()

    async def metrics(self) -> dict[str, float]:
        """The metrics by name, parsed as Prometheus' text form."""
        first, *lines, last = await self.call("INFO")
        assert (first, last) == ("ok", "eof")
        return {name: float(value) for name, value in (line.rsplit(" ", 1) for line in lines)}

    async def line(self, pattern: str) -> re.Match[str]:
        """Reads the log up to a line that matches a pattern. Fails if the process ends before it."""
        assert self.process.stderr
        while True:
            raw = await soon(self.process.stderr.readline())
            assert raw, "the program ended:\n" + "\n".join(self.log)
            self.log.append(raw.decode().rstrip())
            if found := re.search(pattern, self.log[-1]):
                return found

    async def counters(self) -> dict[str, int]:
        """The counters, which the program logs at SIGUSR1."""
        self.process.send_signal(signal.SIGUSR1)
        counters: dict[str, int] = json.loads((await self.line(r"counters (\{.*\})")).group(1))
        return counters

    async def stop(self) -> int:
        """Ends the program by SIGTERM. Returns its exit status."""
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
        assert self.process.stderr
        self.log += (await soon(self.process.stderr.read())).decode().splitlines()
        return int(await soon(self.process.wait()))


def _write_files(
    folder: Path, config: dict[str, Any], quic: dict[str, Any] | None, fleet: dict[str, Any] | None
) -> dict[str, str]:
    """Writes the program's files. Returns the environment that names them."""
    files = {
        "LB_CONFIG": ("config.json", config),
        "GRADEFRONT_QUIC": ("quic.json", quic or {"on": False}),
        "GRADEFRONT_FLEET": ("fleet.json", fleet or {"on": False}),
    }
    for name, content in files.values():
        (folder / name).write_text(json.dumps(content))
    return {variable: str(folder / name) for variable, (name, _) in files.items()}


@asynccontextmanager
async def program(  # noqa: PLR0913 - each caller names the few that it needs
    folder: Path,
    discovery: Discovery,
    platform_settings: dict[str, Any],
    quic: dict[str, Any] | None = None,
    admin: bool = False,
    listener: socket.socket | None = None,
    shared: Path | None = None,
    known: dict[str, Any] | None = None,
    fleet: dict[str, Any] | None = None,
    name: str = "n0",
    tree: Path = CHECKOUT,
    module: str = "gradefront",
    environment: dict[str, str] | None = None,
) -> AsyncIterator[Program]:
    """Starts the program, with its files in `folder` and ports of the system's choice; kills it at the end.

    With a `listener` it inherits that one. `shared` is the folder that it has in common with other processes of its
    relay, `known` its cached endpoint list, `quic` and `fleet` are the contents of those files, `tree` is the
    checkout and `module` the module that runs, `environment` adds variables.
    """
    if not discovery.serves:  # another process may be watching it already
        await discovery.open()
    config = {
        "name": name,
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery.port}",
        "seed": "1f",
        "limits": {"sockets": 512},
        "known": known or discovery.list(),
        "settings": platform_settings,
        **({"admin": "127.0.0.1:0"} if admin else {}),
    }
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        module,
        stderr=asyncio.subprocess.PIPE,
        cwd=tree,
        pass_fds=[listener.fileno()] if listener else [],
        env={
            **({"TMPDIR": str(shared)} if shared else {}),
            **({"LB_SOCKET_FD": str(listener.fileno())} if listener else {}),
            **_write_files(folder, config, quic, fleet),
            "PATH": "/usr/bin:/bin",
            **(environment or {}),
        },
    )
    running = Program(process)
    try:
        if listener:
            running.ports.append(listener.getsockname()[1])
        for _ in range(0 if listener else 1 + len((quic or {}).get("listen", ()))):
            running.ports.append(int((await running.line(r"listens on \S+:(\d+)")).group(1)))
        if admin:
            running.admin_port = int((await running.line(r"admin interface at \S+:(\d+)")).group(1))
        yield running
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
        discovery.server.close()
