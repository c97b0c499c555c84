"""Which answers a class permits: coverage, second steps, rounded weights, and steps without parts."""

from __future__ import annotations

import pytest
from hosts import query_class
from hypothesis import given
from hypothesis import strategies as st

from gingervane.decisions.completeness import Coverage, QueryState, is_complete, may_answer, required_coverage
from gingervane.interface import QueryClass

# Classes that need all parts, permit partial answers, and are complete from 0.75 of the weight on.
ALL, SOME, MOST = query_class(), query_class(least=0.5), query_class(least=0.75, whole=0.75)


def coverage_of(received: int, requested: int, weight: float | None = None) -> Coverage:
    """Coverage of parts of equal weight: exact, or `weight` if given, which may be rounded as clients do."""
    part_weight = 1 / requested if weight is None else weight
    return Coverage(requested, received, requested * part_weight, received * part_weight)


@pytest.mark.parametrize("kind", [ALL, SOME, MOST])
@pytest.mark.parametrize("step", list(QueryState))
def test_no_requested_or_no_received_part_is_no_answer(kind: QueryClass, step: QueryState) -> None:
    """A step without parts was taken for one of which all parts were received."""
    for coverage in (Coverage(0, 0, 0.0, 0.0), coverage_of(0, 4)):
        assert not may_answer(kind, step, coverage) and not is_complete(kind, step, coverage)


@pytest.mark.parametrize("step", [QueryState.BETWEEN_STEPS, QueryState.SETTLED])
def test_no_answer_between_steps_or_after_completion(step: QueryState) -> None:
    assert not may_answer(ALL, step, coverage_of(4, 4)) and not is_complete(MOST, step, coverage_of(4, 4))


def test_a_second_step_needs_all_parts_unless_partial_answers_are_permitted() -> None:
    assert [required_coverage(k, QueryState.SECOND_STEP) for k in (ALL, SOME, MOST)] == [1.0, 0.5, 1.0]
    assert [required_coverage(k, QueryState.FIRST_STEP) for k in (ALL, SOME, MOST)] == [1.0, 0.5, 0.75]
    assert not may_answer(MOST, QueryState.SECOND_STEP, coverage_of(3, 4)) and may_answer(
        SOME, QueryState.SECOND_STEP, coverage_of(2, 4)
    )
    assert is_complete(MOST, QueryState.FIRST_STEP, coverage_of(3, 4)) and not is_complete(
        MOST, QueryState.SECOND_STEP, coverage_of(3, 4)
    )
    assert not is_complete(SOME, QueryState.FIRST_STEP, coverage_of(3, 4)) and is_complete(
        SOME, QueryState.SECOND_STEP, coverage_of(4, 4)
    )


@pytest.mark.parametrize(
    ("requested", "weight"), [(6, 0.166667), (28, 0.035714), (3, 0.333333), (7, 0.142857)]
)
def test_rounded_weights_neither_add_nor_lose_coverage(requested: int, weight: float) -> None:
    for count in range(1, requested + 1):
        share = count / requested
        kind = query_class(least=share, whole=1.0)
        assert may_answer(kind, QueryState.FIRST_STEP, coverage_of(count, requested, weight))
        assert not may_answer(kind, QueryState.FIRST_STEP, coverage_of(count - 1, requested, weight))
        assert is_complete(kind, QueryState.FIRST_STEP, coverage_of(count, requested, weight)) == (
            count == requested
        )


def test_weights_that_do_not_add_up_to_one_do_not_increase_coverage() -> None:
    """A front accepts sums of 1 within 0.002."""
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
def test_no_answer_is_permitted_below_its_required_coverage(
    weights: list[float],
    mask: int,
    least: float,
    whole: float,
) -> None:
    """Compared with the exact sums of a client's weights: six digits, adding up to about 1."""
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
