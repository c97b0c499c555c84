"""Missed writes: shards with a replica that may lack a write, and the next shard to compare. Free of I/O.

A shard has a missed write if the client was answered although a replica did not acknowledge its part, or if a
replica is new, back, or was restarted. Repair compares the replicas of the shard and copies the points that
differ. A budget of points limits the load of repair. A sweep also compares every shard periodically.

One owner calls these classes under its lock; the caller passes the time.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

_MAX_BACKOFF_DOUBLINGS = 16
_MAX_SWEEP_BACKLOG = 1.0  # seconds of missed sweep time that are made up after a delay


class ShardKey(NamedTuple):
    """A shard of a collection."""

    collection: str
    shard: int


@dataclass(slots=True)
class MissedWrite:
    """Repair state of a shard of which a replica may lack a write."""

    first_missed_at: float
    next_attempt_at: float
    failed_attempts: int = 0


class RepairBudget(NamedTuple):
    """Rate limit of copying, and the times at which shards are compared."""

    points_per_second: float = 500.0
    burst_points: float = 1000.0
    sweep_interval: float = 600.0  # seconds in which every shard is compared once, missed write or not
    initial_backoff: float = 0.5  # seconds after a missed write, doubled by each failed attempt
    max_backoff: float = 60.0  # seconds


class MissedWrites:
    """Shards with missed writes, and the order in which shards are compared."""

    def __init__(self, budget: RepairBudget, shards: Iterable[ShardKey], now: float) -> None:
        self._budget = budget
        self._missed: OrderedDict[ShardKey, MissedWrite] = OrderedDict()
        self._shards = list(shards)
        self._next_sweep_at = now
        self._swept_count = 0
        self._tokens = budget.burst_points
        self._refilled_at = now
        self.repaired = 0
        self.conflicts = 0
        self.points_copied = 0

    def __len__(self) -> int:
        return len(self._missed)

    def add(self, shard: ShardKey, now: float) -> None:
        """Record that a replica did not acknowledge a write, or may lack points."""
        if shard not in self._missed:
            self._missed[shard] = MissedWrite(now, now + self._budget.initial_backoff)

    def add_due(self, shard: ShardKey, now: float) -> None:
        """Record that a replica that can be compared again may lack points: no longer backoff applies."""
        self.add(shard, now)
        missed = self._missed[shard]
        missed.failed_attempts = 0
        missed.next_attempt_at = min(missed.next_attempt_at, now + self._budget.initial_backoff)

    def oldest_age(self, now: float) -> float:
        """Return the seconds since the oldest missed write; 0 if there is none."""
        return max((now - missed.first_missed_at for missed in self._missed.values()), default=0.0)

    def next_shard(self, now: float) -> ShardKey | None:
        """Return the shard to compare now, or None if none is due or the budget allows no copying."""
        self._refill(now)
        if self._tokens < 1.0:
            return None
        next_retry = min(
            (
                (missed.next_attempt_at, shard)
                for shard, missed in self._missed.items()
                if missed.next_attempt_at <= now
            ),
            default=None,
        )
        return next_retry[1] if next_retry is not None else self._next_of_sweep(now)

    def capacity(self, now: float) -> int:
        """Return how many points may be copied now."""
        self._refill(now)
        return int(self._tokens)

    def record_comparison(
        self, shard: ShardKey, now: float, copied: int, conflicts: int, complete: bool
    ) -> None:
        """Record the result of a comparison.

        `complete`: every replica took part, and no point remains to be copied.
        """
        self._tokens -= copied
        self.points_copied += copied
        self.conflicts += conflicts
        missed = self._missed.get(shard)
        if missed is None:
            return
        if complete:
            self.repaired += 1
            del self._missed[shard]
            return
        # The backoff grows only while a repair copies nothing.
        missed.failed_attempts = 0 if copied else missed.failed_attempts + 1
        doublings = min(missed.failed_attempts, _MAX_BACKOFF_DOUBLINGS)
        backoff = min(self._budget.initial_backoff * 2.0**doublings, self._budget.max_backoff)
        missed.next_attempt_at = now + backoff

    def _next_of_sweep(self, now: float) -> ShardKey | None:
        if not self._shards or now < self._next_sweep_at:
            return None
        shard = self._shards[self._swept_count % len(self._shards)]
        self._swept_count += 1
        pause = self._budget.sweep_interval / len(self._shards)
        self._next_sweep_at = max(self._next_sweep_at, now - _MAX_SWEEP_BACKLOG) + pause
        return shard

    def _refill(self, now: float) -> None:
        refill = max(now - self._refilled_at, 0.0) * self._budget.points_per_second
        self._tokens = min(self._budget.burst_points, self._tokens + refill)
        self._refilled_at = now


class _AwaitedWrite(NamedTuple):
    """A write, and the replicas that have not acknowledged it yet."""

    due_at: float  # when the last acknowledgement must have arrived
    replicas: set[int]


class PendingAcknowledgements:
    """Writes that some replicas have been sent and have not acknowledged yet.

    A client is answered once a quorum has acknowledged. The other acknowledgements arrive later, or the write
    counts as missed. At most `max_writes` writes are tracked; beyond that, the oldest one counts as missed at
    once.
    """

    def __init__(self, max_writes: int = 100_000) -> None:
        self._max_writes = max_writes
        self._awaited_writes: OrderedDict[tuple[ShardKey, int], _AwaitedWrite] = OrderedDict()
        self._evicted: list[ShardKey] = []

    def add(self, shard: ShardKey, version: int, replicas: Iterable[int], due_at: float) -> None:
        """Track a write of `version` that these replicas must acknowledge by the time `due_at`."""
        if len(self._awaited_writes) >= self._max_writes:
            (oldest_shard, _), _ = self._awaited_writes.popitem(last=False)
            self._evicted.append(oldest_shard)
        self._awaited_writes[shard, version] = _AwaitedWrite(due_at, set(replicas))

    def acknowledge(self, shard: ShardKey, version: int, replica: int) -> None:
        """Record that a replica has executed a write."""
        awaited_write = self._awaited_writes.get((shard, version))
        if awaited_write is not None:
            awaited_write.replicas.discard(replica)
            if not awaited_write.replicas:
                del self._awaited_writes[shard, version]

    def discard(self, shard: ShardKey, version: int) -> None:
        """Stop tracking a write that, by proof, no replica has executed."""
        self._awaited_writes.pop((shard, version), None)

    def pop_overdue(self, now: float) -> list[ShardKey]:
        """Remove the writes whose acknowledgements are overdue, and return their shards."""
        overdue = self._evicted
        self._evicted = []
        for (shard, version), awaited_write in list(self._awaited_writes.items()):
            if awaited_write.due_at > now:
                break  # writes are in order of sending; a write due before its predecessor is removed after it
            del self._awaited_writes[shard, version]
            overdue.append(shard)
        return overdue
