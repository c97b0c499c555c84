"""Decides when a co-ordinator that has started is reported as ready, and whether it serves queries.

Where lists are pushed, a change that discovery had before the start counts as notified from the start on, so that the
cached list of the configuration must not be used for longer than the drain grace. The co-ordinator is ready with the
first list. Queries that come earlier, on connections that clients opened before, are rejected.

A first list that does not come has one of two reasons. If discovery is down, it has notified nobody, and the cached
list is as current as any: waiting longer would only extend the outage. If discovery is slow, a call that it has
accepted waits in its queue, and the list will come. So the cached list is used once no call has been waiting for some
time in all, and at the latest when a co-ordinator has to be ready whatever happens.
"""

from __future__ import annotations

from collections.abc import Callable

from gingervane import interface as api
from gingervane.decisions.batch_context import BatchContext
from gingervane.decisions.watch_options import WatchOptions

# Seconds in all without an accepted call after which discovery is taken to be down. Of the platform's 6 s until a
# change counts as notified and a restarted co-ordinator should be ready, 1 s is left for the start of the process.
UNREACHED_TIMEOUT = 5.0
# Longest wait for the first list in seconds: of the 30 s after which a co-ordinator that is not ready has failed, 5 s
# are left for the start of the process on a busy machine.
FIRST_LIST_TIMEOUT = 25.0
# Assumed age in seconds of the list with which a process starts, as its real age is unknown.
CACHED_LIST_AGE = 3.0
# Largest rounding error of a sum of times, seconds.
_TIME_ERROR = 1e-6


class Readiness:
    """Whether this co-ordinator serves queries, and whether it has been reported as ready."""

    def __init__(self, settings: api.Settings, context: BatchContext, watch_options: WatchOptions) -> None:
        self._context = context
        self._is_reported = not watch_options.reports_readiness
        self._awaits_list = watch_options.reports_readiness and not settings.membership_polled
        self._is_waiting = False  # an accepted call waits for the first list
        self._unreached_seconds = 0.0  # in all, up to the last change of `_is_waiting`
        self._changed_at = 0.0  # time of that change
        self.on_cached_list: Callable[[], None] = lambda: None

    @property
    def is_serving(self) -> bool:
        """Whether queries are served: there is a list that may be used."""
        return not self._awaits_list

    def start(self) -> None:
        """Report readiness, or start to wait for the first list."""
        if not self._awaits_list:
            self._report(None)
            return
        self._changed_at = self._context.now
        self._context.set_timer(UNREACHED_TIMEOUT, self._check_unreached)
        self._context.set_timer(FIRST_LIST_TIMEOUT, self._serve_cached_list)

    def record_list(self) -> None:
        """Record that a list was received."""
        self._awaits_list = False
        self._report(None)

    def on_contact_change(self, event: api.DiscoveryContactChanged) -> None:
        """Process the report whether an accepted call waits for the first list."""
        if event.is_waiting == self._is_waiting or not self._awaits_list:
            return
        self._unreached_seconds = self._total_unreached()
        self._is_waiting = event.is_waiting
        self._changed_at = self._context.now
        if not event.is_waiting:
            remaining = UNREACHED_TIMEOUT - self._unreached_seconds
            self._context.set_timer(remaining, self._check_unreached)

    def on_address_change(self) -> None:
        """Forget how long discovery was not reached, as it has another address now."""
        self._unreached_seconds = 0.0
        self._changed_at = self._context.now
        self._is_waiting = False
        if self._awaits_list:
            self._context.set_timer(UNREACHED_TIMEOUT, self._check_unreached)

    def _total_unreached(self) -> float:
        """Seconds since the start in which no accepted call was waiting."""
        since_change = 0.0 if self._is_waiting else self._context.now - self._changed_at
        return self._unreached_seconds + since_change

    def _check_unreached(self) -> None:
        """Serve on the cached list if discovery is taken to be down."""
        if not self._is_waiting and self._total_unreached() >= UNREACHED_TIMEOUT - _TIME_ERROR:
            self._serve_cached_list()

    def _serve_cached_list(self) -> None:
        """Serve although no list was received."""
        if not self._awaits_list:
            return
        self._awaits_list = False
        self._report(CACHED_LIST_AGE + self._context.now - self._context.started_at)
        self.on_cached_list()

    def _report(self, cached_list_age: float | None) -> None:
        """Report readiness, once."""
        if not self._is_reported:
            self._is_reported = True
            self._context.actions.append(api.AcceptQueries(cached_list_age))
