"""Idempotency records of writes that carry an idempotency key. Free of I/O; the caller passes the time.

A replica drops repeats of a key for `window` seconds, counted from the first time that it receives the key. From
this follow the rules that `IdempotencyRecords` keeps:

- A key is sent, over all attempts of its client, only within `window` (less a safety margin) of the first moment at
  which it may have been sent. After that, nothing may be sent unless it is proven that no attempt was executed.
- The record of a write is durable before its first byte leaves. A process that finds a record without an end when
  it starts must assume that the write may have been executed.
- A repeat of a key whose write has completed gets the stored result, and nothing is sent.
- A key identifies one content: the same key with another content is an error of the client.
- A key whose write is in progress is not executed a second time: the repeat waits for the first one.

A record is kept for `retention` seconds after its last change, and there are at most `max_records`. A record that is
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
    NOT_EXECUTED = "idle"  # it is proven that no part of it was executed
    UNKNOWN = "unknown"  # some part of it may have been executed


class KeyAction(Enum):
    """What to do about a request with an idempotency key."""

    SEND = "send"
    REPLAY_RESULT = "answer"  # answer with the stored result
    WAIT = "wait"  # for the write that is in progress under the same key
    WINDOW_EXPIRED = "too late"  # it may have been executed, and replicas no longer drop repeats
    KEY_REUSED = "mismatch"  # the key was used with another content
    OVER_CAPACITY = "full"


class KeyDecision(NamedTuple):
    """Answer of `IdempotencyRecords.begin`."""

    action: KeyAction
    version: int = 0  # to send the write under: the same for every attempt
    send_deadline: float = 0.0  # nothing of the write may be sent later
    result: Any = None


class IdempotencyRecord(NamedTuple):
    """What is known about one key."""

    state: WriteState
    digest: str  # of the content
    version: int
    first_sent_at: float  # the first moment at which the write may have been sent
    updated_at: float
    result: Any = None


class IdempotencyLimits(NamedTuple):
    """Times and bounds of the records."""

    window: float = 10.0  # seconds for which replicas drop repeats of a key
    safety_margin: float = 0.5  # seconds before the end of the window after which nothing is sent
    retention: float = 3600.0  # seconds
    max_records: int = 1_000_000


class IdempotencyRecords:
    """Idempotency records by key, least recently updated first.

    The caller holds a lock, and makes a record durable before it sends what `begin` allows it to send.
    """

    def __init__(self, limits: IdempotencyLimits) -> None:
        self._limits = limits
        self._records: OrderedDict[str, IdempotencyRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: str) -> IdempotencyRecord | None:
        """Return the record of a key, if there is one."""
        return self._records.get(key)

    def begin(self, key: str, digest: str, version: int, now: float) -> KeyDecision:
        """Decide about a request with this key. `version` is given to the write if the key is new."""
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
            case WriteState.NOT_EXECUTED:  # a new window, but under the version that the write was given
                return self._start_attempt(key, digest, record.version, now, now)
        if now >= self._send_deadline(record.first_sent_at):
            return KeyDecision(KeyAction.WINDOW_EXPIRED, record.version)
        return self._start_attempt(key, digest, record.version, record.first_sent_at, now)

    def finish(self, key: str, state: WriteState, now: float, result: Any = None) -> None:
        """Record the end of a write.

        `state` is COMPLETED (with the result), NOT_EXECUTED on proof that nothing was executed, or else UNKNOWN.
        """
        record = self._records.get(key)
        if record is not None and record.state is WriteState.IN_PROGRESS:
            self._store(key, record._replace(state=state, updated_at=now, result=result))

    def restore(self, key: str, record: IdempotencyRecord) -> None:
        """Take over a record of an earlier process; a write that was in progress may have been executed."""
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
        """Evict the least recently updated record if its window is over."""
        key, record = self._oldest()
        if record.state is WriteState.IN_PROGRESS or now - record.updated_at < self._limits.window:
            return False
        del self._records[key]
        return True
