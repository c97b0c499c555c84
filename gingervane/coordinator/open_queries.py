"""The state of queries that are not yet completed: their parts, and the attempts in flight. Free of I/O.

A part is kept after its query while an attempt of it is in flight, so that the end of the attempt can be matched.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from gingervane import interface as api
from gingervane.coordinator import types as t
from gingervane.decisions.completeness import Coverage, QueryState


@dataclass(slots=True)
class OpenAttempt:
    """An attempt that has been decided and has not yet ended."""

    number: int  # within its part, from 0
    replica: int
    sent_at: float
    earlier_executions: int  # earlier attempts of the part that had run or were in flight
    request: t.AttemptRequest | None = None  # None: not passed to the transport
    batch: t.BatchRequest | None = None

    def claim(self) -> bool:
        """Prevent it from being sent; false if a sender claimed it first or it was never passed to the transport."""
        return self.request is not None and self.request.claim()


@dataclass(slots=True)
class OpenQuery:
    """A query that has been submitted and not yet completed, with the results of its current step."""

    id: int
    submitted: t.QuerySubmitted
    state: QueryState = QueryState.FIRST_STEP
    step_parts: dict[int, t.PartPlan] = field(default_factory=dict)  # of the current step, by index
    part_ids: list[int] = field(default_factory=list)  # of both steps
    results: dict[int, Any] = field(default_factory=dict)  # of the current step, by index
    result_bytes: int = 0  # of both steps
    attempts: list[t.AttemptRecord] = field(default_factory=list)
    detail: str = ""  # of the last failed attempt
    first_step_complete: bool = True  # false if the first step ended as partial

    @property
    def in_second_step(self) -> bool:
        """Whether the second step has begun."""
        return self.state is QueryState.SECOND_STEP

    @property
    def coverage(self) -> Coverage:
        """The coverage of the current step by the results received."""
        weight_received = sum(self.step_parts[index].weight for index in self.results)
        weight_requested = sum(part.weight for part in self.step_parts.values())
        return Coverage(len(self.step_parts), len(self.results), weight_requested, weight_received)


@dataclass(slots=True)
class OpenPart:
    """A part whose query is open or that has an attempt in flight."""

    query: OpenQuery
    index: int  # in the plan
    plan: t.PartPlan
    attempts_made: int = 0
    possible_executions: int = 0  # ended attempts that may have run
    in_flight: dict[int, OpenAttempt] = field(default_factory=dict)

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt of the part has run, may have, or may yet."""
        return bool(self.possible_executions or self.in_flight)

    def begin_attempt(self, now: float, replica: int) -> OpenAttempt:
        """Create the next attempt and register it as in flight."""
        earlier_executions = self.possible_executions + len(self.in_flight)
        attempt = OpenAttempt(self.attempts_made, replica, now, earlier_executions)
        self.attempts_made += 1
        self.in_flight[attempt.number] = attempt
        return attempt

    def may_execute(self, attempt: OpenAttempt) -> bool:
        """Whether the part's `max_executions` permits the attempt."""
        limit = self.plan.max_executions
        return limit is None or attempt.earlier_executions < limit

    def content_of(self, attempt: OpenAttempt) -> Any:
        """Return the content of the attempt's request."""
        by_execution = self.plan.content_by_execution
        if attempt.earlier_executions < len(by_execution):
            return by_execution[attempt.earlier_executions]
        return self.plan.content


class OpenQueries:
    """The queries and parts of one driver, by id. The caller assigns query ids; part ids are assigned here."""

    def __init__(self) -> None:
        self.queries: dict[int, OpenQuery] = {}
        self.parts: dict[int, OpenPart] = {}
        self.result_bytes = 0  # of open queries
        self._next_part_id = 1

    @property
    def attempts_in_flight(self) -> int:
        """The number of attempts that have not ended, including those of completed queries."""
        return sum(len(part.in_flight) for part in self.parts.values())

    def add(self, submitted: t.QuerySubmitted) -> OpenQuery:
        """Register a query, without its parts."""
        query = OpenQuery(submitted.id, submitted)
        self.queries[submitted.id] = query
        return query

    def begin_step(
        self, query: OpenQuery, parts: tuple[t.PartPlan, ...], first_index: int
    ) -> list[api.Event]:
        """Register the parts of a step, whose indexes start at `first_index`, and return an event for each."""
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
        """Keep the first result of a part of the current step; drop all other results."""
        query = part.query
        if query.id not in self.queries or part.index not in query.step_parts or part.index in query.results:
            return
        query.results[part.index] = result
        size = query.submitted.plan.codec.result_size(result)
        query.result_bytes += size
        self.result_bytes += size

    def remove(self, query_id: int) -> OpenQuery | None:
        """Remove and return a query if it is open; its parts stay until `forget_part`."""
        query = self.queries.pop(query_id, None)
        if query is not None:
            self.result_bytes -= query.result_bytes
        return query

    def parts_of(self, query: OpenQuery) -> list[OpenPart]:
        """Return the parts of both steps of an open query."""
        return [self.parts[part_id] for part_id in query.part_ids]

    def remove_all(self) -> list[OpenQuery]:
        """Remove and return all queries, after a failure that leaves the rest of the state unusable."""
        removed = list(self.queries.values())
        self.queries = {}
        return removed

    def forget_part(self, part_id: int) -> None:
        """Remove a part whose query is no longer open, unless an attempt of it is in flight."""
        part = self.parts.get(part_id)
        if part and not part.in_flight and part.query.id not in self.queries:
            del self.parts[part_id]
