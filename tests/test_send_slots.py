"""Send slots in slow start: whatever is drawn, their sum is what a server tolerates, and all nodes have some."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from balancer import Balancer
from balancer.actions import CheckHealth, SetTimer, StartAttempt
from balancer.events import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointListUpdate,
    HealthCheckResult,
    LoadReport,
    SettingsChanged,
    TimerFired,
)
from balancer.send_slots import SendSlot, SendSlotTable, SlotSchedule
from balancer.settings import Settings
from lab.slow_start_oracle import allowed

from .test_failures import HEALTH_CHECK_SETTINGS, of_type, place

PERIODS = 4
SCHEDULES = st.builds(
    SlotSchedule,
    position=st.none(),
    nodes=st.integers(1, 200),
    window_us=st.integers(50_000, 8_000_000),
    late_us=st.integers(0, 1_500_000),
)


def placed(schedule: SlotSchedule, position: int, processes: int = 1) -> SlotSchedule:
    """The same for the node at a position."""
    return SlotSchedule(position, schedule.nodes, schedule.window_us, schedule.late_us, processes)


def all_slots(schedule: SlotSchedule, mean: float, processes: int = 1) -> list[tuple[SendSlot, int]]:
    """The slots of all nodes and their processes at one server over some periods, by time, and whose they are."""
    return sorted(
        (
            (slot, position)
            for position in range(schedule.nodes)
            for _ in range(processes)
            for period in range(PERIODS)
            for slot in placed(schedule, position, processes).assign("s0", period, mean, Random(1))
        ),
        key=lambda pair: pair[0].start_us,
    )


@settings(deadline=None, max_examples=60)
@given(SCHEDULES, st.floats(0.0, 120.0), st.integers(1, 2))
def test_no_span_has_more_slots_than_the_server_tolerates(
    schedule: SlotSchedule, mean: float, processes: int
) -> None:
    """Each slot is used at its worst moment, and the request arrives as late as it may."""
    starts = [slot.start_us for slot, _ in all_slots(schedule, mean, processes)]
    reach_us = schedule.window_us + schedule.open_us + schedule.late_us
    for number, start in enumerate(starts):
        assert number - bisect_left(starts, start - reach_us + 2) + 1 <= allowed(mean)


@settings(deadline=None, max_examples=60)
@given(SCHEDULES, st.floats(0.0, 120.0))
def test_all_slots_are_assigned_and_each_node_has_some_in_its_time(schedule: SlotSchedule, mean: float) -> None:
    """Guards against a server that stays idle, and against relays that never may send to it."""
    count = placed(schedule, 0).slots_per_period(mean)
    whose = Counter(
        position
        for position in range(schedule.nodes)
        for period in range(schedule.nodes)
        for _ in placed(schedule, position).assign("s0", period, mean, Random(1))
    )
    if count <= 64:
        assert sum(whose.values()) == count * schedule.nodes
    assert len(whose) == schedule.nodes


def balancer(started_us: int = 0, **more: object) -> Balancer:
    """A node alone in its fleet, before one warm server that is full and one that is in slow start."""
    b = Balancer(
        Settings(
            **{**HEALTH_CHECK_SETTINGS, "initial_capacity": 0.12, "warm_up_us": 20_000_000, "position": 0, **more}
        ),
        1,
    )
    b.handle(0, EndpointListUpdate(backends(started_us)))
    return b


def backends(started_us: int) -> tuple[Endpoint, ...]:
    return Endpoint("warm"), Endpoint("cold", started_us=started_us)


def sent(b: Balancer, now: int, first: int, many: int = 20) -> list[int]:
    """Of so many requests that come at once, those that are sent to the warming server."""
    loads = {"warm": 0.95, "cold": 0.0}
    starts = [start for n in range(many) for start in of_type(place(b, now, first + n, loads), StartAttempt)]
    return [start.request_id for start in starts if start.backend == "cold"]


def test_what_has_ended_was_sent_all_the_same() -> None:
    """Guards against capacity that is free again at once: the rule counts what was rejected, reset or served."""
    for result in (
        AttemptResult.OVERLOADED,
        AttemptResult.RESET,
        AttemptResult.OK,
        AttemptResult.CANCELLED,
        AttemptResult.CONNECT_FAILED,
    ):
        b, now, requests = balancer(1), 10_000_000, list[int]()
        for first in range(1, 400, 20):
            for request in sent(b, now, first):
                requests.append(request)
                b.handle(now, AttemptEnded(request, 0, "cold", result, is_final=True))
            now += 50_000
        assert len(requests) <= allowed(3 * (0.12 + 0.88 * 11 / 20) * 10 / 20), result


def test_a_whole_list_and_a_return_under_its_name_forget_nothing() -> None:
    b, now = balancer(1), 10_000_000
    before = len(sent(b, now, 1))
    assert before
    b.handle(now, EndpointListUpdate(backends(1)))
    assert not sent(b, now + 1, 100), "the same list, whole"
    b.handle(now, EndpointListUpdate((Endpoint("warm"),)))
    b.handle(now, EndpointListUpdate(backends(1)))
    assert not sent(b, now + 2, 200), "it was out of the list for a moment"
    b.handle(now, EndpointListUpdate(backends(now - 1_000)))
    assert not sent(b, now + 3, 300), "a new process, which may get what was sent to the one before"


def test_a_process_that_starts_has_used_its_slots() -> None:
    """Guards against a crash: nobody knows what the process before sent a moment ago."""
    b = Balancer(
        Settings(**{**HEALTH_CHECK_SETTINGS, "initial_capacity": 0.12, "warm_up_us": 20_000_000, "position": 0}), 1
    )
    b.handle(10_000_000, EndpointListUpdate(backends(1)))
    assert not sent(b, 10_000_000, 1) and not sent(b, 11_000_000, 100)
    assert sent(b, 13_000_000, 200)


def test_new_settings_count_what_was_sent_under_the_old_ones() -> None:
    b, now = balancer(1), 10_000_000
    assert sent(b, now, 1)
    b.handle(now, SettingsChanged(b.context.settings))
    assert not sent(b, now + 1, 100) and sent(b, now + 3_000_000, 200)


def test_requests_without_capacity_wait_for_the_slots_of_their_relay() -> None:
    """Guards against rejections while a server in slow start has slots left: each slot finds a request that waits."""
    b, now, end = balancer(1, fleet_size=2), 10_000_000, 12_000_000
    b.context.now_us = now
    slots = [slot for slot in b.slow_start.unused_slots() if now < slot.end_us <= end]
    assert any(slot.start_us > now for slot in slots)
    timers = [
        (now + wait.delay_us, wait.timer_id)
        for n in range(30)
        for wait in of_type(place(b, now, n + 1, {"warm": 0.95, "cold": 0.0}), SetTimer)
    ]
    while timers and min(timers)[0] < end:
        at, timer = min(timers)
        timers.remove((at, timer))
        actions = b.handle(at, TimerFired(timer))
        for probe in of_type(actions, CheckHealth):
            report = LoadReport({"warm": 0.95, "cold": 0.0}[probe.backend])
            actions = actions + b.handle(at, HealthCheckResult(probe.backend, AttemptResult.OK, load_report=report))
        timers += [(at + wait.delay_us, wait.timer_id) for wait in of_type(actions, SetTimer)]
    assert all(slot.used for slot in slots)


def test_slots_are_no_more_than_a_table_for_each_server_and_period() -> None:
    """Guards memory: what lies in the past is dropped, whatever was assigned."""
    table = SendSlotTable(SlotSchedule(0, 4, 1_000_000), Random(1), 0)
    for second in range(100):
        for n in range(20):
            table.slots(second * 1_000_000, f"s{n}", 1, lambda _: 50.0)
    assert len(table.periods) <= 3 and all(len(assigned) == 20 for assigned in table.periods.values())
