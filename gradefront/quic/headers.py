"""QUIC packet headers: RFC 8999 for every version, RFC 9000 17 and RFC 9369 for the supported versions. No I/O.

Datagrams are untrusted: no function raises on their content. What cannot be parsed is returned as None or left out.
"""

from __future__ import annotations

import hmac
import os
from enum import Enum
from typing import NamedTuple

V1 = 0x00000001
V2 = 0x6B3343CF
VERSIONS = (V1, V2)
MIN_INITIAL_LENGTH = 1_200  # RFC 9000 14.1: a client's datagram with an Initial is at least this long
MIN_FIRST_ID_LENGTH = 8  # RFC 9000 7.2: a client's first destination id is at least this long
MAX_ID_LENGTH = 20  # RFC 9000 17.2
TAG_LENGTH = 16  # octets of a stateless reset token and of an AEAD tag
#: In an Initial. The relay's tokens have up to 86 octets; a backend's must fit in a datagram with a ClientHello.
MAX_TOKEN_LENGTH = 512
MAX_PACKETS = 8  # coalesced in one datagram; a flight has at most one packet for each of four encryption levels
LONG_HEADER_BIT = 0x80
FIXED_BIT = 0x40
#: Octets of packet number and payload that header protection needs (RFC 9001 5.4.2). The Length field, which
#: is compared with it, includes the tag, so `initials.open_initial` checks again that the sample is complete.
MIN_PAYLOAD_LENGTH = 4


class Kind(Enum):
    """A packet's type."""

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
    data: bytes  # the whole packet, without those coalesced with it
    payload_offset: int  # of the packet number or, in packets without one, of the first octet after the ids


class Invariants(NamedTuple):
    """The fields of a long header that are the same in every version (RFC 8999 5.1)."""

    version: int
    to_id: bytes
    from_id: bytes
    end: int  # offset of the version-specific part


def read_varint(data: bytes, start: int) -> tuple[int, int] | None:
    """Return a variable-length integer (RFC 9000 16) and the offset after it; None if it is truncated."""
    if start >= len(data):
        return None
    size = 1 << (data[start] >> 6)
    if start + size > len(data):
        return None
    return int.from_bytes(data[start : start + size]) & (1 << 8 * size - 2) - 1, start + size


def varint(value: int) -> bytes:
    """Encode a variable-length integer in its shortest form. Raises ValueError if it is over 2^62 - 1."""
    for power, top in enumerate((6, 14, 30, 62)):
        if 0 <= value < 1 << top:
            size = 1 << power
            return (value | power << 8 * size - 2).to_bytes(size)
    raise ValueError(f"variable-length integer must be from 0 to 2^62 - 1, got {value}")


def invariants(data: bytes, start: int = 0) -> Invariants | None:
    """Read a long header's version-independent fields. Ids may have up to 255 octets here (RFC 8999 5.3)."""
    if len(data) < start + 7 or not data[start] & LONG_HEADER_BIT:
        return None
    pos = start + 6 + data[start + 5]
    if pos >= len(data):
        return None
    end = pos + 1 + data[pos]
    if end > len(data):
        return None
    return Invariants(int.from_bytes(data[start + 1 : start + 5]), data[start + 6 : pos], data[pos + 1 : end], end)


def read_long(data: bytes, start: int = 0) -> Packet | None:
    """Read one packet with a long header of a supported version, beginning at `start`."""
    head = invariants(data, start)
    if head is None or head.version not in KINDS or not data[start] & FIXED_BIT:
        return None
    if len(head.to_id) > MAX_ID_LENGTH or len(head.from_id) > MAX_ID_LENGTH:
        return None
    kind = KINDS[head.version][data[start] >> 4 & 3]
    pos, token = head.end, b""
    if kind is Kind.RETRY:
        if len(data) - pos < TAG_LENGTH:
            return None
        return Packet(kind, head.version, head.to_id, head.from_id, data[pos:-TAG_LENGTH], data[start:], pos - start)
    if kind is Kind.INITIAL:
        length = read_varint(data, pos)
        if length is None or length[0] > MAX_TOKEN_LENGTH or length[1] + length[0] > len(data):
            return None
        pos = length[1] + length[0]
        token = data[length[1] : pos]
    size = read_varint(data, pos)
    if size is None or size[0] < MIN_PAYLOAD_LENGTH or size[1] + size[0] > len(data):
        return None
    pos, end = size[1], size[1] + size[0]
    return Packet(kind, head.version, head.to_id, head.from_id, token, data[start:end], pos - start)


def split(datagram: bytes, id_length: int = 0) -> list[Packet]:
    """Split a datagram into its packets, up to the first malformed one (RFC 9000 12.2). A packet with a short header
    is the last; its id is assumed to have `id_length` octets."""
    packets: list[Packet] = []
    start = 0
    while start < len(datagram) and len(packets) < MAX_PACKETS:
        if not datagram[start] & LONG_HEADER_BIT:
            if datagram[start] & FIXED_BIT and len(datagram) - start > id_length:
                packets.append(
                    Packet(
                        Kind.SHORT,
                        0,
                        datagram[start + 1 : start + 1 + id_length],
                        b"",
                        b"",
                        datagram[start:],
                        1 + id_length,
                    )
                )
            break
        head = invariants(datagram, start)
        if head and head.version == 0:
            packets.append(
                Packet(Kind.NEGOTIATION, 0, head.to_id, head.from_id, b"", datagram[start:], head.end - start)
            )
            break
        packet = read_long(datagram, start)
        if packet is None:
            break
        packets.append(packet)
        if packet.kind is Kind.RETRY:
            break
        start += len(packet.data)
    return packets


def version_negotiation(head: Invariants) -> bytes:
    """Build a Version Negotiation packet (RFC 8999 6, RFC 9000 17.2.1): the client's ids swapped, the supported
    versions, and a reserved version (RFC 9000 15), so that clients do not come to rely on a fixed list."""
    grease = 0x0A0A0A0A | int.from_bytes(os.urandom(4)) & 0xF0F0F0F0
    return b"".join(
        (
            bytes([LONG_HEADER_BIT | FIXED_BIT | os.urandom(1)[0] & 0x3F]),
            bytes(4),
            bytes([len(head.from_id)]),
            head.from_id,
            bytes([len(head.to_id)]),
            head.to_id,
            *(v.to_bytes(4) for v in (*VERSIONS, grease)),
        )
    )


def first_octet(version: int, kind: Kind, low: int) -> int:
    """Return the first octet of a long header; `low` holds its four lowest bits."""
    return LONG_HEADER_BIT | FIXED_BIT | KINDS[version].index(kind) << 4 | low


def reset_token(key: bytes, connection_id: bytes) -> bytes:
    """Return the stateless reset token that a backend issues with an id: the HMAC-SHA256 of the id, truncated."""
    return hmac.digest(key, connection_id, "sha256")[:TAG_LENGTH]


def stateless_reset(key: bytes, connection_id: bytes, space: int = 43) -> bytes:
    """Build a stateless reset (RFC 9000 10.3), which resembles a packet with a short header and ends in the token.
    It has min(space, 43) octets, but never fewer than 21."""
    noise = bytearray(os.urandom(max(5, min(space, 43) - TAG_LENGTH)))
    noise[0] = FIXED_BIT | noise[0] & 0x3F
    return bytes(noise) + reset_token(key, connection_id)
