"""One bound on the memory that a process holds for others. Free of I/O.

What grows with what others send (clients' input, open queries, unwritten replies) is charged to the budget before it
is kept, and released once. A part of the total is kept for what serves small requests, so that an ordinary request
finds room while large ones are refused.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum
from threading import Lock
from typing import NamedTuple

SMALL_REQUEST_BYTES = 4096  # a request up to this size may use what is kept for small ones


class MemoryOwner(Enum):
    """What memory is held for. The values are labels of metrics."""

    REQUESTS = "requests"  # bytes received from clients that are not yet a query
    QUERIES = "queries"  # queries from their admission to the end of their reply
    REPLIES = "replies"  # bytes of replies that the client's connection has not taken


class _Shares(NamedTuple):
    """Shares of the total up to which an owner may use it: of all owners' use, and of its own use."""

    of_all: float
    of_own: float


# A quarter is kept for small requests, and another that requests which are not queries yet may not take.
_SMALL = {
    MemoryOwner.REQUESTS: _Shares(1.0, 0.75),
    MemoryOwner.QUERIES: _Shares(1.0, 1.0),
    MemoryOwner.REPLIES: _Shares(1.0, 1.0),
}
_LARGE = {
    MemoryOwner.REQUESTS: _Shares(0.75, 0.35),
    MemoryOwner.QUERIES: _Shares(0.75, 0.75),
    MemoryOwner.REPLIES: _Shares(0.75, 0.75),
}


class BudgetUse(NamedTuple):
    """Bytes in use. `by_owner`: by the value of `MemoryOwner`."""

    total: int
    used: int
    peak: int
    by_owner: dict[str, int]


class MemoryBudget:
    """Divides `total` bytes between holdings. Any thread may call."""

    def __init__(self, total: int) -> None:
        self.total = total
        self._lock = Lock()
        self._used = 0
        self._peak = 0
        self._by_owner = Counter[MemoryOwner]()
        self.refusals = Counter[str]()  # by the value of the owner

    @property
    def used(self) -> int:
        """Bytes in use."""
        return self._used

    def use(self) -> BudgetUse:
        """Return the bytes in use."""
        with self._lock:
            by_owner = {owner.value: self._by_owner[owner] for owner in MemoryOwner}
            return BudgetUse(self.total, self._used, self._peak, by_owner)

    def change(self, owner: MemoryOwner, growth: int, is_small: bool) -> bool:
        """Change the bytes in use; return False, without a change, if they would be too many."""
        shares = (_SMALL if is_small else _LARGE)[owner]
        with self._lock:
            if growth > 0 and (
                self._used + growth > shares.of_all * self.total
                or self._by_owner[owner] + growth > shares.of_own * self.total
            ):
                self.refusals[owner.value] += 1
                return False
            self._used += growth
            self._peak = max(self._peak, self._used)
            self._by_owner[owner] += growth
        return True


class MemoryHolding:
    """The memory held for one thing. One thread at a time may call."""

    __slots__ = ("_budget", "_owner", "size")

    def __init__(self, budget: MemoryBudget, owner: MemoryOwner) -> None:
        self._budget = budget
        self._owner = owner
        self.size = 0

    def resize(self, size: int, is_small: bool = True) -> bool:
        """Change the size; return False, without a change, if it does not fit. A smaller size always fits.

        `is_small`: whether it serves a small request, and may use the part that is kept for those.
        """
        if size == self.size:
            return True
        if not self._budget.change(self._owner, size - self.size, is_small):
            return False
        self.size = size
        return True

    def release(self) -> None:
        """Give all back; further calls have no effect."""
        self.resize(0)
