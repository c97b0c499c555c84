"""Reconciles the server lists of several sources into one view. Free of I/O; callers pass the time.

- **A drain or a critical check of a server, reported by any source, counts at once**, however stale the report. Only
  a later report of the same source about the same server revokes it; a "ready" from another source, older or newer,
  does not. (Rule 3, on drains, counts from when a co-ordinator was notified.)
- **An older report never overrides a newer one.** Reports of a source with an index (Consul's) are ordered by it,
  across all agents of the source, and a lower index is accepted only if the source's leader has confirmed it. Reports
  of other sources are ordered by the time from which they are valid: when they were read, less their stated
  staleness. An entry older than the source's present one is ignored, except for drains.
- **A server that its source no longer lists is gone**, unless it is part of a mass removal: a catalogue returns an
  empty or halved list after its own restart, so the missing servers are then retained for a while. This is the only
  case in which a server that its operator removed can get new work for longer than the grace period: when most of its
  peers were removed in the same moment. An operator who intends this drains the servers first.
- **Many entries re-created at once** mean that the catalogue was rebuilt, not that the servers restarted.
- **A source that sends no data changes nothing but the age of its list**, which every view states.

A report costs one comparison for each entry that it lists. Only servers whose entry changed, or whose state depends
on the time, are evaluated again (`refresh`). `server_record` derives the state of one server; `source_ordering`
orders the reports of one source.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import inf
from typing import Any, NamedTuple

from gingervane import interface as api
from gingervane.membership import reconciliation_state
from gingervane.membership.mass_removal_guard import MassRemovalGuard
from gingervane.membership.server_record import ServerEntry, ServerRecord
from gingervane.membership.source_ordering import SourceReport, SourceState, UnconfirmedIndex
from gingervane.membership.view import Member


class ReconciledServer(NamedTuple):
    """One server of the view. `retained`: kept after a mass removal, though its source no longer lists it."""

    member: Member
    retained: bool


class ReconciledView(NamedTuple):
    """Servers by ID, and the age in seconds of each source's newest report, infinite if none was received."""

    servers: dict[int, ReconciledServer]
    ages: dict[str, float]


class Reconciliation:
    """Combines the reports of all sources into one view. Not thread-safe: one thread makes all calls."""

    def __init__(
        self, sources: Iterable[str], guard: MassRemovalGuard, authoritative: Iterable[str] = ()
    ) -> None:
        """`authoritative`: sources whose mass removals count as intended, such as a list file."""
        self._guard = guard
        self._authoritative = frozenset(authoritative)
        self._sources = {source: SourceState() for source in sources}
        self._servers: dict[int, ServerRecord] = {}
        self._reconciled: dict[int, ReconciledServer] = {}
        self._unevaluated: set[int] = set()  # IDs of servers to evaluate again
        self._time_dependent: set[int] = set()  # IDs of servers whose state changes with time alone
        self._changed: dict[int, Member | None] = {}  # since the last `refresh`; None: removed
        self._unconfirmed_indexes: list[UnconfirmedIndex] = []  # since the last `take_unconfirmed_indexes`
        self.index_resets = 0

    def record_response(self, server: int, now: float) -> None:
        """Record the time of a server's successful response to this co-ordinator."""
        if record := self._servers.get(server):
            record.last_response_at = max(record.last_response_at, now)

    def apply_report(self, report: SourceReport, now: float) -> None:
        """Apply a complete list. Raises KeyError if the source is unknown."""
        source = self._sources[report.source]
        valid_from = now - max(report.age, 0.0)
        if source.index:
            is_newest = self._is_newest(source, report, now)
        else:
            is_newest = source.accept_by_time(report, valid_from)
        source.latest_valid_from = max(valid_from, source.latest_valid_from)
        self._apply(report, valid_from, is_newest, now)
        self._evaluate_all(self._unevaluated, now)

    def refresh(self, now: float) -> dict[int, Member | None]:
        """Apply the changes that are due; return the members changed since the last call by ID (None: removed)."""
        for source in self._sources.values():
            if not source.pending or now < source.reset_due_at(self._guard):
                continue
            if not source.is_pending_confirmed:
                self._unconfirmed_indexes.append(source.report_unconfirmed_index())
                continue
            self.index_resets += 1
            for report in source.accept_reset():
                self._apply(report, source.latest_valid_from, True, now)
        self._evaluate_all(self._unevaluated | self._time_dependent, now)
        changed = self._changed
        self._changed = {}
        return changed

    def take_unconfirmed_indexes(self) -> list[UnconfirmedIndex]:
        """Return the unconfirmed lower indexes that have become due for a warning since the last call."""
        unconfirmed_indexes, self._unconfirmed_indexes = self._unconfirmed_indexes, []
        return unconfirmed_indexes

    def known_indexes(self) -> dict[str, int]:
        """Return for each source the index below which a report must be confirmed by the source's leader.

        That is the newest index, or one more while a superseded index has reappeared and is not yet confirmed.
        """
        return {name: source.index + source.awaits_confirmation for name, source in self._sources.items()}

    def view(self, now: float) -> ReconciledView:
        """Refresh, and return the view."""
        self.refresh(now)
        return self.latest_view(now)

    def latest_view(self, now: float) -> ReconciledView:
        """Return the view as of the last refresh."""
        ages = {name: now - source.latest_valid_from for name, source in self._sources.items()}
        return ReconciledView(self._reconciled, ages)

    def next_due(self, now: float) -> float:
        """Return the earliest time at which the view may change without a report; infinite if it cannot."""
        due = min((s.reset_due_at(self._guard) for s in self._sources.values() if s.pending), default=inf)
        for server_id in self._time_dependent:
            due = min([due, *self._servers[server_id].next_changes(self._guard, now)])
        return due

    def dump(self, now: float) -> dict[str, Any]:
        """Return the state as JSON-compatible data."""
        return reconciliation_state.encode(self._sources, self._servers, now)

    def restore(self, stored: dict[str, Any], now: float, elapsed: float) -> None:
        """Restore what `dump` returned `elapsed` seconds ago, before any report. Raises ValueError if malformed.

        Sources that are no longer configured are ignored. Times of responses are not stored, as a new process has
        received none.
        """
        restored = reconciliation_state.decode(stored, self._sources, now - elapsed)
        for name, valid_from in restored.latest_valid_from.items():
            self._sources[name].latest_valid_from = valid_from
            self._sources[name].index = restored.source_index.get(name, 0)
        self._servers = restored.servers
        self._unevaluated = set(self._servers)

    def _is_newest(self, source: SourceState, report: SourceReport, now: float) -> bool:
        return source.accept_by_index(report, now)

    def _apply(self, report: SourceReport, valid_from: float, is_newest: bool, now: float) -> None:
        """Apply the entries of a report; if it is the newest, mark the servers that it no longer lists as missing."""
        servers = self._servers
        source = report.source
        listed: set[int] = set()
        recreated: list[ServerEntry] = []
        for member in report.members:
            server_id = member.id
            listed.add(server_id)
            server = servers.get(server_id)
            entry = server.entries.get(source) if server else None
            if entry is not None and entry.member == member and entry.missing_since == inf:
                continue
            if is_newest and entry is not None and _is_recreated(entry.member, member):
                recreated.append(entry)
            self._apply_member(source, member, valid_from, is_newest)
        if not self._guard.is_mass_change(len(recreated), len(listed)):
            for entry in recreated:
                entry.recreated_at = now
        if is_newest:
            self._mark_missing(source, listed, now)

    def _apply_member(self, source: str, member: Member, valid_from: float, is_newest: bool) -> None:
        """Apply one entry of a report, unless it is older than the source's present entry and reports no drain."""
        server = self._servers.get(member.id)
        entry = server.entries.get(source) if server else None
        unavailable = member.state is not api.ReplicaState.READY
        if entry is None:
            if not is_newest and not unavailable:
                return  # a stale report of a server that has since been removed
            server = self._servers.setdefault(member.id, ServerRecord())
            server.entries[source] = ServerEntry(member, valid_from)
        elif is_newest or (unavailable and _is_ready_or_missing(entry)):
            # A stale drain counts too: acting on it wrongly costs little, missing it breaks the rule on drains.
            entry.member = member
            entry.valid_from = max(valid_from, entry.valid_from)
            entry.missing_since = inf
            entry.retained = False
        else:
            return
        self._unevaluated.add(member.id)

    def _mark_missing(self, source: str, listed: set[int], now: float) -> None:
        """Mark the servers that the source listed before and no longer lists."""
        listed_before = 0
        missing: list[tuple[int, ServerEntry]] = []
        for server_id, server in self._servers.items():
            entry = server.entries.get(source)
            if entry is None or entry.missing_since < inf:
                continue
            listed_before += 1
            if server_id not in listed:
                missing.append((server_id, entry))
        is_mass_removal = source not in self._authoritative and self._guard.is_mass_change(
            len(missing), listed_before
        )
        for server_id, entry in missing:
            entry.missing_since = now
            # Only a server that was ready is retained.
            entry.retained = is_mass_removal and entry.member.state is api.ReplicaState.READY
            self._unevaluated.add(server_id)

    def _evaluate_all(self, server_ids: set[int], now: float) -> None:
        for server_id in list(server_ids):
            before = self._reconciled.get(server_id)
            after = self._evaluate(server_id, now)
            if after == before:
                continue
            if after is None:
                del self._reconciled[server_id]
            else:
                self._reconciled[server_id] = after
            if before is None or after is None or before.member != after.member:
                self._changed[server_id] = after.member if after else None
        self._unevaluated.clear()

    def _evaluate(self, server_id: int, now: float) -> ReconciledServer | None:
        """Return the state that follows from a server's entries; None if it is removed."""
        server = self._servers[server_id]
        status = server.worst_status(self._guard, now)
        server.record_availability(status, self._guard, now)
        if server.is_time_dependent(now):
            self._time_dependent.add(server_id)
        else:
            self._time_dependent.discard(server_id)
        if status is None:
            if server.is_expired(self._guard, now):
                del self._servers[server_id]
                self._time_dependent.discard(server_id)
            return None
        return ReconciledServer(server.reconciled_member(status, now), status.retained)


def _is_recreated(before: Member, after: Member) -> bool:
    """Return whether the source re-created its entry of a server. False for sources without create indexes."""
    return after.create_index != before.create_index and bool(after.create_index and before.create_index)


def _is_ready_or_missing(entry: ServerEntry) -> bool:
    return entry.member.state is api.ReplicaState.READY or entry.missing_since < inf
