"""How much a recently started replica is sent."""

from __future__ import annotations

from random import Random

import pytest
from decision_helpers import part_of
from hosts import BASE, Host, replica

from gingervane import interface as api
from gingervane.interface import AttemptOutcome, MembershipUpdateKind


def test_a_cold_replica_is_sent_a_limited_share() -> None:
    host = Host(replicas=3)
    host.warm_up(100)
    host.update_membership(MembershipUpdateKind.DELTA, replica(10, started=host.now))
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


def test_a_new_replica_is_cold_too() -> None:
    for seed in range(1, 13):
        host = Host(replicas=2, seed=seed)
        host.warm_up(100)
        host.update_membership(MembershipUpdateKind.DELTA, replica(12, started=host.now))
        placed = [host.where(part_of(host, host.query(0))) for _ in range(12)]
        assert placed.count(12) <= 2, "one part may be ahead of it, and one saved up"


def test_queries_are_shed_while_all_holders_are_cold() -> None:
    host = Host()
    host.update_membership(MembershipUpdateKind.FULL, *(replica(i, started=host.now) for i in (10, 11, 12)))
    for _ in range(30):
        host.query(0)
    # Half of the load that overloads them is twice their capacity, a fifth of the thirty parts. Each of the
    # three may also be sent one part before it is earned.
    assert 3 <= sum(len(s) for s in host.sends.values()) <= 12 + 3
    assert all(isinstance(a, api.Reject) for a in host.ended.values())


def test_a_storm_of_rejections_does_not_earn_a_cold_replica_more() -> None:
    """Tokens were earned by sends: sends to full replicas raised them until a cold one was overloaded."""
    host = Host()
    host.update_membership(MembershipUpdateKind.DELTA, replica(10, started=host.now))
    for _ in range(300):
        part = part_of(host, host.query(0))
        while part in host.sends and (part, len(host.sends[part]) - 1) in host.open_attempts:
            host.finish(part, AttemptOutcome.REJECTED, len(host.sends[part]) - 1)
        host.wait(0.01)
    assert sum(where == 10 for part_sends in host.sends.values() for _, where in part_sends) <= 4


@pytest.mark.parametrize("coordinators", [3, 60])
def test_many_coordinators_together_do_not_overload_a_cold_replica(coordinators: int) -> None:
    """Each co-ordinator began with a whole token and had its own floor: sixty can overload a replica."""
    settings = BASE._replace(coordinator_count=coordinators, zone=9)
    hosts = [Host(settings, replicas=3, seed=i) for i in range(coordinators)]
    for host in hosts:
        host.update_membership(MembershipUpdateKind.DELTA, replica(10, started=host.now))
    sent = sum(bool(h.sends[p]) and h.where(p) == 10 for h in hosts for p in h.step_parts[h.query(0, 0)])
    ready_share = coordinators * 2 / 3
    assert sent <= 1 + 1.5 * ready_share * settings.slow_start_capacity
    before = sum(h.engine.membership.replicas[10].slow_start_tokens for h in hosts)
    for host in hosts:  # ten seconds of the ramp; only the floors earn tokens, as nothing is answered
        for _ in range(20):
            host.engine.context.now += 0.5
            host.engine.slow_start.may_send(host.engine.membership.replicas[10])
    earned = sum(h.engine.membership.replicas[10].slow_start_tokens for h in hosts) - before
    # Half a part per overload window of 2 s, times the capacity by then, times half of what overloads it.
    assert 0.2 < earned <= 4


def test_a_cold_replica_gets_its_share_from_many_coordinators_with_little_traffic() -> None:
    """Each of 186 co-ordinators saved up a whole token and then waited for a query that could use it: cold
    replicas got a third of the parts that they could serve, and the ready ones were overloaded."""
    coordinators, ramp = 60, BASE.slow_start_duration
    settings = BASE._replace(coordinator_count=coordinators, zone=9)
    hosts = [Host(settings, replicas=3, seed=i) for i in range(coordinators)]
    start_time = hosts[0].now + 10.0
    arrivals = Random(1)
    expected = [0.0, 0.0]  # for each half of the ramp: a third of the parts, times the capacity that is sure
    received = [0, 0]
    for host in hosts:
        while True:
            host.wait(arrivals.expovariate(0.5))  # one query in two seconds, in the mean
            if host.now >= start_time + ramp:
                break
            if host.now >= start_time and host.listed_replicas[10].started_at < start_time:
                host.update_membership(MembershipUpdateKind.DELTA, replica(10, started=start_time))
            query = host.query(0)
            (part,) = host.step_parts[query]
            if host.now >= start_time:
                age, half = host.now - start_time, host.now >= start_time + ramp / 2
                expected[half] += (
                    settings.slow_start_capacity + (1 - settings.slow_start_capacity) * age / ramp
                ) / 3
                received[half] += host.where(part) == 10
            host.wait(0.05)
            host.finish(part)
    for actual, target in zip(received, expected, strict=True):
        assert 0.75 * target <= actual <= 1.25 * target, (received, expected)


@pytest.mark.parametrize("marked", [False, True])
def test_queries_that_are_sent_again_earn_a_cold_replica_no_more(marked: bool) -> None:
    """Without marks of what clients send again, each rejected query earned the cold replicas more parts."""
    earned = list[float]()
    for interval in (0.1, 0.01):
        host = Host()
        host.warm_up(100)
        cold = (replica(i, started=host.now) for i in (10, 11, 12))
        host.update_membership(MembershipUpdateKind.FULL, *cold)
        host.engine.slow_start.may_send = lambda *_, **__: False  # type: ignore[method-assign]
        before = host.engine.slow_start.answered_per_replica
        for _ in range(round(3.0 / interval)):
            host.query(0, is_client_retry=marked)
            host.wait(interval)
        earned.append(host.engine.slow_start.answered_per_replica - before)
    assert 0 < earned[1] <= 1.2 * earned[0]
