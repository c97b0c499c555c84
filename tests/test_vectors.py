"""The vector front on sockets: Qdrant's client, exact answers, idempotent writes, repair, and restarts."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import numpy as np
import pytest
from qdrant_client import QdrantClient, models
from test_consul import wait_until
from test_hard_cases import ask

from gingervane.daemon.app import App
from gingervane.experiments.embedded import EmbeddedFleet
from gingervane.fake_servers.vectors import VectorGrid
from gingervane.vectors.points import Collection, order_of, shard_of
from gingervane.wire import http1
from gingervane.wire.http1 import Limits
from gingervane.wire.pool import Pool, exchange

COLLECTIONS = (Collection("cos", 4, "Cosine"), Collection("far", 3, "Euclid"))
NODES = 6


class Fleet(EmbeddedFleet):
    """Both fronts in one daemon, six vector nodes, three replicas per shard, and a write quorum of two."""

    def __init__(
        self,
        folder: Path | None = None,
        window: float = 2.0,
        limits: dict[str, Any] | None = None,
        **table: Any,
    ) -> None:
        grid = VectorGrid(NODES, COLLECTIONS, window=window)
        vector_table = {"repair_sweep": 6000.0, **table}
        if folder:
            vector_table["intents"] = str(folder)
        super().__init__(vectors=grid, overrides={"vectors": vector_table, "limits": limits or {}})
        self.pool = Pool(Limits(16384, 1 << 26), 4, 30.0)

    @property
    def shards(self) -> dict[int, list[Any]]:
        """The copies of each shard of the collection `cos`, by shard number."""
        assert self.vectors
        shards_by_number: dict[int, list[Any]] = {}
        for node in self.vectors.nodes:
            for (name, number), shard in node.shards.items():
                if name == "cos":
                    shards_by_number.setdefault(number, []).append(shard)
        return shards_by_number

    def call(self, method: str, path: str, content: Any, *fields: tuple[str, str]) -> tuple[int, Any, Any]:
        """Return the status, decoded body and headers of a reply."""
        body = content if isinstance(content, bytes) else json.dumps(content).encode()
        header_fields = [("Host", "x"), ("Content-Length", str(len(body))), *fields]
        data = http1.encode_head(f"{method} /collections/{path} HTTP/1.1", header_fields) + body
        status, headers, reply = exchange(self.pool, self.address, data, time.monotonic() + 30.0)
        return status, json.loads(reply), headers

    def put(self, number: int, key: str = "", **payload: Any) -> int:
        fields = (("Idempotency-Key", key),) if key else ()
        points = [{"id": number, "vector": [1.0, number, 0, 0], "payload": payload}]
        return self.call("PUT", "cos/points", {"points": points}, *fields)[0]

    def add(self, number: int, by: int = 1) -> int:
        content = {"payload": {"n": by}, "points": [number]}
        return self.call("POST", "cos/points/payload?increment=true", content)[0]

    def on_replicas(self, number: int) -> list[Any]:
        """The point on each of its replicas; None where it is missing."""
        return [shard.points.get(number) for shard in self.shards[shard_of(number, NODES)]]


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    instance = Fleet(tmp_path / "intents")
    yield instance
    instance.close()


def nearest_ids(points: dict[Any, list[float]], vector: list[float], k: int, offset: int = 0) -> list[Any]:
    """Ids of the nearest points by cosine, by exhaustive search."""
    ids = sorted(points, key=order_of)
    matrix = np.asarray([points[n] for n in ids], dtype=np.float64)
    query_vector = np.asarray(vector, dtype=np.float64)
    scores = matrix @ query_vector / (np.linalg.norm(matrix, axis=1) * np.linalg.norm(query_vector))
    return [ids[i] for i in np.argsort(-scores, kind="stable")[offset : offset + k]]


def test_the_qdrant_client_works_unchanged(fleet: Fleet) -> None:
    host, port = fleet.address
    client = QdrantClient(host=host, port=port, check_compatibility=False)
    rng = np.random.default_rng(5)
    vectors = {n: rng.normal(size=4).round(3).tolist() for n in range(300)}
    upsert_result = client.upsert(
        "cos",
        [
            models.PointStruct(id=n, vector=v, payload={"even": n % 2 == 0, "n": n})
            for n, v in vectors.items()
        ],
    )
    assert upsert_result.status is models.UpdateStatus.COMPLETED
    query_vector = [0.3, -1.0, 0.5, 0.2]
    for k, offset in ((1, 0), (10, 0), (10, 7), (1000, 0)):
        found = client.query_points("cos", query=query_vector, limit=k, offset=offset).points
        assert [p.id for p in found] == nearest_ids(vectors, query_vector, k, offset)
    even = models.Filter(must=[models.FieldCondition(key="even", match=models.MatchValue(value=True))])
    found = client.query_points(
        "cos", query=query_vector, query_filter=even, limit=20, with_vectors=True
    ).points
    assert [p.id for p in found] == nearest_ids(
        {n: v for n, v in vectors.items() if n % 2 == 0}, query_vector, 20
    )
    assert found[0].payload and found[0].payload["even"] and found[0].vector == vectors[int(found[0].id)]
    few = models.Filter(must=[models.HasIdCondition(has_id=[3, 4])])
    batch = client.query_batch_points(
        "cos",
        [
            models.QueryRequest(query=query_vector, filter=few, limit=5),
            models.QueryRequest(query=query_vector, limit=3),
        ],
    )
    assert [{p.id for p in response.points} for response in batch] == [
        {3, 4},
        set(nearest_ids(vectors, query_vector, 3)),
    ]
    best = found[0].score
    above_threshold = client.query_points(
        "cos", query=query_vector, query_filter=even, score_threshold=best, limit=5
    ).points
    assert [p.id for p in above_threshold] == [found[0].id]
    client.set_payload("cos", payload={"n": -1}, points=[3])
    client.delete("cos", points_selector=[4])
    remaining = client.query_points("cos", query=query_vector, query_filter=few, limit=5).points
    assert [(p.id, p.payload and p.payload["n"]) for p in remaining] == [(3, -1)]
    info = client.get_collection("cos")
    assert info.config.params.vectors.size == 4  # type: ignore[union-attr]
    assert ask(fleet).status == 200, "the remote read front works at the same time"
    client.close()


def test_euclid_batches_with_ties_ordered_by_id(fleet: Fleet) -> None:
    points = [{"id": n, "vector": [n % 3, 0.0, 0.0]} for n in range(30)]
    assert fleet.call("PUT", "far/points", {"points": points})[0] == 200
    search = {"vector": [0, 0, 0], "limit": 12}
    batch = {"searches": [search, {**search, "offset": 5, "limit": 3}]}
    _, found, _ = fleet.call("POST", "far/points/search/batch", batch)
    ids = [p["id"] for p in found["result"][0]]
    assert ids == [*range(0, 30, 3), 1, 4], "nearest first, ties by id, independent of the shard"
    assert [p["id"] for p in found["result"][1]] == ids[5:8]


INVALID_REQUESTS = [
    ("PUT", "cos/points", b'{"points":[{"id":1,"vector":[1,NaN,0,0]}]}', "body:"),
    ("PUT", "cos/points", {"points": [{"id": 1, "vector": [1, 1e39, 0, 0]}]}, "points[0].vector[1]: 1e+39"),
    ("PUT", "cos/points", {"points": [{"id": 1, "vector": [1, 0]}]}, "vector: expected 4 numbers, got 2"),
    ("PUT", "cos/points", {"points": [{"id": -1, "vector": [1, 0, 0, 0]}]}, "points[0].id: -1"),
    ("PUT", "cos/points", {"points": [{"id": 1, "vector": [1, 0, 0, 0]}] * 2}, "points[1].id: 1 stands at"),
    ("PUT", "cos/points", {"points": []}, "points: must be a list of 1 to 10000"),
    ("PUT", "cos/points", b"[1]", "body: list, not an object"),
    ("POST", "cos/points/search", {"vector": [1, 0, 0, 0], "limit": 20000}, "limit: 20000"),
    ("POST", "cos/points/search", {"vector": [1, 0, 0, 0], "using": "x"}, "using: not served here"),
    ("POST", "cos/points/query", {"query": {"recommend": {}}}, "query: named and sparse"),
    (
        "POST",
        "cos/points/search",
        {"vector": [1, 0, 0, 0], "filter": {"must": [{"key": "a"}]}},
        "filter.must[0]: match (value",
    ),
    ("POST", "cos/points/payload?increment=true", {"payload": {"n": 1.5}, "points": [1]}, "payload.n: 1.5"),
    ("POST", "cos/points/delete", {"filter": {}, "points": [1]}, "filter: writes by filter"),
    ("POST", "none/points/search", {"vector": [1]}, "Collection `none` doesn't exist"),
]


@pytest.fixture(scope="module")
def shared(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    instance = Fleet(tmp_path_factory.mktemp("shared") / "intents")
    yield instance
    instance.close()


@pytest.mark.parametrize(("method", "path", "content", "expected_error"), INVALID_REQUESTS)
def test_invalid_input_is_rejected_with_its_place(
    shared: Fleet,
    method: str,
    path: str,
    content: Any,
    expected_error: str,
) -> None:
    status, found, _ = shared.call(method, path, content)
    assert status in (400, 404) and expected_error in found["status"]["error"]


def test_an_oversized_write_is_rejected_by_its_content_length(shared: Fleet) -> None:
    status, _, _ = put_with_partial_body(
        shared, b'{"points":[{"id":1,"vector":[' + b"1," * (3 << 20) + b"1]}]}"
    )
    assert status == 413


def put_with_partial_body(fleet: Fleet, body: bytes) -> tuple[int, Any, bytes]:
    header_fields = [("Host", "x"), ("Content-Length", str(len(body)))]
    head = http1.encode_head("PUT /collections/cos/points HTTP/1.1", header_fields)
    return exchange(fleet.pool, fleet.address, head + body[:1000], time.monotonic() + 30.0)


def test_a_repeated_key_is_executed_once(fleet: Fleet) -> None:
    assert fleet.put(7, "k", a=1) == 200 == fleet.put(7, "k", a=1)
    assert fleet.put(7, "k", a=2) == 422, "different content under the same key"
    assert fleet.app.vectors and fleet.app.vectors.front.counts["repeats"] == 1
    wait_until(lambda: all(row and row["payload"] == {"a": 1} for row in fleet.on_replicas(7)))
    assert len({row["version"] for row in fleet.on_replicas(7)}) == 1


def test_an_increment_is_never_executed_twice(fleet: Fleet) -> None:
    assert fleet.put(3, n=0) == 200
    assert fleet.vectors
    for node in fleet.vectors.nodes[:4]:
        node.fault("reset_mid_body", 60.0, 0.5)
        node.fault("reject", 60.0, 0.3)
    answered = [fleet.add(3) for _ in range(40)]
    assert set(answered) <= {200, 502, 503} and answered.count(200) > 5
    low, high = answered.count(200), len(answered) - answered.count(503)
    for row in fleet.on_replicas(3):
        assert row["payload"]["n"] <= high
    assert max(row["payload"]["n"] for row in fleet.on_replicas(3)) >= low


def test_a_missed_write_is_counted_and_repaired(fleet: Fleet) -> None:
    shard = shard_of(5, NODES)
    assert fleet.vectors and fleet.app.vectors
    failing_node = next(n for n in fleet.vectors.nodes if ("cos", shard) in n.shards)
    failing_node.fault("fail_fast", 600.0, 1.0)
    _, found, headers = fleet.call("PUT", "cos/points", {"points": [{"id": 5, "vector": [1, 0, 0, 0]}]})
    assert found["result"]["status"] == "completed"
    assert headers.get("gingervane-holders-done") == "0.667"
    assert failing_node.shards["cos", shard].points.get(5) is None
    repair = fleet.app.vectors.shards.repairer
    wait_until(lambda: repair.metrics()["shards_owed"] >= 1)
    failing_node.schedule.faults.clear()
    wait_until(lambda: None not in fleet.on_replicas(5))
    wait_until(lambda: repair.metrics()["shards_owed"] == 0)
    assert (
        len({row["version"] for row in fleet.on_replicas(5)}) == 1
        and repair.metrics()["points_repaired"] >= 1
    )


def test_a_replica_that_lacks_a_write_is_reported_as_stale(fleet: Fleet) -> None:
    assert fleet.vectors and fleet.app.vectors
    shard = shard_of(5, NODES)
    # The replica in the co-ordinator's own zone, which searches prefer.
    failing_node = next(n for n in fleet.vectors.nodes if ("cos", shard) in n.shards and n.id % 3 == 0)
    failing_node.fault("fail_fast", 600.0, 1.0)
    fleet.app.vectors.shards.repairer.stop()  # so that the replica stays stale
    assert fleet.put(5) == 200
    # The query has completed and sends no more. Requests in flight must end, or they may still be executed.
    wait_until(lambda: fleet.app.vectors is not None and not fleet.app.vectors.cores[1].requests_in_flight)
    assert fleet.on_replicas(5).count(None) == 1
    failing_node.schedule.faults.clear()
    body = {"vector": [1, 0, 0, 0], "limit": 3}
    observed = set()

    engines: list[Any] = [core._driver._engine for core in fleet.app.vectors.cores]
    servers = [server for engine in engines for server in engine.membership.replicas.values()]

    def stale_answer_observed() -> bool:
        for server in servers:
            server.relative_latency = (
                1.0  # one slow reply on a busy machine would exclude the replica for half a minute
            )
        status, found, headers = fleet.call("POST", "cos/points/search", body)
        assert status == 200
        point_found = any(p["id"] == 5 for p in found["result"])
        observed.add((point_found, headers.get("gingervane-stale-shards")))
        return (False, f"s{shard}") in observed

    wait_until(stale_answer_observed)
    assert observed <= {(True, ""), (False, f"s{shard}")}, "every stale answer is marked"


def test_a_repeat_after_the_window_does_not_replace_a_newer_write(fleet: Fleet) -> None:
    assert fleet.vectors
    assert fleet.put(8, "k", a=1) == 200 == fleet.put(8, "later", a=2)
    wait_until(lambda: all(row and row["payload"] == {"a": 2} for row in fleet.on_replicas(8)))
    old_version = min(row["version"] for row in fleet.on_replicas(8)) - (1 << 14)
    node = next(n for n in fleet.vectors.nodes if ("cos", shard_of(8, NODES)) in n.shards)
    node._keys.clear()  # simulates the end of the window
    point = {"id": 8, "vector": [1.0, 8, 0, 0], "payload": {"a": 1}}
    part = {"shard": shard_of(8, NODES), "kind": "upsert", "body": {"points": [point]}}
    assert node._do(["collections", "cos"], part, "k", old_version)["repeat"] is False
    assert {row["payload"]["a"] for row in fleet.on_replicas(8)} == {2}


def test_a_write_without_a_quorum_of_ready_replicas_is_rejected(fleet: Fleet) -> None:
    shard = shard_of(9, NODES)
    assert fleet.vectors and fleet.app.vectors
    replica_ids = [n.id for n in fleet.vectors.nodes if ("cos", shard) in n.shards]
    fleet.write_vectors({n: "draining" for n in replica_ids[:2]})
    service = fleet.app.vectors
    wait_until(
        lambda: sum(replica.state.value == "ready" for replica in service.shards.placement.replicas_of(shard))
        == 1
    )
    status, found, headers = fleet.call("PUT", "cos/points", {"points": [{"id": 9, "vector": [1, 0, 0, 0]}]})
    assert status == 503 and "1 holders are ready, 2 must" in found["status"]["error"]
    assert headers.get("gingervane-began") == "no" and headers.get("retry-after")
    fleet.write_vectors()
    wait_until(lambda: fleet.put(9) == 200)


def test_partial_answers_are_given_only_on_request(fleet: Fleet) -> None:
    assert fleet.vectors
    for number in range(30):
        assert fleet.put(number) == 200
    failing_shard = shard_of(0, NODES)
    for node in fleet.vectors.nodes:
        if ("cos", failing_shard) in node.shards:
            node.fault("fail_fast", 600.0, 1.0)
    body = {"vector": [1, 0, 0, 0], "limit": 100}
    status, _, _ = fleet.call("POST", "cos/points/search?timeout=1s", body)
    assert status in (502, 503)
    status, found, headers = fleet.call(
        "POST", "cos/points/search?partial_response=1&class=area-report", body
    )
    assert status == 200 and headers.get("gingervane-missing") == f"s{failing_shard}"
    assert headers.get("gingervane-coverage") == "0.833333"
    assert {p["id"] for p in found["result"]} == {n for n in range(30) if shard_of(n, NODES) != failing_shard}


def test_keys_survive_a_restart(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path / "intents", window=1.0)
    try:
        assert fleet.vectors and fleet.put(1, "done", a=1) == 200
        for node in fleet.vectors.nodes:
            node.fault("lose_answers", 600.0, 1.0)
        status, _, _ = fleet.call(
            "PUT",
            "cos/points?timeout=400ms",
            {"points": [{"id": 2, "vector": [1, 0, 0, 0]}]},
            ("Idempotency-Key", "lost"),
        )
        assert status == 502, "the write may have been executed"
        wait_until(lambda: all(row for row in fleet.on_replicas(2)))
        for node in fleet.vectors.nodes:
            node.schedule.faults.clear()
        first_versions = {row["version"] for row in fleet.on_replicas(2)}
        fleet.app.stop()
        fleet.stopped.add(0)
        fleet.apps.append(App(fleet.config, 3))
        fleet.apps[1].start()
        fleet.address = fleet.apps[1].address
        fleet.app = fleet.apps[1]
        assert fleet.put(1, "done", a=1) == 200
        assert (
            fleet.app.vectors and fleet.app.vectors.front.counts["repeats"] == 1
        ), "the key was recovered from the log"
        content = {"points": [{"id": 2, "vector": [1, 0, 0, 0]}]}

        def retry() -> int:
            return fleet.call("PUT", "cos/points", content, ("Idempotency-Key", "lost"))[0]

        assert retry() in (200, 409)  # 200 within the window of the key, 409 after it
        wait_until(lambda: retry() in (200, 409))
        assert {
            row["version"] for row in fleet.on_replicas(2)
        } == first_versions, "the write keeps its version"
    finally:
        fleet.close()


def test_concurrent_requests_with_one_key_are_one_write(fleet: Fleet) -> None:
    assert fleet.vectors
    for node in fleet.vectors.nodes:
        node.fault("slow", 60.0, 20.0)
    statuses: list[int] = []
    threads = [threading.Thread(target=lambda: statuses.append(fleet.put(11, "same", a=1))) for _ in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert set(statuses) == {200}
    assert fleet.app.vectors and fleet.app.vectors.front.counts["writes"] == 1
