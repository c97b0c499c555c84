"""A breaker on the ratio of events, such as hedges or failures, to the parts sent."""

from __future__ import annotations

from gingervane.decisions.sliding_window import SlidingWindowCount

# Events per part above which the breaker opens (docs/design.md).
OPEN_RATIO = 0.15
# Events per part down to which an open breaker stays open (docs/design.md).
CLOSE_RATIO = 0.10
# Parts to which the events are compared at least, so that a few events after a pause do not open it.
MIN_PARTS = 20


class CircuitBreaker(SlidingWindowCount):
    """Opens above `OPEN_RATIO` events a part and closes only at `CLOSE_RATIO`, so that it does not flap."""

    __slots__ = ("_open",)

    def __init__(self, span: float) -> None:
        super().__init__(span)
        self._open = False

    def is_open(self, now: float, parts: int) -> bool:
        """Update the breaker with the number of parts sent in its window, and say whether it is open."""
        ratio = self.count(now) / max(parts, MIN_PARTS)
        self._open = ratio > (CLOSE_RATIO if self._open else OPEN_RATIO)
        return self._open
