"""Shared by all fronts: submits a query to a co-ordinator and waits for its result. Independent of the protocol.

A front provides the query class, the weighted parts, a codec for requests and replies, and the merge of the results.
The dispatcher sets the time by which the result must be in: the client's deadline less the time that merging and
writing the answer takes, learned by class.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Sequence
from threading import Lock
from typing import NamedTuple, Protocol

from gingervane.coordinator import types as t
from gingervane.coordinator.core import QueryCoordinator
from gingervane.coordinator.response_time_reserve import ResponseTimeReserve


class Client(Protocol):
    """The client that sent a query."""

    def watch(self, on_disconnect: Callable[[], None]) -> None:
        """Call `on_disconnect` once if the client disconnects before the reply."""


class QueryRequest(NamedTuple):
    """A query that a front has parsed."""

    class_name: str  # for logs
    class_index: int  # in the settings of the decision engine
    parts: Sequence[t.PartPlan]
    codec: t.HttpCodec
    arrived_at: float
    deadline: float  # of the client


class DispatchResult(NamedTuple):
    """The result of a query. Call `release` after the reply has been written or has failed."""

    result: t.QueryResult
    seconds: float  # since it was submitted
    release: Callable[[], None]


class QueryDispatcher:
    """Dispatches queries to one co-ordinator; shared by front threads."""

    def __init__(self, core: QueryCoordinator, class_names: Iterable[str]) -> None:
        self.core = core
        self._lock = Lock()  # guards the reserves
        self._reserves = {name: ResponseTimeReserve() for name in class_names}

    def reserve(self, class_name: str, parts: int, client_time: float) -> float:
        """Return how many seconds of `client_time` to reserve for merging and writing the answer."""
        with self._lock:
            return self._reserves[class_name].get(parts, client_time)

    def learn(self, class_name: str, parts: int, completed_at: float) -> None:
        """Record that the answer to a query completed at `completed_at` has just been written."""
        with self._lock:
            self._reserves[class_name].learn(parts, time.monotonic() - completed_at)

    def dispatch(
        self, request: QueryRequest, client: Client | None, deadline: float | None = None
    ) -> DispatchResult:
        """Submit a query and wait for its result, or raise `Rejected` without having started any part of it.

        `deadline`: when the result must be in; None: the client's deadline less the reserve for merging and writing.
        """
        class_name = request.class_name
        parts = tuple(request.parts)
        if deadline is None:
            client_time = request.deadline - request.arrived_at
            deadline = request.deadline - self.reserve(class_name, len(parts), client_time)
        submitted_at = time.monotonic()
        plan = t.QueryPlan(request.class_index, deadline, parts, request.codec, class_name)
        query = self.core.submit(plan)
        if client is not None:
            client.watch(query.abandon)
        result = query.wait()
        completed_at = time.monotonic()

        def release() -> None:
            query.release()
            self.learn(class_name, len(parts), completed_at)

        return DispatchResult(result, completed_at - submitted_at, release)
