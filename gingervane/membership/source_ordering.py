"""The order of one source's reports: by the source's index if it has one, else by time. Free of I/O.

An index that goes back comes from an agent that lags, or from a catalogue that was restored. It is taken for a
restored one once no agent has shown the higher index for `index_reset_delay` seconds, longer than a quiet agent stays
silent; for `consistent_index_reset_delay` if the report was a consistent one, which an agent that lags cannot give.
Each time that this turns out wrong (the higher index is shown again) doubles the delay.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import NamedTuple

from gingervane.membership.mass_removal_guard import MassRemovalGuard
from gingervane.membership.view import Member

MAX_RESET_DOUBLINGS = 6  # of the delay before a lower index is accepted


class SourceReport(NamedTuple):
    """A complete list of one source.

    `age`: how old the list was when it was read, in seconds, by its own statement. `source_index`: orders it among
    the source's reports, 0 if nothing does. `consistent`: the source's leader vouched for it.
    """

    source: str
    members: tuple[Member, ...]
    age: float = 0.0
    source_index: int = 0
    consistent: bool = False


@dataclass
class SourceState:
    """What orders a source's reports."""

    latest_valid_from: float = -inf  # the time from which its newest report holds
    index: int = 0
    pending: SourceReport | None = None  # the newest report with a lower index
    pending_since: float = inf  # when the first of those came
    pending_consistent: bool = False
    abandoned_index: int = 0  # the index that was given up for a lower one
    failed_resets: int = 0  # how often the higher one came back

    def accept_by_index(self, report: SourceReport, now: float) -> bool:
        """Tell whether a report is at least as new as the newest by its index; one that is not becomes pending."""
        if report.source_index >= self.index:
            if self.abandoned_index and report.source_index >= self.abandoned_index:
                self.failed_resets = min(self.failed_resets + 1, MAX_RESET_DOUBLINGS)
                self.abandoned_index = 0
            self._set_index(report.source_index)
            return True
        self.pending_since = min(self.pending_since, now)
        self.pending = report
        self.pending_consistent = self.pending_consistent or report.consistent
        return False

    def accept_by_time(self, report: SourceReport, valid_from: float) -> bool:
        """Tell whether a report is at least as new as the newest by the time from which it holds."""
        self.index = report.source_index
        return valid_from >= self.latest_valid_from

    def reset_due(self, guard: MassRemovalGuard) -> float:
        """When the pending report is accepted; infinite if there is none."""
        delay = guard.consistent_index_reset_delay if self.pending_consistent else guard.index_reset_delay
        return self.pending_since + delay * 2.0**self.failed_resets

    def accept_reset(self) -> SourceReport:
        """Take the pending report's lower index for the current one, and return the report."""
        report = self.pending
        assert report is not None
        self.abandoned_index = self.index
        self._set_index(report.source_index)
        return report

    def _set_index(self, index: int) -> None:
        self.index = index
        self.pending = None
        self.pending_since = inf
        self.pending_consistent = False
