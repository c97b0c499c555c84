"""The driver's guarantees for any inputs in any order: a state machine around the real decision module."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

from hosts import BASE, query_class, replica
from hypothesis import settings as profile
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from gingervane import interface as api
from gingervane.coordinator import types as t
from gingervane.coordinator.driver import Driver
from gingervane.coordinator.process_pause import ProcessPauseDetector
from gingervane.coordinator.retry_after import RetryAfterEstimate
from gingervane.decisions.engine import DecisionEngine

OUTCOMES = [o for o in api.AttemptOutcome if o is not api.AttemptOutcome.CANCELLED]
CLASSES = (
    query_class(aim=1.0, deadline=3.0),
    query_class(aim=1.0, deadline=3.0, least=0.5),
    query_class(aim=1.0, deadline=3.0, semantics=api.RetrySafety.NOT_IDEMPOTENT),
    query_class(aim=1.0, deadline=3.0, semantics=api.RetrySafety.IDEMPOTENCY_KEY, window=0.5),
)
SETTINGS = BASE._replace(
    query_classes=CLASSES, cell_count=4, cells_per_replica=3, max_parts_per_request=2, coordinator_count=1
)
ROWS = tuple(replica(i, cell=i, zone=i % 2) for i in range(4))


class UnusedCodec:
    """A codec whose `encode` and `decode` are never called."""

    def encode(self, contents: list[Any], seconds_left: list[float], address: tuple[str, int]) -> bytes:
        raise NotImplementedError

    def decode(
        self, contents: list[Any], status: int, header: Callable[[str], str], body: bytes
    ) -> list[Any]:
        raise NotImplementedError

    def result_size(self, result: Any) -> int:
        return 10


class CheckedModule:
    """The decision module; checks that each of its sends is followed by exactly one end of an attempt."""

    def __init__(self, module: DecisionEngine) -> None:
        self.module = module
        self.attempts_made = Counter[int]()  # attempts, by part
        self.in_flight = set[tuple[int, int]]()

    def handle(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        for event in events:
            if isinstance(event, api.AttemptEnded):
                assert (
                    event.part,
                    event.attempt,
                ) in self.in_flight, "an attempt ended that was not sent, or that had already ended"
                self.in_flight.remove((event.part, event.attempt))
        actions = self.module.handle(now, events)
        for action in actions:
            if isinstance(action, api.Send):
                self.in_flight.add((action.part, self.attempts_made[action.part]))
                self.attempts_made[action.part] += 1
        return actions


class DriverMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.module = CheckedModule(DecisionEngine(SETTINGS, 5))
        self.driver, self.now, self.next = Driver(self.module, SETTINGS), 100.0, 1
        self.batches: list[t.BatchRequest] = []
        self.query_results: dict[int, list[t.QueryResult]] = {}
        self.plans: dict[int, t.QueryPlan] = {}
        self.results: dict[str, tuple[int, int]] = {}
        self.pending: list[t.Input] = []
        self.update_endpoints({})

    def step(self, *inputs: t.Input) -> None:
        completed = {q for q, results in self.query_results.items() if results}
        for effect in self.driver.step(self.now, [*self.pending, *inputs]):
            match effect:
                case t.StartRequest(batch):
                    assert batch.open_attempts > 0
                    self.batches.append(batch)
                    for attempt in batch.attempts:
                        assert attempt.content[0] not in completed, "sent for a completed query"
                case t.CompleteQuery(on_result, result, _):
                    on_result(result)
        self.pending = []

    def update_endpoints(self, states: dict[int, api.ReplicaState]) -> None:
        rows = tuple(r._replace(state=states.get(r.id, r.state)) for r in ROWS)
        event = api.MembershipChanged(api.MembershipUpdateKind.FULL, rows)
        self.step(t.EndpointsUpdated(event, {r.id: ("127.0.0.1", r.id + 1) for r in rows}))

    def finish_batch(self, batch: t.BatchRequest, outcome: api.AttemptOutcome) -> list[t.Input]:
        inputs: list[t.Input] = []
        for attempt in batch.attempts:
            claimed = attempt.claim()
            has_result = outcome is api.AttemptOutcome.OK and (claimed or attempt.content[2])
            name = f"{attempt.part}/{attempt.attempt}"
            self.results[name] = attempt.content[0], attempt.content[1]
            inputs.append(
                t.AttemptFinished(
                    attempt.part, attempt.attempt, outcome, self.now, name if has_result else None
                )
            )
        return inputs

    @rule(
        kind=st.integers(0, 3),
        shards=st.sets(st.integers(0, 7), min_size=1, max_size=5),
        time=st.sampled_from([0.02, 0.3, 3.0]),
        deferred=st.booleans(),
    )
    def arrive(self, kind: int, shards: set[int], time: float, deferred: bool) -> None:
        number, self.next = self.next, self.next + 1
        weight = 1 / len(shards)
        parts = tuple(t.PartPlan(s, weight, (number, i, True)) for i, s in enumerate(sorted(shards)))
        plan = t.QueryPlan(kind, self.now + time, parts, CODEC)
        self.query_results[number], self.plans[number] = [], plan
        arrived = t.QuerySubmitted(number, plan, self.query_results[number].append)
        if deferred:
            self.pending.append(arrived)
        else:
            self.step(arrived)

    @precondition(lambda self: self.batches)
    @rule(
        pick=st.integers(0, 1 << 20),
        outcome=st.sampled_from([api.AttemptOutcome.OK] * 6 + OUTCOMES),
        deferred=st.booleans(),
        may_end_twice=st.booleans(),
    )
    def end(self, pick: int, outcome: api.AttemptOutcome, deferred: bool, may_end_twice: bool) -> None:
        """End a batch, which may be cancelled; it may end twice, or in one step with other batches."""
        index = pick % len(self.batches)
        batch = self.batches[index] if may_end_twice else self.batches.pop(index)
        self.pending += self.finish_batch(batch, outcome)
        if not deferred:
            self.step()

    @rule(seconds=st.sampled_from([0.001, 0.004, 0.05, 0.4, 2.0]))
    def wait(self, seconds: float) -> None:
        until = self.now + seconds
        while (due := self.driver.next_due()) <= until:
            self.now = max(self.now, due)
            self.step()
        self.now = until

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.0]))
    def pause(self, seconds: float) -> None:
        self.now += seconds
        self.step()

    @precondition(lambda self: self.query_results)
    @rule(pick=st.integers(0, 1 << 20), deferred=st.booleans())
    def disconnect(self, pick: int, deferred: bool) -> None:
        self.pending.append(t.ClientDisconnected(sorted(self.query_results)[pick % len(self.query_results)]))
        if not deferred:
            self.step()

    @rule(states=st.dictionaries(st.integers(0, 3), st.sampled_from(list(api.ReplicaState)), max_size=3))
    def change_replica_states(self, states: dict[int, api.ReplicaState]) -> None:
        self.update_endpoints(states)

    @rule()
    def shut_down(self) -> None:
        self.step(t.Shutdown())
        assert self.driver.open_queries == 0

    @invariant()
    def guarantees(self) -> None:
        for number, query_results in self.query_results.items():
            assert len(query_results) <= 1, "completed twice"
            plan = self.plans[number]
            for final in query_results:
                assert final.status is not t.QueryStatus.COMPLETE or len(final.results) == len(plan.parts)
                for index, name in final.results.items():
                    assert name is not None and self.results[name] == (number, index)
                is_partial = final.status is t.QueryStatus.PARTIAL
                assert not is_partial or final.coverage >= CLASSES[plan.query_class].required_coverage - 1e-9

    def teardown(self) -> None:
        """Fire all timers: nothing stays open, and the module was notified of the end of each attempt."""
        self.step()
        for _ in range(2000):
            due = self.driver.next_due()
            if due == float("inf"):
                break
            self.now = max(self.now, due)
            self.step()
        assert all(len(query_results) == 1 for query_results in self.query_results.values())
        assert (
            self.driver.open_queries == 0
            and self.driver.attempts_in_flight == 0
            and self.driver.open_result_bytes == 0
        )
        assert not self.module.in_flight


CODEC = UnusedCodec()
TestDriver = DriverMachine.TestCase
TestDriver.settings = profile(max_examples=120, stateful_step_count=40)


class DriverHarness:
    """A driver whose inputs and time a test sets by hand."""

    def __init__(self, kind: api.QueryClass, driver_settings: api.Settings | None = None) -> None:
        driver_settings = driver_settings or SETTINGS._replace(
            query_classes=(kind,), cell_count=1, cells_per_replica=1, max_parts_per_request=1
        )
        self.module, self.now = CheckedModule(DecisionEngine(driver_settings, 1)), 100.0
        self.driver = Driver(self.module, driver_settings)
        self.query_results: list[t.QueryResult] = []
        rows = tuple(replica(i) for i in range(3))
        event = api.MembershipChanged(api.MembershipUpdateKind.FULL, rows)
        self.step(t.EndpointsUpdated(event, {r.id: ("127.0.0.1", 1) for r in rows}))

    def step(self, *inputs: t.Input) -> list[t.BatchRequest]:
        started = []
        for effect in self.driver.step(self.now, inputs):
            if isinstance(effect, t.CompleteQuery):
                effect.on_result(effect.result)
            elif isinstance(effect, t.StartRequest):
                started.append(effect.request)
        return started

    def submit(self, seconds: float) -> list[t.BatchRequest]:
        plan = t.QueryPlan(0, self.now + seconds, (t.PartPlan(0, 1.0, "x"),), CODEC)
        return self.step(t.QuerySubmitted(1, plan, self.query_results.append))

    def run_until(self, at: float) -> list[t.BatchRequest]:
        started = []
        while (due := self.driver.next_due()) <= at:
            self.now = max(self.now, due)
            started += self.step()
        self.now = at
        return started


def succeed(batch: t.BatchRequest, now: float, result: str) -> t.AttemptFinished:
    batch.attempts[0].claim()
    return t.AttemptFinished(
        batch.attempts[0].part, batch.attempts[0].attempt, api.AttemptOutcome.OK, now, result
    )


def test_hedged_request_and_original_answer_in_one_batch() -> None:
    harness = DriverHarness(query_class(aim=1.0, deadline=3.0))
    first = harness.submit(3.0)
    hedged = harness.run_until(harness.now + 0.8)
    assert len(first) == len(hedged) == 1 and first[0].replica != hedged[0].replica
    harness.step(succeed(hedged[0], harness.now, "copy"), succeed(first[0], harness.now, "original"))
    harness.step()
    assert [f.status for f in harness.query_results] == [t.QueryStatus.COMPLETE]
    assert harness.query_results[0].results == {0: "copy"} and not harness.module.in_flight


def test_reply_in_the_batch_in_which_its_query_expires() -> None:
    harness = DriverHarness(query_class(aim=1.0, deadline=3.0))
    (batch,) = harness.submit(0.2)
    harness.now = 100.2  # the query's timer is due; the reply goes before it in the same batch
    harness.step(succeed(batch, harness.now, "late but here"))
    harness.step()
    assert [f.status for f in harness.query_results] == [
        t.QueryStatus.COMPLETE
    ] and not harness.module.in_flight
    harness.step(succeed(batch, harness.now, "again"))
    assert len(harness.query_results) == 1 and harness.driver.counts.late_endings == 1


def test_non_idempotent_query_is_rejected_only_if_its_attempt_was_not_sent() -> None:
    """At its deadline it is rejected if no sender has claimed its attempt, and fails otherwise."""
    for is_sent, status in ((False, t.QueryStatus.REJECTED), (True, t.QueryStatus.FAILED)):
        harness = DriverHarness(query_class(aim=1.0, deadline=3.0, semantics=api.RetrySafety.NOT_IDEMPOTENT))
        (batch,) = harness.submit(0.5)
        if is_sent:
            assert batch.attempts[0].claim()
        harness.run_until(harness.now + 1.0)
        assert [f.status for f in harness.query_results] == [status] and not batch.attempts[0].claim()


def test_shutdown_rejects_only_what_cannot_have_run() -> None:
    for retry_safety, status in (
        (api.RetrySafety.IDEMPOTENT, t.QueryStatus.REJECTED),
        (api.RetrySafety.NOT_IDEMPOTENT, t.QueryStatus.FAILED),
    ):
        harness = DriverHarness(query_class(aim=1.0, deadline=3.0, semantics=retry_safety))
        harness.submit(3.0)
        harness.step(t.Shutdown())
        assert [f.status for f in harness.query_results] == [status]


def test_retry_after_follows_how_fast_capacity_comes_free() -> None:
    estimate = RetryAfterEstimate(1.0)
    assert estimate.seconds_until_free(10.0, 5) == 1.0, "the release rate is unknown"
    for tick in range(100):
        estimate.record_release(10.0 + tick * 0.02, 2)  # 100 per second
    assert 0.08 <= estimate.seconds_until_free(12.0, 10) <= 0.12
    assert estimate.seconds_until_free(12.0, 1) == 0.02 and estimate.seconds_until_free(12.0, 10_000) == 1.0
    assert estimate.seconds_until_free(20.0, 10) == 1.0, "releases before the rate window do not count"


def test_overdue_retries_are_not_sent() -> None:
    def batch() -> t.BatchRequest:
        attempts = [
            t.AttemptRequest(n, attempt, "", api.RetrySafety.NOT_IDEMPOTENT)
            for n, attempt in ((1, 0), (2, 1))
        ]
        return t.BatchRequest(1, 1, ("h", 1), UnusedCodec(), attempts, 9.0, decided_at=5.0)

    batch_request = batch()
    sendable, overdue = batch_request.claim_sendable(5.04)
    assert (
        [e.part for e in sendable] == [1, 2]
        and not overdue
        and batch_request.claim_sendable(5.04) == ([], [])
    ), "claimed once"
    sendable, overdue = batch().claim_sendable(5.06)
    assert [e.part for e in sendable] == [1] and [e.part for e in overdue] == [2]
    batch_request = batch()
    batch_request.attempts[1].claim()  # the driver has ended this attempt
    assert [len(group) for group in batch_request.claim_sendable(5.06)] == [1, 0]


def test_arrival_time_of_requests_read_after_a_process_pause() -> None:
    detector = ProcessPauseDetector(100.0)
    for n in range(20):
        detector.tick(100.0 + n * 0.05)
    assert detector.arrival_time(101.0) == 101.0 and detector.count == 0
    assert detector.arrival_time(102.0) == 100.95, "the pause is detected before the ticker runs"
    detector.tick(102.0)
    assert detector.count == 1 and detector.arrival_time(102.05) == 100.95
    assert detector.arrival_time(102.05, since=101.5) == 101.5, "not before the end of the previous exchange"
    for n in range(5):
        detector.tick(102.0 + n * 0.05)
    assert detector.arrival_time(102.2) == 102.2 and detector.count == 1


def test_unsent_attempts_are_withheld_where_cancelling_is_not_allowed() -> None:
    """After its query has completed or its hedged request has succeeded, it is withheld if unclaimed."""
    driver_settings = SETTINGS._replace(
        query_classes=CLASSES[:1],
        cell_count=1,
        cells_per_replica=1,
        cancellation_allowed=False,
        max_parts_per_request=1,
    )
    for answered in (True, False):
        harness = DriverHarness(CLASSES[0], driver_settings)
        (first,) = harness.submit(3.0)
        (hedged,) = harness.run_until(harness.now + 0.8)
        assert first.attempts[0].attempt == 0 and hedged.attempts[0].attempt == 1
        harness.step(succeed(hedged, harness.now, "copy") if answered else t.ClientDisconnected(1))
        harness.step()
        assert not first.attempts[0].claim() and not harness.module.in_flight
        assert [f.status for f in harness.query_results] == [
            t.QueryStatus.COMPLETE if answered else t.QueryStatus.CLIENT_DISCONNECTED
        ]


def test_an_endpoint_list_goes_before_the_end_of_an_attempt_in_the_same_batch() -> None:
    """The failed attempt is retried, but not on a replica that the list reports as draining or gone.

    The driver has no address for a replica that is gone; sending to one raised in the decision thread.
    """
    for state, offset in itertools.product((api.ReplicaState.DRAINING, api.ReplicaState.GONE), (1, 2)):
        harness = DriverHarness(query_class(aim=1.0, deadline=3.0))
        (batch,) = harness.submit(3.0)
        ready_replica = (batch.replica + offset) % 3
        rows = tuple(
            replica(i, state=api.ReplicaState.READY if i == ready_replica else state) for i in range(3)
        )
        batch.attempts[0].claim()
        ended = t.AttemptFinished(
            batch.attempts[0].part, 0, api.AttemptOutcome.CONNECT_FAILED, harness.now, None, "refused"
        )
        again = harness.step(
            ended, t.EndpointsUpdated(api.MembershipChanged(api.MembershipUpdateKind.DELTA, rows), {})
        )
        assert [batch.replica for batch in again] == [ready_replica]
