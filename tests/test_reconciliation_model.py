"""Model checking of the reconciliation: all states that it can reach in a small configuration.

The states of the real `Reconciliation` are explored breadth first, over all reports and waits, with times and
indexes reduced to a few values. The properties are CTL formulas, which pyModelChecking checks on the graph.
There are servers 0 and 1, and one source whose reports have index 1 or 2 (a stale agent, a restored
catalogue) and list any of the servers in any state.
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
GUARD = MassRemovalGuard(
    retention_time=1,
    max_retention_time=2,
    response_window=1,
    readmission_delay=1,
    max_readmission_delay=2,
    flap_window=2,
    index_reset_delay=2,
    consistent_index_reset_delay=1,
)
INDEXES, SERVERS = (1, 2), (0, 1)


def member(number: int, state: api.ReplicaState) -> Member:
    return Member(number, f"n{number}", ("h", 1), 0, 0, state, None)


LISTS = [
    tuple(member(n, state) for n, state in zip(SERVERS, states, strict=True) if state)
    for states in itertools.product((None, READY, DRAINING), repeat=2)
]
ALL_READY = tuple(member(n, READY) for n in SERVERS)
# Index and list of reports that the leader has confirmed; index 1 as of a restored catalogue.
CONFIRMED_REPORTS = [(1, LISTS[1]), (1, ALL_READY), (1, LISTS[-1]), (2, ALL_READY)]


class ReportHistory(NamedTuple):
    """The servers listed so far, and for each server the index of the newest drain still in force, 0 for
    none.

    Computed independently of the reconciliation: a report revokes a drain if it has the drain's index or a
    later one, or is confirmed by the leader."""

    listed: frozenset[int] = frozenset()
    drained: tuple[int, ...] = (0, 0)

    def report(self, index: int, members: Iterable[Member], confirmed: bool = False) -> ReportHistory:
        reported = {m.id: m.state for m in members}
        drained = list(self.drained)
        for n in SERVERS:
            if reported.get(n) is DRAINING:
                # From a confirmed report on, only the leader's index counts.
                drained[n] = index if confirmed else max(index, drained[n])
            elif confirmed or index >= drained[n]:
                drained[n] = 0
        return ReportHistory(self.listed | set(reported), tuple(drained))

    def must_drain(self, number: int) -> bool:
        """Return whether a drain of the server is in force."""
        return self.drained[number] > 0


class State(NamedTuple):
    reconciliation: Reconciliation
    now: int
    history: ReportHistory


def state_key(state: State) -> Any:
    """Return everything that the future of a state depends on, with ages capped where they no longer
    matter."""
    reconciliation, now = state.reconciliation, state.now

    def age(at: float) -> Any:
        return None if at in (inf, -inf) else min(now - at, 4)

    source = reconciliation._sources["s"]
    pending_reports = tuple(
        report and (report.source_index, report.members)
        for report in (source.pending, source.pending_successor)
    )
    servers = tuple(
        (
            n,
            server.unavailable,
            max(server.ready_from - now, 0),
            tuple(age(recovery_time) for recovery_time in server.recovery_times if now - recovery_time < 2),
            min(age(server.last_response_at) or 0, 2) if server.last_response_at > -inf else None,
            tuple((e.member, age(e.missing_since), e.retained) for e in server.entries.values()),
        )
        for n, server in sorted(reconciliation._servers.items())
    )
    ordering = (
        source.index,
        pending_reports,
        age(source.pending_since),
        source.is_pending_confirmed,
        source.unconfirmed_warning_given,
        source.superseded_index,
        source.failed_resets,
        source.awaits_confirmation,
    )
    return ordering, servers, state.history


def copy(reconciliation: Reconciliation) -> Reconciliation:
    duplicate: Reconciliation = pickle.loads(pickle.dumps(reconciliation))
    return duplicate


def successors(state: State) -> Iterable[tuple[str, State]]:
    for index, members in itertools.product(INDEXES, LISTS):
        reconciliation = copy(state.reconciliation)
        reconciliation.apply_report(SourceReport("s", members, 0.0, index), state.now)
        reconciliation.refresh(state.now)
        yield "report", State(reconciliation, state.now, state.history.report(index, members))
    for index, members in CONFIRMED_REPORTS:
        reconciliation = copy(state.reconciliation)
        reconciliation.apply_report(SourceReport("s", members, 0.0, index, consistent=True), state.now)
        reconciliation.refresh(state.now)
        yield (
            "confirmed report",
            State(reconciliation, state.now, state.history.report(index, members, confirmed=True)),
        )
    reconciliation = copy(state.reconciliation)
    reconciliation.record_response(0, state.now)
    yield "answered", State(reconciliation, state.now, state.history)
    reconciliation = copy(state.reconciliation)
    reconciliation.refresh(state.now + 1)
    yield "tick", State(reconciliation, state.now + 1, state.history)


def state_after_recovery(state: State) -> State:
    """Return the state once faults have ended: after a tick and a confirmed report of all servers as
    ready."""
    reconciliation = copy(state.reconciliation)
    reconciliation.refresh(state.now + 1)
    reconciliation.apply_report(
        SourceReport("s", ALL_READY, 0.0, max(INDEXES), consistent=True), state.now + 1
    )
    reconciliation.refresh(state.now + 1)
    return State(reconciliation, state.now + 1, state.history.report(max(INDEXES), ALL_READY, confirmed=True))


def labels(state: State) -> set[str]:
    """Return the labels for the formulas of `check`: "unnamed" if the view has a server that was never
    listed, "undone" if a server with a drain in force is ready, "settled" if all servers are ready."""
    reconciled = state.reconciliation.latest_view(state.now).servers
    ready = {n for n, reconciled_server in reconciled.items() if reconciled_server.member.state is READY}
    out = set()
    if set(reconciled) - state.history.listed:
        out.add("unnamed")
    if any(state.history.must_drain(n) for n in ready):
        out.add("undone")
    if ready == set(SERVERS):
        out.add("settled")
    return out


def explore(make: Callable[[], Reconciliation], depth: int) -> tuple[Kripke, Kripke]:
    """Return the graph of all states within `depth` steps, and the graph from each of them once faults have
    ended."""
    initial_state = State(make(), 0, ReportHistory())
    numbers: dict[Any, int] = {state_key(initial_state): 0}
    state_labels: list[set[str]] = [labels(initial_state)]
    edges: set[tuple[int, int]] = set()
    after: dict[int, int] = {}
    queue = deque([(0, initial_state, 0)])

    def number_of(state: State, depth_reached: int) -> int:
        position = numbers.setdefault(state_key(state), len(numbers))
        if position == len(state_labels):
            state_labels.append(labels(state))
            queue.append((position, state, depth_reached))
        return position

    while queue:
        current, state, depth_reached = queue.popleft()
        if depth_reached < depth:
            for _, later in successors(state):
                edges.add((current, number_of(later, depth_reached + 1)))
        else:
            edges.add((current, current))
        after[current] = number_of(state_after_recovery(state), max(depth_reached, depth))
    states = range(len(state_labels))
    labelling = dict(enumerate(state_labels))
    return (
        Kripke(S=list(states), S0=[0], R=sorted(edges), L=labelling),
        Kripke(S=list(states), S0=list(states), R=list(after.items()), L=labelling),
    )


def is_satisfied(graph: Kripke, formula: str) -> bool:
    return set(graph.states()) == set(CTL.modelcheck(graph, formula))


def check(make: Callable[[], Reconciliation], depth: int) -> dict[str, bool]:
    faults, after = explore(make, depth)
    return {
        "a drain is never undone by a stale report": is_satisfied(faults, "A G (not undone)"),
        "no server is in the view that no source named": is_satisfied(faults, "A G (not unnamed)"),
        "once the faults have ended, the view becomes right": is_satisfied(after, "A F (settled)"),
    }


class Newest(Reconciliation):
    """Treats every report as the newest."""

    def _is_newest(self, source: Any, report: SourceReport, now: float) -> bool:
        return True


class Stubborn(Reconciliation):
    """Never readmits a server that was unavailable."""

    def _evaluate(self, number: int, now: float) -> ReconciledServer | None:
        reconciled_server = super()._evaluate(number, now)
        if (server := self._servers.get(number)) and server.recovery_times:
            server.ready_from = inf
        return reconciled_server


class Inventive(Reconciliation):
    """Adds the other server to a report that lists one."""

    def _apply(self, report: SourceReport, valid_from: float, is_newest: bool, now: float) -> None:
        pairs = tuple(member(1 - m.id, m.state) for m in report.members if len(report.members) == 1)
        super()._apply(report._replace(members=report.members + pairs), valid_from, is_newest, now)


def make(kind: type[Reconciliation]) -> Callable[[], Reconciliation]:
    return lambda: kind(("s",), GUARD)


@pytest.fixture(autouse=True)
def limit_reset_doublings(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(source_ordering, "MAX_RESET_DOUBLINGS", 1)


def test_the_properties_hold_in_every_state() -> None:
    faults, _ = explore(make(Reconciliation), 4)
    assert len(faults.states()) > 2000
    assert all(check(make(Reconciliation), 4).values())


@pytest.mark.parametrize(("kind", "broken"), [(Newest, "undone"), (Inventive, "named"), (Stubborn, "right")])
def test_the_check_detects_a_broken_reconciliation(kind: type[Reconciliation], broken: str) -> None:
    assert {text: holds for text, holds in check(make(kind), 3).items() if not holds}.keys() == {
        text for text in check(make(Reconciliation), 1) if broken in text
    }


# Explores deeper than a test run has time for: python tests/test_reconciliation_model.py DEPTH
if __name__ == "__main__":
    source_ordering.MAX_RESET_DOUBLINGS = 1
    print(check(make(Reconciliation), int(sys.argv[1])))
