"""A simulated host of the query driver: clients, senders and replicas whose behaviour a scenario states."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import Any

from hosts import BASE, query_class, replica

from gingervane import interface as api
from gingervane.coordinator import types as t
from recordings import driver_codec as codec
from recordings.driver_codec import Operation, RecordedExchange, RecordedSettled, Session

START = 1000.0  # the first time on the host's clock
TURN = 0.0003  # seconds between two turns, at least
SENDER_DELAY = 0.0004  # seconds from a call's start until a sender takes it
STUCK = 0.08  # seconds that a call waits for a sender that is late
MOST_BATCHES = 310
READY, DRAINING, GONE = api.ReplicaState.READY, api.ReplicaState.DRAINING, api.ReplicaState.GONE
FULL, DELTA, CACHED, FAILED = (
    api.MembershipUpdateKind.FULL,
    api.MembershipUpdateKind.DELTA,
    api.MembershipUpdateKind.CACHED,
    api.MembershipUpdateKind.FAILED,
)
SETTINGS = BASE._replace(
    coordinator_count=1,
    query_classes=(query_class(aim=0.5, deadline=2.0),),
    cell_count=4,
    cells_per_replica=3,
    max_parts_per_request=2,
)
ROWS = tuple(replica(number, cell=number % 4, zone=number % 2) for number in range(6))


@dataclass
class Scenario:
    """What a run meets. Chances are of each query, call or attempt; `timed`: (seconds after the start, inputs)."""

    name: str
    settings: api.Settings
    seed: int = 1
    queries: int = 40
    gap: float = 0.05  # mean seconds between arrivals
    most_parts: int = 4
    client_times: tuple[float, ...] = (2.0,)
    latency: float = 0.02
    tails: float = 0.05  # chance of a slow attempt
    tail: float = 0.7
    failures: dict[api.AttemptOutcome, float] = field(default_factory=dict)
    slow_replicas: dict[int, float] = field(default_factory=dict)  # replica -> times the latency
    broken_replicas: dict[int, api.AttemptOutcome] = field(default_factory=dict)
    mute_replicas: frozenset[int] = frozenset()  # never reply
    refused_starts: float = 0.0  # every sender is taken
    stuck: float = 0.0  # waits for a sender
    piecemeal: float = 0.0  # only the first errand leaves
    late_replies: float = 0.3  # a call that was called off is reported all the same
    leavers: float = 0.0
    early_stamps: float = 0.0  # an ending stamped before its attempt was sent
    listed_with_news: float = 0.0  # a list comes as the driver has endings of its own to tell
    repeats: float = 0.1
    granted: float = 0.0  # parts with a bound on runs
    second_parts: int | None = None
    first_list: tuple[t.EndpointsUpdated, ...] = ()
    stalls: tuple[tuple[float, float], ...] = ()  # (seconds after the start, length)
    timed: tuple[tuple[float, tuple[t.Input, ...]], ...] = ()
    stop_after: float = inf  # the run is cut here, with queries open


def listed(kind: api.MembershipUpdateKind, *rows: api.Replica) -> t.EndpointsUpdated:
    """A list whose replicas have addresses."""
    addresses = {row.id: (f"~{row.id}", 1000 + row.id) for row in rows if row.state is not GONE}
    return t.EndpointsUpdated(api.MembershipChanged(kind, rows), addresses)


def in_state(state: api.ReplicaState, *numbers: int) -> tuple[api.Replica, ...]:
    return tuple(ROWS[number]._replace(state=state) for number in numbers)


class Host:
    """Runs a scenario: carries out effects as senders, replicas and clients would, and records each batch."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario, self.random = scenario, random.Random(scenario.seed)
        self.settings = codec.encode(scenario.settings)
        self.session = Session(self.settings, scenario.seed, None)
        self.now, self.batches = START, list[list[Any]]()
        self._order = itertools.count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._inputs: list[Any] = []  # in the form of the recording
        self._operations: list[Any] = []
        self._results: list[Any] = []
        self._withdrawn: set[int] = set()

    # ---- the schedule

    def at(self, when: float, then: Callable[[], None]) -> None:
        heapq.heappush(self._due, (round(when, 4), next(self._order), then))

    def chance(self, share: float) -> bool:
        return share > 0.0 and self.random.random() < share

    def put(self, item: t.Input, second_parts: int | None = None) -> None:
        self._inputs.append(codec.encode_input(item, second_parts))

    def run(self) -> list[Any]:
        """The whole recording."""
        self._plan()
        while len(self.batches) < MOST_BATCHES:
            due = min(self._due[0][0] if self._due else inf, self.session.driver.next_due())
            if due == inf or due > START + self.scenario.stop_after:
                break
            self.now = round(max(self.now + TURN, due), 4)
            self._stand_still()
            while self._due and self._due[0][0] <= self.now:
                heapq.heappop(self._due)[2]()
            if self.session.driver.next_due() == -inf and self.chance(self.scenario.listed_with_news):
                state = self.random.choice((READY, DRAINING, GONE))
                self.put(listed(DELTA, *in_state(state, self.random.randrange(len(ROWS)))))
            self._turn()
        return [self.settings, self.scenario.seed, None, self.batches, self.session.closing()]

    def _stand_still(self) -> None:
        for start, length in self.scenario.stalls:
            if START + start <= self.now < START + start + length:
                self.now = START + start + length

    def _plan(self) -> None:
        scenario = self.scenario
        for first in scenario.first_list or (listed(FULL, *ROWS),):
            self.put(first)
        self._turn()
        for after, items in scenario.timed:
            for item in items:
                self.at(START + after, lambda item=item: self.put(item))  # type: ignore[misc]
        when = START + 0.01
        for number in range(1, scenario.queries + 1):
            self.at(when, lambda number=number: self._arrive(number))  # type: ignore[misc]
            when += self.random.expovariate(1 / scenario.gap) if scenario.gap else 0.0

    # ---- clients

    def _arrive(self, number: int) -> None:
        scenario, draw = self.scenario, self.random
        kind = draw.randrange(len(scenario.settings.query_classes))
        count = draw.randint(1, scenario.most_parts)
        weights = [draw.choice((1.0, 1.0, 3.0)) for _ in range(count)]
        parts = tuple(
            self._part(number * 100 + index, shard, round(weight / sum(weights), 6))
            for index, (shard, weight) in enumerate(zip(draw.sample(range(8), count), weights, strict=True))
        )
        seconds = draw.choice(scenario.client_times)
        second = scenario.second_parts if scenario.settings.query_classes[kind].second_step_parts else None
        plan = t.QueryPlan(
            kind,
            round(self.now + seconds, 4),
            parts,
            RecordedExchange(draw.choice((1, 1, 2))),
            f"~{number}",
            self.chance(scenario.repeats),
            draw.choice((0.0, 0.0, 0.01)),
        )
        self.put(t.QuerySubmitted(number, plan, RecordedSettled(number)), second)
        if self.chance(scenario.leavers):
            self.at(self.now + draw.uniform(0.0, 0.3), lambda: self.put(t.ClientDisconnected(number)))

    def _part(self, content: int, shard: int, weight: float) -> t.PartPlan:
        if not self.chance(self.scenario.granted):
            return t.PartPlan(shard, weight, content)
        most = self.random.randint(0, 2)
        return t.PartPlan(
            shard, weight, content, most, tuple(content + 10 * run for run in range(1, most + 1))
        )

    # ---- senders and replicas

    def _turn(self) -> None:
        inputs, self._inputs = self._inputs, []
        operations, self._operations = self._operations, []
        results, self._results = self._results, []
        effects, forms, state, observed = self.session.step(self.now, inputs)
        self.batches.append([operations, results, self.now, inputs, forms, state, observed])
        for effect in effects:
            match effect:
                case t.StartRequest(call):
                    self._start(self.session.call_number(call), call)
                case t.CancelRequest(call):
                    self._withdrawn |= {self.session.errand_number(errand) for errand in call.attempts}
                case t.AbandonAttempt(_, errand, _, True):
                    self._withdrawn.add(self.session.errand_number(errand))
                case t.WatchMembership():
                    answer = listed(FAILED) if self.chance(0.7) else listed(FULL, *ROWS)
                    self.at(self.now + 0.02, lambda answer=answer: self.put(answer))  # type: ignore[misc]

    def _start(self, number: int, call: t.BatchRequest) -> None:
        if self.chance(self.scenario.refused_starts):
            for errand in call.attempts:
                never = t.AttemptFinished(
                    errand.part, errand.attempt, api.AttemptOutcome.NEVER_SENT, self.now, None, "~taken"
                )
                self.at(self.now, lambda never=never: self.put(never))  # type: ignore[misc]
            return
        delay = STUCK if self.chance(self.scenario.stuck) else SENDER_DELAY
        self.at(self.now + delay, lambda: self._leave(number, call))

    def _operate(self, *form: Any) -> Any:
        operation, *arguments = form
        encoded = [operation.value, *arguments]
        self._operations.append(encoded)
        self._results.append(result := self.session.operate(encoded))
        return result

    def _leave(self, number: int, call: t.BatchRequest) -> None:
        """A sender writes the call."""
        if self.chance(self.scenario.piecemeal):
            first = self.session.errand_number(call.attempts[0])
            gone = [first] if self._operate(Operation.CLAIM, first) else []
        else:
            gone, late = self._operate(Operation.GO, number, self.now)
            for errand in late:
                self._end(errand, api.AttemptOutcome.NEVER_SENT, self.now, "~late")
        if not gone:
            return
        self._operate(Operation.SECONDS_LEFT, number, gone, self.now)
        together = self._latency(call.replica)
        for errand in gone:
            self._reply(errand, call, together)

    def _latency(self, where: int) -> float:
        scenario = self.scenario
        seconds = scenario.latency * self.random.uniform(0.5, 1.5) * scenario.slow_replicas.get(where, 1.0)
        return seconds + (scenario.tail if self.chance(scenario.tails) else 0.0)

    def _reply(self, errand: int, call: t.BatchRequest, seconds: float) -> None:
        scenario = self.scenario
        outcome = scenario.broken_replicas.get(call.replica, api.AttemptOutcome.OK)
        for failure, share in scenario.failures.items():
            if self.chance(share):
                outcome = failure
        if call.replica in scenario.mute_replicas:
            return
        when = self.now + seconds
        why = "" if outcome is api.AttemptOutcome.OK else f"~{self.random.randrange(3)}"
        stamp = round(when - 60.0 if self.chance(scenario.early_stamps) else when, 4)
        self.at(when, lambda: self._end(errand, outcome, stamp, why))

    def _end(self, number: int, outcome: api.AttemptOutcome, ended_at: float, why: str) -> None:
        if number in self._withdrawn and not self.chance(self.scenario.late_replies):
            return
        errand = self.session.errands[number]
        result = errand.content if outcome is api.AttemptOutcome.OK else None
        self.put(t.AttemptFinished(errand.part, errand.attempt, outcome, ended_at, result, why))
