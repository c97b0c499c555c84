"""Encoding of parts for replicas: Qdrant's batch operations, each of which names its shard by `shard_key`.

A reply is validated before it is used: form, limits, order, finite scores, and ids that belong to the shard.
Some headers extend the published API. Writes carry `Idempotency-Key` and `Gingervane-Version`.
`Gingervane-Began: no` on a rejection proves that execution was not started. `Gingervane-Freshness` on an
answer gives the newest version that the replica has applied, for each shard.
"""

from __future__ import annotations

from collections.abc import Callable
from math import isfinite
from typing import Any, NamedTuple

import orjson

from gingervane.coordinator import types as t
from gingervane.fronts.routing import BEGAN_HEADER
from gingervane.vectors.points import Collection, RequestError, read_id, shard_of
from gingervane.vectors.topk import is_sorted
from gingervane.wire import http1

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
VERSION_HEADER = "Gingervane-Version"
FRESHNESS_HEADER = "Gingervane-Freshness"
TIMEOUT_HEADER = "Gingervane-Timeout-Ms"

_OVERLOADED_STATUSES = (429, 503)
_DECODED_SIZE_FACTOR = 3  # approximate size of decoded JSON relative to its encoded size
_WRITE_RESULT_BYTES = 64  # approximate size of a `WriteAcknowledgement` in memory
_MAX_FRESHNESS_ENTRIES = 4096
_MAX_FRESHNESS_ENTRY_LENGTH = 40  # characters, exclusive


class ShardSearch(NamedTuple):
    """Content of a part of a search request: a shard, and all searches of the request."""

    shard: int
    searches: tuple[dict[str, Any], ...]


class ShardHits(NamedTuple):
    """Result of a part of a search request: the points of a shard."""

    lists: list[list[dict[str, Any]]]  # points, by search
    freshness: int  # newest version of the shard that the replica has applied
    byte_count: int  # size of this part's share of the reply


class ShardWrite(NamedTuple):
    """Content of a part of a write: the shard, the operation, and the target replica."""

    shard: int
    operation: str
    body: dict[str, Any]
    replica: int


class WriteAcknowledgement(NamedTuple):
    """Result of a part of a write: the replica has executed it."""

    shard: int
    replayed: bool  # the replica recognized the key of an earlier execution


def encode_request(
    method: str,
    target: str,
    address: tuple[str, int],
    body: bytes,
    seconds_left: float,
    fields: tuple[tuple[str, str], ...] = (),
) -> bytes:
    """Encode an HTTP request with a JSON body."""
    return (
        http1.encode_head(
            f"{method} {target} HTTP/1.1",
            [
                ("Host", f"{address[0]}:{address[1]}"),
                ("Content-Type", "application/json"),
                ("User-Agent", "gingervane"),
                (TIMEOUT_HEADER, str(max(int(seconds_left * 1000), 1))),
                ("Content-Length", str(len(body))),
                *fields,
            ],
        )
        + body
    )


def decode_result(status: int, header: Callable[[str], str], body: bytes) -> Any:
    """Decode the `result` of a reply. Raises InvalidReply."""
    if status != 200:
        overloaded = status in _OVERLOADED_STATUSES
        not_executed = header(BEGAN_HEADER.lower()) == "no" and overloaded
        raise t.InvalidReply(f"status {status}", proves_not_executed=not_executed, overloaded=overloaded)
    try:
        return orjson.loads(body)["result"]
    except (orjson.JSONDecodeError, KeyError, TypeError) as error:
        raise t.InvalidReply(f"body: {error!r}") from None


class SearchCodec:
    """Codec of the searches of one collection.

    All requests to the collection share one codec, so that their parts for one replica can be sent together.
    """

    def __init__(self, collection: Collection, shards: int) -> None:
        self._collection = collection
        self._shards = shards

    def encode(
        self, contents: list[ShardSearch], seconds_left: list[float], address: tuple[str, int]
    ) -> bytes:
        """Encode the searches of several parts as one batch."""
        searches = [
            {**search, "shard_key": f"s{content.shard}"}
            for content in contents
            for search in content.searches
        ]
        target = f"/collections/{self._collection.name}/points/search/batch"
        body = orjson.dumps({"searches": searches})
        return encode_request("POST", target, address, body, min(seconds_left))

    def decode(
        self, contents: list[ShardSearch], status: int, header: Callable[[str], str], body: bytes
    ) -> list[ShardHits]:
        """Decode and check the points for each part. Raises InvalidReply."""
        lists = decode_result(status, header, body)
        expected = sum(len(content.searches) for content in contents)
        if not isinstance(lists, list) or len(lists) != expected:
            received = len(lists) if isinstance(lists, list) else type(lists).__name__
            raise t.InvalidReply(f"{received} results for {expected}")
        freshness = _decode_freshness(header(FRESHNESS_HEADER.lower()))
        byte_count = len(body) // len(contents)
        remaining = iter(lists)
        hits: list[ShardHits] = []
        for content in contents:
            own_lists = [next(remaining) for _ in content.searches]
            for search, points in zip(content.searches, own_lists, strict=True):
                self._check_points(content.shard, search, points)
            hits.append(ShardHits(own_lists, freshness.get(content.shard, 0), byte_count))
        return hits

    def result_size(self, result: ShardHits) -> int:
        """Return the approximate size of a result in memory, in bytes."""
        return _DECODED_SIZE_FACTOR * int(result.byte_count)

    def _check_points(self, shard: int, search: dict[str, Any], points: Any) -> None:
        if not isinstance(points, list) or len(points) > search["limit"]:
            raise t.InvalidReply(f"shard {shard}: no list of {search['limit']} points at most")
        for point in points:
            self._check_point(shard, point)
        if not is_sorted(points, self._collection.greater_is_nearer):
            raise t.InvalidReply(f"shard {shard}: not in order")

    def _check_point(self, shard: int, point: Any) -> None:
        try:
            score = point["score"]
            version = point["version"]
            point_id = read_id(point["id"], "id")
        except (KeyError, TypeError, RequestError) as error:
            raise t.InvalidReply(f"shard {shard}: a point makes no sense: {error!r}") from None
        if type(score) not in (int, float) or not isfinite(score) or type(version) is not int:
            raise t.InvalidReply(f"shard {shard}: point {point_id!r} has no finite score and version")
        if shard_of(point_id, self._shards) != shard:
            raise t.InvalidReply(f"shard {shard}: point {point_id!r} lives elsewhere")


class WriteCodec:
    """Codec of the parts of one write, one part per replica of each of its shards."""

    def __init__(
        self,
        collection: Collection,
        key: str,
        version: int,
        on_acknowledged: Callable[[int, int], None],
    ) -> None:
        """`on_acknowledged` is called with the shard and the replica of every success, on a sender's thread.

        It is also called for a success that arrives after the client has been answered.
        """
        self._collection = collection
        self._key = key
        self._version = version
        self._on_acknowledged = on_acknowledged

    def encode(
        self, contents: list[ShardWrite], seconds_left: list[float], address: tuple[str, int]
    ) -> bytes:
        """Encode the operations of several parts as one batch."""
        operations = [
            {content.operation: {**content.body, "shard_key": f"s{content.shard}"}} for content in contents
        ]
        target = f"/collections/{self._collection.name}/points/batch?wait=true"
        key_fields = ((IDEMPOTENCY_KEY_HEADER, self._key),) if self._key else ()
        return encode_request(
            "POST",
            target,
            address,
            orjson.dumps({"operations": operations}),
            min(seconds_left),
            (*key_fields, (VERSION_HEADER, str(self._version))),
        )

    def decode(
        self, contents: list[ShardWrite], status: int, header: Callable[[str], str], body: bytes
    ) -> list[WriteAcknowledgement]:
        """Decode and check the acknowledgement of each part. Raises InvalidReply."""
        results = decode_result(status, header, body)
        if not isinstance(results, list) or len(results) != len(contents):
            raise t.InvalidReply("not a result for each operation")
        if any(not isinstance(result, dict) or result.get("status") != "completed" for result in results):
            raise t.InvalidReply("an operation was not completed")
        for content in contents:
            self._on_acknowledged(content.shard, content.replica)
        return [
            WriteAcknowledgement(content.shard, bool(result.get("repeat")))
            for content, result in zip(contents, results, strict=True)
        ]

    def result_size(self, result: WriteAcknowledgement) -> int:  # noqa: ARG002 - required by `HttpCodec`
        """Return the approximate size of a result in memory, in bytes."""
        return _WRITE_RESULT_BYTES


def _decode_freshness(text: str) -> dict[int, int]:
    """Decode `s3=17,s4=2` to versions by shard. Malformed entries are ignored."""
    versions: dict[int, int] = {}
    for entry in text.split(",")[:_MAX_FRESHNESS_ENTRIES]:
        name, _, version = entry.strip().partition("=")
        is_valid = name[:1] == "s" and name[1:].isdigit() and version.isdigit()
        if is_valid and len(entry) < _MAX_FRESHNESS_ENTRY_LENGTH:
            versions[int(name[1:])] = int(version)
    return versions
