"""Types of the decision engine: its settings, its events and its actions.

This module contains no decisions and no tuned defaults: the host sets every field, and the tuned constants
are in the modules of the package `decisions` that use them. Times are seconds of the host's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import inf
from typing import NamedTuple


class RetrySafety(Enum):
    """Whether a part that may have run may be sent again: always, within its idempotency window, or never."""

    IDEMPOTENT = "safe"
    IDEMPOTENCY_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class ReplicaState(Enum):
    """State of a replica in the endpoint list: ready, in graceful shutdown, or removed."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class MembershipUpdateKind(Enum):
    """How a membership event changes the endpoint list.

    It updates some entries, replaces the list, replaces it by a cached one, or reports a failed call.
    """

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class AttemptOutcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NEVER_SENT = "never sent"

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that the part had no effect. This follows from the protocol."""
        return self in (AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NEVER_SENT)


class EjectionReason(Enum):
    """Why a replica was ejected from selection."""

    ERROR = AttemptOutcome.ERROR.value
    REJECTED = AttemptOutcome.REJECTED.value
    TIMED_OUT = AttemptOutcome.TIMED_OUT.value
    CONNECT_FAILED = AttemptOutcome.CONNECT_FAILED.value
    RESET = AttemptOutcome.RESET.value
    NO_RESPONSE = "silence"
    LOST_TO_HEDGE = "overtaken by a copy"
    PEER_REPORTS = "peer reports"


class QueryEndReason(Enum):
    """Why a query ended as it did: the closed set of reasons in logs and counters.

    The decision engine sets the first group, its host the second.
    """

    UNSTATED = "unstated"
    ALL_PARTS = "all parts in"
    COMPLETE_COVERAGE = "whole share in"
    PARTIAL_NO_MORE_PARTS = "short, no further part can come"
    PARTIAL_AT_DEADLINE = "short at the deadline"
    DEADLINE = "deadline"
    PARTS_LOST = "too many parts lost"
    NO_REPLICA = "no replica may be asked"
    OVERLOAD = "load shedding"

    SHUTDOWN = "shutdown"
    CLIENT_DISCONNECTED = "client left"
    COVERAGE_CHECK_FAILED = "answer check failed"
    INTERNAL = "internal error"


class QueryClass(NamedTuple):
    """The site's requirements for a query class. Coverage is a share of the weight of a step's parts.

    The latency objective, its stretch and the values of late and partial answers are for operators and
    reports: no decision reads them, as callers are held to their deadline alone.
    """

    latency_objective: float
    deadline: float
    retry_safety: RetrySafety
    idempotency_window: float | None
    second_step_parts: int
    required_coverage: float
    complete_coverage: float
    objective_stretch: float | None  # added to the latency objective per unit of a query's predicted cost
    late_answer_value: float  # of a complete answer after the latency objective, as a share of one in time
    partial_answer_value: float  # value of a partial answer: this times its share of the complete coverage


class Settings(NamedTuple):
    """Settings that a co-ordinator receives at its start. `None`: the site does not have the feature."""

    coordinator_count: int
    zone: int
    query_classes: tuple[QueryClass, ...]
    tenant_quotas: tuple[float | None, ...]
    timer_granularity: float
    cell_count: int
    cells_per_replica: int
    max_parts_per_request: int
    max_attempts: int
    cancellation_allowed: bool
    gossip_allowed: bool
    hedging_allowed: bool
    retry_after_allowed: bool
    max_retry_after: float
    membership_polled: bool
    slow_start_capacity: float  # capacity of a replica at its start, as a share of its full capacity
    slow_start_duration: float
    overload_window: float
    overload_multiple: float  # multiple of a cold replica's capacity that overloads it in `overload_window`
    retry_budget_free: float | None  # further attempts per window that are permitted without any traffic
    retry_budget_share: float | None  # further attempts permitted for each query or part in the window
    retry_budget_window: float | None
    max_send_delay: float = 0.0  # longest delay in seconds between the decision and the send of an attempt
    drain_grace: float = inf  # seconds after the notification of a drain in which sends are permitted


class Replica(NamedTuple):
    """One entry of the endpoint list."""

    id: int
    cell: int
    zone: int
    weight: float
    state: ReplicaState
    started_at: float


class MembershipChanged(NamedTuple):
    """An update of the endpoint list, or the failure of its watch."""

    kind: MembershipUpdateKind
    replicas: tuple[Replica, ...]


class WatchInterrupted(NamedTuple):
    """A watch that had delivered a list ended or stalled, `seconds_without_data` after its last data.

    A stalled watch may stay open. If data is received again, `MembershipChanged` follows, possibly without
    entries.
    """

    seconds_without_data: float


class DiscoveryAddressChanged(NamedTuple):
    """The host's discovery has another address, and its calls at the previous one have ended.

    `seconds_without_data`: since the last data of a watch. The host makes no call until one is requested.
    """

    seconds_without_data: float


class DiscoveryContactChanged(NamedTuple):
    """Whether a call to discovery has been accepted and waits for its first list. False at the start.

    Only for hosts that are reported as ready by `AcceptQueries`. A connection that is being established, or
    was refused or reset, is no contact.
    """

    is_waiting: bool


class QueryArrived(NamedTuple):
    """A query; `part_count` parts follow in the same batch."""

    id: int
    number: int  # `query_number` of its parts
    query_class: int
    tenant: int
    part_count: int
    expires_at: float
    is_client_retry: bool
    predicted_cost: float


class PartArrived(NamedTuple):
    """A part of a query: one of the first step comes with the query, one of the second in a later batch."""

    id: int
    query_number: int
    shard: int
    weight: float


class AttemptEnded(NamedTuple):
    """The outcome of an attempt. The attempts at a part are numbered from 0 in the order of their sends."""

    part: int
    attempt: int
    replica: int
    outcome: AttemptOutcome
    latency: float


class HealthCheckEnded(NamedTuple):
    """The outcome of a health check, and the load that the replica reported."""

    replica: int
    outcome: AttemptOutcome
    latency: float
    load: tuple[float, ...]


class QueryAbandoned(NamedTuple):
    """The client no longer waits for a query, which needs no answer."""

    id: int


class TimerFired(NamedTuple):
    """A timer set by the engine has fired."""

    label: int


class PeerMessageReceived(NamedTuple):
    """A message from another co-ordinator."""

    sender: int
    payload: bytes


Event = (
    MembershipChanged
    | WatchInterrupted
    | DiscoveryAddressChanged
    | DiscoveryContactChanged
    | QueryArrived
    | PartArrived
    | AttemptEnded
    | HealthCheckEnded
    | QueryAbandoned
    | TimerFired
    | PeerMessageReceived
)


class Send(NamedTuple):
    """Send a part to a replica; the attempt times out at `stop_at`."""

    part: int
    replica: int
    stop_at: float


class Cancel(NamedTuple):
    """Cancel an attempt; it still ends with an outcome."""

    part: int
    attempt: int


class CloseIdle(NamedTuple):
    """Close the idle connections to a replica; the next send opens a new one."""

    replica: int


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer the present step with the parts received. `reason` is not compared."""

    query: int
    complete: bool
    reason: QueryEndReason = field(default=QueryEndReason.UNSTATED, compare=False)


@dataclass(frozen=True, slots=True)
class Reject:
    """End the query without an answer; a retry is harmless. `retry_after` is in seconds, 0 for no advice."""

    query: int
    retry_after: float
    reason: QueryEndReason = field(default=QueryEndReason.UNSTATED, compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """End the query without an answer, where a retry may not be harmless."""

    query: int
    reason: QueryEndReason = field(default=QueryEndReason.UNSTATED, compare=False)


class SetTimer(NamedTuple):
    """Request `TimerFired` with this label after `delay` seconds."""

    delay: float
    label: int


class WatchMembership(NamedTuple):
    """Watch the endpoint list: request membership changes from now on.

    A host that supports parallel calls may receive this action while earlier calls are still waiting. These
    continue as far as the host's limit permits, and the first call that is answered becomes the watch.
    """


@dataclass(frozen=True, slots=True)
class AcceptQueries:
    """Tell the platform that this co-ordinator is ready. Only for hosts that ask for it.

    `cached_list_age`: assumed age in seconds of the cached list on which it serves; None if its list is
    current or requested at intervals.
    """

    cached_list_age: float | None = field(default=None, compare=False)


class SendToPeers(NamedTuple):
    """A message to every other co-ordinator; it may be lost."""

    payload: bytes


class LogMessage(NamedTuple):
    """A message for the operators' log."""

    text: str


class ReplicaEjected(NamedTuple):
    """Log entry: a replica was ejected from selection for `seconds`."""

    replica: int
    seconds: float
    reason: EjectionReason


class ReplicaReinstated(NamedTuple):
    """Log entry: a replica was reinstated."""

    replica: int


ReplicaHealthChange = ReplicaEjected | ReplicaReinstated
QueryEnd = Answer | Reject | Fail
Action = (
    Send
    | Cancel
    | CloseIdle
    | QueryEnd
    | SetTimer
    | WatchMembership
    | AcceptQueries
    | SendToPeers
    | LogMessage
    | ReplicaHealthChange
)
