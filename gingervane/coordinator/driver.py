"""Between the sockets and the decision module: books of queries, parts, attempts and calls. Free of I/O.

The driver is handed inputs and the time, feeds the module one batch, and turns its actions into effects. It keeps
four promises whatever comes, in whatever order:

- each query is settled exactly once, and nothing is sent for it afterwards;
- each `Send` of the module gets exactly one `AttemptEnded`; of several endings (an answer, a cancel, a time-out)
  the first one taken counts and the others are dropped;
- a part's result is that of the first good ending, the same one that the module counts;
- an answer goes out only if the results in hand are as many as its class asks for, and is marked whole only if they
  are as many as that takes (`shares`).

Owner: whoever calls `step` (the decision thread of `core.Core`, a test, an emulator); nothing here is shared.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from math import inf
from typing import Any, Protocol

from gingervane import interface as api
from gingervane.coordinator import types as t
from gingervane.coordinator.timers import WheelTimers
from gingervane.decisions.completeness import Coverage, QueryState, is_complete, may_answer


@dataclass
class _Attempt:
    number: int
    replica: int
    sent_at: float
    run: int
    call: t.BatchRequest | None = None
    errand: t.AttemptRequest | None = None


@dataclass
class _Part:
    query: _Query
    index: int  # in the plan
    plan: t.PartPlan
    made: int = 0
    ran: int = 0  # attempts that have ended and may have run
    out: dict[int, _Attempt] = field(default_factory=dict)


@dataclass
class _Query:
    id: int
    arrived: t.QuerySubmitted
    asked: dict[int, t.PartPlan] = field(default_factory=dict)  # the present step's parts, by index
    parts: list[int] = field(default_factory=list)  # ids, of both steps
    results: dict[int, Any] = field(default_factory=dict)
    path: list[t.AttemptRecord] = field(default_factory=list)
    why: str = ""
    held_bytes: int = 0  # of results
    second: bool = False  # in its second step
    first_whole: bool = True  # the first step was answered as whole

    @property
    def step(self) -> QueryState:
        return QueryState.SECOND_STEP if self.second else QueryState.FIRST_STEP

    @property
    def coverage(self) -> Coverage:
        """Of the present step, from the results in hand."""
        weight_in = sum(self.asked[index].weight for index in self.results)
        weight_asked = sum(part.weight for part in self.asked.values())
        return Coverage(len(self.asked), len(self.results), weight_asked, weight_in)


@dataclass
class Counts:
    """Running totals, for metrics and tests."""

    queries: int = 0
    parts: int = 0
    attempts: int = 0
    further: int = 0
    calls: int = 0
    late_endings: int = 0
    withheld: int = 0  # attempts held back as not granted
    batches: int = 0
    verdicts: dict[str, int] = field(default_factory=dict)
    outcomes: dict[str, int] = field(default_factory=dict)
    reasons: dict[str, int] = field(default_factory=dict)  # `api.EndReason` of settled queries

    def totals(self) -> dict[str, int]:
        """The plain totals, by name."""
        return {name: value for name, value in vars(self).items() if isinstance(value, int)}


class Module(Protocol):
    """What the driver needs of the decision module."""

    def handle(self, now: float, events: Sequence[api.Event]) -> list[api.Action]: ...


class Driver:
    """Drives one decision module; ids of queries are the caller's, ids of parts its own."""

    def __init__(self, module: Module, settings: api.Settings) -> None:
        self._module, self._settings = module, settings
        self._queries: dict[int, _Query] = {}
        self._parts: dict[int, _Part] = {}
        self._addresses: dict[int, tuple[str, int]] = {}
        self._timers = WheelTimers(settings.timer_granularity)
        self._again: list[api.Event] = []  # endings of its own making, for the next batch
        self._next_part, self._next_call = 1, 1
        self._closed = False
        self.held_bytes = 0  # of results of open queries
        self.counts = Counts()
        self.observe: Callable[[api.AttemptOutcome, int, float], None] = (
            lambda outcome, replica, seconds: None
        )

    @property
    def open_queries(self) -> int:
        return len(self._queries)

    @property
    def attempts_out(self) -> int:
        return sum(len(part.out) for part in self._parts.values())

    def next_due(self) -> float:
        """When `step` must be called next, at the latest; now (-infinity) if it has news for itself."""
        return -inf if self._again else self._timers.next_due()

    def step(self, now: float, inputs: Sequence[t.Input]) -> list[t.Effect]:
        """Take inputs in order, as one batch of the module, and say what to do."""
        self.counts.batches += 1
        effects: list[t.Effect] = []
        # Lists first: guards against a part that goes to a replica of which the same batch says that it drains or is
        # gone, because an ending before the list had the module send it again.
        events: list[api.Event] = []
        for item in inputs:
            if isinstance(item, t.EndpointsUpdated):
                self._addresses.update(item.addresses)
                events.append(item.membership)
                events += self._hold_back(item.membership, now, effects)
        again, self._again = self._again, []
        events += again
        closing: dict[int, tuple[t.QueryStatus, str]] = {}  # those that the module settles without a word
        for item in inputs:
            match item:
                case t.QuerySubmitted():
                    events += self._arrive(item, closing)
                case t.AttemptFinished():
                    events += self._end(item, effects)
                case t.ClientDisconnected(query):
                    if query in self._queries and closing.setdefault(
                        query, (t.QueryStatus.CLIENT_DISCONNECTED, "")
                    ):
                        events.append(api.QueryAbandoned(query))
                case t.PeerMessageReceived(sender, payload):
                    events.append(api.PeerMessageReceived(sender, payload))
                case t.Shutdown():
                    self._closed = True
                    closing = self._shut() | closing
                    events += [api.QueryAbandoned(query) for query in closing]
        for label in self._timers.pop_due(now):
            if isinstance(label, int):
                events.append(api.TimerFired(label))
            else:
                events += self._timed_out(label, now, effects)
        if events:
            self._carry_out(now, self._module.handle(now, events), effects)
        for query, (verdict, why) in closing.items():
            reason = (
                api.QueryEndReason.CLIENT_DISCONNECTED
                if verdict is t.QueryStatus.CLIENT_DISCONNECTED
                else api.QueryEndReason.SHUTDOWN
            )
            self._settle(now, query, verdict, reason, effects, why=why)
        # What was called off in the batch that made it never leaves.
        effects = [e for e in effects if not isinstance(e, t.StartRequest) or e.request.open_attempts]
        for effect in effects:
            if isinstance(effect, t.CompleteQuery):
                effect.result.attempts = list(
                    effect.result.attempts
                )  # complete now; its reader is another thread
        # Nothing of a query is on its way any more when its answer is given.
        return sorted(effects, key=lambda e: isinstance(e, t.CompleteQuery))

    def abandon(self) -> list[t.ResultCallback]:
        """Where all that is still open must be answered, after the module broke; the driver is of no further use."""
        held, self._queries = list(self._queries.values()), {}
        return [query.arrived.on_result for query in held]

    # ---- inputs

    def _arrive(
        self, arrived: t.QuerySubmitted, closing: dict[int, tuple[t.QueryStatus, str]]
    ) -> list[api.Event]:
        plan, query = arrived.plan, _Query(arrived.id, arrived)
        self.counts.queries += 1
        self._queries[arrived.id] = query
        if self._closed:
            closing[arrived.id] = t.QueryStatus.REJECTED, "shutting down"
            return []
        events: list[api.Event] = [
            api.QueryArrived(
                arrived.id,
                arrived.id,
                plan.query_class,
                0,
                len(plan.parts),
                plan.deadline,
                plan.is_client_retry,
                plan.predicted_cost,
            )
        ]
        return events + self._ask(query, plan.parts, 0)

    def _ask(self, query: _Query, parts: tuple[t.PartPlan, ...], base: int) -> list[api.Event]:
        """Enter the parts of a step, whose indexes start at `base`."""
        events: list[api.Event] = []
        query.asked = dict(enumerate(parts, base))
        for index, part in query.asked.items():
            number, self._next_part = self._next_part, self._next_part + 1
            self._parts[number] = _Part(query, index, part)
            query.parts.append(number)
            self.counts.parts += 1
            events.append(api.PartArrived(number, query.id, part.shard, part.weight))
        return events

    def _hold_back(
        self,
        event: api.MembershipChanged,
        now: float,
        effects: list[t.Effect],
    ) -> list[api.Event]:
        """What was decided before a replica was known to drain and has not begun to leave does not leave later."""
        closed = {r.id for r in event.replicas if r.state is not api.ReplicaState.READY}
        gone = {r.id for r in event.replicas if r.state is api.ReplicaState.GONE}
        if event.kind is api.MembershipUpdateKind.FULL:  # what a whole list does not name is gone too
            gone |= self._addresses.keys() - {r.id for r in event.replicas}
        closed |= gone
        if not closed:
            return []
        for replica in gone:
            if address := self._addresses.pop(replica, None):
                effects.append(t.CloseIdleConnections(address))
        out = [(n, a) for n, part in self._parts.items() for a in part.out.values() if a.replica in closed]
        events: list[api.Event] = []
        for number, attempt in out:
            if attempt.errand and attempt.errand.claim():
                never = t.AttemptFinished(
                    number, attempt.number, api.AttemptOutcome.NEVER_SENT, now, None, "its replica drains"
                )
                events += self._end(never, effects)
        return events

    def _end(self, ended: t.AttemptFinished, effects: list[t.Effect]) -> list[api.Event]:
        """The first ending of an attempt; later ones are nobody's any more."""
        part = self._parts.get(ended.part)
        attempt = part.out.pop(ended.attempt, None) if part else None
        if part is None or attempt is None:
            self.counts.late_endings += 1
            return []
        query, seconds = part.query, max(ended.finished_at - attempt.sent_at, 0.0)
        outcome = ended.outcome
        part.ran += not outcome.never_ran
        if outcome is api.AttemptOutcome.OK:
            if query.id in self._queries and part.index in query.asked and part.index not in query.results:
                query.results[part.index] = ended.result
                query.held_bytes += query.arrived.plan.codec.result_size(ended.result)
                self.held_bytes += query.arrived.plan.codec.result_size(ended.result)
        elif ended.detail:
            query.why = ended.detail
        query.path.append(
            t.AttemptRecord(
                part.plan.shard,
                attempt.number,
                attempt.replica,
                outcome.value,
                seconds,
                attempt.run,
                outcome.never_ran,
            )
        )
        self.counts.outcomes[outcome.value] = self.counts.outcomes.get(outcome.value, 0) + 1
        self.observe(outcome, attempt.replica, seconds)
        self._let_go(attempt, effects)
        self._forget(ended.part)
        told: list[api.Event] = [
            api.AttemptEnded(ended.part, attempt.number, attempt.replica, outcome, seconds)
        ]
        return (
            told + self._keep_back(ended.part, ended.finished_at, effects)
            if outcome is api.AttemptOutcome.OK
            else told
        )

    def _keep_back(self, number: int, now: float, effects: list[t.Effect]) -> list[api.Event]:
        """A part is wanted no more: what of it has not begun to leave never does, whether or not the platform lets
        attempts be cancelled, and a frame that has left in part is not finished.

        Guards against a part that waits for its connection and leaves when its query has long been answered.
        """
        events: list[api.Event] = []
        part = self._parts.get(number)
        for attempt in list(part.out.values()) if part else ():
            if attempt.errand and attempt.errand.claim():
                never = t.AttemptFinished(
                    number, attempt.number, api.AttemptOutcome.NEVER_SENT, now, None, "not wanted any more"
                )
                events += self._end(never, effects)
            elif attempt.errand and attempt.call and not self._settings.cancellation_allowed:
                effects.append(
                    t.AbandonAttempt(attempt.call, attempt.errand, notify_replica=False, expired=False)
                )
        return events

    def _timed_out(self, label: Any, now: float, effects: list[t.Effect]) -> list[api.Event]:
        """An attempt's `stop_at` has come: it ends here, whatever its connection is doing."""
        part, attempt = label
        return self._end_here(now, part, attempt, api.AttemptOutcome.TIMED_OUT, "no reply in time", effects)

    def _end_here(
        self,
        now: float,
        part: int,
        number: int,
        outcome: api.AttemptOutcome,
        why: str,
        effects: list[t.Effect],
    ) -> list[api.Event]:
        """End an attempt that is still out from this side. What no sender had claimed was never sent."""
        attempt = self._parts[part].out.get(number) if part in self._parts else None
        if attempt is None:
            return []
        if attempt.errand and attempt.errand.claim():
            outcome = api.AttemptOutcome.NEVER_SENT
        elif attempt.errand and attempt.call:
            # Also at its time-out: guards against a word to its replica where the platform forbids it.
            effects.append(
                t.AbandonAttempt(
                    attempt.call, attempt.errand, self._settings.cancellation_allowed, expired=True
                )
            )
        return self._end(t.AttemptFinished(part, number, outcome, now, None, why), effects)

    def _shut(self) -> dict[int, tuple[t.QueryStatus, str]]:
        """How to end all that is held. No event says this to the module, and none need: it follows from proof."""
        out = {}
        for query in self._queries.values():
            kind = self._settings.query_classes[query.arrived.plan.query_class]
            ran = any(self._parts[p].ran or self._parts[p].out for p in query.parts)
            harmless = kind.retry_safety is api.RetrySafety.IDEMPOTENT or not ran
            out[query.id] = t.QueryStatus.REJECTED if harmless else t.QueryStatus.FAILED, "shutting down"
        return out

    # ---- actions

    def _carry_out(self, now: float, actions: list[api.Action], effects: list[t.Effect]) -> None:
        calls: dict[tuple[int, int], t.BatchRequest] = {}
        for action in actions:
            match action:
                case api.Send(part, replica, stop_at):
                    self._send(now, part, replica, stop_at, calls, effects)
                case api.Cancel(part, attempt):
                    self._again += self._end_here(
                        now, part, attempt, api.AttemptOutcome.CANCELLED, "", effects
                    )
                case api.SetTimer(delay, label):
                    self._timers.add(now + delay, label)
                case api.Answer(query, whole, reason):
                    self._answer(now, query, whole, reason, effects)
                case api.Reject(query, wait, reason):
                    self._settle(now, query, t.QueryStatus.REJECTED, reason, effects, wait)
                case api.Fail(query, reason):
                    self._settle(now, query, t.QueryStatus.FAILED, reason, effects)
                case api.CloseIdle(replica):
                    if replica in self._addresses:
                        effects.append(t.CloseIdleConnections(self._addresses[replica]))
                case api.LogMessage(text):
                    effects.append(t.LogMessage(text))
                case api.ReplicaEjected() | api.ReplicaReinstated():
                    effects.append(t.ReplicaHealthChanged(action))
                case api.WatchMembership():
                    effects.append(t.WatchMembership())
                case api.SendToPeers(payload):
                    effects.append(t.SendToPeers(payload))

    def _send(
        self,
        now: float,
        number: int,
        replica: int,
        stop_at: float,
        calls: dict[tuple[int, int], t.BatchRequest],
        effects: list[t.Effect],
    ) -> None:
        part = self._parts[number]
        run = part.ran + len(part.out)
        attempt = _Attempt(part.made, replica, now, run)
        part.made += 1
        part.out[attempt.number] = attempt
        if part.plan.max_executions is not None and run >= part.plan.max_executions:
            # Past what was granted from above: it ends here, never sent.
            self.counts.withheld += 1
            ended = t.AttemptFinished(
                number, attempt.number, api.AttemptOutcome.NEVER_SENT, now, None, "no attempt granted"
            )
            self._again += self._end(ended, effects)
            return
        self.counts.attempts += 1
        self.counts.further += attempt.number > 0
        plan = part.query.arrived.plan
        key = replica, id(plan.codec)
        call = calls.get(key)
        if call is None or len(call.attempts) >= self._settings.max_parts_per_request:
            address = self._addresses[replica]
            call = t.BatchRequest(self._next_call, replica, address, plan.codec, [], stop_at, decided_at=now)
            self._next_call += 1
            self.counts.calls += 1
            calls[key] = call
            effects.append(t.StartRequest(call))
        semantics = self._settings.query_classes[plan.query_class].retry_safety
        content = (
            part.plan.content_by_execution[run]
            if run < len(part.plan.content_by_execution)
            else part.plan.content
        )
        attempt.errand = t.AttemptRequest(number, attempt.number, content, semantics, stop_at)
        call.attempts.append(attempt.errand)
        call.expires_at = max(call.expires_at, stop_at)
        call.open_attempts += 1
        attempt.call = call
        self._timers.add(stop_at, (number, attempt.number))

    def _answer(
        self,
        now: float,
        number: int,
        whole: bool,
        reason: api.QueryEndReason,
        effects: list[t.Effect],
    ) -> None:
        query = self._queries.get(number)
        if query is None:
            return
        coverage = query.coverage
        if wrong := self._not_covered(query, coverage, whole):
            # It cannot happen; were it to, no one gets a false answer.
            why = f"internal: {wrong}: {coverage.parts_received} of {coverage.parts_requested} parts are in"
            self._settle(
                now, number, t.QueryStatus.FAILED, api.QueryEndReason.COVERAGE_CHECK_FAILED, effects, why=why
            )
            return
        # One that is as good as whole for its class says all the same what is missing.
        verdict = t.QueryStatus.COMPLETE if whole and coverage.complete else t.QueryStatus.PARTIAL
        self._answer_step(now, query, verdict, whole, reason, effects)

    def _not_covered(self, query: _Query, coverage: Coverage, whole: bool) -> str:
        """What is wrong with an answer from the results in hand; empty if nothing is. The module is not believed."""
        kind = self._settings.query_classes[query.arrived.plan.query_class]
        if not may_answer(kind, query.step, coverage):
            return "an answer under its least share"
        if whole and not (query.first_whole and is_complete(kind, query.step, coverage)):
            return "an answer marked whole that is not"
        return ""

    def _answer_step(
        self,
        now: float,
        query: _Query,
        verdict: t.QueryStatus,
        whole: bool,
        reason: api.QueryEndReason,
        effects: list[t.Effect],
    ) -> None:
        """The end of the query, or of its first step where the class has a second one."""
        plan, first = query.arrived.plan, query.results
        if plan.second_step is None or query.second:
            self._settle(now, query.id, verdict, reason, effects, whole=whole)
            return
        query.second, query.first_whole, query.results = True, whole, {}
        for part in query.parts:
            self._again += self._keep_back(part, now, effects)
        self._again += self._ask(query, plan.second_step(first, whole), len(plan.parts))

    def _settle(
        self,
        now: float,
        number: int,
        verdict: t.QueryStatus,
        reason: api.QueryEndReason,
        effects: list[t.Effect],
        wait: float = 0.0,
        why: str = "",
        whole: bool = False,
    ) -> None:
        query = self._queries.pop(number, None)
        if query is None:
            return
        coverage = query.coverage
        answered = verdict in (t.QueryStatus.COMPLETE, t.QueryStatus.PARTIAL)
        results = query.results if answered else {}
        self.held_bytes -= query.held_bytes
        size = query.held_bytes if answered else 0
        if not query.path and verdict is t.QueryStatus.REJECTED and not why:
            why = "nothing was sent: too much is waiting, or a part has no replica that may be asked"
        final = t.QueryResult(
            verdict,
            results,
            wait,
            why or query.why,
            query.path,
            min(coverage.weight_received, 1.0),
            size,
            whole,
            reason,
            2 if query.second else 1,
            coverage.parts_requested,
            coverage.parts_received,
        )
        self.counts.reasons[reason.value] = self.counts.reasons.get(reason.value, 0) + 1
        self.counts.verdicts[verdict.value] = self.counts.verdicts.get(verdict.value, 0) + 1
        effects.append(t.CompleteQuery(query.arrived.on_result, final, number))
        for part in query.parts:
            self._again += self._keep_back(part, now, effects)
            self._forget(part)

    def _let_go(self, attempt: _Attempt, effects: list[t.Effect]) -> None:
        """One attempt fewer waits for its call; the connection of one that nobody waits for is shut."""
        if (call := attempt.call) is not None:
            call.open_attempts -= 1
            if call.open_attempts == 0:
                effects.append(t.CancelRequest(call))

    def _forget(self, number: int) -> None:
        """Drop a part that is out nowhere and whose query is over."""
        part = self._parts.get(number)
        if part and not part.out and part.query.id not in self._queries:
            del self._parts[number]
