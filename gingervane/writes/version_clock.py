"""Versions of writes: unique, and ordered by wall-clock time as far as the coordinators' clocks agree."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

_COUNTER_BITS = 4  # 16 versions per millisecond; further ones run ahead of the wall clock
_COORDINATOR_BITS = 10


class VersionClock:
    """Issues versions: from high to low bits, Unix milliseconds, a counter and the coordinator's mark.

    No version is issued twice. Thread-safe.
    """

    def __init__(self, coordinator_mark: int, now: Callable[[], float] = time.time) -> None:
        self._mark = coordinator_mark % (1 << _COORDINATOR_BITS)
        self._now = now
        self._last = 0  # time and counter of the newest version
        self._lock = threading.Lock()

    def next(self) -> int:
        """Return a version that is greater than all that were issued or observed."""
        with self._lock:
            self._last = max(int(self._now() * 1000) << _COUNTER_BITS, self._last + 1)
            return (self._last << _COORDINATOR_BITS) | self._mark

    def observe(self, version: int) -> None:
        """Record a version that was issued elsewhere, so that the next version is greater."""
        with self._lock:
            self._last = max(self._last, version >> _COORDINATOR_BITS)
