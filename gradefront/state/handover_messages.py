"""Messages between the two processes of a handover. No I/O.

A process that answers handover messages says so in the address that its socket was bound to, which the sender can
read. To such a process a message begins with a header line, and it is answered by one `HandoverAnswer`. A former
process sends bare snapshots, and neither sends nor reads answers. Ids that clients have used are told in messages of
their own.
"""

from __future__ import annotations

import binascii
import re
from collections.abc import Iterable
from dataclasses import dataclass

HEADER = re.compile(rb"HANDOVER 2 ([0-9]{1,18}) ([0-9]{1,18})\n")
MAX_HEADER_BYTES = 50
MAX_ANSWER_BYTES = 512
MAX_REASON_LENGTH = 400  # characters
ANSWER = re.compile(rb"(ADOPTED|REJECTED) ([0-9]{1,18})(?: ([ -~]*))?")

IDS_HEADER = b"IDS 1\n"
ID_BYTES = 8
CONNECTION_ID = re.compile(rb"[0-9a-f]{16}")
MAX_IDS = 2_048  # in one message


class InvalidAnswerError(Exception):
    """An answer that is not in the form of `HandoverAnswer`."""


@dataclass(frozen=True, slots=True)
class HandoverMessage:
    """One connection, without the sockets that accompany the message."""

    snapshot: bytes  # in the form of `form.encode_snapshot`
    number: int | None = None  # repeated in the answer; None: from a former process, which awaits no answer
    clock_us: int | None = None  # the sender's clock as it sent the message, for the times in the snapshot

    def encode(self) -> bytes:
        """Serialise the message."""
        if self.number is None:
            return self.snapshot
        return b"HANDOVER 2 %d %d\n" % (self.number, self.clock_us or 0) + self.snapshot


def decode_message(data: bytes) -> HandoverMessage:
    """Parse a message. Whatever has no header is a former process's message: its snapshot may be invalid."""
    header = HEADER.match(data)
    if header is None:
        return HandoverMessage(data)
    return HandoverMessage(data[header.end() :], int(header[1]), int(header[2]))


def encode_ids(ids: Iterable[bytes]) -> bytes:
    """Return a message that tells ids, in hexadecimal, which clients of the sender have used. It gets no answer."""
    return IDS_HEADER + b"".join(binascii.unhexlify(known) for known in ids if CONNECTION_ID.fullmatch(known))


def decode_ids(data: bytes) -> list[bytes] | None:
    """Return the ids that a message tells, or None if it is another message."""
    if not data.startswith(IDS_HEADER):
        return None
    ids = data[len(IDS_HEADER) :]
    return [ids[start : start + ID_BYTES].hex().encode() for start in range(0, len(ids) - ID_BYTES + 1, ID_BYTES)]


@dataclass(frozen=True, slots=True)
class HandoverAnswer:
    """Whether the receiver has adopted the connection of message `number`, and if not, why."""

    number: int
    is_adopted: bool
    reason: str = ""

    def encode(self) -> bytes:
        """Serialise the answer."""
        verb = b"ADOPTED" if self.is_adopted else b"REJECTED"
        reason = re.sub(r"[^ -~]", "?", self.reason[:MAX_REASON_LENGTH])
        return b"%s %d %s" % (verb, self.number, reason.encode())


def decode_answer(data: bytes) -> HandoverAnswer:
    """Parse an answer. Raises InvalidAnswerError."""
    match = ANSWER.fullmatch(data)
    if match is None:
        raise InvalidAnswerError(f"not an answer: {data[:80]!r}")
    return HandoverAnswer(int(match[2]), match[1] == b"ADOPTED", (match[3] or b"").decode())
