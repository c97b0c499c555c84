"""Whether a replica may be used while this co-ordinator cannot know whether it drains or was removed.

While no watch is up, each replica holds a lease. Each part that it serves renews the lease, as it proves that the
replica did not drain when that part was sent. A replica whose lease has expired is used only after all others. If it
has only rejected parts since, or should have served some meanwhile, it is excluded from selection for a while.
"""

from __future__ import annotations

from gingervane import interface as api
from gingervane.decisions.batch_context import BatchContext
from gingervane.decisions.membership_watch import MembershipWatch
from gingervane.decisions.replica_state import KnownReplica
from gingervane.decisions.watch_options import WatchOptions

# Seconds for which a replica is excluded, from the later of the end of its lease and its last rejection. It is then
# tried again if there is no other holder: it may still serve, and discovery may be unavailable for long.
EXCLUSION_DURATION = 12.0
# Seconds for which a peer's drain report is valid; peers repeat it every 2 s.
REPORT_LIFETIME = 6.0
# Mean number of parts that each ready replica must have served while the watch is down before one that served none is
# excluded. With less traffic a replica may not have been sent any part, and excluding it would lose whole shards.
EXPECTED_PARTS_SERVED = 3.0


class ReplicaLeases:
    """The leases of all replicas."""

    def __init__(
        self,
        settings: api.Settings,
        context: BatchContext,
        watch: MembershipWatch,
        watch_options: WatchOptions,
    ) -> None:
        self._context = context
        self._watch = watch
        self._polled = settings.membership_polled
        self._duration = watch_options.notified_within
        self._served_parts = 0  # parts served by all replicas since the last list
        self._ready_replicas = 0

    def record_list(self) -> None:
        """Record that the list is current."""
        self._served_parts = 0

    def set_ready_replicas(self, count: int) -> None:
        """Set the number of ready replicas in the endpoint list."""
        self._ready_replicas = count

    def record_served(self) -> None:
        """Count a part that a replica has served."""
        self._served_parts += 1

    def is_expired(self, replica: KnownReplica) -> bool:
        """Whether a replica may be draining or removed while this co-ordinator cannot know of it."""
        return self._watch.is_down and self._polled and self._context.now > self._lease_end(replica)

    def is_excluded(self, replica: KnownReplica) -> bool:
        """Whether a replica must not be sent to at present.

        A peer reported it as draining, or its lease has expired and it has only rejected parts since or should have
        served some.
        """
        if not self._watch.is_up and self._context.now < replica.reported_draining_at + REPORT_LIFETIME:
            return True
        if not self.is_expired(replica):
            return False
        if not _only_rejects(replica) and not self._should_have_served():
            return False
        since = max(self._lease_end(replica), replica.last_rejected_send_at)
        return self._context.now < since + EXCLUSION_DURATION

    def _should_have_served(self) -> bool:
        """Whether there is enough traffic that each ready replica should have served a part by now."""
        return self._served_parts >= EXPECTED_PARTS_SERVED * max(self._ready_replicas, 1)

    def _lease_end(self, replica: KnownReplica) -> float:
        """Time until which no unknown change of the replica can count as notified."""
        return max(self._watch.list_current_at, replica.last_served_send_at) + self._duration


def _only_rejects(replica: KnownReplica) -> bool:
    """Whether a replica has rejected parts and served none that was sent later, as a draining one does."""
    return replica.last_rejected_send_at > replica.last_served_send_at
