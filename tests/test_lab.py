"""Tests of the lab's stand-ins: they must follow the protocols of the services that they replace."""

from __future__ import annotations

import asyncio
import gc
import sys

import pytest

from lab import stand_ins


def test_the_stand_in_discovery_service_sends_keep_alive_lines_on_a_watch() -> None:
    """Guards against a relay that treats the watch of a slow test as cut off, and polls instead."""

    async def watch() -> None:
        discovery = stand_ins.Discovery()
        await discovery.open()
        reader, writer = await asyncio.open_connection("127.0.0.1", discovery.port)
        writer.write(b"GET /discovery/hosts?stream=1&index=0 HTTP/1.1\r\n\r\n")
        for _ in range(2):
            await stand_ins.soon(reader.readuntil(b"\r\n1\r\n\n\r\n"))
        writer.close()
        discovery.server.close()

    assert stand_ins.KEEP_ALIVE_S < 2.0, "the protocol documentation tells relays to expect a line this often"
    asyncio.run(watch())


def test_a_watch_that_is_open_when_its_event_loop_closes_raises_nothing_later(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a traceback formatted while another test parses source: that parser call then fails."""

    async def open_watch() -> None:
        discovery = stand_ins.Discovery()
        await discovery.open()
        reader, writer = await asyncio.open_connection("127.0.0.1", discovery.port)
        writer.write(b"GET /discovery/hosts?stream=1&index=0 HTTP/1.1\r\n\r\n")
        await stand_ins.soon(reader.readuntil(b"\r\n1\r\n\n\r\n"))
        writer.close()
        discovery.server.close()

    raised: list[object] = []
    gc.collect()
    monkeypatch.setattr(sys, "unraisablehook", lambda unraisable: raised.append(unraisable.exc_value))
    asyncio.run(open_watch())
    gc.collect()
    assert not raised
