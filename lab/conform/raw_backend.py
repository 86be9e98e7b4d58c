"""A backend that answers raw packets as a case directs, and the connection id configurations that it can use."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from gradefront.quic.headers import Kind, Packet, split
from gradefront.quic.ids import IdForm
from gradefront.quic.initials import close_initial, seal_initial

Where = tuple[str, int]  # host and port
KEY = bytes.fromhex("8f95f09245765f80256934e50c66207f")
#: Connection id configurations (QUIC-LB): number, server id length, nonce length, whether the first octet encodes
#: the id's length, and the key, if the id is encrypted.
FORMS = {
    "plain": IdForm(0, 2, 9),
    "four passes": IdForm(1, 2, 9, True, KEY),
    "single pass": IdForm(2, 4, 12, True, KEY),
    "odd": IdForm(3, 3, 4, True, KEY),
    "noise": IdForm(4, 2, 6, False, KEY),
    "longest": IdForm(5, 4, 15, True, KEY),
    "shortest": IdForm(6, 1, 4, True, KEY),
}
PLAIN = FORMS["plain"]
SERVER_HELLO = b"\x06\x00\x08" + b"\x02\x00\x00\x04abcd"


class RawBackend(asyncio.DatagramProtocol):
    """A backend that passes each Initial to the case's handler and records every datagram that it receives.

    Datagrams for clients of finished cases are dropped: the relay may still be retrying for them.
    """

    def __init__(self, number: int, inbox: asyncio.Queue[tuple[RawBackend, bytes, Where]], over: set[bytes]) -> None:
        self.over = over  # first ids of clients of finished cases
        self.name = f"box-{number}"
        self.server_ids = [bytes([number + 1] * length) for length in (1, 2, 3, 4)]
        self.inbox = inbox
        self.on_initial: Callable[[RawBackend, Packet, Where], None] = serve
        self.form = PLAIN

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        self.wire, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        self.port = self.wire.get_extra_info("sockname")[1]

    def datagram_received(self, data: bytes, addr: Any) -> None:
        packets = split(data, PLAIN.length)
        if packets and packets[0].to_id in self.over:
            return
        self.inbox.put_nowait((self, data, addr))
        if packets and packets[0].kind is Kind.INITIAL:
            self.on_initial(self, packets[0], addr)

    def new_id(self, form: IdForm | None = None) -> bytes:
        form = form or self.form
        return form.make(self.server_ids[form.server_id_length - 1])

    def answer(
        self, packet: Packet, addr: Where, payload: bytes, from_id: bytes | None = None, first_id: bytes | None = None
    ) -> None:
        """Send the client a server Initial with `payload`, sealed with the keys of `first_id` or the packet's id."""
        self.wire.sendto(
            seal_initial(packet.version, first_id or packet.to_id, packet.from_id, from_id or self.new_id(), payload),
            addr,
        )


def serve(backend: RawBackend, packet: Packet, addr: Where) -> None:
    """Continue the handshake: answer with a ServerHello."""
    backend.answer(packet, addr, SERVER_HELLO)


def refuse(backend: RawBackend, packet: Packet, addr: Where) -> None:
    """Refuse the connection, as a backend without capacity does."""
    backend.wire.sendto(close_initial(packet.version, packet.to_id, packet.from_id, "full"), addr)


def close_with_error(backend: RawBackend, packet: Packet, addr: Where) -> None:
    """Close the connection with INTERNAL_ERROR (0x01), as a backend with a fault does."""
    backend.wire.sendto(close_initial(packet.version, packet.to_id, packet.from_id, "", 0x01), addr)


def stay_silent(backend: RawBackend, packet: Packet, addr: Where) -> None:
    """Send no answer."""
