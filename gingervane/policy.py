"""Every decision of a gingervane co-ordinator. Types, events and actions: `gingervane/interface.py`.

The ordinary path is the design page's: a query takes the replica position with the fewest of this
co-ordinator's calls out; a safe part that is late by its class's 95th percentile gets one copy; the
first good answer wins and the twin is cancelled; a breaker on the share of copies pauses copying.
All else is an exception, and docs/design.md says when each one acts.
"""

from __future__ import annotations

import random
from bisect import bisect_left, insort
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from gingervane.interface import (
    Action, Answer, AttemptEnded, Cancel, Event, Fail, ListKind, MembershipChanged, Outcome, PartArrived,
    QueryArrived, QueryExpired, Refuse, Remark, Replica, ReplicaState, Semantics, Send, SetTimer, Settings,
    Subscribe, TimerFired,
)

WINDOW = 10.0  # span of the breaker and of the traffic counts (design page)
PERCENTILE, SAMPLES, FEW = 0.95, 200, 20  # hedge delay: of the last SAMPLES latencies once there are FEW
START_DELAY = 0.5  # of the aim, until then (design page)
BREAKER_OPENS, BREAKER_CLOSES = 0.15, 0.10  # copies over parts (design page); failures over parts too
COPY_CAP = 0.25  # copies out at once, of the parts out
JUDGE_GAIN, EJECT_AT, MOST_EJECTED = 0.35, 0.55, 0.5  # two bad parts running eject; never over half
EJECT_FOR, EJECT_MOST = 2.0, 16.0  # seconds out, doubled at each failed trial
SILENCE = 2.0  # hedge delays without a word from a server after which a part counts as unanswered
ADMIT, ADMIT_OVER_SHARE = 0.5, 0.25  # of the aim: mean time in the servers at which queries are refused


class _Count:
    """How many things happened in the last `span` seconds."""

    def __init__(self, span: float) -> None:
        self.span, self.at = span, deque[float]()

    def add(self, now: float) -> None:
        self.at.append(now)

    def get(self, now: float) -> int:
        while self.at and self.at[0] < now - self.span:
            self.at.popleft()
        return len(self.at)


class _Breaker:
    """Open from `BREAKER_OPENS` marks per part until under `BREAKER_CLOSES`: hysteresis over WINDOW."""

    def __init__(self) -> None:
        self.marks, self.open = _Count(WINDOW), False

    def is_open(self, now: float, parts: int) -> bool:
        share = self.marks.get(now) / max(parts, FEW)
        self.open = share > (BREAKER_CLOSES if self.open else BREAKER_OPENS)
        return self.open


class _Percentile:
    """Latency of the class's last parts, each from its first send to its first good answer.

    Timing parts, not attempts, keeps the cancelled twins from hiding the tail.
    """

    def __init__(self, aim: float) -> None:
        self.aim, self.recent, self.ranked = aim, deque[float](), list[float]()

    def add(self, latency: float) -> None:
        self.recent.append(latency)
        insort(self.ranked, latency)
        if len(self.recent) > SAMPLES:
            del self.ranked[bisect_left(self.ranked, self.recent.popleft())]

    def at(self, share: float) -> float:
        if len(self.ranked) < FEW:
            return self.aim * START_DELAY
        return self.ranked[int(share * (len(self.ranked) - 1))]


@dataclass
class _Server:
    listed: Replica
    calls: dict[int, int] = field(default_factory=dict)  # call number -> its parts still out
    attempts: dict[tuple[int, int], _Attempt] = field(default_factory=dict)
    badness: float = 0.0  # moving share of parts that were late or failed
    ejected_until: float = 0.0
    ejected_for: float = 0.0  # 0: in good standing
    heard_at: float = 0.0  # last answer of any kind
    cold_from: float = 0.0  # start of the slow-start ramp
    credit: float = 0.0  # parts that the ramp allows now
    credit_at: float = 0.0


@dataclass
class _Attempt:
    part: _Part
    number: int
    server: _Server
    sent_at: float
    call: int
    is_copy: bool
    live: bool = True


@dataclass
class _Part:
    id: int
    query: _Query
    shard: int
    weight: float
    made: int = 0
    out: list[_Attempt] = field(default_factory=list)
    tried: list[_Server] = field(default_factory=list)
    first_sent: float = 0.0
    maybe_ran_at: float | None = None  # first send that is not proved never to have run
    copied: bool = False
    answered: bool = False


@dataclass
class _Query:
    arrived: QueryArrived
    aim_at: float
    answer_by: float
    parts: list[_Part] = field(default_factory=list)
    weight_in: float = 0.0
    step: int = 1
    first_whole: bool = True
    over: bool = False


class Coordinator:
    """One co-ordinator's decisions, from its own settings and its own events alone."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.now, self.actions = 0.0, list[Action]()
        self.servers, self.cells = dict[int, _Server](), dict[int, list[_Server]]()
        self.queries, self.by_number = dict[int, _Query](), dict[int, _Query]()
        self.parts, self.attempts = dict[int, _Part](), dict[tuple[int, int], _Attempt]()
        self.fresh = dict[int, _Query]()
        self.timers, self.labels = dict[int, Callable[[], None]](), 0
        self.calls, self.call_now = 0, dict[int, tuple[int, int]]()
        self.latency = [_Percentile(c.aim) for c in settings.classes]
        self.hedges, self.failures = _Breaker(), _Breaker()
        self.sent, self.served, self.finished, self.copies_out = _Count(WINDOW), _Count(WINDOW), _Count(2.0), 0
        span = (settings.budget_span or 0.0) + settings.granularity
        self.extras, self.taken = _Count(span), _Count(span - 2 * settings.granularity)
        self.tenants = [_Count(WINDOW) for _ in settings.tenant_quotas]
        self.asked, self.ask_pause = not settings.must_ask_membership, 1.0

    def handle(self, now: float, events: Sequence[Event]) -> list[Action]:
        """Take one batch of events in order and say what to do."""
        self.now, self.actions = now, []
        self.call_now.clear()
        if not self.asked:
            self.asked = True
            self.actions.append(Subscribe())
        for event in events:
            match event:
                case AttemptEnded():
                    self._ended(event)
                case TimerFired(label):
                    self.timers.pop(label, lambda: None)()
                case QueryArrived():
                    self._take_query(event)
                case PartArrived():
                    self._take_part(event)
                case QueryExpired(query):
                    if query in self.queries:
                        self._close(self.queries[query])
                case MembershipChanged():
                    self._members(event)
                case _:
                    pass
        fresh, self.fresh = list(self.fresh.values()), {}
        for query in fresh:
            if not query.over:
                self._start(query)
        return self.actions

    def _timer(self, delay: float, then: Callable[[], None]) -> None:
        self.labels += 1
        self.timers[self.labels] = then
        self.actions.append(SetTimer(max(delay, 0.0), self.labels))

    # ---- membership

    def _members(self, event: MembershipChanged) -> None:
        if event.kind is ListKind.FAILED:
            # Guards against counting as told by default: ask again, ever more slowly, never in step with peers.
            self._timer(self.ask_pause * self.random.uniform(0.5, 1.5), self._resubscribe)
            self.ask_pause = min(2 * self.ask_pause, 8.0)
            return
        if event.kind is not ListKind.CACHED:
            self.ask_pause = 1.0
        if event.kind is not ListKind.DELTA:
            named = {r.id for r in event.replicas}
            for server in self.servers.values():
                if server.listed.id not in named:
                    server.listed = server.listed._replace(state=ReplicaState.GONE)
        for replica in event.replicas:
            server = self.servers.setdefault(replica.id, _Server(replica))
            if replica.started_at > server.listed.started_at:
                server.badness = server.ejected_for = 0.0
            server.cold_from = max(server.cold_from, replica.started_at)
            server.listed = replica
        self.cells.clear()
        for _, server in sorted(self.servers.items()):
            if server.listed.state is not ReplicaState.GONE:
                self.cells.setdefault(server.listed.cell, []).append(server)

    def _resubscribe(self) -> None:
        self.actions.append(Subscribe())

    def _holders(self, shard: int) -> list[_Server]:
        cells = sorted({(shard + j) % self.settings.cells for j in range(self.settings.width)})
        return sorted((s for c in cells for s in self.cells.get(c, ())), key=lambda s: s.listed.id)

    # ---- replica health: outlier ejection and probation

    def _judge(self, server: _Server, bad: float) -> None:
        """Weigh one part's fate. Covers silence and fast failure alike: each is a bad part.

        Slowness and a full queue are no reason: the position rule already sees them in the calls out.
        """
        if server.ejected_for and bad and self.now >= server.ejected_until:
            self._eject(server, min(2 * server.ejected_for, EJECT_MOST))
        elif server.ejected_for and not bad:
            # What was silent for long may have restarted before the list says so: it starts slowly.
            if server.ejected_for > EJECT_FOR:
                server.cold_from = self.now
            server.ejected_for = server.badness = 0.0
            self.actions.append(Remark(f"replica {server.listed.id} reinstated"))
        elif not server.ejected_for:
            server.badness += JUDGE_GAIN * (bad - server.badness)
            ready = [s for s in self.servers.values() if s.listed.state is ReplicaState.READY]
            mean = sum(s.badness for s in ready if not s.ejected_for) / max(len(ready), 1)
            out = sum(1 for s in ready if s.ejected_for)
            if server.badness > max(EJECT_AT, 2 * mean) and out + 1 <= MOST_EJECTED * len(ready):
                self._eject(server, EJECT_FOR)

    def _unheard(self, attempt: _Attempt, patience: float) -> None:
        """A part still out after long patience counts against a server not heard from since it was sent."""
        if attempt.live and attempt.server.heard_at <= attempt.sent_at:
            self._judge(attempt.server, 1.0)
            self._timer(patience, lambda: self._unheard(attempt, patience))

    def _eject(self, server: _Server, span: float) -> None:
        server.ejected_for, server.ejected_until = span, self.now + span
        self.actions.append(Remark(f"replica {server.listed.id} ejected for {span:g} s"))
        # Guards the parts stranded on it: cancelling turns each into a retry elsewhere.
        for attempt in list(server.attempts.values()):
            if len(attempt.part.out) == 1 and not attempt.part.query.over:
                self._cancel(attempt)

    def _share(self, server: _Server) -> float:
        """How much of its capacity a server surely has, by the stated ramp."""
        if not server.cold_from:
            return 1.0
        start, age = self.settings.start_capacity, self.now - server.cold_from
        return min(1.0, start + (1.0 - start) * max(age, 0.0) / self.settings.ramp_time)

    def _refill(self, server: _Server) -> None:
        """Slow start: credit flows at the rate that ready servers answer at, times the sure share of capacity."""
        ready = sum(1 for s in self.servers.values() if s.listed.state is ReplicaState.READY)
        rate = max(self.served.get(self.now) / WINDOW / ready, 0.5 / self.settings.fall_time)
        gained = (self.now - server.credit_at) * rate * self._share(server)
        server.credit, server.credit_at = min(1.0, server.credit + gained), self.now

    def _permitted(self, server: _Server) -> bool:
        """May be sent to at all: neither draining nor gone, and not cold beyond its pace."""
        if server.listed.state is not ReplicaState.READY:
            return False
        if self._share(server) < 1.0:
            self._refill(server)
            return server.credit >= 1.0
        return True

    def _fit(self, server: _Server) -> bool:
        """Permitted and healthy, or due for a trial part."""
        trial = self.now >= server.ejected_until and not server.attempts
        return self._permitted(server) and (not server.ejected_for or trial)

    # ---- replica choice: the position rule

    def _substitute(self, part: _Part) -> _Server | None:
        """Another holder: fit and untried, else fit, else any that is permitted."""
        holders = [s for s in self._holders(part.shard) if self._permitted(s)]
        running = {a.server.listed.id for a in part.out}
        holders = [s for s in holders if s.listed.id not in running]

        def rank(s: _Server) -> tuple[bool, bool, int, bool]:
            return (not self._fit(s), s in part.tried, len(s.calls), s.listed.zone != self.settings.zone)

        return min(holders, key=rank, default=None)

    def _position(self, parts: list[_Part]) -> list[_Server] | None:
        """The servers of the position with the fewest calls out, counting those that this query adds."""
        holders = [self._holders(p.shard) for p in parts]
        if not all(holders):
            return None
        best: tuple[int, int, int] | None = None
        chosen: list[_Server] | None = None
        for j in range(max(len(h) for h in holders)):
            row: list[_Server] = []
            for part, held in zip(parts, holders, strict=True):
                server: _Server | None = held[j % len(held)]
                if server is not None and not self._fit(server):
                    server = self._substitute(part)
                if server is None:
                    return None
                row.append(server)
            new = dict[int, int]()
            for server in row:
                new[server.listed.id] = new.get(server.listed.id, 0) + 1
            calls = sum(len(self.servers[i].calls) - (-n // self.settings.parts_per_call) for i, n in new.items())
            far = sum(1 for s in row if s.listed.zone != self.settings.zone)
            if best is None or (calls, far, j) < best:
                best, chosen = (calls, far, j), row
        return chosen

    # ---- the one path of every send, with the rules' guards

    def _send(self, part: _Part, server: _Server, is_copy: bool = False) -> bool:
        query, rules = part.query, self.settings
        semantics = rules.classes[query.arrived.query_class].semantics
        window = rules.classes[query.arrived.query_class].repeat_window
        if query.over or part.answered or self.now >= query.answer_by or part.made >= rules.most_attempts:
            return False
        if not self._permitted(server):  # drains and cold replicas
            return False
        if part.out and not rules.may_copy:
            return False
        if part.maybe_ran_at is not None:  # no effect twice
            if semantics is Semantics.UNSAFE:
                return False
            if window is not None and self.now >= part.maybe_ran_at + window - rules.granularity:
                return False
        if part.made and not self._afford():
            return False
        if part.made:
            self.extras.add(self.now)
        else:
            part.first_sent = self.now
            self.sent.add(self.now)
        if self._share(server) < 1.0:
            server.credit -= 1.0
        call, room = self.call_now.get(server.listed.id, (0, 0))
        if not room:
            self.calls += 1
            call, room = self.calls, rules.parts_per_call
        self.call_now[server.listed.id] = (call, room - 1)
        attempt = _Attempt(part, part.made, server, self.now, call, is_copy)
        server.calls[call] = server.calls.get(call, 0) + 1
        server.attempts[part.id, part.made] = self.attempts[part.id, part.made] = attempt
        part.made += 1
        part.out.append(attempt)
        part.tried.append(server)
        if part.maybe_ran_at is None:
            part.maybe_ran_at = self.now
        self.copies_out += is_copy
        self.actions.append(Send(part.id, server.listed.id, query.answer_by))
        if not is_copy:
            delay = self.latency[query.arrived.query_class].at(PERCENTILE)
            self._timer(delay, lambda: self._late(attempt))
            self._timer(SILENCE * delay, lambda: self._unheard(attempt, SILENCE * delay))
        return True

    def _afford(self) -> bool:
        """Attempt budget, counted as the rule counts it, with a tick to spare at both ends."""
        free, share = self.settings.budget_free, self.settings.budget_share
        if free is None or share is None:
            return True
        return self.extras.get(self.now) + 1 <= free + share * self.taken.get(self.now)

    # ---- hedging

    def _late(self, attempt: _Attempt) -> None:
        part, query = attempt.part, attempt.part.query
        if not attempt.live or query.over or part.answered:
            return
        tracker = self.latency[query.arrived.query_class]
        if part.copied or self.now + tracker.at(0.5) > query.aim_at:
            return
        safe = self.settings.classes[query.arrived.query_class].semantics is Semantics.SAFE
        if not safe or not self.settings.may_copy:
            return
        parts = self.sent.get(self.now)
        blocked = self.hedges.is_open(self.now, parts) or self.failures.is_open(self.now, parts)
        server = self._substitute(part)
        if blocked or self.copies_out >= COPY_CAP * len(self.attempts) or server is None:
            self._timer(tracker.at(PERCENTILE), lambda: self._late(attempt))
        elif self._fit(server) and self._send(part, server, is_copy=True):
            part.copied = True
            self.hedges.marks.add(self.now)

    def _cancel(self, attempt: _Attempt) -> None:
        if self.settings.may_cancel:
            self.actions.append(Cancel(attempt.part.id, attempt.number))

    # ---- outcomes and retries

    def _ended(self, event: AttemptEnded) -> None:
        attempt = self.attempts.pop((event.part, event.attempt), None)
        if attempt is None:
            return
        part, server, attempt.live = attempt.part, attempt.server, False
        del server.attempts[event.part, event.attempt]
        server.calls[attempt.call] -= 1
        if not server.calls[attempt.call]:
            del server.calls[attempt.call]
        self.copies_out -= attempt.is_copy
        part.out = [a for a in part.out if a is not attempt]
        if event.outcome.never_ran and part.made == 1:
            part.maybe_ran_at = None
        if event.outcome is Outcome.OK:
            self.finished.add(self.now)
            self.served.add(self.now)
            self._judge(server, 0.0)
        elif event.outcome not in (Outcome.CANCELLED, Outcome.NEVER_SENT):
            self.failures.marks.add(self.now)
            if event.outcome in (Outcome.ERROR, Outcome.CONNECT_FAILED, Outcome.RESET):
                self._judge(server, 1.0)
        if event.outcome in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED):
            server.heard_at = self.now
        if part.query.over or part.answered:
            return
        if event.outcome is Outcome.OK:
            self._won(part)
        elif not part.out:
            self._retry(part)

    def _won(self, part: _Part) -> None:
        query = part.query
        part.answered = True
        self.latency[query.arrived.query_class].add(self.now - part.first_sent)
        for twin in part.out:
            self._cancel(twin)
        query.weight_in += part.weight
        kind = self.settings.classes[query.arrived.query_class]
        if all(p.answered for p in query.parts) or (query.step == 1 and query.weight_in >= kind.whole_share
                                                    and kind.whole_share < 1.0):
            self._answer(query, True)

    def _retry(self, part: _Part) -> None:
        """A failed part is tried again elsewhere, which is no copy; with no way left the query is given up."""
        server = self._substitute(part)
        if server is None or not self._send(part, server):
            self._give_up(part.query)

    # ---- admission

    def _take_query(self, event: QueryArrived) -> None:
        kind = self.settings.classes[event.query_class]
        aim = kind.aim
        if kind.aim_stretch is not None:
            aim = min(kind.deadline, kind.aim + kind.aim_stretch * event.predicted_cost)
        answer_by = event.expires_at - 2 * self.settings.granularity
        query = _Query(event, min(self.now + aim, answer_by), answer_by)
        self.queries[event.id] = self.by_number[event.number] = query
        self.taken.add(self.now)
        self.fresh[event.id] = query
        if event.tenant < len(self.tenants):
            self.tenants[event.tenant].add(self.now)
        self._timer(answer_by - self.now, lambda: self._overdue(query))

    def _take_part(self, event: PartArrived) -> None:
        query = self.by_number.get(event.query_number)
        self.taken.add(self.now)
        if query is None or query.over:
            return
        part = _Part(event.id, query, event.shard, event.weight)
        query.parts.append(part)
        self.fresh[query.arrived.id] = query

    def _start(self, query: _Query) -> None:
        parts = [p for p in query.parts if not p.made]
        if query.step == 1 and self._crowded(query):
            self._give_up(query)
            return
        row = self._position(parts)
        if row is None or not parts:
            self._give_up(query)
            return
        for part, server in zip(parts, row, strict=True):
            other: _Server | None = server if self._fit(server) else self._substitute(part)
            if other is None or not self._send(part, other):
                self._give_up(query)
                return

    def _delay(self) -> float:
        """Mean time of a part in the servers, by Little's law from what this co-ordinator has out."""
        done = self.finished.get(self.now)
        out = sum(1 for a in self.attempts.values() if not a.server.ejected_for)
        return out * self.finished.span / done if done >= FEW else 0.0

    def _crowded(self, query: _Query) -> bool:
        delay, aim = self._delay(), query.aim_at - self.now
        if delay > ADMIT * aim:
            return True
        tenant = query.arrived.tenant
        quota = self.settings.tenant_quotas[tenant] if tenant < len(self.tenants) else None
        over = quota is not None and self.tenants[tenant].get(self.now) > WINDOW * quota / self.settings.coordinators
        return over and delay > ADMIT_OVER_SHARE * aim

    # ---- completion

    def _answer(self, query: _Query, whole: bool) -> None:
        self.actions.append(Answer(query.arrived.id, whole and query.first_whole))
        kind = self.settings.classes[query.arrived.query_class]
        if kind.second_step_parts and query.step == 1:
            self._drop(query.parts)
            query.step, query.first_whole, query.weight_in, query.parts = 2, whole, 0.0, []
        else:
            self._close(query)

    def _overdue(self, query: _Query) -> None:
        if query.over:
            return
        kind = self.settings.classes[query.arrived.query_class]
        if query.parts and query.weight_in >= kind.least_share and kind.least_share < kind.whole_share:
            self._answer(query, False)
        if not query.over:
            self._give_up(query)

    def _give_up(self, query: _Query) -> None:
        """The final answer at once: refused with a time to come again where that is harmless, else failed."""
        kind = self.settings.classes[query.arrived.query_class]
        harmless = kind.semantics is Semantics.SAFE or all(p.maybe_ran_at is None for p in query.parts)
        if harmless and query.step == 1:
            wait = min(self.settings.longest_wait_advice, max(self._delay(), self.settings.granularity))
            self.actions.append(Refuse(query.arrived.id, wait if self.settings.may_advise_wait else 0.0))
        else:
            self.actions.append(Fail(query.arrived.id))
        self._close(query)

    def _close(self, query: _Query) -> None:
        query.over = True
        self.queries.pop(query.arrived.id, None)
        self.by_number.pop(query.arrived.number, None)
        self._drop(query.parts)

    def _drop(self, parts: Iterable[_Part]) -> None:
        for part in parts:
            part.answered = True
            for attempt in part.out:
                self._cancel(attempt)
