"""Wire formats as literals: messages between clients, coordinators, replicas, peers and the platform.

Names inside the program may change, the literals here may not. See also `test_pinned_forms.py`.
"""

from __future__ import annotations

import http.client
import io
import json
import random
import re
import struct
import threading
import time
from collections.abc import Iterator
from enum import Enum
from pathlib import Path
from typing import Any, NamedTuple

import pytest
from decision_helpers import part_of
from hosts import BASE, Host
from platform_fakes import WAIT_TIMEOUT_SECONDS, Platform, Replica, Waiter
from prometheus_client.parser import text_string_to_metric_families

from gingervane import benchlink
from gingervane import interface as api
from gingervane.coordinator.types import InvalidReply
from gingervane.experiments.embedded import EmbeddedFleet
from gingervane.fake_servers.vectors import VectorGrid
from gingervane.fronts import subtree_codec
from gingervane.fronts.http_server import Exchange, HttpServer, Reply, ServerLimits, plain
from gingervane.fronts.leaf_codec import LeafContent, LeafQuery, RemoteReadCodec
from gingervane.fronts.routing import coverage_fields, duration, flag, rejection
from gingervane.membership import consul
from gingervane.membership.consul_http import get
from gingervane.membership.consul_polling import Backoff
from gingervane.membership.registration import Registrar, ServiceEntry
from gingervane.node.endpoint_list import replica_id
from gingervane.tree import coverage
from gingervane.tree.subquery_context import SubqueryContext, SubtreeQuery
from gingervane.vectors.codec import SearchCodec, ShardSearch, ShardWrite, WriteCodec
from gingervane.vectors.points import Collection, shard_of
from gingervane.wire import frames, http1, remote_read, snappy
from gingervane.wire.http1 import Headers, Limits, Request
from gingervane.wire.pool import Pool
from gingervane.wire.remote_read import Match, Matcher, Query


def to_plain_tuples(value: Any) -> Any:
    """Return a value as nested tuples without field names, with enumeration members as their values."""
    if isinstance(value, Enum):
        return value.value
    return tuple(map(to_plain_tuples, value)) if isinstance(value, tuple | list) else value


# ---- records of the simulator


@pytest.mark.parametrize(
    ("action", "record"),
    [
        (api.Send(1, 2, 3.5), "40 0100000000000000 02000000 0000000000000c40"),
        (api.Reject(1, 0.5), "41 0100000000000000 000000000000e03f"),
        (api.Fail(7), "42 0700000000000000"),
        (api.Cancel(1, 2), "43 0100000000000000 02"),
        (api.CloseIdle(9), "46 09000000"),
        (api.SetTimer(0.25, 8), "44 000000000000d03f 0800000000000000"),
        (api.Answer(5, True), "4c 0500000000000000 01"),
        (api.Answer(5, False), "4c 0500000000000000 00"),
        (api.WatchMembership(), "4a 01"),
        (api.SendToPeers(b"hi"), "47 ffffffff 0200 6869"),
        (api.LogMessage("w\u00f8"), "48 0300 77c3b8"),
    ],
)
def test_what_is_decided_as_the_simulator_reads_it(action: api.Action, record: str) -> None:
    assert benchlink.encode(action) == bytes.fromhex(record)


def test_a_module_that_broke_as_the_simulator_reads_it() -> None:
    assert benchlink.encode_fault(ValueError("bad")) == b"\x49\x0f\x00ValueError: bad"


def record(shape: str, *values: Any) -> bytes:
    """Encode a record of the simulator: little-endian, without padding."""
    return struct.pack("<" + shape, *values)


EVENTS: list[tuple[bytes, tuple[Any, ...]]] = [
    (record("BQHB", 1, 1, 4, 0), ("delta", ((77, 3, 2, 0.5, "ready", 9.5), (78, 3, 2, 0.5, "gone", 9.5)))),
    (record("BQHB", 1, 1, 4, 1), ("full", ((77, 3, 2, 0.5, "ready", 9.5), (78, 3, 2, 0.5, "gone", 9.5)))),
    (record("BQHB", 1, 1, 4, 2), ("cached", ((77, 3, 2, 0.5, "ready", 9.5), (78, 3, 2, 0.5, "gone", 9.5)))),
    (record("BQHB", 1, 1, 4, 3), ("failed", ())),
    (
        record("BQffHfHQIdd", 2, 11, -1.0, 6.0, 1, 3.0, 2, 0, 5, 16.0, 0.25),
        (11, 6, 1, 5, 3, 16.0, True, 0.25),
    ),
    (record("BQffHfHQIdd", 2, 12, 4.0, 6.0, 1, 0.5, 0, 0, 0, 16.0, 0.0), (12, 6, 4, 0.5)),
    (record("BQdIBBHB2f", 4, 12, 0.5, 77, 9, 1, 1, 2, 0.5, 1.5), (12, 1, 77, "ok", 0.5)),
    (record("BQ", 5, 11), (11,)),
    (record("BQ", 6, 8), (8,)),
    (record("BIHdB2f", 7, 77, 3, 0.125, 2, 0.5, 1.5), (77, "timed out", 0.125, (0.5, 1.5))),
    (record("BHH", 8, 3, 2) + b"hi", (3, b"hi")),
]


def test_what_the_simulator_tells_is_read(monkeypatch: pytest.MonkeyPatch) -> None:
    received: list[Any] = []

    class RecordingEngine:
        """Replaces the decision engine and records its input."""

        def __init__(self, settings: api.Settings, seed: int) -> None:
            received.append(seed)

        def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
            received.extend([now, *events])
            return [api.Fail(7)]

    monkeypatch.setattr(benchlink, "DecisionEngine", RecordingEngine)
    text = start_settings()
    table = record("BHI", 10, 4, 2) + b"".join(
        record("HHHBIfd", 3, 2, 0, state, number, 0.5, 9.5) for number, state in ((77, 1), (78, 0))
    )
    records = [
        record("BH", 11, 5),
        record("BQI", 0, 31, len(text)) + text,
        table,
        record("BQIBd", 3, 1, 2, 3, 4.0),  # must be ignored
        *(data for data, _ in EVENTS),
    ]
    body = b"".join(records)
    sink = io.BytesIO()
    benchlink.serve(
        io.BytesIO(record("dIII", 2.5, 20 + len(body), len(records), 6) + body),
        sink,
    )
    assert received[:2] == [31, 2.5] and [to_plain_tuples(event) for event in received[2:]] == [
        expected for _, expected in EVENTS
    ]
    reply = "02000000 18000000 06000000  4d 0500  42 0700000000000000"
    assert sink.getvalue() == bytes.fromhex(reply)


def start_settings() -> bytes:
    """The settings that a start record must have."""
    from test_benchlink import SETTINGS

    return SETTINGS.encode()


@pytest.mark.parametrize(
    ("code", "outcome"),
    enumerate(
        ["error", "ok", "rejected", "timed out", "connect failed", "reset", "cancelled", "never sent"],
    ),
)
def test_endings_by_the_simulator_s_codes(monkeypatch: pytest.MonkeyPatch, code: int, outcome: str) -> None:
    received: list[Any] = []

    class RecordingEngine:
        """Replaces the decision engine and records its input."""

        def __init__(self, settings: api.Settings, seed: int) -> None:
            pass

        def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
            received.extend(events)
            return []

    monkeypatch.setattr(benchlink, "DecisionEngine", RecordingEngine)
    text = start_settings()
    body = record("BH", 11, 5) + record("BQI", 0, 1, len(text)) + text
    body += record("BIHdB", 7, 77, code, 0.5, 0)
    benchlink.serve(io.BytesIO(record("dIII", 1.0, 20 + len(body), 3, 1) + body), io.BytesIO())
    assert to_plain_tuples(received) == ((77, outcome, 0.5, ()),)


# ---- values in metric labels and replies

OUTCOMES = ["ok", "error", "rejected", "timed out", "connect failed", "reset", "cancelled", "never sent"]
REASONS = [
    "unstated",
    "all parts in",
    "whole share in",
    "short, no further part can come",
    "short at the deadline",
    "deadline",
    "too many parts lost",
    "no replica may be asked",
    "load shedding",
    "shutdown",
    "client left",
    "answer check failed",
    "internal error",
]


def test_words_for_ends() -> None:
    assert [outcome.value for outcome in api.AttemptOutcome] == OUTCOMES
    assert [reason.value for reason in api.QueryEndReason] == REASONS


# ---- between co-ordinators: datagrams


def test_what_peers_tell_each_other() -> None:
    """The id of a replica, eight bytes, big-endian; then nothing, or 1 (does not answer) or 2 (recovered)."""
    host = Host(BASE._replace(gossip_allowed=True, coordinator_count=9), replicas=4)
    part = part_of(host, host.query(0))
    assert host.where(part) == 10
    messages = [
        action[0]
        for action in host.finish(part, api.AttemptOutcome.ERROR)
        if isinstance(action, api.SendToPeers)
    ]
    assert messages == [b"\0\0\0\0\0\0\0\x0a"]
    messages = [action[0] for action in host.wait(3.0) if isinstance(action, api.SendToPeers)]
    assert messages == [b"\0\0\0\0\0\0\0\x0b\x01"]


def test_words_of_peers_eject_and_let_back() -> None:
    host = Host(BASE._replace(gossip_allowed=True, coordinator_count=9), replicas=4)
    host.wait(10.0)
    actions = [
        change
        for peer in (1, 3)
        for change in host.feed(api.PeerMessageReceived(peer, b"\0\0\0\0\0\0\0\x0a"))
    ]
    ejected = [to_plain_tuples(tuple(action)) for action in actions if isinstance(action, api.ReplicaEjected)]
    assert [(replica, reason) for replica, _, reason in ejected] == [(10, "peer reports")]
    reports = [api.PeerMessageReceived(peer, b"\0\0\0\0\0\0\0\x0a\x02") for peer in range(1, 9)]
    reinstating_actions = [change for report in reports for change in host.feed(report)]
    assert [tuple(action) for action in reinstating_actions if isinstance(action, api.ReplicaReinstated)] == [
        (10,)
    ]


# ---- hashes on which all co-ordinators must agree


def test_where_a_point_lives() -> None:
    points: list[int | str] = [0, 1, 2**64 - 1, "6ba7b810-9dad-11d1-80b4-00c04fd430c8"]
    assert [shard_of(point, 64) for point in points] == [35, 53, 26, 6]


def test_the_number_of_a_replica() -> None:
    assert replica_id("s-1") == 226042384122961421 and replica_id("sk\u00f8yte") == 13540829663759420764


# ---- frames between a node and its replicas


def test_frames_as_they_leave() -> None:
    parts = [
        frames.SubqueryRequest("q.0", 3, "", b"ab"),
        frames.SubqueryRequest("q.1.b", 4, ",from=1+2,whole=1", b"\xc3\xb8"),
    ]
    assert frames.encode_batch(parts, [250, 1]) == (
        b"\x32\0\0\0qq.0 3 d=250 2\nabq.1.b 4 d=1,from=1+2,whole=1 2\n\xc3\xb8"
    )
    assert frames.encode_cancel("q.0") == b"\x04\0\0\0cq.0"


@pytest.mark.parametrize(
    ("rest", "read"),
    [
        (b"q.0 served 7 -\nvalue\n", ("q.0", "served", 7, "-", b"value\n")),
        (b"q.0 served -7 a=1,b=2\n", ("q.0", "served", -7, "a=1,b=2", b"")),
        (b"q.0 broke - -\n", ("q.0", "broke", None, "-", b"")),
        (b"q.0 skipped - \xe9\n", ("q.0", "skipped", None, "\u00e9", b"")),
    ],
)
def test_answers_as_they_come(rest: bytes, read: tuple[Any, ...]) -> None:
    reader = frames.FrameReader()
    reader.feed(struct.pack("<I", 1 + len(rest)) + b"a" + rest)
    frame = reader.next_frame()
    assert frame == (b"a", rest) and tuple(frames.decode_reply(frame[1])) == read


@pytest.mark.parametrize("letter", b"ple")
def test_other_frames_that_a_replica_may_send(letter: int) -> None:
    reader = frames.FrameReader()
    reader.feed(struct.pack("<I", 7) + bytes([letter]) + b"served")
    assert reader.next_frame() == (bytes([letter]), b"served")


# ---- the node's clients


def node_reply(platform: Platform, head: str, body: bytes = b"") -> bytes:
    """Return the bytes of the reply to one request on a new connection."""
    with platform.client() as sock:
        lines = [*head.split("\n"), "Host: x", "Connection: close", f"Content-Length: {len(body)}"]
        sock.sendall("\r\n".join([*lines, "\r\n"]).encode() + body)
        data = b""
        while received := sock.recv(65536):
            data += received
    return data


def tablets(*rows: dict[str, Any]) -> bytes:
    return json.dumps({"tablets": list(rows), "statement": "c41e"}).encode()


ASK = "POST /look HTTP/1.1\nX-Request-ID: q\nX-Timeout-Ms: 6000"


def test_an_answer_to_a_node_s_client(platform: Platform) -> None:
    data = node_reply(platform, ASK, tablets({"tablet": 2, "fraction": 1.0, "guess": 10}))
    (part,) = [part for replica in platform.replicas for part in replica.parts.items]
    assert (part.id, part.shard, part.text, list(part.words)) == ("q.2", 2, b"c41e", ["d"])
    cell = json.loads(data.partition(b"\r\n\r\n")[2])["pieces"][0]["cell"]
    body = f'{{"full":true,"pieces":[{{"tablet":2,"cell":"{cell}"}}]}}'
    assert re.fullmatch("[0-9a-f]{16}", cell) and data.decode() == (
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    )


GOOD_ROW = {"tablet": 0, "fraction": 1.0}


@pytest.mark.parametrize(
    ("head", "body", "status", "place"),
    [
        ("POST /none HTTP/1.1", b"", "404 Not Found", "path: "),
        ("GET /look HTTP/1.1", b"", "405 Method Not Allowed", ""),
        ("POST /look HTTP/1.1\nX-Timeout-Ms: 1", b"", "400 Bad Request", "x-request-id: "),
        ("POST /look HTTP/1.1\nX-Request-ID: q", b"", "400 Bad Request", "x-timeout-ms: "),
        ("POST /look HTTP/1.1\nX-Request-ID: q\nX-Timeout-Ms: 0", b"", "400 Bad Request", "X-Timeout-Ms: "),
        (ASK + "\nX-Retried: 2", b"", "400 Bad Request", "X-Retried: "),
        (ASK, b"{", "400 Bad Request", "body: "),
        (ASK, b"{}", "400 Bad Request", "body: "),
        (ASK, b'{"tablets":[]}', "400 Bad Request", "body: statement "),
        (ASK, tablets(), "400 Bad Request", "tablets: "),
        (ASK, tablets({"tablet": 99}), "400 Bad Request", "tablets.0.tablet: "),
        (ASK, tablets({"tablet": 0, "fraction": 0}), "400 Bad Request", "tablets.0.fraction: "),
        (ASK, tablets(GOOD_ROW | {"guess": -1}), "400 Bad Request", "tablets.0.guess: "),
        (ASK, tablets(GOOD_ROW | {"token": "x"}), "400 Bad Request", "tablets.0.token: "),
        (ASK, tablets({"tablet": 0, "fraction": 0.5}), "400 Bad Request", "tablets: "),
    ],
)
def test_errors_to_a_node_s_client(
    platform: Platform, head: str, body: bytes, status: str, place: str
) -> None:
    first, _, text = node_reply(platform, head, body).partition(b"\r\n\r\n")
    lines = first.decode().split("\r\n")
    assert lines[0] == f"HTTP/1.1 {status}"
    assert lines[1:] == [
        "Content-Type: text/plain; charset=utf-8",
        "Connection: close",
        f"Content-Length: {len(text)}",
    ]
    assert text.decode().startswith(place) and text.endswith(b"\n") and text.count(b"\n") == 1


def test_the_node_s_own_pages(platform: Platform) -> None:
    for page in ("ready", "health"):
        assert node_reply(platform, f"GET /{page} HTTP/1.1") == (
            b"HTTP/1.1 200 OK\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n"
            b"Content-Length: 6\r\n\r\nready\n"
        )
        first, _, _ = node_reply(platform, f"POST /{page} HTTP/1.1").partition(b"\r\n\r\n")
        assert first.startswith(b"HTTP/1.1 405 ") and b"\r\nAllow: GET\r\n" in first


def test_a_refusal_to_a_node_s_client(tmp_path: Path) -> None:
    platform = Platform(tmp_path, Replica(0))
    platform.node.core.close()
    first, _, _ = node_reply(platform, ASK, tablets(GOOD_ROW)).partition(b"\r\n\r\n")
    assert re.fullmatch(
        rb"HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain; charset=utf-8\r\n"
        rb"Retry-After: [0-9]+\.[0-9]{3}\r\nConnection: close\r\nContent-Length: [0-9]+",
        first,
    )
    platform.close()


def test_what_a_node_asks_discovery(platform: Platform) -> None:
    assert platform.discovery.watches.items == ["/v1/endpoints?follow=1&since=0"]


# ---- requests of remote read to a replica and to a child co-ordinator

QUERY = Query(1000, 2000, (Matcher(Match.EQUAL, "__name__", "w"), Matcher(Match.REGEX, "tile", "t0.*")))
QUERY_BYTES = (
    b"\x08\xe8\x07\x10\xd0\x0f\x1a\r\x12\x08__name__\x1a\x01w\x1a\x0e\x08\x02\x12\x04tile\x1a\x04t0.*"
)


def request_of(data: bytes) -> tuple[str, bytes]:
    """Check the Content-Length; return the head without it, and the decompressed body."""
    head, _, body = data.partition(b"\r\n\r\n")
    start, _, length = head.decode().rpartition("\r\nContent-Length: ")
    assert int(length) == len(body)
    return start, snappy.decompress(body, 1 << 20)


def test_a_query_as_bytes() -> None:
    assert remote_read.write_query(QUERY) == QUERY_BYTES


def test_a_call_to_a_replica() -> None:
    tile = LeafContent("t001", (LeafQuery(0, QUERY_BYTES, 1000, 2000),))
    data = RemoteReadCodec("tile", 1 << 20).encode([tile], [0.5, 0.0004], ("127.0.0.1", 9001))
    head, body = request_of(data)
    assert head.split("\r\n") == [
        "POST /api/v1/read HTTP/1.1",
        "Host: 127.0.0.1:9001",
        "Content-Type: application/x-protobuf",
        "Content-Encoding: snappy",
        "X-Prometheus-Remote-Read-Version: 0.1.0",
        "User-Agent: gingervane",
        "Gingervane-Timeout-Ms: 1",
    ]
    assert body == b"\x0a" + bytes([len(QUERY_BYTES)]) + QUERY_BYTES + b"\x12\x01\x00"


def test_a_subtree_as_it_leaves() -> None:
    subtree = SubtreeQuery(
        ((0, QUERY, ("t001", "t0.2")),), ("t001", "t0.2"), "area-report", SubqueryContext(1, 2, ("c0", "c1"))
    )
    data = subtree_codec.SubtreeCodec("tile", 1 << 20).encode([subtree], [1.25], ("127.0.0.1", 8001))
    head, body = request_of(data)
    assert head.split("\r\n") == [
        "POST /api/v1/read?class=area-report&timeout=1250ms&partial_response=true HTTP/1.1",
        "Host: 127.0.0.1:8001",
        "Content-Type: application/x-protobuf",
        "Content-Encoding: snappy",
        "X-Prometheus-Remote-Read-Version: 0.1.0",
        "User-Agent: gingervane",
        "Gingervane-Levels: 1",
        "Gingervane-Attempts: 2",
        "Gingervane-Trail: c0,c1",
        "Gingervane-Timeout-Ms: 1250",
    ]
    assert body == (
        b"\n+\x08\xe8\x07\x10\xd0\x0f\x1a\r\x12\x08__name__\x1a\x01w"
        b"\x1a\x14\x08\x02\x12\x04tile\x1a\nt001|t0\\.2\x12\x01\x00"
    )


def test_a_subtree_as_it_is_read() -> None:
    pairs = [("gingervane-levels", "1"), ("gingervane-attempts", "2"), ("gingervane-trail", "c0,c1")]
    read = subtree_codec.read_context(Headers(pairs))
    assert read is not None and tuple(read) == (1, 2, ("c0", "c1"))
    assert subtree_codec.read_context(Headers(pairs[1:])) is None, "no parent's"


def test_what_a_child_says_of_its_leaves() -> None:
    requested_leaves = [f"t{number}" for number in range(10)]
    covered_leaves = {"t0": 1, "t1": 1, "t2": 3, "t9": 0}
    assert coverage.encode(requested_leaves, covered_leaves) == ("BwI=", "1x2.3.0")
    assert coverage.decode(requested_leaves, "BwI=", "1x2.3.0") == covered_leaves


def proof_of_failure(status: int, began: str) -> tuple[bool, bool]:
    """Return whether a reply proves non-execution, and whether it means overload."""
    exchange = RemoteReadCodec("tile", 1 << 20)
    with pytest.raises(InvalidReply) as caught:
        exchange.decode([], status, {"gingervane-began": began}.get, b"")  # type: ignore[arg-type]
    return caught.value.proves_not_executed, caught.value.overloaded


def test_a_replica_s_proof_that_nothing_began() -> None:
    assert proof_of_failure(503, "no") == (True, True) and proof_of_failure(429, "no") == (True, True)
    assert proof_of_failure(508, "no") == (True, False) and proof_of_failure(500, "no") == (False, False)
    assert proof_of_failure(503, "") == (False, True)


# ---- the vector front's replicas

VECTOR_HEAD = [
    "Host: 127.0.0.1:7001",
    "Content-Type: application/json",
    "User-Agent: gingervane",
    "Gingervane-Timeout-Ms: 750",
]
COSINE = Collection("cos", 4, "Cosine")
REPLICA_ADDRESS = ("127.0.0.1", 7001)


def test_a_search_of_a_shard() -> None:
    part = ShardSearch(3, ({"vector": [1.0], "limit": 2},))
    body = b'{"searches":[{"vector":[1.0],"limit":2,"shard_key":"s3"}]}'
    lines = ["POST /collections/cos/points/search/batch HTTP/1.1", *VECTOR_HEAD, "Content-Length: 58", "\r\n"]
    assert (
        SearchCodec(COSINE, 6).encode([part], [0.75], REPLICA_ADDRESS) == "\r\n".join(lines).encode() + body
    )


@pytest.mark.parametrize("key", ["cos/k", ""])
def test_a_write_of_a_shard(key: str) -> None:
    part = ShardWrite(3, "upsert", {"points": []}, 1)
    data = WriteCodec(COSINE, key, 17, lambda shard, replica: None).encode([part], [0.75], REPLICA_ADDRESS)
    lines = [
        "POST /collections/cos/points/batch?wait=true HTTP/1.1",
        *VECTOR_HEAD,
        "Content-Length: 58",
        *([f"Idempotency-Key: {key}"] if key else []),
        "Gingervane-Version: 17",
        "\r\n",
    ]
    body = b'{"operations":[{"upsert":{"points":[],"shard_key":"s3"}}]}'
    assert data == "\r\n".join(lines).encode() + body


def test_a_shard_s_answer() -> None:
    found = [{"id": 1, "version": 5, "score": 0.5}]
    body = json.dumps({"result": [found], "status": "ok", "time": 0.0}).encode()
    part = ShardSearch(shard_of(1, 6), ({"vector": [1.0], "limit": 2},))
    headers = {"gingervane-freshness": f"s{part.shard}=17,s0=x"}
    (hits,) = SearchCodec(COSINE, 6).decode([part], 200, lambda name: headers.get(name, ""), body)
    assert tuple(hits)[:2] == ([found], 17)


# ---- replies that every front gives


def test_refusals_say_when_to_come_back() -> None:
    def fields(wait: float, proof: bool = False) -> list[tuple[str, str]]:
        reply = rejection(wait, "why", proof=proof)
        assert (reply.status, reply.body) == (503, b"refused: why\n")
        return reply.fields

    kind = ("Content-Type", "text/plain; charset=utf-8")
    assert fields(0.0) == [kind, ("Retry-After", "1"), ("Gingervane-Retry-After-Ms", "0")]
    assert fields(0.0051) == [kind, ("Retry-After", "1"), ("Gingervane-Retry-After-Ms", "6")]
    assert fields(1.2, proof=True) == [
        kind,
        ("Retry-After", "2"),
        ("Gingervane-Retry-After-Ms", "1200"),
        ("Gingervane-Began", "no"),
    ]


def test_what_an_answer_covers() -> None:
    assert coverage_fields(True, 1.0, []) == [("Gingervane-Coverage", "1")]
    assert coverage_fields(False, 2 / 3, ["t1", "t,2\n"]) == [
        ("Gingervane-Coverage", "0.666666"),
        ("Gingervane-Missing", "t1,t_2_"),
    ]
    (_, share), (_, missing) = coverage_fields(False, 0.9999999, ["ttttt"] * 800)
    assert share == "0.999999" and missing.endswith(",ttttt,+134")


def test_parameters_that_fronts_take() -> None:
    assert [duration(text, "") for text in ("500ms", "2s", "1.5", "2m")] == [0.5, 2.0, 1.5, 120.0]
    assert [flag(text, "") for text in ("true", "1", "false", "0")] == [True, True, False, False]


def test_a_whole_reply() -> None:
    reply = plain(404, "no", fields=(("Allow", "GET"),))
    assert http1.encode_response(reply.status, reply.fields, reply.body) == (
        b"HTTP/1.1 404 Not Found\r\nContent-Type: text/plain; charset=utf-8\r\nAllow: GET\r\n"
        b"Content-Length: 3\r\n\r\nno\n"
    )


# ---- the daemon, as its clients see it


class Answered(NamedTuple):
    """A reply without its Content-Length, which `ask` checks."""

    status: int
    fields: list[tuple[str, str]]
    body: bytes


def ask(fleet: EmbeddedFleet, method: str, target: str, body: bytes = b"", **fields: str) -> Answered:
    connection = http.client.HTTPConnection(*fleet.address, timeout=WAIT_TIMEOUT_SECONDS)
    connection.request(method, target, body, {key.replace("_", "-"): value for key, value in fields.items()})
    reply = connection.getresponse()
    data, reply_fields = reply.read(), reply.getheaders()
    connection.close()
    assert reply_fields.pop() == ("Content-Length", str(len(data)))
    return Answered(reply.status, reply_fields, data)


TEXT = ("Content-Type", "text/plain; charset=utf-8")
JSON = ("Content-Type", "application/json")
PROTOBUF = [("Content-Type", "application/x-protobuf"), ("Content-Encoding", "snappy")]
READ = "/api/v1/read"
BODY = snappy.compress(
    remote_read.write_request(
        [
            remote_read.write_query(
                Query(
                    1_764_600_000_000,
                    1_764_600_060_000,
                    (
                        Matcher(Match.EQUAL, "__name__", "wind_speed"),
                        Matcher(Match.REGEX, "tile", "t000|t001|t002"),
                    ),
                )
            )
        ]
    )
)


@pytest.fixture(scope="module")
def fleet() -> Iterator[EmbeddedFleet]:
    """Both fronts in one daemon."""
    embedded = EmbeddedFleet(vectors=VectorGrid(6, (COSINE,)))
    yield embedded
    embedded.close()


@pytest.mark.parametrize(
    ("method", "target", "reply"),
    [
        ("GET", "/-/healthy", Answered(200, [TEXT], b"healthy\n")),
        ("GET", "/-/ready", Answered(200, [TEXT], b"ready\n")),
        ("GET", "/x", Answered(404, [TEXT], b"no such page: /x\n")),
        ("GET", READ, Answered(405, [TEXT, ("Allow", "POST")], b"/api/v1/read: only POST is spoken here\n")),
    ],
)
def test_the_daemon_s_own_pages(fleet: EmbeddedFleet, method: str, target: str, reply: Answered) -> None:
    assert ask(fleet, method, target) == reply


def test_an_answer_of_remote_read(fleet: EmbeddedFleet) -> None:
    whole = ask(fleet, "POST", READ, BODY)
    assert whole[:2] == (200, [*PROTOBUF, ("Gingervane-Coverage", "1")])
    more = "?class=area-report&timeout=3s&partial_response=true&path=true"
    status, fields, body = ask(fleet, "POST", READ + more, BODY)
    assert status == 200 and body == whole.body and fields[:3] == whole.fields
    ((name, path),) = fields[3:]
    assert name == "Gingervane-Path"
    assert all(re.fullmatch(r"t00[012]/[0-9]/[0-9]+/[a-z ]+/[0-9]+\.[0-9]", word) for word in path.split(","))


def test_an_answer_to_a_parent(fleet: EmbeddedFleet) -> None:
    orders = {"Gingervane_Levels": "0", "Gingervane_Attempts": "2", "Gingervane_Trail": "c0"}
    status, fields, _ = ask(fleet, "POST", READ, BODY, **orders)
    assert status == 200 and fields[:5] == [
        *PROTOBUF,
        ("Gingervane-Coverage", "1"),
        ("Gingervane-Leaves", "Bw=="),
        ("Gingervane-Counts", "3x3"),
    ]
    ((name, used),) = fields[5:]
    assert name == "Gingervane-Used" and used in ("1", "2")


@pytest.mark.parametrize(
    ("target", "fields", "status", "place"),
    [
        ("?class=x", {}, 400, "parameter class: 'x' "),
        ("?timeout=x", {}, 400, "parameter timeout: 'x' "),
        ("?partial_response=x", {}, 400, "parameter partial_response: 'x' "),
        ("?path=x", {}, 400, "parameter path: 'x' "),
        ("", {"Content_Type": "text/plain"}, 415, "header Content-Type: "),
        ("", {"Content_Encoding": "gzip"}, 415, "header Content-Encoding: "),
        (
            "",
            {"X_Prometheus_Remote_Read_Version": "0.2.0"},
            400,
            "header X-Prometheus-Remote-Read-Version: '0.2.0' ",
        ),
        ("", {"Gingervane_Levels": "x"}, 400, "header Gingervane-Levels: 'x' "),
        (
            "",
            {"Gingervane_Levels": "1", "Gingervane_Attempts": "17"},
            400,
            "header Gingervane-Attempts: '17' ",
        ),
        (
            "",
            {"Gingervane_Levels": "1", "Gingervane_Attempts": "1", "Gingervane_Trail": "x" * 2001},
            400,
            "header Gingervane-Trail: ",
        ),
    ],
)
def test_errors_of_remote_read(
    fleet: EmbeddedFleet, target: str, fields: dict[str, str], status: int, place: str
) -> None:
    reply = ask(fleet, "POST", READ + target, BODY, **fields)
    assert reply[:2] == (status, [TEXT]) and reply.body.decode().startswith(place)


def test_bodies_that_remote_read_cannot_take(fleet: EmbeddedFleet) -> None:
    assert ask(fleet, "POST", READ, b"\x05junk!").body.startswith(b"body: snappy: ")
    found = ask(fleet, "POST", READ, snappy.compress(b"\x12\x01\x01"))
    assert found[:2] == (406, [TEXT]) and found.body.startswith(b"accepted_response_types: ")


def test_a_refusal_and_a_failure_of_remote_read() -> None:
    embedded = EmbeddedFleet(overrides={"limits": {"open": 1}})
    status, fields, body = ask(embedded, "POST", READ, BODY)
    assert (status, fields) == (
        503,
        [TEXT, ("Retry-After", "1"), ("Gingervane-Retry-After-Ms", "1000"), ("Gingervane-Began", "no")],
    )
    assert body.startswith(b"refused: ")
    embedded.close()
    embedded = EmbeddedFleet()
    for node in embedded.grid.nodes:
        node.fault("fail_fast", 600.0, 1.0)
    status, fields, body = ask(embedded, "POST", READ, BODY)
    assert status == 503 and [name for name, _ in fields] == [
        "Content-Type",
        "Retry-After",
        "Gingervane-Retry-After-Ms",
    ]
    assert body.startswith(b"refused: ")
    status, fields, body = ask(embedded, "POST", READ + "?class=unsafe-read", BODY)
    assert (status, fields) == (502, [TEXT]) and body.startswith(b"failed: ")
    embedded.close()


def test_a_cycle_of_co_ordinators() -> None:
    tree = {"ring": 2, "fan_out": 4, "levels": 1}
    embedded = EmbeddedFleet(coordinators=2, tree=tree)
    headers = {"Gingervane_Levels": "0", "Gingervane_Attempts": "1", "Gingervane_Trail": "c1,c0"}
    status, fields, _ = ask(embedded, "POST", READ, BODY, **headers)
    assert (status, fields) == (508, [TEXT, ("Gingervane-Began", "no")])
    embedded.close()


# ---- the vector front's clients

COLLECTION = "/collections/cos"
TIME = re.compile(rb',"time":[0-9.e-]+')
NUMBER = re.compile(rb'"(operation_id|version)":[0-9]+')


def without_timings_and_versions(body: bytes) -> str:
    """Return a body without durations, and with version numbers of 0."""
    return NUMBER.sub(rb'"\1":0', TIME.sub(b"", body)).decode()


def point(**payload: Any) -> bytes:
    return json.dumps({"points": [{"id": 1, "vector": [1, 0, 0, 0], "payload": payload}]}).encode()


def test_a_collection_described(fleet: EmbeddedFleet) -> None:
    status, fields, body = ask(fleet, "GET", COLLECTION)
    assert (status, fields) == (200, [JSON]) and json.loads(TIME.sub(b"", body)) == {
        "result": {
            "status": "green",
            "optimizer_status": "ok",
            "segments_count": 6,
            "payload_schema": {},
            "config": {
                "params": {
                    "vectors": {"size": 4, "distance": "Cosine"},
                    "shard_number": 6,
                    "replication_factor": 3,
                    "write_consistency_factor": 2,
                    "on_disk_payload": False,
                },
                "hnsw_config": {"m": 0, "ef_construct": 100, "full_scan_threshold": 10000},
                "optimizer_config": {
                    "deleted_threshold": 0.2,
                    "vacuum_min_vector_number": 1000,
                    "default_segment_number": 0,
                    "flush_interval_sec": 5,
                },
                "wal_config": {"wal_capacity_mb": 32, "wal_segments_ahead": 0},
            },
        },
        "status": "ok",
    }


SEARCH = b'{"vector":[1,0,0,0],"limit":1}'
DONE = '{"result":{"operation_id":0,"status":"completed"},"status":"ok"}'
WRITES = [
    ("PUT", "/points?wait=true", point(a=1)),
    ("POST", "/points/payload", b'{"payload":{"b":2},"points":[1]}'),
    ("POST", "/points/payload?increment=true", b'{"payload":{"a":2},"points":[1]}'),
    ("POST", "/points/delete", b'{"points":[1]}'),
]


@pytest.mark.parametrize(("method", "target", "body"), WRITES)
def test_an_answer_to_a_write(fleet: EmbeddedFleet, method: str, target: str, body: bytes) -> None:
    status, fields, found = ask(fleet, method, COLLECTION + target, body)
    assert status == 200 and without_timings_and_versions(found) == DONE
    (kind, (name, share)) = fields
    assert kind == JSON and name == "Gingervane-Holders-Done" and share in ("0.667", "1.000")


def test_answers_to_a_key_that_is_used_again(fleet: EmbeddedFleet) -> None:
    first = ask(fleet, "PUT", COLLECTION + "/points", point(a=1), Idempotency_Key="again")
    again = ask(fleet, "PUT", COLLECTION + "/points", point(a=1), Idempotency_Key="again")
    assert again.fields == [*first.fields, ("Gingervane-Repeat", "yes")]
    assert TIME.sub(b"", again.body) == TIME.sub(b"", first.body)
    other = ask(fleet, "PUT", COLLECTION + "/points", point(a=2), Idempotency_Key="again")
    assert other[:2] == (422, [JSON])
    assert json.loads(other.body)["status"]["error"].startswith("header Idempotency-Key: ")


@pytest.mark.parametrize(
    ("target", "body", "result"),
    [
        ("search", b'{"vector":[1,0,0,0],"limit":1,"with_payload":true}', '[%s,"payload":{"a":1}}]'),
        ("query", b'{"query":[1,0,0,0],"limit":1}', '{"points":[%s}]}'),
        ("search/batch", b'{"searches":[{"vector":[1,0,0,0],"limit":1}]}', "[[%s}]]"),
        ("query/batch", b'{"searches":[{"query":[1,0,0,0],"limit":1}]}', '[{"points":[%s}]}]'),
    ],
)
def test_an_answer_to_a_search(fleet: EmbeddedFleet, target: str, body: bytes, result: str) -> None:
    assert ask(fleet, "PUT", COLLECTION + "/points", point(a=1)).status == 200
    for _ in range(1000):  # a replica may lack the write, and its shard is then reported as stale
        status, fields, found = ask(fleet, "POST", f"{COLLECTION}/points/{target}", body)
        assert status == 200 and fields[:2] == [JSON, ("Gingervane-Coverage", "1")]
        if not fields[2:]:
            break
        assert fields[2:] == [("Gingervane-Stale-Shards", f"s{shard_of(1, 6)}")]
    hit = '{"id":1,"version":0,"score":1.0'
    assert without_timings_and_versions(found) == f'{{"result":{result % hit},"status":"ok"}}'


@pytest.mark.parametrize(
    ("method", "target", "body", "status", "error"),
    [
        ("GET", "/collections/no", b"", 404, "Not found: Collection `no` doesn't exist!"),
        ("POST", "/collections/no/points/search", b"{}", 404, "Not found: Collection `no` doesn't exist!"),
        ("PUT", COLLECTION + "/points", b"{", 400, "Wrong input: body: "),
        (
            "PUT",
            COLLECTION + "/points",
            b'{"points":[{"id":1,"vector":[1]}]}',
            400,
            "Wrong input: points[0].vector: ",
        ),
        (
            "POST",
            COLLECTION + "/points/search?class=x",
            b'{"vector":[1,0,0,0],"limit":1}',
            400,
            "parameter class: 'x' ",
        ),
        (
            "POST",
            COLLECTION + "/points/search?timeout=x",
            b'{"vector":[1,0,0,0],"limit":1}',
            400,
            "parameter timeout: ",
        ),
    ],
)
def test_errors_of_the_vector_front(
    fleet: EmbeddedFleet, method: str, target: str, body: bytes, status: int, error: str
) -> None:
    reply = ask(fleet, method, target, body)
    assert reply[:2] == (status, [JSON])
    envelope = json.loads(reply.body)
    assert list(envelope) == ["status", "time", "result"] and (envelope["time"], envelope["result"]) == (
        0.0,
        None,
    )
    assert list(envelope["status"]) == ["error"] and envelope["status"]["error"].startswith(error)


@pytest.mark.parametrize(
    ("fault", "target", "status", "fields", "error"),
    [
        (
            "reject",
            "PUT /points",
            503,
            ["Content-Type", "Retry-After", "Gingervane-Retry-After-Ms", "Gingervane-Began"],
            "refused: ",
        ),
        (
            "reject",
            "POST /points/search",
            503,
            ["Content-Type", "Retry-After", "Gingervane-Retry-After-Ms"],
            "refused: ",
        ),
        ("fail_fast", "PUT /points", 502, ["Content-Type"], "failed: "),
    ],
)
def test_refusals_and_failures_of_the_vector_front(
    fault: str, target: str, status: int, fields: list[str], error: str
) -> None:
    grid = VectorGrid(6, (COSINE,))
    embedded = EmbeddedFleet(vectors=grid)
    for node in grid.nodes:
        node.fault(fault, 600.0, 1.0)
    method, _, path = target.partition(" ")
    body = point(a=1) if method == "PUT" else SEARCH
    reply = ask(embedded, method, COLLECTION + path, body)
    assert reply.status == status and [name for name, _ in reply.fields] == fields
    envelope = json.loads(reply.body)
    assert list(envelope) == ["status", "time", "result"] and (envelope["time"], envelope["result"]) == (
        0.0,
        None,
    )
    assert list(envelope["status"]) == ["error"] and envelope["status"]["error"].startswith(error)
    embedded.close()


# ---- metrics

METRICS = {
    **dict.fromkeys(
        [
            *["gingervane_queries_total", "gingervane_parts_total", "gingervane_attempts_total"],
            *["gingervane_further_total", "gingervane_calls_total", "gingervane_late_endings_total"],
            *["gingervane_withheld_total", "gingervane_batches_total", "gingervane_open"],
            *["gingervane_result_bytes", "gingervane_calls_out", "gingervane_client_connections"],
            *["gingervane_turns_refused", "gingervane_turns_waiting", "gingervane_connections_refused"],
            *["gingervane_standstills", "gingervane_threads", "gingervane_queries_cut"],
            *["gingervane_children_listed", "gingervane_subtrees_open", "gingervane_uptime_seconds"],
            *["gingervane_server_list_age_seconds", "gingervane_vector_writes", "gingervane_vector_repeats"],
            *["gingervane_vector_late_successes", "gingervane_vector_too_late"],
            *["gingervane_vector_mismatches", "gingervane_vector_stale_shards"],
            *["gingervane_vector_shards_owed", "gingervane_vector_oldest_debt_seconds"],
            *["gingervane_vector_repairs", "gingervane_vector_points_repaired"],
            *["gingervane_vector_conflicts", "gingervane_consul_calls", "gingervane_consul_registered"],
        ],
        (),
    ),
    "gingervane_answers_total": ("verdict",),
    "gingervane_endings_total": ("outcome",),
    "gingervane_settled_total": ("reason",),
    "gingervane_query_seconds": ("class", "quantile", "verdict"),
    "gingervane_query_seconds_count": ("class", "verdict"),
    "gingervane_query_seconds_sum": ("class", "verdict"),
    "gingervane_attempt_seconds": ("outcome", "quantile"),
    "gingervane_attempt_seconds_count": ("outcome",),
    "gingervane_attempt_seconds_sum": ("outcome",),
    "gingervane_subtree_seconds": ("class", "quantile", "verdict"),
    "gingervane_subtree_seconds_count": ("class", "verdict"),
    "gingervane_subtree_seconds_sum": ("class", "verdict"),
    "gingervane_child_seconds": ("outcome", "quantile"),
    "gingervane_child_seconds_count": ("outcome",),
    "gingervane_child_seconds_sum": ("outcome",),
    "gingervane_vector_seconds": ("class", "core", "quantile", "verdict"),
    "gingervane_vector_seconds_count": ("class", "core", "verdict"),
    "gingervane_vector_seconds_sum": ("class", "core", "verdict"),
    "gingervane_vector_attempt_seconds": ("core", "outcome", "quantile"),
    "gingervane_vector_attempt_seconds_count": ("core", "outcome"),
    "gingervane_vector_attempt_seconds_sum": ("core", "outcome"),
}
KINDS_OF_METRIC = {
    "counter": [
        *[
            "answers",
            "attempts",
            "batches",
            "calls",
            "endings",
            "further",
            "late_endings",
            "parts",
            "queries",
        ],
        *["settled", "withheld"],
    ],
    "summary": [
        *["attempt_seconds", "child_seconds", "query_seconds", "subtree_seconds", "vector_attempt_seconds"],
        "vector_seconds",
    ],
}


def test_metrics_and_their_labels() -> None:
    """Two co-ordinators in a tree, with both fronts, after a wide query, a search and a write."""
    embedded = EmbeddedFleet(
        vectors=VectorGrid(6, (COSINE,)), coordinators=2, tree={"ring": 2, "fan_out": 2, "levels": 1}
    )
    pause = threading.Event()
    wide_query = Query(
        1_764_600_000_000, 1_764_600_060_000, (Matcher(Match.EQUAL, "__name__", "wind_speed"),)
    )
    body = snappy.compress(remote_read.write_request([remote_read.write_query(wide_query)]))
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while b"gingervane_children_listed 1.0" not in ask(embedded, "GET", "/metrics").body:
        assert time.monotonic() < deadline
        pause.wait(0.01)
    assert ask(embedded, "POST", READ, body).status == 200
    assert ask(embedded, "POST", READ, BODY, Gingervane_Levels="0", Gingervane_Attempts="1").status == 200
    assert ask(embedded, "PUT", COLLECTION + "/points", point(a=1)).status == 200
    assert (
        ask(embedded, "POST", COLLECTION + "/points/search", b'{"vector":[1,0,0,0],"limit":1}').status == 200
    )
    status, fields, text = ask(embedded, "GET", "/metrics")
    embedded.close()
    assert (status, fields) == (200, [("Content-Type", "text/plain; version=0.0.4; charset=utf-8")])
    families = list(text_string_to_metric_families(text.decode()))
    samples = [sample for family in families for sample in family.samples]
    assert {sample.name: tuple(sorted(sample.labels)) for sample in samples} == METRICS
    kinds = {
        kind: sorted(f.name.removeprefix("gingervane_") for f in families if f.type == kind)
        for kind in KINDS_OF_METRIC
    }
    assert kinds == KINDS_OF_METRIC and {f.type for f in families} == {"counter", "gauge", "summary"}
    label_values = {(name, label) for s in samples for name, label in s.labels.items()}
    assert {label for name, label in label_values if name == "quantile"} == {"0.5", "0.9", "0.99", "0.999"}
    assert {label for name, label in label_values if name == "core"} == {"search", "write"}
    assert {label for name, label in label_values if name == "verdict"} <= {
        "whole",
        "short",
        "refused",
        "failed",
        "left",
    }
    assert {label for name, label in label_values if name == "outcome"} <= set(OUTCOMES)
    assert {label for name, label in label_values if name == "reason"} <= set(REASONS)


# ---- Consul


def test_what_is_registered_in_consul() -> None:
    entry = ServiceEntry("c0", "co-ordinators", ("10.0.0.1", 8000), "hall-a", 3, 15.0, 1_764_600_000.5)
    assert entry.registration_body() == {
        "ID": "c0",
        "Name": "co-ordinators",
        "Address": "10.0.0.1",
        "Port": 8000,
        "Meta": {"zone": "hall-a", "cell": "3", "started": "1764600000.500"},
        "Check": {
            "CheckID": "service:c0",
            "TTL": "15s",
            "Status": "passing",
            "DeregisterCriticalServiceAfter": "90s",
        },
    }


def test_a_life_in_consul(tmp_path: Path) -> None:
    """The requests that an agent receives from registration to removal."""
    received = Waiter()

    def agent(request: Request, body: bytes, arrived: float, client: Exchange) -> Reply:
        token = request.headers.get("x-consul-token")
        received.put((request.method, request.target, json.loads(body) if body else None, token))
        return plain(200, "")

    server = HttpServer("127.0.0.1", 0, agent, ServerLimits())
    server.start()
    (tmp_path / "token").write_text("secret\n")
    entry = ServiceEntry("c 0", "grid", ("10.0.0.1", 8000), "hall-a", 3, 0.03)
    rng = random.Random(1)
    registrar = Registrar(entry, (server.address,), tmp_path / "token", Backoff(), lambda what: None, rng)
    registrar.start()
    received.wait(2)
    registrar.drain()
    registrar.deregister()
    server.stop(0.0)
    calls = [call for index, call in enumerate(received.items) if call not in received.items[:index]]
    assert calls == [
        ("PUT", "/v1/agent/service/register", entry.registration_body(), "secret"),
        ("PUT", "/v1/agent/check/update/service:c%200", {"Status": "passing"}, "secret"),
        ("PUT", "/v1/agent/service/maintenance/c%200?enable=true&reason=stopping", None, "secret"),
        ("PUT", "/v1/agent/service/deregister/c%200", None, "secret"),
    ]


def test_what_consul_is_asked(tmp_path: Path) -> None:
    mode = consul.ConsistencyMode
    assert consul.health_query_path("a b", 0, 30.0, mode("stale")) == "/v1/health/service/a%20b?stale"
    assert (
        consul.health_query_path("grid", 7, 30.0, mode("")) == "/v1/health/service/grid?index=7&wait=30000ms"
    )
    assert consul.health_query_path("grid", 0, 30.0, mode("consistent"), "dc1", 'a == "b"') == (
        "/v1/health/service/grid?dc=dc1&filter=a+%3D%3D+%22b%22&consistent"
    )
    received_headers: list[list[tuple[str, str]]] = []

    def agent(request: Request, body: bytes, arrived: float, client: Exchange) -> Reply:
        received_headers.append([pair for pair in request.headers.pairs if pair[0] != "host"])
        return plain(200, "")

    server = HttpServer("127.0.0.1", 0, agent, ServerLimits())
    server.start()
    (tmp_path / "token").write_text("secret\n")
    pool = Pool(Limits(), 1, 5.0)
    get(pool, server.address, "/x", tmp_path / "token", time.monotonic() + WAIT_TIMEOUT_SECONDS)
    pool.close()
    server.stop(0.0)
    assert received_headers == [[("accept", "application/json"), ("x-consul-token", "secret")]]


def entry(**changes: Any) -> dict[str, Any]:
    """Return an entry of Consul's health API."""
    service = {
        "ID": "grid1",
        "Address": "10.0.0.9",
        "Port": 9001,
        "Meta": {"zone": "b", "cell": "2", "gingervane-id": "7", "started": "1000.5"},
        "CreateIndex": 44,
    }
    return {
        "Node": {"Address": "10.0.0.1"},
        "Service": service | changes.pop("Service", {}),
        "Checks": [{"CheckID": "service:grid1", "Status": "passing"}],
    } | changes


@pytest.mark.parametrize(
    ("found", "member"),
    [
        (entry(), (7, "grid1", ("10.0.0.9", 9001), 1, 2, "ready", 900.5, 44)),
        (
            entry(Service={"Meta": {"zone": "a", "cell": "0"}, "Address": "", "CreateIndex": 0}),
            (995060321, "grid1", ("10.0.0.1", 9001), 0, 0, "ready", None, 0),
        ),
        (
            entry(Service={"Meta": {"zone": "a", "cell": "0", "drain": "true", "gingervane-id": "1"}}),
            (1, "grid1", ("10.0.0.9", 9001), 0, 0, "draining", None, 44),
        ),
        (
            entry(Service={"Tags": ["drain"]}),
            (7, "grid1", ("10.0.0.9", 9001), 1, 2, "draining", 900.5, 44),
        ),
        (
            entry(Checks=[{"CheckID": "_service_maintenance:grid1", "Status": "critical"}]),
            (7, "grid1", ("10.0.0.9", 9001), 1, 2, "draining", 900.5, 44),
        ),
        (
            entry(Checks=[{"CheckID": "x", "Status": "critical"}]),
            (7, "grid1", ("10.0.0.9", 9001), 1, 2, "gone", 900.5, 44),
        ),
        (
            entry(Checks=[{"CheckID": "x", "Status": "warning"}]),
            (7, "grid1", ("10.0.0.9", 9001), 1, 2, "ready", 900.5, 44),
        ),
    ],
)
def test_an_entry_of_consul_as_it_is_read(found: dict[str, Any], member: tuple[Any, ...]) -> None:
    members, faults = consul.EntryReader(consul.EntryFieldNames(), ("a", "b"), 4, -100.0).read([found])
    assert to_plain_tuples(members) == (member,) and not faults
