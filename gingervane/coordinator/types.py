"""Inputs and effects of the co-ordinator's driver. Times are seconds on one monotonic clock."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from math import inf
from typing import Any, NamedTuple, Protocol

from gingervane import interface as api

# Seconds from the decision to send a retry or hedged request until the last byte of its frame must have been written.
# Retry budgets and idempotency windows apply to what leaves the sockets, so the decision engine tightens both by this
# delay.
MAX_SEND_DELAY = 0.05


class Codec(Protocol):
    """Encodes parts as one request to a replica, in one protocol. Free of I/O; called on sender threads."""

    def encode(self, contents: list[Any], seconds_left: list[float], address: tuple[str, int]) -> bytes:
        """Return the encoded request for these parts.

        `seconds_left`: the remaining time of each part. A protocol with one timeout for the whole request sends the
        smallest, so that no replica is given more time than a client has.
        """

    def result_size(self, result: Any) -> int:
        """Return the approximate size of a result in memory, in bytes."""


class HttpCodec(Codec, Protocol):
    """A codec for requests that have a connection to themselves and a reply with one result for each part."""

    def decode(
        self, contents: list[Any], status: int, header: Callable[[str], str], body: bytes
    ) -> list[Any]:
        """Return one result for each part; raises `InvalidReply` if the reply holds no usable results."""


class InvalidReply(Exception):
    """A replica's reply holds no usable results.

    `proves_not_executed`: the reply states that nothing was executed. `overloaded`: the replica rejected the request
    for lack of capacity.
    """

    def __init__(self, detail: str, proves_not_executed: bool = False, overloaded: bool = False) -> None:
        super().__init__(detail)
        self.proves_not_executed, self.overloaded = proves_not_executed, overloaded


class PartPlan(NamedTuple):
    """One part of a query: the request content for the replicas of a shard, and the part's share of the answer.

    `max_executions`: how many attempts may run; the driver withholds further ones. None: no limit.
    `content_by_execution`: contents to use in place of `content`, indexed by the number of earlier attempts that have
    run or are in flight.
    """

    shard: int
    weight: float
    content: Any
    max_executions: int | None = None
    content_by_execution: tuple[Any, ...] = ()


# Builds the parts of the second step from the results of the first (by index in the plan) and whether that was
# complete.
SecondStep = Callable[[dict[int, Any], bool], tuple[PartPlan, ...]]


@dataclass(frozen=True)
class QueryPlan:
    """A query that a front has parsed. `deadline`: of its result. `tag`: names the query in logs.

    `is_client_retry`: the client states that it has sent the query before. `predicted_cost`: seconds of work, 0 if
    unknown. `second_step`: for classes with two steps; called on the decision thread when the first step ends.
    """

    query_class: int
    deadline: float
    parts: tuple[PartPlan, ...]
    codec: Codec
    tag: str = ""
    is_client_retry: bool = False
    predicted_cost: float = 0.0
    second_step: SecondStep | None = None


class QueryStatus(Enum):
    """Status of a completed query."""

    COMPLETE = "whole"
    PARTIAL = "short"
    REJECTED = "refused"
    FAILED = "failed"
    CLIENT_DISCONNECTED = "left"  # no reply is sent


class AttemptRecord(NamedTuple):
    """Summary of one ended attempt of a query, for logs, tables and the client's tool."""

    shard: int
    attempt: int
    replica: int
    outcome: str
    seconds: float
    earlier_executions: int = 0  # earlier attempts of the part that had run or were in flight
    never_ran: bool = False


@dataclass
class QueryResult:
    """The result of a query; each query gets exactly one.

    `results`: of the parts received, by index in the plan. After a second step they are the results of that step,
    whose indexes continue those of the plan. `marked_complete`: set by the decision engine; a class's
    `complete_coverage` may permit it with parts missing.
    """

    status: QueryStatus
    results: dict[int, Any] = field(default_factory=dict)
    retry_after: float = 0.0
    detail: str = ""
    attempts: list[AttemptRecord] = field(default_factory=list)
    coverage: float = 0.0  # received share of the total weight
    result_bytes: int = 0
    marked_complete: bool = False
    reason: api.QueryEndReason = api.QueryEndReason.UNSTATED
    step: int = 1  # the step in which the query ended
    parts_requested: int = 0  # parts of that step
    parts_received: int = 0  # answered parts of that step, also if the status carries no results
    may_have_run: bool = True  # false only if it is proved that no attempt of the query ran


# Receives the result of a query. Called exactly once, on the decision thread; must not block.
ResultCallback = Callable[[QueryResult], None]


# ---- inputs of the driver


class QuerySubmitted(NamedTuple):
    """A query has been admitted."""

    id: int
    plan: QueryPlan
    on_result: ResultCallback


class AttemptFinished(NamedTuple):
    """An attempt has ended. `finished_at`: when the end was observed, not when the driver handles it."""

    part: int
    attempt: int
    outcome: api.AttemptOutcome
    finished_at: float
    result: Any = None
    detail: str = ""


class ClientDisconnected(NamedTuple):
    """The client of a query has disconnected."""

    id: int


class EndpointsUpdated(NamedTuple):
    """Membership has changed; `addresses`: of the replicas in the change."""

    membership: api.MembershipChanged
    addresses: dict[int, tuple[str, int]]


class WatchInterrupted(NamedTuple):
    """The watch of the endpoint list has ended or stalled, `seconds_without_data` after its last line."""

    seconds_without_data: float


class DiscoveryAddressChanged(NamedTuple):
    """Discovery has another address, `seconds_without_data` after the last line of a watch at a previous one."""

    seconds_without_data: float


class DiscoveryContactChanged(NamedTuple):
    """Whether a call to discovery has been accepted and waits for its first list."""

    is_waiting: bool


class Shutdown(NamedTuple):
    """Complete all open queries: reject those that a client may safely retry, fail the others."""


class PeerMessageReceived(NamedTuple):
    """A message from another co-ordinator; `sender`: its number in the settings."""

    sender: int
    payload: bytes


Input = (
    QuerySubmitted
    | AttemptFinished
    | ClientDisconnected
    | EndpointsUpdated
    | WatchInterrupted
    | DiscoveryAddressChanged
    | DiscoveryContactChanged
    | Shutdown
    | PeerMessageReceived
)


# ---- effects of the driver


class AttemptRequest:
    """One attempt in a batch request.

    `claim` decides whether the attempt is sent: it returns true to its first caller only. The sender claims the
    attempt just before writing it, the driver when it ends the attempt itself. An attempt that the driver has claimed
    is never sent, which lets the driver report that it did not run.
    """

    __slots__ = ("_unclaimed", "attempt", "content", "expires_at", "part", "retry_safety")

    def __init__(
        self,
        part: int,
        attempt: int,
        content: Any,
        retry_safety: api.RetrySafety,
        expires_at: float = inf,
    ) -> None:
        """`expires_at`: the deadline of this attempt; the batch expires with the last of its attempts."""
        self.part, self.attempt, self.content, self.retry_safety = part, attempt, content, retry_safety
        self.expires_at = expires_at
        self._unclaimed = [True]  # popping it is atomic

    def claim(self) -> bool:
        """Claim the right to send the attempt or to end it unsent; true for the first caller only."""
        try:
            return self._unclaimed.pop()
        except IndexError:
            return False


@dataclass
class BatchRequest:
    """Attempts that go to one replica in one request.

    `transport_token`: private to the transport. `decided_at`: when its attempts were decided, see `claim_sendable`.
    """

    id: int
    replica: int
    address: tuple[str, int]
    codec: Codec
    attempts: list[AttemptRequest]
    expires_at: float
    open_attempts: int = 0
    transport_token: Any = None
    decided_at: float = 0.0

    def claim_sendable(self, now: float) -> tuple[list[AttemptRequest], list[AttemptRequest]]:
        """Claim the attempts just before they are written; return those to send and those that are overdue.

        Budgets and windows were checked at the decision. A first attempt is sent however long it waited for a sender;
        a retry or hedged request that waited longer than `MAX_SEND_DELAY` might exceed them, and ends as never sent.
        """
        claimed = [request for request in self.attempts if request.claim()]
        overdue = self.is_send_overdue(now)
        return (
            [request for request in claimed if not (overdue and request.attempt)],
            [request for request in claimed if overdue and request.attempt],
        )

    def seconds_left(self, attempts: list[AttemptRequest], now: float) -> list[float]:
        """Return the remaining time of each attempt, to be sent to the replica."""
        return [min(request.expires_at, self.expires_at) - now for request in attempts]

    def is_send_overdue(self, now: float) -> bool:
        """Whether it is too late to send any byte of a retry or hedged request."""
        return now - self.decided_at > MAX_SEND_DELAY


class StartRequest(NamedTuple):
    """Send a batch request."""

    request: BatchRequest


class CancelRequest(NamedTuple):
    """Cancel a batch request none of whose attempts is open any more: shut its connection."""

    request: BatchRequest


class AbandonAttempt(NamedTuple):
    """Abandon a claimed attempt; other attempts of its batch may still be open.

    `notify_replica`: whether a cancellation may be sent to the replica. If not, an attempt whose frame was sent
    completely runs on there, but a partly sent frame must still not be completed. `expired`: the end of the attempt
    is already recorded, and the transport must not report another.
    """

    request: BatchRequest
    attempt: AttemptRequest
    notify_replica: bool
    expired: bool


class CloseIdleConnections(NamedTuple):
    """Close the idle connections to an address."""

    address: tuple[str, int]


class CompleteQuery(NamedTuple):
    """Pass a query's result to its callback."""

    on_result: ResultCallback
    result: QueryResult
    id: int


class LogMessage(NamedTuple):
    """Write a line to the log."""

    text: str


class ReplicaHealthChanged(NamedTuple):
    """Log that a replica was ejected or reinstated."""

    change: api.ReplicaHealthChange


class WatchMembership(NamedTuple):
    """Watch membership: discovery pushes its changes from now on."""


class AcceptQueries(NamedTuple):
    """Tell the platform that this co-ordinator is ready; `cached_list_age` as in the engine's action."""

    cached_list_age: float | None


class SendToPeers(NamedTuple):
    """Send a message to every other co-ordinator."""

    payload: bytes


Effect = (
    StartRequest
    | CancelRequest
    | AbandonAttempt
    | CloseIdleConnections
    | CompleteQuery
    | LogMessage
    | ReplicaHealthChanged
    | WatchMembership
    | AcceptQueries
    | SendToPeers
)
