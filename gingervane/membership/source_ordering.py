"""The order of one source's reports: by the source's index if it has one, else by time. Free of I/O.

An index that goes back comes from an agent that lags, or from a catalogue that was restored; one that is missing (0)
comes from what does not speak for the source. Only the source's leader can tell: the lower index is accepted once a
consistent report, which an agent that lags cannot give, has shown it, and no agent the higher one for
`consistent_index_reset_delay` seconds. Each time that the higher index is shown again doubles that delay, and what it
takes back counts only once the leader has vouched for it. Without such a report a lower index is doubted for ever;
after `index_reset_delay` seconds, longer than a quiet agent stays silent, that is worth a warning.
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


class IndexDoubt(NamedTuple):
    """A source has shown an index below the newest for long, and no leader has vouched for it."""

    source: str
    shown_index: int
    newest_index: int


@dataclass
class SourceState:
    """What orders a source's reports."""

    latest_valid_from: float = -inf  # the time from which its newest report holds
    index: int = 0
    # A report with a lower index: the newest, of those vouched for if there are any.
    pending: SourceReport | None = None
    # The newest that came behind one vouched for, and counts with it.
    pending_successor: SourceReport | None = None
    pending_since: float = inf  # when the first of those came
    pending_consistent: bool = False
    doubt_reported: bool = False  # that no leader has vouched for the pending one
    abandoned_index: int = 0  # the index that was given up for a lower one
    failed_resets: int = 0  # how often the higher one came back
    awaits_leader: bool = False  # it came back, and no leader has vouched for it since

    def accept_by_index(self, report: SourceReport, now: float) -> bool:
        """Tell whether a report is the newest, and may take back what is known; a lower index becomes pending."""
        if report.source_index >= self.index:
            if self.abandoned_index and report.source_index >= self.abandoned_index:
                self.failed_resets = min(self.failed_resets + 1, MAX_RESET_DOUBLINGS)
                self.abandoned_index = 0
                self.awaits_leader = True
            self.awaits_leader = self.awaits_leader and not report.consistent
            self._set_index(report.source_index)
            return not self.awaits_leader
        self.pending_since = min(self.pending_since, now)
        if report.consistent or not self.pending_consistent:
            self.pending = report
            self.pending_successor = None
        elif self.pending and report.source_index >= self.pending.source_index:
            self.pending_successor = report
        self.pending_consistent = self.pending_consistent or report.consistent
        return False

    def accept_by_time(self, report: SourceReport, valid_from: float) -> bool:
        """Tell whether a report is at least as new as the newest by the time from which it holds."""
        self.index = report.source_index
        return valid_from >= self.latest_valid_from

    def reset_due(self, guard: MassRemovalGuard) -> float:
        """When the pending report is accepted, or its doubt reported; infinite if there is neither."""
        if self.pending_consistent:
            return self.pending_since + guard.consistent_index_reset_delay * 2.0**self.failed_resets
        return inf if self.doubt_reported else self.pending_since + guard.index_reset_delay

    def accept_reset(self) -> list[SourceReport]:
        """Take the pending report's lower index for the current one; return what is to be applied, in order."""
        reports = [report for report in (self.pending, self.pending_successor) if report]
        self.abandoned_index = self.index
        self.awaits_leader = False
        self._set_index(reports[-1].source_index)
        return reports

    def report_doubt(self) -> IndexDoubt:
        """Return what is to be said of the pending report, once."""
        assert self.pending is not None
        self.doubt_reported = True
        return IndexDoubt(self.pending.source, self.pending.source_index, self.index)

    def _set_index(self, index: int) -> None:
        self.index = index
        self.pending = None
        self.pending_successor = None
        self.pending_since = inf
        self.pending_consistent = False
        self.doubt_reported = False
