"""What holders have not been heard to have done: debts, and which shard to compare next. Free of I/O.

A write that was answered though a holder did not say that it did its part leaves a debt of that holder. So does a
holder that comes back from being gone. Debts are paid by comparing digests of the shard's holders and copying what
differs, newest version over older; within a budget of points, so that repair never crowds out work. What cannot be
settled by versions (two holders that each have what the other lacks under the same version) is a conflict: it is
counted and told, and the greater digest stands, the same everywhere.

One owner calls it under its lock; time is handed in.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple


class ShardKey(NamedTuple):
    """A shard of a collection."""

    collection: str
    shard: int


@dataclass
class MissedWrite:
    """Of a shard: since when, when to compare next, and how often that has come to nothing."""

    since: float
    next_attempt_at: float
    failed_attempts: int = 0


class RepairBudget(NamedTuple):
    """Points copied: at most `burst` at once and `rate` a second. `sweep`: seconds in which every shard is compared
    once even without a debt; `first` and `most`: pause after a try that failed."""

    points_per_second: float = 500.0
    burst_points: float = 1000.0
    sweep_interval: float = 600.0
    initial_backoff: float = 0.5
    max_backoff: float = 60.0


class MissedWrites:
    """Debts by shard, and the order of comparing."""

    def __init__(self, budget: RepairBudget, places: Iterable[ShardKey], now: float) -> None:
        self._budget = budget
        self._debts: OrderedDict[ShardKey, MissedWrite] = OrderedDict()
        self._places = list(places)
        self._next_sweep, self._swept = now, 0
        self._tokens, self._at = budget.burst_points, now
        self.repaired = self.conflicts = self.points_copied = 0

    def __len__(self) -> int:
        return len(self._debts)

    def add(self, place: ShardKey, now: float) -> None:
        """Some holder did not say that it did a write, or has come back from being gone."""
        if place not in self._debts:
            self._debts[place] = MissedWrite(since=now, next_attempt_at=now + self._budget.initial_backoff)

    def oldest_age(self, now: float) -> float:
        """Seconds since the oldest debt that still stands; 0 if there is none."""
        return max((now - debt.since for debt in self._debts.values()), default=0.0)

    def next_shard(self, now: float) -> ShardKey | None:
        """The shard to compare now, if any is due and the budget has room."""
        self._refill(now)
        if self._tokens < 1.0:
            return None
        due = min(
            (
                (debt.next_attempt_at, place)
                for place, debt in self._debts.items()
                if debt.next_attempt_at <= now
            ),
            default=None,
        )
        if due is not None:
            return due[1]
        if not self._places or now < self._next_sweep:
            return None
        place = self._places[self._swept % len(self._places)]
        self._swept += 1
        self._next_sweep = max(self._next_sweep, now - 1.0) + self._budget.sweep_interval / len(self._places)
        return place

    def capacity(self, now: float) -> int:
        """Points that may be copied now."""
        self._refill(now)
        return int(self._tokens)

    def record_comparison(
        self, place: ShardKey, now: float, copied: int, conflicts: int, whole: bool
    ) -> None:
        """A comparing has ended. `whole`: every holder was there, and nothing is left to copy."""
        self._tokens -= copied
        self.points_copied += copied
        self.conflicts += conflicts
        debt = self._debts.get(place)
        if debt is None:
            return
        if whole:
            self.repaired += 1
            del self._debts[place]
            return
        # What is being paid goes on as the budget allows; what cannot be is tried ever more seldom.
        debt.failed_attempts = 0 if copied else debt.failed_attempts + 1
        debt.next_attempt_at = now + min(
            self._budget.initial_backoff * 2.0 ** min(debt.failed_attempts, 16), self._budget.max_backoff
        )

    def _refill(self, now: float) -> None:
        self._tokens = min(
            self._budget.burst_points,
            self._tokens + max(now - self._at, 0.0) * self._budget.points_per_second,
        )
        self._at = now


class PendingAcknowledgements:
    """Holders that a write has been sent to and that have not said yet that they did it: a write is answered by the
    first of them, and what the others make of it comes later, or becomes a debt. At most `most` writes; of more, what
    is missing is a debt at once."""

    def __init__(self, most: int = 100_000) -> None:
        self._most = most
        self._waiting: OrderedDict[tuple[ShardKey, int], tuple[float, set[int]]] = OrderedDict()
        self._over: list[ShardKey] = []

    def add(self, place: ShardKey, version: int, holders: Iterable[int], due: float) -> None:
        """A write under `version` goes to these holders, and can have been done up to `due`."""
        if len(self._waiting) >= self._most:
            (oldest, _), _ = self._waiting.popitem(last=False)
            self._over.append(oldest)
        self._waiting[place, version] = due, set(holders)

    def acknowledge(self, place: ShardKey, version: int, holder: int) -> None:
        """One of them says that it did it."""
        found = self._waiting.get((place, version))
        if found is not None:
            found[1].discard(holder)
            if not found[1]:
                del self._waiting[place, version]

    def discard(self, place: ShardKey, version: int) -> None:
        """It is proven that no holder did it: nothing is owed."""
        self._waiting.pop((place, version), None)

    def pop_overdue(self, now: float) -> list[ShardKey]:
        """Where something has not been said in time: debts now."""
        out, self._over = self._over, []
        for key, (due, _) in list(self._waiting.items()):
            if due > now:
                break  # in order of sending; a later one may be due first and then waits a little longer
            del self._waiting[key]
            out.append(key[0])
        return out


class PointState(NamedTuple):
    """What a holder has of a point. `ops`: additions since it was last written whole; `digest`: of its content,
    deleted or not. The greatest stands."""

    version: int
    additions: int
    digest: int

    @property
    def recency(self) -> tuple[int, int]:
        """What tells newer from older; two contents under the same are a conflict."""
        return self.version, self.additions


class PointCopy(NamedTuple):
    """Points that `source` has newest, and holders that lack them."""

    source: int
    target: int
    points: tuple[str, ...]


def plan_copies(held: dict[int, dict[str, PointState]], most: int) -> tuple[list[PointCopy], int, int]:
    """What to copy so that all holders agree: copies of at most `most` points in all, how many more there are, and
    how many points stand under one version with different contents.

    `held`: by holder, its points (ids as text). A deleted point is one too, with the version of its deletion.
    """
    best: dict[str, tuple[PointState, int]] = {}
    conflicts: set[str] = set()
    for holder, points in sorted(held.items()):
        for number, mark in points.items():
            known = best.get(number)
            if known is not None and known[0].recency == mark.recency and known[0].digest != mark.digest:
                conflicts.add(number)
            if known is None or mark > known[0]:
                best[number] = mark, holder
    lacking: dict[tuple[int, int], list[str]] = {}
    for number, (mark, source) in sorted(best.items()):
        for holder, points in held.items():
            if points.get(number) != mark:
                lacking.setdefault((source, holder), []).append(number)
    copies: list[PointCopy] = []
    left = 0
    for (source, target), numbers in sorted(lacking.items()):
        room = max(most - sum(len(c.points) for c in copies), 0)
        if numbers[:room]:
            copies.append(PointCopy(source, target, tuple(numbers[:room])))
        left += len(numbers) - len(numbers[:room])
    return copies, left, len(conflicts)
