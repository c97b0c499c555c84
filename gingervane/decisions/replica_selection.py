"""Selects the replica for each part.

A shard's holders in order of their ids are its positions. A query uses the position with the fewest open requests for
all its parts; a part uses another one only if its replica at that position should not be sent to.
"""

from __future__ import annotations

from math import inf

from gingervane import interface as api
from gingervane.decisions.attempt_timing import AttemptTiming
from gingervane.decisions.batch_context import BatchContext
from gingervane.decisions.latency import relative_latency
from gingervane.decisions.membership import Membership
from gingervane.decisions.query_state import Part
from gingervane.decisions.replica_state import KnownReplica
from gingervane.decisions.slow_start import SlowStart

# Cost of sending to another zone, in open requests (docs/design.md, own-zone candidate).
ZONE_CROSSING_COST = 0.5
# Relative latency, as a multiple of the best holder's, above which a replica is not used if it has a substitute
# (docs/design.md, relative latency).
MAX_RELATIVE_LATENCY = 2.5
# Share of a query's parts that may be sent to ejected replicas as trials; one part is always permitted
# (docs/design.md, probation).
MAX_TRIAL_SHARE = 0.10


def oldest_request_age(replica: KnownReplica, now: float) -> float:
    """Seconds since the oldest request was sent that the replica has not answered; 0 if there is none.

    Requests older than an answered one do not count: their parts are lost and not queued.
    """
    answered = replica.last_answered_send_at
    return now - next((key.sent_at for key in replica.requests if key.sent_at > answered), now)


class ReplicaSelector:
    """Assigns replicas to the parts of a query."""

    def __init__(
        self,
        settings: api.Settings,
        context: BatchContext,
        membership: Membership,
        slow_start: SlowStart,
        timing: AttemptTiming,
    ) -> None:
        self._zone = settings.zone
        self._context = context
        self._membership = membership
        self._slow_start = slow_start
        self._timing = timing
        self._trials = 0  # number of parts sent to ejected replicas in this batch

    def begin_batch(self) -> None:
        """Reset the count of trials."""
        self._trials = 0

    def record_send(self, replica: KnownReplica) -> None:
        """Count a trial if the replica is ejected."""
        self._trials += replica.ejected_for > 0

    def has_usable_holder(self, part: Part) -> bool:
        """Whether the part has a holder that may be sent to."""
        may_send = self._slow_start.may_send
        return any(may_send(replica) for replica in self._membership.holders(part.arrival.shard))

    def is_preferred(self, replica: KnownReplica, part: Part) -> bool:
        """Whether the replica may be sent a part without reservations.

        Its lease must be valid, and it must be healthy or due for a trial, not blocked and not cold. Trials are
        limited, as a query with parts at all ejected replicas would wait for each of them.
        """
        now = self._context.now
        if self._membership.leases.is_expired(replica):
            return False
        if replica.ejected_for:
            is_due = now >= replica.ejected_until and not replica.requests
            if not is_due or self._trials >= max(1.0, MAX_TRIAL_SHARE * len(part.query.parts)):
                return False
        if self._is_head_of_line_blocked(replica, part):
            return False
        return self._slow_start.may_send(replica, conservative=True)

    def _is_head_of_line_blocked(self, replica: KnownReplica, part: Part) -> bool:
        """Whether the replica's oldest request has waited for longer than an attempt at the part may take.

        The part would wait behind it for at least as long, and would leave its caller less time than the other
        attempts need.
        """
        age = oldest_request_age(replica, self._context.now)
        return age > self._timing.share_of_next_attempt(part)

    def substitute(self, part: Part) -> KnownReplica | None:
        """Another holder of the part, at which it is not open; None if there is none.

        Preferred and untried replicas come first, then other preferred ones, then any that may be sent to, and last
        those with an expired lease: a draining one would reject the part at best.
        """
        open_at = [attempt.replica for attempt in part.attempts]
        other_holders = [
            replica
            for replica in self._membership.holders(part.arrival.shard)
            if self._slow_start.may_send(replica) and replica not in open_at
        ]
        if not other_holders:
            return None
        return min(other_holders, key=lambda replica: self._substitution_rank(replica, part))

    def _substitution_rank(self, replica: KnownReplica, part: Part) -> tuple[bool, bool, bool, float, bool]:
        return (
            self._membership.leases.is_expired(replica),
            not self.is_preferred(replica, part),
            replica in part.tried_replicas,
            len(replica.requests) + relative_latency(replica, self._context.now),
            replica.endpoint.zone != self._zone,
        )

    def assign(self, parts: list[Part]) -> list[KnownReplica]:
        """The replicas of the position with the fewest open requests, one for each part."""
        holders = [self._usable_holders(part) for part in parts]
        positions = max(map(len, holders), default=1)
        candidates = [
            [part_holders[index % len(part_holders)] for part_holders in holders]
            for index in range(positions)
        ]
        # A further candidate consists of holders in the own zone where there are any: it avoids the zone cost.
        own_zone = [
            [r for r in part_holders if r.endpoint.zone == self._zone] or part_holders
            for part_holders in holders
        ]
        if own_zone != holders:
            candidates.append(
                [part_holders[self._context.batch % len(part_holders)] for part_holders in own_zone]
            )
        loads = [sum(map(self._load, candidate)) for candidate in candidates]
        # Ties are broken at random, so that many idle co-ordinators do not all choose the same position.
        random = self._context.random.random
        best = min(range(len(candidates)), key=lambda index: (loads[index], random()))
        return candidates[best]

    def _load(self, replica: KnownReplica) -> float:
        """Open requests of a replica plus the cost of sending to its zone."""
        return len(replica.requests) + ZONE_CROSSING_COST * (replica.endpoint.zone != self._zone)

    def _usable_holders(self, part: Part) -> list[KnownReplica]:
        """The part's holders by position, with a substitute for each one that should not be sent to."""
        now = self._context.now
        holders = self._membership.holders(part.arrival.shard)
        latencies = [
            relative_latency(replica, now) if self.is_preferred(replica, part) else inf for replica in holders
        ]
        max_latency = MAX_RELATIVE_LATENCY * min(latencies, default=0.0)
        usable = [latency < inf and latency <= max_latency for latency in latencies]
        substitute = None if all(usable) else self.substitute(part)
        if substitute is None:
            return list(holders)
        return [
            replica if is_usable else substitute for replica, is_usable in zip(holders, usable, strict=True)
        ]
