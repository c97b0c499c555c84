"""Reconciles the server lists of several sources into one view. Free of I/O; time is handed in.

- **A drain or a critical check, reported of a server by any source, counts at once**, from any age of report. It is
  taken back only by a later report of the same source about the same server; another source's older or newer "ready"
  does not undo it. (Rule 3 counts from when a co-ordinator was notified.)
- **An older report never undoes a newer one.** Reports of a source with an index (Consul's) are ordered by that, over
  all agents that speak for it, and an index that went back counts by the word of the source's leader alone; others by
  the time from which they hold: when they were read, less the age that they
  state of themselves. An entry older than the one that is held of that source is passed over, drains apart.
- **A server that a source no longer lists is gone**, as if reported so, unless it was a mass removal. An empty or
  halved list is what a catalogue returns after its own restart. Then the missing servers are retained for a while.
  This is the one place where a server that its operator took out, by taking out most of its peers in the same moment,
  can get new work for longer than the grace; operators that mean it drain first.
- **Many entries made anew at once** are a catalogue that was rebuilt, which says nothing of the servers.
- **Silence of a source changes nothing but the age of what is known**, which every view states.

A report costs one look at each entry that it lists; only servers whose entry changed, or of which something changes
with time, are evaluated again (`refresh`). What follows for one server is in `server_record`, the order of reports in
`source_ordering`.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import inf
from typing import Any, NamedTuple

from gingervane import interface as api
from gingervane.membership import reconciliation_state
from gingervane.membership.mass_removal_guard import MassRemovalGuard
from gingervane.membership.server_record import ServerEntry, ServerRecord
from gingervane.membership.source_ordering import IndexDoubt, SourceReport, SourceState
from gingervane.membership.view import Member


class ReconciledServer(NamedTuple):
    """One server of the view. `retained`: its source no longer lists it."""

    member: Member
    retained: bool


class ReconciledView(NamedTuple):
    """Servers by id, and for each source the age of its newest report in seconds (infinite: none ever came)."""

    servers: dict[int, ReconciledServer]
    ages: dict[str, float]


class Reconciliation:
    """Takes reports as they come; `view` returns what follows from them. For one thread."""

    def __init__(
        self, sources: Iterable[str], guard: MassRemovalGuard, authoritative: Iterable[str] = ()
    ) -> None:
        """`authoritative`: sources whose mass removals are intended, as with a list that somebody writes."""
        self._guard = guard
        self._authoritative = frozenset(authoritative)
        self._sources = {source: SourceState() for source in sources}
        self._servers: dict[int, ServerRecord] = {}
        self._reconciled: dict[int, ReconciledServer] = {}
        self._unevaluated: set[int] = set()  # servers to evaluate again
        self._time_dependent: set[int] = set()  # servers that change with time alone
        self._changed: dict[int, Member | None] = {}  # since `refresh` was last called
        self._doubts: list[IndexDoubt] = []  # not taken yet
        self.index_resets = 0

    def record_response(self, server: int, now: float) -> None:
        """Note a successful response of a server to the co-ordinator's own traffic."""
        if found := self._servers.get(server):
            found.last_response_at = max(found.last_response_at, now)

    def apply_report(self, report: SourceReport, now: float) -> None:
        """Take a complete list. An unknown source raises KeyError."""
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
        """Return the servers whose row has changed since the last call, None for those that are removed."""
        for source in self._sources.values():
            if not source.pending or now < source.reset_due(self._guard):
                continue
            if not source.pending_consistent:
                self._doubts.append(source.report_doubt())
                continue
            self.index_resets += 1
            for report in source.accept_reset():
                self._apply(report, source.latest_valid_from, True, now)
        self._evaluate_all(self._unevaluated | self._time_dependent, now)
        changed = self._changed
        self._changed = {}
        return changed

    def take_doubts(self) -> list[IndexDoubt]:
        """Return the doubts that have come up since the last call."""
        doubts, self._doubts = self._doubts, []
        return doubts

    def known_indexes(self) -> dict[str, int]:
        """Return for each source the index behind which, or without which, its leader is to be asked.

        It is one more than the newest while that one has come back and nobody has vouched for it.
        """
        return {name: source.index + source.awaits_leader for name, source in self._sources.items()}

    def view(self, now: float) -> ReconciledView:
        """Refresh, and return the view."""
        self.refresh(now)
        return self.latest_view(now)

    def latest_view(self, now: float) -> ReconciledView:
        """Return the view as of the last refresh."""
        ages = {name: now - source.latest_valid_from for name, source in self._sources.items()}
        return ReconciledView(self._reconciled, ages)

    def next_due(self, now: float) -> float:
        """Return when the view changes by itself at the latest, as a delay ends."""
        due = min((s.reset_due(self._guard) for s in self._sources.values() if s.pending), default=inf)
        for number in self._time_dependent:
            due = min([due, *self._servers[number].next_changes(self._guard, now)])
        return due

    def dump(self, now: float) -> dict[str, Any]:
        """Return the state as JSON can hold it."""
        return reconciliation_state.encode(self._sources, self._servers, now)

    def restore(self, stored: dict[str, Any], now: float, elapsed: float) -> None:
        """Take up what `dump` returned `elapsed` seconds ago, before any report. Raises ValueError if malformed.

        Sources that are no longer configured are left out. Responses of servers are not stored: a process that has
        just started has none.
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
        """Take over the entries of a report; mark those that it no longer lists if it is the newest."""
        servers = self._servers
        source = report.source
        listed: set[int] = set()
        recreated: list[ServerEntry] = []
        for member in report.members:
            number = member.id
            listed.add(number)
            server = servers.get(number)
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
        """Take over one entry of a report, unless it is older than the one that is held."""
        server = self._servers.get(member.id)
        entry = server.entries.get(source) if server else None
        unavailable = member.state is not api.ReplicaState.READY
        if entry is None:
            if not is_newest and not unavailable:
                return  # an older report of a server that has been removed since
            server = self._servers.setdefault(member.id, ServerRecord())
            server.entries[source] = ServerEntry(member, valid_from)
        elif is_newest or (unavailable and _is_ready_or_missing(entry)):
            # A drain counts at any age: to act on it wrongly costs a little, to miss it breaks a rule.
            entry.member = member
            entry.valid_from = max(valid_from, entry.valid_from)
            entry.missing_since = inf
            entry.retained = False
        else:
            return
        self._unevaluated.add(member.id)

    def _mark_missing(self, source: str, listed: set[int], now: float) -> None:
        """Mark the servers that the source listed before and lists no longer."""
        listed_before = 0
        missing: list[tuple[int, ServerEntry]] = []
        for number, server in self._servers.items():
            entry = server.entries.get(source)
            if entry is None or entry.missing_since < inf:
                continue
            listed_before += 1
            if number not in listed:
                missing.append((number, entry))
        is_mass_removal = source not in self._authoritative and self._guard.is_mass_change(
            len(missing), listed_before
        )
        for number, entry in missing:
            entry.missing_since = now
            # A server that was draining or gone goes: only one in service is retained.
            entry.retained = is_mass_removal and entry.member.state is api.ReplicaState.READY
            self._unevaluated.add(number)

    def _evaluate_all(self, numbers: set[int], now: float) -> None:
        for number in list(numbers):
            before = self._reconciled.get(number)
            after = self._evaluate(number, now)
            if after == before:
                continue
            if after is None:
                del self._reconciled[number]
            else:
                self._reconciled[number] = after
            if before is None or after is None or before.member != after.member:
                self._changed[number] = after.member if after else None
        self._unevaluated.clear()

    def _evaluate(self, number: int, now: float) -> ReconciledServer | None:
        """Return what follows for a server from its entries; None if it is removed."""
        server = self._servers[number]
        status = server.worst_status(self._guard, now)
        server.record_availability(status, self._guard, now)
        if server.is_time_dependent(now):
            self._time_dependent.add(number)
        else:
            self._time_dependent.discard(number)
        if status is None:
            if server.is_expired(self._guard, now):
                del self._servers[number]
                self._time_dependent.discard(number)
            return None
        return ReconciledServer(server.reconciled_member(status, now), status.retained)


def _is_recreated(before: Member, after: Member) -> bool:
    """Tell whether the source made its entry of a server anew; only a source with create indexes shows it."""
    return after.create_index != before.create_index and bool(after.create_index and before.create_index)


def _is_ready_or_missing(entry: ServerEntry) -> bool:
    return entry.member.state is api.ReplicaState.READY or entry.missing_since < inf
