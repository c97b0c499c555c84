"""Admission control: rejects queries that are not expected to be answered in their caller's time.

Work that cannot be finished in time is refused before it is begun: the caller can go elsewhere or come back, and
the replicas' time is left for queries that can be answered.

A replica serves no more because its queue is longer: a longer queue makes each caller wait longer, up to the point at
which replicas work for callers that have left. A queue after a burst drains by itself. One that is still there after
all parts that met it at its beginning have been answered is a standing queue; it is kept so short that as many
attempts as may follow one another at a part fit into the caller's time.
"""

from __future__ import annotations

from collections import defaultdict
from math import log, sqrt

from gingervane import interface as api
from gingervane.decisions.attempt_dispatch import AttemptDispatcher
from gingervane.decisions.attempt_timing import HEDGE_PERCENTILE, AttemptTiming
from gingervane.decisions.batch_context import BatchContext
from gingervane.decisions.latency import LatencyEstimator
from gingervane.decisions.membership import Membership
from gingervane.decisions.query_state import Part, Query
from gingervane.decisions.replica_selection import oldest_request_age
from gingervane.decisions.replica_state import KnownReplica
from gingervane.decisions.sliding_window import TRAFFIC_WINDOW, SlidingWindowCount

# Expected latency, as a multiple of the baseline, above which requests are assumed to queue at the replicas
# (docs/design.md, no hedge under queueing).
QUEUEING_LATENCY = 2.0
# Standard deviations by which a tenant's query count must exceed its quota. The count of each of many co-ordinators
# is small and scaled up to the fleet, so that random variation alone would exceed the quota (docs/design.md, tenant
# over its quota).
QUOTA_TOLERANCE = 1.5
# The harmonic number of n is approximated by log(n + HARMONIC_OFFSET); at n = 0, by minus Euler's constant.
HARMONIC_OFFSET = 0.5
HARMONIC_AT_ZERO = -0.58
# Largest rounding error of a sum of weights received from a client.
WEIGHT_ERROR = 1e-6


class AdmissionControl:
    """Estimates the latency at the present load and decides which queries exceed capacity."""

    def __init__(
        self,
        settings: api.Settings,
        context: BatchContext,
        membership: Membership,
        latency: LatencyEstimator,
        timing: AttemptTiming,
        dispatcher: AttemptDispatcher,
    ) -> None:
        self._context = context
        self._membership = membership
        self._latency = latency
        self._timing = timing
        self._dispatcher = dispatcher
        self._queueing_since: float | None = None  # None while requests do not queue
        self._coordinator_count = settings.coordinator_count
        self._quotas = dict(enumerate(settings.tenant_quotas))
        self._queries_by_tenant = defaultdict[int, SlidingWindowCount](self._new_count)

    @staticmethod
    def _new_count() -> SlidingWindowCount:
        return SlidingWindowCount(TRAFFIC_WINDOW)

    def record_query(self, tenant: int) -> None:
        """Count a query of a tenant."""
        self._queries_by_tenant[tenant].add(self._context.now)

    def expected_latency(self, query_class: int) -> float:
        """Mean latency in seconds of a part of this class at the present load, over all ready replicas."""
        return self._latency.expected(query_class, self._requests_per_replica(), self._context.now)

    def may_be_queueing(self) -> bool:
        """Whether parts take much longer than usual for their classes, be it that a few wait for long.

        That is enough to leave out a copy, which costs a caller little. To refuse a caller takes more: `is_queueing`.
        """
        ratio = self._latency.latency_ratio(self._requests_per_replica(), self._context.now)
        return ratio > QUEUEING_LATENCY

    def is_queueing(self) -> bool:
        """Whether requests queue at the replicas: many parts take much longer than usual for their classes."""
        ratio = self._latency.queueing_ratio(self._requests_per_replica(), self._context.now)
        return ratio > QUEUEING_LATENCY

    def _requests_per_replica(self) -> float:
        """Mean number of this co-ordinator's requests that are open at a ready replica."""
        return len(self._dispatcher.open_attempts) / max(self._membership.ready_count, 1)

    def is_over_capacity(self, query: Query, parts: list[Part], replicas: list[KnownReplica]) -> bool:
        """Whether the query is to be rejected if its parts (at least one) would go to these replicas.

        It is if it is not expected to be answered in its caller's time, or if its tenant is over its quota while
        requests queue: those within their quotas would wait behind it. Idle replicas are always tried: nothing waits
        there, and nothing would be learned otherwise.
        """
        if not any(replica.requests for replica in replicas):
            return False
        if self._is_over_quota(query.arrival.tenant) and self.is_queueing():
            return True
        return not self._is_expected_in_time(query, parts, replicas)

    def _is_queue_standing(self, query_class: int) -> bool:
        """Whether requests have queued for longer than nearly all parts of this class take."""
        now = self._context.now
        if not self.is_queueing():
            self._queueing_since = None
            return False
        if self._queueing_since is None:
            self._queueing_since = now
        nearly_all = self._latency.percentile(query_class, HEDGE_PERCENTILE)
        return nearly_all is not None and now - self._queueing_since >= nearly_all

    def _is_expected_in_time(self, query: Query, parts: list[Part], replicas: list[KnownReplica]) -> bool:
        """Whether the slowest part that the answer needs is expected in the time that the caller has left.

        Where the query would meet a standing queue, all attempts that may follow one another have to fit.
        """
        now = self._context.now
        query_class = query.arrival.query_class
        requests_per_replica = sum(len(replica.requests) for replica in replicas) / len(replicas)
        latency = self._latency.expected(query_class, requests_per_replica, now)
        steps = 2 if query.query_class.second_step_parts else 1
        attempts = 1
        is_queue_standing = self._is_queue_standing(query_class)
        if is_queue_standing and latency > QUEUEING_LATENCY * self._latency.baseline[query_class]:
            attempts = max(map(self._timing.holders_to_ask, parts))
        time_left = query.answer_by - now
        if attempts * steps * latency * self._slowest_to_mean_ratio(query, replicas) > time_left:
            return False
        assigned = dict(zip(map(id, parts), replicas, strict=True))

        def is_missing(part: Part) -> bool:
            # A part sent behind a request that has waited for so long would wait for at least as long.
            return part.lost or oldest_request_age(assigned[id(part)], now) > time_left

        return not query.is_unanswerable_without(is_missing)

    def _is_over_quota(self, tenant: int) -> bool:
        quota = self._quotas.get(tenant)
        if not quota:
            return False
        # The count less its likely random variation.
        queries = self._queries_by_tenant[tenant].count(self._context.now)
        min_query_count = queries - QUOTA_TOLERANCE * sqrt(queries)
        return min_query_count * self._coordinator_count > TRAFFIC_WINDOW * quota

    @staticmethod
    def _slowest_to_mean_ratio(query: Query, replicas: list[KnownReplica]) -> float:
        """Expected latency of the slowest replica that the query needs, as a multiple of the mean latency.

        Latencies are taken to be exponentially distributed. The result is the harmonic number of the replicas less
        that of the replicas whose parts the query does not need. The parts of one request complete together, so
        that replicas are counted and not parts.
        """
        count = len(set(replicas))
        needed_share = min(query.query_class.complete_coverage, query.query_class.required_coverage)
        unneeded_count = int(count * (1.0 - needed_share) + WEIGHT_ERROR)
        unneeded_harmonic = log(unneeded_count + HARMONIC_OFFSET) if unneeded_count else HARMONIC_AT_ZERO
        return max(log(count + HARMONIC_OFFSET) - unneeded_harmonic, 1.0)
