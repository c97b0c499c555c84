"""Co-ordinators tell each other which replicas drain or are gone, for those whose watch is down.

Discovery gives out few lists a second, and a fleet whose watches all end at once takes longer to be served than a
change takes to count as notified. Whoever has a list tells the others; a report bars the replica at who has none, and
nothing at who has one. A few co-ordinators tell each change, and again every two seconds, for those that are started
later.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from gingervane import interface as api
from gingervane.decisions.batch_context import BatchContext
from gingervane.decisions.membership import Membership
from gingervane.decisions.membership_watch import WatchTerms

REPORT_DRAINING = b"D"  # ends a message; before it stand the replicas' ids
ID_BYTES = 8
MAX_IDS = 31  # in one message, which holds 256 bytes at most
# Co-ordinators that tell the others of one change, in the mean.
REPORTERS = 3
REPEAT_INTERVAL = 2.0  # seconds
REPORTED_FOR = 12.0  # seconds for which one that is gone, or has no line any more, is told of


class DrainReports:
    """What this co-ordinator tells the others, and has been told, of replicas that drain or are gone."""

    def __init__(
        self, settings: api.Settings, context: BatchContext, membership: Membership, terms: WatchTerms
    ) -> None:
        self._context = context
        self._membership = membership
        self._is_on = settings.gossip_allowed and settings.membership_polled and terms.notified_within < inf
        self._chance = min(REPORTERS / settings.coordinator_count, 1.0)
        self._until = dict[int, float]()  # until when a replica is told of, by id
        self._repeats = False  # a timer is set

    def on_membership(self, event: api.MembershipChanged) -> None:
        """Take a membership event, and tell of what it says has begun to drain or is gone."""
        self._membership.update(event)
        if not self._is_on or not self._membership.watch.is_up:
            return
        new = self._membership.unavailable - self._until.keys()
        self._extend()
        for replica in self._until.keys() & self._membership.ready_ids():
            del self._until[replica]
        self._tell(new)
        if self._until and not self._repeats:
            self._repeats = True
            self._context.set_timer(REPEAT_INTERVAL, self._repeat)

    def take(self, event: api.PeerMessageReceived) -> bool:
        """Take a message if it is such a report; return whether it is."""
        ids, kind = event.payload[:-1], event.payload[-1:]
        if kind != REPORT_DRAINING or not ids or len(ids) % ID_BYTES:
            return False
        for start in range(0, len(ids), ID_BYTES):
            replica = self._membership.replicas.get(int.from_bytes(ids[start : start + ID_BYTES], "big"))
            if replica is not None:
                replica.reported_draining_at = self._context.now
        return True

    def _extend(self) -> None:
        for replica in self._membership.unavailable:
            self._until[replica] = self._context.now + REPORTED_FOR

    def _repeat(self) -> None:
        """Tell again of what drains or has lately gone, for those that are started later."""
        now = self._context.now
        self._repeats = False
        if not self._membership.watch.is_up:
            return  # what is known here is no news any more; the next list begins anew
        self._extend()
        self._until = {replica: until for replica, until in self._until.items() if until > now}
        if self._until:
            self._repeats = True
            self._context.set_timer(REPEAT_INTERVAL, self._repeat)
            self._tell(self._until)

    def _tell(self, replicas: Iterable[int]) -> None:
        """Send a report, by chance: a few of all co-ordinators do."""
        ids = sorted(replicas)
        if not ids or self._context.random.random() >= self._chance:
            return
        for start in range(0, len(ids), MAX_IDS):
            packed = b"".join(n.to_bytes(ID_BYTES, "big") for n in ids[start : start + MAX_IDS])
            self._context.actions.append(api.SendToPeers(packed + REPORT_DRAINING))
