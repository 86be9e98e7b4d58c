"""A TCP proxy that injects faults: delayed connections, resets before or after a request, fragmented answers.

It sits between relays and one backend. The faults of a connection are drawn from a seeded generator when the
connection is accepted.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass
from random import Random

FRAGMENT_BYTES = 7  # length of one fragment of an answer
FRAGMENT_INTERVAL_S = 0.004  # between two fragments
READ_BYTES = 65536


@dataclass(frozen=True)
class Faults:
    """The faults of a proxy: probabilities per connection from 0 to 1, and times in seconds."""

    delayed: float = 0.0  # nothing is forwarded for up to `max_delay_s`
    max_delay_s: float = 0.12
    reset_on_accept: float = 0.0  # the connection is reset as soon as it is accepted
    reset_after_request: float = 0.0  # the connection is reset once the request has been forwarded
    fragmented: float = 0.0  # the backend's first answer is sent in fragments


class FaultProxy:
    """A proxy in front of the backend at loopback port `port`."""

    def __init__(self, port: int, faults: Faults, seed: int) -> None:
        self.backend_port = port
        self.faults = faults
        self.random = Random(seed)
        self.counts: Counter[str] = Counter()
        self.client_writers: set[asyncio.StreamWriter] = set()
        self.closed = False

    async def open(self) -> int:
        """Start listening on a port of the system's choice. Return the port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self.closed = True
        self.server.close()
        for writer in list(self.client_writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.client_writers.add(writer)
        try:
            # CancelledError occurs when the event loop closes.
            with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                await self._proxy_connection(reader, writer)
        finally:
            self.client_writers.discard(writer)
            writer.close()

    async def _proxy_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        faults, draw = self.faults, self.random.random
        delayed, reset_at_once, reset_later, fragmented = (
            draw() < probability
            for probability in (faults.delayed, faults.reset_on_accept, faults.reset_after_request, faults.fragmented)
        )
        if delayed:
            self.counts["delayed"] += 1
            await asyncio.sleep(self.random.uniform(0, faults.max_delay_s))
        if reset_at_once:
            self.counts["reset on accept"] += 1
            writer.transport.abort()
            return
        backend_reader, backend_writer = await asyncio.open_connection("127.0.0.1", self.backend_port)
        try:
            first_line = await reader.readuntil(b"\n")
            backend_writer.write(first_line)
            if reset_later and first_line.startswith(b"OPEN"):
                self.counts["reset after request"] += 1
                await backend_writer.drain()
                writer.transport.abort()
                return
            if fragmented:
                self.counts["fragmented"] += 1
                await _forward_in_fragments(await backend_reader.readuntil(b"\n"), writer)
            await _until_either_ends(_forward(reader, backend_writer), _forward(backend_reader, writer))
        finally:
            backend_writer.close()


async def _forward_in_fragments(line: bytes, writer: asyncio.StreamWriter) -> None:
    """Forward a line in small fragments with pauses between them."""
    for offset in range(0, len(line), FRAGMENT_BYTES):
        writer.write(line[offset : offset + FRAGMENT_BYTES])
        await writer.drain()
        await asyncio.sleep(FRAGMENT_INTERVAL_S)


async def _forward(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Forward data until the reader reaches the end of its stream."""
    while data := await reader.read(READ_BYTES):
        writer.write(data)
        await writer.drain()


async def _until_either_ends(*directions: object) -> None:
    """Run both directions until one of them ends."""
    tasks = [asyncio.ensure_future(direction) for direction in directions]  # type: ignore[call-overload]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
