"""When to come back after a refusal for want of room. Free of I/O; time is handed in.

Room comes as queries are replied to. How fast it came lately says how long it takes until as much is free as the
refused query lacks; where nothing left lately nothing is known, and the longest advice is given.
"""

from __future__ import annotations

from collections import deque

SPAN = 2.0  # seconds over which the rate is taken
LEAST = 0.02  # seconds: sooner than that nobody need come


class RetryAfterEstimate:
    """Learns how fast room comes free; its caller sees to locking."""

    def __init__(self, longest: float) -> None:
        self._longest = longest
        self._left: deque[tuple[float, int]] = deque()
        self._sum = 0

    def freed(self, now: float, size: int) -> None:
        """So much room came free."""
        self._left.append((now, size))
        self._sum += size
        self._forget(now)

    def until(self, now: float, lacking: int) -> float:
        """Seconds until `lacking` more should be free."""
        self._forget(now)
        if not self._sum:
            return self._longest
        span = max(min(now - self._left[0][0], SPAN), LEAST)
        return min(max(lacking * span / self._sum, LEAST), self._longest)

    def _forget(self, now: float) -> None:
        while self._left and self._left[0][0] < now - SPAN:
            self._sum -= self._left.popleft()[1]
