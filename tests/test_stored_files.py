"""Files written by an earlier version (`tests/stored/`) are read to the values that it wrote.

Each test works on a copy. Values are compared by position: a field may be renamed but not moved. If the
program appends to or replaces a file after reading it, the test does so too and reads the result again.
"""

from __future__ import annotations

import json
import shutil
import time
from collections.abc import Iterator
from math import inf
from pathlib import Path
from typing import Any

import duckdb
import pytest

from gingervane import interface as api
from gingervane.audit import day_reader, effects, rules
from gingervane.coordinator import boot_clock
from gingervane.experiments.figures import compare, table
from gingervane.experiments.store import Run, RunStore
from gingervane.membership import endpoint_file
from gingervane.membership.atomic_file import NewerVersionError
from gingervane.membership.mass_removal_guard import MassRemovalGuard
from gingervane.membership.reconciliation import Reconciliation
from gingervane.membership.snapshot import Snapshot
from gingervane.membership.view import EndpointView, Member
from gingervane.wire.socket_recorder import SocketRecorder
from gingervane.writes import write_ahead_log
from gingervane.writes.idempotency import (
    IdempotencyLimits,
    IdempotencyRecord,
    IdempotencyRecords,
    KeyAction,
    WriteState,
)
from gingervane.writes.write_ahead_log import WriteAheadLog

STORED = Path(__file__).parent / "stored"

# Constants that the fixtures were written with; see `make_fixtures.py`.
BOOT = "0d6f3a52-8a1c-4a53-9b1e-fixture00001"
UNIX = 1_764_600_000.0
BOOT_SECONDS = 5_000.0
OFFSET = -1_764_599_000.0


@pytest.fixture
def stored(tmp_path: Path) -> Path:
    """A copy of all fixtures."""
    copy = tmp_path / "stored"
    shutil.copytree(STORED, copy)
    return copy


@pytest.fixture
def same_boot(monkeypatch: pytest.MonkeyPatch) -> None:
    """The fixtures were written in the same boot, 90 s ago by its clock."""
    monkeypatch.setattr(boot_clock, "boot_id", lambda: BOOT)
    monkeypatch.setattr(boot_clock, "seconds", lambda: BOOT_SECONDS + 90.0)


# ---- the membership snapshot

MEMBERS: list[tuple[Any, ...]] = [
    (1, "grid1", ("127.0.0.1", 9001), 0, 0, "ready", 512.5, 41),
    (2, "grid2", ("127.0.0.1", 9002), 1, 1, "draining", 640.0, 42),
    (3, "grid3", ("::1", 9003), 2, 2, "gone", None, 43),
    (4, "grid4", ("grid4.example", 9004), 0, 3, "ready", None, 0),
]
RECONCILIATION_STATE: dict[str, Any] = {
    "now": 1000.0,
    "last": {"consul": 40.5, "file": 96.0},
    "index": {"consul": 9, "file": 0},
    "servers": {
        "1": {
            "entries": {
                "consul": [
                    1,
                    "grid1",
                    ["127.0.0.1", 9001],
                    0,
                    0,
                    "ready",
                    512.5,
                    100.0,
                    40.0,
                    True,
                    41,
                    None,
                ],
                "file": [1, "grid1", ["127.0.0.1", 9001], 0, 0, "ready", 512.5, 96.0, None, False, 41, None],
            },
            "away": False,
            "ready_in": -1000.0,
            "returns": [],
        },
        "2": {
            "entries": {
                "consul": [
                    2,
                    "grid2",
                    ["127.0.0.1", 9002],
                    1,
                    1,
                    "draining",
                    640.0,
                    100.0,
                    40.0,
                    False,
                    42,
                    None,
                ],
                "file": [
                    2,
                    "grid2",
                    ["127.0.0.1", 9002],
                    1,
                    1,
                    "draining",
                    640.0,
                    96.0,
                    None,
                    False,
                    42,
                    None,
                ],
            },
            "away": False,
            "ready_in": -1000.0,
            "returns": [],
        },
        "3": {
            "entries": {
                "consul": [3, "grid3", ["::1", 9003], 2, 2, "gone", None, 100.0, None, False, 43, None]
            },
            "away": True,
            "ready_in": -1000.0,
            "returns": [],
        },
        "4": {
            "entries": {
                "consul": [
                    4,
                    "grid4",
                    ["grid4.example", 9004],
                    0,
                    3,
                    "ready",
                    None,
                    100.0,
                    None,
                    False,
                    0,
                    None,
                ]
            },
            "away": False,
            "ready_in": -1000.0,
            "returns": [],
        },
    },
}
VIEW_STATE = {"started": {"1": 1764599512.5, "2": 1764599640.0}, "gone": [3, 4]}


def to_rows(members: tuple[Member, ...]) -> list[tuple[Any, ...]]:
    """Return the members as tuples, with states as they are stored."""
    return [(*member[:5], member[5].value, *member[6:]) for member in members]


def to_members(rows: list[tuple[Any, ...]]) -> tuple[Member, ...]:
    """Return the members of such tuples."""
    return tuple(Member._make((*row[:5], api.ReplicaState(row[5]), *row[6:])) for row in rows)


def test_the_snapshot_of_version_3_is_read_whole(stored: Path, same_boot: None) -> None:
    snapshot = Snapshot(stored / "membership" / "snapshot-v3", 77.0, 3, 4)
    loaded = snapshot.load()
    assert loaded is not None
    members, age, offset, reconciliation, view = loaded
    assert to_rows(members) == MEMBERS and (age, offset) == (90.0, OFFSET)
    assert reconciliation == RECONCILIATION_STATE and view == VIEW_STATE
    snapshot.close()


def test_a_snapshot_of_another_boot_is_dated_by_the_wall_clock(
    stored: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(boot_clock, "boot_id", lambda: "another boot")
    monkeypatch.setattr(time, "time", lambda: UNIX + 30.0)
    snapshot = Snapshot(stored / "membership" / "snapshot-v3", OFFSET + 2.0, 3, 4)
    loaded = snapshot.load()
    assert loaded is not None and loaded[1:3] == (30.0, OFFSET + 2.0)
    assert [member[6] for member in loaded[0]] == [514.5, 642.0, None, None]
    snapshot.close()


@pytest.mark.parametrize("version", [1, 2])
def test_snapshots_of_older_versions_are_read(
    stored: Path, monkeypatch: pytest.MonkeyPatch, version: int
) -> None:
    """Neither has create indexes or a boot ID, and version 1 has no state of the reconciliation."""
    monkeypatch.setattr(time, "time", lambda: UNIX + 30.0)
    path = stored / "membership" / f"snapshot-v{version}"
    snapshot = Snapshot(path, OFFSET, 3, 4)
    loaded = snapshot.load()
    assert loaded is not None
    members, age, offset, reconciliation, view = loaded
    assert to_rows(members) == [(*row[:7], 0) for row in MEMBERS] and (age, offset) == (30.0, OFFSET)
    assert view is None and (reconciliation is None) == (version == 1)
    if reconciliation is not None:
        restored = Reconciliation(("consul", "file"), MassRemovalGuard())
        restored.restore(reconciliation, 1000.0, 0.0)
        state = as_json(restored.dump(1000.0))
        assert state["servers"]["1"]["entries"]["consul"] == [
            *[1, "grid1", ["127.0.0.1", 9001], 0, 0, "ready", 512.5, 100.0, 40.0, True, 0, None]
        ]
        assert state["index"] == {"consul": 0, "file": 0}
    snapshot.save(members, reconciliation, view)
    again = snapshot.load()
    assert again is not None and to_rows(again[0]) == to_rows(members) and again[3:] == (reconciliation, view)
    assert path.read_bytes().startswith(b"gingervane-kept 3 ")
    snapshot.close()


def test_states_of_the_snapshot_are_restored_and_saved_again(stored: Path, same_boot: None) -> None:
    snapshot = Snapshot(stored / "membership" / "snapshot-v3", 77.0, 3, 4)
    loaded = snapshot.load()
    assert loaded is not None and loaded[3] is not None and loaded[4] is not None
    reconciliation, view = Reconciliation(("consul", "file"), MassRemovalGuard()), EndpointView()
    reconciliation.restore(loaded[3], 1000.0, 0.0)
    view.restore(loaded[4], loaded[0], OFFSET)
    assert as_json(reconciliation.dump(1000.0)) == RECONCILIATION_STATE and view.dump(OFFSET) == VIEW_STATE
    reconciliation.restore(loaded[3], 1000.0, 16.0)
    later = reconciliation.dump(1000.0)
    assert later["last"] == {"consul": 56.5, "file": 112.0}
    servers = reconciliation.view(1000.0).servers
    assert {n: known[0][5].value for n, known in servers.items()} == {
        1: "ready",
        2: "draining",
        3: "gone",
        4: "ready",
    }
    snapshot.save(loaded[0], later, loaded[4])
    again = snapshot.load()
    assert again is not None and to_rows(again[0]) == MEMBERS and again[3:] == (as_json(later), loaded[4])
    snapshot.close()


def as_json(state: Any) -> Any:
    """Replace tuples by lists, as JSON reads them back."""
    if isinstance(state, dict):
        return {key: as_json(value) for key, value in state.items()}
    return [as_json(value) for value in state] if isinstance(state, list | tuple) else state


def test_the_same_snapshot_is_written_to_the_same_bytes(
    stored: Path, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An earlier version that is put back reads what a later one has written."""
    monkeypatch.setattr(boot_clock, "moment", lambda: (BOOT, BOOT_SECONDS))
    monkeypatch.setattr(time, "time", lambda: UNIX)
    members = to_members(MEMBERS)
    snapshot = Snapshot(tmp_path / "new", OFFSET, 3, 4)
    snapshot.save(members, RECONCILIATION_STATE, VIEW_STATE)
    snapshot.close()
    assert (tmp_path / "new").read_bytes() == (stored / "membership" / "snapshot-v3").read_bytes()


def test_a_snapshot_of_a_later_version_is_set_aside(stored: Path) -> None:
    path = stored / "membership" / "snapshot-v3"
    later = path.read_bytes().replace(b"gingervane-kept 3 ", b"gingervane-kept 4 ", 1)
    path.write_bytes(later)
    snapshot = Snapshot(path, OFFSET, 3, 4)
    with pytest.raises(NewerVersionError):
        snapshot.load()
    snapshot.save(to_members(MEMBERS))
    assert path.with_name("snapshot-v3.v4").read_bytes() == later
    assert path.with_name("snapshot-v3.lock").exists()
    snapshot.close()


# ---- the server list


def test_the_list_file_is_read_to_the_same_members(stored: Path) -> None:
    text = (stored / "membership" / "servers.toml").read_text()
    nodes, coordinators = endpoint_file.parse(text, ("hall-a", "hall-b"), 4, OFFSET, 2)
    assert to_rows(nodes) == [
        (1, "grid1", ("127.0.0.1", 9001), 0, 0, "ready", 512.5, 0),
        (2, "2", ("::1", 9002), 1, 3, "draining", None, 0),
        (9223372036854775807, "grid3", ("grid3.example", 65535), 1, 1, "gone", 0.0, 0),
    ]
    assert to_rows(coordinators) == [(0, "c0", ("127.0.0.1", 8000), 0, 1, "ready", None, 0)]


# ---- the intent log

INTENTS: dict[str, tuple[Any, ...]] = {
    "cos/plain": ("open", "00ff", 101, 4000.25, 4000.25, None),
    "cos/done": ("done", "11ee", 102, 4001.0, 4001.5, {"share": 0.667}),
    "cos/idle": ("idle", "22dd", 103, 4002.0, 4002.5, None),
    "cos/unknown": ("unknown", "33cc", 104, 4003.0, 4003.5, None),
    "cos/sk\u00f8yte \u2603": ("done", "44bb", 4503599627370496, 4004.0, 4004.5, {"share": 1.0}),
}


def to_tuples(entries: dict[str, IdempotencyRecord]) -> dict[str, tuple[Any, ...]]:
    return {key: (entry[0].value, *entry[1:]) for key, entry in entries.items()}


def opened_log(folder: Path) -> Iterator[tuple[WriteAheadLog, Any]]:
    """Yield the log and the result of its recovery; close it afterwards."""
    log = WriteAheadLog(folder, 3600.0, lambda: 4_100.0)
    yield log, log.recover()
    log.close()


def test_the_intent_log_is_read_and_goes_on(stored: Path, same_boot: None) -> None:
    folder = stored / "intents"
    for log, (entries, faults, count) in opened_log(folder):
        assert to_tuples(entries) == INTENTS and list(entries) == list(INTENTS)
        assert faults == [] and count == 6
        log.append_durably(
            "cos/new", IdempotencyRecord(WriteState.IN_PROGRESS, "55aa", 105, 4_090.0, 4_090.0)
        )
        log.append(
            "cos/plain",
            IdempotencyRecord(WriteState.COMPLETED, "00ff", 101, 4_000.25, 4_091.0, {"share": 1.0}),
        )
    assert [path.name for path in sorted(folder.iterdir())] == [
        "intents-00000001.log",
        "intents-00000002.log",
        "intents-00000003.log",
    ]
    for _, (entries, faults, count) in opened_log(folder):
        assert faults == [] and count == 8
        assert to_tuples(entries) == INTENTS | {
            "cos/plain": ("done", "00ff", 101, 4000.25, 4091.0, {"share": 1.0}),
            "cos/new": ("open", "55aa", 105, 4090.0, 4090.0, None),
        }


def test_a_torn_end_of_the_intent_log_is_cut_off(stored: Path, same_boot: None) -> None:
    folder = stored / "intents-torn"
    whole = {key: value for key, value in INTENTS.items() if value[1] != "44bb"}
    for _ in range(2):  # the second time there is nothing to cut off
        for _, (entries, faults, count) in opened_log(folder):
            assert to_tuples(entries) == whole and faults == [] and count == 5


def test_intents_of_another_boot_are_out_of_their_window(
    stored: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(boot_clock, "boot_id", lambda: "another boot")
    for _, (entries, faults, _) in opened_log(stored / "intents"):
        assert faults == []
        assert to_tuples(entries) == {
            key: (*value[:3], -inf, 4100.0, value[5]) for key, value in INTENTS.items()
        }


def test_intents_are_restored_after_a_restart(stored: Path, same_boot: None) -> None:
    """Done: the result is replayed. Idle: sent as new with a new version. Open or unknown: may have been
    executed."""
    known = IdempotencyRecords(IdempotencyLimits(window=10.0, safety_margin=0.5, retention=3600.0))
    for _, (entries, _, _) in opened_log(stored / "intents"):
        for key, entry in entries.items():
            known.restore(key, entry)
    assert known.begin("cos/done", "11ee", 900, 4_005.0) == (
        KeyAction.REPLAY_RESULT,
        102,
        0.0,
        {"share": 0.667},
    )
    assert known.begin("cos/done", "00", 900, 4_005.0)[0] is KeyAction.KEY_REUSED
    assert known.begin("cos/idle", "22dd", 900, 4_005.0)[:3] == (KeyAction.SEND, 900, 4_014.5)
    assert known.begin("cos/unknown", "33cc", 900, 4_005.0)[:3] == (KeyAction.SEND, 104, 4_012.5)
    assert known.begin("cos/plain", "00ff", 900, 4_050.0)[:2] == (KeyAction.WINDOW_EXPIRED, 101)


def test_the_same_intents_are_written_to_the_same_bytes(stored: Path) -> None:
    """An earlier version that is put back reads what a later one has written."""
    written = write_ahead_log.encode_boot_id(BOOT) + b"".join(
        write_ahead_log.encode_record(key, IdempotencyRecord(WriteState(row[0]), *row[1:]))
        for key, row in list(INTENTS.items())[2:]
    )
    assert written == (stored / "intents" / "intents-00000002.log").read_bytes()


# ---- the runs of experiments

LATENCY = {"look": {"count": 3, "p50": 2.0, "p99": 300.0}, "scan": {"count": 1, "p50": 6.0, "p99": 20.0}}
REPORT = {"kept": True, "attempts": 12, "parts": 8, "latency_ms": LATENCY}
HISTOGRAM = "HISTFAAAACh4nJNpmSzMwMDAwQABTFCaEUQoH3ZjsP8AERBmusvJtJaPCQBtXwVn"
RUNS: list[tuple[Any, ...]] = [
    ("one", '{"a": 1}', 1, "emulator", "v1", "", True, 10.0, 7.5, 8.0, 1.5, REPORT, {}),
    ("one", '{"a": 1}', 2, "sockets", "v1", "", False, 9.0, 0.0, 0.0, 2.5, REPORT, {"look": HISTOGRAM}),
    ("one", '{"a": 2}', 1, "emulator", "v2", "it's broken", False, 0.0, 0.0, 0.0, 0.0, {}, {}),
    ("two", "{}", 7, "emulator", "v2", "", True, 4.0, 4.0, 4.0, 0.25, REPORT, {"look": HISTOGRAM}),
]


@pytest.fixture
def kept_runs(stored: Path) -> Path:
    """A database of runs with the table of an earlier version, created by its SQL."""
    path = stored / "runs.duckdb"
    database = duckdb.connect(str(path))
    database.execute((stored / "runs.sql").read_text())
    database.close()
    return path


def test_kept_runs_are_read_and_added_to(kept_runs: Path) -> None:
    store = RunStore(kept_runs)
    assert [tuple(run) for run in store.runs("one", version="v1")] == RUNS[:2]
    assert [tuple(run) for run in store.runs("one")] == RUNS[2:3], "runs of the version stored last"
    assert [tuple(run) for run in store.runs("one", "sockets")] == RUNS[1:2]
    assert [tuple(run) for run in store.runs("two")] == RUNS[3:]
    assert store.done("one", "emulator", "v1") == {('{"a": 1}', 1)}
    assert store.done("one", "emulator", "v2") == set(), "it had an error"
    store.put(Run._make((*RUNS[2][:5], "", *RUNS[2][6:])))
    store.put(Run._make(("one", '{"a": 3}', *RUNS[3][2:])))
    store.close()
    store = RunStore(kept_runs)
    assert store.done("one", "emulator", "v2") == {('{"a": 2}', 1), ('{"a": 3}', 7)}
    assert [tuple(run) for run in store.runs("one", version="v1")] == RUNS[:2]
    assert [run.share for run in store.runs("one", version="v1")] == [0.9375, 1.0]
    store.close()


def test_the_table_of_runs_is_made_as_it_was(tmp_path: Path, kept_runs: Path) -> None:
    """After a rollback, the earlier version finds its own table and columns."""
    RunStore(tmp_path / "new.duckdb").close()
    found = []
    for path in (tmp_path / "new.duckdb", kept_runs):
        database = duckdb.connect(str(path))
        found.append(database.execute("SELECT table_name, sql FROM duckdb_tables()").fetchall())
        database.close()
    assert found[0] == found[1] and len(found[0]) == 1


def test_kept_runs_are_reported_and_compared(kept_runs: Path) -> None:
    store = RunStore(kept_runs)
    runs = store.runs("one", version="v1")
    store.close()
    assert table(runs).count("\n") >= 2
    shares, attempts, median, tail = compare(runs, runs)
    assert shares[1:4] == (2, 0.96875, 0.96875)
    assert attempts[1:4] == (2, 1.5, 1.5) and median[1:4] == (2, 3.0, 3.0) and tail[1:4] == (2, 230.0, 230.0)


# ---- the records of a scenario run

START_MS = 1_764_600_000_000


def test_the_records_of_a_day_are_read_and_linked(stored: Path) -> None:
    day = day_reader.load(stored / "day")
    assert day.facts["name"] == "small" and day.began() == 9.5
    assert day.torn == 1, "a line was cut off as its process was killed"
    assert len(day.bodies) == day.tries[0]["body"][1] > 0
    assert day.exchanged == {"tap-0.jsonl": 663}
    (send,) = day.sends
    assert (send.t, send.coordinator, send.tap, send.node, send.near) == (10.2, 0, "tap-0.jsonl", 0, 40001)
    assert [tuple(part) for part in send.parts] == [(START_MS, "t001")]
    assert send.took is not None and send.took["kind"] == "taken" and send.took["t"] == 10.25
    assert day.ends == {(0, 1): {"t": 10.3, "kind": "done", "node": 0, "call": 1}}
    (tried,) = day.tries
    assert (tried["read"], tried["tap"], tried["replies"]) == (10.15, "tap-0.jsonl", [10.45])
    assert [demand["names"] for demand in day.demands] == [["t001"]]
    assert day.catalogue is not None
    changes, reports = day.catalogue
    assert {node: [tuple(change) for change in found] for node, found in changes.items()} == {
        0: [(9.1, 5, False), (10.7, 6, True)]
    }
    assert dict(reports) == {"tap-0.jsonl": [(10.8, 6)]}


def rule(tested: int, nearest: object = 0.0) -> dict[str, Any]:
    """Return the verdict of a rule that has not been broken."""
    return {"kept": True, "tested": tested, "nearest": nearest, "breaches": 0, "what": []}


def test_the_records_of_a_day_are_judged_to_the_same_report(stored: Path) -> None:
    """The report is stored too, as `report.json` and with the runs of experiments."""
    assert json.loads(json.dumps(rules.judge(stored / "day"))) == {
        "name": "small",
        "kept": True,
        "rules": {
            "lost": rule(1, pytest.approx(0.175)),
            "duplicate": rule(0),
            "drain": rule(0),
            "cold": rule(0),
            "honest": rule(1),
            "budget": rule(0),
        },
        "worth": {
            "asked": 1.0,
            "served": 1.0,
            "bound": 1.0,
            "by_class": {"look": {"asked": 1.0, "served": 1.0}},
        },
        "tries": 1,
        "outcomes": {"200": 1},
        "latency_ms": {"look": {"count": 1, "p50": 400.13, "p90": 400.13, "p99": 400.13, "p99.9": 400.13}},
        "parts": 1,
        "attempts": 1,
        "further": 0,
        "copies": 0,
        "most_runs_a_part": 1,
        "subtrees": 0,
        "stray": {"sends": 0, "share_of_sends": 0.0, "work_s": 0.0, "share_of_work": 0.0},
        "usage": {},
        "bytes_exchanged": {"tap-0.jsonl": 663},
        "told_of_changes_ms": {"count": 0},
        "calls": 1,
        "torn_lines": 1,
        "unmapped": [],
        "exits": {"0": 0},
    }


def test_the_records_of_writes_are_judged_to_the_same_report(stored: Path) -> None:
    tested = {
        "answered": 4,
        "unsafe once": 1,
        "keyed once": 3,
        "refused is idle": 1,
        "acknowledged is there": 2,
        "whole is exact": 1,
    }
    assert json.loads(json.dumps(effects.judge(stored / "day"))) == {
        "kept": True,
        "rules": {name: {"tested": count, "breaches": 0, "what": []} for name, count in tested.items()},
        "tries": 4,
        "effects": 4,
        "repeats": 1,
        "outcomes": {"add 200": 1, "add 503": 1, "search 200": 1, "upsert 200": 1},
        "settled": True,
    }


def test_lines_of_the_tap_are_written_as_they_were(stored: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = stored / "day" / "tap-0.jsonl"
    before = path.read_text()
    monkeypatch.setattr(time, "monotonic", lambda: 11.5)
    tap = SocketRecorder()
    tap.open(path)
    tap.record("call", 40001, 9001, b"\x00\xff", more=[1])
    assert path.read_text() == before + (
        '{"t": 11.5, "kind": "call", "near": 40001, "far": 9001, "more": [1], "data": "AP8="}\n'
    )
