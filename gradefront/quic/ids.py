"""Connection ids that encode their backend's server id, in all formats of draft-ietf-quic-load-balancers.

An id consists of a first octet (3 bits: number of the configuration; 5 bits: length of the rest, or random bits), a
server id and a nonce. The latter two are in plaintext or encrypted with AES-128-ECB: in a single pass if they have 16
octets together, otherwise in the four passes of a Feistel network (section 5.4 of the draft). No I/O.
"""

from __future__ import annotations

import os
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from cryptography.hazmat.primitives.ciphers import Cipher, algorithms, modes

MAX_ID_LENGTH = 20  # RFC 9000 17.2; the draft uses one of these octets for itself
UNROUTABLE = 7  # 0b111: the configuration number of ids that encode no backend (section 3.1 of the draft)
KEY_LENGTH = 16
MAX_SERVER_ID_LENGTH = 15  # octets, as the draft allows
MIN_NONCE_LENGTH, MAX_NONCE_LENGTH = 4, 18
BLOCK = 16
DEFAULT_CACHE_SIZE = 8_192  # decoded ids remembered; about 200 octets each


class Decoded(NamedTuple):
    """The decoded fields of an id."""

    config_id: int
    server_id: bytes
    nonce: bytes


class _Aes:
    """AES-128-ECB of single blocks. The contexts are reused, as creating one costs more than its use."""

    def __init__(self, key: bytes) -> None:
        cipher = Cipher(algorithms.AES(key), modes.ECB())  # noqa: S305 - the draft prescribes ECB; one block for each id
        self.encrypt = cipher.encryptor().update
        self.decrypt = cipher.decryptor().update


@dataclass(slots=True, frozen=True)
class IdForm:
    """One configuration of ids. Raises ValueError if it is invalid; the text begins with the name of the field."""

    number: int
    server_id_length: int
    nonce_length: int
    encodes_length: bool = True
    key: bytes | None = field(default=None, repr=False)  # kept out of repr: an IdForm may be logged
    _aes: _Aes | None = field(default=None, init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        if not 0 <= self.number < UNROUTABLE:
            raise ValueError("config_id: must be from 0 to 6")
        if not 1 <= self.server_id_length <= MAX_SERVER_ID_LENGTH:
            raise ValueError("server_id_length: must be from 1 to 15")
        if not MIN_NONCE_LENGTH <= self.nonce_length <= MAX_NONCE_LENGTH:
            raise ValueError("nonce_length: must be from 4 to 18")
        if self.length > MAX_ID_LENGTH:
            raise ValueError("server_id_length and nonce_length: must not be over 19 together")
        if self.key is not None:
            if len(self.key) != KEY_LENGTH:
                raise ValueError(f"key: must be {KEY_LENGTH} octets")
            object.__setattr__(self, "_aes", _Aes(self.key))

    @property
    def length(self) -> int:
        """The length of a whole id in octets."""
        return 1 + self.server_id_length + self.nonce_length

    def make(self, server_id: bytes, nonce: bytes | None = None) -> bytes:
        """Make an id for a backend, with a random nonce unless one is given. Raises ValueError on a wrong length."""
        if len(server_id) != self.server_id_length:
            raise ValueError(f"server_id: must be {self.server_id_length} octets")
        nonce = os.urandom(self.nonce_length) if nonce is None else nonce
        if len(nonce) != self.nonce_length:
            raise ValueError(f"nonce: must be {self.nonce_length} octets")
        low_bits = self.length - 1 if self.encodes_length else os.urandom(1)[0] & 0x1F
        body = server_id + nonce
        if self._aes:
            body = self._aes.encrypt(body) if len(body) == BLOCK else _feistel_passes(self._aes, body, (1, 2, 3, 4))
        return bytes([self.number << 5 | low_bits]) + body

    def decode(self, connection_id: bytes) -> Decoded | None:
        """Decode an id; None if it does not belong to this configuration. Octets after the id are ignored."""
        length = self.length
        if len(connection_id) < length or connection_id[0] >> 5 != self.number:
            return None
        if self.encodes_length and connection_id[0] & 0x1F != length - 1:
            return None
        plain = connection_id[1:length]
        if self._aes:
            plain = (
                self._aes.decrypt(plain) if len(plain) == BLOCK else _feistel_passes(self._aes, plain, (4, 3, 2, 1))
            )
        return Decoded(self.number, plain[: self.server_id_length], plain[self.server_id_length :])

    def read(self, connection_id: bytes) -> bytes | None:
        """Return the server id that an id encodes; None if it does not belong to this configuration."""
        decoded = self.decode(connection_id)
        return decoded.server_id if decoded else None


# ---- four-pass encryption. The halves are integers; `half_length` is their length in octets. If the number of octets
# is odd, the halves share the middle octet: the left half has its high four bits, the right half its low ones.


def _split_halves(text: bytes) -> tuple[int, int, int, int, int]:
    """Return both halves, their length, and the masks that clear the nibble belonging to the other half."""
    size = len(text)
    half_length = -(-size // 2)
    full_mask = (1 << 8 * half_length) - 1
    left_mask, right_mask = (full_mask ^ 0x0F, full_mask >> 4) if size % 2 else (full_mask, full_mask)
    left = int.from_bytes(text[:half_length]) & left_mask
    right = int.from_bytes(text[size - half_length :]) & right_mask
    return left, right, half_length, left_mask, right_mask


def _join_halves(left: int, right: int, half_length: int, size: int) -> bytes:
    return (left << 8 * (size - half_length) | right).to_bytes(size)


def _round_value(aes: _Aes, value: int, half_length: int, size: int, number: int) -> int:
    """Return the leading octets of AES-ECB(half, zeros up to 14 octets, size, number of the pass)."""
    block = value.to_bytes(half_length) + bytes(14 - half_length) + bytes((size, number))
    return int.from_bytes(aes.encrypt(block)[:half_length])


def _feistel_passes(aes: _Aes, text: bytes, order: Iterable[int]) -> bytes:
    """Apply the passes in the given order: 1 to 4 encrypts, 4 to 1 decrypts, as each pass is its own inverse."""
    size = len(text)
    left, right, half_length, left_mask, right_mask = _split_halves(text)
    for number in order:
        if number % 2:
            right ^= _round_value(aes, left, half_length, size, number) & right_mask
        else:
            left ^= _round_value(aes, right, half_length, size, number) & left_mask
    return _join_halves(left, right, half_length, size)


class IdDecoder:
    """Decoder for all active configurations, which the first 3 bits of an id select, with a bounded cache of results.

    When the cache is full, its older half is evicted; ids still in use are then decoded once more.
    """

    def __init__(self, forms: Iterable[IdForm], cache_size: int = DEFAULT_CACHE_SIZE) -> None:
        self.forms: list[IdForm | None] = [None] * 8
        for form in forms:
            if self.forms[form.number]:
                raise ValueError(f"config_id: {form.number} is used twice")
            self.forms[form.number] = form
        self.lengths = [form.length if form else 0 for form in self.forms]
        self.cache_size = cache_size
        self.cache: dict[bytes, tuple[int, bytes] | None] = {}

    def short_header_id(self, datagram: bytes) -> bytes | None:
        """Return the id in a short header (RFC 8999 5.2), whose length depends on its configuration; None if the
        datagram is too short or the configuration unknown."""
        if len(datagram) <= 1:  # has no octet of an id
            return None
        length = self.lengths[datagram[1] >> 5]
        return datagram[1 : 1 + length] if length and len(datagram) > length else None

    def server_id_of(self, connection_id: bytes) -> tuple[int, bytes] | None:
        """Return the configuration number and server id that an id encodes, or None."""
        try:
            return self.cache[connection_id]
        except KeyError:
            pass
        form = self.forms[connection_id[0] >> 5] if connection_id else None
        decoded = form.decode(connection_id) if form else None
        result = (decoded.config_id, decoded.server_id) if decoded else None
        if len(self.cache) >= self.cache_size:
            for old in list(self.cache)[: self.cache_size // 2 or 1]:
                del self.cache[old]
        self.cache[connection_id] = result
        return result
