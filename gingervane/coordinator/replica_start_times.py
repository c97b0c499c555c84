"""Places the starts of replicas on this process's monotonic clock, though the wall clock may be stepped.

Discovery gives starts in Unix time, and slow start depends on them: a start placed too early makes a cold replica
pass for a warm one, which can overload it; one placed too late only spares it for a while. So the wall clock is
trusted as far as the endpoint lists bear it out, and where it is in doubt the later place is taken.

- No replica starts after it is listed. A start in the future shows that this clock is behind: the offset between the
  clocks is corrected by it, for all replicas.
- A replica that is new, or has a new start, was listed soon after: since the list before it, and `LISTING_LAG`. One
  that seems older shows that the clock is ahead, and counts as started just now.
- Where the wall clock has been stepped since the process began, the later of its two readings is taken.
- The same start, listed again, keeps its place: one that seemed to move would pass for a restart.

Not shown by any of this: a clock that was ahead before the process began, for what its first list holds.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping

LISTING_LAG = 3.0  # seconds by which discovery may list a start late
STEP_THRESHOLD = (
    0.1  # seconds of difference between the two clocks from which a step is taken to have happened
)
MAX_REMEMBERED_STARTS = 8192  # replicas; the oldest go first


def is_too_early(start: float, listed_at: float | None) -> bool:
    """Whether a start that is new lies too long before the list before it came (None: there was no list)."""
    return listed_at is not None and start < listed_at - LISTING_LAG


class ReplicaStartTimes:
    """Places starts. Owner: the thread that reads endpoint lists."""

    def __init__(
        self,
        monotonic: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._monotonic = monotonic
        self._wall = wall
        self._initial_offset = monotonic() - wall()  # the monotonic clock less Unix time, seconds
        self._offset = self._initial_offset  # the same, as corrected
        self._last_listed: float | None = None  # when the list before this one came
        self._known_starts: dict[
            int, tuple[float, float]
        ] = {}  # replica -> its start in Unix time, and its place
        self.corrections = 0  # times that a list showed this clock to be off

    def place(self, starts: Mapping[int, float], cached: bool = False) -> dict[int, float]:
        """Place the starts that one list holds: replica -> Unix seconds, 0 for long ago.

        To be called once for each list, full or not, as it comes. `cached`: a list that was stored before, which says
        nothing of when the next one's changes came about.
        """
        now = self._monotonic()
        self._correct_offset(max(starts.values(), default=0.0), now)
        present_offset = self._monotonic() - self._wall()
        placed = {
            replica: self._convert_one(replica, start, now, present_offset)
            for replica, start in starts.items()
        }
        self._remember(starts, placed)
        if not cached:
            self._last_listed = now
        return placed

    def message_received(self) -> None:
        """Note that discovery has sent something; before its first list that tells nothing of changes."""
        if self._last_listed is not None:
            self._last_listed = self._monotonic()

    def _remember(self, starts: Mapping[int, float], placed: Mapping[int, float]) -> None:
        for replica, start in starts.items():
            self._known_starts.pop(replica, None)
            self._known_starts[replica] = start, placed[replica]
        while len(self._known_starts) > MAX_REMEMBERED_STARTS:
            del self._known_starts[next(iter(self._known_starts))]

    def _correct_offset(self, latest_start: float, now: float) -> None:
        """Make sure that the latest start of a list does not lie in the future."""
        if latest_start and latest_start + self._offset > now:
            self.corrections += latest_start + self._offset > now + STEP_THRESHOLD
            self._offset = now - latest_start

    def _convert_one(self, replica: int, start: float, now: float, present_offset: float) -> float:
        """`present_offset`: between the clocks as they read now."""
        if not start:
            return 0.0
        known = self._known_starts.get(replica)
        if known is not None and known[0] == start:
            return known[1]
        place = start + self._offset
        stepped = abs(present_offset - self._initial_offset) > STEP_THRESHOLD
        if stepped and place < start + present_offset <= now:
            place = start + present_offset
        if is_too_early(place, self._last_listed):
            self.corrections += 1
            self._offset = now - start  # at most: what is listed next brings it down again
            return now
        return min(place, now)
