"""How much work a stand-in can do: cores, a queue, a cold start, and falling over when pushed. Free of I/O."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple


class Model(NamedTuple):
    """`work`: core seconds a part; `call_work`: of a call besides; `queue`: parts that may wait.

    A node that has just started does `start_capacity` of its work and all of it after `ramp_time`. Sent more than
    `fall_multiple` times what it can do, over `fall_time`, it falls over and stays down.
    """

    cores: int = 2
    work: float = 0.004
    call_work: float = 0.001
    queue: int = 200
    start_capacity: float = 0.2
    ramp_time: float = 10.0
    fall_multiple: float = 4.0
    fall_time: float = 1.5


class Job(NamedTuple):
    core: int
    start: float
    end: float


@dataclass
class Capacity:
    """Work as times on cores: a job starts on the core that is free first. The caller sees to locking."""

    model: Model
    cold_from: float
    free: list[float] = field(default_factory=list)
    sent: deque[tuple[float, float]] = field(default_factory=deque)  # when, core seconds
    fallen: bool = False
    _sum: float = 0.0

    def __post_init__(self) -> None:
        self.free = [0.0] * self.model.cores

    def speed(self, now: float) -> float:
        """Of a warm node's."""
        age, start = max(now - self.cold_from, 0.0), self.model.start_capacity
        return min(1.0, start + (1.0 - start) * age / self.model.ramp_time)

    def take(self, now: float, parts: int, slowness: float) -> Job | None:
        """Queue a call; None if the queue is full. Counts it as sent either way."""
        work = parts * self.model.work + self.model.call_work
        self._push(now, work)
        waiting = sum(max(free - now, 0.0) for free in self.free) / max(self.model.work, 1e-9)
        if waiting > self.model.queue:
            return None
        core = min(range(len(self.free)), key=self.free.__getitem__)
        start = max(now, self.free[core])
        end = start + work * slowness / self.speed(start)
        self.free[core] = end
        return Job(core, start, end)

    def drop(self, job: Job, now: float) -> None:
        """Give back what a job that was called off had not used."""
        self.free[job.core] -= max(job.end - max(now, job.start), 0.0)

    def _push(self, now: float, work: float) -> None:
        """Watch for a fall: what was sent in the last `fall_time` against what could be done in it."""
        self.sent.append((now, work))
        self._sum += work
        while self.sent[0][0] < now - self.model.fall_time:
            self._sum -= self.sent.popleft()[1]
        can = self.model.cores * self.speed(now) * self.model.fall_time
        if self.speed(now) < 1.0 and self._sum > self.model.fall_multiple * can:
            self.fallen = True
