"""The simulator adapter, byte by byte."""

from __future__ import annotations

import io
import struct
import subprocess
import sys
from pathlib import Path

import pytest

from gingervane import benchlink
from gingervane import interface as api

ROOT = Path(__file__).resolve().parent.parent
SETTINGS = """Balancers=2
Classes.count=1
Classes.0.AimS=2.0
Classes.0.DeadlineS=6.0
Classes.0.Gain=1.0
Classes.0.LateWorth=0.3
Classes.0.Semantics=safe
Extra.ClassFetch=0
Extra.MinShare=1.0
Extra.PerCall=1
Extra.Sets=1
Extra.ShortWorth=0.9
Extra.WholeAt=1.0
Extra.Width=1
GranularityS=0.005
Limits.Cancelling=true
Limits.MaxRetryAfterS=0.5
Limits.MostHeld=109
Limits.Peers=true
Limits.Probing=true
Limits.RetryAfter=true
Limits.SecondCopies=true
Limits.SendCap=3
Locality=0
MembershipMode=push
Ordinal=0
Rules.FallS=1.5
Rules.GraceToAnswerS=0.02
Rules.RampTimeS=16.0
Rules.StartCapacity=0.17
Rules.StopSendingWithinS=0.5
Rules.TipMultiple=4.0
Something.New=1
"""


def frame(now: float, number: int, *records: bytes) -> bytes:
    body = b"".join(records)
    return struct.pack("<dIII", now, 20 + len(body), len(records), number) + body


def about(instance: int) -> bytes:
    return struct.pack("<BH", 11, instance)


def launch(text: str = SETTINGS) -> bytes:
    return struct.pack("<BQI", 0, 7, len(text)) + text.encode()


def table(number: int, *ids: int) -> bytes:
    rows = b"".join(struct.pack("<HHHBIfd", 0, 0, 0, 1, i, 1.0, 0.0) for i in ids)
    return struct.pack("<BHI", 10, number, len(ids)) + rows


def endpoints(number: int, form: int) -> bytes:
    return struct.pack("<BQHB", 1, 1, number, form)


def work_item(item_id: int, shard: float, query: float, weight: float) -> bytes:
    return struct.pack("<BQffHfHQIdd", 2, item_id, shard, query, 0, weight, 0, 0, 0, 16.0, 0.0)


def result(item_id: int, replica: int, outcome: int) -> bytes:
    return struct.pack("<BQdIBBHBf", 4, item_id, 0.1, replica, 1, 0, outcome, 1, 0.5)


def run(data: bytes) -> list[tuple[int, int, bytes]]:
    sink = io.BytesIO()
    benchlink.serve(io.BytesIO(data), sink)
    raw, replies = sink.getvalue(), []
    while raw:
        count, length, number = struct.unpack_from("<III", raw)
        replies.append((count, number, raw[12:length]))
        raw = raw[length:]
    return replies


def test_empty_batch() -> None:
    data = bytes.fromhex("508d976e12d32040" "14000000" "00000000" "01000000")
    sink = io.BytesIO()
    benchlink.serve(io.BytesIO(data), sink)
    assert sink.getvalue() == bytes.fromhex("00000000" "0c000000" "01000000")


def test_a_query_is_sent_and_answered() -> None:
    first = frame(10.0, 1, about(3), launch(), table(0, 77), endpoints(0, 2))
    second = frame(10.1, 2, about(3), work_item(5, -1.0, 0.0, 1.0), work_item(6, 0.0, 0.0, 1.0))
    third = frame(10.2, 3, about(3), result(6, 77, 1))
    replies = run(first + second + third)
    assert replies[0] == (0, 1, b"")
    assert struct.pack("<BQI", 64, 6, 77) in replies[1][2] and replies[1][2].startswith(b"\x4d\x03\x00")
    assert struct.pack("<BQB", 76, 5, 1) in replies[2][2]


def test_a_table_number_refers_to_the_table_at_the_time_of_its_use() -> None:
    first = frame(
        10.0,
        1,
        about(0),
        launch(),
        table(0, 77),
        endpoints(0, 2),
        about(1),
        launch(),
        table(0, 88),
        endpoints(0, 2),
    )
    query_records = [work_item(5, -1.0, 0.0, 1.0), work_item(6, 0.0, 0.0, 1.0)]
    replies = run(first + frame(10.1, 2, about(0), *query_records, about(1), *query_records))
    assert struct.pack("<BQI", 64, 6, 77) in replies[1][2] and struct.pack("<BQI", 64, 6, 88) in replies[1][2]


def test_a_stopped_instance_loses_its_state_and_does_not_reply() -> None:
    first = frame(10.0, 1, about(3), launch(), table(0, 77), endpoints(0, 2))
    second = frame(10.1, 2, about(3), work_item(5, -1.0, 0.0, 1.0), work_item(6, 0.0, 0.0, 1.0))
    third = frame(10.2, 3, about(3), struct.pack("<B", 9))
    late = frame(10.3, 4, about(3), result(6, 77, 1))
    assert run(first + second + third + late)[3] == (0, 4, b"")


def test_an_exception_of_the_engine_becomes_a_fault_record(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(*_: object) -> list[api.Action]:
        raise IndexError("index out of range")

    monkeypatch.setattr("gingervane.decisions.engine.DecisionEngine.handle", broken)
    replies = run(frame(10.0, 1, about(3), launch(), table(0, 77), endpoints(0, 2)))
    assert b"IndexError: index out of range" in replies[0][2] and replies[0][2][3] == 73


@pytest.mark.parametrize(
    ("data", "words"),
    [
        (frame(1.0, 1)[:10], "inside a batch header"),
        (frame(1.0, 1, about(0), launch())[:-5], "cut short"),
        (frame(1.0, 9, about(0), struct.pack("<B", 99)), "unknown event code 99"),
        (frame(1.0, 9, about(0), struct.pack("<BQ", 2, 1)), "frame ends inside work_item"),
        (struct.pack("<dIII", 1.0, 4, 0, 1), "shorter than its header"),
        (frame(1.0, 9, about(0), launch().replace(b"a.Width=", b"a.Wxdth=")), "Extra.Width is missing"),
        (frame(1.0, 9, about(0), launch().replace(b"AimS=2.0", b"AimS=x.0")), "Classes.0.AimS has the bad"),
        (frame(1.0, 9, about(0), launch(), endpoints(5, 1)), "unknown table 5"),
    ],
)
def test_bad_input_gives_one_error_line(data: bytes, words: str) -> None:
    command = [sys.executable, "-m", "gingervane.benchlink"]
    process = subprocess.run(command, input=data, cwd=ROOT, capture_output=True, check=False)
    lines = process.stderr.decode().splitlines()
    assert process.returncode != 0 and len(lines) == 1 and words in lines[0]


def test_end_of_input_is_a_clean_exit() -> None:
    process = subprocess.run(
        [sys.executable, "-m", "gingervane.benchlink"],
        input=frame(1.0, 1),
        cwd=ROOT,
        capture_output=True,
        check=False,
    )
    assert process.returncode == 0 and len(process.stdout) == 12 and not process.stderr


def test_optional_settings() -> None:
    bare = benchlink.parse_settings(SETTINGS)
    assert (
        bare.retry_budget_free is None
        and bare.tenant_quotas == ()
        and bare.query_classes[0].objective_stretch is None
    )
    more = SETTINGS + (
        "Tenants.count=1\nTenants.0.QuotaPerS=4.5\nRules.BudgetFree=3\nRules.ExtraRatio=0.2\n"
        "Rules.ResendSpanS=5\nClasses.0.AimStretch=1.5\n"
    )
    full = benchlink.parse_settings(more)
    assert (
        full.tenant_quotas == (4.5,)
        and full.retry_budget_window == 5.0
        and full.query_classes[0].objective_stretch == 1.5
    )


def test_a_message_to_all_peers() -> None:
    assert benchlink.encode(api.SendToPeers(b"hi")) == struct.pack("<BIH", 71, 2**32 - 1, 2) + b"hi"
