"""A circuit breaker on the ratio of events, such as hedges or failures, to parts sent."""

from __future__ import annotations

from gingervane.decisions.sliding_window import SlidingWindowCount

# Events per part above which a closed breaker opens (docs/design.md).
OPEN_RATIO = 0.15
# Events per part at or below which an open breaker closes (docs/design.md).
CLOSE_RATIO = 0.10
# Lower bound for the number of parts in the ratio, so that a few events after an idle period do not open the breaker.
MIN_PARTS = 20


class CircuitBreaker(SlidingWindowCount):
    """Opens above `OPEN_RATIO` events per part and closes at `CLOSE_RATIO`; the hysteresis prevents flapping."""

    __slots__ = ("_open",)

    def __init__(self, span: float) -> None:
        super().__init__(span)
        self._open = False

    def is_open(self, now: float, parts: int) -> bool:
        """Update the breaker with the number of parts sent in its window, and return whether it is open."""
        ratio = self.count(now) / max(parts, MIN_PARTS)
        self._open = ratio > (CLOSE_RATIO if self._open else OPEN_RATIO)
        return self._open
