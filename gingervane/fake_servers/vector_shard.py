"""A shard of a fake vector node: exact search with numpy, and versions of its points."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from typing import Any

import numpy as np
import orjson

from gingervane.vectors.filters import matches_filter
from gingervane.vectors.points import Collection, order_of

Stored = dict[str, Any]  # id, version, ops (additions since the last upsert), vector, payload, deleted


class Shard:
    """Points of one shard of one collection. The caller does the locking."""

    def __init__(self, collection: Collection) -> None:
        self.collection = collection
        self.points: dict[Any, Stored] = {}
        self.newest = 0  # version of the newest point
        self._matrix: tuple[list[Stored], Any] | None = None

    def search(self, asked: dict[str, Any]) -> list[dict[str, Any]]:
        """Find the nearest points by brute force."""
        rows, matrix = self._rows()
        vector = np.asarray(asked["vector"], dtype=np.float64)
        if not rows:
            return []
        scores = self._scores(matrix, vector)
        sign = -1.0 if self.collection.greater_is_nearer else 1.0
        threshold = asked.get("score_threshold")
        found = [
            (sign * float(score), order_of(row["id"]), row)
            for score, row in zip(scores, rows, strict=True)
            if threshold is None or sign * score <= sign * threshold
        ]
        if wanted := asked.get("filter"):
            found = [f for f in found if matches_filter(f[2]["id"], f[2]["payload"], wanted)]
        found.sort(key=lambda f: f[:2])
        return [self._point(sign * score, row, asked) for score, _, row in found[: asked["limit"]]]

    def _scores(self, matrix: Any, vector: Any) -> Any:
        if self.collection.distance == "Euclid":
            return np.sqrt(((matrix - vector) ** 2).sum(axis=1))
        scores = matrix @ vector
        if self.collection.distance == "Cosine":
            norms = np.linalg.norm(matrix, axis=1) * np.linalg.norm(vector)
            scores = np.divide(scores, norms, out=np.zeros_like(scores), where=norms > 0)
        return scores

    def _point(self, score: float, row: Stored, asked: dict[str, Any]) -> dict[str, Any]:
        out = {"id": row["id"], "version": row["version"], "score": score}
        payload = asked.get("with_payload", False)
        if payload:
            names = payload if isinstance(payload, list) else None
            out["payload"] = {k: v for k, v in row["payload"].items() if names is None or k in names}
        if asked.get("with_vector"):
            out["vector"] = row["vector"]
        return out

    def _rows(self) -> tuple[list[Stored], Any]:
        if self._matrix is None:
            rows = [row for row in self.points.values() if not row["deleted"]]
            self._matrix = rows, np.asarray([row["vector"] for row in rows], dtype=np.float64)
        return self._matrix

    def put(self, row: Stored) -> bool:
        """Store a point unless a newer version is there; return whether it was stored."""
        known = self.points.get(row["id"])
        if known is not None and rank(known) >= rank(row):
            return False
        self.points[row["id"]] = row
        self.newest, self._matrix = max(self.newest, row["version"]), None
        return True

    def apply(self, kind: str, body: dict[str, Any], version: int) -> list[Any]:
        """Do one operation and return the ids of the points that it changed."""
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
        """Add to fields. Counted whatever came before or after: additions have no order, but their number has."""
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
        """Yield the points of these ids that are stored and not deleted, each as it is when its turn comes."""
        for number in ids:
            known = self.points.get(number)
            if known is not None and not known["deleted"]:
                yield known


def digest(row: Stored) -> int:
    """Digest a point's content."""
    content = [row["vector"], row["payload"], row["deleted"]]
    data = orjson.dumps(content, option=orjson.OPT_SORT_KEYS)
    return int.from_bytes(hashlib.blake2b(data, digest_size=6).digest(), "big")


def rank(row: Stored) -> tuple[int, int, int]:
    """Order two contents of a point: the newer wins, then that of more additions, then the same one everywhere."""
    return row["version"], row["ops"], digest(row)
