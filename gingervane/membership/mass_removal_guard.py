"""Limits that protect the view of the servers from a source that fails, restarts or flaps. Free of I/O."""

from __future__ import annotations

from typing import NamedTuple


class MassRemovalGuard(NamedTuple):
    """How long doubtful changes of a source's list are delayed. Times in seconds.

    A change is a mass change if it concerns more than one server and more than `max_removed_share` of the servers
    that the source listed. Servers that disappear in one are retained for `hold_time`, and then for as long as their
    responses to this co-ordinator's own traffic are no older than `response_window`, at most for `max_hold_time`.
    """

    max_removed_share: float = 0.34
    hold_time: float = 10.0
    max_hold_time: float = 300.0
    response_window: float = 5.0
    # A server that returns is ready after this delay, which doubles with each return within `flap_window`.
    readmission_delay: float = 1.0
    max_readmission_delay: float = 30.0
    flap_window: float = 60.0
    # Of a lower index is warned after the first delay; it is accepted, if the source's leader has vouched for it,
    # after the second.
    index_reset_delay: float = 35.0
    consistent_index_reset_delay: float = 2.0

    def is_mass_change(self, changed: int, listed: int) -> bool:
        """Tell whether so many changes at once say more about the source than about the servers."""
        return changed > 1 and changed > self.max_removed_share * listed
