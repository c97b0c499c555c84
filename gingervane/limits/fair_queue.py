"""Start-time fair queueing of a few slots between traffic classes. Free of I/O.

Each class has a virtual time, which advances by the duration of its work divided by its weight. A free slot goes to
the waiting class with the smallest virtual time. A class that was idle starts at the smallest virtual time of the
active classes, so that idle time earns no credit. Every class thus gets its share, however many requests of others
wait.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import Generic, TypeVar

Waiter = TypeVar("Waiter")

_INITIAL_SERVICE_TIME = 0.001  # seconds
_SERVICE_TIME_SMOOTHING = 0.1  # weight of the newest sample
_MIN_SERVICE_TIME = 1e-6  # seconds


class QueueFull(Exception):
    """Too many requests of this class wait already; the request was not started."""

    def __init__(self, name: str, waiting: int, retry_after: float) -> None:
        super().__init__(f"{waiting} requests wait for their turn to be read ({name})")
        self.retry_after = retry_after


class _TrafficClass(Generic[Waiter]):
    """State of one traffic class."""

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.virtual_time = 0.0
        self.running = 0
        self.waiting: deque[Waiter] = deque()
        self.service_time = _INITIAL_SERVICE_TIME  # seconds per request, smoothed

    @property
    def active(self) -> bool:
        return bool(self.running or self.waiting)


class FairQueue(Generic[Waiter]):
    """Grants slots to classes by weight; the caller locks. A `Waiter` identifies one waiting request."""

    def __init__(self, weights: Mapping[str, float], slots: int, max_waiting: int) -> None:
        """`weights`: of the classes, by name; `max_waiting`: limit for each class."""
        self._classes = {name: _TrafficClass[Waiter](weight) for name, weight in weights.items()}
        self._free_slots = slots
        self._slots = slots
        self._max_waiting = max_waiting

    def waiting(self, name: str) -> int:
        """Return the number of waiting requests of a class."""
        return len(self._classes[name].waiting)

    def acquire(self, name: str, waiter: Waiter, admit_always: bool = False) -> bool:
        """Grant a free slot and return true, or queue the waiter and return false.

        Raises QueueFull if too many wait; `admit_always`: never raises.
        """
        traffic_class = self._classes[name]
        if not traffic_class.active:
            others = [other.virtual_time for other in self._classes.values() if other.active]
            traffic_class.virtual_time = max(
                traffic_class.virtual_time, min(others, default=traffic_class.virtual_time)
            )
        if self._free_slots and not any(other.waiting for other in self._classes.values()):
            self._free_slots -= 1
            traffic_class.running += 1
            return True
        if len(traffic_class.waiting) >= self._max_waiting and not admit_always:
            raise QueueFull(name, len(traffic_class.waiting), self._retry_after(traffic_class))
        traffic_class.waiting.append(waiter)
        return False

    def release(self, name: str, seconds: float) -> Waiter | None:
        """Release a slot after work that took `seconds`; return the waiter that is granted it, if any."""
        traffic_class = self._classes[name]
        traffic_class.running -= 1
        traffic_class.virtual_time += max(seconds, _MIN_SERVICE_TIME) / traffic_class.weight
        traffic_class.service_time += _SERVICE_TIME_SMOOTHING * (seconds - traffic_class.service_time)
        self._free_slots += 1
        return self._grant_next()

    def cancel(self, name: str, waiter: Waiter) -> bool:
        """Remove a waiter from the queue; false if it has already been granted a slot."""
        try:
            self._classes[name].waiting.remove(waiter)
        except ValueError:
            return False
        return True

    def _grant_next(self) -> Waiter | None:
        """Grant a free slot to the waiting class with the smallest virtual time."""
        candidates = [traffic_class for traffic_class in self._classes.values() if traffic_class.waiting]
        if not candidates or not self._free_slots:
            return None
        traffic_class = min(candidates, key=lambda candidate: candidate.virtual_time)
        self._free_slots -= 1
        traffic_class.running += 1
        return traffic_class.waiting.popleft()

    def _retry_after(self, traffic_class: _TrafficClass[Waiter]) -> float:
        """Return the seconds until half of a class's queue has been granted slots, at the class's share of them."""
        active_weight = sum(other.weight for other in self._classes.values() if other.active)
        share = self._slots * traffic_class.weight / max(active_weight, traffic_class.weight)
        rate = share / max(traffic_class.service_time, _MIN_SERVICE_TIME)
        return len(traffic_class.waiting) / 2 / rate
