"""Slow start: how much a replica that has just started may be sent.

In each batch a cold replica is drawn at random: the chance that it may be sent a part is the share of its
capacity that it surely has by the stated ramp. Tokens bound that. Drawing alone would not do against clients
that come again and again, and saving up tokens alone comes late where parts for a replica are rare: what it
leaves falls on the others.
"""

from __future__ import annotations

from gingervane import interface as api
from gingervane.decisions.batch_context import BatchContext
from gingervane.decisions.membership import Membership
from gingervane.decisions.replica_state import KnownReplica
from gingervane.decisions.sliding_window import TRAFFIC_WINDOW, SlidingWindowCount

# Parts that a cold replica may be sent before they are earned, as the draw comes unevenly (docs/design.md).
MAX_TOKEN_DEBT = 1.0
# Tokens that can be saved up, in parts (docs/design.md).
MAX_TOKENS = 1.0
# Parts that all co-ordinators together may send in the overload window though nothing is answered.
MIN_PARTS_PER_OVERLOAD_WINDOW = 0.5
# Parts that are added to both sides of the ratio of answers, so that few parts tell little.
ANSWER_RATIO_PRIOR = 20


class SlowStart:
    """Says whether a replica may be sent a part, and how much a ready replica has been sent."""

    def __init__(self, settings: api.Settings, context: BatchContext, membership: Membership) -> None:
        self._context = context
        self._membership = membership
        self._initial_capacity = settings.slow_start_capacity
        self._duration = settings.slow_start_duration
        self._overload_window = settings.overload_window
        # Half of what pushes it over; the other half is for uneven shards and late lists.
        self._safe_multiple = settings.overload_multiple / 2
        self._coordinator_count = settings.coordinator_count
        # Parts of this co-ordinator that a ready replica has answered, in the mean.
        self.answered_per_replica = 0.0
        self._requested = SlidingWindowCount(TRAFFIC_WINDOW)
        self._answered = SlidingWindowCount(TRAFFIC_WINDOW)

    def record_request(self) -> None:
        """Count a part that a query asks for."""
        self._requested.add(self._context.now)

    def record_answer(self) -> None:
        """Count a part that was answered. Answers alone buy tokens, so that a storm of retries buys none."""
        self.answered_per_replica += 1 / max(self._membership.ready_count, 1)
        self._answered.add(self._context.now)

    def record_unservable(self, parts: int) -> None:
        """Count parts that no replica may be sent.

        They buy tokens too: where all holders of a shard are cold nothing is answered, and it stayed so.
        """
        self.answered_per_replica += parts / max(self._membership.ready_count, 1)

    def may_send(self, replica: KnownReplica, conservative: bool = False) -> bool:
        """Whether a replica is ready, as far as is known, and, if cold, not near what would push it over.

        `conservative`: nor may it be sent more than its share of what a ready replica gets, nor anything if
        it is suspected of having restarted.
        """
        now = self._context.now
        if self._membership.watch.is_barred(replica):
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
        # Each client retry is one more draw, at all co-ordinators, and answers none of them: no more is drawn
        # than half of what pushes the replica over, as answers come.
        now = self._context.now
        answered = self._answered.count(now) + ANSWER_RATIO_PRIOR
        answer_ratio = answered / (self._requested.count(now) + ANSWER_RATIO_PRIOR)
        chance = capacity * min(1.0, answer_ratio * self._safe_multiple)
        drawn = replica.slow_start_sample < chance and replica.slow_start_tokens > -MAX_TOKEN_DEBT
        return drawn or (replica.slow_start_tokens >= MAX_TOKENS and not conservative)

    def _refill_tokens(self, replica: KnownReplica, capacity: float) -> None:
        """Add what the replica has earned since the last time.

        Parts are counted one by one, as a rate over seconds is nought to a co-ordinator that has a query in
        seconds. Each of many co-ordinators has its own share of the sum whatever its rate: their floors
        together allow half a part in the overload window, and each starts with a random number of tokens.
        """
        now = self._context.now
        floor = (
            MIN_PARTS_PER_OVERLOAD_WINDOW
            / self._overload_window
            / self._coordinator_count
            * (now - replica.slow_start_tokens_at)
        )
        gained = max(self.answered_per_replica - replica.answered_at_refill, floor) * capacity
        if replica.slow_start_tokens_at < replica.slow_start_began_at:
            replica.slow_start_tokens = self._context.random.random()
        else:
            tokens = replica.slow_start_tokens + gained * max(self._safe_multiple, 1.0)
            replica.slow_start_tokens = min(MAX_TOKENS, tokens)
        replica.slow_start_tokens_at = now
        replica.answered_at_refill = self.answered_per_replica
