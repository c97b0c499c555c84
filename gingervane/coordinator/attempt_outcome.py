"""Maps the end of an exchange with a replica, as observed on the socket, to an attempt outcome. Free of I/O.

The outcome tells whether the attempt may have run, which decides whether a part that is not idempotent may be
retried. An attempt may have run as soon as the first byte of its request was written, and not before. After that only
an explicit statement of the replica proves that it did not run (`Gingervane-Began: no` with 503). For an idempotent
class no proof is needed: a plain 503 or 429 is read as a full queue, so that an overloaded server does not count as
faulty.
"""

from __future__ import annotations

from enum import Enum

from gingervane.interface import AttemptOutcome, RetrySafety


class ExchangePhase(Enum):
    """Phase in which an exchange ended."""

    QUEUED = "queued"
    CONNECTING = "connecting"
    WRITING = "writing"
    READING = "reading"


def outcome_of_transport_error(phase: ExchangePhase, bytes_written: int, timed_out: bool) -> AttemptOutcome:
    """Return the outcome of an exchange that ended with a transport error."""
    if phase is ExchangePhase.QUEUED:
        return AttemptOutcome.NEVER_SENT
    if phase is ExchangePhase.CONNECTING:
        return AttemptOutcome.CONNECT_FAILED
    if phase is ExchangePhase.WRITING and bytes_written == 0:
        return AttemptOutcome.NEVER_SENT
    return AttemptOutcome.TIMED_OUT if timed_out else AttemptOutcome.RESET


def outcome_of_invalid_reply(
    retry_safety: RetrySafety, proves_not_executed: bool, overloaded: bool
) -> AttemptOutcome:
    """Return the outcome of an exchange whose reply holds no usable results."""
    if proves_not_executed or (overloaded and retry_safety is RetrySafety.IDEMPOTENT):
        return AttemptOutcome.REJECTED
    return AttemptOutcome.ERROR
