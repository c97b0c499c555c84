"""Planning of wide queries: whether to split a query into subtrees, and how. Free of I/O.

Up to the fan-out bound, the leaves are queried directly (a flat plan) unless the cost models predict that a
tree is clearly faster. Above the bound a query is split whatever the models predict. A plan is always flat if
no child is available, or if no level or no attempt remains.

Splits follow the ring of shards, so that the leaves of a subtree share replicas and requests. The position of
each subtree on the ring of co-ordinators differs by query, so that concurrent wide queries do not all load
the same co-ordinator. The decision engine chooses among the co-ordinators that serve a position.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from gingervane.tree.cost import CostModels

TREE_TIME_THRESHOLD = 0.8  # fraction of the flat latency below which a tree is clearly faster
MAX_TRAIL_LENGTH = 16  # names in a trail; a query with a longer one is rejected
_MAX_PLANNED_LEVELS = 3  # levels of co-ordinators that count when the reach of a child is computed

# Fractions of the remaining time that are reserved for querying missing leaves directly.
_MIN_FALLBACK_SHARE = 1 / 8
_TIGHT_FALLBACK_SHARE = 1 / 4
_MAX_FALLBACK_SHARE = 1 / 2


class TreeLimits(NamedTuple):
    """Bounds on the tree of co-ordinators."""

    fan_out: int  # leaves that one co-ordinator queries directly
    levels: int  # of co-ordinators below a root
    ring_size: int  # positions on the ring of co-ordinators
    placement_width: int  # consecutive positions, from a subtree's own on, whose co-ordinators may serve it
    leaf_attempts: int  # attempts that may run at a leaf for one part of a root's query, over all paths


class QueryTask(NamedTuple):
    """A query as received by a co-ordinator."""

    leaves: tuple[str, ...]
    seconds_left: float  # until the answer must be written
    levels: int  # of co-ordinators allowed below this one
    attempts: int  # that may run for each leaf
    trail: tuple[str, ...] = ()  # names of the co-ordinators above, root first


class Subtree(NamedTuple):
    """Leaves for one child, and its position on the ring of co-ordinators."""

    leaves: tuple[str, ...]
    ring_position: int


class SubtreePlan(NamedTuple):
    """The subtrees of a query; none for a flat plan. `reason` explains the choice in logs and tests."""

    subtrees: tuple[Subtree, ...]
    reason: str


class TaskRejectedError(Exception):
    """A task is rejected: `is_loop` for a cycle or too many levels, otherwise for lack of time."""

    def __init__(self, detail: str, is_loop: bool) -> None:
        super().__init__(detail)
        self.is_loop = is_loop


def admit(task: QueryTask, name: str, limits: TreeLimits, costs: CostModels) -> None:
    """Check that the co-ordinator `name` may and can run a task. Raises TaskRejectedError if not."""
    if name in task.trail:
        raise TaskRejectedError(f"a cycle: {name!r} is above itself in {'/'.join(task.trail)}", True)
    if len(task.trail) > MAX_TRAIL_LENGTH or task.levels > limits.levels:
        raise TaskRejectedError(f"{task.levels} levels below here, {limits.levels} at most", True)
    # With less than half of the expected latency of the cheapest plan, even a fast answer would be too late.
    required_seconds = min(costs.flat_seconds(len(task.leaves)), costs.flat_seconds(limits.fan_out)) / 2
    if task.trail and costs.flat.is_reliable and task.seconds_left < required_seconds:
        raise TaskRejectedError(
            f"{task.seconds_left:.3f} s left, about {2 * required_seconds:.3f} s needed", False
        )


class PeerCoordinators(NamedTuple):
    """The other listed co-ordinators: the ring position of each by its name, and which are ready."""

    ring_positions: dict[str, int]
    ready: frozenset[str]


def available_positions(peers: PeerCoordinators, trail: Sequence[str], limits: TreeLimits) -> list[int]:
    """Return the ring positions served by a ready co-ordinator and by none in the trail.

    A subtree sent to such a position cannot reach a co-ordinator above again.
    """
    excluded = {peers.ring_positions[name] for name in trail if name in peers.ring_positions}
    ready = {peers.ring_positions[name] for name in peers.ready}
    available = []
    for position in range(limits.ring_size):
        serving = {
            (position + offset) % limits.ring_size
            for offset in range(min(limits.placement_width, limits.ring_size))
        }
        if not serving & excluded and serving & ready:
            available.append(position)
    return available


def plan_query(
    task: QueryTask, positions: Sequence[int], rotation: int, limits: TreeLimits, costs: CostModels
) -> SubtreePlan:
    """Return a flat plan, or one with subtrees at the available `positions`.

    `rotation`: a number that differs by query and spreads the subtrees of concurrent queries over the ring.
    """
    leaves = task.leaves
    if task.levels <= 0 or not positions or len(leaves) < 2:
        return SubtreePlan((), "no level or no child left")
    if task.attempts < 1:
        return SubtreePlan((), "no attempt left")
    if len(leaves) <= limits.fan_out:
        faster_count = _faster_subtree_count(len(leaves), len(positions), costs)
        if faster_count is None:
            return SubtreePlan((), "within the fan-out bound")
        count = faster_count
        reason = "a tree is clearly faster"
    else:
        count = _required_subtree_count(task, len(positions), limits)
        reason = "past the fan-out bound"
    count = min(count, len(leaves), limits.fan_out)
    return SubtreePlan(split_leaves(leaves, count, rotation, positions), reason)


def _faster_subtree_count(leaves: int, positions: int, costs: CostModels) -> int | None:
    """Return the number of subtrees of the fastest tree; None if a flat plan is about as fast."""
    if not (costs.flat.is_reliable and costs.subtree.is_reliable):
        return None
    best = min(range(2, max(positions, 2) + 1), key=lambda count: costs.tree_seconds(leaves, count))
    if positions < 2 or costs.tree_seconds(leaves, best) >= TREE_TIME_THRESHOLD * costs.flat_seconds(leaves):
        return None
    return best


def _required_subtree_count(task: QueryTask, positions: int, limits: TreeLimits) -> int:
    """Return the number of subtrees above the fan-out bound.

    Each subtree must be within reach of a child and its levels, and there are at least two, to share the
    work. Up to the number of positions, more subtrees are used so that each stays within a child's own
    fan-out bound.
    """
    leaves = len(task.leaves)
    child_reach = (
        limits.fan_out if task.levels == 1 else limits.fan_out ** min(task.levels, _MAX_PLANNED_LEVELS)
    )
    return max(-(-leaves // child_reach), 2, min(positions, -(-leaves // limits.fan_out)))


def split_leaves(
    leaves: Sequence[str], count: int, rotation: int, positions: Sequence[int]
) -> tuple[Subtree, ...]:
    """Split leaves into `count` runs whose lengths differ by at most one, spread over the ring."""
    subtrees = []
    start = 0
    for index in range(count):
        size = (len(leaves) - start) // (count - index)
        position = positions[(rotation + index * len(positions) // count) % len(positions)]
        subtrees.append(Subtree(tuple(leaves[start : start + size]), position))
        start += size
    return tuple(subtrees)


class TimeSplit(NamedTuple):
    """The remaining time at a level: for subtrees to answer, then for querying missing leaves directly."""

    subtree_seconds: float
    fallback_seconds: float


def split_time(seconds_left: float, largest_subtree: int, costs: CostModels) -> TimeSplit:
    """Reserve enough of the remaining time to query the leaves of the largest subtree directly if it fails.

    If that takes at least half of the remaining time, the subtree still gets three quarters of it: an answer
    that is too late because its leaves were queried again is worth no more than no answer.
    """
    if costs.flat.is_reliable:
        needed_seconds = costs.flat.likely_seconds(largest_subtree)
    else:
        needed_seconds = seconds_left * _TIGHT_FALLBACK_SHARE
    max_share = _TIGHT_FALLBACK_SHARE if needed_seconds >= seconds_left / 2 else _MAX_FALLBACK_SHARE
    fallback_seconds = min(max(needed_seconds, seconds_left * _MIN_FALLBACK_SHARE), seconds_left * max_share)
    return TimeSplit(seconds_left - fallback_seconds, fallback_seconds)
