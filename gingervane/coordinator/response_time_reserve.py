"""How much of a client's time to reserve for merging and writing its answer. Free of I/O; its caller locks.

The decision module answers just ahead of the deadline that it is given; what a front then still does (merge, encode,
write) must fit into the rest. The reserve follows what that took lately for an answer of as many parts: the greatest
of the last `SAMPLE_COUNT` with a safety factor, so that one long answer is not followed by others that come late.
"""

from __future__ import annotations

from collections import deque

SAMPLE_COUNT = 100  # answers that are remembered
SAFETY_FACTOR = 1.5  # times the greatest sample
MIN_RESERVE = 0.005  # seconds
MAX_RESERVE_SHARE = 0.25  # of the client's time


class ResponseTimeReserve:
    """The reserve of one class of queries."""

    def __init__(self) -> None:
        self._total_times: deque[float] = deque(maxlen=SAMPLE_COUNT)  # seconds an answer
        self._times_per_part: deque[float] = deque(maxlen=SAMPLE_COUNT)  # seconds a part

    def learn(self, parts: int, seconds: float) -> None:
        """Note that an answer of `parts` parts took `seconds` from its completion to its last byte."""
        self._total_times.append(seconds)
        self._times_per_part.append(seconds / max(parts, 1))

    def get(self, parts: int, client_time: float) -> float:
        """Seconds to reserve of a client's time for an answer of `parts` parts."""
        longest = max(self._total_times, default=0.0)
        longest_by_parts = max(self._times_per_part, default=0.0) * parts
        expected = min(longest, longest_by_parts)
        return min(max(MIN_RESERVE, SAFETY_FACTOR * expected), MAX_RESERVE_SHARE * client_time)
