"""How parts of the vector front travel to replicas: Qdrant's batch operations, each naming its shard by `shard_key`.

Replies are checked before any of it counts: shape, bounds, order, finite scores, ids that live in the shard. Headers
beside the published API: `Idempotency-Key` and `Gingervane-Version` on writes; `Gingervane-Began: no` on a refusal
proves that nothing was begun; `Gingervane-Freshness` on an answer has for each shard the newest version applied.
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

KEY_HEADER, VERSION_HEADER, FRESHNESS_HEADER = "Idempotency-Key", "Gingervane-Version", "Gingervane-Freshness"
TIMEOUT_HEADER = "Gingervane-Timeout-Ms"


class ShardSearch(NamedTuple):
    """The content of one part: a shard and all that is asked of it."""

    shard: int
    searches: tuple[dict[str, Any], ...]


class ShardHits(NamedTuple):
    """A shard's answer: a list a search, its own newest version, and the bytes that it came in."""

    lists: list[list[dict[str, Any]]]
    freshness: int
    byte_count: int


class ShardWrite(NamedTuple):
    """The content of one part of a write: a shard, what is to be done there, and the holder that it is for."""

    shard: int
    operation: str
    body: dict[str, Any]
    replica: int


class WriteAcknowledgement(NamedTuple):
    """A holder has done its part. `repeat`: it had done so before, by the key."""

    shard: int
    replayed: bool


def encode_request(
    method: str,
    target: str,
    address: tuple[str, int],
    body: bytes,
    seconds_left: float,
    fields: tuple[tuple[str, str], ...] = (),
) -> bytes:
    """A JSON request's bytes."""
    return (
        http1.head(
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
    """The `result` of a reply. Raises BadReply."""
    if status != 200:
        idle = header(BEGAN_HEADER.lower()) == "no" and status in (429, 503)
        raise t.InvalidReply(f"status {status}", proves_not_executed=idle, overloaded=status in (429, 503))
    try:
        found = orjson.loads(body)
        return found["result"]
    except (orjson.JSONDecodeError, KeyError, TypeError) as error:
        raise t.InvalidReply(f"body: {error!r}") from None


class SearchCodec:
    """Searches of one collection. Shared by all its requests, so that parts for one replica travel together."""

    def __init__(self, collection: Collection, shards: int) -> None:
        self._collection, self._shards = collection, shards

    def encode(self, contents: list[Any], seconds_left: list[float], address: tuple[str, int]) -> bytes:
        searches = [{**one, "shard_key": f"s{c.shard}"} for c in contents for one in c.searches]
        target = f"/collections/{self._collection.name}/points/search/batch"
        return encode_request(
            "POST", target, address, orjson.dumps({"searches": searches}), min(seconds_left)
        )

    def decode(
        self, contents: list[Any], status: int, header: Callable[[str], str], body: bytes
    ) -> list[Any]:
        lists = decode_result(status, header, body)
        count = sum(len(c.searches) for c in contents)
        if not isinstance(lists, list) or len(lists) != count:
            raise t.InvalidReply(
                f"{len(lists) if isinstance(lists, list) else type(lists).__name__} results for {count}"
            )
        fresh = _freshness(header(FRESHNESS_HEADER.lower()))
        out: list[ShardHits] = []
        at = iter(lists)
        for content in contents:
            mine = [next(at) for _ in content.searches]
            for asked, found in zip(content.searches, mine, strict=True):
                self._check(content.shard, asked, found)
            out.append(ShardHits(mine, fresh.get(content.shard, 0), len(body) // len(contents)))
        return out

    def _check(self, shard: int, asked: dict[str, Any], found: Any) -> None:
        if not isinstance(found, list) or len(found) > asked["limit"]:
            raise t.InvalidReply(f"shard {shard}: no list of {asked['limit']} points at most")
        for point in found:
            try:
                score, version, number = point["score"], point["version"], read_id(point["id"], "id")
            except (KeyError, TypeError, RequestError) as error:
                raise t.InvalidReply(f"shard {shard}: a point makes no sense: {error!r}") from None
            if type(score) not in (int, float) or not isfinite(score) or type(version) is not int:
                raise t.InvalidReply(f"shard {shard}: point {number!r} has no finite score and version")
            if shard_of(number, self._shards) != shard:
                raise t.InvalidReply(f"shard {shard}: point {number!r} lives elsewhere")
        if not is_sorted(found, self._collection.greater_is_nearer):
            raise t.InvalidReply(f"shard {shard}: not in order")

    def result_size(self, result: Any) -> int:
        return 3 * int(result.byte_count)  # decoded JSON takes about so much more


class WriteCodec:
    """One write request, to each holder of each of its shards."""

    def __init__(
        self,
        collection: Collection,
        key: str,
        version: int,
        acked: Callable[[int, int], None],
    ) -> None:
        """`acked` is told of every holder's success, by shard and holder, also of one that comes when nobody waits
        any more; on a sender's thread."""
        self._collection, self._key, self._version, self._acked = collection, key, version, acked

    def encode(self, contents: list[Any], seconds_left: list[float], address: tuple[str, int]) -> bytes:
        operations = [{c.operation: {**c.body, "shard_key": f"s{c.shard}"}} for c in contents]
        target = f"/collections/{self._collection.name}/points/batch?wait=true"
        fields = ((KEY_HEADER, self._key),) if self._key else ()
        return encode_request(
            "POST",
            target,
            address,
            orjson.dumps({"operations": operations}),
            min(seconds_left),
            (*fields, (VERSION_HEADER, str(self._version))),
        )

    def decode(
        self, contents: list[Any], status: int, header: Callable[[str], str], body: bytes
    ) -> list[Any]:
        found = decode_result(status, header, body)
        if not isinstance(found, list) or len(found) != len(contents):
            raise t.InvalidReply("not a result for each operation")
        if any(not isinstance(one, dict) or one.get("status") != "completed" for one in found):
            raise t.InvalidReply("an operation was not completed")
        for content in contents:
            self._acked(content.shard, content.replica)
        return [
            WriteAcknowledgement(c.shard, bool(one.get("repeat")))
            for c, one in zip(contents, found, strict=True)
        ]

    def result_size(self, result: Any) -> int:
        return 64


def _freshness(text: str) -> dict[int, int]:
    """`s3=17,s4=2`; what makes no sense is left out."""
    out: dict[int, int] = {}
    for word in text.split(",")[:4096]:
        name, _, version = word.strip().partition("=")
        if name[:1] == "s" and name[1:].isdigit() and version.isdigit() and len(word) < 40:
            out[int(name[1:])] = int(version)
    return out
