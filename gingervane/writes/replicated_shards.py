"""Assembly of the parts that read and write replicated shards, independent of the protocol.

There are two coordinators: one for reads, which picks a replica of each shard, and one for writes, which
sends to all replicas. They share the placement of shards; idempotency records and repair belong to the
writes. Both coordinators send to the same replicas, so each assumes twice the number of coordinators.
Together they then keep to the share of one coordinator while a replica is in slow start.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import NamedTuple

from gingervane import interface as api
from gingervane.coordinator import types as t
from gingervane.coordinator.boot_clock import seconds as boot_seconds
from gingervane.coordinator.core import QueryCoordinator
from gingervane.coordinator.dispatch import QueryDispatcher
from gingervane.coordinator.ports import QueryObserver
from gingervane.writes.idempotency import IdempotencyLimits, IdempotencyRecords
from gingervane.writes.missed_writes import MissedWrites, RepairBudget, ShardKey
from gingervane.writes.quorum_writes import QuorumWrites, restore_records
from gingervane.writes.repair import Repairer, ShardReplicaClient
from gingervane.writes.shard_placement import ShardPlacement
from gingervane.writes.version_clock import VersionClock
from gingervane.writes.write_ahead_log import WriteAheadLog
from gingervane.writes.write_replication import WriteReplicator, write_settings

_MAX_SAFETY_MARGIN = 0.5  # seconds before the end of a key's window
_SAFETY_MARGIN_DIVISOR = 4  # the margin is at most the window divided by this


class ReplicationSettings(NamedTuple):
    """Shards on a ring, and their replication."""

    collections: tuple[str, ...]  # names; each collection has all shards of the ring
    cell_count: int
    replication_factor: int
    write_quorum: int  # replicas of a shard that must have executed a write
    write_classes: tuple[int, ...]  # numbers of the query classes that are used for writes


class IdempotencySettings(NamedTuple):
    """Retention of idempotency keys."""

    window: float  # seconds for which replicas drop repeats of a key
    retention: float  # seconds that a key is kept after its last change
    max_keys: int
    log_folder: Path | None  # no write-ahead log if None
    coordinator_mark: int  # identifies this coordinator in versions


class ReplicatedShards:
    """The coordinators of reads and of writes, and the objects that they share."""

    def __init__(
        self,
        replication: ReplicationSettings,
        idempotency: IdempotencySettings,
        budget: RepairBudget,
        base_settings: api.Settings,
        client: ShardReplicaClient,
        make_coordinator: Callable[[api.Settings, QueryObserver], QueryCoordinator],
        observer: Callable[[str], QueryObserver],
        report_fault: Callable[[str], None],
        class_names: Iterable[str],
    ) -> None:
        """`base_settings` lack the ring sizes; `observer` makes the observer of a coordinator from its name.

        Raises OSError if the log cannot be used.
        """
        read_settings = _read_settings(base_settings, replication)
        class_names = tuple(class_names)
        write_observer = observer("write")
        self.placement = ShardPlacement(replication.cell_count, replication.replication_factor)
        self._shards = _all_shards(replication)
        self.repairer = Repairer(
            MissedWrites(budget, self._shards, time.monotonic()),
            self.placement,
            replication.replication_factor,
            client,
            write_observer.log_message,
        )
        records = IdempotencyRecords(_limits(idempotency))
        clock = VersionClock(idempotency.coordinator_mark)
        self._log = _open_log(idempotency, records, clock, report_fault)
        self._read_coordinator = make_coordinator(read_settings, observer("search"))
        self._write_coordinator = make_coordinator(
            _write_settings(read_settings, replication), write_observer
        )
        self.reads = QueryDispatcher(self._read_coordinator, class_names)
        dispatcher = QueryDispatcher(self._write_coordinator, class_names)
        replicator = self._make_replicator(replication, dispatcher, write_observer)
        self.writes = QuorumWrites(replicator, records, self._log, clock, write_observer.log_message)

    def _make_replicator(
        self, replication: ReplicationSettings, dispatcher: QueryDispatcher, observer: QueryObserver
    ) -> WriteReplicator:
        return WriteReplicator(
            dispatcher,
            self.placement,
            replication.write_quorum,
            replication.replication_factor,
            self.repairer,
            observer.log_message,
        )

    @property
    def cores(self) -> list[QueryCoordinator]:
        """The coordinator of reads, then that of writes."""
        return [self._read_coordinator, self._write_coordinator]

    def endpoints_updated(self, update: t.EndpointsUpdated) -> None:
        """Apply an endpoint list, and schedule repair of replicas that may lack points. Called by one thread."""
        update_for_writes = self.placement.endpoints_updated(update)
        self._read_coordinator.endpoints_updated(update)
        self._write_coordinator.endpoints_updated(update_for_writes)
        for replica in self.placement.incomplete_replicas:
            shards = set(self.placement.shards_of(replica))
            self.repairer.replica_incomplete([shard for shard in self._shards if shard.shard in shards])

    def start(self) -> None:
        """Start both coordinators, which then process endpoint lists and queries submitted earlier."""
        for coordinator in self.cores:
            coordinator.start()

    def start_repair(self) -> None:
        """Start the repairer. Called once the replicas are known."""
        self.repairer.start()

    def stop(self) -> None:
        """Stop the repairer. The owner of the coordinators stops them."""
        self.repairer.stop()

    def close(self) -> None:
        """Close the log. Called after the coordinators have stopped."""
        if self._log:
            self._log.close()


def _all_shards(replication: ReplicationSettings) -> list[ShardKey]:
    return [
        ShardKey(collection, shard)
        for collection in replication.collections
        for shard in range(replication.cell_count)
    ]


def _read_settings(base: api.Settings, replication: ReplicationSettings) -> api.Settings:
    return base._replace(
        coordinator_count=2 * base.coordinator_count,
        cell_count=replication.cell_count,
        cells_per_replica=replication.replication_factor,
    )


def _write_settings(read_settings: api.Settings, replication: ReplicationSettings) -> api.Settings:
    return write_settings(
        read_settings, replication.write_classes, replication.write_quorum, replication.replication_factor
    )


def _limits(settings: IdempotencySettings) -> IdempotencyLimits:
    margin = min(_MAX_SAFETY_MARGIN, settings.window / _SAFETY_MARGIN_DIVISOR)
    return IdempotencyLimits(settings.window, margin, settings.retention, settings.max_keys)


def _open_log(
    settings: IdempotencySettings,
    records: IdempotencyRecords,
    clock: VersionClock,
    report_fault: Callable[[str], None],
) -> WriteAheadLog | None:
    """Open the log, if one is configured, and restore the records of earlier processes."""
    if settings.log_folder is None:
        return None
    log = WriteAheadLog(settings.log_folder, settings.retention, boot_seconds)
    recovered = log.recover()
    for fault in recovered.faults:
        report_fault(fault)
    restore_records(records, recovered.records, clock)
    return log
