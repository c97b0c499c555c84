"""Carries out one wide query, of any protocol: ways to tickets, final answers back to `tree.wide.WideQuery`.

Owner: the client's connection thread, from the first way to the last. It waits in one place, for final answers of
all its tickets and for word that the client has gone; the decisions are WideQuery's. It returns only when every
ticket is settled, so that nothing of the query is on its way from here when its reply is written.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Sequence
from queue import Empty
from typing import Any, NamedTuple

from gingervane.coordinator import types as t
from gingervane.coordinator.core import PendingQuery, QueryCoordinator, Rejected, ResultQueue
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

_GONE = object()


class RunnerConfig(NamedTuple):
    """What a wide query needs of its co-ordinator."""

    leaf_coordinator: QueryCoordinator  # asks leaves
    subtree_coordinator: QueryCoordinator  # asks children
    leaf_codec: t.HttpCodec
    subtree_codec: t.HttpCodec
    coordinator_name: str
    query_class: str
    leaf_class: int  # the module's number of the class that collects
    subtree_class: int


class WideQueryOutcome(NamedTuple):
    result: WideQueryResult
    results_by_leaf: dict[str, dict[int, Any]]  # by leaf and number of the query
    attempts: list[t.AttemptRecord]
    detail: str


class WideQueryRunner:
    """One query's run. `queries`: each with the leaves that it touches; `leaf_part` makes the part of a leaf, and
    `leaf_content` reads one."""

    def __init__(
        self,
        wide: WideQuery,
        setting: RunnerConfig,
        queries: Sequence[tuple[Any, frozenset[str]]],
        leaf_part: Callable[[str], t.PartPlan],
        leaf_content: Callable[[Any], LeafSubquery],
    ) -> None:
        self._wide, self._set, self._queries = wide, setting, queries
        self._leaf_part, self._leaf_content = leaf_part, leaf_content
        self._answers = ResultQueue()
        self._ways: dict[int, tuple[PendingQuery, Action]] = {}  # by way
        self._way_of: dict[PendingQuery, int] = {}
        self._held: dict[str, dict[int, Any]] = {}
        self._from: dict[str, int] = {}
        self._path: list[t.AttemptRecord] = []
        self._why = ""

    def client_disconnected(self) -> None:
        """The client has left; from any thread."""
        self._answers.put(_GONE)

    def run(self) -> WideQueryOutcome:
        """Until the final answer is known and every ticket is settled."""
        finish = self._do(self._wide.start(time.monotonic()))
        while finish is None or self._way_of:
            token = self._next(finish is None)
            if token is None:
                finish = self._do(self._wide.expire(time.monotonic())) or finish
            elif token is _GONE:
                finish = self._do(self._wide.client_disconnected()) or finish
            else:
                finish = self._take(*token) or finish
        return WideQueryOutcome(finish, self._held, self._path, self._why)

    def _next(self, timed: bool) -> Any:
        left = self._wide.deadline - time.monotonic()
        if not timed:
            return self._answers.get()
        try:
            return self._answers.get(timeout=left) if left > 0 else self._answers.get_nowait()
        except Empty:
            return None

    def _do(self, actions: Sequence[Action]) -> WideQueryResult | None:
        finish: WideQueryResult | None = None
        todo = list(actions)
        while todo:
            action = todo.pop(0)
            match action:
                case QuerySubtree(way) | QueryLeaves(way):
                    try:
                        ticket = self._submit(action)
                    except Rejected as error:
                        self._why = str(error)
                        brought = SubqueryOutcome(never_executed=True, retry_after=error.retry_after)
                        todo += self._wide.subquery_finished(time.monotonic(), way, brought)
                    else:
                        self._ways[way] = ticket, action
                        self._way_of[ticket] = way
                case CancelSubquery(way):
                    if way in self._ways:
                        self._ways[way][0].abandon()
                case WideQueryResult():
                    finish = action
        return finish

    def _submit(self, action: QuerySubtree | QueryLeaves) -> PendingQuery:
        until = time.monotonic() + action.seconds
        if isinstance(action, QueryLeaves):
            weight = 1.0 / len(action.leaves)
            parts = tuple(
                self._leaf_part(name)._replace(weight=weight, max_executions=action.attempts)
                for name in action.leaves
            )
            plan = t.QueryPlan(
                self._set.leaf_class, until, parts, self._set.leaf_codec, self._set.query_class
            )
            return self._set.leaf_coordinator.submit(plan, self._answers)
        asks = tuple(self._ask(action, attempts) for attempts in action.attempts_by_execution)
        part = t.PartPlan(action.subtree.ring_position, 1.0, asks[-1], len(asks), asks)
        plan = t.QueryPlan(
            self._set.subtree_class, until, (part,), self._set.subtree_codec, self._set.query_class
        )
        return self._set.subtree_coordinator.submit(plan, self._answers)

    def _ask(self, action: QuerySubtree, attempts: int) -> SubtreeQuery:
        leaves = tuple(sorted(action.subtree.leaves))
        inside = frozenset(leaves)
        queries = tuple(
            (number, query, tuple(sorted(touched & inside)))
            for number, (query, touched) in enumerate(self._queries)
            if touched & inside
        )
        task = self._wide.task
        orders = SubqueryContext(task.levels - 1, attempts, (*task.trail, self._set.coordinator_name))
        return SubtreeQuery(queries, leaves, self._set.query_class, orders)

    def _take(self, ticket: PendingQuery, final: t.QueryResult) -> WideQueryResult | None:
        way = self._way_of.pop(ticket)
        _, action = self._ways.pop(way)
        self._path += final.attempts
        self._why = final.detail or self._why
        answered = final.status in (t.QueryStatus.COMPLETE, t.QueryStatus.PARTIAL)
        wait = final.retry_after if final.status is t.QueryStatus.REJECTED else None
        if isinstance(action, QuerySubtree):
            got: SubtreeResult | None = final.results.get(0) if answered else None
            last = len(action.attempts_by_execution) - 1
            runs = [
                ExecutionUse(
                    action.attempts_by_execution[min(note.earlier_executions, last)],
                    note.never_ran,
                    got.attempts_used if got and note.outcome == "ok" else None,
                )
                for note in final.attempts
            ]
            used, idle = total_attempts_used(runs)
            held = got.results_by_leaf if got else {}
        else:
            held, used = leaf_results(ticket.plan.parts, final, self._leaf_content)
            idle = not used
        before = {name: self._wide.coverage.source(name) for name in held}
        actions = self._wide.subquery_finished(
            time.monotonic(), way, SubqueryOutcome(frozenset(held), used, idle, wait)
        )
        for (
            name,
            by_query,
        ) in held.items():  # the series of a leaf are those of the way that it was counted from
            if before[name] is None and self._wide.coverage.source(name) == way:
                self._held[name] = by_query
        ticket.release()
        return self._do(actions)


def leaf_results(
    parts: Sequence[t.PartPlan],
    final: t.QueryResult,
    leaf_content: Callable[[Any], LeafSubquery],
) -> tuple[dict[str, dict[int, Any]], int]:
    """What leaves that were asked directly gave, by name and number of the query; most attempts that ran for one."""
    ran = Counter(note.shard for note in final.attempts if not note.never_ran)
    held: dict[str, dict[int, Any]] = {}
    for index, found in final.results.items():
        content = leaf_content(parts[index].content)
        held[content.leaf] = dict(zip(content.query_indexes, found, strict=True))
    return held, max(ran.values(), default=0)
