"""Which answers a query class permits, given the parts received. No I/O, standard library only.

`may_answer` decides whether an answer is permitted, `is_complete` whether it may be marked complete. The decision
engine calls them before it answers, and the driver calls them again with the results that it has received.

Coverage is a share of the weight of the step's parts. Clients round weights to six digits, so that the weights of a
step add up to 1 within `WEIGHT_ROUNDING` per part. A sum reaches a share only if it does so both in absolute terms
and as a fraction of the step's total weight, so that rounding never permits an answer below the required coverage.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from gingervane.interface import QueryClass

# Largest rounding error of a weight with six digits.
WEIGHT_ROUNDING = 5e-7
# Largest floating-point error of a sum of some hundred weights.
FLOAT_ERROR = 1e-9


class QueryState(Enum):
    """State of a query."""

    FIRST_STEP = "first step"
    BETWEEN_STEPS = "between steps"  # the first step is answered; no part of the second has arrived yet
    SECOND_STEP = "second step"
    SETTLED = "settled"

    @property
    def has_parts(self) -> bool:
        """Whether the query is in a step, whose parts can be answered."""
        return self in (QueryState.FIRST_STEP, QueryState.SECOND_STEP)


class Coverage(NamedTuple):
    """How many parts of a step were requested and received, and their total weights."""

    parts_requested: int
    parts_received: int
    weight_requested: float
    weight_received: float

    @property
    def complete(self) -> bool:
        """Whether every part was received. False for a step without parts, as none was requested."""
        return 0 < self.parts_requested == self.parts_received

    def reaches(self, share: float) -> bool:
        """Whether the received weight is at least this share of the step."""
        if self.complete:
            return True
        if not self.parts_received:
            return False
        reaches_absolute = (
            self.weight_received >= share - self.parts_requested * WEIGHT_ROUNDING - FLOAT_ERROR
        )
        reaches_relative = self.weight_received >= (share - FLOAT_ERROR) * self.weight_requested
        return reaches_absolute and reaches_relative


def required_coverage(query_class: QueryClass, state: QueryState) -> float:
    """The least share of a step that an answer needs.

    A second step needs all parts, unless the class permits partial answers.
    """
    if state is QueryState.SECOND_STEP and query_class.required_coverage >= query_class.complete_coverage:
        return 1.0
    return min(query_class.required_coverage, query_class.complete_coverage)


def may_answer(query_class: QueryClass, state: QueryState, coverage: Coverage) -> bool:
    """Whether the class permits an answer from the parts received."""
    return state.has_parts and coverage.reaches(required_coverage(query_class, state))


def is_complete(query_class: QueryClass, state: QueryState, coverage: Coverage) -> bool:
    """Whether a step is complete.

    A first step is complete from the class's complete coverage on, a second step with all its parts. An answer to a
    second step may be marked complete only if the first step was complete too.
    """
    if state is QueryState.FIRST_STEP and query_class.complete_coverage < 1.0:
        return coverage.reaches(query_class.complete_coverage)
    return state.has_parts and coverage.complete
