"""The list of known failures is parsed strictly, and only the test cases that it names are deselected."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from conftest import KnownFailure, known_failures, parse_known_failures

LINE = "tests/a.py::test_a[x-1] | python -m faults.soak --seeds 12 | what was seen | issue 1"


def test_a_line_has_test_command_failure_and_issue() -> None:
    expected = KnownFailure(
        "tests/a.py::test_a[x-1]", "python -m faults.soak --seeds 12", "what was seen", "issue 1"
    )
    assert parse_known_failures(f"# a comment\n\n{LINE}\n") == [expected]


def test_a_test_case_may_be_listed_only_once() -> None:
    with pytest.raises(pytest.UsageError, match="twice"):
        parse_known_failures("\n".join([LINE, LINE]))


@pytest.mark.parametrize(
    "line",
    [
        "tests/a.py::test_a",
        "tests/a.py::test_a | command | seen |",
        "tests/a.py::test_a | command | issue 1",
        "tests/a.py::test_a | command | seen | some day",
        "a | b | c | d | issue 1",
    ],
)
def test_an_incomplete_line_is_refused(line: str) -> None:
    with pytest.raises(pytest.UsageError, match="not TEST"):
        parse_known_failures(line)


def run_pytest(folder: Path, *lines: str) -> subprocess.CompletedProcess[str]:
    """Run pytest on a test with two cases and a list of known failures that has these lines."""
    tests = folder / "tests"
    tests.mkdir()
    here = Path(__file__).parent
    for name in (
        "conftest.py",
        "connection_tools.py",
        "platform_fakes.py",
        "node_tools.py",
        "ports.py",
        "hosts.py",
    ):
        (tests / name).symlink_to(here / name)
    (tests / "test_two.py").write_text(
        "import pytest\n\n@pytest.mark.parametrize('n', [1, 2])\ndef test_two(n):\n    assert n == 2\n"
    )
    (folder / "KNOWN-RED.txt").write_text("\n".join(lines))
    command = [
        sys.executable,
        "-m",
        "pytest",
        "-q",
        "-p",
        "no:cacheprovider",
        f"--rootdir={folder}",
        str(tests),
    ]
    return subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False)


def test_only_the_listed_case_is_deselected(tmp_path: Path) -> None:
    result = run_pytest(tmp_path, "tests/test_two.py::test_two[1] | pytest | one is not two | issue 1")
    assert result.returncode == 0 and "1 passed, 1 deselected" in result.stdout, result.stdout + result.stderr
    assert "one is not two (issue 1)" in result.stdout


def test_a_parametrised_test_is_not_deselected_as_a_whole(tmp_path: Path) -> None:
    result = run_pytest(tmp_path, "tests/test_two.py::test_two | pytest | one is not two | issue 1")
    assert result.returncode != 0 and "lists tests that do not exist" in result.stdout + result.stderr


def test_the_current_list_can_be_parsed() -> None:
    for line in known_failures():
        assert (Path(__file__).parents[1] / line.test.partition("::")[0]).exists(), line.test
