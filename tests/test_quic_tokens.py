"""Retry tokens, the ClientHello parser, Initial packets and frames, with valid and with untrusted input."""

from __future__ import annotations

import random

import pytest
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from hypothesis import given
from hypothesis import strategies as st

from gradefront.quic.headers import V1, V2, invariants, read_varint, split, varint, version_negotiation
from gradefront.quic.hello import Hello, HelloReader, InvalidHelloError
from gradefront.quic.initials import (
    derive_initial_keys,
    is_valid_retry,
    make_retry,
    open_initial,
    read_frames,
    seal_initial,
)
from gradefront.quic.tokens import TokenKey, TokenMint, TokenVerdict

KEYS = {3: TokenKey(bytes(range(16)), bytes(12)), 4: TokenKey(bytes(16), bytes(range(12)))}
MINT = TokenMint(KEYS, 4, 10_000_000)
CLIENT = ("192.0.2.7", 4433)
NOW = 1_800_000_000_000_000


def test_a_token_is_valid_only_for_its_address_id_and_lifetime() -> None:
    token = MINT.make(CLIENT, b"first-id", b"retry-id", NOW)

    def verdict_of(
        token: bytes = token, client: tuple[str, int] = CLIENT, to: bytes = b"retry-id", now: int = NOW
    ) -> TokenVerdict:
        return MINT.read(token, client, to, now).verdict

    assert MINT.read(token, CLIENT, b"retry-id", NOW)[:2] == (TokenVerdict.PROVEN, b"first-id")
    assert MINT.retry_ids(token) == (b"first-id", b"retry-id"), "the ids that a backend needs"
    assert (
        verdict_of(client=("192.0.2.8", 4433)) is TokenVerdict.STOLEN
        and verdict_of(client=("192.0.2.7", 1)) is TokenVerdict.STOLEN
    )
    assert verdict_of(client=("2001:db8::1", 4433)) is TokenVerdict.STOLEN
    assert verdict_of(to=b"other-id") is TokenVerdict.MISPLACED
    assert (
        verdict_of(now=NOW + 10_001_000) is TokenVerdict.EXPIRED
        and verdict_of(now=NOW + 9_999_000) is TokenVerdict.PROVEN
    )
    for at in range(1, len(token)):
        corrupted = token[:at] + bytes([token[at] ^ 1]) + token[at + 1 :]
        assert verdict_of(corrupted) is TokenVerdict.FORGED, at
    assert verdict_of(b"") is TokenVerdict.NONE and verdict_of(b"\x7fof a key that nobody has") is TokenVerdict.NONE


def test_tokens_of_an_older_key_are_valid_while_it_is_configured() -> None:
    old = TokenMint(KEYS, 3, 10_000_000).make(CLIENT, b"first-id", b"retry-id", NOW)
    assert MINT.read(old, CLIENT, b"retry-id", NOW).verdict is TokenVerdict.PROVEN
    assert TokenMint({4: KEYS[4]}, 4, 1).read(old, CLIENT, b"retry-id", NOW).verdict is TokenVerdict.NONE
    with pytest.raises(ValueError, match="newest"):
        TokenMint(KEYS, 9, 1)


def test_backend_tokens_are_ignored_and_shared_ones_prove_the_address_at_any_port() -> None:
    shared = MINT.make_new(CLIENT, NOW, 86_400_000_000)
    assert MINT.read(shared, (CLIENT[0], 9), b"any-id..", NOW).verdict is TokenVerdict.PROVEN
    for token in (shared[:-1] + bytes([shared[-1] ^ 1]), b"\x84" + b"a box's own, of any length" * 3):
        assert MINT.read(token, CLIENT, b"any-id..", NOW).verdict is TokenVerdict.NONE, (
            "a token that only a backend can validate must not be rejected"
        )
    assert MINT.read(shared, ("192.0.2.8", 9), b"any-id..", NOW).verdict is TokenVerdict.NONE
    assert repr(KEYS[3]) == "TokenKey(...)"


@given(st.binary(max_size=200))
def test_random_tokens_prove_nothing(token: bytes) -> None:
    assert MINT.read(token, CLIENT, b"x", NOW).verdict in (TokenVerdict.NONE, TokenVerdict.FORGED)
    MINT.retry_ids(token)


def hello_of(name: str, protocols: list[str]) -> tuple[bytes, tuple[tuple[int, bytes], ...]]:
    """Return a real client's first datagram and its CRYPTO frames."""
    client = QuicConnection(
        configuration=QuicConfiguration(is_client=True, server_name=name, alpn_protocols=protocols)
    )
    client.connect(("127.0.0.1", 1), 0.0)
    datagram = client.datagrams_to_send(0.0)[0][0]
    packet = split(datagram)[0]
    opened = open_initial(packet, packet.to_id, from_client=True)
    assert opened
    return datagram, opened.crypto


@given(st.integers(0, 2**32), st.integers(1, 40))
def test_a_hello_is_reassembled_from_repeated_fragments_in_any_order(seed: int, size: int) -> None:
    _, crypto = HELLO
    text = b"".join(piece for _, piece in crypto)
    pieces = [(at, text[at : at + size + 7]) for at in range(0, len(text), size)]  # they overlap
    rng = random.Random(seed)
    rng.shuffle(pieces)
    reader = HelloReader()
    for at, piece in pieces + pieces[:3]:
        try:
            reader.take(at, piece)
        except InvalidHelloError:
            assert len(pieces) > 64, "rejected although the fragments are within the limit"
            return
    assert reader.hello() == Hello("box.careshift.example", ("mqtt", "roster"))


HELLO = hello_of("Box.careshift.example", ["mqtt", "roster"])


@given(st.binary(max_size=400), st.integers(0, 300), st.integers(0, 255))
def test_corrupted_hellos_raise_only_invalid_hello_error(noise: bytes, at: int, octet: int) -> None:
    text = bytearray(HELLO[1][0][1])
    text[at % len(text)] = octet
    for piece in (noise, bytes(text), b"\x01" + noise):
        reader = HelloReader()
        try:
            reader.take(0, piece)
            reader.hello()
        except InvalidHelloError as error:
            assert str(error)
    reader = HelloReader()
    with pytest.raises(InvalidHelloError):
        reader.take(16_380, b"12345")


@given(st.integers(0, 2**62 - 1))
def test_varints_round_trip(value: int) -> None:
    assert read_varint(varint(value), 0) == (value, len(varint(value)))
    assert read_varint(varint(value)[:-1], 0) is None


@pytest.mark.parametrize("version", [V1, V2])
def test_sealed_initials_decrypt_and_a_retry_is_bound_to_the_first_id(version: int) -> None:
    payload = b"\x06\x00\x04text".ljust(1_150, b"\0")
    sealed = seal_initial(version, b"first-id", b"first-id", b"client", payload, True, b"tk")
    (packet,) = split(sealed)
    assert (packet.token, packet.version, packet.from_id) == (b"tk", version, b"client")
    opened = open_initial(packet, b"first-id", from_client=True)
    assert opened and opened.crypto == ((0, b"text"),) and open_initial(packet, b"other-id", True) is None
    (retry,) = split(make_retry(version, b"first-id", b"client", b"new-id", b"token"))
    assert is_valid_retry(retry, b"first-id") and not is_valid_retry(retry, b"other-id")
    assert (retry.to_id, retry.from_id, retry.token) == (b"client", b"new-id", b"token")


def test_initial_keys_match_the_rfc_vectors() -> None:
    """RFC 9001 A.1 and RFC 9369 A.1."""
    first = bytes.fromhex("8394c8f03e515708")
    assert derive_initial_keys(V1, first, True)[0].hex() == "1f369613dd76d5467730efcbe3b1a22d"
    assert derive_initial_keys(V1, first, False)[2].hex() == "c206b8d9b9f0f37644430b490eeaa314"
    assert derive_initial_keys(V2, first, True)[0].hex() == "8b1a0bc121284290a29e0971b5cd045d"


@given(st.binary(max_size=300))
def test_random_frames_raise_nothing(payload: bytes) -> None:
    opened = read_frames(payload)
    assert opened is None or all(len(piece) <= len(payload) for _, piece in opened.crypto)


def test_version_negotiation_swaps_ids_and_names_our_versions() -> None:
    header = invariants(bytes.fromhex("c0babababa") + b"\x03abc" + b"\x02de" + bytes(1_200))
    assert header
    answer = version_negotiation(header)
    parsed = invariants(answer)
    assert parsed and (parsed.version, parsed.to_id, parsed.from_id) == (0, b"de", b"abc")
    versions = [int.from_bytes(answer[at : at + 4]) for at in range(parsed.end, len(answer), 4)]
    assert V1 in versions and V2 in versions and len(versions) == 3
    assert [v for v in versions if v & 0x0F0F0F0F == 0x0A0A0A0A], "no reserved version (RFC 9000 15)"
