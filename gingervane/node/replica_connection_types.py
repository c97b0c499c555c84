"""Types of the connections to replicas: limits, close reasons, results, and how parts are encoded in frames."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from gingervane.coordinator import types as t
from gingervane.wire import frames

_RESULT_BYTES = 100  # what a result is counted as
_CELL_BYTES = 16  # of a replica's value
_HEX_DIGITS = b"0123456789abcdef"


class ReplicaCloseReason(Enum):
    """Why a connection to a replica was closed. The values are labels of metrics and logs."""

    CONNECT_FAILED = "connect failed"
    CONNECT_TIMEOUT = "connect timed out"
    LOCAL_FAILURE = "local resource failure"  # of this machine: says nothing of the replica
    WRITE_FAILED = "write failed"
    READ_FAILED = "read failed"
    CLOSED_BY_PEER = "closed by the replica"
    PROTOCOL_ERROR = "protocol error"
    IDLE_TIMEOUT = "idle"
    RETIRED = "dropped while idle"
    EVICTED = "made room"
    CANCELLED_IN_FRAME = "cancelled inside a frame"
    LATE_IN_FRAME = "late inside a frame"
    INTERNAL_ERROR = "internal error"


class ReplicaConnectionClosed(NamedTuple):
    """The end of a connection, for the log.

    `parts_in_flight` ended with it; `parts_unsent` of them were not written completely.
    """

    address: tuple[str, int]
    reason: ReplicaCloseReason
    detail: str
    parts_in_flight: int
    parts_unsent: int


class ReplicaConnectionLimits(NamedTuple):
    """Limits of the connections to replicas. Times are in seconds.

    `streams`: parts at once on a connection; `max_connections`: in all; `idle_timeout`: after which a quiet
    connection is not written to any more; `connect_timeout`: for a new one to be established.
    """

    streams: int
    max_connections: int
    idle_timeout: float
    connect_timeout: float


class PartResult(NamedTuple):
    """The result of a part, as its replica gave it."""

    shard: int
    score: int
    cell: str


class FrameCodec:
    """Encodes parts as one call frame."""

    def encode(
        self,
        contents: list[frames.SubqueryRequest],
        seconds_left: list[float],
        address: tuple[str, int],  # noqa: ARG002 - of the codec's protocol
    ) -> bytes:
        """Encode parts, each with the time that is left for it."""
        return frames.encode_batch(contents, [max(int(left * 1000), 1) for left in seconds_left])

    def result_size(self, result: PartResult) -> int:  # noqa: ARG002 - of the codec's protocol
        """Return the size of a result in bytes, as it counts for the bound on all results held."""
        return _RESULT_BYTES


ReportAttempts = Callable[[list[t.AttemptFinished]], None]
# Called from the decision thread and the reader; must not wait.
OnConnectionClosed = Callable[[ReplicaConnectionClosed], None]
DecodeCell = Callable[[bytes], str | None]


def hex_cell(value: bytes) -> str | None:
    """Return a replica's value as clients get it, 16 hex digits; None if it is not that."""
    if len(value) != _CELL_BYTES or value.strip(_HEX_DIGITS):
        return None
    return value.decode()
