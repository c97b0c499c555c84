"""What every front does with a coordinator: hand over a query, and wait for its one result.

A front gives a class of its own, parts with weights, a codec that asks replicas and checks their replies, and a
merge. The dispatcher gives the time to answer (what is left after merging and writing, learned by class) and the
pending query, which is completed once. Nothing here knows a protocol.
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
    """Who sent the query."""

    def watch(self, gone: Callable[[], None]) -> None:
        """Have `gone` called, once, if the client disconnects before the reply."""


class QueryRequest(NamedTuple):
    """A query that a front has read."""

    class_name: str  # for logs
    class_index: int  # in the settings of the decision module
    parts: Sequence[t.PartPlan]
    codec: t.HttpCodec
    arrived_at: float
    deadline: float  # when the client's time is up


class DispatchResult(NamedTuple):
    """The end of a query. `release` must be called once the reply is written or cannot be."""

    result: t.QueryResult
    seconds: float  # since it was submitted
    release: Callable[[], None]


class QueryDispatcher:
    """Dispatches to one coordinator; shared by front threads."""

    def __init__(self, core: QueryCoordinator, class_names: Iterable[str]) -> None:
        self.core = core
        self._lock = Lock()  # over the reserves
        self._reserves = {name: ResponseTimeReserve() for name in class_names}

    def reserve(self, class_name: str, parts: int, client_time: float) -> float:
        """Seconds of `client_time` to reserve for merging and writing."""
        with self._lock:
            return self._reserves[class_name].get(parts, client_time)

    def learn(self, class_name: str, parts: int, completed_at: float) -> None:
        """Note that a query that was completed then has been written now."""
        with self._lock:
            self._reserves[class_name].learn(parts, time.monotonic() - completed_at)

    def dispatch(
        self, request: QueryRequest, client: Client | None, deadline: float | None = None
    ) -> DispatchResult:
        """Submit a query and wait for its result, or raise `Rejected`, and then nothing was begun.

        `deadline`: when the result must be in; None: the client's time, less what merging and writing take.
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
