"""The driver's four promises, whatever comes in whatever order: a state machine around the real module."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

from hypothesis import settings as profile
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from gingervane import interface as api
from gingervane.coordinator import types as t
from gingervane.coordinator.retry_after import RetryAfterEstimate
from gingervane.coordinator.process_pause import ProcessPauseDetector
from gingervane.coordinator.driver import Driver
from gingervane.decisions.engine import DecisionEngine
from hosts import BASE, query_class, replica

ENDINGS = [o for o in api.AttemptOutcome if o is not api.AttemptOutcome.CANCELLED]
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


class Plain:
    """An exchange that is never asked to do anything."""

    def encode(self, contents: list[Any], seconds_left: list[float], address: tuple[str, int]) -> bytes:
        raise NotImplementedError

    def decode(
        self, contents: list[Any], status: int, header: Callable[[str], str], body: bytes
    ) -> list[Any]:
        raise NotImplementedError

    def result_size(self, result: Any) -> int:
        return 10


class Spy:
    """The module, with its sends and the endings that it is told of held against each other."""

    def __init__(self, module: DecisionEngine) -> None:
        self.module, self.made, self.out = module, Counter[int](), set[tuple[int, int]]()

    def handle(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        for event in events:
            if isinstance(event, api.AttemptEnded):
                assert (event.part, event.attempt) in self.out, "an ending without a send, or a second one"
                self.out.remove((event.part, event.attempt))
        actions = self.module.handle(now, events)
        for action in actions:
            if isinstance(action, api.Send):
                self.out.add((action.part, self.made[action.part]))
                self.made[action.part] += 1
        return actions


class Machine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.spy = Spy(DecisionEngine(SETTINGS, 5))
        self.driver, self.now, self.next = Driver(self.spy, SETTINGS), 100.0, 1
        self.calls: list[t.BatchRequest] = []
        self.finals: dict[int, list[t.QueryResult]] = {}
        self.plans: dict[int, t.QueryPlan] = {}
        self.results: dict[str, tuple[int, int]] = {}
        self.pending: list[t.Input] = []
        self.listed({})

    def step(self, *inputs: t.Input) -> None:
        settled = {q for q, found in self.finals.items() if found}
        for effect in self.driver.step(self.now, [*self.pending, *inputs]):
            match effect:
                case t.StartRequest(call):
                    assert call.open_attempts > 0
                    self.calls.append(call)
                    for errand in call.attempts:
                        assert errand.content[0] not in settled, "sent for a query that was over"
                case t.CompleteQuery(settle, final, _):
                    settle(final)
        self.pending = []

    def listed(self, states: dict[int, api.ReplicaState]) -> None:
        rows = tuple(r._replace(state=states.get(r.id, r.state)) for r in ROWS)
        event = api.MembershipChanged(api.MembershipUpdateKind.FULL, rows)
        self.step(t.EndpointsUpdated(event, {r.id: ("127.0.0.1", r.id + 1) for r in rows}))

    def ended(self, call: t.BatchRequest, outcome: api.AttemptOutcome) -> list[t.Input]:
        out: list[t.Input] = []
        for errand in call.attempts:
            claimed = errand.claim()
            good = outcome is api.AttemptOutcome.OK and (claimed or errand.content[2])
            name = f"{errand.part}/{errand.attempt}"
            self.results[name] = errand.content[0], errand.content[1]
            out.append(
                t.AttemptFinished(errand.part, errand.attempt, outcome, self.now, name if good else None)
            )
        return out

    @rule(
        kind=st.integers(0, 3),
        shards=st.sets(st.integers(0, 7), min_size=1, max_size=5),
        time=st.sampled_from([0.02, 0.3, 3.0]),
        hold=st.booleans(),
    )
    def arrive(self, kind: int, shards: set[int], time: float, hold: bool) -> None:
        number, self.next = self.next, self.next + 1
        weight = 1 / len(shards)
        parts = tuple(t.PartPlan(s, weight, (number, i, True)) for i, s in enumerate(sorted(shards)))
        plan = t.QueryPlan(kind, self.now + time, parts, EXCHANGE)
        self.finals[number], self.plans[number] = [], plan
        arrived = t.QuerySubmitted(number, plan, self.finals[number].append)
        if hold:
            self.pending.append(arrived)
        else:
            self.step(arrived)

    @precondition(lambda self: self.calls)
    @rule(
        pick=st.integers(0, 1 << 20),
        outcome=st.sampled_from([api.AttemptOutcome.OK] * 6 + ENDINGS),
        hold=st.booleans(),
        again=st.booleans(),
    )
    def end(self, pick: int, outcome: api.AttemptOutcome, hold: bool, again: bool) -> None:
        """A call ends, also one that was called off, at times twice, at times in one batch with others."""
        index = pick % len(self.calls)
        call = self.calls[index] if again else self.calls.pop(index)
        self.pending += self.ended(call, outcome)
        if not hold:
            self.step()

    @rule(seconds=st.sampled_from([0.001, 0.004, 0.05, 0.4, 2.0]))
    def wait(self, seconds: float) -> None:
        until = self.now + seconds
        while (due := self.driver.next_due()) <= until:
            self.now = max(self.now, due)
            self.step()
        self.now = until

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.0]))
    def stand_still(self, seconds: float) -> None:
        self.now += seconds
        self.step()

    @precondition(lambda self: self.finals)
    @rule(pick=st.integers(0, 1 << 20), hold=st.booleans())
    def leave(self, pick: int, hold: bool) -> None:
        self.pending.append(t.ClientDisconnected(sorted(self.finals)[pick % len(self.finals)]))
        if not hold:
            self.step()

    @rule(states=st.dictionaries(st.integers(0, 3), st.sampled_from(list(api.ReplicaState)), max_size=3))
    def change(self, states: dict[int, api.ReplicaState]) -> None:
        self.listed(states)

    @rule()
    def shut(self) -> None:
        self.step(t.Shutdown())
        assert self.driver.open_queries == 0

    @invariant()
    def promises(self) -> None:
        for number, finals in self.finals.items():
            assert len(finals) <= 1, "settled twice"
            plan = self.plans[number]
            for final in finals:
                assert final.status is not t.QueryStatus.COMPLETE or len(final.results) == len(plan.parts)
                for index, name in final.results.items():
                    assert name is not None and self.results[name] == (number, index)
                short = final.status is t.QueryStatus.PARTIAL
                assert not short or final.coverage >= CLASSES[plan.query_class].required_coverage - 1e-9

    def teardown(self) -> None:
        """All timers run out: nothing stays open, and the module has heard the end of each send."""
        self.step()
        for _ in range(2000):
            due = self.driver.next_due()
            if due == float("inf"):
                break
            self.now = max(self.now, due)
            self.step()
        assert all(len(finals) == 1 for finals in self.finals.values())
        assert self.driver.open_queries == 0 and self.driver.attempts_out == 0 and self.driver.held_bytes == 0
        assert not self.spy.out


EXCHANGE = Plain()
TestDriver = Machine.TestCase
TestDriver.settings = profile(max_examples=120, stateful_step_count=40)


class Bench:
    """One driver and hand-fed inputs."""

    def __init__(self, kind: api.QueryClass, chosen: api.Settings | None = None) -> None:
        chosen = chosen or SETTINGS._replace(
            query_classes=(kind,), cell_count=1, cells_per_replica=1, max_parts_per_request=1
        )
        self.spy, self.now = Spy(DecisionEngine(chosen, 1)), 100.0
        self.driver = Driver(self.spy, chosen)
        self.finals: list[t.QueryResult] = []
        rows = tuple(replica(i) for i in range(3))
        event = api.MembershipChanged(api.MembershipUpdateKind.FULL, rows)
        self.step(t.EndpointsUpdated(event, {r.id: ("127.0.0.1", 1) for r in rows}))

    def step(self, *inputs: t.Input) -> list[t.BatchRequest]:
        out = []
        for effect in self.driver.step(self.now, inputs):
            if isinstance(effect, t.CompleteQuery):
                effect.on_result(effect.result)
            elif isinstance(effect, t.StartRequest):
                out.append(effect.request)
        return out

    def ask(self, seconds: float) -> list[t.BatchRequest]:
        plan = t.QueryPlan(0, self.now + seconds, (t.PartPlan(0, 1.0, "x"),), EXCHANGE)
        return self.step(t.QuerySubmitted(1, plan, self.finals.append))

    def run_to(self, at: float) -> list[t.BatchRequest]:
        out = []
        while (due := self.driver.next_due()) <= at:
            self.now = max(self.now, due)
            out += self.step()
        self.now = at
        return out


def good(call: t.BatchRequest, now: float, result: str) -> t.AttemptFinished:
    call.attempts[0].claim()
    return t.AttemptFinished(
        call.attempts[0].part, call.attempts[0].attempt, api.AttemptOutcome.OK, now, result
    )


def test_copy_and_original_answer_in_one_batch() -> None:
    bench = Bench(query_class(aim=1.0, deadline=3.0))
    first = bench.ask(3.0)
    copy = bench.run_to(bench.now + 0.6)
    assert len(first) == len(copy) == 1 and first[0].replica != copy[0].replica
    bench.step(good(copy[0], bench.now, "copy"), good(first[0], bench.now, "original"))
    bench.step()
    assert [f.status for f in bench.finals] == [t.QueryStatus.COMPLETE]
    assert bench.finals[0].results == {0: "copy"} and not bench.spy.out


def test_reply_in_the_batch_in_which_its_query_expires() -> None:
    bench = Bench(query_class(aim=1.0, deadline=3.0))
    (call,) = bench.ask(0.2)
    bench.now = 100.2  # its timer is due; the answer is in the same batch and comes first
    bench.step(good(call, bench.now, "late but here"))
    bench.step()
    assert [f.status for f in bench.finals] == [t.QueryStatus.COMPLETE] and not bench.spy.out
    bench.step(good(call, bench.now, "again"))
    assert len(bench.finals) == 1 and bench.driver.counts.late_endings == 1


def test_an_attempt_that_never_left_is_proof() -> None:
    """An unsafe query whose attempt no sender had claimed may be refused; one whose attempt left may not."""
    for leaves, verdict in ((False, t.QueryStatus.REJECTED), (True, t.QueryStatus.FAILED)):
        bench = Bench(query_class(aim=1.0, deadline=3.0, semantics=api.RetrySafety.NOT_IDEMPOTENT))
        (call,) = bench.ask(0.5)
        if leaves:
            assert call.attempts[0].claim()
        bench.run_to(bench.now + 1.0)
        assert [f.status for f in bench.finals] == [verdict] and not call.attempts[0].claim()


def test_shutdown_refuses_only_what_cannot_have_run() -> None:
    for semantics, verdict in (
        (api.RetrySafety.IDEMPOTENT, t.QueryStatus.REJECTED),
        (api.RetrySafety.NOT_IDEMPOTENT, t.QueryStatus.FAILED),
    ):
        bench = Bench(query_class(aim=1.0, deadline=3.0, semantics=semantics))
        bench.ask(3.0)
        bench.step(t.Shutdown())
        assert [f.status for f in bench.finals] == [verdict]


def test_advice_follows_how_fast_room_comes() -> None:
    advice = RetryAfterEstimate(1.0)
    assert advice.seconds_until_free(10.0, 5) == 1.0, "nothing is known"
    for tick in range(100):
        advice.freed(10.0 + tick * 0.02, 2)  # a hundred a second
    assert 0.08 <= advice.seconds_until_free(12.0, 10) <= 0.12
    assert advice.seconds_until_free(12.0, 1) == 0.02 and advice.seconds_until_free(12.0, 10_000) == 1.0
    assert advice.seconds_until_free(20.0, 10) == 1.0, "old rates are forgotten"


def test_what_waited_too_long_for_a_sender() -> None:
    def call() -> t.BatchRequest:
        errands = [
            t.AttemptRequest(n, attempt, "", api.RetrySafety.NOT_IDEMPOTENT)
            for n, attempt in ((1, 0), (2, 1))
        ]
        return t.BatchRequest(1, 1, ("h", 1), Plain(), errands, 9.0, decided_at=5.0)

    made = call()
    go, stale = made.claim_sendable(5.04)
    assert (
        [e.part for e in go] == [1, 2] and not stale and made.claim_sendable(5.04) == ([], [])
    ), "claimed once"
    go, stale = call().claim_sendable(5.06)
    assert [e.part for e in go] == [1] and [e.part for e in stale] == [2]
    made = call()
    made.attempts[1].claim()  # ended by the driver meanwhile
    assert [len(found) for found in made.claim_sendable(5.06)] == [1, 0]


def test_requests_read_after_a_standstill() -> None:
    still = ProcessPauseDetector(100.0)
    for n in range(20):
        still.tick(100.0 + n * 0.05)
    assert still.arrival_time(101.0) == 101.0 and still.count == 0
    assert still.arrival_time(102.0) == 100.95, "woken before the ticker"
    still.tick(102.0)
    assert still.count == 1 and still.arrival_time(102.05) == 100.95
    assert still.arrival_time(102.05, since=101.5) == 101.5, "not before the exchange that went before it"
    for n in range(5):
        still.tick(102.0 + n * 0.05)
    assert still.arrival_time(102.2) == 102.2 and still.count == 1


def test_what_no_cancel_may_stop_is_kept_back_while_it_has_not_begun() -> None:
    """Its query is over, or its twin has answered: what no sender has claimed needs no leave to stop."""
    chosen = SETTINGS._replace(
        query_classes=CLASSES[:1],
        cell_count=1,
        cells_per_replica=1,
        cancellation_allowed=False,
        max_parts_per_request=1,
    )
    for answered in (True, False):
        bench = Bench(CLASSES[0], chosen)
        (first,) = bench.ask(3.0)
        (copy,) = bench.run_to(bench.now + 0.6)
        assert first.attempts[0].attempt == 0 and copy.attempts[0].attempt == 1
        bench.step(good(copy, bench.now, "copy") if answered else t.ClientDisconnected(1))
        bench.step()
        assert not first.attempts[0].claim() and not bench.spy.out
        assert [f.status for f in bench.finals] == [
            t.QueryStatus.COMPLETE if answered else t.QueryStatus.CLIENT_DISCONNECTED
        ]


def test_a_list_goes_before_an_ending_in_the_same_batch() -> None:
    """The ending has the part sent again: neither to a replica that the next list says drains, nor to one
    that it says is gone, whose address the driver no longer has (which broke the decision thread)."""
    for state, which in itertools.product((api.ReplicaState.DRAINING, api.ReplicaState.GONE), (1, 2)):
        bench = Bench(query_class(aim=1.0, deadline=3.0))
        (call,) = bench.ask(3.0)
        keeps = (call.replica + which) % 3
        rows = tuple(replica(i, state=api.ReplicaState.READY if i == keeps else state) for i in range(3))
        call.attempts[0].claim()
        ended = t.AttemptFinished(
            call.attempts[0].part, 0, api.AttemptOutcome.CONNECT_FAILED, bench.now, None, "refused"
        )
        again = bench.step(
            ended, t.EndpointsUpdated(api.MembershipChanged(api.MembershipUpdateKind.DELTA, rows), {})
        )
        assert [c.replica for c in again] == [keeps]
