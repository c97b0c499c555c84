"""When a late part is hedged, and what stops hedges."""

from __future__ import annotations

import pytest
from decision_helpers import part_of, sends
from hosts import BASE, Host, query_class

from gingervane import interface as api
from gingervane.interface import AttemptOutcome, RetrySafety


def test_start_delay_is_half_the_aim() -> None:
    host = Host()
    part = part_of(host, host.query(0))
    assert not sends(host.wait(0.99))
    (copy,) = sends(host.wait(0.02))
    assert copy.part == part and copy.replica != host.where(part)


def test_copy_at_the_learned_percentile() -> None:
    host = Host()
    host.warm_up()
    part = part_of(host, host.query(0))
    assert not sends(host.wait(0.09))
    assert [a.part for a in sends(host.wait(0.03))] == [part]


def test_first_good_answer_wins_and_the_twin_is_cancelled() -> None:
    host = Host()
    query = host.query(0)
    part = part_of(host, query)
    host.wait(1.1)
    actions = host.finish(part, attempt=1)
    assert api.Answer(query, True) in actions and api.Cancel(part, 0) in actions
    assert not sends(host.wait(5.0))


def test_work_that_takes_long_for_its_aim_is_no_queueing() -> None:
    """Found at a site whose parts take a quarter of the aim when all is well: nothing was ever copied."""
    host = Host(BASE._replace(query_classes=(query_class(aim=1.0),)), replicas=6)
    host.warm_up(60, latency=0.3)
    host.wait(15.0)
    host.module.latency.mean, host.module.latency.mean_at = 0.25, host.now
    part = part_of(host, host.query(0))
    host.wait(0.32)
    assert len(host.sends[part]) == 2


def test_queueing_is_told_against_the_usual_time() -> None:
    """Found at a wide site: a percentile of the last 200 parts, two queries, climbs with the queue."""
    host = Host(replicas=6)
    host.warm_up(60)
    usual = host.module.latency.baseline[0]
    host.module.latency.samples[0].extend([0.6] * 200)
    host.module.latency.mean, host.module.latency.mean_at = 0.5, host.now
    part = part_of(host, host.query(0))
    host.wait(0.62)
    assert len(host.sends[part]) == 1
    assert usual < host.module.latency.baseline[0] < 0.2


def test_one_copy_only() -> None:
    host = Host()
    part = part_of(host, host.query(0))
    host.wait(1.9)
    assert len(host.sends[part]) == 2


def test_no_copy_that_would_come_after_the_aim() -> None:
    host = Host(BASE._replace(query_classes=(query_class(aim=2.0, deadline=9.0),)), replicas=3)
    host.module.latency.samples[0].extend([1.2] * 20)  # learned: half of the parts take as long
    part = part_of(host, host.query(0))
    host.wait(2.3)
    assert len(host.sends[part]) == 1


@pytest.mark.parametrize("semantics", [RetrySafety.IDEMPOTENCY_KEY, RetrySafety.NOT_IDEMPOTENT])
def test_only_safe_parts_are_copied(semantics: RetrySafety) -> None:
    host = Host(BASE._replace(query_classes=(query_class(semantics=semantics, window=5.0),)))
    part = part_of(host, host.query(0))
    assert not sends(host.wait(2.0))  # later, silence may turn a keyed one into a retry, one at a time
    host.wait(3.0)
    assert sum(key[0] == part for key in host.out) <= 1


def test_no_copies_where_the_site_forbids_them() -> None:
    host = Host(BASE._replace(hedging_allowed=False, cancellation_allowed=False))
    part = part_of(host, host.query(0))
    host.wait(5.0)
    assert len(host.sends[part]) == 1


def test_breaker_opens_on_the_share_of_copies_and_closes_lower() -> None:
    from gingervane.decisions.circuit_breaker import CircuitBreaker

    breaker = CircuitBreaker(10.0)
    for i in range(16):
        breaker.add(float(i) / 10)
    assert breaker.is_open(2.0, 100)
    assert breaker.is_open(2.0, 130)  # 12%: over the lower mark, stays open
    assert not breaker.is_open(2.0, 200)
    assert not breaker.is_open(2.0, 130)  # and stays closed on the way up
    assert not breaker.is_open(20.0, 1)


def test_a_common_slowdown_stops_copies() -> None:
    """Every part passes a percentile learned before: copies must stay a small share of the parts."""
    host = Host(replicas=6)
    host.warm_up()
    for _ in range(60):
        host.query(0)
        host.wait(0.02)
    copies = sum(len(s) - 1 for s in host.sends.values())
    assert 0 < copies <= 0.15 * (60 + 40) + 1


def test_many_failures_stop_copies() -> None:
    host = Host(replicas=6)
    host.warm_up()
    for _ in range(12):
        host.finish(part_of(host, host.query(0)), AttemptOutcome.ERROR)
    part = part_of(host, host.query(0))
    host.wait(0.3)
    assert len(host.sends[part]) == 1


def test_what_an_ejected_server_holds_is_copied_though_the_breaker_is_open() -> None:
    """Found where servers lose answers for one co-ordinator alone: the breakers left its parts to die."""
    host = Host(replicas=4)
    host.warm_up()
    host.wait(10.0)
    stuck = part_of(host, host.query(0))
    for _ in range(100):
        host.module.hedging.failures.add(host.now)
    host.wait(0.12)
    assert len(host.sends[stuck]) == 1
    server = host.module.membership.replicas[host.where(stuck)]
    server.ejected_for, server.ejected_until = 2.0, host.now + 2.0
    host.wait(0.12)
    assert len(host.sends[stuck]) == 2


@pytest.mark.parametrize(("ejected", "tries"), [(2, 3), (1, 2)])
def test_a_third_try_goes_only_where_both_are_at_ejected_servers(ejected: int, tries: int) -> None:
    """Found under flapping: part and copy both at silent servers, and nothing more until the client left."""
    host = Host(replicas=4)
    host.warm_up()
    host.wait(10.0)
    part = part_of(host, host.query(0))
    host.wait(0.12)
    assert len(host.sends[part]) == 2
    for attempt in range(ejected):
        server = host.module.membership.replicas[host.where(part, attempt)]
        server.ejected_for, server.ejected_until = 4.0, host.now + 4.0
    host.module.membership.replicas[host.where(part, 1)].last_answered_send_at = host.now
    for _ in range(8):  # leaves room under the cap on copies
        host.query(0)
    host.wait(0.09)
    assert len(host.sends[part]) == tries


def wide_query_of(host: Host, parts: int, missing: int) -> list[int]:
    """A query of so many parts, all but some of which are in, while the mean time says queueing."""
    query = host.query(*range(parts))
    for part in host.step_parts[query][missing:]:
        host.finish(part)
    host.module.latency.mean, host.module.latency.mean_at = 2.2, host.now
    return host.step_parts[query][:missing]


@pytest.mark.parametrize(("missing", "copied"), [(2, 2), (12, 0)])
def test_stragglers_are_copied_though_servers_queue(missing: int, copied: int) -> None:
    """Found by hunt --scale: one answer lost of sixty, its copy held back as queueing, and the query gone.
    Where many parts are missing they are late together, and copies would only lengthen the queues."""
    host = Host(BASE._replace(cell_count=20, cells_per_replica=3), replicas=20)
    parts = wide_query_of(host, 20, missing)
    host.wait(1.1)
    assert sum(len(host.sends[p]) == 2 for p in parts) == copied
