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
_MOST_DOUBLINGS = 6


class MassRemovalGuard(NamedTuple):
    """Times in seconds; `share` of a source's servers."""

    share: float = 0.34
    hold: float = 10.0
    hold_most: float = 300.0
    evidence: float = 5.0  # an answer so recent speaks for a server
    settle: float = 1.0
    settle_most: float = 30.0
    flap_span: float = 60.0
    reset: float = 35.0
    reset_sure: float = 2.0

    def much(self, count: int, of: int) -> bool:
        """Whether so many at once are the source's doing and not the servers'."""
        return count > 1 and count > self.share * of


class Report(NamedTuple):
    """A whole list of one source. `age`: how old it says that it is, in seconds, when it was read.

    `order`: the index that orders it among the source's reports, 0 if nothing does. `sure`: the source's leader
    vouched for it.
    """

    source: str
    members: tuple[Member, ...]
    age: float = 0.0
    order: int = 0
    sure: bool = False


class Known(NamedTuple):
    """One server as it is believed. `held`: against a source's silence about it."""

    member: Member
    held: bool


class Belief(NamedTuple):
    """The view: servers by id, and for each source how long ago its last answer held (infinite: never heard)."""

    servers: dict[int, Known]
    ages: dict[str, float]


@dataclass
class _Source:
    """What orders a source's reports."""

    last: float = -inf  # from when its newest report held
    index: int = 0
    waiting: Report | None = None  # the newest report with a lower index
    since: float = inf  # when the first of those came
    sure: bool = False
    before: int = 0  # the index that was given up for a lower one
    wrong: int = 0  # how often the higher one came back


@dataclass
class _Entry:
    """What one source last said of a server."""

    member: Member
    at: float  # when it held
    missing_since: float = inf
    fenced: bool = False  # went missing with much of the list
    renewed: float | None = None  # when the entry was seen made anew


@dataclass
class _Server:
    entries: dict[str, _Entry] = field(default_factory=dict)
    away: bool = False  # was gone or critical the last time
    ready_from: float = 0.0
    returns: list[float] = field(default_factory=list)
    answered: float = -inf


class Reconciliation:
    """Takes reports as they come; `view` says what is believed at a moment. One thread's."""

    def __init__(self, sources: Iterable[str], fence: MassRemovalGuard, meant: Iterable[str] = ()) -> None:
        """`meant`: sources whose silence about many servers at once is meant, as with a list that somebody writes."""
        self._fence, self._meant = fence, frozenset(meant)
        self._sources = {source: _Source() for source in sources}
        self._servers: dict[int, _Server] = {}
        self._known: dict[int, Known] = {}
        self._dirty: set[int] = set()  # to be judged again
        self._timed: set[int] = set()  # of which something changes with time alone
        self._changed: dict[int, Member | None] = {}  # since `refresh` was last asked
        self.resets = 0

    def answered(self, server: int, now: float) -> None:
        """The co-ordinator's own traffic has had a good answer of a server."""
        if found := self._servers.get(server):
            found.answered = max(found.answered, now)

    def report(self, report: Report, now: float) -> None:
        """Take a whole list. An unknown source raises KeyError."""
        source = self._sources[report.source]
        held_from = now - max(report.age, 0.0)
        if report.order and source.index:
            newer = self._ordered(source, report, now)
        else:
            newer = held_from >= source.last
            source.index = report.order
        source.last = max(held_from, source.last)
        self._apply(report, held_from, newer, now)
        self._judge_all(self._dirty, now)

    def refresh(self, now: float) -> dict[int, Member | None]:
        """The servers whose row has changed since this was last asked, None for those that are no more."""
        for source in self._sources.values():
            if source.waiting and now >= self._reset_due(source):
                self._reset(source, now)
        self._judge_all(self._dirty | self._timed, now)
        changed, self._changed = self._changed, {}
        return changed

    def view(self, now: float) -> Belief:
        """What is believed now."""
        self.refresh(now)
        return self.belief(now)

    def belief(self, now: float) -> Belief:
        """What the last refresh came to."""
        return Belief(self._known, {name: now - source.last for name, source in self._sources.items()})

    def next_due(self, now: float) -> float:
        """When the view changes by itself at the latest: a hold, a settling or a doubt that ends."""
        due = min((self._reset_due(s) for s in self._sources.values() if s.waiting), default=inf)
        for number in self._timed:
            server = self._servers[number]
            if server.ready_from > now:
                due = min(due, server.ready_from)
            for entry in server.entries.values():
                if entry.missing_since == inf:
                    continue
                ends = [entry.missing_since + self._fence.flap_span]
                if entry.fenced:
                    ends += (
                        entry.missing_since + self._fence.hold,
                        entry.missing_since + self._fence.hold_most,
                        server.answered + self._fence.evidence,
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
                        now - entry.at,
                        _age(now, entry.missing_since),
                        entry.fenced,
                        entry.member.created,
                        None if entry.renewed is None else now - entry.renewed,
                    ]
                    for source, entry in server.entries.items()
                },
                "away": server.away,
                "ready_in": server.ready_from - now,
                "returns": [now - at for at in server.returns],
            }
        return {
            "now": now,
            "last": {n: _age(now, s.last) for n, s in self._sources.items()},
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
            self._sources[name].last = at
            self._sources[name].index = index.get(name, 0)
        self._servers = {number: server for number, server in servers.items() if server.entries}
        self._dirty = set(self._servers)

    def _restored(self, row: dict[str, Any], then: float, shift: float) -> _Server:
        out = _Server(away=bool(row["away"]), ready_from=then + row["ready_in"])
        out.returns = [then - age for age in row["returns"]]
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
                out.entries[source] = _Entry(
                    member, then - age, since, bool(fenced), None if renewed is None else then - renewed
                )
        return out

    # ---- the order of a source's reports

    def _ordered(self, source: _Source, report: Report, now: float) -> bool:
        """Whether a report is at least as new as what is held, by its index."""
        if report.order >= source.index:
            if source.before and report.order >= source.before:
                source.wrong, source.before = min(source.wrong + 1, _MOST_DOUBLINGS), 0
            source.index, source.waiting, source.since, source.sure = report.order, None, inf, False
            return True
        source.since, source.waiting = min(source.since, now), report
        source.sure = source.sure or report.sure
        return False

    def _reset_due(self, source: _Source) -> float:
        wait = self._fence.reset_sure if source.sure else self._fence.reset
        return source.since + wait * 2.0**source.wrong

    def _reset(self, source: _Source, now: float) -> None:
        """No agent has shown the higher index since: the lower one is what there is now."""
        report = source.waiting
        assert report is not None
        self.resets += 1
        source.before, source.index = source.index, report.order
        source.waiting, source.since, source.sure = None, inf, False
        self._apply(report, source.last, True, now)

    # ---- entries

    def _apply(self, report: Report, held_from: float, newer: bool, now: float) -> None:
        servers, name = self._servers, report.source
        named: set[int] = set()
        anew: list[_Entry] = []
        for member in report.members:
            number = member.id
            named.add(number)
            server = servers.get(number)
            entry = server.entries.get(name) if server else None
            if entry is not None and entry.member == member and entry.missing_since == inf:
                continue
            self._take(name, member, held_from, newer, anew)
        if not self._fence.much(len(anew), len(named)):
            for entry in anew:
                entry.renewed = now
        if newer:
            self._missing(name, named, now)

    def _take(self, source: str, member: Member, held_from: float, newer: bool, anew: list[_Entry]) -> None:
        server = self._servers.get(member.id)
        entry = server.entries.get(source) if server else None
        away = member.state is not api.ReplicaState.READY
        if entry is None:
            if not newer and not away:
                return  # older news of a server that has been taken out since
            server = self._servers.setdefault(member.id, _Server())
            server.entries[source] = _Entry(member, held_from)
        elif newer or (away and (entry.member.state is api.ReplicaState.READY or entry.missing_since < inf)):
            # Bad news of a server counts at any age: to act on it wrongly costs a little, to miss it breaks a rule.
            if newer and member.created != entry.member.created and member.created and entry.member.created:
                anew.append(entry)
            entry.member, entry.at = member, max(held_from, entry.at)
            entry.missing_since, entry.fenced = inf, False
        else:
            return
        self._dirty.add(member.id)

    def _missing(self, source: str, named: set[int], now: float) -> None:
        """Servers that the source named before and names no longer."""
        before = 0
        lost: list[tuple[int, _Entry]] = []
        for number, server in self._servers.items():
            entry = server.entries.get(source)
            if entry is None or entry.missing_since < inf:
                continue
            before += 1
            if number not in named:
                lost.append((number, entry))
        much = source not in self._meant and self._fence.much(len(lost), before)
        for number, entry in lost:
            entry.missing_since = now
            # What was on its way out already goes: only what was in service is held.
            entry.fenced = much and entry.member.state is api.ReplicaState.READY
            self._dirty.add(number)

    # ---- what follows for a server

    def _judge_all(self, numbers: set[int], now: float) -> None:
        for number in list(numbers):
            was, known = self._known.get(number), self._judge(number, now)
            if known == was:
                continue
            if known is None:
                del self._known[number]
            else:
                self._known[number] = known
            if was is None or known is None or was.member != known.member:
                self._changed[number] = known.member if known else None
        self._dirty.clear()

    def _said(self, server: _Server, entry: _Entry, now: float) -> tuple[api.ReplicaState, bool] | None:
        """What an entry makes of its server now, and whether that is held; None: nothing any more."""
        if entry.missing_since == inf:
            return entry.member.state, False
        if not entry.fenced:
            return None
        since = now - entry.missing_since
        if since < self._fence.hold:
            return entry.member.state, True
        speaks = now - server.answered <= self._fence.evidence
        return (entry.member.state, True) if speaks and since < self._fence.hold_most else None

    def _state(self, server: _Server, now: float) -> tuple[api.ReplicaState, _Entry, bool] | None:
        """The worst of what sources say, whose entry it is, and whether it is held; None if nobody says anything."""
        found = [
            (said[0], entry, said[1])
            for entry in server.entries.values()
            if (said := self._said(server, entry, now)) is not None
        ]
        if not found:
            return None
        # Of sources that say the same, one that still names the server, and then the newest.
        return max(found, key=lambda f: (_WORST[f[0]], not f[2], f[1].at))

    def _judge(self, number: int, now: float) -> Known | None:
        """What is believed of a server; notes when it comes back, and whether time alone will change it."""
        server, fence = self._servers[number], self._fence
        found = self._state(server, now)
        away = found is None or found[0] is api.ReplicaState.GONE
        if server.away and not away:
            server.returns = [at for at in server.returns if now - at < fence.flap_span] + [now]
            server.ready_from = now + min(fence.settle * 2 ** (len(server.returns) - 1), fence.settle_most)
        server.away = away
        missing = [e.missing_since for e in server.entries.values()]
        timed = server.ready_from > now or any(since < inf for since in missing)
        (self._timed.add if timed else self._timed.discard)(number)
        if found is None:
            if all(now - since > fence.flap_span for since in missing):
                del self._servers[number]
                self._timed.discard(number)
            return None
        state, entry, held = found
        member = entry.member._replace(state=state)
        if state is api.ReplicaState.READY and now < server.ready_from:
            member = member._replace(state=api.ReplicaState.GONE)
        elif member.started_at is None and (server.returns or entry.renewed is not None):
            # It may have restarted: cold from then on.
            member = member._replace(
                started_at=max(
                    server.ready_from if server.returns else -inf,
                    -inf if entry.renewed is None else entry.renewed,
                )
            )
        return Known(member, held)


def _age(now: float, at: float) -> float | None:
    return None if at in (inf, -inf) else now - at
