"""How a subtree travels to a child co-ordinator: remote read, with extension headers that any child may ignore.

Request headers: `Gingervane-Levels` (co-ordinators that may still stand below the child), `Gingervane-Attempts`
(that may run for each leaf), `Gingervane-Trail` (names of the co-ordinators above, root first), and
`Gingervane-Timeout-Ms`: durations travel, never times of day. Reply headers: `Gingervane-Leaves` and
`Gingervane-Counts` (`tree.coverage`), `Gingervane-Used`. A reply without them is a plain server's: it proves the
leaves of which it holds series and no others.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any
from urllib.parse import urlencode

import re2

from gingervane.coordinator import types as t
from gingervane.fronts import leaf_codec as front
from gingervane.fronts.routing import COVERAGE_HEADER
from gingervane.tree import coverage
from gingervane.tree.subquery_context import Ask, Got, SubqueryContext
from gingervane.wire import http1, remote_read, snappy
from gingervane.wire.http1 import Headers, HttpError
from gingervane.wire.protobuf import ProtobufError
from gingervane.wire.remote_read import Accepts, Match, Matcher, Series

LEVELS, ATTEMPTS, TRAIL = "Gingervane-Levels", "Gingervane-Attempts", "Gingervane-Trail"
LEAVES, COUNTS, USED = "Gingervane-Leaves", "Gingervane-Counts", "Gingervane-Used"
_MOST_TRAIL = 2000


def read_orders(headers: Headers) -> SubqueryContext | None:
    """The orders in a request's headers; None if it is no parent's. Raises HttpError."""
    if not headers.all(LEVELS.lower()):
        return None
    numbers = []
    for name, most in ((LEVELS, 16), (ATTEMPTS, 16)):
        text = headers.get(name.lower())
        if not text.isascii() or not text.isdigit() or int(text[:4]) > most:
            raise HttpError(400, f"header {name}: {text[:20]!r} is no number from 0 to {most}", True)
        numbers.append(int(text))
    trail = headers.get(TRAIL.lower())
    if len(trail) > _MOST_TRAIL:
        raise HttpError(400, f"header {TRAIL}: longer than {_MOST_TRAIL} characters", True)
    return SubqueryContext(numbers[0], numbers[1], tuple(name for name in trail.split(",") if name))


class SubtreeExchange:
    """Subtrees to child co-ordinators, one a call. Replies are checked leaf by leaf before any of them counts."""

    def __init__(self, label: str, most_bytes: int) -> None:
        self._label, self._most_bytes = label, most_bytes

    def encode(self, contents: list[Any], seconds_left: list[float], address: tuple[str, int]) -> bytes:
        (ask,) = contents
        bodies = []
        for _, query, leaves in ask.queries:
            others = tuple(m for m in query.matchers if m.name != self._label)
            mine = Matcher(Match.REGEX, self._label, "|".join(re2.escape(name) for name in leaves))
            bodies.append(remote_read.write_query(query._replace(matchers=(*others, mine))))
        body = snappy.compress(remote_read.write_request(bodies, (Accepts.SAMPLES,)))
        milliseconds = max(int(min(seconds_left) * 1000), 1)
        target = (
            front.PATH
            + "?"
            + urlencode(
                {
                    "class": ask.query_class,
                    "timeout": f"{milliseconds}ms",
                    "partial_response": "true",
                }
            )
        )
        orders = ask.orders
        fields = [
            ("Host", f"{address[0]}:{address[1]}"),
            ("Content-Type", front.CONTENT_TYPE),
            ("Content-Encoding", "snappy"),
            (front.VERSION_HEADER, front.VERSION),
            ("User-Agent", "gingervane"),
            (LEVELS, str(orders.levels)),
            (ATTEMPTS, str(orders.attempts)),
            (TRAIL, ",".join(orders.trail)),
            (front.TIMEOUT_HEADER, str(milliseconds)),
            ("Content-Length", str(len(body))),
        ]
        return http1.head(f"POST {target} HTTP/1.1", fields) + body

    def decode(
        self, contents: list[Any], status: int, header: Callable[[str], str], body: bytes
    ) -> list[Any]:
        (ask,) = contents
        front.check_status(status, header)
        try:
            results = remote_read.read_response(snappy.decompress(body, self._most_bytes), len(ask.queries))
        except (snappy.SnappyError, ProtobufError) as error:
            raise t.InvalidReply(f"body: {error}") from None
        if len(results) != len(ask.queries):
            raise t.InvalidReply(f"{len(results)} results for {len(ask.queries)} queries")
        held: dict[str, dict[int, list[Series]]] = {}
        met: list[str] = []
        for (number, query, leaves), result in zip(ask.queries, results, strict=True):
            front.check_times(result, query.start_ms, query.end_ms)
            allowed = frozenset(leaves)
            for series in result:
                name = next((value for label, value in series.labels if label == self._label), "")
                if name not in allowed:
                    raise t.InvalidReply(f"a series of {self._label}={name!r}, which was not asked for")
                met.append(name)
                held.setdefault(name, {}).setdefault(number, []).append(series)
        try:
            said = self._said(ask, header, met)
        except coverage.CoverageError as error:
            raise t.InvalidReply(f"coverage: {error}") from None
        used = header(USED.lower())
        kept = {name: held.get(name, {}) for name in said}
        return [Got(kept, int(used) if used.isascii() and used.isdigit() and len(used) < 4 else None)]

    def _said(self, ask: Ask, header: Callable[[str], str], met: Sequence[str]) -> dict[str, int]:
        bitmap = header(LEAVES.lower())
        if not bitmap:
            return coverage.of_plain(ask.leaves, met)
        said = coverage.decode(ask.leaves, bitmap, header(COUNTS.lower()))
        coverage.check(said, met)
        if header(COVERAGE_HEADER.lower()) == "1" and len(said) < len(ask.leaves):
            raise coverage.CoverageError(f"says whole and holds {len(said)} of {len(ask.leaves)} leaves")
        return said

    def result_size(self, result: Any) -> int:
        return sum(front.size_of(found) for by_query in result.held.values() for found in by_query.values())
