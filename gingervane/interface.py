"""Types that the decision module deals in: its settings, its events and its actions.

Nothing here decides anything, and nothing here has a default: a host fills in every field, so that
whoever reads `policy.py` finds every tuned value there. Times are seconds of the host's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import inf
from typing import NamedTuple


class Semantics(Enum):
    """What a repeat of a part may do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class ReplicaState(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How a membership event relates to the list held so far."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class Outcome(Enum):
    """How one attempt ended."""

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
        """Whether this ending proves that the part had no effect: a fact of the protocol, not a choice."""
        return self in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NEVER_SENT)


class EjectionReason(Enum):
    """Why a replica was ejected from selection for a while."""

    ERROR = Outcome.ERROR.value
    REJECTED = Outcome.REJECTED.value
    TIMED_OUT = Outcome.TIMED_OUT.value
    CONNECT_FAILED = Outcome.CONNECT_FAILED.value
    RESET = Outcome.RESET.value
    SILENCE = "silence"
    LOST_TO_HEDGE = "overtaken by a copy"
    PEER_REPORTS = "peer reports"


class EndReason(Enum):
    """Why a query ended as it did: the closed set that logs and counters use.

    The decision module gives the first group, its host the second.
    """

    UNSTATED = "unstated"
    ALL_PARTS = "all parts in"
    WHOLE_SHARE = "whole share in"
    SHORT_AT_AIM = "short at the aim"
    SHORT_NO_MORE = "short, no further part can come"
    SHORT_AT_DEADLINE = "short at the deadline"
    DEADLINE = "deadline"
    PARTS_LOST = "too many parts lost"
    NO_REPLICA = "no replica may be asked"
    OVERLOAD = "load shedding"

    SHUTDOWN = "shutdown"
    CLIENT_LEFT = "client left"
    NOT_COVERED = "answer check failed"
    INTERNAL = "internal error"


class QueryClass(NamedTuple):
    aim: float
    deadline: float
    semantics: Semantics
    repeat_window: float | None
    second_step_parts: int
    least_share: float
    whole_share: float
    aim_stretch: float | None
    late_worth: float  # share of the worth after the aim
    short_worth: float  # of an answer not marked whole: this times its share of what a whole one needs


class Settings(NamedTuple):
    """What a co-ordinator is told once, when it starts. `None`: the site does not have it."""

    coordinators: int
    zone: int
    classes: tuple[QueryClass, ...]
    tenant_quotas: tuple[float | None, ...]
    granularity: float
    cells: int
    width: int
    parts_per_call: int
    most_attempts: int
    may_cancel: bool
    may_message_peers: bool
    may_copy: bool
    may_advise_wait: bool
    longest_wait_advice: float
    must_ask_membership: bool
    start_capacity: float
    ramp_time: float
    fall_time: float
    fall_multiple: float  # of what a cold replica can do: sent more for `fall_time`, it falls over
    budget_free: float | None
    budget_share: float | None
    budget_span: float | None
    hand_over: float = 0.0  # seconds by which an attempt may leave later than it was decided, at most
    drain_grace: float = inf  # seconds from being told that a replica drains in which it may still be sent to


class Replica(NamedTuple):
    """One line of the membership list."""

    id: int
    cell: int
    zone: int
    weight: float
    state: ReplicaState
    started_at: float


class MembershipChanged(NamedTuple):
    kind: ListKind
    replicas: tuple[Replica, ...]


class QueryArrived(NamedTuple):
    """A query; `part_count` parts follow in the same batch."""

    id: int
    number: int
    query_class: int
    tenant: int
    part_count: int
    expires_at: float
    is_repeat: bool
    predicted_cost: float


class PartArrived(NamedTuple):
    id: int
    query_number: int
    shard: int
    weight: float


class AttemptEnded(NamedTuple):
    part: int
    attempt: int
    replica: int
    outcome: Outcome
    latency: float


class ProbeEnded(NamedTuple):
    replica: int
    outcome: Outcome
    latency: float
    load: tuple[float, ...]


class QueryExpired(NamedTuple):
    id: int


class TimerFired(NamedTuple):
    label: int


class PeerMessage(NamedTuple):
    sender: int
    payload: bytes


Event = (
    MembershipChanged
    | QueryArrived
    | PartArrived
    | AttemptEnded
    | ProbeEnded
    | QueryExpired
    | TimerFired
    | PeerMessage
)


class Send(NamedTuple):
    """Ask a replica for a part; the attempt times out at `stop_at`."""

    part: int
    replica: int
    stop_at: float


class Cancel(NamedTuple):
    part: int
    attempt: int


class CloseIdle(NamedTuple):
    """Shut the idle connections to a replica; what is sent next opens a new one."""

    replica: int


@dataclass(frozen=True, slots=True)
class Answer:
    """End the present step with the parts that are in. `reason` takes no part in comparisons."""

    query: int
    whole: bool
    reason: EndReason = field(default=EndReason.UNSTATED, compare=False)


@dataclass(frozen=True, slots=True)
class Refuse:
    """Trying again is harmless; `come_again_in` (seconds) of 0 gives no advice."""

    query: int
    come_again_in: float
    reason: EndReason = field(default=EndReason.UNSTATED, compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """End the query without an answer and without a promise."""

    query: int
    reason: EndReason = field(default=EndReason.UNSTATED, compare=False)


class SetTimer(NamedTuple):
    delay: float
    label: int


class Subscribe(NamedTuple):
    """Ask for membership changes to be pushed from now on."""


class TellPeers(NamedTuple):
    """A message to every other co-ordinator; it may be lost."""

    payload: bytes


class Remark(NamedTuple):
    """A line for the operators' log."""

    text: str


class ReplicaEjected(NamedTuple):
    """A replica's state change, for the log: out of selection for `seconds`."""

    replica: int
    seconds: float
    reason: EjectionReason


class ReplicaReinstated(NamedTuple):
    """A replica's state change, for the log: back in selection."""

    replica: int


HealthChange = ReplicaEjected | ReplicaReinstated
Ending = Answer | Refuse | Fail
Action = Send | Cancel | CloseIdle | Ending | SetTimer | Subscribe | TellPeers | Remark | HealthChange
