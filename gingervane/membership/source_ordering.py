"""Orders the reports of one source: by the source's index if it has one, else by time. Free of I/O.

A lower index comes from a stale agent or from a catalogue that was restored; a missing one (0) from an answer that
is not the source's own. Only the source's leader can tell them apart. So a lower index is accepted once a consistent
report, which a stale agent cannot give, has shown it and no agent has shown the higher index for
`consistent_index_reset_delay` seconds. Each time that the higher index reappears, this delay doubles, and reports
with the higher index revoke nothing until the leader has confirmed it. Without a consistent report a lower index is
never accepted; a warning is logged after `index_reset_delay` seconds, longer than a healthy agent takes to answer.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import NamedTuple

from gingervane.membership.mass_removal_guard import MassRemovalGuard
from gingervane.membership.view import Member

MAX_RESET_DOUBLINGS = 6  # limit on the doublings of the delay before a lower index is accepted


class SourceReport(NamedTuple):
    """A complete list from one source.

    `age`: staleness of the list when it was read, in seconds, as stated by the source. `source_index`: orders the
    source's reports; 0 if the source has no index. `consistent`: the source's leader confirmed the list.
    """

    source: str
    members: tuple[Member, ...]
    age: float = 0.0
    source_index: int = 0
    consistent: bool = False


class UnconfirmedIndex(NamedTuple):
    """An index lower than the newest, which a source keeps showing and its leader has not confirmed."""

    source: str
    shown_index: int
    newest_index: int


@dataclass
class SourceState:
    """The state by which the reports of one source are ordered. Times are in seconds on the monotonic clock."""

    latest_valid_from: float = -inf  # time from which the newest report is valid
    index: int = 0  # newest accepted index
    # The newest report with a lower index; once the leader has confirmed one, the newest confirmed one.
    pending: SourceReport | None = None
    # The newest report received after a confirmed `pending` and not older than it; accepted together with it.
    pending_successor: SourceReport | None = None
    pending_since: float = inf  # when the first report with a lower index was received
    is_pending_confirmed: bool = False  # the leader has confirmed `pending`
    unconfirmed_warning_given: bool = False  # the warning about an unconfirmed `pending` has been issued
    superseded_index: int = 0  # the index that was replaced by a lower one
    failed_resets: int = 0  # how often a superseded index reappeared
    awaits_confirmation: bool = False  # a superseded index reappeared and is not confirmed yet

    def accept_by_index(self, report: SourceReport, now: float) -> bool:
        """Return whether a report is the newest and may revoke earlier ones; a lower index becomes pending."""
        if report.source_index >= self.index:
            if self.superseded_index and report.source_index >= self.superseded_index:
                self.failed_resets = min(self.failed_resets + 1, MAX_RESET_DOUBLINGS)
                self.superseded_index = 0
                self.awaits_confirmation = True
            self.awaits_confirmation = self.awaits_confirmation and not report.consistent
            self._set_index(report.source_index)
            return not self.awaits_confirmation
        self.pending_since = min(self.pending_since, now)
        if report.consistent or not self.is_pending_confirmed:
            self.pending = report
            self.pending_successor = None
        elif self.pending and report.source_index >= self.pending.source_index:
            self.pending_successor = report
        self.is_pending_confirmed = self.is_pending_confirmed or report.consistent
        return False

    def accept_by_time(self, report: SourceReport, valid_from: float) -> bool:
        """Return whether a report is at least as new as the newest, by the time from which it is valid."""
        self.index = report.source_index
        return valid_from >= self.latest_valid_from

    def reset_due_at(self, guard: MassRemovalGuard) -> float:
        """Return when the pending report is to be accepted or reported as unconfirmed; infinite if neither."""
        if self.is_pending_confirmed:
            return self.pending_since + guard.consistent_index_reset_delay * 2.0**self.failed_resets
        return inf if self.unconfirmed_warning_given else self.pending_since + guard.index_reset_delay

    def accept_reset(self) -> list[SourceReport]:
        """Make the pending report's lower index the current one; return the reports to apply, in order."""
        reports = [report for report in (self.pending, self.pending_successor) if report]
        self.superseded_index = self.index
        self.awaits_confirmation = False
        self._set_index(reports[-1].source_index)
        return reports

    def report_unconfirmed_index(self) -> UnconfirmedIndex:
        """Return the pending report's unconfirmed index, and mark it as reported."""
        assert self.pending is not None
        self.unconfirmed_warning_given = True
        return UnconfirmedIndex(self.pending.source, self.pending.source_index, self.index)

    def _set_index(self, index: int) -> None:
        self.index = index
        self.pending = None
        self.pending_successor = None
        self.pending_since = inf
        self.is_pending_confirmed = False
        self.unconfirmed_warning_given = False
