"""A TCP proxy with faults: connections that are late, are reset before or during a request, or dribble.

It stands between relays and one backend. A connection's faults are drawn from a seed as it is accepted.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass
from random import Random

PIECE_BYTES = 7  # of a line that dribbles
PIECE_INTERVAL_S = 0.004
READ_BYTES = 65536


@dataclass(frozen=True)
class Faults:
    """Probabilities from 0 to 1, and times in seconds."""

    late: float = 0.0  # nothing is forwarded for up to `late_s`
    late_s: float = 0.12
    reset_before: float = 0.0  # reset as soon as it is accepted
    reset_under: float = 0.0  # reset once the request has been forwarded
    dribble: float = 0.0  # the backend's first answer comes in pieces


class FaultProxy:
    """The proxy of the backend at `port`."""

    def __init__(self, port: int, faults: Faults, seed: int) -> None:
        self.target = port
        self.faults = faults
        self.random = Random(seed)
        self.counts: Counter[str] = Counter()
        self.links: set[asyncio.StreamWriter] = set()
        self.closed = False

    async def open(self) -> int:
        """Listens. Returns the port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Stops listening and resets all connections."""
        self.closed = True
        self.server.close()
        for writer in list(self.links):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.links.add(writer)
        try:
            with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):  # also at the loop's end
                await self._link(reader, writer)
        finally:
            self.links.discard(writer)
            writer.close()

    async def _link(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        faults, draw = self.faults, self.random.random
        late, before, under, dribble = (
            draw() < chance for chance in (faults.late, faults.reset_before, faults.reset_under, faults.dribble)
        )
        if late:
            self.counts["late"] += 1
            await asyncio.sleep(self.random.uniform(0, faults.late_s))
        if before:
            self.counts["reset before"] += 1
            writer.transport.abort()
            return
        there_reader, there = await asyncio.open_connection("127.0.0.1", self.target)
        try:
            first = await reader.readuntil(b"\n")
            there.write(first)
            if under and first.startswith(b"OPEN"):
                self.counts["reset under"] += 1
                await there.drain()
                writer.transport.abort()
                return
            if dribble:
                self.counts["dribbled"] += 1
                await _dribble(await there_reader.readuntil(b"\n"), writer)
            await _until_either_ends(_forward(reader, there), _forward(there_reader, writer))
        finally:
            there.close()


async def _dribble(line: bytes, writer: asyncio.StreamWriter) -> None:
    """Forwards a line in pieces."""
    for at in range(0, len(line), PIECE_BYTES):
        writer.write(line[at : at + PIECE_BYTES])
        await writer.drain()
        await asyncio.sleep(PIECE_INTERVAL_S)


async def _forward(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Forwards all, to the end."""
    while data := await reader.read(READ_BYTES):
        writer.write(data)
        await writer.drain()


async def _until_either_ends(*directions: object) -> None:
    """Runs both directions until one of them ends."""
    tasks = [asyncio.ensure_future(direction) for direction in directions]  # type: ignore[call-overload]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
