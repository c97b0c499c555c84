"""Whose turn it is at a few slots that several kinds of work share. Free of I/O.

Start-time fair queueing: each kind has a virtual time, which runs on by what its work took, over its weight. A free
slot goes to the waiting kind whose virtual time is least. A kind that was idle begins at the least of those that are
not, so that idleness is not saved up; one that keeps coming gets its share however many of the others wait.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import Any


class QueueFull(Exception):
    """So many of this kind wait that another would only wait for nothing. Nothing was begun."""

    def __init__(self, name: str, waiting: int, retry_after: float) -> None:
        super().__init__(f"{waiting} requests wait for their turn to be read ({name})")
        self.retry_after = retry_after


class _Kind:
    def __init__(self, weight: float) -> None:
        self.weight, self.virtual, self.running = weight, 0.0, 0
        self.waiting: deque[Any] = deque()
        self.took = 0.001  # seconds of one piece of work, smoothed

    @property
    def active(self) -> bool:
        return bool(self.running or self.waiting)


class Fair:
    """Kinds by name with their weights; the caller sees to locking. A token stands for whoever waits."""

    def __init__(self, weights: Mapping[str, float], slots: int, most_waiting: int) -> None:
        """`most_waiting`: of each kind."""
        self._kinds = {name: _Kind(weight) for name, weight in weights.items()}
        self._free, self._slots, self._most = slots, slots, most_waiting

    def waiting(self, name: str) -> int:
        return len(self._kinds[name].waiting)

    def enter(self, name: str, token: Any, must: bool = False) -> bool:
        """Whether it may work at once; else the token waits. Raises Full, but not for what `must` be done."""
        kind = self._kinds[name]
        if not kind.active:
            others = [k.virtual for k in self._kinds.values() if k.active]
            kind.virtual = max(kind.virtual, min(others, default=kind.virtual))
        if self._free and not any(k.waiting for k in self._kinds.values()):
            self._free -= 1
            kind.running += 1
            return True
        if len(kind.waiting) >= self._most and not must:
            raise QueueFull(name, len(kind.waiting), self._until_room(kind))
        kind.waiting.append(token)
        return False

    def leave(self, name: str, seconds: float) -> Any | None:
        """A piece of work is over, having taken `seconds`; the token whose turn it is now, if one waits."""
        kind = self._kinds[name]
        kind.running -= 1
        kind.virtual += max(seconds, 1e-6) / kind.weight
        kind.took += 0.1 * (seconds - kind.took)
        self._free += 1
        return self._next()

    def give_up(self, name: str, token: Any) -> bool:
        """Whoever waits has no more time; whether it was still waiting (else its turn has come meanwhile)."""
        try:
            self._kinds[name].waiting.remove(token)
        except ValueError:
            return False
        return True

    def _next(self) -> Any | None:
        waiting = [kind for kind in self._kinds.values() if kind.waiting]
        if not waiting or not self._free:
            return None
        kind = min(waiting, key=lambda k: k.virtual)
        self._free -= 1
        kind.running += 1
        return kind.waiting.popleft()

    def _until_room(self, kind: _Kind) -> float:
        """Seconds in which half of what waits of a kind will have had its turn, at its share of the slots."""
        active = sum(k.weight for k in self._kinds.values() if k.active)
        rate = self._slots * kind.weight / max(active, kind.weight) / max(kind.took, 1e-6)
        return len(kind.waiting) / 2 / rate
