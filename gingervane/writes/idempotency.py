"""Idempotency records of writes that carry an idempotency key. Free of I/O; the caller passes the time.

A replica drops repeats of a key for `window` seconds, counted from the first time that it receives the key.
`IdempotencyRecords` therefore enforces these rules:

- Across all attempts of a client, a key is sent only within `window` (less a safety margin) of the first
  moment at which it may have been sent. After that it is sent again only on proof that no attempt was
  executed.
- The record of a write is durable before the first byte of the write is sent. A process that finds an
  unfinished record when it starts must assume that the write may have been executed.
- A write that may have been executed stays one, whatever becomes of its later attempts: the proof that an attempt
  was not executed says nothing of an earlier one.
- A repeat of a key whose write has completed gets the stored result, and nothing is sent.
- A key identifies one request content. The same key with different content is a client error.
- A repeat of a key whose write is in progress waits for that write and does not execute a second one.

A record is kept for `retention` seconds after its last change, and there are at most `max_records`. A record
within its window is never evicted to make room: new keys are rejected instead.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from typing import Any, NamedTuple


class WriteState(Enum):
    """State of the write that belongs to a key. The values are stored on disk."""

    IN_PROGRESS = "open"  # this process is executing it
    COMPLETED = "done"
    NOT_EXECUTED = "idle"  # no part of the write was executed, and there is proof of it
    UNKNOWN = "unknown"  # some part of the write may have been executed


class KeyAction(Enum):
    """How to handle a request with an idempotency key."""

    SEND = "send"
    REPLAY_RESULT = "answer"  # answer with the stored result
    WAIT = "wait"  # for the write that is in progress under the same key
    WINDOW_EXPIRED = "too late"  # the write may have been executed, and replicas no longer drop repeats
    KEY_REUSED = "mismatch"  # the key was used with different content
    OVER_CAPACITY = "full"


class KeyDecision(NamedTuple):
    """Result of `IdempotencyRecords.begin`."""

    action: KeyAction
    version: int = 0  # of the write, the same for all attempts that may have been executed
    send_deadline: float = 0.0  # time after which no part of the write may be sent
    result: Any = None


class IdempotencyRecord(NamedTuple):
    """Stored state of one key. Times are on the clock of the caller."""

    state: WriteState
    digest: str  # of the request content
    version: int
    first_sent_at: float  # the first moment at which the write may have been sent
    updated_at: float
    result: Any = None


class IdempotencyLimits(NamedTuple):
    """Durations in seconds and the maximum number of records."""

    window: float = 10.0  # seconds for which replicas drop repeats of a key
    safety_margin: float = 0.5  # seconds before the end of the window after which nothing is sent
    retention: float = 3600.0  # seconds that a record is kept after its last change
    max_records: int = 1_000_000


class IdempotencyRecords:
    """Idempotency records by key, least recently updated first.

    The caller holds a lock, and makes a record durable before it sends what `begin` allows it to send.
    """

    def __init__(self, limits: IdempotencyLimits) -> None:
        self._limits = limits
        self._records: OrderedDict[str, IdempotencyRecord] = OrderedDict()
        self._possibly_executed: set[str] = (
            set()
        )  # keys in progress, an earlier attempt of which may have run

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: str) -> IdempotencyRecord | None:
        """Return the record of a key, if there is one."""
        return self._records.get(key)

    def begin(self, key: str, digest: str, version: int, now: float) -> KeyDecision:
        """Decide how to handle a request with this key.

        The write gets `version` if the key is new, or if there is proof that no attempt was executed.
        """
        self._remove_expired(now)
        record = self._records.get(key)
        if record is None:
            if len(self._records) >= self._limits.max_records and not self._evict_oldest(now):
                return KeyDecision(KeyAction.OVER_CAPACITY)
            return self._start_attempt(key, digest, version, now, now)
        if record.digest != digest:
            return KeyDecision(KeyAction.KEY_REUSED)
        match record.state:
            case WriteState.COMPLETED:
                return KeyDecision(KeyAction.REPLAY_RESULT, record.version, result=record.result)
            case WriteState.IN_PROGRESS:
                return KeyDecision(KeyAction.WAIT, record.version)
            case WriteState.NOT_EXECUTED:
                # Starts a new window with a new version: writes that were acknowledged since are older than this one.
                return self._start_attempt(key, digest, version, now, now)
        if now >= self._send_deadline(record.first_sent_at):
            return KeyDecision(KeyAction.WINDOW_EXPIRED, record.version)
        self._possibly_executed.add(key)
        return self._start_attempt(key, digest, record.version, record.first_sent_at, now)

    def finish(self, key: str, state: WriteState, now: float, result: Any = None) -> WriteState:
        """Record the outcome of an attempt; return the state of the write, over all its attempts.

        `state` is COMPLETED (with the result), NOT_EXECUTED on proof that nothing of this attempt was executed, or
        else UNKNOWN.
        """
        if key in self._possibly_executed and state is WriteState.NOT_EXECUTED:
            state = WriteState.UNKNOWN
        self._possibly_executed.discard(key)
        record = self._records.get(key)
        if record is not None and record.state is WriteState.IN_PROGRESS:
            self._store(key, record._replace(state=state, updated_at=now, result=result))
        return state

    def restore(self, key: str, record: IdempotencyRecord) -> None:
        """Restore a record of an earlier process; a write that was in progress may have been executed."""
        state = WriteState.UNKNOWN if record.state is WriteState.IN_PROGRESS else record.state
        self._store(key, record._replace(state=state))

    def _send_deadline(self, first_sent_at: float) -> float:
        return first_sent_at + self._limits.window - self._limits.safety_margin

    def _start_attempt(
        self, key: str, digest: str, version: int, first_sent_at: float, now: float
    ) -> KeyDecision:
        self._store(key, IdempotencyRecord(WriteState.IN_PROGRESS, digest, version, first_sent_at, now))
        return KeyDecision(KeyAction.SEND, version, self._send_deadline(first_sent_at))

    def _store(self, key: str, record: IdempotencyRecord) -> None:
        self._records[key] = record
        self._records.move_to_end(key)

    def _oldest(self) -> tuple[str, IdempotencyRecord]:
        return next(iter(self._records.items()))

    def _remove_expired(self, now: float) -> None:
        while self._records:
            key, record = self._oldest()
            if record.state is WriteState.IN_PROGRESS or now - record.updated_at < self._limits.retention:
                return
            del self._records[key]

    def _evict_oldest(self, now: float) -> bool:
        """Evict the least recently updated record if its window has passed; return whether it was evicted."""
        key, record = self._oldest()
        if record.state is WriteState.IN_PROGRESS or now - record.updated_at < self._limits.window:
            return False
        del self._records[key]
        return True
