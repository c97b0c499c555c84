"""Slow start: limits what a recently started replica is sent.

In each batch a random number is drawn for each cold replica. The probability that it may be sent a part is the share
of its capacity that it is sure to have by the stated ramp. Tokens bound the result. Drawing alone would not hold
against clients that retry repeatedly. Tokens alone would be saved up too slowly where parts for a replica are rare,
and the load that it does not take would fall on the other replicas.
"""

from __future__ import annotations

from math import inf

from gingervane import interface as api
from gingervane.decisions.batch_context import BatchContext
from gingervane.decisions.membership import Membership
from gingervane.decisions.replica_state import KnownReplica
from gingervane.decisions.sliding_window import TRAFFIC_WINDOW, SlidingWindowCount

# Parts that a cold replica may be sent before they are earned, as the random draws are uneven (docs/design.md).
MAX_TOKEN_DEBT = 1.0
# Largest number of tokens that can be saved up, in parts (docs/design.md).
MAX_TOKENS = 1.0
# Parts that all co-ordinators together may send per overload window even if nothing is answered.
MIN_PARTS_PER_OVERLOAD_WINDOW = 0.5
# Parts in a traffic window that a co-ordinator is taken to be asked for as long as it has answered fewer.
MIN_USUAL_PARTS = 20
# Parts added to both sides of the answer ratio, so that a few parts change it little.
ANSWER_RATIO_PRIOR = 20


class SlowStart:
    """Decides whether a replica may be sent a part, and tracks how many parts a ready replica has answered."""

    def __init__(self, settings: api.Settings, context: BatchContext, membership: Membership) -> None:
        self._context = context
        self._membership = membership
        self._initial_capacity = settings.slow_start_capacity
        self._duration = settings.slow_start_duration
        self._overload_window = settings.overload_window
        # Half of the multiple that overloads a replica; the other half is a margin for uneven shards and stale lists.
        self._safe_multiple = settings.overload_multiple / 2
        self._coordinator_count = settings.coordinator_count
        # Mean number of this co-ordinator's parts that a ready replica has answered.
        self.answered_per_replica = 0.0
        self._parts_requested = SlidingWindowCount(TRAFFIC_WINDOW)
        self._parts_answered = SlidingWindowCount(TRAFFIC_WINDOW)
        self._most_answered = 0  # parts answered in any window so far
        self._unservable_at = -inf  # time of the last parts that no replica might be sent
        self._answered_since_unservable = 0  # parts

    def record_request(self) -> None:
        """Count a part that a query requests."""
        self._parts_requested.add(self._context.now)

    def record_answer(self) -> None:
        """Count an answered part. Only answers earn tokens, so that a storm of retries earns none."""
        self.answered_per_replica += 1 / max(self._membership.ready_count, 1)
        self._parts_answered.add(self._context.now)
        self._answered_since_unservable += 1
        self._most_answered = max(self._most_answered, self._parts_answered.count(self._context.now))

    def record_unservable(self, parts: int) -> None:
        """Count parts that no replica may be sent.

        They earn tokens too: where all holders of a shard are cold, nothing would ever be answered otherwise. In any
        time they count, with those that are answered, for no more than was answered in as much time at this
        co-ordinator's busiest, which ready replicas have served: clients that send rejected queries again earn no
        more.
        """
        now = self._context.now
        rate = max(self._most_answered, MIN_USUAL_PARTS) / TRAFFIC_WINDOW
        unanswered = rate * (now - self._unservable_at) - self._answered_since_unservable
        earning_parts = min(parts, max(unanswered, 0.0))
        self._unservable_at = now
        self._answered_since_unservable = 0
        self.answered_per_replica += earning_parts / max(self._membership.ready_count, 1)

    def _answer_ratio(self) -> float:
        """Answered parts for each part that was requested lately; above 1 while few were requested."""
        now = self._context.now
        answered = self._parts_answered.count(now) + ANSWER_RATIO_PRIOR
        return answered / (self._parts_requested.count(now) + ANSWER_RATIO_PRIOR)

    def may_send(self, replica: KnownReplica, conservative: bool = False) -> bool:
        """Whether a replica is ready, is not excluded and, if cold, is not close to overload.

        If `conservative`, a cold replica is also limited to its share of what a ready replica gets, and one that is
        suspected of a restart is refused.
        """
        now = self._context.now
        if self._membership.leases.is_excluded(replica):
            return False
        if conservative and now < replica.suspected_restart_at + self._duration:
            return False
        age = max(now - replica.slow_start_began_at, 0.0)
        if not replica.ready or age >= self._duration:
            return replica.ready
        return self._may_send_to_cold(replica, age, conservative)

    def _may_send_to_cold(self, replica: KnownReplica, age: float, conservative: bool) -> bool:
        capacity = self._initial_capacity + (1.0 - self._initial_capacity) * age / self._duration
        if replica.slow_start_sample_batch != self._context.batch:
            replica.slow_start_sample_batch = self._context.batch
            replica.slow_start_sample = self._context.random.random()
        self._refill_tokens(replica, capacity)
        # Each client retry leads to one more draw, at all co-ordinators, without an answer. The probability is
        # therefore limited to half of the multiple that overloads the replica, in relation to the answers.
        probability = capacity * min(1.0, self._answer_ratio() * self._safe_multiple)
        is_drawn = replica.slow_start_sample < probability and replica.slow_start_tokens > -MAX_TOKEN_DEBT
        return is_drawn or (replica.slow_start_tokens >= MAX_TOKENS and not conservative)

    def _refill_tokens(self, replica: KnownReplica, capacity: float) -> None:
        """Add the tokens that the replica has earned since the last refill.

        Answered parts are counted individually, because a rate per second is zero at a co-ordinator that has a query
        only every few seconds. Each co-ordinator also has an equal share of a fleet-wide floor whatever its rate: all
        floors together allow half a part per overload window. Each starts with a random number of tokens.
        """
        now = self._context.now
        floor = (
            MIN_PARTS_PER_OVERLOAD_WINDOW
            / self._overload_window
            / self._coordinator_count
            * (now - replica.slow_start_tokens_at)
        )
        earned_tokens = max(self.answered_per_replica - replica.answered_at_refill, floor) * capacity
        if replica.slow_start_tokens_at < replica.slow_start_began_at:
            replica.slow_start_tokens = self._context.random.random()
        else:
            tokens = replica.slow_start_tokens + earned_tokens * max(self._safe_multiple, 1.0)
            replica.slow_start_tokens = min(MAX_TOKENS, tokens)
        replica.slow_start_tokens_at = now
        replica.answered_at_refill = self.answered_per_replica
