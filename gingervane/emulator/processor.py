"""The single processor of a modelled process: it works in order of arrival, and not during a pause."""

from __future__ import annotations

from collections.abc import Callable

from gingervane.emulator.events import Clock


class Processor:
    """A queue of work in simulated time. One item runs at a time, as under the interpreter's lock."""

    def __init__(self, clock: Clock) -> None:
        self.alive = True
        self.free_at = clock.now
        self.busy = 0.0  # seconds of work accepted so far
        self._clock = clock

    def run(self, seconds: float, work: Callable[[], None]) -> None:
        """Call `work` after `seconds` of processing, which follow all earlier work; never after a kill."""
        start = max(self.free_at, self._clock.now)
        self.free_at = start + seconds
        self.busy += seconds
        self._clock.at(self.free_at, lambda: work() if self.alive else None)

    def pause(self, seconds: float) -> None:
        """Add a pause after the work that has been accepted."""
        self.free_at = max(self.free_at, self._clock.now) + seconds
