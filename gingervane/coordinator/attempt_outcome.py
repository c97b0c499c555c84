"""What the end of an exchange proves: from what was seen on a socket to one outcome. Free of I/O.

The order of the cases matters for effects. A part may have run from the first byte of its request that left; until
then it cannot have. A replica proves that nothing was begun only by saying so (`Gingervane-Began: no` with 503). For
an idempotent class a plain 503 or 429 is read as a full queue too: no proof is needed there, and a server that is
only full must not be taken for a faulty one.
"""

from __future__ import annotations

from enum import Enum

from gingervane.interface import AttemptOutcome, RetrySafety


class ExchangePhase(Enum):
    """How far an exchange had come when it ended."""

    QUEUED = "queued"
    CONNECTING = "connecting"
    WRITING = "writing"
    READING = "reading"


def outcome_of_transport_error(phase: ExchangePhase, bytes_written: int, timed_out: bool) -> AttemptOutcome:
    """Return the outcome of an exchange that an error of the transport ended."""
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
    """Return the outcome of a reply that does not count."""
    if proves_not_executed or (overloaded and retry_safety is RetrySafety.IDEMPOTENT):
        return AttemptOutcome.REJECTED
    return AttemptOutcome.ERROR
