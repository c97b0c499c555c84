"""Requests of the vector API: decoding and validation. Errors name the place of the fault. Free of I/O.

The REST API of Qdrant (https://api.qdrant.tech): search, query and their batches; upsert, set payload,
delete. Unsupported features (sparse or named vectors, prefetch, fusion, recommendation) are rejected by name,
never ignored.
"""

from __future__ import annotations

from math import isfinite
from typing import Any, NamedTuple

import orjson

from gingervane.vectors.filters import check_filter
from gingervane.vectors.points import Collection, PointId, RequestError, read_id, shard_of

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
_DEFAULT_LIMIT = 10
_MAX_VECTOR_NUMBER = 3.4e38  # the range of a 32-bit float
_MAX_INCREMENT = 1 << 53  # the range of integers that a 64-bit float represents exactly


class RequestLimits(NamedTuple):
    """Limits of one request."""

    max_results: int = 10_000  # sum of offset and limit
    max_points: int = 10_000  # of a write
    max_searches: int = 64  # of a batch


class SearchRequest(NamedTuple):
    """One search."""

    limit: int
    offset: int
    body: dict[str, Any]  # sent to each shard, which returns its first offset + limit points


class PointWrite(NamedTuple):
    """One write, split by shard."""

    operation: str  # name of Qdrant's batch operation
    by_shard: dict[int, dict[str, Any]]  # body of the operation for each shard
    points: int  # number of points in all shards


def decode(body: bytes) -> dict[str, Any]:
    """Decode a JSON object. NaN and infinities are rejected. Raises RequestError."""
    try:
        content = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise RequestError(f"body: {error}") from None
    if not isinstance(content, dict):
        raise RequestError(f"body: {type(content).__name__}, not an object")
    return content


def read_vector(value: Any, dims: int, where: str) -> list[float]:
    """Return a vector of `dims` finite numbers, after checking it. Raises RequestError."""
    if isinstance(value, dict):
        raise RequestError(f"{where}: named and sparse vectors are not served here")
    if not isinstance(value, list) or len(value) != dims:
        size = len(value) if isinstance(value, list) else type(value).__name__
        raise RequestError(f"{where}: expected {dims} numbers, got {size}")
    for index, number in enumerate(value):
        is_number = type(number) in (int, float) and isfinite(number)
        if not is_number or abs(number) > _MAX_VECTOR_NUMBER:
            raise RequestError(f"{where}[{index}]: {number!r:.40} is no finite number of 32 bits")
    return value


def read_search(
    body: dict[str, Any], collection: Collection, limits: RequestLimits, where: str = ""
) -> SearchRequest:
    """Read a search, or a query for the nearest points. Raises RequestError.

    `where` is put before the name of the invalid field in the message of an error.
    """
    for key in body:
        if key not in _SEARCH_KEYS:
            raise RequestError(f"{where}{key}: not served here")
    vector = _search_vector(body, collection, where)
    limit = _read_whole_number(body.get("limit", _DEFAULT_LIMIT), 1, limits.max_results, where + "limit")
    offset = _read_whole_number(body.get("offset") or 0, 0, limits.max_results, where + "offset")
    if offset + limit > limits.max_results:
        raise RequestError(f"{where}limit: {offset} + {limit} is over the bound of {limits.max_results}")
    shard_body: dict[str, Any] = {"vector": vector, "limit": offset + limit}
    if (threshold := body.get("score_threshold")) is not None:
        if type(threshold) not in (int, float) or not isfinite(threshold):
            raise RequestError(f"{where}score_threshold: {threshold!r:.40} is no finite number")
        shard_body["score_threshold"] = threshold
    if body.get("filter"):
        check_filter(body["filter"], where + "filter")
        shard_body["filter"] = body["filter"]
    with_vector = body.get("with_vector", body.get("with_vectors"))
    for key, selector in (("with_payload", body.get("with_payload")), ("with_vector", with_vector)):
        if selector is not None:
            shard_body[key] = _read_selector(selector, where + key)
    return SearchRequest(limit, offset, shard_body)


def _search_vector(body: dict[str, Any], collection: Collection, where: str) -> list[float]:
    vector = body.get("vector", body.get("query"))
    name = "vector" if "vector" in body else "query"
    if isinstance(vector, dict) and set(vector) == {"nearest"}:
        vector = vector["nearest"]
        name = "query.nearest"
    return read_vector(vector, collection.dims, where + name)


def read_searches(body: dict[str, Any], collection: Collection, limits: RequestLimits) -> list[SearchRequest]:
    """Read a batch of searches. Raises RequestError."""
    searches = []
    for index, search in enumerate(_read_list(body, "searches", limits.max_searches)):
        if not isinstance(search, dict):
            raise RequestError(f"searches[{index}]: must be an object")
        searches.append(read_search(search, collection, limits, f"searches[{index}]."))
    return searches


def read_upsert(
    body: dict[str, Any], collection: Collection, limits: RequestLimits, shards: int
) -> PointWrite:
    """Read points to insert or to replace. Raises RequestError."""
    points = _read_list(body, "points", limits.max_points)
    by_shard: dict[int, dict[str, Any]] = {}
    index_by_id: dict[PointId, int] = {}
    for index, point in enumerate(points):
        where = f"points[{index}]"
        if not isinstance(point, dict):
            raise RequestError(f"{where}: must be an object")
        point_id = read_id(point.get("id"), f"{where}.id")
        if index_by_id.setdefault(point_id, index) != index:
            raise RequestError(f"{where}.id: {point_id!r} stands at points[{index_by_id[point_id]}] too")
        vector = read_vector(point.get("vector"), collection.dims, f"{where}.vector")
        payload = point.get("payload")
        if payload is not None and not isinstance(payload, dict):
            raise RequestError(f"{where}.payload: must be an object")
        shard_body = by_shard.setdefault(shard_of(point_id, shards), {"points": []})
        shard_body["points"].append({"id": point_id, "vector": vector, "payload": payload or {}})
    return PointWrite("upsert", by_shard, len(points))


def read_payload(body: dict[str, Any], limits: RequestLimits, shards: int, increment: bool) -> PointWrite:
    """Read a payload to set or, with `increment`, integers to add to the current one. Raises RequestError."""
    payload = body.get("payload")
    if not isinstance(payload, dict) or not payload:
        raise RequestError("payload: must be an object with a key at least")
    if increment:
        for key, value in payload.items():
            if type(value) is not int or abs(value) > _MAX_INCREMENT:
                raise RequestError(f"payload.{key}: {value!r:.40} is no whole number to add")
    ids = _read_ids(body, limits)
    by_shard = {
        shard: {"payload": payload, "points": points}
        for shard, points in _group_by_shard(ids, shards).items()
    }
    return PointWrite("increment_payload" if increment else "set_payload", by_shard, len(ids))


def read_delete(body: dict[str, Any], limits: RequestLimits, shards: int) -> PointWrite:
    """Read the ids of points to delete. Raises RequestError."""
    ids = _read_ids(body, limits)
    by_shard = {shard: {"points": points} for shard, points in _group_by_shard(ids, shards).items()}
    return PointWrite("delete", by_shard, len(ids))


def _read_ids(body: dict[str, Any], limits: RequestLimits) -> list[PointId]:
    """Read the ids of points, without duplicates. Raises RequestError."""
    if body.get("filter") is not None:
        raise RequestError("filter: writes by filter are not served here; name points")
    values = _read_list(body, "points", limits.max_points)
    return list(dict.fromkeys(read_id(value, f"points[{index}]") for index, value in enumerate(values)))


def _group_by_shard(ids: list[PointId], shards: int) -> dict[int, list[PointId]]:
    by_shard: dict[int, list[PointId]] = {}
    for point_id in ids:
        by_shard.setdefault(shard_of(point_id, shards), []).append(point_id)
    return by_shard


def _read_list(body: dict[str, Any], key: str, max_length: int) -> list[Any]:
    values = body.get(key)
    if not isinstance(values, list) or not 0 < len(values) <= max_length:
        raise RequestError(f"{key}: must be a list of 1 to {max_length}")
    return values


def _read_whole_number(value: Any, low: int, high: int, where: str) -> int:
    if type(value) is not int or not low <= value <= high:
        raise RequestError(f"{where}: {value!r:.40} is no whole number from {low} to {high}")
    return value


def _read_selector(value: Any, where: str) -> Any:
    if isinstance(value, bool):
        return value
    if isinstance(value, list) and all(isinstance(name, str) for name in value):
        return value
    if isinstance(value, dict) and set(value) <= {"include", "exclude"}:
        return value
    raise RequestError(f"{where}: must be true, false, names, or include and exclude")
