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
from gingervane.tree.coverage import Sum
from gingervane.tree.cost import Costs
from gingervane.tree.attempt_quota import AttemptQuota
from gingervane.tree.plan import Limits, Plan, Subtree, Task, share_time

EPSILON = 1e-6


class AskSubtree(NamedTuple):
    """Have a child answer for a subtree within `seconds`. `runs`: attempts a leaf for the first way that runs, and
    for each further one."""

    way: int
    subtree: Subtree
    seconds: float
    runs: tuple[int, ...]


class AskLeaves(NamedTuple):
    """Ask the leaves directly, within `seconds`, with so many attempts that may run for each."""

    way: int
    leaves: tuple[str, ...]
    seconds: float
    attempts: int


class Drop(NamedTuple):
    """Nobody waits for a way any more: cancel it, down to its leaves."""

    way: int


class End(Enum):
    WHOLE = "whole"
    SHORT = "short"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "left"


class Finish(NamedTuple):
    """The one final answer. `used`: the most attempts that may have run for any leaf."""

    end: End
    share: float
    missing: tuple[str, ...]
    retry_after: float
    used: int


Action = AskSubtree | AskLeaves | Drop | Finish


class Brought(NamedTuple):
    """How a way ended. `held`: leaves whose series it brought. `used`: attempts that may have run for any one leaf,
    None if nobody can say. `idle`: proof that nothing of it ran. `wait`: a refusal's advice, None if it was none."""

    held: frozenset[str] = frozenset()
    used: int | None = None
    idle: bool = False
    wait: float | None = None


@dataclass
class _Way:
    leaves: tuple[str, ...]
    around: bool  # asks the leaves themselves
    began: float = 0.0


@dataclass
class Rules:
    """What the class and the client allow. `least`: the least share of an answer; `collect`: any share will do, as
    the parent sums."""

    semantics: RetrySafety
    least: float
    collect: bool = False


@dataclass
class WideQuery:
    """Feed it `start`, `ended`, `expire` and `leave`; carry out the actions; the last one is a Finish."""

    task: Task
    rules: Rules
    limits: Limits
    costs: Costs
    plan: Plan  # of `plan.cut`, for this task
    finished: Finish | None = None
    _ways: dict[int, _Way] = field(default_factory=dict)
    _next: int = 1
    _deadline: float = inf
    _ran: bool = False  # something of it may have run
    _advice: float = 0.0
    _lost: set[str] = field(default_factory=set)  # leaves that no way is left to

    def __post_init__(self) -> None:
        weight = 1.0 / max(len(self.task.leaves), 1)
        self.sum = Sum(dict.fromkeys(self.task.leaves, weight))
        self.grants = AttemptQuota(self.task.leaves, min(self.task.attempts, self.limits.leaf_attempts))

    @property
    def deadline(self) -> float:
        """When `expire` is due."""
        return self._deadline

    def start(self, now: float) -> list[Action]:
        """Ask as planned."""
        self._deadline = now + self.task.left
        if not self.plan.subtrees:
            return self._around(now, self.task.leaves) or self._settle()
        largest = max(len(subtree.leaves) for subtree in self.plan.subtrees)
        share = share_time(self.task.left, largest, self.costs)
        out: list[Action] = []
        for subtree in self.plan.subtrees:
            first = self.grants.offer(subtree.leaves, last=False)
            runs = (first,) if first == self.grants.most else (first, self.grants.most - first)
            way = self._begin(now, subtree.leaves, sum(runs), around=False)
            out.append(AskSubtree(way, subtree, share.branch, runs))
        return out

    def ended(self, now: float, way: int, brought: Brought) -> list[Action]:
        """A way has ended; what it did not bring is asked around it."""
        found = self._ways.pop(way, None)
        if found is None or self.finished:
            return []
        self.grants.end(way, 0 if brought.idle else brought.used)
        self._ran = self._ran or not brought.idle
        if brought.wait is not None:
            self._advice = max(self._advice, brought.wait)
        self.sum.add(way, brought.held & set(found.leaves))
        model = self.costs.flat if found.around else self.costs.subtree
        if len(brought.held) == len(found.leaves):
            model.learn(len(found.leaves), now - found.began)
        missing = tuple(leaf for leaf in found.leaves if self.sum.source(leaf) is None)
        out: list[Action] = []
        if missing and not found.around and (self.rules.semantics is RetrySafety.IDEMPOTENT or brought.idle):
            out += self._around(now, missing)
        asked = {leaf for one in self._ways.values() for leaf in one.leaves}
        self._lost |= set(missing) - asked
        return out + self._settle()

    def expire(self, now: float) -> list[Action]:
        """The time is up: what is in goes out, if it may."""
        return [] if self.finished or now < self._deadline else self._close(final=True)

    def leave(self) -> list[Action]:
        """The client has gone."""
        return [] if self.finished else self._finish(End.LEFT)

    # ---- inside

    def _begin(self, now: float, leaves: tuple[str, ...], attempts: int, around: bool) -> int:
        way, self._next = self._next, self._next + 1
        self.grants.begin(way, leaves, attempts)
        self._ways[way] = _Way(leaves, around, now)
        return way

    def _around(self, now: float, leaves: tuple[str, ...]) -> list[Action]:
        """Ask leaves directly: those with an attempt left, by how many they have left.

        In groups within the fan-out bound, each a way of its own: what the leaves' module refuses or loses of one
        group takes nothing from the others, and their answers are counted as they come.
        """
        left = self._deadline - now
        by_attempts: dict[int, list[str]] = {}
        for leaf in leaves:
            if (attempts := self.grants.left(leaf)) > 0:
                by_attempts.setdefault(attempts, []).append(leaf)
        out: list[Action] = []
        bound = max(self.limits.fan_out, 1)
        for attempts, group in sorted(by_attempts.items()) if left > 0 else ():
            for start in range(0, len(group), bound):
                some = tuple(group[start : start + bound])
                way = self._begin(now, some, attempts, around=True)
                out.append(AskLeaves(way, some, left, attempts))
        return out

    def _settle(self) -> list[Action]:
        """End at once what is whole, cannot become enough, or has no way out any more."""
        if self.sum.whole:
            return self._finish(End.WHOLE)
        weight = 1.0 / max(len(self.task.leaves), 1)
        hopeless = 1.0 - weight * len(self._lost) < self.rules.least - EPSILON
        if (hopeless and not self.rules.collect) or not self._ways:
            return self._close(final=not self._ways)
        return []

    def _close(self, final: bool) -> list[Action]:
        enough = self.sum.share >= self.rules.least - EPSILON or (self.rules.collect and self.sum.share > 0)
        if self.sum.whole:
            return self._finish(End.WHOLE)
        if final and enough:
            return self._finish(End.SHORT)
        # What is out may run still: only a class that is safe to repeat may be refused then.
        harmless = self.rules.semantics is RetrySafety.IDEMPOTENT or not (self._ran or self._ways)
        return self._finish(End.REFUSED if harmless else End.FAILED)

    def _finish(self, end: End) -> list[Action]:
        drops: list[Action] = [Drop(way) for way in self._ways]
        self._ways.clear()
        missing = tuple(self.sum.missing())
        self.finished = Finish(end, self.sum.share, missing, self._advice, self.grants.most_used)
        return [*drops, self.finished]


def used_of(runs: Iterable[tuple[int, bool, int | None]]) -> tuple[int | None, bool]:
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
