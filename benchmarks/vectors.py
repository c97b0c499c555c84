"""Benchmarks of the vector front: merging of hits, the write-ahead log, searches and writes, JSON.

python benchmarks/vectors.py [merge] [log] [serve]
"""

from __future__ import annotations

import itertools
import json
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import numpy as np
import orjson
from common import Fleet, closed_loop, machine

from gingervane.experiments.listing import FileListing, Row
from gingervane.fake_servers.capacity import Model
from gingervane.fronts.client import Client
from gingervane.vectors.points import order_of, shard_of
from gingervane.vectors.topk import merge_hits
from gingervane.wire import http1
from gingervane.wire.http1 import Limits as WireLimits
from gingervane.wire.pool import Pool, exchange
from gingervane.wire.remote_read import Match, Matcher, Query
from gingervane.writes.idempotency import IdempotencyLimits, IdempotencyRecords
from gingervane.writes.quorum_writes import restore_records
from gingervane.writes.version_clock import VersionClock
from gingervane.writes.write_ahead_log import WriteAheadLog, encode_frame

LOAD_SECONDS = 4.0  # duration of each closed loop
APPEND_SECONDS = 3.0  # duration for each number of writers
ZONES = ("hall-a", "hall-b", "hall-c")


def measure_merging() -> None:
    """Measure the merge of the shards' sorted hits, compared with sorting all hits."""
    print("merging, ms (median of 5): k, shards, as built, plain sort of all")
    rng = np.random.default_rng(1)
    for k in (10, 100, 1000, 10_000):
        for shards in (5, 20, 60):
            lists: list[list[dict[str, Any]]] = []
            for shard in range(shards):
                scores = np.sort(rng.normal(size=k))[::-1]
                lists.append(
                    [{"id": shard * k + i, "version": 1, "score": float(s)} for i, s in enumerate(scores)]
                )
            built, plain = [], []
            for _ in range(5):
                began = time.perf_counter()
                merged = merge_hits(lists, 0, k, True)
                built.append(time.perf_counter() - began)
                began = time.perf_counter()
                expected = sorted(
                    (p for one in lists for p in one), key=lambda p: (-p["score"], order_of(p["id"]))
                )[:k]
                plain.append(time.perf_counter() - began)
                assert merged == expected
            print(f"  {k}, {shards}: {np.median(built) * 1000:.2f}, {np.median(plain) * 1000:.2f}")


def write_log(folder: Path, count: int) -> None:
    """Write the files of a log with `count` completed idempotency records."""
    now = time.time()
    per_segment = 100_000
    for segment in range(count // per_segment):
        rows = []
        for n in range(segment * per_segment, (segment + 1) * per_segment):
            result = {"result": {"operation_id": n, "status": "completed"}, "status": "ok", "time": 0.01}
            rows.append(
                encode_frame(orjson.dumps([f"c/key-{n:09d}", "done", f"{n:032x}", n, now, now, result]))
            )
        (folder / f"intents-{segment + 1:08d}.log").write_bytes(b"".join(rows))


def measure_appends(log: WriteAheadLog, entry: Any, writers: int) -> None:
    """Measure durable appends from several threads."""
    count = 0
    lock = threading.Lock()
    stop = time.monotonic() + APPEND_SECONDS

    def write(number: int) -> None:
        nonlocal count
        turn = 0
        while time.monotonic() < stop:
            log.append_durably(f"w{number}-{turn}", entry)
            turn += 1
        with lock:
            count += turn

    threads = [threading.Thread(target=write, args=(n,)) for n in range(writers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(f"  records forced to the disk, {writers} writers: {count / APPEND_SECONDS:.0f} a second")


def measure_log(count: int = 1_000_000) -> None:
    """Measure the recovery of a write-ahead log, and appends to it."""
    folder = Path(tempfile.mkdtemp(prefix="gingervane-bench-"))
    write_log(folder, count)
    size = sum(path.stat().st_size for path in folder.iterdir())
    records = IdempotencyRecords(IdempotencyLimits(max_records=2 * count))
    began = time.perf_counter()
    log = WriteAheadLog(folder, 1e9, time.time)
    recovered = log.recover()
    read_time = time.perf_counter() - began
    restore_records(records, recovered.records, VersionClock(1))
    total_time = time.perf_counter() - began
    print(
        f"write-ahead log, {recovered.record_count} entries, {size / 1e6:.0f} MB: "
        f"read in {read_time:.2f} s, restored in {total_time:.2f} s"
    )
    entry = next(iter(recovered.records.values()))
    for writers in (1, 16, 64):
        measure_appends(log, entry, writers)
    log.close()


def start_nodes(folder: Path, count: int, dims: int) -> tuple[list[subprocess.Popen[str]], list[int]]:
    """Start fake vector nodes, a process each so that they are no bottleneck; return processes and ports."""
    model = Model(cores=8, work=0.0005, call_work=0.0002, queue=10_000)
    processes: list[subprocess.Popen[str]] = []
    ports: list[int] = []
    for number in range(count):
        path = folder / f"orders-{number}.json"
        path.write_text(
            json.dumps(
                {
                    "nodes": count,
                    "collections": [["c", dims, "Cosine"]],
                    "width": 3,
                    "window": 10.0,
                    "faults": {},
                    "model": list(model),
                    "only": [number],
                }
            )
        )
        process = subprocess.Popen(
            [sys.executable, "-m", "gingervane.fake_servers.vectors", str(path)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert process.stdout
        ports += json.loads(process.stdout.readline().removeprefix("ready"))
        processes.append(process)
    return processes, ports


def coordinator_table(folder: Path, nodes: int, dims: int) -> dict[str, Any]:
    """Build the settings of a co-ordinator with the vector front."""
    times = {"aim": 1.0, "deadline": 5.0}
    return {
        "class": [
            {"name": "look", **times},
            {"name": "up", **times, "semantics": "keyed", "repeat_window": 10.0},
            {"name": "add", **times, "semantics": "unsafe"},
        ],
        "vectors": {
            "membership": {"file": str(folder / "vectors.toml")},
            "cells": nodes,
            "search_class": "look",
            "upsert_class": "up",
            "add_class": "add",
            "collection": [{"name": "c", "dims": dims}],
            "intents": str(folder / "intents"),
        },
    }


class CollectionClient:
    """Sends requests for one collection to the co-ordinator or directly to a node."""

    def __init__(self, coordinator: tuple[str, int]) -> None:
        self.coordinator = coordinator
        self._pool = Pool(WireLimits(16384, 64 << 20), 64, 30.0)

    def call(self, address: tuple[str, int], method: str, path: str, content: Any) -> Any:
        """Return the result of one request; raises OSError unless its status is 200."""
        body = orjson.dumps(content)
        data = (
            http1.encode_head(
                f"{method} /collections/c/{path} HTTP/1.1",
                [("Host", "x"), ("Content-Length", str(len(body)))],
            )
            + body
        )
        status, _, reply = exchange(self._pool, address, data, time.monotonic() + 20.0)
        if status != 200:
            raise OSError(f"{status}: {reply[:200]!r}")
        return orjson.loads(reply)["result"]

    def search(self, vector: list[float]) -> Any:
        """Search all shards."""
        return self.call(self.coordinator, "POST", "points/search", {"vector": vector, "limit": 10})

    def search_shard(self, node: tuple[str, int], vector: list[float], shard: int) -> Any:
        """Search one shard directly at a node."""
        search = {"vector": vector, "limit": 10, "shard_key": f"s{shard}"}
        return self.call(node, "POST", "points/search/batch", {"searches": [search]})

    def upsert(self, points: list[dict[str, Any]]) -> Any:
        """Write points."""
        return self.call(self.coordinator, "PUT", "points", {"points": points})


def check_searches(client: CollectionClient, vectors: Any, rng: np.random.Generator, nodes: int) -> None:
    """Insert all vectors, and compare the results of searches with brute force."""
    points, dims = vectors.shape
    for at in range(0, points, 1000):
        client.upsert([{"id": n, "vector": vectors[n].tolist()} for n in range(at, at + 1000)])
    time.sleep(1.0)
    norms = np.linalg.norm(vectors, axis=1)
    wrong = 0
    for _ in range(200):
        query_vector = rng.normal(size=dims)
        hits = client.search(query_vector.tolist())
        expected = np.argsort(-(vectors @ query_vector) / norms, kind="stable")[:10]
        wrong += [point["id"] for point in hits] != expected.tolist()
    print(f"{points} points, {nodes} shards, k 10: {200 - wrong} of 200 searches equal brute force")


def measure_searches(client: CollectionClient, query_vector: list[float], ports: list[int]) -> None:
    """Measure searches of all shards, compared with direct searches of one shard."""
    shard = shard_of(0, len(ports))
    direct = ("127.0.0.1", ports[shard])
    works: dict[str, Callable[[int], Any]] = {
        "one shard of one node": lambda _: client.search_shard(direct, query_vector, shard),
        "search of all shards": lambda _: client.search(query_vector),
    }
    for clients in (1, 8, 32):
        for name, work in works.items():
            print_load(f"{clients} clients, {name}", *closed_loop(clients, LOAD_SECONDS, work))


def measure_both_fronts(client: CollectionClient, query_vector: list[float]) -> None:
    """Measure remote reads and searches, each alone and both at the same time."""
    tile = Query(1_764_600_000_000, 1_764_600_300_000, (Matcher(Match.EQUAL, "tile", "t001"),))
    reader = Client(client.coordinator)

    def read(_index: int) -> None:
        if reader.read([tile], {}, 5.0).status != 200:
            raise OSError("not 200")

    def search(_index: int) -> None:
        client.search(query_vector)

    print_load("8 clients, remote read alone", *closed_loop(8, LOAD_SECONDS, read))
    print_load("8 clients, search alone", *closed_loop(8, LOAD_SECONDS, search))
    beside: list[Any] = []
    thread = threading.Thread(target=lambda: beside.append(closed_loop(8, LOAD_SECONDS, search)))
    thread.start()
    print_load("8 clients, remote read beside 8 of search", *closed_loop(8, LOAD_SECONDS, read))
    thread.join()
    print_load("8 clients, search beside 8 of remote read", *beside[0])


def measure_upserts(client: CollectionClient, query_vector: list[float], points: int) -> None:
    """Measure upserts of new points, with ids above `points`."""
    ids = itertools.count(points + 1)

    def upsert(_index: int) -> None:
        client.upsert([{"id": next(ids), "vector": query_vector}])

    for clients in (1, 16):
        print_load(f"{clients} clients, upserts", *closed_loop(clients, LOAD_SECONDS, upsert))


def measure_json() -> None:
    """Measure the decoding and encoding of a reply with hits."""
    hits = [
        {"id": n, "version": 1, "score": 0.5, "payload": {"name": f"point {n}", "n": n}} for n in range(100)
    ]
    reply = orjson.dumps({"result": [hits for _ in range(6)]})
    works: dict[str, Callable[[], Any]] = {
        "json": lambda: json.dumps(json.loads(reply)),
        "orjson": lambda: orjson.dumps(orjson.loads(reply)),
    }
    for name, both_ways in works.items():
        began = time.perf_counter()
        for _ in range(300):
            both_ways()
        each = (time.perf_counter() - began) / 300 * 1000
        print(f"  {len(reply) / 1024:.0f} KiB of hits decoded and encoded by {name}: {each:.3f} ms")


def measure_fronts(nodes: int = 6, points: int = 6000, dims: int = 32) -> None:
    """Measure one co-ordinator with both fronts, with vector nodes in processes of their own."""
    folder = Path(tempfile.mkdtemp(prefix="gingervane-bench-"))
    processes, ports = start_nodes(folder, nodes, dims)
    FileListing(folder / "vectors.toml").write(
        [Row(n, f"v{n}", ("127.0.0.1", p), ZONES[n % 3], n, "ready", None) for n, p in enumerate(ports)], []
    )
    rng = np.random.default_rng(2)
    vectors = rng.normal(size=(points, dims)).round(4)
    with Fleet(nodes=6, tiles=12, table=coordinator_table(folder, nodes, dims)) as fleet:
        client = CollectionClient(fleet.address)
        check_searches(client, vectors, rng, nodes)
        query_vector = rng.normal(size=dims).tolist()
        measure_searches(client, query_vector, ports)
        measure_both_fronts(client, query_vector)
        measure_upserts(client, query_vector, points)
    for process in processes:
        assert process.stdin
        process.stdin.close()
        process.wait(20)
    measure_json()


def print_load(name: str, count: int, histogram: Any, errors: int) -> None:
    """Print the results of a closed loop of `LOAD_SECONDS`."""
    p50, p99 = (histogram.get_value_at_percentile(q) / 1000 for q in (50, 99))
    print(f"  {name}: {count / LOAD_SECONDS:.0f}/s, p50 {p50:.2f} ms, p99 {p99:.2f}, errors {errors}")


if __name__ == "__main__":
    print(machine())
    parts: dict[str, Callable[[], None]] = {
        "merge": measure_merging,
        "log": measure_log,
        "serve": measure_fronts,
    }
    for chosen in sys.argv[1:] or parts:
        parts[chosen]()
