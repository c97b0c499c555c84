"""Every decision of a gingervane co-ordinator. Types, events and actions: `gingervane/interface.py`.

Ordinary path: a query takes the replica position with the fewest calls out; a safe part late by its class's
95th percentile gets one copy; the first good answer wins, the twin is cancelled; a breaker on the share of
copies pauses copying. All else is an exception: docs/design.md says when it acts.
"""

from __future__ import annotations

import random
from bisect import bisect_left, insort
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from math import inf, log, sqrt

from gingervane import interface as api
from gingervane.decisions.completeness import Coverage, QueryState, is_complete, may_answer

WINDOW = 10.0  # span of the breaker and of the traffic counts (design page)
PERCENTILE, SAMPLES = 0.95, 200  # hedge delay, of the class's last latencies; and of the aim until there are
START_DELAY, FEW = 0.5, 20  # FEW of them (design page)
BREAKER_OPENS, BREAKER_CLOSES = 0.15, 0.10  # copies over parts (design page); failures over parts too
COPY_CAP, SILENCE, CHANCE = 0.25, 2, 1.5  # copies, of attempts out; hedge delays; deviations over a share
QUEUEING, CREEP = 2.0, 1.02  # mean time, of the usual, up to which to copy; growth of that with each query
VOUCH, EJECT_AT, MOST_EJECTED = 2.0, 0.6, 0.5  # half-life, s; a bad part ejects unless good ones vouch
EJECT_FOR, EJECT_MOST = 2.0, 16.0  # seconds out, doubled at each failed trial
HEARSAY, ID = 0.34, 8  # a peer's word, or a full queue, as a share of a bad part; bytes of an id in a word
SILENT, WELL = b"\1", b"\2"  # after the id: it was met by silence; a trial there went well
OUTCOMES, RATE_SPAN = 40, 2.0  # for moving means; half-life at which the mean fades, s
ADMIT, ADMIT_OVER_SHARE = 0.9, 0.65  # of the time to the aim: expected time of the slowest part
AHEAD = 1.0  # parts that a cold server may be sent before they are earned, as what is drawn comes unevenly
BACKLOG, CROSSING = 0.35, 0.5  # of the time to the aim: age of the oldest call; calls that a crossing weighs
PACED, PACE_FADES, SLOW = 3, 8.0, 2.5  # parts in a pace; its half-life, s; of peers' pace: left for them
STALLED, EPSILON = 4, 1e-6  # batches' time that a timer may come late; of weights that the wire rounds
# Seconds before a failed subscription is asked for again, longer at each failure; a spread of half as much.
# The first are short and grow little: of a watch that ended instead of telling, what it missed counts as told
# soon, and of many that ask then some are refused. With the last, a call that hung for 3 s and the answer
# behind it stay within the 6 s that always hold.
ASK_PAUSE, ASK_GROWTH, ASK_PAUSE_MOST = 0.1, 1.5, 4 / 3
PUSHED = 4  # where lists are pushed: such a part of the grace at most, as all counts as told at once


class _Count:
    """How many things happened in the last `span` seconds."""

    def __init__(self, span: float) -> None:
        self.span, self.at, self.open = span, deque[float](), False

    def add(self, now: float) -> None:
        self.at.append(now)
        if self.at[0] < now - self.span:  # guards memory where it is added to and seldom asked
            self.get(now)

    def get(self, now: float) -> int:
        while self.at and self.at[0] < now - self.span:
            self.at.popleft()
        return len(self.at)

    def is_open(self, now: float, parts: int) -> bool:
        """As a breaker: open from `BREAKER_OPENS` things a part until under `BREAKER_CLOSES`."""
        share = self.get(now) / max(parts, FEW)
        self.open = share > (BREAKER_CLOSES if self.open else BREAKER_OPENS)
        return self.open


class _Ranked(deque[float]):
    """The last SAMPLES values, and the same by size: ranking them at each look would cost the most CPU."""

    def __init__(self) -> None:
        super().__init__(maxlen=SAMPLES)
        self.ranked = list[float]()

    def append(self, value: float) -> None:
        if len(self) == SAMPLES:
            del self.ranked[bisect_left(self.ranked, self[0])]
        super().append(value)
        insort(self.ranked, value)

    def extend(self, values: Iterable[float]) -> None:
        for value in values:
            self.append(value)


@dataclass(eq=False)
class _Server:
    listed: api.Replica
    calls: dict[tuple[float, int, int], int] = field(default_factory=dict)  # parts out by call, oldest first
    badness: float = 0.0  # parts that failed, met silence or were overtaken by a copy, less good ones
    judged_at: float = 0.0
    ejected_until: float = 0.0
    ejected_for: float = 0.0  # 0: in good standing
    reached: float = 0.0  # send time of the latest part that it has answered
    used: float = 0.0  # when something was last sent there
    pace: float = 1.0  # times of its last parts over the median of their classes
    paced_at: float = 0.0
    cold_from: float = 0.0  # start of the slow-start ramp
    doubt_from: float = -inf  # the same where it is only suspected
    credit: float = 0.0  # parts that surely do not push it over while it is cold; in debt after those drawn
    credit_at: float = -inf
    flow_at: float = 0.0  # the co-ordinator's `flow` when that was last worked out
    draw: float = 0.0  # this batch's throw for its part of the parts while it is cold
    drawn: int = 0  # in which batch it was thrown
    ejected_at: float = 0.0
    silent_to: float = 0.0  # when it was last met by silence or could not be reached, as far as heard
    mute_until: float = 0.0  # met by silence and not heard from since; 0: heard from
    ready: bool = False  # listed as neither draining nor gone


@dataclass(eq=False)
class _Attempt:
    part: _Part
    number: int
    server: _Server
    call: tuple[float, int, int]  # when it was sent, in which batch, and in which call of that
    is_copy: bool
    idle: float  # seconds for which nothing had passed between them
    met: int  # calls of earlier batches out there when it was sent
    live: bool = True  # neither ended nor called off
    waits: int = 0  # hedge delays that it has been out


@dataclass(eq=False)
class _Part:
    arrived: api.PartArrived
    query: _Query
    first_sent: float
    made: int = 0
    out: list[_Attempt] = field(default_factory=list)
    tried: list[_Server] = field(default_factory=list)
    may_have_run: dict[int, float] = field(default_factory=dict)  # attempt -> sent; unless proved not to
    done: bool = False
    lost: bool = False  # no way left to have it


@dataclass(eq=False)
class _Query:
    arrived: api.QueryArrived
    kind: api.QueryClass
    aim_at: float
    answer_by: float
    parts: list[_Part] = field(default_factory=list)  # of the present step
    parts_in: int = 0
    weight_asked: float = 0.0
    weight_in: float = 0.0
    step: QueryState = QueryState.FIRST_STEP
    first_whole: bool = True

    @property
    def over(self) -> bool:
        return self.step is QueryState.SETTLED

    @property
    def coverage(self) -> Coverage:
        """What is in of the present step."""
        return Coverage(len(self.parts), self.parts_in, self.weight_asked, self.weight_in)

    def lacks(self, lost: Callable[[_Part], bool] = lambda p: p.lost) -> bool:
        """Whether an answer is out of reach without the parts that are lost."""
        gone = [p.arrived.weight for p in self.parts if lost(p) and not p.done]
        count, weight = len(self.parts), self.weight_asked
        at_best = Coverage(count, count - len(gone), weight, weight - sum(gone))
        return bool(gone) and not may_answer(self.kind, self.step, at_best)

    def open_second_step(self, first_whole: bool) -> None:
        """Close the first step; the parts of the second come with a later batch."""
        self.step, self.first_whole = QueryState.BETWEEN_STEPS, first_whole
        self.parts, self.parts_in, self.weight_asked, self.weight_in = [], 0, 0.0, 0.0

    def ask(self, part: _Part) -> None:
        """One more part of the present step; the first one begins a second step."""
        if self.step is QueryState.BETWEEN_STEPS:
            self.step = QueryState.SECOND_STEP
        self.parts.append(part)
        self.weight_asked += part.arrived.weight


class DecisionEngine:
    """One co-ordinator's decisions, from its own settings and its own events alone."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.zone, self.random = settings, settings.zone, random.Random(seed)
        self.now, self.batch, self.actions = 0.0, 0, list[api.Action]()
        self.began = inf  # when the first batch came
        self.servers, self.ready = dict[int, _Server](), 0
        self.held_by = defaultdict[int, list[_Server]](list)  # by cell: holders of its shards in order of id
        self.mean = self.outcome_at = self.met = 0.0  # moving means over the last OUTCOMES
        self.queries, self.by_number = dict[int, _Query](), dict[int, _Query]()
        self.attempts, self.fresh = dict[tuple[int, int], _Attempt](), dict[int, _Query]()
        self.timers, self.labels = dict[int, tuple[float, Callable[[], None]]](), 0  # due, what
        self.call_now = Counter[_Server]()  # parts sent in this batch
        self.trials = 0  # of them, parts sent to ejected servers
        self.latency = [_Ranked() for c in settings.query_classes]
        self.usual = [
            c.latency_objective * START_DELAY for c in settings.query_classes
        ]  # median time of a part on good days
        self.hedges, self.failures, self.sent = _Count(WINDOW), _Count(WINDOW), _Count(WINDOW)
        self.flow = 0.0  # parts that a ready server has had of this co-ordinator, in the mean
        self.asked, self.flowed = _Count(WINDOW), _Count(WINDOW)  # parts asked for; those that made that flow
        # The budget's own counts lean to the safe side at both ends, and so does the window of what is keyed:
        # by a tick, and by what an attempt may leave later than it was decided.
        span, self.lag = (
            settings.retry_budget_window or 0.0,
            settings.timer_granularity + settings.max_send_delay,
        )
        self.extras, self.taken = _Count(span + self.lag), _Count(span - self.lag)
        self.tenants = defaultdict[int, _Count](lambda: _Count(WINDOW))
        pushed = max(settings.drain_grace / PUSHED, settings.timer_granularity)
        self.ask_most = ASK_PAUSE_MOST if settings.membership_polled else pushed
        self.ask_pause = ASK_PAUSE
        self.stalled, self.idle_limit, self.limit_at = False, inf, 0.0  # stalled: just after a standstill
        self.idle_fine, self.fine_at = 0.0, 0.0  # the longest pause after which a part was answered, and when
        self.take: dict[type, Callable[..., None]] = {
            api.AttemptEnded: self._ended,
            api.MembershipChanged: self._members,
            api.PeerMessageReceived: self._told,
            api.QueryArrived: self._take_query,
            api.PartArrived: self._take_part,
            api.TimerFired: lambda e: self.timers.pop(e.label, (0.0, lambda: None))[1](),
            api.QueryAbandoned: lambda e: self._close(self.queries[e.id]) if e.id in self.queries else None,
        }

    def handle(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        """Take one batch of events in order and say what to do."""
        self.now, self.actions, self.batch = now, [], self.batch + 1
        self.began = min(self.began, now)
        self.call_now.clear()
        self.trials = 0
        if self.batch == 1 and self.settings.membership_polled:
            self.actions.append(api.WatchMembership())
        # Guards against taking an own standstill for silence: a timer that comes late tells of one. What came
        # meanwhile is read before any timer, and its times, which hold the standstill, are not learned from.
        due = [self.timers.get(e.label, (now,))[0] for e in events if isinstance(e, api.TimerFired)]
        self.stalled = now - min(due, default=now) > STALLED * self.settings.timer_granularity
        for event in sorted(events, key=lambda e: type(e) is api.TimerFired):
            if type(event) in self.take:  # probes are not asked
                self.take[type(event)](event)
        fresh, self.fresh = self.fresh, {}
        for started in [q for q in fresh.values() if not q.over]:
            self._start(started)
        return self.actions

    def _timer(self, delay: float, then: Callable[[], None]) -> None:
        self.labels += 1
        self.timers[self.labels] = self.now + max(delay, 0.0), then
        self.actions.append(api.SetTimer(max(delay, 0.0), self.labels))

    def _members(self, event: api.MembershipChanged) -> None:
        if event.kind is api.MembershipUpdateKind.FAILED:
            # Guards against counting as told by default: ask again, ever more slowly, out of step with peers.
            again = min(self.ask_pause, self.ask_most) * self.random.uniform(0.5, 1.5)
            self._timer(again, lambda: self.actions.append(api.WatchMembership()))
            self.ask_pause = min(ASK_GROWTH * self.ask_pause, ASK_PAUSE_MOST)
            return
        self.ask_pause = ASK_PAUSE
        if event.kind is not api.MembershipUpdateKind.DELTA:
            for server in self.servers.values():
                server.listed, server.ready = server.listed._replace(state=api.ReplicaState.GONE), False
        for replica in event.replicas:
            server = self.servers.setdefault(replica.id, _Server(replica))
            if replica.started_at > server.listed.started_at:  # restarted: a clean sheet, but cold
                server.badness = server.ejected_for = 0.0
            server.cold_from = max(server.cold_from, replica.started_at)
            server.listed, server.ready = replica, replica.state is api.ReplicaState.READY
        # Guards CPU: what the fleet's size decides is worked out once a list, not for each part.
        cells = defaultdict[int, list[_Server]](list)
        for _, server in sorted(self.servers.items()):
            if server.listed.state is not api.ReplicaState.GONE:
                for j in range(min(self.settings.cells_per_replica, self.settings.cell_count)):
                    cells[(server.listed.cell - j) % self.settings.cell_count].append(server)
        # Guards memory where replicas are replaced all day: one that is gone and holds nothing is forgotten.
        gone = [i for i, s in self.servers.items() if s.listed.state is api.ReplicaState.GONE and not s.calls]
        for number in gone:
            del self.servers[number]
        self.ready, self.held_by = sum(s.ready for s in self.servers.values()), cells

    def _told(self, event: api.PeerMessageReceived) -> None:
        """A peer found a server bad, or well again: words make up for thin evidence of one's own."""
        server, word = self.servers.get(int.from_bytes(event.payload[:ID], "big")), event.payload[ID:]
        if not server:
            return
        # Guards against many peers with thin evidence each: a bad part of one of them is little among all
        # that the fleet sends there. Words weigh as failures do for the breaker, as a share of parts.
        sent = self._rate(FEW) * self.settings.coordinator_count * VOUCH / max(self.ready, 1)
        weight = min(HEARSAY, EJECT_AT / max(BREAKER_OPENS * sent, EPSILON))
        server.silent_to = self.now if word == SILENT else server.silent_to
        if not server.ejected_for and word != WELL:
            self._judge(server, weight, api.EjectionReason.PEER_REPORTS)
            return
        # Guards against trials by each alone, which add up: as much as ejects a server keeps it out as long
        # again, without doubling (that is for own trials); as much to the contrary lets it back.
        self._weigh(server, -weight if word == WELL else weight)
        if not server.ejected_for:
            return
        if server.badness < -EJECT_AT:
            self._reinstate(server)
        elif server.badness > EJECT_AT:
            server.ejected_until, server.badness = max(server.ejected_until, self.now + EJECT_FOR), 0.0

    def _rate(self, least: int) -> float:
        """Parts a second of late, from `least` parts on. Guards against a new process that takes the little
        that it has sent for little that is sent: two words ejected a server there, for long."""
        return max(self.sent.get(self.now), least) / min(max(self.now - self.began, 1 / WINDOW), WINDOW)

    def _tell(self, server: _Server, word: bytes) -> None:
        if self.settings.gossip_allowed:
            self.actions.append(api.SendToPeers(server.listed.id.to_bytes(ID, "big") + word))

    def _weigh(self, server: _Server, bad: float) -> None:
        """Guards against thin evidence: good parts vouch for a server, but only for a while."""
        server.badness *= 0.5 ** ((self.now - server.judged_at) / VOUCH)
        server.badness, server.judged_at = max(server.badness + bad, -1.0), self.now

    def _reinstate(self, server: _Server) -> None:
        # What was silent for long may have restarted before the list says so: it is spared where another
        # holder is left. Guards against taking for cold what was slow, or out as parts for it come seldom.
        if server.silent_to - server.ejected_at > EJECT_FOR:
            server.doubt_from = self.now
        server.ejected_for = server.badness = 0.0
        self.actions.append(api.ReplicaReinstated(server.listed.id))

    def _judge(self, server: _Server, bad: float, why: api.EjectionReason | None = None) -> None:
        """Bad parts (failed, met by silence, overtaken by their copy) eject a server for a while."""
        if server.ejected_for and not bad:
            self._reinstate(server)
            self._tell(server, WELL)
        if server.ejected_for and self.now < server.ejected_until:
            return
        span = 2 * server.ejected_for
        if not server.ejected_for:
            self._weigh(server, bad or -1.0)
            # What cannot be reached is of no use, however many such there are.
            most = inf if why is api.EjectionReason.CONNECT_FAILED else MOST_EJECTED * self.ready
            ejected = sum(s.ready and s.ejected_for > 0 for s in self.servers.values()) if bad else 0
            if not bad or ejected + 1 > most or server.badness <= EJECT_AT:
                return
            # Out for at least as long as the next part for it would take to come, to those who would tell.
            seers = self.settings.coordinator_count if self.settings.gossip_allowed else 1
            span = max(EJECT_FOR, self.ready / self._rate(1) / seers)
            server.ejected_at = self.now
        server.ejected_for, server.ejected_until = min(span, EJECT_MOST), self.now + min(span, EJECT_MOST)
        server.badness = 0.0
        reason = why or api.EjectionReason.ERROR
        self.actions.append(api.ReplicaEjected(server.listed.id, server.ejected_for, reason))
        if bad == 1.0:  # hearsay is not passed on
            self._tell(server, SILENT if server.silent_to == self.now else b"")

    def _permitted(self, server: _Server, sparing: bool = False) -> bool:
        """May be sent to at all: neither draining nor gone nor, if cold, near what would push it over.

        `sparing`: nor beyond its part of what a ready server gets, nor perhaps cold.
        """
        start, age = self.settings.slow_start_capacity, max(self.now - server.cold_from, 0.0)
        if sparing and self.now < server.doubt_from + self.settings.slow_start_duration:
            return False
        if not server.ready or age >= self.settings.slow_start_duration:
            return server.ready
        share = (
            start + (1.0 - start) * age / self.settings.slow_start_duration
        )  # surely there, by the stated ramp
        if server.drawn != self.batch:
            server.drawn, server.draw = self.batch, self.random.random()
        # Its part of what a ready server gets is drawn, not saved up for: where a part for it comes seldom, a
        # whole part of credit and a chance to spend it meet late, and what it leaves falls on the others.
        # Credit bounds that. It flows as ready servers answer: a retry storm buys none. Counted part by part,
        # as a rate over seconds is nought to who has a query in seconds. Guards against many co-ordinators:
        # each has its own share of the sum, whatever its rate, their floors together allow half a part in the
        # time of a fall, and each starts with a random credit.
        floor = (
            0.5
            / self.settings.overload_window
            / self.settings.coordinator_count
            * (self.now - server.credit_at)
        )
        gained = max(self.flow - server.flow_at, floor) * share
        if server.credit_at < server.cold_from:
            server.credit = self.random.random()
        else:
            # Half of what pushes it over; the other half is for uneven shards and late lists.
            server.credit = min(1.0, server.credit + gained * max(self.settings.overload_multiple / 2, 1.0))
        server.credit_at, server.flow_at = self.now, self.flow
        # No more is drawn than half of what pushes it over, as answers flow. Guards against clients that come
        # again and again: each try is one more draw, at all co-ordinators, and answers none of them.
        answered = (self.flowed.get(self.now) + FEW) / (self.asked.get(self.now) + FEW)
        share *= min(1.0, answered * self.settings.overload_multiple / 2)
        drawn = server.draw < share and server.credit > -AHEAD
        return drawn or (server.credit >= 1.0 and not sparing)

    def _fit(self, server: _Server, query: _Query) -> bool:
        """Permitted, not backed up, and healthy or due for a trial part."""
        due = self.now >= server.ejected_until and not server.calls
        # Guards against a query of many parts that tries all ejected servers at once, and waits for each.
        few = self.trials < max(1.0, BREAKER_CLOSES * len(query.parts))
        sound = not server.ejected_for or (due and few)
        return sound and not self._backed_up(server, query) and self._permitted(server, sparing=True)

    def _pace(self, server: _Server) -> float:
        """How slow its last parts were against the median, fading. Guards against those that are or grow slow
        and still answer: a lost race comes too seldom where a co-ordinator meets each in seconds."""
        return 1.0 + (server.pace - 1.0) * float(0.5 ** ((self.now - server.paced_at) / PACE_FADES))

    def _backed_up(self, server: _Server, query: _Query) -> bool:
        """Its oldest call is old, but for parts that later ones overtook: those are lost, not queued."""
        oldest = next((c[0] for c in server.calls if c[0] > server.reached), self.now)
        return self.now - oldest > BACKLOG * (query.aim_at - self.now)

    def _substitute(self, part: _Part) -> _Server | None:
        """Another holder: fit and untried, else fit, else any that is permitted."""
        held, out = self.held_by[part.arrived.shard % self.settings.cell_count], [a.server for a in part.out]
        others = [s for s in held if self._permitted(s) and s not in out]
        return (
            min(
                others,
                key=lambda s: (
                    not self._fit(s, part.query),
                    s in part.tried,
                    len(s.calls) + self._pace(s),
                    s.listed.zone != self.zone,
                ),
            )
            if others
            else None
        )

    def _position(self, parts: list[_Part]) -> list[_Server]:
        """The servers of the position with the fewest calls out, as its parts would meet them."""
        holders = list[list[_Server]]()
        for part in parts:
            held = self.held_by[part.arrived.shard % self.settings.cell_count]
            paces = [self._pace(s) if self._fit(s, part.query) else inf for s in held]
            least = min(paces, default=0.0)
            fit = [pace < inf and pace <= SLOW * least for pace in paces]
            spare = None if all(fit) else self._substitute(part)
            holders.append([s if ok or not spare else spare for s, ok in zip(held, fit, strict=True)])
        rows = [[h[j % len(h)] for h in holders] for j in range(max(map(len, holders), default=1))]
        # Guards against the price of crossing: one row more, of holders in the own zone where there are any.
        near = [[s for s in h if s.listed.zone == self.zone] or h for h in holders]
        rows += [[h[self.batch % len(h)] for h in near]] if near != holders else []
        calls = [sum(len(s.calls) + CROSSING * (s.listed.zone != self.zone) for s in row) for row in rows]
        # At random among equals: many co-ordinators with nothing out must not all take one position.
        return rows[min(range(len(rows)), key=lambda i: (calls[i], self.random.random()))]

    def _percentile(self, query: _Query, share: float) -> float:
        """Of the class's last latencies, of parts, not of attempts: cancelled twins would hide the tail."""
        ranked = self.latency[query.arrived.query_class].ranked
        return (
            ranked[int(share * (len(ranked) - 1))]
            if len(ranked) >= FEW
            else query.kind.latency_objective * START_DELAY
        )

    def _send(self, part: _Part, server: _Server, is_copy: bool = False) -> bool:
        query, kind, rules = part.query, part.query.kind, self.settings
        over = query.over or part.done or self.now >= query.answer_by or part.made >= rules.max_attempts
        if over or not self._permitted(server) or (part.out and not rules.hedging_allowed):
            return False
        # No effect twice: what may have run goes again if safe; if keyed, within its window.
        known = {api.RetrySafety.IDEMPOTENT: inf, api.RetrySafety.NOT_IDEMPOTENT: 0.0}
        window = known.get(kind.retry_safety, kind.idempotency_window or 0.0)
        if part.may_have_run and self.now >= min(part.may_have_run.values()) + window - self.lag:
            return False
        left = (rules.retry_budget_share or 0.0) * self.taken.get(self.now) - self.extras.get(self.now)
        spare = (rules.retry_budget_free or 0.0) * is_copy / 2  # of the stated few, half is for retries
        if part.made and rules.retry_budget_free is not None and rules.retry_budget_free + left < 1 + spare:
            return False
        (self.extras if part.made else self.sent).add(self.now)
        part.may_have_run[part.made] = self.now
        server.credit -= 1.0
        call = (self.now, self.batch, self.call_now[server] // rules.max_parts_per_request)
        self.call_now[server] += 1
        self.trials += server.ejected_for > 0
        met = sum(c[1] < self.batch for c in server.calls)
        idle = self.now - server.used if server.used else 0.0  # a first meeting is no pause
        attempt = _Attempt(part, part.made, server, call, is_copy, idle, met)
        # Guards against connections dropped unseen while idle: silence after a pause tells what is too long.
        # And against one that fell silent under its parts: its server may be well, and is met on a new one.
        too_long = attempt.idle * 0.5 ** ((self.now - self.limit_at) / WINDOW) >= self.idle_limit
        if too_long or self.now < server.mute_until:
            self.actions.append(api.CloseIdle(server.listed.id))
            server.mute_until = attempt.idle = 0.0  # what comes tells nothing of pauses
        server.used = self.now
        server.calls[call] = server.calls.get(call, 0) + 1
        self.attempts[part.arrived.id, part.made] = attempt
        part.made += 1
        part.out.append(attempt)
        part.tried.append(server)
        self.actions.append(api.Send(part.arrived.id, server.listed.id, query.answer_by))
        self._timer(self._percentile(query, PERCENTILE), lambda: self._late(attempt))
        return True

    def _longest_fine(self) -> float:
        """The longest pause after which a part was answered of late; it fades as the limit on pauses does."""
        return self.idle_fine * float(0.5 ** ((self.now - self.fine_at) / WINDOW))

    def _late(self, attempt: _Attempt) -> None:
        """The hedge timer: one copy, if the part is still out and a copy can come in before the aim."""
        part, query = attempt.part, attempt.part.query
        if not attempt.live:
            return
        self._timer(self._percentile(query, PERCENTILE), lambda: self._late(attempt))
        attempt.waits += 1
        if attempt.waits % SILENCE == 0 and attempt.server.reached < attempt.call[0]:
            attempt.server.silent_to = self.now
            # No part sent as late or later has been answered.
            self._judge(attempt.server, 1.0, api.EjectionReason.NO_RESPONSE)
            attempt.server.mute_until = self.now + 2 * EJECT_MOST
            # Guards against a new connection for each part where parts come seldom: no pause is too long
            # after which one was answered of late; the server is silent by itself.
            if attempt.idle > self._longest_fine():
                self.idle_limit = min(self.idle_limit, max(attempt.idle, query.kind.latency_objective))
                self.limit_at = self.now
        # One copy; where both it and its twin are at ejected servers they count as failed: a try may follow.
        failed = all(a.server.ejected_for for a in part.out)
        safe = query.kind.retry_safety is api.RetrySafety.IDEMPOTENT and (len(part.out) == 1 or failed)
        in_time = self.now + self._percentile(query, 0.5) <= query.aim_at
        parts, copies = self.sent.get(self.now), sum(a.is_copy for a in self.attempts.values())
        shut = self.hedges.is_open(self.now, parts) | self.failures.is_open(self.now, parts)
        # Guards stragglers: with nine tenths of its query in, a part is late by itself.
        queueing = self._delay() > QUEUEING * self.usual[query.arrived.query_class]
        shut |= queueing and query.weight_in < 1 - BREAKER_CLOSES
        shut &= not attempt.server.ejected_for  # what an ejected server holds counts as failed, not as late
        cap = max(COPY_CAP * len(self.attempts), BREAKER_CLOSES * len(query.parts))
        if safe and in_time and not shut and copies < cap:
            server = self._substitute(part)
            if server and self._fit(server, query) and self._send(part, server, is_copy=True):
                self.hedges.add(self.now)

    def _ended(self, event: api.AttemptEnded) -> None:
        if not (attempt := self.attempts.pop((event.part, event.attempt), None)):
            return
        part, query, server, attempt.live = attempt.part, attempt.part.query, attempt.server, False
        server.calls[attempt.call] -= 1
        if not server.calls[attempt.call]:
            del server.calls[attempt.call]
        part.out.remove(attempt)
        if event.outcome.never_ran:
            del part.may_have_run[event.attempt]
        answered = event.outcome in (
            api.AttemptOutcome.OK,
            api.AttemptOutcome.ERROR,
            api.AttemptOutcome.REJECTED,
        )
        if event.outcome is api.AttemptOutcome.OK:
            self.flow += 1 / max(self.ready, 1)
            self.flowed.add(self.now)
            # Guards against a jammed server that an answer as late as silence lets back in, for all peers.
            if attempt.waits < SILENCE:
                self._judge(server, 0.0)
            # Guards against slow servers, whatever all do: one that a copy overtook in spite of its start.
            for loser in part.out if attempt.is_copy and not part.done and not self.stalled else ():
                self._judge(loser.server, 1.0, api.EjectionReason.LOST_TO_HEDGE)
        elif event.outcome not in (api.AttemptOutcome.CANCELLED, api.AttemptOutcome.NEVER_SENT):
            self.failures.add(self.now)
            server.silent_to = server.silent_to if answered else self.now
            # Guards against ejecting what is only full: its load would fill the next holder.
            full = event.outcome is api.AttemptOutcome.REJECTED
            self._judge(server, HEARSAY if full else 1.0, api.EjectionReason(event.outcome.value))
        server.reached = max(server.reached, attempt.call[0] if answered else 0.0)
        server.mute_until = 0.0 if answered else server.mute_until
        if answered and attempt.idle > self._longest_fine():
            self.idle_fine, self.fine_at = attempt.idle, self.now
        if answered and not self.stalled:
            # Guards against a jam that outlives its trigger: full queues answer fast and tell no delay.
            took = (
                query.kind.latency_objective
                if event.outcome is api.AttemptOutcome.REJECTED
                else event.latency
            )
            self.mean, self.outcome_at = self.mean + (took - self.mean) / OUTCOMES, self.now
            pace, usual = self._pace(server), max(self._percentile(query, 0.5), EPSILON)
            server.pace, server.paced_at = pace + (took / usual - pace) / PACED, self.now
            self.met += (attempt.met - self.met) / OUTCOMES
        if not part.done and event.outcome is api.AttemptOutcome.OK:
            # Guards the delay against its own rescues: counted as the delay plus the copy's time, they would
            # raise the percentile to the aim where over 5% of parts meet silence. They count as the delay.
            if not self.stalled:
                waited = max(event.latency, part.may_have_run.get(1, 0.0) - part.first_sent)
                self.latency[query.arrived.query_class].append(waited)
            self._drop([part])
            query.parts_in += 1
            query.weight_in += part.arrived.weight
            self._settle(query)
        elif event.outcome is api.AttemptOutcome.REJECTED and part.made < self.settings.max_attempts:
            # Guards against storms on full queues: the next try waits for room.
            self._timer(part.made * self._percentile(query, 0.5), lambda: self._retry(part))
        else:
            self._retry(part)

    def _retry(self, part: _Part) -> None:
        """A failed part is tried again elsewhere, which is no copy; with no way left it is lost."""
        if not part.done and not part.out:
            other = self._substitute(part)
            part.lost = other is None or not self._send(part, other)
            self._settle(part.query)

    def _take_query(self, event: api.QueryArrived) -> None:
        kind, index = self.settings.query_classes[event.query_class], event.query_class
        answer_by = event.expires_at - 2 * self.settings.timer_granularity
        aim = min(
            kind.deadline, kind.latency_objective + (kind.objective_stretch or 0.0) * event.predicted_cost
        )
        query = _Query(event, kind, min(self.now + aim, answer_by), answer_by)
        self.queries[event.id] = self.by_number[event.number] = self.fresh[event.id] = query
        self.taken.add(self.now)
        self.tenants[event.tenant].add(self.now)
        self.usual[index] = min(self.usual[index] * CREEP, self._percentile(query, 0.5))
        self._timer(answer_by - self.now, lambda: self._overdue(query))
        if kind.required_coverage < kind.complete_coverage:
            self._timer(
                query.aim_at - 2 * self.settings.timer_granularity - self.now, lambda: self._settle(query)
            )

    def _take_part(self, event: api.PartArrived) -> None:
        self.taken.add(self.now)
        self.asked.add(self.now)
        if query := self.by_number.get(event.query_number):
            query.ask(_Part(event, query, self.now))
            self.fresh[query.arrived.id] = query

    def _start(self, query: _Query) -> None:
        for part in query.parts:
            held = self.held_by[part.arrived.shard % self.settings.cell_count]
            part.lost = not any(self._permitted(s) for s in held)
        parts = [p for p in query.parts if not p.lost]
        row = self._position(parts)
        reachable = bool(parts) and not query.lacks()
        admitted = reachable and (
            query.step is QueryState.SECOND_STEP or not self._crowded(query, parts, row)
        )
        for part, server in zip(parts, row, strict=True) if admitted else ():
            # Two parts of one query can spend a cold server's credit: the second goes elsewhere.
            other = server if self._fit(server, query) else self._substitute(part)
            part.lost = other is None or not self._send(part, other)
        if not admitted:
            # Guards against a shard whose holders are all cold and stay so, as nothing is answered: what is
            # refused for want of them buys credit too, but not for repeats.
            wanted = 0 if query.arrived.is_client_retry or not query.lacks() else len(query.parts)
            self.flow += wanted / max(self.ready, 1)
            self._give_up(query, api.QueryEndReason.OVERLOAD if reachable else api.QueryEndReason.NO_REPLICA)
        self._settle(query)

    def _delay(self, row: list[_Server] | None = None) -> float:
        """Mean time of a part in these servers or all: the last one, scaled by the calls out now and then."""
        out = sum(len(s.calls) for s in row) / len(row) if row else len(self.attempts) / max(self.ready, 1)
        # Guards against refusing for ever on old news: it fades while no outcomes come.
        unheard = max(self.now - self.outcome_at - self.mean, 0.0)
        return self.mean * (1 + out) / (1 + self.met) * float(0.5 ** (unheard / RATE_SPAN))

    def _crowded(self, query: _Query, parts: list[_Part], row: list[_Server]) -> bool:
        """Refuse what would miss its aim at the present delay; sooner, what is over its tenant's share."""
        quota = dict(enumerate(self.settings.tenant_quotas)).get(query.arrived.tenant)
        # Guards against thin evidence: a few queries by chance, times many co-ordinators, are no excess.
        came = self.tenants[query.arrived.tenant].get(self.now)
        over = quota and (came - CHANCE * sqrt(came)) * self.settings.coordinator_count > WINDOW * quota
        limit = (ADMIT_OVER_SHARE if over else ADMIT) / (2 if query.kind.second_step_parts else 1)
        # The slowest of the servers that it needs (a call's parts end together), for exponential times.
        servers, need = len(set(row)), min(query.kind.complete_coverage, query.kind.required_coverage)
        unneeded = int(servers * (1.0 - need) + EPSILON)
        means = log(servers + 0.5) - (log(unneeded + 0.5) if unneeded else -0.58)
        slowest = self._delay(row) * max(means, 1.0)
        met = dict(zip(map(id, parts), row, strict=True))
        return slowest > limit * (query.aim_at - self.now) or query.lacks(
            lambda p: p.lost or self._backed_up(met[id(p)], query)
        )

    def _settle(self, query: _Query) -> None:
        """End what can be: with enough for a whole answer, with all there is to come, or for want of it."""
        # Between its steps a query has no parts, which says nothing of what is in. Found in an incident: the
        # aim timer came just then, took no part open for all parts in, and answered without any.
        if not query.step.has_parts:
            return
        kind, coverage = query.kind, query.coverage
        # Past the aim a whole answer earns its late worth: what is in may earn more, if it goes in time.
        worth = kind.partial_weight * query.weight_in / kind.complete_coverage
        over = self.now >= query.aim_at - 2 * self.settings.timer_granularity and worth > kind.late_weight
        if is_complete(kind, query.step, coverage):
            complete = coverage.complete
            self._answer(
                query,
                True,
                api.QueryEndReason.ALL_PARTS if complete else api.QueryEndReason.COMPLETE_COVERAGE,
            )
        elif query.lacks():
            self._give_up(query, api.QueryEndReason.PARTS_LOST)
        elif may_answer(kind, query.step, coverage) and (over or all(p.done or p.lost for p in query.parts)):
            self._answer(
                query,
                False,
                api.QueryEndReason.PARTIAL_AT_OBJECTIVE if over else api.QueryEndReason.PARTIAL_NO_MORE_PARTS,
            )

    def _answer(self, query: _Query, whole: bool, reason: api.QueryEndReason) -> None:
        self.actions.append(api.Answer(query.arrived.id, whole and query.first_whole, reason))
        if query.kind.second_step_parts and query.step is QueryState.FIRST_STEP:
            self._drop(query.parts)
            query.open_second_step(whole)
        else:
            self._close(query)

    def _overdue(self, query: _Query) -> None:
        """Time is nearly up: a short answer where the class allows one, else none."""
        if may_answer(query.kind, query.step, query.coverage):
            self._answer(query, False, api.QueryEndReason.PARTIAL_AT_DEADLINE)
        elif not query.over:
            self._give_up(query, api.QueryEndReason.DEADLINE)

    def _give_up(self, query: _Query, reason: api.QueryEndReason) -> None:
        """The final answer at once: refused with a time to come again where that is harmless, else failed."""
        harmless = query.kind.retry_safety is api.RetrySafety.IDEMPOTENT or not any(
            p.may_have_run for p in query.parts
        )
        if harmless and query.step is QueryState.FIRST_STEP:
            wait = min(self.settings.max_retry_after, max(self._delay(), self.settings.timer_granularity))
            advice = wait if self.settings.retry_after_allowed else 0.0
            self.actions.append(api.Reject(query.arrived.id, advice, reason))
        else:
            self.actions.append(api.Fail(query.arrived.id, reason))
        self._close(query)

    def _close(self, query: _Query) -> None:
        query.step = QueryState.SETTLED
        del self.queries[query.arrived.id], self.by_number[query.arrived.number]
        self._drop(query.parts)
        query.parts = []  # guards memory: they refer to it, and as a cycle wait for the collector

    def _drop(self, parts: Sequence[_Part]) -> None:
        for part in parts:
            part.done = True
            for attempt in part.out:
                if self.settings.cancellation_allowed and attempt.live:
                    attempt.live = False
                    self.actions.append(api.Cancel(part.arrived.id, attempt.number))
