"""Submitted queries, as seen by the fronts that wait for their results."""

from __future__ import annotations

import time
from collections.abc import Callable
from queue import SimpleQueue
from typing import Any, NamedTuple, Protocol

from gingervane.coordinator import types as t
from gingervane.coordinator.admission import Admission
from gingervane.coordinator.ports import QueryObserver


class CompletedQuery(NamedTuple):
    """A query and its result."""

    query: PendingQuery
    result: t.QueryResult


class ResultReceiver(Protocol):
    """Receives the result of a submitted query. Called on the decision thread; must not block."""

    def put(self, item: CompletedQuery) -> None:
        """Take a query and its result."""


class ResultQueue(SimpleQueue[Any]):
    """Receives a `CompletedQuery` for each query that was submitted with this queue.

    The owner may put other items into it, for example to wake its own thread, and must tell them apart.
    """


class PendingQuery:
    """An admitted query. The decision thread completes it once; the front waits, replies and calls `release`."""

    def __init__(
        self,
        query_id: int,
        plan: t.QueryPlan,
        admission: Admission,
        observer: QueryObserver,
        on_abandon: Callable[[int], None],
        results: ResultReceiver | None,
    ) -> None:
        """`results`: receives its result; None: a queue of its own, for `wait`."""
        self.id = query_id
        self.plan = plan
        self._admission = admission
        self._observer = observer
        self._on_abandon = on_abandon
        self._own_results: ResultQueue | None = None
        if results is None:
            results = self._own_results = ResultQueue()
        self._receiver = results
        self._submitted_at = time.monotonic()
        self._result_bytes = 0

    def complete(self, result: t.QueryResult) -> None:
        """Complete the query with its result. Called on the decision thread."""
        self._result_bytes = result.result_bytes
        self._admission.reserve_results(result.result_bytes)
        self._observer.query_completed(self.id, self.plan, result, time.monotonic() - self._submitted_at)
        self._receiver.put(CompletedQuery(self, result))

    def wait(self) -> t.QueryResult:
        """Wait for the result of a query with a queue of its own; the decision engine ends it by its deadline."""
        assert self._own_results is not None, "its result goes to a receiver"
        completed: CompletedQuery = self._own_results.get()
        return completed.result

    def abandon(self) -> None:
        """Report that the client has disconnected; the query is still completed."""
        self._on_abandon(self.id)

    def release(self) -> None:
        """Release the admitted capacity, once the reply has been written or has failed."""
        self._admission.release(1 + len(self.plan.parts), self._result_bytes)
