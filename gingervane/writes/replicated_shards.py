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
from gingervane.coordinator.core import QueryCoordinator
from gingervane.coordinator.ports import QueryObserver
from gingervane.writes.missed_writes import Budget, MissedWrites, Place
from gingervane.coordinator.dispatch import QueryDispatcher
from gingervane.writes.shard_placement import ShardPlacement
from gingervane.writes.write_ahead_log import WriteAheadLog
from gingervane.writes.idempotency import IdempotencyRecords, Limits
from gingervane.writes.repair import Remote, Repairer
from gingervane.writes.quorum_writes import Clock, QuorumWrites, recovered, write_settings


class Ring(NamedTuple):
    """Shards on a ring of `cells`, `width` holders each, `quorum` of which must have done a write.

    `spaces`: what has shards of its own on the ring; `lenient`: the module's classes that writes are asked in.
    """

    spaces: tuple[str, ...]
    cells: int
    width: int
    quorum: int
    lenient: tuple[int, ...]


class Keys(NamedTuple):
    """What is known of keyed writes: how long replicas drop repeats, how long and how many keys are kept, and the
    folder of their log, if there is one. `mark`: this co-ordinator's in versions."""

    window: float
    keep: float
    most: int
    folder: Path | None
    mark: int


class Replicated:
    """Two cores and what they share. `listed` takes lists on one thread; `start`, `stop`, `close`."""

    def __init__(
        self,
        ring: Ring,
        keys: Keys,
        budget: Budget,
        base: api.Settings,
        remote: Remote,
        make: Callable[[api.Settings, QueryObserver], QueryCoordinator],
        observer: Callable[[str], QueryObserver],
        complain: Callable[[str], None],
        names: Iterable[str],
    ) -> None:
        """`base`: what a module is told, but for the ring; `make` makes a core; `names`: of classes.

        Raises OSError if the log cannot be used.
        """
        reads = base._replace(
            coordinator_count=2 * base.coordinator_count, cell_count=ring.cells, cells_per_replica=ring.width
        )
        writes = write_settings(reads, ring.lenient, ring.quorum, ring.width)
        names, seen = tuple(names), observer("write")
        self._ring, self.holders = ring, ShardPlacement(ring.cells, ring.width)
        self._places = [Place(space, shard) for space in ring.spaces for shard in range(ring.cells)]
        self.repairer = Repairer(
            MissedWrites(budget, self._places, time.monotonic()),
            self.holders,
            ring.width,
            remote,
            seen.log_message,
        )
        intents = IdempotencyRecords(Limits(keys.window, min(0.5, keys.window / 4), keys.keep, keys.most))
        clock = Clock(keys.mark)
        self.log = self._open(keys, intents, clock, complain)
        self._cores = make(reads, observer("search")), make(writes, seen)
        self.reads = QueryDispatcher(self._cores[0], names)
        self.writes = QuorumWrites(
            QueryDispatcher(self._cores[1], names),
            self.holders,
            ring.quorum,
            ring.width,
            intents,
            self.log,
            clock,
            self.repairer,
            seen.log_message,
        )

    def _open(
        self,
        keys: Keys,
        intents: IdempotencyRecords,
        clock: Clock,
        complain: Callable[[str], None],
    ) -> WriteAheadLog | None:
        """Read back what an earlier process knew, before anything is asked."""
        if keys.folder is None:
            return None
        log = WriteAheadLog(keys.folder, keys.keep, real_seconds)
        found = log.recover()
        for fault in found.faults:
            complain(fault)
        recovered(intents, found.entries, clock)
        return log

    @property
    def cores(self) -> list[QueryCoordinator]:
        return list(self._cores)

    def listed(self, listed: t.EndpointsUpdated) -> None:
        """News of replicas, for both cores and for what one that is back may have missed."""
        for_writes = self.holders.listed(listed)
        self._cores[0].endpoints_updated(listed)
        self._cores[1].endpoints_updated(for_writes)
        for replica in self.holders.back:
            shards = set(self.holders.shards_of(replica))
            self.repairer.back([place for place in self._places if place.shard in shards])

    def start(self) -> None:
        """Decide. Lists and queries that came before wait."""
        for core in self._cores:
            core.start()

    def repair(self) -> None:
        """Start to repair, once replicas are known."""
        self.repairer.start()

    def stop(self) -> None:
        """End repairing; the cores are their owner's to stop."""
        self.repairer.stop()

    def close(self) -> None:
        """After the cores have ended."""
        if self.log:
            self.log.close()
