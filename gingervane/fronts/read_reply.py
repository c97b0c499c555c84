"""Encoding of replies to remote read requests: merged series with their coverage, or an error."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from gingervane.coordinator import types as t
from gingervane.fronts import subtree_codec
from gingervane.fronts.http_server import Reply, plain
from gingervane.fronts.leaf_codec import CONTENT_TYPE, PATH_HEADER
from gingervane.fronts.read_request import ReadRequest
from gingervane.fronts.routing import bounded_header_value, coverage_fields, rejection
from gingervane.fronts.shard_matching import ShardIndex
from gingervane.interface import RetrySafety
from gingervane.merge import series as merging
from gingervane.tree import coverage
from gingervane.wire import remote_read, snappy
from gingervane.wire.remote_read import Series


class ReadResult(NamedTuple):
    """The result of a request, whether its leaves were queried directly or through children."""

    status: t.QueryStatus
    series_by_leaf: dict[str, dict[int, list[Series]]]  # by leaf, then by index of the query
    share: float
    retry_after: float
    detail: str
    attempts: list[t.AttemptRecord]
    attempts_used: int  # maximum over the leaves of the attempts that may have run
    release: Callable[[], None]  # called once the reply has been written or writing it failed


def has_answer(request: ReadRequest, result: ReadResult) -> bool:
    """Whether the result is an answer that the client accepts."""
    if result.status is t.QueryStatus.PARTIAL:
        return request.parameters.partial_allowed
    return result.status is t.QueryStatus.COMPLETE


def unsuccessful_reply(result: ReadResult, retry_safety: RetrySafety) -> Reply:
    """Return the reply to a request that was rejected or failed."""
    if result.status is not t.QueryStatus.REJECTED:
        detail = f"failed: {result.detail or 'no answer in time'}"
        return plain(502, detail)._replace(done=result.release)
    # A query that is not idempotent has this status only if it is proved that nothing was executed.
    proof = retry_safety is not RetrySafety.IDEMPOTENT
    return rejection(result.retry_after, result.detail or "refused", result.release, proof)


class ReadReplyEncoder:
    """Encodes answers as HTTP replies."""

    def __init__(self, shards: ShardIndex, keep_label: bool) -> None:
        self._shards = shards
        self._keep_label = keep_label

    def answer(self, request: ReadRequest, result: ReadResult) -> Reply:
        """Return the reply with a complete or partial result."""
        body = self._encode_series(request, result)
        complete = result.status is t.QueryStatus.COMPLETE
        missing = (name for name in request.leaves if name not in result.series_by_leaf)
        fields = [
            ("Content-Type", CONTENT_TYPE),
            ("Content-Encoding", "snappy"),
            *coverage_fields(complete, result.share, missing),
        ]
        if request.context is not None:
            fields += _subtree_fields(request, result)
        if request.parameters.attempts_listed:
            attempts = [self._describe_attempt(attempt) for attempt in result.attempts]
            fields.append((PATH_HEADER, bounded_header_value(attempts)))
        return Reply(200, fields, body, result_expires_at=request.deadline, done=result.release)

    def _encode_series(self, request: ReadRequest, result: ReadResult) -> bytes:
        """Merge and encode the series of each query; a child keeps the shard label for its parent."""
        by_query: list[list[list[Series]]] = [[] for _ in request.queries]
        for by_index in result.series_by_leaf.values():
            for index, leaf_series in by_index.items():
                by_query[index].append(leaf_series)
        if not self._keep_label and request.context is None:
            label = self._shards.label
            by_query = [
                [[merging.without_label(series, label) for series in part] for part in parts]
                for parts in by_query
            ]
        return snappy.compress(remote_read.write_response(merging.merge(parts) for parts in by_query))

    def _describe_attempt(self, attempt: t.AttemptRecord) -> str:
        names = self._shards.names
        name = names[attempt.shard] if attempt.shard < len(names) else str(attempt.shard)
        milliseconds = attempt.seconds * 1000
        return f"{name}/{attempt.attempt}/{attempt.replica}/{attempt.outcome}/{milliseconds:.1f}"


def _subtree_fields(request: ReadRequest, result: ReadResult) -> list[tuple[str, str]]:
    """Return the headers in which a child reports to its parent the received leaves and the attempts used."""
    series_counts = {
        name: sum(len(leaf_series) for leaf_series in by_index.values())
        for name, by_index in result.series_by_leaf.items()
    }
    bitmap, counts = coverage.encode(sorted(request.leaves), series_counts)
    return [
        (subtree_codec.LEAVES, bitmap),
        (subtree_codec.COUNTS, counts),
        (subtree_codec.USED, str(result.attempts_used)),
    ]
