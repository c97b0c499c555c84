"""One wide query's life at one co-ordinator, from its cutting to its one final answer. Free of I/O.

The query is cut into subtrees (`plan.cut`), each of which is a *way* to its leaves. What a way brings is summed by
leaf (`coverage.Sum`); what it does not bring is asked again around it, from the leaves directly, in the time that
was kept back, if attempts are left (`grants.Grants`) and the class allows it. Answers that are in stay in.

Per leaf there are at most two ways, one through a child and one around it, so that every life ends. What goes to
which child, when a copy is sent and what is ejected is decided below this, by the decision module.

Owner: whoever calls it, one thread for one query.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from math import inf
from typing import NamedTuple

from gingervane.interface import RetrySafety
from gingervane.tree.attempt_quota import AttemptQuota
from gingervane.tree.cost import CostModels
from gingervane.tree.coverage import LeafCoverage
from gingervane.tree.plan import QueryTask, Subtree, SubtreePlan, TreeLimits, split_time

SHARE_ROUNDING = 1e-6


class QuerySubtree(NamedTuple):
    """Have a child answer for a subtree within `seconds`. `runs`: attempts a leaf for the first way that runs, and
    for each further one."""

    subquery_id: int
    subtree: Subtree
    seconds: float
    attempts_by_execution: tuple[int, ...]


class QueryLeaves(NamedTuple):
    """Ask the leaves directly, within `seconds`, with so many attempts that may run for each."""

    subquery_id: int
    leaves: tuple[str, ...]
    seconds: float
    attempts: int


class CancelSubquery(NamedTuple):
    """Nobody waits for a way any more: cancel it, down to its leaves."""

    subquery_id: int


class WideQueryStatus(Enum):
    COMPLETE = "whole"
    PARTIAL = "short"
    REJECTED = "refused"
    FAILED = "failed"
    CLIENT_DISCONNECTED = "left"


class WideQueryResult(NamedTuple):
    """The one final answer. `used`: the most attempts that may have run for any leaf."""

    status: WideQueryStatus
    share: float
    missing: tuple[str, ...]
    retry_after: float
    attempts_used: int


Action = QuerySubtree | QueryLeaves | CancelSubquery | WideQueryResult


class SubqueryOutcome(NamedTuple):
    """How a way ended. `held`: leaves whose series it brought. `used`: attempts that may have run for any one leaf,
    None if nobody can say. `idle`: proof that nothing of it ran. `wait`: a refusal's advice, None if it was none."""

    received_leaves: frozenset[str] = frozenset()
    attempts_used: int | None = None
    never_executed: bool = False
    retry_after: float | None = None


@dataclass
class _Subquery:
    leaves: tuple[str, ...]
    direct: bool  # asks the leaves themselves
    started_at: float = 0.0


@dataclass
class CompletionRules:
    """What the class and the client allow. `least`: the least share of an answer; `collect`: any share will do, as
    the parent sums."""

    retry_safety: RetrySafety
    required_share: float
    accepts_any_share: bool = False


@dataclass
class WideQuery:
    """Feed it `start`, `ended`, `expire` and `leave`; carry out the actions; the last one is a Finish."""

    task: QueryTask
    rules: CompletionRules
    limits: TreeLimits
    costs: CostModels
    plan: SubtreePlan  # of `plan.cut`, for this task
    result: WideQueryResult | None = None
    _subqueries: dict[int, _Subquery] = field(default_factory=dict)
    _next_id: int = 1
    _deadline: float = inf
    _may_have_executed: bool = False  # something of it may have run
    _retry_after: float = 0.0
    _unreachable: set[str] = field(default_factory=set)  # leaves that no way is left to

    def __post_init__(self) -> None:
        weight = 1.0 / max(len(self.task.leaves), 1)
        self.coverage = LeafCoverage(dict.fromkeys(self.task.leaves, weight))
        self.quota = AttemptQuota(self.task.leaves, min(self.task.attempts, self.limits.leaf_attempts))

    @property
    def deadline(self) -> float:
        """When `expire` is due."""
        return self._deadline

    def start(self, now: float) -> list[Action]:
        """Ask as planned."""
        self._deadline = now + self.task.seconds_left
        if not self.plan.subtrees:
            return self._query_leaves(now, self.task.leaves) or self._finish_if_decided()
        largest = max(len(subtree.leaves) for subtree in self.plan.subtrees)
        share = split_time(self.task.seconds_left, largest, self.costs)
        out: list[Action] = []
        for subtree in self.plan.subtrees:
            first = self.quota.offer(subtree.leaves, last=False)
            runs = (first,) if first == self.quota.max_attempts else (first, self.quota.max_attempts - first)
            way = self._register(now, subtree.leaves, sum(runs), around=False)
            out.append(QuerySubtree(way, subtree, share.subtree_seconds, runs))
        return out

    def subquery_finished(self, now: float, way: int, brought: SubqueryOutcome) -> list[Action]:
        """A way has ended; what it did not bring is asked around it."""
        found = self._subqueries.pop(way, None)
        if found is None or self.result:
            return []
        self.quota.release(way, 0 if brought.never_executed else brought.attempts_used)
        self._may_have_executed = self._may_have_executed or not brought.never_executed
        if brought.retry_after is not None:
            self._retry_after = max(self._retry_after, brought.retry_after)
        self.coverage.add(way, brought.received_leaves & set(found.leaves))
        model = self.costs.flat if found.direct else self.costs.subtree
        if len(brought.received_leaves) == len(found.leaves):
            model.record(len(found.leaves), now - found.started_at)
        missing = tuple(leaf for leaf in found.leaves if self.coverage.source(leaf) is None)
        out: list[Action] = []
        if (
            missing
            and not found.direct
            and (self.rules.retry_safety is RetrySafety.IDEMPOTENT or brought.never_executed)
        ):
            out += self._query_leaves(now, missing)
        asked = {leaf for one in self._subqueries.values() for leaf in one.leaves}
        self._unreachable |= set(missing) - asked
        return out + self._finish_if_decided()

    def expire(self, now: float) -> list[Action]:
        """The time is up: what is in goes out, if it may."""
        return [] if self.result or now < self._deadline else self._finish_with_received(final=True)

    def client_disconnected(self) -> list[Action]:
        """The client has gone."""
        return [] if self.result else self._finish(WideQueryStatus.CLIENT_DISCONNECTED)

    # ---- inside

    def _register(self, now: float, leaves: tuple[str, ...], attempts: int, around: bool) -> int:
        way, self._next_id = self._next_id, self._next_id + 1
        self.quota.reserve(way, leaves, attempts)
        self._subqueries[way] = _Subquery(leaves, around, now)
        return way

    def _query_leaves(self, now: float, leaves: tuple[str, ...]) -> list[Action]:
        """Ask leaves directly: those with an attempt left, by how many they have left.

        In groups within the fan-out bound, each a way of its own: what the leaves' module refuses or loses of one
        group takes nothing from the others, and their answers are counted as they come.
        """
        left = self._deadline - now
        by_attempts: dict[int, list[str]] = {}
        for leaf in leaves:
            if (attempts := self.quota.remaining(leaf)) > 0:
                by_attempts.setdefault(attempts, []).append(leaf)
        out: list[Action] = []
        bound = max(self.limits.fan_out, 1)
        for attempts, group in sorted(by_attempts.items()) if left > 0 else ():
            for start in range(0, len(group), bound):
                some = tuple(group[start : start + bound])
                way = self._register(now, some, attempts, around=True)
                out.append(QueryLeaves(way, some, left, attempts))
        return out

    def _finish_if_decided(self) -> list[Action]:
        """End at once what is whole, cannot become enough, or has no way out any more."""
        if self.coverage.complete:
            return self._finish(WideQueryStatus.COMPLETE)
        weight = 1.0 / max(len(self.task.leaves), 1)
        hopeless = 1.0 - weight * len(self._unreachable) < self.rules.required_share - SHARE_ROUNDING
        if (hopeless and not self.rules.accepts_any_share) or not self._subqueries:
            return self._finish_with_received(final=not self._subqueries)
        return []

    def _finish_with_received(self, final: bool) -> list[Action]:
        enough = self.coverage.share >= self.rules.required_share - SHARE_ROUNDING or (
            self.rules.accepts_any_share and self.coverage.share > 0
        )
        if self.coverage.complete:
            return self._finish(WideQueryStatus.COMPLETE)
        if final and enough:
            return self._finish(WideQueryStatus.PARTIAL)
        # What is out may run still: only a class that is safe to repeat may be refused then.
        harmless = self.rules.retry_safety is RetrySafety.IDEMPOTENT or not (
            self._may_have_executed or self._subqueries
        )
        return self._finish(WideQueryStatus.REJECTED if harmless else WideQueryStatus.FAILED)

    def _finish(self, end: WideQueryStatus) -> list[Action]:
        drops: list[Action] = [CancelSubquery(way) for way in self._subqueries]
        self._subqueries.clear()
        missing = tuple(self.coverage.missing_leaves())
        self.result = WideQueryResult(
            end, self.coverage.share, missing, self._retry_after, self.quota.max_used
        )
        return [*drops, self.result]


def total_attempts_used(runs: Iterable[tuple[int, bool, int | None]]) -> tuple[int | None, bool]:
    """What a subtree's attempts used at most a leaf, and whether all are proved idle.

    `runs`: for each attempt the attempts a leaf that it was handed, whether it is proved never to have run, and what
    it said that it used, if it answered.
    """
    total, idle = 0, True
    for handed, never_ran, said in runs:
        if never_ran:
            continue
        idle = False
        total += handed if said is None else min(said, handed)
    return total, idle
