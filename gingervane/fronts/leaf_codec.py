"""Wire codec of parts sent to replicas as Prometheus remote read requests, and the checks of replies."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import numpy as np

from gingervane.coordinator import types as t
from gingervane.fronts.routing import BEGAN_HEADER
from gingervane.wire import http1, remote_read, snappy
from gingervane.wire.protobuf import ProtobufError
from gingervane.wire.remote_read import Accepts, Series

PATH = "/api/v1/read"
CONTENT_TYPE = "application/x-protobuf"
VERSION_HEADER = "X-Prometheus-Remote-Read-Version"
VERSION = "0.1.0"
TIMEOUT_HEADER = "Gingervane-Timeout-Ms"
PATH_HEADER = "Gingervane-Path"

# Estimated memory in bytes of each object, besides the encoded message of a histogram.
_SERIES_BYTES = 200
_LABEL_BYTES = 100
_SAMPLE_BYTES = 16
_HISTOGRAM_BYTES = 100


class LeafQuery(NamedTuple):
    """One query of a client's request as it is sent to one leaf."""

    query_index: int  # of the query in the client's request
    body: bytes  # the encoded Query message
    start_ms: int
    end_ms: int


class LeafContent(NamedTuple):
    """The content of one part: the name of a leaf (a shard) and the queries for it."""

    leaf: str
    queries: tuple[LeafQuery, ...]


class RemoteReadCodec:
    """Encodes the parts of a batch as one remote read request, and decodes and verifies the reply."""

    def __init__(self, label: str, max_reply_bytes: int) -> None:
        self._label = label
        self._max_reply_bytes = max_reply_bytes

    def encode(self, contents: list[Any], seconds_left: list[float], address: tuple[str, int]) -> bytes:
        """Encode one request for all parts."""
        queries = [query.body for part in contents for query in part.queries]
        body = snappy.compress(remote_read.write_request(queries, (Accepts.SAMPLES,)))
        fields = [
            ("Host", f"{address[0]}:{address[1]}"),
            ("Content-Type", CONTENT_TYPE),
            ("Content-Encoding", "snappy"),
            (VERSION_HEADER, VERSION),
            ("User-Agent", "gingervane"),
            (TIMEOUT_HEADER, str(max(int(min(seconds_left) * 1000), 1))),
            ("Content-Length", str(len(body))),
        ]
        return http1.encode_head(f"POST {PATH} HTTP/1.1", fields) + body

    def decode(
        self, contents: list[Any], status: int, header: Callable[[str], str], body: bytes
    ) -> list[Any]:
        """Return the series of each part, one list for each of its queries. Raises InvalidReply."""
        check_status(status, header)
        count = sum(len(part.queries) for part in contents)
        results = iter(read_results(body, count, self._max_reply_bytes))
        return [self._decode_part(part, results) for part in contents]

    def _decode_part(self, part: LeafContent, results: Iterator[list[Series]]) -> list[list[Series]]:
        """Consume the results of one part from the iterator and check them. Raises InvalidReply."""
        part_results = [next(results) for _ in part.queries]
        for query, result in zip(part.queries, part_results, strict=True):
            if any((self._label, part.leaf) not in series.labels for series in result):
                raise t.InvalidReply(f"a series outside {self._label}={part.leaf!r}")
            check_times(result, query.start_ms, query.end_ms)
        return part_results

    def result_size(self, result: list[list[Series]]) -> int:
        """Return approximately how many bytes of memory the results of one part take."""
        return sum(memory_size(series) for series in result)


def read_results(body: bytes, count: int, max_bytes: int) -> list[list[Series]]:
    """Decode the body of a reply to `count` queries. Raises InvalidReply."""
    try:
        results = remote_read.read_response(snappy.decompress(body, max_bytes), count)
    except (snappy.SnappyError, ProtobufError) as error:
        raise t.InvalidReply(f"body: {error}") from None
    if len(results) != count:
        raise t.InvalidReply(f"{len(results)} results for {count} queries")
    return results


def check_status(status: int, header: Callable[[str], str]) -> None:
    """Raise InvalidReply unless a reply has status 200 and the content type and encoding of an answer."""
    if status != 200:
        not_executed = header(BEGAN_HEADER.lower()) == "no" and status in (429, 503, 508)
        raise t.InvalidReply(
            f"status {status}", proves_not_executed=not_executed, overloaded=status in (429, 503)
        )
    if header("content-type").partition(";")[0].strip().lower() != CONTENT_TYPE:
        raise t.InvalidReply(f"content type {header('content-type')!r}")
    if header("content-encoding").lower() != "snappy":
        raise t.InvalidReply(f"content encoding {header('content-encoding')!r}")


def check_times(result: list[Series], start_ms: int, end_ms: int) -> None:
    """Raise InvalidReply if a sample lies outside the time range of its query."""
    if result:
        times = np.concatenate([series.timestamps for series in result])
        if len(times) and (int(times.min()) < start_ms or int(times.max()) > end_ms):
            raise t.InvalidReply(f"samples outside {start_ms} to {end_ms} ms")
    for series in result:
        if any(not start_ms <= time_ms <= end_ms for time_ms, _ in series.histograms):
            raise t.InvalidReply(f"histograms outside {start_ms} to {end_ms} ms")


def memory_size(result: list[Series]) -> int:
    """Return approximately how many bytes of memory the series take."""
    return sum(
        _SERIES_BYTES
        + _LABEL_BYTES * len(series.labels)
        + _SAMPLE_BYTES * len(series.timestamps)
        + sum(_HISTOGRAM_BYTES + len(message) for _, message in series.histograms)
        for series in result
    )
