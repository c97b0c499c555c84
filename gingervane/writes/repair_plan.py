"""Planning of copies between the replicas of a shard, so that the replicas agree. Free of I/O.

A replica merges a row that is copied to it: what either has is kept. Two rows of a point that differ may each have
operations that the other lacks, which their states do not show, so that neither is older. Of each point, all
differing rows are copied to one replica, and from there to all others. Whether that was enough shows the next
comparison. Where replicas replace a row by a newer one and ignore an older one, they agree on the newest.
"""

from __future__ import annotations

from typing import NamedTuple


class PointState(NamedTuple):
    """State of a point on a replica. Rows are collected at a replica with the greatest state."""

    version: int
    additions: int  # increments of the payload since the point was last written in full
    digest: int  # of the content; a deleted point has a digest too

    @property
    def recency(self) -> tuple[int, int]:
        """Sort key by time; different contents of the same recency are in conflict."""
        return self.version, self.additions


class PointCopy(NamedTuple):
    """Points to copy from replica `source` to replica `target`."""

    source: int
    target: int
    points: tuple[str, ...]


class CopyPlan(NamedTuple):
    """Result of `plan_copies`."""

    copies: list[PointCopy]  # in this order: those to the replicas that collect go first
    remaining: int  # number of copies that are still needed after these, or whose result has to be compared
    conflicts: int  # number of points in conflict


def plan_copies(states: dict[int, dict[str, PointState]], max_points: int) -> CopyPlan:
    """Plan copies of at most `max_points` points that bring the replicas into agreement, or closer to it.

    `states`: by replica, its points by id as text. A deleted point is included, with the version of its
    deletion. All copies of one point are made together, so that those of the first point may be more.
    """
    collecting: dict[tuple[int, int], list[str]] = {}  # points by source and target
    spreading: dict[tuple[int, int], list[str]] = {}
    planned, remaining, conflicts = 0, 0, 0
    for point in sorted({point for points in states.values() for point in points}):
        rows = {replica: points.get(point) for replica, points in sorted(states.items())}
        exchange = _plan_exchange(rows)
        conflicts += exchange.is_conflict
        count = len(exchange.collecting) + len(exchange.spreading)
        if planned and planned + count > max_points:
            remaining += count
            continue
        planned += count
        remaining += len(exchange.collecting)  # what they bring is known after the next comparison
        for pair in exchange.collecting:
            collecting.setdefault(pair, []).append(point)
        for pair in exchange.spreading:
            spreading.setdefault(pair, []).append(point)
    copies = [
        PointCopy(source, target, tuple(points))
        for wanted in (collecting, spreading)
        for (source, target), points in sorted(wanted.items())
    ]
    return CopyPlan(copies, remaining, conflicts)


class _Exchange(NamedTuple):
    """The copies of one point, as pairs of source and target."""

    collecting: list[tuple[int, int]]
    spreading: list[tuple[int, int]]
    is_conflict: bool


def _plan_exchange(rows: dict[int, PointState | None]) -> _Exchange:
    """Plan the copies of one point: one of each differing row to a replica, then from it to the others."""
    known = {state: replica for replica, state in reversed(rows.items()) if state is not None}
    newest = max(known)
    collector = known[newest]
    collecting = [(replica, collector) for state, replica in sorted(known.items()) if state != newest]
    spreading = [(collector, replica) for replica, state in rows.items() if state != newest]
    is_conflict = any(_in_conflict(newest, state) for state in known)
    return _Exchange(collecting, spreading, is_conflict)


def _in_conflict(first: PointState, second: PointState) -> bool:
    return first.recency == second.recency and first.digest != second.digest
