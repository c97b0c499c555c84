"""Queries that have been submitted, as their fronts see them."""

from __future__ import annotations

import time
from collections.abc import Callable
from queue import SimpleQueue
from typing import Any, NamedTuple

from gingervane.coordinator import types as t
from gingervane.coordinator.admission import Admission
from gingervane.coordinator.ports import QueryObserver


class CompletedQuery(NamedTuple):
    """A query and its result."""

    query: PendingQuery
    result: t.QueryResult


class ResultQueue(SimpleQueue[Any]):
    """Takes a `CompletedQuery` for each query that is to be waited for in one place.

    Its owner may put other items there, to wake itself, and tells them apart.
    """


class PendingQuery:
    """A query that has been admitted. The decision thread completes it once; the front waits, replies, releases."""

    def __init__(
        self,
        query_id: int,
        plan: t.QueryPlan,
        admission: Admission,
        observer: QueryObserver,
        on_abandon: Callable[[int], None],
        results: ResultQueue | None,
    ) -> None:
        """`results`: where its result goes; None: to a queue of its own."""
        self.id = query_id
        self.plan = plan
        self._admission = admission
        self._observer = observer
        self._on_abandon = on_abandon
        self._results = ResultQueue() if results is None else results
        self._submitted_at = time.monotonic()
        self._result_bytes = 0

    def complete(self, result: t.QueryResult) -> None:
        """Give the query its result; on the decision thread."""
        self._result_bytes = result.result_bytes
        self._admission.reserve_results(result.result_bytes)
        self._observer.query_completed(self.id, self.plan, result, time.monotonic() - self._submitted_at)
        self._results.put(CompletedQuery(self, result))

    def wait(self) -> t.QueryResult:
        """Wait for the result, for a query with a queue of its own; the decision module makes it come in time."""
        completed: CompletedQuery = self._results.get()
        return completed.result

    def abandon(self) -> None:
        """Say that the client has disconnected; the query is completed all the same."""
        self._on_abandon(self.id)

    def release(self) -> None:
        """Give back what was admitted: the reply has been written, or cannot be."""
        self._admission.release(1 + len(self.plan.parts), self._result_bytes)
