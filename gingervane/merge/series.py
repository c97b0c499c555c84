"""Merging series that several parts of an answer hold.

The rule for two samples of one series at one timestamp does not depend on the order in which parts came: a number
wins over a NaN, the greater number wins over the lesser, and of two NaNs the one whose bits are greater. Of two
histograms at one timestamp the one whose message is greater, byte by byte, stays.
"""

from __future__ import annotations

from collections.abc import Iterable

import numpy as np

from gingervane.wire.remote_read import Labels, Series


def merge(parts: Iterable[Iterable[Series]]) -> list[Series]:
    """One list of series, sorted by labels, each with its samples sorted by time and none of them twice."""
    met: dict[Labels, list[Series]] = {}
    for part in parts:
        for series in part:
            met.setdefault(series.labels, []).append(series)
    return [_join(met[labels]) for labels in sorted(met)]


def _join(group: list[Series]) -> Series:
    first = group[0]
    if len(group) == 1 and (first.raw is not None or ordered(first)):
        return first
    times = np.concatenate([s.timestamps for s in group])
    values = np.concatenate([s.values for s in group])
    # Sorted by time, then by rank: of those with one timestamp the last one stays.
    order = np.lexsort(
        (values.view(np.uint64), np.where(np.isnan(values), -np.inf, values), ~np.isnan(values), times)
    )
    times, values = times[order], values[order]
    keep = np.append(times[1:] != times[:-1], True) if len(times) else np.empty(0, bool)
    histograms: dict[int, bytes] = {}
    for series in group:
        for time, raw in series.histograms:
            histograms[time] = max(raw, histograms.get(time, b""))
    return Series(first.labels, times[keep], values[keep], tuple(sorted(histograms.items())))


def ordered(series: Series) -> bool:
    """Whether its samples and histograms are in strict order of time."""
    times, histograms = series.timestamps, series.histograms
    return bool((times[1:] > times[:-1]).all()) and all(
        a[0] < b[0] for a, b in zip(histograms, histograms[1:], strict=False)
    )


def without_label(series: Series, name: str) -> Series:
    """The same series without one label."""
    return series._replace(labels=tuple(pair for pair in series.labels if pair[0] != name), raw=None)
