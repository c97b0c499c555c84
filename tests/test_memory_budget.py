"""The memory budget: its bound, its part for small holdings, and that all of it comes back."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from gingervane.limits.memory_budget import MemoryBudget, MemoryHolding, MemoryOwner

TOTAL = 100_000
steps = st.tuples(
    st.sampled_from(["resize", "release", "drop", "raise"]),
    st.integers(0, 5),
    st.integers(0, 60_000),
    st.booleans(),
)


@given(st.lists(steps, max_size=60))
def test_the_sum_is_never_over_the_total_and_zero_when_all_have_gone(
    drawn: list[tuple[str, int, int, bool]],
) -> None:
    budget = MemoryBudget(TOTAL)
    holdings: dict[int, MemoryHolding] = {}
    for action, number, size, is_small in drawn:
        owner = list(MemoryOwner)[number % 3]
        holding = holdings.setdefault(number, MemoryHolding(budget, owner))
        before = holding.size
        if action == "resize":
            assert holding.resize(size, is_small) or (holding.size == before and size > before)
        elif action == "raise":
            try:
                assert holding.resize(size, is_small)
                raise MemoryError
            except (AssertionError, MemoryError):
                holding.release()
        else:
            holding.release()
            holding.release()
        if action == "drop":
            del holdings[number]
        use = budget.use()
        assert use.used == sum(held.size for held in holdings.values()) == sum(use.by_owner.values())
        assert 0 <= use.used <= use.peak <= TOTAL
    for holding in holdings.values():
        holding.release()
    assert budget.use().used == 0 and not any(budget.use().by_owner.values())


# Guards against large requests that leave no room for an ordinary one.
def test_small_requests_find_room_when_large_ones_are_refused() -> None:
    budget = MemoryBudget(TOTAL)
    for owner, large_count, small_count in ((MemoryOwner.REQUESTS, 3, 45), (MemoryOwner.QUERIES, 0, 25)):
        large = [MemoryHolding(budget, owner) for _ in range(100)]
        assert [holding.resize(10_000, is_small=False) for holding in large].count(True) == large_count
        small = [MemoryHolding(budget, owner) for _ in range(100)]
        assert not small[0].resize(6000, is_small=False)
        small[0].release()
        assert [holding.resize(1000) for holding in small].count(True) == small_count
    assert budget.use().used <= TOTAL
