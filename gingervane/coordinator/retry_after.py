"""Estimates when a rejected query may be retried. Free of I/O; the caller locks.

Capacity is released as queries are answered. The recent release rate gives the time until the capacity that the
rejected query lacks will be free. If none was released recently, the rate is unknown and the maximum Retry-After is
used.
"""

from __future__ import annotations

from collections import deque

RATE_WINDOW = 2.0  # seconds over which the release rate is measured
MIN_RETRY_AFTER = 0.02  # seconds; also the shortest time over which the rate is measured


class RetryAfterEstimate:
    """Measures the rate at which capacity is released."""

    def __init__(self, max_retry_after: float) -> None:
        """`max_retry_after`: seconds."""
        self._max_retry_after = max_retry_after
        self._releases: deque[tuple[float, int]] = deque()  # time and amount of each, within the window
        self._released_total = 0

    def record_release(self, now: float, size: int) -> None:
        """Record that `size` of capacity was released."""
        self._releases.append((now, size))
        self._released_total += size
        self._expire(now)

    def seconds_until_free(self, now: float, missing: int) -> float:
        """Return the estimated seconds until `missing` more capacity is free."""
        self._expire(now)
        if not self._released_total:
            return self._max_retry_after
        span = max(min(now - self._releases[0][0], RATE_WINDOW), MIN_RETRY_AFTER)
        return min(max(missing * span / self._released_total, MIN_RETRY_AFTER), self._max_retry_after)

    def _expire(self, now: float) -> None:
        while self._releases and self._releases[0][0] < now - RATE_WINDOW:
            self._released_total -= self._releases.popleft()[1]
