"""Stand-ins for discovery, backends and clients, and the relay program as a child process.

All ports are on loopback. The names in settings and on the wire are defined by the platform and must stay as they
are.
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

from .waiting import within

CHECKOUT = Path(__file__).resolve().parent.parent
BUSY_S = 0.5  # allowance in measured times for delays by other load on the machine
HANG_TIMEOUT_S = 40.0  # only ends a test that hangs; no test's result depends on this value
KEEP_ALIVE_S = 1.0  # between two empty lines on a watch; a relay waits 3 s for the next one
LINE_LIMIT_BYTES = 1 << 20  # longest line that a stand-in backend reads


def settings(objective_ms: int = 300, deadline_ms: int = 1500, **permissions: object) -> dict[str, Any]:
    """Return settings in the platform's format, with a latency objective and a deadline in milliseconds.

    `permissions` adds or replaces entries of the section of that name.
    """
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
    """Await an awaitable and return its result. Raises TimeoutError after HANG_TIMEOUT_S."""
    return await within(HANG_TIMEOUT_S, awaitable)


class Discovery:
    """A stand-in discovery service: it answers watches of the endpoint list and publishes changes on demand."""

    def __init__(self) -> None:
        self.members: dict[str, dict[str, Any]] = {}
        self.revision = 1
        self.watches: list[asyncio.StreamWriter] = []
        self.asked = asyncio.Event()  # set once a watch has been answered
        self.silent = False  # sends no keep-alive lines, as if its network connection were cut
        self.held = False  # accepts requests but does not answer until `release` is called
        self.called = asyncio.Event()  # set once a request has been received
        self.released = asyncio.Event()

    def release(self) -> None:
        """Answer the held requests, and answer later requests immediately."""
        self.held = False
        self.released.set()

    async def open(self) -> None:
        """Start listening on a port of the system's choice."""
        self.server = await asyncio.start_server(self._watch, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def serves(self) -> bool:
        """Whether the service is listening."""
        return hasattr(self, "server") and self.server.is_serving()

    def add(self, backend: str, port: int) -> None:
        """Add a backend to the endpoint list without notifying the watches."""
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
        """Return the complete endpoint list in the platform's format."""
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    async def _watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            # CancelledError occurs when the event loop closes.
            with suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
                await self._answer(reader, writer)
                await reader.read()  # returns once the client has closed the watch
        finally:
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read the request of a watch, send the complete list, and begin to send what is published."""
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
        """Write an empty line periodically: relays treat a watch without such lines as cut off."""
        if not writer.is_closing() and not self.silent:
            writer.write(b"1\r\n\n\r\n")
            asyncio.get_running_loop().call_later(KEEP_ALIVE_S, self._keep_alive, writer)

    @staticmethod
    def _chunk(writer: asyncio.StreamWriter, message: dict[str, Any]) -> None:
        line = json.dumps(message).encode() + b"\n"
        for part in (line[:7], line[7:]):  # a chunk may end within a line
            writer.write(b"%x\r\n%s\r\n" % (len(part), part))

    def publish(self, backend: str, phase: str) -> float:
        """Send a backend's new phase to all watches. Return the monotonic time of sending, in seconds."""
        self.members[backend]["phase"] = phase
        self.revision += 1
        change = {"revision": self.revision, "complete": False, "members": [dict(self.members[backend])]}
        for writer in self.watches:
            if not writer.is_closing():
                self._chunk(writer, change)
        return time.monotonic()


class StandInBackend:
    """A backend that speaks the platform's line protocol.

    `answer` returns the reply to a first line. None sends no reply; "close" closes the connection without a reply.
    """

    def __init__(self, answer: Callable[[str], str | None]) -> None:
        self.answer = answer
        self.first_lines: list[str] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.ended = asyncio.Event()  # set once a connection has ended
        self.active_connections = 0  # established connections

    def load(self) -> float:
        """Return the load that the backend reports to a health check."""
        return 0.25

    async def open(self) -> int:
        """Start listening on a port of the system's choice. Return the port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=LINE_LIMIT_BYTES)
        return int(self.server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        established = 0
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
                    established = int(reply is not None)
                    self.active_connections += established
                else:
                    writer.write(b"re:" + line.encode() + b"\r\n")
            await writer.drain()
        self.active_connections -= established
        writer.close()
        self.ended.set()

    def kill(self) -> None:
        """Simulate a crash of the backend: stop listening and reset all connections."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


class LineDevice:
    """A client that speaks the platform's line protocol."""

    OPEN = "OPEN {id:016x} 7f3a9c21e0b4d655 c=visit-checkin,d={d},g=5c0f6e1a2b3d4c59{more}"
    IDS = count(0x9B1F03AA5C7E2D41)  # request ids; each connection uses a new one

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.id = next(self.IDS)

    @classmethod
    async def connect(cls, port: int) -> LineDevice:
        """Return a client that is connected to the given port of a relay."""
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    def write_line(self, line: str) -> None:
        """Send one line."""
        self.writer.write(line.encode() + b"\r\n")

    def open(self, d: int = 1500, more: str = "") -> None:
        """Send the request line with the deadline `d` in milliseconds and `more` as additional fields."""
        self.write_line(self.OPEN.format(id=self.id, d=d, more=more))

    async def line(self) -> str:
        """Return the next line, or "" at the end of the stream."""
        return str((await soon(self.reader.readline())).decode().removesuffix("\r\n"))

    async def rest(self) -> bytes:
        """Return all bytes up to the end of the connection, whether it is closed or reset."""
        received = b""
        with suppress(ConnectionResetError):
            while part := await soon(self.reader.read(1)):
                received += part
        return received

    async def ask(self, line: str) -> str:
        """Send a line. Return the next line that is received."""
        self.write_line(line)
        return await self.line()


class Program:
    """A running relay process, and the part of its log that has been read."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.log: list[str] = []
        self.ports: list[int] = []
        self.admin_port = 0  # 0 if the admin interface is off

    async def call(self, command: str) -> list[str]:
        """Send a command to the admin interface. Return the lines of the answer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.admin_port)
        writer.write(command.encode() + b"\r\n")
        try:
            answer: bytes = await soon(reader.read())
            return answer.decode().splitlines()
        finally:
            writer.close()

    async def metrics(self) -> dict[str, float]:
        """Return the metrics by name, parsed from the Prometheus text format."""
        first, *lines, last = await self.call("INFO")
        assert (first, last) == ("ok", "eof")
        return {name: float(value) for name, value in (line.rsplit(" ", 1) for line in lines)}

    async def line(self, pattern: str) -> re.Match[str]:
        """Read the log up to a line that matches `pattern`. Raises AssertionError if the log ends before it."""
        assert self.process.stderr
        while True:
            raw = await soon(self.process.stderr.readline())
            assert raw, "the relay process ended before the expected log line:\n" + "\n".join(self.log)
            self.log.append(raw.decode().rstrip())
            if match := re.search(pattern, self.log[-1]):
                return match

    async def counters(self) -> dict[str, int]:
        """Return the counters, which the process logs on SIGUSR1."""
        self.process.send_signal(signal.SIGUSR1)
        counters: dict[str, int] = json.loads((await self.line(r"counters (\{.*\})")).group(1))
        return counters

    async def stop(self) -> int:
        """End the process with SIGTERM and read the rest of its log. Return its exit status."""
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
        assert self.process.stderr
        self.log += (await soon(self.process.stderr.read())).decode().splitlines()
        return int(await soon(self.process.wait()))


def _write_files(
    folder: Path, config: dict[str, Any], quic: dict[str, Any] | None, fleet: dict[str, Any] | None
) -> dict[str, str]:
    """Write the relay's configuration files. Return the environment variables that hold their paths."""
    files = {
        "LB_CONFIG": ("config.json", config),
        "GRADEFRONT_QUIC": ("quic.json", quic or {"on": False}),
        "GRADEFRONT_FLEET": ("fleet.json", fleet or {"on": False}),
    }
    for name, content in files.values():
        (folder / name).write_text(json.dumps(content))
    return {variable: str(folder / name) for variable, (name, _) in files.items()}


@asynccontextmanager
async def program(  # noqa: PLR0913 - each caller passes only the few that it needs
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
    """Start a relay process on ports of the system's choice; on exit kill it, and close `discovery`.

    `folder` receives its configuration files. `listener`: a listening socket that the process inherits. `shared`: the
    folder that it shares with other processes of the same relay. `known`: its cached endpoint list. `quic` and
    `fleet`: the contents of these configuration files. `tree`: the checkout that contains `module`, the module to
    run. `environment`: additional variables.
    """
    if not discovery.serves:  # another process may already be watching this service
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
