"""The one processor of a modelled process: work is done in order of coming, and none while the process is paused."""

from __future__ import annotations

from collections.abc import Callable

from gingervane.emulator.events import Clock


class Processor:
    """A queue of work in simulated time, as the interpreter's lock makes of a process."""

    def __init__(self, clock: Clock) -> None:
        self.alive = True
        self.free_at = clock.now
        self.busy = 0.0  # seconds of work taken on so far
        self._clock = clock

    def run(self, seconds: float, work: Callable[[], None]) -> None:
        """Do `work` when `seconds` of processing, after all that came before, are over; never after a kill."""
        start = max(self.free_at, self._clock.now)
        self.free_at = start + seconds
        self.busy += seconds
        self._clock.at(self.free_at, lambda: work() if self.alive else None)

    def pause(self, seconds: float) -> None:
        """Do nothing for so long after what has been taken on."""
        self.free_at = max(self.free_at, self._clock.now) + seconds
