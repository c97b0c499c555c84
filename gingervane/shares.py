"""Which answers a class of queries permits, from the parts that are in. Free of I/O, standard library only.

One function says whether an answer may be given, and one whether it may be marked whole. The decision module
asks them before it gives an answer, and the driver asks them again of the results in hand.

Shares are of the weight of the step's parts. Clients round weights to six digits, so that those of a step add
up to 1 give or take `ROUNDING` a part. A sum reaches a share only if it does so both as it stands and as a
fraction of the step's whole weight, so that rounding never makes an answer of too little.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from gingervane.interface import QueryClass

ROUNDING = 5e-7  # of a weight with six digits
FLOAT_ERROR = 1e-9  # of a sum of some hundred weights


class Step(Enum):
    """Where a query is in its life."""

    FIRST = "first step"
    BETWEEN = "between steps"  # the first step is closed, and the parts of the second have not come
    SECOND = "second step"
    SETTLED = "settled"

    @property
    def has_parts(self) -> bool:
        """Whether the query has parts whose answers can end the step."""
        return self in (Step.FIRST, Step.SECOND)


class Coverage(NamedTuple):
    """Parts of one step: how many there are and how many are in, and the weight of each."""

    asked: int
    parts_in: int
    weight_asked: float
    weight_in: float

    @property
    def complete(self) -> bool:
        """Whether every part is in. A step without parts is not complete: nothing of it has been asked."""
        return 0 < self.asked == self.parts_in

    def reaches(self, share: float) -> bool:
        """Whether what is in is at least this share of the step."""
        if self.complete:
            return True
        if not self.parts_in:
            return False
        as_stated = self.weight_in >= share - self.asked * ROUNDING - FLOAT_ERROR
        of_all = self.weight_in >= (share - FLOAT_ERROR) * self.weight_asked
        return as_stated and of_all


def least_share(kind: QueryClass, step: Step) -> float:
    """The least share of a step for an answer; of a second one all, unless short answers are permitted."""
    if step is Step.SECOND and kind.least_share >= kind.whole_share:
        return 1.0
    return min(kind.least_share, kind.whole_share)


def may_answer(kind: QueryClass, step: Step, coverage: Coverage) -> bool:
    """Whether an answer may rest on what is in."""
    return step.has_parts and coverage.reaches(least_share(kind, step))


def is_whole(kind: QueryClass, step: Step, coverage: Coverage) -> bool:
    """Whether a step may be called whole: a first one from its whole share on, a second one with all parts.

    An answer to a second step may be marked whole only if its first step was whole too.
    """
    if step is Step.FIRST and kind.whole_share < 1.0:
        return coverage.reaches(kind.whole_share)
    return step.has_parts and coverage.complete
