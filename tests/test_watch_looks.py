"""The looks at the watch before attempts take a bounded share of the event loop, and cheap ones are always taken.

Guards against lines that wait for over a second, because 60 clients come at once beside a discovery that sends
without end, and the attempt of each reads from the watch for 20 ms.
"""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

import pytest

from gradefront.net.endpoint_watch import FREE_LOOK_US, PAUSE_PER_LOOK, EndpointWatch

from .helper import Bench

CLIENTS = 60


@pytest.mark.parametrize(("look_us", "looks"), [(20_000, 1), (FREE_LOOK_US, CLIENTS), (50, CLIENTS)])
def test_many_attempts_look_often_only_if_it_is_cheap(look_us: int, looks: int) -> None:
    bench, began_us = Bench(), list[int]()

    def read_available() -> None:
        began_us.append(bench.now)
        bench.now += look_us

    watch = EndpointWatch(*cast(Any, (None, bench.core, None, ("127.0.0.1", 9))))
    watch.call = cast(
        Any, SimpleNamespace(ended=False, line_protocol=SimpleNamespace(connected=1, read_available=read_available))
    )
    for _ in range(CLIENTS):
        watch.read_pending()
    assert len(began_us) == looks
    bench.now = began_us[-1] + (1 + PAUSE_PER_LOOK) * look_us
    watch.read_pending()
    assert len(began_us) == looks + 1
