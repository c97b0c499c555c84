"""What asking costs, learned from what asking took. Free of I/O.

The time of an answer is modelled as a part that is always there and one for each leaf: `base + each * leaves`, by
least squares over the latest answers, the older the less. One model is kept for asking leaves directly and one for a
subtree as its parent sees it; a third for merging and writing. Until a model has seen enough it says so, and the
planner keeps to its fan-out bound alone.
"""

from __future__ import annotations

from math import sqrt

DECAY = 0.98  # weight of an answer against the next one
MIN_ANSWERS = 8.0  # answers (by weight) until a model is believed
STANDARD_DEVIATIONS = 2.0  # added to the mean where a time must hold


class LinearModel:
    """`base + each * leaves` seconds, with the spread about it."""

    def __init__(self) -> None:
        self._n = self._x = self._y = self._xx = self._xy = self._yy = 0.0

    def record(self, leaves: int, seconds: float) -> None:
        for name, value in (
            ("_n", 1.0),
            ("_x", leaves),
            ("_y", seconds),
            ("_xx", leaves * leaves),
            ("_xy", leaves * seconds),
            ("_yy", seconds * seconds),
        ):
            setattr(self, name, getattr(self, name) * DECAY + value)

    @property
    def is_reliable(self) -> bool:
        return self._n >= MIN_ANSWERS

    @property
    def seconds_per_leaf(self) -> float:
        """Seconds a leaf adds; 0 where all answers had one size, as then nothing tells."""
        spread = self._n * self._xx - self._x * self._x
        if spread <= 1e-9 * max(self._xx, 1.0):
            return 0.0
        return max((self._n * self._xy - self._x * self._y) / spread, 0.0)

    @property
    def base_seconds(self) -> float:
        return max((self._y - self.seconds_per_leaf * self._x) / self._n, 0.0) if self._n else 0.0

    def expected_seconds(self, leaves: float) -> float:
        return self.base_seconds + self.seconds_per_leaf * leaves

    def likely_seconds(self, leaves: float) -> float:
        """A time within which most answers of that size come."""
        if not self._n:
            return 0.0
        mean, each = self._y / self._n, self.seconds_per_leaf
        variance = max(
            self._yy / self._n - mean * mean - each * each * (self._xx / self._n - (self._x / self._n) ** 2),
            0.0,
        )
        return self.expected_seconds(leaves) + STANDARD_DEVIATIONS * sqrt(variance)


class CostModels:
    """The models of one class of query at one co-ordinator. Its caller sees to locking."""

    def __init__(self) -> None:
        self.flat, self.subtree, self.finish = LinearModel(), LinearModel(), LinearModel()

    def flat_seconds(self, leaves: int) -> float:
        """Seconds for asking `leaves` leaves directly, all of them in."""
        return self.flat.expected_seconds(leaves)

    def tree_seconds(self, leaves: int, subtrees: int) -> float:
        """Seconds for the same through `subtrees` children, which work at one time."""
        largest = -(-leaves // subtrees)
        return self.subtree.expected_seconds(largest)
