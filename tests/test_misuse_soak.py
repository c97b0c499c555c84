"""A short soak of misuse: bad clients of drawn kinds at the least memory, beside the faults of the soak."""

from __future__ import annotations

import pytest
from faults.bad_clients import KINDS
from faults.misuse import draw_misuse
from faults.rig import play

SECONDS = 10.0


@pytest.mark.parametrize("seed", [2, 5, 7])
def test_no_rule_is_broken_and_no_limit_passed_beside_bad_clients(seed: int) -> None:
    result = play(draw_misuse(seed, SECONDS))
    assert result.requests and result.statuses[200], result
    assert not result.violations and not result.unexpected_exits, (
        result.violations[:3],
        result.unexpected_exits,
    )


def test_all_kinds_of_bad_client_and_series_of_signals_are_drawn() -> None:
    plans = [draw_misuse(seed, SECONDS) for seed in range(1, 51)]
    assert {crowd.kind for plan in plans for crowd in plan.bad_crowds} == set(KINDS)
    assert any(b[0] - a[0] < 0.5 for plan in plans for a, b in zip(plan.moves, plan.moves[1:], strict=False))
    assert draw_misuse(3, SECONDS) == draw_misuse(3, SECONDS) != draw_misuse(4, SECONDS)
