"""Merges series that occur in several parts of an answer.

If a series has two samples at one timestamp, the one that is kept does not depend on the order in which the parts
arrived: a number is preferred to a NaN, the greater number to the smaller, and of two NaNs the one with the greater
bits. Of two histograms at one timestamp the one with the greater message, compared byte by byte, is kept.
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
    """Merge series that have the same labels."""
    first = group[0]
    if len(group) == 1 and (first.raw is not None or ordered(first)):
        return first
    times = np.concatenate([series.timestamps for series in group])
    values = np.concatenate([series.values for series in group])
    # Sorted by time, then by preference: of the samples at one timestamp the last one is kept.
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
    """Return whether the timestamps of its samples and of its histograms strictly increase."""
    times, histograms = series.timestamps, series.histograms
    return bool((times[1:] > times[:-1]).all()) and all(a[0] < b[0] for a, b in pairwise(histograms))


def without_label(series: Series, name: str) -> Series:
    """Return a copy of a series without one label."""
    return series._replace(labels=tuple(pair for pair in series.labels if pair[0] != name), raw=None)
