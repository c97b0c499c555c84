"""Replication of one write to every replica of each of its shards, with a quorum, for any protocol.

A write has a part for each ready replica of each shard (`shard_placement`). It completes once `quorum`
replicas of every shard have acknowledged it. Later acknowledgements are still recorded, and a replica that
does not acknowledge in time has a missed write (`repair`). Within one attempt of the client, the decision
engine decides about retries.

Only a rejection by the engine proves that a write was not executed: the attempts of a completed query prove
nothing about attempts that are still in flight.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple, Protocol

from gingervane import interface as api
from gingervane.coordinator import types as t
from gingervane.coordinator.admission import Rejected
from gingervane.coordinator.dispatch import QueryDispatcher
from gingervane.coordinator.pending_queries import PendingQuery, ResultQueue
from gingervane.writes.idempotency import KeyAction, WriteState
from gingervane.writes.missed_writes import ShardKey
from gingervane.writes.shard_placement import MAX_CELLS, ShardPlacement

_NO_QUORUM_RETRY_AFTER = 1.0  # seconds
_SHARE_ROUNDING = 1e-6  # subtracted from the share of a quorum, so that a sum of floats reaches it

AcknowledgementCallback = Callable[[int, int], None]  # takes the shard and the replica
# Takes the key (empty if there is none), the version, and the callback for each acknowledgement.
CodecFactory = Callable[[str, int, AcknowledgementCallback], t.HttpCodec]


class ReplicatedWrite(NamedTuple):
    """One write, decoded by a front."""

    collection: str
    content_by_shard: Mapping[int, Callable[[int], Any]]  # makes the content for a replica
    make_codec: CodecFactory
    class_name: str
    class_number: int  # number of the query class in the engine of writes
    deadline: float  # of the client, on the monotonic clock


class WriteOutcome(NamedTuple):
    """Result of one write."""

    action: KeyAction  # SEND if the write was to be sent, or else the reason why not
    state: WriteState = WriteState.NOT_EXECUTED
    detail: str = ""
    retry_after: float = 0.0  # seconds
    replicated_share: float = 0.0  # share of the replicas that had acknowledged the write
    version: int = 0
    replayed: bool = False  # answered from the idempotency record


class WriteTracker(Protocol):
    """Tracks the replicas that a write is sent to, and their acknowledgements."""

    def write_sent(
        self, shard: ShardKey, version: int, replicas: Iterable[int], replicas_missing: bool, deadline: float
    ) -> None:
        """Track a write that is sent to `replicas`; `replicas_missing`: others are not ready."""

    def write_acknowledged(self, shard: ShardKey, version: int, replica: int) -> None:
        """Record that a replica has executed the write."""

    def write_not_executed(self, shard: ShardKey, version: int) -> None:
        """Stop tracking a write that, by proof, no replica has executed."""


class _InsufficientReplicasError(Exception):
    """Fewer replicas of a shard are ready than the quorum requires."""


class _ShardPlan(NamedTuple):
    """A shard's part of a write: its ready replicas, and the part for each of them."""

    replicas: list[int]
    parts: tuple[t.PartPlan, ...]


class WriteReplicator:
    """Sends writes to replicas, on the threads of fronts.

    `_lock` guards the counts and the acknowledged versions.
    """

    def __init__(
        self,
        dispatcher: QueryDispatcher,
        placement: ShardPlacement,
        quorum: int,
        replication_factor: int,
        tracker: WriteTracker,
        log_message: Callable[[str], None],
    ) -> None:
        """`dispatcher` is that of the coordinator of writes."""
        self._dispatcher = dispatcher
        self._placement = placement
        self._quorum = quorum
        self._replication_factor = replication_factor
        self._tracker = tracker
        self._log_message = log_message
        self._lock = threading.Lock()
        self._acknowledged_versions: dict[ShardKey, int] = {}
        self.write_count = 0
        self.late_success_count = 0  # acknowledgements of writes that had been reported as failed

    def acknowledged_version(self, shard: ShardKey) -> int:
        """Return the newest version of a shard that was acknowledged to a client, or 0."""
        with self._lock:
            return self._acknowledged_versions.get(shard, 0)

    def replicate(self, write: ReplicatedWrite, key: str, version: int, deadline: float) -> WriteOutcome:
        """Send a write to all replicas of its shards, and wait for the result of each shard."""
        with self._lock:
            self.write_count += 1
        failed = threading.Event()

        def acknowledged(shard: int, replica: int) -> None:
            self._acknowledged(failed, ShardKey(write.collection, shard), replica, version)

        codec = write.make_codec(key, version, acknowledged)
        try:
            plans = self._plan(write)
        except _InsufficientReplicasError as error:
            return WriteOutcome(
                KeyAction.SEND,
                WriteState.NOT_EXECUTED,
                str(error),
                _NO_QUORUM_RETRY_AFTER,
                version=version,
            )
        results, rejection = self._execute(write, plans, codec, version, deadline)
        outcome = self._combine(write.collection, results, rejection, version)
        if outcome.state is WriteState.UNKNOWN:
            failed.set()
        return outcome

    def _plan(self, write: ReplicatedWrite) -> dict[int, _ShardPlan]:
        plans: dict[int, _ShardPlan] = {}
        for shard, content in sorted(write.content_by_shard.items()):
            replicas = self._placement.replicas_of(shard)
            ready = [replica for replica in replicas if replica.state is api.ReplicaState.READY]
            if len(ready) < self._quorum:
                raise _InsufficientReplicasError(
                    f"shard s{shard}: {len(ready)} holders are ready, {self._quorum} must do a write"
                )
            weight = 1.0 / len(ready)
            plans[shard] = _ShardPlan(
                [replica.replica for replica in ready],
                tuple(t.PartPlan(replica.cell, weight, content(replica.replica)) for replica in ready),
            )
        return plans

    def _execute(
        self,
        write: ReplicatedWrite,
        plans: dict[int, _ShardPlan],
        codec: t.HttpCodec,
        version: int,
        deadline: float,
    ) -> tuple[dict[int, t.QueryResult], Rejected | None]:
        """Submit one query per shard until one is rejected, and return the results of the submitted ones."""
        remaining_seconds = max(deadline - time.monotonic(), 0.0)
        reserve = self._dispatcher.reserve(write.class_name, len(plans), remaining_seconds)
        result_queue = ResultQueue()
        submitted: dict[PendingQuery, int] = {}
        rejection: Rejected | None = None
        for shard, plan in plans.items():
            shard_key = ShardKey(write.collection, shard)
            replicas_missing = len(plan.replicas) < self._replication_factor
            self._tracker.write_sent(shard_key, version, plan.replicas, replicas_missing, deadline)
            try:
                query = t.QueryPlan(
                    write.class_number, deadline - reserve, plan.parts, codec, write.class_name
                )
                submitted[self._dispatcher.core.submit(query, result_queue)] = shard
            except Rejected as error:
                self._tracker.write_not_executed(shard_key, version)
                rejection = error
                break
        results: dict[int, t.QueryResult] = {}
        pending: PendingQuery
        result: t.QueryResult
        while len(results) < len(submitted):
            pending, result = result_queue.get()
            results[submitted[pending]] = result
            pending.release()
        return results, rejection

    def _combine(
        self,
        collection: str,
        results: dict[int, t.QueryResult],
        rejection: Rejected | None,
        version: int,
    ) -> WriteOutcome:
        """Combine the results of the shards into the outcome of the write."""
        acknowledgements = {shard: len(result.results) for shard, result in results.items()}
        not_executed = {shard for shard, result in results.items() if result.status is t.QueryStatus.REJECTED}
        for shard in not_executed:
            self._tracker.write_not_executed(ShardKey(collection, shard), version)
        enough = all(count >= self._quorum for count in acknowledgements.values())
        if rejection is None and acknowledgements and enough:
            self._record_acknowledged(collection, acknowledgements, version)
            shares = sum(min(count / self._replication_factor, 1.0) for count in acknowledgements.values())
            share = shares / len(acknowledgements)
            return WriteOutcome(KeyAction.SEND, WriteState.COMPLETED, replicated_share=share, version=version)
        retry_after = max(
            [result.retry_after for result in results.values()]
            + [rejection.retry_after if rejection else 0.0]
        )
        detail = str(rejection or "") or next(
            (result.detail for result in results.values() if result.detail), "no answer in time"
        )
        state = WriteState.NOT_EXECUTED if len(not_executed) == len(results) else WriteState.UNKNOWN
        return WriteOutcome(KeyAction.SEND, state, detail, retry_after, version=version)

    def _record_acknowledged(self, collection: str, shards: Iterable[int], version: int) -> None:
        with self._lock:
            for shard in shards:
                shard_key = ShardKey(collection, shard)
                newest = self._acknowledged_versions.get(shard_key, 0)
                self._acknowledged_versions[shard_key] = max(version, newest)

    def _acknowledged(self, failed: threading.Event, shard: ShardKey, replica: int, version: int) -> None:
        """Record an acknowledgement, on a sender's thread, possibly long after the reply to the client."""
        self._tracker.write_acknowledged(shard, version, replica)
        if failed.is_set():
            with self._lock:
                self.late_success_count += 1
            where = f"{shard.collection}/s{shard.shard}"
            self._log_message(
                f"{where}: replica {replica} executed version {version} after it was reported as failed"
            )


def write_settings(
    base: api.Settings, write_classes: Iterable[int], quorum: int, replication_factor: int
) -> api.Settings:
    """Return the settings of the engine of writes.

    Every replica has a cell of its own. Queries of `write_classes` complete once a quorum has acknowledged,
    without waiting for the slowest replica. No attempt is cancelled, since its outcome on the replica must
    become known.
    """
    quorum_share = quorum / replication_factor - _SHARE_ROUNDING
    chosen = set(write_classes)
    classes = tuple(
        query_class._replace(
            required_coverage=quorum_share,
            complete_coverage=quorum_share,
        )
        if number in chosen
        else query_class
        for number, query_class in enumerate(base.query_classes)
    )
    return base._replace(
        query_classes=classes, cell_count=MAX_CELLS, cells_per_replica=1, cancellation_allowed=False
    )
