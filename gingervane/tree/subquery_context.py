"""Messages between a parent and a child co-ordinator, independent of the protocol that carries them."""

from __future__ import annotations

from typing import Any, NamedTuple


class SubqueryContext(NamedTuple):
    """What a parent sends to a child in addition to the query."""

    levels_left: int  # levels of co-ordinators allowed below the child
    attempts_per_leaf: int  # attempts that may run for each leaf
    trail: tuple[str, ...]  # names of the co-ordinators above, root first


class SubtreeQuery(NamedTuple):
    """One attempt at a subtree: the client's queries, restricted to its leaves, and the context.

    `queries` holds, for each query that touches the subtree, its index in the client's request, the
    protocol's own query, and its leaves in the subtree.
    """

    queries: tuple[tuple[int, Any, tuple[str, ...]], ...]
    leaves: tuple[str, ...]  # of all queries, sorted
    query_class: str
    context: SubqueryContext


class SubtreeResult(NamedTuple):
    """The result that a child returned."""

    results_by_leaf: dict[str, dict[int, Any]]  # by leaf, then by index of the client's query
    attempts_used: int | None  # the most attempts used for any leaf; None if the child does not report it


class LeafSubquery(NamedTuple):
    """The leaf of a part, and the indexes of the client's queries that the part's results answer."""

    leaf: str
    query_indexes: tuple[int, ...]
