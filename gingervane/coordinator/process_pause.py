"""Detects that this process was paused, and dates requests that are read just after. Free of I/O.

A request that is read as a pause ends may have come at any moment of it, and its client's time has been running
since. To take it for fresh would answer it late by as much, so it is taken to have come as the pause began.

A ticker calls `tick` every `TICK_INTERVAL` seconds; if it comes late by more than `TICK_TOLERANCE`, the whole process
was paused.
"""

from __future__ import annotations

from math import inf

TICK_INTERVAL = 0.05  # seconds between two ticks
TICK_TOLERANCE = 0.1  # seconds by which a tick may be late without a pause
BACKLOG_TIME = 0.1  # seconds after a pause in which requests that came during it are still being read


class ProcessPauseDetector:
    """Remembers the last pause. Written by the ticker; readers may see it a tick late, and make up for that."""

    def __init__(self, now: float) -> None:
        self._last_tick = now
        self._last_pause = (now, now)  # its start and its end
        self.count = 0  # pauses

    def tick(self, now: float) -> None:
        """Note that the ticker's turn has come."""
        if now - self._last_tick > TICK_INTERVAL + TICK_TOLERANCE:
            self.record_pause(self._last_tick, now)
        self._last_tick = now

    def record_pause(self, start: float, end: float) -> None:
        """Note that the process was paused."""
        self._last_pause = start, end
        self.count += 1

    def mark_running(self, now: float) -> None:
        """Note that all pauses have been recorded, which simulated time knows without a ticker."""
        self._last_tick = now

    def arrival_time(self, now: float, since: float = -inf) -> float:
        """When a request whose first byte is read now may have come.

        Not before `since`, the end of the exchange before it on its connection.
        """
        start, end = self._last_pause
        if now - self._last_tick > TICK_INTERVAL + TICK_TOLERANCE:  # woken before the ticker
            start, end = self._last_tick, now
        just_paused = now - end <= BACKLOG_TIME and end > start
        return max(min(start, now), min(since, now)) if just_paused else now
