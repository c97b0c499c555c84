"""What callers are not told decides nothing: aims, what answers are worth, marks of repeats, stated costs."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from recordings.codec import decode, exact, names, read, replay

from gingervane import interface as api

CHANGES: dict[str, Callable[[api.QueryClass], api.QueryClass]] = {
    "short aim": lambda kind: kind._replace(latency_objective=0.01, objective_stretch=None),
    "long aim": lambda kind: kind._replace(latency_objective=kind.deadline, objective_stretch=3.0),
    "late answers worth nothing": lambda kind: kind._replace(late_answer_value=0.0),
    "partial answers worth nothing": lambda kind: kind._replace(
        late_answer_value=1.0, partial_answer_value=0.0
    ),
}


def swapped_mark(event: api.Event) -> api.Event:
    """A query that a client marks as sent before, if it is not marked, and the other way round."""
    if not isinstance(event, api.QueryArrived):
        return event
    return event._replace(
        is_client_retry=not event.is_client_retry, predicted_cost=event.predicted_cost + 1.0
    )


@pytest.mark.parametrize("change", CHANGES)
@pytest.mark.parametrize("name", names())
def test_aims_and_prices_change_no_action(name: str, change: str) -> None:
    """On 98dd14a another aim changed the actions of each drawn run, other prices those of some."""
    expected = read(name)
    settings: api.Settings = decode(expected.settings)
    classes = tuple(map(CHANGES[change], settings.query_classes))
    got = replay(expected, settings=settings._replace(query_classes=classes))
    assert [exact(batch.actions) for batch in got.batches] == [exact(b.actions) for b in expected.batches]


@pytest.mark.parametrize("name", names())
def test_first_tries_and_repeats_are_treated_alike(name: str) -> None:
    expected = read(name)
    got = replay(expected, change=swapped_mark)
    assert [exact(batch.actions) for batch in got.batches] == [exact(b.actions) for b in expected.batches]
