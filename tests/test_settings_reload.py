"""Settings that change while the relay serves: what is applied, what is rejected, and what keeps old rules."""

from __future__ import annotations

import asyncio
import copy
import json
import signal
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from balancer import Balancer
from balancer.actions import SetTimer, StartAttempt
from balancer.events import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointListUpdate,
    Event,
    Request,
    SettingsChanged,
    TimerFired,
)
from balancer.settings import Idempotency
from gradefront.config import SettingError, missing_key, parse
from gradefront.core import request_classes
from gradefront.core.attempt_outcome import Cause
from gradefront.core.request_classes import RequestClassTable, TooManyClassesError
from lab.stand_ins import Discovery, settings, soon

from .helper import CLASS, SETTINGS, Bench
from .test_service import replace_config, running_service

FILE: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:1",
    "seed": "8c1f",
    "limits": {"sockets": 512},
    "settings": settings(),
}


def broken(path: str, value: object) -> dict[str, Any]:
    document = copy.deepcopy(FILE)
    at: Any = document
    *keys, last = path.split(".")
    for key in keys:
        at = at[int(key) if key.isdigit() else key]
    if value is None:
        del at[last]
    else:
        at[last] = value
    return document


@pytest.mark.parametrize("value", [0, -1, True, "4", "", float("nan"), float("inf"), [], {}, 0.5])
@pytest.mark.parametrize("path", ["grades.1.deadlineUs", "grades.0.aimUs", "permissions.maxAttempts"])
def test_a_time_or_limit_that_is_no_number_above_0_is_named_and_rejected(path: str, value: object) -> None:
    with pytest.raises(SettingError) as error:
        parse(broken(f"settings.{path}", value), {})
    assert path.rpartition(".")[2] in str(error.value)
    assert error.value.field.replace("[", ".").replace("]", "") == f"settings.{path}"


@pytest.mark.parametrize(
    "path",
    [
        "settings",
        "discovery",
        "limits",
        "settings.grades",
        "settings.permissions",
        "settings.permissions.maxAttempts",
        "settings.rules.drainGraceUs",
        "settings.grades.1.deadlineUs",
        "settings.grades.0.name",
        "settings.grades.1.semantics",
    ],
)
def test_a_file_that_lacks_a_key_of_the_one_before_is_incomplete(path: str) -> None:
    missing = missing_key(broken(path, None), FILE)
    assert missing.replace("[", ".").replace("]", "") == path
    assert missing_key(FILE, FILE) == ""
    more = broken("settings.grades", [*FILE["settings"]["grades"], {**FILE["settings"]["grades"][0], "name": "new"}])
    assert (
        missing_key(more, FILE) == ""
        and missing_key(broken("settings.permissions", 3), FILE) == "settings.permissions"
    )


def test_a_class_keeps_its_number_while_a_connection_holds_it(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(request_classes, "MAX_CLASSES", 3)
    slow = replace(CLASS, deadline_us=9)
    book = RequestClassTable().with_classes(("a", "b"), (CLASS, CLASS), ())
    book = book.with_classes(("b", "a"), (CLASS, slow), {0, 1})
    assert book.active_numbers_by_name() == {"b": 1, "a": 2} and book.rules == (CLASS, CLASS, slow)
    assert book.with_classes(("a", "b"), (CLASS, CLASS), ()).active_numbers_by_name() == {"a": 0, "b": 1}, (
        "told again: as before"
    )
    assert book.with_classes(("c", "b"), (CLASS, CLASS), {1, 2}).names == ("c", "b", "a"), "nobody holds the old a"
    with pytest.raises(TooManyClassesError):
        book.with_classes(("c", "d"), (CLASS, CLASS), {0, 1, 2})


def test_open_connections_keep_the_rules_in_force_at_their_start() -> None:
    bench = Bench()
    old, _ = bench.accept_client()
    changed = replace(SETTINGS, classes=(replace(CLASS, idempotency=Idempotency.NOT_IDEMPOTENT),), max_attempts=1)
    book, merged = bench.core.prepare_settings(changed, ("visit-checkin",))
    assert book.active_numbers_by_name() == {"visit-checkin": 1} and merged.classes[0] == CLASS
    bench.core.apply_settings(book, merged, True)
    new, client = bench.accept_client()
    assert isinstance(bench.events[-2], SettingsChanged), "told before the first request under them"
    for connection, most in ((old, 4), (new, 1)):
        for _ in range(6):
            bench.run_actions(StartAttempt(connection.number, "box-1", 500_000))
            if not bench.attempts[-1].is_over:
                bench.attempts[-1].end(Cause.BROKEN)
        assert connection.attempts == most
    assert old.may_be_rejected, "safe, by its own rules"
    new.connect_request = replace(new.connect_request, request_class=1)
    assert not new.may_be_rejected, "what may have run and must not run twice is no invitation to come again"
    bench.core.lifecycle.lame_duck()
    bench.wait(3_700_000)
    assert client.calls == ["fail"]


def test_the_module_counts_the_attempts_of_a_request_by_the_settings_at_its_start() -> None:
    def attempts(first: bool) -> int:
        b = Balancer(SETTINGS, 1)
        b.handle(0, EndpointListUpdate(tuple(Endpoint(f"s{n}") for n in range(9))))
        change = SettingsChanged(replace(SETTINGS, max_attempts=1))
        events: list[Event] = [Request(7, 2_000_000), change]
        todo = [a for e in (events if first else events[::-1]) for a in b.handle(1, e)]
        starts, now = 0, 1
        while todo:
            action = todo.pop(0)
            now += 1
            if isinstance(action, StartAttempt):
                starts += 1
                todo += b.handle(now, AttemptEnded(7, starts, action.backend, AttemptResult.CONNECT_FAILED))
            elif isinstance(action, SetTimer) and not todo:
                todo += b.handle(now, TimerFired(action.timer_id))
        return starts

    assert attempts(first=False) == 1 < attempts(first=True) <= 4


def test_the_program_takes_new_classes_and_nothing_of_a_broken_file(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_service(tmp_path, ["UP r-1"], settings(), admin=True) as here:
            relay = here.relay

            async def reload_and_await(expected: str) -> None:
                relay.process.send_signal(signal.SIGHUP)
                await relay.line(expected)

            old = await here.device()
            old.open()
            assert await old.line() == "UP r-1"
            whole = (tmp_path / "config.json").read_text()
            lame: dict[str, Any] = json.loads(whole)
            lame["settings"]["grades"][0]["deadlineUs"] = True
            for text, named in (
                ("", "not JSON"),
                (whole[:300], "not JSON"),
                (json.dumps(lame), r"grades\[0\].deadlineUs"),
                (whole.replace('"discovery": "ask"', '"x": 1'), "settings.discovery: missing"),
            ):
                (tmp_path / "config.json").write_text(text)
                await reload_and_await(f"not taken, the old one stays: .*{named}")
            (tmp_path / "config.json").write_text(whole)
            other = settings(maxAttempts=2)
            other["grades"] = [{**other["grades"][0], "name": "night-call"}, other["grades"][0]]
            moved = Discovery()
            moved.members = here.discovery.members
            await moved.open()
            replace_config(tmp_path, settings=other, discovery=f"127.0.0.1:{moved.port}")
            await reload_and_await("classes night-call, roster-feed, 2 attempts")
            await soon(moved.asked.wait())  # one file may change both
            new, dropped = await here.device(), await here.device()
            new.write_line(new.OPEN.format(id=new.id, d=1500, more="").replace("visit-checkin", "night-call"))
            assert await new.line() == "UP r-1"
            dropped.open()
            assert await dropped.line() == "ERR"
            assert await old.ask("still") == "re:still"
            figures = await relay.metrics()
            assert figures["svc_conf_invalid_total"] == 4 and figures["svc_conf_loaded_total"] == 1
            assert figures['svc_answered_total{group="night-call"}'] == 1
            assert figures['svc_answered_total{group="visit-checkin"}'] == 1, "a dropped class keeps its counts"
            assert figures['svc_errored_total{group="visit-checkin"}'] == 1
            moved.server.close()

    asyncio.run(play())
