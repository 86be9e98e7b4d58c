"""Stand-ins for the outside: discovery, backends, clients; and the program itself, started."""

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

HERE = Path(__file__).resolve().parent.parent  # this checkout
BUSY_S = 0.5  # what a machine that is busy with other work may add to a figure, without another verdict
PATIENCE_S = 40.0  # against a hang only; no verdict rests on it


def settings(aim_ms: int = 300, deadline_ms: int = 1500, **permissions: object) -> dict[str, Any]:
    """Settings in the platform's form."""
    grade = {
        "aimUs": aim_ms * 1000,
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


async def soon(what: Any) -> Any:
    """Wait for something, but not for ever."""
    return await asyncio.wait_for(what, PATIENCE_S)


ALIVE_S = 1.0  # between two empty lines of a watch; a relay waits 3 s for one


class Discovery:
    """The endpoint list's service: answers watches, and tells changes when the test says."""

    def __init__(self) -> None:
        self.members: dict[str, dict[str, Any]] = {}
        self.revision = 1
        self.watches: list[asyncio.StreamWriter] = []
        self.asked = asyncio.Event()
        self.silent = False  # says nothing while nothing changes, as one that is cut off
        self.held = False  # takes calls and answers none of them until released
        self.called = asyncio.Event()
        self.released = asyncio.Event()

    def release(self) -> None:
        """Answer the calls that wait, and all others."""
        self.held = False
        self.released.set()

    async def open(self) -> None:
        self.server = await asyncio.start_server(self._watch, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def serves(self) -> bool:
        return hasattr(self, "server") and self.server.is_serving()

    def add(self, backend: str, port: int) -> None:
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
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    async def _watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            self.called.set()
            if self.held:
                await self.released.wait()
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._chunk(writer, self.list())
            self._alive(writer)
            self.watches.append(writer)
            self.asked.set()

    def _alive(self, writer: asyncio.StreamWriter) -> None:
        """An empty line now and then: a watch without one counts as cut off."""
        if not writer.is_closing() and not self.silent:
            writer.write(b"1\r\n\n\r\n")
            asyncio.get_running_loop().call_later(ALIVE_S, self._alive, writer)

    @staticmethod
    def _chunk(writer: asyncio.StreamWriter, told: dict[str, Any]) -> None:
        line = json.dumps(told).encode() + b"\n"
        for part in (line[:7], line[7:]):  # chunks need not be whole lines
            writer.write(b"%x\r\n%s\r\n" % (len(part), part))

    def tell(self, backend: str, phase: str) -> float:
        """Tell a change to all who watch; returns when."""
        self.members[backend]["phase"] = phase
        self.revision += 1
        change = {"revision": self.revision, "complete": False, "members": [dict(self.members[backend])]}
        for writer in self.watches:
            self._chunk(writer, change)
        return time.monotonic()


class StandInBackend:
    """A backend on the platform's lines. `answer` makes its reply to a first line; None is silence."""

    def __init__(self, answer: Callable[[str], str | None]) -> None:
        self.answer = answer
        self.first_lines: list[str] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.ended = asyncio.Event()
        self.standing = 0  # connections that it serves

    def load(self) -> float:
        """What it reports when it is probed."""
        return 0.25

    async def open(self) -> int:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
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
        """Vanish as a machine that loses power: nothing listens, what stood is reset."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


class LineDevice:
    """A client on the platform's lines."""

    OPEN = "OPEN {id:016x} 7f3a9c21e0b4d655 c=visit-checkin,d={d},g=5c0f6e1a2b3d4c59{more}"
    IDS = count(0x9B1F03AA5C7E2D41)  # each connection has a new one

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.id = next(self.IDS)

    @classmethod
    async def connect(cls, port: int) -> LineDevice:
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    def say(self, line: str) -> None:
        self.writer.write(line.encode() + b"\r\n")

    def open(self, d: int = 1500, more: str = "") -> None:
        self.say(self.OPEN.format(id=self.id, d=d, more=more))

    async def line(self) -> str:
        """The next line, or "" at the end."""
        return str((await soon(self.reader.readline())).decode().removesuffix("\r\n"))

    async def rest(self) -> bytes:
        """What still comes before the end, be that orderly or a reset."""
        got = b""
        with suppress(ConnectionResetError):
            while part := await soon(self.reader.read(1)):
                got += part
        return got

    async def ask(self, line: str) -> str:
        self.say(line)
        return await self.line()


class Program:
    """The real program, started with a file of its own, its log read as it comes."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.log: list[str] = []
        self.ports: list[int] = []
        self.door = 0  # the operators' port, where there is one

    async def call(self, call: str) -> list[str]:
        """Call at the admin interface; the lines of the answer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.door)
        writer.write(call.encode() + b"\r\n")
        try:
            answer: bytes = await soon(reader.read())
            return answer.decode().splitlines()
        finally:
            writer.close()

    async def figures(self) -> dict[str, float]:
        """The figures, as any reader of Prometheus' form takes them."""
        first, *told, last = await self.call("INFO")
        assert (first, last) == ("ok", "eof")
        return {name: float(value) for name, value in (line.rsplit(" ", 1) for line in told)}

    async def line(self, pattern: str) -> re.Match[str]:
        """Read the log up to a line that matches."""
        assert self.process.stderr
        while True:
            raw = await soon(self.process.stderr.readline())
            assert raw, "the program ended:\n" + "\n".join(self.log)
            self.log.append(raw.decode().rstrip())
            if found := re.search(pattern, self.log[-1]):
                return found

    async def counters(self) -> dict[str, int]:
        """Ask for the counters by signal."""
        self.process.send_signal(signal.SIGUSR1)
        told: dict[str, int] = json.loads((await self.line(r"counters (\{.*\})")).group(1))
        return told

    async def stop(self) -> int:
        """A planned stop."""
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
        assert self.process.stderr
        self.log += (await soon(self.process.stderr.read())).decode().splitlines()
        return int(await soon(self.process.wait()))


@asynccontextmanager
async def program(
    folder: Path,
    discovery: Discovery,
    told: dict[str, Any],
    quic: dict[str, Any] | None = None,
    admin: bool = False,
    listener: socket.socket | None = None,
    shared: Path | None = None,
    known: dict[str, Any] | None = None,
    fleet: dict[str, Any] | None = None,
    name: str = "n0",
    tree: Path = HERE,
    module: str = "gradefront",
    environment: dict[str, str] | None = None,
) -> AsyncIterator[Program]:
    """Start the program; its ports are the system's choice. With a listener it inherits that; `shared` is the folder
    that it has in common with other processes of its relay; `known` the list that it has from before;
    `fleet` its file of the fleet; `tree` the checkout whose program it is, `module` what is run of it; `environment`
    further variables."""
    if not discovery.serves:  # another process may be watching it already
        await discovery.open()
    config = {
        "name": name,
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery.port}",
        "seed": "1f",
        "limits": {"sockets": 512},
        "known": known or discovery.list(),
        "settings": told,
    }
    if admin:
        config["admin"] = "127.0.0.1:0"
    (folder / "config.json").write_text(json.dumps(config))
    (folder / "quic.json").write_text(json.dumps(quic or {"on": False}))
    (folder / "fleet.json").write_text(json.dumps(fleet or {"on": False}))
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
            "LB_CONFIG": str(folder / "config.json"),
            "GRADEFRONT_QUIC": str(folder / "quic.json"),
            "GRADEFRONT_FLEET": str(folder / "fleet.json"),
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
            running.door = int((await running.line(r"admin interface at \S+:(\d+)")).group(1))
        yield running
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
        discovery.server.close()
