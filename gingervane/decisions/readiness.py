"""Decides when a co-ordinator that has started is reported as ready.

Where lists are pushed, a change that discovery had before the start counts as notified from the start on, so that the
list of the configuration must not be used for longer than the drain grace. The co-ordinator is ready with the first
list. If none comes for some time, discovery may be down: then the list of the configuration may be as current as any.
"""

from __future__ import annotations

from gingervane import interface as api
from gingervane.decisions.batch_context import BatchContext
from gingervane.decisions.membership_watch import WatchOptions

# Longest wait for the first list, seconds: longer than discovery is silent on a watch, and short for a restart.
FIRST_LIST_TIMEOUT = 3.0


class Readiness:
    """Whether this co-ordinator has been reported as ready."""

    def __init__(self, settings: api.Settings, context: BatchContext, watch_options: WatchOptions) -> None:
        self._context = context
        self._awaits_list = not settings.membership_polled
        self._is_reported = not watch_options.reports_readiness

    def start(self) -> None:
        """Report readiness, or start to wait for the first list."""
        if self._awaits_list and not self._is_reported:
            self._context.set_timer(FIRST_LIST_TIMEOUT, self.report)
        else:
            self.report()

    def report(self) -> None:
        """Report readiness, once."""
        if not self._is_reported:
            self._is_reported = True
            self._context.actions.append(api.AcceptQueries())
