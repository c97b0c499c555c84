"""Latency estimates: of the parts of a class, of the fleet at present, and of one replica against others."""

from __future__ import annotations

from gingervane import interface as api
from gingervane.decisions.replica_state import KnownReplica
from gingervane.decisions.sliding_window import RankedSamples

# Latencies of a class from which its percentiles are taken from the samples (docs/design.md).
MIN_SAMPLES = 20
# Share of the latency objective that stands for every percentile before that (docs/design.md).
INITIAL_PERCENTILE = 0.5
# Factor by which the baseline median may grow with each query of the class (docs/design.md).
BASELINE_GROWTH = 1.02
# Outcomes over which the moving means run (docs/design.md, admission).
MEAN_OUTCOMES = 40
# Seconds in which the expected latency halves while nothing ends (docs/design.md, admission).
MEAN_HALF_LIFE = 2.0
# Parts over which a replica's relative latency is averaged (docs/design.md, relative latency).
RELATIVE_LATENCY_PARTS = 3
# Seconds in which a replica's relative latency halves its distance to 1 (docs/design.md, relative latency).
RELATIVE_LATENCY_HALF_LIFE = 8.0
# Seconds that a median counts as at least, so that it can be divided by.
MIN_MEDIAN = 1e-6


def relative_latency(replica: KnownReplica, now: float) -> float:
    """How slow the replica's last parts were against the median, fading to 1.

    Replicas that are slow and still answer would otherwise go unnoticed: a hedge that overtakes them is too
    rare where a co-ordinator sends to each of them once in some seconds.
    """
    faded = float(0.5 ** ((now - replica.relative_latency_at) / RELATIVE_LATENCY_HALF_LIFE))
    return 1.0 + (replica.relative_latency - 1.0) * faded


class LatencyEstimator:
    """The latencies of this co-ordinator's own parts.

    Samples are of parts, not of attempts: attempts that were cancelled for their hedge would hide the tail.
    """

    def __init__(self, query_classes: tuple[api.QueryClass, ...]) -> None:
        self.samples = [RankedSamples() for _ in query_classes]
        self._initial = [c.latency_objective * INITIAL_PERCENTILE for c in query_classes]
        self.baseline = list(self._initial)  # median of each class on good days
        self.mean = 0.0  # moving mean of the latest outcomes
        self.mean_at = 0.0  # when the last of them came
        self.mean_requests_ahead = 0.0  # requests that these outcomes found open at their replica

    def percentile(self, query_class: int, share: float) -> float:
        """The latency within which this share of the class's last parts ended."""
        ranked = self.samples[query_class].ranked
        if len(ranked) >= MIN_SAMPLES:
            return ranked[int(share * (len(ranked) - 1))]
        return self._initial[query_class]

    def update_baseline(self, query_class: int) -> None:
        """Follow the median of the class down at once and up only slowly, with each query."""
        grown = self.baseline[query_class] * BASELINE_GROWTH
        self.baseline[query_class] = min(grown, self.percentile(query_class, 0.5))

    def expected(self, requests_per_replica: float, now: float) -> float:
        """Mean latency at this load: the last mean, scaled by the requests open now over those open then.

        It fades while no outcomes come, or a co-ordinator that rejects everything would do so for ever.
        """
        silence = max(now - self.mean_at - self.mean, 0.0)
        scaled = self.mean * (1 + requests_per_replica) / (1 + self.mean_requests_ahead)
        return scaled * float(0.5 ** (silence / MEAN_HALF_LIFE))

    def record_outcome(
        self, replica: KnownReplica, query_class: int, latency: float, requests_ahead: int, now: float
    ) -> None:
        """Learn from an attempt that the replica has answered, in whatever way."""
        self.mean += (latency - self.mean) / MEAN_OUTCOMES
        self.mean_at = now
        relative = relative_latency(replica, now)
        median = max(self.percentile(query_class, 0.5), MIN_MEDIAN)
        replica.relative_latency = relative + (latency / median - relative) / RELATIVE_LATENCY_PARTS
        replica.relative_latency_at = now
        self.mean_requests_ahead += (requests_ahead - self.mean_requests_ahead) / MEAN_OUTCOMES
