"""A ring of replicas that is read from and written to, put together for any protocol: two cores, who holds what, what
is known of keys, and the repair of what holders owe.

Searches and reads go through one core, which picks a holder of each shard; writes through another, which asks every
one. Both push the same replicas: each counts itself as one of twice as many co-ordinators, so that together they keep
to one's share of a cold one.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import NamedTuple

from gingervane import interface as api
from gingervane.coordinator import types as t
from gingervane.coordinator.boot_clock import seconds as real_seconds
from gingervane.coordinator.core import QueryCoordinator, QueryObserver
from gingervane.writes.missed_writes import RepairBudget, MissedWrites, ShardKey
from gingervane.coordinator.dispatch import QueryDispatcher
from gingervane.writes.shard_placement import ShardPlacement
from gingervane.writes.write_ahead_log import WriteAheadLog
from gingervane.writes.idempotency import IdempotencyRecords, IdempotencyLimits
from gingervane.writes.repair import ShardReplicaClient, Repairer
from gingervane.writes.quorum_writes import VersionClock, QuorumWrites, restore_records, write_settings


class ReplicationSettings(NamedTuple):
    """Shards on a ring of `cells`, `width` holders each, `quorum` of which must have done a write.

    `spaces`: what has shards of its own on the ring; `lenient`: the module's classes that writes are asked in.
    """

    collections: tuple[str, ...]
    cell_count: int
    replication_factor: int
    write_quorum: int
    write_classes: tuple[int, ...]


class IdempotencySettings(NamedTuple):
    """What is known of keyed writes: how long replicas drop repeats, how long and how many keys are kept, and the
    folder of their log, if there is one. `mark`: this co-ordinator's in versions."""

    window: float
    retention: float
    max_keys: int
    log_folder: Path | None
    coordinator_mark: int


class ReplicatedShards:
    """Two cores and what they share. `listed` takes lists on one thread; `start`, `stop`, `close`."""

    def __init__(
        self,
        ring: ReplicationSettings,
        keys: IdempotencySettings,
        budget: RepairBudget,
        base: api.Settings,
        remote: ShardReplicaClient,
        make: Callable[[api.Settings, QueryObserver], QueryCoordinator],
        observer: Callable[[str], QueryObserver],
        complain: Callable[[str], None],
        names: Iterable[str],
    ) -> None:
        """`base`: what a module is told, but for the ring; `make` makes a core; `names`: of classes.

        Raises OSError if the log cannot be used.
        """
        reads = base._replace(
            coordinator_count=2 * base.coordinator_count,
            cell_count=ring.cell_count,
            cells_per_replica=ring.replication_factor,
        )
        writes = write_settings(reads, ring.write_classes, ring.write_quorum, ring.replication_factor)
        names, seen = tuple(names), observer("write")
        self._ring, self.placement = ring, ShardPlacement(ring.cell_count, ring.replication_factor)
        self._places = [
            ShardKey(space, shard) for space in ring.collections for shard in range(ring.cell_count)
        ]
        self.repairer = Repairer(
            MissedWrites(budget, self._places, time.monotonic()),
            self.placement,
            ring.replication_factor,
            remote,
            seen.log_message,
        )
        intents = IdempotencyRecords(
            IdempotencyLimits(keys.window, min(0.5, keys.window / 4), keys.retention, keys.max_keys)
        )
        clock = VersionClock(keys.coordinator_mark)
        self.log = self._open(keys, intents, clock, complain)
        self._cores = make(reads, observer("search")), make(writes, seen)
        self.reads = QueryDispatcher(self._cores[0], names)
        self.writes = QuorumWrites(
            QueryDispatcher(self._cores[1], names),
            self.placement,
            ring.write_quorum,
            ring.replication_factor,
            intents,
            self.log,
            clock,
            self.repairer,
            seen.log_message,
        )

    def _open(
        self,
        keys: IdempotencySettings,
        intents: IdempotencyRecords,
        clock: VersionClock,
        complain: Callable[[str], None],
    ) -> WriteAheadLog | None:
        """Read back what an earlier process knew, before anything is asked."""
        if keys.log_folder is None:
            return None
        log = WriteAheadLog(keys.log_folder, keys.retention, real_seconds)
        found = log.recover()
        for fault in found.faults:
            complain(fault)
        restore_records(intents, found.records, clock)
        return log

    @property
    def cores(self) -> list[QueryCoordinator]:
        return list(self._cores)

    def endpoints_updated(self, listed: t.EndpointsUpdated) -> None:
        """News of replicas, for both cores and for what one that is back may have missed."""
        for_writes = self.placement.endpoints_updated(listed)
        self._cores[0].endpoints_updated(listed)
        self._cores[1].endpoints_updated(for_writes)
        for replica in self.placement.returned:
            shards = set(self.placement.shards_of(replica))
            self.repairer.replica_returned([place for place in self._places if place.shard in shards])

    def start(self) -> None:
        """Decide. Lists and queries that came before wait."""
        for core in self._cores:
            core.start()

    def start_repair(self) -> None:
        """Start to repair, once replicas are known."""
        self.repairer.start()

    def stop(self) -> None:
        """End repairing; the cores are their owner's to stop."""
        self.repairer.stop()

    def close(self) -> None:
        """After the cores have ended."""
        if self.log:
            self.log.close()
