"""A stand-in vector node: exact search with numpy over its shards, versions, a dedup window, and a node's faults.

Speaks Qdrant's REST API as the co-ordinator's exchanges do, a `shard_key` in each operation, and besides, for repair,
`GET /collections/{c}/shards/{s}/marks`, `POST .../fetch` and `POST .../put`. An operation is done in one step under
the node's lock. Every effect is recorded: which key and version, on which points, or that it was a repeat. As a
process: `python -m gingervane.fake_servers.vectors ORDERS.json`, as the grid's fleet.
"""

from __future__ import annotations

import hashlib
import socket
import sys
import time
from collections.abc import Iterable
from typing import Any

import numpy as np
import orjson

from gingervane.fake_servers.faults import Fault
from gingervane.fake_servers.fleet import Orders, serve
from gingervane.fake_servers.node import MODEL, Node, Recorder
from gingervane.fake_servers.capacity import Model
from gingervane.vectors.filters import matches_filter
from gingervane.vectors.points import Collection, order_of
from gingervane.wire import http1
from gingervane.wire.http1 import Request

Stored = dict[str, Any]  # id, version, ops (additions since the last upsert), vector, payload, deleted


class Shard:
    """Points of one shard of one collection. The node sees to locking."""

    def __init__(self, collection: Collection) -> None:
        self.collection, self.points = collection, dict[Any, Stored]()
        self.newest = 0
        self._matrix: tuple[list[Stored], Any] | None = None

    def search(self, asked: dict[str, Any]) -> list[dict[str, Any]]:
        rows, matrix = self._rows()
        vector = np.asarray(asked["vector"], dtype=np.float64)
        if not rows:
            return []
        if self.collection.distance == "Euclid":
            scores = np.sqrt(((matrix - vector) ** 2).sum(axis=1))
        else:
            scores = matrix @ vector
            if self.collection.distance == "Cosine":
                norms = np.linalg.norm(matrix, axis=1) * np.linalg.norm(vector)
                scores = np.divide(scores, norms, out=np.zeros_like(scores), where=norms > 0)
        sign = -1.0 if self.collection.greater_is_nearer else 1.0
        least, wanted = asked.get("score_threshold"), asked.get("filter")
        found = [
            (sign * float(score), order_of(row["id"]), row)
            for score, row in zip(scores, rows, strict=True)
            if least is None or sign * score <= sign * least
        ]
        if wanted:
            found = [f for f in found if matches_filter(f[2]["id"], f[2]["payload"], wanted)]
        found.sort(key=lambda f: f[:2])
        return [self._point(sign * score, row, asked) for score, _, row in found[: asked["limit"]]]

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
        """Store a point unless a newer version is there; whether it was stored."""
        known = self.points.get(row["id"])
        if known is not None and rank(known) >= rank(row):
            return False
        self.points[row["id"]] = row
        self.newest, self._matrix = max(self.newest, row["version"]), None
        return True

    def apply(self, kind: str, body: dict[str, Any], version: int) -> list[Any]:
        """Do one operation; ids of the points that it changed."""
        changed = []
        if kind == "upsert":
            for point in body["points"]:
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
        for number in body["points"]:
            known = self.points.get(number)
            if kind == "delete":
                row = {
                    "id": number,
                    "vector": [],
                    "payload": {},
                    "version": version,
                    "deleted": True,
                    "ops": 0,
                }
                if self.put(row):
                    changed.append(number)
                continue
            if known is None or known["deleted"]:
                continue
            payload = dict(known["payload"])
            if kind == "increment_payload":
                # Counted whatever came before or after: additions have no order, but how many there were has.
                for key, by in body["payload"].items():
                    payload[key] = payload.get(key, 0) + by
                self.put(
                    {
                        **known,
                        "payload": payload,
                        "version": max(version, known["version"]),
                        "ops": known["ops"] + 1,
                    }
                )
                changed.append(number)
            elif self.put({**known, "payload": payload | body["payload"], "version": version}):
                changed.append(number)
        return changed


def digest(row: Stored) -> int:
    """Of a point's content."""
    content = [row["vector"], row["payload"], row["deleted"]]
    data = orjson.dumps(content, option=orjson.OPT_SORT_KEYS)
    return int.from_bytes(hashlib.blake2b(data, digest_size=6).digest(), "big")


def rank(row: Stored) -> tuple[int, int, int]:
    """Which of two contents of a point stands: the newer, then that of more additions, then the same everywhere."""
    return row["version"], row["ops"], digest(row)


class VectorNode(Node):
    """One node on a loopback port, holding some shards of every collection."""

    def __init__(
        self,
        number: int,
        shards: Iterable[int],
        collections: Iterable[Collection],
        window: float = 10.0,
        model: Model = MODEL,
        faults: Iterable[Fault] = (),
        recorder: Recorder | None = None,
    ) -> None:
        super().__init__(number, (), model, faults, recorder)
        self.collections = {c.name: c for c in collections}
        self.shards = {(c, s): Shard(self.collections[c]) for c in self.collections for s in shards}
        self._window = window
        self._keys: dict[
            tuple[str, str, int], float
        ] = {}  # when a key was first seen, by collection and shard

    def _answer(self, sock: socket.socket, request: Request, body: bytes) -> bool:
        if request.target == "/control":
            return self._control(sock, body)
        words = request.target.partition("?")[0].strip("/").split("/")
        now = time.monotonic()
        with self._lock:
            self._calls += 1
            call = self._calls
        note = {"node": self.id, "call": call, "peer": sock.getpeername()[1]}
        if self.schedule.find("say_nothing", now) or self._silent(now):
            self._recorder.put("unheard", **note)
            self._hold(sock)
            return False
        if self.schedule.strikes("fail_fast", now):
            return self._send(sock, 500, b"failing fast")
        try:
            asked = orjson.loads(body) if body else {}
            operations = self._operations(words, asked)
        except (ValueError, KeyError, TypeError, IndexError) as error:
            return self._send(sock, 400, repr(error).encode())
        if operations is None:
            return self._send(sock, 404, b"no such page, or a shard that is not here")
        with self._lock:
            job = None
            if not self.schedule.strikes("reject", now):
                job = self._capacity.take(now, max(len(operations), 1), self.schedule.slowness(now))
            if self._capacity.fallen:
                self._recorder.put("fell", node=self.id)
                self.schedule.add(Fault("vanish", now, 1e6))
        if job is None:
            return self._send(
                sock, 503, b"queue full; not begun", (("Retry-After", "1"), ("Gingervane-Began", "no"))
            )
        if not self._work(sock, job) and words[-1] == "batch" and words[-2] == "search":
            return False  # nobody waits for a search; a write that has begun is done all the same
        if self.schedule.down(time.monotonic()):
            return False
        key, version = request.headers.get("idempotency-key"), request.headers.get("gingervane-version")
        result = [self._do(words, one, key, int(version or 0)) for one in operations]
        if self.schedule.hangs(now) or self.schedule.strikes("lose_answers", now):
            self._hold(sock)
            return False
        fresh = ",".join(
            sorted({f"s{one['shard']}={self.shards[words[1], one['shard']].newest}" for one in operations})
        )
        data = orjson.dumps(
            {"result": result if words[-1] == "batch" else result[0], "status": "ok", "time": 0.0}
        )
        fields = [
            ("Content-Type", "application/json"),
            ("Gingervane-Node", str(self.id)),
            ("Gingervane-Freshness", fresh),
        ]
        whole = http1.response(200, fields, data)
        sock.settimeout(30.0)
        if self.schedule.strikes("reset_mid_body", now) or self.schedule.strikes("short_body", now):
            sock.sendall(whole[: len(whole) - max(len(data) // 2, 1)])
            return False
        sock.sendall(whole)
        self.served += 1
        return True

    def _operations(self, words: list[str], asked: Any) -> list[dict[str, Any]] | None:
        """What a request asks, each with its shard; None if it is not for here."""
        if len(words) < 4 or words[0] != "collections" or words[1] not in self.collections:
            return None
        if words[2] == "shards":
            found = [{"shard": int(words[3]), "kind": words[4], "body": asked}]
        elif words[2:] == ["points", "search", "batch"]:
            found = [
                {"shard": int(one["shard_key"][1:]), "kind": "search", "body": one}
                for one in asked["searches"]
            ]
        elif words[2:] == ["points", "batch"]:
            found = [
                {"shard": int(body["shard_key"][1:]), "kind": kind, "body": body}
                for one in asked["operations"]
                for kind, body in one.items()
            ]
        else:
            return None
        return found if all((words[1], one["shard"]) in self.shards for one in found) else None

    def _do(self, words: list[str], one: dict[str, Any], key: str, version: int) -> Any:
        """One operation, in one step."""
        collection, number, kind, body = words[1], one["shard"], one["kind"], one["body"]
        with self._lock:
            shard = self.shards[collection, number]
            match kind:
                case "search":
                    return shard.search(body)
                case "marks":
                    return {str(n): list(rank(row)) for n, row in shard.points.items()}
                case "fetch":
                    wanted = set(body["points"])
                    return [row for n, row in shard.points.items() if str(n) in wanted]
                case "put":
                    stored = [row["id"] for row in body["points"] if shard.put(row)]
                    self._recorder.put(
                        "repaired", node=self.id, collection=collection, shard=number, points=stored
                    )
                    return {"stored": len(stored)}
            now, known = time.monotonic(), self._keys.get((key, collection, number)) if key else None
            repeat = known is not None and now - known < self._window
            changed: list[Any] = []
            if not repeat:
                changed = shard.apply(kind, body, version)
                if key:
                    self._keys[key, collection, number] = now
            self._recorder.put(
                "effect",
                node=self.id,
                collection=collection,
                shard=number,
                op=kind,
                key=key,
                version=version,
                repeat=repeat,
                changed=changed,
                added=list(body["payload"]) if kind == "increment_payload" else [],
            )
            return {"operation_id": self._calls, "status": "completed", "repeat": repeat}


class VectorGrid:
    """A ring of nodes: node i holds shards i, i-1, ..., i-width+1."""

    def __init__(
        self,
        nodes: int,
        collections: Iterable[Collection],
        width: int = 3,
        window: float = 10.0,
        model: Model = MODEL,
        recorder: Recorder | None = None,
        schedule: dict[int, list[Fault]] | None = None,
        only: Iterable[int] | None = None,
    ) -> None:
        self.collections = tuple(collections)
        self.cells, self.width = nodes, width
        self.nodes = []
        for number in range(nodes) if only is None else only:
            shards = [(number - back) % nodes for back in range(width)]
            node = VectorNode(
                number, shards, self.collections, window, model, (schedule or {}).get(number, ()), recorder
            )
            node.start()
            self.nodes.append(node)

    @property
    def addresses(self) -> list[tuple[str, int]]:
        return [node.address for node in self.nodes]

    def stop(self) -> None:
        for node in self.nodes:
            node.stop()


def _grid(orders: Orders, recorder: Recorder, faults: dict[int, list[Fault]]) -> VectorGrid:
    return VectorGrid(
        orders["nodes"],
        [Collection(*c) for c in orders["collections"]],
        orders["width"],
        orders["window"],
        Model(*orders["model"]),
        recorder,
        faults,
        orders.get("only"),
    )


if __name__ == "__main__":
    sys.exit(serve(_grid))
