"""A shard of a fake vector node: versioned points and exact search with numpy."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from typing import Any

import numpy as np
import orjson

from gingervane.fake_servers.mergeable_rows import (
    Row,
    complete_row,
    full_row,
    merge,
    with_fields,
    with_increments,
)
from gingervane.vectors.filters import matches_filter
from gingervane.vectors.points import Collection, order_of


class Shard:
    """The points of one shard of one collection. Not thread-safe: the caller holds a lock."""

    def __init__(self, collection: Collection) -> None:
        self.collection = collection
        self.points: dict[Any, Row] = {}
        self.newest = 0  # version of the newest point
        self._matrix: tuple[list[Row], Any] | None = None

    def search(self, query: dict[str, Any]) -> list[dict[str, Any]]:
        """Find the nearest points by brute force."""
        rows, matrix = self._rows()
        vector = np.asarray(query["vector"], dtype=np.float64)
        if not rows:
            return []
        scores = self._scores(matrix, vector)
        sign = -1.0 if self.collection.greater_is_nearer else 1.0
        threshold = query.get("score_threshold")
        results = [
            (sign * float(score), order_of(row["id"]), row)
            for score, row in zip(scores, rows, strict=True)
            if threshold is None or sign * score <= sign * threshold
        ]
        if condition := query.get("filter"):
            results = [r for r in results if matches_filter(r[2]["id"], r[2]["payload"], condition)]
        results.sort(key=lambda r: r[:2])
        return [self._point(sign * score, row, query) for score, _, row in results[: query["limit"]]]

    def _scores(self, matrix: Any, vector: Any) -> Any:
        if self.collection.distance == "Euclid":
            return np.sqrt(((matrix - vector) ** 2).sum(axis=1))
        scores = matrix @ vector
        if self.collection.distance == "Cosine":
            norms = np.linalg.norm(matrix, axis=1) * np.linalg.norm(vector)
            scores = np.divide(scores, norms, out=np.zeros_like(scores), where=norms > 0)
        return scores

    def _point(self, score: float, row: Row, query: dict[str, Any]) -> dict[str, Any]:
        out = {"id": row["id"], "version": row["version"], "score": score}
        payload = query.get("with_payload", False)
        if payload:
            names = payload if isinstance(payload, list) else None
            out["payload"] = {k: v for k, v in row["payload"].items() if names is None or k in names}
        if query.get("with_vector"):
            out["vector"] = row["vector"]
        return out

    def _rows(self) -> tuple[list[Row], Any]:
        if self._matrix is None:
            rows = [row for row in self.points.values() if not row["deleted"]]
            self._matrix = rows, np.asarray([row["vector"] for row in rows], dtype=np.float64)
        return self._matrix

    def put(self, row: Row) -> bool:
        """Merge a row into that of its point; return whether this changed anything."""
        row = complete_row(row)
        known = self.points.get(row["id"])
        merged = row if known is None else merge(known, row)
        if merged == known:
            return False
        self.points[row["id"]] = merged
        self.newest, self._matrix = max(self.newest, merged["version"]), None
        return True

    def apply(self, kind: str, body: dict[str, Any], version: int) -> list[Any]:
        """Apply one operation and return the ids of the points that it changed."""
        match kind:
            case "upsert":
                return self._upsert(body["points"], version)
            case "delete":
                return self._delete(body["points"], version)
            case "increment_payload":
                return self._increment_payload(body, version)
            case _:
                return self._set_payload(body, version)

    def _upsert(self, points: list[dict[str, Any]], version: int) -> list[Any]:
        return [point["id"] for point in points if self.put(full_row(point, version))]

    def _delete(self, ids: list[Any], version: int) -> list[Any]:
        deleted = (full_row({"id": number, "vector": []}, version, deleted=True) for number in ids)
        return [row["id"] for row in deleted if self.put(row)]

    def _increment_payload(self, body: dict[str, Any], version: int) -> list[Any]:
        """Add to payload fields. Increments commute, and each is known by its version."""
        stored = self._stored(body["points"])
        return [row["id"] for row in stored if self.put(with_increments(row, body["payload"], version))]

    def _set_payload(self, body: dict[str, Any], version: int) -> list[Any]:
        stored = self._stored(body["points"])
        return [row["id"] for row in stored if self.put(with_fields(row, body["payload"], version))]

    def _stored(self, ids: list[Any]) -> Iterator[Row]:
        """Yield the stored points of these ids that are not deleted, each looked up as it is yielded."""
        for number in ids:
            known = self.points.get(number)
            if known is not None and not known["deleted"]:
                yield known


def digest(row: Row) -> int:
    """Return a 48-bit digest of all that a row was made of: equal digests mean that the same operations were seen."""
    content = [row[key] for key in ("vector", "deleted", "written", "set_at", "base", "added")]
    data = orjson.dumps(content, option=orjson.OPT_SORT_KEYS)
    return int.from_bytes(hashlib.blake2b(data, digest_size=6).digest(), "big")


def rank(row: Row) -> tuple[int, int, int]:
    """Return a row's state as repair compares it: its version, its number of increments, and its digest."""
    return row["version"], row["ops"], digest(row)
