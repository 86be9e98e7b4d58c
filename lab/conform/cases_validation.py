"""Cases of the QUIC suite: address validation, and admission of clients without a validated address."""

from __future__ import annotations

import asyncio
import os
import time
from typing import Any

from gradefront.quic.headers import V1, V2, Kind, split
from gradefront.quic.initials import CONNECTION_REFUSED, INVALID_TOKEN, make_retry, open_initial
from gradefront.quic.tokens import TokenKey, TokenMint

from .quic import (
    CLIENT_CLOSE,
    Client,
    Place,
    suite,
    token_mint,
)
from .raw_backend import stay_silent

case = suite.case
SECOND_US = 1_000_000


def now_us() -> int:
    """Return the Unix time in microseconds."""
    return time.time_ns() // 1000


# ---- address validation


async def receive_retry(client: Client) -> Any:
    """Send a first Initial and return the Retry that answers it."""
    client.send(client.initial())
    return await client.retry()


@case("RFC 9000 8.1.2", "An Initial without a token gets a Retry, and no backend hears of it", "retry", over=[V1, V2])
async def retry_is_sent(place: Place, version: int) -> None:
    client = await place.client(version=version)
    packet = await receive_retry(client)
    assert packet.version == version and packet.to_id == client.client_id
    place.nothing_reached()


@case("RFC 9001 5.8", "The Retry's tag is good for the client's first id", "retry")
async def retry_is_sound(place: Place) -> None:
    from gradefront.quic.initials import is_valid_retry

    client = await place.client()
    packet = await receive_retry(client)
    assert is_valid_retry(packet, client.first_id) and not is_valid_retry(packet, b"other-id")


@case("RFC 9000 17.2.5.1", "The Retry's id differs from the client's first, and names no backend", "retry")
async def retry_changes_the_id(place: Place) -> None:
    client = await place.client()
    packet = await receive_retry(client)
    assert packet.from_id != client.first_id and len(packet.from_id) >= 8 and packet.from_id[0] >> 5 == 7


@case("RFC 9000 8.1", "A Retry is smaller than what it answers, and there is one for each datagram at most", "retry")
async def retry_is_small(place: Place) -> None:
    client = await place.client()
    client.send(client.initial())
    assert len(await client.receive()) < 300
    await client.expect_no_answer()


@case("RFC 9000 8.1.2", "An Initial with the token is served", "retry", over=[V1, V2])
async def token_is_taken(place: Place, version: int) -> None:
    client = await place.client(version=version)
    packet = await receive_retry(client)
    client.send(client.initial(to_id=packet.from_id, token=packet.token))
    await place.reached()
    assert open_initial(await client.packet(), packet.from_id, from_client=False)


@case("QUIC-Retry-Offload", "Backends with the shared keys read both ids out of the token", "retry")
async def backend_reads_the_token(place: Place) -> None:
    client = await place.client()
    packet = await receive_retry(client)
    client.send(client.initial(to_id=packet.from_id, token=packet.token))
    _, data, _ = await place.reached()
    assert token_mint().retry_ids(split(data)[0].token) == (client.first_id, packet.from_id)


async def expect_invalid_token(place: Place, client: Client, token: bytes, to_id: bytes) -> None:
    """Send an Initial with `token` and assert that it is refused with INVALID_TOKEN and reaches no backend."""
    client.send(client.initial(to_id=to_id, token=token))
    assert await client.closed(to_id) == INVALID_TOKEN
    place.nothing_reached()


@case("RFC 9000 8.1.3", "A forged token is answered with INVALID_TOKEN", "retry", over=[1, 13, 40, -1])
async def forged_token(place: Place, offset: int) -> None:
    client = await place.client()
    packet = await receive_retry(client)
    forged = bytearray(packet.token)
    forged[offset] ^= 1
    await expect_invalid_token(place, client, bytes(forged), packet.from_id)


@case("RFC 9000 8.1.4", "A token that another port or address shows is refused", "retry", over=["port", "address"])
async def stolen_token(place: Place, changed: str) -> None:
    client = await place.client()
    packet = await receive_retry(client)
    thief = await place.client("127.0.0.1" if changed == "port" else "127.0.0.9")
    await expect_invalid_token(place, thief, packet.token, packet.from_id)


@case("RFC 9000 8.1.3", "An expired token is refused", "retry")
async def expired_token(place: Place) -> None:
    client = await place.client()
    client_address = client.wire.get_extra_info("sockname")
    token = token_mint().make(client_address, client.first_id, b"retry-id", now_us() - 11 * SECOND_US)
    await expect_invalid_token(place, client, token, b"retry-id")


@case("RFC 9000 17.2.5.2", "A token that comes with another id than the Retry gave is refused", "retry")
async def misplaced_token(place: Place) -> None:
    client = await place.client()
    packet = await receive_retry(client)
    await expect_invalid_token(place, client, packet.token, b"other-id")


@case("QUIC-Retry-Offload", "Tokens of an older key that is still known are taken", "retry")
async def older_key(place: Place) -> None:
    client = await place.client()
    client_address = client.wire.get_extra_info("sockname")
    token = token_mint(newest=1).make(client_address, client.first_id, b"retry-id", now_us())
    client.send(client.initial(to_id=b"retry-id", token=token))
    await place.reached()


@case("QUIC-Retry-Offload", "A token by another relay's clock and the same keys is taken", "retry")
async def another_relay_s_token(place: Place) -> None:
    client = await place.client()
    client_address = client.wire.get_extra_info("sockname")
    token = token_mint().make(client_address, client.first_id, b"retry-id", now_us())
    client.send(client.initial(to_id=b"retry-id", token=token))
    assert split((await place.reached())[1])[0].token == token


@case(
    "RFC 9000 8.1.4",
    "A token is good for one connection: replayed after its end it makes no other",
    "retry",
    over=["it ends after its answer", "it ends while it waits"],
)
async def replayed_token(place: Place, ending: str) -> None:
    client = await place.client()
    packet = await receive_retry(client)
    if ending == "it ends while it waits":
        place.set_handler(stay_silent)
    client.send(client.initial(to_id=packet.from_id, token=packet.token))
    await place.reached()
    if ending == "it ends after its answer":
        await client.receive()  # a close sent earlier might overtake the answer and end the connection without one
    place.set_handler(stay_silent)
    client.send(client.initial(CLIENT_CLOSE, to_id=packet.from_id, token=packet.token))
    await client.expect_no_answer()
    while not place.inbox.empty():
        place.inbox.get_nowait()
    client.send_short(packet.from_id)
    replay = client.initial(to_id=packet.from_id, token=packet.token)
    client.send(replay)
    await client.expect_no_answer()
    if ending == "it ends while it waits":
        place.nothing_reached()


@case("RFC 9000 8.1.3", "A NEW_TOKEN that only a backend can read gets a Retry, not a refusal", "retry")
async def backend_s_new_token(place: Place) -> None:
    client = await place.client()
    client.send(client.initial(token=b"\x82" + os.urandom(60)))
    assert (await client.packet()).kind is Kind.RETRY


@case("RFC 9000 8.1.3", "A NEW_TOKEN of the shared keys proves the address, from any port", "retry")
async def shared_new_token(place: Place) -> None:
    client = await place.client()
    token = token_mint().make_new(("127.0.0.1", 0), now_us(), 60 * SECOND_US)
    client.send(client.initial(token=token))
    await place.reached()


@case("RFC 9000 8.1.3", "A token of a key that nobody shares is as good as none", "retry")
async def unknown_key(place: Place) -> None:
    client = await place.client()
    stranger = TokenMint({9: TokenKey(bytes(16), bytes(12))}, 9, SECOND_US)
    client.send(client.initial(token=stranger.make(("127.0.0.1", 1), b"first-id", b"retry-id", now_us())))
    assert (await client.packet()).kind is Kind.RETRY


@case("RFC 9000 17.2.5.2", "A backend's Retry after the relay's is an error: a client takes one only", "retry")
async def second_retry(place: Place) -> None:
    place.set_handler(
        lambda backend, packet, addr: backend.wire.sendto(
            make_retry(V1, packet.to_id, packet.from_id, backend.new_id(), b"backend token"), addr
        )
    )
    client = await place.client()
    packet = await receive_retry(client)
    client.send(client.initial(to_id=packet.from_id, token=packet.token))
    assert await client.closed(packet.from_id) == CONNECTION_REFUSED


@case("RFC 9000 8.1.2", "Without load nobody is asked for a proof; under load those are whom nobody knows", "auto")
async def retry_under_pressure(place: Place) -> None:
    calm = await place.client("127.0.0.2")
    calm.send(calm.initial())
    await place.reached()
    assert (await calm.packet()).kind is Kind.INITIAL
    for n in range(60):
        client = await place.client(f"127.0.3.{n + 1}")
        client.send(client.initial())
    stranger = await place.client("127.0.4.1")
    packet = await receive_retry(stranger)
    stranger.send(stranger.initial(to_id=packet.from_id, token=packet.token))
    assert open_initial(await stranger.packet(), packet.from_id, from_client=False)


# ---- admission without a validated address


async def raise_pressure(place: Place) -> None:
    """Send enough Initials from different addresses to bring admission under pressure."""
    for n in range(60):
        client = await place.client(f"127.0.5.{n + 1}")
        client.send(client.initial())


@case("design: second sight", "Under pressure an address that was there lately is heard at once", "pressure")
async def known_address(place: Place) -> None:
    await place.standing("127.0.7.1")
    await raise_pressure(place)
    client = await place.client("127.0.7.1")
    client.send(client.initial())
    assert open_initial(await client.packet(), client.first_id, from_client=False)


@case("design: second sight", "Under pressure a stranger is heard when it repeats itself", "pressure")
async def second_sight(place: Place) -> None:
    await raise_pressure(place)
    stranger = await place.client("127.0.6.1")
    datagram = stranger.initial()
    stranger.send(datagram)
    await stranger.expect_no_answer()
    await asyncio.sleep(0.06)
    stranger.send(datagram)
    assert open_initial(await stranger.packet(), stranger.first_id, from_client=False)


@case("design: limits", "A denied network is not answered", "tight")
async def denied_network(place: Place) -> None:
    client = await place.client("127.66.0.1")
    client.send(client.initial())
    await client.expect_no_answer()
    place.nothing_reached()


@case("design: limits", "An address over its rate is closed with CONNECTION_REFUSED and a pause that holds", "tight")
async def truthful_pause(place: Place) -> None:
    for _ in range(4):
        client = await place.client("127.0.8.1")
        client.send(client.initial())
        assert open_initial(await client.packet(), client.first_id, from_client=False)
    late = await place.client("127.0.8.1")
    late.send(late.initial())
    datagram = await late.receive()
    opened = open_initial(split(datagram)[0], late.first_id, from_client=False)
    assert opened and opened.close_code == CONNECTION_REFUSED and len(datagram) < 400
    other = await place.client("127.0.9.1")
    other.send(other.initial())
    assert (await other.packet()).kind is Kind.INITIAL, "the rate limit of one address must not affect another"
    await asyncio.sleep(0.51)  # the rate is two a second, so the pause is half a second
    returning = await place.client("127.0.8.1")
    returning.send(returning.initial())
    opened = open_initial(await returning.packet(), returning.first_id, from_client=False)
    assert opened and opened.close_code is None


@case("design: unconfirmed visits", "A visit that no client goes on with ends, and a backend's id leads on", "tight")
async def nobody_there(place: Place) -> None:
    client = await place.client("127.0.10.1")
    client.send(client.initial())
    backend = (await place.reached())[0]
    packet = await client.packet()
    await place.relay.counters()
    while (await place.relay.counters()).get("quic_unconfirmed", 0) < 1:
        await asyncio.sleep(0.05)
    client.send_short(packet.from_id)
    assert (await place.reached())[0] is backend
