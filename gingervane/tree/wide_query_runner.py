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
from gingervane.coordinator.admission import Rejected
from gingervane.coordinator.core import QueryCoordinator
from gingervane.coordinator.pending_queries import PendingQuery, ResultQueue
from gingervane.tree.subquery_context import Ask, Got, LeafContent, SubqueryContext
from gingervane.tree.wide_query import (
    Action,
    AskLeaves,
    AskSubtree,
    Brought,
    Drop,
    Finish,
    WideQuery,
    used_of,
)

_GONE = object()


class Setting(NamedTuple):
    """What a wide query needs of its co-ordinator."""

    core: QueryCoordinator  # asks leaves
    branch: QueryCoordinator  # asks children
    leaf_exchange: t.HttpCodec
    branch_exchange: t.HttpCodec
    name: str
    query_class: str
    leaf_class: int  # the module's number of the class that collects
    branch_class: int


class Outcome(NamedTuple):
    finish: Finish
    held: dict[str, dict[int, Any]]  # by leaf and number of the query
    path: list[t.AttemptRecord]
    why: str


class WideRun:
    """One query's run. `queries`: each with the leaves that it touches; `leaf_part` makes the part of a leaf, and
    `leaf_content` reads one."""

    def __init__(
        self,
        wide: WideQuery,
        setting: Setting,
        queries: Sequence[tuple[Any, frozenset[str]]],
        leaf_part: Callable[[str], t.PartPlan],
        leaf_content: Callable[[Any], LeafContent],
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

    def gone(self) -> None:
        """The client has left; from any thread."""
        self._answers.put(_GONE)

    def run(self) -> Outcome:
        """Until the final answer is known and every ticket is settled."""
        finish = self._do(self._wide.start(time.monotonic()))
        while finish is None or self._way_of:
            token = self._next(finish is None)
            if token is None:
                finish = self._do(self._wide.expire(time.monotonic())) or finish
            elif token is _GONE:
                finish = self._do(self._wide.leave()) or finish
            else:
                finish = self._take(*token) or finish
        return Outcome(finish, self._held, self._path, self._why)

    def _next(self, timed: bool) -> Any:
        left = self._wide.deadline - time.monotonic()
        if not timed:
            return self._answers.get()
        try:
            return self._answers.get(timeout=left) if left > 0 else self._answers.get_nowait()
        except Empty:
            return None

    def _do(self, actions: Sequence[Action]) -> Finish | None:
        finish: Finish | None = None
        todo = list(actions)
        while todo:
            action = todo.pop(0)
            match action:
                case AskSubtree(way) | AskLeaves(way):
                    try:
                        ticket = self._submit(action)
                    except Rejected as error:
                        self._why = str(error)
                        brought = Brought(idle=True, wait=error.retry_after)
                        todo += self._wide.ended(time.monotonic(), way, brought)
                    else:
                        self._ways[way] = ticket, action
                        self._way_of[ticket] = way
                case Drop(way):
                    if way in self._ways:
                        self._ways[way][0].abandon()
                case Finish():
                    finish = action
        return finish

    def _submit(self, action: AskSubtree | AskLeaves) -> PendingQuery:
        until = time.monotonic() + action.seconds
        if isinstance(action, AskLeaves):
            weight = 1.0 / len(action.leaves)
            parts = tuple(
                self._leaf_part(name)._replace(weight=weight, max_executions=action.attempts)
                for name in action.leaves
            )
            plan = t.QueryPlan(
                self._set.leaf_class, until, parts, self._set.leaf_exchange, self._set.query_class
            )
            return self._set.core.submit(plan, self._answers)
        asks = tuple(self._ask(action, attempts) for attempts in action.runs)
        part = t.PartPlan(action.subtree.place, 1.0, asks[-1], len(asks), asks)
        plan = t.QueryPlan(
            self._set.branch_class, until, (part,), self._set.branch_exchange, self._set.query_class
        )
        return self._set.branch.submit(plan, self._answers)

    def _ask(self, action: AskSubtree, attempts: int) -> Ask:
        leaves = tuple(sorted(action.subtree.leaves))
        inside = frozenset(leaves)
        queries = tuple(
            (number, query, tuple(sorted(touched & inside)))
            for number, (query, touched) in enumerate(self._queries)
            if touched & inside
        )
        task = self._wide.task
        orders = SubqueryContext(task.levels - 1, attempts, (*task.trail, self._set.name))
        return Ask(queries, leaves, self._set.query_class, orders)

    def _take(self, ticket: PendingQuery, final: t.QueryResult) -> Finish | None:
        way = self._way_of.pop(ticket)
        _, action = self._ways.pop(way)
        self._path += final.attempts
        self._why = final.detail or self._why
        answered = final.status in (t.QueryStatus.COMPLETE, t.QueryStatus.PARTIAL)
        wait = final.retry_after if final.status is t.QueryStatus.REJECTED else None
        if isinstance(action, AskSubtree):
            got: Got | None = final.results.get(0) if answered else None
            runs = [
                (
                    action.runs[min(note.earlier_executions, len(action.runs) - 1)],
                    note.never_ran,
                    got.used if got and note.outcome == "ok" else None,
                )
                for note in final.attempts
            ]
            used, idle = used_of(runs)
            held = got.held if got else {}
        else:
            held, used = leaves_of(ticket.plan.parts, final, self._leaf_content)
            idle = not used
        before = {name: self._wide.sum.source(name) for name in held}
        actions = self._wide.ended(time.monotonic(), way, Brought(frozenset(held), used, idle, wait))
        for (
            name,
            by_query,
        ) in held.items():  # the series of a leaf are those of the way that it was counted from
            if before[name] is None and self._wide.sum.source(name) == way:
                self._held[name] = by_query
        ticket.release()
        return self._do(actions)


def leaves_of(
    parts: Sequence[t.PartPlan],
    final: t.QueryResult,
    leaf_content: Callable[[Any], LeafContent],
) -> tuple[dict[str, dict[int, Any]], int]:
    """What leaves that were asked directly gave, by name and number of the query; most attempts that ran for one."""
    ran = Counter(note.shard for note in final.attempts if not note.never_ran)
    held: dict[str, dict[int, Any]] = {}
    for index, found in final.results.items():
        content = leaf_content(parts[index].content)
        held[content.name] = dict(zip(content.numbers, found, strict=True))
    return held, max(ran.values(), default=0)
