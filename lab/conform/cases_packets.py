"""Cases of the QUIC suite: versions, headers, malformed packets and Initials."""

from __future__ import annotations

import os
import time
from typing import Any

from gradefront.quic.headers import V1, V2, VERSIONS, Kind, invariants, split, varint
from gradefront.quic.initials import CONNECTION_REFUSED, open_initial, seal_initial

from .quic import (
    CLIENT_CLOSE,
    GREASE,
    HELLO,
    Place,
    long_header,
    suite,
    with_last_bit_flipped,
)
from .raw_backend import PLAIN, SERVER_HELLO, serve, stay_silent

case = suite.case
SECOND_US = 1_000_000


def now_us() -> int:
    """Return the Unix time in microseconds."""
    return time.time_ns() // 1000


# ---- versions


@case(
    "RFC 9000 6.1",
    "An unknown version is answered with Version Negotiation",
    address_only=True,
    over=[GREASE, 0xFF00001D, 0x00000002, 0xFFFFFFFF],
)
async def unknown_version_is_negotiated(place: Place, version: int) -> None:
    client = await place.client()
    client.send(long_header(version, os.urandom(8), client.client_id).ljust(1_200, b"\0"))
    head = invariants(await client.receive())
    assert head and head.version == 0 and head.to_id == client.client_id


@case(
    "RFC 8999 6",
    "Version Negotiation turns the client's ids round, of any length",
    address_only=True,
    over=[(0, 0), (8, 0), (8, 20), (20, 8), (64, 8), (255, 255)],
)
async def negotiation_mirrors_ids(place: Place, lengths: tuple[int, int]) -> None:
    client = await place.client()
    to, own = os.urandom(lengths[0]), os.urandom(lengths[1])
    client.send(long_header(GREASE, to, own).ljust(1_200, b"\0"))
    head = invariants(await client.receive())
    assert head and (head.to_id, head.from_id) == (own, to)


@case(
    "RFC 9000 17.2.1", "Version Negotiation names every version that is spoken, and a reserved one", address_only=True
)
async def negotiation_lists_versions(place: Place) -> None:
    client = await place.client()
    client.send(long_header(GREASE, os.urandom(8), client.client_id).ljust(1_200, b"\0"))
    answer = await client.receive()
    head = invariants(answer)
    assert head and (len(answer) - head.end) % 4 == 0
    versions = [int.from_bytes(answer[at : at + 4]) for at in range(head.end, len(answer), 4)]
    assert set(VERSIONS) <= set(versions) and [v for v in versions if v & 0x0F0F0F0F == 0x0A0A0A0A]


@case(
    "RFC 9000 14.1",
    "A datagram under 1,200 octets is not answered with Version Negotiation",
    address_only=True,
    over=[21, 600, 1_199],
)
async def short_unknown_version_is_dropped(place: Place, size: int) -> None:
    client = await place.client()
    client.send(long_header(GREASE, os.urandom(8), client.client_id).ljust(size, b"\0"))
    await client.expect_no_answer()


@case("RFC 9000 6.1", "Version Negotiation is never answered", address_only=True)
async def negotiation_is_not_answered(place: Place) -> None:
    client = await place.client()
    client.send(long_header(0, os.urandom(8), client.client_id, V1.to_bytes(4)).ljust(1_200, b"\0"))
    await client.expect_no_answer()


@case("RFC 9000 8.1", "Version Negotiation is smaller than what it answers", address_only=True)
async def negotiation_is_small(place: Place) -> None:
    client = await place.client()
    client.send(long_header(GREASE, os.urandom(20), os.urandom(20)).ljust(1_200, b"\0"))
    assert len(await client.receive()) < 120


@case("RFC 8999 5", "Packets of an unknown version on a standing connection go by id alone")
async def unknown_version_goes_by_id(place: Place) -> None:
    client, backend, backend_id, _ = await place.standing()
    datagram = long_header(GREASE, backend_id, client.client_id, b"of a version to come")
    client.send(datagram)
    assert (await place.reached())[:2] == (backend, datagram)


@case("RFC 9369 4", "Version 2 is set up like version 1")
async def version_2_stands(place: Place) -> None:
    client, backend, backend_id, _ = await place.standing(version=V2)
    client.send_short(backend_id)
    assert (await place.reached())[0] is backend


@case("RFC 9368 2.3", "A backend may answer a version 1 Initial in version 2")
async def backend_changes_to_version_2(place: Place) -> None:
    def in_v2(backend: Any, packet: Any, addr: Any) -> None:
        backend.wire.sendto(seal_initial(V2, packet.to_id, packet.from_id, backend.new_id(), SERVER_HELLO), addr)

    place.set_handler(in_v2)
    client = await place.client()
    client.send(client.initial())
    backend = (await place.reached())[0]
    packet = await client.packet()
    assert packet.version == V2 and open_initial(packet, client.first_id, from_client=False)
    client.version = V2
    client.send(client.initial(to_id=packet.from_id, keys_of=client.first_id))
    assert (await place.reached())[0] is backend


@case("RFC 9368 2.1", "A backend that refuses the version is an error: the client is closed, and may come again")
async def backend_negotiates(place: Place) -> None:
    place.set_handler(
        lambda backend, packet, addr: backend.wire.sendto(
            long_header(0, packet.from_id, packet.to_id, V2.to_bytes(4)), addr
        )
    )
    client = await place.client()
    client.send(client.initial())
    assert await client.closed() == CONNECTION_REFUSED


# ---- headers and malformed packets

#: Datagrams to be dropped (malformed, or with an id of no known backend or configuration), by the label in the case's
#: name.
UNREADABLE = {
    "empty": b"",
    "one octet of a short header": b"\x40",
    "one octet of a long header": b"\xc0",
    "a version cut short": b"\xc0\x00\x00\x01",
    "text": b"GET / HTTP/1.1\r\n\r\n",
    "fixed bit clear in a long header": long_header(V1, b"8 octets", b"client", b"\0" * 1_200, 0x80),
    "an id of 21 octets to go to": long_header(V1, b"t" * 21, b"client", b"\0" * 1_200),
    "an id of 21 octets to come from": long_header(V1, b"8 octets", b"c" * 21, b"\0" * 1_200),
    "an id longer than the datagram": b"\xc0\x00\x00\x00\x01\xff" + b"t" * 30,
    "no length": long_header(V1, b"8 octets", b"client", b"\0"),
    "a token longer than the datagram": long_header(V1, b"8 octets", b"client", b"\x44\xb0" + b"\0" * 20),
    "a token of 600 octets": long_header(V1, b"8 octets", b"client", b"\x42\x58" + b"\0" * 1_200),
    "a packet longer than the datagram": long_header(V1, b"8 octets", b"client", b"\0\x48\x00" + b"\0" * 1_200),
    "a packet of 3 octets": long_header(V1, b"8 octets", b"client", b"\0\x03abc" + b"\0" * 1_200),
    "an Initial of noise": long_header(V1, b"8 octets", b"client", b"\0\x44\x90" + b"n" * 1_168),
    "a Handshake to nobody": long_header(V1, b"8 octets", b"client", b"\x44\x90" + b"n" * 1_168, 0xE0),
    "0-RTT to nobody": long_header(V1, b"8 octets", b"client", b"\x44\x90" + b"n" * 1_168, 0xD0),
    "a Retry from a client": long_header(V1, b"8 octets", b"client", b"n" * 1_168, 0xF0),
    "an id of configuration 7": b"\x40" + b"\xe0" + b"u" * 60,
    "an id of a configuration that isn't live": b"\x40" + b"\xc0" + b"u" * 60,
    "an id that tells another length": b"\x40\x0a" + b"\x01\x01" + b"u" * 60,
    "an id of a backend that nobody knows": b"\x40" + PLAIN.make(b"\x63\x63") + b"u" * 60,
    "a short header shorter than its id": b"\x40" + PLAIN.make(b"\x01\x01")[:9],
}


@case(
    "RFC 9000 12.2",
    "What can't be read is dropped without a word, and nothing reaches a backend",
    over=list(UNREADABLE.items()),
)
async def nonsense_is_dropped(place: Place, unreadable: tuple[str, bytes]) -> None:
    client = await place.client()
    client.send(unreadable[1])
    await client.expect_no_answer()
    place.nothing_reached()


@case("RFC 9000 12.2", "After what can't be read the same client is served")
async def served_after_nonsense(place: Place) -> None:
    client = await place.client()
    client.send(*UNREADABLE.values(), client.initial())
    await place.reached()
    assert (await client.packet()).kind is Kind.INITIAL


# ---- Initials


@case("RFC 9000 14.1", "An Initial in a datagram under 1,200 octets is dropped", over=[200, 1_199])
async def small_initial_is_dropped(place: Place, size: int) -> None:
    client = await place.client()
    client.send(client.initial(size=size))
    await client.expect_no_answer()
    place.nothing_reached()


@case("RFC 9000 7.2", "An Initial to an id of under 8 octets is dropped", over=[0, 1, 7])
async def short_id_is_dropped(place: Place, length: int) -> None:
    client = await place.client()
    client.first_id = os.urandom(length)
    client.send(client.initial())
    await client.expect_no_answer()
    place.nothing_reached()


@case("RFC 9000 7.2", "An Initial to an id of 8 to 20 octets is served", over=[8, 9, 12, 15, 18, 20])
async def long_enough_id_is_served(place: Place, length: int) -> None:
    client = await place.client()
    client.first_id = os.urandom(length)
    client.send(client.initial())
    await place.reached()
    assert open_initial(await client.packet(), client.first_id, from_client=False)


@case("RFC 9000 5.1", "Clients' ids of 0 to 20 octets work", over=[0, 1, 4, 8, 20])
async def client_ids_of_any_length(place: Place, length: int) -> None:
    client, backend, backend_id, _ = await place.standing(id_length=length)
    client.send_short(backend_id)
    _, _, addr = await place.reached()
    answer = b"\x40" + client.client_id + b"answer"
    backend.wire.sendto(answer, addr)
    assert await client.receive() == answer


#: Builders of Initials that must not be forwarded, by the label in the case's name; each is called with the client.
UNSOUND_INITIALS = {
    "the tag bent": lambda c: with_last_bit_flipped(c.initial()),
    "the first octet bent": lambda c: b"\xc3" + c.initial()[1:],
    "keys of another id": lambda c: c.initial(keys_of=b"other-id"),
    "keys of the server's side": lambda c: seal_initial(
        V1, c.first_id, c.first_id, c.client_id, HELLO.ljust(1_160, b"\0")
    ),
    "keys of the other version": lambda c: c.initial()[:1] + V2.to_bytes(4) + c.initial()[5:],
    "a STREAM frame": lambda c: c.initial(b"\x08\x00text"),
    "a CRYPTO frame longer than the packet": lambda c: c.initial(b"\x06\x00\x47\xff" + b"t" * 20),
    "an unknown frame": lambda c: c.initial(b"\x3f"),
    "a close": lambda c: c.initial(CLIENT_CLOSE),
}


@case(
    "RFC 9001 5.2, RFC 9000 12.4", "An Initial that isn't sound makes no visit", over=list(UNSOUND_INITIALS.items())
)
async def unsound_initial_is_dropped(place: Place, unsound: tuple[str, Any]) -> None:
    client = await place.client()
    client.send(unsound[1](client))
    await client.expect_no_answer()
    place.nothing_reached()


@case("RFC 9000 12.2", "Packets coalesced with an Initial go to the backend with it")
async def coalesced_goes_along(place: Place) -> None:
    client = await place.client()
    early = long_header(V1, client.first_id, client.client_id, varint(40) + b"0-rtt" * 8, 0xD0)
    datagram = client.initial(size=1_150) + early
    client.send(datagram)
    assert (await place.reached())[1] == datagram


@case("RFC 9000 17.2.3", "0-RTT in datagrams of its own follows its Initial")
async def zero_rtt_follows(place: Place) -> None:
    place.set_handler(stay_silent)
    client = await place.client()
    early = long_header(V1, client.first_id, client.client_id, varint(400) + b"0-rtt..." * 50, 0xD0)
    client.send(client.initial(), early)
    backend, _, addr = await place.reached()
    assert (await place.reached()) == (backend, early, addr)


@case("RFC 9000 7", "A repeated Initial reaches the same backend, and makes no second visit")
async def repeated_initial(place: Place) -> None:
    place.set_handler(stay_silent)
    client = await place.client()
    datagram = client.initial()
    client.send(datagram)
    first = await place.reached()
    client.send(datagram)
    assert await place.reached() == first


@case("RFC 9000 7", "A later Initial of the same connection follows the attempt that is out")
async def later_initial_follows(place: Place) -> None:
    place.set_handler(stay_silent)
    client = await place.client()
    client.send(client.initial())
    backend, _, addr = await place.reached()
    more = client.initial(b"\x06\x40\x40\x04more")
    client.send(more)
    assert (await place.reached()) == (backend, more, addr)


@case("RFC 9000 13.2", "Every datagram of a waiting client goes to the next backend, in order")
async def all_go_to_the_next_backend(place: Place) -> None:
    place.set_handler(stay_silent)
    client = await place.client()
    sent = [client.initial(), client.initial(b"\x06\x40\x40\x04more"), client.initial(b"\x06\x40\x44\x04more")]
    client.send(*sent)
    first = [await place.reached() for _ in sent]
    place.set_handler(serve)
    again = [await place.reached() for _ in sent]
    assert [a[1] for a in again] == [f[1] for f in first] == sent
    assert {a[0] for a in again}.isdisjoint({f[0] for f in first}), (
        "the second attempt went to a backend of the first"
    )


@case("RFC 9000 10.2", "A client that closes while it waits is owed nothing more, and nobody else is tried")
async def close_while_waiting(place: Place) -> None:
    place.set_handler(stay_silent)
    client = await place.client()
    client.send(client.initial())
    await place.reached()
    client.send(client.initial(CLIENT_CLOSE))
    await client.expect_no_answer()
    place.set_handler(serve)
    other = await place.client()
    other.send(other.initial())
    assert split((await place.reached())[1])[0].to_id == other.first_id


@case("RFC 9000 9", "A client whose address changes while it waits gets the answer at the new one")
async def address_changes_while_waiting(place: Place) -> None:
    place.set_handler(stay_silent)
    client = await place.client()
    client.send(client.initial())
    _, _, addr = await place.reached()
    await client.open()
    place.set_handler(serve)
    client.send(client.initial())
    _, _, new = await place.reached()
    assert new != addr and open_initial(await client.packet(), client.first_id, from_client=False)


@case("RFC 9000 7.2", "A client goes on with the server's id, also in its Initials")
async def second_flight_by_server_id(place: Place) -> None:
    client = await place.client()
    client.send(client.initial())
    backend, _, addr = await place.reached()
    packet = await client.packet()
    flight = client.initial(b"\x02\x00\x00\x00\x00" + HELLO, to_id=packet.from_id, keys_of=client.first_id)
    client.send(flight)
    assert (await place.reached()) == (backend, flight, addr)


@case("RFC 8446 4.1.4", "After a HelloRetryRequest the second ClientHello goes to the same backend")
async def hello_retry_request(place: Place) -> None:
    client, backend, backend_id, addr = await place.standing()
    second = client.initial(b"\x06\x40\x44" + varint(1_000) + bytes(1_000), to_id=backend_id, keys_of=client.first_id)
    client.send(second)
    assert (await place.reached())[:2] == (backend, second)
