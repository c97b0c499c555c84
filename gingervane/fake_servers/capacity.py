"""The capacity model of a fake server: cores, a queue, slow start and overload. Does no I/O."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple


class Model(NamedTuple):
    """The capacity of a server. The field names are keys of `facts.json`.

    A server starts with the share `start_capacity` of its speed and reaches full speed after `ramp_time`. If,
    until then, it is sent more than `fall_multiple` times its capacity within `fall_time`, it is overloaded
    and stays down.
    """

    cores: int = 2
    work: float = 0.004  # core seconds of a part
    call_work: float = 0.001  # core seconds of a request besides its parts
    queue: int = 200  # parts that may wait
    start_capacity: float = 0.2  # share of full speed
    ramp_time: float = 10.0  # seconds
    fall_multiple: float = 4.0
    fall_time: float = 1.5  # seconds


class Job(NamedTuple):
    """Work of a core from `start` to `end`."""

    core: int
    start: float
    end: float


@dataclass
class Capacity:
    """Assigns each job to the core that is free first. Not thread-safe: the caller holds a lock."""

    model: Model
    slow_start_from: float
    free_at: list[float] = field(default_factory=list)
    sent: deque[tuple[float, float]] = field(default_factory=deque)  # when, core seconds
    is_overloaded: bool = False  # permanently down after an overload
    _sent_work: float = 0.0  # core seconds in `sent`

    def __post_init__(self) -> None:
        self.free_at = [0.0] * self.model.cores

    def speed(self, now: float) -> float:
        """Return the server's present share of full speed."""
        age, start = max(now - self.slow_start_from, 0.0), self.model.start_capacity
        return min(1.0, start + (1.0 - start) * age / self.model.ramp_time)

    def take(self, now: float, parts: int, slowness: float) -> Job | None:
        """Queue a request; return None if the queue is full. A rejected request also counts as sent."""
        work = parts * self.model.work + self.model.call_work
        self._count_sent(now, work)
        waiting = sum(max(free_at - now, 0.0) for free_at in self.free_at) / max(self.model.work, 1e-9)
        if waiting > self.model.queue:
            return None
        core = min(range(len(self.free_at)), key=self.free_at.__getitem__)
        start = max(now, self.free_at[core])
        end = start + work * slowness / self.speed(start)
        self.free_at[core] = end
        return Job(core, start, end)

    def drop(self, job: Job, now: float) -> None:
        """Release the core time that a cancelled job has not used."""
        self.free_at[job.core] -= max(job.end - max(now, job.start), 0.0)

    def _count_sent(self, now: float, work: float) -> None:
        """Detect an overload: compare the work sent in the last `fall_time` with the capacity for it."""
        self.sent.append((now, work))
        self._sent_work += work
        while self.sent[0][0] < now - self.model.fall_time:
            self._sent_work -= self.sent.popleft()[1]
        capacity = self.model.cores * self.speed(now) * self.model.fall_time
        if self.speed(now) < 1.0 and self._sent_work > self.model.fall_multiple * capacity:
            self.is_overloaded = True
