"""Metrics in the Prometheus text format. Latencies are recorded in HDR histograms and exported as quantiles.

Threads: each histogram is written by one decision thread only. A reader of /metrics may see it during an
update, off by the one value that is being added.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, SummaryMetricFamily

_QUANTILES = (0.5, 0.9, 0.99, 0.999)
_MAX_MICROSECONDS = 600_000_000


class Latencies:
    """An HDR histogram of microseconds, with two significant digits, for each key."""

    def __init__(self) -> None:
        self._histograms: dict[tuple[str, ...], tuple[HdrHistogram, list[float]]] = {}

    def add(self, key: tuple[str, ...], seconds: float) -> None:
        """Record one duration under a key."""
        if key not in self._histograms:
            self._histograms[key] = HdrHistogram(1, _MAX_MICROSECONDS, 2), [0.0]
        histogram, total = self._histograms[key]
        histogram.record_value(min(max(int(seconds * 1e6), 1), _MAX_MICROSECONDS))
        total[0] += seconds

    def family(self, name: str, help_text: str, labels: list[str]) -> SummaryMetricFamily:
        """Export all histograms as one metric; `labels` are the label names of the elements of a key."""
        family = SummaryMetricFamily(name, help_text, labels=labels)
        for key, (histogram, total) in list(self._histograms.items()):
            family.add_metric(list(key), histogram.get_total_count(), total[0])
            for quantile in _QUANTILES:
                values = dict(zip(labels, key, strict=True)) | {"quantile": str(quantile)}
                family.add_sample(name, values, histogram.get_value_at_percentile(quantile * 100) / 1e6)
        return family


class Metrics:
    """Collector for the Prometheus client, which reads the program's counts at each request of /metrics."""

    def __init__(self) -> None:
        self.query_seconds, self.attempt_seconds = Latencies(), Latencies()
        self.subtree_seconds, self.child_seconds = Latencies(), Latencies()
        self.vector_seconds, self.vector_attempt_seconds = Latencies(), Latencies()
        self.read: Callable[[], Any] = lambda: None  # returns the driver's `Counts`
        self.gauges: Callable[[], dict[str, float]] = dict  # returns values by name
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def describe(self) -> Iterator[Any]:
        """Return no descriptions, so that registering does not collect the metrics."""
        return iter(())

    def collect(self) -> Iterator[Any]:
        """Yield all metrics with their current values."""
        counts = self.read()
        if counts is not None:
            for name in (
                "queries",
                "parts",
                "attempts",
                "further",
                "calls",
                "late_endings",
                "withheld",
                "batches",
            ):
                yield CounterMetricFamily(f"gingervane_{name}", f"{name} so far", value=getattr(counts, name))
            for name, label, table in (
                ("answers", "verdict", counts.verdicts),
                ("endings", "outcome", counts.outcomes),
                ("settled", "reason", counts.reasons),
            ):
                family = CounterMetricFamily(f"gingervane_{name}", f"{name} so far", labels=[label])
                for key, value in list(table.items()):
                    family.add_metric([key], value)
                yield family
        for name, gauge in self.gauges().items():
            yield GaugeMetricFamily(f"gingervane_{name}", name.replace("_", " "), value=gauge)
        yield self.query_seconds.family(
            "gingervane_query_seconds", "from a query's taking to its settling", ["class", "verdict"]
        )
        yield self.attempt_seconds.family("gingervane_attempt_seconds", "one attempt at a part", ["outcome"])
        yield self.subtree_seconds.family("gingervane_subtree_seconds", "one subtree", ["class", "verdict"])
        yield self.child_seconds.family("gingervane_child_seconds", "one attempt at a subtree", ["outcome"])
        yield self.vector_seconds.family(
            "gingervane_vector_seconds", "a query at a core of the vector front", ["core", "class", "verdict"]
        )
        yield self.vector_attempt_seconds.family(
            "gingervane_vector_attempt_seconds", "one attempt of it", ["core", "outcome"]
        )
