"""Several sources of server lists, one view. Free of I/O; time is handed in.

What is believed, and why:

- **A drain or a critical check, told of a server by any source, is believed at once**, from any age of answer. It is
  taken back only by later news of the same source about the same server; another source's older or newer "ready"
  does not undo it. (Rule 3 counts from when a co-ordinator was told.)
- **Older news never undoes newer.** What a source orders by an index (Consul's) is ordered by that, over all agents
  that speak for it; else by the moment from which a report holds: when it was read, less the age that it states of
  itself. An entry from before the one held of that source is passed over, drains apart.
- **An index that goes back** is an agent that lags, or a catalogue that was restored. It is taken for a restored one
  once no agent has shown the higher index for `reset` seconds, longer than a quiet agent stays silent; for
  `reset_sure` if the answer was a consistent one, which an agent that lags cannot give. Each time that this turns out
  wrong (the higher index is shown again) doubles the wait.
- **A server that a source no longer names is gone**, as if told, unless much of the list went at once. An empty or
  halved list is what a catalogue says after its own restart. Past the fence (`share` of what the source named, and
  more than one server) what went missing is held as it was, for `hold` seconds, and then for as long as the
  co-ordinator's own traffic is answered by it, at most `hold_most`. This is the one place where a server that its
  operator took out, by taking out most of its peers in the same moment, can get new work for longer than the grace;
  operators that mean it drain first.
- **A server that comes back earns no trust by being listed.** After it was critical or gone it counts as ready only
  once it has been listed so for `settle` seconds, doubled for each time that it came back within `flap_span`.
- **An entry made anew is a process that was replaced**: cold from then on, if the entry does not say when it
  started. Many at once are a catalogue that was rebuilt, which says nothing of the servers.
- **Silence of a source changes nothing but the age of what is known**, which every view states.

What a report costs: one look at each entry that it names; only servers whose entry changed, or of which something
runs out with time, are judged again (`refresh`).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf
from typing import Any, NamedTuple

from gingervane import interface as api
from gingervane.membership.view import Member

_WORST = {api.ReplicaState.READY: 0, api.ReplicaState.DRAINING: 1, api.ReplicaState.GONE: 2}
MAX_RESET_DOUBLINGS = 6


class MassRemovalGuard(NamedTuple):
    """Times in seconds; `share` of a source's servers."""

    max_removed_share: float = 0.34
    hold_time: float = 10.0
    max_hold_time: float = 300.0
    response_window: float = 5.0  # an answer so recent speaks for a server
    readmission_delay: float = 1.0
    max_readmission_delay: float = 30.0
    flap_window: float = 60.0
    index_reset_delay: float = 35.0
    consistent_index_reset_delay: float = 2.0

    def is_mass_change(self, count: int, of: int) -> bool:
        """Whether so many at once are the source's doing and not the servers'."""
        return count > 1 and count > self.max_removed_share * of


class SourceReport(NamedTuple):
    """A whole list of one source. `age`: how old it says that it is, in seconds, when it was read.

    `order`: the index that orders it among the source's reports, 0 if nothing does. `sure`: the source's leader
    vouched for it.
    """

    source: str
    members: tuple[Member, ...]
    age: float = 0.0
    source_index: int = 0
    consistent: bool = False


class ReconciledServer(NamedTuple):
    """One server as it is believed. `held`: against a source's silence about it."""

    member: Member
    retained: bool


class ReconciledView(NamedTuple):
    """The view: servers by id, and for each source how long ago its last answer held (infinite: never heard)."""

    servers: dict[int, ReconciledServer]
    ages: dict[str, float]


@dataclass
class SourceState:
    """What orders a source's reports."""

    latest_valid_from: float = -inf  # from when its newest report held
    index: int = 0
    pending: SourceReport | None = None  # the newest report with a lower index
    pending_since: float = inf  # when the first of those came
    pending_consistent: bool = False
    abandoned_index: int = 0  # the index that was given up for a lower one
    failed_resets: int = 0  # how often the higher one came back


@dataclass
class ServerEntry:
    """What one source last said of a server."""

    member: Member
    valid_from: float  # when it held
    missing_since: float = inf
    retained: bool = False  # went missing with much of the list
    recreated_at: float | None = None  # when the entry was seen made anew


@dataclass
class ServerRecord:
    entries: dict[str, ServerEntry] = field(default_factory=dict)
    unavailable: bool = False  # was gone or critical the last time
    ready_from: float = 0.0
    return_times: list[float] = field(default_factory=list)
    last_response_at: float = -inf


class Reconciliation:
    """Takes reports as they come; `view` says what is believed at a moment. One thread's."""

    def __init__(self, sources: Iterable[str], fence: MassRemovalGuard, meant: Iterable[str] = ()) -> None:
        """`meant`: sources whose silence about many servers at once is meant, as with a list that somebody writes."""
        self._guard, self._authoritative = fence, frozenset(meant)
        self._sources = {source: SourceState() for source in sources}
        self._servers: dict[int, ServerRecord] = {}
        self._reconciled: dict[int, ReconciledServer] = {}
        self._unevaluated: set[int] = set()  # to be judged again
        self._time_dependent: set[int] = set()  # of which something changes with time alone
        self._changed: dict[int, Member | None] = {}  # since `refresh` was last asked
        self.index_resets = 0

    def record_response(self, server: int, now: float) -> None:
        """The co-ordinator's own traffic has had a good answer of a server."""
        if found := self._servers.get(server):
            found.last_response_at = max(found.last_response_at, now)

    def apply_report(self, report: SourceReport, now: float) -> None:
        """Take a whole list. An unknown source raises KeyError."""
        source = self._sources[report.source]
        held_from = now - max(report.age, 0.0)
        if report.source_index and source.index:
            newer = self._is_newest(source, report, now)
        else:
            newer = held_from >= source.latest_valid_from
            source.index = report.source_index
        source.latest_valid_from = max(held_from, source.latest_valid_from)
        self._apply(report, held_from, newer, now)
        self._evaluate_all(self._unevaluated, now)

    def refresh(self, now: float) -> dict[int, Member | None]:
        """The servers whose row has changed since this was last asked, None for those that are no more."""
        for source in self._sources.values():
            if source.pending and now >= self._reset_due(source):
                self._accept_index_reset(source, now)
        self._evaluate_all(self._unevaluated | self._time_dependent, now)
        changed, self._changed = self._changed, {}
        return changed

    def view(self, now: float) -> ReconciledView:
        """What is believed now."""
        self.refresh(now)
        return self.latest_view(now)

    def latest_view(self, now: float) -> ReconciledView:
        """What the last refresh came to."""
        return ReconciledView(
            self._reconciled, {name: now - source.latest_valid_from for name, source in self._sources.items()}
        )

    def next_due(self, now: float) -> float:
        """When the view changes by itself at the latest: a hold, a settling or a doubt that ends."""
        due = min((self._reset_due(s) for s in self._sources.values() if s.pending), default=inf)
        for number in self._time_dependent:
            server = self._servers[number]
            if server.ready_from > now:
                due = min(due, server.ready_from)
            for entry in server.entries.values():
                if entry.missing_since == inf:
                    continue
                ends = [entry.missing_since + self._guard.flap_window]
                if entry.retained:
                    ends += (
                        entry.missing_since + self._guard.hold_time,
                        entry.missing_since + self._guard.max_hold_time,
                        server.last_response_at + self._guard.response_window,
                    )
                due = min([due, *(end for end in ends if end > now)])
        return due

    def dump(self, now: float) -> dict[str, Any]:
        """All that is held, as JSON can have it. Times are ages in seconds, so that they outlive a clock."""
        servers = {}
        for number, server in self._servers.items():
            servers[str(number)] = {
                "entries": {
                    source: [
                        *entry.member[:5],
                        entry.member.state.value,
                        entry.member.started_at,
                        now - entry.valid_from,
                        _age(now, entry.missing_since),
                        entry.retained,
                        entry.member.create_index,
                        None if entry.recreated_at is None else now - entry.recreated_at,
                    ]
                    for source, entry in server.entries.items()
                },
                "away": server.unavailable,
                "ready_in": server.ready_from - now,
                "returns": [now - at for at in server.return_times],
            }
        return {
            "now": now,
            "last": {n: _age(now, s.latest_valid_from) for n, s in self._sources.items()},
            "index": {n: s.index for n, s in self._sources.items()},
            "servers": servers,
        }

    def restore(self, kept: dict[str, Any], now: float, elapsed: float) -> None:
        """Take up what `dump` gave `elapsed` seconds ago, before any report. Raises ValueError if it is none.

        Sources that are no longer configured are left out. What speaks for a server (its answers) is not kept: a
        process that has just started has none.
        """
        then = now - elapsed  # the dump's moment, on this process's clock
        try:
            shift = then - float(kept["now"]) if "now" in kept else 0.0
            last = {
                n: -inf if age is None else then - age
                for n, age in kept["last"].items()
                if n in self._sources
            }
            index = {n: int(at) for n, at in kept.get("index", {}).items() if n in self._sources}
            servers = {int(n): self._restored(row, then, shift) for n, row in kept["servers"].items()}
        except (KeyError, TypeError, ValueError, AttributeError, IndexError) as error:
            raise ValueError(f"no state of a merge: {error!r}") from None
        for name, at in last.items():
            self._sources[name].latest_valid_from = at
            self._sources[name].index = index.get(name, 0)
        self._servers = {number: server for number, server in servers.items() if server.entries}
        self._unevaluated = set(self._servers)

    def _restored(self, row: dict[str, Any], then: float, shift: float) -> ServerRecord:
        out = ServerRecord(unavailable=bool(row["away"]), ready_from=then + row["ready_in"])
        out.return_times = [then - age for age in row["returns"]]
        for source, fields in row["entries"].items():
            number, name, address, zone, cell, state, started, age, missing, fenced, *more = fields
            created, renewed = more or (0, None)  # left out by older versions
            if source in self._sources:
                member = Member(
                    number,
                    name,
                    (address[0], address[1]),
                    zone,
                    cell,
                    api.ReplicaState(state),
                    None if started is None else started + shift,
                    created,
                )
                since = inf if missing is None else then - missing
                out.entries[source] = ServerEntry(
                    member, then - age, since, bool(fenced), None if renewed is None else then - renewed
                )
        return out

    # ---- the order of a source's reports

    def _is_newest(self, source: SourceState, report: SourceReport, now: float) -> bool:
        """Whether a report is at least as new as what is held, by its index."""
        if report.source_index >= source.index:
            if source.abandoned_index and report.source_index >= source.abandoned_index:
                source.failed_resets, source.abandoned_index = (
                    min(source.failed_resets + 1, MAX_RESET_DOUBLINGS),
                    0,
                )
            source.index, source.pending, source.pending_since, source.pending_consistent = (
                report.source_index,
                None,
                inf,
                False,
            )
            return True
        source.pending_since, source.pending = min(source.pending_since, now), report
        source.pending_consistent = source.pending_consistent or report.consistent
        return False

    def _reset_due(self, source: SourceState) -> float:
        wait = (
            self._guard.consistent_index_reset_delay
            if source.pending_consistent
            else self._guard.index_reset_delay
        )
        return source.pending_since + wait * 2.0**source.failed_resets

    def _accept_index_reset(self, source: SourceState, now: float) -> None:
        """No agent has shown the higher index since: the lower one is what there is now."""
        report = source.pending
        assert report is not None
        self.index_resets += 1
        source.abandoned_index, source.index = source.index, report.source_index
        source.pending, source.pending_since, source.pending_consistent = None, inf, False
        self._apply(report, source.latest_valid_from, True, now)

    # ---- entries

    def _apply(self, report: SourceReport, held_from: float, newer: bool, now: float) -> None:
        servers, name = self._servers, report.source
        named: set[int] = set()
        anew: list[ServerEntry] = []
        for member in report.members:
            number = member.id
            named.add(number)
            server = servers.get(number)
            entry = server.entries.get(name) if server else None
            if entry is not None and entry.member == member and entry.missing_since == inf:
                continue
            self._apply_member(name, member, held_from, newer, anew)
        if not self._guard.is_mass_change(len(anew), len(named)):
            for entry in anew:
                entry.recreated_at = now
        if newer:
            self._mark_missing(name, named, now)

    def _apply_member(
        self, source: str, member: Member, held_from: float, newer: bool, anew: list[ServerEntry]
    ) -> None:
        server = self._servers.get(member.id)
        entry = server.entries.get(source) if server else None
        away = member.state is not api.ReplicaState.READY
        if entry is None:
            if not newer and not away:
                return  # older news of a server that has been taken out since
            server = self._servers.setdefault(member.id, ServerRecord())
            server.entries[source] = ServerEntry(member, held_from)
        elif newer or (away and (entry.member.state is api.ReplicaState.READY or entry.missing_since < inf)):
            # Bad news of a server counts at any age: to act on it wrongly costs a little, to miss it breaks a rule.
            if (
                newer
                and member.create_index != entry.member.create_index
                and member.create_index
                and entry.member.create_index
            ):
                anew.append(entry)
            entry.member, entry.valid_from = member, max(held_from, entry.valid_from)
            entry.missing_since, entry.retained = inf, False
        else:
            return
        self._unevaluated.add(member.id)

    def _mark_missing(self, source: str, named: set[int], now: float) -> None:
        """Servers that the source named before and names no longer."""
        before = 0
        lost: list[tuple[int, ServerEntry]] = []
        for number, server in self._servers.items():
            entry = server.entries.get(source)
            if entry is None or entry.missing_since < inf:
                continue
            before += 1
            if number not in named:
                lost.append((number, entry))
        much = source not in self._authoritative and self._guard.is_mass_change(len(lost), before)
        for number, entry in lost:
            entry.missing_since = now
            # What was on its way out already goes: only what was in service is held.
            entry.retained = much and entry.member.state is api.ReplicaState.READY
            self._unevaluated.add(number)

    # ---- what follows for a server

    def _evaluate_all(self, numbers: set[int], now: float) -> None:
        for number in list(numbers):
            was, known = self._reconciled.get(number), self._evaluate(number, now)
            if known == was:
                continue
            if known is None:
                del self._reconciled[number]
            else:
                self._reconciled[number] = known
            if was is None or known is None or was.member != known.member:
                self._changed[number] = known.member if known else None
        self._unevaluated.clear()

    def _said(
        self, server: ServerRecord, entry: ServerEntry, now: float
    ) -> tuple[api.ReplicaState, bool] | None:
        """What an entry makes of its server now, and whether that is held; None: nothing any more."""
        if entry.missing_since == inf:
            return entry.member.state, False
        if not entry.retained:
            return None
        since = now - entry.missing_since
        if since < self._guard.hold_time:
            return entry.member.state, True
        speaks = now - server.last_response_at <= self._guard.response_window
        return (entry.member.state, True) if speaks and since < self._guard.max_hold_time else None

    def _state(self, server: ServerRecord, now: float) -> tuple[api.ReplicaState, ServerEntry, bool] | None:
        """The worst of what sources say, whose entry it is, and whether it is held; None if nobody says anything."""
        found = [
            (said[0], entry, said[1])
            for entry in server.entries.values()
            if (said := self._said(server, entry, now)) is not None
        ]
        if not found:
            return None
        # Of sources that say the same, one that still names the server, and then the newest.
        return max(found, key=lambda f: (_WORST[f[0]], not f[2], f[1].valid_from))

    def _evaluate(self, number: int, now: float) -> ReconciledServer | None:
        """What is believed of a server; notes when it comes back, and whether time alone will change it."""
        server, fence = self._servers[number], self._guard
        found = self._state(server, now)
        away = found is None or found[0] is api.ReplicaState.GONE
        if server.unavailable and not away:
            server.return_times = [at for at in server.return_times if now - at < fence.flap_window] + [now]
            server.ready_from = now + min(
                fence.readmission_delay * 2 ** (len(server.return_times) - 1), fence.max_readmission_delay
            )
        server.unavailable = away
        missing = [e.missing_since for e in server.entries.values()]
        timed = server.ready_from > now or any(since < inf for since in missing)
        (self._time_dependent.add if timed else self._time_dependent.discard)(number)
        if found is None:
            if all(now - since > fence.flap_window for since in missing):
                del self._servers[number]
                self._time_dependent.discard(number)
            return None
        state, entry, held = found
        member = entry.member._replace(state=state)
        if state is api.ReplicaState.READY and now < server.ready_from:
            member = member._replace(state=api.ReplicaState.GONE)
        elif member.started_at is None and (server.return_times or entry.recreated_at is not None):
            # It may have restarted: cold from then on.
            member = member._replace(
                started_at=max(
                    server.ready_from if server.return_times else -inf,
                    -inf if entry.recreated_at is None else entry.recreated_at,
                )
            )
        return ReconciledServer(member, held)


def _age(now: float, at: float) -> float | None:
    return None if at in (inf, -inf) else now - at
