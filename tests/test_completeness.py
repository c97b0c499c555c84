"""Which answers a class permits: shares, second steps, rounded weights, and steps that have no parts."""

from __future__ import annotations

import pytest
from hosts import query_class
from hypothesis import given
from hypothesis import strategies as st

from gingervane.decisions.completeness import Coverage, QueryState, is_complete, may_answer, required_coverage
from gingervane.interface import QueryClass

WHOLE, SHORT, MOST = query_class(), query_class(least=0.5), query_class(least=0.75, whole=0.75)


def of(parts_in: int, asked: int, weight: float | None = None) -> Coverage:
    """Equal weights, rounded as clients do if one is given."""
    each = 1 / asked if weight is None else weight
    return Coverage(asked, parts_in, asked * each, parts_in * each)


@pytest.mark.parametrize("kind", [WHOLE, SHORT, MOST])
@pytest.mark.parametrize("step", list(QueryState))
def test_nothing_asked_or_nothing_in_is_no_answer(kind: QueryClass, step: QueryState) -> None:
    """Found in the incident: a step without parts passed for one of which all parts are in."""
    for coverage in (Coverage(0, 0, 0.0, 0.0), of(0, 4)):
        assert not may_answer(kind, step, coverage) and not is_complete(kind, step, coverage)


@pytest.mark.parametrize("step", [QueryState.BETWEEN_STEPS, QueryState.SETTLED])
def test_no_answer_between_steps_nor_after_the_end(step: QueryState) -> None:
    assert not may_answer(WHOLE, step, of(4, 4)) and not is_complete(MOST, step, of(4, 4))


def test_a_second_step_needs_all_unless_short_answers_are_permitted() -> None:
    assert [required_coverage(k, QueryState.SECOND_STEP) for k in (WHOLE, SHORT, MOST)] == [1.0, 0.5, 1.0]
    assert [required_coverage(k, QueryState.FIRST_STEP) for k in (WHOLE, SHORT, MOST)] == [1.0, 0.5, 0.75]
    assert not may_answer(MOST, QueryState.SECOND_STEP, of(3, 4)) and may_answer(
        SHORT, QueryState.SECOND_STEP, of(2, 4)
    )
    assert is_complete(MOST, QueryState.FIRST_STEP, of(3, 4)) and not is_complete(
        MOST, QueryState.SECOND_STEP, of(3, 4)
    )
    assert not is_complete(SHORT, QueryState.FIRST_STEP, of(3, 4)) and is_complete(
        SHORT, QueryState.SECOND_STEP, of(4, 4)
    )


@pytest.mark.parametrize(("asked", "weight"), [(6, 0.166667), (28, 0.035714), (3, 0.333333), (7, 0.142857)])
def test_rounded_weights_are_neither_too_little_nor_lost(asked: int, weight: float) -> None:
    for count in range(1, asked + 1):
        share = count / asked
        kind = query_class(least=share, whole=1.0)
        assert may_answer(kind, QueryState.FIRST_STEP, of(count, asked, weight))
        assert not may_answer(kind, QueryState.FIRST_STEP, of(count - 1, asked, weight))
        assert is_complete(kind, QueryState.FIRST_STEP, of(count, asked, weight)) == (count == asked)


def test_weights_that_add_up_to_more_or_less_than_one_make_no_answer_larger() -> None:
    """A front accepts sums of 1 give or take 0.002."""
    half = query_class(least=0.5, whole=1.0)
    assert not may_answer(half, QueryState.FIRST_STEP, Coverage(2, 1, 1.002, 0.5))
    assert not may_answer(half, QueryState.FIRST_STEP, Coverage(2, 1, 0.998, 0.499))
    assert may_answer(half, QueryState.FIRST_STEP, Coverage(2, 1, 1.002, 0.501))


@given(
    weights=st.lists(st.floats(1e-6, 1.0), min_size=1, max_size=30),
    mask=st.integers(0, (1 << 30) - 1),
    least=st.floats(0.05, 1.0),
    whole=st.floats(0.05, 1.0),
)
def test_no_answer_is_permitted_under_its_share(
    weights: list[float],
    mask: int,
    least: float,
    whole: float,
) -> None:
    """Held against exact sums of what a client would send: six digits, adding up to about 1."""
    sent = [max(round(w / sum(weights), 6), 1e-6) for w in weights]
    kept = [w for i, w in enumerate(sent) if mask >> i & 1]
    coverage = Coverage(len(sent), len(kept), sum(sent), sum(kept))
    kind = query_class(least=least, whole=whole)
    if may_answer(kind, QueryState.FIRST_STEP, coverage):
        assert sum(kept) >= min(least, whole) - 1e-4
    if is_complete(kind, QueryState.FIRST_STEP, coverage):
        assert sum(kept) >= whole - 1e-4
    assert may_answer(
        kind, QueryState.FIRST_STEP, coverage._replace(parts_received=len(sent), weight_received=sum(sent))
    )
