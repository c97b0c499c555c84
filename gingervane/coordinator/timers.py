"""Timers of the decision thread: due times, each with a label. Free of I/O; the caller provides the time.

Two implementations of one interface. The wheel is the one in use; `benchmarks/timers.py` compares them on the load
that the decision engine creates: one hedge timer for each part, most of which have no effect when they fire.
"""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections.abc import Hashable
from math import ceil, inf


class HeapTimers:
    """A binary heap: exact order, O(log n) per operation."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Hashable]] = []  # due time, sequence number, label
        self._added = 0

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, due: float, label: Hashable) -> None:
        """Add a timer that is due at the time `due`."""
        self._added += 1
        heapq.heappush(self._heap, (due, self._added, label))

    def next_due(self) -> float:
        """Return the earliest due time; infinity if there is no timer."""
        return self._heap[0][0] if self._heap else inf

    def pop_due(self, now: float) -> list[Hashable]:
        """Remove the timers that are due and return their labels, earliest first."""
        labels = []
        while self._heap and self._heap[0][0] <= now:
            labels.append(heapq.heappop(self._heap)[2])
        return labels


class WheelTimers:
    """Buckets of one tick each; a heap holds only the tick numbers, so that many timers share one heap entry.

    A timer fires at the end of its tick: up to one tick late, never early.
    """

    def __init__(self, tick: float) -> None:
        """`tick`: seconds."""
        self._tick = tick
        self._buckets: defaultdict[int, list[Hashable]] = defaultdict(list)  # labels by tick number
        self._ticks: list[int] = []  # a heap of the tick numbers of non-empty buckets
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, due: float, label: Hashable) -> None:
        """Add a timer that fires at the end of the tick that contains the time `due`."""
        tick_number = ceil(due / self._tick)
        bucket = self._buckets[tick_number]
        if not bucket:
            heapq.heappush(self._ticks, tick_number)
        bucket.append(label)
        self._count += 1

    def next_due(self) -> float:
        """Return the time at which the next tick with timers ends; infinity if there is no timer."""
        return self._ticks[0] * self._tick if self._ticks else inf

    def pop_due(self, now: float) -> list[Hashable]:
        """Remove the due timers and return their labels: earliest tick first, then in the order of adding."""
        labels: list[Hashable] = []
        while self._ticks and self._ticks[0] * self._tick <= now:
            labels += self._buckets.pop(heapq.heappop(self._ticks))
        self._count -= len(labels)
        return labels
