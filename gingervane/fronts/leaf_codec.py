"""How parts travel to replicas: remote read, checked before any of it counts. Names shared with other fronts."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import numpy as np

from gingervane.coordinator import types as t
from gingervane.fronts.routing import BEGAN_HEADER
from gingervane.wire import http1, remote_read, snappy
from gingervane.wire.protobuf import ProtobufError
from gingervane.wire.remote_read import Accepts, Series

PATH = "/api/v1/read"
CONTENT_TYPE = "application/x-protobuf"
VERSION_HEADER, VERSION = "X-Prometheus-Remote-Read-Version", "0.1.0"
TIMEOUT_HEADER, PATH_HEADER = "Gingervane-Timeout-Ms", "Gingervane-Path"


class Asked(NamedTuple):
    """One query of a request as one shard is asked it."""

    number: int  # of the query in the client's request
    body: bytes  # the Query message
    start_ms: int
    end_ms: int


class Tile(NamedTuple):
    """The content of one part: a shard and what it is asked."""

    name: str
    asked: tuple[Asked, ...]


class RemoteReadExchange:
    """Parts to replicas as remote read: one request for all parts of a call, checked before any of it counts."""

    def __init__(self, label: str, most_bytes: int) -> None:
        self._label, self._most_bytes = label, most_bytes

    def encode(self, contents: list[Any], seconds_left: list[float], address: tuple[str, int]) -> bytes:
        queries = [asked.body for tile in contents for asked in tile.asked]
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
        return http1.head(f"POST {PATH} HTTP/1.1", fields) + body

    def decode(
        self, contents: list[Any], status: int, header: Callable[[str], str], body: bytes
    ) -> list[Any]:
        check_status(status, header)
        count = sum(len(tile.asked) for tile in contents)
        try:
            results = remote_read.read_response(snappy.decompress(body, self._most_bytes), count)
        except (snappy.SnappyError, ProtobufError) as error:
            raise t.InvalidReply(f"body: {error}") from None
        if len(results) != count:
            raise t.InvalidReply(f"{len(results)} results for {count} queries")
        out: list[list[list[Series]]] = []
        at = iter(results)
        for tile in contents:
            mine = [next(at) for _ in tile.asked]
            for asked, result in zip(tile.asked, mine, strict=True):
                if any((self._label, tile.name) not in series.labels for series in result):
                    raise t.InvalidReply(f"a series outside {self._label}={tile.name!r}")
                check_times(result, asked.start_ms, asked.end_ms)
            out.append(mine)
        return out

    def result_size(self, result: Any) -> int:
        return sum(size_of(series) for series in result)


def check_status(status: int, header: Callable[[str], str]) -> None:
    """Raise BadReply unless a reply's head is that of an answer."""
    if status != 200:
        idle = header(BEGAN_HEADER.lower()) == "no" and status in (429, 503, 508)
        raise t.InvalidReply(f"status {status}", proves_not_executed=idle, overloaded=status in (429, 503))
    if header("content-type").partition(";")[0].strip().lower() != CONTENT_TYPE:
        raise t.InvalidReply(f"content type {header('content-type')!r}")
    if header("content-encoding").lower() != "snappy":
        raise t.InvalidReply(f"content encoding {header('content-encoding')!r}")


def check_times(result: list[Series], start_ms: int, end_ms: int) -> None:
    """Raise BadReply for samples outside the time that was asked for."""
    if result:
        times = np.concatenate([series.timestamps for series in result])
        if len(times) and (int(times.min()) < start_ms or int(times.max()) > end_ms):
            raise t.InvalidReply(f"samples outside {start_ms} to {end_ms} ms")
    for series in result:
        if any(not start_ms <= at <= end_ms for at, _ in series.histograms):
            raise t.InvalidReply(f"histograms outside {start_ms} to {end_ms} ms")


def size_of(result: list[Series]) -> int:
    """Bytes that series hold in memory, roughly."""
    return sum(
        200 + 100 * len(s.labels) + 16 * len(s.timestamps) + sum(100 + len(raw) for _, raw in s.histograms)
        for s in result
    )
