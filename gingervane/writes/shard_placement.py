"""Which replicas hold a shard, for what must reach every holder and not just one. Free of I/O.

The decision module sends a part to one of a shard's holders. A write has a part for each holder instead: in the
module that decides writes every replica is a cell of its own, so that a part's only holder is the one that it is
for. All else (time, proof, windows, slow start) is decided as for any part.

Owner: the thread that is told of lists. Readers take what `of` saw last.
"""

from __future__ import annotations

from typing import NamedTuple

from gingervane import interface as api
from gingervane.coordinator.types import EndpointsUpdated


class ShardReplica(NamedTuple):
    """`cell`: the replica's own, in the module that decides writes."""

    replica: int
    cell: int
    state: api.ReplicaState
    address: tuple[str, int]


class ShardPlacement:
    """Holders of each shard on a ring of `cells`, `width` of them each."""

    def __init__(self, cells: int, width: int) -> None:
        self._cells, self._width = cells, width
        self._own: dict[int, int] = {}  # replica -> its own cell, for ever
        self._rows: dict[int, api.Replica] = {}
        self._addresses: dict[int, tuple[str, int]] = {}
        self._by_shard: dict[int, tuple[ShardReplica, ...]] = {}
        self._gone: set[int] = set()
        self.returned: set[int] = set()  # that the last list brought back from being gone

    def endpoints_updated(self, listed: EndpointsUpdated) -> EndpointsUpdated:
        """Take a list; the same one for the module that decides writes."""
        event = listed.membership
        if event.kind is not api.MembershipUpdateKind.DELTA:
            self._rows = {}
        self._addresses |= listed.addresses
        for row in event.replicas:
            self._rows[row.id] = row
            self._own.setdefault(row.id, len(self._own))
        gone = {n for n, row in self._rows.items() if row.state is api.ReplicaState.GONE}
        self.returned = self._gone & (set(self._rows) - gone)
        self._gone = (self._gone | gone) - self.returned
        by_shard: dict[int, list[ShardReplica]] = {shard: [] for shard in range(self._cells)}
        for number, row in sorted(self._rows.items()):
            if row.state is not api.ReplicaState.GONE:
                for back in range(min(self._width, self._cells)):
                    shard = (row.cell - back) % self._cells
                    by_shard[shard].append(
                        ShardReplica(number, self._own[number], row.state, self._addresses[number])
                    )
        self._by_shard = {shard: tuple(found) for shard, found in by_shard.items()}
        rows = tuple(row._replace(cell=self._own[row.id]) for row in event.replicas)
        return listed._replace(membership=event._replace(replicas=rows))

    def shards_of(self, replica: int) -> tuple[int, ...]:
        """Shards that a replica holds."""
        return tuple(s for s, found in self._by_shard.items() if any(h.replica == replica for h in found))

    def replicas_of(self, shard: int) -> tuple[ShardReplica, ...]:
        """Replicas that are listed for a shard and not gone."""
        return self._by_shard.get(shard, ())


MAX_CELLS = 1 << 20  # of the module that decides writes: replicas that may ever be listed
