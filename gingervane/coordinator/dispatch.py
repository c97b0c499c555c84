"""What every front does with a core: hand over a question, and wait for its one final answer.

A front gives a class of its own, parts with weights, an exchange that asks replicas and checks their replies, and a
merge. The desk gives the time to answer (what is left after merging and writing, learned by class) and the ticket
that ends once. Nothing here knows a protocol.
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
    """Who asked."""

    def watch(self, gone: Callable[[], None]) -> None:
        """Have `gone` called, once, if it leaves before the reply."""


class QueryRequest(NamedTuple):
    """A query that a front has read. `name`: its class, for logs; `number`: that class's in the module."""

    name: str
    number: int
    parts: Sequence[t.PartPlan]
    codec: t.HttpCodec
    arrived: float
    deadline: float  # the client's time


class DispatchResult(NamedTuple):
    """Its one end. `done` must be called once the reply is written or cannot be."""

    result: t.QueryResult
    seconds: float  # from its handing over
    release: Callable[[], None]


class QueryDispatcher:
    """One core's, shared by front threads."""

    def __init__(self, core: QueryCoordinator, names: Iterable[str]) -> None:
        """`names`: of classes."""
        self.core = core
        self._reserves, self._lock = {name: ResponseTimeReserve() for name in names}, Lock()

    def reserve(self, name: str, parts: int, span: float) -> float:
        """Seconds of `span` to keep for merging and writing."""
        with self._lock:
            return self._reserves[name].get(parts, span)

    def learn(self, name: str, parts: int, settled: float) -> None:
        """A query settled at `settled` has been written."""
        with self._lock:
            self._reserves[name].learn(parts, time.monotonic() - settled)

    def dispatch(
        self, question: QueryRequest, client: Client | None, deadline: float | None = None
    ) -> DispatchResult:
        """Hand over and wait. Raises Refused, and then nothing was begun.

        `deadline`: when the answer must be in; left out: the client's time, less what merging and writing take.
        """
        name, parts = question.name, tuple(question.parts)
        if deadline is None:
            deadline = question.deadline - self.reserve(
                name, len(parts), question.deadline - question.arrived
            )
        began = time.monotonic()
        ticket = self.core.submit(t.QueryPlan(question.number, deadline, parts, question.codec, name))
        if client is not None:
            client.watch(ticket.abandon)
        final = ticket.wait()
        settled = time.monotonic()

        def done() -> None:
            ticket.release()
            self.learn(name, len(parts), settled)

        return DispatchResult(final, settled - began, done)
