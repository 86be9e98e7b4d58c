"""The hash ring, from which candidates are drawn: several points for each backend among 32-bit numbers."""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections.abc import Mapping
from zlib import crc32

POINTS = 16  # of a backend of mean weight; several even out the gaps between backends
POINT_BITS = 32
BUCKET_BITS = 8  # adding or removing a point moves only the other points of its bucket
BUCKET_SHIFT = POINT_BITS - BUCKET_BITS


class HashRing:
    """The points of backends on the ring.

    The cost of a change grows with the number of backends that change, and not with the number in the ring.
    Attributes: `mean_weight` of the backends in the ring; 1 if it is empty.
    """

    def __init__(self) -> None:
        self.mean_weight = 1.0
        self._weights: dict[str, float] = {}  # by backend
        self._backends_of_weight: dict[float, dict[str, None]] = {}
        self._points_of_weight: dict[float, int] = {}  # number of points of each backend of a weight
        self._buckets: list[list[tuple[int, str]]] = [[] for _ in range(1 << BUCKET_BITS)]

    def __bool__(self) -> bool:
        """Return whether the ring holds any backend."""
        return bool(self._weights)

    def update(self, weights: Mapping[str, float | None], follows_weights: bool) -> None:
        """Add backends, change their weights, or remove those whose weight is None.

        If `follows_weights`, a backend's number of points is in proportion to its weight, else the same for
        all.
        """
        for backend, weight in weights.items():
            if weight != self._weights.get(backend):
                self._remove(backend)
                if weight is not None:
                    self._add(backend, weight)
        self.mean_weight = self._mean_weight()
        for weight in self._backends_of_weight:
            self._set_points(weight, self._points(weight) if follows_weights else POINTS)

    def backend_at(self, point: int) -> str:
        """Return the name of the first backend at or after a point of the ring, which must not be empty."""
        number = point >> BUCKET_SHIFT
        bucket = self._buckets[number]
        index = bisect_left(bucket, (point, ""))
        while index == len(bucket):
            number = (number + 1) % len(self._buckets)
            bucket, index = self._buckets[number], 0
        return bucket[index][1]

    def _mean_weight(self) -> float:
        if not self._weights:
            return 1.0
        total = math.fsum(max(weight, 0.0) * len(names) for weight, names in self._backends_of_weight.items())
        return total / len(self._weights)

    def _points(self, weight: float) -> int:
        if self.mean_weight <= 0:
            return POINTS
        return max(1, round(POINTS * weight / self.mean_weight))

    def _add(self, backend: str, weight: float) -> None:
        self._weights[backend] = weight
        self._backends_of_weight.setdefault(weight, {})[backend] = None
        self._add_points(backend, range(self._points_of_weight.setdefault(weight, 0)))

    def _remove(self, backend: str) -> None:
        weight = self._weights.pop(backend, None)
        if weight is None:
            return
        self._remove_points(backend, range(self._points_of_weight[weight]))
        backends = self._backends_of_weight[weight]
        del backends[backend]
        if not backends:
            del self._backends_of_weight[weight], self._points_of_weight[weight]

    def _set_points(self, weight: float, points: int) -> None:
        """Give each backend of a weight so many points."""
        before = self._points_of_weight[weight]
        if points == before:
            return
        for backend in self._backends_of_weight[weight]:
            self._add_points(backend, range(before, points))
            self._remove_points(backend, range(points, before))
        self._points_of_weight[weight] = points

    def _add_points(self, backend: str, numbers: range) -> None:
        for number in numbers:
            point = _point(backend, number)
            insort(self._buckets[point >> BUCKET_SHIFT], (point, backend))

    def _remove_points(self, backend: str, numbers: range) -> None:
        for number in numbers:
            point = _point(backend, number)
            bucket = self._buckets[point >> BUCKET_SHIFT]
            del bucket[bisect_left(bucket, (point, backend))]


def _point(backend: str, number: int) -> int:
    """Return one of a backend's points, the same at every node."""
    return crc32(f"{backend}#{number}".encode())
