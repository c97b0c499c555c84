"""Converts start times of replicas from Unix time to this process's monotonic clock, despite wall-clock steps.

Discovery reports start times in Unix time, and slow start depends on them: a start time that is too early makes a
cold replica look warm, which can overload it; one that is too late only gives it less load for a while. The wall
clock is therefore used as far as the endpoint lists confirm it, and in doubt the later start time is taken.

- No replica starts after it is listed. A start time in the future shows that this machine's clock is behind: the
  offset between the clocks is corrected by it, for all replicas.
- A replica that is new, or has a new start time, started after the previous list, or at most `LISTING_LAG` before it.
  A start time earlier than that shows that the clock is ahead, and the replica counts as started just now.
- If the wall clock has been stepped since the process began, a start time is converted with both the recorded
  and the present offset, and the later result is taken unless it is in the future.
- A start time that is listed again unchanged keeps its converted value: a change would look like a restart.

A clock that was ahead before the process began is not detected for the replicas of the first list.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping

LISTING_LAG = 3.0  # longest time in seconds from a start until discovery lists it
STEP_THRESHOLD = 0.1  # seconds of change in the offset between the two clocks that count as a step
MAX_REMEMBERED_STARTS = 8192  # replicas; the least recently listed are dropped first


def is_too_early(start: float, listed_at: float | None) -> bool:
    """Whether a new start time is too long before the previous list (None: there was none) to be correct."""
    return listed_at is not None and start < listed_at - LISTING_LAG


class ReplicaStartTimes:
    """Converts start times. Ownership: only the thread that reads endpoint lists uses it."""

    def __init__(
        self,
        monotonic: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._monotonic = monotonic
        self._wall = wall
        self._initial_offset = monotonic() - wall()  # the monotonic clock less Unix time, seconds
        self._offset = self._initial_offset  # the same, as corrected by the lists
        self._last_listed: float | None = None  # when the previous list arrived
        # replica -> its start in Unix and in monotonic time
        self._known_starts: dict[int, tuple[float, float]] = {}
        self.corrections = 0  # how often a list showed this machine's clock to be wrong

    def place(self, starts: Mapping[int, float], cached: bool = False) -> dict[int, float]:
        """Return the monotonic start times for those of one list: replica -> Unix seconds, 0 for long ago.

        Must be called once for each list, full or not, as it arrives. `cached`: a list that was stored earlier, which
        does not limit when the changes in the next one happened.
        """
        now = self._monotonic()
        self._correct_offset(max(starts.values(), default=0.0), now)
        present_offset = self._monotonic() - self._wall()
        monotonic_starts = {
            replica: self._convert_one(replica, start, now, present_offset)
            for replica, start in starts.items()
        }
        self._remember(starts, monotonic_starts)
        if not cached:
            self._last_listed = now
        return monotonic_starts

    def message_received(self) -> None:
        """Record that discovery has sent a message; before its first list this has no effect."""
        if self._last_listed is not None:
            self._last_listed = self._monotonic()

    def _remember(self, starts: Mapping[int, float], monotonic_starts: Mapping[int, float]) -> None:
        for replica, start in starts.items():
            self._known_starts.pop(replica, None)
            self._known_starts[replica] = start, monotonic_starts[replica]
        while len(self._known_starts) > MAX_REMEMBERED_STARTS:
            del self._known_starts[next(iter(self._known_starts))]

    def _correct_offset(self, latest_start: float, now: float) -> None:
        """Correct the offset so that the latest start time of a list is not in the future."""
        if latest_start and latest_start + self._offset > now:
            self.corrections += latest_start + self._offset > now + STEP_THRESHOLD
            self._offset = now - latest_start

    def _convert_one(self, replica: int, start: float, now: float, present_offset: float) -> float:
        """Convert one start time; `present_offset`: between the clocks as they read now."""
        if not start:
            return 0.0
        known_start = self._known_starts.get(replica)
        if known_start is not None and known_start[0] == start:
            return known_start[1]
        monotonic_start = start + self._offset
        was_stepped = abs(present_offset - self._initial_offset) > STEP_THRESHOLD
        if was_stepped and monotonic_start < start + present_offset <= now:
            monotonic_start = start + present_offset
        if is_too_early(monotonic_start, self._last_listed):
            self.corrections += 1
            self._offset = now - start  # an upper bound, which later lists correct downwards
            return now
        return min(monotonic_start, now)
