"""Planning of copies between the replicas of a shard, so that the replicas agree. Free of I/O.

The newest state of a point replaces older ones. Two replicas that have different contents of a point under
the same version and number of additions are in conflict: the greater digest wins, on every replica.
"""

from __future__ import annotations

from typing import NamedTuple


class PointState(NamedTuple):
    """State of a point on a replica. Of several states, the greatest wins."""

    version: int
    additions: int  # increments of the payload since the point was last written in full
    digest: int  # of the content; a deleted point has a digest too

    @property
    def recency(self) -> tuple[int, int]:
        """Sort key by time; different contents of the same recency are in conflict."""
        return self.version, self.additions


class PointCopy(NamedTuple):
    """Points to copy from replica `source`, which has their newest state, to replica `target`."""

    source: int
    target: int
    points: tuple[str, ...]


class CopyPlan(NamedTuple):
    """Result of `plan_copies`."""

    copies: list[PointCopy]
    remaining: int  # number of copies that are still needed after these
    conflicts: int  # number of points in conflict


def plan_copies(states: dict[int, dict[str, PointState]], max_points: int) -> CopyPlan:
    """Plan copies of at most `max_points` points that bring the replicas into agreement, or closer to it.

    `states`: by replica, its points by id as text. A deleted point is included, with the version of its
    deletion.
    """
    newest: dict[str, tuple[PointState, int]] = {}  # newest state and the replica that has it, by point
    conflicts: set[str] = set()
    for replica, points in sorted(states.items()):
        for point, state in points.items():
            newest_so_far = newest.get(point)
            if newest_so_far is not None and _in_conflict(newest_so_far[0], state):
                conflicts.add(point)
            if newest_so_far is None or state > newest_so_far[0]:
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
        planned_points = missing_points[:capacity]
        if planned_points:
            copies.append(PointCopy(source, target, tuple(planned_points)))
        capacity -= len(planned_points)
        remaining += len(missing_points) - len(planned_points)
    return CopyPlan(copies, remaining, len(conflicts))


def _in_conflict(first: PointState, second: PointState) -> bool:
    return first.recency == second.recency and first.digest != second.digest
