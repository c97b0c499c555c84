"""The endpoint list: the replicas, and the holders of each shard."""

from __future__ import annotations

from collections import defaultdict

from gingervane import interface as api
from gingervane.decisions.batch_context import BatchContext
from gingervane.decisions.membership_watch import MembershipWatch
from gingervane.decisions.readiness import Readiness
from gingervane.decisions.replica_leases import ReplicaLeases
from gingervane.decisions.replica_state import KnownReplica
from gingervane.decisions.watch_options import WatchOptions


class Membership:
    """The replicas of the endpoint list and the holders of each shard."""

    def __init__(self, settings: api.Settings, context: BatchContext, watch_options: WatchOptions) -> None:
        self._settings = settings
        self.readiness = Readiness(settings, context, watch_options)
        self.watch = MembershipWatch(settings, context, self.readiness, watch_options)
        self.leases = ReplicaLeases(settings, context, self.watch, watch_options)
        self.replicas = dict[int, KnownReplica]()
        self.ready_count = 0
        self.unavailable = frozenset[int]()  # ids of the draining and removed replicas in the last event
        # By cell: the replicas that hold its shards, in order of their ids.
        self.holders_by_cell = defaultdict[int, list[KnownReplica]](list)

    def holders(self, shard: int) -> list[KnownReplica]:
        """The replicas that hold a shard, in order of their ids."""
        return self.holders_by_cell[shard % self._settings.cell_count]

    def ready_ids(self) -> frozenset[int]:
        """Ids of the ready replicas."""
        return frozenset(replica_id for replica_id, replica in self.replicas.items() if replica.ready)

    def update(self, event: api.MembershipChanged) -> None:
        """Apply a membership event."""
        if event.kind is api.MembershipUpdateKind.FAILED:
            self.watch.record_failure()
            return
        if event.kind is not api.MembershipUpdateKind.CACHED:
            self.watch.record_list()
            self.leases.record_list()
        if event.kind is not api.MembershipUpdateKind.DELTA:
            for replica in self.replicas.values():
                replica.endpoint = replica.endpoint._replace(state=api.ReplicaState.GONE)
                replica.ready = False
        for endpoint in event.replicas:
            self._update_replica(endpoint)
        self._index_holders()
        self.unavailable = frozenset(
            replica_id for replica_id, replica in self.replicas.items() if not replica.ready
        )
        self._forget_gone_replicas()
        self.ready_count = sum(replica.ready for replica in self.replicas.values())
        self.leases.set_ready_replicas(self.ready_count)

    def _update_replica(self, endpoint: api.Replica) -> None:
        """Apply one entry of the list; a restarted replica is no longer ejected and enters slow start."""
        replica = self.replicas.setdefault(endpoint.id, KnownReplica(endpoint))
        if endpoint.started_at > replica.endpoint.started_at:
            replica.failure_score = 0.0
            replica.ejected_for = 0.0
        replica.slow_start_began_at = max(replica.slow_start_began_at, endpoint.started_at)
        replica.endpoint = endpoint
        replica.ready = endpoint.state is api.ReplicaState.READY

    def _index_holders(self) -> None:
        """Compute the holders of each cell once per list; doing so for each part would cost too much CPU."""
        cell_count = self._settings.cell_count
        width = min(self._settings.cells_per_replica, cell_count)
        holders = defaultdict[int, list[KnownReplica]](list)
        for _, replica in sorted(self.replicas.items()):
            if replica.endpoint.state is not api.ReplicaState.GONE:
                for offset in range(width):
                    holders[(replica.endpoint.cell - offset) % cell_count].append(replica)
        self.holders_by_cell = holders

    def _forget_gone_replicas(self) -> None:
        """Drop removed replicas without open requests: memory would grow where replicas are replaced continually."""
        gone = [
            replica_id
            for replica_id, replica in self.replicas.items()
            if replica.endpoint.state is api.ReplicaState.GONE and not replica.requests
        ]
        for replica_id in gone:
            del self.replicas[replica_id]
