"""Random valid event sequences and settings; `Host` raises if an action of the engine breaks a rule."""

from __future__ import annotations

from hosts import BASE, Host, query_class, replica
from hypothesis import given
from hypothesis import strategies as st

from gingervane import interface as api

CLASSES = st.builds(
    query_class,
    aim=st.sampled_from([0.5, 2.0]),
    deadline=st.sampled_from([3.0, 6.0]),
    semantics=st.sampled_from(list(api.RetrySafety)),
    window=st.just(1.5),
    second=st.sampled_from([0, 0, 2]),
    least=st.sampled_from([0.5, 0.75, 1.0]),
    whole=st.sampled_from([0.5, 0.75, 1.0]),
    late=st.sampled_from([0.0, 0.3]),
    short=st.sampled_from([0.2, 0.8]),
)
SETTINGS = st.builds(
    lambda first, second, hedging, cancelling, budget, batch, cells, polled, coordinators: BASE._replace(
        coordinator_count=coordinators,
        query_classes=(first, second),
        hedging_allowed=hedging,
        cancellation_allowed=cancelling,
        cell_count=cells,
        cells_per_replica=min(2, cells),
        max_parts_per_request=batch,
        membership_polled=polled,
        retry_budget_free=2.0 if budget else None,
        retry_budget_share=0.2 if budget else None,
        retry_budget_window=budget,
    ),
    CLASSES,
    CLASSES,
    st.booleans(),
    st.booleans(),
    st.sampled_from([None, 1.0, 5.0]),
    st.sampled_from([1, 4]),
    st.sampled_from([1, 3]),
    st.booleans(),
    st.sampled_from([1, 60]),
)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["query", "end", "end", "end", "wait", "stall", "member", "fail list"]),
        st.integers(0, 9999),
        st.sampled_from(list(api.AttemptOutcome)),
    ),
    min_size=20,
    max_size=120,
)


def run_events(settings: api.Settings, steps: list[tuple[str, int, api.AttemptOutcome]]) -> Host:
    host = Host(settings, replicas=2 * settings.cell_count)
    for kind, value, outcome in steps:
        if kind == "query":
            host.query(
                *(i % settings.cell_count for i in range(value % 4 + 1)),
                query_class=value % 2,
                time=1.0 + value % 3,
            )
        elif kind == "end" and host.open_attempts:
            part, attempt = sorted(host.open_attempts)[value % len(host.open_attempts)]
            if outcome is not api.AttemptOutcome.CANCELLED or (part, attempt) in host.cancelled:
                host.finish(part, outcome, attempt)
        elif kind == "wait":
            host.wait(value % 50 / 20)
        elif kind == "stall":
            host.pause_process(value % 60 / 20)
        elif kind == "member":
            number = 10 + value % (2 * settings.cell_count)
            state = list(api.ReplicaState)[value % 3]
            row = replica(
                number, host.listed_replicas[number].cell, number, state, host.now if value % 2 else 0.0
            )
            host.update_membership(api.MembershipUpdateKind.DELTA, row)
        elif kind == "fail list" and settings.membership_polled:
            host.update_membership(api.MembershipUpdateKind.FAILED)
        feed_second_steps(host)
    host.wait(20.0)
    return host


def feed_second_steps(host: Host) -> None:
    """Deliver the parts of the second step, in the batch after the answer to the first step."""
    for query in sorted(host.step_parts):
        if host.current_step[query] == 2 and not host.step_parts[query] and query not in host.ended:
            number = next(i for i, q in enumerate(sorted(host.classes)) if q == query)
            host.feed(*host.make_parts(query, number, (0,)))


@given(SETTINGS, STEPS)
def test_no_rule_is_broken(settings: api.Settings, steps: list[tuple[str, int, api.AttemptOutcome]]) -> None:
    host = run_events(settings, steps)
    assert set(host.ended) == set(host.classes), "a query got no final answer"


@given(SETTINGS, STEPS)
def test_same_events_same_actions(
    settings: api.Settings, steps: list[tuple[str, int, api.AttemptOutcome]]
) -> None:
    assert run_events(settings, steps).log == run_events(settings, steps).log
