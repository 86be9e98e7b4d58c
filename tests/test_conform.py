"""The conformance suite in CI: raw-packet cases against the real program, and the reporting of failed cases."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from lab.conform import Suite, Verdict, judge, write
from lab.conform import quic as conform
from lab.link import Direction, Impairment

CASES = ["forms", "retry", "classes", "ports", "unsound answer", "RFC 9000 13.2"]


@pytest.mark.parametrize("name", CASES)
def test_selected_cases_pass_against_the_real_relay(name: str) -> None:
    reported: list[Verdict] = []
    verdicts = asyncio.run(conform.play([name], [], reported.append))
    assert reported == verdicts and len(verdicts) >= 2
    assert [(v.case.name, v.said) for v in verdicts if not v.passed] == []


def test_against_an_address_only_cases_that_need_nothing_else_are_run(tmp_path: Path) -> None:
    async def against() -> list[Verdict]:
        async with conform.open_place("plain") as place:
            return await conform.play(["RFC 8999 6"], [place.front], lambda verdict: None)

    verdicts = asyncio.run(against())
    assert len(verdicts) == 6 and all(v.passed for v in verdicts)
    skipped = asyncio.run(conform.play(["QUIC-LB 3.1"], [("127.0.0.1", 1)], lambda verdict: None))
    assert [v.passed for v in skipped] == [None]
    for out in (tmp_path / "t.json", tmp_path / "t.md"):
        write(verdicts, "quic", out)
    table = json.loads((tmp_path / "t.json").read_text())
    assert [c["verdict"] for c in table["cases"]] == ["pass"] * 6 and "6 of 6" in (tmp_path / "t.md").read_text()


def test_a_failed_case_is_reported_with_its_assertion_message() -> None:
    suite = Suite("none")

    @suite.case("section 1", "nothing holds", over=["a", "b"])
    async def never(place: object, value: str) -> None:
        assert value == "a", f"it was {value}"

    verdicts = [asyncio.run(judge(case, None)) for case in suite.cases]
    assert [(v.passed, v.said) for v in verdicts] == [(True, ""), (False, "it was b")]


def test_the_suite_has_at_least_120_uniquely_named_cases_with_section_and_requirement() -> None:
    from lab.conform import quic_cases  # noqa: F401

    assert len(conform.suite.cases) >= 120
    assert len({c.name for c in conform.suite.cases}) == len(conform.suite.cases)
    assert all(c.section and c.requirement for c in conform.suite.cases)


def test_impairments_are_reproducible_by_seed_and_keep_their_rates() -> None:
    impairment = Impairment(loss=0.1, burst=3, duplicate=0.2, corrupt=0.1, jitter=0.02, mtu=1_000)

    def arrivals(seed: str) -> list[list[tuple[float, bytes]]]:
        from collections import Counter

        direction, counts = Direction(impairment, seed), Counter[str]()
        return [direction.arrivals(b"%d" % n * 50, counts) for n in range(5_000)]

    first = arrivals("1 there")
    assert first == arrivals("1 there") != arrivals("2 there")
    lost = sum(not f for f in first) / len(first)
    assert 0.07 < lost < 0.13
    runs = [len(r) for r in "".join("x" if not f else " " for f in first).split()]
    assert 2 < sum(runs) / len(runs) < 4, "losses come in runs of about three"
    assert 0.15 < sum(len(f) == 2 for f in first) / sum(bool(f) for f in first) < 0.25
