"""Reports between co-ordinators of draining and removed replicas, for those whose watch is down.

Discovery serves only a few lists per second. If all watches of a fleet end at once, serving all co-ordinators takes
longer than the time after which a change counts as notified. A co-ordinator with a current list reports draining and
removed replicas to its peers. Peers whose watch is down exclude these replicas from selection; the others ignore the
report. Only a few co-ordinators report each change. They repeat the report every two seconds for co-ordinators that
start later.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from gingervane import interface as api
from gingervane.decisions.batch_context import BatchContext
from gingervane.decisions.membership import Membership
from gingervane.decisions.watch_options import WatchOptions

REPORT_DRAINING = b"D"  # last byte of a report, after the ids of the replicas
ID_BYTES = 8
MAX_IDS = 31  # in one message, which is limited to 256 bytes
# Mean number of co-ordinators that report one change.
REPORTERS_PER_CHANGE = 3
REPEAT_INTERVAL = 2.0  # seconds between repetitions of a report
GONE_REPORT_DURATION = 12.0  # seconds for which a removed or no longer listed replica is reported


class DrainReports:
    """Sends and receives reports of draining and removed replicas."""

    def __init__(
        self,
        settings: api.Settings,
        context: BatchContext,
        membership: Membership,
        watch_options: WatchOptions,
    ) -> None:
        self._context = context
        self._membership = membership
        self._enabled = (
            settings.gossip_allowed and settings.membership_polled and watch_options.notified_within < inf
        )
        self._report_probability = min(REPORTERS_PER_CHANGE / settings.coordinator_count, 1.0)
        self._report_until = dict[int, float]()  # by replica id: time until which it is reported
        self._repeat_scheduled = False  # whether the timer of the next repetition is set

    def on_membership(self, event: api.MembershipChanged) -> None:
        """Update the endpoint list, and report replicas that have begun to drain or were removed."""
        self._membership.update(event)
        if not self._enabled or not self._membership.watch.is_up:
            return
        new = self._membership.unavailable - self._report_until.keys()
        self._extend_reports()
        for replica in self._report_until.keys() & self._membership.ready_ids():
            del self._report_until[replica]
        self._send_reports(new)
        if self._report_until and not self._repeat_scheduled:
            self._repeat_scheduled = True
            self._context.set_timer(REPEAT_INTERVAL, self._repeat_reports)

    def handle_message(self, event: api.PeerMessageReceived) -> bool:
        """Process a peer message if it is a drain report. Return whether it is one."""
        ids, kind = event.payload[:-1], event.payload[-1:]
        if kind != REPORT_DRAINING or not ids or len(ids) % ID_BYTES:
            return False
        for start in range(0, len(ids), ID_BYTES):
            replica = self._membership.replicas.get(int.from_bytes(ids[start : start + ID_BYTES], "big"))
            if replica is not None:
                replica.reported_draining_at = self._context.now
        return True

    def _extend_reports(self) -> None:
        for replica in self._membership.unavailable:
            self._report_until[replica] = self._context.now + GONE_REPORT_DURATION

    def _repeat_reports(self) -> None:
        """Repeat the report of draining and recently removed replicas, for co-ordinators that start later."""
        now = self._context.now
        self._repeat_scheduled = False
        if not self._membership.watch.is_up:
            return  # this co-ordinator's list may be stale; the next list starts the reports again
        self._extend_reports()
        self._report_until = {replica: until for replica, until in self._report_until.items() if until > now}
        if self._report_until:
            self._repeat_scheduled = True
            self._context.set_timer(REPEAT_INTERVAL, self._repeat_reports)
            self._send_reports(self._report_until)

    def _send_reports(self, replicas: Iterable[int]) -> None:
        """Send a report, with a probability such that only a few of all co-ordinators do."""
        ids = sorted(replicas)
        if not ids or self._context.random.random() >= self._report_probability:
            return
        for start in range(0, len(ids), MAX_IDS):
            packed = b"".join(n.to_bytes(ID_BYTES, "big") for n in ids[start : start + MAX_IDS])
            self._context.actions.append(api.SendToPeers(packed + REPORT_DRAINING))
