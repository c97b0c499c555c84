"""Cost models of wide queries, fitted to the latency of earlier answers. Free of I/O.

Latency is modelled as `base + seconds per leaf * leaves`, by least squares over the answers so far with
exponentially decaying weights. One model is for querying leaves directly and one for a subtree as its parent
sees it. A model is unreliable until it has recorded enough answers; until then the planner applies only its
fan-out bound.
"""

from __future__ import annotations

from math import sqrt

DECAY = 0.98  # weight of an answer relative to the next one
MIN_ANSWERS = 8.0  # sum of weights from which on a model is reliable
STANDARD_DEVIATIONS = 2.0  # added to the expected latency for an upper estimate
_MIN_RELATIVE_SPREAD = 1e-9  # of the numbers of leaves; below it the slope is undetermined


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
        """Whether the model has recorded enough answers."""
        return self._weight >= MIN_ANSWERS

    @property
    def seconds_per_leaf(self) -> float:
        """Seconds that each leaf adds; 0 if all answers had the same size and the slope is undetermined."""
        spread = self._weight * self._sum_leaves_squared - self._sum_leaves * self._sum_leaves
        if spread <= _MIN_RELATIVE_SPREAD * max(self._sum_leaves_squared, 1.0):
            return 0.0
        covariance = self._weight * self._sum_leaves_seconds - self._sum_leaves * self._sum_seconds
        return max(covariance / spread, 0.0)

    @property
    def base_seconds(self) -> float:
        """Seconds that every answer takes, independent of its number of leaves."""
        if not self._weight:
            return 0.0
        return max((self._sum_seconds - self.seconds_per_leaf * self._sum_leaves) / self._weight, 0.0)

    def expected_seconds(self, leaves: float) -> float:
        """Return the expected latency of an answer from `leaves` leaves."""
        return self.base_seconds + self.seconds_per_leaf * leaves

    def likely_seconds(self, leaves: float) -> float:
        """Return an upper estimate of the latency of most answers from `leaves` leaves."""
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
        """Return the expected latency of querying `leaves` leaves directly."""
        return self.flat.expected_seconds(leaves)

    def tree_seconds(self, leaves: int, subtrees: int) -> float:
        """Return the expected latency of querying `leaves` leaves through `subtrees` children in parallel."""
        largest_subtree = -(-leaves // subtrees)
        return self.subtree.expected_seconds(largest_subtree)
