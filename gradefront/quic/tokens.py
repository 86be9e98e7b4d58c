"""Retry tokens under keys that relays and backends share: the shared-state format of draft-ietf-quic-retry-offload.

A token proves that its sender received a packet at the address that the token contains. Layout, in octets:

    1   kind (top bit: 0 Retry, 1 NEW_TOKEN) and sequence number of the key (7 bits)
    12  unique number of the token
    ..  AES-128-GCM of: length of the first id (0 in a NEW_TOKEN), length of the Retry's id, both ids, client's
        address (16, IPv4 mapped) and port (2; 0 in a NEW_TOKEN), time of expiry in Unix milliseconds (8)
    16  tag

The nonce is the key's IV xor the unique number; the first octet and the unique number are the associated data. The
client's address is part of the token, because a backend behind the relay sees the relay's address and must still be
able to read the ids. No I/O.
"""

from __future__ import annotations

import os
import socket
from collections.abc import Mapping
from enum import Enum
from functools import lru_cache
from typing import NamedTuple

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM

from .headers import MAX_ID_LENGTH

NEW_TOKEN_BIT = 0x80
NUMBER_LENGTH = 12
TAG_LENGTH = 16
FIXED_BODY_LENGTH = 2 + 16 + 2 + 8  # octets of the encrypted body without the ids
MIN_TOKEN_LENGTH = 1 + NUMBER_LENGTH + FIXED_BODY_LENGTH + TAG_LENGTH


class TokenKey(NamedTuple):
    """One of the keys in rotation."""

    key: bytes
    iv: bytes

    def __repr__(self) -> str:
        return "TokenKey(...)"  # a TokenKey may be logged


class TokenVerdict(Enum):
    """The result of a token's validation."""

    NONE = "none"  # no token, one under no known key (as a backend issues), or an invalid NEW_TOKEN: no error
    PROVEN = "proven"  # the client received the token at this address
    FORGED = "forged"  # a Retry token that names one of the keys but does not decrypt to a valid body
    STOLEN = "stolen"  # issued to another address
    EXPIRED = "expired"
    MISPLACED = "misplaced"  # valid, but in an Initial to another id than the Retry's


class TokenCheck(NamedTuple):
    """A token's verdict and, if it is valid, its contents."""

    verdict: TokenVerdict
    first_id: bytes = b""
    number: bytes = b""


@lru_cache(maxsize=4_096)
def pack_address(host: str) -> bytes:
    """Return an IP address as 16 octets. Raises OSError if `host` is not an address."""
    if ":" in host:
        return socket.inet_pton(socket.AF_INET6, host.partition("%")[0])
    return bytes(10) + b"\xff\xff" + socket.inet_pton(socket.AF_INET, host)


class TokenMint:
    """Issues tokens under the newest key and validates those under any configured key."""

    def __init__(self, keys: Mapping[int, TokenKey], newest: int, life_us: int) -> None:
        if newest not in keys:
            raise ValueError(f"newest: no key has sequence number {newest}")
        self.sealers = {number: (AESGCM(key.key), int.from_bytes(key.iv)) for number, key in keys.items()}
        self.newest = newest
        self.life_us = life_us

    def make(self, client: tuple[str, int], first_id: bytes, retry_id: bytes, now_us: int) -> bytes:
        """Make a Retry token. Times are in Unix microseconds."""
        end_ms = (now_us + self.life_us) // 1000
        return self._seal(
            self.newest,
            b"".join(
                (
                    bytes([len(first_id), len(retry_id)]),
                    first_id,
                    retry_id,
                    pack_address(client[0]),
                    client[1].to_bytes(2),
                    end_ms.to_bytes(8),
                )
            ),
        )

    def make_new(self, client: tuple[str, int], now_us: int, life_us: int) -> bytes:
        """Make a NEW_TOKEN token, as a backend that knows its client's address would."""
        return self._seal(
            NEW_TOKEN_BIT | self.newest,
            b"".join((bytes(2), pack_address(client[0]), bytes(2), ((now_us + life_us) // 1000).to_bytes(8))),
        )

    def _seal(self, first: int, body: bytes) -> bytes:
        sealer, iv = self.sealers[first & ~NEW_TOKEN_BIT]
        number = os.urandom(NUMBER_LENGTH)
        header = bytes([first]) + number
        return header + sealer.encrypt((iv ^ int.from_bytes(number)).to_bytes(NUMBER_LENGTH), body, header)

    def _unseal(self, token: bytes) -> bytes | None:
        """Return the decrypted body; None if the token or its layout is invalid."""
        sealer_and_iv = self.sealers.get(token[0] & ~NEW_TOKEN_BIT & 0xFF) if len(token) >= MIN_TOKEN_LENGTH else None
        if sealer_and_iv is None:
            return None
        sealer, iv = sealer_and_iv
        header, number = token[: 1 + NUMBER_LENGTH], token[1 : 1 + NUMBER_LENGTH]
        try:
            body = sealer.decrypt(
                (iv ^ int.from_bytes(number)).to_bytes(NUMBER_LENGTH), token[1 + NUMBER_LENGTH :], header
            )
        except InvalidTag:
            return None
        first, second = body[0], body[1]
        if first > MAX_ID_LENGTH or second > MAX_ID_LENGTH or len(body) != FIXED_BODY_LENGTH + first + second:
            return None
        return body if bool(first) is not bool(token[0] & NEW_TOKEN_BIT) else None

    def retry_ids(self, token: bytes) -> tuple[bytes, bytes] | None:
        """Return the client's first id and the Retry's id from a Retry token, which a backend needs for its transport
        parameters (RFC 9000 7.3); None if the token is invalid or of another kind."""
        body = self._unseal(token)
        if body is None or not body[0]:
            return None
        return body[2 : 2 + body[0]], body[2 + body[0] : 2 + body[0] + body[1]]

    def read(self, token: bytes, client: tuple[str, int], to_id: bytes, now_us: int) -> TokenCheck:
        """Validate a token that arrived from this address in an Initial to this id."""
        if not token or token[0] & ~NEW_TOKEN_BIT & 0xFF not in self.sealers:
            return TokenCheck(TokenVerdict.NONE)
        is_new = bool(token[0] & NEW_TOKEN_BIT)
        body = self._unseal(token)
        if body is None:  # may be a NEW_TOKEN that a backend issued in its own format
            return TokenCheck(TokenVerdict.NONE if is_new else TokenVerdict.FORGED)
        ids = 2 + body[0] + body[1]
        if int.from_bytes(body[ids + 18 :]) * 1000 < now_us:
            return TokenCheck(TokenVerdict.NONE if is_new else TokenVerdict.EXPIRED)
        if body[ids : ids + 16] != pack_address(client[0]):
            return TokenCheck(TokenVerdict.NONE if is_new else TokenVerdict.STOLEN)
        number = token[1 : 1 + NUMBER_LENGTH]
        if is_new:
            return TokenCheck(TokenVerdict.PROVEN, b"", number)
        if int.from_bytes(body[ids + 16 : ids + 18]) != client[1]:
            return TokenCheck(TokenVerdict.STOLEN)
        if body[2 + body[0] : ids] != to_id:
            return TokenCheck(TokenVerdict.MISPLACED)
        return TokenCheck(TokenVerdict.PROVEN, body[2 : 2 + body[0]], number)
