"""Datagrams between relays: msgpack (msgspec), sealed with a shared key that has an id, so that keys can rotate.

    "GF" | version 1 | key id 1 | HMAC-SHA256, first 16 | body

The body names its sender, the sender's boot id, a number that only rises within that boot, and its receiver. A
datagram that isn't sealed, is for another, comes twice or makes no sense raises `DatagramRejectedError`.

Both structs are arrays on the wire: the order of their fields is the format, their names are not.
"""

from __future__ import annotations

import hashlib
import hmac
from collections import OrderedDict
from collections.abc import Iterable
from typing import Annotated

import msgspec
from msgspec import Meta

from .members import Record, State

VERSION = 1
MAGIC = b"GF"
HEADER_BYTES = len(MAGIC) + 2
MAC_BYTES = 16
SEALED_BYTES = HEADER_BYTES + MAC_BYTES
MAX_DATAGRAM_BYTES = 1_200  # passes any link unfragmented
MAX_RECORDS = 32  # in a datagram
MAX_RECORDS_BYTES = 900  # of a datagram
RECORD_OVERHEAD_BYTES = 42  # at most, without name and address: four numbers of 9, a state, three lengths
REPLAY_WINDOW = 1_024  # datagram numbers below the highest that are still accepted
MAX_TRACKED_BOOTS = 512  # in the replay guard; the least recently heard one is dropped

# Kinds of message, as the wire has them.
PING = "ping"
ACK = "ack"
PING_REQ = "ask"
NACK = "nack"
TABLE = "table"

Name = Annotated[str, Meta(min_length=1, max_length=40)]
U64 = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]


class DatagramRejectedError(Exception):
    """A datagram that is not accepted; the argument is the counter that it goes to."""


class GossipRecord(msgspec.Struct, array_like=True, frozen=True):
    """A record on the wire."""

    name: Name
    address: Annotated[str, Meta(max_length=100)]
    state: Annotated[int, Meta(ge=0, le=4)]
    incarnation: U64
    boot_id: U64
    superseded_boot_id: U64
    age_us: U64


class Message(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """One datagram.

    A ping asks `to` for an ack with the ping's number as `probe_number`. A ping-req asks `to` to ping `target` and to
    relay its ack; a nack says that `target` has not answered the helper yet. A table only carries records.
    """

    sender: Name
    to: Name
    boot_id: U64
    number: U64
    kind: Annotated[str, Meta(pattern=f"^({PING}|{ACK}|{PING_REQ}|{NACK}|{TABLE})$")]
    probe_number: U64 = 0
    target: Annotated[str, Meta(max_length=40)] = ""
    digest: U64 = 0
    records: Annotated[tuple[GossipRecord, ...], Meta(max_length=MAX_RECORDS)] = ()


def to_gossip(record: Record, age_us: int) -> GossipRecord:
    """A record's form on the wire, with its age in microseconds as of now."""
    return GossipRecord(
        record.name,
        record.address,
        int(record.state),
        record.incarnation,
        record.boot_id,
        record.superseded_boot_id,
        max(0, age_us),
    )


def from_gossip(gossip: GossipRecord) -> Record:
    """A record from its form on the wire."""
    return Record(
        gossip.name,
        gossip.address,
        State(gossip.state),
        gossip.incarnation,
        gossip.boot_id,
        gossip.superseded_boot_id,
        gossip.age_us,
    )


def piggyback(records: Iterable[GossipRecord]) -> tuple[GossipRecord, ...]:
    """The first of the records, as many as one datagram can carry."""
    carried, free_bytes = list[GossipRecord](), MAX_RECORDS_BYTES
    for record in records:
        free_bytes -= len(record.name.encode()) + len(record.address.encode()) + RECORD_OVERHEAD_BYTES
        if free_bytes < 0 or len(carried) == MAX_RECORDS:
            break
        carried.append(record)
    return tuple(carried)


class Sealer:
    """Seals and opens the datagrams of the relay `own_name`.

    `keys` maps ids to keys: each of them opens datagrams, the one with the id `sealing_key_id` seals them.
    """

    def __init__(self, own_name: str, keys: dict[int, bytes], sealing_key_id: int) -> None:
        self.own_name = own_name
        self.keys = keys
        self.sealing_key_id = sealing_key_id
        self.encode = msgspec.msgpack.Encoder().encode
        self.decode = msgspec.msgpack.Decoder(Message).decode
        # By sender and boot id: the highest number, and a bit for each number of the window.
        self.replay_windows: OrderedDict[tuple[str, int], tuple[int, int]] = OrderedDict()

    def seal(self, message: Message) -> bytes:
        """The datagram of a message."""
        header, body = MAGIC + bytes((VERSION, self.sealing_key_id)), self.encode(message)
        return header + self._mac(self.sealing_key_id, header + body) + body

    def open(self, datagram: bytes) -> Message:
        """The message in a datagram. Raises DatagramRejectedError."""
        header, mac, body = datagram[:HEADER_BYTES], datagram[HEADER_BYTES:SEALED_BYTES], datagram[SEALED_BYTES:]
        if len(datagram) <= SEALED_BYTES or len(datagram) > MAX_DATAGRAM_BYTES or header[:2] != MAGIC:
            raise DatagramRejectedError("nonsense")
        if header[2] != VERSION:
            raise DatagramRejectedError("other_version")
        if header[3] not in self.keys or not hmac.compare_digest(mac, self._mac(header[3], header + body)):
            raise DatagramRejectedError("bad_seal")
        try:
            message = self.decode(body)
        except (msgspec.DecodeError, RecursionError):
            raise DatagramRejectedError("nonsense") from None
        if message.to != self.own_name:
            raise DatagramRejectedError("not_for_me")
        self._check_replay(message)
        return message

    def _mac(self, key_id: int, data: bytes) -> bytes:
        return hmac.digest(self.keys[key_id], data, hashlib.sha256)[:MAC_BYTES]

    def _check_replay(self, message: Message) -> None:
        """Guards against replay: each number of a boot counts once, and none below the window."""
        key = message.sender, message.boot_id
        highest, bits = self.replay_windows.get(key, (0, 0))
        ahead = message.number - highest
        if ahead > 0:
            bits = (bits << min(ahead, REPLAY_WINDOW) | 1) & ((1 << REPLAY_WINDOW) - 1)
        elif -ahead >= REPLAY_WINDOW or bits >> -ahead & 1:
            raise DatagramRejectedError("replayed")
        else:
            bits |= 1 << -ahead
        self.replay_windows[key] = max(highest, message.number), bits
        self.replay_windows.move_to_end(key)
        if len(self.replay_windows) > MAX_TRACKED_BOOTS:
            self.replay_windows.popitem(last=False)
