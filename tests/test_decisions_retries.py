"""Retries, the retry budget, and parts that must not have an effect twice."""

from __future__ import annotations

from decision_helpers import part_of, sends
from hosts import BASE, Host, query_class

from gingervane import interface as api
from gingervane.interface import AttemptOutcome, RetrySafety

OK = AttemptOutcome.OK


def test_a_failed_part_is_retried_on_another_holder() -> None:
    host = Host()
    part = part_of(host, host.query(0))
    (retry,) = sends(host.finish(part, AttemptOutcome.ERROR))
    assert retry.replica != host.where(part, 0)


def test_a_query_without_further_attempts_is_rejected_at_once_with_retry_advice() -> None:
    host = Host()
    query = host.query(0)
    part = part_of(host, query)
    for attempt in range(3):
        host.finish(part, AttemptOutcome.ERROR, attempt)
    end = host.ended[query]
    assert isinstance(end, api.Reject) and 0 < end.retry_after <= 1.0


def test_failing_one_part_cancels_the_others() -> None:
    host = Host()
    query = host.query(0, 0)
    for attempt in range(3):
        host.finish(part_of(host, query), AttemptOutcome.ERROR, attempt)
    assert query in host.ended and (part_of(host, query, 1), 0) in host.cancelled


def test_the_budget_bounds_further_attempts() -> None:
    """The host counts as the rule does: failures soon exhaust the budget, and then queries are rejected."""
    host = Host(
        BASE._replace(retry_budget_free=2.0, retry_budget_share=0.1, retry_budget_window=10.0), replicas=6
    )
    for _ in range(40):
        part = part_of(host, host.query(0))
        if (part, 0) in host.open_attempts:
            host.finish(part, AttemptOutcome.RESET)
        host.wait(0.2)
    assert host.further_attempt_times and len(host.ended) > 5


def test_a_retry_after_a_full_queue_is_delayed() -> None:
    """Three attempts in a millisecond used up the cap: the query was rejected with its other parts queued."""
    host = Host(replicas=3)
    host.warm_up()
    query = host.query(0)
    part = part_of(host, query)
    assert not sends(host.finish(part, AttemptOutcome.REJECTED))
    assert query not in host.ended
    (retry,) = sends(host.wait(0.15))
    assert retry.replica != host.where(part)


def test_an_unsafe_part_is_resent_only_if_it_provably_had_no_effect() -> None:
    host = Host(BASE._replace(query_classes=(query_class(semantics=RetrySafety.NOT_IDEMPOTENT),)))
    first = part_of(host, host.query(0))
    assert sends(host.finish(first, AttemptOutcome.CONNECT_FAILED))
    query = host.query(0)
    host.finish(part_of(host, query), AttemptOutcome.ERROR)
    assert isinstance(host.ended[query], api.Fail)


def test_earlier_attempts_without_effect_do_not_permit_resending_an_unsafe_part() -> None:
    host = Host(
        BASE._replace(query_classes=(query_class(semantics=RetrySafety.NOT_IDEMPOTENT),), max_attempts=9)
    )
    query = host.query(0)
    part = part_of(host, query)
    for attempt, outcome in enumerate((AttemptOutcome.CONNECT_FAILED, AttemptOutcome.REJECTED)):
        host.finish(part, outcome, attempt)
        host.wait(attempt * 1.0)  # after a full queue the next attempt is delayed
    assert len(host.sends[part]) == 3
    host.finish(part, AttemptOutcome.RESET, 2)
    assert isinstance(host.ended[query], api.Fail)


def test_a_keyed_part_is_resent_within_its_window_only() -> None:
    host = Host(
        BASE._replace(query_classes=(query_class(semantics=RetrySafety.IDEMPOTENCY_KEY, window=2.0),))
    )
    part = part_of(host, host.query(0))
    assert sends(host.finish(part, AttemptOutcome.RESET))
    host.wait(1.995)
    query = host.query_of[part]
    host.finish(part, AttemptOutcome.RESET, 1)
    assert len(host.sends[part]) == 2 and isinstance(host.ended[query], api.Fail)


def test_retries_have_priority_over_hedges_when_the_budget_is_scarce() -> None:
    host = Host(
        BASE._replace(retry_budget_free=2.0, retry_budget_share=0.0, retry_budget_window=60.0), replicas=4
    )
    first = part_of(host, host.query(0))
    host.wait(1.6)
    assert len(host.sends[first]) == 2  # a hedge, while more than half of the free attempts remain
    host.finish(first, OK, 1)
    host.wait(3.0)
    second = part_of(host, host.query(0))
    host.wait(1.6)
    assert len(host.sends[second]) == 1  # no hedge
    assert sends(host.finish(second, AttemptOutcome.RESET))  # the budget still permits a retry
