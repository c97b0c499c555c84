"""Logs and counters of a node: what a line holds, what is bounded, and that nobody waits for its reader."""

from __future__ import annotations

import io
import os
import re
import signal
from collections.abc import Iterator
from pathlib import Path

import pytest

from gingervane import interface as api
from gingervane.telemetry import node_telemetry as module
from gingervane.telemetry.node_telemetry import BURST, MOST_WAITING, Counters, Limiter, Telemetry
from platform_fakes import PATIENCE, Platform, Replica, read_until, start_node, until

ROOT = Path(__file__).parents[1]
LINE = re.compile(
    r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z mono=\d+\.\d{3} node=\S+ level=\w+ event=\S+"
    r"( [^\s=]+=(\"[^\"]*\"|\S+))*\Z"
)


class Lines(io.StringIO):
    """A stream that keeps what is written to it."""

    def lines(self) -> list[str]:
        return self.getvalue().splitlines()


@pytest.fixture
def written() -> Iterator[tuple[Telemetry, Lines]]:
    stream = Lines()
    made = Telemetry(stream)
    made.name("n7")
    made.start()
    yield made, stream
    made.stop()


def test_a_line_holds_both_clocks_the_node_the_event_and_its_fields(
    written: tuple[Telemetry, Lines],
) -> None:
    log, stream = written
    why = api.QueryEndReason.PARTS_LOST
    log.info("query_settled", request='a b="c"\n', reason=why, seconds=0.25, whole=True)
    until(stream.lines, "a line")
    (line,) = stream.lines()
    assert "node=n7 level=info event=query_settled" in line and 'reason="too many parts lost"' in line
    assert "seconds=0.25" in line and "whole=True" in line and "\\n" in line
    log.info("plain", host="s-1")
    until(lambda: len(stream.lines()) == 2, "the next line")
    assert LINE.match(stream.lines()[1])


def test_lines_of_one_event_are_bounded_and_the_rest_is_counted(written: tuple[Telemetry, Lines]) -> None:
    log, stream = written
    for _ in range(BURST + 40):
        log.info("storm")
    log.info("rare")
    until(lambda: any("event=rare" in line for line in stream.lines()), "the rare line")
    storm = sum("event=storm" in line for line in stream.lines())
    assert BURST <= storm < BURST + 40
    log.dump()
    until(lambda: any("event=counters" in line for line in stream.lines()), "counters")
    assert f"log_lines_dropped[storm]={BURST + 40 - storm}" in stream.getvalue()


def test_tokens_come_back_at_the_rate() -> None:
    limiter = Limiter(burst=2, rate=10.0)
    assert [limiter.allows("e", 1.0) for _ in range(3)] == [True, True, False]
    assert limiter.allows("other", 1.0)
    assert limiter.allows("e", 1.11) and not limiter.allows("e", 1.11)


class Stuck(io.StringIO):
    """A log that nobody reads: a write does not come back."""

    def __init__(self) -> None:
        super().__init__()
        read, self.fill = os.pipe()
        self._read = read

    def write(self, text: str) -> int:
        os.read(self._read, 1)
        return len(text)


def test_nobody_waits_for_a_log_that_is_not_read(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "JOIN", 0.05)
    stream = Stuck()
    log = Telemetry(stream)
    log.start()
    for number in range(MOST_WAITING + 500):
        log.info(f"event-{number}")  # each of its own rate
    log.stop()  # does not wait for ever either
    assert sum(log._handler.dropped.values()) >= 499
    os.close(stream.fill)


def test_a_log_that_cannot_be_written_ends_nothing() -> None:
    stream = Lines()
    log = Telemetry(stream)
    log.start()
    stream.close()
    log.info("one")
    until(lambda: log._handler.dropped["unwritable"], "the failed write")
    log.info("two")
    until(lambda: log._handler.dropped["unwritable"] == 2, "the next one")


def test_counters_are_by_name_and_reason_and_written_only_when_they_change(
    written: tuple[Telemetry, Lines],
) -> None:
    log, stream = written
    log.counters.add("queries_failed", api.QueryEndReason.PARTS_LOST, 2)
    log.counters.add("queries_failed", "other")
    log.dump()
    log.dump()
    until(stream.lines, "counters")
    log.info("after")
    until(lambda: "event=after" in stream.getvalue(), "the line behind")
    assert stream.getvalue().count("event=counters") == 1
    assert "queries_failed[other]=1 queries_failed[too_many_parts_lost]=2" in stream.getvalue()
    assert Counters().get("x", "y") == 0


def test_a_program_tells_its_settings_and_its_end(tmp_path: Path) -> None:
    """Found in the incident: no line said when, which settings held, or why a query ended as it did."""
    platform = Platform(tmp_path)
    program = start_node(platform.path)
    assert program.stderr is not None
    said = read_until(program.stderr, "class_settings")
    assert "query_class=look semantics=safe" in said and "least_share=1 whole_share=1" in said
    listens = read_until(program.stderr, "listens")
    found = re.search(r"address=([0-9.]+):(\d+)", listens)
    assert found
    program.send_signal(signal.SIGTERM)
    read_until(program.stderr, "ending")
    assert program.wait(PATIENCE) == 0
    program.stderr.close()
    platform.close()


def test_what_went_wrong_with_a_query_and_with_its_replica_is_logged(
    tmp_path: Path,
    capfd: pytest.CaptureFixture[str],
) -> None:
    replicas = [Replica(0, lambda wire, part: wire.answer(part.id, "broke")) for _ in range(2)]
    platform = Platform(tmp_path, *replicas)
    assert platform.ask("q1", {0: 1.0})[0] == 503
    platform.close()
    lines = capfd.readouterr().err.splitlines()
    (settled,) = [line for line in lines if "event=query_settled" in line]
    assert "request=q1" in settled and "verdict=refused" in settled
    assert 'reason="too many parts lost"' in settled
    (ejected,) = [line for line in lines if "event=replica_ejected" in line]
    assert any(f"replica=s-{replica.port} " in ejected for replica in replicas) and "reason=error" in ejected
    counters = [line for line in lines if "event=counters" in line][-1]
    assert "queries_refused[too_many_parts_lost]=1" in counters and "replicas_ejected[error]=1" in counters
    assert all(LINE.match(line) for line in lines)


def test_counters_are_written_on_a_signal(tmp_path: Path) -> None:
    platform = Platform(tmp_path)
    program = start_node(platform.path)
    assert program.stderr is not None
    read_until(program.stderr, "listens")
    program.send_signal(signal.SIGUSR1)
    assert "driver[batches]" in read_until(program.stderr, "counters")
    program.kill()
    program.wait()
    program.stderr.close()
    platform.close()


def test_a_request_that_breaks_is_logged_with_its_trace(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    """It is answered with 500, and so nothing else would tell of it."""

    def breaks(*args: object) -> None:
        raise KeyError("a bug")

    platform = Platform(tmp_path)
    monkeypatch.setattr(platform.node.front, "_read_query", breaks)
    assert platform.ask("q1", {0: 1.0})[0] == 500
    platform.close()
    said = capfd.readouterr().err
    assert "level=error event=request_broke" in said and "a bug" in said and "Traceback" in said


def test_counters_are_written_where_lines_never_cease(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "DUMP_EVERY", 0.0)  # due at each line
    stream = Lines()
    log = Telemetry(stream)
    log.counters.add("queries_failed", "x")
    for _ in range(5):
        log.info("storm")
    log.start()
    until(lambda: "event=counters" in stream.getvalue(), "counters")
    log.stop()
