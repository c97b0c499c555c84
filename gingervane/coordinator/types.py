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
HAND_OVER = 0.05


class Travel(Protocol):
    """How parts of one protocol travel to a replica in one call. Free of I/O; called from sending threads."""

    def write(self, contents: list[Any], seconds_left: list[float], address: tuple[str, int]) -> bytes:
        """The whole request for these parts. `seconds_left`: of each; where a request has one time for all of them,
        it is the least, so that no replica is told more time than a client has."""

    def size(self, result: Any) -> int:
        """Bytes that a result holds in memory, roughly."""


class Exchange(Travel, Protocol):
    """Where a call is one request on a connection of its own, and its reply holds a result for each part."""

    def read(self, contents: list[Any], status: int, header: Callable[[str], str], body: bytes) -> list[Any]:
        """A result for each part; raises BadReply for a reply that may not count."""


class BadReply(Exception):
    """A replica's reply that does not count, and why. `proven_idle`: it says that nothing was begun."""

    def __init__(self, what: str, proven_idle: bool = False, overloaded: bool = False) -> None:
        super().__init__(what)
        self.proven_idle, self.overloaded = proven_idle, overloaded


class PartPlan(NamedTuple):
    """One part of a query: what to ask the holders of a shard, and its share of the whole answer.

    `most_runs`: attempts that may run, for parts whose attempts were granted from above; the driver holds back what
    would be one more. `by_run`: contents by how many attempts had run or were out before, in place of `content`.
    """

    shard: int
    weight: float
    content: Any
    most_runs: int | None = None
    by_run: tuple[Any, ...] = ()


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
    exchange: Travel
    tag: str = ""
    is_repeat: bool = False
    predicted_cost: float = 0.0
    second_step: SecondStep | None = None


class Verdict(Enum):
    """How a query ended."""

    WHOLE = "whole"
    SHORT = "short"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "left"  # the client went; nobody is there to answer


class AttemptNote(NamedTuple):
    """One attempt in a query's path, for logs, tables and the client's tool."""

    shard: int
    attempt: int
    replica: int
    outcome: str
    seconds: float
    run: int = 0  # attempts that had run or were out before it
    never_ran: bool = False


@dataclass
class Final:
    """The one end of a query. `results`: by index of the plan's parts, of those that are in.

    After a second step they are that step's, whose indexes go on after the plan's. `marked_whole`: the module's
    word, which a class's `whole_share` may let it give with a part missing.
    """

    verdict: Verdict
    results: dict[int, Any] = field(default_factory=dict)
    come_again_in: float = 0.0
    why: str = ""
    path: list[AttemptNote] = field(default_factory=list)
    coverage: float = 0.0  # share of the weight that is in
    held_bytes: int = 0
    marked_whole: bool = False
    reason: api.EndReason = api.EndReason.UNSTATED
    step: int = 1  # in which it ended
    asked: int = 0  # parts of that step
    parts_in: int = 0  # of those, answered; also where the verdict gives no results


# Where a query's one final answer goes. Called once, on the decision thread; must not block.
Settled = Callable[[Final], None]


# ---- what the driver takes


class Arrived(NamedTuple):
    id: int
    plan: QueryPlan
    settled: Settled


class Ended(NamedTuple):
    """A call's word on one of its attempts. `ended_at` is stamped where it was seen, not where it is read."""

    part: int
    attempt: int
    outcome: api.Outcome
    ended_at: float
    result: Any = None
    why: str = ""


class Left(NamedTuple):
    """The client of a query has gone."""

    id: int


class Listed(NamedTuple):
    """A membership list, and where its replicas are reached."""

    event: api.MembershipChanged
    addresses: dict[int, tuple[str, int]]


class Shutdown(NamedTuple):
    """End all that is held: refused where that is harmless, else failed."""


class Heard(NamedTuple):
    """A message from another co-ordinator, by its number in the settings."""

    sender: int
    payload: bytes


Input = Arrived | Ended | Left | Listed | Shutdown | Heard


# ---- what the driver asks for


class Errand:
    """One attempt as a member of a call.

    Whether it goes out is settled by `claim`, which is true for its first caller alone: the sender claims it just
    before it writes, the driver when it ends the attempt on its own. So what the driver ended first never leaves,
    and an ending that the driver makes can prove that nothing had left.
    """

    __slots__ = ("part", "attempt", "content", "semantics", "stop_at", "_unclaimed")

    def __init__(
        self,
        part: int,
        attempt: int,
        content: Any,
        semantics: api.Semantics,
        stop_at: float = inf,
    ) -> None:
        """`stop_at`: when its own client's time is up; the call's is the latest of its errands'."""
        self.part, self.attempt, self.content, self.semantics = part, attempt, content, semantics
        self.stop_at = stop_at
        self._unclaimed = deque((True,))

    def claim(self) -> bool:
        try:
            return self._unclaimed.pop()
        except IndexError:
            return False


@dataclass
class Call:
    """Parts that travel to one replica in one request. `token` is the I/O side's own; `decided_at`: see `go`."""

    id: int
    replica: int
    address: tuple[str, int]
    exchange: Travel
    errands: list[Errand]
    stop_at: float
    live: int = 0
    token: Any = None
    decided_at: float = 0.0

    def go(self, now: float) -> tuple[list[Errand], list[Errand]]:
        """Claim what may leave now, just before it is written: the errands that do, and those that may not any more.

        Budgets and windows were counted from the decision. A first attempt that waited for a sender is only late; a
        further one that waited longer than `HAND_OVER` was allowed for another moment, and ends as never sent.
        """
        claimed = [errand for errand in self.errands if errand.claim()]
        late = self.is_late(now)
        return (
            [errand for errand in claimed if not (late and errand.attempt)],
            [errand for errand in claimed if late and errand.attempt],
        )

    def seconds_left(self, errands: list[Errand], now: float) -> list[float]:
        """Of each of its errands, which are parts of different queries: what its replica may be told."""
        return [min(errand.stop_at, self.stop_at) - now for errand in errands]

    def is_late(self, now: float) -> bool:
        """Whether no byte of a further attempt may leave any more."""
        return now - self.decided_at > HAND_OVER


class Start(NamedTuple):
    call: Call


class CallOff(NamedTuple):
    """Nobody waits for this call any more: shut its connection."""

    call: Call


class Withdraw(NamedTuple):
    """Nobody waits for this errand any more, which had been claimed; others of its call may be waited for.

    `tell`: whether its replica may be told. Where it may not, what has left as a whole goes on there; a frame of
    which only a part has left must not be finished all the same. `over`: its time has passed, so that its ending is
    not reported any more.
    """

    call: Call
    errand: Errand
    tell: bool
    over: bool


class DropIdle(NamedTuple):
    address: tuple[str, int]


class Settle(NamedTuple):
    settled: Settled
    final: Final
    id: int


class Note(NamedTuple):
    """A line for the log."""

    text: str


class HealthChanged(NamedTuple):
    """A replica was ejected or reinstated: a line for the log."""

    change: api.HealthChange


class Subscribe(NamedTuple):
    """Ask for membership changes to be pushed from now on."""


class Tell(NamedTuple):
    """A message to every other co-ordinator."""

    payload: bytes


Effect = Start | CallOff | Withdraw | DropIdle | Settle | Note | HealthChanged | Subscribe | Tell
