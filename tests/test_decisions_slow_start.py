"""How much a replica that has just started is sent."""

from __future__ import annotations

from random import Random

import pytest
from decision_helpers import part_of
from hosts import BASE, Host, replica

from gingervane import interface as api
from gingervane.interface import AttemptOutcome, MembershipUpdateKind


def test_a_cold_replica_is_paced() -> None:
    host = Host(replicas=3)
    host.warm_up(100)
    host.members(MembershipUpdateKind.DELTA, replica(10, started=host.now))
    to_cold, to_warm = 0, 0
    for _ in range(40):
        part = part_of(host, host.query(0))
        host.wait(0.05)
        if host.where(part) == 10:
            to_cold += 1
        else:
            to_warm += 1
        host.finish(part)
    assert to_cold <= 0.5 * to_warm / 2


def test_a_new_machine_is_cold_too() -> None:
    host = Host(replicas=2)
    host.warm_up(100)
    host.members(MembershipUpdateKind.DELTA, replica(12, started=host.now))
    placed = [host.where(part_of(host, host.query(0))) for _ in range(12)]
    assert placed.count(12) <= 1


def test_all_holders_cold_sheds() -> None:
    host = Host()
    host.members(MembershipUpdateKind.FULL, *(replica(i, started=host.now) for i in (10, 11, 12)))
    for _ in range(30):
        host.query(0)
    # Half of what pushes them over: twice a fifth of the thirty; and one part ahead at each.
    assert 3 <= sum(len(s) for s in host.sends.values()) <= 12 + 3
    assert all(isinstance(a, api.Reject) for a in host.ended.values())


def test_a_storm_of_refusals_does_not_buy_a_cold_server_more() -> None:
    """Found on a test day: pace counted sends, so sends to full servers inflated it until a cold one fell."""
    host = Host()
    host.members(MembershipUpdateKind.DELTA, replica(10, started=host.now))
    for _ in range(300):
        part = part_of(host, host.query(0))
        while part in host.sends and (part, len(host.sends[part]) - 1) in host.out:
            host.finish(part, AttemptOutcome.REJECTED, len(host.sends[part]) - 1)
        host.wait(0.01)
    assert sum(where == 10 for made in host.sends.values() for _, where in made) <= 4


@pytest.mark.parametrize("coordinators", [3, 60])
def test_many_coordinators_together_keep_a_cold_server_up(coordinators: int) -> None:
    """Each had a whole part to send at once and a floor of its own: sixty of them can push a server over."""
    settings = BASE._replace(coordinator_count=coordinators, zone=9)
    hosts = [Host(settings, replicas=3, seed=i) for i in range(coordinators)]
    for host in hosts:
        host.members(MembershipUpdateKind.DELTA, replica(10, started=host.now))
    sent = sum(bool(h.sends[p]) and h.where(p) == 10 for h in hosts for p in h.step_parts[h.query(0, 0)])
    ready_one = coordinators * 2 / 3
    assert sent <= 1 + 1.5 * ready_one * settings.slow_start_capacity
    before = sum(h.module.membership.replicas[10].slow_start_tokens for h in hosts)
    for host in hosts:  # ten seconds of the ramp, at the floors, as nothing is answered
        for _ in range(20):
            host.module.context.now += 0.5
            host.module.slow_start.may_send(host.module.membership.replicas[10])
    earned = sum(h.module.membership.replicas[10].slow_start_tokens for h in hosts) - before
    # Half a part in each fall time of 2 s, at the share surely there, times half of what pushes it over.
    assert 0.2 < earned <= 4


def test_a_cold_server_gets_its_share_of_many_who_ask_seldom() -> None:
    """Found on a release under 186 co-ordinators: each saved for a whole part and then waited for a query to
    meet it, so cold servers got a third of what they could do and the ready ones were jammed."""
    coordinators, ramp = 60, BASE.slow_start_duration
    settings = BASE._replace(coordinator_count=coordinators, zone=9)
    hosts = [Host(settings, replicas=3, seed=i) for i in range(coordinators)]
    born = hosts[0].now + 10.0
    times = Random(1)
    due = [0.0, 0.0]  # a third of what was asked, times the sure capacity; by half of the ramp
    got = [0, 0]
    for host in hosts:
        while True:
            host.wait(times.expovariate(0.5))  # a query in two seconds
            if host.now >= born + ramp:
                break
            if host.now >= born and host.states[10].started_at < born:
                host.members(MembershipUpdateKind.DELTA, replica(10, started=born))
            query = host.query(0)
            (part,) = host.step_parts[query]
            if host.now >= born:
                age, half = host.now - born, host.now >= born + ramp / 2
                due[half] += (
                    settings.slow_start_capacity + (1 - settings.slow_start_capacity) * age / ramp
                ) / 3
                got[half] += host.where(part) == 10
            host.wait(0.05)
            host.finish(part)
    for given, right in zip(got, due, strict=True):
        assert 0.75 * right <= given <= 1.25 * right, (got, due)
