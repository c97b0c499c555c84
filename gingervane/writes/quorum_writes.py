"""Quorum writes, with and without an idempotency key.

`write_replication` sends a write to its replicas. This module decides across all attempts of an idempotency
key whether a write may be sent (`idempotency`), and makes its record durable before the first byte is sent.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from typing import Any

from gingervane.coordinator.boot_clock import seconds as boot_seconds
from gingervane.writes.idempotency import (
    IdempotencyRecord,
    IdempotencyRecords,
    KeyAction,
    KeyDecision,
    WriteState,
)
from gingervane.writes.missed_writes import ShardKey
from gingervane.writes.version_clock import VersionClock
from gingervane.writes.write_ahead_log import WriteAheadLog
from gingervane.writes.write_replication import ReplicatedWrite, WriteOutcome, WriteReplicator

_NOT_STARTED_RETRY_AFTER = 1.0  # seconds


class QuorumWrites:
    """Executes writes on the threads of fronts.

    `_lock` guards the idempotency records, the completion events of keys in progress, and the counts.
    """

    def __init__(
        self,
        replicator: WriteReplicator,
        records: IdempotencyRecords,
        log: WriteAheadLog | None,
        clock: VersionClock,
        log_message: Callable[[str], None],
        now: Callable[[], float] = boot_seconds,
    ) -> None:
        """`now` is the clock of the idempotency records, in seconds."""
        self._replicator = replicator
        self._records = records
        self._log = log
        self._clock = clock
        self._log_message = log_message
        self._now = now
        self._lock = threading.Lock()
        self._in_progress: dict[str, threading.Event] = {}
        self._action_counts = {
            KeyAction.REPLAY_RESULT: 0,
            KeyAction.WINDOW_EXPIRED: 0,
            KeyAction.KEY_REUSED: 0,
        }

    @property
    def counts(self) -> dict[str, int]:
        """Counts by metric name."""
        return {
            "writes": self._replicator.write_count,
            "repeats": self._action_counts[KeyAction.REPLAY_RESULT],
            "late_successes": self._replicator.late_success_count,
            "too_late": self._action_counts[KeyAction.WINDOW_EXPIRED],
            "mismatches": self._action_counts[KeyAction.KEY_REUSED],
        }

    def acknowledged_version(self, shard: ShardKey) -> int:
        """Return the newest version of a shard that this coordinator has acknowledged to a client, or 0."""
        return self._replicator.acknowledged_version(shard)

    def write_without_key(self, write: ReplicatedWrite) -> WriteOutcome:
        """Execute a write without a key. It is retried only on proof that it was not executed."""
        return self._replicator.replicate(write, "", self._clock.next(), write.deadline)

    def write_with_key(self, key: str, digest: str, write: ReplicatedWrite) -> WriteOutcome:
        """Execute a write whose repeats replicas recognize by its key. `digest` is that of its content."""
        while True:
            with self._lock:
                decision = self._records.begin(key, digest, self._clock.next(), self._now())
                in_progress = self._in_progress.get(key)
                record = self._records.get(key)
                if decision.action is KeyAction.SEND:
                    self._in_progress[key] = threading.Event()
            if decision.action is not KeyAction.WAIT:
                break
            remaining_seconds = max(write.deadline - time.monotonic(), 0.0)
            if in_progress is None or not in_progress.wait(remaining_seconds):
                detail = "the same key is still being worked on"
                return WriteOutcome(KeyAction.WAIT, WriteState.UNKNOWN, detail)
        if decision.action is not KeyAction.SEND:
            return self._outcome_without_sending(decision)
        assert record is not None
        return self._send(key, record, decision, write)

    def _send(
        self, key: str, record: IdempotencyRecord, decision: KeyDecision, write: ReplicatedWrite
    ) -> WriteOutcome:
        """Make the record durable, send the write, and record its outcome, also after an exception."""
        outcome = WriteOutcome(
            KeyAction.SEND,
            WriteState.NOT_EXECUTED,
            "the write could not be begun",
            _NOT_STARTED_RETRY_AFTER,
        )
        try:
            if self._log:
                self._log.append_durably(key, record, write.deadline)
            # After any failure from here on, some of the write may have been executed.
            outcome = WriteOutcome(
                KeyAction.SEND, WriteState.UNKNOWN, "internal: the write was not seen to its end"
            )
            remaining_window = decision.send_deadline - self._now()
            deadline = min(write.deadline, time.monotonic() + remaining_window)
            outcome = self._replicator.replicate(write, key, decision.version, deadline)
        except OSError as error:
            outcome = outcome._replace(detail=f"the intent log: {error}")
        finally:
            state = self._finish(key, outcome)
        if state is not outcome.state:
            return outcome._replace(state=state, detail=f"may have run at an earlier try: {outcome.detail}")
        return outcome

    def _outcome_without_sending(self, decision: KeyDecision) -> WriteOutcome:
        action, version = decision.action, decision.version
        with self._lock:
            if action in self._action_counts:
                self._action_counts[action] += 1
        if action is KeyAction.REPLAY_RESULT:
            share = float(decision.result["share"])
            return WriteOutcome(
                action, WriteState.COMPLETED, replicated_share=share, version=version, replayed=True
            )
        return WriteOutcome(action, version=version)

    def _finish(self, key: str, outcome: WriteOutcome) -> WriteState:
        """Record the outcome of an attempt, wake up the threads that wait for it, and return the write's state."""
        result: dict[str, Any] | None = None
        if outcome.state is WriteState.COMPLETED:
            result = {"share": outcome.replicated_share}
        with self._lock:
            state = self._records.finish(key, outcome.state, self._now(), result)
            record = self._records.get(key)
            in_progress = self._in_progress.pop(key, None)
        if in_progress:
            in_progress.set()
        if self._log and record is not None:
            try:
                self._log.append(key, record)
            except OSError as error:
                self._log_message(f"the outcome of key {key!r} could not be logged: {error}")
        return state


def restore_records(
    records: IdempotencyRecords, recovered: dict[str, IdempotencyRecord], clock: VersionClock
) -> None:
    """Restore the records that were recovered from the log, least recently updated first."""
    for key, record in sorted(recovered.items(), key=lambda item: item[1].updated_at):
        records.restore(key, record)
        clock.observe(record.version)
