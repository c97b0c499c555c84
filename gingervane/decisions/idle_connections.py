"""How long a connection may be idle before it is taken to be dropped unseen.

Where the network drops idle connections silently, the first part after a pause gets no response though the
replica is sound. A missing response after a pause tells what is too long, and an answer what is not.
"""

from __future__ import annotations

from math import inf

from gingervane import interface as api
from gingervane.decisions.batch_context import BatchContext
from gingervane.decisions.query_state import Attempt
from gingervane.decisions.replica_state import KnownReplica

# Seconds in which the limit on idle time doubles, and the longest sound idle time halves (docs/design.md,
# idle connections closed).
HALF_LIFE = 10.0


class IdleConnectionLimit:
    """Closes connections that have been idle for too long before a part is sent over them."""

    def __init__(self, context: BatchContext) -> None:
        self._context = context
        self._limit = inf  # seconds of idle time after which there was no response
        self._limit_at = 0.0
        self._longest_sound = 0.0  # longest idle time after which a part was answered
        self._longest_sound_at = 0.0

    def record_no_response(self, attempt: Attempt) -> None:
        """Learn from a missing response, unless as long a pause did no harm of late.

        Without that comparison one replica that does not respond by itself would cost a new connection for
        each part where parts are rare.
        """
        if attempt.idle_before > self._sound_idle_time():
            objective = attempt.part.query.query_class.latency_objective
            self._limit = min(self._limit, max(attempt.idle_before, objective))
            self._limit_at = self._context.now

    def record_answer(self, attempt: Attempt) -> None:
        """Learn that a pause did no harm."""
        if attempt.idle_before > self._sound_idle_time():
            self._longest_sound = attempt.idle_before
            self._longest_sound_at = self._context.now

    def _sound_idle_time(self) -> float:
        """The longest pause after which a part was answered of late; it fades as the limit does."""
        return self._longest_sound * float(0.5 ** ((self._context.now - self._longest_sound_at) / HALF_LIFE))

    def prepare_send(self, replica: KnownReplica) -> float:
        """Close the replica's idle connections if need be; return for how long they were idle before a send.

        A replica that stopped responding may be well, and is reached over a new connection too.
        """
        now = self._context.now
        idle = now - replica.last_sent_at if replica.last_sent_at else 0.0  # a first send follows no pause
        too_long = idle * 0.5 ** ((now - self._limit_at) / HALF_LIFE) >= self._limit
        if too_long or now < replica.unresponsive_until:
            self._context.actions.append(api.CloseIdle(replica.endpoint.id))
            replica.unresponsive_until = 0.0
            idle = 0.0  # what comes over a new connection tells nothing of pauses
        replica.last_sent_at = now
        return idle
