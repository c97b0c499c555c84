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


class State(Enum):
    """Of one key."""

    OPEN = "open"  # being worked on by this process
    DONE = "done"
    IDLE = "idle"  # proven: nothing of it ran
    UNKNOWN = "unknown"  # some of it may have run


class Do(Enum):
    """What to do about a request."""

    SEND = "send"
    ANSWER = "answer"  # with the result that is kept
    WAIT = "wait"  # for the same key's end
    TOO_LATE = "too late"  # it may have run, and replicas no longer drop repeats
    MISMATCH = "mismatch"
    FULL = "full"


class Decision(NamedTuple):
    """`until`: after which nothing of it may be sent. `version`: to send it under, the same for every try."""

    do: Do
    version: int = 0
    until: float = 0.0
    result: Any = None


class IdempotencyRecord(NamedTuple):
    """`first`: the first moment at which it may have been sent."""

    state: State
    digest: str
    version: int
    first: float
    at: float  # of the last news
    result: Any = None


class Limits(NamedTuple):
    """Seconds; `most`: keys."""

    window: float = 10.0
    margin: float = 0.5
    keep: float = 3600.0
    most: int = 1_000_000


class IdempotencyRecords:
    """Keys and what is known of them. The caller sees to locking, and to writing down what `begin` says to send."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._entries: OrderedDict[str, IdempotencyRecord] = OrderedDict()  # oldest news first

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, key: str) -> IdempotencyRecord | None:
        return self._entries.get(key)

    def begin(self, key: str, digest: str, version: int, now: float) -> Decision:
        """A request with this key has come. `version`: for it, if the key is new."""
        self._expire(now)
        entry = self._entries.get(key)
        if entry is None:
            if len(self._entries) >= self._limits.most and not self._make_room(now):
                return Decision(Do.FULL)
            return self._send(key, digest, version, now, now)
        if entry.digest != digest:
            return Decision(Do.MISMATCH)
        match entry.state:
            case State.DONE:
                return Decision(Do.ANSWER, entry.version, result=entry.result)
            case State.OPEN:
                return Decision(Do.WAIT, entry.version)
            case State.IDLE:  # none of it ran: as if new, but under the version that it was given
                return self._send(key, digest, entry.version, now, now)
        until = entry.first + self._limits.window - self._limits.margin
        if now >= until:
            return Decision(Do.TOO_LATE, entry.version)
        return self._send(key, digest, entry.version, entry.first, now)

    def end(self, key: str, state: State, now: float, result: Any = None) -> None:
        """The key's write has ended: DONE with its result, IDLE on proof that nothing ran, else UNKNOWN."""
        entry = self._entries.get(key)
        if entry is not None and entry.state is State.OPEN:
            self._put(key, entry._replace(state=state, at=now, result=result))

    def restore(self, key: str, entry: IdempotencyRecord) -> None:
        """Take up what was written down; a key that was open when the process ended may have run."""
        state = State.UNKNOWN if entry.state is State.OPEN else entry.state
        self._put(key, entry._replace(state=state))

    def entries(self) -> Iterator[tuple[str, IdempotencyRecord]]:
        """All that is held, oldest news first."""
        return iter(self._entries.items())

    def _send(self, key: str, digest: str, version: int, first: float, now: float) -> Decision:
        self._put(key, IdempotencyRecord(State.OPEN, digest, version, first, now))
        return Decision(Do.SEND, version, first + self._limits.window - self._limits.margin)

    def _put(self, key: str, entry: IdempotencyRecord) -> None:
        self._entries[key] = entry
        self._entries.move_to_end(key)

    def _expire(self, now: float) -> None:
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            if entry.state is State.OPEN or now - entry.at < self._limits.keep:
                return
            del self._entries[key]

    def _make_room(self, now: float) -> bool:
        """Drop the oldest key if its window is over."""
        key, entry = next(iter(self._entries.items()))
        if entry.state is State.OPEN or now - entry.at < self._limits.window:
            return False
        del self._entries[key]
        return True
