"""How much of a client's time to reserve for merging and writing the answer. Free of I/O; the caller locks.

The decision engine may answer just before the deadline that it is given; merging, encoding and writing the answer
must still fit into the client's time. The reserve is derived from how long that took for recent answers with as many
parts: the longest of the last `SAMPLE_COUNT` times a safety factor. The longest is used so that after one slow answer
the following ones are in time.
"""

from __future__ import annotations

from collections import deque

SAMPLE_COUNT = 100  # recent answers that are considered
SAFETY_FACTOR = 1.5  # applied to the longest sample
MIN_RESERVE = 0.005  # seconds
MAX_RESERVE_SHARE = 0.25  # of the client's time


class ResponseTimeReserve:
    """The reserve of one query class."""

    def __init__(self) -> None:
        self._total_times: deque[float] = deque(maxlen=SAMPLE_COUNT)  # seconds per answer
        self._times_per_part: deque[float] = deque(maxlen=SAMPLE_COUNT)  # seconds per part

    def learn(self, parts: int, seconds: float) -> None:
        """Record that an answer of `parts` parts took `seconds` from the query's completion to its last byte."""
        self._total_times.append(seconds)
        self._times_per_part.append(seconds / max(parts, 1))

    def get(self, parts: int, client_time: float) -> float:
        """Return the seconds of `client_time` to reserve for an answer of `parts` parts."""
        longest = max(self._total_times, default=0.0)
        longest_by_parts = max(self._times_per_part, default=0.0) * parts
        expected = min(longest, longest_by_parts)
        return min(max(MIN_RESERVE, SAFETY_FACTOR * expected), MAX_RESERVE_SHARE * client_time)
