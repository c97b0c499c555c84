"""What the co-ordinator's driver is handed and what it hands back. Times: seconds on one monotonic clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from math import inf
from typing import Any, NamedTuple, Protocol

from gingervane import interface as api


# Seconds that a further attempt may leave after it was decided, the last byte of its frame included. The module is
# told so, and keeps budgets and windows by so much, as they hold for what leaves the sockets.
MAX_SEND_DELAY = 0.05


class Codec(Protocol):
    """How parts of one protocol travel to a replica in one call. Free of I/O; called from sending threads."""

    def encode(self, contents: list[Any], seconds_left: list[float], address: tuple[str, int]) -> bytes:
        """The whole request for these parts. `seconds_left`: of each; where a request has one time for all of them,
        it is the least, so that no replica is told more time than a client has."""

    def result_size(self, result: Any) -> int:
        """Bytes that a result holds in memory, roughly."""


class HttpCodec(Codec, Protocol):
    """Where a call is one request on a connection of its own, and its reply holds a result for each part."""

    def decode(
        self, contents: list[Any], status: int, header: Callable[[str], str], body: bytes
    ) -> list[Any]:
        """A result for each part; raises BadReply for a reply that may not count."""


class InvalidReply(Exception):
    """A replica's reply that does not count, and why. `proven_idle`: it says that nothing was begun."""

    def __init__(self, what: str, proves_not_executed: bool = False, overloaded: bool = False) -> None:
        super().__init__(what)
        self.proves_not_executed, self.overloaded = proves_not_executed, overloaded


class PartPlan(NamedTuple):
    """One part of a query: what to ask the holders of a shard, and its share of the whole answer.

    `most_runs`: attempts that may run, for parts whose attempts were granted from above; the driver holds back what
    would be one more. `by_run`: contents by how many attempts had run or were out before, in place of `content`.
    """

    shard: int
    weight: float
    content: Any
    max_executions: int | None = None
    content_by_execution: tuple[Any, ...] = ()


# The parts of a class's second step, of the first step's results (by index in the plan) and whether it was whole.
SecondStep = Callable[[dict[int, Any], bool], tuple[PartPlan, ...]]


@dataclass(frozen=True)
class QueryPlan:
    """A query that a front has read. `deadline`: when the client's time is up. `tag`: for logs.

    `is_repeat`: the client says that it asked before. `predicted_cost`: seconds of work, 0 where nothing tells.
    `second_step`: for classes that have one; called on the decision thread as the first step ends.
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
    CLIENT_DISCONNECTED = "left"  # the client went; nobody is there to answer


class AttemptRecord(NamedTuple):
    """One attempt in a query's path, for logs, tables and the client's tool."""

    shard: int
    attempt: int
    replica: int
    outcome: str
    seconds: float
    earlier_executions: int = 0  # attempts that had run or were out before it
    never_ran: bool = False


@dataclass
class QueryResult:
    """The one end of a query. `results`: by index of the plan's parts, of those that are in.

    After a second step they are that step's, whose indexes go on after the plan's. `marked_whole`: the module's
    word, which a class's `whole_share` may let it give with a part missing.
    """

    status: QueryStatus
    results: dict[int, Any] = field(default_factory=dict)
    retry_after: float = 0.0
    detail: str = ""
    attempts: list[AttemptRecord] = field(default_factory=list)
    coverage: float = 0.0  # share of the weight that is in
    result_bytes: int = 0
    marked_complete: bool = False
    reason: api.QueryEndReason = api.QueryEndReason.UNSTATED
    step: int = 1  # in which it ended
    parts_requested: int = 0  # parts of that step
    parts_received: int = 0  # of those, answered; also where the verdict gives no results


# Where a query's one final answer goes. Called once, on the decision thread; must not block.
ResultCallback = Callable[[QueryResult], None]


# ---- what the driver takes


class QuerySubmitted(NamedTuple):
    id: int
    plan: QueryPlan
    on_result: ResultCallback


class AttemptFinished(NamedTuple):
    """A call's word on one of its attempts. `ended_at` is stamped where it was seen, not where it is read."""

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
    """A membership list, and where its replicas are reached."""

    membership: api.MembershipChanged
    addresses: dict[int, tuple[str, int]]


class Shutdown(NamedTuple):
    """End all that is held: refused where that is harmless, else failed."""


class PeerMessageReceived(NamedTuple):
    """A message from another co-ordinator, by its number in the settings."""

    sender: int
    payload: bytes


Input = (
    QuerySubmitted | AttemptFinished | ClientDisconnected | EndpointsUpdated | Shutdown | PeerMessageReceived
)


# ---- what the driver asks for


class AttemptRequest:
    """One attempt as a member of a call.

    Whether it goes out is settled by `claim`, which is true for its first caller alone: the sender claims it just
    before it writes, the driver when it ends the attempt on its own. So what the driver ended first never leaves,
    and an ending that the driver makes can prove that nothing had left.
    """

    __slots__ = ("part", "attempt", "content", "semantics", "expires_at", "_unclaimed")

    def __init__(
        self,
        part: int,
        attempt: int,
        content: Any,
        semantics: api.RetrySafety,
        expires_at: float = inf,
    ) -> None:
        """`stop_at`: when its own client's time is up; the call's is the latest of its errands'."""
        self.part, self.attempt, self.content, self.semantics = part, attempt, content, semantics
        self.expires_at = expires_at
        self._unclaimed = deque((True,))

    def claim(self) -> bool:
        try:
            return self._unclaimed.pop()
        except IndexError:
            return False


@dataclass
class BatchRequest:
    """Parts that travel to one replica in one request. `token` is the I/O side's own; `decided_at`: see `go`."""

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
        """Claim what may leave now, just before it is written: the errands that do, and those that may not any more.

        Budgets and windows were counted from the decision. A first attempt that waited for a sender is only late; a
        further one that waited longer than `HAND_OVER` was allowed for another moment, and ends as never sent.
        """
        claimed = [errand for errand in self.attempts if errand.claim()]
        late = self.is_send_overdue(now)
        return (
            [errand for errand in claimed if not (late and errand.attempt)],
            [errand for errand in claimed if late and errand.attempt],
        )

    def seconds_left(self, attempts: list[AttemptRequest], now: float) -> list[float]:
        """Of each of its errands, which are parts of different queries: what its replica may be told."""
        return [min(errand.expires_at, self.expires_at) - now for errand in attempts]

    def is_send_overdue(self, now: float) -> bool:
        """Whether no byte of a further attempt may leave any more."""
        return now - self.decided_at > MAX_SEND_DELAY


class StartRequest(NamedTuple):
    request: BatchRequest


class CancelRequest(NamedTuple):
    """Nobody waits for this call any more: shut its connection."""

    request: BatchRequest


class AbandonAttempt(NamedTuple):
    """Nobody waits for this errand any more, which had been claimed; others of its call may be waited for.

    `tell`: whether its replica may be told. Where it may not, what has left as a whole goes on there; a frame of
    which only a part has left must not be finished all the same. `over`: its time has passed, so that its ending is
    not reported any more.
    """

    request: BatchRequest
    attempt: AttemptRequest
    notify_replica: bool
    expired: bool


class CloseIdleConnections(NamedTuple):
    address: tuple[str, int]


class CompleteQuery(NamedTuple):
    on_result: ResultCallback
    result: QueryResult
    id: int


class LogMessage(NamedTuple):
    """A line for the log."""

    text: str


class ReplicaHealthChanged(NamedTuple):
    """A replica was ejected or reinstated: a line for the log."""

    change: api.ReplicaHealthChange


class WatchMembership(NamedTuple):
    """Ask for membership changes to be pushed from now on."""


class SendToPeers(NamedTuple):
    """A message to every other co-ordinator."""

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
