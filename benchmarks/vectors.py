"""The vector front, measured: against asking a node directly, merging, the intent log, JSON.

python benchmarks/vectors.py [merge] [log] [serve]
"""

from __future__ import annotations

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

from gingervane.writes.write_ahead_log import WriteAheadLog, encode_frame
from gingervane.writes.idempotency import IdempotencyRecords, IdempotencyLimits
from gingervane.fronts.client import Client
from gingervane.experiments.listing import FileListing, Row
from gingervane.fake_servers.capacity import Model
from gingervane.writes.quorum_writes import restore_records
from gingervane.writes.version_clock import VersionClock
from gingervane.vectors.points import order_of, shard_of
from gingervane.vectors.topk import merge_hits
from gingervane.wire import http1
from gingervane.wire.http1 import Limits as WireLimits
from gingervane.wire.pool import Pool, exchange
from gingervane.wire.remote_read import Match, Matcher, Query

ZONES = ("hall-a", "hall-b", "hall-c")


def merging() -> None:
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
                found = merge_hits(lists, 0, k, True)
                built.append(time.perf_counter() - began)
                began = time.perf_counter()
                best = sorted(
                    (p for one in lists for p in one), key=lambda p: (-p["score"], order_of(p["id"]))
                )[:k]
                plain.append(time.perf_counter() - began)
                assert found == best
            print(f"  {k}, {shards}: {np.median(built) * 1000:.2f}, {np.median(plain) * 1000:.2f}")


def log(count: int = 1_000_000) -> None:
    folder = Path(tempfile.mkdtemp(prefix="gingervane-bench-"))
    now = time.time()
    per = 100_000
    for segment in range(count // per):
        rows = []
        for n in range(segment * per, (segment + 1) * per):
            result = {"result": {"operation_id": n, "status": "completed"}, "status": "ok", "time": 0.01}
            rows.append(
                encode_frame(orjson.dumps([f"c/key-{n:09d}", "done", f"{n:032x}", n, now, now, result]))
            )
        (folder / f"intents-{segment + 1:08d}.log").write_bytes(b"".join(rows))
    size = sum(path.stat().st_size for path in folder.iterdir())
    intents = IdempotencyRecords(IdempotencyLimits(max_records=2 * count))
    began = time.perf_counter()
    made = WriteAheadLog(folder, 1e9, time.time)
    found = made.recover()
    read = time.perf_counter() - began
    restore_records(intents, found.records, VersionClock(1))
    took = time.perf_counter() - began
    print(
        f"intent log, {found.record_count} entries, {size / 1e6:.0f} MB: "
        f"read in {read:.2f} s, taken up in {took:.2f} s"
    )
    for writers in (1, 16, 64):
        done = [0]
        stop = time.monotonic() + 3.0

        def write(number: int, done: list[int] = done, stop: float = stop) -> None:
            entry = next(iter(found.records.values()))
            turn = 0
            while time.monotonic() < stop:
                made.append_durably(f"w{number}-{turn}", entry)
                turn += 1
                done[0] += 1

        threads = [threading.Thread(target=write, args=(n,)) for n in range(writers)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        print(f"  intents forced to the disk, {writers} writers: {done[0] / 3:.0f} a second")
    made.close()


def serve(nodes: int = 6, points: int = 6000, dims: int = 32) -> None:
    """One co-ordinator with both fronts, vector nodes in a process of their own."""
    folder = Path(tempfile.mkdtemp(prefix="gingervane-bench-"))
    model = Model(cores=8, work=0.0005, call_work=0.0002, queue=10_000)
    children, ports = [], []
    for number in range(nodes):  # a process each, so that they are not what is measured
        path = folder / f"orders-{number}.json"
        path.write_text(
            json.dumps(
                {
                    "nodes": nodes,
                    "collections": [["c", dims, "Cosine"]],
                    "width": 3,
                    "window": 10.0,
                    "faults": {},
                    "model": list(model),
                    "only": [number],
                }
            )
        )
        child = subprocess.Popen(
            [sys.executable, "-m", "gingervane.fake_servers.vectors", str(path)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert child.stdout
        ports += json.loads(child.stdout.readline().removeprefix("ready"))
        children.append(child)
    FileListing(folder / "vectors.toml").write(
        [Row(n, f"v{n}", ("127.0.0.1", p), ZONES[n % 3], n, "ready", None) for n, p in enumerate(ports)], []
    )
    times = {"aim": 1.0, "deadline": 5.0}
    table: dict[str, Any] = {
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
    pool = Pool(WireLimits(16384, 64 << 20), 64, 30.0)

    def call(address: tuple[str, int], method: str, path: str, content: Any) -> Any:
        body = orjson.dumps(content)
        data = (
            http1.encode_head(
                f"{method} /collections/c/{path} HTTP/1.1",
                [("Host", "x"), ("Content-Length", str(len(body)))],
            )
            + body
        )
        status, _, reply = exchange(pool, address, data, time.monotonic() + 20.0)
        if status != 200:
            raise OSError(f"{status}: {reply[:200]!r}")
        return orjson.loads(reply)["result"]

    rng = np.random.default_rng(2)
    vectors = rng.normal(size=(points, dims)).round(4)
    with Fleet(nodes=6, tiles=12, table=table) as fleet:
        for at in range(0, points, 1000):
            rows = [{"id": n, "vector": vectors[n].tolist()} for n in range(at, at + 1000)]
            call(fleet.address, "PUT", "points", {"points": rows})
        time.sleep(1.0)
        norms = np.linalg.norm(vectors, axis=1)
        wrong = 0
        for _ in range(200):
            wanted = rng.normal(size=dims)
            found = call(fleet.address, "POST", "points/search", {"vector": wanted.tolist(), "limit": 10})
            best = np.argsort(-(vectors @ wanted) / norms, kind="stable")[:10]
            wrong += [p["id"] for p in found] != best.tolist()
        print(f"{points} points, {nodes} shards, k 10: {200 - wrong} of 200 searches equal brute force")
        wanted = rng.normal(size=dims).tolist()
        shard = shard_of(0, nodes)
        direct = ("127.0.0.1", ports[shard])
        one = {"vector": wanted, "limit": 10}
        for clients in (1, 8, 32):
            for what, work in (
                (
                    "one shard of one node",
                    lambda: call(
                        direct,
                        "POST",
                        "points/search/batch",
                        {"searches": [{**one, "shard_key": f"s{shard}"}]},
                    ),
                ),
                ("search of all shards", lambda: call(fleet.address, "POST", "points/search", one)),
            ):
                count, histogram, errors = closed_loop(clients, 4.0, lambda index, w=work: w())  # type: ignore[misc]
                told(f"{clients} clients, {what}", count, histogram, errors)
        tile = Query(1_764_600_000_000, 1_764_600_300_000, (Matcher(Match.EQUAL, "tile", "t001"),))
        reader = Client(fleet.address)

        def read(index: int) -> None:
            if reader.read([tile], {}, 5.0).status != 200:
                raise OSError("not 200")

        def search(index: int) -> None:
            call(fleet.address, "POST", "points/search", one)

        told("8 clients, remote read alone", *closed_loop(8, 4.0, read))
        told("8 clients, search alone", *closed_loop(8, 4.0, search))
        beside: list[Any] = []
        thread = threading.Thread(target=lambda: beside.append(closed_loop(8, 4.0, search)))
        thread.start()
        told("8 clients, remote read beside 8 of search", *closed_loop(8, 4.0, read))
        thread.join()
        told("8 clients, search beside 8 of remote read", *beside[0])
        newest = [points]
        lock = threading.Lock()

        def upsert(index: int) -> None:
            with lock:
                newest[0] += 1
                mine = newest[0]
            call(fleet.address, "PUT", "points", {"points": [{"id": mine, "vector": wanted}]})

        for clients in (1, 16):
            count, histogram, errors = closed_loop(clients, 4.0, upsert)
            told(f"{clients} clients, upserts", count, histogram, errors)
    for child in children:
        assert child.stdin
        child.stdin.close()
        child.wait(20)
    reply = orjson.dumps(
        {
            "result": [
                [
                    {"id": n, "version": 1, "score": 0.5, "payload": {"name": f"point {n}", "n": n}}
                    for n in range(100)
                ]
                for _ in range(6)
            ]
        }
    )
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


def told(what: str, count: int, histogram: Any, errors: int) -> None:
    p50, p99 = (histogram.get_value_at_percentile(q) / 1000 for q in (50, 99))
    print(f"  {what}: {count / 4:.0f}/s, p50 {p50:.2f} ms, p99 {p99:.2f}, errors {errors}")


if __name__ == "__main__":
    print(machine())
    parts: dict[str, Callable[[], None]] = {"merge": merging, "log": log, "serve": serve}
    for chosen in sys.argv[1:] or parts:
        parts[chosen]()
