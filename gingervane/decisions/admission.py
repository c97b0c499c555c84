"""Admission control: rejects queries that would miss their latency objective at the present load."""

from __future__ import annotations

from collections import defaultdict
from math import log, sqrt

from gingervane import interface as api
from gingervane.decisions.attempt_dispatch import AttemptDispatcher
from gingervane.decisions.batch_context import BatchContext
from gingervane.decisions.latency import LatencyEstimator
from gingervane.decisions.membership import Membership
from gingervane.decisions.query_state import Part, Query
from gingervane.decisions.replica_selection import is_head_of_line_blocked
from gingervane.decisions.replica_state import KnownReplica
from gingervane.decisions.sliding_window import TRAFFIC_WINDOW, SlidingWindowCount

# Largest expected latency of the slowest part that is admitted, as a share of the time to the objective
# (docs/design.md, admission).
ADMISSION_LIMIT = 0.9
# The same for a tenant that exceeds its quota (docs/design.md, admission).
ADMISSION_LIMIT_OVER_QUOTA = 0.65
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
        dispatcher: AttemptDispatcher,
    ) -> None:
        self._context = context
        self._membership = membership
        self._latency = latency
        self._dispatcher = dispatcher
        self._coordinator_count = settings.coordinator_count
        self._quotas = dict(enumerate(settings.tenant_quotas))
        self._queries_by_tenant = defaultdict[int, SlidingWindowCount](self._new_count)

    @staticmethod
    def _new_count() -> SlidingWindowCount:
        return SlidingWindowCount(TRAFFIC_WINDOW)

    def record_query(self, tenant: int) -> None:
        """Count a query of a tenant."""
        self._queries_by_tenant[tenant].add(self._context.now)

    def expected_latency(self) -> float:
        """Mean latency in seconds of a part at the present load, over all ready replicas."""
        open_requests = len(self._dispatcher.open_attempts) / max(self._membership.ready_count, 1)
        return self._latency.expected(open_requests, self._context.now)

    def _expected_latency_at(self, replicas: list[KnownReplica]) -> float:
        """Mean latency in seconds of a part at these replicas (at least one) at their present load."""
        open_requests = sum(len(replica.requests) for replica in replicas) / len(replicas)
        return self._latency.expected(open_requests, self._context.now)

    def is_over_capacity(self, query: Query, parts: list[Part], replicas: list[KnownReplica]) -> bool:
        """Whether the query would miss its objective if its parts (at least one) went to these replicas.

        True if its slowest part is expected to exceed the limit, or if it cannot be answered without a part at a
        head-of-line blocked replica.
        """
        now = self._context.now
        limit = ADMISSION_LIMIT_OVER_QUOTA if self._is_over_quota(query.arrival.tenant) else ADMISSION_LIMIT
        limit /= 2 if query.query_class.second_step_parts else 1
        slowest_latency = self._expected_latency_at(replicas) * self._slowest_to_mean_ratio(query, replicas)
        if slowest_latency > limit * (query.objective_at - now):
            return True
        assigned = dict(zip(map(id, parts), replicas, strict=True))

        def is_missing(part: Part) -> bool:
            return part.lost or is_head_of_line_blocked(assigned[id(part)], query, now)

        return query.is_unanswerable_without(is_missing)

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
