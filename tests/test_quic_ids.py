"""Connection ids: the draft's published vectors, encoding and decoding in all formats, and the decoder's cache."""

from __future__ import annotations

import os

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gradefront.quic.ids import IdDecoder, IdForm

KEY = bytes.fromhex("8f95f09245765f80256934e50c66207f")

#: Appendix B of draft-ietf-quic-load-balancers: configuration, server id, nonce, id.
VECTORS = [
    (0, "ed793a", "ee080dbf", "0720b1d07b359d3c"),
    (1, "ed793a51d49b8f5fab65", "ee080dbf48", "2fcc381bc74cb4fbad2823a3d1f8fed2"),
    (2, "ed793a51d49b8f5f", "ee080dbf48c0d1e5", "504dd2d05a7b0de9b2b9907afb5ecf8cc3"),
    (0, "ed793a51d49b8f5fab", "ee080dbf48c0d1e55d", "125779c9cc86beb3a3a4a3ca96fce4bfe0cdbc"),
]


@pytest.mark.parametrize(("number", "server_id", "nonce", "encoded"), VECTORS)
def test_published_vectors_encode_and_decode(number: int, server_id: str, nonce: str, encoded: str) -> None:
    form = IdForm(number, len(server_id) // 2, len(nonce) // 2, True, KEY)
    assert form.make(bytes.fromhex(server_id), bytes.fromhex(nonce)).hex() == encoded
    assert form.decode(bytes.fromhex(encoded)) == (number, bytes.fromhex(server_id), bytes.fromhex(nonce))


@given(st.integers(1, 15), st.integers(4, 18), st.booleans(), st.data())
def test_ids_of_every_length_decode_to_what_was_encoded(
    server_length: int, nonce: int, encrypted: bool, data: st.DataObject
) -> None:
    if server_length + nonce > 19:
        with pytest.raises(ValueError, match="19 together"):
            IdForm(3, server_length, nonce)
        return
    form = IdForm(3, server_length, nonce, True, KEY if encrypted else None)
    server_id = data.draw(st.binary(min_size=server_length, max_size=server_length))
    nonce_octets = data.draw(st.binary(min_size=nonce, max_size=nonce))
    encoded = form.make(server_id, nonce_octets)
    assert form.decode(encoded) == (3, server_id, nonce_octets) and len(encoded) == form.length
    if encrypted and server_length + nonce > 6:
        assert encoded[1:] != server_id + nonce_octets, "the id is not encrypted"
        assert IdForm(3, server_length, nonce, True, KEY[::-1]).decode(encoded) != (3, server_id, nonce_octets)


def test_repr_of_a_form_omits_its_key() -> None:
    assert KEY.hex() not in repr(IdForm(0, 3, 4, True, KEY)) and repr(KEY) not in repr(IdForm(0, 3, 4, True, KEY))
    with pytest.raises(ValueError, match="key: must be 16 octets"):
        IdForm(0, 3, 4, True, KEY[:15])


def test_a_decoder_distinguishes_configurations_and_bounds_its_cache() -> None:
    old, new = IdForm(0, 2, 9), IdForm(5, 3, 4, True, KEY)
    decoder = IdDecoder([old, new], cache_size=64)
    first, second = old.make(b"\0\1"), new.make(b"\0\0\2")
    for _ in range(2):  # the second time from the cache
        assert decoder.server_id_of(first) == (0, b"\0\1") and decoder.server_id_of(second) == (5, b"\0\0\2")
    assert (
        decoder.short_header_id(b"\x40" + second + b"payload") == second
        and decoder.short_header_id(b"\x40" + first + b"p") == first
    )
    assert decoder.short_header_id(b"\x40\xe0" + b"x" * 30) is None, (
        "the configuration number of ids that encode no backend"
    )
    assert decoder.short_header_id(b"\x40") is None and decoder.server_id_of(b"") is None
    for _ in range(1_000):
        decoder.server_id_of(os.urandom(8))
    assert len(decoder.cache) <= 64 and decoder.server_id_of(first) == (0, b"\0\1")
    with pytest.raises(ValueError, match="used twice"):
        IdDecoder([old, IdForm(0, 3, 4)])
