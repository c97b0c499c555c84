"""The endpoint list, the watch that brings it, and what the size of the fleet costs."""

from __future__ import annotations

import sys

import pytest
from decision_helpers import part_of
from hosts import BASE, Host, replica

from gingervane import interface as api
from gingervane.interface import MembershipUpdateKind, ReplicaState


@pytest.mark.parametrize("state", [ReplicaState.DRAINING, ReplicaState.GONE])
def test_nothing_goes_to_what_drains_or_is_gone(state: ReplicaState) -> None:
    host = Host()
    host.members(MembershipUpdateKind.DELTA, replica(10, state=state))
    for _ in range(9):
        host.query(0)
    host.wait(5.0)  # copies and retries too; the host raises on a broken rule
    assert all(where != 10 for made in host.sends.values() for _, where in made)


def test_what_a_full_list_leaves_out_is_gone() -> None:
    host = Host()
    host.members(MembershipUpdateKind.FULL, replica(11))
    assert host.where(part_of(host, host.query(0))) == 11


def test_empty_list_refuses_at_once() -> None:
    host = Host(replicas=0)
    assert isinstance(host.ended[host.query(0)], api.Reject)


def pauses(host: Host, count: int) -> list[float]:
    """Seconds from each of some failures in a row to the next wish for a subscription."""
    found = []
    for _ in range(count):
        host.members(MembershipUpdateKind.FAILED)
        before = host.now
        while not any(isinstance(a, api.WatchMembership) for a in host.wait(0.01)):
            assert host.now < before + 6
        found.append(host.now - before)
    return found


def test_subscribes_at_launch_and_again_after_failures_more_slowly_and_out_of_step() -> None:
    """What a watch missed that ended instead of telling counts as told in less than 2 s, all else 6 s after
    discovery could be reached: a call may have hung 3 s, and the next answer takes a while among many."""
    found = list[list[float]]()
    for seed in range(20):
        host = Host(BASE._replace(membership_polled=True), seed=seed)
        assert host.log.count(api.WatchMembership()) == 1
        found.append(pauses(host, 12))
    first, later = [times[0] for times in found], [pause for times in found for pause in times[7:]]
    assert max(first) <= 0.17, "at once, but for the spread"
    assert max(max(times) for times in found) <= 6.0 - 3.0 - 0.9
    assert max(sum(times[:4]) for times in found) <= 1.3, "four calls that failed leave time for a fifth"
    for early, late in zip(range(3), range(1, 4), strict=True):
        means = [sum(times[n] for times in found) for n in (early, late)]
        assert means[0] < means[1], "ever more slowly"
    assert max(first) > 2 * min(first) and max(later) - min(later) > 1.0, "out of step"
    for rows in ((), tuple(host.states.values())):
        pauses(host, 9)
        host.members(MembershipUpdateKind.DELTA, *rows)
        assert pauses(host, 1)[0] <= 0.17, "after a change, also of nothing, it is the first pause again"


@pytest.mark.parametrize("grace", [0.0, 0.3, 1.5])
def test_where_lists_are_pushed_a_failed_subscription_is_renewed_well_within_the_grace(grace: float) -> None:
    """What is pushed counts as told at once when discovery is back, however long it was away."""
    host = Host(BASE._replace(membership_polled=False, drain_grace=grace))
    assert max(pauses(host, 12)) <= max(grace / 2, 0.03)


def test_a_failed_call_keeps_the_old_list() -> None:
    host = Host()
    host.members(MembershipUpdateKind.FAILED)
    assert host.sends[part_of(host, host.query(0))]


def test_work_does_not_grow_with_the_fleet() -> None:
    """Found by the bench's drill: every part was ranked against the whole fleet, and a day can be cut off."""
    steps = list[int]()
    for replicas in (12, 144):
        host = Host(BASE._replace(cell_count=replicas, cells_per_replica=3), replicas=replicas)
        host.warm_up(30)
        steps.append(0)
        sys.setprofile(lambda *_: steps.__setitem__(-1, steps[-1] + 1))  # calls, not time: one verdict
        for i in range(10):
            part = part_of(host, host.query(i))
            host.finish(part)
        sys.setprofile(None)
    assert steps[1] < 1.5 * steps[0]


def test_holders_are_worked_out_once_a_list() -> None:
    host = Host(BASE._replace(cell_count=6, cells_per_replica=3), replicas=12)
    before = host.module.membership.holders_by_cell
    for i in range(20):
        host.query(i % 6)
    assert host.module.membership.holders_by_cell is before
    host.members(MembershipUpdateKind.DELTA, replica(10, state=ReplicaState.GONE))
    assert host.module.membership.holders_by_cell is not before
