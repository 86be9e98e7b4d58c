"""The kernel's queue of a TCP listener: connections that are complete for their clients and wait to be accepted.

Closing a listener resets what its queue holds. So before the last accept no new handshake may begin, while those
under way still end: a classic BPF program on the listener drops segments that carry SYN without ACK.
"""

from __future__ import annotations

import ctypes
import socket
import struct
from typing import NamedTuple

#: The start of Linux' `struct tcp_info`: eight bytes, four counts, and for a listener the length of its queue.
QUEUE_LENGTH = struct.Struct("=8x4x4x4x4xI")

SO_ATTACH_FILTER = 26  # Linux' number; the socket module does not name it
TCP_FLAGS_OFFSET = 13  # in the TCP header, with which the data of a filter on a TCP socket begins
TCP_SYN = 0x02
TCP_ACK = 0x10
ALL_BYTES = 0xFFFFFFFF
NO_BYTES = 0

#: Operation codes of classic BPF, as Linux' `linux/filter.h` composes them.
BPF_LOAD_BYTE = 0x30
BPF_AND = 0x54
BPF_JUMP_IF_EQUAL = 0x15
BPF_RETURN = 0x06


class BpfInstruction(NamedTuple):
    """One instruction. A jump skips so many instructions where its condition holds, or does not."""

    code: int
    value: int
    skip_if_true: int = 0
    skip_if_false: int = 0


DROP_NEW_HANDSHAKES = (
    BpfInstruction(BPF_LOAD_BYTE, TCP_FLAGS_OFFSET),
    BpfInstruction(BPF_AND, TCP_SYN | TCP_ACK),
    BpfInstruction(BPF_JUMP_IF_EQUAL, TCP_SYN, skip_if_false=1),
    BpfInstruction(BPF_RETURN, NO_BYTES),
    BpfInstruction(BPF_RETURN, ALL_BYTES),
)
INSTRUCTION = struct.Struct("=HBBI")
PROGRAM = struct.Struct("HP")  # the number of instructions and their address, in the machine's own layout


def drop_new_handshakes(listener: socket.socket) -> bool:
    """Have the kernel let no further client begin to connect; those that have begun still can.

    Such a client's system tries again a second later. False where the system has no such filters.
    """
    code = b"".join(
        INSTRUCTION.pack(one.code, one.skip_if_true, one.skip_if_false, one.value) for one in DROP_NEW_HANDSHAKES
    )
    buffer = ctypes.create_string_buffer(code)
    try:
        program = PROGRAM.pack(len(DROP_NEW_HANDSHAKES), ctypes.addressof(buffer))
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    except OSError:
        return False
    return True


def queued_connections(listener: socket.socket) -> int:
    """How many connections wait in a listener's queue; 0 where the system does not tell."""
    try:
        info = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, QUEUE_LENGTH.size)
        (queued,) = QUEUE_LENGTH.unpack(info)
    except (OSError, struct.error):
        return 0
    return int(queued)
