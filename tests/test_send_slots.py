"""Send slots in slow start: no window has more than a backend tolerates, and every node gets some."""

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


def at_position(schedule: SlotSchedule, position: int, processes: int = 1) -> SlotSchedule:
    """Return the same schedule for the node at a position."""
    return SlotSchedule(position, schedule.nodes, schedule.window_us, schedule.late_us, processes)


def all_slots(schedule: SlotSchedule, mean: float, processes: int = 1) -> list[tuple[SendSlot, int]]:
    """Return the slots of all processes of all nodes at one backend over some periods, by time, with positions."""
    return sorted(
        (
            (slot, position)
            for position in range(schedule.nodes)
            for _ in range(processes)
            for period in range(PERIODS)
            for slot in at_position(schedule, position, processes).assign("s0", period, mean, Random(1))
        ),
        key=lambda pair: pair[0].start_us,
    )


@settings(deadline=None, max_examples=60)
@given(SCHEDULES, st.floats(0.0, 120.0), st.integers(1, 2))
def test_no_window_has_more_slots_than_a_backend_tolerates(
    schedule: SlotSchedule, mean: float, processes: int
) -> None:
    """Covers the worst case: a slot is used whenever it is open, and the request arrives as late as allowed."""
    starts = [slot.start_us for slot, _ in all_slots(schedule, mean, processes)]
    reach_us = schedule.window_us + schedule.open_us + schedule.late_us
    for number, start in enumerate(starts):
        assert number - bisect_left(starts, start - reach_us + 2) + 1 <= allowed(mean)


@settings(deadline=None, max_examples=60)
@given(SCHEDULES, st.floats(0.0, 120.0))
def test_all_slots_are_assigned_and_each_node_gets_some(schedule: SlotSchedule, mean: float) -> None:
    """Guards against a backend that stays idle, and against nodes that may never send to it."""
    count = at_position(schedule, 0).slots_per_period(mean)
    slots_by_position = Counter(
        position
        for position in range(schedule.nodes)
        for period in range(schedule.nodes)
        for _ in at_position(schedule, position).assign("s0", period, mean, Random(1))
    )
    if count <= 64:
        assert sum(slots_by_position.values()) == count * schedule.nodes
    assert len(slots_by_position) == schedule.nodes


def balancer(started_us: int = 0, **more: object) -> Balancer:
    """Return a node that is alone in its fleet, with one warm backend and one in slow start."""
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


def sent_to_warming(b: Balancer, now: int, first: int, requests: int = 20) -> list[int]:
    """Send simultaneous requests and return the ids of those that go to the backend in slow start."""
    loads = {"warm": 0.95, "cold": 0.0}
    starts = [start for n in range(requests) for start in of_type(place(b, now, first + n, loads), StartAttempt)]
    return [start.request_id for start in starts if start.backend == "cold"]


def test_ended_requests_still_count_as_sent() -> None:
    """Guards against freeing a slot when its request ends: rejected, reset and served requests count all the same."""
    for result in (
        AttemptResult.OVERLOADED,
        AttemptResult.RESET,
        AttemptResult.OK,
        AttemptResult.CANCELLED,
        AttemptResult.CONNECT_FAILED,
    ):
        b, now, requests = balancer(1), 10_000_000, list[int]()
        for first in range(1, 400, 20):
            for request in sent_to_warming(b, now, first):
                requests.append(request)
                b.handle(now, AttemptEnded(request, 0, "cold", result, is_final=True))
            now += 50_000
        assert len(requests) <= allowed(3 * (0.12 + 0.88 * 11 / 20) * 10 / 20), result


def test_used_slots_stay_used_after_a_list_update_or_a_backend_restart() -> None:
    b, now = balancer(1), 10_000_000
    before = len(sent_to_warming(b, now, 1))
    assert before
    b.handle(now, EndpointListUpdate(backends(1)))
    assert not sent_to_warming(b, now + 1, 100), "the same complete list"
    b.handle(now, EndpointListUpdate((Endpoint("warm"),)))
    b.handle(now, EndpointListUpdate(backends(1)))
    assert not sent_to_warming(b, now + 2, 200), "removed from the list and added again"
    b.handle(now, EndpointListUpdate(backends(now - 1_000)))
    assert not sent_to_warming(b, now + 3, 300), "a new process, which may receive requests sent to the previous one"


def test_started_process_first_waits_as_if_its_slots_had_been_used() -> None:
    """Guards against a restart after a crash: the requests that the previous process has just sent are unknown."""
    b = Balancer(
        Settings(**{**HEALTH_CHECK_SETTINGS, "initial_capacity": 0.12, "warm_up_us": 20_000_000, "position": 0}), 1
    )
    b.handle(10_000_000, EndpointListUpdate(backends(1)))
    assert not sent_to_warming(b, 10_000_000, 1) and not sent_to_warming(b, 11_000_000, 100)
    assert sent_to_warming(b, 13_000_000, 200)


def test_requests_sent_under_old_settings_count_under_new_ones() -> None:
    b, now = balancer(1), 10_000_000
    assert sent_to_warming(b, now, 1)
    b.handle(now, SettingsChanged(b.context.settings))
    assert not sent_to_warming(b, now + 1, 100) and sent_to_warming(b, now + 3_000_000, 200)


def all_unused_slots(b: Balancer) -> list[SendSlot]:
    b.slow_start.open_slots()  # assigns the slots of the present period and the adjacent ones
    assert b.slow_start._slot_table
    periods = b.slow_start._slot_table.periods.values()
    return [
        slot for backends in periods for assigned in backends.values() for slot in assigned.slots if not slot.used
    ]


def test_requests_without_capacity_wait_for_the_send_slots_of_their_node() -> None:
    """Guards against rejecting requests while slots are left: each slot is used by a request that waits for it."""
    b, now, end = balancer(1, fleet_size=2), 10_000_000, 12_000_000
    b.context.now_us = now
    slots = [slot for slot in all_unused_slots(b) if now < slot.end_us <= end]
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
        for check in of_type(actions, CheckHealth):
            report = LoadReport({"warm": 0.95, "cold": 0.0}[check.backend])
            actions = actions + b.handle(at, HealthCheckResult(check.backend, AttemptResult.OK, load_report=report))
        timers += [(at + wait.delay_us, wait.timer_id) for wait in of_type(actions, SetTimer)]
    assert all(slot.used for slot in slots)


def test_slot_table_drops_past_periods() -> None:
    """Guards against memory growth."""
    table = SendSlotTable(SlotSchedule(0, 4, 1_000_000), Random(1), 0)
    for second in range(100):
        for n in range(20):
            table.slots(second * 1_000_000, f"s{n}", 1, lambda _: 50.0)
    assert len(table.periods) <= 3 and all(len(assigned) == 20 for assigned in table.periods.values())
