"""All that the sources say of one server, and the state that follows from it. Free of I/O.

- A drain or a critical check counts whichever source states it: the worst of the sources' states is the server's.
- A server that its source no longer lists is gone at once, unless it disappeared in a mass removal: then it is
  retained for a while, and longer if it still answers (see `MassRemovalGuard`).
- A server that comes back earns no trust by being listed. After it was critical or gone it counts as ready only after
  the readmission delay, which doubles with each return within the flap window.
- An entry that was made anew is a process that was replaced: its slow start begins then, unless the entry states when
  the process started.
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
    """What one source last said of a server."""

    member: Member
    valid_from: float  # the time from which it holds
    missing_since: float = inf
    retained: bool = False  # it went missing in a mass removal
    recreated_at: float | None = None  # when the entry was seen made anew

    def status(self, last_response_at: float, guard: MassRemovalGuard, now: float) -> EntryStatus | None:
        """Return the state that this entry gives its server; None if it no longer counts."""
        if self.missing_since == inf:
            return EntryStatus(self.member.state, self, False)
        if not self.retained:
            return None
        missing_for = now - self.missing_since
        if missing_for < guard.hold_time:
            return EntryStatus(self.member.state, self, True)
        responds = now - last_response_at <= guard.response_window
        if responds and missing_for < guard.max_hold_time:
            return EntryStatus(self.member.state, self, True)
        return None


class EntryStatus(NamedTuple):
    """A state of a server, whose entry gives it, and whether the entry is retained though the source dropped it."""

    state: api.ReplicaState
    entry: ServerEntry
    retained: bool


@dataclass
class ServerRecord:
    """One server: its entries by source, and what is remembered between two evaluations."""

    entries: dict[str, ServerEntry] = field(default_factory=dict)
    unavailable: bool = False  # it was gone or critical at the last evaluation
    ready_from: float = 0.0
    return_times: list[float] = field(default_factory=list)
    last_response_at: float = -inf

    def worst_status(self, guard: MassRemovalGuard, now: float) -> EntryStatus | None:
        """Return the worst status that a source gives the server; None if no entry counts any more."""
        statuses = [
            status
            for entry in self.entries.values()
            if (status := entry.status(self.last_response_at, guard, now)) is not None
        ]
        if not statuses:
            return None
        # Of entries with the same state, one whose source still lists the server, and then the newest.
        return max(statuses, key=lambda s: (_SEVERITY[s.state], not s.retained, s.entry.valid_from))

    def record_availability(self, status: EntryStatus | None, guard: MassRemovalGuard, now: float) -> None:
        """Note whether the server is available now; a return starts a readmission delay."""
        unavailable = status is None or status.state is api.ReplicaState.GONE
        if self.unavailable and not unavailable:
            recent = [at for at in self.return_times if now - at < guard.flap_window]
            self.return_times = [*recent, now]
            delay = guard.readmission_delay * 2 ** (len(self.return_times) - 1)
            self.ready_from = now + min(delay, guard.max_readmission_delay)
        self.unavailable = unavailable

    def is_time_dependent(self, now: float) -> bool:
        """Tell whether time alone will change what follows for the server."""
        return self.ready_from > now or any(entry.missing_since < inf for entry in self.entries.values())

    def is_expired(self, guard: MassRemovalGuard, now: float) -> bool:
        """Tell whether every source dropped the server so long ago that its returns no longer matter."""
        return all(now - entry.missing_since > guard.flap_window for entry in self.entries.values())

    def next_changes(self, guard: MassRemovalGuard, now: float) -> Iterator[float]:
        """Yield the times after `now` at which the server may change by itself."""
        if self.ready_from > now:
            yield self.ready_from
        for entry in self.entries.values():
            if entry.missing_since == inf:
                continue
            ends = [entry.missing_since + guard.flap_window]
            if entry.retained:
                ends += (
                    entry.missing_since + guard.hold_time,
                    entry.missing_since + guard.max_hold_time,
                    self.last_response_at + guard.response_window,
                )
            yield from (end for end in ends if end > now)

    def reconciled_member(self, status: EntryStatus, now: float) -> Member:
        """Return the server's row with its state, and with the start of a process that may have restarted."""
        entry = status.entry
        member = entry.member._replace(state=status.state)
        if status.state is api.ReplicaState.READY and now < self.ready_from:
            return member._replace(state=api.ReplicaState.GONE)
        if member.started_at is None and (self.return_times or entry.recreated_at is not None):
            returned_at = self.ready_from if self.return_times else -inf
            recreated_at = -inf if entry.recreated_at is None else entry.recreated_at
            return member._replace(started_at=max(returned_at, recreated_at))
        return member
