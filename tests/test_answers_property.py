"""Driver and decision module with random settings: for any inputs in any order all answers are correct.

The state machine keeps its own model of each query, from the inputs that it gave to the driver, and checks
each answer and each second step against it. It guards against a fault in which a second step was begun
without any parts.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from hosts import BASE, query_class, replica
from hypothesis import settings as profile
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from gingervane import interface as api
from gingervane.coordinator import types as t
from gingervane.coordinator.driver import Driver
from gingervane.decisions.engine import DecisionEngine
from gingervane.decisions.query_completion import TIMER_MARGIN

# Seconds that pass between two turns. With a clock that did not advance, hedge timers would be due again and
# again when latencies are zero.
TURN_SECONDS = 0.001
OBJECTIVE = 0.5  # seconds, the latency objective
DEADLINE = 2.0  # seconds
WEIGHT_TOLERANCE = 1e-4  # rounding error of a sum of weights
COVERAGES = (  # required coverage and complete coverage
    (1.0, 1.0),
    (0.75, 0.75),
    (0.5, 1.0),
    (0.5, 0.75),
    (1.0, 0.75),
    (0.7, 0.9),
)
ROWS = tuple(replica(number, zone=number % 2) for number in range(4))
ADDRESSES = {row.id: ("127.0.0.1", row.id + 1) for row in ROWS}
FAILURES = [o for o in api.AttemptOutcome if o not in (api.AttemptOutcome.OK, api.AttemptOutcome.CANCELLED)]


class Content(NamedTuple):
    """Content of a part, which identifies the part."""

    query: int
    step: int
    shard: int


class UnusedCodec:
    """A codec whose `encode` is never called."""

    def encode(self, contents: list[Any], seconds_left: list[float], address: tuple[str, int]) -> bytes:
        raise NotImplementedError

    def result_size(self, result: Any) -> int:
        return 1


class QueryModel:
    """Model of one query: what the client requested, and which parts the replicas answered."""

    def __init__(self, kind: api.QueryClass, weights: dict[int, float], deadline: float) -> None:
        self.kind, self.weights, self.deadline = kind, weights, deadline
        self.answered: set[tuple[int, int]] = set()  # (step, shard) of parts answered
        self.second_step_shards: tuple[int, ...] | None = None
        self.first_step_complete = True
        self.results: list[t.QueryResult] = []

    def first_step_weight(self, shards: set[int]) -> float:
        return sum(self.weights[shard] for shard in shards)


CODEC = UnusedCodec()


class AnswersMachine(RuleBasedStateMachine):
    """Draws settings once, then inputs in any order."""

    @initialize(
        shares=st.tuples(st.sampled_from(COVERAGES), st.sampled_from(COVERAGES)),
        second=st.tuples(st.integers(0, 3), st.integers(0, 3)),
        late_answer_value=st.sampled_from([0.0, 0.3, 1.0]),
        semantics=st.sampled_from(list(api.RetrySafety)),
        parts_per_request=st.sampled_from([1, 3, 8]),
        hedging=st.booleans(),
        cancellation=st.booleans(),
    )
    def begin(
        self,
        shares: Any,
        second: Any,
        late_answer_value: float,
        semantics: api.RetrySafety,
        parts_per_request: int,
        hedging: bool,
        cancellation: bool,
    ) -> None:
        window = 1.0 if semantics is api.RetrySafety.IDEMPOTENCY_KEY else None
        drawn = zip(shares, second, (api.RetrySafety.IDEMPOTENT, semantics), strict=True)
        self.classes = tuple(
            query_class(
                OBJECTIVE, DEADLINE, safety, window, count, required, complete, late_answer_value, 0.9
            )
            for (required, complete), count, safety in drawn
        )
        config = BASE._replace(
            query_classes=self.classes,
            coordinator_count=1,
            max_parts_per_request=parts_per_request,
            hedging_allowed=hedging,
            cancellation_allowed=cancellation,
        )
        self.driver, self.now = Driver(DecisionEngine(config, 5), config), 100.0
        self.models: dict[int, QueryModel] = {}
        self.in_flight: list[t.AttemptRequest] = []  # claimed and not ended
        self.pending: list[t.Input] = []
        self.update_endpoints({})

    # ---- inputs

    @rule(
        kind=st.integers(0, 1),
        weights=st.lists(st.sampled_from([1.0, 1.0, 3.0]), min_size=1, max_size=6),
        time=st.sampled_from([0.1, 0.6, 2.0]),
        deferred=st.booleans(),
    )
    def arrive(self, kind: int, weights: list[float], time: float, deferred: bool) -> None:
        number, total = len(self.models) + 1, sum(weights)
        shares = {shard: round(weight / total, 6) for shard, weight in enumerate(weights)}
        model = self.models[number] = QueryModel(self.classes[kind], shares, self.now + time)
        parts = tuple(t.PartPlan(s, w, Content(number, 1, s)) for s, w in shares.items())
        has_second = self.classes[kind].second_step_parts > 0
        plan = t.QueryPlan(
            kind,
            model.deadline,
            parts,
            CODEC,
            second_step=self._second_step(number) if has_second else None,
        )
        self.pending.append(t.QuerySubmitted(number, plan, model.results.append))
        if not deferred:
            self.turn()

    @rule(
        picks=st.lists(st.integers(0, 1 << 16), min_size=1, max_size=8),
        outcome=st.sampled_from([api.AttemptOutcome.OK] * 8 + FAILURES),
        deferred=st.booleans(),
    )
    def end_attempts(self, picks: list[int], outcome: api.AttemptOutcome, deferred: bool) -> None:
        for pick in picks:
            if not self.in_flight:
                break
            attempt = self.in_flight.pop(pick % len(self.in_flight))
            content: Content = attempt.content
            answer = content if outcome is api.AttemptOutcome.OK else None
            if answer:
                self.models[content.query].answered.add((content.step, content.shard))
            self.pending.append(t.AttemptFinished(attempt.part, attempt.attempt, outcome, self.now, answer))
        if not deferred:
            self.turn()

    @rule(seconds=st.sampled_from([0.001, 0.02, 0.1, OBJECTIVE - 0.01, 1.0]))
    def wait(self, seconds: float) -> None:
        """Fire due timers, each in its own batch."""
        until = self.now + seconds
        while (due := self.driver.next_due()) <= until:
            self.now = max(self.now + TURN_SECONDS, due)
            self.turn()
        self.now = max(self.now, until)

    @rule(seconds=st.sampled_from([0.005, 0.1, OBJECTIVE, 1.0]))
    def pause(self, seconds: float) -> None:
        """Pause the process; all pending inputs and due timers then form one batch."""
        self.now += seconds
        self.turn()

    @precondition(lambda self: any(model.deadline > self.now for model in self.models.values()))
    @rule(pick=st.integers(0, 1 << 16), picks=st.lists(st.integers(0, 1 << 16), max_size=6))
    def reply_at_a_deadline(self, pick: int, picks: list[int]) -> None:
        """Deliver replies in the batch in which the timer that ends a query is due."""
        models = [model for model in self.models.values() if model.deadline > self.now]
        due = models[pick % len(models)].deadline - TIMER_MARGIN * BASE.timer_granularity
        self.wait(due - self.now - BASE.timer_granularity)
        self.now = max(self.now, due)
        self.end_attempts(picks, api.AttemptOutcome.OK, deferred=True)
        self.turn()

    @precondition(lambda self: self.models)
    @rule(pick=st.integers(0, 1 << 16), deferred=st.booleans())
    def disconnect(self, pick: int, deferred: bool) -> None:
        self.pending.append(t.ClientDisconnected(1 + pick % len(self.models)))
        if not deferred:
            self.turn()

    @rule(states=st.dictionaries(st.integers(0, 3), st.sampled_from(list(api.ReplicaState)), max_size=3))
    def update_endpoints(self, states: dict[int, api.ReplicaState]) -> None:
        rows = tuple(row._replace(state=states.get(row.id, row.state)) for row in ROWS)
        self.pending.append(
            t.EndpointsUpdated(api.MembershipChanged(api.MembershipUpdateKind.FULL, rows), dict(ADDRESSES))
        )
        self.turn()

    @rule()
    def shut_down(self) -> None:
        self.pending.append(t.Shutdown())
        self.turn()

    # ---- checks

    def turn(self) -> None:
        inputs, self.pending = self.pending, []
        completed = {number for number, model in self.models.items() if model.results}
        for effect in self.driver.step(self.now, inputs):
            match effect:
                case t.StartRequest(batch):
                    for attempt in batch.attempts:
                        assert attempt.content.query not in completed, "sent for a completed query"
                        if attempt.claim():
                            self.in_flight.append(attempt)
                case t.CompleteQuery(on_result, result, _):
                    on_result(result)

    def _second_step(self, number: int) -> Callable[[dict[int, Any], bool], tuple[t.PartPlan, ...]]:
        def begin(results: dict[int, Any], complete: bool) -> tuple[t.PartPlan, ...]:
            model = self.models[number]
            received_shards = {content.shard for content in results.values()}
            assert model.second_step_shards is None, "the second step began twice"
            assert received_shards <= {
                shard for step, shard in model.answered if step == 1
            }, "a result of a shard that has not answered"
            share = model.first_step_weight(received_shards)
            assert (
                received_shards
                and share
                >= min(model.kind.required_coverage, model.kind.complete_coverage) - WEIGHT_TOLERANCE
            )
            assert (
                not complete or share >= model.kind.complete_coverage - WEIGHT_TOLERANCE
            ), "an incomplete first step marked as complete"
            chosen = tuple(sorted(received_shards)[: model.kind.second_step_parts])
            model.second_step_shards, model.first_step_complete = chosen, complete
            return tuple(t.PartPlan(s, 1 / len(chosen), Content(number, 2, s)) for s in chosen)

        return begin

    @invariant()
    def answers_are_correct(self) -> None:
        for number, model in getattr(self, "models", {}).items():
            assert len(model.results) <= 1, "completed twice"
            for result in model.results:
                assert (
                    result.reason is not api.QueryEndReason.COVERAGE_CHECK_FAILED
                ), "the module made an answer that fails the coverage check"
                if result.status in (t.QueryStatus.COMPLETE, t.QueryStatus.PARTIAL):
                    self._check_answer(number, model, result)

    def _check_answer(self, number: int, model: QueryModel, result: t.QueryResult) -> None:
        kind, step = model.kind, 2 if model.kind.second_step_parts else 1
        received_shards = {content.shard for content in result.results.values()}
        assert all(content == Content(number, step, content.shard) for content in result.results.values())
        assert received_shards <= {
            shard for s, shard in model.answered if s == step
        }, "a result of a part that was not answered"
        is_marked_complete = result.status is t.QueryStatus.COMPLETE or result.marked_complete
        if step == 1:
            share = model.first_step_weight(received_shards)
            assert (
                received_shards
                and share >= min(kind.required_coverage, kind.complete_coverage) - WEIGHT_TOLERANCE
            ), "below the required coverage"
            assert (
                not is_marked_complete or share >= kind.complete_coverage - WEIGHT_TOLERANCE
            ), "an incomplete answer marked as complete"
            return
        assert model.second_step_shards, "answered without a second step"
        share = len(received_shards) / len(model.second_step_shards)
        required = kind.required_coverage if kind.required_coverage < kind.complete_coverage else 1.0
        assert share >= required - WEIGHT_TOLERANCE, "below the required coverage"
        assert not is_marked_complete or (
            model.first_step_complete and share == 1.0
        ), "an incomplete answer marked as complete"

    def teardown(self) -> None:
        """Fire all timers: every query has exactly one result."""
        if not hasattr(self, "models"):
            return
        self.turn()
        for _ in range(3000):
            due = self.driver.next_due()
            if due == float("inf"):
                break
            self.now = max(self.now + TURN_SECONDS, due)
            self.turn()
        assert all(len(model.results) == 1 for model in self.models.values())
        self.answers_are_correct()


TestAnswers = AnswersMachine.TestCase
TestAnswers.settings = profile(max_examples=600, stateful_step_count=30, deadline=None)
