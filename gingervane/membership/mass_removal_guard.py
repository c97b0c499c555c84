"""Limits on how fast a source that fails, restarts or flaps can change the server list. Free of I/O."""

from __future__ import annotations

from typing import NamedTuple


class MassRemovalGuard(NamedTuple):
    """Delays for doubtful changes of a source's list, in seconds.

    A change is a mass change if it affects more than one server and more than `max_removed_share` of the servers that
    the source listed. Servers removed by one are retained for `retention_time`, and after that while their last
    response to this co-ordinator is no older than `response_window`, but at most for `max_retention_time`.
    """

    max_removed_share: float = 0.34
    retention_time: float = 10.0
    max_retention_time: float = 300.0
    response_window: float = 5.0
    # A server that recovers counts as ready after this delay, which doubles with each recovery within `flap_window`.
    readmission_delay: float = 1.0
    max_readmission_delay: float = 30.0
    flap_window: float = 60.0
    # A lower index that the leader has not confirmed is logged after the first delay; one that it has confirmed is
    # accepted after the second.
    index_reset_delay: float = 35.0
    consistent_index_reset_delay: float = 2.0

    def is_mass_change(self, changed: int, listed: int) -> bool:
        """Return whether `changed` of `listed` servers changing at once points to a fault of the source."""
        return changed > 1 and changed > self.max_removed_share * listed
