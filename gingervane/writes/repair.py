"""Repair of missed writes: compares the replicas of a shard and copies points that differ, within a budget.

`missed_writes` decides which shard to compare and when, `repair_plan` decides which points to copy, and the
front implements the requests to replicas (`ShardReplicaClient`). The repairer runs on a thread of its own.
`_lock` guards the missed writes, which the threads of fronts and the owner of the endpoint list add to.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from gingervane import interface as api
from gingervane.writes.missed_writes import MissedWrites, PendingAcknowledgements, ShardKey
from gingervane.writes.repair_plan import CopyPlan, PointCopy, PointState, plan_copies
from gingervane.writes.shard_placement import ShardPlacement, ShardReplica

_POLL_INTERVAL = 0.05  # seconds
_ACKNOWLEDGEMENT_GRACE = 0.5  # seconds after a write's deadline in which a replica may still acknowledge it
_MAX_POINTS_PER_COPY = 256  # in one request
_STOP_TIMEOUT = 10.0  # seconds to wait for the thread to end


class ShardReplicaClient(Protocol):
    """Client for requests to replicas. Every call has a time-out, and returns None or 0 on any failure."""

    def point_states(self, replica: ShardReplica, shard: ShardKey) -> dict[str, PointState] | None:
        """Return the states of the points of a shard on a replica, by point id."""

    def copy_points(
        self, shard: ShardKey, source: ShardReplica, target: ShardReplica, points: tuple[str, ...]
    ) -> int:
        """Copy points from one replica to another; return the number of points copied."""


class _Comparison(NamedTuple):
    """Result of comparing the replicas of a shard."""

    copied: int
    conflicts: int
    complete: bool  # every replica took part, and no point remains to be copied


class Repairer:
    """A `WriteTracker` that repairs missed writes on a thread of its own. Thread-safe."""

    def __init__(
        self,
        missed_writes: MissedWrites,
        placement: ShardPlacement,
        replication_factor: int,
        client: ShardReplicaClient,
        log_message: Callable[[str], None],
    ) -> None:
        self._missed_writes = missed_writes
        self._placement = placement
        self._replication_factor = replication_factor
        self._client = client
        self._log_message = log_message
        self._pending = PendingAcknowledgements()
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="repair", daemon=True)

    def start(self) -> None:
        """Start the repair thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the repair thread, and wait for its end for at most `_STOP_TIMEOUT` seconds."""
        self._stop.set()
        if self._thread.ident:
            self._thread.join(_STOP_TIMEOUT)

    def write_sent(
        self, shard: ShardKey, version: int, replicas: Iterable[int], replicas_missing: bool, deadline: float
    ) -> None:
        """Track a write that is sent to `replicas` until `deadline` (monotonic clock).

        `replicas_missing`: further replicas of the shard are not ready, and miss the write.
        """
        with self._lock:
            self._pending.add(shard, version, replicas, deadline + _ACKNOWLEDGEMENT_GRACE)
            if replicas_missing:
                self._missed_writes.add(shard, time.monotonic())

    def write_acknowledged(self, shard: ShardKey, version: int, replica: int) -> None:
        """Record that a replica has executed a write."""
        with self._lock:
            self._pending.acknowledge(shard, version, replica)

    def write_not_executed(self, shard: ShardKey, version: int) -> None:
        """Stop tracking a write that, by proof, no replica has executed."""
        with self._lock:
            self._pending.discard(shard, version)

    def replica_incomplete(self, shards: Iterable[ShardKey]) -> None:
        """Record that a replica of these shards is new, back, or was restarted, and may lack points."""
        with self._lock:
            for shard in shards:
                self._missed_writes.add_due(shard, time.monotonic())

    def metrics(self) -> dict[str, float]:
        """Return values by metric name."""
        with self._lock:
            return {
                "shards_owed": len(self._missed_writes),
                "oldest_debt_seconds": self._missed_writes.oldest_age(time.monotonic()),
                "repairs": self._missed_writes.repaired,
                "points_repaired": self._missed_writes.points_copied,
                "conflicts": self._missed_writes.conflicts,
            }

    def _run(self) -> None:
        while not self._stop.wait(_POLL_INTERVAL):
            with self._lock:
                now = time.monotonic()
                for overdue_shard in self._pending.pop_overdue(now):
                    self._missed_writes.add(overdue_shard, now)
                shard = self._missed_writes.next_shard(now)
                capacity = self._missed_writes.capacity(now)
            if shard is not None:
                self._repair(shard, capacity)

    def _repair(self, shard: ShardKey, capacity: int) -> None:
        copied, conflicts, complete = self._compare(shard, capacity)
        with self._lock:
            self._missed_writes.record_comparison(shard, time.monotonic(), copied, conflicts, complete)
        if conflicts:
            shard_name = f"{shard.collection}/s{shard.shard}"
            self._log_message(
                f"{shard_name}: {conflicts} points have different contents under the same version"
            )

    def _compare(self, shard: ShardKey, capacity: int) -> _Comparison:
        """Compare the ready replicas of a shard once, and copy at most `capacity` points between them."""
        ready = {
            replica.replica: replica
            for replica in self._placement.replicas_of(shard.shard)
            if replica.state is api.ReplicaState.READY
        }
        states: dict[int, dict[str, PointState]] = {}
        for number, replica in ready.items():
            replica_states = (
                self._client.point_states(replica, shard) if self._is_ready(replica, shard) else None
            )
            if replica_states is not None:
                states[number] = replica_states
        plan = plan_copies(states, capacity) if len(states) > 1 else CopyPlan([], 0, 0)
        copied = sum(self._copy(shard, ready, copy) for copy in plan.copies)
        planned_count = sum(len(copy.points) for copy in plan.copies)
        all_compared = len(states) == self._replication_factor
        return _Comparison(
            copied, plan.conflicts, all_compared and copied == planned_count and not plan.remaining
        )

    def _copy(self, shard: ShardKey, replicas: dict[int, ShardReplica], copy: PointCopy) -> int:
        source = replicas[copy.source]
        target = replicas[copy.target]
        copied = 0
        for start in range(0, len(copy.points), _MAX_POINTS_PER_COPY):
            if not self._is_ready(source, shard) or not self._is_ready(target, shard):
                break
            points = copy.points[start : start + _MAX_POINTS_PER_COPY]
            copied += self._client.copy_points(shard, source, target, points)
        return copied

    def _is_ready(self, replica: ShardReplica, shard: ShardKey) -> bool:
        """Whether a replica is still ready. It may have begun to drain while another one was waited for."""
        return any(
            listed.replica == replica.replica and listed.state is api.ReplicaState.READY
            for listed in self._placement.replicas_of(shard.shard)
        )
