"""Hostile peers, each kind a function that runs until a given time: slow writers, floods, ever new names.

`python -m lab.hostile_peers KIND TARGET SECONDS` runs one kind, from when it can read a line on standard input, and
prints how many connections or messages it made. TARGET is a port on loopback, or the path of the handover socket. A
kind that plays discovery listens on the port, and until then serves the list in the variable ENDPOINT_LIST. What it
prints is JSON, with the times at which clients closed.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import struct
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import suppress
from itertools import count
from typing import Any

from gradefront.quic.headers import V1, varint
from gradefront.quic.initials import seal_initial

from .waiting import within

HOST = "127.0.0.1"
CROWD = 300  # connections at once
BYTE_INTERVAL_S = 0.02
BURST = 1 << 16  # bytes in one write
HEARTBEAT_S = 0.5
RETRY_S = 0.02  # after a connection was refused or reset
REQUEST = "OPEN {id:016x} 7f3a9c21e0b4d655 c=visit-checkin,d=1500,g={id:016x}"
MANY_FIELDS = ",".join(f"{chr(97 + n % 26)}{n}=1" for n in range(560))
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
MEMBER = '{"id":"%s","host_port":"127.0.0.1:9","phase":"DRAINING"%s}'
INITIAL_BYTES = 1_162  # of an Initial's payload, padding included
HELLO_BYTES = 3_000  # of the ClientHello that the crumbs are part of
CRUMBS_PER_PACKET = 190
FIRST_ID = int.from_bytes(os.urandom(7)) << 8
IDS = count(FIRST_ID)
ACKNOWLEDGED = struct.Struct("=120xQ")  # start of Linux' `struct tcp_info`, up to `tcpi_bytes_acked`


def request(more: str = "") -> bytes:
    """Return a request line with a new id."""
    return (REQUEST.format(id=next(IDS)) + more + "\r\n").encode()


class Until:
    """The end of a play, and what was made until then.

    `octets`: sent on connections. `closed_s`: when clients closed, by connection id, on the monotonic clock.
    """

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.begun = asyncio.Event()
        self.end_s = 0.0
        self.made = 0
        self.octets = 0
        self.closed_s: dict[str, float] = {}

    def begin(self) -> None:
        """Begin the play."""
        self.end_s = time.monotonic() + self.seconds
        self.begun.set()

    def __bool__(self) -> bool:
        return time.monotonic() < self.end_s

    async def pause(self, seconds: float) -> None:
        """Wait, at most until the end."""
        await asyncio.sleep(max(0.0, min(seconds, self.end_s - time.monotonic())))


Play = Callable[[str, Until], Coroutine[Any, Any, None]]
Talk = Callable[[asyncio.StreamReader, asyncio.StreamWriter, Until], Awaitable[None]]


async def read_to_end(reader: asyncio.StreamReader, until: Until) -> None:
    """Read and discard until the peer closes."""
    with suppress(TimeoutError):
        async with asyncio.timeout(max(0.0, until.end_s - time.monotonic())):
            while await reader.read(BURST):
                pass


async def connect_again_and_again(target: str, until: Until, talk: Talk) -> None:
    """Connect, talk, and connect again once the connection has ended."""
    while until:
        try:
            reader, writer = await asyncio.open_connection(HOST, int(target))
        except OSError:
            await until.pause(RETRY_S)
            continue
        until.made += 1
        try:
            await talk(reader, writer, until)
        except (OSError, asyncio.IncompleteReadError):
            await until.pause(RETRY_S)
        finally:
            until.octets += acknowledged_octets(writer)
            writer.close()


def acknowledged_octets(writer: asyncio.StreamWriter) -> int:
    """Return how many octets the peer's kernel has received; 0 if the connection is closed here."""
    try:
        info = writer.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, ACKNOWLEDGED.size)
        (octets,) = ACKNOWLEDGED.unpack(info)
    except (OSError, struct.error):
        return 0
    return int(octets)


def crowd(talk: Talk, size: int = CROWD) -> Play:
    """Return a play in which so many peers connect again and again."""

    async def play(target: str, until: Until) -> None:
        await asyncio.gather(*(connect_again_and_again(target, until, talk) for _ in range(size)))

    return play


async def write_slowly(_: asyncio.StreamReader, writer: asyncio.StreamWriter, until: Until) -> None:
    """Write a request byte by byte."""
    for byte in request("," + MANY_FIELDS[:3_800]):
        writer.write(bytes([byte]))
        await writer.drain()
        await until.pause(BYTE_INTERVAL_S)


async def stop_half_way(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, until: Until) -> None:
    """Write half of a request of almost 4 KiB, then only read."""
    writer.write(request("," + MANY_FIELDS[:3_900])[:-2])
    await read_to_end(reader, until)


async def send_many_fields(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, _: Until) -> None:
    """Send a request of hundreds of short fields, and wait for the answer."""
    writer.write(request("," + MANY_FIELDS))
    await within(5.0, reader.readline())


async def send_lines_on_standing_connection(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, until: Until
) -> None:
    """Establish a connection, then send `x` lines at full speed and read what comes back."""
    writer.write(request())
    await reader.readline()
    reading = asyncio.create_task(read_to_end(reader, until))
    while until:
        writer.write(b"x\r\n" * (BURST // 3))
        await writer.drain()
        until.made += BURST // 3
    reading.cancel()


async def send_unsound_lines(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, until: Until) -> None:
    """Send lines that can't be read, and read to the end."""
    writer.write(b"\r\n" * (BURST // 2))
    await read_to_end(reader, until)


async def come_under_new_names(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, _: Until) -> None:
    """Establish a connection under a new id and leave."""
    writer.write(request())
    await reader.readline()


async def close_with_unread_data(_: asyncio.StreamReader, writer: asyncio.StreamWriter, until: Until) -> None:
    """Send a request and most of another line, and close at once, every second time with a reset."""
    line = request()
    writer.write(line + b"y" * 3_900)
    if until.made % 2:
        linger = b"\1\0\0\0\0\0\0\0"
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.close()
    until.closed_s[line.split()[1].decode()] = time.monotonic()


async def come_again_under_an_id(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, until: Until) -> None:
    """Establish a connection, leave, and come again with the same request."""
    line = request()
    writer.write(line)
    await reader.readline()
    writer.close()
    _, again = await asyncio.open_connection(*writer.get_extra_info("peername")[:2])
    again.write(line)
    await until.pause(RETRY_S)
    again.close()


def admin_call(command: bytes) -> Talk:
    """Return a talk that sends one admin command."""

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, until: Until) -> None:
        writer.write(command)
        await read_to_end(reader, until)

    return talk


def discovery(body: Callable[[Until], AsyncIterator[bytes]]) -> Play:
    """Return a play of discovery, which answers each call with the bytes of `body`, in chunks."""

    async def play(target: str, until: Until) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                # CancelledError occurs when the event loop closes.
                with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                    await answer(reader, writer)
            finally:
                writer.close()

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD)
            while not until.begun.is_set():
                usual = os.environ["ENDPOINT_LIST"].encode() + b"\n"
                writer.write(b"%x\r\n%s\r\n" % (len(usual), usual))
                await asyncio.sleep(HEARTBEAT_S)
            async for data in body(until):
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await writer.drain()
                until.made += 1
                until.octets += len(data)

        server = await asyncio.start_server(serve, HOST, int(target))
        await until.begun.wait()
        await until.pause(until.end_s - time.monotonic())
        server.close()

    return play


def document(members: str) -> bytes:
    """Return an object of changes."""
    return f'{{"revision":{next(IDS) - FIRST_ID + 2},"complete":false,"members":[{members}]}}\n'.encode()


async def slow_list(until: Until) -> AsyncIterator[bytes]:
    """Write an object byte by byte."""
    for byte in document(",".join(MEMBER % (n, "") for n in range(50))):
        yield bytes([byte])
        await until.pause(BYTE_INTERVAL_S)


async def half_list(until: Until) -> AsyncIterator[bytes]:
    """Write half of an object of almost the greatest length."""
    yield document(MEMBER % ("x", ',"a":[' + "1," * 30_000))[:-10]
    await until.pause(60.0)


async def list_of_many_fields(until: Until) -> AsyncIterator[bytes]:
    """Write members of many short fields, under ever new names."""
    fields = "".join(f',"f{n}":{n}' for n in range(5_000))
    while until:
        yield document(MEMBER % (f"many-{next(IDS)}", fields))


async def small_objects(until: Until) -> AsyncIterator[bytes]:
    """Write small objects at full speed."""
    while until:
        yield b"{}\n" * (BURST // 3)


async def unsound_members(until: Until) -> AsyncIterator[bytes]:
    """Write objects with members that can't be read, at full speed."""
    while until:
        yield b'{"members":[{"id":1},2,{}]}\n' * 2_000


async def new_names(until: Until) -> AsyncIterator[bytes]:
    """Write members under ever new names, at full speed."""
    while until:
        yield document(",".join(MEMBER % (next(IDS), "") for _ in range(500)))


def handover(make: Callable[[], bytes], keeps_open: bool) -> Play:
    """Return a play that sends messages to the handover socket at full speed, or one and then keeps still."""

    async def play(target: str, until: Until) -> None:
        while until:
            with suppress(OSError), socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
                sock.settimeout(0.5)
                sock.connect(target)
                sock.send(make())
                until.made += 1
                while until and not keeps_open:
                    sock.send(make())
                    until.made += 1
                await until.pause(RETRY_S)

    return play


def crumbs(first_byte: int) -> bytes:
    """Return the payload of an Initial with many CRYPTO frames of one byte, from an offset in the ClientHello on."""
    offsets = range(first_byte, min(first_byte + 2 * CRUMBS_PER_PACKET, HELLO_BYTES), 2)
    return b"".join(b"\x06" + varint(offset) + varint(1) + b"x" for offset in offsets).ljust(INITIAL_BYTES, b"\0")


def initials(ids: int, payload: Callable[[int], bytes], interval_s: float) -> Play:
    """Return a play that sends Initials from one address, in turn for `ids` connections (0: ever new ones)."""

    async def play(target: str, until: Until) -> None:
        known = [os.urandom(8) for _ in range(ids)]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.connect((HOST, int(target)))
            sock.setblocking(False)
            while until:
                first_id = known[until.made % ids] if ids else os.urandom(8)
                part = until.made // ids if ids else 0
                data = payload(part * 2 * CRUMBS_PER_PACKET % HELLO_BYTES)
                with suppress(OSError):
                    until.octets += sock.send(
                        seal_initial(V1, first_id, first_id, b"hostile!", data, True, number=part % 60_000)
                    )
                until.made += 1
                await asyncio.sleep(interval_s)

    return play


async def close_after_initial(target: str, until: Until) -> None:
    """Send an Initial, a close, and the Initial again."""
    hello, close = (b"\x06\x00\x04text").ljust(INITIAL_BYTES, b"\0"), b"\x1c\x00\x00\x00".ljust(INITIAL_BYTES, b"\0")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.connect((HOST, int(target)))
        while until:
            first_id = os.urandom(8)
            for number, payload in enumerate((hello, close, hello)):
                sock.send(seal_initial(V1, first_id, first_id, b"hostile!", payload, True, number=number))
            until.made += 1
            await until.pause(RETRY_S)


KINDS: dict[str, Play] = {
    "lines-a-slow": crowd(write_slowly),
    "lines-a-half": crowd(stop_half_way),
    "lines-a-fields": crowd(send_many_fields),
    "lines-b-standing": crowd(send_lines_on_standing_connection, 1),
    "lines-b-unsound": crowd(send_unsound_lines, 1),
    "lines-b-names": crowd(come_under_new_names, 1),
    "lines-c-unread": crowd(close_with_unread_data, 50),
    "lines-c-again": crowd(come_again_under_an_id, 20),
    "admin-a-slow": crowd(write_slowly),
    "admin-a-half": crowd(stop_half_way),
    "admin-b-info": crowd(admin_call(b"INFO\n"), 1),
    "admin-b-unsound": crowd(send_unsound_lines, 1),
    "list-a-slow": discovery(slow_list),
    "list-a-half": discovery(half_list),
    "list-a-fields": discovery(list_of_many_fields),
    "list-b-small": discovery(small_objects),
    "list-b-unsound": discovery(unsound_members),
    "list-b-names": discovery(new_names),
    "handover-a-half": handover(lambda: b"HANDOVER 2 1 1\n" + b"{" * 20_000, True),
    "handover-b-unsound": handover(lambda: b"x", False),
    "handover-b-names": handover(lambda: b"HANDOVER 2 %d 1\n{}" % (next(IDS) % 10**9), False),
    "quic-a-crumbs": initials(CROWD, crumbs, 0.001),
    "quic-b-crumbs": initials(1, crumbs, 0.0),
    "quic-b-unsound": initials(0, lambda _: b"\xff" * INITIAL_BYTES, 0.0),
    "quic-b-names": initials(0, lambda _: (b"\x06\x00\x04text").ljust(INITIAL_BYTES, b"\0"), 0.0),
    "quic-c-close": close_after_initial,
}


async def main(kind: str, target: str, seconds: float) -> None:
    """Run one kind, once a line can be read on standard input."""
    until = Until(seconds)
    discovery_play = asyncio.create_task(KINDS[kind](target, until)) if kind.startswith("list-") else None
    await asyncio.to_thread(sys.stdin.readline)
    until.begin()
    await (discovery_play or KINDS[kind](target, until))
    print(json.dumps({"made": until.made, "octets": until.octets, "closed_s": until.closed_s}))


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], sys.argv[2], float(sys.argv[3])))
