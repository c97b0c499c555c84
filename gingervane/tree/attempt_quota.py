"""Quota of attempts for each leaf of a wide query, over all paths of the tree that lead to it. Free of I/O.

Three attempts at each of three levels would be 27. So each co-ordinator is granted a number of attempts for each leaf
below it, and grants each subtree a part of them: the first child gets all but one, so that it can hedge by itself,
and the one held back is for one path around the child: a hedged request to its sibling, or the leaves themselves. A
child that answered reports how many it used at most; for one that did not, the whole grant counts as used, unless the
transport proves that its query never began.
"""

from __future__ import annotations


class AttemptQuota:
    """Attempts granted, in flight and used of one wide query at one co-ordinator, by leaf."""

    def __init__(self, leaves: tuple[str, ...], max_attempts: int) -> None:
        self.max_attempts = max_attempts
        self._used = dict.fromkeys(leaves, 0)  # includes what is reserved
        self._in_flight: dict[int, tuple[tuple[str, ...], int]] = {}

    def remaining(self, leaf: str) -> int:
        """Return how many attempts a leaf has left, with all that is in flight counted as used."""
        return self.max_attempts - self._used[leaf]

    def offer(self, leaves: tuple[str, ...], last: bool) -> int:
        """Return how many attempts for each leaf a subquery may be granted; 0 means that it must not be sent.

        `last`: no other subquery for these leaves will follow, so that nothing need be held back.
        """
        remaining = min((self.remaining(leaf) for leaf in leaves), default=0)
        return remaining if last or remaining <= 1 else remaining - 1

    def reserve(self, subquery_id: int, leaves: tuple[str, ...], attempts: int) -> None:
        """Reserve attempts for each leaf of a subquery. Raises ValueError if they are not left."""
        if attempts < 1 or any(self.remaining(leaf) < attempts for leaf in leaves):
            raise ValueError(f"subquery {subquery_id}: {attempts} attempts a leaf are not left")
        self._in_flight[subquery_id] = leaves, attempts
        for leaf in leaves:
            self._used[leaf] += attempts

    def release(self, subquery_id: int, used: int | None) -> None:
        """Return unused attempts of a finished subquery.

        `used`: the most attempts that it reports for any leaf; None if it does not say, which counts as all.
        """
        leaves, attempts = self._in_flight.pop(subquery_id)
        if used is not None and 0 <= used < attempts:
            for leaf in leaves:
                self._used[leaf] -= attempts - used

    @property
    def max_used(self) -> int:
        """The most attempts that may have run for any leaf, as reported to the parent."""
        return max(self._used.values(), default=0)
