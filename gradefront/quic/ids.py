"""Connection ids that name their backend: draft-ietf-quic-load-balancers, all of its forms.

An id is a first octet (3 bits: number of the configuration; 5 bits: length of the rest, or noise), a server id
and a nonce. The latter two are plain, or hidden with AES-128-ECB: in a single pass where they make 16 octets
together, else in the four passes of a Feistel network (section 5.4 of the draft). No I/O.
"""

from __future__ import annotations

import os
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from cryptography.hazmat.primitives.ciphers import Cipher, algorithms, modes

MAX_ID_LENGTH = 20  # RFC 9000 17.2; the draft keeps one octet of it for itself
UNROUTABLE = 7  # 0b111: the number of ids that name no backend (section 3.1 of the draft)
KEY_LENGTH = 16
MAX_SERVER_ID_LENGTH = 15  # octets, as the draft allows
MIN_NONCE_LENGTH, MAX_NONCE_LENGTH = 4, 18
BLOCK = 16
DEFAULT_CACHE_SIZE = 8_192  # decoded ids remembered; about 200 octets each


class Decoded(NamedTuple):
    """What an id holds."""

    config_id: int
    server_id: bytes
    nonce: bytes


class _Aes:
    """AES-128-ECB of single blocks. One context a direction is kept: making one costs more than its use."""

    def __init__(self, key: bytes) -> None:
        cipher = Cipher(algorithms.AES(key), modes.ECB())  # noqa: S305 - the draft's own choice, one block an id
        self.encrypt = cipher.encryptor().update
        self.decrypt = cipher.decryptor().update


@dataclass(slots=True, frozen=True)
class IdForm:
    """One configuration. Raises ValueError, whose text begins with the field, where it makes no sense."""

    number: int
    server_id_length: int
    nonce_length: int
    encodes_length: bool = True
    key: bytes | None = field(default=None, repr=False)  # never shown: a log line may hold a form
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
        """The length of a whole id."""
        return 1 + self.server_id_length + self.nonce_length

    def make(self, server_id: bytes, nonce: bytes | None = None) -> bytes:
        """An id for a backend, fresh unless the nonce is given. Raises ValueError on a wrong length."""
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
        """What an id holds, or None where it isn't of this form. Octets after the id are let be."""
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
        """The server id that an id holds, or None where it isn't of this form."""
        decoded = self.decode(connection_id)
        return decoded.server_id if decoded else None


# ---- the four-pass form. Halves are held as whole numbers; `half` is their length in octets. With an odd number
# of octets both halves own four bits of the middle one: the left its high ones, the right its low ones.


def _split_halves(text: bytes) -> tuple[int, int, int, int, int]:
    """Halves, their length, and the masks that clear the nibble that each doesn't own."""
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
    """Leading octets of AES-ECB(half, zeros up to 14 octets, size, number of the pass)."""
    block = value.to_bytes(half_length) + bytes(14 - half_length) + bytes((size, number))
    return int.from_bytes(aes.encrypt(block)[:half_length])


def _feistel_passes(aes: _Aes, text: bytes, order: Iterable[int]) -> bytes:
    """The passes in this order, 1 to 4 to hide and 4 to 1 to show: each one undoes itself."""
    size = len(text)
    left, right, half_length, left_mask, right_mask = _split_halves(text)
    for number in order:
        if number % 2:
            right ^= _round_value(aes, left, half_length, size, number) & right_mask
        else:
            left ^= _round_value(aes, right, half_length, size, number) & left_mask
    return _join_halves(left, right, half_length, size)


class IdDecoder:
    """All configurations that are live, told apart by the 3 bits, with decoded ids cached in bounded memory.

    When the cache is full its older half goes: ids in use come back at the price of one decoding each.
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
        """The id in a short header (RFC 8999 5.2), by the length of its configuration."""
        if len(datagram) <= 1:  # no octet of an id
            return None
        length = self.lengths[datagram[1] >> 5]
        return datagram[1 : 1 + length] if length and len(datagram) > length else None

    def server_id_of(self, connection_id: bytes) -> tuple[int, bytes] | None:
        """Configuration and server id that an id names, or None."""
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
