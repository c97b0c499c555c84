"""Cost models of wide queries, learned from the latency of earlier answers. Free of I/O.

Latency is modelled as `base + seconds per leaf * leaves`, by least squares over the latest answers with exponentially
decaying weights. One model is kept for asking leaves directly and one for a subtree as its parent sees it. Until a
model has seen enough answers it is not reliable, and the planner keeps to its fan-out bound alone.
"""

from __future__ import annotations

from math import sqrt

DECAY = 0.98  # weight of an answer relative to the next one
MIN_ANSWERS = 8.0  # sum of weights from which a model is reliable
STANDARD_DEVIATIONS = 2.0  # added to the expected latency for an upper estimate
_MIN_RELATIVE_SPREAD = 1e-9  # of the numbers of leaves, under which the slope is undetermined


class LinearModel:
    """Weighted linear regression of latency over the number of leaves."""

    def __init__(self) -> None:
        self._weight = 0.0
        self._sum_leaves = 0.0
        self._sum_seconds = 0.0
        self._sum_leaves_squared = 0.0
        self._sum_leaves_seconds = 0.0
        self._sum_seconds_squared = 0.0

    def record(self, leaves: int, seconds: float) -> None:
        """Record that an answer from `leaves` leaves took `seconds`."""
        self._weight = self._weight * DECAY + 1.0
        self._sum_leaves = self._sum_leaves * DECAY + leaves
        self._sum_seconds = self._sum_seconds * DECAY + seconds
        self._sum_leaves_squared = self._sum_leaves_squared * DECAY + leaves * leaves
        self._sum_leaves_seconds = self._sum_leaves_seconds * DECAY + leaves * seconds
        self._sum_seconds_squared = self._sum_seconds_squared * DECAY + seconds * seconds

    @property
    def is_reliable(self) -> bool:
        """Whether the model has seen enough answers."""
        return self._weight >= MIN_ANSWERS

    @property
    def seconds_per_leaf(self) -> float:
        """Seconds that each leaf adds; 0 where all answers had one size, which leaves the slope undetermined."""
        spread = self._weight * self._sum_leaves_squared - self._sum_leaves * self._sum_leaves
        if spread <= _MIN_RELATIVE_SPREAD * max(self._sum_leaves_squared, 1.0):
            return 0.0
        covariance = self._weight * self._sum_leaves_seconds - self._sum_leaves * self._sum_seconds
        return max(covariance / spread, 0.0)

    @property
    def base_seconds(self) -> float:
        """Seconds that every answer takes, whatever its number of leaves."""
        if not self._weight:
            return 0.0
        return max((self._sum_seconds - self.seconds_per_leaf * self._sum_leaves) / self._weight, 0.0)

    def expected_seconds(self, leaves: float) -> float:
        """Return the expected latency of an answer from `leaves` leaves."""
        return self.base_seconds + self.seconds_per_leaf * leaves

    def likely_seconds(self, leaves: float) -> float:
        """Return a latency within which most answers of that size come."""
        if not self._weight:
            return 0.0
        mean = self._sum_seconds / self._weight
        slope = self.seconds_per_leaf
        leaves_variance = self._sum_leaves_squared / self._weight - (self._sum_leaves / self._weight) ** 2
        variance = max(
            self._sum_seconds_squared / self._weight - mean * mean - slope * slope * leaves_variance,
            0.0,
        )
        return self.expected_seconds(leaves) + STANDARD_DEVIATIONS * sqrt(variance)


class CostModels:
    """The models of one query class at one co-ordinator. The caller synchronizes access."""

    def __init__(self) -> None:
        self.flat = LinearModel()
        self.subtree = LinearModel()

    def flat_seconds(self, leaves: int) -> float:
        """Return the expected latency of asking `leaves` leaves directly."""
        return self.flat.expected_seconds(leaves)

    def tree_seconds(self, leaves: int, subtrees: int) -> float:
        """Return the expected latency of asking them through `subtrees` children in parallel."""
        largest_subtree = -(-leaves // subtrees)
        return self.subtree.expected_seconds(largest_subtree)
