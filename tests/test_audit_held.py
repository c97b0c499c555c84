"""The rule on lost requests excuses late failures of requests that expired during a process pause."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

import pytest

from gingervane.audit.lost_requests import failed_late_after_pause
from gingervane.audit.records import Day


def day(*signals: tuple[float, int, str]) -> Day:
    director = [
        {"t": at, "kind": "signal", "coordinator": coordinator, "signal": signal}
        for at, coordinator, signal in signals
    ]
    return cast(Day, SimpleNamespace(director=director))


PAUSED_DAY = day((9.5, 2, "SIGSTOP"), (10.1, 2, "SIGCONT"))


@pytest.mark.parametrize(
    ("sent", "status", "replied", "coordinator", "excused"),
    [
        (9.0, 504, 10.12, 2, True),  # the timeout of 1 s expired at 10.0, during the pause
        (9.0, 200, 10.12, 2, False),  # answered, not failed
        (9.0, 504, 10.4, 2, False),  # not failed right after the pause
        (8.4, 504, 10.12, 2, False),  # expired before the pause
        (9.0, 504, 10.12, 1, False),  # another co-ordinator was stopped
        (9.3, 504, 10.9, 2, False),  # failed too long after the deadline
    ],
)
def test_only_requests_that_expired_during_a_pause_may_fail_late(
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
    assert failed_late_after_pause(PAUSED_DAY, record) is excused
