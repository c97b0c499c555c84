"""Counts and samples of what happened lately."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from collections.abc import Iterable

# Seconds over which traffic, hedges and failures are counted (docs/design.md).
TRAFFIC_WINDOW = 10.0
# Number of latencies that a ranking holds (docs/design.md).
MAX_SAMPLES = 200


class SlidingWindowCount:
    """How many things happened in the last `span` seconds."""

    __slots__ = ("_span", "_times")

    def __init__(self, span: float) -> None:
        self._span = span
        self._times = deque[float]()

    def add(self, now: float) -> None:
        """Count one thing that happened at `now`."""
        self._times.append(now)
        # A window that is added to and seldom read would otherwise grow without bound.
        if self._times[0] < now - self._span:
            self.count(now)

    def count(self, now: float) -> int:
        """Forget what is older than the window, and return how many things are left."""
        while self._times and self._times[0] < now - self._span:
            self._times.popleft()
        return len(self._times)


class RankedSamples(deque[float]):
    """The last `MAX_SAMPLES` values in order of arrival, and the same values sorted in `ranked`.

    The sorted list is kept up with each value, because sorting at each look would cost the most CPU of all.
    """

    def __init__(self) -> None:
        super().__init__(maxlen=MAX_SAMPLES)
        self.ranked = list[float]()

    def append(self, value: float) -> None:
        """Add a value; the oldest one goes if there are too many."""
        if len(self) == MAX_SAMPLES:
            del self.ranked[bisect_left(self.ranked, self[0])]
        super().append(value)
        insort(self.ranked, value)

    def extend(self, values: Iterable[float]) -> None:
        """Add several values in order."""
        for value in values:
            self.append(value)
