"""Ids, packets and the settings file of the QUIC front, without sockets."""

from __future__ import annotations

import os
import socket
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from aioquic._buffer import Buffer
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.packet import QuicErrorCode, encode_quic_retry, pull_quic_header
from hypothesis import given
from hypothesis import strategies as st

from balancer.settings import RequestClass, Settings
from gradefront.config import Config, ConfigError
from gradefront.quic import FILE as SHIPPED_FILE
from gradefront.quic import config as quic_config
from gradefront.quic import switch
from gradefront.quic.front import QuicFront
from gradefront.quic.headers import VERSIONS, Kind, invariants, reset_token, split, stateless_reset
from gradefront.quic.ids import IdForm
from gradefront.quic.initials import close_initial, is_valid_retry, open_initial

from .helper import Bench

CONFIG = Config(
    name="n0",
    listen=("127.0.0.1", 0),
    discovery=("127.0.0.1", 1),
    seed=1,
    sockets=100,
    settings=Settings(classes=(RequestClass(latency_objective_us=1, deadline_us=2),)),
    class_names=("visit-checkin",),
    zones=(),
    models=(),
    tenants=(),
    report_names=(),
    reports_message_latency=False,
)
FILE: dict[str, Any] = {
    "on": True,
    "listen": {"visit-checkin": "127.0.0.1:0"},
    "config_id": 1,
    "server_id_length": 2,
    "nonce_length": 5,
    "boxes": {"a": {"server_id": "0001", "address": "127.0.0.1:5", "reset_key": "00ff"}},
}

FORMS = st.builds(IdForm, st.integers(0, 6), st.integers(1, 7), st.integers(4, 12), st.booleans())


@given(FORMS, st.data())
def test_an_id_names_the_backend_that_made_it(form: IdForm, data: st.DataObject) -> None:
    server_id = data.draw(st.binary(min_size=form.server_id_length, max_size=form.server_id_length))
    made = form.make(server_id)
    assert len(made) == form.length <= 20 and made[0] >> 5 == form.number
    assert form.read(made) == server_id and form.make(server_id) != made
    assert form.read(made[:-1]) is None
    assert IdForm((form.number + 1) % 7, form.server_id_length, form.nonce_length).read(made) is None


def test_the_draft_s_plaintext_example_decodes() -> None:
    # First octet: configuration 0 and a length of 8 octets; then the server id 31441a; the rest is the nonce.
    form = IdForm(0, 3, 5)
    assert form.read(bytes.fromhex("0831441a9c69c27512")) == bytes.fromhex("31441a")
    assert form.read(bytes.fromhex("0731441a9c69c27512")) is None, "the first octet encodes another length"
    assert form.read(bytes.fromhex("e831441a9c69c27512")) is None, (
        "the configuration number of ids that encode no backend"
    )


@given(st.binary(max_size=1500), st.sampled_from([b"", b"\xc0\x00\x00\x00\x01", b"\xd0\x6b\x33\x43\xcf", b"\x40"]))
def test_random_datagrams_raise_nothing(noise: bytes, head: bytes) -> None:
    datagram = head + noise
    invariants(datagram)
    for packet in split(datagram, 8):
        assert packet.data and len(packet.data) <= len(datagram)
        opened = open_initial(packet, packet.to_id, from_client=True)
        assert opened is None, "random octets decrypt with the Initial keys"
        assert not is_valid_retry(packet, b"first-id")


@pytest.mark.parametrize("version", VERSIONS)
def test_a_close_decrypts_only_with_the_client_s_first_id(version: int) -> None:
    datagram = close_initial(version, b"first-id", b"client", "BUSY 250")
    (packet,) = split(datagram, 8)
    assert packet.to_id == b"client" and len(packet.data) == len(datagram)
    opened = open_initial(packet, b"first-id", from_client=False)
    assert opened and opened.close_code == QuicErrorCode.CONNECTION_REFUSED
    assert open_initial(packet, b"other-id", from_client=False) is None
    assert open_initial(packet, b"first-id", from_client=True) is None


def test_a_client_s_initial_decrypts_and_a_corrupted_one_does_not() -> None:
    client = QuicConnection(configuration=QuicConfiguration(is_client=True))
    client.connect(("127.0.0.1", 1), 0.0)
    for datagram, _ in client.datagrams_to_send(0.0):
        first_id = pull_quic_header(Buffer(data=datagram), 8).destination_cid
        packet = split(datagram, 8)[0]
        opened = open_initial(packet, first_id, from_client=True)
        assert opened is not None and opened.close_code is None
        end = len(packet.data) - 1
        corrupted = split(datagram[:end] + bytes([datagram[end] ^ 1]) + datagram[end + 1 :], 8)[0]
        assert open_initial(corrupted, first_id, from_client=True) is None


def test_a_retry_is_sound_only_for_the_initial_that_it_answers() -> None:
    retry = encode_quic_retry(VERSIONS[0], b"box-id-1", b"client", b"first-id", b"token")
    (packet,) = split(retry, 8)
    assert packet.kind is Kind.RETRY
    assert is_valid_retry(packet, b"first-id") and not is_valid_retry(packet, b"other-id")


@given(st.binary(min_size=1, max_size=20), st.integers(0, 100))
def test_a_reset_resembles_a_short_packet_and_ends_in_the_token(connection_id: bytes, space: int) -> None:
    key = os.urandom(16)
    reset = stateless_reset(key, connection_id, space)
    assert reset[0] & 0xC0 == 0x40 and 21 <= len(reset) <= max(21, min(space, 43))
    assert reset[-16:] == reset_token(key, connection_id) != reset_token(key + b"x", connection_id)


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"config_id": 7}, "config_id"),
        ({"nonce_length": 3}, "nonce_length"),
        ({"server_id_length": 15, "nonce_length": 9}, "together"),
        ({"listen": {"nobody": "127.0.0.1:1"}}, "listen: no class"),
        ({"listen": {"visit-checkin": "x"}}, "HOST:PORT"),
        ({"boxes": {"a": {"server_id": "01", "address": "127.0.0.1:1", "reset_key": ""}}}, "boxes.a.server_id"),
        ({"boxes": {n: FILE["boxes"]["a"] for n in "ab"}}, "same server_id"),
        ({"boxes": {"a": {}}}, "boxes.a.address: missing"),
        ({"boxes": {"a": {"address": "127.0.0.1:5", "reset_key": "00"}}}, "boxes.a.server_id: missing"),
        ({"limits": {"pressure": 0}}, "limits.pressure: .* has 0"),
        ({"limits": {"presure": 1}}, "limits.presure"),
        ({"limits": {"allow": ["10.0.0.0/8"], "deny": ["10.1.0.0/16"]}}, "limits.deny: '10.1.0.0/16'"),
        ({"limits": {"deny": ["10.1.0.0/99"]}}, "limits.deny: '10.1.0.0/99'"),
        ({"retry": {"mode": "auto"}}, "retry.newest"),
        ({"retry": {"mode": "maybe"}}, "retry.mode"),
        ({"ids": [{"config_id": 0, "server_id_length": 2, "nonce_length": 4, "key": "zz"}]}, "ids.0..key: not hex"),
        (
            {"ids": [{"config_id": 0, "server_id_length": 2, "nonce_length": 4}] * 2},
            "ids: config_id: 0 is used twice",
        ),
        ({"classes": {"alpn": {"roster": "nobody"}}}, "classes.alpn.roster: no class is named 'nobody'"),
    ],
)
def test_invalid_settings_are_rejected_naming_the_field(change: dict[str, Any], message: str) -> None:
    quic_config.parse(FILE, CONFIG)
    with pytest.raises(ConfigError, match=message):
        quic_config.parse({**FILE, **change}, CONFIG)


def test_as_shipped_the_front_is_off() -> None:
    assert switch.load(CONFIG, SHIPPED_FILE) is None
    assert switch.load(CONFIG, Path("no/such/file")) is None


def test_a_listen_address_in_use_is_an_error_that_names_the_setting() -> None:
    """Guards against a start that ends with a traceback because another process holds the port."""
    reactor: Any = SimpleNamespace(addReader=lambda _: None, removeReader=lambda _: None)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
        taken.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        front = quic_config.parse({**FILE, "listen": {"visit-checkin": address}}, CONFIG)
        with pytest.raises(
            ConfigError, match=f"quic.json: listen.visit-checkin: cannot listen on {address}: Address"
        ):
            QuicFront(CONFIG, front, Bench().core, reactor)
