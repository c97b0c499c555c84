"""Turns the reports of all sources into one view, which is published to the decision engine and saved to disk.

Threads: the watchers of Consul and of the list file only put reports into a queue. The owner thread holds the
reconciliation and the view and publishes updates; the snapshot writer's thread writes what the owner submits. The
decision thread records in a dict when each server last responded, and the owner reads it.
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

_FINAL_WRITE_TIMEOUT = 5.0  # seconds that `stop` waits for the last snapshot
_JOIN_TIMEOUT = 5.0  # seconds that `stop` waits for the owner's thread
_MIN_WAIT = 0.001  # least seconds that the owner waits for a report
_MAX_POLL_INTERVAL = 1.0  # most seconds between two reads of the servers' response times


class EndpointSources:
    """Owns the reconciliation of all sources of one kind of server, and its thread."""

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
        """`on_update` is called on the owner's thread, except that `start` calls it with the list of the snapshot.

        `offset`: seconds to add to Unix time to get the members' clock. `authoritative`: see `Reconciliation`.
        """
        self._reconciliation = Reconciliation(names, guard, authoritative)
        self._view = EndpointView()
        self._on_update = on_update
        self._log_warning = log_warning
        self._offset = offset
        self._writer = SnapshotWriter(snapshot, log_warning) if snapshot else None
        self._queue: SimpleQueue[SourceReport | None] = SimpleQueue()
        self._response_times: dict[int, float] = {}
        self._list_published = threading.Event()
        self._serving_cached = False  # the last update came from the snapshot
        self._pending_changes: dict[int, Member | None] = {}  # not published yet
        self._lock = threading.Lock()  # held to call `on_update`, as both `start` and the owner may do so
        # By source, on the monotonic clock: the time from which its newest report is valid.
        self.latest_valid_from: dict[str, float] = {}
        self._known_indexes: dict[str, int] = {}  # by source; replaced as a whole, as other threads read it
        self._stored: StoredState | None = None  # the snapshot, once it is loaded
        self._loaded = False
        self._thread = threading.Thread(target=self._run, name="sources", daemon=True)

    @property
    def has_server_list(self) -> bool:
        """Whether a server list has been published, from a source or from the snapshot."""
        return self._list_published.is_set()

    @property
    def members(self) -> dict[int, Member]:
        """The current list by ID. Only for the thread that `on_update` is called on."""
        return self._view.members

    def age(self, now: float) -> float:
        """Return the age of the newest report of any source in seconds; infinite if none was received."""
        return now - max(self.latest_valid_from.values(), default=-inf)

    def report(
        self,
        source: str,
        members: tuple[Member, ...],
        age: float = 0.0,
        index: int = 0,
        consistent: bool = False,
    ) -> None:
        """Queue a complete list of a source; see `SourceReport`. Callable from any thread."""
        self._queue.put(SourceReport(source, members, age, index, consistent))

    def known_index(self, source: str) -> int:
        """Return the index below which a report must be confirmed by the source's leader; 0 if none is known.

        Callable from any thread.
        """
        return self._known_indexes.get(source, 0)

    def record_response(self, server: int) -> None:
        """Record a successful response of a server. Called on the decision thread."""
        self._response_times[server] = time.monotonic()

    def start(self, timeout: float) -> bool:
        """Wait up to `timeout` seconds for a first list, else use the snapshot; return whether there is a list."""
        self.load()
        if self._writer:
            self._writer.start()
        self._thread.start()
        if not self._list_published.wait(timeout) and self._stored is not None:
            self._serve_stored(self._stored)
        return self._list_published.is_set()

    def load(self) -> None:
        """Load the snapshot if that has not been done yet.

        Call it before the watchers start: `known_index` then has the indexes of the snapshot.
        """
        if self._loaded:
            return
        self._loaded = True
        self._stored = self._load_snapshot()
        self._known_indexes = self._reconciliation.known_indexes()

    def _serve_stored(self, stored: StoredState) -> None:
        with self._lock:
            if self._list_published.is_set():
                return
            self._log_warning(f"no source has answered; starting from the list kept {stored.age:.0f} s ago")
            self._serving_cached = True
            self._on_update(self._view.full_update(api.MembershipUpdateKind.CACHED))
            self._list_published.set()

    def _load_snapshot(self) -> StoredState | None:
        """Read the snapshot and restore its state, before the owner's thread starts.

        A drain reported before a restart is thus not overridden by a stale report after it, and a slow start goes on.
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
            self._log_warning(f"the snapshot of the server list cannot be used: {error}")
            return None
        return stored

    def stop(self) -> None:
        """Stop the owner's thread, and write a last snapshot if there are unsaved changes."""
        self._queue.put(None)
        if self._thread.ident:  # the thread may never have been started
            self._thread.join(_JOIN_TIMEOUT)
        if self._writer:
            unsaved = self._writer.has_unsaved_changes
            last = self._snapshot_content(time.monotonic()) if unsaved else None
            self._writer.stop(last, _FINAL_WRITE_TIMEOUT)

    def _run(self) -> None:
        while True:
            now = time.monotonic()
            next_write_at = self._writer.next_write_at() if self._writer else inf
            wake_at = min(self._reconciliation.next_due(now), next_write_at)
            report: SourceReport | None = None
            try:
                report = self._queue.get(timeout=min(max(wake_at - now, _MIN_WAIT), _MAX_POLL_INTERVAL))
                if report is None:
                    return
            except Empty:
                pass
            self._update(report, time.monotonic())

    def _update(self, report: SourceReport | None, now: float) -> None:
        """Apply recorded responses and the report if there is one, then publish and save what has changed."""
        for server, responded_at in list(self._response_times.items()):
            self._reconciliation.record_response(server, responded_at)
        if report is not None:
            self._reconciliation.apply_report(report, now)
        self._publish(now, report is not None)
        for unconfirmed in self._reconciliation.take_unconfirmed_indexes():
            self._log_warning(
                f"{unconfirmed.source}: index {unconfirmed.shown_index} is behind {unconfirmed.newest_index},"
                " and no leader has vouched for it; what it takes back does not count"
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
            if not self._list_published.is_set() and not has_report:
                return  # the list comes from the snapshot, which `start` publishes when its timeout has passed
            changes = self._pending_changes
            self._pending_changes = {}
            update = self._view.apply_delta(changes, now) if changes else None
            if not self._list_published.is_set() and self._view.members:
                update = self._view.full_update()
            elif has_report and self._serving_cached:
                self._serving_cached = False
                update = self._view.full_update()
            if update:
                self._on_update(update)
                if self._writer:
                    self._writer.mark_changed()
            if self._view.members:
                self._list_published.set()
