"""Connection ids that name their push box: the plaintext form of the QUIC-LB draft."""

from __future__ import annotations

import os
from dataclasses import dataclass

LONGEST_ID = 20  # RFC 9000; the draft keeps one octet of it for itself
UNROUTABLE = 7  # the configuration number that names no push box


@dataclass(slots=True, frozen=True)
class IdForm:
    """One configuration: first octet (3 bits number, 5 bits length or noise), server id, nonce."""

    number: int
    server_id_length: int
    nonce_length: int
    tells_length: bool = True

    def __post_init__(self) -> None:
        if not 0 <= self.number < UNROUTABLE:
            raise ValueError("config_id: must be from 0 to 6")
        if not 1 <= self.server_id_length <= 15:
            raise ValueError("server_id_length: must be from 1 to 15")
        if not 4 <= self.nonce_length <= 18:
            raise ValueError("nonce_length: must be from 4 to 18")
        if self.length > LONGEST_ID:
            raise ValueError("server_id_length and nonce_length: must not be over 19 together")

    @property
    def length(self) -> int:
        """The length of a whole id."""
        return 1 + self.server_id_length + self.nonce_length

    def make(self, server_id: bytes) -> bytes:
        """A fresh id for a push box."""
        if len(server_id) != self.server_id_length:
            raise ValueError("server id of another length")
        noise = os.urandom(1)[0] & 0x1F
        first = self.number << 5 | (self.length - 1 if self.tells_length else noise)
        return bytes([first]) + server_id + os.urandom(self.nonce_length)

    def read(self, connection_id: bytes) -> bytes | None:
        """The server id that an id holds, or None where it isn't of this form."""
        if len(connection_id) < self.length or connection_id[0] >> 5 != self.number:
            return None
        if self.tells_length and connection_id[0] & 0x1F != self.length - 1:
            return None
        return connection_id[1:1 + self.server_id_length]
