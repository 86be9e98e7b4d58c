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

LONGEST_ID = 20  # RFC 9000 17.2; the draft keeps one octet of it for itself
UNROUTABLE = 7  # 0b111: the number of ids that name no backend (section 3.1 of the draft)
KEY_LENGTH = 16
LONGEST_SERVER_ID = 15  # octets, as the draft allows
LEAST_NONCE, LONGEST_NONCE = 4, 18
BLOCK = 16
CACHED = 8_192  # decoded ids remembered; about 200 octets each


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
        if not 1 <= self.server_id_length <= LONGEST_SERVER_ID:
            raise ValueError("server_id_length: must be from 1 to 15")
        if not LEAST_NONCE <= self.nonce_length <= LONGEST_NONCE:
            raise ValueError("nonce_length: must be from 4 to 18")
        if self.length > LONGEST_ID:
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
        low = self.length - 1 if self.encodes_length else os.urandom(1)[0] & 0x1F
        hidden = server_id + nonce
        if self._aes:
            hidden = self._aes.encrypt(hidden) if len(hidden) == BLOCK else _passes(self._aes, hidden, (1, 2, 3, 4))
        return bytes([self.number << 5 | low]) + hidden

    def decode(self, connection_id: bytes) -> Decoded | None:
        """What an id holds, or None where it isn't of this form. Octets after the id are let be."""
        length = self.length
        if len(connection_id) < length or connection_id[0] >> 5 != self.number:
            return None
        if self.encodes_length and connection_id[0] & 0x1F != length - 1:
            return None
        plain = connection_id[1:length]
        if self._aes:
            plain = self._aes.decrypt(plain) if len(plain) == BLOCK else _passes(self._aes, plain, (4, 3, 2, 1))
        return Decoded(self.number, plain[: self.server_id_length], plain[self.server_id_length :])

    def read(self, connection_id: bytes) -> bytes | None:
        """The server id that an id holds, or None where it isn't of this form."""
        found = self.decode(connection_id)
        return found.server_id if found else None


# ---- the four-pass form. Halves are held as whole numbers; `half` is their length in octets. With an odd number
# of octets both halves own four bits of the middle one: the left its high ones, the right its low ones.


def _split(text: bytes) -> tuple[int, int, int, int, int]:
    """Halves, their length, and the masks that clear the nibble that each doesn't own."""
    size = len(text)
    half = -(-size // 2)
    whole = (1 << 8 * half) - 1
    left_mask, right_mask = (whole ^ 0x0F, whole >> 4) if size % 2 else (whole, whole)
    left = int.from_bytes(text[:half]) & left_mask
    right = int.from_bytes(text[size - half :]) & right_mask
    return left, right, half, left_mask, right_mask


def _join(left: int, right: int, half: int, size: int) -> bytes:
    return (left << 8 * (size - half) | right).to_bytes(size)


def _stir(aes: _Aes, given: int, half: int, size: int, number: int) -> int:
    """Leading octets of AES-ECB(half, zeros up to 14 octets, size, number of the pass)."""
    block = given.to_bytes(half) + bytes(14 - half) + bytes((size, number))
    return int.from_bytes(aes.encrypt(block)[:half])


def _passes(aes: _Aes, text: bytes, order: Iterable[int]) -> bytes:
    """The passes in this order, 1 to 4 to hide and 4 to 1 to show: each one undoes itself."""
    size = len(text)
    left, right, half, left_mask, right_mask = _split(text)
    for number in order:
        if number % 2:
            right ^= _stir(aes, left, half, size, number) & right_mask
        else:
            left ^= _stir(aes, right, half, size, number) & left_mask
    return _join(left, right, half, size)


class IdDecoder:
    """All configurations that are live, told apart by the 3 bits, with decoded ids cached in bounded memory.

    When the cache is full its older half goes: ids in use come back at the price of one decoding each.
    """

    def __init__(self, forms: Iterable[IdForm], cached: int = CACHED) -> None:
        self.forms: list[IdForm | None] = [None] * 8
        for form in forms:
            if self.forms[form.number]:
                raise ValueError(f"config_id: {form.number} is used twice")
            self.forms[form.number] = form
        self.lengths = [form.length if form else 0 for form in self.forms]
        self.cached = cached
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
        found = form.decode(connection_id) if form else None
        named = (found.config_id, found.server_id) if found else None
        if len(self.cache) >= self.cached:
            for old in list(self.cache)[: self.cached // 2 or 1]:
                del self.cache[old]
        self.cache[connection_id] = named
        return named
