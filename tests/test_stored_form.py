"""The stored form of a connection that is handed over: its bytes are fixed, whatever the code's own names are."""

from __future__ import annotations

import json
from dataclasses import replace

import pytest

from gradefront.config import parse
from gradefront.state.form import FormError, read, stored_rules, write
from tests.helper import CLASS

# As version 0.2.0 wrote it.
VERSION_1 = (
    b'{"id":"c-17","klass":"visit-checkin","rules":{"aim_us":500000,"deadline_us":2000000,"repeat":"keyed",'
    b'"scope":"zone","dedup_window_us":750000,"worth":15.0,"message_aim_us":100000},"key":"k1","group":"g4",'
    b'"tenant":0,"box":"box-2","load":1250.5,"heard_us":1900000,"asked_us":[1700000,1800000],'
    b'"from_carer":"TVNHIHBhcg==","from_box":"","version":1}'
)
NOW_US = 2_000_000


def configured(**changes: object) -> dict[str, object]:
    """The stored rules of the class that version 1 describes, as settings tell it."""
    grade = {
        "name": "visit-checkin",
        "aimUs": 500_000,
        "deadlineUs": 2_000_000,
        "semantics": "keyed",
        "keyScope": "zone",
        "dedupWindowUs": 750_000,
        "points": 15,
    }
    settings = {"grades": [grade | changes], "familyInfo": {"messageAimUs": [100_000]}}
    config = parse({"settings": settings, "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2"}, {})
    return stored_rules(config.settings.classes[0])


def test_a_description_of_version_1_is_read_and_written_with_the_same_bytes() -> None:
    assert write(read(VERSION_1, NOW_US)) == VERSION_1


def test_the_rules_of_a_description_equal_those_of_the_same_settings_only() -> None:
    described = read(VERSION_1, NOW_US).class_rules
    assert configured() == described
    for change in (
        {"aimUs": 500_001},
        {"deadlineUs": 2_000_001},
        {"semantics": "safe"},
        {"keyScope": "all"},
        {"dedupWindowUs": 0},
        {"points": 1},
    ):
        assert configured(**change) != described, change


def test_rules_have_the_stored_names_in_their_order() -> None:
    stored = json.loads(VERSION_1)["rules"]
    assert list(stored_rules(replace(CLASS))) == list(stored)


@pytest.mark.parametrize("name", sorted(json.loads(VERSION_1)))
def test_a_description_without_a_field_or_with_another_one_is_refused(name: str) -> None:
    stored = json.loads(VERSION_1)
    stored[f"{name}_2"] = stored.pop(name)
    with pytest.raises(FormError):
        read(json.dumps(stored).encode(), NOW_US)
