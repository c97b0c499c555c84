"""A simulated host with replicas that fail as a scenario specifies. It fulfils the contract of a host.

The parts of a query arrive in the batch of the query, each send ends exactly once, a timer fires in the first batch
at or after its time, and the parts of a second step follow the answer to the first.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from math import ceil, inf

from gingervane import interface as api

from .codec import Recorder, Recording

START = 1000.0  # of the host's clock
TICK = 0.005  # minimum seconds between two batches
DIGITS = 4  # decimal places of random latencies: short numbers keep the fixtures small
ABANDONED_AFTER = 0.5  # seconds after a query's deadline at which the host abandons it


class FaultKind(Enum):
    """Effect of a fault on the attempts at a replica."""

    SLOW = auto()
    UNRESPONSIVE = auto()
    ERROR = auto()
    FULL = auto()
    UNREACHABLE = auto()
    RESET = auto()
    NEVER_SENT = auto()


FAST_OUTCOMES = {
    FaultKind.ERROR: api.AttemptOutcome.ERROR,
    FaultKind.FULL: api.AttemptOutcome.REJECTED,
    FaultKind.UNREACHABLE: api.AttemptOutcome.CONNECT_FAILED,
    FaultKind.RESET: api.AttemptOutcome.RESET,
    FaultKind.NEVER_SENT: api.AttemptOutcome.NEVER_SENT,
}


@dataclass(frozen=True)
class Fault:
    """Some replicas (all, if none is named) fail a share of their attempts for a time."""

    kind: FaultKind
    begins: float
    ends: float
    replicas: frozenset[int] = frozenset()
    share: float = 1.0
    slowness: float = 8.0  # multiple of the usual latency


@dataclass(frozen=True)
class Load:
    """Queries at random times."""

    begins: float
    ends: float
    rate: float  # queries per second
    min_parts: int = 1  # of a query
    max_parts: int = 3
    classes: tuple[int, ...] = (0,)
    tenants: int = 1
    client_retry_share: float = 0.0
    disconnect_share: float = 0.0  # share of clients that disconnect before they have an answer
    even_weights: bool = True
    shards: tuple[int, ...] = ()  # all, if none is named
    deadline_factor: float = 1.0  # a query's deadline as a multiple of its class's


@dataclass(frozen=True)
class Scenario:
    """Inputs and faults of one co-ordinator; times are seconds from the start of the recording."""

    settings: api.Settings
    loads: tuple[Load, ...]
    lists: tuple[tuple[float, api.MembershipChanged], ...]
    faults: tuple[Fault, ...] = ()
    # Messages of peers, health checks, and events about unknown ids.
    other_events: tuple[tuple[float, api.Event], ...] = ()
    pauses: tuple[tuple[float, float], ...] = ()  # start and length, in seconds
    duration: float = 20.0
    latency: float = 0.08  # mean, in seconds
    capacity: float = inf  # attempts in flight at a replica at which its latency is doubled
    failed_watch_calls: int = 0
    late_cancels: float = 0.2  # share of cancelled attempts that end as if they had not been cancelled
    lost_second_steps: float = 0.05  # share of second steps that never begin
    seed: int = 1


@dataclass
class _Query:
    arrival: api.QueryArrived
    kind: api.QueryClass
    step: int = 1
    ended: bool = False
    parts: list[int] = field(default_factory=list)


@dataclass
class _Attempt:
    replica: int
    sent_at: float
    outcome: api.AttemptOutcome


class Simulator:
    """Runs one scenario with a co-ordinator and records it."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario, self.settings = scenario, scenario.settings
        self.draw = random.Random(scenario.seed)
        self.recorder = Recorder(scenario.settings, scenario.seed)
        self.now, self.order = START, 0
        self.due: list[tuple[float, int, Callable[[], list[api.Event]]]] = []
        self.queries: dict[int, _Query] = {}
        self.open_attempts: dict[tuple[int, int], _Attempt] = {}
        self.attempts_made, self.in_flight = Counter[int](), Counter[int]()
        self.next_id, self.next_number = 1, 0
        self.listed_replicas: dict[int, api.Replica] = {}
        self.failed_watch_calls = scenario.failed_watch_calls

    def run(self) -> Recording:
        """Run the scenario to its end and return the recording."""
        for at, change in self.scenario.lists:
            self._at(START + at, lambda change=change: self._change_list(change))  # type: ignore[misc]
        for at, event in self.scenario.other_events:
            self._at(START + at, lambda event=event: [event])  # type: ignore[misc]
        for load in self.scenario.loads:
            self._at(START + load.begins, lambda load=load: self._arrive(load))  # type: ignore[misc]
        while self.due and self.due[0][0] <= START + self.scenario.duration:
            self._turn()
        return self.recorder.recording()

    def _at(self, at: float, events: Callable[[], list[api.Event]]) -> None:
        self.order += 1
        heapq.heappush(self.due, (at, self.order, events))

    def _turn(self) -> None:
        """Handle one batch: the events due at the next tick, or at the end of a process pause."""
        at = max(self.due[0][0], self.now + TICK)
        for begins, seconds in self.scenario.pauses:
            if START + begins <= at < START + begins + seconds:
                at = START + begins + seconds
        at = round(ceil(round(at / TICK, 6)) * TICK, 6)
        while at < self.due[0][0]:
            at = round(at + TICK, 6)
        self.now, events = at, list[api.Event]()
        while self.due and self.due[0][0] <= self.now:
            events += heapq.heappop(self.due)[2]()
        if events:
            for action in self.recorder.handle(self.now, events):
                self._execute(action)

    # ---- events

    def _change_list(self, change: api.MembershipChanged) -> list[api.Event]:
        if change.kind is not api.MembershipUpdateKind.FAILED:
            if change.kind is not api.MembershipUpdateKind.DELTA:
                self.listed_replicas = {}
            self.listed_replicas.update((row.id, row) for row in change.replicas)
        return [change]

    def _arrive(self, load: Load) -> list[api.Event]:
        """Schedule the next query, and return the arrival of a query with its parts."""
        next_arrival = self.now + self.draw.expovariate(load.rate)
        if next_arrival < START + load.ends:
            self._at(next_arrival, lambda: self._arrive(load))
        index = self.draw.choice(load.classes)
        kind, count = self.settings.query_classes[index], self.draw.randint(load.min_parts, load.max_parts)
        query, number = self._id(), self.next_number
        self.next_number += 1
        expires = round(self.now + kind.deadline * load.deadline_factor, DIGITS)
        repeat = self.draw.random() < load.client_retry_share
        cost = round(self.draw.random(), 3) if kind.objective_stretch is not None else 0.0
        tenant = self.draw.randrange(load.tenants)
        arrival = api.QueryArrived(query, number, index, tenant, count, expires, repeat, cost)
        self.queries[query] = _Query(arrival, kind)
        if self.draw.random() < load.disconnect_share:
            self._at(self.now + self.draw.random() * kind.latency_objective, lambda: self._disconnect(query))
        self._at(expires + ABANDONED_AFTER, lambda: self._disconnect(query))
        weights = [1.0 if load.even_weights else self.draw.choice((1.0, 1.0, 3.0)) for _ in range(count)]
        shards = load.shards or range(self.settings.cell_count)
        first = self.draw.randrange(len(shards))
        return [
            arrival,
            *(
                api.PartArrived(
                    self._id(), number, shards[(first + i) % len(shards)], round(w / sum(weights), 6)
                )
                for i, w in enumerate(weights)
            ),
        ]

    def _second_step(self, query: _Query) -> list[api.Event]:
        if query.ended:
            return []
        count, number = query.kind.second_step_parts, query.arrival.number
        return [
            api.PartArrived(
                self._id(), number, self.draw.randrange(self.settings.cell_count), round(1 / count, 6)
            )
            for _ in range(count)
        ]

    def _disconnect(self, number: int) -> list[api.Event]:
        if self.queries[number].ended:
            return []
        self.queries[number].ended = True
        return [api.QueryAbandoned(number)]

    def _end(self, key: tuple[int, int], outcome: api.AttemptOutcome) -> list[api.Event]:
        attempt = self.open_attempts.pop(key, None)
        if attempt is None:
            return []
        self.in_flight[attempt.replica] -= 1
        latency = round(self.now - attempt.sent_at, DIGITS)
        return [api.AttemptEnded(*key, attempt.replica, outcome, latency)]

    def _id(self) -> int:
        self.next_id += 1
        return self.next_id

    # ---- actions of the decision engine

    def _execute(self, action: api.Action) -> None:
        match action:
            case api.Send(part, replica, expires_at):
                self._send(part, replica, expires_at)
            case api.Cancel(part, attempt):
                if self.draw.random() >= self.scenario.late_cancels:
                    self._at(self.now, lambda: self._end((part, attempt), api.AttemptOutcome.CANCELLED))
            case api.SetTimer(delay, label):
                self._at(self.now + delay, lambda: [api.TimerFired(label)])
            case api.Answer(number):
                self._answered(self.queries[number])
            case api.Reject(number) | api.Fail(number):
                self.queries[number].ended = True
            case api.WatchMembership():
                self._at(self.now + TICK, self._answer_watch)

    def _answered(self, query: _Query) -> None:
        if query.step == 2 or not query.kind.second_step_parts:
            query.ended = True
            return
        query.step = 2
        if self.draw.random() >= self.scenario.lost_second_steps:
            self._at(self.now + self.draw.choice((0.0, 0.01)), lambda: self._second_step(query))

    def _answer_watch(self) -> list[api.Event]:
        if self.failed_watch_calls > 0:
            self.failed_watch_calls -= 1
            return [api.MembershipChanged(api.MembershipUpdateKind.FAILED, ())]
        return [api.MembershipChanged(api.MembershipUpdateKind.FULL, tuple(self.listed_replicas.values()))]

    def _send(self, part: int, replica: int, expires_at: float) -> None:
        key = part, self.attempts_made[part]
        self.attempts_made[part] += 1
        usual = self.scenario.latency * (0.5 + self.draw.expovariate(2.0))
        latency = usual * (1 + self.in_flight[replica] / self.scenario.capacity)
        outcome = api.AttemptOutcome.OK
        for fault in self.scenario.faults:
            if self._is_affected(fault, replica):
                if fault.kind is FaultKind.SLOW:
                    latency *= fault.slowness
                elif fault.kind is FaultKind.UNRESPONSIVE:
                    latency = inf
                else:
                    outcome, latency = FAST_OUTCOMES[fault.kind], min(latency, 0.01)
        ends_at = self.now + round(latency, DIGITS) if latency < inf else inf
        if ends_at >= expires_at:
            # Sometimes the engine's timer for a query's deadline fires before the timeouts of its parts.
            ends_at, outcome = expires_at + TICK * self.draw.randrange(3), api.AttemptOutcome.TIMED_OUT
        self.open_attempts[key] = _Attempt(replica, self.now, outcome)
        self.in_flight[replica] += 1
        self._at(ends_at, lambda: self._end(key, outcome))

    def _is_affected(self, fault: Fault, replica: int) -> bool:
        is_target = not fault.replicas or replica in fault.replicas
        is_active = fault.begins <= self.now - START < fault.ends
        return is_target and is_active and self.draw.random() < fault.share
