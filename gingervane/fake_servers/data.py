"""The grid's data: each sample is a function of tile, series and time, so that answers can be recomputed."""

from __future__ import annotations

import zlib

import numpy as np

from gingervane.fronts.shard_matching import matches
from gingervane.wire.remote_read import Match, Matcher, Query, Series, Times, Values

STEP_MS = 15_000
METRICS = ("wind_speed", "air_temperature")
POINTS = 3  # series per metric and tile


def values(tile: str, metric: str, point: int, times: Times) -> Values:
    """Return samples at `times` (ms): numbers from 0 to 100, by a 64-bit hash of series and time."""
    seed = np.uint64(zlib.crc32(f"{tile}\0{metric}\0{point}".encode()))
    with np.errstate(over="ignore"):
        x = times.astype(np.uint64) * np.uint64(0x9E3779B97F4A7C15) + seed * np.uint64(0xBF58476D1CE4E5B9)
        x = (x ^ (x >> np.uint64(30))) * np.uint64(0xBF58476D1CE4E5B9)
        x = (x ^ (x >> np.uint64(27))) * np.uint64(0x94D049BB133111EB)
        x ^= x >> np.uint64(31)
    return (x >> np.uint64(11)).astype(np.float64) * (100.0 / (1 << 53))


def times_of(start_ms: int, end_ms: int) -> Times:
    """Return the sample times from `start_ms` to `end_ms`, both included."""
    first = -(-start_ms // STEP_MS) * STEP_MS
    return np.arange(first, end_ms + 1, STEP_MS, dtype=np.int64)


def answer(tile: str, query: Query, label: str = "tile") -> list[Series]:
    """Return the series of one tile that match a query and have samples, sorted by labels."""
    times = times_of(query.start_ms, query.end_ms)
    out = []
    for metric in METRICS:
        for point in range(POINTS):
            labels = {"__name__": metric, "point": str(point), label: tile}
            if len(times) and all(matches(m, labels.get(m.name, "")) for m in query.matchers):
                out.append(Series(tuple(sorted(labels.items())), times, values(tile, metric, point, times)))
    return sorted(out, key=lambda s: s.labels)


def tile_of(query: Query, label: str = "tile") -> str | None:
    """Return the tile that a query selects with an equality matcher, or None."""
    return next((m.value for m in _equal(query.matchers) if m.name == label), None)


def _equal(matchers: tuple[Matcher, ...]) -> list[Matcher]:
    return [m for m in matchers if m.kind is Match.EQUAL]
