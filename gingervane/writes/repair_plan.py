"""Which points to copy between the replicas of a shard so that they agree. Free of I/O.

The newest state of a point is copied over older ones. Two replicas that have different contents of a point under the
same version and count of additions are in conflict: the greater digest stands, the same everywhere.
"""

from __future__ import annotations

from typing import NamedTuple


class PointState(NamedTuple):
    """What a replica has of a point. The greatest stands."""

    version: int
    additions: int  # to its payload since it was last written as a whole
    digest: int  # of its content, which may be that it is deleted

    @property
    def recency(self) -> tuple[int, int]:
        """What orders states in time; two contents of the same recency are a conflict."""
        return self.version, self.additions


class PointCopy(NamedTuple):
    """Points to copy from the replica `source`, which has their newest state, to `target`, which lacks it."""

    source: int
    target: int
    points: tuple[str, ...]


class CopyPlan(NamedTuple):
    """Result of `plan_copies`."""

    copies: list[PointCopy]
    remaining: int  # points that must be copied beyond these
    conflicts: int  # points in conflict


def plan_copies(states: dict[int, dict[str, PointState]], max_points: int) -> CopyPlan:
    """Plan copies of at most `max_points` points after which the replicas agree, or agree on more.

    `states`: by replica, its points by their ids as text. A deleted point counts, with the version of its deletion.
    """
    newest: dict[str, tuple[PointState, int]] = {}  # with the replica that has it
    conflicts: set[str] = set()
    for replica, points in sorted(states.items()):
        for point, state in points.items():
            known = newest.get(point)
            if known is not None and _in_conflict(known[0], state):
                conflicts.add(point)
            if known is None or state > known[0]:
                newest[point] = state, replica
    missing: dict[tuple[int, int], list[str]] = {}  # points by source and target
    for point, (state, source) in sorted(newest.items()):
        for replica, points in states.items():
            if points.get(point) != state:
                missing.setdefault((source, replica), []).append(point)
    copies: list[PointCopy] = []
    capacity = max(max_points, 0)
    remaining = 0
    for (source, target), missing_points in sorted(missing.items()):
        chosen = missing_points[:capacity]
        if chosen:
            copies.append(PointCopy(source, target, tuple(chosen)))
        capacity -= len(chosen)
        remaining += len(missing_points) - len(chosen)
    return CopyPlan(copies, remaining, len(conflicts))


def _in_conflict(one: PointState, other: PointState) -> bool:
    return one.recency == other.recency and one.digest != other.digest
