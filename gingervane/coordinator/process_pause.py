"""Detects pauses of this process, and estimates the arrival time of requests read just after one. Free of I/O.

A request that is read as a pause ends may have arrived at any time during it, and its client's timeout has been
running since. Its arrival is taken to be the start of the pause: with the time of reading, its answer would
come too late.

A ticker calls `tick` every `TICK_INTERVAL` seconds; a call that is late by more than `TICK_TOLERANCE` shows that the
whole process was paused.
"""

from __future__ import annotations

from math import inf

TICK_INTERVAL = 0.05  # seconds between two ticks
TICK_TOLERANCE = 0.1  # seconds by which a tick may be late without indicating a pause
BACKLOG_TIME = 0.1  # seconds after a pause during which requests that arrived in it may still be read


class ProcessPauseDetector:
    """Records the last pause. The ticker writes it; a reader that runs before the ticker detects the pause itself."""

    def __init__(self, now: float) -> None:
        self._last_tick = now
        self._last_pause = (now, now)  # start and end
        self.count = 0  # of pauses

    def tick(self, now: float) -> None:
        """Record a tick, and a pause before it if it is late."""
        if now - self._last_tick > TICK_INTERVAL + TICK_TOLERANCE:
            self.record_pause(self._last_tick, now)
        self._last_tick = now

    def record_pause(self, start: float, end: float) -> None:
        """Record a pause of the process."""
        self._last_pause = start, end
        self.count += 1

    def mark_running(self, now: float) -> None:
        """State that all pauses until `now` are recorded, for simulated time, which has no ticker."""
        self._last_tick = now

    def arrival_time(self, now: float, since: float = -inf) -> float:
        """Return the earliest time at which a request whose first byte is read now may have arrived.

        `since`: the end of the previous exchange on its connection, before which it cannot have arrived.
        """
        start, end = self._last_pause
        # A pause that the ticker has not recorded yet.
        if now - self._last_tick > TICK_INTERVAL + TICK_TOLERANCE:
            start, end = self._last_tick, now
        just_paused = now - end <= BACKLOG_TIME and end > start
        return max(min(start, now), min(since, now)) if just_paused else now
