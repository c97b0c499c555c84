"""The endpoint list: the replicas, which of them hold each shard, and the watch that brings the list."""

from __future__ import annotations

from collections import defaultdict

from gingervane import interface as api
from gingervane.decisions.batch_context import BatchContext
from gingervane.decisions.replica_state import KnownReplica

# Seconds before a failed watch is asked for again at first. It is short and grows little: what an ended
# watch missed counts as notified soon, and of many co-ordinators that ask some are rejected.
INITIAL_WATCH_BACKOFF = 0.1
# Growth of the backoff with each failure in a row.
WATCH_BACKOFF_GROWTH = 1.5
# Longest backoff, seconds: with it a request that hung for 3 s and the answer behind it stay within the 6 s
# that always hold.
MAX_WATCH_BACKOFF = 4 / 3
# Random spread of the backoff as factors, so that co-ordinators do not ask in step.
MIN_WATCH_JITTER = 0.5
MAX_WATCH_JITTER = 1.5
# Where lists are pushed the backoff is at most the drain grace over this, as all changes count as notified
# at once when discovery is back.
PUSHED_BACKOFFS_PER_GRACE = 4


class Membership:
    """The replicas of the endpoint list and the holders of each shard."""

    def __init__(self, settings: api.Settings, context: BatchContext) -> None:
        self._settings = settings
        self._context = context
        self.replicas = dict[int, KnownReplica]()
        self.ready_count = 0
        # By cell: the replicas that hold its shards, in order of their ids.
        self.holders_by_cell = defaultdict[int, list[KnownReplica]](list)
        pushed = max(settings.drain_grace / PUSHED_BACKOFFS_PER_GRACE, settings.timer_granularity)
        self._max_backoff = MAX_WATCH_BACKOFF if settings.membership_polled else pushed
        self._backoff = INITIAL_WATCH_BACKOFF

    def holders(self, shard: int) -> list[KnownReplica]:
        """The replicas that hold a shard, in order of their ids."""
        return self.holders_by_cell[shard % self._settings.cell_count]

    def watch(self) -> None:
        """Ask for membership changes."""
        self._context.actions.append(api.WatchMembership())

    def update(self, event: api.MembershipChanged) -> None:
        """Take a membership event."""
        if event.kind is api.MembershipUpdateKind.FAILED:
            self._watch_again_later()
            return
        self._backoff = INITIAL_WATCH_BACKOFF
        if event.kind is not api.MembershipUpdateKind.DELTA:
            for known in self.replicas.values():
                known.endpoint = known.endpoint._replace(state=api.ReplicaState.GONE)
                known.ready = False
        for endpoint in event.replicas:
            self._update_replica(endpoint)
        self._index_holders()
        self._forget_gone_replicas()
        self.ready_count = sum(known.ready for known in self.replicas.values())

    def _watch_again_later(self) -> None:
        """Renew a failed watch with a growing backoff and jitter."""
        jitter = self._context.random.uniform(MIN_WATCH_JITTER, MAX_WATCH_JITTER)
        self._context.set_timer(min(self._backoff, self._max_backoff) * jitter, self.watch)
        self._backoff = min(WATCH_BACKOFF_GROWTH * self._backoff, MAX_WATCH_BACKOFF)

    def _update_replica(self, endpoint: api.Replica) -> None:
        """Take one line of the list; a replica that has restarted is no outlier, but in slow start."""
        known = self.replicas.setdefault(endpoint.id, KnownReplica(endpoint))
        if endpoint.started_at > known.endpoint.started_at:
            known.failure_score = 0.0
            known.ejected_for = 0.0
        known.slow_start_began_at = max(known.slow_start_began_at, endpoint.started_at)
        known.endpoint = endpoint
        known.ready = endpoint.state is api.ReplicaState.READY

    def _index_holders(self) -> None:
        """Work out the holders of each cell once a list, as doing so for each part would cost much CPU."""
        cell_count = self._settings.cell_count
        width = min(self._settings.cells_per_replica, cell_count)
        holders = defaultdict[int, list[KnownReplica]](list)
        for _, known in sorted(self.replicas.items()):
            if known.endpoint.state is not api.ReplicaState.GONE:
                for offset in range(width):
                    holders[(known.endpoint.cell - offset) % cell_count].append(known)
        self.holders_by_cell = holders

    def _forget_gone_replicas(self) -> None:
        """Drop replicas that are gone and idle: memory would grow where replicas are replaced all day."""
        gone = [
            number
            for number, known in self.replicas.items()
            if known.endpoint.state is api.ReplicaState.GONE and not known.requests
        ]
        for number in gone:
            del self.replicas[number]
