"""Shared fixtures, the profile of Hypothesis, and the known failures (`KNOWN-RED.txt`), which are
deselected."""

from __future__ import annotations

import re
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import pytest
from _pytest.terminal import TerminalReporter
from connection_tools import BlockableMethod
from hypothesis import settings
from platform_fakes import Platform

from gingervane.fronts.connections import ConnectionManager

# Fixed examples and no deadline, so that each run gives the same result.
settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=60, database=None)
settings.load_profile("fixed")


@pytest.fixture
def platform(tmp_path: Path) -> Iterator[Platform]:
    """A node in this process, two replicas of all shards, and discovery."""
    instance = Platform(tmp_path)
    yield instance
    instance.close()


@pytest.fixture
def connection_events(monkeypatch: pytest.MonkeyPatch) -> Iterator[BlockableMethod]:
    """The thread that handles events on client connections: the test can block it."""
    handler = BlockableMethod(monkeypatch, ConnectionManager, "_handle_event")
    yield handler
    handler.unblock()


KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"
_ISSUE = re.compile(r"issue \d+")


class KnownFailure(NamedTuple):
    """A line of the list: one test case, the command that makes it fail, the failure seen, and its open
    issue.

    `test`: the id as pytest prints it, including the parameters of a parametrised test.
    """

    test: str
    command: str
    failure: str
    issue: str


def parse_known_failures(text: str) -> list[KnownFailure]:
    """Parse the list. Raises pytest.UsageError for a malformed line, or a test case that is listed twice."""
    failures: dict[str, KnownFailure] = {}
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        columns = [word.strip() for word in line.split("|")]
        if len(columns) != len(KnownFailure._fields) or not all(columns) or not _ISSUE.fullmatch(columns[-1]):
            raise pytest.UsageError(
                f"{KNOWN_RED.name}: line is not TEST | COMMAND | SEEN | issue N: {line!r}"
            )
        if columns[0] in failures:
            raise pytest.UsageError(f"{KNOWN_RED.name}: test is listed twice: {columns[0]}")
        failures[columns[0]] = KnownFailure(*columns)
    return list(failures.values())


def known_failures() -> list[KnownFailure]:
    return parse_known_failures(KNOWN_RED.read_text()) if KNOWN_RED.exists() else []


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    if config.getoption("--known-red"):
        return
    listed = {line.test for line in known_failures()}
    deselected = [item for item in items if item.nodeid in listed]
    files = {item.nodeid.partition("::")[0] for item in items}
    unknown = {t for t in listed if t.partition("::")[0] in files} - {item.nodeid for item in deselected}
    if unknown and not config.getoption("keyword") and not any("::" in arg for arg in config.args):
        raise pytest.UsageError(f"{KNOWN_RED.name} lists tests that do not exist: {sorted(unknown)}")
    if deselected:
        config.hook.pytest_deselected(items=deselected)
        items[:] = [item for item in items if item not in deselected]


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--known-red", action="store_true", help="run the tests listed in KNOWN-RED.txt too")


def pytest_terminal_summary(terminalreporter: TerminalReporter) -> None:
    for line in known_failures():
        terminalreporter.write_line(f"known failure, deselected: {line.test}: {line.failure} ({line.issue})")
        terminalreporter.write_line(f"  to reproduce: {line.command}")
