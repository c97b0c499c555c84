"""The traffic that the rig's sockets sent and received. Times are of the monotonic clock, which all processes share.

A thread of the rig may stall between an event and its record. The table says how each record is timed, and which
violations a stall can therefore hide from the judge; none can make up a violation. The result of a run has its
longest stall (`StallMeter`).

| record | its time is taken | a stall can hide |
| --- | --- | --- |
| `PartReceived` | by the kernel; exact for the last part of one read | a part that is late by less than the stall |
| `AnswerForwarded` | before the last byte is sent | a node that uses an answer too early, which it cannot make up |
| `ListWritten.at` | after the last byte was handed to the kernel | a part sent within the stall after the grace |
| `ListWritten.called_at` | by the kernel, when the call arrives | nothing |
| `EndpointChange` | before discovery sends it to any node | nothing: nodes are notified when the list is written |
| `Request.sent_at` | after the last byte was handed to the kernel | an answer late or a timeout long, by less |
| `Request.answered_at` | by the kernel | nothing |
| `Request.disconnected_at` | after the close | parts sent within the stall |
| `pauses` | before SIGSTOP and after SIGCONT | parts sent in the stall, which counts as part of the pause |
| `NodeRun` | before the start and before the signal | a request that ends within 0.05 s of a kill |
"""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from math import inf
from threading import Lock


@dataclass(frozen=True)
class PartReceived:
    """The last byte of a part's frame arrived from a node between `earliest` and `at`.

    The time is exact if the two are equal. If not, the first byte of the same read had woken the reader by
    `woke_at`, which a stall of the rig may have delayed. `id` and `timeout` (seconds) are as the node sent them.
    """

    at: float
    earliest: float
    woke_at: float
    node: int
    replica: int
    id: str
    shard: int
    timeout: float
    fields: dict[str, str]


@dataclass(frozen=True)
class AnswerForwarded:
    """The last byte of an answer's frame is about to be sent to a node."""

    at: float
    replica: int
    id: str
    end: str
    value: str


@dataclass
class Request:
    """One request of a client. `sent_at`: its last byte; `disconnected_at`: the client closed before an answer."""

    id: str
    node: int
    query_class: int
    weights: dict[int, float]
    timeout: float
    connected_at: float = 0.0  # when its connection was established
    sent_at: float = 0.0
    disconnected_at: float | None = None
    status: int = 0  # 0: no answer
    answered_at: float = 0.0
    full: bool = False
    pieces: dict[int, str] = field(default_factory=dict)
    ended: str = ""  # the error with which it ended, if there was no answer


@dataclass(frozen=True)
class EndpointChange:
    """A replica's health changed in discovery's list, which thereby got this version."""

    at: float
    replica: int
    health: str
    version: int


@dataclass(frozen=True)
class ListWritten:
    """The last byte of a list, or of the changes up to a version, was handed to the kernel to be sent to a node.

    `called_at`: when the kernel received the call that it answers. The calling process may have ended since.
    """

    at: float
    node: int
    version: int
    called_at: float


@dataclass(frozen=True)
class FaultInjected:
    """A fault was injected in a replica (`node` is None) or on the link from one node to it."""

    at: float
    node: int | None
    replica: int


@dataclass
class NodeRun:
    """One process of a node, from start to end. `known_version`: version of the list in its configuration."""

    node: int
    started_at: float
    known_version: int
    terminated_at: float = inf  # SIGTERM
    killed_at: float = inf  # SIGKILL
    peak_memory_mb: float = 0.0

    def covers(self, at: float) -> bool:
        return self.started_at <= at <= self.killed_at


@dataclass
class Ledger:
    """All records of one run, each kind in the order of recording."""

    parts: list[PartReceived] = field(default_factory=list)
    answers: list[AnswerForwarded] = field(default_factory=list)
    requests: list[Request] = field(default_factory=list)
    faults: dict[str, int] = field(default_factory=dict)
    injected: list[FaultInjected] = field(default_factory=list)
    endpoint_changes: list[EndpointChange] = field(default_factory=list)
    lists: list[ListWritten] = field(default_factory=list)
    discovery_began_at: float = 0.0  # times of discovery's faults count from here
    pauses: list[tuple[float, float, int]] = field(default_factory=list)  # time of SIGSTOP, of SIGCONT, node
    runs: list[NodeRun] = field(default_factory=list)
    longest_stall: float = 0.0  # of the rig, in seconds
    _lock: Lock = field(default_factory=Lock)

    def record(self, record: PartReceived | AnswerForwarded | Request | ListWritten) -> None:
        with self._lock:
            match record:
                case PartReceived():
                    self.parts.append(record)
                case AnswerForwarded():
                    self.answers.append(record)
                case Request():
                    self.requests.append(record)
                case ListWritten():
                    self.lists.append(record)

    def run_of(self, node: int, at: float) -> NodeRun:
        """Return the process of a node at a time: the last one started before it."""
        return max(
            (run for run in self.runs if run.node == node and run.started_at <= at),
            key=lambda run: run.started_at,
        )

    def count_fault(self, kind: str) -> None:
        with self._lock:
            self.faults[kind] = self.faults.get(kind, 0) + 1

    def record_fault(self, kind: str, replica: int, node: int | None = None) -> None:
        """Count a fault of a replica or a link, and record the time of its injection."""
        self.count_fault(kind)
        with self._lock:
            self.injected.append(FaultInjected(time.monotonic(), node, replica))
