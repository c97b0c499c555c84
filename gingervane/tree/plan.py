"""Whether a query is cut into subtrees, and how. Free of I/O.

Flat is used where it is better: within the fan-out bound unless the measured models say that a tree is clearly
faster, and always where no child is sound, no level is left, or too little time is. Past the bound a query is cut,
however the models look, as long as somebody can take the subtrees.

Cuts follow the ring of shards, so that a subtree's leaves share holders and calls, and each subtree has a place on
the ring of co-ordinators that differs by query: concurrent wide queries do not pile on one middle. Which of the
co-ordinators at that place takes it is the decision module's choice, not made here.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from gingervane.tree.cost import CostModels

TREE_TIME_THRESHOLD = 0.8  # of the flat time: a tree below it is clearly faster
MAX_TRAIL_LENGTH = 16  # names in a trail, past which a query is refused


class TreeLimits(NamedTuple):
    """`fan_out`: leaves that one co-ordinator asks itself; `levels`: of co-ordinators below a root."""

    fan_out: int
    levels: int
    ring_size: int  # places on the ring of co-ordinators
    placement_width: int  # co-ordinators that hold a place: those at it and at the next ones
    leaf_attempts: int  # attempts that may run at a leaf for one part of a root's query, over all paths


class QueryTask(NamedTuple):
    """A query as a co-ordinator was handed it. `levels`: of co-ordinators that may still stand below this one.

    `attempts`: those that may run for one leaf below here. `trail`: names of the co-ordinators above, root first.
    """

    leaves: tuple[str, ...]
    seconds_left: float  # seconds until the answer must be written
    levels: int
    attempts: int
    trail: tuple[str, ...] = ()


class Subtree(NamedTuple):
    """Leaves for one child, and its place on the ring of co-ordinators."""

    leaves: tuple[str, ...]
    ring_position: int


class SubtreePlan(NamedTuple):
    """No subtrees: ask the leaves directly. `why` is for logs and tests."""

    subtrees: tuple[Subtree, ...]
    reason: str


class Rejection(Exception):
    """A task that must not be taken: `loop` for a cycle or runaway depth, else for want of time."""

    def __init__(self, what: str, loop: bool) -> None:
        super().__init__(what)
        self.is_loop = loop


def admit(task: QueryTask, name: str, limits: TreeLimits, costs: CostModels) -> None:
    """Refuse at once what cannot or must not be done. Raises Refusal."""
    if name in task.trail:
        raise Rejection(f"a cycle: {name!r} is above itself in {'/'.join(task.trail)}", True)
    if len(task.trail) > MAX_TRAIL_LENGTH or task.levels > limits.levels:
        raise Rejection(f"{task.levels} levels below here, {limits.levels} at most", True)
    # Half of the usual time of the cheapest way: under it even a lucky answer comes too late.
    least = min(costs.flat_seconds(len(task.leaves)), costs.flat_seconds(limits.fan_out)) / 2
    if task.trail and costs.flat.is_reliable and task.seconds_left < least:
        raise Rejection(f"{task.seconds_left:.3f} s left, about {2 * least:.3f} s needed", False)


class PeerCoordinators(NamedTuple):
    """Other co-ordinators, as the list has them: the place of each on the ring by its name, and who is ready."""

    ring_positions: dict[str, int]
    ready: frozenset[str]


def available_positions(peers: PeerCoordinators, trail: Sequence[str], limits: TreeLimits) -> list[int]:
    """Places that no co-ordinator above holds and that somebody ready does: a subtree sent to one of them cannot
    come back to where it came from."""
    barred = {peers.ring_positions[name] for name in trail if name in peers.ring_positions}
    held = {peers.ring_positions[name] for name in peers.ready}
    out = []
    for place in range(limits.ring_size):
        holders = {
            (place + j) % limits.ring_size for j in range(min(limits.placement_width, limits.ring_size))
        }
        if not holders & barred and holders & held:
            out.append(place)
    return out


def plan_query(
    task: QueryTask, free: Sequence[int], spin: int, limits: TreeLimits, costs: CostModels
) -> SubtreePlan:
    """Flat, or subtrees at `free` places of the ring. `spin`: a number that differs by query."""
    leaves, sound = task.leaves, len(free)
    if task.levels <= 0 or not free or len(leaves) < 2:
        return SubtreePlan((), "no level or no child left")
    if task.attempts < 1:
        return SubtreePlan((), "no attempt left")
    known = costs.flat.is_reliable and costs.subtree.is_reliable
    if len(leaves) <= limits.fan_out:
        if not known:
            return SubtreePlan((), "within the fan-out bound")
        best = min(range(2, max(sound, 2) + 1), key=lambda k: costs.tree_seconds(len(leaves), k))
        if sound < 2 or costs.tree_seconds(len(leaves), best) >= TREE_TIME_THRESHOLD * costs.flat_seconds(
            len(leaves)
        ):
            return SubtreePlan((), "within the fan-out bound")
        count, why = best, "a tree is clearly faster"
    else:
        # As few subtrees as keep each within a child's own bound, but no fewer than two, to share the work.
        reach = limits.fan_out if task.levels == 1 else limits.fan_out ** min(task.levels, 3)
        count = max(-(-len(leaves) // reach), 2, min(sound, -(-len(leaves) // limits.fan_out)))
        why = "past the fan-out bound"
    count = min(count, len(leaves), limits.fan_out)
    return SubtreePlan(split_leaves(leaves, count, spin, free), why)


def split_leaves(leaves: Sequence[str], count: int, spin: int, free: Sequence[int]) -> tuple[Subtree, ...]:
    """Leaves in `count` runs whose lengths differ by one at most, on free places as far apart as may be."""
    out, at = [], 0
    for index in range(count):
        size = (len(leaves) - at) // (count - index)
        place = free[(spin + index * len(free) // count) % len(free)]
        out.append(Subtree(tuple(leaves[at : at + size]), place))
        at += size
    return tuple(out)


class TimeSplit(NamedTuple):
    """How the time left at a level is used: until `branch` subtrees may answer; the rest is for asking around."""

    subtree_seconds: float
    fallback_seconds: float


def split_time(left: float, largest: int, costs: CostModels) -> TimeSplit:
    """Split the time left: enough at the end to ask the largest subtree's leaves directly, if it is lost.

    Where that and a subtree do not both fit, the subtree gets three quarters: an answer that is late by re-cutting
    is worth no more than one that never came.
    """
    need = costs.flat.likely_seconds(largest) if costs.flat.is_reliable else left / 4
    recut = min(max(need, left / 8), left / 4 if need >= left / 2 else left / 2)
    return TimeSplit(left - recut, recut)
