"""Connects the transport to the decision engine. Free of I/O.

Each step takes inputs and the time, passes them to the decision engine as one batch of events, and turns its actions
into effects. For any inputs in any order the driver guarantees:

- each query is completed exactly once, and nothing is sent for it afterwards;
- each `Send` of the engine gets exactly one `AttemptEnded`: if an attempt ends several times (a reply, a
  cancellation, a timeout), the first end counts and the others are dropped;
- the result of a part is that of its first successful attempt, the one that the engine counts too;
- a query is answered only if its class permits an answer with the results received, and the answer is marked complete
  only if their coverage is sufficient (`decisions.completeness`).

Ownership: only the caller of `step` uses the driver (the decision thread of `core.QueryCoordinator`, a test, an
emulator); nothing here is shared between threads.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from math import inf
from typing import Any, Protocol

from gingervane import interface as api
from gingervane.coordinator import types as t
from gingervane.coordinator.attempt_tracking import AttemptObserver, AttemptTracker
from gingervane.coordinator.batch_assembly import BatchAssembler
from gingervane.coordinator.driver_counts import Counts, increment
from gingervane.coordinator.open_queries import OpenQueries, OpenQuery
from gingervane.coordinator.query_completion import (
    CLIENT_DISCONNECTED,
    Completion,
    completions_at_shutdown,
    coverage_violation,
    result_of,
    shutdown_completion,
)
from gingervane.coordinator.timers import WheelTimers
from gingervane.decisions.completeness import QueryState


class DecisionEngineProtocol(Protocol):
    """The interface of the decision engine that the driver uses."""

    def handle(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        """Handle a batch of events and return the actions to take."""


@dataclass(slots=True)
class _Turn:
    """State of the step in progress."""

    now: float
    effects: list[t.Effect] = field(default_factory=list)
    completions: dict[int, Completion] = field(default_factory=dict)  # not decided by the engine; by query id


def _ignore_attempt(outcome: api.AttemptOutcome, replica: int, seconds: float) -> None:
    """Do nothing: the default observer of attempts."""


class Driver:
    """Drives one decision engine."""

    def __init__(
        self,
        engine: DecisionEngineProtocol,
        settings: api.Settings,
        observe: AttemptObserver = _ignore_attempt,
    ) -> None:
        """`observe` is called with the outcome, the replica and the seconds of each attempt that ends."""
        self._engine = engine
        self._settings = settings
        self.counts = Counts()
        self._open = OpenQueries()
        self._addresses: dict[int, tuple[str, int]] = {}  # of replicas
        self._attempts = AttemptTracker(self._open, self.counts, settings.cancellation_allowed, observe)
        self._batches = BatchAssembler(settings.max_parts_per_request, self._addresses, self.counts)
        self._timers = WheelTimers(settings.timer_granularity)
        self._deferred_events: list[api.Event] = []  # caused by actions; part of the next batch
        self._shutting_down = False

    @property
    def open_queries(self) -> int:
        """The number of queries that are not yet completed."""
        return len(self._open.queries)

    @property
    def attempts_in_flight(self) -> int:
        """The number of attempts that have not ended."""
        return self._open.attempts_in_flight

    @property
    def open_result_bytes(self) -> int:
        """Bytes of the results of open queries."""
        return self._open.result_bytes

    def next_due(self) -> float:
        """Return the latest time of the next call of `step`; -infinity if deferred events are waiting."""
        return -inf if self._deferred_events else self._timers.next_due()

    def step(self, now: float, inputs: Sequence[t.Input]) -> list[t.Effect]:
        """Pass the inputs, in order, and the due timers to the engine as one batch; return the effects."""
        self.counts.batches += 1
        turn = _Turn(now)
        # Endpoint lists go first: the end of an attempt may make the engine retry a part, which must not go to a
        # replica that a list later in the same batch reports as draining or gone.
        events = self._take_endpoints(inputs, turn)
        events += self._take_deferred_events()
        events += self._take_inputs(inputs, turn)
        events += self._take_due_timers(turn)
        if events or self.counts.batches == 1:  # the engine may have actions at its start
            self._execute(self._engine.handle(now, events), turn)
        for query_id, completion in turn.completions.items():
            self._complete_query(now, query_id, completion, turn.effects)
        return _finish_effects(turn.effects)

    def abandon(self) -> list[t.ResultCallback]:
        """Return the callbacks of all open queries after the engine has failed; the driver is unusable afterwards."""
        return [query.submitted.on_result for query in self._open.remove_all()]

    # ---- from inputs to events

    def _take_endpoints(self, inputs: Sequence[t.Input], turn: _Turn) -> list[api.Event]:
        """Take endpoint lists, interruptions of their watch and changes of address, in order of arrival."""
        events: list[api.Event] = []
        for item in inputs:
            match item:
                case t.EndpointsUpdated():
                    self._addresses.update(item.addresses)
                    events.append(item.membership)
                    events += self._withdraw_replicas(item.membership, turn)
                case t.WatchInterrupted(seconds_without_data):
                    events.append(api.WatchInterrupted(seconds_without_data))
                case t.DiscoveryAddressChanged(seconds_without_data):
                    events.append(api.DiscoveryAddressChanged(seconds_without_data))
                case t.DiscoveryContactChanged(is_waiting):
                    events.append(api.DiscoveryContactChanged(is_waiting))
        return events

    def _withdraw_replicas(self, membership: api.MembershipChanged, turn: _Turn) -> list[api.Event]:
        """Send nothing more to replicas that are draining or gone, including attempts decided before."""
        unavailable = {r.id for r in membership.replicas if r.state is not api.ReplicaState.READY}
        gone = {r.id for r in membership.replicas if r.state is api.ReplicaState.GONE}
        if membership.kind is api.MembershipUpdateKind.FULL:  # replicas missing from a full list are gone too
            gone |= self._addresses.keys() - {r.id for r in membership.replicas}
        unavailable |= gone
        if not unavailable:
            return []
        for replica in gone:
            if address := self._addresses.pop(replica, None):
                turn.effects.append(t.CloseIdleConnections(address))
        return self._attempts.withhold_from_replicas(unavailable, turn.now, turn.effects)

    def _take_deferred_events(self) -> list[api.Event]:
        events, self._deferred_events = self._deferred_events, []
        return events

    def _take_inputs(self, inputs: Sequence[t.Input], turn: _Turn) -> list[api.Event]:
        events: list[api.Event] = []
        for item in inputs:
            match item:
                case t.QuerySubmitted():
                    events += self._submit(item, turn)
                case t.AttemptFinished():
                    events += self._attempts.record_end(item, turn.effects)
                case t.ClientDisconnected(query_id):
                    if query_id in self._open.queries:
                        turn.completions.setdefault(query_id, CLIENT_DISCONNECTED)
                        events.append(api.QueryAbandoned(query_id))
                case t.PeerMessageReceived(sender, payload):
                    events.append(api.PeerMessageReceived(sender, payload))
                case t.Shutdown():
                    self._shutting_down = True
                    turn.completions = completions_at_shutdown(self._open, self._settings) | turn.completions
                    events += [api.QueryAbandoned(query_id) for query_id in turn.completions]
        return events

    def _submit(self, submitted: t.QuerySubmitted, turn: _Turn) -> list[api.Event]:
        self.counts.queries += 1
        query = self._open.add(submitted)
        if self._shutting_down:
            turn.completions[query.id] = shutdown_completion(t.QueryStatus.REJECTED)
            return []
        plan = submitted.plan
        arrived = api.QueryArrived(
            query.id,
            query.id,
            plan.query_class,
            0,
            len(plan.parts),
            plan.deadline,
            plan.is_client_retry,
            plan.predicted_cost,
        )
        return [arrived, *self._begin_step(query, plan.parts, 0)]

    def _begin_step(
        self, query: OpenQuery, parts: tuple[t.PartPlan, ...], first_index: int
    ) -> list[api.Event]:
        self.counts.parts += len(parts)
        return self._open.begin_step(query, parts, first_index)

    def _take_due_timers(self, turn: _Turn) -> list[api.Event]:
        """Take due timers: an int labels a timer of the engine, a pair (part, attempt) the timeout of an attempt."""
        events: list[api.Event] = []
        for label in self._timers.pop_due(turn.now):
            if isinstance(label, int):
                events.append(api.TimerFired(label))
            else:
                events += self._time_out(label, turn)
        return events

    def _time_out(self, label: Any, turn: _Turn) -> list[api.Event]:
        part_id, number = label
        return self._attempts.end_locally(
            turn.now, part_id, number, api.AttemptOutcome.TIMED_OUT, "no reply in time", turn.effects
        )

    # ---- from actions to effects

    def _execute(self, actions: list[api.Action], turn: _Turn) -> None:
        self._batches.begin_turn()
        effects = turn.effects
        for action in actions:
            match action:
                case api.Send(part_id, replica, expires_at):
                    self._send(part_id, replica, expires_at, turn)
                case api.Cancel(part_id, number):
                    self._deferred_events += self._attempts.end_locally(
                        turn.now, part_id, number, api.AttemptOutcome.CANCELLED, "", effects
                    )
                case api.SetTimer(delay, label):
                    self._timers.add(turn.now + delay, label)
                case api.Answer(query_id, complete, reason):
                    self._answer(query_id, complete, reason, turn)
                case api.Reject(query_id, retry_after, reason):
                    completion = Completion(t.QueryStatus.REJECTED, reason, retry_after)
                    self._complete_query(turn.now, query_id, completion, effects)
                case api.Fail(query_id, reason):
                    completion = Completion(t.QueryStatus.FAILED, reason)
                    self._complete_query(turn.now, query_id, completion, effects)
                case _:
                    effects += self._other_effects(action)

    def _other_effects(self, action: api.Action) -> list[t.Effect]:
        """Return the effects of an action that concerns no query."""
        match action:
            case api.CloseIdle(replica) if replica in self._addresses:
                return [t.CloseIdleConnections(self._addresses[replica])]
            case api.LogMessage(text):
                return [t.LogMessage(text)]
            case api.ReplicaEjected() | api.ReplicaReinstated():
                return [t.ReplicaHealthChanged(action)]
            case api.WatchMembership():
                return [t.WatchMembership()]
            case api.AcceptQueries(cached_list_age):
                return [t.AcceptQueries(cached_list_age)]
            case api.SendToPeers(payload):
                return [t.SendToPeers(payload)]
        return []

    def _send(self, part_id: int, replica: int, expires_at: float, turn: _Turn) -> None:
        part = self._open.parts[part_id]
        attempt = part.begin_attempt(turn.now, replica)
        if not part.may_execute(attempt):
            self.counts.withheld += 1
            self._deferred_events += self._attempts.end_unsent(
                turn.now, part_id, attempt.number, "no attempt granted", turn.effects
            )
            return
        self.counts.attempts += 1
        self.counts.further += attempt.number > 0
        plan = part.query.submitted.plan
        retry_safety = self._settings.query_classes[plan.query_class].retry_safety
        content = part.content_of(attempt)
        request = t.AttemptRequest(part_id, attempt.number, content, retry_safety, expires_at)
        attempt.batch = self._batches.add(turn.now, replica, plan.codec, request, turn.effects)
        attempt.request = request
        self._timers.add(expires_at, (part_id, attempt.number))

    def _answer(self, query_id: int, complete: bool, reason: api.QueryEndReason, turn: _Turn) -> None:
        query = self._open.queries.get(query_id)
        if query is None:
            return
        coverage = query.coverage
        query_class = self._settings.query_classes[query.submitted.plan.query_class]
        if violation := coverage_violation(query, query_class, coverage, complete):
            # A fault of the decision engine must not produce a wrongly marked answer.
            received = f"{coverage.parts_received} of {coverage.parts_requested} parts are in"
            completion = Completion(
                t.QueryStatus.FAILED,
                api.QueryEndReason.COVERAGE_CHECK_FAILED,
                detail=f"internal: {violation}: {received}",
            )
            self._complete_query(turn.now, query_id, completion, turn.effects)
        elif query.submitted.plan.second_step is None or query.in_second_step:
            # An answer that its class accepts as complete still reports missing parts.
            status = t.QueryStatus.COMPLETE if complete and coverage.complete else t.QueryStatus.PARTIAL
            self._complete_query(
                turn.now, query_id, Completion(status, reason, complete=complete), turn.effects
            )
        else:
            self._begin_second_step(query, query.submitted.plan.second_step, complete, turn)

    def _begin_second_step(
        self, query: OpenQuery, second_step: t.SecondStep, complete: bool, turn: _Turn
    ) -> None:
        first_results = query.results
        query.state = QueryState.SECOND_STEP
        query.first_step_complete = complete
        query.results = {}
        for part_id in query.part_ids:
            self._deferred_events += self._attempts.withhold_unsent(part_id, turn.now, turn.effects)
        first_index = len(query.submitted.plan.parts)
        self._deferred_events += self._begin_step(query, second_step(first_results, complete), first_index)

    def _complete_query(
        self, now: float, query_id: int, completion: Completion, effects: list[t.Effect]
    ) -> None:
        """Complete an open query with its result, and withhold its unsent attempts."""
        query = self._open.remove(query_id)
        if query is None:
            return
        result = result_of(query, completion)
        increment(self.counts.reasons, completion.reason.value)
        increment(self.counts.verdicts, completion.status.value)
        effects.append(t.CompleteQuery(query.submitted.on_result, result, query_id))
        parts = self._open.parts_of(query)  # ending an attempt may forget its part
        for part_id in query.part_ids:
            self._deferred_events += self._attempts.withhold_unsent(part_id, now, effects)
            self._open.forget_part(part_id)
        result.may_have_run = any(part.may_have_run for part in parts)


def _finish_effects(effects: list[t.Effect]) -> list[t.Effect]:
    """Drop requests that were cancelled in the turn that created them, and put the results of queries last.

    The attempts of a query are thereby cancelled before its result is passed on.
    """
    remaining = [e for e in effects if not isinstance(e, t.StartRequest) or e.request.open_attempts]
    for effect in remaining:
        if isinstance(effect, t.CompleteQuery):
            # Another thread reads the result, while attempts that end later are appended to the query's own list.
            effect.result.attempts = list(effect.result.attempts)
    return sorted(remaining, key=_is_completion)


def _is_completion(effect: t.Effect) -> bool:
    return isinstance(effect, t.CompleteQuery)
