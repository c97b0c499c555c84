"""A simulated host of the query driver: clients, senders and replicas that behave as a scenario specifies."""

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
from recordings.driver_codec import Operation, RecordedCodec, RecordedResultCallback, Session

START = 1000.0  # the first time on the host's clock
MIN_TURN_INTERVAL = 0.0003  # seconds between two turns
SENDER_DELAY = 0.0004  # seconds from the start of a batch request until a sender takes it
SENDER_WAIT = 0.08  # the same, if no sender is free at first
MAX_BATCHES = 310
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
    """Load and faults of one run. Probabilities are per query, batch or attempt.

    `timed`: (seconds after the start, inputs).
    """

    name: str
    settings: api.Settings
    seed: int = 1
    queries: int = 40
    gap: float = 0.05  # mean seconds between arrivals
    max_parts: int = 4
    client_times: tuple[float, ...] = (2.0,)
    latency: float = 0.02
    slow_share: float = 0.05  # probability of a slow attempt
    slow_seconds: float = 0.7  # added to the latency of a slow attempt
    failures: dict[api.AttemptOutcome, float] = field(default_factory=dict)
    slow_replicas: dict[int, float] = field(default_factory=dict)  # replica -> multiple of the latency
    broken_replicas: dict[int, api.AttemptOutcome] = field(default_factory=dict)
    unresponsive_replicas: frozenset[int] = frozenset()  # never reply
    rejected_starts: float = 0.0  # no sender has capacity for a batch
    sender_waits: float = 0.0  # a batch waits for a sender
    partial_sends: float = 0.0  # only the first attempt of a batch is sent
    late_replies: float = 0.3  # a cancelled attempt is reported all the same
    disconnects: float = 0.0
    early_end_times: float = 0.0  # `finished_at` is before the attempt was sent
    lists_with_deferred_events: float = 0.0  # a list arrives while the driver has deferred events
    client_retries: float = 0.1
    limited_parts: float = 0.0  # parts with `max_executions`
    second_parts: int | None = None
    first_list: tuple[t.EndpointsUpdated, ...] = ()
    pauses: tuple[tuple[float, float], ...] = ()  # (seconds after the start, length)
    timed: tuple[tuple[float, tuple[t.Input, ...]], ...] = ()
    stop_after: float = inf  # seconds after which the run ends, with queries open


def endpoint_update(kind: api.MembershipUpdateKind, *rows: api.Replica) -> t.EndpointsUpdated:
    """An endpoint update whose replicas have addresses."""
    addresses = {row.id: (f"~{row.id}", 1000 + row.id) for row in rows if row.state is not GONE}
    return t.EndpointsUpdated(api.MembershipChanged(kind, rows), addresses)


def in_state(state: api.ReplicaState, *numbers: int) -> tuple[api.Replica, ...]:
    return tuple(ROWS[number]._replace(state=state) for number in numbers)


class Host:
    """Runs a scenario: acts on effects as senders, replicas and clients would, and records each batch."""

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
        self._cancelled: set[int] = set()

    # ---- the schedule

    def schedule(self, when: float, then: Callable[[], None]) -> None:
        heapq.heappush(self._due, (round(when, 4), next(self._order), then))

    def chance(self, share: float) -> bool:
        return share > 0.0 and self.random.random() < share

    def put(self, item: t.Input, second_parts: int | None = None) -> None:
        self._inputs.append(codec.encode_input(item, second_parts))

    def run(self) -> list[Any]:
        """Run the scenario and return the recording."""
        self._schedule_scenario()
        while len(self.batches) < MAX_BATCHES:
            due = min(self._due[0][0] if self._due else inf, self.session.driver.next_due())
            if due == inf or due > START + self.scenario.stop_after:
                break
            self.now = round(max(self.now + MIN_TURN_INTERVAL, due), 4)
            self._apply_pauses()
            while self._due and self._due[0][0] <= self.now:
                heapq.heappop(self._due)[2]()
            if self.session.driver.next_due() == -inf and self.chance(
                self.scenario.lists_with_deferred_events
            ):
                state = self.random.choice((READY, DRAINING, GONE))
                self.put(endpoint_update(DELTA, *in_state(state, self.random.randrange(len(ROWS)))))
            self._turn()
        return [self.settings, self.scenario.seed, None, self.batches, self.session.closing()]

    def _apply_pauses(self) -> None:
        for start, length in self.scenario.pauses:
            if START + start <= self.now < START + start + length:
                self.now = START + start + length

    def _schedule_scenario(self) -> None:
        scenario = self.scenario
        for first in scenario.first_list or (endpoint_update(FULL, *ROWS),):
            self.put(first)
        self._turn()
        for after, items in scenario.timed:
            for item in items:
                self.schedule(START + after, lambda item=item: self.put(item))  # type: ignore[misc]
        when = START + 0.01
        for number in range(1, scenario.queries + 1):
            self.schedule(when, lambda number=number: self._arrive(number))  # type: ignore[misc]
            when += self.random.expovariate(1 / scenario.gap) if scenario.gap else 0.0

    # ---- clients

    def _arrive(self, number: int) -> None:
        scenario, draw = self.scenario, self.random
        kind = draw.randrange(len(scenario.settings.query_classes))
        count = draw.randint(1, scenario.max_parts)
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
            RecordedCodec(draw.choice((1, 1, 2))),
            f"~{number}",
            self.chance(scenario.client_retries),
            draw.choice((0.0, 0.0, 0.01)),
        )
        self.put(t.QuerySubmitted(number, plan, RecordedResultCallback(number)), second)
        if self.chance(scenario.disconnects):
            self.schedule(self.now + draw.uniform(0.0, 0.3), lambda: self.put(t.ClientDisconnected(number)))

    def _part(self, content: int, shard: int, weight: float) -> t.PartPlan:
        if not self.chance(self.scenario.limited_parts):
            return t.PartPlan(shard, weight, content)
        max_executions = self.random.randint(0, 2)
        return t.PartPlan(
            shard,
            weight,
            content,
            max_executions,
            tuple(content + 10 * run for run in range(1, max_executions + 1)),
        )

    # ---- senders and replicas

    def _turn(self) -> None:
        inputs, self._inputs = self._inputs, []
        operations, self._operations = self._operations, []
        results, self._results = self._results, []
        effects, encoded_effects, state, observed = self.session.step(self.now, inputs)
        self.batches.append([operations, results, self.now, inputs, encoded_effects, state, observed])
        for effect in effects:
            match effect:
                case t.StartRequest(batch):
                    self._start(self.session.batch_number(batch), batch)
                case t.CancelRequest(batch):
                    self._cancelled |= {self.session.request_number(request) for request in batch.attempts}
                case t.AbandonAttempt(_, request, _, True):
                    self._cancelled.add(self.session.request_number(request))
                case t.WatchMembership():
                    answer = endpoint_update(FAILED) if self.chance(0.7) else endpoint_update(FULL, *ROWS)
                    self.schedule(self.now + 0.02, lambda answer=answer: self.put(answer))  # type: ignore[misc]

    def _start(self, number: int, batch: t.BatchRequest) -> None:
        if self.chance(self.scenario.rejected_starts):
            for request in batch.attempts:
                unsent = t.AttemptFinished(
                    request.part, request.attempt, api.AttemptOutcome.NEVER_SENT, self.now, None, "~taken"
                )
                self.schedule(self.now, lambda unsent=unsent: self.put(unsent))  # type: ignore[misc]
            return
        delay = SENDER_WAIT if self.chance(self.scenario.sender_waits) else SENDER_DELAY
        self.schedule(self.now + delay, lambda: self._send(number, batch))

    def _operate(self, *form: Any) -> Any:
        operation, *arguments = form
        encoded = [operation.value, *arguments]
        self._operations.append(encoded)
        self._results.append(result := self.session.operate(encoded))
        return result

    def _send(self, number: int, batch: t.BatchRequest) -> None:
        """Claim and send the attempts of a batch, as a sender does."""
        if self.chance(self.scenario.partial_sends):
            first = self.session.request_number(batch.attempts[0])
            sent = [first] if self._operate(Operation.CLAIM, first) else []
        else:
            sent, overdue = self._operate(Operation.CLAIM_SENDABLE, number, self.now)
            for request in overdue:
                self._end(request, api.AttemptOutcome.NEVER_SENT, self.now, "~late")
        if not sent:
            return
        self._operate(Operation.SECONDS_LEFT, number, sent, self.now)
        reply_seconds = self._latency(batch.replica)
        for request in sent:
            self._reply(request, batch, reply_seconds)

    def _latency(self, replica_id: int) -> float:
        scenario = self.scenario
        seconds = (
            scenario.latency * self.random.uniform(0.5, 1.5) * scenario.slow_replicas.get(replica_id, 1.0)
        )
        return seconds + (scenario.slow_seconds if self.chance(scenario.slow_share) else 0.0)

    def _reply(self, request: int, batch: t.BatchRequest, seconds: float) -> None:
        scenario = self.scenario
        outcome = scenario.broken_replicas.get(batch.replica, api.AttemptOutcome.OK)
        for failure, share in scenario.failures.items():
            if self.chance(share):
                outcome = failure
        if batch.replica in scenario.unresponsive_replicas:
            return
        when = self.now + seconds
        detail = "" if outcome is api.AttemptOutcome.OK else f"~{self.random.randrange(3)}"
        finished_at = round(when - 60.0 if self.chance(scenario.early_end_times) else when, 4)
        self.schedule(when, lambda: self._end(request, outcome, finished_at, detail))

    def _end(self, number: int, outcome: api.AttemptOutcome, ended_at: float, detail: str) -> None:
        if number in self._cancelled and not self.chance(self.scenario.late_replies):
            return
        request = self.session.attempt_requests[number]
        result = request.content if outcome is api.AttemptOutcome.OK else None
        self.put(t.AttemptFinished(request.part, request.attempt, outcome, ended_at, result, detail))
