"""Inputs and effects of the coordinator's driver. Times are seconds on one monotonic clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from math import inf
from typing import Any, NamedTuple, Protocol

from gingervane import interface as api

# Seconds after its decision by which a retry or hedged request must have been sent, the last byte of its frame
# included. The decision module knows it and keeps its budgets and windows tighter by as much, as they hold for what
# leaves the sockets.
MAX_SEND_DELAY = 0.05


class Codec(Protocol):
    """Encodes parts of one protocol as one request to a replica. Free of I/O; called from sending threads."""

    def encode(self, contents: list[Any], seconds_left: list[float], address: tuple[str, int]) -> bytes:
        """Return the whole request for these parts.

        `seconds_left`: of each. Where a request has one time for all of them, it is the least, so that no replica is
        told more time than a client has.
        """

    def result_size(self, result: Any) -> int:
        """Return roughly the bytes that a result takes in memory."""


class HttpCodec(Codec, Protocol):
    """A codec whose batch is one request on a connection of its own, with a result for each part in the reply."""

    def decode(
        self, contents: list[Any], status: int, header: Callable[[str], str], body: bytes
    ) -> list[Any]:
        """Return a result for each part; raises `InvalidReply` for a reply that does not count."""


class InvalidReply(Exception):
    """A reply of a replica that does not count, and why.

    `proves_not_executed`: it says that nothing was begun. `overloaded`: the replica rejected it for want of capacity.
    """

    def __init__(self, detail: str, proves_not_executed: bool = False, overloaded: bool = False) -> None:
        super().__init__(detail)
        self.proves_not_executed, self.overloaded = proves_not_executed, overloaded


class PartPlan(NamedTuple):
    """One part of a query: what to ask the replicas of a shard, and its share of the complete answer.

    `max_executions`: attempts that may run, for parts with a quota of attempts; the driver withholds any more.
    `content_by_execution`: contents by how many attempts had run or were in flight before, in place of `content`.
    """

    shard: int
    weight: float
    content: Any
    max_executions: int | None = None
    content_by_execution: tuple[Any, ...] = ()


# Makes the parts of a second step from the results of the first (by index in the plan) and whether it was complete.
SecondStep = Callable[[dict[int, Any], bool], tuple[PartPlan, ...]]


@dataclass(frozen=True)
class QueryPlan:
    """A query that a front has read. `deadline`: when the client's time is up. `tag`: for logs.

    `is_client_retry`: the client says that it sent the query before. `predicted_cost`: seconds of work, 0 where it is
    not known. `second_step`: for classes that have one; called on the decision thread as the first step ends.
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
    """How a query ended."""

    COMPLETE = "whole"
    PARTIAL = "short"
    REJECTED = "refused"
    FAILED = "failed"
    CLIENT_DISCONNECTED = "left"  # nobody is there to answer


class AttemptRecord(NamedTuple):
    """One ended attempt of a query, for logs, tables and the client's tool."""

    shard: int
    attempt: int
    replica: int
    outcome: str
    seconds: float
    earlier_executions: int = 0  # attempts that had run or were in flight before it
    never_ran: bool = False


@dataclass
class QueryResult:
    """The one end of a query. `results`: of the parts that were received, by index in the plan.

    After a second step they are that step's, whose indexes go on after the plan's. `marked_complete`: as the decision
    module has it, which a class's `complete_coverage` may permit with a part missing.
    """

    status: QueryStatus
    results: dict[int, Any] = field(default_factory=dict)
    retry_after: float = 0.0
    detail: str = ""
    attempts: list[AttemptRecord] = field(default_factory=list)
    coverage: float = 0.0  # share of the weight that was received
    result_bytes: int = 0
    marked_complete: bool = False
    reason: api.QueryEndReason = api.QueryEndReason.UNSTATED
    step: int = 1  # the step in which it ended
    parts_requested: int = 0  # parts of that step
    parts_received: int = 0  # of those, answered; also where the status gives no results


# Takes the one result of a query. Called once, on the decision thread; must not block.
ResultCallback = Callable[[QueryResult], None]


# ---- inputs of the driver


class QuerySubmitted(NamedTuple):
    """A query has been admitted."""

    id: int
    plan: QueryPlan
    on_result: ResultCallback


class AttemptFinished(NamedTuple):
    """An attempt has ended. `finished_at` is stamped where the end was seen, not where it is read."""

    part: int
    attempt: int
    outcome: api.AttemptOutcome
    finished_at: float
    result: Any = None
    detail: str = ""


class ClientDisconnected(NamedTuple):
    """The client of a query has gone."""

    id: int


class EndpointsUpdated(NamedTuple):
    """A change of membership, and the addresses of its replicas."""

    membership: api.MembershipChanged
    addresses: dict[int, tuple[str, int]]


class WatchInterrupted(NamedTuple):
    """The watch of the endpoint list has ended or fallen silent, so many seconds after its last line."""

    silent_for: float


class Shutdown(NamedTuple):
    """End all open queries: rejected where a client may repeat them without harm, else failed."""


class PeerMessageReceived(NamedTuple):
    """A message from another coordinator, by its number in the settings."""

    sender: int
    payload: bytes


Input = (
    QuerySubmitted
    | AttemptFinished
    | ClientDisconnected
    | EndpointsUpdated
    | WatchInterrupted
    | Shutdown
    | PeerMessageReceived
)


# ---- effects of the driver


class AttemptRequest:
    """One attempt in a batch request.

    Whether it is sent is settled by `claim`, which is true for its first caller alone: the sender claims it just
    before it writes, the driver when it ends the attempt itself. So what the driver ended first is never sent, and an
    end that the driver makes can prove that nothing was sent.
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
        """`expires_at`: when the time of its own client is up; the batch expires with the last of its attempts."""
        self.part, self.attempt, self.content, self.retry_safety = part, attempt, content, retry_safety
        self.expires_at = expires_at
        self._unclaimed = deque((True,))

    def claim(self) -> bool:
        """Take the right to send it or to end it unsent; true for the first caller alone."""
        try:
            return self._unclaimed.pop()
        except IndexError:
            return False


@dataclass
class BatchRequest:
    """Attempts that go to one replica in one request.

    `transport_token` is the transport's own. `decided_at`: see `claim_sendable`.
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
        """Claim the attempts just before they are written: those to send, and those that are overdue.

        Budgets and windows were counted from the decision. A first attempt that waited for a sender is only late; a
        retry or hedged request that waited longer than `MAX_SEND_DELAY` was allowed for another moment, and ends as
        never sent.
        """
        claimed = [request for request in self.attempts if request.claim()]
        overdue = self.is_send_overdue(now)
        return (
            [request for request in claimed if not (overdue and request.attempt)],
            [request for request in claimed if overdue and request.attempt],
        )

    def seconds_left(self, attempts: list[AttemptRequest], now: float) -> list[float]:
        """Return the time left of each attempt, which may be of different queries, for its replica to know."""
        return [min(request.expires_at, self.expires_at) - now for request in attempts]

    def is_send_overdue(self, now: float) -> bool:
        """Whether no byte of a retry or hedged request may be sent any more."""
        return now - self.decided_at > MAX_SEND_DELAY


class StartRequest(NamedTuple):
    """Send a batch request."""

    request: BatchRequest


class CancelRequest(NamedTuple):
    """Cancel a batch request of which no attempt is waited for any more: shut its connection."""

    request: BatchRequest


class AbandonAttempt(NamedTuple):
    """Abandon a claimed attempt; others of its batch may still be waited for.

    `notify_replica`: whether its replica may be notified. Where it may not, what was sent as a whole goes on there;
    a frame of which only a part was sent must not be finished all the same. `expired`: its end is recorded already,
    so that none is to be reported.
    """

    request: BatchRequest
    attempt: AttemptRequest
    notify_replica: bool
    expired: bool


class CloseIdleConnections(NamedTuple):
    """Close the idle connections to an address."""

    address: tuple[str, int]


class CompleteQuery(NamedTuple):
    """Give a query its result."""

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
    """Have membership changes pushed from now on."""


class SendToPeers(NamedTuple):
    """Send a message to every other coordinator."""

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
    | SendToPeers
)
