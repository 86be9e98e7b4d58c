"""Cases of the QUIC suite: request classes, migration, changes of backends, resets and whole handshakes."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from gradefront.quic.headers import V1, reset_token, varint
from gradefront.quic.hello import MAX_HELLO_LENGTH
from gradefront.quic.initials import open_initial

from ..link import Impairment, Link
from ..quic import Device
from ..waiting import within
from .quic import (
    RESET_KEY,
    Client,
    Place,
    long_header,
    suite,
)

case = suite.case
SECOND_US = 1_000_000


def now_us() -> int:
    """Return the Unix time in microseconds."""
    return time.time_ns() // 1000


# ---- request classes


@case(
    "RFC 7301",
    "A class is told by the protocol or the name in a ClientHello, else by the port",
    "classes",
    over=["roster", "mqtt", ""],
)
async def class_by_protocol(place: Place, protocol: str) -> None:
    from ..quic import hello_frames

    client = await place.client()
    frames = hello_frames("feed.careshift.example" if protocol == "" else "other.example", protocol)
    client.send(client.initial(frames))
    assert open_initial(await client.packet(), client.first_id, from_client=False)


@case("RFC 9000 19.6", "A ClientHello in two datagrams, out of order and repeated, is put together", "classes")
async def hello_in_pieces(place: Place) -> None:
    from ..quic import hello_text

    text = hello_text("feed.careshift.example", "roster")
    client = await place.client()
    pieces = [b"\x06" + varint(at) + varint(len(part)) + part for at, part in ((0, text[:100]), (100, text[100:]))]
    second = client.initial(pieces[1])
    client.send(second, second)
    await client.expect_no_answer()
    place.nothing_reached()
    first = client.initial(pieces[0])
    client.send(first)
    received = [(await place.reached())[1] for _ in range(2)]
    assert received == [second, first], (
        "the backend must receive every datagram, in the order of arrival at the relay"
    )


@case(
    "design: classes",
    "A ClientHello that never becomes whole is served by the port's class",
    "classes",
    over=["half of it", "not TLS", "too long"],
)
async def hello_never_whole(place: Place, defect: str) -> None:
    client = await place.client()
    payload = {
        "half of it": b"\x06\x00\x40\x40\x01\x00\x02\x00" + bytes(60),
        "not TLS": b"\x06\x00\x04\x09\x00\x00\x00",
        "too long": b"\x06" + varint(MAX_HELLO_LENGTH) + b"\x04text",
    }[defect]
    client.send(client.initial(payload))
    await place.reached()
    assert open_initial(await client.packet(), client.first_id, from_client=False)


# ---- migration


@case("RFC 9000 9.3", "A client's new address reaches the same backend from another address, by a known id")
async def rebinding(place: Place) -> None:
    client, backend, backend_id, addr = await place.standing()
    for _ in range(4):
        await client.open()
        client.send_short(backend_id)
        receiver, _, new = await place.reached()
        assert receiver is backend and new != addr
        addr = new


@case("RFC 9000 9.5", "A client's new address with a fresh id reaches the same backend from another address")
async def active_migration(place: Place) -> None:
    client, backend, _, addr = await place.standing()
    await client.open()
    client.send_short(backend.new_id())
    receiver, _, new = await place.reached()
    assert receiver is backend and new != addr


@case("RFC 9000 9.3", "Answers go to the client address that their path stands for")
async def answers_by_path(place: Place) -> None:
    client, backend, backend_id, addr = await place.standing()
    old = client.received
    probe = Client(place)
    await probe.open()
    probe.client_id = client.client_id
    probe.send_short(backend_id)
    _, _, new = await place.reached()
    backend.wire.sendto(b"\x40" + client.client_id + b"to the new one", new)
    assert await probe.receive() == b"\x40" + client.client_id + b"to the new one"
    backend.wire.sendto(b"\x40" + client.client_id + b"to the old one", addr)
    assert await within(5, old.get()) == b"\x40" + client.client_id + b"to the old one"


@case("RFC 9000 9.1", "A second path is probed while the first one is in use; neither is disturbed")
async def probing(place: Place) -> None:
    client, backend, backend_id, addr = await place.standing()
    probe = await place.client()
    probe_id = backend.new_id()
    paths = set()
    for _ in range(5):
        client.send_short(backend_id)
        paths.add((await place.reached())[2])
        probe.send_short(probe_id)
        paths.add((await place.reached())[2])
    assert len(paths) == 2 and addr in paths


@case("RFC 9000 9.3", "A path that flaps between two addresses keeps one upstream address for each")
async def flapping(place: Place) -> None:
    client, backend, backend_id, addr = await place.standing()
    other = await place.client()
    upstream = []
    for n in range(10):
        (client if n % 2 else other).send_short(backend_id)
        upstream.append((await place.reached())[2])
    assert len(set(upstream)) == 2 and upstream[1] == addr and upstream[0::2] == [upstream[0]] * 5


@case("RFC 9000 9.3", "Two clients that swap their addresses each keep their backend")
async def swap(place: Place) -> None:
    first, first_backend, first_id, _ = await place.standing()
    second, second_backend, second_id, _ = await place.standing()
    first.send_short(second_id)
    assert (await place.reached())[0] is second_backend
    second.send_short(first_id)
    assert (await place.reached())[0] is first_backend


@case("RFC 9000 9.5", "A fresh id on a known path keeps the path")
async def fresh_id_same_path(place: Place) -> None:
    client, backend, _, addr = await place.standing()
    for _ in range(20):
        client.send_short(backend.new_id())
        assert (await place.reached())[::2] == (backend, addr)


@case("RFC 9000 5.1.2", "A connection may use hundreds of ids; the table of a visit stays bounded")
async def many_ids(place: Place) -> None:
    client, backend, first, addr = await place.standing()
    before = (await place.relay.counters())["quic_ids_now"]
    for _ in range(100):
        client.send_short(backend.new_id())
        await place.reached()
    assert (await place.relay.counters())["quic_ids_now"] - before <= 24
    client.send_short(first)
    assert (await place.reached())[::2] == (backend, addr), (
        "an id that was evicted from the table must still be routed by decoding it"
    )


@case("RFC 9000 5.1", "Where ports run out, paths share them and answers still find their client", "ports")
async def shared_ports(place: Place) -> None:
    clients = [await place.standing() for _ in range(12)]
    for n, (client, backend, backend_id, _) in enumerate(clients):
        client.send_short(backend_id)
        receiver, _, addr = await place.reached()
        assert receiver is backend
        answer = b"\x40" + client.client_id + b"%d" % n
        backend.wire.sendto(answer, addr)
        assert await client.receive() == answer
    counts = await place.relay.counters()
    assert counts["quic_ports_now"] <= 2 and counts["quic_paths_shared"] >= 4


@case("RFC 9000 5.2", "On a shared port an answer to an id that nobody knows still reaches its client", "ports")
async def unknown_id_on_a_shared_port(place: Place) -> None:
    clients = [await place.standing() for _ in range(12)]
    for client, backend, backend_id, _ in clients:
        client.send_short(backend_id)
        _, _, addr = await place.reached()
        answer = b"\x40" + os.urandom(8) + b"to a fresh id of the client's"
        backend.wire.sendto(answer, addr)
        while await client.receive() != answer:
            pass


# ---- changes of backends, and stateless resets


@asynccontextmanager
async def published(place: Place, backend: Any, phase: str) -> AsyncIterator[None]:
    """Publish `phase` for a backend in the endpoint list, and SERVING at exit.

    Wait at exit until the relay forwards to the backend again, so that the next case finds it in service.
    """
    place.discovery.publish(backend.name, phase)
    try:
        yield
    finally:
        place.discovery.publish(backend.name, "SERVING")
        probe = await place.client()
        while True:
            probe.send_short(backend.new_id())
            try:
                await within(0.1, place.inbox.get())
                break
            except TimeoutError:
                continue


@case("RFC 9000 10.3", "A gone backend's connections end with a stateless reset for the id used last")
async def gone_backend(place: Place) -> None:
    client, backend, _, _ = await place.standing()
    last = backend.new_id()
    client.send_short(last)
    await place.reached()
    async with published(place, backend, "DELETED"):
        reset = await client.receive()
        assert reset[-16:] == reset_token(RESET_KEY, last) and 21 <= len(reset) <= 43 and reset[0] & 0xC0 == 0x40
        client.send_short(last, b"x" * 60)
        repeated = await client.receive()
        assert repeated[-16:] == reset_token(RESET_KEY, last) and len(repeated) < 60 + len(last) + 1, (
            "a further packet must get the same reset, shorter than the packet"
        )
        client.send_short(last, b"")
        # RFC 9000 10.3.3: a reset must be shorter than the packet that it answers; this one leaves no room.
        await client.expect_no_answer()


@case("BRIEF rule 3", "Ids of a gone backend lead nowhere")
async def ids_of_a_gone_backend(place: Place) -> None:
    backend = place.backends[2]
    async with published(place, backend, "DELETED"):
        watch = await place.client()
        while (await place.relay.counters()).get("quic_dropped_gone_box", 0) == 0:
            watch.send_short(backend.new_id())
        while not place.inbox.empty():
            place.inbox.get_nowait()
        client = await place.client()
        client.send_short(backend.new_id())
        await client.expect_no_answer()
        place.nothing_reached()


@case("BRIEF rule 3", "A draining backend gets no Initial, also not one whose id names it; what stands goes on")
async def draining_backend(place: Place) -> None:
    client, backend, backend_id, _ = await place.standing()
    async with published(place, backend, "DRAINING"):
        await asyncio.sleep(0.5)
        while not place.inbox.empty():
            place.inbox.get_nowait()
        for n in range(12):
            new = await place.client()
            if n % 2:
                new.first_id = backend.new_id()
            new.send(new.initial())
            assert (await place.reached())[0] is not backend
        client.send_short(backend_id)
        receiver, data, _ = await place.reached()
        assert receiver is backend and data[0] < 0x80


@case("BRIEF rule 3", "0-RTT and stray Initials whose id names a draining backend don't reach it")
async def stray_to_a_draining_backend(place: Place) -> None:
    backend = place.backends[0]
    async with published(place, backend, "DRAINING"):
        await place.relay.line(f"backend {backend.name} is draining")
        client = await place.client()
        backend_id = backend.new_id()
        client.send(
            long_header(V1, backend_id, client.client_id, varint(400) + b"0-rtt..." * 50, 0xD0).ljust(1_200, b"\0"),
            client.initial(to_id=backend_id, keys_of=b"another relay's first id"),
        )
        await client.expect_no_answer()
        place.nothing_reached()


@case("RFC 9000 17.2.2", "A stray Initial of a connection that another relay set up goes on by its id")
async def stray_initial(place: Place) -> None:
    client = await place.client()
    backend = place.backends[1]
    datagram = client.initial(to_id=backend.new_id(), keys_of=b"another relay's first id")
    client.send(datagram)
    assert (await place.reached())[:2] == (backend, datagram)


# ---- whole handshakes


async def connect_and_exchange(front: tuple[str, int], rounds: int = 3, migrate: bool = False) -> Device:
    """Connect an aioquic device and verify the answer to each of `rounds` requests; return the device.

    With `migrate`, the device takes a new source port after each request, and every second time a fresh
    connection id.
    """
    device = Device(front)
    await device.start()
    for n in range(rounds):
        answer = await device.ask(f"round {n}")
        assert answer.endswith(f"has round {n}".encode())
        if migrate:
            await device.hop(fresh=n % 2 == 1)
    return device


@case("RFC 9000 7", "A whole handshake and requests of a real endpoint", "real", over=["once", "with migrations"])
async def real_handshake(place: Place, variant: str) -> None:
    (await connect_and_exchange(place.front, 8, migrate=variant != "once")).close()


@case(
    "RFC 9000 7.3",
    "A whole handshake through the relay's Retry: the endpoint checks both ids",
    "real retry",
    over=["once", "with migrations"],
)
async def real_retry(place: Place, variant: str) -> None:
    (await connect_and_exchange(place.front, 8, migrate=variant != "once")).close()


#: Impairments of the link between device and relay, by the label in the case's name.
LINKS = {
    "5% loss": Impairment(loss=0.05),
    "20% loss": Impairment(loss=0.2),
    "bursts of loss": Impairment(loss=0.1, burst=4),
    "delay of 80 ms": Impairment(delay=0.08),
    "reordering": Impairment(delay=0.002, jitter=0.03),
    "duplication": Impairment(duplicate=0.5),
    "corruption": Impairment(corrupt=0.05),
    "an MTU of 1,280": Impairment(mtu=1_252),
    "all at once": Impairment(loss=0.05, delay=0.01, jitter=0.02, duplicate=0.1, corrupt=0.02),
}


@case("RFC 9002", "Real endpoints come up and are served over an impaired link", "real", over=list(LINKS))
async def impaired(place: Place, name: str) -> None:
    link = Link(place.front, LINKS[name])
    await link.open()
    try:
        (await connect_and_exchange(link.address, 5)).close()
    finally:
        link.close()


@case(
    "RFC 9002",
    "Real endpoints migrate over an impaired link",
    "real",
    over=["delay of 80 ms", "reordering", "duplication"],
)
async def impaired_migration(place: Place, name: str) -> None:
    link = Link(place.front, LINKS[name], seed=7)
    await link.open()
    try:
        (await connect_and_exchange(link.address, 6, migrate=True)).close()
    finally:
        link.close()


@case(
    "RFC 9002",
    "Real endpoints get through the relay's Retry over an impaired link",
    "real retry",
    over=["20% loss", "reordering", "all at once"],
)
async def impaired_retry(place: Place, name: str) -> None:
    link = Link(place.front, LINKS[name], seed=3)
    await link.open()
    try:
        (await connect_and_exchange(link.address, 4)).close()
    finally:
        link.close()
