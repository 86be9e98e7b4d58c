"""What this front reads and writes of QUIC itself: headers, Initial packets, closes and resets."""

from __future__ import annotations

import hmac
import os
from dataclasses import dataclass

from aioquic._buffer import Buffer, BufferReadError
from aioquic._crypto import CryptoError
from aioquic.quic.crypto import CryptoPair
from aioquic.quic.packet import (
    QuicErrorCode,
    QuicHeader,
    QuicPacketType,
    QuicProtocolVersion,
    encode_long_header_first_byte,
    get_retry_integrity_tag,
    pull_ack_frame,
    pull_quic_header,
)

VERSIONS = (QuicProtocolVersion.VERSION_1, QuicProtocolVersion.VERSION_2)
LEAST_INITIAL = 1200  # RFC 9000 14.1: a client's datagram with an Initial is at least this long
LEAST_ID = 8  # RFC 9000 7.2: the id that a client makes up is at least this long
TOKEN = 16
CLOSE_FRAMES = (0x1C, 0x1D)


@dataclass(slots=True, frozen=True)
class Packet:
    """One packet of a datagram: its header, its bytes, and where its payload begins."""

    header: QuicHeader
    data: bytes
    payload_at: int


@dataclass(slots=True, frozen=True)
class Opened:
    """What an Initial packet holds, as far as this front cares: a close's error code, if any."""

    close_code: int | None


def unknown_version(datagram: bytes) -> bool:
    """Whether it begins with a long header of a version whose packets this front can't read (RFC 8999)."""
    return len(datagram) > 4 and datagram[0] & 0x80 != 0 and int.from_bytes(datagram[1:5]) not in VERSIONS


def split(datagram: bytes, id_length: int) -> list[Packet]:
    """The packets of a datagram, up to the first that makes no sense."""
    packets: list[Packet] = []
    buffer = Buffer(data=datagram)
    try:
        while not buffer.eof():
            start = buffer.tell()
            header = pull_quic_header(buffer, host_cid_length=id_length)
            end = start + header.packet_length
            packets.append(Packet(header, datagram[start:end], buffer.tell() - start))
            buffer.seek(end)
            # What follows a short header is that packet's own; these end the datagram.
            if header.packet_type in (QuicPacketType.ONE_RTT, QuicPacketType.VERSION_NEGOTIATION,
                                      QuicPacketType.RETRY):
                break
    except (ValueError, BufferReadError, KeyError):
        pass  # RFC 9000 12.2: a receiver ignores what it can't read; the caller counts an empty list
    return packets


def open_initial(packet: Packet, first_id: bytes, from_client: bool) -> Opened | None:
    """Open an Initial with the keys that anyone can derive from the client's first id; None: not sound."""
    if packet.header.packet_type is not QuicPacketType.INITIAL or packet.header.version not in VERSIONS:
        return None
    keys = CryptoPair()
    keys.setup_initial(first_id, is_client=not from_client, version=packet.header.version)
    try:
        _, payload, _ = keys.decrypt_packet(packet.data, packet.payload_at, 0)
        return Opened(_close_code(payload))
    except (CryptoError, BufferReadError, ValueError):
        return None


def _close_code(payload: bytes) -> int | None:
    """The error code of the first close among an Initial's frames (padding, ping, ack, crypto, close)."""
    buffer = Buffer(data=payload)
    while not buffer.eof():
        kind = buffer.pull_uint_var()
        if kind in (0x00, 0x01):
            continue
        if kind in (0x02, 0x03):
            pull_ack_frame(buffer)
            for _ in range(3 if kind == 0x03 else 0):
                buffer.pull_uint_var()
        elif kind == 0x06:
            buffer.pull_uint_var()
            length = buffer.pull_uint_var()
            buffer.pull_bytes(length)
        elif kind in CLOSE_FRAMES:
            return buffer.pull_uint_var()
        else:
            raise ValueError(f"frame {kind} in an Initial")
    return None


def sound_retry(packet: Packet, first_id: bytes) -> bool:
    """Whether a Retry was made by someone who saw the client's Initial."""
    header = packet.header
    if header.packet_type is not QuicPacketType.RETRY or header.version not in VERSIONS:
        return False
    tag = get_retry_integrity_tag(packet.data[:-TOKEN], first_id, header.version)
    return hmac.compare_digest(tag, header.integrity_tag)


def close_initial(version: int, first_id: bytes, client_id: bytes, reason: str) -> bytes:
    """A server's Initial that closes with CONNECTION_REFUSED."""
    text = reason.encode()
    frame = Buffer(capacity=64 + len(text))
    frame.push_uint_var(CLOSE_FRAMES[0])
    frame.push_uint_var(QuicErrorCode.CONNECTION_REFUSED)
    frame.push_uint_var(0)
    frame.push_uint_var(len(text))
    frame.push_bytes(text)
    number_length = 2
    header = Buffer(capacity=128)
    header.push_uint8(encode_long_header_first_byte(version, QuicPacketType.INITIAL, number_length - 1))
    header.push_uint32(version)
    for an_id in (client_id, os.urandom(LEAST_ID)):
        header.push_uint8(len(an_id))
        header.push_bytes(an_id)
    header.push_uint_var(0)  # no token
    header.push_uint16(0x4000 | number_length + len(frame.data) + TOKEN)
    header.push_uint16(0)
    keys = CryptoPair()
    keys.setup_initial(first_id, is_client=False, version=version)
    return keys.encrypt_packet(header.data, frame.data, 0)


def reset_token(key: bytes, connection_id: bytes) -> bytes:
    """The token that a push box gives out with an id: the start of HMAC-SHA256 of the id by its key."""
    return hmac.digest(key, connection_id, "sha256")[:TOKEN]


def stateless_reset(key: bytes, connection_id: bytes, room: int = 43) -> bytes:
    """RFC 9000 10.3: looks like a short packet, ends in the token; at least 21 bytes, at most `room`."""
    noise = bytearray(os.urandom(max(5, min(room, 43) - TOKEN)))
    noise[0] = 0x40 | noise[0] & 0x3F
    return bytes(noise) + reset_token(key, connection_id)
