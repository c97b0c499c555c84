"""How much of a client's time to keep back for merging and writing its answer. Free of I/O.

The module answers just ahead of the time it is given; what a front then still does (merge, encode, write) must fit
into the rest. The reserve follows what that took lately, for an answer of as many parts: the greatest of the last
`SAMPLES`, half as much again, so that one long answer is not followed by others that come late.
"""

from __future__ import annotations

from collections import deque

SAMPLES, MARGIN = 100, 1.5
LEAST, MOST_SHARE = 0.005, 0.25  # seconds; of the client's time


class ResponseTimeReserve:
    """One for each class of query; its caller sees to locking."""

    def __init__(self) -> None:
        self._fixed: deque[float] = deque(maxlen=SAMPLES)
        self._each: deque[float] = deque(maxlen=SAMPLES)

    def learn(self, parts: int, seconds: float) -> None:
        """An answer of `parts` parts took `seconds` from its settling to its last byte."""
        self._fixed.append(seconds)
        self._each.append(seconds / max(parts, 1))

    def get(self, parts: int, client_time: float) -> float:
        """Seconds to keep back of a client's time for an answer of `parts` parts."""
        likely = min(max(self._fixed, default=0.0), max(self._each, default=0.0) * parts)
        return min(max(LEAST, MARGIN * likely), MOST_SHARE * client_time)
