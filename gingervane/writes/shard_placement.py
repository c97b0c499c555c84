"""Placement of shards on replicas, for writes, which must reach every replica of a shard. Free of I/O.

The decision engine sends a part to one replica of its shard. A write has one part per replica instead: in the
engine of writes, every replica has a cell of its own, so that a part has exactly one candidate replica.
Deadlines, proof of non-execution, windows and slow start are handled as for any other part.

Ownership: the thread that receives endpoint lists. Readers see the last complete placement.
"""

from __future__ import annotations

from typing import NamedTuple

from gingervane import interface as api
from gingervane.coordinator.types import EndpointsUpdated

MAX_CELLS = 1 << 20  # cells in the engine of writes: the maximum number of replicas ever listed


class ShardReplica(NamedTuple):
    """A replica of a shard."""

    replica: int
    cell: int  # the replica's own cell in the engine of writes
    state: api.ReplicaState
    address: tuple[str, int]


class ShardPlacement:
    """Replicas of each shard, on a ring of `cell_count` shards with `replication_factor` replicas each."""

    def __init__(self, cell_count: int, replication_factor: int) -> None:
        self._cell_count = cell_count
        self._replication_factor = replication_factor
        self._own_cells: dict[int, int] = {}  # by replica; entries are never changed or removed
        self._replicas: dict[int, api.Replica] = {}
        self._addresses: dict[int, tuple[str, int]] = {}
        self._by_shard: dict[int, tuple[ShardReplica, ...]] = {}
        self._started_at: dict[int, float] | None = None  # of the ready replicas of the last list, by replica
        # Ready replicas of the last list that were not ready in the one before, or that it shows as restarted.
        self.incomplete_replicas: set[int] = set()

    def endpoints_updated(self, update: EndpointsUpdated) -> EndpointsUpdated:
        """Apply an endpoint list, and return it with the cells that the engine of writes uses."""
        membership = update.membership
        if membership.kind is not api.MembershipUpdateKind.DELTA:
            self._replicas = {}
        self._addresses |= update.addresses
        for replica in membership.replicas:
            self._replicas[replica.id] = replica
            self._own_cells.setdefault(replica.id, len(self._own_cells))
        self._update_incomplete()
        self._by_shard = self._place()
        replicas = tuple(
            replica._replace(cell=self._own_cells[replica.id]) for replica in membership.replicas
        )
        return update._replace(membership=membership._replace(replicas=replicas))

    def shards_of(self, replica: int) -> tuple[int, ...]:
        """Return the shards that a replica holds."""
        return tuple(
            shard
            for shard, replicas in self._by_shard.items()
            if any(shard_replica.replica == replica for shard_replica in replicas)
        )

    def replicas_of(self, shard: int) -> tuple[ShardReplica, ...]:
        """Return the listed replicas of a shard that are not gone."""
        return self._by_shard.get(shard, ())

    def _update_incomplete(self) -> None:
        """Find the replicas that may lack points: new, back after they drained or were gone, or restarted.

        Those of the first list count as complete.
        """
        before = self._started_at
        self._started_at = {
            number: replica.started_at
            for number, replica in self._replicas.items()
            if replica.state is api.ReplicaState.READY
        }
        self.incomplete_replicas = set()
        if before is not None:
            self.incomplete_replicas = {
                number
                for number, at in self._started_at.items()
                if number not in before or at > before[number]
            }

    def _place(self) -> dict[int, tuple[ShardReplica, ...]]:
        by_shard: dict[int, list[ShardReplica]] = {shard: [] for shard in range(self._cell_count)}
        for number, replica in sorted(self._replicas.items()):
            if replica.state is api.ReplicaState.GONE:
                continue
            shard_replica = ShardReplica(
                number, self._own_cells[number], replica.state, self._addresses[number]
            )
            for offset in range(min(self._replication_factor, self._cell_count)):
                by_shard[(replica.cell - offset) % self._cell_count].append(shard_replica)
        return {shard: tuple(replicas) for shard, replicas in by_shard.items()}
