"""Limits how many front threads read, merge and write at once, with the slots shared fairly between fronts.

All of that work competes for one interpreter. Without a limit, a burst of requests at one front would fill it with
threads that slow each other down, and the few requests of another front would wait behind all of them. Locking:
`_lock` guards the queue; each waiter has its own event.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator, Mapping
from contextlib import contextmanager

from gingervane.limits.fair_queue import FairQueue


class ConcurrencyLimit:
    """Limits the work that runs concurrently. Shared by all fronts of a process."""

    def __init__(self, weights: Mapping[str, float], slots: int, max_waiting: int) -> None:
        """`weights`: of the traffic classes, by name; `max_waiting`: limit for each class."""
        self._queue: FairQueue[threading.Event] = FairQueue(weights, slots, max_waiting)
        self._lock = threading.Lock()
        self.names = tuple(weights)
        self.rejected = 0  # requests rejected because the queue of their class was full

    def waiting(self, name: str) -> int:
        """Return the number of requests of a class that wait for a slot."""
        return self._queue.waiting(name)

    @contextmanager
    def slot(self, name: str, deadline: float, admit_always: bool = False) -> Iterator[None]:
        """Run the body in a slot, or without one if none is granted by `deadline`; the caller handles the timeout.

        Raises QueueFull if too many requests wait. `admit_always`: never raises, for work that has already begun.
        """
        granted = threading.Event()
        if not self._acquire(name, granted, admit_always) and not self._wait(name, granted, deadline):
            yield  # without a slot: the deadline has passed, and the body has to report that
            return
        began = time.monotonic()
        try:
            yield
        finally:
            self._release(name, time.monotonic() - began)

    def _acquire(self, name: str, granted: threading.Event, admit_always: bool) -> bool:
        """Acquire a slot and return true, or queue the request and return false."""
        with self._lock:
            try:
                return self._queue.acquire(name, granted, admit_always)
            except Exception:
                self.rejected += 1
                raise

    def _wait(self, name: str, granted: threading.Event, deadline: float) -> bool:
        """Wait for a slot; false if none was granted before the deadline."""
        if granted.wait(max(deadline - time.monotonic(), 0.0)):
            return True
        with self._lock:
            return not self._queue.cancel(name, granted)

    def _release(self, name: str, seconds: float) -> None:
        with self._lock:
            next_granted = self._queue.release(name, seconds)
        if next_granted is not None:
            next_granted.set()
