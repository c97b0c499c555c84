"""What passed on the sockets, as the rig's own ends saw it. Times: the monotonic clock, which all processes share.

What each record is taken before or after decides what it can hide or invent where the rig's thread has to wait; for
how long it had to at most is told with each run (`StallMeter`).

| record | taken | so a wait can |
| --- | --- | --- |
| `PartReceived` | by the kernel; exact for the last of those read at once | hide one that is late by less |
| `AnswerForwarded` | before the last byte leaves | hide that a node had an answer too soon, which it cannot make up |
| `ListWritten.at` | after the last byte was handed over | hide a part sent within the wait after the grace |
| `ListWritten.called_at` | by the kernel, as the call comes | neither |
| `EndpointChange` | before discovery tells anybody | neither: what is told counts from the writing |
| `Request.sent_at` | after the last byte was handed over | hide an answer, or a time-out told, that is late by less |
| `Request.answered_at` | by the kernel | neither |
| `Request.disconnected_at` | after the close | hide parts that were sent within the wait |
| `pauses` | before SIGSTOP, after SIGCONT | excuse what came within the wait |
| `NodeRun` | before the start, before the signal | hide a request that ends within 0.05 s of a kill |
"""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from math import inf
from threading import Lock


@dataclass(frozen=True)
class PartReceived:
    """The last byte of a part's frame came from a node, at `at` or at some time between `earliest` and then.

    In that case the first byte that was read with it woke the reader at `woke_at`, later only by as long as the rig
    stood still. `id` as sent, `timeout` in seconds, as it was told.
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
    connected_at: float = 0.0  # when the connection came up that carried it
    sent_at: float = 0.0
    disconnected_at: float | None = None
    status: int = 0  # 0: none
    answered_at: float = 0.0
    full: bool = False
    pieces: dict[int, str] = field(default_factory=dict)
    ended: str = ""  # how it ended without a status


@dataclass(frozen=True)
class EndpointChange:
    """Discovery has a change of a replica's health, under a version of its list."""

    at: float
    replica: int
    health: str
    version: int


@dataclass(frozen=True)
class ListWritten:
    """The last byte of a list or a change, up to a version, was handed to the kernel towards a node.

    `called_at`: when the call came that it answers, by the kernel; the process that made it may have ended since.
    """

    at: float
    node: int
    version: int
    called_at: float


@dataclass(frozen=True)
class FaultInjected:
    """A replica, or the link of one node to it, did something wrong. `node`: None for all of them."""

    at: float
    node: int | None
    replica: int


@dataclass
class NodeRun:
    """One process of a node, from its start to its end. `known_version`: of the list in its configuration."""

    node: int
    started_at: float
    known_version: int
    terminated_at: float = inf  # SIGTERM
    killed_at: float = inf  # SIGKILL

    def covers(self, at: float) -> bool:
        return self.started_at <= at <= self.killed_at


@dataclass
class Ledger:
    """Everything, in the order in which it was written down."""

    parts: list[PartReceived] = field(default_factory=list)
    answers: list[AnswerForwarded] = field(default_factory=list)
    requests: list[Request] = field(default_factory=list)
    faults: dict[str, int] = field(default_factory=dict)
    injected: list[FaultInjected] = field(default_factory=list)
    endpoint_changes: list[EndpointChange] = field(default_factory=list)
    lists: list[ListWritten] = field(default_factory=list)
    discovery_began_at: float = 0.0  # zero of the clock of discovery's faults
    pauses: list[tuple[float, float, int]] = field(default_factory=list)  # SIGSTOP to SIGCONT, node
    runs: list[NodeRun] = field(default_factory=list)
    longest_stall: float = 0.0  # seconds for which the rig stood still at most
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
        """The process of a node at some moment: the last that had been started by then."""
        return max(
            (run for run in self.runs if run.node == node and run.started_at <= at),
            key=lambda run: run.started_at,
        )

    def count_fault(self, kind: str) -> None:
        with self._lock:
            self.faults[kind] = self.faults.get(kind, 0) + 1

    def record_fault(self, kind: str, replica: int, node: int | None = None) -> None:
        """Count a fault of a replica or a link, and note when it was injected."""
        self.count_fault(kind)
        with self._lock:
            self.injected.append(FaultInjected(time.monotonic(), node, replica))
