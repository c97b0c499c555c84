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
def test_merging_is_sorting(lists: list[Any], offset: int, limit: int, greater: bool, rng: Any) -> None:
    sign = -1.0 if greater else 1.0
    best: dict[int, dict[str, Any]] = {}
    shards = []
    for rows in lists:
        one = {n: {"id": n, "score": s, "version": v} for n, s, v in rows}
        shards.append(sorted(one.values(), key=lambda p: (sign * p["score"], order_of(p["id"]))))
    for found in shards:
        for p in found:
            if p["id"] not in best or p["version"] > best[p["id"]]["version"]:
                best[p["id"]] = p
    rng.shuffle(shards)
    found = merge_hits(shards, offset, limit, greater)
    versions = {(p["id"], p["version"]) for p in best.values()}
    assert {(p["id"], p["version"]) for p in found} <= versions
    assert [sign * p["score"] for p in found] == sorted(sign * p["score"] for p in found)
    if all(sum(any(p["id"] == n for p in one) for one in shards) == 1 for n in best):
        want = sorted(best.values(), key=lambda p: (sign * p["score"], order_of(p["id"])))
        assert found == want[offset : offset + limit]
