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
        self._sequence = count()
        self.events_handled = 0

    def at(self, time: float, callback: Callable[[], None]) -> None:
        """Call `callback` at a time, or now if that is past."""
        heapq.heappush(self._heap, (max(time, self.now), next(self._sequence), callback))

    def after(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call `callback` the given number of seconds from now."""
        self.at(self.now + seconds, callback)

    def run(self, until: float) -> None:
        """Handle all events that are due up to a time."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, callback = heapq.heappop(heap)
            self.events_handled += 1
            callback()
        self.now = until
