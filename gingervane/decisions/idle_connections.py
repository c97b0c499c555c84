"""Learns after what idle time connections are dropped by the network, and closes them before they are used.

Where the network drops idle connections silently, the first part after an idle time gets no response although the
replica is healthy. A missing response shows that the idle time before it was too long; an answer shows that the
time was safe.
"""

from __future__ import annotations

from math import inf

from gingervane import interface as api
from gingervane.decisions.attempt_timing import AttemptTiming
from gingervane.decisions.batch_context import BatchContext
from gingervane.decisions.query_state import Attempt
from gingervane.decisions.replica_state import KnownReplica

# Seconds in which the limit on idle time doubles, and the longest safe idle time halves (docs/design.md,
# idle connections closed).
HALF_LIFE = 10.0


class IdleConnectionLimit:
    """Closes the connections to a replica that have been idle for too long, before a part is sent over them."""

    def __init__(self, context: BatchContext, timing: AttemptTiming) -> None:
        self._context = context
        self._timing = timing
        self._idle_limit = inf  # shortest idle time in seconds after which there was no response
        self._idle_limit_at = 0.0
        self._longest_safe_idle = 0.0  # longest idle time in seconds after which a part was answered
        self._longest_safe_idle_at = 0.0

    def record_no_response(self, attempt: Attempt) -> None:
        """Lower the limit after a missing response, unless a part was recently answered after as long an idle time.

        Without that condition, where parts are rare, one replica that does not respond for another reason would cost
        a new connection for each part.
        """
        if attempt.idle_before > self._safe_idle_time():
            # A connection that was idle for less than an attempt may take was in use.
            in_use = self._timing.share_of_attempt(attempt.part)
            self._idle_limit = min(self._idle_limit, max(attempt.idle_before, in_use))
            self._idle_limit_at = self._context.now

    def record_answer(self, attempt: Attempt) -> None:
        """Record an idle time after which a part was answered."""
        if attempt.idle_before > self._safe_idle_time():
            self._longest_safe_idle = attempt.idle_before
            self._longest_safe_idle_at = self._context.now

    def _safe_idle_time(self) -> float:
        """The longest recent idle time after which a part was answered; it decays as the limit grows."""
        return self._longest_safe_idle * float(
            0.5 ** ((self._context.now - self._longest_safe_idle_at) / HALF_LIFE)
        )

    def prepare_send(self, replica: KnownReplica) -> float:
        """Close the replica's idle connections if necessary, and return their idle time in seconds before this send.

        A replica that stopped responding may be healthy behind a dropped connection: the next send opens a new one.
        """
        now = self._context.now
        idle_seconds = now - replica.last_sent_at if replica.last_sent_at else 0.0  # 0 for the first send
        is_too_long = idle_seconds * 0.5 ** ((now - self._idle_limit_at) / HALF_LIFE) >= self._idle_limit
        if is_too_long or now < replica.unresponsive_until:
            self._context.actions.append(api.CloseIdle(replica.endpoint.id))
            replica.unresponsive_until = 0.0
            idle_seconds = 0.0  # a new connection says nothing about idle times
        replica.last_sent_at = now
        return idle_seconds
