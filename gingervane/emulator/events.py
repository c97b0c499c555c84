"""Simulated time: a deterministic queue of events, ordered by time and then by the order of scheduling."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count


class Clock:
    """An event queue. `now` is the time of the event that is being handled, and never decreases."""

    def __init__(self, start: float) -> None:
        self.now = start
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._planned = count()
        self.done = 0  # events that have been handled

    def at(self, moment: float, work: Callable[[], None]) -> None:
        """Call `work` at a time, or now if that is past."""
        heapq.heappush(self._heap, (max(moment, self.now), next(self._planned), work))

    def after(self, seconds: float, work: Callable[[], None]) -> None:
        """Call `work` the given number of seconds from now."""
        self.at(self.now + seconds, work)

    def run(self, until: float) -> None:
        """Handle all events that are due up to a time."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, work = heapq.heappop(heap)
            self.done += 1
            work()
        self.now = until
