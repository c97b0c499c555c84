"""A shard of a fake vector node: versioned points and exact search with numpy."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from typing import Any

import numpy as np
import orjson

from gingervane.vectors.filters import matches_filter
from gingervane.vectors.points import Collection, order_of

Stored = dict[str, Any]  # id, version, ops (increments since the last upsert), vector, payload, deleted


class Shard:
    """The points of one shard of one collection. Not thread-safe: the caller holds a lock."""

    def __init__(self, collection: Collection) -> None:
        self.collection = collection
        self.points: dict[Any, Stored] = {}
        self.newest = 0  # version of the newest point
        self._matrix: tuple[list[Stored], Any] | None = None

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

    def _point(self, score: float, row: Stored, query: dict[str, Any]) -> dict[str, Any]:
        out = {"id": row["id"], "version": row["version"], "score": score}
        payload = query.get("with_payload", False)
        if payload:
            names = payload if isinstance(payload, list) else None
            out["payload"] = {k: v for k, v in row["payload"].items() if names is None or k in names}
        if query.get("with_vector"):
            out["vector"] = row["vector"]
        return out

    def _rows(self) -> tuple[list[Stored], Any]:
        if self._matrix is None:
            rows = [row for row in self.points.values() if not row["deleted"]]
            self._matrix = rows, np.asarray([row["vector"] for row in rows], dtype=np.float64)
        return self._matrix

    def put(self, row: Stored) -> bool:
        """Store a point unless the same or a newer version is stored; return whether it was stored."""
        known = self.points.get(row["id"])
        if known is not None and rank(known) >= rank(row):
            return False
        self.points[row["id"]] = row
        self.newest, self._matrix = max(self.newest, row["version"]), None
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
        changed = []
        for point in points:
            row = {
                **point,
                "payload": point.get("payload") or {},
                "version": version,
                "deleted": False,
                "ops": 0,
            }
            if self.put(row):
                changed.append(point["id"])
        return changed

    def _delete(self, ids: list[Any], version: int) -> list[Any]:
        changed = []
        for number in ids:
            row = {"id": number, "vector": [], "payload": {}, "version": version, "deleted": True, "ops": 0}
            if self.put(row):
                changed.append(number)
        return changed

    def _increment_payload(self, body: dict[str, Any], version: int) -> list[Any]:
        """Add to payload fields. Older versions are applied too, as increments commute; `ops` counts them."""
        changed = []
        for known in self._stored(body["points"]):
            payload = dict(known["payload"])
            for key, by in body["payload"].items():
                payload[key] = payload.get(key, 0) + by
            newest = max(version, known["version"])
            self.put({**known, "payload": payload, "version": newest, "ops": known["ops"] + 1})
            changed.append(known["id"])
        return changed

    def _set_payload(self, body: dict[str, Any], version: int) -> list[Any]:
        changed = []
        for known in self._stored(body["points"]):
            if self.put({**known, "payload": known["payload"] | body["payload"], "version": version}):
                changed.append(known["id"])
        return changed

    def _stored(self, ids: list[Any]) -> Iterator[Stored]:
        """Yield the stored points of these ids that are not deleted, each looked up as it is yielded."""
        for number in ids:
            known = self.points.get(number)
            if known is not None and not known["deleted"]:
                yield known


def digest(row: Stored) -> int:
    """Return a 48-bit digest of a point's vector, payload and deletion mark."""
    content = [row["vector"], row["payload"], row["deleted"]]
    data = orjson.dumps(content, option=orjson.OPT_SORT_KEYS)
    return int.from_bytes(hashlib.blake2b(data, digest_size=6).digest(), "big")


def rank(row: Stored) -> tuple[int, int, int]:
    """Return the sort key by which replicas choose between contents of a point; the highest wins.

    It orders by version, then by the number of increments, and then by digest, so that all replicas choose
    the same.
    """
    return row["version"], row["ops"], digest(row)
