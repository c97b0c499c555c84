"""The load that all co-ordinators put on cold replicas, in simulated time, stays within its limit."""

from __future__ import annotations

import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent.parent / "benchmarks"))

import cold_sum

ALL_START_CLIENTS_RETRY = "all start, clients come again"


@pytest.mark.parametrize(
    ("deployment", "scenario", "coordinators"),
    [
        ("1.7 in 4 s", ALL_START_CLIENTS_RETRY, 3),
        ("1.7 in 4 s", ALL_START_CLIENTS_RETRY, 20),
        ("1.7 in 4 s", ALL_START_CLIENTS_RETRY, 30),
        ("4 in 1.5 s", ALL_START_CLIENTS_RETRY, 20),
        ("2.5 in 1 s", "clients come again", 30),
        ("2.5 in 1 s", "all restarted at once", 20),
    ],
)
def test_retrying_clients_do_not_overload_cold_replicas(
    deployment: str,
    scenario: str,
    coordinators: int,
) -> None:
    """Each retry of a client could select a cold replica again, at any co-ordinator.

    The load was then 1.41 and 1.80 of the limit with 20 and 30 co-ordinators.
    """
    assert cold_sum.play((deployment, scenario, coordinators, 0)) <= 1.0
