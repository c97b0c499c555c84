"""The state of queries that have not been completed: their parts, and the attempts in flight. Free of I/O.

A part outlives its query while an attempt of it is in flight, so that the end of the attempt can still be matched.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from gingervane import interface as api
from gingervane.coordinator import types as t
from gingervane.decisions.completeness import Coverage, QueryState


@dataclass(slots=True)
class OpenAttempt:
    """An attempt that has been decided and has not ended."""

    number: int  # within its part, from 0
    replica: int
    sent_at: float
    earlier_executions: int  # attempts of the part that had run or were in flight before it
    request: t.AttemptRequest | None = None  # None: it is not handed to the transport
    batch: t.BatchRequest | None = None

    def claim(self) -> bool:
        """Keep it from being sent; false if a sender has claimed it first or it was not to be sent anyway."""
        return self.request is not None and self.request.claim()


@dataclass(slots=True)
class OpenQuery:
    """A query that has been submitted and not completed, with the results of its present step."""

    id: int
    submitted: t.QuerySubmitted
    state: QueryState = QueryState.FIRST_STEP
    step_parts: dict[int, t.PartPlan] = field(default_factory=dict)  # of the present step, by index
    part_ids: list[int] = field(default_factory=list)  # of both steps
    results: dict[int, Any] = field(default_factory=dict)  # of the present step, by index
    result_bytes: int = 0  # of both steps
    attempts: list[t.AttemptRecord] = field(default_factory=list)
    detail: str = ""  # of the last failed attempt
    first_step_complete: bool = True  # false once a first step has ended as partial

    @property
    def in_second_step(self) -> bool:
        """Whether the first step has ended and the second has begun."""
        return self.state is QueryState.SECOND_STEP

    @property
    def coverage(self) -> Coverage:
        """The coverage of the present step by the results received."""
        weight_received = sum(self.step_parts[index].weight for index in self.results)
        weight_requested = sum(part.weight for part in self.step_parts.values())
        return Coverage(len(self.step_parts), len(self.results), weight_requested, weight_received)


@dataclass(slots=True)
class OpenPart:
    """A part whose query is open, or of which an attempt is in flight."""

    query: OpenQuery
    index: int  # in the plan
    plan: t.PartPlan
    attempts_made: int = 0
    possible_executions: int = 0  # ended attempts that may have run
    in_flight: dict[int, OpenAttempt] = field(default_factory=dict)

    def begin_attempt(self, now: float, replica: int) -> OpenAttempt:
        """Enter the next attempt."""
        earlier_executions = self.possible_executions + len(self.in_flight)
        attempt = OpenAttempt(self.attempts_made, replica, now, earlier_executions)
        self.attempts_made += 1
        self.in_flight[attempt.number] = attempt
        return attempt

    def may_execute(self, attempt: OpenAttempt) -> bool:
        """Whether the part's limit on executions admits the attempt."""
        limit = self.plan.max_executions
        return limit is None or attempt.earlier_executions < limit

    def content_of(self, attempt: OpenAttempt) -> Any:
        """What the attempt asks its replica for."""
        by_execution = self.plan.content_by_execution
        if attempt.earlier_executions < len(by_execution):
            return by_execution[attempt.earlier_executions]
        return self.plan.content


class OpenQueries:
    """The queries and parts of one driver, by id. Ids of queries are the caller's, ids of parts are given here."""

    def __init__(self) -> None:
        self.queries: dict[int, OpenQuery] = {}
        self.parts: dict[int, OpenPart] = {}
        self.result_bytes = 0  # of open queries
        self._next_part_id = 1

    @property
    def attempts_in_flight(self) -> int:
        """Attempts that have not ended, of completed queries too."""
        return sum(len(part.in_flight) for part in self.parts.values())

    def add(self, submitted: t.QuerySubmitted) -> OpenQuery:
        """Enter a query, without its parts."""
        query = OpenQuery(submitted.id, submitted)
        self.queries[submitted.id] = query
        return query

    def begin_step(
        self, query: OpenQuery, parts: tuple[t.PartPlan, ...], first_index: int
    ) -> list[api.Event]:
        """Enter the parts of a step, whose indexes start at `first_index`, and return their arrivals."""
        events: list[api.Event] = []
        query.step_parts = dict(enumerate(parts, first_index))
        for index, plan in query.step_parts.items():
            part_id = self._next_part_id
            self._next_part_id += 1
            self.parts[part_id] = OpenPart(query, index, plan)
            query.part_ids.append(part_id)
            events.append(api.PartArrived(part_id, query.id, plan.shard, plan.weight))
        return events

    def add_result(self, part: OpenPart, result: Any) -> None:
        """Keep the first result of a part of the present step; drop any other."""
        query = part.query
        if query.id not in self.queries or part.index not in query.step_parts or part.index in query.results:
            return
        query.results[part.index] = result
        size = query.submitted.plan.codec.result_size(result)
        query.result_bytes += size
        self.result_bytes += size

    def remove(self, query_id: int) -> OpenQuery | None:
        """Take a query out, if it is open; its parts stay until `forget_part`."""
        query = self.queries.pop(query_id, None)
        if query is not None:
            self.result_bytes -= query.result_bytes
        return query

    def remove_all(self) -> list[OpenQuery]:
        """Take out every query, after a failure that leaves the rest of the state unusable."""
        removed = list(self.queries.values())
        self.queries = {}
        return removed

    def forget_part(self, part_id: int) -> None:
        """Drop a part whose query is no longer open, unless an attempt of it is in flight."""
        part = self.parts.get(part_id)
        if part and not part.in_flight and part.query.id not in self.queries:
            del self.parts[part_id]
