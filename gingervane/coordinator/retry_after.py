"""Estimates when a rejected query may be retried. Free of I/O; its caller does the locking.

Capacity comes free as queries are replied to. The rate at which it did lately says how long it takes until as much is
free as the rejected query lacks; where nothing came free lately nothing is known, and the longest wait is given.
"""

from __future__ import annotations

from collections import deque

RATE_WINDOW = 2.0  # seconds over which the rate is taken
MIN_RETRY_AFTER = 0.02  # seconds; also the shortest time over which a rate is taken


class RetryAfterEstimate:
    """Learns how fast capacity comes free."""

    def __init__(self, max_retry_after: float) -> None:
        """`max_retry_after`: seconds."""
        self._max_retry_after = max_retry_after
        self._freed: deque[tuple[float, int]] = deque()  # when and how much, within the window
        self._freed_total = 0

    def record_release(self, now: float, size: int) -> None:
        """Note that so much capacity came free."""
        self._freed.append((now, size))
        self._freed_total += size
        self._expire(now)

    def seconds_until_free(self, now: float, missing: int) -> float:
        """Seconds until `missing` more should be free."""
        self._expire(now)
        if not self._freed_total:
            return self._max_retry_after
        span = max(min(now - self._freed[0][0], RATE_WINDOW), MIN_RETRY_AFTER)
        return min(max(missing * span / self._freed_total, MIN_RETRY_AFTER), self._max_retry_after)

    def _expire(self, now: float) -> None:
        while self._freed and self._freed[0][0] < now - RATE_WINDOW:
            self._freed_total -= self._freed.popleft()[1]
