"""The work of a placement does not grow with the number of backends. It is counted in function calls, not in time.

Guards against a relay that stands still while a large fleet is replaced: each request went through all backends in
slow start, and each change of one backend made the whole hash ring anew (review/6).
"""

from __future__ import annotations

import statistics
import sys
from collections.abc import Callable

import pytest

from balancer.hash_ring import HashRing
from balancer.send_slots import SendSlot
from balancer.slot_index import SlotIndex, WarmingBackend
from benchmarks.placement_scale import REQUEST_INTERVAL_US, Fleet

SMALL, LARGE = 60, 3_200
MAX_GROWTH = 3.0
REQUESTS = 60


def count_calls(action: Callable[[], object]) -> int:
    """Return how many calls and generator steps an action makes, of Python functions and built-in ones."""
    calls = 0

    def count(frame: object, event: str, argument: object) -> None:
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        action()
    finally:
        sys.setprofile(None)
    return calls


def calls_per_request(fleet: Fleet) -> float:
    """Return the median over requests in a row; slots are assigned in a few of them."""
    counts = []
    for _ in range(REQUESTS):
        fleet.now_us += REQUEST_INTERVAL_US
        counts.append(count_calls(fleet.request))
    return statistics.median(counts)


@pytest.mark.parametrize("is_replaced", [False, True])
def test_placement_cost_does_not_grow_with_the_number_of_backends(is_replaced: bool) -> None:
    cost = dict[int, float]()
    for backends in (SMALL, LARGE):
        fleet = Fleet(backends)
        if is_replaced:
            fleet.replace(0, fleet.replaced)
        cost[backends] = calls_per_request(fleet)
    assert cost[LARGE] <= MAX_GROWTH * cost[SMALL]


def test_change_of_one_backend_costs_a_hundredth_of_a_whole_list() -> None:
    fleet = Fleet(LARGE)

    def replace_one() -> None:
        fleet.replace(0, 1)
        fleet.request()

    assert count_calls(replace_one) * 100 <= count_calls(lambda: Fleet(LARGE))


def test_ring_after_changes_is_that_of_a_new_ring() -> None:
    """Guards against points that stay behind, or are missing, after weights and their mean have changed."""
    changed, weights = HashRing(), dict[str, float]()
    steps: list[dict[str, float | None]] = [
        {f"s{n}": 1.0 for n in range(20)},
        {f"s{n}": 8.0 for n in range(0, 20, 3)},
        {f"s{n}": None for n in range(0, 20, 2)},
        {"s1": 0.5, "s2": 0.0, "new": -1.0},
        {f"s{n}": 0.0 for n in range(20)},
    ]
    for follows_weights, step in zip((True, True, False, True, True), steps, strict=True):
        changed.update(step, follows_weights)
        weights = {name: weight for name, weight in (weights | step).items() if weight is not None}
        fresh = HashRing()
        fresh.update(weights, follows_weights)
        assert changed._buckets == fresh._buckets and changed.mean_weight == fresh.mean_weight
        for point in range(0, 1 << 32, 1 << 26):
            assert changed.backend_at(point) == fresh.backend_at(point)


def test_slots_that_have_passed_are_forgotten() -> None:
    """Guards against memory growth while backends are in slow start and no request waits for a slot."""
    index = SlotIndex(1_000_000, lambda backend: slots_of(backend, now_us), lambda started_us: False)
    for number in range(50):
        index.set_backend(f"s{number}", 1, number)
    sizes = list[int]()
    for now_us in range(10_000_000, 60_000_000, 300_000):
        assert len(index.open_slots(now_us)) == 50
        sizes.append(len(index._unreserved) + len(index._upcoming) + len(index._opened))
    assert max(sizes) <= 50 * 3 * 3


def slots_of(backend: WarmingBackend, now_us: int) -> list[SendSlot]:
    period = now_us // 1_000_000
    starts = [number * 1_000_000 for number in (period - 1, period, period + 1)]
    return [SendSlot(backend.name, start, start + 1_000_000) for start in starts]
