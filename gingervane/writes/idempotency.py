"""What is known of keyed writes: which ran, which may have run, which never left. Free of I/O; time is handed in.

A replica drops a repeat of a key for `window` seconds from the first time that it sees it. What follows:

- A key is sent, by however many tries of its client, only within `window` (less a margin) of the first moment at
  which it may have been sent. Later, nothing may be sent any more unless it is known that none of it ever ran.
- A write's intent is durable before its first byte leaves. A process that finds an intent without an end at its
  start must take it for a write that may have run.
- A repeat of a key whose write is done gets the same answer again, and nothing is sent.
- A key stands for one content: the same key with another content is an error of the client's.
- A key that is being worked on is not worked on twice: the repeat waits for the same end.

Kept for `keep` seconds from the last news of a key, and at most `most` of them; what is in its window is never
dropped to make room: then new keys are refused.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from enum import Enum
from typing import Any, NamedTuple


class WriteState(Enum):
    """Of one key."""

    IN_PROGRESS = "open"  # being worked on by this process
    COMPLETED = "done"
    NOT_EXECUTED = "idle"  # proven: nothing of it ran
    UNKNOWN = "unknown"  # some of it may have run


class KeyAction(Enum):
    """What to do about a request."""

    SEND = "send"
    REPLAY_RESULT = "answer"  # with the result that is kept
    WAIT = "wait"  # for the same key's end
    WINDOW_EXPIRED = "too late"  # it may have run, and replicas no longer drop repeats
    KEY_REUSED = "mismatch"
    OVER_CAPACITY = "full"


class KeyDecision(NamedTuple):
    """`until`: after which nothing of it may be sent. `version`: to send it under, the same for every try."""

    action: KeyAction
    version: int = 0
    send_deadline: float = 0.0
    result: Any = None


class IdempotencyRecord(NamedTuple):
    """`first`: the first moment at which it may have been sent."""

    state: WriteState
    digest: str
    version: int
    first_sent_at: float
    updated_at: float  # of the last news
    result: Any = None


class IdempotencyLimits(NamedTuple):
    """Seconds; `most`: keys."""

    window: float = 10.0
    safety_margin: float = 0.5
    retention: float = 3600.0
    max_records: int = 1_000_000


class IdempotencyRecords:
    """Keys and what is known of them. The caller sees to locking, and to writing down what `begin` says to send."""

    def __init__(self, limits: IdempotencyLimits) -> None:
        self._limits = limits
        self._records: OrderedDict[str, IdempotencyRecord] = OrderedDict()  # oldest news first

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: str) -> IdempotencyRecord | None:
        return self._records.get(key)

    def begin(self, key: str, digest: str, version: int, now: float) -> KeyDecision:
        """A request with this key has come. `version`: for it, if the key is new."""
        self._remove_expired(now)
        entry = self._records.get(key)
        if entry is None:
            if len(self._records) >= self._limits.max_records and not self._evict_oldest(now):
                return KeyDecision(KeyAction.OVER_CAPACITY)
            return self._start_attempt(key, digest, version, now, now)
        if entry.digest != digest:
            return KeyDecision(KeyAction.KEY_REUSED)
        match entry.state:
            case WriteState.COMPLETED:
                return KeyDecision(KeyAction.REPLAY_RESULT, entry.version, result=entry.result)
            case WriteState.IN_PROGRESS:
                return KeyDecision(KeyAction.WAIT, entry.version)
            case WriteState.NOT_EXECUTED:  # none of it ran: as if new, but under the version that it was given
                return self._start_attempt(key, digest, entry.version, now, now)
        until = entry.first_sent_at + self._limits.window - self._limits.safety_margin
        if now >= until:
            return KeyDecision(KeyAction.WINDOW_EXPIRED, entry.version)
        return self._start_attempt(key, digest, entry.version, entry.first_sent_at, now)

    def finish(self, key: str, state: WriteState, now: float, result: Any = None) -> None:
        """The key's write has ended: DONE with its result, IDLE on proof that nothing ran, else UNKNOWN."""
        entry = self._records.get(key)
        if entry is not None and entry.state is WriteState.IN_PROGRESS:
            self._store(key, entry._replace(state=state, updated_at=now, result=result))

    def restore(self, key: str, entry: IdempotencyRecord) -> None:
        """Take up what was written down; a key that was open when the process ended may have run."""
        state = WriteState.UNKNOWN if entry.state is WriteState.IN_PROGRESS else entry.state
        self._store(key, entry._replace(state=state))

    def entries(self) -> Iterator[tuple[str, IdempotencyRecord]]:
        """All that is held, oldest news first."""
        return iter(self._records.items())

    def _start_attempt(self, key: str, digest: str, version: int, first: float, now: float) -> KeyDecision:
        self._store(key, IdempotencyRecord(WriteState.IN_PROGRESS, digest, version, first, now))
        return KeyDecision(KeyAction.SEND, version, first + self._limits.window - self._limits.safety_margin)

    def _store(self, key: str, entry: IdempotencyRecord) -> None:
        self._records[key] = entry
        self._records.move_to_end(key)

    def _remove_expired(self, now: float) -> None:
        while self._records:
            key, entry = next(iter(self._records.items()))
            if entry.state is WriteState.IN_PROGRESS or now - entry.updated_at < self._limits.retention:
                return
            del self._records[key]

    def _evict_oldest(self, now: float) -> bool:
        """Drop the oldest key if its window is over."""
        key, entry = next(iter(self._records.items()))
        if entry.state is WriteState.IN_PROGRESS or now - entry.updated_at < self._limits.window:
            return False
        del self._records[key]
        return True
