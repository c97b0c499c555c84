"""The list of tests that are known to fail: read strictly, bounded, and passed over by name only."""

from __future__ import annotations

import pytest
from conftest import MOST_KNOWN, Known, known, read_known


def test_the_list_is_read_and_bounded() -> None:
    line = "tests/a.py::test_a | a cause | issue 1"
    assert read_known(f"# a comment\n\n{line}\n") == [Known("tests/a.py::test_a", "a cause", "issue 1")]
    with pytest.raises(pytest.UsageError, match="at most"):
        read_known("\n".join([line] * (MOST_KNOWN + 1)))


@pytest.mark.parametrize("line", ["tests/a.py::test_a", "tests/a.py::test_a | cause |", "a | b | c | d"])
def test_a_line_without_cause_or_issue_is_refused(line: str) -> None:
    with pytest.raises(pytest.UsageError, match="not TEST"):
        read_known(line)


def test_the_list_as_it_stands_can_be_read() -> None:
    assert len(known()) <= MOST_KNOWN
