"""How long an attempt at a part may take: as measured or, before that, as the time of its caller allows."""

from __future__ import annotations

from gingervane import interface as api
from gingervane.decisions.batch_context import BatchContext
from gingervane.decisions.latency import LatencyEstimator
from gingervane.decisions.membership import Membership
from gingervane.decisions.query_state import Part, Query

# Percentile of the class's part latencies that is the hedge delay (docs/design.md).
HEDGE_PERCENTILE = 0.95


class AttemptTiming:
    """Delays of hedges and retries, and whether an answer can still come in the caller's time."""

    def __init__(
        self, settings: api.Settings, context: BatchContext, membership: Membership, latency: LatencyEstimator
    ) -> None:
        self._settings = settings
        self._context = context
        self._membership = membership
        self._latency = latency

    def hedge_delay(self, part: Part) -> float:
        """Seconds after which an attempt is late."""
        measured = self._latency.percentile(part.query.arrival.query_class, HEDGE_PERCENTILE)
        return _initial_delay(part, self.holders_to_ask(part)) if measured is None else measured

    def usual_latency(self, part: Part) -> float:
        """The median latency of the part's class or, before it is known, a delay for retries, also at one holder."""
        measured = self._latency.percentile(part.query.arrival.query_class, 0.5)
        return _initial_delay(part, self._settings.max_attempts) if measured is None else measured

    def share_of_attempt(self, part: Part) -> float:
        """Seconds of its caller's time for each holder that may be asked, one after another."""
        return (part.query.answer_by - part.first_sent_at) / self.holders_to_ask(part)

    def share_of_next_attempt(self, part: Part) -> float:
        """Seconds of the time that its caller has left for each further attempt; all of it for the last one."""
        attempts_left = max(self.holders_to_ask(part) - part.attempts_made, 1)
        return (part.query.answer_by - self._context.now) / attempts_left

    def second_step_time(self, query: Query) -> float:
        """Seconds of its caller's time that a query needs for its second step, with one hedge; half at the most."""
        half = (query.answer_by - self._context.now) / 2
        query_class = query.arrival.query_class
        hedge_delay = self._latency.percentile(query_class, HEDGE_PERCENTILE)
        median = self._latency.percentile(query_class, 0.5)
        if hedge_delay is None or median is None:
            return half
        return min(hedge_delay + median, half)

    def can_be_answered(self, part: Part, delay: float = 0.0) -> bool:
        """Whether an attempt that is sent after `delay` seconds can be answered in the caller's time.

        It can if an attempt of median latency would be, or if there is time left and no latency is known.
        """
        measured = self._latency.percentile(part.query.arrival.query_class, 0.5)
        return self._context.now + delay + (measured or 0.0) < part.query.answer_by

    def holders_to_ask(self, part: Part) -> int:
        """The number of holders that may be asked one after another, at least 1."""
        holders = len(self._membership.holders(part.arrival.shard))
        return max(1, min(self._settings.max_attempts, holders))


def _initial_delay(part: Part, attempts: int) -> float:
    """A delay in seconds such that so many attempts can be made in the caller's time.

    A hedge is sent after one delay, each further attempt after two more, when the one before counts as without
    response, and the last has one delay to be answered.
    """
    caller_time = part.query.answer_by - part.first_sent_at
    return caller_time / max(2 * (attempts - 1), 1)
