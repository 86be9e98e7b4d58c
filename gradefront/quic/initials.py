"""Initial packets: decryption and encryption with keys that any observer on the path can derive (RFC 9001 5.2).

No I/O. Keys are derived with plain HMACs, and each packet takes one AEAD call: under a flood this is the cost of an
Initial.
"""

from __future__ import annotations

import hmac
import os
from functools import lru_cache
from typing import NamedTuple

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers import Cipher, algorithms, modes
from cryptography.hazmat.primitives.ciphers.aead import AESGCM

from .headers import TAG_LENGTH, V1, V2, Kind, Packet, first_octet, read_varint, varint

CONNECTION_REFUSED = 0x02  # RFC 9000 20.1
INVALID_TOKEN = 0x0B
SAMPLE_LENGTH = 16  # octets sampled for header protection (RFC 9001 5.4.2)
RANGE_COUNT_FIELD = 2  # index of the ACK Range Count field in an ACK frame (RFC 9000 19.3)
MAX_CRYPTO_FRAMES = 64  # in one packet; real clients send a few
MAX_CACHED_KEYS = 512  # derived keys kept in the cache, for pending connections

SALTS = {
    V1: bytes.fromhex("38762cf7f55934b34d179ae6a4c80cadccbb7f0a"),  # RFC 9001 5.2
    V2: bytes.fromhex("0dede3def700a6db819381be6e269dcbf9bd2ed9"),
}  # RFC 9369 3.3.1
LABELS = {V1: (b"quic key", b"quic iv", b"quic hp"), V2: (b"quicv2 key", b"quicv2 iv", b"quicv2 hp")}
RETRY_KEYS = {
    V1: (
        bytes.fromhex("be0c690b9f66575a1d766b54e368c84e"),  # RFC 9001 5.8
        bytes.fromhex("461599d35d632bf2239825bb"),
    ),
    V2: (
        bytes.fromhex("8fb4b01b56ac48e260fbcbcead7ccc92"),  # RFC 9369 3.3.3
        bytes.fromhex("d86969bc2d7c6d9990efb04a"),
    ),
}

PADDING, PING, ACK, ACK_ECN, CRYPTO = 0x00, 0x01, 0x02, 0x03, 0x06
CONNECTION_CLOSE_TYPES = (0x1C, 0x1D)


class InitialKeys(NamedTuple):
    """The keys that protect one side's Initials."""

    key: bytes
    iv: bytes
    header: bytes


class InitialPayload(NamedTuple):
    """The fields of an Initial's payload that the front needs."""

    close_code: int | None = None
    crypto: tuple[tuple[int, bytes], ...] = ()  # offset and data of each CRYPTO frame
    acks: bool = False


def _hkdf_expand_label(secret: bytes, label: bytes, length: int) -> bytes:
    """HKDF-Expand-Label (RFC 8446 7.1) with an empty context, for at most one hash block of output."""
    name = b"tls13 " + label
    info = length.to_bytes(2) + bytes([len(name)]) + name + b"\x00"
    return hmac.digest(secret, info + b"\x01", "sha256")[:length]


@lru_cache(maxsize=MAX_CACHED_KEYS)
def derive_initial_keys(version: int, first_id: bytes, client: bool) -> InitialKeys:
    """Derive the keys of the client's or the server's Initials from the client's first destination id."""
    common = hmac.digest(SALTS[version], first_id, "sha256")
    secret = _hkdf_expand_label(common, b"client in" if client else b"server in", 32)
    key, iv, header = LABELS[version]
    return InitialKeys(
        _hkdf_expand_label(secret, key, 16),
        _hkdf_expand_label(secret, iv, 12),
        _hkdf_expand_label(secret, header, 16),
    )


def _mask(keys: InitialKeys, sample: bytes) -> bytes:
    return Cipher(algorithms.AES(keys.header), modes.ECB()).encryptor().update(sample)  # noqa: S305 - RFC 9001 5.4.3


def open_initial(packet: Packet, first_id: bytes, from_client: bool) -> InitialPayload | None:
    """Decrypt an Initial with the keys derived from the client's first id; None if it is invalid."""
    if packet.kind is not Kind.INITIAL or packet.version not in SALTS:
        return None
    data, pos = packet.data, packet.payload_offset
    sample = data[pos + 4 : pos + 4 + SAMPLE_LENGTH]
    if len(sample) < SAMPLE_LENGTH:
        return None
    keys = derive_initial_keys(packet.version, first_id, from_client)
    mask = _mask(keys, sample)
    first = data[0] ^ mask[0] & 0x0F
    size = (first & 3) + 1
    number = int.from_bytes(data[pos : pos + size]) ^ int.from_bytes(mask[1 : 1 + size])
    header = bytes([first]) + data[1:pos] + number.to_bytes(size)
    nonce = (int.from_bytes(keys.iv) ^ number).to_bytes(12)
    try:
        payload = AESGCM(keys.key).decrypt(nonce, data[pos + size :], header)
    except (InvalidTag, ValueError):
        return None
    return read_frames(payload)


def read_frames(payload: bytes) -> InitialPayload | None:
    """Parse the frames that an Initial may contain (RFC 9000 12.4).

    None if there is any other frame, no frame, or more than MAX_CRYPTO_FRAMES: each of them costs."""
    crypto: list[tuple[int, bytes]] = []
    pos, acks, end = 0, False, len(payload)
    while pos < end:
        kind = payload[pos]
        pos += 1
        if kind == PADDING:  # often most of a datagram, therefore skipped at once
            pos = end - len(payload[pos:].lstrip(b"\x00"))
        elif kind == PING:
            continue
        elif kind in (ACK, ACK_ECN):
            acks = True
            found = _skip_ack(payload, pos, kind == ACK_ECN)
            if found is None:
                return None
            pos = found
        elif kind == CRYPTO:
            offset = read_varint(payload, pos)
            length = read_varint(payload, offset[1]) if offset else None
            if offset is None or length is None or length[1] + length[0] > end:
                return None
            pos = length[1] + length[0]
            crypto.append((offset[0], payload[length[1] : pos]))
            if len(crypto) > MAX_CRYPTO_FRAMES:
                return None
        elif kind in CONNECTION_CLOSE_TYPES:
            code = read_varint(payload, pos)
            return InitialPayload(code[0], tuple(crypto), acks) if code else None
        else:
            return None
    return InitialPayload(None, tuple(crypto), acks) if payload else None


def _skip_ack(payload: bytes, pos: int, with_ecn: bool) -> int | None:
    """Return the offset after an ACK frame (RFC 9000 19.3); None if it is truncated."""
    ranges = 0
    for field in range(4):  # largest, delay, count of ranges, first range
        found = read_varint(payload, pos)
        if found is None:
            return None
        pos = found[1]
        if field == RANGE_COUNT_FIELD:
            ranges = found[0]
    for _ in range(min(2 * ranges, len(payload)) + (3 if with_ecn else 0)):
        found = read_varint(payload, pos)
        if found is None:
            return None
        pos = found[1]
    return pos


def seal_initial(  # noqa: PLR0913 - the fields of the packet
    version: int,
    first_id: bytes,
    to_id: bytes,
    from_id: bytes,
    payload: bytes,
    from_client: bool = False,
    token: bytes = b"",
    number: int = 0,
) -> bytes:
    """Build an encrypted Initial packet."""
    keys = derive_initial_keys(version, first_id, from_client)
    payload = payload.ljust(4, b"\x00")  # RFC 9001 5.4.2: enough octets for the header protection sample
    size = 2
    header = b"".join(
        (
            bytes([first_octet(version, Kind.INITIAL, size - 1)]),
            version.to_bytes(4),
            bytes([len(to_id)]),
            to_id,
            bytes([len(from_id)]),
            from_id,
            varint(len(token)),
            token,
            (0x4000 | size + len(payload) + TAG_LENGTH).to_bytes(2),
            number.to_bytes(size),
        )
    )
    sealed = AESGCM(keys.key).encrypt((int.from_bytes(keys.iv) ^ number).to_bytes(12), payload, header)
    mask = _mask(keys, sealed[4 - size : 20 - size])
    hidden = int.from_bytes(header[-size:]) ^ int.from_bytes(mask[1 : 1 + size])
    return bytes([header[0] ^ mask[0] & 0x0F]) + header[1:-size] + hidden.to_bytes(size) + sealed


def close_initial(
    version: int, first_id: bytes, client_id: bytes, reason: str, code: int = CONNECTION_REFUSED
) -> bytes:
    """Build a server's Initial with a CONNECTION_CLOSE. Its size is less than a tenth of the smallest Initial that it
    answers, well within the anti-amplification limit (RFC 9000 8.1)."""
    text = reason.encode()
    frame = bytes([CONNECTION_CLOSE_TYPES[0]]) + varint(code) + b"\x00" + varint(len(text)) + text
    return seal_initial(version, first_id, client_id, os.urandom(8), frame)


def busy_reason(pause_us: int) -> str:
    """Return the reason phrase of a rejection, with the advised pause in milliseconds unless it is 0."""
    return f"BUSY {-(-pause_us // 1000)}" if pause_us else "BUSY"


def _retry_tag(version: int, first_id: bytes, body: bytes) -> bytes:
    key, nonce = RETRY_KEYS[version]
    return AESGCM(key).encrypt(nonce, b"", bytes([len(first_id)]) + first_id + body)


def make_retry(version: int, first_id: bytes, client_id: bytes, new_id: bytes, token: bytes) -> bytes:
    """Build a Retry packet (RFC 9000 17.2.5), which asks the client for an Initial with `token`, to `new_id`."""
    body = b"".join(
        (
            bytes([first_octet(version, Kind.RETRY, os.urandom(1)[0] & 0x0F)]),
            version.to_bytes(4),
            bytes([len(client_id)]),
            client_id,
            bytes([len(new_id)]),
            new_id,
            token,
        )
    )
    return body + _retry_tag(version, first_id, body)


def is_valid_retry(packet: Packet, first_id: bytes) -> bool:
    """Return whether a Retry's integrity tag matches the first id of the client's Initial, which shows that the
    sender of the Retry saw that Initial (RFC 9001 5.8)."""
    if packet.kind is not Kind.RETRY or packet.version not in RETRY_KEYS:
        return False
    tag = _retry_tag(packet.version, first_id, packet.data[:-TAG_LENGTH])
    return hmac.compare_digest(tag, packet.data[-TAG_LENGTH:])
