"""When and how a query completes."""

from __future__ import annotations

import gc
import weakref

import pytest
from decision_helpers import part_of
from hosts import BASE, Host, query_class, replica

from gingervane import interface as api
from gingervane.interface import AttemptOutcome, MembershipUpdateKind, ReplicaState


def test_an_unanswered_query_ends_before_its_deadline() -> None:
    host = Host(BASE._replace(hedging_allowed=False), replicas=1)
    query = host.query(0, time=1.0)
    host.wait(1.0)
    assert query in host.ended


def test_second_step() -> None:
    host = Host(BASE._replace(query_classes=(query_class(second=1),)))
    query = host.query(0)
    assert host.finish(part_of(host, query)).count(api.Answer(query, True)) == 1
    host.feed(*host.make_parts(query, 0, (0,)))
    actions = host.finish(part_of(host, query))
    assert api.Answer(query, True) in actions and query in host.ended


def test_a_query_whose_second_step_never_arrives_still_ends() -> None:
    host = Host(BASE._replace(query_classes=(query_class(second=1),)))
    query = host.query(0)
    host.finish(part_of(host, query))
    host.wait(6.0)
    assert isinstance(host.ended[query], api.Fail)


def test_a_partial_answer_is_given_at_the_deadline_where_the_class_permits_it() -> None:
    host = Host(BASE._replace(query_classes=(query_class(least=0.5),), hedging_allowed=False))
    query = host.query(0, 0)
    host.finish(part_of(host, query))
    host.wait(6.0)
    assert host.ended[query] == api.Answer(query, False)


def host_with_single_holders(least: float, whole: float, late: float = 0.0, short: float = 1.0) -> Host:
    """A host with four shards, each held by a single replica."""
    kind = query_class(least=least, whole=whole, late=late, short=short)
    return Host(BASE._replace(query_classes=(kind,), cell_count=4, cells_per_replica=1), replicas=4)


@pytest.mark.parametrize(("least", "whole", "answered"), [(0.75, 0.75, 1), (0.75, 1.0, 1), (1.0, 1.0, 0)])
def test_a_part_without_a_holder_ends_only_what_needs_it(least: float, whole: float, answered: int) -> None:
    """One lost part ended its query, although the other parts were enough for an answer."""
    host = host_with_single_holders(least, whole)
    host.update_membership(MembershipUpdateKind.DELTA, replica(13, cell=3, state=ReplicaState.GONE))
    query = host.query(0, 1, 2, 3)
    for part in host.step_parts[query]:
        if host.sends[part]:
            host.finish(part)
    assert host.ended[query] == (api.Answer(query, whole < 1.0) if answered else api.Reject(query, 0.005))


def test_a_failed_part_without_further_attempts_is_left_out_of_a_partial_answer() -> None:
    host = host_with_single_holders(0.75, 1.0)
    query = host.query(0, 1, 2, 3)
    host.finish(part_of(host, query, 3), AttemptOutcome.ERROR)
    host.update_membership(MembershipUpdateKind.DELTA, replica(13, cell=3, state=ReplicaState.GONE))
    part = part_of(host, query, 3)
    if (part, 1) in host.open_attempts:
        host.finish(part, AttemptOutcome.ERROR, 1)
    for index in range(3):
        host.finish(part_of(host, query, index))
    assert host.ended[query] == api.Answer(query, False)


@pytest.mark.parametrize(("late", "short"), [(0.0, 1.0), (0.1, 0.8), (0.9, 0.8)])
@pytest.mark.parametrize("fails", [False, True])
def test_a_partial_answer_waits_for_parts_that_may_still_come(fails: bool, late: float, short: float) -> None:
    """The worth of late and of partial answers decided whether a caller got what was in before its end."""
    host = host_with_single_holders(0.75, 1.0, late=late, short=short)
    query = host.query(0, 1, 2, 3)
    for index in range(3):
        host.finish(part_of(host, query, index))
    host.wait(5.9)
    assert query not in host.ended, "the last part may still be answered"
    if fails:
        host.update_membership(MembershipUpdateKind.DELTA, replica(13, cell=3, state=ReplicaState.GONE))
        host.finish(part_of(host, query, 3), AttemptOutcome.ERROR)
        assert host.ended[query] == api.Answer(query, False), "at once, as nothing more can come"
    else:
        assert api.Answer(query, True) in host.finish(part_of(host, query, 3))


def test_a_query_is_rejected_as_soon_as_no_further_attempt_can_be_answered_in_its_time() -> None:
    """After a full queue it was kept for a retry that was due after its caller's time."""
    host = Host(replicas=1)
    host.warm_up(latency=0.3)
    query = host.query(0, time=0.5)
    assert api.Reject in map(type, host.finish(part_of(host, query), AttemptOutcome.REJECTED))


def test_enough_parts_make_a_complete_answer() -> None:
    host = Host(BASE._replace(query_classes=(query_class(least=0.5, whole=0.5),)))
    query = host.query(0, 0)
    assert api.Answer(query, True) in host.finish(part_of(host, query))


def test_a_completed_query_is_freed_without_the_cycle_collector() -> None:
    """Its parts refer to it: under load such cycles took several MB until the collector ran."""
    host = Host()
    gc.collect()
    gc.disable()
    try:
        answered, unanswered = host.query(0), host.query(0)
        references = [
            weakref.ref(host.engine.completion.queries[number]) for number in (answered, unanswered)
        ]
        host.wait(0.1)
        host.finish(part_of(host, answered))
        host.wait(20.0)
        assert set(host.ended) >= {answered, unanswered}
        for part, attempt in list(host.open_attempts):
            host.finish(part, AttemptOutcome.TIMED_OUT, attempt)
        assert [ref() for ref in references] == [None, None]
    finally:
        gc.enable()


@pytest.mark.parametrize("last", [AttemptOutcome.REJECTED, AttemptOutcome.OK, None])
def test_an_unsafe_query_that_all_its_replicas_reject_is_not_left_unknown(
    last: AttemptOutcome | None,
) -> None:
    """It failed as unknown with the first rejections, while the last replica was about to reject it too."""
    kind = query_class(semantics=api.RetrySafety.NOT_IDEMPOTENT, least=0.6, whole=0.6)
    settings = BASE._replace(query_classes=(kind,), cell_count=3, cells_per_replica=1, max_attempts=1)
    host = Host(settings, replicas=3)
    query = host.query(0, 1, 2)
    for index in range(2):
        host.finish(part_of(host, query, index), AttemptOutcome.REJECTED)
    assert query not in host.ended
    if last is None:
        host.wait(5.99)  # no response
    else:
        host.finish(part_of(host, query, 2), last)
    assert isinstance(host.ended[query], api.Reject if last is AttemptOutcome.REJECTED else api.Fail)


@pytest.mark.parametrize("measured", [False, True])
def test_a_partial_first_step_leaves_time_for_the_second(measured: bool) -> None:
    """A first step that waits for its last part up to the deadline would have its caller fail."""
    kind = query_class(least=0.5, second=1)
    host = Host(BASE._replace(query_classes=(kind,), hedging_allowed=False))
    if measured:
        host.engine.latency.samples[0].extend([0.4] * 20)
    query = host.query(0, 0)
    host.finish(part_of(host, query))
    host.wait(5.1 if measured else 2.9)
    assert host.current_step[query] == 1, "the other part may still come"
    host.wait(0.2)
    assert host.current_step[query] == 2
    host.feed(*host.make_parts(query, 0, (0,)))
    host.finish(part_of(host, query))
    assert host.ended[query] == api.Answer(query, False)


def test_a_query_is_not_kept_for_a_retry_that_its_budget_forbids() -> None:
    """After a full queue it waited for its retry, and was rejected when that was due and not permitted."""
    budget = {"retry_budget_free": 0.0, "retry_budget_share": 0.0, "retry_budget_window": 10.0}
    host = Host(BASE._replace(**budget), replicas=3)  # type: ignore[arg-type]
    query = host.query(0)
    host.finish(part_of(host, query), AttemptOutcome.REJECTED)
    assert isinstance(host.ended.get(query), api.Reject)
