"""Types for connections to replicas: limits, close reasons, results, and the encoding of parts in frames."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from gingervane.coordinator import types as t
from gingervane.wire import frames

_RESULT_BYTES = 100  # size at which each result counts towards the limit on all results
CELL_BYTES = 16  # length of a replica's value
_HEX_DIGITS = b"0123456789abcdef"


class ReplicaCloseReason(Enum):
    """Why a connection to a replica was closed. The values are labels of metrics and logs."""

    CONNECT_FAILED = "connect failed"
    CONNECT_TIMEOUT = "connect timed out"
    LOCAL_FAILURE = "local resource failure"  # a failure of this machine, not evidence against the replica
    WRITE_FAILED = "write failed"
    READ_FAILED = "read failed"
    CLOSED_BY_PEER = "closed by the replica"
    PROTOCOL_ERROR = "protocol error"
    IDLE_TIMEOUT = "idle"
    RETIRED = "dropped while idle"
    EVICTED = "made room"
    CANCELLED_IN_FRAME = "cancelled inside a frame"
    OVERDUE_IN_FRAME = "late inside a frame"
    INTERNAL_ERROR = "internal error"


class ReplicaConnectionClosed(NamedTuple):
    """A closed connection, for the log.

    `parts_in_flight`: number of parts that failed with it; `parts_unsent`: those of them not completely written.
    """

    address: tuple[str, int]
    reason: ReplicaCloseReason
    detail: str
    parts_in_flight: int
    parts_unsent: int


class ReplicaConnectionLimits(NamedTuple):
    """Limits of the connections to replicas. Times are in seconds.

    `streams`: concurrent parts on one connection; `max_connections`: over all replicas; `idle_timeout`: idle time
    after which a connection is no longer written to; `connect_timeout`: to establish a connection.
    """

    streams: int
    max_connections: int
    idle_timeout: float
    connect_timeout: float


class PartResult(NamedTuple):
    """The result of a part, as its replica returned it."""

    shard: int
    score: int
    cell: str


class FrameCodec:
    """Encodes parts as one batch frame."""

    def encode(
        self,
        contents: list[frames.SubqueryRequest],
        seconds_left: list[float],
        address: tuple[str, int],  # noqa: ARG002 - required by the `Codec` protocol
    ) -> bytes:
        """Encode parts, each with its remaining time, which is sent as at least 1 ms."""
        return frames.encode_batch(contents, [max(int(seconds * 1000), 1) for seconds in seconds_left])

    def result_size(self, result: PartResult) -> int:  # noqa: ARG002 - required by the `Codec` protocol
        """Return the size in bytes with which a result counts towards the limit on all results."""
        return _RESULT_BYTES


ReportAttempts = Callable[[list[t.AttemptFinished]], None]
# Called by the decision thread and the reader thread; must not block.
OnConnectionClosed = Callable[[ReplicaConnectionClosed], None]
DecodeCell = Callable[[bytes], str | None]


def hex_cell(value: bytes) -> str | None:
    """Return a replica's value as text, or None if it is not 16 lower-case hex digits."""
    if len(value) != CELL_BYTES or value.strip(_HEX_DIGITS):
        return None
    return value.decode()
