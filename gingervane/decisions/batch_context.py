"""What all decisions of one batch share: the time, the actions so far, the timers and the random numbers."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from math import inf
from typing import NamedTuple

from gingervane import interface as api

# Timer granularities by which a timer may come late before a pause of this process is assumed
# (docs/design.md, process pause).
PAUSE_GRANULARITIES = 4


class _Timer(NamedTuple):
    due: float
    callback: Callable[[], None]


class BatchContext:
    """The batch that is being decided, and the timers that outlive it."""

    def __init__(self, timer_granularity: float, seed: int) -> None:
        self.now = 0.0
        self.batch = 0  # number of the batch, from 1 on
        self.actions = list[api.Action]()
        self.random = random.Random(seed)
        self.started_at = inf  # time of the first batch
        self.process_paused = False  # this process has just stood still
        self._timer_granularity = timer_granularity
        self._timers = dict[int, _Timer]()
        self._last_label = 0

    def begin(self, now: float, events: Sequence[api.Event]) -> None:
        """Start a batch.

        A timer that comes late tells of a pause of this process. The times of what came meanwhile hold that
        pause, so that neither silence nor latency may be concluded from them.
        """
        self.now = now
        self.actions = []
        self.batch += 1
        self.started_at = min(self.started_at, now)
        due = [self._due(e.label) for e in events if isinstance(e, api.TimerFired)]
        self.process_paused = now - min(due, default=now) > PAUSE_GRANULARITIES * self._timer_granularity

    def _due(self, label: int) -> float:
        timer = self._timers.get(label)
        return self.now if timer is None else timer.due

    def set_timer(self, delay: float, callback: Callable[[], None]) -> None:
        """Ask the host for a timer, and remember what to do when it fires."""
        delay = max(delay, 0.0)
        self._last_label += 1
        self._timers[self._last_label] = _Timer(self.now + delay, callback)
        self.actions.append(api.SetTimer(delay, self._last_label))

    def fire(self, event: api.TimerFired) -> None:
        """Run what a timer was set for; an unknown timer is ignored."""
        timer = self._timers.pop(event.label, None)
        if timer is not None:
            timer.callback()
