"""Tests that the relay parses the settings of both deployment variants, without the platform.

They guard against code that fits one deployment only.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest

from balancer.settings import Idempotency
from gradefront.config import parse
from gradefront.net.lines import parse_request_line

SITES = Path(__file__).parent.parent / "deploy" / "sites"


def platform_settings(site: dict[str, Any]) -> dict[str, Any]:
    """Return the settings of a relay at the site, in the platform's format."""
    tier, allow, rules = site["tier"][0], site["allow"], site["rules"]
    return {
        "grades": [
            {
                "name": c["name"],
                "aimUs": c["aim_ms"] * 1000,
                "deadlineUs": c["deadline_ms"] * 1000,
                "points": c["worth"],
                "semantics": c["effect"],
                "stream": True,
            }
            for c in site["class"]
        ],
        "parties": [{"name": t["name"], "share": t["share"]} for t in site.get("tenant", ())],
        "familyInfo": {"groups": True, "messageAimUs": [c["message_ms"] * 1000 for c in site["fam"]["class"]]},
        "permissions": {
            "maxAttempts": allow["max_attempts"],
            "probes": allow["probes"],
            "connectTimeoutUs": tier["conn"]["connect_timeout_ms"] * 1000,
            "retryAfter": allow["retry_after"],
            "maxRetryAfterUs": site["clients"]["max_retry_after_ms"] * 1000,
        },
        "rules": {
            "drainGraceUs": rules["drain_grace_ms"] * 1000,
            "tipMultiple": rules["fall_multiple"],
            "fallUs": rules["fall_ms"] * 1000,
        },
        "discovery": site["discovery"]["mode"],
        "zones": site["net"]["zones"],
        "weights": tier["weights"],
        "models": [k["name"] for k in tier["kind"]],
        "fleetSize": 3,
        "report": {"how": "pull", "names": tier["report"]["fields"]},
    }


@pytest.mark.parametrize(
    ("name", "attempts", "asked", "classes", "tenants"),
    [("lake-mild", 5, True, 2, 2), ("mill-strict", 1, False, 3, 4)],
)
def test_the_settings_of_each_deployment_variant_are_parsed(
    name: str, attempts: int, asked: bool, classes: int, tenants: int
) -> None:
    site = tomllib.loads((SITES / f"{name}.toml").read_text())
    config = parse(
        {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:1",
            "seed": "1f",
            "settings": platform_settings(site),
        },
        {},
    )
    assert (config.settings.max_attempts, config.settings.polls_endpoint_list) == (attempts, asked)
    assert len(config.class_names) == classes and len(config.tenants) == tenants
    assert config.settings.drain_grace_us == site["rules"]["drain_grace_ms"] * 1000
    assert all(c.idempotency is Idempotency.IDEMPOTENT for c in config.settings.classes)
    for number, request_class in enumerate(site["class"]):
        tenant = site["tenant"][-1]["name"]
        line = (
            f"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 "
            f"c={request_class['name']},t={tenant},d={request_class['deadline_ms']},"
            "g=5c0f6e1a2b3d4c59"
        )
        call, _ = parse_request_line(line.encode(), config)
        assert (call.request_class, call.tenant) == (number, tenants - 1)
        assert call.timeout_us == config.settings.classes[number].deadline_us
