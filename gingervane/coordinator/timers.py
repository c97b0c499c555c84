"""Timers of the decision thread: due times with a label each. Free of I/O; a time is whatever the caller says.

Two structures with one interface. The wheel is the one in use; `benchmarks/timers.py` compares them on the mix that
the decision module makes (one hedge timer a part, nearly all of which fire late or for nothing).
"""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections.abc import Hashable
from math import ceil, inf


class HeapTimers:
    """A binary heap: exact order, O(log n) each."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Hashable]] = []  # due time, order of adding, label
        self._added = 0

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, due: float, label: Hashable) -> None:
        """Have a label come due at a time."""
        self._added += 1
        heapq.heappush(self._heap, (due, self._added, label))

    def next_due(self) -> float:
        """When the first label comes due; infinity if there is none."""
        return self._heap[0][0] if self._heap else inf

    def pop_due(self, now: float) -> list[Hashable]:
        """Remove and return what is due, earliest first."""
        labels = []
        while self._heap and self._heap[0][0] <= now:
            labels.append(heapq.heappop(self._heap)[2])
        return labels


class WheelTimers:
    """Buckets of one tick; a heap holds the bucket numbers only, so that many timers share one heap entry.

    A label comes due at the end of its tick: up to one tick late, never early.
    """

    def __init__(self, tick: float) -> None:
        """`tick`: seconds."""
        self._tick = tick
        self._buckets: defaultdict[int, list[Hashable]] = defaultdict(list)  # labels, by number of the tick
        self._ticks: list[int] = []  # a heap of the numbers of non-empty buckets
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, due: float, label: Hashable) -> None:
        """Have a label come due at the end of the tick that holds a time."""
        tick_number = ceil(due / self._tick)
        bucket = self._buckets[tick_number]
        if not bucket:
            heapq.heappush(self._ticks, tick_number)
        bucket.append(label)
        self._count += 1

    def next_due(self) -> float:
        """When the first labels come due; infinity if there are none."""
        return self._ticks[0] * self._tick if self._ticks else inf

    def pop_due(self, now: float) -> list[Hashable]:
        """Remove and return what is due, earliest tick first, in order of adding within one."""
        labels: list[Hashable] = []
        while self._ticks and self._ticks[0] * self._tick <= now:
            labels += self._buckets.pop(heapq.heappop(self._ticks))
        self._count -= len(labels)
        return labels
