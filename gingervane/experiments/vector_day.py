"""The vector part of a scenario run: its nodes, its clients, and the final state of every replica.

Each upsert writes points that no other upsert writes. Clients retry through any co-ordinator: an upsert with
the same idempotency key until it gets a final answer, an addition only after a rejection. Each attempt of an
addition adds to a field of its own, so that the audit can attribute every effect to an attempt. The fixed
collection is not written to during the run, so that the results of its searches can be checked.
"""

from __future__ import annotations

import json
import random
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import orjson

from gingervane.fake_servers.recorder import Recorder
from gingervane.fake_servers.server_list import list_row, write_list
from gingervane.scenarios.fixed_points import fixed_points
from gingervane.scenarios.scenario import Scenario
from gingervane.vectors.points import shard_of
from gingervane.wire import http1
from gingervane.wire.http1 import ConnectionClosedError, Headers, HttpError, Limits
from gingervane.wire.pool import Pool, exchange

FIXED, MOVING = "fixed", "moving"
_LIMITS = Limits(16384, 64 << 20)  # bytes of a reply's head and of its body
_POOL_SIZE = 256  # idle connections to a co-ordinator
_POOL_IDLE = 20.0  # seconds
_JOIN_TIMEOUT = 60.0  # seconds to wait for each demand's thread once the last demand has started
# Seconds past its time-out that a client still reads, so that a late answer is recorded as late.
_LATE_ANSWER_WAIT = 0.5
_NODE_TIMEOUT = 20.0  # seconds
_METRICS_TIMEOUT = 5.0  # seconds
_SETTLE_POLL = 0.25  # seconds between two checks for outstanding repairs
Address = tuple[str, int]
Targets = Callable[[], list[tuple[int, Address]]]


class VectorNodes:
    """The vector nodes: orders for their process, co-ordinator settings for them, and their server list."""

    def __init__(self, scenario: Scenario, out: Path) -> None:
        assert scenario.vectors is not None
        self.settings = scenario.vectors
        self._scenario = scenario
        self._out = out
        self.ports: list[int] = []
        self._pool = Pool(_LIMITS, 2, 30.0)

    def write_orders(self, began: float) -> Path:
        """Write the orders file of the vector nodes' process and return its path."""
        settings, path = self.settings, self._out / "orders-vectors.json"
        collections = [[name, settings.dims, "Cosine"] for name in (FIXED, MOVING)]
        path.write_text(
            json.dumps(
                {
                    "nodes": settings.nodes,
                    "collections": collections,
                    "width": settings.width,
                    "window": settings.window,
                    "model": list(self._scenario.nodes.model()),
                    "records": str(self._out / "vectors.jsonl"),
                    "faults": {
                        n: [vars(f) for f in found]
                        for n, found in self._scenario.vector_faults(began).items()
                    },
                }
            )
        )
        return path

    def table(self, number: int) -> dict[str, Any]:
        """Build the vector settings of a co-ordinator, which name the query classes of `classes`."""
        settings = self.settings
        return {
            "membership": {"file": str(self._out / "vectors.toml"), "interval": 0.05},
            "cells": settings.nodes,
            "width": settings.width,
            "quorum": settings.quorum,
            "search_class": "vector-search",
            "upsert_class": "vector-upsert",
            "add_class": "vector-add",
            "repair_sweep": 20.0,
            "intents": str(self._out / f"intents-{number}"),
            "collection": [{"name": name, "dims": settings.dims} for name in (FIXED, MOVING)],
        }

    def classes(self) -> list[dict[str, Any]]:
        """Build the query classes of vector searches and writes."""
        times = {"aim": self.settings.timeout * 0.6, "deadline": self.settings.timeout, "late_worth": 0.5}
        return [
            {"name": "vector-search", **times, "least_share": 0.75},
            {"name": "vector-upsert", **times, "semantics": "keyed", "repeat_window": self.settings.window},
            {"name": "vector-add", **times, "semantics": "unsafe"},
        ]

    def write_list(self) -> None:
        """Write the server list of the vector nodes, all ready."""
        zones = self._scenario.nodes.zones
        rows = [
            list_row(n, f"127.0.0.1:{port}", zones[n % len(zones)], n, "ready", None, name=f"v{n}")
            for n, port in enumerate(self.ports)
        ]
        write_list(self._out / "vectors.toml", "\n".join(rows))

    def load(self) -> None:
        """Write the fixed points directly to their replicas, before the run."""
        settings, by_shard = self.settings, dict[int, list[Any]]()
        for point in fixed_points(settings):
            row = {**point, "version": 1, "ops": 0, "deleted": False}
            by_shard.setdefault(shard_of(point["id"], settings.nodes), []).append(row)
        for shard, rows in by_shard.items():
            for offset in range(settings.width):
                target = f"/collections/{FIXED}/shards/{shard}/put"
                self._call_node((shard + offset) % settings.nodes, "POST", target, {"points": rows})

    def marks(self) -> dict[int, dict[int, dict[str, Any]]]:
        """Read each replica's state of the moving collection, by node and shard; empty if it is down."""
        settings, out = self.settings, dict[int, dict[int, dict[str, Any]]]()
        for node in range(settings.nodes):
            for offset in range(settings.width):
                shard = (node - offset) % settings.nodes
                try:
                    marks = self._call_node(node, "GET", f"/collections/{MOVING}/shards/{shard}/marks", None)
                except (OSError, ConnectionClosedError, HttpError):
                    marks = {}  # the contents of a node that is down at the end cannot be read
                out.setdefault(node, {})[shard] = marks
        return out

    def _call_node(self, node: int, method: str, target: str, content: Any) -> Any:
        body = b"" if content is None else orjson.dumps(content)
        fields = [("Host", "node"), ("Content-Length", str(len(body)))]
        data = http1.encode_head(f"{method} {target} HTTP/1.1", fields) + body
        status, _, reply = exchange(
            self._pool, ("127.0.0.1", self.ports[node]), data, time.monotonic() + _NODE_TIMEOUT
        )
        if status != 200:
            raise OSError(f"{target}: {status}")
        return orjson.loads(reply)["result"]


class VectorLoad:
    """Sends the writes and searches of a run, and records every attempt."""

    def __init__(self, scenario: Scenario, recorder: Recorder, targets: Targets) -> None:
        assert scenario.vectors is not None
        self._settings = scenario.vectors
        self._seconds = scenario.seconds
        self._recorder = recorder
        self._targets = targets
        self._rng = random.Random(scenario.seed + 1)
        self._pool = Pool(_LIMITS, _POOL_SIZE, _POOL_IDLE)

    def run(self, began: float) -> None:
        """Start each demand at its time, on a thread of its own, and wait for all of them."""
        settings, rng = self._settings, self._rng
        rates = {self._upsert: settings.upserts, self._add: settings.adds, self._search: settings.searches}
        rate, at, number = settings.upserts + settings.adds + settings.searches, 0.0, 0
        threads: list[threading.Thread] = []
        while (at := at + rng.expovariate(rate)) < self._seconds:
            send = rng.choices(list(rates), list(rates.values()))[0]
            if (wait := began + at - time.monotonic()) > 0:
                time.sleep(wait)
            thread = threading.Thread(target=send, args=(number, random.Random(rng.random())), daemon=True)
            thread.start()
            threads.append(thread)
            number += 1
        for thread in threads:
            thread.join(_JOIN_TIMEOUT)

    def _upsert(self, number: int, rng: random.Random) -> None:
        vector = self._random_vector(rng)
        count = rng.choice((1, 1, 3))
        points = [{"id": 4 * number + i, "vector": vector, "payload": {"d": number}} for i in range(count)]
        deadline = time.monotonic() + self._settings.window / 2
        for attempt in range(self._settings.tries):
            record_fields = {"demand": number, "number": attempt, "points": [point["id"] for point in points]}
            request = _Request("upsert", "PUT", f"{MOVING}/points", {"points": points}, f"k{number}")
            status = self._attempt(request, rng, record_fields)
            if status in (200, 409, 422) or time.monotonic() > deadline:
                return
            self._back_off(rng)

    def _add(self, number: int, rng: random.Random) -> None:
        # An id of the moving collection, in which few of these ids have a point.
        point = 4 * rng.randrange(self._settings.fixed)
        for attempt in range(self._settings.tries):
            name = f"d{number}t{attempt}"
            record_fields = {"demand": number, "number": attempt, "points": [point], "name": name}
            content = {"payload": {name: 1}, "points": [point]}
            request = _Request("add", "POST", f"{MOVING}/points/payload?increment=true", content)
            if self._attempt(request, rng, record_fields) != 503:
                return
            self._back_off(rng)

    def _search(self, number: int, rng: random.Random) -> None:
        content = {"vector": self._random_vector(rng), "limit": rng.choice((1, 10, 100))}
        request = _Request("search", "POST", f"{FIXED}/points/search?partial_response=1", content)
        self._attempt(request, rng, {"demand": number, "number": 0, **content})

    def _random_vector(self, rng: random.Random) -> list[float]:
        return [round(rng.gauss(0, 1), 3) for _ in range(self._settings.dims)]

    def _back_off(self, rng: random.Random) -> None:
        time.sleep(self._settings.backoff * rng.uniform(0.5, 1.5))

    def _attempt(self, request: _Request, rng: random.Random, record_fields: dict[str, Any]) -> int:
        """Make and record one attempt; return its status, 0 if there was no co-ordinator or no reply."""
        targets = self._targets()
        if not targets:
            return 0
        coordinator, address = rng.choice(targets)
        timeout = self._settings.timeout
        data = request.encode(timeout)
        sent = time.monotonic()
        status, headers, reply = 0, Headers([]), b""
        error_text = ""
        try:
            status, headers, reply = exchange(self._pool, address, data, sent + timeout + _LATE_ANSWER_WAIT)
        except (OSError, ConnectionClosedError, HttpError) as error:
            error_text = f"{type(error).__name__}: {error}"
        hits: Any = None
        if status == 200 and request.kind == "search":
            hits = [[point["id"], point["score"]] for point in orjson.loads(reply)["result"]]
        self._recorder.put(
            "vector_try",
            kind_of=request.kind,
            coordinator=coordinator,
            status=status,
            sent=sent,
            ended=time.monotonic(),
            timeout=timeout,
            done=headers.get("gingervane-holders-done"),
            missing=headers.get("gingervane-missing"),
            found=hits,
            why=error_text,
            **record_fields,
        )
        return status


class _Request(NamedTuple):
    """A client's request to a co-ordinator."""

    kind: str
    method: str
    path: str
    content: Any
    idempotency_key: str = ""

    def encode(self, timeout: float) -> bytes:
        join = "&" if "?" in self.path else "?"
        line = f"{self.method} /collections/{self.path}{join}timeout={int(timeout * 1000)}ms HTTP/1.1"
        body = orjson.dumps(self.content)
        fields = [("Host", "x"), ("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        if self.idempotency_key:
            fields.append(("Idempotency-Key", self.idempotency_key))
        return http1.encode_head(line, fields) + body


def wait_for_repairs(targets: Targets, timeout: float) -> bool:
    """Wait up to `timeout` seconds until no co-ordinator has missed writes to repair; False on a time-out."""
    pool, deadline = Pool(_LIMITS, 1, 30.0), time.monotonic() + timeout
    while time.monotonic() < deadline:
        if not sum(_shards_awaiting_repair(pool, address) for _, address in targets()):
            return True
        time.sleep(_SETTLE_POLL)
    return False


def _shards_awaiting_repair(pool: Pool, address: Address) -> float:
    """Return how many shards have missed writes that a co-ordinator must repair; 1 if it does not answer."""
    try:
        data = http1.encode_head("GET /metrics HTTP/1.1", [("Host", "x")])
        _, _, text = exchange(pool, address, data, time.monotonic() + _METRICS_TIMEOUT)
    except (OSError, ConnectionClosedError, HttpError):
        return 1.0
    return sum(
        float(row.split()[1])
        for row in text.decode().splitlines()
        if row.startswith("gingervane_vector_shards_owed ")
    )
