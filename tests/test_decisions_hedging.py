"""When a late part is hedged, and what suppresses hedges."""

from __future__ import annotations

import pytest
from decision_helpers import part_of, sends
from hosts import BASE, Host, query_class

from gingervane import interface as api
from gingervane.interface import AttemptOutcome, RetrySafety


@pytest.mark.parametrize("seconds", [1.0, 6.0])
def test_before_any_latency_is_known_a_hedge_leaves_time_for_further_attempts(seconds: float) -> None:
    """With half of the objective as delay and as latency, the first hedge of a process came too late."""
    host = Host()
    query = host.query(0, time=seconds)
    part = part_of(host, query)
    assert not sends(host.wait(0.24 * seconds))
    (hedge,) = sends(host.wait(0.02 * seconds))
    assert hedge.part == part and hedge.replica != host.where(part)
    (further,) = sends(host.wait(0.6 * seconds))  # neither had a response
    assert further.replica not in (host.where(part), hedge.replica)
    assert api.Answer(query, True) in host.finish(part, attempt=2)


@pytest.mark.parametrize("warm", [0, 40])
@pytest.mark.parametrize("late", [0.0, 0.3])
@pytest.mark.parametrize("hung", [1, 2])
def test_no_caller_is_refused_beside_an_idle_holder_that_answers(hung: int, late: float, warm: int) -> None:
    """The first holders that are asked give no answer; all of their callers were refused in the end."""
    for seed in range(1, 9):
        host = Host(BASE._replace(query_classes=(query_class(late=late),)), seed=seed)
        host.warm_up(warm)
        query = host.query(0)
        part = part_of(host, query)
        while query not in host.ended:
            host.wait(0.05)
            if (part, hung) in host.open_attempts:
                host.finish(part, attempt=hung)
        assert host.ended[query] == api.Answer(query, True)


def test_a_late_part_is_hedged_at_the_learned_percentile() -> None:
    host = Host()
    host.warm_up()
    part = part_of(host, host.query(0))
    assert not sends(host.wait(0.09))
    assert [a.part for a in sends(host.wait(0.03))] == [part]


def test_the_first_good_answer_wins_and_the_other_attempt_is_cancelled() -> None:
    host = Host()
    query = host.query(0)
    part = part_of(host, query)
    host.wait(1.6)
    actions = host.finish(part, attempt=1)
    assert api.Answer(query, True) in actions and api.Cancel(part, 0) in actions
    assert not sends(host.wait(5.0))


def test_a_long_service_time_is_not_queueing() -> None:
    """At a site whose parts take a quarter of the objective under normal load, nothing was ever hedged."""
    host = Host(BASE._replace(query_classes=(query_class(aim=1.0),)), replicas=6)
    host.warm_up(60, latency=0.3)
    host.wait(15.0)
    host.set_mean_latency(0.25)
    part = part_of(host, host.query(0))
    host.wait(0.32)
    assert len(host.sends[part]) == 2


def test_queueing_is_judged_against_the_baseline() -> None:
    """With wide queries a percentile of the last 200 parts, those of two queries, rises with the queue."""
    host = Host(replicas=6)
    host.warm_up(60)
    baseline_before = host.engine.latency.baseline[0]
    host.engine.latency.samples[0].extend([0.6] * 200)
    host.set_mean_latency(0.5)
    part = part_of(host, host.query(0))
    host.wait(0.62)
    assert len(host.sends[part]) == 1
    assert baseline_before < host.engine.latency.baseline[0] < 0.2


def test_a_part_gets_one_hedge_only() -> None:
    host = Host()
    part = part_of(host, host.query(0))
    host.wait(1.9)
    assert len(host.sends[part]) == 2


@pytest.mark.parametrize(("seconds", "attempts"), [(2.35, 1), (2.5, 2)])
def test_a_hedge_is_sent_if_it_can_be_answered_in_the_caller_s_time(seconds: float, attempts: int) -> None:
    host = Host(BASE._replace(query_classes=(query_class(aim=2.0, deadline=9.0),)), replicas=3)
    host.engine.latency.samples[0].extend([1.2] * 20)  # the median is then 1.2 s
    part = part_of(host, host.query(0, time=seconds))
    host.wait(2.3)
    assert len(host.sends[part]) == attempts


@pytest.mark.parametrize("semantics", [RetrySafety.IDEMPOTENCY_KEY, RetrySafety.NOT_IDEMPOTENT])
def test_only_idempotent_parts_are_hedged(semantics: RetrySafety) -> None:
    host = Host(BASE._replace(query_classes=(query_class(semantics=semantics, window=5.0),)))
    part = part_of(host, host.query(0))
    assert not sends(host.wait(2.9))  # later, ejections may lead to retries of a keyed part, one at a time
    host.wait(2.0)
    replicas = host.engine.membership.replicas
    open_at = [replicas[number] for (key, _), number in host.open_attempts.items() if key == part]
    assert sum(not known_replica.ejected_for for known_replica in open_at) <= 1
    assert semantics is RetrySafety.IDEMPOTENCY_KEY or len(host.sends[part]) == 1


def test_no_hedges_where_the_site_forbids_them() -> None:
    host = Host(BASE._replace(hedging_allowed=False, cancellation_allowed=False))
    part = part_of(host, host.query(0))
    host.wait(5.0)
    assert len(host.sends[part]) == 1


def test_the_breaker_opens_at_one_share_of_hedges_and_closes_at_a_lower_one() -> None:
    from gingervane.decisions.circuit_breaker import CircuitBreaker

    breaker = CircuitBreaker(10.0)
    for i in range(16):
        breaker.add(float(i) / 10)
    assert breaker.is_open(2.0, 100)
    assert breaker.is_open(2.0, 130)  # 12% is above CLOSE_RATIO: the open breaker stays open
    assert not breaker.is_open(2.0, 200)
    assert not breaker.is_open(2.0, 130)  # 12% is below OPEN_RATIO: the closed breaker stays closed
    assert not breaker.is_open(20.0, 1)


def test_a_common_slowdown_stops_hedges() -> None:
    """Every part exceeds the percentile learned before: hedges must remain a small share of the parts."""
    host = Host(replicas=6)
    host.warm_up()
    for _ in range(60):
        host.query(0)
        host.wait(0.02)
    hedges = sum(len(s) - 1 for s in host.sends.values())
    assert 0 < hedges <= 0.15 * (60 + 40) + 1


def test_many_failures_stop_hedges() -> None:
    host = Host(replicas=6)
    host.warm_up()
    for _ in range(12):
        host.finish(part_of(host, host.query(0)), AttemptOutcome.ERROR)
    part = part_of(host, host.query(0))
    host.wait(0.3)
    assert len(host.sends[part]) == 1


def test_a_part_at_an_ejected_replica_is_resent_although_the_breaker_is_open() -> None:
    """Where replicas lose answers to one co-ordinator only, open breakers left its parts without a retry."""
    host = Host(replicas=4)
    host.warm_up()
    host.wait(10.0)
    late_part = part_of(host, host.query(0))
    for _ in range(100):
        host.engine.hedging.failure_breaker.add(host.now)
    host.wait(0.12)
    assert len(host.sends[late_part]) == 1
    known_replica = host.engine.membership.replicas[host.where(late_part)]
    known_replica.ejected_for, known_replica.ejected_until = 2.0, host.now + 2.0
    host.wait(0.12)
    assert len(host.sends[late_part]) == 2


@pytest.mark.parametrize(("ejected", "attempts"), [(2, 3), (1, 2)])
def test_a_third_attempt_is_made_only_if_both_replicas_are_ejected(ejected: int, attempts: int) -> None:
    """With part and hedge both at unresponsive replicas, nothing was sent until the client disconnected."""
    host = Host(replicas=4)
    host.warm_up()
    host.wait(10.0)
    part = part_of(host, host.query(0))
    host.wait(0.12)
    assert len(host.sends[part]) == 2
    for attempt in range(ejected):
        known_replica = host.engine.membership.replicas[host.where(part, attempt)]
        known_replica.ejected_for, known_replica.ejected_until = 4.0, host.now + 4.0
    host.engine.membership.replicas[host.where(part, 1)].last_answered_send_at = host.now
    for _ in range(8):  # leaves room under the cap on hedges
        host.query(0)
    host.wait(0.09)
    assert len(host.sends[part]) == attempts


def query_with_missing_parts(host: Host, parts: int, missing: int) -> list[int]:
    """Start a query of `parts` parts, answer all but `missing`, and raise the mean latency to queueing."""
    query = host.query(*range(parts))
    for part in host.step_parts[query][missing:]:
        host.finish(part)
    host.engine.latency.baseline[0] = 1.0
    host.set_mean_latency(2.2)
    return host.step_parts[query][:missing]


@pytest.mark.parametrize(("missing", "hedged"), [(2, 2), (12, 0)])
def test_stragglers_are_hedged_although_requests_queue(missing: int, hedged: int) -> None:
    """With one answer of sixty lost, its hedge was suppressed because of queueing, and the query failed.

    Where many parts are missing they are late together, and hedges would only lengthen the queues.
    """
    host = Host(BASE._replace(cell_count=20, cells_per_replica=3), replicas=20)
    parts = query_with_missing_parts(host, 20, missing)
    host.wait(1.6)
    assert sum(len(host.sends[p]) == 2 for p in parts) == hedged
