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


@pytest.mark.parametrize(("late", "at_objective"), [(0.1, True), (0.9, False)])
def test_when_a_partial_answer_is_given_at_the_objective(late: float, at_objective: bool) -> None:
    """Partial answers were given at the client's deadline, where they are worth a tenth of those in time."""
    host = host_with_single_holders(0.75, 1.0, late=late, short=0.8)
    query = host.query(0, 1, 2, 3)
    for index in range(3):
        host.finish(part_of(host, query, index))
    host.wait(1.98)
    assert query not in host.ended
    host.wait(0.015)
    assert (host.ended.get(query) == api.Answer(query, False)) is at_objective


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
