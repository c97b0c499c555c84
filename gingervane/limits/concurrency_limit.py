"""The slots in which front threads read, merge and write: a few at a time, shared fairly among fronts.

All of that is work of one interpreter. Without a gate a storm at one front fills it with threads that all hold each
other up, and the other front's few requests wait behind all of them. Owner: `_lock` is over the turns; a waiter has
an event of its own.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator, Mapping
from contextlib import contextmanager

from gingervane.limits.fair_queue import Fair


class Gate:
    """Shared by all fronts of a process."""

    def __init__(self, weights: Mapping[str, float], slots: int, most_waiting: int) -> None:
        self._fair, self._lock = Fair(weights, slots, most_waiting), threading.Lock()
        self.names = tuple(weights)
        self.refused = 0

    def waiting(self, name: str) -> int:
        return self._fair.waiting(name)

    @contextmanager
    def work(self, name: str, until: float, must: bool = False) -> Iterator[None]:
        """Work in a slot once it is this one's turn, or at `until` at the latest: what is late is for others to see.

        Raises Full if too many wait, but not for what `must` be done because it has been begun.
        """
        turn = threading.Event()
        with self._lock:
            try:
                now = self._fair.enter(name, turn, must)
            except Exception:
                self.refused += 1
                raise
        if not now and not turn.wait(max(until - time.monotonic(), 0.0)):
            with self._lock:
                waited = self._fair.give_up(name, turn)
            if waited:  # without a slot: its time is up anyway, and somebody must say so
                yield
                return
        began = time.monotonic()
        try:
            yield
        finally:
            with self._lock:
                next_turn = self._fair.leave(name, time.monotonic() - began)
            if next_turn is not None:
                next_turn.set()
