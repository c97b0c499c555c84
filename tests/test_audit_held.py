"""The audit on lost requests where a co-ordinator was stopped: late failures of that, of nothing else."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

import pytest

from gingervane.audit.lost_requests import failed_late_after_pause
from gingervane.audit.records import Day


def day(*signals: tuple[float, int, str]) -> Day:
    director = [{"t": at, "kind": "signal", "coordinator": who, "signal": what} for at, who, what in signals]
    return cast(Day, SimpleNamespace(director=director))


HELD = day((9.5, 2, "SIGSTOP"), (10.1, 2, "SIGCONT"))


@pytest.mark.parametrize(
    ("sent", "status", "replied", "coordinator", "excused"),
    [
        (9.0, 504, 10.12, 2, True),  # its time, 1 s, ran out at 10.0 while it was stopped
        (9.0, 200, 10.12, 2, False),  # an answer is no failure
        (9.0, 504, 10.4, 2, False),  # not at once
        (8.4, 504, 10.12, 2, False),  # its time had run out before
        (9.0, 504, 10.12, 1, False),  # another one was stopped
        (9.3, 504, 10.9, 2, False),  # past what only earns nothing
    ],
)
def test_only_what_ran_out_in_a_hold_may_fail_late(
    sent: float,
    status: int,
    replied: float,
    coordinator: int,
    excused: bool,
) -> None:
    record: dict[str, Any] = {
        "sent": sent,
        "timeout": 1.0,
        "status": status,
        "replies": [replied],
        "coordinator": coordinator,
    }
    assert failed_late_after_pause(HELD, record) is excused
