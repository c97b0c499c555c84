"""The best of all shards' points, the same whatever came first. Free of I/O."""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from itertools import islice
from typing import Any

from gingervane.vectors.points import order_of

Point = dict[str, Any]  # id, version, score, and payload and vector as asked


def merge_hits(lists: Iterable[list[Point]], offset: int, limit: int, greater_is_nearer: bool) -> list[Point]:
    """The points from `offset` on, `limit` at most, of lists that are each in order.

    Ties are broken by id. A point that stands in more than one list (a shard was split, or a replica has not dropped
    what moved) counts once, by its newest version.
    """

    def key(point: Point) -> tuple[float, Any]:
        return (-point["score"] if greater_is_nearer else point["score"]), order_of(point["id"])

    lists = list(lists)
    newest = _newest(lists)
    if newest:
        lists = [[p for p in found if p["version"] >= newest.get(p["id"], 0)] for found in lists]
    ordered = heapq.merge(*lists, key=key)
    if newest:
        ordered = _once(ordered)
    return list(islice(ordered, offset, offset + limit))


def _newest(lists: list[list[Point]]) -> dict[Any, int]:
    """Versions of points that stand in more than one list; empty in the usual case, which costs one pass."""
    seen: dict[Any, int] = {}
    twice: dict[Any, int] = {}
    for found in lists:
        for point in found:
            number, version = point["id"], point["version"]
            if number in seen:
                twice[number] = max(version, seen[number], twice.get(number, 0))
            seen[number] = version
    return twice


def _once(points: Iterable[Point]) -> Iterable[Point]:
    met = set()
    for point in points:
        if point["id"] not in met:
            met.add(point["id"])
            yield point


def is_sorted(points: list[Point], greater_is_nearer: bool) -> bool:
    """Whether a shard's list is in the order that `merge` takes for given."""
    sign = -1.0 if greater_is_nearer else 1.0
    keys = [(sign * p["score"], order_of(p["id"])) for p in points]
    return all(a <= b for a, b in zip(keys, keys[1:], strict=False))
