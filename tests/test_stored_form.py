"""Tests of the stored form of connection snapshots, whose bytes do not depend on the names used in the code."""

from __future__ import annotations

import json
from dataclasses import replace

import pytest

from gradefront.config import parse
from gradefront.state.form import SnapshotError, decode_snapshot, encode_snapshot, stored_rules
from tests.helper import CLASS

# As written by release 0.2.0.
VERSION_1 = (
    b'{"id":"c-17","klass":"visit-checkin","rules":{"aim_us":500000,"deadline_us":2000000,"repeat":"keyed",'
    b'"scope":"zone","dedup_window_us":750000,"worth":15.0,"message_aim_us":100000},"key":"k1","group":"g4",'
    b'"tenant":0,"box":"box-2","load":1250.5,"heard_us":1900000,"asked_us":[1700000,1800000],'
    b'"from_carer":"TVNHIHBhcg==","from_box":"","version":1}'
)
NOW_US = 2_000_000


def rules_from_settings(**changes: object) -> dict[str, object]:
    """Return the stored rules of the request class in VERSION_1, parsed from settings with `changes`."""
    request_class = {
        "name": "visit-checkin",
        "aimUs": 500_000,
        "deadlineUs": 2_000_000,
        "semantics": "keyed",
        "keyScope": "zone",
        "dedupWindowUs": 750_000,
        "points": 15,
    }
    settings = {"grades": [request_class | changes], "familyInfo": {"messageAimUs": [100_000]}}
    config = parse({"settings": settings, "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2"}, {})
    return stored_rules(config.settings.classes[0])


def test_a_version_1_snapshot_decodes_and_encodes_to_the_same_bytes() -> None:
    assert encode_snapshot(decode_snapshot(VERSION_1, NOW_US)) == VERSION_1


def test_the_class_rules_of_a_snapshot_equal_only_those_of_the_same_settings() -> None:
    snapshot_rules = decode_snapshot(VERSION_1, NOW_US).class_rules
    assert rules_from_settings() == snapshot_rules
    for change in (
        {"aimUs": 500_001},
        {"deadlineUs": 2_000_001},
        {"semantics": "safe"},
        {"keyScope": "all"},
        {"dedupWindowUs": 0},
        {"points": 1},
    ):
        assert rules_from_settings(**change) != snapshot_rules, change


def test_stored_rules_have_the_stored_names_in_their_order() -> None:
    stored = json.loads(VERSION_1)["rules"]
    assert list(stored_rules(replace(CLASS))) == list(stored)


@pytest.mark.parametrize("name", sorted(json.loads(VERSION_1)))
def test_a_snapshot_with_a_missing_and_an_unknown_field_is_rejected(name: str) -> None:
    stored = json.loads(VERSION_1)
    stored[f"{name}_2"] = stored.pop(name)
    with pytest.raises(SnapshotError):
        decode_snapshot(json.dumps(stored).encode(), NOW_US)
