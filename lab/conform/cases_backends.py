"""Cases of the QUIC suite: behaviour of backends, and routing by connection id."""

from __future__ import annotations

import os
import time
from typing import Any

from gradefront.quic.headers import V1, Kind, reset_token, split, varint
from gradefront.quic.initials import CONNECTION_REFUSED, make_retry, open_initial, seal_initial

from .quic import (
    RESET_KEY,
    Place,
    long_header,
    suite,
    with_last_bit_flipped,
)
from .raw_backend import FORMS, SERVER_HELLO, close_with_error, refuse, serve, stay_silent

case = suite.case
SECOND_US = 1_000_000


def now_us() -> int:
    """Return the Unix time in microseconds."""
    return time.time_ns() // 1000


# ---- behaviour of backends


@case("BRIEF rule 2", "A backend that refuses is left for another at once")
async def refusing_backend_is_left(place: Place) -> None:
    def first_refuses(backend: Any, packet: Any, addr: Any) -> None:
        (serve if tried else refuse)(backend, packet, addr)
        tried.append(backend)

    tried: list[Any] = []
    place.set_handler(first_refuses)
    client = await place.client()
    client.send(client.initial())
    opened = open_initial(await client.packet(), client.first_id, from_client=False)
    assert opened and opened.crypto and len(tried) == 2 and tried[0] is not tried[1]


@case("BRIEF rule 1", "A backend's error is the module's to judge: the client is answered at once")
async def failing_backend(place: Place) -> None:
    place.set_handler(close_with_error)
    client = await place.client()
    began = time.monotonic()
    client.send(client.initial())
    assert await client.closed() == CONNECTION_REFUSED and time.monotonic() - began < 1.2


@case("BRIEF rule 1", "Where all backends refuse, the client is closed with CONNECTION_REFUSED and a pause")
async def all_refuse(place: Place) -> None:
    place.set_handler(refuse)
    client = await place.client()
    client.send(client.initial())
    assert await client.closed() == CONNECTION_REFUSED


@case("BRIEF rule 2", "At most four attempts, another backend each, never two out at once")
async def four_attempts_at_most(place: Place) -> None:
    def record_and_refuse(backend: Any, packet: Any, addr: Any) -> None:
        tried.append(backend)
        refuse(backend, packet, addr)

    tried: list[Any] = []
    place.set_handler(record_and_refuse)
    client = await place.client()
    client.send(client.initial())
    await client.closed()
    assert 1 <= len(tried) <= 4 and all(a is not b for a, b in zip(tried, tried[1:], strict=False))


@case("BRIEF rule 1", "A client that repeats its Initial after the answer gets the same answer, and nobody is tried")
async def answer_is_given_again(place: Place) -> None:
    place.set_handler(refuse)
    client = await place.client()
    datagram = client.initial()
    client.send(datagram)
    first = await client.receive()
    while not place.inbox.empty():
        place.inbox.get_nowait()
    client.send(datagram)
    assert await client.receive() == first
    place.nothing_reached()


@case("RFC 9000 8.1", "The final answer is smaller than a third of what it answers")
async def answer_is_small(place: Place) -> None:
    place.set_handler(refuse)
    client = await place.client()
    client.send(client.initial())
    assert len(await client.receive()) < 400


@case("BRIEF rule 1", "Silent backends: the client is answered before it gives up")
async def silent_backends(place: Place) -> None:
    place.set_handler(stay_silent)
    client = await place.client()
    began = time.monotonic()
    client.send(client.initial())
    assert await client.closed() == CONNECTION_REFUSED
    assert time.monotonic() - began < 1.2 + 0.5


@case("RFC 9001 5.2", "An answer that isn't sound doesn't count", over=["bent", "another client's keys", "noise"])
async def unsound_answer(place: Place, defect: str) -> None:
    def answer_unsoundly(backend: Any, packet: Any, addr: Any) -> None:
        if defect == "noise":
            backend.wire.sendto(os.urandom(60), addr)
        else:
            datagram = seal_initial(
                V1, b"other-id" if defect != "bent" else packet.to_id, packet.from_id, backend.new_id(), SERVER_HELLO
            )
            backend.wire.sendto(datagram if defect != "bent" else with_last_bit_flipped(datagram), addr)

    place.set_handler(answer_unsoundly)
    client = await place.client()
    client.send(client.initial())
    await place.reached()
    await client.expect_no_answer()
    place.set_handler(serve)
    client.send(client.initial())
    opened = open_initial(await client.packet(), client.first_id, from_client=False)
    assert opened and opened.crypto


@case("RFC 9000 13.2.1", "A backend that only acknowledges isn't shown to the client; another one is tried")
async def ack_only(place: Place) -> None:
    def ack(backend: Any, packet: Any, addr: Any) -> None:
        backend.answer(packet, addr, b"\x02\x00\x00\x00\x00")
        tried.append(backend)
        if len(tried) > 1:
            serve(backend, packet, addr)

    tried: list[Any] = []
    place.set_handler(ack)
    client = await place.client()
    client.send(client.initial())
    opened = open_initial(await client.packet(), client.first_id, from_client=False)
    assert opened and opened.crypto and tried[0] is not tried[1]


@case("RFC 9000 13.2.1", "A backend that acknowledges first and goes on then is passed on")
async def ack_then_hello(place: Place) -> None:
    def ack(backend: Any, packet: Any, addr: Any) -> None:
        backend_id = backend.new_id()
        backend.answer(packet, addr, b"\x02\x00\x00\x00\x00", backend_id)
        backend.answer(packet, addr, SERVER_HELLO, backend_id)

    place.set_handler(ack)
    client = await place.client()
    client.send(client.initial())
    opened = open_initial(await client.packet(), client.first_id, from_client=False)
    assert opened and opened.crypto


@case("RFC 9000 12.2", "A backend's Handshake packet that overtakes its Initial follows it")
async def handshake_overtakes(place: Place) -> None:
    def handshake_first(backend: Any, packet: Any, addr: Any) -> None:
        handshakes.append(long_header(V1, packet.from_id, backend.new_id(), varint(60) + bytes(60), 0xE0))
        backend.wire.sendto(handshakes[-1], addr)
        serve(backend, packet, addr)

    handshakes: list[bytes] = []
    place.set_handler(handshake_first)
    client = await place.client()
    client.send(client.initial())
    assert (await client.packet()).kind is Kind.INITIAL and await client.receive() == handshakes[0]


@case("RFC 9000 17.2.5", "A backend's own Retry goes to the client, and the client's answer to that backend")
async def backend_retries(place: Place) -> None:
    def retry(backend: Any, packet: Any, addr: Any) -> None:
        if not packet.token:
            backend.wire.sendto(
                make_retry(V1, packet.to_id, packet.from_id, backend.new_id(), b"backend token"), addr
            )
        else:
            serve(backend, packet, addr)

    place.set_handler(retry)
    client = await place.client()
    client.send(client.initial())
    backend = (await place.reached())[0]
    packet = await client.packet()
    assert packet.kind is Kind.RETRY and packet.token == b"backend token"
    client.send(client.initial(to_id=packet.from_id, token=packet.token))
    assert (await place.reached())[0] is backend
    assert open_initial(await client.packet(), packet.from_id, from_client=False)


@case("RFC 9001 5.8", "A Retry with a wrong tag doesn't count")
async def bent_retry(place: Place) -> None:
    def retry(backend: Any, packet: Any, addr: Any) -> None:
        backend.wire.sendto(make_retry(V1, b"other-id", packet.from_id, backend.new_id(), b"backend token"), addr)

    place.set_handler(retry)
    client = await place.client()
    client.send(client.initial())
    await place.reached()
    await client.expect_no_answer()


@case("RFC 9000 5.2", "What a backend says that was left reaches nobody")
async def late_answer(place: Place) -> None:
    place.set_handler(stay_silent)
    client = await place.client()
    client.send(client.initial())
    abandoned, data, addr = await place.reached()
    place.set_handler(serve)
    abandoned.on_initial = stay_silent
    assert (await place.reached())[0] is not abandoned
    first = await client.packet()
    serve(abandoned, split(data)[0], addr)
    client.send_short(first.from_id)
    assert (await place.reached())[0] is not abandoned
    await client.expect_no_answer()


@case("RFC 9000 10.3", "A backend's stateless reset on a standing connection reaches the client")
async def backend_resets(place: Place) -> None:
    client, backend, backend_id, addr = await place.standing()
    reset = b"\x41" + os.urandom(20) + reset_token(RESET_KEY, backend_id)
    backend.wire.sendto(reset, addr)
    assert await client.receive() == reset


@case("RFC 9000 5.2", "What others than backends send to an upstream port reaches nobody")
async def stranger_at_the_port(place: Place) -> None:
    client, backend, _, addr = await place.standing()
    stranger = await place.client()
    stranger.wire.sendto(b"\x40" + client.client_id + b"not from a backend", addr)
    other = next(b for b in place.backends if b is not backend)
    other.wire.sendto(b"\x40" + client.client_id + b"not from its backend", addr)
    answer = b"\x40" + client.client_id + b"from its backend"
    backend.wire.sendto(answer, addr)
    assert await client.receive() == answer


# ---- routing by connection id


@case("QUIC-LB 5", "Short packets are routed by ids of every configuration at once", "forms", over=list(FORMS))
async def routed_by_every_form(place: Place, name: str) -> None:
    for backend in place.backends:
        client = await place.client()
        datagram = client.send_short(backend.new_id(FORMS[name]))
        assert (await place.reached())[:2] == (backend, datagram)


@case("QUIC-LB 5", "A connection stands with ids of every configuration", "forms", over=list(FORMS))
async def stands_with_every_form(place: Place, name: str) -> None:
    for backend in place.backends:
        backend.form = FORMS[name]
    client, backend, _, addr = await place.standing()
    for _ in range(3):
        client.send_short(backend.new_id(FORMS[name]))
        assert (await place.reached())[::2] == (backend, addr), (
            "a fresh id on the same path must reach the same backend from the same address"
        )


@case("QUIC-LB 3.1", "Ids change their configuration in the middle of a connection", "forms")
async def configuration_rotates(place: Place) -> None:
    client, backend, _, addr = await place.standing()
    for form in FORMS.values():
        client.send_short(backend.new_id(form))
        assert (await place.reached())[0] is backend
    await client.open()
    client.send_short(backend.new_id(FORMS["single pass"]))
    found, _, new = await place.reached()
    assert found is backend and new != addr


@case("QUIC-LB 5.4", "Hidden ids of another key lead nowhere, or at least to no other client", "forms")
async def other_key(place: Place) -> None:
    client = await place.client()
    client.send_short(FORMS["longest"].make(b"\x63" * 4))
    await client.expect_no_answer()
    place.nothing_reached()


@case("QUIC-LB 3", "An Initial is a request, whatever backend its id names", "forms", over=list(FORMS))
async def initial_to_a_routable_id(place: Place, name: str) -> None:
    client = await place.client()
    client.first_id = place.backends[0].new_id(FORMS[name])
    if len(client.first_id) < 8:
        client.first_id += os.urandom(8)
    client.send(client.initial())
    await place.reached()
    assert open_initial(await client.packet(), client.first_id, from_client=False)


@case("RFC 9000 5.1", "A Handshake packet by id goes on after a restart of the relay")
async def handshake_by_id(place: Place) -> None:
    client = await place.client()
    backend = place.backends[1]
    datagram = long_header(V1, backend.new_id(), client.client_id, varint(400) + b"handshake" * 44 + b"shak", 0xE0)
    client.send(datagram)
    assert (await place.reached())[:2] == (backend, datagram)
