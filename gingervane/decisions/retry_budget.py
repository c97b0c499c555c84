"""The budget of further attempts: retries and hedges, bounded by the parts and queries that came."""

from __future__ import annotations

from gingervane import interface as api
from gingervane.decisions.batch_context import BatchContext
from gingervane.decisions.sliding_window import SlidingWindowCount

# Share of the budget's free attempts that hedges must leave to retries (docs/design.md, retries before
# hedges).
RESERVED_FOR_RETRIES = 1 / 2


def time_margin(settings: api.Settings) -> float:
    """Seconds by which to stay on the safe side of a stated window.

    An attempt may leave later than it was decided, and the host's timers have a granularity.
    """
    return settings.timer_granularity + settings.max_send_delay


class RetryBudget:
    """Counts requests and further attempts, each on the safe side of the stated window.

    Attempts count for longer than the window by the time margin, requests for that much less.
    """

    def __init__(self, settings: api.Settings, context: BatchContext) -> None:
        self._context = context
        self._free = settings.retry_budget_free
        self._share = settings.retry_budget_share or 0.0
        window = settings.retry_budget_window or 0.0
        margin = time_margin(settings)
        self._further_attempts = SlidingWindowCount(window + margin)
        self._requests = SlidingWindowCount(window - margin)

    def record_request(self) -> None:
        """Count a query or a part that came."""
        self._requests.add(self._context.now)

    def record_further_attempt(self) -> None:
        """Count an attempt at a part that is not its first."""
        self._further_attempts.add(self._context.now)

    def allows_further_attempt(self, hedged: bool) -> bool:
        """Whether the budget has room for a retry, or with more to spare for a hedge."""
        now = self._context.now
        if self._free is None:
            return True
        left = self._share * self._requests.count(now) - self._further_attempts.count(now)
        needed = 1 + (self._free * RESERVED_FOR_RETRIES if hedged else 0.0)
        return self._free + left >= needed
