"""Types of Prometheus remote read 1.0 (prometheus/prompb: remote.proto, types.proto).

Samples are NumPy arrays of the same length: `timestamps` in int64 milliseconds, `values` in float64. A native
histogram is its timestamp and the bytes of its message, so that unknown fields are passed on unchanged.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

import numpy as np
from numpy.typing import NDArray

Labels = tuple[tuple[str, str], ...]
Times = NDArray[np.int64]
Values = NDArray[np.float64]


class Match(IntEnum):
    """Comparison of a label's value by a matcher."""

    EQUAL = 0
    NOT_EQUAL = 1
    REGEX = 2
    NOT_REGEX = 3


class Accepts(IntEnum):
    """Response types that a client may accept."""

    SAMPLES = 0
    STREAMED_XOR_CHUNKS = 1


class Matcher(NamedTuple):
    """A condition on one label."""

    kind: Match
    name: str
    value: str


class Query(NamedTuple):
    """One query; `hints` are the raw bytes of its ReadHints, or None."""

    start_ms: int
    end_ms: int
    matchers: tuple[Matcher, ...]
    hints: bytes | None = None


class ReadRequest(NamedTuple):
    """The queries of one request, and the response types that its client accepts in order of preference."""

    queries: tuple[Query, ...]
    accepts: tuple[int, ...] = ()


class Series(NamedTuple):
    """One time series. `histograms`: (timestamp in ms, raw message), in order of time.

    `raw`: the received message if it is canonical, that is, if its labels and samples are in order. It can
    then be sent on unchanged. None after any change of the series.
    """

    labels: Labels
    timestamps: Times
    values: Values
    histograms: tuple[tuple[int, bytes], ...] = ()
    raw: bytes | None = None


NO_TIMES: Times = np.empty(0, np.int64)
NO_VALUES: Values = np.empty(0, np.float64)
