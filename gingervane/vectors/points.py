"""Requests of the vector API, read and checked with the place of each fault. Free of I/O.

The REST API of Qdrant (https://api.qdrant.tech): search, query and their batches; upsert, set payload, delete. Taken
as published: ids are whole numbers from 0 or UUIDs, filters have must, should and must_not. What is not served here
(sparse or named vectors, prefetch, fusion, recommendation) is refused by name, never passed over.
"""

from __future__ import annotations

import uuid
import zlib
from math import isfinite
from typing import Any, NamedTuple

import orjson

PointId = int | str
MAX_FILTER_DEPTH, MAX_CONDITIONS = 8, 256
_SEARCH_KEYS = {
    "vector",
    "query",
    "filter",
    "params",
    "limit",
    "offset",
    "with_payload",
    "with_vector",
    "with_vectors",
    "score_threshold",
    "shard_key",
}
_CONDITION_KEYS = {"key", "match", "range", "has_id", "is_empty", "must", "should", "must_not"}
_RANGE_KEYS = {"gt", "gte", "lt", "lte"}


class RequestError(ValueError):
    """What is wrong with a request, and where."""


class Collection(NamedTuple):
    """`distance`: Cosine or Dot (greater is nearer) or Euclid (less is)."""

    name: str
    dims: int
    distance: str

    @property
    def greater_is_nearer(self) -> bool:
        return self.distance != "Euclid"


class RequestLimits(NamedTuple):
    """`most`: offset and limit together; `points`: of one write; `searches`: of one batch."""

    max_results: int = 10_000
    max_points: int = 10_000
    max_searches: int = 64


class SearchRequest(NamedTuple):
    """One search. `body`: what a shard is asked, without the shard: the first offset + limit, from its first on."""

    limit: int
    offset: int
    body: dict[str, Any]


class PointWrite(NamedTuple):
    """One write, split by shard. `kind` is the name of Qdrant's batch operation; `points`: how many in all."""

    operation: str
    by_shard: dict[int, dict[str, Any]]
    points: int


def decode(body: bytes) -> dict[str, Any]:
    """A JSON object. NaN and infinities are no JSON and are refused here."""
    try:
        found = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise RequestError(f"body: {error}") from None
    if not isinstance(found, dict):
        raise RequestError(f"body: {type(found).__name__}, not an object")
    return found


def shard_of(point: PointId, shards: int) -> int:
    """Where a point lives, on every co-ordinator and for ever."""
    text = f"{point:020d}" if isinstance(point, int) else point
    return zlib.crc32(text.encode()) % shards


def read_id(value: Any, where: str) -> PointId:
    if type(value) is int and 0 <= value < 1 << 64:
        return value
    if isinstance(value, str):
        try:
            return str(uuid.UUID(value))
        except ValueError:
            pass
    raise RequestError(f"{where}: {value!r:.60} is neither a whole number from 0 nor a UUID")


def order_of(point: PointId) -> tuple[bool, PointId]:
    """Numbers before UUIDs: what breaks ties, whatever came first."""
    return isinstance(point, str), point


def read_vector(value: Any, dims: int, where: str) -> list[float]:
    if isinstance(value, dict):
        raise RequestError(f"{where}: named and sparse vectors are not served here")
    if not isinstance(value, list) or len(value) != dims:
        size = len(value) if isinstance(value, list) else type(value).__name__
        raise RequestError(f"{where}: expected {dims} numbers, got {size}")
    for index, number in enumerate(value):
        if type(number) not in (int, float) or not isfinite(number) or abs(number) > 3.4e38:
            raise RequestError(f"{where}[{index}]: {number!r:.40} is no finite number of 32 bits")
    return value


def read_search(
    body: dict[str, Any], collection: Collection, bounds: RequestLimits, where: str = ""
) -> SearchRequest:
    """A search, or a query that is one."""
    for key in body:
        if key not in _SEARCH_KEYS:
            raise RequestError(f"{where}{key}: not served here")
    vector = body.get("vector", body.get("query"))
    name = "vector" if "vector" in body else "query"
    if isinstance(vector, dict) and set(vector) == {"nearest"}:
        vector, name = vector["nearest"], "query.nearest"
    vector = read_vector(vector, collection.dims, where + name)
    limit = _whole(body.get("limit", 10), 1, bounds.max_results, where + "limit")
    offset = _whole(body.get("offset") or 0, 0, bounds.max_results, where + "offset")
    if offset + limit > bounds.max_results:
        raise RequestError(f"{where}limit: {offset} + {limit} is over the bound of {bounds.max_results}")
    asked: dict[str, Any] = {"vector": vector, "limit": offset + limit}
    if (least := body.get("score_threshold")) is not None:
        if type(least) not in (int, float) or not isfinite(least):
            raise RequestError(f"{where}score_threshold: {least!r:.40} is no finite number")
        asked["score_threshold"] = least
    if body.get("filter"):
        _filter(body["filter"], where + "filter", 0, [0])
        asked["filter"] = body["filter"]
    vectors = body.get("with_vector", body.get("with_vectors"))
    for key, given in (("with_payload", body.get("with_payload")), ("with_vector", vectors)):
        if given is not None:
            asked[key] = _selector(given, where + key)
    return SearchRequest(limit, offset, asked)


def read_searches(body: dict[str, Any], collection: Collection, bounds: RequestLimits) -> list[SearchRequest]:
    found = body.get("searches")
    if not isinstance(found, list) or not 0 < len(found) <= bounds.max_searches:
        raise RequestError(f"searches: must be a list of 1 to {bounds.max_searches}")
    out = []
    for index, one in enumerate(found):
        if not isinstance(one, dict):
            raise RequestError(f"searches[{index}]: must be an object")
        out.append(read_search(one, collection, bounds, f"searches[{index}]."))
    return out


def read_upsert(
    body: dict[str, Any], collection: Collection, bounds: RequestLimits, shards: int
) -> PointWrite:
    points = _list(body, "points", bounds.max_points)
    by_shard: dict[int, dict[str, Any]] = {}
    seen: dict[PointId, int] = {}
    for index, point in enumerate(points):
        where = f"points[{index}]"
        if not isinstance(point, dict):
            raise RequestError(f"{where}: must be an object")
        number = read_id(point.get("id"), f"{where}.id")
        if seen.setdefault(number, index) != index:
            raise RequestError(f"{where}.id: {number!r} stands at points[{seen[number]}] too")
        vector = read_vector(point.get("vector"), collection.dims, f"{where}.vector")
        made: dict[str, Any] = {"id": number, "vector": vector}
        payload = point.get("payload")
        if payload is not None and not isinstance(payload, dict):
            raise RequestError(f"{where}.payload: must be an object")
        made["payload"] = payload or {}
        by_shard.setdefault(shard_of(number, shards), {"points": []})["points"].append(made)
    return PointWrite("upsert", by_shard, len(points))


def read_payload(body: dict[str, Any], bounds: RequestLimits, shards: int, increment: bool) -> PointWrite:
    """Set payload; with `increment`, whole numbers are added to what is there."""
    payload = body.get("payload")
    if not isinstance(payload, dict) or not payload:
        raise RequestError("payload: must be an object with a key at least")
    if increment:
        for key, value in payload.items():
            if type(value) is not int or abs(value) > 1 << 53:
                raise RequestError(f"payload.{key}: {value!r:.40} is no whole number to add")
    ids = _ids(body, bounds)
    grouped = _by_shard(ids, shards)
    kind = "increment_payload" if increment else "set_payload"
    return PointWrite(
        kind, {s: {"payload": payload, "points": found} for s, found in grouped.items()}, len(ids)
    )


def read_delete(body: dict[str, Any], bounds: RequestLimits, shards: int) -> PointWrite:
    ids = _ids(body, bounds)
    return PointWrite(
        "delete", {s: {"points": found} for s, found in _by_shard(ids, shards).items()}, len(ids)
    )


def _ids(body: dict[str, Any], bounds: RequestLimits) -> list[PointId]:
    if body.get("filter") is not None:
        raise RequestError("filter: writes by filter are not served here; name points")
    found = [
        read_id(value, f"points[{i}]") for i, value in enumerate(_list(body, "points", bounds.max_points))
    ]
    return list(dict.fromkeys(found))


def _by_shard(ids: list[PointId], shards: int) -> dict[int, list[PointId]]:
    out: dict[int, list[PointId]] = {}
    for number in ids:
        out.setdefault(shard_of(number, shards), []).append(number)
    return out


def _list(body: dict[str, Any], key: str, most: int) -> list[Any]:
    found = body.get(key)
    if not isinstance(found, list) or not 0 < len(found) <= most:
        raise RequestError(f"{key}: must be a list of 1 to {most}")
    return found


def _whole(value: Any, low: int, high: int, where: str) -> int:
    if type(value) is not int or not low <= value <= high:
        raise RequestError(f"{where}: {value!r:.40} is no whole number from {low} to {high}")
    return value


def _selector(value: Any, where: str) -> Any:
    if isinstance(value, bool) or (isinstance(value, list) and all(isinstance(v, str) for v in value)):
        return value
    if isinstance(value, dict) and set(value) <= {"include", "exclude"}:
        return value
    raise RequestError(f"{where}: must be true, false, names, or include and exclude")


def _filter(value: Any, where: str, depth: int, count: list[int]) -> None:
    if depth > MAX_FILTER_DEPTH:
        raise RequestError(f"{where}: deeper than {MAX_FILTER_DEPTH}")
    if not isinstance(value, dict):
        raise RequestError(f"{where}: must be an object")
    for key, found in value.items():
        if key not in ("must", "should", "must_not"):
            raise RequestError(f"{where}.{key}: not one of must, should, must_not")
        for index, condition in enumerate(found if isinstance(found, list) else [found]):
            if condition is not None:
                _condition(condition, f"{where}.{key}[{index}]", depth, count)


def _condition(value: Any, where: str, depth: int, count: list[int]) -> None:
    count[0] += 1
    if count[0] > MAX_CONDITIONS:
        raise RequestError(f"{where}: more than {MAX_CONDITIONS} conditions")
    if not isinstance(value, dict) or not value:
        raise RequestError(f"{where}: must be an object")
    if unknown := set(value) - _CONDITION_KEYS:
        raise RequestError(f"{where}.{min(unknown)}: not served here")
    if value.keys() & {"must", "should", "must_not"}:
        return _filter(value, where, depth + 1, count)
    if "has_id" in value:
        if not isinstance(value["has_id"], list):
            raise RequestError(f"{where}.has_id: must be a list")
        for index, number in enumerate(value["has_id"]):
            read_id(number, f"{where}.has_id[{index}]")
        return None
    if "is_empty" in value:
        if not isinstance(value["is_empty"], dict) or not isinstance(value["is_empty"].get("key"), str):
            raise RequestError(f"{where}.is_empty.key: must be a string")
        return None
    if not isinstance(value.get("key"), str):
        raise RequestError(f"{where}.key: must be a string")
    match, span = value.get("match"), value.get("range")
    if isinstance(match, dict) and len(match) == 1 and match.keys() <= {"value", "any", "except"}:
        given = next(iter(match.values()))
        values = given if isinstance(given, list) else [given]
        if isinstance(given, list) == ("value" in match) or not all(isinstance(v, int | str) for v in values):
            raise RequestError(
                f"{where}.match: value must be a number, string or boolean; any and except lists"
            )
    elif isinstance(span, dict) and span and span.keys() <= _RANGE_KEYS:
        for key, number in span.items():
            if number is not None and (type(number) not in (int, float) or not isfinite(number)):
                raise RequestError(f"{where}.range.{key}: {number!r:.40} is no finite number")
    else:
        raise RequestError(f"{where}: match (value, any, except) or range (gt, gte, lt, lte) is missing")
    return None


def matches_filter(point: PointId, payload: dict[str, Any], value: dict[str, Any]) -> bool:
    """Whether a point is let through by a filter that has been checked."""

    def all_of(key: str) -> list[Any]:
        found = value.get(key)
        return [c for c in (found if isinstance(found, list) else [found]) if c is not None]

    should = all_of("should")
    return (
        all(_holds(point, payload, c) for c in all_of("must"))
        and not any(_holds(point, payload, c) for c in all_of("must_not"))
        and (not should or any(_holds(point, payload, c) for c in should))
    )


def _holds(point: PointId, payload: dict[str, Any], condition: dict[str, Any]) -> bool:
    if condition.keys() & {"must", "should", "must_not"}:
        return matches_filter(point, payload, condition)
    if "has_id" in condition:
        return point in condition["has_id"]
    if "is_empty" in condition:
        return payload.get(condition["is_empty"]["key"]) in (None, [])
    found: Any = payload
    for word in condition["key"].split("."):
        found = found.get(word) if isinstance(found, dict) else None
    values = found if isinstance(found, list) else [found]
    if match := condition.get("match"):
        kind, given = next(iter(match.items()))
        if kind == "except":
            return any(v is not None and v not in given for v in values)
        wanted = given if kind == "any" else [given]
        return any(type(v) is type(w) and v == w for v in values for w in wanted)
    span = condition["range"]
    return any(type(v) in (int, float) and _inside(v, span) for v in values)


def _inside(number: float, span: dict[str, float | None]) -> bool:
    gt, gte, lt, lte = (span.get(key) for key in ("gt", "gte", "lt", "lte"))
    return (
        (gt is None or number > gt)
        and (gte is None or number >= gte)
        and (lt is None or number < lt)
        and (lte is None or number <= lte)
    )
