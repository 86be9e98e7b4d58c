"""The kernel's accept queue of a TCP listener: connections that are established but not accepted yet.

Closing a listener resets the connections in its queue. So before the last accept no new handshake may begin, but
those in progress may complete: a classic BPF program on the listener drops segments that carry SYN without ACK.
"""

from __future__ import annotations

import ctypes
import socket
import struct
from typing import NamedTuple

#: Start of Linux' `struct tcp_info`: eight bytes, four 32-bit fields, and for a listener the length of its queue.
QUEUE_LENGTH = struct.Struct("=8x4x4x4x4xI")

SO_ATTACH_FILTER = 26  # value on Linux; not defined in the socket module
TCP_FLAGS_OFFSET = 13  # offset in the TCP header, where the data of a filter on a TCP socket begins
TCP_SYN = 0x02
TCP_ACK = 0x10
ALL_BYTES = 0xFFFFFFFF
NO_BYTES = 0

#: Opcodes of classic BPF, as composed from the constants in `linux/filter.h`.
BPF_LOAD_BYTE = 0x30
BPF_AND = 0x54
BPF_JUMP_IF_EQUAL = 0x15
BPF_RETURN = 0x06


class BpfInstruction(NamedTuple):
    """One instruction. A jump skips `skip_if_true` or `skip_if_false` instructions, depending on its condition."""

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
PROGRAM = struct.Struct("HP")  # `struct sock_fprog`: number of instructions and their address, in native layout


def drop_new_handshakes(listener: socket.socket) -> bool:
    """Make the kernel drop new handshakes on the listener; handshakes in progress still complete.

    The system of a client that is dropped retries a second later. Returns False if socket filters are unsupported.
    """
    code = b"".join(
        INSTRUCTION.pack(instruction.code, instruction.skip_if_true, instruction.skip_if_false, instruction.value)
        for instruction in DROP_NEW_HANDSHAKES
    )
    buffer = ctypes.create_string_buffer(code)
    try:
        program = PROGRAM.pack(len(DROP_NEW_HANDSHAKES), ctypes.addressof(buffer))
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    except OSError:
        return False
    return True


def queued_connections(listener: socket.socket) -> int:
    """Return the number of connections in a listener's accept queue, or 0 if the system does not report it."""
    try:
        info = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, QUEUE_LENGTH.size)
        (queued,) = QUEUE_LENGTH.unpack(info)
    except (OSError, struct.error):
        return 0
    return int(queued)
