"""Owns the sources of server lists: their reports become one view, which is sent to the module and saved to disk.

Owners: watchers of Consul and of a list file are threads that only put reports into a queue. One more thread, the
owner, holds the reconciliation and the view, and notifies the module; the snapshot writer's thread writes what it
hands over. The decision thread notes in a plain dict when a server last responded; the owner reads it.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterable
from math import inf
from queue import Empty, SimpleQueue

from gingervane import interface as api
from gingervane.coordinator.types import EndpointsUpdated
from gingervane.membership.atomic_file import StoreError
from gingervane.membership.mass_removal_guard import MassRemovalGuard
from gingervane.membership.reconciliation import Reconciliation
from gingervane.membership.snapshot import Snapshot, StoredState
from gingervane.membership.snapshot_writer import SnapshotContent, SnapshotWriter
from gingervane.membership.source_ordering import SourceReport
from gingervane.membership.view import EndpointView, Member

_FINAL_WRITE_TIMEOUT = 5.0  # seconds that a stop gives the disk
_JOIN_TIMEOUT = 5.0  # seconds that a stop gives the owner's thread
_MIN_WAIT = 0.001  # seconds that the owner waits for a report at least
_MAX_POLL_INTERVAL = 1.0  # seconds between two readings of the servers' responses


class EndpointSources:
    """Owns the reconciliation. `start` returns once something is known, from a source or from the snapshot."""

    def __init__(
        self,
        names: Iterable[str],
        guard: MassRemovalGuard,
        on_update: Callable[[EndpointsUpdated], None],
        log_warning: Callable[[str], None],
        snapshot: Snapshot | None = None,
        offset: float = 0.0,
        authoritative: Iterable[str] = (),
    ) -> None:
        """`on_update` is called on the owner's thread, but for a start from the snapshot.

        `offset` turns Unix time into the members' clock; `authoritative`: see `Reconciliation`.
        """
        self._reconciliation = Reconciliation(names, guard, authoritative)
        self._view = EndpointView()
        self._on_update = on_update
        self._log_warning = log_warning
        self._offset = offset
        self._writer = SnapshotWriter(snapshot, log_warning) if snapshot else None
        self._queue: SimpleQueue[SourceReport | None] = SimpleQueue()
        self._response_times: dict[int, float] = {}
        self._known = threading.Event()
        self._serving_cached = False  # the last update came from the snapshot
        self._pending_changes: dict[int, Member | None] = {}  # not sent to the module yet
        self._lock = threading.Lock()  # over `on_update`: the start and the owner may both call it
        # By source, on the monotonic clock: the time from which its newest report holds.
        self.latest_valid_from: dict[str, float] = {}
        self._known_indexes: dict[str, int] = {}  # by source; replaced whole, for readers on other threads
        self._stored: StoredState | None = None  # of the snapshot, once it is loaded
        self._loaded = False
        self._thread = threading.Thread(target=self._run, name="sources", daemon=True)

    @property
    def known(self) -> bool:
        """Whether anything is known of the servers."""
        return self._known.is_set()

    @property
    def members(self) -> dict[int, Member]:
        """The list of the last update. For the thread that `on_update` is called on."""
        return self._view.members

    def age(self, now: float) -> float:
        """Return the age of the newest report of any source in seconds; infinite if none ever came."""
        return now - max(self.latest_valid_from.values(), default=-inf)

    def report(
        self,
        source: str,
        members: tuple[Member, ...],
        age: float = 0.0,
        index: int = 0,
        consistent: bool = False,
    ) -> None:
        """Take a complete list of a source; from any thread."""
        self._queue.put(SourceReport(source, members, age, index, consistent))

    def known_index(self, source: str) -> int:
        """Return the index behind which a source's leader is to be asked; 0: none has been reached. Any thread."""
        return self._known_indexes.get(source, 0)

    def record_response(self, server: int) -> None:
        """Note a successful response of a server; on the decision thread."""
        self._response_times[server] = time.monotonic()

    def start(self, timeout: float) -> bool:
        """Wait for a first list for `timeout` seconds, then take the snapshot's; tell whether anything is known."""
        self.load()
        if self._writer:
            self._writer.start()
        self._thread.start()
        if not self._known.wait(timeout) and self._stored is not None:
            self._serve_stored(self._stored)
        return self._known.is_set()

    def load(self) -> None:
        """Take up the snapshot, once; best before the sources are watched, which then know how far it had come."""
        if self._loaded:
            return
        self._loaded = True
        self._stored = self._load_snapshot()
        self._known_indexes = self._reconciliation.known_indexes()

    def _serve_stored(self, stored: StoredState) -> None:
        with self._lock:
            if self._known.is_set():
                return
            self._log_warning(f"no source has answered; starting from the list kept {stored.age:.0f} s ago")
            self._serving_cached = True
            self._on_update(self._view.full_update(api.MembershipUpdateKind.CACHED))
            self._known.set()

    def _load_snapshot(self) -> StoredState | None:
        """Read the snapshot and take it up, before the owner's thread starts.

        So a drain that was reported before a restart still holds against older reports after it, and so does a slow
        start.
        """
        if self._writer is None:
            return None
        try:
            stored = self._writer.snapshot.load()
            if stored is None:
                return None
            if stored.reconciliation is not None:
                self._reconciliation.restore(stored.reconciliation, time.monotonic(), stored.age)
            self._view.restore(stored.view or {"started": {}, "gone": []}, stored.members, stored.offset)
        except (StoreError, ValueError, OSError) as error:
            self._log_warning(f"no kept list: {error}")
            return None
        return stored

    def stop(self) -> None:
        """End, with a last write of what is known."""
        self._queue.put(None)
        if self._thread.ident:  # it may never have been started
            self._thread.join(_JOIN_TIMEOUT)
        if self._writer:
            unsaved = self._writer.has_unsaved_changes
            last = self._snapshot_content(time.monotonic()) if unsaved else None
            self._writer.stop(last, _FINAL_WRITE_TIMEOUT)

    def _run(self) -> None:
        while True:
            now = time.monotonic()
            next_write_at = self._writer.next_write_at() if self._writer else inf
            due = min(self._reconciliation.next_due(now), next_write_at)
            report: SourceReport | None = None
            try:
                report = self._queue.get(timeout=min(max(due - now, _MIN_WAIT), _MAX_POLL_INTERVAL))
                if report is None:
                    return
            except Empty:
                pass
            self._update(report, time.monotonic())

    def _update(self, report: SourceReport | None, now: float) -> None:
        """Take up responses and a report if one came, and publish and save what has changed."""
        for server, at in list(self._response_times.items()):
            self._reconciliation.record_response(server, at)
        if report is not None:
            self._reconciliation.apply_report(report, now)
        self._publish(now, report is not None)
        for doubt in self._reconciliation.take_doubts():
            self._log_warning(
                f"{doubt.source}: index {doubt.shown_index} is behind {doubt.newest_index}, and no leader has vouched"
                " for it; what it takes back does not count"
            )
        if self._writer and self._writer.is_write_due(now):
            self._writer.submit(self._snapshot_content(now))

    def _snapshot_content(self, now: float) -> SnapshotContent:
        members = tuple(self._view.members.values())
        return SnapshotContent(members, self._reconciliation.dump(now), self._view.dump(self._offset))

    def _publish(self, now: float, has_report: bool) -> None:
        self._pending_changes |= self._reconciliation.refresh(now)
        ages = self._reconciliation.latest_view(now).ages
        self.latest_valid_from = {name: now - age for name, age in ages.items()}
        self._known_indexes = self._reconciliation.known_indexes()
        with self._lock:
            if not self._known.is_set() and not has_report:
                return  # only the snapshot's list: published when the start's timeout has ended
            changes = self._pending_changes
            self._pending_changes = {}
            update = self._view.apply_delta(changes, now) if changes else None
            if not self._known.is_set() and self._view.members:
                update = self._view.full_update()
            elif has_report and self._serving_cached:
                self._serving_cached = False
                update = self._view.full_update()
            if update:
                self._on_update(update)
                if self._writer:
                    self._writer.mark_changed()
            if self._view.members:
                self._known.set()
