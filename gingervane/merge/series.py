"""Merging of series that several parts of an answer hold.

The rule for two samples of one series at one timestamp does not depend on the order in which parts came: a number
wins over a NaN, the greater number wins over the lesser, and of two NaNs the one whose bits are greater. Of two
histograms at one timestamp the one whose message is greater, byte by byte, stays.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import pairwise

import numpy as np

from gingervane.wire.remote_read import Labels, Series


def merge(parts: Iterable[Iterable[Series]]) -> list[Series]:
    """Return one list of series sorted by labels, each with its samples sorted by time and without duplicates."""
    by_labels: dict[Labels, list[Series]] = {}
    for part in parts:
        for series in part:
            by_labels.setdefault(series.labels, []).append(series)
    return [_merge_group(by_labels[labels]) for labels in sorted(by_labels)]


def _merge_group(group: list[Series]) -> Series:
    """Merge series of the same labels."""
    first = group[0]
    if len(group) == 1 and (first.raw is not None or ordered(first)):
        return first
    times = np.concatenate([series.timestamps for series in group])
    values = np.concatenate([series.values for series in group])
    # Sorted by time, then by rank: of the samples at one timestamp the last one stays.
    order = np.lexsort(
        (values.view(np.uint64), np.where(np.isnan(values), -np.inf, values), ~np.isnan(values), times)
    )
    times = times[order]
    values = values[order]
    keep = np.append(times[1:] != times[:-1], True) if len(times) else np.empty(0, bool)
    return Series(first.labels, times[keep], values[keep], _merge_histograms(group))


def _merge_histograms(group: list[Series]) -> tuple[tuple[int, bytes], ...]:
    """Return one histogram for each timestamp, in order of time."""
    histograms: dict[int, bytes] = {}
    for series in group:
        for time_ms, message in series.histograms:
            histograms[time_ms] = max(message, histograms.get(time_ms, b""))
    return tuple(sorted(histograms.items()))


def ordered(series: Series) -> bool:
    """Return whether its samples and histograms are in strict order of time."""
    times, histograms = series.timestamps, series.histograms
    return bool((times[1:] > times[:-1]).all()) and all(a[0] < b[0] for a, b in pairwise(histograms))


def without_label(series: Series, name: str) -> Series:
    """Return the same series without one label."""
    return series._replace(labels=tuple(pair for pair in series.labels if pair[0] != name), raw=None)
