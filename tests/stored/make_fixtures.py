"""Writes the fixtures of `tests/test_stored_files.py`: stored files as the code of one moment wrote them.

Run once, by hand, from the root of the repository:

    python tests/stored/make_fixtures.py

No test runs it: the fixtures stand for files that an earlier version left behind, and later code must read them as
they are. Clocks, boot ids and process ids are fixed, so that a second run of the same code gives the same bytes.
"""

from __future__ import annotations

import base64
import json
import shutil
import time
import zlib
from pathlib import Path
from typing import Any
from unittest import mock

import duckdb
import numpy as np
from hdrh.histogram import HdrHistogram

from gingervane import interface as api
from gingervane.coordinator import boot_clock
from gingervane.experiments.store import Run, RunStore
from gingervane.fake_servers import data
from gingervane.fronts.leaf_codec import LeafContent, LeafQuery, RemoteReadCodec
from gingervane.membership.mass_removal_guard import MassRemovalGuard
from gingervane.membership.reconciliation import Reconciliation
from gingervane.membership.snapshot import Snapshot
from gingervane.membership.source_ordering import SourceReport
from gingervane.membership.view import EndpointView, Member
from gingervane.scenarios.fixed_points import fixed_points
from gingervane.scenarios.scenario import Scenario, VectorDay
from gingervane.vectors.points import shard_of
from gingervane.wire import snappy
from gingervane.wire.remote_read import Match, Matcher, Query, write_query, write_response
from gingervane.wire.socket_recorder import SocketRecorder
from gingervane.writes.idempotency import IdempotencyRecord, WriteState
from gingervane.writes.write_ahead_log import WriteAheadLog

FOLDER = Path(__file__).parent
BOOT = "0d6f3a52-8a1c-4a53-9b1e-fixture00001"
UNIX = 1_764_600_000.0  # the wall clock at the moment of writing
BOOT_SECONDS = 5_000.0  # the clock since the boot at that moment
OFFSET = -1_764_599_000.0  # turns Unix times into the members' clock


def members() -> tuple[Member, ...]:
    """One member of each state; one without a start, one without an index."""
    return (
        Member(1, "grid1", ("127.0.0.1", 9001), 0, 0, api.ReplicaState.READY, 512.5, 41),
        Member(2, "grid2", ("127.0.0.1", 9002), 1, 1, api.ReplicaState.DRAINING, 640.0, 42),
        Member(3, "grid3", ("::1", 9003), 2, 2, api.ReplicaState.GONE, None, 43),
        Member(4, "grid4", ("grid4.example", 9004), 0, 3, api.ReplicaState.READY, None, 0),
    )


def snapshots(folder: Path) -> None:
    """The membership snapshot in each version that is read."""
    merge, view = Reconciliation(("consul", "file"), MassRemovalGuard()), EndpointView()
    merge.apply_report(SourceReport("consul", members(), 0.0, 7), 900.0)
    merge.apply_report(SourceReport("file", members()[:2]), 904.0)
    merge.apply_report(SourceReport("consul", members()[2:], 0.5, 9), 960.0)
    view.apply_full_list(members(), 900.0)
    view.apply_full_list(members()[:3], 960.0)
    folder.mkdir()
    path = folder / "snapshot-v3"
    with (
        mock.patch.object(time, "time", lambda: UNIX),
        mock.patch.object(boot_clock, "moment", lambda: boot_clock.Moment(BOOT, BOOT_SECONDS)),
    ):
        snapshot = Snapshot(path, OFFSET, 3, 4)
        snapshot.save(members(), merge.dump(1000.0), view.dump(OFFSET))
        snapshot.close()
    path.with_name(path.name + ".lock").unlink()
    # Versions 1 and 2 as earlier programs wrote them; nothing writes them any more.
    rows = [
        [
            m.id,
            m.name,
            *m.address,
            m.zone,
            m.cell,
            m.state.value,
            None if m.started_at is None else m.started_at - OFFSET,
        ]
        for m in members()
    ]
    state = merge.dump(1000.0)
    del state["now"], state["index"]
    for server in state["servers"].values():
        server["entries"] = {name: entry[:10] for name, entry in server["entries"].items()}
    for version, content in ((1, rows), (2, [rows, state])):
        crc = zlib.crc32(json.dumps(content, separators=(",", ":")).encode())
        body: dict[str, Any] = {"version": version, "at": UNIX, "crc": crc, "rows": rows}
        if version == 2:
            body["merge"] = state
        (folder / f"snapshot-v{version}").write_text(json.dumps(body, separators=(",", ":")))


LIST = """\
[[node]]
id = 1
name = "grid1"
address = "127.0.0.1:9001"
zone = "hall-a"
cell = 0
started = 1764599512.5

[[node]]
id = 2
address = "[::1]:9002"
zone = "hall-b"
cell = 3
state = "draining"

[[node]]
id = 9223372036854775807
name = "grid3"
address = "grid3.example:65535"
zone = "hall-b"
cell = 1
state = "gone"
started = 1764599000

[[coordinator]]
id = 0
name = "c0"
address = "127.0.0.1:8000"
zone = "hall-a"
cell = 1
state = "ready"
"""


def entries() -> list[tuple[str, IdempotencyRecord]]:
    """Records of the intent log, in the order of writing: each state, a result, a name that is not ASCII."""
    return [
        ("cos/plain", IdempotencyRecord(WriteState.IN_PROGRESS, "00ff", 101, 4_000.25, 4_000.25)),
        ("cos/done", IdempotencyRecord(WriteState.IN_PROGRESS, "11ee", 102, 4_001.0, 4_001.0)),
        (
            "cos/done",
            IdempotencyRecord(WriteState.COMPLETED, "11ee", 102, 4_001.0, 4_001.5, {"share": 0.667}),
        ),
        ("cos/idle", IdempotencyRecord(WriteState.NOT_EXECUTED, "22dd", 103, 4_002.0, 4_002.5)),
        ("cos/unknown", IdempotencyRecord(WriteState.UNKNOWN, "33cc", 104, 4_003.0, 4_003.5)),
        (
            "cos/sk\u00f8yte \u2603",
            IdempotencyRecord(WriteState.COMPLETED, "44bb", 1 << 52, 4_004.0, 4_004.5, {"share": 1.0}),
        ),
    ]


def intents(folder: Path) -> None:
    """A log of several segments, and one whose last segment ends in half a record."""
    with mock.patch.object(boot_clock, "boot_id", lambda: BOOT):
        log = WriteAheadLog(folder, 3600.0, lambda: 4_010.0, segment_bytes=200)
        log.recover()
        for key, entry in entries():
            log.append_durably(key, entry)
        log.close()
    torn = folder.with_name(folder.name + "-torn")
    shutil.copytree(folder, torn)
    last = max(torn.glob("intents-*.log"))
    last.write_bytes(last.read_bytes()[:-7])


def histogram(*values: int) -> str:
    """Encoded as runs have it."""
    made = HdrHistogram(1, 600_000_000, 2)
    for value in values:
        made.record_value(value)
    encoded: bytes = made.encode()
    return encoded.decode()


def runs(path: Path) -> None:
    """Runs of the lab, as SQL that makes the same file: a DuckDB file itself is over 500 KB."""
    store = RunStore(path.with_suffix(".duckdb"))
    latency = {"look": {"count": 3, "p50": 2.0, "p99": 300.0}, "scan": {"count": 1, "p50": 6.0, "p99": 20.0}}
    report: dict[str, Any] = {"kept": True, "attempts": 12, "parts": 8, "latency_ms": latency}
    store.put(Run("one", '{"a": 1}', 1, "emulator", "v1", "", True, 10.0, 7.5, 8.0, 1.5, report, {}))
    found = {"look": histogram(10, 2_000, 300_000)}
    store.put(Run("one", '{"a": 1}', 2, "sockets", "v1", "", False, 9.0, 0.0, 0.0, 2.5, report, found))
    store.put(Run("one", '{"a": 2}', 1, "emulator", "v2", "it's broken", False, 0, 0, 0, 0.0, {}, {}))
    store.put(Run("two", "{}", 7, "emulator", "v2", "", True, 4.0, 4.0, 4.0, 0.25, report, found))
    store.close()
    database = duckdb.connect(str(path.with_suffix(".duckdb")))
    ((table,),) = database.execute("SELECT sql FROM duckdb_tables() WHERE table_name = 'runs'").fetchall()
    rows = database.execute("SELECT * FROM runs ORDER BY rowid").fetchall()
    database.close()
    path.with_suffix(".duckdb").unlink()
    lines = [table] + [f"INSERT INTO runs VALUES ({', '.join(map(literal, row))});" for row in rows]
    path.write_text("\n".join(lines) + "\n")


def literal(value: object) -> str:
    """A value as SQL has it."""
    if isinstance(value, str):
        return "'" + value.replace("'", "''") + "'"
    return str(value).lower() if isinstance(value, bool) else repr(value)


def records(folder: Path) -> None:
    """The records of a small day, as the rehearsal's processes write them."""
    folder.mkdir()
    scenario = Scenario.model_validate(
        {
            "name": "small",
            "class": [{"name": "look", "aim": 1, "deadline": 2}],
            "vectors": {"dims": 2, "fixed": 5},
        }
    )
    assert scenario.vectors is not None
    (folder / "facts.json").write_text(json.dumps(scenario.facts()))
    start, end = 1_764_600_000_000, 1_764_600_060_000
    query = Query(start, end, (Matcher(Match.EQUAL, "__name__", "wind_speed"),))
    asked = query._replace(matchers=(*query.matchers, Matcher(Match.EQUAL, "tile", "t001")))
    call = RemoteReadCodec("tile", 1 << 20).encode(
        [LeafContent("t001", (LeafQuery(0, write_query(asked), start, end),))], [0.5], ("127.0.0.1", 9001)
    )
    body = snappy.compress(write_response([data.answer("t001", query)]))
    clients: list[dict[str, Any]] = [
        {"t": 10.0, "kind": "demand", "demand": 0, "query_class": "look", "tiles": 1, "names": ["t001"]},
        {
            "t": 10.6,
            "kind": "try",
            "outcome": "reply",
            "status": 200,
            "coverage": "1",
            "missing": "",
            "retry_after": "",
            "demand": 0,
            "number": 0,
            "coordinator": 0,
            "query_class": "look",
            "tiles": ["t001"],
            "start": start,
            "end": end,
            "timeout": 2.0,
            "partial": False,
            "target": "class=look&timeout=2000ms",
            "sent": 10.1,
            "port": 50001,
            "ended": 10.5,
            "extra": False,
            "body": [0, len(body)],
        },
    ]
    director: list[dict[str, Any]] = [
        {"t": 9.0, "kind": "began", "at": 9.5},
        {"t": 9.0, "kind": "ports", "ports": [9001, 9002]},
        {"t": 9.0, "kind": "agents", "ports": [8500]},
        {"t": 9.0, "kind": "launched", "coordinator": 0, "port": 8000, "tap": "tap-0.jsonl"},
    ]
    nodes = [
        {"t": 10.25, "kind": "taken", "node": 0, "call": 1, "peer": 40001, "asked": [["t001", start, end]]},
        {"t": 10.3, "kind": "done", "node": 0, "call": 1},
    ]
    consul = [
        {
            "t": 9.1,
            "kind": "change",
            "service": "n0",
            "index": 5,
            "here": True,
            "meta": {},
            "checks": {"service:n0": "passing"},
        },
        {
            "t": 10.7,
            "kind": "change",
            "service": "n0",
            "index": 6,
            "here": True,
            "meta": {"drain": "1"},
            "checks": {},
        },
        {"t": 10.8, "kind": "told", "agent": 0, "peer": 40002, "service": "grid", "index": 6},
    ]
    clients += vector_tries(scenario.vectors)
    upserted = shard_of(1001, 6)
    marks = {
        str(node): {
            str(shard): ["1001"] if node in held_by(upserted) and shard == upserted else []
            for shard in range(6)
        }
        for node in range(6)
    }
    director += [
        {"t": 11.5, "kind": "vector_marks", "settled": True, "marks": marks},
        {"t": 12.0, "kind": "ended", "statuses": {"0": 0}},
    ]
    effect = {"t": 10.3, "kind": "effect", "collection": "live", "changed": True, "added": []}
    upsert = effect | {"shard": upserted, "op": "upsert", "key": "live/k1", "version": 5}
    increment = effect | {"node": 4, "shard": 2, "op": "increment_payload", "key": None, "version": 6}
    effects = [upsert | {"node": node, "repeat": False} for node in sorted(held_by(upserted))]
    effects.append(upsert | {"node": upserted, "repeat": True})
    effects.append(increment | {"repeat": False, "added": ["a2-0"]})
    for name, rows in (
        ("vectors", effects),
        ("clients", clients),
        ("director", director),
        ("nodes", nodes),
        ("consul", consul),
    ):
        text = "".join(json.dumps(row, separators=(",", ":")) + "\n" for row in rows)
        (folder / f"{name}.jsonl").write_text(text)
    with (folder / "nodes.jsonl").open("a") as file:
        file.write('{"t":10.9,"kind":"re')  # its process was killed
    (folder / "bodies.bin").write_bytes(body)
    tap = SocketRecorder()
    tap.open(folder / "tap-0.jsonl")
    times = iter([10.15, 10.2, 10.4, 10.45, 10.5])
    with mock.patch.object(time, "monotonic", lambda: next(times)):
        tap.record("request", 8000, 50001)
        tap.record("call", 40001, 9001, call)
        tap.record("got", 40001, 9001, bytes=333)
        tap.record("reply", 8000, 50001, status=200)
        tap.record("call", 40002, 8500, b"GET /v1/health/service/grid HTTP/1.1\r\n\r\n")
    assert base64.b64encode(call).decode() in (folder / "tap-0.jsonl").read_text()


def held_by(shard: int) -> set[int]:
    """The nodes that hold a shard, of a ring of six."""
    return {(shard + back) % 6 for back in range(3)}


def vector_tries(day: VectorDay) -> list[dict[str, Any]]:
    """What clients of the vector front recorded: a write, an addition that was refused, one done, a search."""
    vector = [1.0, 0.5]
    points = fixed_points(day)
    matrix = np.asarray([point["vector"] for point in points])
    scores = matrix @ np.asarray(vector) / np.linalg.norm(matrix, axis=1)
    nearest = [points[n]["id"] for n in np.argsort(-scores)[:3]]
    row: dict[str, Any] = {
        "kind": "vector_try",
        "coordinator": 0,
        "sent": 10.2,
        "ended": 10.4,
        "timeout": 1.5,
    }
    row |= {"t": 10.4, "done": "", "missing": "", "found": None, "why": "", "number": 0}
    return [
        row | {"kind_of": "upsert", "status": 200, "done": "1.000", "demand": 1, "points": [1001]},
        row | {"kind_of": "add", "status": 200, "done": "1.000", "demand": 2, "name": "a2-0"},
        row | {"kind_of": "add", "status": 503, "demand": 3, "name": "a3-0"},
        row
        | {"kind_of": "search", "status": 200, "demand": 4, "vector": vector, "limit": 3}
        | {"found": [[number, 0.0] for number in nearest]},
    ]


def main() -> None:
    """Make all of them anew."""
    for name in ("membership", "intents", "intents-torn", "day"):
        shutil.rmtree(FOLDER / name, ignore_errors=True)
    snapshots(FOLDER / "membership")
    (FOLDER / "membership" / "servers.toml").write_text(LIST)
    intents(FOLDER / "intents")
    runs(FOLDER / "runs.sql")
    records(FOLDER / "day")


if __name__ == "__main__":
    main()
