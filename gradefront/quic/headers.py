"""QUIC headers as an edge reads them: RFC 8999 for every version, RFC 9000 17 and RFC 9369 for ours. No I/O.

A datagram comes from anyone: nothing here raises on what it holds. What can't be read is None or left out.
"""

from __future__ import annotations

import hmac
import os
from enum import Enum
from typing import NamedTuple

V1 = 0x00000001
V2 = 0x6B3343CF
VERSIONS = (V1, V2)
LEAST_INITIAL = 1_200  # RFC 9000 14.1: a client's datagram with an Initial is at least this long
LEAST_ID = 8  # RFC 9000 7.2: the id that a client makes up is at least this long
LONGEST_ID = 20  # RFC 9000 17.2
TOKEN = 16  # octets of a stateless reset token and of an AEAD tag
LONGEST_TOKEN = 512  # of an Initial; ours take 110, and a backend's has to fit a datagram with a ClientHello
MOST_PACKETS = 8  # coalesced in one datagram: a flight has one for each of four keys
LONG = 0x80
FIXED = 0x40
LEAST_PAYLOAD = 4  # octets of packet number and payload: enough to sample (RFC 9001 5.4.2)


class Kind(Enum):
    """What a packet is."""

    INITIAL = "initial"
    ZERO_RTT = "0-rtt"
    HANDSHAKE = "handshake"
    RETRY = "retry"
    NEGOTIATION = "version negotiation"
    SHORT = "short"


#: The two type bits of a long header, by version (RFC 9000 17.2; RFC 9369 3.2 moves them by one).
KINDS = {
    V1: (Kind.INITIAL, Kind.ZERO_RTT, Kind.HANDSHAKE, Kind.RETRY),
    V2: (Kind.RETRY, Kind.INITIAL, Kind.ZERO_RTT, Kind.HANDSHAKE),
}


class Packet(NamedTuple):
    """One packet of a datagram. `to_id` and `from_id` are the destination and source connection ids."""

    kind: Kind
    version: int
    to_id: bytes
    from_id: bytes
    token: bytes
    data: bytes  # the packet's own octets
    payload_at: int  # where the packet number begins, or what follows the ids


class Invariants(NamedTuple):
    """What RFC 8999 5.1 lets one read of a long header of any version."""

    version: int
    to_id: bytes
    from_id: bytes
    end: int  # where the version's own part begins


def read_varint(data: bytes, at: int) -> tuple[int, int] | None:
    """A variable-length integer (RFC 9000 16) and where it ends; None where the octets run out."""
    if at >= len(data):
        return None
    size = 1 << (data[at] >> 6)
    if at + size > len(data):
        return None
    return int.from_bytes(data[at : at + size]) & (1 << 8 * size - 2) - 1, at + size


def varint(value: int) -> bytes:
    """A variable-length integer in its shortest form. Raises ValueError over 2^62 - 1."""
    for power, top in enumerate((6, 14, 30, 62)):
        if 0 <= value < 1 << top:
            size = 1 << power
            return (value | power << 8 * size - 2).to_bytes(size)
    raise ValueError(f"{value} has no variable-length form")


def invariants(data: bytes, at: int = 0) -> Invariants | None:
    """Read a long header's parts that no version changes. Ids may be of up to 255 octets here (RFC 8999 5.3)."""
    if len(data) < at + 7 or not data[at] & LONG:
        return None
    here = at + 6 + data[at + 5]
    if here >= len(data):
        return None
    end = here + 1 + data[here]
    if end > len(data):
        return None
    return Invariants(int.from_bytes(data[at + 1 : at + 5]), data[at + 6 : here], data[here + 1 : end], end)


def read_long(data: bytes, at: int = 0) -> Packet | None:
    """Read one packet with a long header of a version of ours, from `at` on."""
    head = invariants(data, at)
    if head is None or head.version not in KINDS or not data[at] & FIXED:
        return None
    if len(head.to_id) > LONGEST_ID or len(head.from_id) > LONGEST_ID:
        return None
    kind = KINDS[head.version][data[at] >> 4 & 3]
    here, token = head.end, b""
    if kind is Kind.RETRY:
        if len(data) - here < TOKEN:
            return None
        return Packet(kind, head.version, head.to_id, head.from_id, data[here:-TOKEN], data[at:], here - at)
    if kind is Kind.INITIAL:
        length = read_varint(data, here)
        if length is None or length[0] > LONGEST_TOKEN or length[1] + length[0] > len(data):
            return None
        here = length[1] + length[0]
        token = data[length[1] : here]
    size = read_varint(data, here)
    if size is None or size[0] < LEAST_PAYLOAD or size[1] + size[0] > len(data):
        return None
    here, end = size[1], size[1] + size[0]
    return Packet(kind, head.version, head.to_id, head.from_id, token, data[at:end], here - at)


def split(datagram: bytes, id_length: int = 0) -> list[Packet]:
    """The packets of a datagram, up to the first that makes no sense (RFC 9000 12.2). A short header ends it;
    its id is taken to be of `id_length` octets."""
    packets: list[Packet] = []
    at = 0
    while at < len(datagram) and len(packets) < MOST_PACKETS:
        if not datagram[at] & LONG:
            if datagram[at] & FIXED and len(datagram) - at > id_length:
                packets.append(
                    Packet(
                        Kind.SHORT, 0, datagram[at + 1 : at + 1 + id_length], b"", b"", datagram[at:], 1 + id_length
                    )
                )
            break
        head = invariants(datagram, at)
        if head and head.version == 0:
            packets.append(Packet(Kind.NEGOTIATION, 0, head.to_id, head.from_id, b"", datagram[at:], head.end - at))
            break
        packet = read_long(datagram, at)
        if packet is None:
            break
        packets.append(packet)
        if packet.kind is Kind.RETRY:
            break
        at += len(packet.data)
    return packets


def version_negotiation(head: Invariants) -> bytes:
    """RFC 8999 6 and RFC 9000 17.2.1: the client's ids the other way round, our versions, and one that no one
    speaks (RFC 9000 15), so that nobody comes to rely on the list."""
    grease = 0x0A0A0A0A | int.from_bytes(os.urandom(4)) & 0xF0F0F0F0
    return b"".join(
        (
            bytes([LONG | FIXED | os.urandom(1)[0] & 0x3F]),
            bytes(4),
            bytes([len(head.from_id)]),
            head.from_id,
            bytes([len(head.to_id)]),
            head.to_id,
            *(v.to_bytes(4) for v in (*VERSIONS, grease)),
        )
    )


def first_octet(version: int, kind: Kind, low: int) -> int:
    """The first octet of a long header."""
    return LONG | FIXED | KINDS[version].index(kind) << 4 | low


def reset_token(key: bytes, connection_id: bytes) -> bytes:
    """The token that a backend gives out with an id: the start of HMAC-SHA256 of the id by its key."""
    return hmac.digest(key, connection_id, "sha256")[:TOKEN]


def stateless_reset(key: bytes, connection_id: bytes, space: int = 43) -> bytes:
    """RFC 9000 10.3: looks like a short packet, ends in the token; at least 21 octets, at most `room`."""
    noise = bytearray(os.urandom(max(5, min(space, 43) - TOKEN)))
    noise[0] = FIXED | noise[0] & 0x3F
    return bytes(noise) + reset_token(key, connection_id)
