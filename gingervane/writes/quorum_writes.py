"""Writes that must reach every holder of each of their shards: once, or known by their key. For any protocol.

A write has a part for each ready holder of each shard (`holders`). It is done once `quorum` holders of every shard
have done it; the others are heard out, and what they do not say in time is owed (`repair`). What may be sent again
is the module's to say within one try, and `intents`' over all tries of a key; an intent is durable before its first
byte.

Only the module's refusal proves that nothing ran: a query's path says nothing of attempts that are still out.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple, Protocol

from gingervane import interface as api
from gingervane.coordinator import types as t
from gingervane.coordinator.boot_clock import seconds as real_seconds
from gingervane.coordinator.core import ResultQueue, Rejected, PendingQuery
from gingervane.writes.missed_writes import ShardKey
from gingervane.coordinator.dispatch import QueryDispatcher
from gingervane.writes.shard_placement import MAX_CELLS, ShardPlacement
from gingervane.writes.write_ahead_log import WriteAheadLog
from gingervane.writes.idempotency import KeyAction, IdempotencyRecord, IdempotencyRecords, WriteState


class ReplicatedWrite(NamedTuple):
    """One write as a front has read it.

    `contents`: for each shard, what a holder of it is to do; `exchange`: made for a key (empty: none), a version, and
    whom to tell of each holder's success, by shard and holder. `until`: the client's time, on the monotonic clock.
    """

    collection: str  # what the shards are of
    content_by_shard: Mapping[int, Callable[[int], Any]]
    make_codec: Callable[[str, int, Callable[[int, int], None]], t.HttpCodec]
    class_name: str  # the class's
    class_number: int  # the class's in the module that decides writes
    deadline: float


class WriteOutcome(NamedTuple):
    """What became of one write. `do`: SEND if it was sent, else why not; `share` of the holders that had done it."""

    action: KeyAction
    state: WriteState = WriteState.NOT_EXECUTED
    detail: str = ""
    retry_after: float = 0.0
    replicated_share: float = 0.0
    version: int = 0
    replayed: bool = False  # answered from what was known of the key


class WriteTracker(Protocol):
    """Told of each write's holders, and of what each of them says."""

    def write_sent(
        self, place: ShardKey, version: int, holders: Iterable[int], absent: bool, until: float
    ) -> None: ...

    def write_acknowledged(self, place: ShardKey, version: int, holder: int) -> None: ...

    def write_not_executed(self, place: ShardKey, version: int) -> None: ...


class VersionClock:
    """Versions: milliseconds of Unix time with a count and this co-ordinator's mark below, never the same twice."""

    def __init__(self, mark: int, now: Callable[[], float] = time.time) -> None:
        self._mark, self._now, self._last = mark % 1024, now, 0
        self._lock = threading.Lock()

    def next(self) -> int:
        with self._lock:
            self._last = max(int(self._now() * 1000) << 4, self._last + 1)
            return (self._last << 10) | self._mark

    def observe(self, version: int) -> None:
        """A version of somebody else's: the next is later."""
        with self._lock:
            self._last = max(self._last, version >> 10)


class QuorumWrites:
    """Carries out writes on front threads. `_lock` is over the intents, who waits for them, and the counts."""

    def __init__(
        self,
        desk: QueryDispatcher,
        holders: ShardPlacement,
        quorum: int,
        width: int,
        intents: IdempotencyRecords,
        log: WriteAheadLog | None,
        clock: VersionClock,
        owed: WriteTracker,
        remark: Callable[[str], None],
        now: Callable[[], float] = real_seconds,
    ) -> None:
        """`desk`: of the core that decides writes; `now`: as `clock.seconds`, for the windows of keys."""
        self._desk, self._holders, self._quorum, self._width = desk, holders, quorum, width
        self._intents, self._log, self._clock, self._owed = intents, log, clock, owed
        self._remark, self._now = remark, now
        self._lock = threading.Lock()
        self._waiting: dict[str, threading.Event] = {}
        self._acked: dict[ShardKey, int] = {}
        self.counts = dict.fromkeys(("writes", "repeats", "late_successes", "too_late", "mismatches"), 0)

    def acknowledged_version(self, place: ShardKey) -> int:
        """The newest version of a shard that this co-ordinator has told a client was done."""
        with self._lock:
            return self._acked.get(place, 0)

    def write_without_key(self, work: ReplicatedWrite) -> WriteOutcome:
        """A write without a key: sent once, and again only on proof that it did not run."""
        return self._send(work, "", self._clock.next(), work.deadline)

    def write_with_key(self, key: str, digest: str, work: ReplicatedWrite) -> WriteOutcome:
        """A write that holders know by its key. `digest`: of its content."""
        while True:
            with self._lock:
                decision = self._intents.begin(key, digest, self._clock.next(), self._now())
                event, entry = self._waiting.get(key), self._intents.get(key)
                if decision.action is KeyAction.SEND:
                    self._waiting[key] = threading.Event()
            if decision.action is not KeyAction.WAIT:
                break
            if event is None or not event.wait(max(work.deadline - time.monotonic(), 0.0)):
                return WriteOutcome(
                    KeyAction.WAIT, WriteState.UNKNOWN, "the same key is still being worked on"
                )
        if decision.action is not KeyAction.SEND:
            return self._known(decision.action, decision.version, decision.result)
        assert entry is not None
        outcome = WriteOutcome(KeyAction.SEND, WriteState.NOT_EXECUTED, "the write could not be begun", 1.0)
        try:
            if self._log:
                self._log.append_durably(key, entry, work.deadline)
            # Whatever goes wrong from here on, some of it may have run.
            outcome = WriteOutcome(
                KeyAction.SEND, WriteState.UNKNOWN, "internal: the write was not seen to its end"
            )
            left = decision.send_deadline - self._now()
            outcome = self._send(work, key, decision.version, min(work.deadline, time.monotonic() + left))
        except OSError as error:
            outcome = outcome._replace(detail=f"the intent log: {error}")
        finally:
            self._end(key, outcome)
        return outcome

    def _known(self, do: KeyAction, version: int, result: Any) -> WriteOutcome:
        """A key that needs no sending."""
        with self._lock:
            for what, count in (
                (KeyAction.REPLAY_RESULT, "repeats"),
                (KeyAction.WINDOW_EXPIRED, "too_late"),
                (KeyAction.KEY_REUSED, "mismatches"),
            ):
                self.counts[count] += do is what
        if do is KeyAction.REPLAY_RESULT:
            return WriteOutcome(
                KeyAction.REPLAY_RESULT,
                WriteState.COMPLETED,
                replicated_share=float(result["share"]),
                version=version,
                replayed=True,
            )
        return WriteOutcome(do, version=version)

    def _end(self, key: str, outcome: WriteOutcome) -> None:
        """Whatever became of a key's write, it is known, and whoever waits for it goes on."""
        result = {"share": outcome.replicated_share} if outcome.state is WriteState.COMPLETED else None
        with self._lock:
            self._intents.finish(key, outcome.state, self._now(), result)
            entry, event = self._intents.get(key), self._waiting.pop(key, None)
        if event:
            event.set()
        if self._log and entry is not None:
            try:
                self._log.append(key, entry)
            except OSError as error:
                self._remark(f"the end of key {key!r} could not be written down: {error}")

    def _send(self, work: ReplicatedWrite, key: str, version: int, until: float) -> WriteOutcome:
        """Have every holder of every shard do its part; wait for all shards' ends."""
        with self._lock:
            self.counts["writes"] += 1
        failed = threading.Event()
        exchange = work.make_codec(
            key,
            version,
            lambda shard, holder: self._did(failed, ShardKey(work.collection, shard), holder, version),
        )
        plans: dict[int, tuple[list[int], tuple[t.PartPlan, ...]]] = {}
        for shard, content in sorted(work.content_by_shard.items()):
            ready = [h for h in self._holders.replicas_of(shard) if h.state is api.ReplicaState.READY]
            if len(ready) < self._quorum:
                why = f"shard s{shard}: {len(ready)} holders are ready, {self._quorum} must do a write"
                return WriteOutcome(KeyAction.SEND, WriteState.NOT_EXECUTED, why, 1.0, version=version)
            share = 1.0 / len(ready)
            plans[shard] = (
                [h.replica for h in ready],
                tuple(t.PartPlan(h.cell, share, content(h.replica)) for h in ready),
            )
        reserve = self._desk.reserve(work.class_name, len(plans), max(until - time.monotonic(), 0.0))
        answers, tickets = ResultQueue(), dict[PendingQuery, int]()
        refused: Rejected | None = None
        for shard, (numbers, parts) in plans.items():
            place = ShardKey(work.collection, shard)
            self._owed.write_sent(place, version, numbers, len(numbers) < self._width, until)
            try:
                query = t.QueryPlan(work.class_number, until - reserve, parts, exchange, work.class_name)
                tickets[self._desk.core.submit(query, answers)] = shard
            except Rejected as error:
                self._owed.write_not_executed(place, version)
                refused = error
                break
        finals: dict[int, t.QueryResult] = {}
        while len(finals) < len(tickets):
            ticket, final = answers.get()
            finals[tickets[ticket]] = final
            ticket.release()
        outcome = self._judge(work.collection, finals, refused, version)
        if outcome.state is WriteState.UNKNOWN:
            failed.set()
        return outcome

    def _judge(
        self,
        space: str,
        finals: dict[int, t.QueryResult],
        refused: Rejected | None,
        version: int,
    ) -> WriteOutcome:
        """What came of a write, from what came of each of its shards."""
        done = {shard: len(final.results) for shard, final in finals.items()}
        proven = {shard for shard, final in finals.items() if final.status is t.QueryStatus.REJECTED}
        wait = max([f.retry_after for f in finals.values()] + [refused.retry_after if refused else 0.0])
        why = str(refused or "") or next((f.detail for f in finals.values() if f.detail), "no answer in time")
        for shard in proven:
            self._owed.write_not_executed(ShardKey(space, shard), version)
        if refused is None and done and all(count >= self._quorum for count in done.values()):
            with self._lock:
                for shard in done:
                    place = ShardKey(space, shard)
                    self._acked[place] = max(version, self._acked.get(place, 0))
            share = sum(min(count / self._width, 1.0) for count in done.values()) / len(done)
            return WriteOutcome(KeyAction.SEND, WriteState.COMPLETED, replicated_share=share, version=version)
        state = WriteState.NOT_EXECUTED if len(proven) == len(finals) else WriteState.UNKNOWN
        return WriteOutcome(KeyAction.SEND, state, why, wait, version=version)

    def _did(self, failed: threading.Event, place: ShardKey, holder: int, version: int) -> None:
        """A holder's success, on a sender's thread; it may be long after the answer."""
        self._owed.write_acknowledged(place, version, holder)
        if failed.is_set():
            with self._lock:
                self.counts["late_successes"] += 1
            where = f"{place.collection}/s{place.shard}"
            self._remark(f"{where}: holder {holder} did version {version} after it was failed")


def write_settings(base: api.Settings, lenient: Iterable[int], quorum: int, width: int) -> api.Settings:
    """What the module that decides writes is told: every replica a cell of its own; the classes at `lenient` are as
    good as whole once a quorum has done its part, so that nobody waits for the slowest holder; and nothing that has
    begun is cancelled: whether it was done is news."""
    least, chosen = quorum / width - 1e-6, set(lenient)
    classes = tuple(
        c._replace(required_coverage=least, complete_coverage=least, late_weight=1.0, partial_weight=1.0)
        if i in chosen
        else c
        for i, c in enumerate(base.query_classes)
    )
    return base._replace(
        query_classes=classes, cell_count=MAX_CELLS, cells_per_replica=1, cancellation_allowed=False
    )


def restore_records(
    intents: IdempotencyRecords, entries: dict[str, IdempotencyRecord], clock: VersionClock
) -> None:
    """Take up what the log had at a start."""
    for key, entry in sorted(entries.items(), key=lambda item: item[1].updated_at):
        intents.restore(key, entry)
        clock.observe(entry.version)
