"""Merging the best points of all shards equals sorting all points."""

from __future__ import annotations

from typing import Any

from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from gingervane.vectors.points import order_of
from gingervane.vectors.topk import merge_hits

points = st.lists(
    st.tuples(st.integers(0, 40), st.sampled_from([0.0, 0.5, 0.5, 1.0]), st.integers(1, 3)), max_size=30
)


@given(st.lists(points, max_size=5), st.integers(0, 5), st.integers(1, 40), st.booleans(), st.randoms())
@profile(max_examples=150)
def test_merging_equals_sorting_all_points(
    lists: list[Any], offset: int, limit: int, greater_is_nearer: bool, rng: Any
) -> None:
    sign = -1.0 if greater_is_nearer else 1.0
    best: dict[int, dict[str, Any]] = {}
    shards = []
    for rows in lists:
        shard = {point_id: {"id": point_id, "score": s, "version": v} for point_id, s, v in rows}
        shards.append(
            sorted(shard.values(), key=lambda point: (sign * point["score"], order_of(point["id"])))
        )
    for shard_points in shards:
        for point in shard_points:
            if point["id"] not in best or point["version"] > best[point["id"]]["version"]:
                best[point["id"]] = point
    rng.shuffle(shards)
    merged = merge_hits(shards, offset, limit, greater_is_nearer)
    versions = {(point["id"], point["version"]) for point in best.values()}
    assert {(point["id"], point["version"]) for point in merged} <= versions
    assert [sign * point["score"] for point in merged] == sorted(sign * point["score"] for point in merged)
    if all(
        sum(any(point["id"] == point_id for point in shard_list) for shard_list in shards) == 1
        for point_id in best
    ):
        expected = sorted(best.values(), key=lambda point: (sign * point["score"], order_of(point["id"])))
        assert merged == expected[offset : offset + limit]
