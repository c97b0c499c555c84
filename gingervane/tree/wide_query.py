"""State machine of one wide query at one co-ordinator, from its plan to its only result. Free of I/O.

The query is split into subtrees (`plan.plan_query`), each of which is one *subquery*. The leaves that
subqueries return are collected (`coverage.LeafCoverage`). Leaves that a child does not return are queried
directly, in the time reserved for that, if attempts remain (`attempt_quota.AttemptQuota`) and the query class
allows it.

Each leaf has at most two subqueries, one through a child and one direct, so that every query ends. The
decision engine decides which child serves a subtree, when a request is hedged and which child is ejected.

Threads: not thread-safe; one thread owns a query.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

from gingervane.coordinator.types import QueryStatus
from gingervane.interface import RetrySafety
from gingervane.tree.attempt_quota import AttemptQuota
from gingervane.tree.cost import CostModels
from gingervane.tree.coverage import LeafCoverage
from gingervane.tree.plan import QueryTask, Subtree, SubtreePlan, TreeLimits, split_time

SHARE_ROUNDING = 1e-6  # error of a sum of leaf weights


class QuerySubtree(NamedTuple):
    """Send a subtree to a child."""

    subquery_id: int
    subtree: Subtree
    seconds: float  # time limit
    attempts_by_execution: tuple[int, ...]  # for each leaf, in the first execution and each further one


class QueryLeaves(NamedTuple):
    """Query leaves directly."""

    subquery_id: int
    leaves: tuple[str, ...]
    seconds: float  # time limit
    attempts: int  # that may run for each leaf


class CancelSubquery(NamedTuple):
    """Cancel a subquery whose outcome is no longer needed, at all levels down to its leaves."""

    subquery_id: int


class WideQueryResult(NamedTuple):
    """The only result of a wide query."""

    status: QueryStatus
    share: float
    missing: tuple[str, ...]
    retry_after: float  # seconds; the longest delay among the rejections of subqueries
    attempts_used: int  # the most attempts that may have run for any leaf


Action = QuerySubtree | QueryLeaves | CancelSubquery | WideQueryResult


class SubqueryOutcome(NamedTuple):
    """How a subquery ended."""

    received_leaves: frozenset[str] = frozenset()
    attempts_used: int | None = None  # the most that may have run for any leaf; None if unknown
    never_executed: bool = False  # whether it is proved that nothing of it was executed
    retry_after: float | None = None  # seconds, if it was rejected; None otherwise


@dataclass
class _Subquery:
    leaves: tuple[str, ...]
    is_direct: bool  # queries the leaves themselves, not a child
    started_at: float = 0.0


@dataclass
class CompletionRules:
    """The conditions under which a query may be retried or answered in part."""

    retry_safety: RetrySafety
    required_share: float
    accepts_any_share: bool = False  # for a parent, which adds up the shares of its children


@dataclass
class WideQuery:
    """One wide query. Each event returns actions for the caller to execute; the last is a WideQueryResult."""

    task: QueryTask
    rules: CompletionRules
    limits: TreeLimits
    costs: CostModels
    plan: SubtreePlan  # returned by `plan.plan_query` for this task
    result: WideQueryResult | None = None
    _subqueries: dict[int, _Subquery] = field(default_factory=dict)  # in flight, by id
    _next_id: int = 1
    _deadline: float = inf
    _may_have_executed: bool = False
    _retry_after: float = 0.0
    _unreachable: set[str] = field(default_factory=set)  # missing leaves without a subquery in flight

    def __post_init__(self) -> None:
        weight = 1.0 / max(len(self.task.leaves), 1)
        self.coverage = LeafCoverage(dict.fromkeys(self.task.leaves, weight))
        self.quota = AttemptQuota(self.task.leaves, min(self.task.attempts, self.limits.leaf_attempts))

    @property
    def deadline(self) -> float:
        """The time at which `expire` must be called."""
        return self._deadline

    def start(self, now: float) -> list[Action]:
        """Send the subqueries of the plan."""
        self._deadline = now + self.task.seconds_left
        if not self.plan.subtrees:
            return self._query_leaves(now, self.task.leaves) or self._finish_if_decided()
        largest = max(len(subtree.leaves) for subtree in self.plan.subtrees)
        seconds = split_time(self.task.seconds_left, largest, self.costs).subtree_seconds
        return [self._query_subtree(now, subtree, seconds) for subtree in self.plan.subtrees]

    def subquery_finished(self, now: float, subquery_id: int, outcome: SubqueryOutcome) -> list[Action]:
        """Record how a subquery ended, and query directly the leaves that a child did not return."""
        subquery = self._subqueries.pop(subquery_id, None)
        if subquery is None or self.result:
            return []
        self._record_outcome(now, subquery_id, subquery, outcome)
        missing = tuple(leaf for leaf in subquery.leaves if self.coverage.source(leaf) is None)
        retry_allowed = self.rules.retry_safety is RetrySafety.IDEMPOTENT or outcome.never_executed
        actions: list[Action] = []
        if missing and not subquery.is_direct and retry_allowed:
            actions += self._query_leaves(now, missing)
        in_flight = {leaf for other in self._subqueries.values() for leaf in other.leaves}
        self._unreachable |= set(missing) - in_flight
        return actions + self._finish_if_decided()

    def expire(self, now: float) -> list[Action]:
        """Finish with the received leaves if the deadline has passed."""
        return [] if self.result or now < self._deadline else self._finish_with_received(final=True)

    def client_disconnected(self) -> list[Action]:
        """Finish without an answer, as the client has disconnected."""
        return [] if self.result else self._finish(QueryStatus.CLIENT_DISCONNECTED)

    def _record_outcome(
        self, now: float, subquery_id: int, subquery: _Subquery, outcome: SubqueryOutcome
    ) -> None:
        """Update quota, coverage and cost models with the outcome of a subquery."""
        self.quota.release(subquery_id, 0 if outcome.never_executed else outcome.attempts_used)
        self._may_have_executed = self._may_have_executed or not outcome.never_executed
        if outcome.retry_after is not None:
            self._retry_after = max(self._retry_after, outcome.retry_after)
        self.coverage.add(subquery_id, outcome.received_leaves & set(subquery.leaves))
        model = self.costs.flat if subquery.is_direct else self.costs.subtree
        if len(outcome.received_leaves) == len(subquery.leaves):
            model.record(len(subquery.leaves), now - subquery.started_at)

    def _register(self, now: float, leaves: tuple[str, ...], attempts: int, is_direct: bool) -> int:
        subquery_id = self._next_id
        self._next_id += 1
        self.quota.reserve(subquery_id, leaves, attempts)
        self._subqueries[subquery_id] = _Subquery(leaves, is_direct, now)
        return subquery_id

    def _query_subtree(self, now: float, subtree: Subtree, seconds: float) -> QuerySubtree:
        """Send a subtree to a child, with one attempt per leaf reserved for a further execution."""
        first_attempts = self.quota.offer(subtree.leaves, is_last=False)
        held_back_attempts = self.quota.max_attempts - first_attempts
        attempts_by_execution = (
            (first_attempts, held_back_attempts) if held_back_attempts else (first_attempts,)
        )
        subquery_id = self._register(now, subtree.leaves, sum(attempts_by_execution), is_direct=False)
        return QuerySubtree(subquery_id, subtree, seconds, attempts_by_execution)

    def _query_leaves(self, now: float, leaves: tuple[str, ...]) -> list[Action]:
        """Query leaves directly, grouped by the number of attempts that they have left.

        Each group is within the fan-out bound and is a separate subquery, so that a rejection or failure of
        one group does not affect the others and each answer counts as soon as it is received.
        """
        seconds_left = self._deadline - now
        if seconds_left <= 0:
            return []
        by_attempts: dict[int, list[str]] = {}
        for leaf in leaves:
            if (attempts := self.quota.remaining(leaf)) > 0:
                by_attempts.setdefault(attempts, []).append(leaf)
        actions: list[Action] = []
        group_size = max(self.limits.fan_out, 1)
        for attempts, candidates in sorted(by_attempts.items()):
            for start in range(0, len(candidates), group_size):
                group = tuple(candidates[start : start + group_size])
                subquery_id = self._register(now, group, attempts, is_direct=True)
                actions.append(QueryLeaves(subquery_id, group, seconds_left, attempts))
        return actions

    def _finish_if_decided(self) -> list[Action]:
        """Finish a query that is complete, cannot reach the required share, or has nothing in flight."""
        if self.coverage.complete:
            return self._finish(QueryStatus.COMPLETE)
        weight = 1.0 / max(len(self.task.leaves), 1)
        possible_share = 1.0 - weight * len(self._unreachable)
        share_is_unreachable = possible_share < self.rules.required_share - SHARE_ROUNDING
        if (share_is_unreachable and not self.rules.accepts_any_share) or not self._subqueries:
            return self._finish_with_received(final=not self._subqueries)
        return []

    def _finish_with_received(self, final: bool) -> list[Action]:
        """Finish with the received leaves. `final`: no more will be received, so a partial answer may do."""
        if self.coverage.complete:
            return self._finish(QueryStatus.COMPLETE)
        if final and self._is_share_enough():
            return self._finish(QueryStatus.PARTIAL)
        # Subqueries in flight may still be executed; then only an idempotent query may be rejected.
        may_execute = self._may_have_executed or bool(self._subqueries)
        retry_is_safe = self.rules.retry_safety is RetrySafety.IDEMPOTENT or not may_execute
        return self._finish(QueryStatus.REJECTED if retry_is_safe else QueryStatus.FAILED)

    def _is_share_enough(self) -> bool:
        share = self.coverage.share
        if share >= self.rules.required_share - SHARE_ROUNDING:
            return True
        return self.rules.accepts_any_share and share > 0

    def _finish(self, status: QueryStatus) -> list[Action]:
        cancels: list[Action] = [CancelSubquery(subquery_id) for subquery_id in self._subqueries]
        self._subqueries.clear()
        missing = tuple(self.coverage.missing_leaves())
        self.result = WideQueryResult(
            status, self.coverage.share, missing, self._retry_after, self.quota.max_used
        )
        return [*cancels, self.result]


class ExecutionUse(NamedTuple):
    """The attempts for each leaf that one execution of a subtree was granted and reported as used."""

    granted_attempts: int
    never_executed: bool  # whether it is proved that it was not executed
    reported_attempts: int | None  # attempts used as reported by the child, if it answered


class TotalUse(NamedTuple):
    """The most attempts that the executions of a subtree used for any leaf, and whether none was executed."""

    attempts: int
    never_executed: bool


def total_attempts_used(executions: Iterable[ExecutionUse]) -> TotalUse:
    """Add up the attempts that the executions of one subtree used."""
    total = 0
    never_executed = True
    for execution in executions:
        if execution.never_executed:
            continue
        never_executed = False
        reported_attempts = execution.reported_attempts
        total += (
            execution.granted_attempts
            if reported_attempts is None
            else min(reported_attempts, execution.granted_attempts)
        )
    return TotalUse(total, never_executed)
