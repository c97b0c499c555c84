"""Metrics in the Prometheus text format. Latencies are kept in HDR histograms and read out as quantiles.

Owners: each histogram is written by one decision thread only; a reader of /metrics may see it mid-change, off by
the one value being added.
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
    """One HDR histogram of microseconds, to two digits, for each key."""

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
        """Read all histograms out as one metric; `labels` name the words of the keys."""
        family = SummaryMetricFamily(name, help_text, labels=labels)
        for key, (histogram, total) in list(self._histograms.items()):
            family.add_metric(list(key), histogram.get_total_count(), total[0])
            for quantile in _QUANTILES:
                values = dict(zip(labels, key, strict=True)) | {"quantile": str(quantile)}
                family.add_sample(name, values, histogram.get_value_at_percentile(quantile * 100) / 1e6)
        return family


class Metrics:
    """Collects from the program's own counts each time they are asked for."""

    def __init__(self) -> None:
        self.query_seconds, self.attempt_seconds = Latencies(), Latencies()
        self.subtree_seconds, self.child_seconds = Latencies(), Latencies()
        self.vector_seconds, self.vector_attempt_seconds = Latencies(), Latencies()
        self.read: Callable[[], Any] = lambda: None  # the driver's counts
        self.gauges: Callable[[], dict[str, float]] = dict
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def describe(self) -> Iterator[Any]:
        """Describe nothing: metrics are known once they are collected."""
        return iter(())

    def collect(self) -> Iterator[Any]:
        """Yield all metrics as they are now."""
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
