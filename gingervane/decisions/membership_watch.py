"""Tracks the staleness of the endpoint list, and requests it again from discovery.

The engine requests each call of the host, the first after a start and after a change of discovery's address included:
with each request it sets the timer of a further call beside one that is not answered.

Where the host sets a limit (`WatchOptions.notified_within`), a change counts as notified that many seconds after
discovery had it, received or not.
"""

from __future__ import annotations

from enum import Enum
from functools import partial
from math import inf

from gingervane import interface as api
from gingervane.decisions.batch_context import BatchContext
from gingervane.decisions.call_timing import MAX_JITTER, MIN_JITTER, CallTiming
from gingervane.decisions.readiness import CACHED_LIST_AGE, Readiness
from gingervane.decisions.watch_options import WatchOptions


class WatchPhase(Enum):
    """State of the watch."""

    PENDING = "pending"  # nothing received yet, or not requested
    UP = "up"  # a list has been received
    DOWN = "down"  # since the last list a call failed or was not answered in time


class MembershipWatch:
    """The phase of the watch of the endpoint list, and the requests for it."""

    def __init__(
        self,
        settings: api.Settings,
        context: BatchContext,
        readiness: Readiness,
        watch_options: WatchOptions,
    ) -> None:
        self._context = context
        self._readiness = readiness
        readiness.on_cached_list = self._on_cached_list
        self._timing = CallTiming(settings)
        self._requested_at_start = settings.membership_polled or watch_options.pushed_on_request
        self._calls_may_overlap = watch_options.parallel_calls > 1
        self._notified_within = watch_options.notified_within
        self._phase = WatchPhase.PENDING
        self._last_current_at = -inf  # while the watch is not up: time at which the list was last current
        self._calls_made = 0  # number of calls requested
        self._retry_pending = False

    @property
    def is_up(self) -> bool:
        """Whether a list has been received since the watch last failed."""
        return self._phase is WatchPhase.UP

    @property
    def is_down(self) -> bool:
        """Whether a call has failed, or was not answered in time, since the last list."""
        return self._phase is WatchPhase.DOWN

    @property
    def list_current_at(self) -> float:
        """Time at which the list was last current, while the watch is not up."""
        return max(self._last_current_at, self._context.started_at - CACHED_LIST_AGE)

    def start(self) -> None:
        """Make the first call, where lists come on request."""
        if self._requested_at_start:
            self._request_call()

    def record_list(self) -> None:
        """Record that a list, a change or a confirmation without changes was received."""
        self._timing.reset_backoff()
        self._phase = WatchPhase.UP
        self._readiness.record_list()

    def on_interruption(self, event: api.WatchInterrupted) -> None:
        """Process the end of a watch, or that no data was received on it."""
        self.record_failure(event.seconds_without_data)

    def on_address_change(self, event: api.DiscoveryAddressChanged) -> None:
        """Process a new address of discovery: the watch has ended, and no backoff applies to the new address."""
        self._record_loss(event.seconds_without_data)
        self._readiness.on_address_change()
        self._timing.reset_backoff()
        self._request_call()

    def record_failure(self, seconds_without_data: float = 0.0) -> None:
        """Record a failed call, or a watch that received no data for `seconds_without_data`, and call again."""
        self._record_loss(seconds_without_data)
        if self._retry_pending:
            return
        self._retry_pending = True
        jitter = self._context.random.uniform(MIN_JITTER, MAX_JITTER)
        delay = self._timing.next_backoff(self._remaining_time(), self._readiness.is_serving) * jitter
        self._context.set_timer(delay, partial(self._retry_failed_call, self._calls_made))

    def _request_call(self) -> None:
        """Request the endpoint list and its changes, and a further call if no answer comes in time."""
        self._retry_pending = False
        self._calls_made += 1
        self._context.actions.append(api.WatchMembership())
        if self._calls_may_overlap:
            timeout = self._timing.call_timeout(self._remaining_time(), self._readiness.is_serving)
            self._context.set_timer(timeout, partial(self._hedge_unanswered_call, self._calls_made))

    def _record_loss(self, seconds_without_data: float) -> None:
        """Record that there is no watch, and until when the list was current if there was one."""
        if self._phase is WatchPhase.UP:
            self._last_current_at = self._context.now - seconds_without_data
        self._phase = WatchPhase.DOWN

    def _on_cached_list(self) -> None:
        """Call at once where the cached list is used from now on, and more often than before."""
        self._timing.reset_backoff()
        self._request_call()

    def _retry_failed_call(self, call: int) -> None:
        """Make a further call, unless one was made since the failure."""
        if call == self._calls_made:
            self._request_call()

    def _hedge_unanswered_call(self, call: int) -> None:
        """Make a further call if the last one is still without an answer."""
        if call == self._calls_made and self._phase is not WatchPhase.UP and not self._retry_pending:
            self._phase = WatchPhase.DOWN
            self._request_call()

    def _remaining_time(self) -> float:
        """Seconds until a change that is still unknown may count as notified."""
        return self.list_current_at + self._notified_within - self._context.now
