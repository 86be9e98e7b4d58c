"""The platform's lines and the box list's form. No sockets."""

from __future__ import annotations

import json
from contextlib import suppress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gradefront.config import Config, ConfigError, address, parse
from gradefront.net.boxlist import BoxList, ListWatch
from gradefront.net.lines import BadLine, read_first, read_report
from milletdeal import interface as i

from .helper import Bench
from .standin import settings

CONFIG: Config = parse({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f",
                        "settings": settings()}, {})


def test_a_first_line_says_what_the_carer_wants() -> None:
    call, at = read_first(b"OPEN 9b1f 7f3a c=visit-checkin,d=1400,g=home-7,r=1,again=1,at=s-1", CONFIG)
    assert (call.klass, call.patience_us, call.key, call.group) == (1, 1_400_000, "7f3a", "home-7")
    assert call.is_retry and call.came_back and at == "s-1"
    call, at = read_first(b"OPEN 9b1f 7f3a c=roster-feed", CONFIG)
    assert (call.klass, call.patience_us, at, call.came_back) == (0, 1_500_000, "", False)


@given(st.integers(1, 10**6), st.integers(0, 10**7), st.text("abcd=é", max_size=8), st.booleans())
def test_the_line_goes_on_unchanged_but_for_the_time(d: int, left: int, noise: str, first: bool) -> None:
    noise = noise.replace("=", "")
    fields = [f"d={d}", "c=visit-checkin", f"xd={noise or 'y'}", "g=d"]
    listed = ",".join(fields if first else fields[::-1])
    line = f"OPEN d=1 k,d=2 {listed}".encode()
    with suppress(BadLine):  # names that are not ASCII
        call, _ = read_first(line, CONFIG)
        assert call.patience_us == d * 1000
        sent = call.parcel.with_time(left * 1000)  # type: ignore[attr-defined]
        assert sent == f"OPEN d=1 k,d=2 {listed}".replace(f"d={d}", f"d={max(1, left)}", 1).encode() \
            or f"d={d}" in "OPEN d=1 k,d=2"


@given(st.binary(max_size=200), st.sampled_from([b"", b"OPEN a b ", b"OPEN a b c=visit-checkin,"]))
def test_no_line_breaks_the_reader(noise: bytes, head: bytes) -> None:
    with suppress(BadLine):
        call, _ = read_first(head + noise, CONFIG)
        assert call.patience_us >= 0
    report = read_report(noise)
    assert report is None or isinstance(report, i.LoadReport)


def test_a_load_report_is_read_by_name() -> None:
    assert read_report(b"PONG latency_ms=3.1,qps=7,util=0.61,x0=0.72") == i.LoadReport(0.72, 0.61)
    assert read_report(b"BYE") is None
    assert read_report(b"BUSY util=none,x0=1.5") == i.LoadReport(1.5, None)


def test_the_box_list_keeps_addresses_and_leaves_out_what_makes_no_sense() -> None:
    bench = Bench()
    boxes = BoxList(CONFIG, bench.desk)
    good = {"id": "s-1", "host_port": "127.0.0.1:3000", "locality": "mbj-1", "flavor": "quad-slow", "cell": 3,
            "phase": "SERVING", "size": 1.5, "up_since_ms": 5}
    bad = [{}, 7, {**good, "host_port": None}, {**good, "id": "s-9", "host_port": "x:y"}, {"id": "s-8"}]
    boxes.take(json.loads(json.dumps({"revision": 4, "complete": True, "members": [good, *bad]})))
    bench.desk.turn()
    assert bench.events[-1] == i.ListUpdate(
        (i.ServerEntry("s-1", i.ServerState.READY, 1, 3, 1, 1.5, 5000),), True)
    assert boxes.address("s-1") == ("127.0.0.1", 3000) and boxes.address("s-9") is None
    assert boxes.revision == 4 and bench.desk.tally.counts["bad_list_lines"] == 5
    boxes.take({"revision": 5, "complete": False, "members": [{"id": "s-1", "phase": "DELETED"}]})
    assert boxes.address("s-1") is None and not bench.desk.serves("s-1") and not boxes.heard


@pytest.mark.parametrize("text", ["", "x", "x:", ":1", "h:70000", "h:p"])
def test_an_address_without_sense_is_named(text: str) -> None:
    with pytest.raises(ConfigError, match="LB_LISTEN"):
        address(text, "LB_LISTEN")


def test_variables_go_before_the_file() -> None:
    told = {"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": settings()}
    config = parse(told, {"LB_NAME": "n7", "LB_LISTEN": "[::1]:9", "LB_DISCOVERY": "127.0.0.1:8"})
    assert (config.name, config.listen, config.discovery) == ("n7", ("::1", 9), ("127.0.0.1", 8))


class Dials:
    """A reactor that records whom it was to connect to; nothing connects."""

    def __init__(self) -> None:
        self.dialled: list[int] = []

    def connectTCP(self, host: str, port: int, factory: object, timeout: float | None = None) -> Dials:
        self.dialled.append(port)
        return self

    def disconnect(self) -> None:
        pass


def test_no_stale_retry_or_late_news_undoes_a_watch_at_a_new_address() -> None:
    bench, dials = Bench(), Dials()
    watch = ListWatch(dials, bench.desk, BoxList(CONFIG, bench.desk), ("127.0.0.1", 1))  # type: ignore[arg-type]
    watch.watch()
    old = watch.call
    assert old
    watch.go_to(("127.0.0.1", 2))
    watch.watch()  # a retry that the module had set for the old watch
    old.heard(b'{"revision": 9, "complete": true, "members": []}')
    old.over("the connection ended")
    bench.wait(1_000_000)
    assert dials.dialled == [1, 2] and watch.box_list.revision == 0
    assert not any(isinstance(e, i.ListError) for e in bench.events) and bench.desk.serves("box-1")
    assert watch.call and not watch.call.ended
    watch.call.over("the connection ended")
    watch.watch()
    assert dials.dialled == [1, 2, 2] and bench.desk.tally.counts["list_errors"] == 1
