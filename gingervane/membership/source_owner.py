"""Sources of server lists at work: what they report becomes one view, told to the module and kept on disk.

Owners: watchers of Consul and of a list file are threads that only put reports into a queue. One more thread, the
owner, holds the merge and the view, and tells the module; the keeper's thread writes what it hands over. The decision
thread notes in a plain dict when a server last answered; the owner reads it.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterable
from math import inf
from queue import Empty, SimpleQueue

from gingervane import interface as api
from gingervane.coordinator.types import EndpointsUpdated
from gingervane.membership.snapshot import Kept, Snapshot
from gingervane.membership.snapshot_writer import Content, SnapshotWriter
from gingervane.membership.reconciliation import MassRemovalGuard, Reconciliation, Report
from gingervane.membership.atomic_file import StoreError
from gingervane.membership.view import Member, View

_LAST_WRITING = 5.0  # seconds that a stop gives the disk
_LOOK = 1.0  # seconds between two looks at what own traffic says


class EndpointSources:
    """Owns the merge. `start` returns once something is known, from a source or from what was kept."""

    def __init__(
        self,
        names: Iterable[str],
        fence: MassRemovalGuard,
        tell: Callable[[EndpointsUpdated], None],
        complain: Callable[[str], None],
        snapshot: Snapshot | None = None,
        offset: float = 0.0,
        meant: Iterable[str] = (),
    ) -> None:
        """`tell` is called on the owner's thread, but for a start from what was kept. `offset` turns Unix time into
        the members' clock; `meant`: see `Merge`."""
        self._merge, self._view = Reconciliation(names, fence, meant), View()
        self._tell, self._complain, self._offset = tell, complain, offset
        self._keeper = SnapshotWriter(snapshot, complain) if snapshot else None
        self._queue: SimpleQueue[Report | None] = SimpleQueue()
        self._answered: dict[int, float] = {}
        self._known = threading.Event()
        self._cached = False  # what was told is what was kept
        self._changes: dict[int, Member | None] = {}  # not told yet
        self._lock = threading.Lock()  # over telling: the start and the owner may both
        self.heard: dict[
            str, float
        ] = {}  # by source, on the monotonic clock: from when its newest answer held
        self._thread = threading.Thread(target=self._run, name="sources", daemon=True)

    @property
    def known(self) -> bool:
        """Whether anything is known of the servers."""
        return self._known.is_set()

    @property
    def members(self) -> dict[int, Member]:
        """The list last told. For the thread that is being told."""
        return self._view.members

    def age(self, now: float) -> float:
        """Seconds since the newest answer of any source held; infinite if none ever came."""
        return now - max(self.heard.values(), default=-inf)

    def report(
        self,
        source: str,
        members: tuple[Member, ...],
        age: float = 0.0,
        index: int = 0,
        sure: bool = False,
    ) -> None:
        """A whole list of a source; from any thread."""
        self._queue.put(Report(source, members, age, index, sure))

    def answered(self, server: int) -> None:
        """A good answer of a server; on the decision thread."""
        self._answered[server] = time.monotonic()

    def start(self, patience: float) -> bool:
        """Wait for a first list for `patience` seconds, then take the kept one; whether anything is known."""
        kept = self._load()
        if self._keeper:
            self._keeper.start()
        self._thread.start()
        if not self._known.wait(patience) and kept is not None:
            with self._lock:
                if not self._known.is_set():
                    self._complain(
                        f"no source has answered; starting from the list kept {kept.age:.0f} s ago"
                    )
                    self._cached = True
                    self._tell(self._view.whole(api.MembershipUpdateKind.CACHED))
                    self._known.set()
        return self._known.is_set()

    def _load(self) -> Kept | None:
        """Read what was kept and take it up, so that a drain told before a restart still holds against older news
        after it, and what was cold is. Before the owner's thread starts."""
        if self._keeper is None:
            return None
        try:
            kept = self._keeper.snapshot.load()
            if kept is None:
                return None
            if kept.merge is not None:
                self._merge.restore(kept.merge, time.monotonic(), kept.age)
            self._view.restore(kept.view or {"started": {}, "gone": []}, kept.members, kept.offset)
        except (StoreError, ValueError, OSError) as error:
            self._complain(f"no kept list: {error}")
            return None
        return kept

    def stop(self) -> None:
        """End, with a last writing of what is known."""
        self._queue.put(None)
        if self._thread.ident:  # it may never have been started
            self._thread.join(5.0)
        if self._keeper:
            self._keeper.stop(self._content(time.monotonic()) if self._keeper.due else None, _LAST_WRITING)

    def _run(self) -> None:
        while True:
            now = time.monotonic()
            due = min(self._merge.next_due(now), self._keeper.next() if self._keeper else inf)
            try:
                item = self._queue.get(timeout=min(max(due - now, 0.001), _LOOK))
            except Empty:
                item = Report("", ())
            now = time.monotonic()
            if item is None:
                return
            for server, at in list(self._answered.items()):
                self._merge.answered(server, at)
            if item.source:
                self._merge.report(item, now)
            self._publish(now, bool(item.source))
            if self._keeper and self._keeper.wants(now):
                self._keeper.put(self._content(now))

    def _content(self, now: float) -> Content:
        return tuple(self._view.members.values()), self._merge.dump(now), self._view.dump(self._offset)

    def _publish(self, now: float, told: bool) -> None:
        self._changes |= self._merge.refresh(now)
        self.heard = {name: now - age for name, age in self._merge.belief(now).ages.items()}
        with self._lock:
            if not self._known.is_set() and not told:
                return  # only what was kept: told when patience has ended
            changes, self._changes = self._changes, {}
            listed = self._view.change(changes, now) if changes else None
            if not self._known.is_set() and self._view.members:
                listed = self._view.whole()
            elif told and self._cached:
                self._cached, listed = False, self._view.whole()
            if listed:
                self._tell(listed)
                if self._keeper:
                    self._keeper.changed()
            if self._view.members:
                self._known.set()
