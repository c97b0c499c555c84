"""Counts and samples over a sliding window."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from collections.abc import Iterable

# Window in seconds over which traffic, hedges and failures are counted (docs/design.md).
TRAFFIC_WINDOW = 10.0
# Largest number of latency samples in a ranking (docs/design.md).
MAX_SAMPLES = 200


class SlidingWindowCount:
    """Number of events in the last `span` seconds."""

    __slots__ = ("_span", "_times")

    def __init__(self, span: float) -> None:
        self._span = span
        self._times = deque[float]()

    def add(self, now: float) -> None:
        """Count an event at `now`."""
        self._times.append(now)
        # Expired times are removed here too: a window that is seldom read would otherwise grow without bound.
        if self._times[0] < now - self._span:
            self.count(now)

    def count(self, now: float) -> int:
        """Remove events older than the window and return the number of the others."""
        while self._times and self._times[0] < now - self._span:
            self._times.popleft()
        return len(self._times)


class RankedSamples(deque[float]):
    """The last `MAX_SAMPLES` values in order of arrival, and the same values sorted in `ranked`.

    The sorted list is updated with each value, because sorting at each read would dominate the CPU time.
    """

    def __init__(self) -> None:
        super().__init__(maxlen=MAX_SAMPLES)
        self.ranked = list[float]()

    def append(self, value: float) -> None:
        """Add a value; if the samples are full, the oldest one is removed."""
        if len(self) == MAX_SAMPLES:
            del self.ranked[bisect_left(self.ranked, self[0])]
        super().append(value)
        insort(self.ranked, value)

    def extend(self, values: Iterable[float]) -> None:
        """Add several values in order."""
        for value in values:
            self.append(value)
