"""Runs one wide query of any protocol: submits its subqueries and reports their results to `WideQuery`.

Threads: the thread of the client's connection runs the query from the first subquery to the last. It waits on
one queue for the results of all pending queries and for the client to disconnect; `WideQuery` makes the
decisions. `run` returns only when every pending query is complete, so that nothing is sent for the query
after its reply.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Sequence
from queue import Empty
from typing import Any, NamedTuple

from gingervane.coordinator import types as t
from gingervane.coordinator.admission import Rejected
from gingervane.coordinator.core import QueryCoordinator
from gingervane.coordinator.pending_queries import PendingQuery, ResultQueue
from gingervane.tree.subquery_context import LeafSubquery, SubqueryContext, SubtreeQuery, SubtreeResult
from gingervane.tree.wide_query import (
    Action,
    CancelSubquery,
    ExecutionUse,
    QueryLeaves,
    QuerySubtree,
    SubqueryOutcome,
    WideQuery,
    WideQueryResult,
    total_attempts_used,
)

_CLIENT_DISCONNECTED = object()


class RunnerConfig(NamedTuple):
    """What a wide query needs from its co-ordinator."""

    leaf_coordinator: QueryCoordinator  # queries leaves
    subtree_coordinator: QueryCoordinator  # queries children
    leaf_codec: t.HttpCodec
    subtree_codec: t.HttpCodec
    coordinator_name: str
    query_class: str
    leaf_class: int  # index of the class variant that accepts any share, in the decision engine for leaves
    subtree_class: int  # index of the class in the decision engine for children


class WideQueryOutcome(NamedTuple):
    """The result of a wide query, with the received data and all attempts."""

    result: WideQueryResult
    results_by_leaf: dict[str, dict[int, Any]]  # by leaf, then by index of the client's query
    attempts: list[t.AttemptRecord]
    detail: str


class _SubmittedSubquery(NamedTuple):
    """A subquery that has been submitted."""

    pending: PendingQuery
    action: QuerySubtree | QueryLeaves


class _SubqueryResult(NamedTuple):
    """What one subquery returned, whether through a child or from leaves directly."""

    results_by_leaf: dict[str, dict[int, Any]]
    attempts_used: int
    never_executed: bool


class WideQueryRunner:
    """Runs one wide query.

    `queries`: the client's queries, each with the leaves that it touches. `leaf_part` returns the part of a
    leaf, and `leaf_subquery` the leaf and the query indexes of a part's content.
    """

    def __init__(
        self,
        wide_query: WideQuery,
        config: RunnerConfig,
        queries: Sequence[tuple[Any, frozenset[str]]],
        leaf_part: Callable[[str], t.PartPlan],
        leaf_subquery: Callable[[Any], LeafSubquery],
    ) -> None:
        self._wide_query = wide_query
        self._config = config
        self._queries = queries
        self._leaf_part = leaf_part
        self._leaf_subquery = leaf_subquery
        self._events = ResultQueue()
        self._in_flight: dict[int, _SubmittedSubquery] = {}  # by id of the subquery
        self._subquery_ids: dict[PendingQuery, int] = {}
        self._results: dict[str, dict[int, Any]] = {}
        self._attempts: list[t.AttemptRecord] = []
        self._detail = ""

    def client_disconnected(self) -> None:
        """Stop the query because its client has disconnected; may be called from any thread."""
        self._events.put(_CLIENT_DISCONNECTED)

    def run(self) -> WideQueryOutcome:
        """Block until the result is known and every pending query is complete."""
        result = self._execute(self._wide_query.start(time.monotonic()))
        while result is None or self._subquery_ids:
            event = self._next_event(timed=result is None)
            if event is None:
                result = self._execute(self._wide_query.expire(time.monotonic())) or result
            elif event is _CLIENT_DISCONNECTED:
                result = self._execute(self._wide_query.client_disconnected()) or result
            else:
                result = self._handle_result(*event) or result
        return WideQueryOutcome(result, self._results, self._attempts, self._detail)

    def _next_event(self, timed: bool) -> Any:
        """Wait for the next event; if `timed`, return None once the deadline has passed."""
        seconds_left = self._wide_query.deadline - time.monotonic()
        if not timed:
            return self._events.get()
        try:
            if seconds_left > 0:
                return self._events.get(timeout=seconds_left)
            return self._events.get_nowait()
        except Empty:
            return None

    def _execute(self, actions: Sequence[Action]) -> WideQueryResult | None:
        """Execute actions and those that follow from them; return the result if it is among them."""
        result: WideQueryResult | None = None
        remaining = list(actions)
        while remaining:
            action = remaining.pop(0)
            match action:
                case QuerySubtree() | QueryLeaves():
                    remaining += self._submit(action)
                case CancelSubquery(subquery_id):
                    if subquery_id in self._in_flight:
                        self._in_flight[subquery_id].pending.abandon()
                case WideQueryResult():
                    result = action
        return result

    def _submit(self, action: QuerySubtree | QueryLeaves) -> list[Action]:
        """Submit a subquery; return the actions that follow if it is rejected at once."""
        try:
            pending = (
                self._submit_leaves(action)
                if isinstance(action, QueryLeaves)
                else self._submit_subtree(action)
            )
        except Rejected as error:
            self._detail = str(error)
            outcome = SubqueryOutcome(never_executed=True, retry_after=error.retry_after)
            return self._wide_query.subquery_finished(time.monotonic(), action.subquery_id, outcome)
        self._in_flight[action.subquery_id] = _SubmittedSubquery(pending, action)
        self._subquery_ids[pending] = action.subquery_id
        return []

    def _submit_leaves(self, action: QueryLeaves) -> PendingQuery:
        deadline = time.monotonic() + action.seconds
        weight = 1.0 / len(action.leaves)
        parts = tuple(
            self._leaf_part(name)._replace(weight=weight, max_executions=action.attempts)
            for name in action.leaves
        )
        config = self._config
        plan = t.QueryPlan(config.leaf_class, deadline, parts, config.leaf_codec, config.query_class)
        return config.leaf_coordinator.submit(plan, self._events)

    def _submit_subtree(self, action: QuerySubtree) -> PendingQuery:
        deadline = time.monotonic() + action.seconds
        contents = tuple(self._subtree_query(action, attempts) for attempts in action.attempts_by_execution)
        part = t.PartPlan(action.subtree.ring_position, 1.0, contents[-1], len(contents), contents)
        config = self._config
        plan = t.QueryPlan(config.subtree_class, deadline, (part,), config.subtree_codec, config.query_class)
        return config.subtree_coordinator.submit(plan, self._events)

    def _subtree_query(self, action: QuerySubtree, attempts: int) -> SubtreeQuery:
        """Return the content of one execution of a subtree; `attempts` is its grant for each leaf."""
        leaves = tuple(sorted(action.subtree.leaves))
        subtree_leaves = frozenset(leaves)
        queries = tuple(
            (index, query, tuple(sorted(touched_leaves & subtree_leaves)))
            for index, (query, touched_leaves) in enumerate(self._queries)
            if touched_leaves & subtree_leaves
        )
        task = self._wide_query.task
        trail = (*task.trail, self._config.coordinator_name)
        context = SubqueryContext(task.levels - 1, attempts, trail)
        return SubtreeQuery(queries, leaves, self._config.query_class, context)

    def _handle_result(self, pending: PendingQuery, result: t.QueryResult) -> WideQueryResult | None:
        """Report the result of a subquery, and keep the data of the leaves that it is the first to return."""
        subquery_id = self._subquery_ids.pop(pending)
        action = self._in_flight.pop(subquery_id).action
        self._attempts += result.attempts
        self._detail = result.detail or self._detail
        retry_after = result.retry_after if result.status is t.QueryStatus.REJECTED else None
        if isinstance(action, QuerySubtree):
            subquery_result = self._subtree_result(action, result)
        else:
            subquery_result = self._leaves_result(pending, result)
        coverage = self._wide_query.coverage
        sources_before = {name: coverage.source(name) for name in subquery_result.results_by_leaf}
        outcome = SubqueryOutcome(
            frozenset(subquery_result.results_by_leaf),
            subquery_result.attempts_used,
            subquery_result.never_executed,
            retry_after,
        )
        actions = self._wide_query.subquery_finished(time.monotonic(), subquery_id, outcome)
        for name, by_query in subquery_result.results_by_leaf.items():
            if sources_before[name] is None and coverage.source(name) == subquery_id:
                self._results[name] = by_query
        pending.release()
        return self._execute(actions)

    def _subtree_result(self, action: QuerySubtree, result: t.QueryResult) -> _SubqueryResult:
        answered = result.status in (t.QueryStatus.COMPLETE, t.QueryStatus.PARTIAL)
        answer: SubtreeResult | None = result.results.get(0) if answered else None
        last_index = len(action.attempts_by_execution) - 1
        executions = [
            ExecutionUse(
                action.attempts_by_execution[min(attempt.earlier_executions, last_index)],
                attempt.never_ran,
                answer.attempts_used if answer and attempt.outcome == "ok" else None,
            )
            for attempt in result.attempts
        ]
        used = total_attempts_used(executions)
        results_by_leaf = answer.results_by_leaf if answer else {}
        return _SubqueryResult(results_by_leaf, used.attempts, used.never_executed)

    def _leaves_result(self, pending: PendingQuery, result: t.QueryResult) -> _SubqueryResult:
        leaves = leaf_results(pending.plan.parts, result, self._leaf_subquery)
        never_executed = not leaves.attempts_used
        return _SubqueryResult(leaves.results_by_leaf, leaves.attempts_used, never_executed)


class LeafResults(NamedTuple):
    """The results of leaves that were queried directly."""

    results_by_leaf: dict[str, dict[int, Any]]  # by leaf, then by index of the client's query
    attempts_used: int  # the most that ran for any leaf


def leaf_results(
    parts: Sequence[t.PartPlan],
    result: t.QueryResult,
    leaf_subquery: Callable[[Any], LeafSubquery],
) -> LeafResults:
    """Group the results of parts by leaf, and count the attempts that were executed."""
    executed = Counter(attempt.shard for attempt in result.attempts if not attempt.never_ran)
    results_by_leaf: dict[str, dict[int, Any]] = {}
    for index, part_results in result.results.items():
        content = leaf_subquery(parts[index].content)
        results_by_leaf[content.leaf] = dict(zip(content.query_indexes, part_results, strict=True))
    return LeafResults(results_by_leaf, max(executed.values(), default=0))
