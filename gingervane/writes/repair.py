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
from gingervane.writes.missed_writes import Copy, MissedWrites, Expected, Mark, Place, plan
from gingervane.writes.shard_placement import ShardReplica, ShardPlacement

_LOOK = 0.05  # seconds between two looks at whether something is due
_HEARD_OUT = 0.5  # seconds after which a holder that has not said that it did a write owes it
_A_COPY = 256  # points in one call at most
_STOPPING = 10.0  # seconds that a stop waits for a comparing to end


class Remote(Protocol):
    """Asks holders. None, or 0, for whatever went wrong; bounded in time."""

    def marks(self, holder: ShardReplica, place: Place) -> dict[str, Mark] | None:
        """What it has of a shard."""

    def copy(self, place: Place, source: ShardReplica, target: ShardReplica, points: tuple[str, ...]) -> int:
        """Bring points from one to the other; how many."""


class Repairer:
    """A thread of its own. `start`, `stop`."""

    def __init__(
        self,
        debts: MissedWrites,
        holders: ShardPlacement,
        width: int,
        remote: Remote,
        remark: Callable[[str], None],
    ) -> None:
        self._debts, self._holders, self._width = debts, holders, width
        self._remote, self._remark = remote, remark
        self._expected = Expected()
        self._lock, self._stop = threading.Lock(), threading.Event()
        self._thread = threading.Thread(target=self._run, name="repair", daemon=True)

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._stop.set()
        if self._thread.ident:
            self._thread.join(_STOPPING)

    def sent(self, place: Place, version: int, holders: Iterable[int], absent: bool, until: float) -> None:
        """A write goes to these holders, and none is sent after `until`; `absent`: others cannot be sent it now and
        owe it. From any thread."""
        with self._lock:
            self._expected.sent(place, version, holders, until + _HEARD_OUT)
            if absent:
                self._debts.owes(place, time.monotonic())

    def did(self, place: Place, version: int, holder: int) -> None:
        """A holder has done a write; from any thread."""
        with self._lock:
            self._expected.did(place, version, holder)

    def idle(self, place: Place, version: int) -> None:
        """It is proven that no holder did a write; from any thread."""
        with self._lock:
            self._expected.idle(place, version)

    def back(self, places: Iterable[Place]) -> None:
        """A holder of these has come back from being gone, and may have missed anything; from any thread."""
        with self._lock:
            for place in places:
                self._debts.owes(place, time.monotonic())

    def figures(self) -> dict[str, float]:
        with self._lock:
            return {
                "shards_owed": len(self._debts),
                "oldest_debt_seconds": self._debts.oldest(time.monotonic()),
                "repairs": self._debts.paid,
                "points_repaired": self._debts.copied,
                "conflicts": self._debts.conflicts,
            }

    def _run(self) -> None:
        while not self._stop.wait(_LOOK):
            with self._lock:
                now = time.monotonic()
                for owed in self._expected.overdue(now):
                    self._debts.owes(owed, now)
                place, room = self._debts.next(now), self._debts.room(now)
            if place is None:
                continue
            copied, conflicts, whole = self._compare(place, room)
            with self._lock:
                self._debts.compared(place, time.monotonic(), copied, conflicts, whole)
            if conflicts:
                self._remark(
                    f"{place.collection}/s{place.shard}: {conflicts} points differ under one version"
                )

    def _compare(self, place: Place, room: int) -> tuple[int, int, bool]:
        """One round over a shard's holders: points copied, conflicts, and whether nothing is left."""
        ready = {h.replica: h for h in self._holders.of(place.shard) if h.state is api.ReplicaState.READY}
        held: dict[int, dict[str, Mark]] = {}
        for number, holder in ready.items():
            marks = self._remote.marks(holder, place)
            if marks is not None:
                held[number] = marks
        copies, left, conflicts = plan(held, room) if len(held) > 1 else ([], 0, 0)
        copied = sum(self._copy(place, ready, copy) for copy in copies)
        wanted = sum(len(copy.points) for copy in copies)
        return copied, conflicts, len(held) == self._width and copied == wanted and not left

    def _copy(self, place: Place, holders: dict[int, ShardReplica], copy: Copy) -> int:
        source, target = holders[copy.source], holders[copy.target]
        return sum(
            self._remote.copy(place, source, target, copy.points[at : at + _A_COPY])
            for at in range(0, len(copy.points), _A_COPY)
        )
