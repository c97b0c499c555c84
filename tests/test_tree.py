"""Wide queries: properties of planner, coverage, quota and cost models; all orders of events of a query."""

from __future__ import annotations

import base64
import copy
from collections.abc import Iterator, Sequence
from itertools import combinations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gingervane.coordinator.types import QueryStatus
from gingervane.interface import RetrySafety
from gingervane.tree import coverage
from gingervane.tree.attempt_quota import AttemptQuota
from gingervane.tree.cost import CostModels, LinearModel
from gingervane.tree.coverage import CoverageError, LeafCoverage
from gingervane.tree.plan import (
    PeerCoordinators,
    QueryTask,
    Subtree,
    SubtreePlan,
    TaskRejectedError,
    TreeLimits,
    admit,
    available_positions,
    plan_query,
    split_time,
)
from gingervane.tree.wide_query import (
    CancelSubquery,
    CompletionRules,
    ExecutionUse,
    QueryLeaves,
    QuerySubtree,
    SubqueryOutcome,
    WideQuery,
    WideQueryResult,
    total_attempts_used,
)

LIMITS = TreeLimits(fan_out=4, levels=2, ring_size=6, placement_width=2, leaf_attempts=3)
names = st.lists(
    st.text(st.characters(codec="utf-8", exclude_characters="|"), min_size=1, max_size=4),
    unique=True,
    max_size=40,
).map(sorted)


@given(names, st.data())
def test_coverage_survives_encoding_and_decoding(requested: list[str], data: st.DataObject) -> None:
    received = {name: data.draw(st.integers(0, 3)) for name in requested if data.draw(st.booleans())}
    bitmap, counts = coverage.encode(requested, received)
    assert coverage.decode(requested, bitmap, counts) == received
    series_leaves = [name for name, count in received.items() for _ in range(count)]
    coverage.verify(received, series_leaves)
    if series_leaves:
        for wrong_leaves in (series_leaves[1:], [*series_leaves, series_leaves[0]], [*series_leaves, "|"]):
            with pytest.raises(CoverageError):
                coverage.verify(received, wrong_leaves)


@given(names, st.binary(max_size=8), st.text(max_size=12))
def test_any_reported_coverage_is_decoded_or_rejected(requested: list[str], bits: bytes, counts: str) -> None:
    for bitmap in (bits.hex(), base64.b64encode(bits).decode()):
        try:
            received = coverage.decode(requested, bitmap, counts)
        except CoverageError:
            continue
        assert set(received) <= set(requested)


def test_invalid_coverage_is_rejected() -> None:
    requested = ["a", "b", "c"]
    for bitmap, counts, error in (
        ("!", "", "base64"),
        ("Bw==", "1.1", "2 for 3"),
        ("Dw==", "1x4", "past the last"),
        ("Bwc=", "1x3", "2 bytes"),
        ("Bw==", "1x4", "more than"),
        ("Bw==", "1.-1.1", "no run"),
        ("Bw==", "9999999999x3", "no run"),
    ):
        with pytest.raises(CoverageError, match=error):
            coverage.decode(requested, bitmap, counts)
    with pytest.raises(CoverageError, match="not asked for"):
        coverage.leaves_with_series(requested, ["a", "z"])
    assert coverage.leaves_with_series(requested, ["a", "a"]) == {
        "a": 2
    }, "a leaf without series is not proved to be covered"


@given(st.lists(st.sets(st.integers(0, 9)), max_size=8), st.integers(1, 10))
def test_the_share_is_a_sum_over_leaves(answers: list[set[int]], count: int) -> None:
    leaves = [f"l{i}" for i in range(count)]
    total = LeafCoverage({name: (i + 1) / sum(range(1, count + 1)) for i, name in enumerate(leaves)})
    seen: set[str] = set()
    for source, answer in enumerate(answers):
        received = {f"l{i}" for i in answer}
        new = total.add(source, received)
        assert new == (received & set(leaves)) - seen, "each requested leaf once, and no other leaf"
        seen |= new
    assert total.share == pytest.approx(
        sum((i + 1) for i in range(count) if f"l{i}" in seen) / sum(range(1, count + 1))
    )
    assert total.complete == (len(seen) == count) and total.missing_leaves() == [
        n for n in leaves if n not in seen
    ]


tasks = st.builds(
    QueryTask,
    st.integers(0, 200).map(lambda n: tuple(f"t{i:03d}" for i in range(n))),
    st.floats(0.01, 10.0),
    st.integers(0, 3),
    st.integers(0, 3),
    st.just(()),
)
costs = st.lists(st.tuples(st.integers(1, 80), st.floats(0.001, 1.0), st.floats(0.001, 1.0)), max_size=30)


@given(tasks, st.lists(st.integers(0, 5), unique=True).map(sorted), st.integers(0, 99), costs)
def test_a_split_is_a_partition_within_bounds(
    task: QueryTask, positions: list[int], rotation: int, latencies: list[tuple[int, float, float]]
) -> None:
    cost_models = CostModels()
    for leaves, flat, subtree in latencies:
        cost_models.flat.record(leaves, flat)
        cost_models.subtree.record(leaves, subtree)
    plan = plan_query(task, positions, rotation, LIMITS, cost_models)
    if not plan.subtrees:
        assert task.levels == 0 or not positions or len(task.leaves) <= LIMITS.fan_out or task.attempts < 1
        return
    assert task.levels > 0 and task.attempts > 0
    assert [leaf for subtree in plan.subtrees for leaf in subtree.leaves] == list(task.leaves)
    sizes = [len(subtree.leaves) for subtree in plan.subtrees]
    assert 2 <= len(sizes) <= LIMITS.fan_out and min(sizes) >= 1 and max(sizes) - min(sizes) <= 1
    assert all(subtree.ring_position in positions for subtree in plan.subtrees)
    if len(task.leaves) <= LIMITS.fan_out:  # a split within the bound: then a tree must be faster
        best = min(cost_models.tree_seconds(len(task.leaves), k) for k in range(2, len(task.leaves) + 1))
        assert best <= cost_models.flat_seconds(len(task.leaves))


def test_wide_queries_of_many_roots_spread_over_the_ring() -> None:
    task = QueryTask(tuple(f"t{i}" for i in range(16)), 4.0, 2, 3)
    load = [0] * 6
    for rotation in range(60):
        for subtree in plan_query(task, range(6), rotation, LIMITS, CostModels()).subtrees:
            load[subtree.ring_position] += 1
    assert max(load) == min(load)


@given(
    st.dictionaries(st.sampled_from("abcdefgh"), st.integers(0, 5)),
    st.sets(st.sampled_from("abcdefgh")),
    st.lists(st.sampled_from("abcdefghz"), max_size=4),
)
def test_no_available_position_leads_back_to_the_trail(
    ring_positions: dict[str, int], ready: set[str], trail: list[str]
) -> None:
    peers = PeerCoordinators(ring_positions, frozenset(ready & set(ring_positions)))
    for position in available_positions(peers, trail, LIMITS):
        serving = {
            n
            for n, at in ring_positions.items()
            if (at - position) % LIMITS.ring_size < LIMITS.placement_width
        }
        assert not serving & set(trail) and serving & ready


def test_inadmissible_tasks_are_rejected() -> None:
    cost_models = CostModels()
    for _ in range(20):
        cost_models.flat.record(4, 0.1)
    task = QueryTask(("a", "b", "c", "d"), 1.0, 1, 1, ("r", "m"))
    admit(task, "x", LIMITS, cost_models)
    for rejected_task, name, is_cycle in (
        (task, "m", True),
        (task._replace(levels=3), "x", True),
        (task._replace(seconds_left=0.02), "x", False),
        (task._replace(trail=tuple("abcdefghijklmnopq")), "x", True),
    ):
        with pytest.raises(TaskRejectedError) as caught:
            admit(rejected_task, name, LIMITS, cost_models)
        assert caught.value.is_loop == is_cycle


@given(st.lists(st.tuples(st.integers(1, 60), st.floats(0, 0.01)), min_size=12, max_size=60))
def test_the_cost_model_learns_a_line(points: list[tuple[int, float]]) -> None:
    model = LinearModel()
    for leaves, noise in points:
        model.record(leaves, 0.05 + 0.002 * leaves + noise)
    low, high = min(n for n, _ in points), max(n for n, _ in points)
    for leaves in (low, high):
        assert 0.05 + 0.002 * leaves - 0.02 <= model.expected_seconds(leaves) <= 0.05 + 0.002 * leaves + 0.03
        assert model.likely_seconds(leaves) >= model.expected_seconds(leaves) - 1e-9


@given(st.floats(0.01, 30.0), st.integers(1, 100), st.one_of(st.none(), st.floats(0.001, 20.0)))
def test_time_is_split_within_what_is_left(
    seconds_left: float, largest_subtree: int, usual_seconds: float | None
) -> None:
    cost_models = CostModels()
    for _ in range(10 if usual_seconds else 0):
        cost_models.flat.record(largest_subtree, usual_seconds or 0.0)
    share = split_time(seconds_left, largest_subtree, cost_models)
    assert (
        share.subtree_seconds > 0
        and share.fallback_seconds > 0
        and share.subtree_seconds + share.fallback_seconds == pytest.approx(seconds_left)
    )
    assert share.subtree_seconds >= seconds_left / 2 - 1e-9


reported_uses = st.one_of(st.none(), st.integers(0, 6))


@given(st.integers(1, 5), st.lists(st.tuples(st.booleans(), reported_uses), max_size=8))
def test_grants_never_exceed_the_quota(max_attempts: int, subqueries: list[tuple[bool, int | None]]) -> None:
    quota, ran = AttemptQuota(("a", "b"), max_attempts), 0
    for subquery_id, (last, used) in enumerate(subqueries):
        offered = quota.offer(("a", "b"), last)
        if not offered:
            with pytest.raises(ValueError):
                quota.reserve(subquery_id, ("a",), 1)
            break
        quota.reserve(subquery_id, ("a", "b"), offered)
        executed = offered if used is None else min(used, offered)  # the most that the child may execute
        ran += executed
        quota.release(subquery_id, used)
        assert ran <= quota.max_used <= max_attempts


def test_total_attempts_used() -> None:
    not_executed = (ExecutionUse(2, True, None), ExecutionUse(1, True, None))
    assert total_attempts_used(not_executed) == (0, True)
    assert total_attempts_used([ExecutionUse(2, False, None), ExecutionUse(1, False, 1)]) == (3, False)
    assert total_attempts_used([ExecutionUse(2, False, 1)]) == (1, False)
    assert total_attempts_used([ExecutionUse(2, False, 9)]) == (2, False)


# ---- all orders of events of one query

LEAVES = ("a", "b", "c")
PLAN = SubtreePlan((Subtree(("a", "b"), 0), Subtree(("c",), 1)), "test")
OUTCOMES = ("all", "none", "not executed", "rejected", "wrong leaf")


class QueryRun:
    """A query at two levels, with the leaves that were returned and the attempts that were executed."""

    def __init__(self, rules: CompletionRules, attempts: int) -> None:
        task = QueryTask(LEAVES, 4.0, 1, attempts)
        self.query, self.rules, self.now = WideQuery(task, rules, LIMITS, CostModels(), PLAN), rules, 0.0
        self.in_flight: dict[int, tuple[tuple[str, ...], int]] = {}
        self.returned_leaves: set[str] = set()
        self.ran = dict.fromkeys(LEAVES, 0)
        self.results: list[WideQueryResult] = []
        self.direct_queries = 0
        self.execute(self.query.start(0.0))

    def execute(self, actions: Sequence[object]) -> None:
        for action in actions:
            assert not self.results, "an action after the result"
            match action:
                case QuerySubtree(subquery_id, subtree, seconds, runs):
                    assert 0 < seconds < 4.0
                    self.in_flight[subquery_id] = subtree.leaves, sum(runs)
                case QueryLeaves(subquery_id, leaves, seconds, granted):
                    ran = any(self.ran[leaf] for leaf in leaves)
                    assert self.rules.retry_safety is RetrySafety.IDEMPOTENT or not ran
                    assert seconds <= 4.0 - self.now
                    self.in_flight[subquery_id] = leaves, granted
                    self.direct_queries += 1
                case CancelSubquery(subquery_id):
                    del self.in_flight[subquery_id]
                case WideQueryResult():
                    self.results.append(action)

    def possible_events(self) -> Iterator[tuple[str, int, tuple[str, ...]]]:
        for subquery_id, (leaves, _) in self.in_flight.items():
            for outcome_kind in OUTCOMES:
                yield outcome_kind, subquery_id, leaves
            for size in range(1, len(leaves)):
                for part in combinations(leaves, size):
                    yield "some", subquery_id, part
        yield "expire", 0, ()
        yield "disconnect", 0, ()

    def apply(self, kind: str, subquery_id: int, part: tuple[str, ...]) -> None:
        self.now += 0.1
        if kind == "expire":
            self.now = 4.0
            self.execute(list(self.query.expire(self.now)))
            assert self.results, "no result at the deadline"
            return
        if kind == "disconnect":
            self.execute(list(self.query.client_disconnected()))
            return
        leaves, granted = self.in_flight.pop(subquery_id)
        received = frozenset(part if kind in ("all", "some") else ())
        if kind == "not executed" or kind == "rejected":
            outcome = SubqueryOutcome(never_executed=True, retry_after=0.5 if kind == "rejected" else None)
        else:  # a child that does not report its use may have used all attempts
            used = 1 if kind in ("all", "some") else None
            outcome = SubqueryOutcome(received if kind != "wrong leaf" else frozenset({"z"}), used)
            for leaf in leaves:
                self.ran[leaf] += granted if used is None else used
        self.returned_leaves |= received
        self.execute(list(self.query.subquery_finished(self.now, subquery_id, outcome)))

    def check(self, attempts: int) -> None:
        assert len(self.results) <= 1
        assert all(count <= attempts for count in self.ran.values()), "more attempts ran than were granted"
        for final in self.results:
            share = len(self.returned_leaves) / len(LEAVES)
            assert final.share <= share + 1e-9, "the share exceeds the returned leaves"
            assert final.status is not QueryStatus.COMPLETE or self.returned_leaves == set(LEAVES)
            enough = final.share >= self.rules.required_share - 1e-9 or self.rules.accepts_any_share
            assert final.status is not QueryStatus.PARTIAL or enough
            assert set(final.missing) >= set(LEAVES) - self.returned_leaves
            ran = any(self.ran.values())
            assert (
                final.status is not QueryStatus.REJECTED
                or self.rules.retry_safety is RetrySafety.IDEMPOTENT
                or not ran
            )
            assert not self.in_flight
        assert self.results or self.in_flight, "neither a result nor a subquery in flight"


@pytest.mark.parametrize("retry_safety", [RetrySafety.IDEMPOTENT, RetrySafety.NOT_IDEMPOTENT])
@pytest.mark.parametrize("required_share,accepts_any_share", [(1.0, False), (0.6, False), (1.0, True)])
@pytest.mark.parametrize("attempts", [1, 2, 3])
def test_every_order_of_events_of_one_query(
    retry_safety: RetrySafety, required_share: float, accepts_any_share: bool, attempts: int
) -> None:
    start = QueryRun(CompletionRules(retry_safety, required_share, accepts_any_share), attempts)
    pending, explored, final_statuses = [start], 0, set[QueryStatus]()
    while pending:
        run = pending.pop()
        run.check(attempts)
        explored += 1
        if run.results:
            final_statuses.add(run.results[0].status)
            continue
        for kind, subquery_id, part in run.possible_events():
            following = copy.deepcopy(run)
            following.apply(kind, subquery_id, tuple(part))
            pending.append(following)
    assert explored > 100 and {QueryStatus.COMPLETE, QueryStatus.CLIENT_DISCONNECTED} <= final_statuses
    assert (QueryStatus.PARTIAL in final_statuses) == (required_share < 1.0 or accepts_any_share)
    assert (QueryStatus.FAILED in final_statuses) == (retry_safety is RetrySafety.NOT_IDEMPOTENT)


def test_direct_queries_are_sent_in_groups() -> None:
    leaves = tuple(f"t{i}" for i in range(11))
    plan = SubtreePlan((Subtree(leaves[:10], 0), Subtree(leaves[10:], 1)), "test")
    query = WideQuery(
        QueryTask(leaves, 4.0, 1, 3), CompletionRules(RetrySafety.IDEMPOTENT, 1.0), LIMITS, CostModels(), plan
    )
    first, _ = query.start(0.0)
    assert isinstance(first, QuerySubtree)
    direct_queries = query.subquery_finished(
        0.1, first.subquery_id, SubqueryOutcome(never_executed=True, retry_after=0.2)
    )
    groups = [action.leaves for action in direct_queries if isinstance(action, QueryLeaves)]
    assert [len(group) for group in groups] == [4, 4, 2] and sum(groups, ()) == leaves[:10]
