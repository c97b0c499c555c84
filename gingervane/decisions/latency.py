"""Latency estimates: percentiles of each class, the mean of the fleet, and replicas relative to one another."""

from __future__ import annotations

from math import inf

from gingervane import interface as api
from gingervane.decisions.replica_state import KnownReplica
from gingervane.decisions.sliding_window import RankedSamples

# Number of samples of a class from which on its percentiles are computed from them (docs/design.md).
MIN_SAMPLES = 20
# Seconds in which the baseline median may double: replicas that have become slower for good are no queue.
BASELINE_DOUBLING_TIME = 60.0
# Number of outcomes over which the moving means are taken (docs/design.md, admission).
OUTCOMES_PER_MOVING_MEAN = 40
# Largest multiple of the baseline that one outcome counts for in the queueing ratio. A queue delays many: with this
# limit a third of the outcomes has to be late for a mean of two, and not one that waited for a hung replica.
MAX_QUEUEING_RATIO = 4.0
# Half-life in seconds of the expected latency while no attempt ends (docs/design.md, admission).
EXPECTED_LATENCY_HALF_LIFE = 2.0
# Number of parts over which a replica's relative latency is averaged (docs/design.md, relative latency).
RELATIVE_LATENCY_PARTS = 3
# Half-life in seconds of a replica's relative latency, which decays to 1 (docs/design.md, relative latency).
RELATIVE_LATENCY_HALF_LIFE = 8.0
# Lower bound in seconds for a median that is divided by.
MIN_MEDIAN = 1e-6


def relative_latency(replica: KnownReplica, now: float) -> float:
    """Latency of the replica's last parts as a multiple of the median, decaying to 1.

    It detects replicas that are slow but still answer. Lost hedges alone are too rare for that where a co-ordinator
    sends to each replica once in several seconds.
    """
    decay = float(0.5 ** ((now - replica.relative_latency_at) / RELATIVE_LATENCY_HALF_LIFE))
    return 1.0 + (replica.relative_latency - 1.0) * decay


class LatencyEstimator:
    """Estimates latencies from the parts of this co-ordinator.

    Samples are of parts, not of attempts: attempts cancelled after a successful hedge would be missing from the tail.
    """

    def __init__(self, query_classes: tuple[api.QueryClass, ...]) -> None:
        self.samples = [RankedSamples() for _ in query_classes]
        self.baseline = [inf for _ in query_classes]  # usual median of each class, without queueing
        self._baseline_at = dict[int, float]()  # by class: time of the last update
        self.mean_ratio = 1.0  # moving mean of the latest outcomes, as multiples of their classes' baselines
        self.mean_queueing_ratio = 1.0  # the same, with each outcome limited
        self.mean_latency = 0.0  # moving mean of the latest outcomes, seconds
        self.mean_latency_at = 0.0  # time of the latest outcome
        self.mean_requests_ahead = (
            0.0  # moving mean of the requests that were open at the replica before these
        )

    def percentile(self, query_class: int, share: float) -> float | None:
        """The latency in seconds within which this share of the class's last parts was answered.

        None before `MIN_SAMPLES` parts were answered.
        """
        ranked = self.samples[query_class].ranked
        if len(ranked) >= MIN_SAMPLES:
            return ranked[int(share * (len(ranked) - 1))]
        return None

    def slowest(self, query_class: int) -> float:
        """The longest latency in seconds of the class's last parts, and no less than the mean; 0 before any."""
        ranked = self.samples[query_class].ranked
        return max(self.mean_latency, ranked[-1] if ranked else 0.0)

    def update_baseline(self, query_class: int, now: float) -> None:
        """Lower the baseline to the class's median at once, or raise it slowly. Called for each query."""
        median = self.percentile(query_class, 0.5)
        if median is None:
            return
        seconds = now - self._baseline_at.get(query_class, now)
        grown = self.baseline[query_class] * 2.0 ** (seconds / BASELINE_DOUBLING_TIME)
        self.baseline[query_class] = min(grown, median)
        self._baseline_at[query_class] = now

    def queueing_ratio(self, requests_per_replica: float, now: float) -> float:
        """Mean latency at this load, late outcomes limited, as a multiple of the baseline: about 1 without queues.

        The last mean is scaled by the open requests now and at that time. It decays while no outcomes are recorded;
        otherwise a co-ordinator that rejects everything would never stop. It is one figure for all classes, as their
        parts queue at the same replicas.
        """
        return self.mean_queueing_ratio * self._load_factor(requests_per_replica, now)

    def latency_ratio(self, requests_per_replica: float, now: float) -> float:
        """Mean latency at this load as a multiple of the baseline, with late outcomes in full."""
        return self.mean_ratio * self._load_factor(requests_per_replica, now)

    def expected(self, query_class: int, requests_per_replica: float, now: float) -> float:
        """Mean latency in seconds of a part of this class at this load."""
        if self.baseline[query_class] == inf:
            return self.mean_latency * self._load_factor(requests_per_replica, now)
        return self.baseline[query_class] * self.latency_ratio(requests_per_replica, now)

    def _load_factor(self, requests_per_replica: float, now: float) -> float:
        time_without_outcome = max(now - self.mean_latency_at - self.mean_latency, 0.0)
        load = (1 + requests_per_replica) / (1 + self.mean_requests_ahead)
        return load * float(0.5 ** (time_without_outcome / EXPECTED_LATENCY_HALF_LIFE))

    def record_outcome(self, query_class: int, latency: float, requests_ahead: int, now: float) -> None:
        """Update the means from the latency of an attempt, and from the requests that it found at its replica."""
        self.mean_latency += (latency - self.mean_latency) / OUTCOMES_PER_MOVING_MEAN
        self.mean_latency_at = now
        self.mean_requests_ahead += (requests_ahead - self.mean_requests_ahead) / OUTCOMES_PER_MOVING_MEAN
        baseline = self.baseline[query_class]
        if baseline < inf:
            ratio = latency / max(baseline, MIN_MEDIAN)
            self.mean_ratio += (ratio - self.mean_ratio) / OUTCOMES_PER_MOVING_MEAN
            limited = min(ratio, MAX_QUEUEING_RATIO)
            self.mean_queueing_ratio += (limited - self.mean_queueing_ratio) / OUTCOMES_PER_MOVING_MEAN

    def record_relative_latency(
        self, replica: KnownReplica, query_class: int, latency: float, now: float
    ) -> None:
        """Update a replica's latency relative to the class's median, if that is known."""
        median = self.percentile(query_class, 0.5)
        if median is None:
            return
        relative = relative_latency(replica, now)
        multiple = latency / max(median, MIN_MEDIAN)
        replica.relative_latency = relative + (multiple - relative) / RELATIVE_LATENCY_PARTS
        replica.relative_latency_at = now
