"""What a parent tells a child beside the query, and what a child brings back: the same for every protocol."""

from __future__ import annotations

from typing import Any, NamedTuple


class SubqueryContext(NamedTuple):
    """`levels`: of co-ordinators that may still stand below the child. `attempts`: that may run for each leaf.

    `trail`: names of the co-ordinators above, root first.
    """

    levels_left: int
    attempts_per_leaf: int
    trail: tuple[str, ...]


class SubtreeQuery(NamedTuple):
    """A subtree for one attempt at it: the client's queries, the leaves of each that lie in it, and the orders.

    `queries`: number in the client's request, the protocol's own query, its leaves here. `leaves`: of all, sorted.
    """

    queries: tuple[tuple[int, Any, tuple[str, ...]], ...]
    leaves: tuple[str, ...]
    query_class: str
    context: SubqueryContext


class SubtreeResult(NamedTuple):
    """What a child brought: results by leaf and by number of the client's query; what it says that it used."""

    results_by_leaf: dict[str, dict[int, Any]]
    attempts_used: int | None


class LeafSubquery(NamedTuple):
    """What a run must know of a leaf's part: its shard, and the numbers of the queries that its results answer."""

    leaf: str
    query_indexes: tuple[int, ...]
