"""Where a replica's start lies on this process's monotonic clock, though the wall clock may be stepped.

Discovery gives starts in Unix time, and slow start depends on them: a start placed too early makes a cold replica
pass for a warm one, which can push it over; one placed too late only spares it for a while. So the wall clock is
believed as far as what was told bears it out, and where it is in doubt the later place is taken.

- No replica starts after it is told of. A start in the future shows that this clock is behind: the offset between the
  clocks is corrected by it, for all replicas.
- A replica that is new, or has a new start, was told of soon after: since the line before it, and `LISTING_LAG`. One
  that seems older shows that the clock is ahead, and counts as started just now.
- Where the wall clock has been stepped since the process began, the later of its two readings is taken.
- The same start, told again, keeps its place: one that seemed to move would pass for a restart.

Not shown by any of this: a clock that was ahead before the process began, for what its first list holds.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping

LISTING_LAG = 3.0  # seconds by which discovery may list a start late
STEP = 0.1  # seconds of difference between the two clocks from which a step is taken to have happened
MOST_KNOWN = 8192  # starts that are remembered; the oldest go first


def is_too_early(start: float, told: float | None) -> bool:
    """Whether a start that is news lies too long before `told`, when the list before it came (None: no list)."""
    return told is not None and start < told - LISTING_LAG


class ReplicaStartTimes:
    """Places starts. Owner: the thread that reads lists."""

    def __init__(
        self,
        monotonic: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._monotonic, self._wall = monotonic, wall
        self._first = self._offset = monotonic() - wall()  # the monotonic clock less Unix time, seconds
        self._heard: float | None = None  # when the list before this one was told
        self._known: dict[int, tuple[float, float]] = {}  # replica -> its start in Unix time, and its place
        self.corrections = 0  # times that a list showed this clock to be off

    def place(self, starts: Mapping[int, float], cached: bool = False) -> dict[int, float]:
        """Places, on the monotonic clock, of the starts that one list holds: replica -> Unix seconds, 0 for long ago.

        To be called once for each list, whole or not, as it is told. `cached`: a list kept from before, which says
        nothing of when the next one's changes came about.
        """
        now = self._monotonic()
        self._correct(max(starts.values(), default=0.0), now)
        stepped = self._monotonic() - self._wall()
        found = {replica: self._place(replica, start, now, stepped) for replica, start in starts.items()}
        for replica, start in starts.items():
            self._known.pop(replica, None)
            self._known[replica] = start, found[replica]
        while len(self._known) > MOST_KNOWN:
            del self._known[next(iter(self._known))]
        if not cached:
            self._heard = now
        return found

    def heard(self) -> None:
        """Discovery has said something; before its first list that tells nothing of changes."""
        if self._heard is not None:
            self._heard = self._monotonic()

    def _correct(self, latest: float, now: float) -> None:
        """The latest start of a list cannot lie in the future."""
        if latest and latest + self._offset > now:
            self.corrections += latest + self._offset > now + STEP
            self._offset = now - latest

    def _place(self, replica: int, start: float, now: float, stepped: float) -> float:
        """`stepped`: the offset between the clocks as it is now."""
        if not start:
            return 0.0
        known = self._known.get(replica)
        if known is not None and known[0] == start:
            return known[1]
        place = start + self._offset
        if abs(stepped - self._first) > STEP and place < start + stepped <= now:
            place = start + stepped
        if is_too_early(place, self._heard):
            self.corrections += 1
            self._offset = now - start  # at most: what is told next brings it down again
            return now
        return min(place, now)
