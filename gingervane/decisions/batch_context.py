"""State shared by all decisions of one batch: the time, the actions, the timers and the random numbers."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from math import inf
from typing import NamedTuple

from gingervane import interface as api

# Delay of a timer, in timer granularities, above which a pause of this process is assumed (docs/design.md, process
# pause).
PAUSE_GRANULARITIES = 4


class _Timer(NamedTuple):
    due: float
    callback: Callable[[], None]


class BatchContext:
    """The batch in progress, and the timers that outlive it."""

    def __init__(self, timer_granularity: float, seed: int) -> None:
        self.now = 0.0
        self.batch = 0  # number of the current batch, from 1
        self.actions = list[api.Action]()
        self.random = random.Random(seed)
        self.started_at = inf  # time of the first batch
        self.process_paused = False  # a pause of this process ended just before this batch
        self._timer_granularity = timer_granularity
        self._timers = dict[int, _Timer]()
        self._last_label = 0

    def begin(self, now: float, events: Sequence[api.Event]) -> None:
        """Start a batch.

        A delayed timer indicates a pause of this process. Events received meanwhile carry latencies that include
        the pause, so that no missing response and no latency may be inferred from them.
        """
        self.now = now
        self.actions = []
        self.batch += 1
        self.started_at = min(self.started_at, now)
        due_times = [self._due(e.label) for e in events if isinstance(e, api.TimerFired)]
        self.process_paused = (
            now - min(due_times, default=now) > PAUSE_GRANULARITIES * self._timer_granularity
        )

    def _due(self, label: int) -> float:
        timer = self._timers.get(label)
        return self.now if timer is None else timer.due

    def set_timer(self, delay: float, callback: Callable[[], None]) -> None:
        """Request a timer from the host, and call `callback` when it fires."""
        delay = max(delay, 0.0)
        self._last_label += 1
        self._timers[self._last_label] = _Timer(self.now + delay, callback)
        self.actions.append(api.SetTimer(delay, self._last_label))

    def fire(self, event: api.TimerFired) -> None:
        """Call the callback of a timer; an unknown timer is ignored."""
        timer = self._timers.pop(event.label, None)
        if timer is not None:
            timer.callback()
