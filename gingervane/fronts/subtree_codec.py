"""Wire codec of a subtree sent to a child co-ordinator: remote read with optional extension headers.

Request headers: `Gingervane-Levels` (levels of co-ordinators allowed below the child), `Gingervane-Attempts`
(attempts allowed for each leaf), `Gingervane-Trail` (names of the co-ordinators above, root first), and
`Gingervane-Timeout-Ms` (a duration, as wall clocks differ between hosts). Reply headers: `Gingervane-Leaves`
and `Gingervane-Counts` (see `tree.coverage`), `Gingervane-Used` (the most attempts used for any leaf). A
reply without them comes from a plain remote read server: it proves coverage only of the leaves whose series
it holds.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any
from urllib.parse import urlencode

import re2

from gingervane.coordinator import types as t
from gingervane.fronts import leaf_codec
from gingervane.fronts.routing import COVERAGE_HEADER
from gingervane.tree import coverage
from gingervane.tree.subquery_context import SubqueryContext, SubtreeQuery, SubtreeResult
from gingervane.wire import http1, remote_read, snappy
from gingervane.wire.http1 import Headers, HttpError
from gingervane.wire.remote_read import Accepts, Match, Matcher, Query, Series

LEVELS = "Gingervane-Levels"
ATTEMPTS = "Gingervane-Attempts"
TRAIL = "Gingervane-Trail"
LEAVES = "Gingervane-Leaves"
COUNTS = "Gingervane-Counts"
USED = "Gingervane-Used"

_MAX_LEVELS = 16
_MAX_ATTEMPTS = 16
_MAX_TRAIL_HEADER = 2000  # characters
_MAX_USED_DIGITS = 3  # a longer number in `Gingervane-Used` is treated as missing


def read_context(headers: Headers) -> SubqueryContext | None:
    """Read the context that a parent sends in a request's headers; None for a client. Raises HttpError."""
    if not headers.get_all(LEVELS.lower()):
        return None
    levels_left = _read_number(headers, LEVELS, _MAX_LEVELS)
    attempts_per_leaf = _read_number(headers, ATTEMPTS, _MAX_ATTEMPTS)
    trail = headers.get(TRAIL.lower())
    if len(trail) > _MAX_TRAIL_HEADER:
        raise HttpError(400, f"header {TRAIL}: longer than {_MAX_TRAIL_HEADER} characters", True)
    return SubqueryContext(levels_left, attempts_per_leaf, tuple(name for name in trail.split(",") if name))


def _read_number(headers: Headers, name: str, maximum: int) -> int:
    text = headers.get(name.lower())
    if not text.isascii() or not text.isdigit() or int(text[:4]) > maximum:
        raise HttpError(400, f"header {name}: {text[:20]!r} is no number from 0 to {maximum}", True)
    return int(text)


class SubtreeCodec:
    """Encodes one subtree per request, and decodes and verifies the reply leaf by leaf."""

    def __init__(self, label: str, max_reply_bytes: int) -> None:
        self._label = label
        self._max_reply_bytes = max_reply_bytes

    def encode(self, contents: list[Any], seconds_left: list[float], address: tuple[str, int]) -> bytes:
        """Encode the request for the one subtree in `contents`."""
        subtree: SubtreeQuery
        (subtree,) = contents
        queries = [self._encode_query(query, leaves) for _, query, leaves in subtree.queries]
        body = snappy.compress(remote_read.write_request(queries, (Accepts.SAMPLES,)))
        milliseconds = max(int(min(seconds_left) * 1000), 1)
        parameters = {
            "class": subtree.query_class,
            "timeout": f"{milliseconds}ms",
            "partial_response": "true",
        }
        context = subtree.context
        fields = [
            ("Host", f"{address[0]}:{address[1]}"),
            ("Content-Type", leaf_codec.CONTENT_TYPE),
            ("Content-Encoding", "snappy"),
            (leaf_codec.VERSION_HEADER, leaf_codec.VERSION),
            ("User-Agent", "gingervane"),
            (LEVELS, str(context.levels_left)),
            (ATTEMPTS, str(context.attempts_per_leaf)),
            (TRAIL, ",".join(context.trail)),
            (leaf_codec.TIMEOUT_HEADER, str(milliseconds)),
            ("Content-Length", str(len(body))),
        ]
        return http1.encode_head(f"POST {leaf_codec.PATH}?{urlencode(parameters)} HTTP/1.1", fields) + body

    def _encode_query(self, query: Query, leaves: Sequence[str]) -> bytes:
        """Encode a query, with its matchers on the shard label replaced by one that selects the leaves."""
        other_matchers = tuple(matcher for matcher in query.matchers if matcher.name != self._label)
        leaf_pattern = "|".join(re2.escape(name) for name in leaves)
        leaf_matcher = Matcher(Match.REGEX, self._label, leaf_pattern)
        return remote_read.write_query(query._replace(matchers=(*other_matchers, leaf_matcher)))

    def decode(
        self, contents: list[Any], status: int, header: Callable[[str], str], body: bytes
    ) -> list[Any]:
        """Return the verified result of the one subtree in `contents`. Raises InvalidReply."""
        subtree: SubtreeQuery
        (subtree,) = contents
        leaf_codec.check_status(status, header)
        results = leaf_codec.read_results(body, len(subtree.queries), self._max_reply_bytes)
        by_leaf, series_leaves = self._group_by_leaf(subtree, results)
        try:
            series_counts = self._verified_counts(subtree, header, series_leaves)
        except coverage.CoverageError as error:
            raise t.InvalidReply(f"coverage: {error}") from None
        received = {name: by_leaf.get(name, {}) for name in series_counts}
        return [SubtreeResult(received, _read_attempts_used(header(USED.lower())))]

    def _group_by_leaf(
        self, subtree: SubtreeQuery, results: list[list[Series]]
    ) -> tuple[dict[str, dict[int, list[Series]]], list[str]]:
        """Return the series by leaf and query, and the leaf of each series. Raises InvalidReply."""
        by_leaf: dict[str, dict[int, list[Series]]] = {}
        series_leaves: list[str] = []
        for (query_index, query, leaves), result in zip(subtree.queries, results, strict=True):
            leaf_codec.check_times(result, query.start_ms, query.end_ms)
            allowed = frozenset(leaves)
            for series in result:
                name = next((value for label, value in series.labels if label == self._label), "")
                if name not in allowed:
                    raise t.InvalidReply(f"a series of {self._label}={name!r}, which was not asked for")
                series_leaves.append(name)
                by_leaf.setdefault(name, {}).setdefault(query_index, []).append(series)
        return by_leaf, series_leaves

    def _verified_counts(
        self, subtree: SubtreeQuery, header: Callable[[str], str], series_leaves: Sequence[str]
    ) -> dict[str, int]:
        """Return the number of series of each leaf that the reply provably covers. Raises CoverageError."""
        bitmap = header(LEAVES.lower())
        if not bitmap:
            return coverage.leaves_with_series(subtree.leaves, series_leaves)
        counts = coverage.decode(subtree.leaves, bitmap, header(COUNTS.lower()))
        coverage.verify(counts, series_leaves)
        if header(COVERAGE_HEADER.lower()) == "1" and len(counts) < len(subtree.leaves):
            raise coverage.CoverageError(
                f"says whole and holds {len(counts)} of {len(subtree.leaves)} leaves"
            )
        return counts

    def result_size(self, result: SubtreeResult) -> int:
        """Return approximately how many bytes of memory a result takes."""
        return sum(
            leaf_codec.memory_size(series)
            for by_query in result.results_by_leaf.values()
            for series in by_query.values()
        )


def _read_attempts_used(text: str) -> int | None:
    valid = text.isascii() and text.isdigit() and len(text) <= _MAX_USED_DIGITS
    return int(text) if valid else None
