"""Idempotency records: which writes may be sent again, across crashes and repeats."""

from __future__ import annotations

from typing import Any

from hypothesis import settings as profile
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from gingervane.writes.idempotency import (
    IdempotencyLimits,
    IdempotencyRecord,
    IdempotencyRecords,
    KeyAction,
    KeyDecision,
    WriteState,
)

LIMITS = IdempotencyLimits(window=10.0, safety_margin=0.5, retention=40.0, max_records=6)


class IdempotencyMachine(RuleBasedStateMachine):
    """Records, log and crashes of one coordinator, and a replica that drops repeats within the window."""

    def __init__(self) -> None:
        super().__init__()
        self.now, self.version = 100.0, 0
        self.records = IdempotencyRecords(LIMITS)
        self.logged: dict[str, IdempotencyRecord] = {}  # records on the disk
        self.in_progress: dict[str, tuple[KeyDecision, str]] = {}
        self.first_received_at: dict[str, float] = {}  # time at which the replica first received a key
        self.effects: dict[tuple[str, int], int] = {}
        self.refused: set[str] = set()

    @rule(key=st.sampled_from("abcdefgh"), digest=st.sampled_from("xxxy"))
    def request(self, key: str, digest: str) -> None:
        self.version += 1
        existing = self.records.get(key)
        decision = self.records.begin(key, digest, self.version, self.now)
        if decision.action is KeyAction.SEND:
            record = self.records.get(key)
            assert record is not None and key not in self.in_progress and decision.send_deadline > self.now
            self.logged[key] = record
            self.in_progress[key] = decision, digest
        elif decision.action is KeyAction.KEY_REUSED:
            assert existing is not None and existing.digest != digest
        elif decision.action is KeyAction.REPLAY_RESULT:
            assert existing is not None and existing.state is WriteState.COMPLETED
        elif decision.action is KeyAction.WAIT:
            assert key in self.in_progress
        elif decision.action is KeyAction.OVER_CAPACITY:
            assert len(self.records) == LIMITS.max_records

    def receive(self, key: str, version: int) -> None:
        """The replica executes a write, or drops it as a repeat."""
        received_at = self.first_received_at.get(key)
        if received_at is None or self.now - received_at >= LIMITS.window:
            self.first_received_at[key] = self.now
            self.effects[key, version] = self.effects.get((key, version), 0) + 1

    @precondition(lambda self: bool(self.in_progress))
    @rule(
        data=st.data(),
        reaches_replica=st.booleans(),
        outcome=st.sampled_from(list(WriteState)),
        at_deadline=st.booleans(),
    )
    def execute(self, data: Any, reaches_replica: bool, outcome: WriteState, at_deadline: bool) -> None:
        """A write in progress reaches its replica or not, and completes or stays in progress."""
        key = data.draw(st.sampled_from(sorted(self.in_progress)))
        decision, _ = self.in_progress[key]
        if at_deadline:
            self.now = max(self.now, decision.send_deadline - 0.01)
        if reaches_replica and self.now < decision.send_deadline:
            self.receive(key, decision.version)
        if (
            outcome is WriteState.IN_PROGRESS
            or (outcome is WriteState.NOT_EXECUTED and reaches_replica)
            or (outcome is WriteState.COMPLETED and not reaches_replica)
        ):
            return
        # NOT_EXECUTED is of this attempt: an earlier one may have been executed.
        self.records.finish(key, outcome, self.now, {"version": decision.version})
        record = self.records.get(key)
        assert record is not None
        if data.draw(st.booleans()):  # otherwise the record of the outcome is lost in the next crash
            self.logged[key] = record
        del self.in_progress[key]

    @precondition(lambda self: bool(self.records) and not self.in_progress)
    @rule(data=st.data(), reached=st.booleans(), seconds=st.sampled_from([0.1, 4.0]))
    def repeat_is_refused(self, data: Any, reached: bool, seconds: float) -> None:
        """A write of unknown outcome is asked again, is refused, and is asked once more after the window."""
        key = data.draw(st.sampled_from("abcdefgh"))
        for outcome, reaches in ((WriteState.UNKNOWN, reached), (WriteState.NOT_EXECUTED, False)):
            self.request(key, "x")
            if key not in self.in_progress:
                return
            decision, _ = self.in_progress.pop(key)
            if reaches and self.now < decision.send_deadline:
                self.receive(key, decision.version)
            self.records.finish(key, outcome, self.now)
            record = self.records.get(key)
            assert record is not None
            self.logged[key] = record
            self.now += seconds
        self.now += LIMITS.window
        self.request(key, "x")
        if key in self.in_progress:
            self.receive(key, self.in_progress[key][0].version)

    @rule(down_seconds=st.sampled_from([0.0, 3.0, 9.6, 60.0]))
    def crash(self, down_seconds: float) -> None:
        self.now += down_seconds
        self.records = IdempotencyRecords(LIMITS)
        for key, record in sorted(self.logged.items(), key=lambda item: item[1].updated_at):
            self.records.restore(key, record)
        self.in_progress.clear()

    @rule(seconds=st.sampled_from([0.1, 4.0, 9.6, 45.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def no_effect_twice(self) -> None:
        assert all(count == 1 for count in self.effects.values()), self.effects


TestIdempotencyRecords = IdempotencyMachine.TestCase
TestIdempotencyRecords.settings = profile(max_examples=120, stateful_step_count=30, deadline=None)


def test_decisions_by_state() -> None:
    records = IdempotencyRecords(LIMITS)
    first = records.begin("k", "x", 7, 100.0)
    assert first == KeyDecision(KeyAction.SEND, 7, 109.5)
    assert records.begin("k", "x", 8, 101.0).action is KeyAction.WAIT
    assert records.begin("k", "y", 8, 101.0).action is KeyAction.KEY_REUSED
    records.finish("k", WriteState.UNKNOWN, 102.0)
    assert records.begin("k", "x", 9, 105.0) == KeyDecision(
        KeyAction.SEND, 7, 109.5
    ), "same version, same send deadline"
    records.finish("k", WriteState.UNKNOWN, 106.0)
    assert records.begin("k", "x", 9, 109.6).action is KeyAction.WINDOW_EXPIRED
    records.begin("i", "x", 1, 100.0)
    records.finish("i", WriteState.NOT_EXECUTED, 101.0)
    assert records.begin("i", "x", 2, 130.0) == KeyDecision(
        KeyAction.SEND, 2, 139.5
    ), "not executed: a new window with a new version"
    records.finish("i", WriteState.COMPLETED, 131.0, {"a": 1})
    assert records.begin("i", "x", 3, 150.0) == KeyDecision(KeyAction.REPLAY_RESULT, 2, result={"a": 1})
    assert records.begin("k", "x", 30, 190.0).action is KeyAction.SEND, "the record has expired"


# Guards against a refused repeat that makes a key that may have run one that never ran (review/9).
def test_a_key_that_may_have_run_stays_so_when_a_repeat_is_refused() -> None:
    records = IdempotencyRecords(LIMITS)
    records.begin("k", "x", 1, 100.0)
    assert records.finish("k", WriteState.UNKNOWN, 101.0) is WriteState.UNKNOWN
    assert records.begin("k", "x", 2, 105.0).action is KeyAction.SEND
    assert records.finish("k", WriteState.NOT_EXECUTED, 106.0) is WriteState.UNKNOWN
    assert records.begin("k", "x", 3, 112.0).action is KeyAction.WINDOW_EXPIRED


# Guards against a refused write that is asked again and kept by nobody, as writes since are newer (review/8).
def test_a_write_that_was_refused_is_newer_than_those_acknowledged_since_when_it_is_asked_again() -> None:
    records = IdempotencyRecords(LIMITS)
    records.begin("first", "x", 1, 100.0)
    records.finish("first", WriteState.NOT_EXECUTED, 100.1)
    acknowledged = records.begin("second", "y", 2, 101.0)
    records.finish("second", WriteState.COMPLETED, 101.1, {})
    assert records.begin("first", "x", 3, 102.0).version > acknowledged.version
