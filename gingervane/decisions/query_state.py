"""Records of queries, their parts and the attempts at each part."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

from gingervane import interface as api
from gingervane.decisions.completeness import Coverage, QueryState, may_answer
from gingervane.decisions.replica_state import KnownReplica, RequestKey


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt to get a part from a replica."""

    part: Part
    number: int
    replica: KnownReplica
    request: RequestKey
    hedged: bool
    idle_before: float  # idle time in seconds of the replica's connections before this send
    requests_ahead: int  # requests of earlier batches that were open at the replica at this send
    open: bool = True  # neither ended nor cancelled
    hedge_delays: int = 0  # number of hedge delays that have passed since the send
    unresponsive: bool = False  # counted as without response


@dataclass(eq=False, slots=True)
class Part:
    """One part of a query."""

    arrival: api.PartArrived  # the event with which it arrived
    query: Query
    first_sent_at: float
    attempts_made: int = 0
    attempts_not_sent: int = 0  # number of those that ended before they were sent
    attempts: list[Attempt] = field(default_factory=list)  # attempts that have not ended
    tried_replicas: list[KnownReplica] = field(default_factory=list)
    # By attempt number: send times of the attempts that are not proved to have had no effect.
    may_have_run: dict[int, float] = field(default_factory=dict)
    done: bool = False  # received, or no longer needed by its query
    lost: bool = False  # no further attempt is possible

    @property
    def has_failed(self) -> bool:
        """Whether the part is open at ejected replicas only; such attempts count as failed, not as late."""
        return bool(self.attempts) and all(attempt.replica.ejected_for for attempt in self.attempts)


@dataclass(eq=False, slots=True, weakref_slot=True)
class Query:
    """A query and the state of its present step."""

    arrival: api.QueryArrived  # the event with which it arrived
    query_class: api.QueryClass
    answer_by: float  # its deadline, less a margin for timers that fire late
    first_step_ends_at: float = (
        inf  # after which a partial answer to the first step leaves time for the second
    )
    parts: list[Part] = field(default_factory=list)  # of the present step
    parts_received: int = 0
    weight_requested: float = 0.0
    weight_received: float = 0.0
    state: QueryState = QueryState.FIRST_STEP
    first_step_complete: bool = True

    @property
    def settled(self) -> bool:
        """Whether the query has completed."""
        return self.state is QueryState.SETTLED

    @property
    def coverage(self) -> Coverage:
        """Coverage of the present step so far."""
        return Coverage(len(self.parts), self.parts_received, self.weight_requested, self.weight_received)

    def is_unanswerable(self) -> bool:
        """Whether no answer is possible without the parts that are lost."""
        return self._needs([p.arrival.weight for p in self.parts if p.lost and not p.done])

    def is_unanswerable_without(self, is_missing: Callable[[Part], bool]) -> bool:
        """Whether no answer is possible without the parts for which `is_missing` returns true."""
        return self._needs([p.arrival.weight for p in self.parts if is_missing(p) and not p.done])

    def _needs(self, missing: list[float]) -> bool:
        """Whether an answer needs some of the parts with the weights `missing`."""
        if not missing:
            return False
        count = len(self.parts)
        weight = self.weight_requested
        best_case = Coverage(count, count - len(missing), weight, weight - sum(missing))
        return not may_answer(self.query_class, self.state, best_case)

    def close_first_step(self, complete: bool) -> None:
        """Close the first step; the parts of the second step arrive in a later batch."""
        self.state = QueryState.BETWEEN_STEPS
        self.first_step_complete = complete
        self.parts = []
        self.parts_received = 0
        self.weight_requested = 0.0
        self.weight_received = 0.0

    def add_part(self, part: Part) -> None:
        """Add a part to the present step; the first part after a closed first step begins the second step."""
        if self.state is QueryState.BETWEEN_STEPS:
            self.state = QueryState.SECOND_STEP
        self.parts.append(part)
        self.weight_requested += part.arrival.weight

    def receive(self, part: Part) -> None:
        """Add a part to the received coverage."""
        self.parts_received += 1
        self.weight_received += part.arrival.weight

    def settle(self) -> None:
        """Mark the query as completed.

        Its parts refer to the query: dropping them here frees both without the cycle collector.
        """
        self.state = QueryState.SETTLED
        self.parts = []
