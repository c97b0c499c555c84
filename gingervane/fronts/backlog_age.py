"""How long connections may have waited in a listener's backlog before they were accepted. Free of I/O.

The time of a request counts from its arrival, and a client may send it before its connection is accepted.
"""

from __future__ import annotations

from collections import deque
from math import inf


class BacklogAge:
    """The earliest time at which the connections in the backlog may have arrived. Times are in seconds."""

    def __init__(self, size: int) -> None:
        """`size`: number of connections that the backlog holds."""
        self._is_empty = True
        self._filled_since = -inf  # earliest arrival of a connection since the backlog was last found empty
        # A full backlog behind the oldest of these: the next connection arrived after that one was accepted.
        self._accept_times = deque[float](maxlen=size + 1)

    def begin_turn(self, earliest_event: float) -> None:
        """Begin to accept. `earliest_event`: since when the listener's event may have been pending."""
        if self._is_empty:
            self._filled_since = earliest_event
        self._is_empty = False

    def mark_empty(self) -> None:
        """Record that all connections were accepted."""
        self._is_empty = True

    def record_accept(self, now: float) -> float:
        """Record an accepted connection, and return the earliest time at which it may have arrived."""
        is_full = len(self._accept_times) == self._accept_times.maxlen
        after = self._accept_times[0] if is_full else -inf
        self._accept_times.append(now)
        return min(max(self._filled_since, after), now)
