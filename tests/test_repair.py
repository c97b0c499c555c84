"""Missed writes and their repair: which shards are compared when, and which points are copied."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from gingervane.writes.missed_writes import MissedWrites, RepairBudget, ShardKey
from gingervane.writes.repair_plan import PointState, plan_copies

point_states = st.builds(PointState, st.integers(1, 4), st.integers(0, 2), st.integers(0, 2))
replicas = st.dictionaries(
    st.integers(0, 2), st.dictionaries(st.sampled_from("abcde"), point_states), min_size=2
)


@given(replicas, st.integers(1, 6))
@profile(max_examples=200, deadline=None)
def test_repair_brings_holders_together(held: dict[int, dict[str, PointState]], most: int) -> None:
    newest = {n: max(p[n] for p in held.values() if n in p) for n in {n for p in held.values() for n in p}}
    for _ in range(40):
        copies, left, _ = plan_copies(held, most)
        assert sum(len(c.points) for c in copies) <= most
        for copy in copies:
            for number in copy.points:
                assert held[copy.source][number] == newest[number], "only the newest state is copied"
                held[copy.target][number] = held[copy.source][number]
        if not copies:
            assert not left
            break
    assert all(points == newest for points in held.values())


def test_debts_are_paid_within_the_budget() -> None:
    a, b = ShardKey("c", 1), ShardKey("c", 2)
    missed = MissedWrites(
        RepairBudget(
            points_per_second=10.0,
            burst_points=20.0,
            sweep_interval=100.0,
            initial_backoff=0.5,
            max_backoff=8.0,
        ),
        [a, b],
        0.0,
    )
    missed.add(b, 0.0)
    assert missed.next_shard(0.1) == a, "the sweep"
    missed.record_comparison(a, 0.1, 0, 0, True)
    assert missed.next_shard(0.2) is None and missed.next_shard(0.6) == b and missed.capacity(0.6) == 20
    missed.record_comparison(b, 0.6, 20, 1, False)
    assert missed.next_shard(0.65) is None, "the budget is exhausted"
    assert missed.capacity(1.6) == 10 and missed.next_shard(1.7) == b and missed.conflicts == 1
    waits, now = [], 1.7
    for _ in range(8):  # a replica that is gone: the intervals grow
        missed.record_comparison(b, now, 0, 0, False)
        start = now
        while missed.next_shard(now) != b:
            if missed.next_shard(now) == a:
                missed.record_comparison(a, now, 0, 0, True)
            now += 0.25
        waits.append(now - start)
    assert waits[0] <= 1.25 and waits[-1] >= 8.0 and missed.oldest_age(now) == now
    missed.record_comparison(b, now, 3, 0, True)
    assert not len(missed) and missed.repaired == 1 and missed.points_copied == 23
