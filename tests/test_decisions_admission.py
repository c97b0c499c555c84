"""Which queries admission control rejects at the present load."""

from __future__ import annotations

from decision_helpers import part_of
from hosts import BASE, Host, query_class

from gingervane import interface as api
from gingervane.interface import AttemptOutcome


def test_a_query_whose_only_holder_is_blocked_is_rejected_at_once() -> None:
    host = Host(BASE._replace(hedging_allowed=False), replicas=1)
    host.query(0)
    host.wait(0.8)  # more than MAX_REQUEST_AGE of the objective of 2 s
    query = host.query(0)
    assert isinstance(host.ended[query], api.Reject) and not host.sends[part_of(host, query)]


def test_overload_rejects_before_any_part_is_sent() -> None:
    host = Host(replicas=6)
    host.warm_up(latency=0.4)
    for _ in range(60):
        host.query(0)
    query = host.query(0)
    assert isinstance(host.ended[query], api.Reject) and not host.sends[part_of(host, query)]


def test_a_wide_query_is_rejected_sooner_than_a_narrow_one() -> None:
    """At one mean latency the slowest of twelve replicas misses an objective that the slower of two meets."""
    host = Host(BASE._replace(cell_count=12, cells_per_replica=3), replicas=12)
    host.warm_up(60, latency=0.9)
    assert isinstance(host.ended[host.query(*range(12))], api.Reject)
    assert host.query(0, 1) not in host.ended


def test_parts_that_share_requests_count_once_per_replica() -> None:
    """A query of 96 parts at 25 replicas was rejected as if it waited for 96 separate requests."""
    host = Host(BASE._replace(cell_count=6, cells_per_replica=3, max_parts_per_request=16), replicas=6)
    host.warm_up(60, latency=0.55)
    assert host.query(*(i % 6 for i in range(40))) not in host.ended


def test_admission_considers_only_the_parts_that_an_answer_needs() -> None:
    """Where half of the parts make a complete answer, the slower half does not count."""
    for whole, rejected in ((1.0, True), (0.5, False)):
        kind = query_class(least=whole, whole=whole)
        host = Host(BASE._replace(query_classes=(kind,), cell_count=12, cells_per_replica=3), replicas=12)
        host.warm_up(60, latency=0.9)
        assert (host.query(*range(12)) in host.ended) is rejected


def test_an_idle_coordinator_does_not_keep_rejecting() -> None:
    """After a load spike every query was rejected although no request was open: the mean did not decay."""
    host = Host(replicas=3)
    host.engine.latency.mean_latency, host.engine.latency.mean_latency_at = 3.0, host.now
    assert isinstance(host.ended[host.query(0)], api.Reject)
    host.wait(7.0)
    assert host.query(0) not in host.ended


def test_full_queues_reject_before_sending() -> None:
    """Full queues reject at once: without these outcomes in the mean, an overloaded fleet looked idle."""
    host = Host(BASE._replace(max_attempts=1), replicas=3)
    host.warm_up()
    for _ in range(200):
        part = part_of(host, host.query(0))
        if (part, 0) in host.open_attempts:
            host.finish(part, AttemptOutcome.REJECTED)
        host.wait(0.01)
    query = host.query(0)
    assert isinstance(host.ended[query], api.Reject) and not host.sends[part_of(host, query)]


def test_a_random_excess_of_a_few_queries_is_within_quota() -> None:
    """Five queries in ten seconds, scaled up to fifty co-ordinators, counted as over quota."""
    rejected = list[bool]()
    for count in (5, 40):
        host = Host(BASE._replace(coordinator_count=50, tenant_quotas=(20.0,)), replicas=3)
        for _ in range(count):
            query = host.query(0)
            host.finish(part_of(host, query))
        host.engine.latency.mean_latency, host.engine.latency.mean_latency_at = (
            1.5,
            host.now,
        )  # between the two limits
        rejected.append(host.query(0) in host.ended)
    assert rejected == [False, True]
