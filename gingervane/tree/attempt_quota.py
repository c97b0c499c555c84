"""Quota of attempts for each leaf of a wide query, over all paths of the tree that lead to it. Free of I/O.

Three attempts at each of three levels would multiply to 27. So each co-ordinator is granted a number of
attempts for each leaf below it, and grants each subtree a part of them. The first child gets all attempts but
one, so that it can hedge its own requests; the remaining attempt is held back for a path that avoids the
child: a hedged request to its sibling, or a direct query of the leaves. A child that answers reports the most
attempts it used for any leaf. If a child does not answer, its whole grant counts as used, unless the
transport proves that its query was never executed.
"""

from __future__ import annotations


class AttemptQuota:
    """The attempts of one wide query at one co-ordinator that are granted, in flight and used, by leaf."""

    def __init__(self, leaves: tuple[str, ...], max_attempts: int) -> None:
        self.max_attempts = max_attempts
        self._used = dict.fromkeys(leaves, 0)  # includes reserved attempts
        self._in_flight: dict[int, tuple[tuple[str, ...], int]] = {}

    def remaining(self, leaf: str) -> int:
        """Return the remaining attempts of a leaf; those reserved by subqueries in flight count as used."""
        return self.max_attempts - self._used[leaf]

    def offer(self, leaves: tuple[str, ...], is_last: bool) -> int:
        """Return how many attempts for each leaf a subquery may be granted; if 0, it must not be sent.

        `is_last`: no further subquery for these leaves will follow, so that no attempt is held back.
        """
        remaining = min((self.remaining(leaf) for leaf in leaves), default=0)
        return remaining if is_last or remaining <= 1 else remaining - 1

    def reserve(self, subquery_id: int, leaves: tuple[str, ...], attempts: int) -> None:
        """Reserve attempts for each leaf of a subquery. Raises ValueError if fewer remain."""
        if attempts < 1 or any(self.remaining(leaf) < attempts for leaf in leaves):
            raise ValueError(f"subquery {subquery_id}: {attempts} attempts a leaf are not left")
        self._in_flight[subquery_id] = leaves, attempts
        for leaf in leaves:
            self._used[leaf] += attempts

    def release(self, subquery_id: int, used: int | None) -> None:
        """Give back the unused attempts of a finished subquery.

        `used`: the most attempts that it reports for any leaf; None if it reports none: then all count as
        used.
        """
        leaves, attempts = self._in_flight.pop(subquery_id)
        if used is not None and 0 <= used < attempts:
            for leaf in leaves:
                self._used[leaf] -= attempts - used

    @property
    def max_used(self) -> int:
        """The most attempts that may have run for any leaf, as reported to the parent."""
        return max(self._used.values(), default=0)
