"""Logs of daemon and node, counters of the node: format, rate limits, and callers that never block."""

from __future__ import annotations

import ast
import io
import json
import logging
import os
import re
import signal
from collections.abc import Iterator
from pathlib import Path

import pytest
from platform_fakes import WAIT_TIMEOUT_SECONDS, Platform, Replica, read_until, start_node, wait_until

from gingervane import interface as api
from gingervane.telemetry import daemon_log, log_handler
from gingervane.telemetry.counters import Counters
from gingervane.telemetry.events import LogEvent
from gingervane.telemetry.log_handler import MAX_QUEUED_LINES, RATE_LIMIT_BURST, EventRateLimiter
from gingervane.telemetry.node_telemetry import Telemetry

ROOT = Path(__file__).parents[1]
LINE = re.compile(
    r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z mono=\d+\.\d{3} node=\S+ level=\w+ event=\S+"
    r"( [^\s=]+=(\"[^\"]*\"|\S+))*\Z"
)


class Lines(io.StringIO):
    """A stream that keeps the lines written to it."""

    def lines(self) -> list[str]:
        return self.getvalue().splitlines()


@pytest.fixture
def telemetry_and_stream() -> Iterator[tuple[Telemetry, Lines]]:
    stream = Lines()
    telemetry = Telemetry(stream)
    telemetry.name("n7")
    telemetry.start()
    yield telemetry, stream
    telemetry.stop()


def test_a_line_holds_both_clocks_the_node_the_event_and_its_fields(
    telemetry_and_stream: tuple[Telemetry, Lines],
) -> None:
    log, stream = telemetry_and_stream
    end_reason = api.QueryEndReason.PARTS_LOST
    log.info(LogEvent.QUERY_COMPLETED, request='a b="c"\n', reason=end_reason, seconds=0.25, whole=True)
    wait_until(stream.lines, "a line")
    (line,) = stream.lines()
    assert "node=n7 level=info event=query_completed" in line and 'reason="too many parts lost"' in line
    assert "seconds=0.25" in line and "whole=True" in line and "\\n" in line
    log.info("plain", host="s-1")
    wait_until(lambda: len(stream.lines()) == 2, "the next line")
    assert LINE.match(stream.lines()[1])


def test_lines_of_one_event_are_bounded_and_the_rest_is_counted(
    telemetry_and_stream: tuple[Telemetry, Lines],
) -> None:
    log, stream = telemetry_and_stream
    for _ in range(RATE_LIMIT_BURST + 40):
        log.info("storm")
    log.info("rare")
    wait_until(lambda: any("event=rare" in line for line in stream.lines()), "the rare line")
    storm_lines = sum("event=storm" in line for line in stream.lines())
    assert RATE_LIMIT_BURST <= storm_lines < RATE_LIMIT_BURST + 40
    log.dump()
    wait_until(lambda: any("event=counters" in line for line in stream.lines()), "counters")
    assert f"log_lines_dropped[storm]={RATE_LIMIT_BURST + 40 - storm_lines}" in stream.getvalue()


def test_tokens_are_replenished_at_the_rate() -> None:
    limiter = EventRateLimiter(burst=2, rate=10.0)
    assert [limiter.allows("e", 1.0) for _ in range(3)] == [True, True, False]
    assert limiter.allows("other", 1.0)
    assert limiter.allows("e", 1.11) and not limiter.allows("e", 1.11)


class UnreadPipe(io.StringIO):
    """A stream that nobody reads: a write blocks until its pipe is closed."""

    def __init__(self) -> None:
        super().__init__()
        read, self.write_end = os.pipe()
        self._read_end = read

    def write(self, text: str) -> int:
        os.read(self._read_end, 1)
        return len(text)


def test_callers_do_not_wait_for_a_log_that_is_not_read(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(log_handler, "FLUSH_TIMEOUT", 0.05)
    stream = UnreadPipe()
    log = Telemetry(stream)
    log.start()
    for number in range(MAX_QUEUED_LINES + 500):
        log.info(f"event-{number}")  # each event has a rate limit of its own
    log.stop()  # returns after `FLUSH_TIMEOUT`
    assert sum(log._handler.dropped.values()) >= 499
    os.close(stream.write_end)


def test_a_log_that_cannot_be_written_stops_nothing() -> None:
    stream = Lines()
    log = Telemetry(stream)
    log.start()
    stream.close()
    log.info("one")
    wait_until(lambda: log._handler.dropped["unwritable"], "the failed write")
    log.info("two")
    wait_until(lambda: log._handler.dropped["unwritable"] == 2, "the next one")


def test_counters_are_by_name_and_reason_and_written_only_when_they_change(
    telemetry_and_stream: tuple[Telemetry, Lines],
) -> None:
    log, stream = telemetry_and_stream
    log.counters.add("queries_failed", api.QueryEndReason.PARTS_LOST, 2)
    log.counters.add("queries_failed", "other")
    log.dump()
    log.dump()
    wait_until(stream.lines, "counters")
    log.info("after")
    wait_until(lambda: "event=after" in stream.getvalue(), "the line behind")
    assert stream.getvalue().count("event=counters") == 1
    assert "queries_failed[other]=1 queries_failed[too_many_parts_lost]=2" in stream.getvalue()
    assert Counters().get("x", "y") == 0


def test_a_node_logs_its_settings_and_its_shutdown(tmp_path: Path) -> None:
    """In an incident, no line gave the time, the settings in force, or the reason why a query had ended."""
    platform = Platform(tmp_path)
    program = start_node(platform.path)
    assert program.stderr is not None
    output = read_until(program.stderr, "class_settings")
    assert (
        "query_class=look retry_safety=safe" in output and "required_coverage=1 complete_coverage=1" in output
    )
    listening_line = read_until(program.stderr, "listening")
    address = re.search(r"address=([0-9.]+):(\d+)", listening_line)
    assert address
    program.send_signal(signal.SIGTERM)
    read_until(program.stderr, "shutdown_started")
    assert program.wait(WAIT_TIMEOUT_SECONDS) == 0
    program.stderr.close()
    platform.close()


def test_a_rejected_query_and_an_ejected_replica_are_logged(
    tmp_path: Path,
    capfd: pytest.CaptureFixture[str],
) -> None:
    replicas = [Replica(0, lambda wire, part: wire.answer(part.id, "broke")) for _ in range(2)]
    platform = Platform(tmp_path, *replicas)
    assert platform.ask("q1", {0: 1.0})[0] == 503
    platform.close()
    lines = capfd.readouterr().err.splitlines()
    (completed,) = [line for line in lines if "event=query_completed" in line]
    assert "request=q1" in completed and "status=refused" in completed
    assert 'reason="too many parts lost"' in completed
    (ejected,) = [line for line in lines if "event=replica_ejected" in line]
    assert any(f"replica=s-{replica.port} " in ejected for replica in replicas) and "reason=error" in ejected
    counters = [line for line in lines if "event=counters" in line][-1]
    assert "queries_refused[too_many_parts_lost]=1" in counters and "replicas_ejected[error]=1" in counters
    assert all(LINE.match(line) for line in lines)


def test_counters_are_written_on_a_signal(tmp_path: Path) -> None:
    platform = Platform(tmp_path)
    program = start_node(platform.path)
    assert program.stderr is not None
    read_until(program.stderr, "listening")
    program.send_signal(signal.SIGUSR1)
    assert "driver[batches]" in read_until(program.stderr, "counters")
    program.kill()
    program.wait()
    program.stderr.close()
    platform.close()


def test_a_request_that_breaks_is_logged_with_its_trace(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    """The client gets status 500, so the log is the only report of the fault."""

    def raise_error(*args: object) -> None:
        raise KeyError("a bug")

    platform = Platform(tmp_path)
    monkeypatch.setattr(platform.node.front, "_read_query", raise_error)
    assert platform.ask("q1", {0: 1.0})[0] == 500
    platform.close()
    output = capfd.readouterr().err
    assert (
        "level=error event=request_handler_failed" in output and "a bug" in output and "Traceback" in output
    )


def test_counters_are_written_while_lines_keep_coming(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(log_handler, "CALLBACK_INTERVAL", 0.0)  # counters are due at each line
    stream = Lines()
    log = Telemetry(stream)
    log.counters.add("queries_failed", "x")
    for _ in range(5):
        log.info("storm")
    log.start()
    wait_until(lambda: "event=counters" in stream.getvalue(), "counters")
    log.stop()


def _logged_event_names(path: Path) -> Iterator[str]:
    """Yield the names of events that a module logs by a literal instead of a member of the enumeration."""
    log_methods = {"info", "warning", "error", "debug", "_log"}
    for call in ast.walk(ast.parse(path.read_text())):
        if not isinstance(call, ast.Call) or not isinstance(call.func, ast.Attribute) or not call.args:
            continue
        first = call.args[0]
        if call.func.attr in log_methods and isinstance(first, ast.Constant) and isinstance(first.value, str):
            yield first.value


def test_each_event_that_is_logged_is_in_the_enumeration() -> None:
    literals = [
        name
        for package in ("node", "daemon", "telemetry")
        for path in sorted((ROOT / "gingervane" / package).glob("*.py"))
        for name in _logged_event_names(path)
    ]
    assert "endpoints_updated" in literals, "the search finds calls"
    assert set(literals) <= set(LogEvent)


def test_each_event_has_a_meaning_and_a_name_of_one_word() -> None:
    for event in LogEvent:
        assert re.fullmatch(r"[a-z]+(_[a-z]+)*", event) and event.meaning.endswith(".")
        assert str(event) == event.value == event.name.lower()


@pytest.fixture
def daemon_logger() -> Iterator[logging.Logger]:
    """The logger of the daemon, which is restored after the test."""
    logger = logging.getLogger("gingervane.daemon")
    handlers, level, propagate = logger.handlers, logger.level, logger.propagate
    yield logger
    logger.handlers, logger.propagate = handlers, propagate
    logger.setLevel(level)


def test_the_daemon_logs_pairs_in_the_format_of_the_node(
    daemon_logger: logging.Logger, capfd: pytest.CaptureFixture[str]
) -> None:
    daemon_log.configure("console", "info")
    log = daemon_log.get("vectors", core="upsert")
    log.info(LogEvent.REPLICA_EJECTED, replica=7, ejection_seconds=2.0, reason=api.EjectionReason.ERROR)
    log.debug(LogEvent.ATTEMPT_FINISHED, replica=7)
    (line,) = capfd.readouterr().err.splitlines()
    fields = "part=vectors core=upsert replica=7 ejection_seconds=2 reason=error"
    assert re.fullmatch(
        rf"\d{{4}}-\d\d-\d\dT[0-9:]{{8}}\.\d{{3}}Z mono=[0-9.]+ level=info event=replica_ejected {fields}",
        line,
    )


def test_the_daemon_logs_objects_with_the_fields_and_an_exception(
    daemon_logger: logging.Logger, capfd: pytest.CaptureFixture[str]
) -> None:
    daemon_log.configure("json", "error")
    log = daemon_log.get("daemon")
    log.info(LogEvent.SHUTDOWN_STARTED)
    try:
        raise KeyError("a bug")
    except KeyError as error:
        log.exception(LogEvent.REQUEST_HANDLER_FAILED, error)
    (line,) = capfd.readouterr().err.splitlines()
    entry = json.loads(line)
    assert set(entry) == {"part", "error", "trace", "event", "level", "timestamp"}
    assert (entry["part"], entry["event"], entry["level"]) == ("daemon", "request_handler_failed", "error")
    assert entry["error"] == "KeyError: 'a bug'" and "Traceback" in entry["trace"]


def test_the_page_for_those_on_call_has_each_event_with_its_meaning() -> None:
    page = (ROOT / "docs" / "on-call.md").read_text()
    assert not [event for event in LogEvent if f"| `{event}` | {event.meaning} |" not in page]
