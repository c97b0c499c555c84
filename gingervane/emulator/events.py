"""Simulated time: a deterministic queue of events, ordered by time and then by when each was planned."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count


class Clock:
    """An event queue. `now` only moves forward, to the time of the event that is being handled."""

    def __init__(self, start: float) -> None:
        self.now = start
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._planned = count()
        self.done = 0  # events that have been handled

    def at(self, moment: float, work: Callable[[], None]) -> None:
        """Call `work` at a moment, or now if that is past."""
        heapq.heappush(self._heap, (max(moment, self.now), next(self._planned), work))

    def after(self, seconds: float, work: Callable[[], None]) -> None:
        """Call `work` so many seconds from now."""
        self.at(self.now + seconds, work)

    def run(self, until: float) -> None:
        """Handle all events that are due up to a moment."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, work = heapq.heappop(heap)
            self.done += 1
            work()
        self.now = until
