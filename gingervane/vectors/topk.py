"""Merging of the best points of all shards, independent of the order of the replies. Free of I/O."""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from itertools import islice, pairwise
from typing import Any

from gingervane.vectors.points import PointId, order_of

Point = dict[str, Any]  # id, version, score, and payload and vector as requested


def merge_hits(lists: Iterable[list[Point]], offset: int, limit: int, greater_is_nearer: bool) -> list[Point]:
    """Return at most `limit` points from position `offset` of the merged lists, each of which must be sorted.

    Points with equal scores are ordered by id. A point that is in more than one list (a shard was split, or a
    replica has not dropped points that moved) is returned once, in its newest version.
    """

    def key(point: Point) -> tuple[float, Any]:
        return (-point["score"] if greater_is_nearer else point["score"]), order_of(point["id"])

    lists = list(lists)
    newest_versions = _newest_of_duplicates(lists)
    if newest_versions:
        lists = [
            [point for point in points if point["version"] >= newest_versions.get(point["id"], 0)]
            for points in lists
        ]
    ordered = heapq.merge(*lists, key=key)
    if newest_versions:
        ordered = _without_duplicates(ordered)
    return list(islice(ordered, offset, offset + limit))


def is_sorted(points: list[Point], greater_is_nearer: bool) -> bool:
    """Return whether a shard's list is in the order that `merge_hits` expects."""
    sign = -1.0 if greater_is_nearer else 1.0
    keys = [(sign * point["score"], order_of(point["id"])) for point in points]
    return all(earlier <= later for earlier, later in pairwise(keys))


def _newest_of_duplicates(lists: list[list[Point]]) -> dict[PointId, int]:
    """Return the newest version of each point that is in more than one list.

    The result is usually empty. It costs one pass over the lists.
    """
    versions: dict[PointId, int] = {}
    newest_versions: dict[PointId, int] = {}
    for points in lists:
        for point in points:
            point_id = point["id"]
            version = point["version"]
            if point_id in versions:
                newest_versions[point_id] = max(version, versions[point_id], newest_versions.get(point_id, 0))
            versions[point_id] = version
    return newest_versions


def _without_duplicates(points: Iterable[Point]) -> Iterable[Point]:
    seen_ids: set[PointId] = set()
    for point in points:
        if point["id"] not in seen_ids:
            seen_ids.add(point["id"])
            yield point
