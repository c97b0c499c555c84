"""Retries, their budget, and parts that must not have an effect twice."""

from __future__ import annotations

from decision_helpers import part_of, sends
from hosts import BASE, Host, query_class

from gingervane import interface as api
from gingervane.interface import AttemptOutcome, RetrySafety

OK = AttemptOutcome.OK


def test_a_failed_part_is_retried_on_another_holder() -> None:
    host = Host()
    part = part_of(host, host.query(0))
    (again,) = sends(host.finish(part, AttemptOutcome.ERROR))
    assert again.replica != host.where(part, 0)


def test_no_way_left_ends_the_query_at_once_with_a_time_to_come_again() -> None:
    host = Host()
    query = host.query(0)
    part = part_of(host, query)
    for attempt in range(3):
        host.finish(part, AttemptOutcome.ERROR, attempt)
    end = host.ended[query]
    assert isinstance(end, api.Reject) and 0 < end.retry_after <= 1.0


def test_giving_up_one_part_calls_off_the_others() -> None:
    host = Host()
    query = host.query(0, 0)
    for attempt in range(3):
        host.finish(part_of(host, query), AttemptOutcome.ERROR, attempt)
    assert query in host.ended and (part_of(host, query, 1), 0) in host.cancelled


def test_budget_bounds_further_attempts() -> None:
    """Counted as the rule counts: failures soon exhaust it and then queries are given up."""
    host = Host(
        BASE._replace(retry_budget_free=2.0, retry_budget_share=0.1, retry_budget_window=10.0), replicas=6
    )
    for _ in range(40):
        part = part_of(host, host.query(0))
        if (part, 0) in host.out:
            host.finish(part, AttemptOutcome.RESET)
        host.wait(0.2)
    assert host.extras and len(host.ended) > 5


def test_a_try_after_a_full_queue_waits_for_room() -> None:
    """Found at full size: three tries in a millisecond, the query given up, its other parts left queued."""
    host = Host(replicas=3)
    host.warm_up()
    query = host.query(0)
    part = part_of(host, query)
    assert not sends(host.finish(part, AttemptOutcome.REJECTED))
    assert query not in host.ended
    (again,) = sends(host.wait(0.15))
    assert again.replica != host.where(part)


def test_unsafe_is_sent_again_only_on_proof() -> None:
    host = Host(BASE._replace(query_classes=(query_class(semantics=RetrySafety.NOT_IDEMPOTENT),)))
    first = part_of(host, host.query(0))
    assert sends(host.finish(first, AttemptOutcome.CONNECT_FAILED))
    query = host.query(0)
    host.finish(part_of(host, query), AttemptOutcome.ERROR)
    assert isinstance(host.ended[query], api.Fail)


def test_unsafe_stays_unsent_after_a_later_attempt_is_proved_harmless() -> None:
    host = Host(
        BASE._replace(query_classes=(query_class(semantics=RetrySafety.NOT_IDEMPOTENT),), max_attempts=9)
    )
    query = host.query(0)
    part = part_of(host, query)
    for attempt, outcome in enumerate((AttemptOutcome.CONNECT_FAILED, AttemptOutcome.REJECTED)):
        host.finish(part, outcome, attempt)
        host.wait(attempt * 2.1)  # after a full queue the next try waits
    assert len(host.sends[part]) == 3
    host.finish(part, AttemptOutcome.RESET, 2)
    assert isinstance(host.ended[query], api.Fail)


def test_keyed_is_sent_again_within_its_window_only() -> None:
    host = Host(
        BASE._replace(query_classes=(query_class(semantics=RetrySafety.IDEMPOTENCY_KEY, window=2.0),))
    )
    part = part_of(host, host.query(0))
    assert sends(host.finish(part, AttemptOutcome.RESET))
    host.wait(1.995)
    query = host.query_of[part]
    host.finish(part, AttemptOutcome.RESET, 1)
    assert len(host.sends[part]) == 2 and isinstance(host.ended[query], api.Fail)


def test_retries_go_before_copies_when_the_budget_is_scarce() -> None:
    host = Host(
        BASE._replace(retry_budget_free=2.0, retry_budget_share=0.0, retry_budget_window=60.0), replicas=4
    )
    first = part_of(host, host.query(0))
    host.wait(1.1)
    assert len(host.sends[first]) == 2  # a copy, while more than half of the few is left
    host.finish(first, OK, 1)
    host.wait(3.0)
    second = part_of(host, host.query(0))
    host.wait(1.5)
    assert len(host.sends[second]) == 1  # held back
    assert sends(host.finish(second, AttemptOutcome.RESET))  # the retry that saves the query
