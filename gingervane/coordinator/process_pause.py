"""When this process stood still, and what that says of requests read just after. Free of I/O; time is handed in.

A request that is read as a standstill ends may have come at any moment of it: its client's time has been running.
To take it for fresh would answer it late by as much. So it is taken to have come as the standstill began.

A ticker calls `tick` every `EVERY` seconds; one that comes late by more than `LATE` was held up, and all with it.
"""

from __future__ import annotations

EVERY, LATE = 0.05, 0.1  # seconds
SHADOW = 0.1  # seconds after a standstill in which requests that came within it are still being read


class ProcessPauseDetector:
    """The last standstill. Written by the ticker; readers may see it a tick late, and make up for that."""

    def __init__(self, now: float) -> None:
        self._last, self._gap = now, (now, now)
        self.count = 0

    def tick(self, now: float) -> None:
        """The ticker's turn has come."""
        if now - self._last > EVERY + LATE:
            self.held(self._last, now)
        self._last = now

    def held(self, start: float, end: float) -> None:
        """The process stood still."""
        self._gap = start, end
        self.count += 1

    def runs(self, now: float) -> None:
        """It is known by other means that all standstills have been told (in simulated time, which has no ticker)."""
        self._last = now

    def came(self, now: float, since: float = float("-inf")) -> float:
        """When a request whose first byte is read now may have come; not before `since`, the end of the exchange
        before it on its connection."""
        start, end = self._gap
        if now - self._last > EVERY + LATE:  # woken before the ticker
            start, end = self._last, now
        return max(min(start, now), min(since, now)) if now - end <= SHADOW and end > start else now
