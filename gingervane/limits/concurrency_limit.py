"""The slots in which front threads read, merge and write: a few at a time, shared fairly among fronts.

All of that is work of one interpreter. Without a limit a storm at one front fills it with threads that all hold each
other up, and the other front's few requests wait behind all of them. Owner: `_lock` is over the queue; a waiter has
an event of its own.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator, Mapping
from contextlib import contextmanager

from gingervane.limits.fair_queue import FairQueue


class ConcurrencyLimit:
    """Bounds the work that runs at once. Shared by all fronts of a process."""

    def __init__(self, weights: Mapping[str, float], slots: int, max_waiting: int) -> None:
        """`weights`: of the traffic classes, by name; `max_waiting`: of each class."""
        self._queue: FairQueue[threading.Event] = FairQueue(weights, slots, max_waiting)
        self._lock = threading.Lock()
        self.names = tuple(weights)
        self.rejected = 0  # requests that found the queue of their class full

    def waiting(self, name: str) -> int:
        """Count the requests of a class that wait for a slot."""
        return self._queue.waiting(name)

    @contextmanager
    def slot(self, name: str, deadline: float, admit_always: bool = False) -> Iterator[None]:
        """Work in a slot once one is granted, or at `deadline` at the latest: what is late is for others to see.

        Raises QueueFull if too many wait; `admit_always`: not so, as the work has been begun.
        """
        granted = threading.Event()
        if not self._acquire(name, granted, admit_always) and not self._wait(name, granted, deadline):
            yield  # without a slot: its time is up anyway, and somebody must say so
            return
        began = time.monotonic()
        try:
            yield
        finally:
            self._release(name, time.monotonic() - began)

    def _acquire(self, name: str, granted: threading.Event, admit_always: bool) -> bool:
        """Whether there was a slot at once; else the request is queued."""
        with self._lock:
            try:
                return self._queue.acquire(name, granted, admit_always)
            except Exception:
                self.rejected += 1
                raise

    def _wait(self, name: str, granted: threading.Event, deadline: float) -> bool:
        """Wait for a slot; False if none was granted before the deadline."""
        if granted.wait(max(deadline - time.monotonic(), 0.0)):
            return True
        with self._lock:
            return not self._queue.cancel(name, granted)

    def _release(self, name: str, seconds: float) -> None:
        with self._lock:
            next_granted = self._queue.release(name, seconds)
        if next_granted is not None:
            next_granted.set()
