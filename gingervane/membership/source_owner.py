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
from gingervane.membership.snapshot import StoredState, Snapshot
from gingervane.membership.snapshot_writer import SnapshotContent, SnapshotWriter
from gingervane.membership.mass_removal_guard import MassRemovalGuard
from gingervane.membership.reconciliation import Reconciliation
from gingervane.membership.source_ordering import SourceReport
from gingervane.membership.atomic_file import StoreError
from gingervane.membership.view import Member, EndpointView

_FINAL_WRITE_TIMEOUT = 5.0  # seconds that a stop gives the disk
_MAX_POLL_INTERVAL = 1.0  # seconds between two looks at what own traffic says


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
        self._reconciliation, self._view = Reconciliation(names, fence, meant), EndpointView()
        self._on_update, self._log_warning, self._offset = tell, complain, offset
        self._writer = SnapshotWriter(snapshot, complain) if snapshot else None
        self._queue: SimpleQueue[SourceReport | None] = SimpleQueue()
        self._response_times: dict[int, float] = {}
        self._known = threading.Event()
        self._serving_cached = False  # what was told is what was kept
        self._pending_changes: dict[int, Member | None] = {}  # not told yet
        self._lock = threading.Lock()  # over telling: the start and the owner may both
        self.latest_valid_from: dict[
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
        return now - max(self.latest_valid_from.values(), default=-inf)

    def report(
        self,
        source: str,
        members: tuple[Member, ...],
        age: float = 0.0,
        index: int = 0,
        sure: bool = False,
    ) -> None:
        """A whole list of a source; from any thread."""
        self._queue.put(SourceReport(source, members, age, index, sure))

    def record_response(self, server: int) -> None:
        """A good answer of a server; on the decision thread."""
        self._response_times[server] = time.monotonic()

    def start(self, patience: float) -> bool:
        """Wait for a first list for `patience` seconds, then take the kept one; whether anything is known."""
        kept = self._load_snapshot()
        if self._writer:
            self._writer.start()
        self._thread.start()
        if not self._known.wait(patience) and kept is not None:
            with self._lock:
                if not self._known.is_set():
                    self._log_warning(
                        f"no source has answered; starting from the list kept {kept.age:.0f} s ago"
                    )
                    self._serving_cached = True
                    self._on_update(self._view.full_update(api.MembershipUpdateKind.CACHED))
                    self._known.set()
        return self._known.is_set()

    def _load_snapshot(self) -> StoredState | None:
        """Read what was kept and take it up, so that a drain told before a restart still holds against older news
        after it, and what was cold is. Before the owner's thread starts."""
        if self._writer is None:
            return None
        try:
            kept = self._writer.snapshot.load()
            if kept is None:
                return None
            if kept.reconciliation is not None:
                self._reconciliation.restore(kept.reconciliation, time.monotonic(), kept.age)
            self._view.restore(kept.view or {"started": {}, "gone": []}, kept.members, kept.offset)
        except (StoreError, ValueError, OSError) as error:
            self._log_warning(f"no kept list: {error}")
            return None
        return kept

    def stop(self) -> None:
        """End, with a last writing of what is known."""
        self._queue.put(None)
        if self._thread.ident:  # it may never have been started
            self._thread.join(5.0)
        if self._writer:
            self._writer.stop(
                self._snapshot_content(time.monotonic()) if self._writer.has_unsaved_changes else None,
                _FINAL_WRITE_TIMEOUT,
            )

    def _run(self) -> None:
        while True:
            now = time.monotonic()
            due = min(
                self._reconciliation.next_due(now), self._writer.next_write_at() if self._writer else inf
            )
            try:
                item = self._queue.get(timeout=min(max(due - now, 0.001), _MAX_POLL_INTERVAL))
            except Empty:
                item = SourceReport("", ())
            now = time.monotonic()
            if item is None:
                return
            for server, at in list(self._response_times.items()):
                self._reconciliation.record_response(server, at)
            if item.source:
                self._reconciliation.apply_report(item, now)
            self._publish(now, bool(item.source))
            if self._writer and self._writer.is_write_due(now):
                self._writer.submit(self._snapshot_content(now))

    def _snapshot_content(self, now: float) -> SnapshotContent:
        return (
            tuple(self._view.members.values()),
            self._reconciliation.dump(now),
            self._view.dump(self._offset),
        )

    def _publish(self, now: float, told: bool) -> None:
        self._pending_changes |= self._reconciliation.refresh(now)
        self.latest_valid_from = {
            name: now - age for name, age in self._reconciliation.latest_view(now).ages.items()
        }
        with self._lock:
            if not self._known.is_set() and not told:
                return  # only what was kept: told when patience has ended
            changes, self._pending_changes = self._pending_changes, {}
            listed = self._view.apply_delta(changes, now) if changes else None
            if not self._known.is_set() and self._view.members:
                listed = self._view.full_update()
            elif told and self._serving_cached:
                self._serving_cached, listed = False, self._view.full_update()
            if listed:
                self._on_update(listed)
                if self._writer:
                    self._writer.mark_changed()
            if self._view.members:
                self._known.set()
