"""Planning of wide queries: whether to split a query into subtrees, and how. Free of I/O.

Leaves are asked directly (a flat plan) where that is better: within the fan-out bound unless the measured models say
that a tree is clearly faster, and always where no child is ready, no level is left, or too little time is. Past the
bound a query is split, whatever the models say, as long as a child can take the subtrees.

Splits follow the ring of shards, so that the leaves of a subtree share replicas and requests. Each subtree gets a
position on the ring of co-ordinators that differs by query, so that concurrent wide queries do not all load one
co-ordinator. Which of the co-ordinators at that position takes it is the decision engine's choice, not made here.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from gingervane.tree.cost import CostModels

TREE_TIME_THRESHOLD = 0.8  # of the flat latency, under which a tree is clearly faster
MAX_TRAIL_LENGTH = 16  # names in a trail, past which a query is rejected
_MAX_PLANNED_LEVELS = 3  # levels whose reach counts in the number of subtrees

# Parts of the time left that are kept for asking leaves directly.
_MIN_FALLBACK_SHARE = 1 / 8
_TIGHT_FALLBACK_SHARE = 1 / 4
_MAX_FALLBACK_SHARE = 1 / 2


class TreeLimits(NamedTuple):
    """Bounds of the tree of co-ordinators."""

    fan_out: int  # leaves that one co-ordinator asks directly
    levels: int  # of co-ordinators below a root
    ring_size: int  # positions on the ring of co-ordinators
    placement_width: int  # positions whose co-ordinators may take a subtree: its own and the next ones
    leaf_attempts: int  # attempts that may run at a leaf for one part of a root's query, over all paths


class QueryTask(NamedTuple):
    """A query as a co-ordinator received it."""

    leaves: tuple[str, ...]
    seconds_left: float  # until the answer must be written
    levels: int  # of co-ordinators that may still stand below this one
    attempts: int  # that may run for each leaf below here
    trail: tuple[str, ...] = ()  # names of the co-ordinators above, root first


class Subtree(NamedTuple):
    """Leaves for one child, and its position on the ring of co-ordinators."""

    leaves: tuple[str, ...]
    ring_position: int


class SubtreePlan(NamedTuple):
    """The subtrees of a query; none for a flat plan. `reason` is for logs and tests."""

    subtrees: tuple[Subtree, ...]
    reason: str


class TaskRejectedError(Exception):
    """A task that must not be taken: `is_loop` for a cycle or runaway depth, else for lack of time."""

    def __init__(self, detail: str, is_loop: bool) -> None:
        super().__init__(detail)
        self.is_loop = is_loop


def admit(task: QueryTask, name: str, limits: TreeLimits, costs: CostModels) -> None:
    """Reject at once what cannot or must not be done by the co-ordinator `name`. Raises TaskRejectedError."""
    if name in task.trail:
        raise TaskRejectedError(f"a cycle: {name!r} is above itself in {'/'.join(task.trail)}", True)
    if len(task.trail) > MAX_TRAIL_LENGTH or task.levels > limits.levels:
        raise TaskRejectedError(f"{task.levels} levels below here, {limits.levels} at most", True)
    # Half of the usual latency of the cheapest plan: under it even a lucky answer comes too late.
    required = min(costs.flat_seconds(len(task.leaves)), costs.flat_seconds(limits.fan_out)) / 2
    if task.trail and costs.flat.is_reliable and task.seconds_left < required:
        raise TaskRejectedError(f"{task.seconds_left:.3f} s left, about {2 * required:.3f} s needed", False)


class PeerCoordinators(NamedTuple):
    """The other listed co-ordinators: the ring position of each by its name, and which are ready."""

    ring_positions: dict[str, int]
    ready: frozenset[str]


def available_positions(peers: PeerCoordinators, trail: Sequence[str], limits: TreeLimits) -> list[int]:
    """Return the ring positions that a ready co-ordinator serves and none of the trail does.

    A subtree sent to one of them cannot come back to a co-ordinator above.
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
    """Plan a query, flat or as subtrees at the available `positions`.

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
    """Return the number of subtrees that is clearly faster than a flat plan; None if none is."""
    if not (costs.flat.is_reliable and costs.subtree.is_reliable):
        return None
    best = min(range(2, max(positions, 2) + 1), key=lambda count: costs.tree_seconds(leaves, count))
    if positions < 2 or costs.tree_seconds(leaves, best) >= TREE_TIME_THRESHOLD * costs.flat_seconds(leaves):
        return None
    return best


def _required_subtree_count(task: QueryTask, positions: int, limits: TreeLimits) -> int:
    """Return the number of subtrees past the fan-out bound.

    As few as keep each within a child's own bound, but no fewer than two, to share the work.
    """
    leaves = len(task.leaves)
    child_reach = (
        limits.fan_out if task.levels == 1 else limits.fan_out ** min(task.levels, _MAX_PLANNED_LEVELS)
    )
    return max(-(-leaves // child_reach), 2, min(positions, -(-leaves // limits.fan_out)))


def split_leaves(
    leaves: Sequence[str], count: int, rotation: int, positions: Sequence[int]
) -> tuple[Subtree, ...]:
    """Split leaves into `count` runs whose lengths differ by one at most, at positions spread over the ring."""
    subtrees = []
    start = 0
    for index in range(count):
        size = (len(leaves) - start) // (count - index)
        position = positions[(rotation + index * len(positions) // count) % len(positions)]
        subtrees.append(Subtree(tuple(leaves[start : start + size]), position))
        start += size
    return tuple(subtrees)


class TimeSplit(NamedTuple):
    """The time left at a level: for subtrees to answer, and then for asking missing leaves directly."""

    subtree_seconds: float
    fallback_seconds: float


def split_time(seconds_left: float, largest_subtree: int, costs: CostModels) -> TimeSplit:
    """Keep enough of the time left to ask the leaves of the largest subtree directly, if it is lost.

    Where that and a subtree do not both fit, the subtree gets three quarters: an answer that is late because its
    leaves were asked again is worth no more than none.
    """
    if costs.flat.is_reliable:
        needed = costs.flat.likely_seconds(largest_subtree)
    else:
        needed = seconds_left * _TIGHT_FALLBACK_SHARE
    maximum = _TIGHT_FALLBACK_SHARE if needed >= seconds_left / 2 else _MAX_FALLBACK_SHARE
    fallback = min(max(needed, seconds_left * _MIN_FALLBACK_SHARE), seconds_left * maximum)
    return TimeSplit(seconds_left - fallback, fallback)
