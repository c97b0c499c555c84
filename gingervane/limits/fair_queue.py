"""Start-time fair queueing of a few slots between traffic classes. Free of I/O.

Each class has a virtual time, which advances by the duration of its work divided by its weight. A free slot goes to
the waiting class with the smallest virtual time. A class that was idle starts at the smallest virtual time of the
active classes, so that idle time earns no credit. Every class thus gets its share, however many requests of others
wait.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from math import inf
from typing import Generic, TypeVar

Waiter = TypeVar("Waiter")

_INITIAL_SERVICE_TIME = 0.001  # seconds
_SERVICE_TIME_SMOOTHING = 0.1  # weight of the newest sample
_MIN_SERVICE_TIME = 1e-6  # seconds


class SlotRefused(Exception):
    """The request gets no slot; nothing of what it wanted one for was started."""

    def __init__(self, detail: str, retry_after: float) -> None:
        """`retry_after`: seconds until a slot is expected in time."""
        super().__init__(detail)
        self.retry_after = retry_after


class QueueFull(SlotRefused):
    """Too many requests of this class wait already."""

    def __init__(self, name: str, waiting: int, retry_after: float) -> None:
        super().__init__(f"{waiting} requests wait for their turn to be read ({name})", retry_after)


class NoSlotInTime(SlotRefused):
    """No slot is free, or expected to be, within the time that the caller has."""

    def __init__(self, name: str, waiting: int, retry_after: float) -> None:
        detail = f"no turn to be read is expected in its time, {waiting} requests wait ({name})"
        super().__init__(detail, retry_after)


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

    def acquire(
        self, name: str, waiter: Waiter, seconds_left: float = inf, admit_always: bool = False
    ) -> bool:
        """Grant a free slot and return true, or queue the waiter and return false.

        `seconds_left`: of the caller's time. Raises SlotRefused if too many wait or no slot is expected in that
        time; `admit_always`: never raises.
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
        if not admit_always:
            self._check_queue(name, seconds_left)
        traffic_class.waiting.append(waiter)
        return False

    def _check_queue(self, name: str, seconds_left: float) -> None:
        """Raise SlotRefused if a request of this class is not to be queued."""
        traffic_class = self._classes[name]
        waiting = len(traffic_class.waiting)
        if waiting >= self._max_waiting:
            raise QueueFull(name, waiting, waiting / 2 / self._rate(traffic_class))
        if (excess := self.expected_wait(name) - seconds_left) >= 0:
            raise NoSlotInTime(name, waiting, excess)

    def expected_wait(self, name: str) -> float:
        """Return the seconds until a request of this class that is queued now is expected to be granted a slot."""
        traffic_class = self._classes[name]
        return (len(traffic_class.waiting) + 1) / self._rate(traffic_class)

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

    def _rate(self, traffic_class: _TrafficClass[Waiter]) -> float:
        """Return the requests per second that a class is granted slots for, at its share of them."""
        active_weight = sum(other.weight for other in self._classes.values() if other.active)
        share = self._slots * traffic_class.weight / max(active_weight, traffic_class.weight)
        return share / max(traffic_class.service_time, _MIN_SERVICE_TIME)
