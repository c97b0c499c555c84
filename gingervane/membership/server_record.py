"""All sources' entries of one server, and the state derived from them. Free of I/O.

- The server's state is the worst one that any source reports, so a drain or critical check from any source counts.
- A server that its source no longer lists is gone at once, unless it was part of a mass removal: then it is retained
  for a while, and longer if it still responds (see `MassRemovalGuard`).
- A server that was critical or gone and recovers counts as ready only after the readmission delay, which doubles with
  each recovery within the flap window.
- A re-created entry means that the process was replaced: its slow start begins then, unless the entry states when the
  process started.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

from gingervane import interface as api
from gingervane.membership.mass_removal_guard import MassRemovalGuard
from gingervane.membership.view import Member

_SEVERITY = {api.ReplicaState.READY: 0, api.ReplicaState.DRAINING: 1, api.ReplicaState.GONE: 2}


@dataclass
class ServerEntry:
    """The latest entry of a server in one source. Times are in seconds on the monotonic clock."""

    member: Member
    valid_from: float  # time from which the entry is valid: when it was read, less its stated staleness
    missing_since: float = inf  # when the source stopped listing the server; infinite while it lists it
    retained: bool = False  # the server was removed in a mass removal
    recreated_at: float | None = None  # when the entry was seen to have been re-created

    def status(self, last_response_at: float, guard: MassRemovalGuard, now: float) -> EntryStatus | None:
        """Return the state of the server by this entry; None if the entry no longer counts."""
        if self.missing_since == inf:
            return EntryStatus(self.member.state, self, False)
        if not self.retained:
            return None
        missing_for = now - self.missing_since
        if missing_for < guard.retention_time:
            return EntryStatus(self.member.state, self, True)
        responds = now - last_response_at <= guard.response_window
        if responds and missing_for < guard.max_retention_time:
            return EntryStatus(self.member.state, self, True)
        return None


class EntryStatus(NamedTuple):
    """A state of a server, the entry that it comes from, and whether the entry is retained after a mass removal."""

    state: api.ReplicaState
    entry: ServerEntry
    retained: bool


@dataclass
class ServerRecord:
    """One server: its entries by source, and its history. Times are in seconds on the monotonic clock."""

    entries: dict[str, ServerEntry] = field(default_factory=dict)
    unavailable: bool = False  # the server was gone or critical at the last evaluation
    ready_from: float = 0.0  # when the last readmission delay ends
    recovery_times: list[float] = field(default_factory=list)  # recoveries within the flap window
    last_response_at: float = -inf  # last successful response to this co-ordinator

    def worst_status(self, guard: MassRemovalGuard, now: float) -> EntryStatus | None:
        """Return the worst status that any source reports; None if no entry counts any more."""
        statuses = [
            status
            for entry in self.entries.values()
            if (status := entry.status(self.last_response_at, guard, now)) is not None
        ]
        if not statuses:
            return None
        # Among entries with the same state, prefer one whose source still lists the server, then the newest.
        return max(statuses, key=lambda s: (_SEVERITY[s.state], not s.retained, s.entry.valid_from))

    def record_availability(self, status: EntryStatus | None, guard: MassRemovalGuard, now: float) -> None:
        """Record whether the server is available now; a recovery starts a readmission delay."""
        unavailable = status is None or status.state is api.ReplicaState.GONE
        if self.unavailable and not unavailable:
            recent_times = [past for past in self.recovery_times if now - past < guard.flap_window]
            self.recovery_times = [*recent_times, now]
            delay = guard.readmission_delay * 2 ** (len(self.recovery_times) - 1)
            self.ready_from = now + min(delay, guard.max_readmission_delay)
        self.unavailable = unavailable

    def is_time_dependent(self, now: float) -> bool:
        """Return whether the server's state may change with time alone."""
        return self.ready_from > now or any(entry.missing_since < inf for entry in self.entries.values())

    def is_expired(self, guard: MassRemovalGuard, now: float) -> bool:
        """Return whether every source dropped the server longer ago than the flap window, so its record can go."""
        return all(now - entry.missing_since > guard.flap_window for entry in self.entries.values())

    def next_changes(self, guard: MassRemovalGuard, now: float) -> Iterator[float]:
        """Yield the times after `now` at which the server's state may change without a report."""
        if self.ready_from > now:
            yield self.ready_from
        for entry in self.entries.values():
            if entry.missing_since == inf:
                continue
            change_times = [entry.missing_since + guard.flap_window]
            if entry.retained:
                change_times += (
                    entry.missing_since + guard.retention_time,
                    entry.missing_since + guard.max_retention_time,
                    self.last_response_at + guard.response_window,
                )
            yield from (change_time for change_time in change_times if change_time > now)

    def reconciled_member(self, status: EntryStatus, now: float) -> Member:
        """Return the entry's member with the given state, and with a start time if the process may have restarted.

        A member within its readmission delay is gone instead of ready.
        """
        entry = status.entry
        member = entry.member._replace(state=status.state)
        if status.state is api.ReplicaState.READY and now < self.ready_from:
            return member._replace(state=api.ReplicaState.GONE)
        if member.started_at is None and (self.recovery_times or entry.recreated_at is not None):
            recovered_at = self.ready_from if self.recovery_times else -inf
            recreated_at = -inf if entry.recreated_at is None else entry.recreated_at
            return member._replace(started_at=max(recovered_at, recreated_at))
        return member
