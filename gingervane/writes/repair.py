"""Repairs what holders owe: compares their marks of a shard and copies what differs, within the budget.

What to compare and when, and what to copy, `debts` says; how to ask a holder is the front's (`Remote`). Owner: the
repairer's thread; `_lock` is over the debts, which front threads and the list's owner add to.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterable
from typing import Protocol

from gingervane import interface as api
from gingervane.writes.missed_writes import (
    PointCopy,
    MissedWrites,
    PendingAcknowledgements,
    PointState,
    ShardKey,
    plan_copies,
)
from gingervane.writes.shard_placement import ShardReplica, ShardPlacement

_LOOK = 0.05  # seconds between two looks at whether something is due
_HEARD_OUT = 0.5  # seconds after which a holder that has not said that it did a write owes it
_A_COPY = 256  # points in one call at most
_STOPPING = 10.0  # seconds that a stop waits for a comparing to end


class ShardReplicaClient(Protocol):
    """Asks holders. None, or 0, for whatever went wrong; bounded in time."""

    def point_states(self, holder: ShardReplica, place: ShardKey) -> dict[str, PointState] | None:
        """What it has of a shard."""

    def copy_points(
        self, place: ShardKey, source: ShardReplica, target: ShardReplica, points: tuple[str, ...]
    ) -> int:
        """Bring points from one to the other; how many."""


class Repairer:
    """A thread of its own. `start`, `stop`."""

    def __init__(
        self,
        debts: MissedWrites,
        holders: ShardPlacement,
        width: int,
        remote: ShardReplicaClient,
        remark: Callable[[str], None],
    ) -> None:
        self._debts, self._holders, self._width = debts, holders, width
        self._remote, self._remark = remote, remark
        self._expected = PendingAcknowledgements()
        self._lock, self._stop = threading.Lock(), threading.Event()
        self._thread = threading.Thread(target=self._run, name="repair", daemon=True)

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._stop.set()
        if self._thread.ident:
            self._thread.join(_STOPPING)

    def write_sent(
        self, place: ShardKey, version: int, holders: Iterable[int], absent: bool, until: float
    ) -> None:
        """A write goes to these holders, and none is sent after `until`; `absent`: others cannot be sent it now and
        owe it. From any thread."""
        with self._lock:
            self._expected.add(place, version, holders, until + _HEARD_OUT)
            if absent:
                self._debts.add(place, time.monotonic())

    def write_acknowledged(self, place: ShardKey, version: int, holder: int) -> None:
        """A holder has done a write; from any thread."""
        with self._lock:
            self._expected.acknowledge(place, version, holder)

    def write_not_executed(self, place: ShardKey, version: int) -> None:
        """It is proven that no holder did a write; from any thread."""
        with self._lock:
            self._expected.discard(place, version)

    def replica_returned(self, places: Iterable[ShardKey]) -> None:
        """A holder of these has come back from being gone, and may have missed anything; from any thread."""
        with self._lock:
            for place in places:
                self._debts.add(place, time.monotonic())

    def metrics(self) -> dict[str, float]:
        with self._lock:
            return {
                "shards_owed": len(self._debts),
                "oldest_debt_seconds": self._debts.oldest_age(time.monotonic()),
                "repairs": self._debts.repaired,
                "points_repaired": self._debts.points_copied,
                "conflicts": self._debts.conflicts,
            }

    def _run(self) -> None:
        while not self._stop.wait(_LOOK):
            with self._lock:
                now = time.monotonic()
                for owed in self._expected.pop_overdue(now):
                    self._debts.add(owed, now)
                place, room = self._debts.next_shard(now), self._debts.capacity(now)
            if place is None:
                continue
            copied, conflicts, whole = self._compare(place, room)
            with self._lock:
                self._debts.record_comparison(place, time.monotonic(), copied, conflicts, whole)
            if conflicts:
                self._remark(
                    f"{place.collection}/s{place.shard}: {conflicts} points differ under one version"
                )

    def _compare(self, place: ShardKey, room: int) -> tuple[int, int, bool]:
        """One round over a shard's holders: points copied, conflicts, and whether nothing is left."""
        ready = {
            h.replica: h for h in self._holders.replicas_of(place.shard) if h.state is api.ReplicaState.READY
        }
        held: dict[int, dict[str, PointState]] = {}
        for number, holder in ready.items():
            marks = self._remote.point_states(holder, place)
            if marks is not None:
                held[number] = marks
        copies, left, conflicts = plan_copies(held, room) if len(held) > 1 else ([], 0, 0)
        copied = sum(self._copy(place, ready, copy) for copy in copies)
        wanted = sum(len(copy.points) for copy in copies)
        return copied, conflicts, len(held) == self._width and copied == wanted and not left

    def _copy(self, place: ShardKey, holders: dict[int, ShardReplica], copy: PointCopy) -> int:
        source, target = holders[copy.source], holders[copy.target]
        return sum(
            self._remote.copy_points(place, source, target, copy.points[at : at + _A_COPY])
            for at in range(0, len(copy.points), _A_COPY)
        )
