"""Model checking of the reconciliation: all states that it can reach in a small configuration.

The states of the real `Reconciliation` are explored breadth first, over all reports and waits, with times and indexes
reduced to a few values. The properties are CTL formulas, which pyModelChecking checks on the graph. There are servers
0 and 1, and one source whose reports have index 1 or 2 (a stale agent, a restored catalogue) and list any of the
servers in any state.
"""

from __future__ import annotations

import itertools
import pickle
import sys
from collections import deque
from collections.abc import Callable, Iterable
from math import inf
from typing import Any, NamedTuple

import pytest
from pyModelChecking import CTL, Kripke

from gingervane import interface as api
from gingervane.membership import source_ordering
from gingervane.membership.mass_removal_guard import MassRemovalGuard
from gingervane.membership.reconciliation import ReconciledServer, Reconciliation
from gingervane.membership.source_ordering import SourceReport
from gingervane.membership.view import Member

READY, DRAINING = api.ReplicaState.READY, api.ReplicaState.DRAINING
# Times are in whole ticks.
FENCE = MassRemovalGuard(
    retention_time=1,
    max_retention_time=2,
    response_window=1,
    readmission_delay=1,
    max_readmission_delay=2,
    flap_window=2,
    index_reset_delay=2,
    consistent_index_reset_delay=1,
)
ORDERS, SERVERS = (1, 2), (0, 1)


def member(number: int, state: api.ReplicaState) -> Member:
    return Member(number, f"n{number}", ("h", 1), 0, 0, state, None)


LISTS = [
    tuple(member(n, state) for n, state in zip(SERVERS, states, strict=True) if state)
    for states in itertools.product((None, READY, DRAINING), repeat=2)
]
GOOD = tuple(member(n, READY) for n in SERVERS)
VOUCHED = [(1, LISTS[1]), (1, GOOD), (1, LISTS[-1]), (2, GOOD)]  # index 1: the catalogue was restored


class Watch(NamedTuple):
    """The servers listed so far, and for each server the index of the newest drain still in force, 0 for none.

    Computed independently of the reconciliation: a report revokes a drain if it has the drain's index or a later one,
    or is confirmed by the leader."""

    named: frozenset[int] = frozenset()
    drained: tuple[int, ...] = (0, 0)

    def report(self, order: int, members: Iterable[Member], vouched: bool = False) -> Watch:
        told = {m.id: m.state for m in members}
        drained = list(self.drained)
        for n in SERVERS:
            if told.get(n) is DRAINING:
                # From a confirmed report on, only the leader's index counts.
                drained[n] = order if vouched else max(order, drained[n])
            elif vouched or order >= drained[n]:
                drained[n] = 0
        return Watch(self.named | set(told), tuple(drained))

    def binds(self, number: int) -> bool:
        """Return whether a drain of the server is in force."""
        return self.drained[number] > 0


class State(NamedTuple):
    merge: Reconciliation
    now: int
    watch: Watch


def key(state: State) -> Any:
    """Return everything that the future of a state depends on, with ages capped where they no longer matter."""
    merge, now = state.merge, state.now

    def age(at: float) -> Any:
        return None if at in (inf, -inf) else min(now - at, 4)

    source = merge._sources["s"]
    waiting = tuple(
        report and (report.source_index, report.members)
        for report in (source.pending, source.pending_successor)
    )
    servers = tuple(
        (
            n,
            server.unavailable,
            max(server.ready_from - now, 0),
            tuple(age(at) for at in server.return_times if now - at < 2),
            min(age(server.last_response_at) or 0, 2) if server.last_response_at > -inf else None,
            tuple((e.member, age(e.missing_since), e.retained) for e in server.entries.values()),
        )
        for n, server in sorted(merge._servers.items())
    )
    order = (
        source.index,
        waiting,
        age(source.pending_since),
        source.pending_consistent,
        source.unconfirmed_reported,
        source.superseded_index,
        source.failed_resets,
        source.awaits_confirmation,
    )
    return order, servers, state.watch


def copy(merge: Reconciliation) -> Reconciliation:
    made: Reconciliation = pickle.loads(pickle.dumps(merge))
    return made


def steps(state: State) -> Iterable[tuple[str, State]]:
    for order, members in itertools.product(ORDERS, LISTS):
        merge = copy(state.merge)
        merge.apply_report(SourceReport("s", members, 0.0, order), state.now)
        merge.refresh(state.now)
        yield "report", State(merge, state.now, state.watch.report(order, members))
    for order, members in VOUCHED:
        merge = copy(state.merge)
        merge.apply_report(SourceReport("s", members, 0.0, order, consistent=True), state.now)
        merge.refresh(state.now)
        yield "vouched report", State(merge, state.now, state.watch.report(order, members, vouched=True))
    merge = copy(state.merge)
    merge.record_response(0, state.now)
    yield "answered", State(merge, state.now, state.watch)
    merge = copy(state.merge)
    merge.refresh(state.now + 1)
    yield "tick", State(merge, state.now + 1, state.watch)


def well(state: State) -> State:
    """Return the state once faults have ended: after a tick and a confirmed report of all servers as ready."""
    merge = copy(state.merge)
    merge.refresh(state.now + 1)
    merge.apply_report(SourceReport("s", GOOD, 0.0, max(ORDERS), consistent=True), state.now + 1)
    merge.refresh(state.now + 1)
    return State(merge, state.now + 1, state.watch.report(max(ORDERS), GOOD, vouched=True))


def labels(state: State) -> set[str]:
    believed = state.merge.latest_view(state.now).servers
    ready = {n for n, known in believed.items() if known.member.state is READY}
    out = set()
    if set(believed) - state.watch.named:
        out.add("unnamed")
    if any(state.watch.binds(n) for n in ready):
        out.add("undone")
    if ready == set(SERVERS):
        out.add("settled")
    return out


def explore(make: Callable[[], Reconciliation], depth: int) -> tuple[Kripke, Kripke]:
    """Return the graph of all states within `depth` steps, and the graph from each of them once faults have ended."""
    first = State(make(), 0, Watch())
    numbers: dict[Any, int] = {key(first): 0}
    names: list[set[str]] = [labels(first)]
    edges: set[tuple[int, int]] = set()
    after: dict[int, int] = {}
    found = deque([(0, first, 0)])

    def number(state: State, far: int) -> int:
        where = numbers.setdefault(key(state), len(numbers))
        if where == len(names):
            names.append(labels(state))
            found.append((where, state, far))
        return where

    while found:
        here, state, far = found.popleft()
        if far < depth:
            for _, later in steps(state):
                edges.add((here, number(later, far + 1)))
        else:
            edges.add((here, here))
        after[here] = number(well(state), max(far, depth))
    states = range(len(names))
    labelling = dict(enumerate(names))
    return (
        Kripke(S=list(states), S0=[0], R=sorted(edges), L=labelling),
        Kripke(S=list(states), S0=list(states), R=list(after.items()), L=labelling),
    )


def holds(graph: Kripke, formula: str) -> bool:
    return set(graph.states()) == set(CTL.modelcheck(graph, formula))


def check(make: Callable[[], Reconciliation], depth: int) -> dict[str, bool]:
    faults, after = explore(make, depth)
    return {
        "a drain is never undone by a stale report": holds(faults, "A G (not undone)"),
        "no server is in the view that no source named": holds(faults, "A G (not unnamed)"),
        "once the faults have ended, the view becomes right": holds(after, "A F (settled)"),
    }


class Newest(Reconciliation):
    """Treats every report as the newest."""

    def _is_newest(self, source: Any, report: SourceReport, now: float) -> bool:
        return True


class Stubborn(Reconciliation):
    """Never readmits a server that was unavailable."""

    def _evaluate(self, number: int, now: float) -> ReconciledServer | None:
        known = super()._evaluate(number, now)
        if (server := self._servers.get(number)) and server.return_times:
            server.ready_from = inf
        return known


class Inventive(Reconciliation):
    """Adds the other server to a report that lists one."""

    def _apply(self, report: SourceReport, valid_from: float, is_newest: bool, now: float) -> None:
        pairs = tuple(member(1 - m.id, m.state) for m in report.members if len(report.members) == 1)
        super()._apply(report._replace(members=report.members + pairs), valid_from, is_newest, now)


def make(kind: type[Reconciliation]) -> Callable[[], Reconciliation]:
    return lambda: kind(("s",), FENCE)


@pytest.fixture(autouse=True)
def few_doublings(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(source_ordering, "MAX_RESET_DOUBLINGS", 1)


def test_the_merge_keeps_its_promises_in_every_state() -> None:
    faults, _ = explore(make(Reconciliation), 4)
    assert len(faults.states()) > 2000
    assert all(check(make(Reconciliation), 4).values())


@pytest.mark.parametrize(("kind", "broken"), [(Newest, "undone"), (Inventive, "named"), (Stubborn, "right")])
def test_the_check_sees_a_merge_that_breaks_one(kind: type[Reconciliation], broken: str) -> None:
    assert {what: kept for what, kept in check(make(kind), 3).items() if not kept}.keys() == {
        what for what in check(make(Reconciliation), 1) if broken in what
    }


# Explores deeper than a test run has time for: python tests/test_reconciliation_model.py DEPTH
if __name__ == "__main__":
    source_ordering.MAX_RESET_DOUBLINGS = 1
    print(check(make(Reconciliation), int(sys.argv[1])))
