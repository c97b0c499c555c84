"""The retry budget: bounds further attempts (retries and hedges) by the parts and queries received."""

from __future__ import annotations

from gingervane import interface as api
from gingervane.decisions.batch_context import BatchContext
from gingervane.decisions.sliding_window import SlidingWindowCount

# Share of the budget's free attempts that is reserved for retries (docs/design.md, retries before hedges).
RESERVED_FOR_RETRIES = 1 / 2


def time_margin(settings: api.Settings) -> float:
    """Safety margin, in seconds, for a time window that the platform checks.

    It covers the delay between the decision and the send of an attempt, and the granularity of the host's timers.
    """
    return settings.timer_granularity + settings.max_send_delay


class RetryBudget:
    """Counts requests and further attempts, both conservatively.

    Further attempts count for the window plus the time margin, requests for the window less the margin.
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
        """Count a query or a part that arrived."""
        self._requests.add(self._context.now)

    def record_further_attempt(self) -> None:
        """Count an attempt at a part other than its first."""
        self._further_attempts.add(self._context.now)

    def allows_further_attempt(self, hedged: bool) -> bool:
        """Whether the budget permits a retry, or, with the reserve for retries kept, a hedge."""
        now = self._context.now
        if self._free is None:
            return True
        remaining = self._share * self._requests.count(now) - self._further_attempts.count(now)
        needed = 1 + (self._free * RESERVED_FOR_RETRIES if hedged else 0.0)
        return self._free + remaining >= needed
