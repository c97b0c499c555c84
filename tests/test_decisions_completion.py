"""When a query ends, and how."""

from __future__ import annotations

import gc
import weakref

import pytest
from decision_helpers import part_of
from hosts import BASE, Host, query_class, replica

from gingervane import interface as api
from gingervane.interface import AttemptOutcome, MembershipUpdateKind, ReplicaState


def test_a_held_query_ends_before_its_time_is_up() -> None:
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


def test_second_step_that_never_comes_still_ends() -> None:
    host = Host(BASE._replace(query_classes=(query_class(second=1),)))
    query = host.query(0)
    host.finish(part_of(host, query))
    host.wait(6.0)
    assert isinstance(host.ended[query], api.Fail)


def test_short_answer_when_time_runs_out_where_the_class_allows_it() -> None:
    host = Host(BASE._replace(query_classes=(query_class(least=0.5),), hedging_allowed=False))
    query = host.query(0, 0)
    host.finish(part_of(host, query))
    host.wait(6.0)
    assert host.ended[query] == api.Answer(query, False)


def ring(least: float, whole: float, late: float = 0.0, short: float = 1.0) -> Host:
    """Four shards, each held by one server only."""
    kind = query_class(least=least, whole=whole, late=late, short=short)
    return Host(BASE._replace(query_classes=(kind,), cell_count=4, cells_per_replica=1), replicas=4)


@pytest.mark.parametrize(("least", "whole", "answered"), [(0.75, 0.75, 1), (0.75, 1.0, 1), (1.0, 1.0, 0)])
def test_a_part_without_a_holder_ends_only_what_needs_it(least: float, whole: float, answered: int) -> None:
    """Found on busy days: one part without a way ended its query, though the others were enough."""
    host = ring(least, whole)
    host.members(MembershipUpdateKind.DELTA, replica(13, cell=3, state=ReplicaState.GONE))
    query = host.query(0, 1, 2, 3)
    for part in host.step_parts[query]:
        if host.sends[part]:
            host.finish(part)
    assert host.ended[query] == (api.Answer(query, whole < 1.0) if answered else api.Reject(query, 0.005))


def test_a_failed_part_without_a_way_left_is_done_without() -> None:
    host = ring(0.75, 1.0)
    query = host.query(0, 1, 2, 3)
    host.finish(part_of(host, query, 3), AttemptOutcome.ERROR)
    host.members(MembershipUpdateKind.DELTA, replica(13, cell=3, state=ReplicaState.GONE))
    part = part_of(host, query, 3)
    if (part, 1) in host.out:
        host.finish(part, AttemptOutcome.ERROR, 1)
    for index in range(3):
        host.finish(part_of(host, query, index))
    assert host.ended[query] == api.Answer(query, False)


@pytest.mark.parametrize(("late", "at_aim"), [(0.1, True), (0.9, False)])
def test_a_short_answer_goes_at_the_aim_unless_a_late_whole_one_earns_more(late: float, at_aim: bool) -> None:
    """Found on the first days: short answers came at the client's deadline, worth a tenth of it."""
    host = ring(0.75, 1.0, late=late, short=0.8)
    query = host.query(0, 1, 2, 3)
    for index in range(3):
        host.finish(part_of(host, query, index))
    host.wait(1.98)
    assert query not in host.ended
    host.wait(0.015)
    assert (host.ended.get(query) == api.Answer(query, False)) is at_aim


def test_enough_parts_make_a_whole_answer() -> None:
    host = Host(BASE._replace(query_classes=(query_class(least=0.5, whole=0.5),)))
    query = host.query(0, 0)
    assert api.Answer(query, True) in host.finish(part_of(host, query))


def test_a_query_that_is_over_is_let_go_of_without_the_collector() -> None:
    """Its parts refer to it: as a cycle they lay about until the collector came, some MB on a busy day."""
    host = Host()
    gc.collect()
    gc.disable()
    try:
        answered, left = host.query(0), host.query(0)
        over = [weakref.ref(host.module.completion.queries[number]) for number in (answered, left)]
        host.wait(0.1)
        host.finish(part_of(host, answered))
        host.wait(20.0)
        assert set(host.ended) >= {answered, left}
        for part, attempt in list(host.out):
            host.finish(part, AttemptOutcome.TIMED_OUT, attempt)
        assert [ref() for ref in over] == [None, None]
    finally:
        gc.enable()
