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

from gingervane.limits.fair_queue import FairQueue, NoSlotInTime, SlotRefused


class ConcurrencyLimit:
    """Limits the work that runs concurrently. Shared by all fronts of a process."""

    def __init__(self, weights: Mapping[str, float], slots: int, max_waiting: int) -> None:
        """`weights`: of the traffic classes, by name; `max_waiting`: limit for each class."""
        self._queue: FairQueue[threading.Event] = FairQueue(weights, slots, max_waiting)
        self._lock = threading.Lock()
        self.names = tuple(weights)
        self.rejected = 0  # requests that were refused a slot

    def waiting(self, name: str) -> int:
        """Return the number of requests of a class that wait for a slot."""
        return self._queue.waiting(name)

    @contextmanager
    def slot(self, name: str, deadline: float, admit_always: bool = False) -> Iterator[None]:
        """Run the body in a slot; `deadline` is that of the caller, on the monotonic clock.

        Raises SlotRefused at once if too many requests wait or no slot is expected by the deadline, and at the
        deadline if none was granted. `admit_always`: waits in any case, for work that has already begun.
        """
        granted = threading.Event()
        if not self._acquire(name, granted, deadline, admit_always):
            self._wait(name, granted, deadline)
        began = time.monotonic()
        try:
            yield
        finally:
            self._release(name, time.monotonic() - began)

    def _acquire(self, name: str, granted: threading.Event, deadline: float, admit_always: bool) -> bool:
        """Acquire a slot and return true, or queue the request and return false. Raises SlotRefused."""
        with self._lock:
            try:
                return self._queue.acquire(name, granted, deadline - time.monotonic(), admit_always)
            except SlotRefused:
                self.rejected += 1
                raise

    def _wait(self, name: str, granted: threading.Event, deadline: float) -> None:
        """Wait for a slot; raises NoSlotInTime if none was granted before the deadline."""
        if granted.wait(min(max(deadline - time.monotonic(), 0.0), threading.TIMEOUT_MAX)):
            return
        with self._lock:
            if not self._queue.cancel(name, granted):
                return  # granted meanwhile
            self.rejected += 1
            waiting, expected_wait = self._queue.waiting(name), self._queue.expected_wait(name)
        raise NoSlotInTime(name, waiting, expected_wait)

    def _release(self, name: str, seconds: float) -> None:
        with self._lock:
            next_granted = self._queue.release(name, seconds)
        if next_granted is not None:
            next_granted.set()
