"""What co-ordinators together send to cold replicas, in simulated time, stays within what these may get."""

from __future__ import annotations

import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent.parent / "benchmarks"))

import cold_sum

AGAIN = "all start, clients come again"


@pytest.mark.parametrize(
    ("deployment", "scenario", "coordinators"),
    [
        ("1.7 in 4 s", AGAIN, 3),
        ("1.7 in 4 s", AGAIN, 20),
        ("1.7 in 4 s", AGAIN, 30),
        ("4 in 1.5 s", AGAIN, 20),
        ("2.5 in 1 s", "clients come again", 30),
        ("2.5 in 1 s", "all restarted at once", 20),
    ],
)
def test_clients_that_come_again_push_no_cold_replica_over(
    deployment: str,
    scenario: str,
    coordinators: int,
) -> None:
    """Each try was one more draw, at every co-ordinator: 1.41 and 1.80 of the bound with 20 and 30."""
    assert cold_sum.play((deployment, scenario, coordinators, 0)) <= 1.0
