"""The records of queries, their parts and the attempts at each part, and the states of a query."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from gingervane import interface as api
from gingervane.decisions.completeness import Coverage, QueryState, may_answer
from gingervane.decisions.replica_state import KnownReplica, RequestKey


@dataclass(eq=False, slots=True)
class Attempt:
    """One sending of a part to a replica."""

    part: Part
    number: int
    replica: KnownReplica
    request: RequestKey
    hedged: bool
    idle_before: float  # seconds for which nothing had been sent to the replica
    requests_ahead: int  # requests of earlier batches open there when it was sent
    open: bool = True  # neither ended nor cancelled
    hedge_delays: int = 0  # how many have passed since it was sent


@dataclass(eq=False, slots=True)
class Part:
    """One part of a query."""

    arrived: api.PartArrived
    query: Query
    first_sent_at: float
    attempts_made: int = 0
    attempts_not_sent: int = 0  # of them, those that ended before they left
    attempts: list[Attempt] = field(default_factory=list)  # not ended yet
    tried_replicas: list[KnownReplica] = field(default_factory=list)
    # Send times by number of the attempts that are not proved to have had no effect.
    may_have_run: dict[int, float] = field(default_factory=dict)
    done: bool = False
    lost: bool = False  # no way left to have it

    @property
    def has_failed(self) -> bool:
        """Whether it is out, and at ejected replicas alone: what they hold counts as failed, not as late."""
        return bool(self.attempts) and all(attempt.replica.ejected_for for attempt in self.attempts)


@dataclass(eq=False, slots=True, weakref_slot=True)
class Query:
    """A query and what has come of its present step."""

    arrived: api.QueryArrived
    query_class: api.QueryClass
    objective_at: float
    answer_by: float
    parts: list[Part] = field(default_factory=list)  # of the present step
    parts_received: int = 0
    weight_requested: float = 0.0
    weight_received: float = 0.0
    state: QueryState = QueryState.FIRST_STEP
    first_step_complete: bool = True

    @property
    def settled(self) -> bool:
        """Whether the query has had its end."""
        return self.state is QueryState.SETTLED

    def wanted_by(self, now: float) -> float:
        """Time by which a part sent now should be answered: the objective, or past it the deadline."""
        return self.objective_at if now < self.objective_at else self.answer_by

    @property
    def coverage(self) -> Coverage:
        """What has been received of the present step."""
        return Coverage(len(self.parts), self.parts_received, self.weight_requested, self.weight_received)

    def is_unanswerable(self) -> bool:
        """Whether no answer is possible any more without the parts that are lost."""
        return self._needs([p.arrived.weight for p in self.parts if p.lost and not p.done])

    def is_unanswerable_without(self, is_missing: Callable[[Part], bool]) -> bool:
        """Whether no answer is possible without the parts that `is_missing` names."""
        return self._needs([p.arrived.weight for p in self.parts if is_missing(p) and not p.done])

    def _needs(self, missing: list[float]) -> bool:
        """Whether an answer needs some of the parts with the weights `missing`."""
        if not missing:
            return False
        count = len(self.parts)
        weight = self.weight_requested
        best_case = Coverage(count, count - len(missing), weight, weight - sum(missing))
        return not may_answer(self.query_class, self.state, best_case)

    def close_first_step(self, complete: bool) -> None:
        """Answer the first step; the parts of the second come with a later batch."""
        self.state = QueryState.BETWEEN_STEPS
        self.first_step_complete = complete
        self.parts = []
        self.parts_received = 0
        self.weight_requested = 0.0
        self.weight_received = 0.0

    def add_part(self, part: Part) -> None:
        """Add a part to the present step; the first one after a closed step begins the second step."""
        if self.state is QueryState.BETWEEN_STEPS:
            self.state = QueryState.SECOND_STEP
        self.parts.append(part)
        self.weight_requested += part.arrived.weight

    def receive(self, part: Part) -> None:
        """Count the result of a part."""
        self.parts_received += 1
        self.weight_received += part.arrived.weight

    def settle(self) -> None:
        """End the query.

        The parts refer to the query; letting go of them frees both without the cycle collector.
        """
        self.state = QueryState.SETTLED
        self.parts = []
