"""What passed on the sockets, as the rig's own ends saw it. Times: the monotonic clock, which all processes share."""

from __future__ import annotations

from dataclasses import dataclass, field
from threading import Lock


@dataclass(frozen=True)
class PartReceived:
    """The last byte of a part's frame was read from a node. `id` as sent, `wait` in seconds, as it was told."""

    at: float
    node: int
    replica: int
    id: str
    shard: int
    timeout: float
    fields: dict[str, str]


@dataclass(frozen=True)
class AnswerForwarded:
    """The last byte of an answer's frame was handed to the kernel towards a node."""

    at: float
    replica: int
    id: str
    end: str
    value: str


@dataclass
class Request:
    """One request of a client. `sent_at`: its last byte; `left_at`: the client closed before an answer."""

    id: str
    node: int
    query_class: int
    weights: dict[int, float]
    timeout: float
    sent_at: float = 0.0
    disconnected_at: float | None = None
    status: int = 0  # 0: none
    answered_at: float = 0.0
    full: bool = False
    pieces: dict[int, str] = field(default_factory=dict)
    ended: str = ""  # how it ended without a status


@dataclass
class Ledger:
    """Everything, in the order in which it was written down."""

    parts: list[PartReceived] = field(default_factory=list)
    answers: list[AnswerForwarded] = field(default_factory=list)
    requests: list[Request] = field(default_factory=list)
    faults: dict[str, int] = field(default_factory=dict)
    endpoint_changes: list[tuple[float, int, str]] = field(
        default_factory=list
    )  # list changes: when, replica, health
    pauses: list[tuple[float, float, int]] = field(default_factory=list)  # SIGSTOP to SIGCONT, node
    ending: dict[int, float] = field(default_factory=dict)  # SIGTERM or SIGKILL, by node
    killed: set[int] = field(default_factory=set)
    _lock: Lock = field(default_factory=Lock)

    def record(self, record: PartReceived | AnswerForwarded | Request) -> None:
        with self._lock:
            match record:
                case PartReceived():
                    self.parts.append(record)
                case AnswerForwarded():
                    self.answers.append(record)
                case Request():
                    self.requests.append(record)

    def count_fault(self, kind: str) -> None:
        with self._lock:
            self.faults[kind] = self.faults.get(kind, 0) + 1
