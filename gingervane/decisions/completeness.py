"""Which answers a class of queries permits, from the parts received. Free of I/O, standard library only.

One function says whether an answer may be given, and one whether it may be marked complete. The decision
engine asks them before it gives an answer, and the driver asks them again of the results in hand.

Coverage is a share of the weight of the step's parts. Clients round weights to six digits, so that those of a
step add up to 1 give or take `WEIGHT_ROUNDING` a part. A sum reaches a share only if it does so both as it
stands and as a fraction of the step's whole weight, so that rounding never makes an answer of too little.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from gingervane.interface import QueryClass

# Largest rounding error of a weight with six digits.
WEIGHT_ROUNDING = 5e-7
# Largest error of a sum of some hundred weights.
FLOAT_ERROR = 1e-9


class QueryState(Enum):
    """State of a query: its first step, between the steps, its second step, or settled."""

    FIRST_STEP = "first step"
    BETWEEN_STEPS = "between steps"  # the first step is closed, and the parts of the second have not come
    SECOND_STEP = "second step"
    SETTLED = "settled"

    @property
    def has_parts(self) -> bool:
        """Whether the query has parts whose answers can end the step."""
        return self in (QueryState.FIRST_STEP, QueryState.SECOND_STEP)


class Coverage(NamedTuple):
    """How many parts of a step were requested and received, and their weights."""

    parts_requested: int
    parts_received: int
    weight_requested: float
    weight_received: float

    @property
    def complete(self) -> bool:
        """Whether every part was received. A step without parts is not: nothing of it was requested."""
        return 0 < self.parts_requested == self.parts_received

    def reaches(self, share: float) -> bool:
        """Whether what was received is at least this share of the step."""
        if self.complete:
            return True
        if not self.parts_received:
            return False
        as_stated = self.weight_received >= share - self.parts_requested * WEIGHT_ROUNDING - FLOAT_ERROR
        of_all = self.weight_received >= (share - FLOAT_ERROR) * self.weight_requested
        return as_stated and of_all


def required_coverage(query_class: QueryClass, state: QueryState) -> float:
    """The least share of a step for an answer; of a second one all, unless partial answers are permitted."""
    if state is QueryState.SECOND_STEP and query_class.required_coverage >= query_class.complete_coverage:
        return 1.0
    return min(query_class.required_coverage, query_class.complete_coverage)


def may_answer(query_class: QueryClass, state: QueryState, coverage: Coverage) -> bool:
    """Whether an answer may rest on what was received."""
    return state.has_parts and coverage.reaches(required_coverage(query_class, state))


def is_complete(query_class: QueryClass, state: QueryState, coverage: Coverage) -> bool:
    """Whether a step is complete: a first one from its complete coverage on, a second one with all parts.

    An answer to a second step may be marked complete only if its first step was complete too.
    """
    if state is QueryState.FIRST_STEP and query_class.complete_coverage < 1.0:
        return coverage.reaches(query_class.complete_coverage)
    return state.has_parts and coverage.complete
