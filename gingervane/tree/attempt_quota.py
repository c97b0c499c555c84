"""Attempts across levels: at most `most` may run at a leaf for one part of a root's query, by whatever path.

Three attempts at each of three levels would be 27. So each co-ordinator is handed a number of attempts that may run
for each leaf below it, and hands each subtree a part of that: the first child gets all but one, so that it can copy
for itself, and what is kept back is for one way round the child, a copy on its sibling or a re-cut. A child that
answered says how many it used at most; of one that did not, all that it was handed counts as used, unless the
transport proves that its query never began. Free of I/O.
"""

from __future__ import annotations


class AttemptQuota:
    """The ledger of one wide query at one co-ordinator, by leaf."""

    def __init__(self, leaves: tuple[str, ...], most: int) -> None:
        self.max_attempts = most
        self._used = dict.fromkeys(leaves, 0)  # by what is known, or else feared
        self._in_flight: dict[int, tuple[tuple[str, ...], int]] = {}

    def remaining(self, leaf: str) -> int:
        """Attempts that may still run for a leaf, with all that is out counted as used."""
        return self.max_attempts - self._used[leaf]

    def offer(self, leaves: tuple[str, ...], last: bool) -> int:
        """How many attempts a leaf a way may be handed; 0: it must not be taken. `last`: no other will follow."""
        left = min((self.remaining(leaf) for leaf in leaves), default=0)
        return left if last or left <= 1 else left - 1

    def reserve(self, way: int, leaves: tuple[str, ...], attempts: int) -> None:
        """A way (an attempt at a subtree, or a re-cut) is taken with so many attempts a leaf."""
        if attempts < 1 or any(self.remaining(leaf) < attempts for leaf in leaves):
            raise ValueError(f"way {way}: {attempts} attempts a leaf are not left")
        self._in_flight[way] = leaves, attempts
        for leaf in leaves:
            self._used[leaf] += attempts

    def release(self, way: int, used: int | None) -> None:
        """A way has ended; `used`: what it says it used at most a leaf, None if nobody says."""
        leaves, attempts = self._in_flight.pop(way)
        if used is not None and 0 <= used < attempts:
            for leaf in leaves:
                self._used[leaf] -= attempts - used

    @property
    def max_used(self) -> int:
        """What to tell a parent: the most that may have run for any leaf."""
        return max(self._used.values(), default=0)
