"""A fake vector node: Qdrant's REST API over shards, with an idempotency window and injected faults.

It implements the subset of the API that the co-ordinators' codec uses, with a `shard_key` in each operation,
and, for repair, `GET /collections/{c}/shards/{s}/marks`, `POST .../fetch` and `POST .../put`. Each operation
is atomic under the node's lock. Every effect is recorded with its key, its version, the changed points and
whether it was a repeat. As a process: `python -m gingervane.fake_servers.vectors CONFIG.json`, like
`gingervane.fake_servers.fleet`.
"""

from __future__ import annotations

import socket
import sys
import time
from collections.abc import Iterable
from typing import Any

import orjson

from gingervane.fake_servers.capacity import Model
from gingervane.fake_servers.fake_server import DEFAULT_MODEL, QUEUE_FULL_FIELDS, FakeServer
from gingervane.fake_servers.faults import Fault
from gingervane.fake_servers.process import ServerConfig, serve
from gingervane.fake_servers.recorder import Recorder
from gingervane.fake_servers.vector_shard import Shard, rank
from gingervane.vectors.points import Collection
from gingervane.wire import http1
from gingervane.wire.http1 import Request

Operation = dict[str, Any]  # one operation of a request: its shard, kind and body


class VectorNode(FakeServer):
    """One node on a loopback port. It has the same shards of every collection."""

    def __init__(
        self,
        number: int,
        shards: Iterable[int],
        collections: Iterable[Collection],
        window: float = 10.0,
        model: Model = DEFAULT_MODEL,
        faults: Iterable[Fault] = (),
        recorder: Recorder | None = None,
    ) -> None:
        super().__init__(number, model, faults, recorder)
        self.collections = {c.name: c for c in collections}
        self.shards = {(c, s): Shard(self.collections[c]) for c in self.collections for s in shards}
        self._window = window
        # (idempotency key, collection, shard) -> time at which the key was last applied
        self._keys: dict[tuple[str, str, int], float] = {}

    def _answer(self, sock: socket.socket, request: Request, body: bytes) -> bool:
        if request.target == "/control":
            return self._control(sock, body)
        segments = request.target.partition("?")[0].strip("/").split("/")
        now = time.monotonic()
        call = self._next_call()
        record_fields = {"node": self.id, "call": call, "peer": sock.getpeername()[1]}
        if self._is_unresponsive(now):
            self._recorder.put("unheard", **record_fields)
            self._wait_for_close(sock)
            return False
        if self.schedule.affects_request("fail_fast", now):
            return self._send(sock, 500, b"failing fast")
        try:
            content = orjson.loads(body) if body else {}
            operations = self._operations(segments, content)
        except (ValueError, KeyError, TypeError, IndexError) as error:
            return self._send(sock, 400, repr(error).encode())
        if operations is None:
            return self._send(sock, 404, b"no such page, or a shard that is not here")
        return self._execute(sock, request, segments, operations, now)

    def _operations(self, segments: list[str], content: Any) -> list[Operation] | None:
        """Parse the operations of a request; None if its path or one of its shards is unknown here."""
        if len(segments) < 4 or segments[0] != "collections" or segments[1] not in self.collections:
            return None
        if segments[2] == "shards":
            operations = [{"shard": int(segments[3]), "kind": segments[4], "body": content}]
        elif segments[2:] == ["points", "search", "batch"]:
            operations = [
                {"shard": int(search["shard_key"][1:]), "kind": "search", "body": search}
                for search in content["searches"]
            ]
        elif segments[2:] == ["points", "batch"]:
            operations = [
                {"shard": int(body["shard_key"][1:]), "kind": kind, "body": body}
                for item in content["operations"]
                for kind, body in item.items()
            ]
        else:
            return None
        return operations if all((segments[1], op["shard"]) in self.shards for op in operations) else None

    def _execute(
        self,
        sock: socket.socket,
        request: Request,
        segments: list[str],
        operations: list[Operation],
        now: float,
    ) -> bool:
        """Execute a request and reply, subject to the faults."""
        job = self._queue(now, max(len(operations), 1))
        if job is None:
            return self._send(sock, 503, b"queue full; not begun", QUEUE_FULL_FIELDS)
        is_search = segments[-1] == "batch" and segments[-2] == "search"
        if not self._work(sock, job) and is_search:
            return False  # a search without a client is dropped; a write that has begun is completed
        if self.schedule.down(time.monotonic()):
            return False
        collection = segments[1]
        key = request.headers.get("idempotency-key")
        version = int(request.headers.get("gingervane-version") or 0)
        results = [self._do(segments, operation, key, version) for operation in operations]
        if self._never_answers(now):
            self._wait_for_close(sock)
            return False
        result = results if segments[-1] == "batch" else results[0]
        return self._reply(sock, result, self._freshness(collection, operations), now)

    def _freshness(self, collection: str, operations: list[Operation]) -> str:
        """Return the Gingervane-Freshness header: the newest version of each accessed shard."""
        accessed = {operation["shard"] for operation in operations}
        shards = {f"s{shard}={self.shards[collection, shard].newest}" for shard in accessed}
        return ",".join(sorted(shards))

    def _reply(self, sock: socket.socket, result: Any, freshness: str, now: float) -> bool:
        data = orjson.dumps({"result": result, "status": "ok", "time": 0.0})
        fields = [
            ("Content-Type", "application/json"),
            ("Gingervane-Node", str(self.id)),
            ("Gingervane-Freshness", freshness),
        ]
        reply = http1.encode_response(200, fields, data)
        sock.settimeout(30.0)
        if self.schedule.affects_request("reset_mid_body", now) or self.schedule.affects_request(
            "short_body", now
        ):
            sock.sendall(reply[: len(reply) - max(len(data) // 2, 1)])
            return False
        sock.sendall(reply)
        self.served += 1
        return True

    def _do(self, segments: list[str], operation: Operation, key: str, version: int) -> Any:
        """Execute one operation atomically and return its result."""
        collection = segments[1]
        number, kind, body = operation["shard"], operation["kind"], operation["body"]
        with self._lock:
            shard = self.shards[collection, number]
            match kind:
                case "search":
                    return shard.search(body)
                case "marks":
                    return {str(n): list(rank(row)) for n, row in shard.points.items()}
                case "fetch":
                    requested = set(body["points"])
                    return [row for n, row in shard.points.items() if str(n) in requested]
                case "put":
                    stored = [row["id"] for row in body["points"] if shard.put(row)]
                    self._recorder.put(
                        "repaired", node=self.id, collection=collection, shard=number, points=stored
                    )
                    return {"stored": len(stored)}
                case _:
                    return self._write(collection, operation, key, version)

    def _write(self, collection: str, operation: Operation, key: str, version: int) -> dict[str, Any]:
        """Change points unless the key was applied within the window. The caller holds the lock."""
        number, kind, body = operation["shard"], operation["kind"], operation["body"]
        now = time.monotonic()
        known = self._keys.get((key, collection, number)) if key else None
        is_repeat = known is not None and now - known < self._window
        changed: list[Any] = []
        if not is_repeat:
            changed = self.shards[collection, number].apply(kind, body, version)
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
            repeat=is_repeat,
            changed=changed,
            added=list(body["payload"]) if kind == "increment_payload" else [],
        )
        return {"operation_id": self._calls, "status": "completed", "repeat": is_repeat}


class VectorGrid:
    """A ring of vector nodes: node i holds shards i, i-1, ..., i-width+1."""

    def __init__(
        self,
        nodes: int,
        collections: Iterable[Collection],
        width: int = 3,
        window: float = 10.0,
        model: Model = DEFAULT_MODEL,
        recorder: Recorder | None = None,
        schedule: dict[int, list[Fault]] | None = None,
        only: Iterable[int] | None = None,
    ) -> None:
        self.collections = tuple(collections)
        self.cells = nodes
        self.width = width
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
        """The addresses of this process's nodes."""
        return [node.address for node in self.nodes]

    def stop(self) -> None:
        """Stop all nodes."""
        for node in self.nodes:
            node.stop()


def _grid(config: ServerConfig, recorder: Recorder, faults: dict[int, list[Fault]]) -> VectorGrid:
    return VectorGrid(
        config["nodes"],
        [Collection(*c) for c in config["collections"]],
        config["width"],
        config["window"],
        Model(*config["model"]),
        recorder,
        faults,
        config.get("only"),
    )


if __name__ == "__main__":
    sys.exit(serve(_grid))
