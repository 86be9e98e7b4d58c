"""The lab's stand-ins keep the protocols that they stand in for."""

from __future__ import annotations

import asyncio

from lab import stand_ins


def test_a_watch_on_the_stand_in_for_discovery_shows_signs_of_life() -> None:
    """Guards against a relay that takes a slow test's watch for one that is cut off, and polls."""

    async def play() -> None:
        discovery = stand_ins.Discovery()
        await discovery.open()
        reader, writer = await asyncio.open_connection("127.0.0.1", discovery.port)
        writer.write(b"GET /discovery/hosts?stream=1&index=0 HTTP/1.1\r\n\r\n")
        for _ in range(2):
            await stand_ins.soon(reader.readuntil(b"\r\n1\r\n\n\r\n"))
        writer.close()
        discovery.server.close()

    assert stand_ins.KEEP_ALIVE_S < 2.0, "what the protocol page tells relays to expect"
    asyncio.run(play())
