"""Missed writes and their repair: which shards are compared when, and which points are copied."""

from __future__ import annotations

from typing import Any

from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from gingervane import interface as api
from gingervane.coordinator.types import EndpointsUpdated
from gingervane.fake_servers.mergeable_rows import Row, merge
from gingervane.fake_servers.vector_shard import Shard, rank
from gingervane.vectors.points import Collection
from gingervane.writes.missed_writes import MissedWrites, RepairBudget, ShardKey
from gingervane.writes.repair import Repairer
from gingervane.writes.repair_plan import PointState, plan_copies
from gingervane.writes.shard_placement import ShardPlacement, ShardReplica

OPERATIONS = st.frozensets(st.integers(1, 9), min_size=1)  # versions of operations that a replica has seen
REPLICAS = st.dictionaries(
    st.integers(0, 2), st.dictionaries(st.sampled_from("abcde"), OPERATIONS), min_size=2
)


def state_of(operations: frozenset[int]) -> PointState:
    return PointState(max(operations), len(operations) // 2, sum(1 << version for version in operations))


# Guards against a repair that copies one row over another which ran other operations, or never ends.
@given(REPLICAS, st.integers(1, 6))
@profile(max_examples=200, deadline=None)
def test_repair_brings_each_replica_all_that_any_has_seen(
    replicas: dict[int, dict[str, frozenset[int]]], max_points: int
) -> None:
    names = {point for points in replicas.values() for point in points}
    union = {
        point: frozenset[int]().union(*(points.get(point, ()) for points in replicas.values()))
        for point in names
    }
    for _ in range(40):
        states = {
            replica: {point: state_of(operations) for point, operations in points.items()}
            for replica, points in replicas.items()
        }
        copies, remaining, _ = plan_copies(states, max_points)
        copied = [(copy, point) for copy in copies for point in copy.points]
        assert len(copied) <= max_points or len({point for _, point in copied}) == 1
        for copy, point in copied:
            target = replicas[copy.target]
            target[point] = target.get(point, frozenset()) | replicas[copy.source][point]
        if not copies:
            assert not remaining
            break
    assert all(points == union for points in replicas.values())


def test_missed_writes_are_repaired_within_the_budget() -> None:
    swept_shard, missed_shard = ShardKey("c", 1), ShardKey("c", 2)
    missed = MissedWrites(
        RepairBudget(
            points_per_second=10.0,
            burst_points=20.0,
            sweep_interval=100.0,
            initial_backoff=0.5,
            max_backoff=8.0,
        ),
        [swept_shard, missed_shard],
        0.0,
    )
    missed.add(missed_shard, 0.0)
    assert missed.next_shard(0.1) == swept_shard, "the sweep"
    missed.record_comparison(swept_shard, 0.1, 0, 0, True)
    assert (
        missed.next_shard(0.2) is None
        and missed.next_shard(0.6) == missed_shard
        and missed.capacity(0.6) == 20
    )
    missed.record_comparison(missed_shard, 0.6, 20, 1, False)
    assert missed.next_shard(0.65) is None, "the budget is exhausted"
    assert missed.capacity(1.6) == 10 and missed.next_shard(1.7) == missed_shard and missed.conflicts == 1
    waits, now = [], 1.7
    for _ in range(8):  # a replica that is gone: the intervals grow
        missed.record_comparison(missed_shard, now, 0, 0, False)
        start = now
        while missed.next_shard(now) != missed_shard:
            if missed.next_shard(now) == swept_shard:
                missed.record_comparison(swept_shard, now, 0, 0, True)
            now += 0.25
        waits.append(now - start)
    assert waits[0] <= 1.25 and waits[-1] >= 8.0 and missed.oldest_age(now) == now
    missed.record_comparison(missed_shard, now, 3, 0, True)
    assert not len(missed) and missed.repaired == 1 and missed.points_copied == 23


FULL, DELTA = api.MembershipUpdateKind.FULL, api.MembershipUpdateKind.DELTA
READY, DRAINING, GONE = api.ReplicaState.READY, api.ReplicaState.DRAINING, api.ReplicaState.GONE


def incomplete_after(
    placement: ShardPlacement, kind: api.MembershipUpdateKind, *rows: api.Replica
) -> set[int]:
    addresses = {row.id: ("127.0.0.1", row.id) for row in rows}
    placement.endpoints_updated(EndpointsUpdated(api.MembershipChanged(kind, rows), addresses))
    return placement.incomplete_replicas


def holder(number: int, state: api.ReplicaState = READY, started_at: float = 0.0) -> api.Replica:
    return api.Replica(number, number % 3, 0, 1.0, state, started_at)


# Guards against a new holder that is taken for a complete one: three replacements lost all points (review/6).
def test_a_replica_that_is_new_back_or_restarted_may_lack_points() -> None:
    placement = ShardPlacement(3, 3)
    assert not incomplete_after(placement, FULL, holder(1), holder(2), holder(3)), "the first list is known"
    assert not incomplete_after(placement, DELTA)
    assert incomplete_after(placement, FULL, holder(1), holder(2), holder(4)) == {4}, "replaced"
    assert incomplete_after(placement, DELTA, holder(3)) == {3}, "listed again"
    assert not incomplete_after(placement, DELTA, holder(1, DRAINING))
    assert not incomplete_after(placement, DELTA, holder(2, GONE))
    assert incomplete_after(placement, DELTA, holder(1), holder(2)) == {1, 2}, "back"
    assert incomplete_after(placement, DELTA, holder(2, started_at=5.0)) == {2}, "restarted, perhaps empty"
    assert not incomplete_after(placement, DELTA, holder(2, started_at=5.0))


# Guards against a shard that is not compared for up to a minute after its holder has come back.
def test_a_replica_that_is_back_ends_the_backoff_of_its_shards() -> None:
    shard = ShardKey("c", 1)
    missed = MissedWrites(RepairBudget(initial_backoff=0.5, max_backoff=60.0), [], 0.0)
    missed.add(shard, 0.0)
    for number in range(8):
        missed.record_comparison(shard, float(number), 0, 0, False)
    assert missed.next_shard(8.0) is None
    missed.add(shard, 8.0)
    assert missed.next_shard(8.6) is None, "a further missed write does not end the backoff"
    missed.add_due(shard, 8.0)
    assert missed.next_shard(8.6) == shard


# Guards against additions that are lost as a repair copies one row over another that ran others (review/7).
def test_additions_that_two_replicas_ran_apart_are_all_kept() -> None:
    shards = {replica: Shard(Collection("c", 2, "Dot")) for replica in (0, 1)}
    for shard in shards.values():
        shard.apply("upsert", {"points": [{"id": 1, "vector": [0.0, 1.0], "payload": {"seen": 0}}]}, 1)
    for version in range(2, 8):  # three additions at each, while the other was away
        body = {"points": [1], "payload": {"seen": 1}}
        shards[version % 2].apply("increment_payload", body, version)
    for _ in range(3):
        states = {replica: {"1": PointState(*rank(shard.points[1]))} for replica, shard in shards.items()}
        for copy in plan_copies(states, 10).copies:
            shards[copy.target].put(shards[copy.source].points[1])
    assert [shard.points[1]["payload"]["seen"] for shard in shards.values()] == [6, 6]


def sharded(*operations: tuple[str, dict[str, Any], int]) -> Row:
    """Return the row of point 1 after these operations: kind, body, version."""
    shard = Shard(Collection("c", 2, "Dot"))
    for kind, body, version in operations:
        shard.apply(kind, body, version)
    return shard.points[1]


WRITES = st.one_of(
    st.builds(
        lambda payload: ("upsert", {"points": [{"id": 1, "vector": [0.0, 1.0], "payload": payload}]}),
        st.dictionaries(st.sampled_from("xy"), st.integers(0, 2)),
    ),
    st.builds(
        lambda payload: ("set_payload", {"points": [1], "payload": payload}),
        st.dictionaries(st.sampled_from("xy"), st.integers(0, 2), min_size=1),
    ),
    st.builds(
        lambda payload: ("increment_payload", {"points": [1], "payload": payload}),
        st.dictionaries(st.sampled_from("xy"), st.integers(1, 2), min_size=1),
    ),
    st.just(("delete", {"points": [1]})),
)


# Guards against fields, additions or deletions that are lost by the order in which rows are merged.
@given(st.lists(st.tuples(WRITES, st.booleans(), st.booleans()), max_size=8))
@profile(max_examples=200, deadline=None)
def test_rows_merge_to_the_same_in_any_order(writes: list[tuple[Any, bool, bool]]) -> None:
    first = ("upsert", {"points": [{"id": 1, "vector": [1.0, 0.0], "payload": {"x": 0}}]}, 1)
    seen = {True: [first], False: [first]}
    for version, ((kind, body), by_left, by_right) in enumerate(writes, 2):
        for side, runs in ((True, by_left), (False, by_right)):
            if runs:
                seen[side].append((kind, body, version))
    left, right = sharded(*seen[True]), sharded(*seen[False])
    assert merge(left, right) == merge(right, left)
    assert merge(left, left) == left
    assert merge(merge(left, right), right) == merge(left, right)


def test_two_fields_that_were_set_apart_are_both_kept() -> None:
    first = ("upsert", {"points": [{"id": 1, "vector": [1.0, 0.0], "payload": {}}]}, 1)
    left = sharded(first, ("set_payload", {"points": [1], "payload": {"a": 1}}, 2))
    right = sharded(first, ("set_payload", {"points": [1], "payload": {"b": 2}}, 3))
    assert merge(left, right)["payload"] == {"a": 1, "b": 2}
    older_last = sharded(
        first,
        ("set_payload", {"points": [1], "payload": {"b": 2}}, 3),
        ("set_payload", {"points": [1], "payload": {"a": 1}}, 2),
    )
    assert older_last["payload"] == {"a": 1, "b": 2}, "a newer change of another field drops no older one"


class DrainingClient:
    """A client of replicas; while the first one is asked, another begins to drain."""

    def __init__(self, placement: ShardPlacement) -> None:
        self._placement = placement
        self.asked: list[int] = []

    def point_states(self, replica: ShardReplica, shard: ShardKey) -> dict[str, PointState]:
        self.asked.append(replica.replica)
        incomplete_after(self._placement, DELTA, holder(2, DRAINING))
        return {"1": PointState(replica.replica, 0, 0)}

    def copy_points(
        self, shard: ShardKey, source: ShardReplica, target: ShardReplica, points: tuple[str, ...]
    ) -> int:
        self.asked += [source.replica, target.replica]
        return len(points)


# Guards against requests to a replica that began to drain while the repair waited for another one.
def test_a_repair_leaves_out_a_replica_that_begins_to_drain() -> None:
    shard, placement = ShardKey("c", 0), ShardPlacement(3, 3)
    incomplete_after(placement, FULL, holder(1), holder(2), holder(3))
    client = DrainingClient(placement)
    repairer = Repairer(MissedWrites(RepairBudget(), [], 0.0), placement, 3, client, print)
    comparison = repairer._compare(shard, 100)
    assert client.asked[:2] == [1, 3] and 2 not in client.asked
    assert comparison.copied and not comparison.complete
